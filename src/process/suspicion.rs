//! Suspicion of workers that fail everything they start.
//!
//! Such a worker looks idle and would attract all work. After a run of failures of distinct tasks
//! without a success it gets one probe at a time, at growing intervals, until a task succeeds there.
//! Only what becomes of probes counts from then on: tasks that ran before may all fail in the same moment.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::WorkerId;

/// Distinct tasks in a row that must fail on a worker before it is suspected.
const FAILURES_TO_SUSPECT: usize = 3;
/// Pause before the first probe: users' workers fail for five to seven seconds when they do.
const FIRST_PAUSE: Duration = Duration::from_secs(2);
/// Longest pause between two probes.
const LONGEST_PAUSE: Duration = Duration::from_secs(300);
/// Time after which a probe that has neither failed nor succeeded allows another: longer than most tasks take.
const PROBE_LIMIT: Duration = Duration::from_secs(3);

#[derive(Clone, Debug, Default)]
struct WorkerRecord {
    failed: BTreeSet<String>,
    probing: Option<ProbeState>,
}

/// How a suspected worker is tried.
#[derive(Clone, Debug)]
struct ProbeState {
    pause: Duration,
    next_at: Instant,
    /// The task that tries it now, and since when.
    probe: Option<(String, Instant)>,
}

impl ProbeState {
    fn new(now: Instant) -> ProbeState {
        ProbeState { pause: FIRST_PAUSE, next_at: now + FIRST_PAUSE, probe: None }
    }

    fn on_failure(&mut self, task: &str, now: Instant) {
        if self.probe.take_if(|(probe, _)| probe == task).is_some() {
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
            self.next_at = now + self.pause;
        }
    }

    fn may_probe(&self, now: Instant) -> bool {
        let at = self.probe.as_ref().map_or(self.next_at, |(_, since)| *since + PROBE_LIMIT);
        now >= at
    }
}

/// What is held against each worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerSuspicion {
    records: HashMap<WorkerId, WorkerRecord>,
}

impl WorkerSuspicion {
    /// Takes in a failure of a task, by its key. Says whether the worker is suspected from now on.
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
    pub fn on_failure(&mut self, worker: &str, task: &str, now: Instant) -> bool {
        let record = self.records.entry(worker.to_string()).or_default();
        if let Some(probing) = &mut record.probing {
            probing.on_failure(task, now);
            return false;
        }
        record.failed.insert(task.to_string());
        let is_suspected = record.failed.len() >= FAILURES_TO_SUSPECT;
        if is_suspected {
            record.probing = Some(ProbeState::new(now));
        }
        is_suspected
    }

    /// Takes in a success; it lifts the suspicion. Says whether there was one.
    ///
    /// ```
    /// greengagearch::process::suspicion::WorkerSuspicion::default().on_success("w1");
    /// ```
    pub fn on_success(&mut self, worker: &str) -> bool {
        self.records.remove(worker).is_some_and(|record| record.probing.is_some())
    }

    /// Must be told of each start; on a suspected worker the task is the probe from then on.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::suspicion::WorkerSuspicion;
    ///
    /// WorkerSuspicion::default().on_start("w1", "a", Instant::now());
    /// ```
    pub fn on_start(&mut self, worker: &str, task: &str, now: Instant) {
        let record = self.records.get_mut(worker);
        if let Some(probing) = record.and_then(|record| record.probing.as_mut()) {
            probing.probe = Some((task.to_string(), now));
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
        let probing = self.records.get(worker)?.probing.as_ref()?;
        Some(u32::from(probing.may_probe(now)))
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
        (0..9).for_each(|_| assert!(!suspicion.on_failure("w", "a", now)));
        assert_eq!(suspicion.starts_left("w", now), None);
    }

    #[test]
    fn probes_come_one_at_a_time_and_rarer() {
        let now = Instant::now();
        let mut suspicion = WorkerSuspicion::default();
        let told = ["a", "b", "c"].map(|task| suspicion.on_failure("w", task, now));
        assert_eq!(told, [false, false, true]);
        let later = now + FIRST_PAUSE;
        assert_eq!(suspicion.starts_left("w", later), Some(1));
        suspicion.on_start("w", "d", later);
        assert_eq!(suspicion.starts_left("w", later), Some(0));
        suspicion.on_failure("w", "d", later);
        assert_eq!(suspicion.starts_left("w", later + FIRST_PAUSE), Some(0));
        assert_eq!(suspicion.starts_left("w", later + 2 * FIRST_PAUSE), Some(1));
        assert!(suspicion.on_success("w"));
        assert_eq!(suspicion.starts_left("w", later), None);
    }
}
