//! The error type of start-up and of the command-line programs.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::exit_codes::ExitCode;
use crate::findings::FindingList;

/// Why a program could not start or a command could not be carried out.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The command line was not understood.
    #[snafu(display("{message}; try --help"))]
    Usage { message: String },
    /// A file could not be read.
    #[snafu(display("cannot read '{}': {source}", path.display()))]
    ReadFile { path: PathBuf, source: io::Error },
    /// A file could not be written.
    #[snafu(display("cannot write '{}': {source}", path.display()))]
    WriteFile { path: PathBuf, source: io::Error },
    /// Settings or documents hold mistakes.
    #[snafu(display("{findings}"))]
    Invalid { findings: FindingList },
    /// An address could not be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen { address: String, source: io::Error },
    /// An entry could not be reached or answered with an error.
    #[snafu(display("{message}"))]
    Remote { message: String },
    /// Another change came first.
    #[snafu(display("{message}"))]
    Conflict { message: String },
}

impl Error {
    /// The exit status that tells of this error.
    ///
    /// ```
    /// use greengagearch::error::Error;
    /// use greengagearch::exit_codes::ExitCode;
    ///
    /// let error = Error::Usage { message: "no settings file".into() };
    /// assert_eq!(error.exit_code(), ExitCode::InvalidInput);
    /// ```
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Error::Usage { .. } | Error::Invalid { .. } => ExitCode::InvalidInput,
            Error::Conflict { .. } => ExitCode::Conflict,
            Error::ReadFile { .. }
            | Error::WriteFile { .. }
            | Error::Listen { .. }
            | Error::Remote { .. } => ExitCode::GeneralError,
        }
    }
}
