//! Runs an entry.

use std::process::ExitCode;
use std::sync::Arc;

use greengagearch::error::Error;
use greengagearch::external::http_table::HttpTable;
use greengagearch::process::entry::EntryProcess;
use greengagearch::process::logging::open_log;
use greengagearch::process::program::finish;
use greengagearch::process::program::settings_of;
use greengagearch::process::settings::EntrySettings;
use greengagearch::process::stop_signal::listen;

const PURPOSE: &str = "Takes callers' requests and operators' documents, and schedules tasks.";

#[tokio::main]
async fn main() -> ExitCode {
    finish(run().await)
}

async fn run() -> Result<(), Error> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some(settings) = settings_of("gga-entry", PURPOSE, &args, EntrySettings::parse)? else {
        return Ok(());
    };
    open_log(log::LevelFilter::Info);
    let stop = listen().map_err(|source| Error::Listen { address: "signals".into(), source })?;
    let table = Arc::new(HttpTable::open(&settings.table));
    let process = EntryProcess::bind(settings, table, stop).await?;
    let addresses = process.addresses;
    println!(
        "listening callers={} operators={} internal={}",
        addresses.callers, addresses.operators, addresses.internal
    );
    process.stopped().await;
    Ok(())
}
