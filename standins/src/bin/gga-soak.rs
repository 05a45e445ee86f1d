//! Runs the product's processes under faults drawn from a seed, and checks the promises from outside.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Matches;
use getopts::Options;
use greengagearch::cli::add_common;
use greengagearch::cli::common_answer;
use greengagearch::cli::parse;
use greengagearch::error::Error;
use greengagearch::process::program::finish;
use greengagearch_standins::soak::SoakKind;
use greengagearch_standins::soak::SoakPlan;
use greengagearch_standins::soak::run_soak;

const PURPOSE: &str = "Runs the product's processes under faults drawn from a seed.\n\n\
    Usage: gga-soak [--seed N] [--seeds COUNT] [--minutes M] [--long | --cuts] [--logs FOLDER]";
/// Length of a soak without `--minutes`.
const DEFAULT_MINUTES: f64 = 1.0;

struct SoakConfig {
    first: u64,
    count: u64,
    length: Duration,
    kind: SoakKind,
    crowds: bool,
    logs: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    finish(run().await)
}

async fn run() -> Result<(), Error> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some(config) = parse_args(&args)? else {
        return Ok(());
    };
    let mut broken = Vec::new();
    for seed in config.first..config.first + config.count {
        if !soak(&config, seed).await? {
            broken.push(seed);
        }
    }
    match broken.as_slice() {
        [] => Ok(()),
        seeds => {
            Err(Error::Remote { message: format!("promises were broken with seeds {seeds:?}") })
        }
    }
}

/// Plays one seed. Whether all promises held.
async fn soak(config: &SoakConfig, seed: u64) -> Result<bool, Error> {
    let logs = config.logs.join(format!("seed-{seed}"));
    let write = |source| Error::WriteFile { path: logs.clone(), source };
    std::fs::create_dir_all(&logs).map_err(write)?;
    let programs = std::env::current_exe().map_err(write)?;
    let programs = programs.parent().map(PathBuf::from).unwrap_or_default();
    let plan = SoakPlan {
        seed,
        kind: config.kind,
        length: config.length,
        crowds: config.crowds,
        programs,
        logs: logs.clone(),
    };
    let report = run_soak(&plan, |line| println!("seed {seed} {line}")).await;
    std::fs::write(logs.join("report.txt"), report.to_string()).map_err(write)?;
    let result = report.broken.as_ref().map_or("held".to_string(), |(_, text)| text.clone());
    println!("seed {seed}: {}: {result}", report.counts);
    Ok(report.broken.is_none())
}

fn parse_args(args: &[String]) -> Result<Option<SoakConfig>, Error> {
    let mut options = Options::new();
    options.optopt("", "seed", "first seed (1)", "N");
    options.optopt("", "seeds", "number of seeds, one after another (1)", "COUNT");
    options.optopt("", "minutes", "how long faults come with each (1)", "M");
    options.optflag("", "long", "tasks of seconds, faults that outlast leases, eleven runners");
    options.optflag(
        "",
        "cuts",
        "entry hosts are cut off from the store, and many jobs are cancelled",
    );
    options.optflag("", "crowds", "crowds of clients that do not behave come to entry hosts");
    options.optopt("", "logs", "folder for logs and reports (soak-logs)", "FOLDER");
    add_common(&mut options);
    let matches = parse(&options, args)?;
    if let Some(text) = common_answer("gga-soak", PURPOSE, &options, &matches) {
        print!("{text}");
        return Ok(None);
    }
    let minutes: f64 = number(&matches, "minutes", DEFAULT_MINUTES)?;
    Ok(Some(SoakConfig {
        first: number(&matches, "seed", 1)?,
        count: number(&matches, "seeds", 1)?,
        length: Duration::from_secs_f64(minutes.max(0.0) * 60.0),
        kind: kind(&matches),
        crowds: matches.opt_present("crowds"),
        logs: matches.opt_str("logs").unwrap_or_else(|| "soak-logs".to_string()).into(),
    }))
}

fn kind(matches: &Matches) -> SoakKind {
    match (matches.opt_present("long"), matches.opt_present("cuts")) {
        (true, _) => SoakKind::Long,
        (false, true) => SoakKind::StoreCuts,
        (false, false) => SoakKind::Short,
    }
}

fn number<T: std::str::FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, Error> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    text.parse().map_err(|_| Error::Usage { message: format!("--{name}: '{text}' is no number") })
}
