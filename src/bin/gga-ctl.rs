//! Checks, applies and shows documents.

use std::process::ExitCode;

use greengagearch::ctl::cli::CtlCommand;
use greengagearch::ctl::cli::parse_ctl;
use greengagearch::ctl::run_command;
use greengagearch::error::Error;
use greengagearch::process::program::finish;

#[tokio::main]
async fn main() -> ExitCode {
    finish(run().await)
}

async fn run() -> Result<(), Error> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match parse_ctl(&args)? {
        CtlCommand::Print(text) => {
            print!("{text}");
            Ok(())
        }
        CtlCommand::Run(config) => run_command(&config).await,
    }
}
