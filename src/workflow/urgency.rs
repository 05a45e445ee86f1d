//! Which jobs go before others when workers are given out.
//!
//! When more is asked for than workers take in, equal shares make nearly all jobs late. Jobs that can still be in
//! time go first, and of these the one with the least work left: a worker's time then brings the most jobs in time.
//! Larger jobs are not starved for good: one of which nothing runs takes any room after a while.

use crate::workflow::planner_jobs::JobEntry;

/// Multiple of the objective after which a job's end is worth nothing to its caller, from the
/// users' sheets; such jobs come last.
const WORTHLESS_AFTER_OBJECTIVES: u64 = 3;

/// Share of the rest of a job that it takes at least: what is learned of durations is right to within a tenth, and
/// siblings that are not seen yet differ.
const MIN_REMAINING_SHARE: f64 = 0.85;

/// Jobs that serve and are due within this span, in milliseconds, are placed by their images.
const SERVING_DEADLINE_BUCKET_MS: u64 = 4_000;

/// Place of a job in a round: smaller comes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobUrgency<'a> {
    is_worthless: bool,
    is_late: bool,
    priority: u32,
    /// Whether it takes what others leave.
    is_best_effort: bool,
    /// Work that is left, so that of jobs that compete the shortest ends first (Schrage, "A Proof of the Optimality
    /// of the Shortest Remaining Processing Time Discipline", 1968); zero for what lasts.
    remaining_core_ms: u64,
    deadline_ms: u64,
    /// What serves, so that jobs of one image that come together are placed one after another.
    serving_image: &'a str,
}

impl<'a> JobUrgency<'a> {
    /// The place of a job at a time.
    pub(crate) fn of(entry: &'a JobEntry, wall_ms: u64) -> JobUrgency<'a> {
        let spec = &entry.spec;
        let first_open = entry.progress.open.keys().next().copied().unwrap_or(0);
        let due_ms = spec.due_ms(first_open);
        let remaining_work = entry.remaining_work();
        let objective_ms = remaining_work.objective_ms;
        let is_long_running = spec.steps.iter().any(|step| step.long_running);
        let critical_path_ms =
            (remaining_work.critical_path_ms as f64 * MIN_REMAINING_SHARE) as u64;
        let is_past = |multiple: u64| {
            !is_long_running && wall_ms + critical_path_ms > due_ms + multiple * objective_ms
        };
        let serving = spec.steps.iter().find(|step| step.target_ms > 0);
        let deadline_ms = due_ms + objective_ms;
        // What lasts has no end that could be late; a little later does no harm.
        let bucket_ms = if serving.is_some() { SERVING_DEADLINE_BUCKET_MS } else { 1 };
        JobUrgency {
            is_worthless: is_past(WORTHLESS_AFTER_OBJECTIVES),
            is_late: is_past(1),
            priority: spec.policy.priority,
            is_best_effort: entry.is_best_effort(),
            remaining_core_ms: if is_long_running { 0 } else { remaining_work.remaining_core_ms },
            deadline_ms: deadline_ms - deadline_ms % bucket_ms,
            serving_image: serving.map_or("", |step| step.image.as_str()),
        }
    }

    /// Whether the job can no longer end within its objective.
    pub(crate) fn is_late(&self) -> bool {
        self.is_late
    }
}
