//! What all programs do at their beginning and end.

use std::process::ExitCode;

use crate::cli::ProgramCommand;
use crate::cli::parse_program;
use crate::error::Error;
use crate::findings::FindingList;

/// Prints an error as one short sentence and gives the exit status.
///
/// ```
/// use std::process::ExitCode;
///
/// assert_eq!(greengagearch::process::program::finish(Ok(())), ExitCode::SUCCESS);
/// ```
pub fn finish(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(u8::try_from(error.exit_code().number()).unwrap_or(1))
        }
    }
}

/// The settings that a program of this name was started with; nothing when its command line asked for
/// something else, which is done by then.
///
/// # Errors
///
/// [`Error::Usage`], [`Error::ReadFile`], and [`Error::Invalid`] with all findings in the settings.
///
/// ```
/// use greengagearch::findings::FindingList;
/// use greengagearch::process::program::settings_of;
///
/// let parse = |_: &str, _: &str| -> Result<(), FindingList> { Ok(()) };
/// assert_eq!(settings_of("gga-entry", "Runs.", &["--version".to_string()], parse).unwrap(), None);
/// ```
pub fn settings_of<T>(
    name: &str,
    purpose: &str,
    args: &[String],
    parse: impl Fn(&str, &str) -> Result<T, FindingList>,
) -> Result<Option<T>, Error> {
    match parse_program(name, purpose, args)? {
        ProgramCommand::Print(text) => {
            print!("{text}");
            Ok(None)
        }
        ProgramCommand::Check(file) => {
            print_findings(parse(&file.name, &file.text).err()).map(|()| None)
        }
        ProgramCommand::Run(file) => {
            let settings = parse(&file.name, &file.text);
            settings.map(Some).map_err(|findings| Error::Invalid { findings })
        }
    }
}

/// The result of a check of settings.
///
/// # Errors
///
/// [`Error::Invalid`] when there are findings.
///
/// ```
/// assert!(greengagearch::process::program::print_findings(None).is_ok());
/// ```
pub fn print_findings(findings: Option<FindingList>) -> Result<(), Error> {
    match findings {
        Some(findings) => Err(Error::Invalid { findings }),
        None => {
            println!("no findings");
            Ok(())
        }
    }
}
