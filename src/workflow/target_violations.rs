//! Tasks that serve and stay over their target, each by itself.
//!
//! One measured tail that is over its target says little. A task whose tail stays there is harmed by what fills beside it, unless it
//! stays there while the fills stand still.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::TaskTraits;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// Time over its target after which a task counts by itself: three measured spans, and well within the seconds that callers bear.
const MIN_VIOLATION_DURATION: Duration = Duration::from_millis(1_500);
/// Time for which it does so after it was over its target last, so that fills settle at what it bears.
const MITIGATION_PERIOD: Duration = Duration::from_secs(10);
/// Time for which fills are not slowed again for a task that was over its target while they stood still.
const EXONERATION_PERIOD: Duration = Duration::from_secs(10);

/// A task that is over its target, or was of late.
#[derive(Clone, Copy, Debug, Default)]
struct RunViolation {
    /// Since when it is over its target.
    since: Option<Instant>,
    /// Whether the log has been told.
    is_reported: bool,
    /// Up to when it counts by itself.
    mitigated_until: Option<Instant>,
    /// Up to when fills are taken not to be the cause.
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

/// A task that has been over its target for long, as the log tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SustainedViolation {
    /// The task.
    pub task: TaskName,
    /// Its tail latency in milliseconds.
    pub tail_ms: u64,
    /// Its bound.
    pub target_ms: u64,
}

/// The tasks on one worker that are over their targets.
#[derive(Clone, Debug, Default)]
pub struct TargetViolations {
    runs: BTreeMap<RunKey, RunViolation>,
    new_violations: Vec<SustainedViolation>,
}

impl TargetViolations {
    /// Takes in what runs on the worker.
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

    /// Takes note that fills have stood still over the measured span: a task that is over its target all the same is so by its own load.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// greengagearch::workflow::target_violations::TargetViolations::default().exonerate_best_effort(Instant::now());
    /// ```
    pub fn exonerate_best_effort(&mut self, now: Instant) {
        for violation in self.runs.values_mut().filter(|violation| violation.is_sustained(now)) {
            violation.exonerated_until = Some(now + EXONERATION_PERIOD);
        }
    }

    /// Whether a run counts by itself: it was over its target for long, and fills may be the cause. They are where `is_caused_by_best_effort`, as the
    /// model has it, and else where they have not been cleared.
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

    /// Whether no task is over its target or was of late.
    ///
    /// ```
    /// assert!(greengagearch::workflow::target_violations::TargetViolations::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Tasks that have newly been over their targets for long.
    ///
    /// ```
    /// assert!(greengagearch::workflow::target_violations::TargetViolations::default().take_new_violations().is_empty());
    /// ```
    pub fn take_new_violations(&mut self) -> Vec<SustainedViolation> {
        std::mem::take(&mut self.new_violations)
    }
}
