//! Runs a planner process.

use std::process::ExitCode;
use std::sync::Arc;

use greengagearch::error::Error;
use greengagearch::external::advice_service::AdviceService;
use greengagearch::platform::advice_client::AdviceClient;
use greengagearch::platform::store_client::StoreClient;
use greengagearch::process::logging::open_queued_log;
use greengagearch::process::planning::PlannerProcess;
use greengagearch::process::planning::settings::PlannerSettings;
use greengagearch::process::program::finish;
use greengagearch::process::program::settings_of;
use greengagearch::process::stop_signal::listen;

const PURPOSE: &str = "Takes callers' jobs and plans them on the workers of a shared platform.";

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    finish(run().await)
}

async fn run() -> Result<(), Error> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some(settings) = settings_of("gga-planner", PURPOSE, &args, PlannerSettings::parse)? else {
        return Ok(());
    };
    open_queued_log(log::LevelFilter::Info);
    let stop = listen().map_err(|source| Error::Listen { address: "signals".into(), source })?;
    let store = Arc::new(StoreClient::open(&settings.store));
    let advice = settings
        .advice
        .as_deref()
        .map(|address| Arc::new(AdviceClient::open(address)) as Arc<dyn AdviceService>);
    let process = PlannerProcess::bind(settings, store, advice, stop).await?;
    let addresses = process.addresses;
    let jobs = addresses.jobs.map(|jobs| format!(" jobs={jobs}")).unwrap_or_default();
    println!(
        "listening callers={} ready={} internal={}{jobs}",
        addresses.callers, addresses.ready, addresses.internal
    );
    process.stopped().await;
    log::logger().flush();
    Ok(())
}
