//! Suspicion of workers that fail everything they start.
//!
//! Such a worker looks idle and would attract all work. After a run of failures of distinct tasks
//! without a success it gets one probe at a time, at growing intervals, until a task succeeds there.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::WorkerId;

/// Distinct tasks in a row that must fail on a worker before it is suspected.
const FAILURES_TO_SUSPECT: usize = 3;
/// First pause between two probes.
const FIRST_PAUSE: Duration = Duration::from_secs(5);
/// Longest pause between two probes.
const LONGEST_PAUSE: Duration = Duration::from_secs(300);

#[derive(Clone, Debug, Default)]
struct WorkerRecord {
    failed: BTreeSet<String>,
    probe_at: Option<Instant>,
    pauses: u32,
}

/// What is held against each worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerSuspicion {
    records: HashMap<WorkerId, WorkerRecord>,
}

impl WorkerSuspicion {
    /// Takes in a failure of a task, by its key.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::suspicion::WorkerSuspicion;
    ///
    /// let now = Instant::now();
    /// let mut suspicion = WorkerSuspicion::default();
    /// for task in ["a", "b", "c"] {
    ///     suspicion.on_failure("w1", task, now);
    /// }
    /// assert_eq!(suspicion.starts_left("w1", now), Some(0));
    /// ```
    pub fn on_failure(&mut self, worker: &str, task: &str, now: Instant) {
        let record = self.records.entry(worker.to_string()).or_default();
        record.failed.insert(task.to_string());
        if record.failed.len() >= FAILURES_TO_SUSPECT {
            let pause = FIRST_PAUSE * 2_u32.saturating_pow(record.pauses.min(10));
            record.probe_at = Some(now + pause.min(LONGEST_PAUSE));
            record.pauses += 1;
        }
    }

    /// Takes in a success; it lifts the suspicion.
    ///
    /// ```
    /// greengagearch::process::suspicion::WorkerSuspicion::default().on_success("w1");
    /// ```
    pub fn on_success(&mut self, worker: &str) {
        self.records.remove(worker);
    }

    /// Must be told of each start; a probe that was taken is not given again before its pause.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::suspicion::WorkerSuspicion;
    ///
    /// WorkerSuspicion::default().on_start("w1", Instant::now());
    /// ```
    pub fn on_start(&mut self, worker: &str, now: Instant) {
        if let Some(record) = self.records.get_mut(worker)
            && record.probe_at.is_some()
        {
            record.probe_at = Some(now + LONGEST_PAUSE);
        }
    }

    /// Starts that are allowed on a worker at `now`; nothing when there is no suspicion.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::suspicion::WorkerSuspicion;
    ///
    /// assert_eq!(WorkerSuspicion::default().starts_left("w1", Instant::now()), None);
    /// ```
    pub fn starts_left(&self, worker: &str, now: Instant) -> Option<u32> {
        let probe_at = self.records.get(worker)?.probe_at?;
        Some(u32::from(now >= probe_at))
    }

    /// Forgets workers that are gone.
    ///
    /// ```
    /// greengagearch::process::suspicion::WorkerSuspicion::default().retain(|_| true);
    /// ```
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.records.retain(|worker, _| is_known(worker));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_task_that_fails_again_and_again_is_not_the_workers_fault() {
        let now = Instant::now();
        let mut suspicion = WorkerSuspicion::default();
        (0..9).for_each(|_| suspicion.on_failure("w", "a", now));
        assert_eq!(suspicion.starts_left("w", now), None);
    }

    #[test]
    fn probes_come_one_at_a_time_and_rarer() {
        let now = Instant::now();
        let mut suspicion = WorkerSuspicion::default();
        ["a", "b", "c"].iter().for_each(|task| suspicion.on_failure("w", task, now));
        let later = now + FIRST_PAUSE;
        assert_eq!(suspicion.starts_left("w", later), Some(1));
        suspicion.on_start("w", later);
        assert_eq!(suspicion.starts_left("w", later), Some(0));
        suspicion.on_failure("w", "d", later);
        assert_eq!(suspicion.starts_left("w", later + FIRST_PAUSE), Some(0));
        assert_eq!(suspicion.starts_left("w", later + 2 * FIRST_PAUSE), Some(1));
        suspicion.on_success("w");
        assert_eq!(suspicion.starts_left("w", later), None);
    }
}
