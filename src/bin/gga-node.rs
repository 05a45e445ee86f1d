//! Runs a node agent.

use std::process::ExitCode;
use std::sync::Arc;

use greengagearch::error::Error;
use greengagearch::platform::runner_client::RunnerClient;
use greengagearch::platform::store_client::StoreClient;
use greengagearch::process::logging::open_queued_log;
use greengagearch::process::node::NodeProcess;
use greengagearch::process::planning::settings::NodeSettings;
use greengagearch::process::program::finish;
use greengagearch::process::program::settings_of;
use greengagearch::process::stop_signal::listen;

const PURPOSE: &str = "Runs tasks on its host's runner at the planner's orders.";

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    finish(run().await)
}

async fn run() -> Result<(), Error> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some(settings) = settings_of("gga-node", PURPOSE, &args, NodeSettings::parse)? else {
        return Ok(());
    };
    open_queued_log(log::LevelFilter::Info);
    let stop = listen().map_err(|source| Error::Listen { address: "signals".into(), source })?;
    let store = Arc::new(StoreClient::open(&settings.store));
    let process = NodeProcess::bind(settings, store, Arc::new(RunnerClient::open()), stop).await?;
    let addresses = process.addresses;
    println!("listening registry={} internal={}", addresses.registry, addresses.internal);
    process.stopped().await;
    log::logger().flush();
    Ok(())
}
