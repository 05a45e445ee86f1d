//! The evacuations of failure domains as text, one line of key=value for each domain.

use std::fmt::Write;

use reqwest::Client;
use reqwest::StatusCode;

use crate::error::Error;
use crate::process::planning::evacuation_status::EvacuationStatus;
use crate::process::planning::job_http::JobResponse;

/// Queries a planner process and prints the evacuations.
///
/// # Errors
///
/// [`Error::Remote`] if the process does not answer or knows nothing yet.
///
/// ```no_run
/// # async fn f() {
/// let client = reqwest::Client::new();
/// greengagearch::ctl::evacuations::show_evacuations(&client, "10.0.0.1:7005").await.unwrap();
/// # }
/// ```
pub async fn show_evacuations(client: &Client, planner: &str) -> Result<(), Error> {
    let url = format!("http://{planner}/v1/evacuations");
    let response = client.get(url).send().await.map_err(|error| remote(&error))?;
    let status = response.status();
    if status != StatusCode::OK {
        let body: JobResponse = response.json().await.unwrap_or_default();
        let reason = body.error.unwrap_or_else(|| status.to_string());
        return Err(Error::Remote { message: format!("{planner}: {reason}") });
    }
    let evacuations = response.json().await.map_err(|error| remote(&error))?;
    print!("{}", evacuation_text(&evacuations));
    Ok(())
}

fn remote(error: &reqwest::Error) -> Error {
    Error::Remote { message: format!("the planner process does not answer: {error}") }
}

/// Formats the evacuations.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::ctl::evacuations::evacuation_text;
/// use greengagearch::process::planning::evacuation_status::EvacuationStatus;
/// use greengagearch::process::planning::evacuation_status::StatusSource;
///
/// let summary = Default::default();
/// let status = EvacuationStatus::new(StatusSource::Planner, 3, Duration::ZERO, &summary);
/// let text = evacuation_text(&status);
/// assert!(text.starts_with("evacuations domains=0 source=planner epoch=3 age_ms=0"));
/// ```
pub fn evacuation_text(status: &EvacuationStatus) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "evacuations domains={} source={} epoch={} age_ms={} requests_read={} unlocated_runs={}",
        status.domains.len(),
        status.source.as_str(),
        status.epoch,
        status.age_ms,
        status.requests_read,
        status.unlocated_runs
    );
    for one in &status.domains {
        let (evacuation, runs) = (&one.evacuation, &one.evacuation.runs);
        let _ = write!(
            text,
            "evacuation domain={} since_ms={} evacuated_s={} workers={} silent_workers={} runs={} serving={} \
             long_running={} best_effort={} batch={} unassigned={} can_cut_power={}",
            one.domain,
            evacuation.since_ms,
            one.evacuated_ms / 1_000,
            evacuation.workers,
            evacuation.silent_workers,
            runs.total(),
            runs.serving,
            runs.long_running,
            runs.best_effort,
            runs.batch,
            runs.unassigned,
            one.can_cut_power
        );
        let hindrance = one.hindrance.map(|hindrance| format!(" hindrance={}", hindrance.as_str()));
        let _ = writeln!(text, "{}", hindrance.unwrap_or_default());
    }
    text
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;
    use crate::process::planning::evacuation_status::StatusSource;
    use crate::workflow::evacuation_summary::DomainEvacuation;
    use crate::workflow::evacuation_summary::EvacuationSummary;
    use crate::workflow::evacuation_summary::RunCounts;

    /// Guards against an operator who cuts power although work is left, or cannot see why not.
    #[test]
    fn each_domain_has_a_line_with_what_is_left_and_why_power_must_stay() {
        let left = RunCounts { serving: 2, batch: 3, ..RunCounts::default() };
        let domain = |runs| DomainEvacuation {
            version: 7,
            since_ms: 1_000,
            workers: 8,
            silent_workers: 1,
            unstored_workers: 0,
            runs,
        };
        let summary = EvacuationSummary {
            at_ms: 31_000,
            requests_read: true,
            unlocated_runs: 0,
            domains: [
                ("a".to_string(), domain(left)),
                ("b".to_string(), domain(RunCounts::default())),
            ]
            .into_iter()
            .collect(),
        };
        let age = Duration::from_millis(400);
        let status = EvacuationStatus::new(StatusSource::Heartbeat, 3, age, &summary);
        let sent = serde_json::to_string(&status).unwrap();
        let received: EvacuationStatus = serde_json::from_str(&sent).unwrap();
        assert_eq!(received, status);
        let lines = [
            "evacuations domains=2 source=heartbeat epoch=3 age_ms=400 requests_read=true unlocated_runs=0",
            "evacuation domain=a since_ms=1000 evacuated_s=30 workers=8 silent_workers=1 runs=5 serving=2 \
             long_running=0 best_effort=0 batch=3 unassigned=0 can_cut_power=false hindrance=runs_left",
            "evacuation domain=b since_ms=1000 evacuated_s=30 workers=8 silent_workers=1 runs=0 serving=0 \
             long_running=0 best_effort=0 batch=0 unassigned=0 can_cut_power=true",
        ];
        assert_eq!(evacuation_text(&received), lines.map(|line| format!("{line}\n")).concat());
    }
}
