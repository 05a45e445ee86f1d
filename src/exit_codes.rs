//! Exit codes of all programs.

use std::process;

/// How a program ended, as its exit status tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Everything asked for was done.
    Success,
    /// Something failed that may work when tried again.
    GeneralError,
    /// The command line, settings or a document were refused.
    InvalidInput,
    /// Another operator's change came first.
    Conflict,
}

impl ExitCode {
    /// The number given to the operating system.
    ///
    /// ```
    /// use greengagearch::exit_codes::ExitCode;
    ///
    /// assert_eq!(ExitCode::InvalidInput.number(), 2);
    /// ```
    pub fn number(self) -> i32 {
        match self {
            ExitCode::Success => 0,
            ExitCode::GeneralError => 1,
            ExitCode::InvalidInput => 2,
            ExitCode::Conflict => 3,
        }
    }

    /// Ends the process with this status.
    ///
    /// ```no_run
    /// greengagearch::exit_codes::ExitCode::Success.exit();
    /// ```
    pub fn exit(self) -> ! {
        process::exit(self.number())
    }
}
