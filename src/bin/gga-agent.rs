//! Runs an agent.

use std::process::ExitCode;
use std::sync::Arc;

use greengagearch::error::Error;
use greengagearch::external::http_table::HttpTable;
use greengagearch::external::http_worker::HttpWorker;
use greengagearch::external::worker::WorkerControl;
use greengagearch::process::agent::AgentProcess;
use greengagearch::process::logging::open_log;
use greengagearch::process::program::finish;
use greengagearch::process::program::settings_of;
use greengagearch::process::settings::AgentSettings;
use greengagearch::process::stop_signal::listen;

const PURPOSE: &str = "Dispatches to its host's endpoints and runs its worker's tasks.";

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    finish(run().await)
}

async fn run() -> Result<(), Error> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some(settings) = settings_of("gga-agent", PURPOSE, &args, AgentSettings::parse)? else {
        return Ok(());
    };
    open_log(log::LevelFilter::Info);
    let stop = listen().map_err(|source| Error::Listen { address: "signals".into(), source })?;
    let table = Arc::new(HttpTable::open(&settings.table));
    let worker = settings
        .worker_control
        .map(|address| Arc::new(HttpWorker::open(&address.to_string())) as Arc<dyn WorkerControl>);
    let process = AgentProcess::bind(settings, table, worker, stop).await?;
    let addresses = process.addresses;
    println!("listening endpoints={} internal={}", addresses.endpoints, addresses.internal);
    process.stopped().await;
    Ok(())
}
