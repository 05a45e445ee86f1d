//! Runs the whole system in one process on loopback, for a first try.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Options;
use greengagearch::cli::add_common;
use greengagearch::cli::common_answer;
use greengagearch::cli::parse;
use greengagearch::cli::read_file;
use greengagearch::error::Error;
use greengagearch::process::ini_reader::parse_span;
use greengagearch::process::logging::open_log;
use greengagearch::process::program::finish;
use greengagearch::process::stop_signal::StopSwitch;
use greengagearch::process::stop_signal::listen;
use greengagearch_standins::local::DocumentFile;
use greengagearch_standins::local::LocalSystem;
use greengagearch_standins::local_platform::LocalPlatform;
use greengagearch_standins::traffic::TrafficPlan;
use greengagearch_standins::traffic::send_traffic;

const PURPOSE: &str = "Runs entry, agents, runners and the platform's stand-ins in one process.\n\n\
    Usage: gga-local --documents FOLDER [--traffic SPAN] [--rate N]\n\
    \x20      gga-local --platform [--traffic SPAN]";
/// A job to try with `--platform`.
const PLATFORM_JOB: &str = r#"{"id":"first","queue":"logs","payload":"run_ms=300","steps":[
    {"count":3,"room":{"millicores":300,"memory_mib":100},"estimate_ms":300},
    {"count":1,"room":{"millicores":300,"memory_mib":100},"estimate_ms":300,"after":[0]}]}"#;
/// Requests a second of `--traffic`.
const DEFAULT_RATE: f64 = 300.0;

/// What the program was asked to do.
enum LocalCommand {
    Documents(LocalConfig),
    /// The users' platform, with jobs for this long.
    Platform(Option<Duration>),
}

struct LocalConfig {
    documents: Vec<DocumentFile>,
    traffic: Option<Duration>,
    rate: f64,
}

#[tokio::main]
async fn main() -> ExitCode {
    finish(run().await)
}

async fn run() -> Result<(), Error> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let command = parse_args(&args)?;
    open_log(log::LevelFilter::Warn);
    match command {
        None => Ok(()),
        Some(LocalCommand::Documents(config)) => run_documents(config).await,
        Some(LocalCommand::Platform(traffic)) => run_platform(traffic).await,
    }
}

async fn run_platform(traffic: Option<Duration>) -> Result<(), Error> {
    let (switch, stop) = StopSwitch::new();
    let system = LocalPlatform::spawn(stop).await?;
    let url = format!("http://{}/v1/workflows", system.jobs);
    println!("jobs      {url}\n\nTry a job of two steps:");
    println!("  curl -d '{PLATFORM_JOB}' -H 'content-type: application/json' {url}");
    println!("  curl {url}/first\n");
    match traffic {
        Some(length) => {
            let (accepted, completed) = system.send_jobs(length).await;
            let twice = system.journal.run_twice().len();
            println!("{accepted} jobs accepted, {completed} completed, {twice} tasks run twice");
        }
        None => wait_for_signal().await?,
    }
    switch.stop();
    system.stopped().await;
    Ok(())
}

async fn wait_for_signal() -> Result<(), Error> {
    let signal = listen().map_err(|source| Error::Listen { address: "signals".into(), source })?;
    signal.raised().await;
    Ok(())
}

async fn run_documents(config: LocalConfig) -> Result<(), Error> {
    let (switch, stop) = StopSwitch::new();
    let system = LocalSystem::spawn(&config.documents, stop).await?;
    print_hints(&system);
    match config.traffic {
        Some(length) => send_traffic(&system, TrafficPlan { length, rate: config.rate }).await,
        None => wait_for_signal().await?,
    }
    switch.stop();
    system.stopped().await;
    Ok(())
}

fn parse_args(args: &[String]) -> Result<Option<LocalCommand>, Error> {
    let mut options = Options::new();
    options.optopt("d", "documents", "apply the documents of this folder", "FOLDER");
    options.optflag("p", "platform", "run on stand-ins of the users' platform");
    options.optopt("t", "traffic", "send a load for this long, audit it and exit", "SPAN");
    options.optopt("r", "rate", "requests a second of the load (default 300)", "N");
    add_common(&mut options);
    let matches = parse(&options, args)?;
    if let Some(text) = common_answer("gga-local", PURPOSE, &options, &matches) {
        print!("{text}");
        return Ok(None);
    }
    let usage = |message: &str| Error::Usage { message: message.to_string() };
    let traffic = match matches.opt_str("traffic") {
        None => None,
        Some(text) => Some(parse_span(&text).ok_or(usage("--traffic: write 20s or 1m"))?),
    };
    if matches.opt_present("platform") {
        return Ok(Some(LocalCommand::Platform(traffic)));
    }
    let folder = matches.opt_str("documents").ok_or(usage("--documents FOLDER is missing"))?;
    let rate = matches.opt_str("rate").map(|text| text.parse::<f64>());
    let rate = rate.transpose().map_err(|_| usage("--rate: write a number"))?;
    let rate = rate.unwrap_or(DEFAULT_RATE);
    if !(1.0..=100_000.0).contains(&rate) {
        return Err(usage("--rate: write a number between 1 and 100000"));
    }
    let documents = read_documents(&folder)?;
    Ok(Some(LocalCommand::Documents(LocalConfig { documents, traffic, rate })))
}

fn read_documents(folder: &str) -> Result<Vec<DocumentFile>, Error> {
    let path = Path::new(folder);
    let entries = std::fs::read_dir(path)
        .map_err(|source| Error::ReadFile { path: path.to_path_buf(), source })?;
    let mut names: Vec<String> = entries
        .filter_map(|entry| entry.ok()?.path().to_str().map(str::to_string))
        .filter(|name| name.ends_with(".ini"))
        .collect();
    names.sort();
    if names.is_empty() {
        let message = format!("no .ini files in '{folder}'");
        return Err(Error::Usage { message });
    }
    let read = |name: String| read_file(&name).map(|text| DocumentFile { name, text });
    names.into_iter().map(read).collect()
}

fn print_hints(system: &LocalSystem) {
    let callers = system.addresses.callers;
    println!("callers   http://{callers}");
    println!("operators http://{}", system.addresses.operators);
    println!("\nTry a request:");
    for service in &system.services {
        println!("  curl -i -d 'hello' http://{callers}/v1/services/{service}/requests");
    }
    println!("Try a job:");
    println!(
        "  curl -d '{{\"id\":\"first\",\"team\":\"{}\",\"kind\":\"roster\",\"tasks\":\
         [{{\"resources\":{{\"millicores\":500,\"memory_mib\":64}},\"run_millis\":300}}]}}' \
         -H 'content-type: application/json' http://{callers}/v1/jobs",
        system.team
    );
    println!("  curl http://{callers}/v1/jobs/{}/first\n", system.team);
}
