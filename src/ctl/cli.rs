//! Command line of `gga-ctl`.

use std::time::Duration;

use getopts::Options;

use crate::cli::add_common;
use crate::cli::common_answer;
use crate::cli::parse;
use crate::error::Error;
use crate::process::ini_reader::parse_span;

const BRIEF: &str = "Checks, applies and shows documents; never steers a host or a task.

Usage:
    gga-ctl check PATH...
    gga-ctl apply PATH... --entry ADDRESS --team TEAM --key-file FILE [--wait SPAN]
    gga-ctl show [SERVICE] --entry ADDRESS
    gga-ctl report burn [SERVICE] --entry ADDRESS [--html FILE]
    gga-ctl explain JOB LOG...
    gga-ctl evacuations --planner ADDRESS";

/// What `gga-ctl` was asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CtlCommand {
    /// Print this text.
    Print(String),
    /// Do this.
    Run(CtlConfig),
}

/// What to do with documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CtlAction {
    /// Check files without any entry.
    Check,
    /// Put files in force.
    Apply,
    /// Show what is in force.
    Show,
    /// Report on service-level burn.
    ReportBurn,
    /// Explain from logs what became of a job.
    Explain,
    /// Show the evacuations of failure domains.
    Evacuations,
}

/// The parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CtlConfig {
    /// What to do.
    pub action: CtlAction,
    /// Files, or the service to show.
    pub operands: Vec<String>,
    /// Operators' listener of any entry.
    pub entry: String,
    /// Job interface of any planner process.
    pub planner: String,
    /// The team that signs in.
    pub team: String,
    /// File that holds the team's key.
    pub key_file: String,
    /// File to which a report is written as a page.
    pub html_file: Option<String>,
    /// How long to wait until all processes report the new generation.
    pub wait: Option<Duration>,
}

/// Parses the command line.
///
/// # Errors
///
/// [`Error::Usage`] when it is not understood.
///
/// ```
/// use greengagearch::ctl::cli::parse_ctl;
///
/// assert!(parse_ctl(&["check".to_string(), "a.ini".to_string()]).is_ok());
/// assert!(parse_ctl(&["frobnicate".to_string()]).is_err());
/// ```
pub fn parse_ctl(args: &[String]) -> Result<CtlCommand, Error> {
    let mut options = Options::new();
    options.optopt("e", "entry", "operators' listener of any entry", "ADDRESS");
    options.optopt("p", "planner", "job interface of any planner process", "ADDRESS");
    options.optopt("t", "team", "sign in as this team", "TEAM");
    options.optopt("k", "key-file", "read the team's key from this file", "FILE");
    options.optopt("", "html", "write the report as a page to this file", "FILE");
    options.optopt("w", "wait", "wait until the change is in force everywhere", "SPAN");
    add_common(&mut options);
    let matches = parse(&options, args)?;
    if let Some(text) = common_answer("gga-ctl", BRIEF, &options, &matches) {
        return Ok(CtlCommand::Print(text));
    }
    let mut operands = matches.free.iter().cloned();
    let action = match operands.next().as_deref() {
        Some("check") => CtlAction::Check,
        Some("apply") => CtlAction::Apply,
        Some("show") => CtlAction::Show,
        Some("explain") => CtlAction::Explain,
        Some("evacuations") => CtlAction::Evacuations,
        Some("report") => match operands.next().as_deref() {
            Some("burn") => CtlAction::ReportBurn,
            _ => return usage("report: the only report is 'burn'"),
        },
        Some(other) => return usage(&format!("unknown command '{other}'")),
        None => return usage("a command is missing"),
    };
    let wait = match matches.opt_str("wait") {
        None => None,
        Some(text) => match parse_span(&text) {
            Some(span) => Some(span),
            None => return usage("--wait: write 250ms, 2s, 5m or 1h"),
        },
    };
    let text = |name: &str| matches.opt_str(name).unwrap_or_default();
    let config = CtlConfig {
        action,
        operands: operands.collect(),
        entry: text("entry"),
        planner: text("planner"),
        team: text("team"),
        key_file: text("key-file"),
        html_file: matches.opt_str("html"),
        wait,
    };
    check_config(config)
}

fn check_config(config: CtlConfig) -> Result<CtlCommand, Error> {
    if config.action == CtlAction::Explain {
        return if config.operands.len() < 2 {
            usage("explain needs JOB and at least one LOG")
        } else {
            Ok(CtlCommand::Run(config))
        };
    }
    if config.action == CtlAction::Evacuations {
        return match (config.operands.is_empty(), config.planner.is_empty()) {
            (true, false) => Ok(CtlCommand::Run(config)),
            (true, true) => usage("--planner ADDRESS is missing"),
            (false, _) => usage("evacuations takes no operands"),
        };
    }
    let needs_entry = config.action != CtlAction::Check;
    let takes_paths = matches!(config.action, CtlAction::Check | CtlAction::Apply);
    if takes_paths && config.operands.is_empty() {
        return usage("PATH is missing");
    }
    if !takes_paths && config.operands.len() > 1 {
        return usage("give one SERVICE at most");
    }
    if needs_entry && config.entry.is_empty() {
        return usage("--entry ADDRESS is missing");
    }
    if config.action == CtlAction::Apply && (config.team.is_empty() || config.key_file.is_empty()) {
        return usage("apply needs --team TEAM and --key-file FILE");
    }
    Ok(CtlCommand::Run(config))
}

fn usage<T>(message: &str) -> Result<T, Error> {
    Err(Error::Usage { message: message.to_string() })
}
