//! Small deployments of the product with stand-ins for the platform, its runners and the clients.
//! `lab CASE RECORD` plays a case, writes the record to a file, and exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod deployment;
mod http;
mod json;
mod link;
mod processes;
mod runner;
mod stale_cancel;
mod store;

use std::path::Path;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let mut words = std::env::args().skip(1);
    let case = words.next().unwrap_or_default();
    let record = words.next().unwrap_or_default();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match case.as_str() {
        "stale-cancel" => stale_cancel::play(Path::new(&record), trouble),
        _ => Verdict::NotRun,
    };
    std::process::exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    });
}
