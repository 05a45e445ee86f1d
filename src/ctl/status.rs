//! The status of endpoints, workers and queues as text, one line of key=value each.

use std::fmt::Write;

use crate::external::worker::ResourceAmount;
use crate::process::entry::status_desk::StatusGap;
use crate::process::entry::status_desk::StatusReport;

/// The report as text.
///
/// ```
/// use greengagearch::ctl::status::status_text;
/// use greengagearch::process::entry::status_desk::StatusReport;
///
/// assert_eq!(status_text(&StatusReport::default()), "");
/// ```
pub fn status_text(report: &StatusReport) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    for one in &report.endpoints {
        let (key, state) = (&one.key, format!("{:?}", one.state).to_lowercase());
        let _ = writeln!(
            text,
            "endpoint service={} worker={} name={} state={state} slots={} in_flight={}",
            one.service, key.worker, key.endpoint, one.slots, one.in_flight
        );
    }
    for one in &report.workers {
        let _ = writeln!(
            text,
            "worker name={} domain={} rack={} heard={} tasks={} free={} of={}",
            one.worker,
            one.domain,
            one.rack,
            one.is_heard,
            one.tasks,
            amount_text(&one.free),
            amount_text(&one.capacity)
        );
    }
    for one in &report.queues {
        let _ = writeln!(
            text,
            "queue team={} queued={} urgent={} running={} longest_wait_s={}",
            one.team,
            one.queued,
            one.urgent,
            one.running,
            one.longest_wait.as_secs()
        );
    }
    for gap in &report.gaps {
        let line = match gap {
            StatusGap::Workers => "workers reason=table_service".to_string(),
            StatusGap::Queues(entry) => format!("queues entry={entry}"),
        };
        let _ = writeln!(text, "missing {line}");
    }
    text
}

/// Cores, gibibytes and accelerators.
fn amount_text(amount: &ResourceAmount) -> String {
    let cores = amount.millicores as f64 / 1_000.0;
    let memory = amount.memory_mib as f64 / 1_024.0;
    format!("{cores:.1}c/{memory:.0}g/{}a", amount.accelerators)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_missing_is_said() {
        let gaps = vec![StatusGap::Workers, StatusGap::Queues("e2".to_string())];
        let text = status_text(&StatusReport { gaps, ..StatusReport::default() });
        assert_eq!(text, "missing workers reason=table_service\nmissing queues entry=e2\n");
    }
}
