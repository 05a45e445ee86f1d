//! What all programs do at their end.

use std::process::ExitCode;

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
