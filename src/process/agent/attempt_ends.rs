//! Which attempts of a worker's row have ended.

use crate::connection::worker_row::WorkerRow;
use crate::connection::worker_row::parse_task_name;
use crate::external::worker::AttemptKey;
use crate::external::worker::AttemptReport;
use crate::external::worker::AttemptState;
use crate::external::worker::ResourceAmount;
use crate::external::worker::WorkerStatus;

/// Attempts of the row that ended, or that shall stop before they were started.
///
/// ```
/// use greengagearch::connection::worker_row::WorkerRow;
/// use greengagearch::external::worker::WorkerStatus;
/// use greengagearch::process::agent::attempt_ends::ended_attempts;
///
/// let status =
///     WorkerStatus { now_millis: 5_000, capacity: Default::default(), attempts: Vec::new() };
/// assert!(ended_attempts(&WorkerRow::default(), &status).is_empty());
/// ```
pub fn ended_attempts(row: &WorkerRow, status: &WorkerStatus) -> Vec<AttemptReport> {
    let of_row = status.attempts.iter().filter(|one| row.has_attempt(&one.key));
    let ended = of_row.filter(|one| one.state != AttemptState::Running).cloned();
    let mut reports: Vec<AttemptReport> = ended.collect();
    for (name, task) in row.tasks.iter().filter(|(_, task)| task.stop) {
        let Some((job, index)) = parse_task_name(name) else {
            continue;
        };
        let key = AttemptKey { job, task: index, attempt: task.attempt };
        if !status.attempts.iter().any(|one| one.key == key) {
            let state = AttemptState::Stopped { checkpoint: None };
            reports.push(AttemptReport {
                key,
                kind: task.kind.clone(),
                resources: task.resources,
                used: ResourceAmount::default(),
                ran_millis: 0,
                state,
            });
        }
    }
    reports
}
