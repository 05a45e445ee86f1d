//! Serving tasks whose tail latency exceeds their target for long.
//!
//! A single measured tail above the target is not significant. A task whose tail stays above it is
//! assumed to suffer from the best-effort runs on its worker, unless it stays there while they are
//! paused. Such a task limits their pace on its own, besides the group of its step.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::TaskTraits;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// Time above the target after which a violation is sustained: three measurement windows, and well
/// within the seconds that callers tolerate.
const MIN_VIOLATION_DURATION: Duration = Duration::from_millis(1_500);
/// Time after the end of a sustained violation for which the task still limits the best-effort
/// runs, so that their paces settle at a level that it tolerates.
const MITIGATION_PERIOD: Duration = Duration::from_secs(10);
/// Time for which best-effort runs are not throttled for a task that exceeded its target while they
/// were paused.
const EXONERATION_PERIOD: Duration = Duration::from_secs(10);

/// State of a task that exceeds its target or did so recently.
#[derive(Clone, Copy, Debug, Default)]
struct RunViolation {
    /// Since when the task has exceeded its target without interruption.
    since: Option<Instant>,
    /// Whether the violation was reported as sustained.
    is_reported: bool,
    /// Until when the task limits the best-effort runs on its own.
    mitigated_until: Option<Instant>,
    /// Until when best-effort runs are assumed not to be the cause.
    exonerated_until: Option<Instant>,
}

impl RunViolation {
    fn is_sustained(&self, now: Instant) -> bool {
        self.since
            .is_some_and(|since| now.saturating_duration_since(since) >= MIN_VIOLATION_DURATION)
    }

    fn needs_mitigation(&self, now: Instant) -> bool {
        self.mitigated_until.is_some_and(|until| now < until)
    }

    fn is_exonerated(&self, now: Instant) -> bool {
        self.exonerated_until.is_some_and(|until| now < until)
    }

    fn record(&mut self, is_over: bool, now: Instant) {
        if !is_over {
            self.since = None;
            self.is_reported = false;
            return;
        }
        self.since.get_or_insert(now);
        if self.is_sustained(now) {
            self.mitigated_until = Some(now + MITIGATION_PERIOD);
        }
    }
}

/// A violation that has become sustained, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SustainedViolation {
    /// The task.
    pub task: TaskName,
    /// Its tail latency in milliseconds.
    pub tail_ms: u64,
    /// Its target in milliseconds.
    pub target_ms: u64,
}

/// Current and recent violations of tail-latency targets on one worker.
#[derive(Clone, Debug, Default)]
pub struct TargetViolations {
    runs: BTreeMap<RunKey, RunViolation>,
    new_violations: Vec<SustainedViolation>,
}

impl TargetViolations {
    /// Records the tails of the runs on the worker.
    ///
    /// ```
    /// use std::collections::HashMap;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::target_violations::TargetViolations;
    ///
    /// let mut violations = TargetViolations::default();
    /// violations.record(&[], &HashMap::new(), Instant::now());
    /// assert!(violations.take_new_violations().is_empty());
    /// ```
    pub fn record(
        &mut self,
        running: &[PresentRun],
        traits: &HashMap<TaskName, TaskTraits>,
        now: Instant,
    ) {
        let mut runs = BTreeMap::new();
        for run in running {
            let target_ms = traits.get(&run.task).map_or(0, |traits| traits.target_ms);
            if target_ms == 0 {
                continue;
            }
            let key = (run.task.clone(), run.run);
            let mut violation = self.runs.remove(&key).unwrap_or_default();
            violation.record(run.usage > target_ms, now);
            if violation.is_sustained(now) && !std::mem::replace(&mut violation.is_reported, true) {
                self.new_violations.push(SustainedViolation {
                    task: key.0.clone(),
                    tail_ms: run.usage,
                    target_ms,
                });
            }
            if violation.since.is_some() || violation.needs_mitigation(now) {
                runs.insert(key, violation);
            }
        }
        self.runs = runs;
    }

    /// Records that all best-effort runs were paused during the measurement window. A task that
    /// exceeds its target nevertheless does so because of its own load.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::target_violations::TargetViolations;
    ///
    /// TargetViolations::default().exonerate_best_effort(Instant::now());
    /// ```
    pub fn exonerate_best_effort(&mut self, now: Instant) {
        for violation in self.runs.values_mut().filter(|violation| violation.is_sustained(now)) {
            violation.exonerated_until = Some(now + EXONERATION_PERIOD);
        }
    }

    /// Whether best-effort runs have to be throttled for this run: it has exceeded its target for
    /// long, and they may be the cause. They may be if they were not exonerated or if the model
    /// attributes the violation to them, which `is_caused_by_best_effort` evaluates.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::target_violations::TargetViolations;
    ///
    /// let key = ("s.0.0.0".parse().unwrap(), 1);
    /// assert!(!TargetViolations::default().is_interference_victim(&key, || true, Instant::now()));
    /// ```
    pub fn is_interference_victim(
        &self,
        key: &RunKey,
        is_caused_by_best_effort: impl FnOnce() -> bool,
        now: Instant,
    ) -> bool {
        let violation = self.runs.get(key).filter(|violation| violation.needs_mitigation(now));
        violation
            .is_some_and(|violation| !violation.is_exonerated(now) || is_caused_by_best_effort())
    }

    /// Whether there is neither a current nor a recent violation.
    ///
    /// ```
    /// assert!(greengagearch::workflow::target_violations::TargetViolations::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Removes and returns the violations that have become sustained since the last call.
    ///
    /// ```
    /// use greengagearch::workflow::target_violations::TargetViolations;
    ///
    /// assert!(TargetViolations::default().take_new_violations().is_empty());
    /// ```
    pub fn take_new_violations(&mut self) -> Vec<SustainedViolation> {
        std::mem::take(&mut self.new_violations)
    }
}
