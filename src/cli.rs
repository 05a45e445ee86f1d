//! Command lines of the programs that read a settings file.

use std::path::PathBuf;

use getopts::Options;
use snafu::ResultExt;

use crate::error::Error;
use crate::error::ReadFileSnafu;

/// What a program that reads a settings file was asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProgramCommand {
    /// Run with the settings of this file.
    Run(SettingsFile),
    /// Check the settings of this file and end.
    Check(SettingsFile),
    /// Print this text and end.
    Print(String),
}

/// A settings file that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFile {
    /// Its name, as it was given.
    pub name: String,
    /// Its text.
    pub text: String,
}

/// Parses the command line of a program that reads a settings file.
///
/// # Errors
///
/// [`Error::Usage`] when it is not understood, [`Error::ReadFile`] when the file cannot be read.
///
/// ```
/// use greengagearch::cli::ProgramCommand;
/// use greengagearch::cli::parse_program;
///
/// let args = ["--version".to_string()];
/// let command = parse_program("gga-entry", "Runs an entry.", &args).unwrap();
/// assert!(matches!(command, ProgramCommand::Print(text) if text.starts_with("gga-entry ")));
/// ```
pub fn parse_program(name: &str, purpose: &str, args: &[String]) -> Result<ProgramCommand, Error> {
    let mut options = Options::new();
    options.optopt("s", "settings", "read the settings of this INI file", "FILE");
    options.optopt(
        "",
        "settings-from",
        "read the file that this environment variable names",
        "NAME",
    );
    options.optflag("c", "check", "check the settings and exit");
    add_common(&mut options);
    let matches = parse(&options, args)?;
    let brief = format!("{purpose}\n\nUsage: {name} --settings FILE [--check]");
    if let Some(text) = common_answer(name, &brief, &options, &matches) {
        return Ok(ProgramCommand::Print(text));
    }
    if let Some(surplus) = matches.free.first() {
        return Err(Error::Usage { message: format!("unexpected argument '{surplus}'") });
    }
    let named = matches.opt_str("settings-from").and_then(|name| std::env::var(name).ok());
    let Some(file) = matches.opt_str("settings").or(named) else {
        return Err(Error::Usage { message: "--settings FILE is missing".to_string() });
    };
    let text = read_file(&file)?;
    let settings = SettingsFile { name: file, text };
    if matches.opt_present("check") {
        Ok(ProgramCommand::Check(settings))
    } else {
        Ok(ProgramCommand::Run(settings))
    }
}

/// Adds the options that every program has.
///
/// ```
/// let mut options = getopts::Options::new();
/// greengagearch::cli::add_common(&mut options);
/// assert!(options.parse(["--help"]).unwrap().opt_present("help"));
/// ```
pub fn add_common(options: &mut Options) {
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
}

/// Parses arguments; what is not understood becomes an [`Error::Usage`].
///
/// # Errors
///
/// [`Error::Usage`].
///
/// ```
/// let options = getopts::Options::new();
/// assert!(greengagearch::cli::parse(&options, &["--nonsense".to_string()]).is_err());
/// ```
pub fn parse(options: &Options, args: &[String]) -> Result<getopts::Matches, Error> {
    options.parse(args).map_err(|error| Error::Usage { message: error.to_string() })
}

/// What `--help` or `--version` asks for, if one of them was given.
///
/// ```
/// use greengagearch::cli;
///
/// let mut options = getopts::Options::new();
/// cli::add_common(&mut options);
/// let matches = cli::parse(&options, &["--version".to_string()]).unwrap();
/// let text = cli::common_answer("gga-ctl", "Acts.", &options, &matches);
/// assert!(text.unwrap().starts_with("gga-ctl "));
/// ```
pub fn common_answer(
    name: &str,
    brief: &str,
    options: &Options,
    matches: &getopts::Matches,
) -> Option<String> {
    if matches.opt_present("help") {
        return Some(options.usage(brief));
    }
    matches.opt_present("version").then(|| version_text(name))
}

/// The answer to `--version`.
///
/// ```
/// assert!(greengagearch::cli::version_text("gga-ctl").starts_with("gga-ctl 0"));
/// ```
pub fn version_text(name: &str) -> String {
    format!("{name} {}\n", env!("CARGO_PKG_VERSION"))
}

/// Reads a text file.
///
/// # Errors
///
/// [`Error::ReadFile`].
///
/// ```
/// assert!(greengagearch::cli::read_file("no/such/file").is_err());
/// ```
pub fn read_file(name: &str) -> Result<String, Error> {
    std::fs::read_to_string(name).context(ReadFileSnafu { path: PathBuf::from(name) })
}
