//! Experiments with real processes: how ways of deciding compare under the same load.

use std::process::ExitCode;

use getopts::Options;
use greengagearch::cli::add_common;
use greengagearch::cli::common_answer;
use greengagearch::cli::parse;
use greengagearch::error::Error;
use greengagearch::process::program::finish;
use greengagearch_standins::experiments::batch;
use greengagearch_standins::experiments::requests;
use greengagearch_standins::experiments::saturation;

const BRIEF: &str = "Runs experiments with real processes on this machine.

Usage: gga-experiment NAME...

    latency    time added over calling a runner directly
    rate       requests a second and processor time of one entry
    routing    ways of choosing an endpoint, at 50, 80 and 95 % of all slots
    routing-slow  the same with a slow endpoint only
    overload   answers in time at three times the capacity
    limit      answers in time of endpoints that declare more slots than they have cores
    takeover   time until a dead entry's partitions are served again
    documents  time until a document is in force everywhere
    documents-outage  the same, with the table service down after the acceptance
    placement  ways of choosing a worker, beside services that suffer
    placement-short  the same, at one size
    placement-steady two of them, with pairs that do not drift
    urgent     time until an urgent task starts
    recovery   time until the tasks of a dead rack run again
    saturation  worth of bulk work served as what serves leaves less room (in virtual time)";

#[tokio::main]
async fn main() -> ExitCode {
    finish(run().await)
}

async fn run() -> Result<(), Error> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let mut options = Options::new();
    add_common(&mut options);
    let matches = parse(&options, &args)?;
    if let Some(text) = common_answer("gga-experiment", BRIEF, &options, &matches) {
        print!("{text}");
        return Ok(());
    }
    if matches.free.is_empty() {
        return Err(Error::Usage { message: "NAME is missing".to_string() });
    }
    for name in &matches.free {
        match name.as_str() {
            "latency" => requests::latency().await,
            "rate" => requests::rate().await,
            "routing" => requests::routing().await,
            "routing-slow" => requests::routing_slow().await,
            "overload" => requests::overload().await,
            "limit" => requests::limit().await,
            "takeover" => requests::takeover().await,
            "documents" => requests::documents().await,
            "documents-outage" => requests::documents_outage().await,
            "placement" => batch::placement().await,
            "placement-steady" => batch::placement_steady().await,
            "placement-short" => batch::placement_short().await,
            "urgent" => batch::urgent().await,
            "recovery" => batch::recovery().await,
            "saturation" => saturation::run(),
            other => {
                return Err(Error::Usage { message: format!("unknown experiment '{other}'") });
            }
        }
    }
    Ok(())
}
