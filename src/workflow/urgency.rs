//! Which jobs go before others when workers are given out.
//!
//! When more is asked for than workers take in, equal shares make nearly all jobs late. Jobs that can still be in
//! time go first, and of these the one with the least work left: a worker's time then brings the most jobs in time.
//! Larger jobs are not starved for good: one of which nothing runs takes any room after a while.

use crate::workflow::planner_jobs::JobEntry;

/// Multiple of the objective after which a job's end is worth nothing to its caller, from the
/// users' sheets; such jobs come last.
const WORTHLESS_AFTER: u64 = 3;

/// Share of the rest of a job that it takes at least: what is learned of durations is right to within a tenth, and
/// siblings that are not seen yet differ.
const SURE_SHARE: f64 = 0.85;

/// Jobs that serve and are due within this span, in milliseconds, are placed by their images.
const SERVING_SPAN_MS: u64 = 4_000;

/// Place of a job in a round: smaller comes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobUrgency<'a> {
    is_worthless: bool,
    is_late: bool,
    priority: u32,
    /// Whether it takes what others leave.
    fills: bool,
    /// Work that is left, so that of jobs that compete the shortest ends first (Schrage, "A Proof of the Optimality
    /// of the Shortest Remaining Processing Time Discipline", 1968); zero for what lasts.
    rest_work: u64,
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
        let outlook = entry.outlook();
        let objective_ms = outlook.objective_ms;
        let lasts = spec.steps.iter().any(|step| step.long_running);
        let rest_ms = (outlook.rest_ms as f64 * SURE_SHARE) as u64;
        let is_past =
            |multiple: u64| !lasts && wall_ms + rest_ms > due_ms + multiple * objective_ms;
        let serving = spec.steps.iter().find(|step| step.target_ms > 0);
        let deadline_ms = due_ms + objective_ms;
        // What lasts has no end that could be late; a little later does no harm.
        let span_ms = if serving.is_some() { SERVING_SPAN_MS } else { 1 };
        JobUrgency {
            is_worthless: is_past(WORTHLESS_AFTER),
            is_late: is_past(1),
            priority: spec.policy.priority,
            fills: entry.fills(),
            rest_work: if lasts { 0 } else { outlook.rest_work },
            deadline_ms: deadline_ms - deadline_ms % span_ms,
            serving_image: serving.map_or("", |step| step.image.as_str()),
        }
    }

    /// Whether the job can no longer end within its objective.
    pub(crate) fn is_late(&self) -> bool {
        self.is_late
    }
}
