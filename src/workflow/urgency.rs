//! Order in which jobs get workers.
//!
//! Under overload, a fair distribution makes nearly all jobs late. Jobs that can still meet their
//! objective therefore come first, and among them the one with the least remaining work, so that
//! most jobs are completed in time. Larger jobs do not starve: a job without a running task may use
//! any free resources after a while, and where the operator has set a bound on the wait, a job that
//! exceeds it comes first in its priority. Where queues have weights, the share of a job's queue
//! counts before its remaining work.

use crate::ids::JobId;
use crate::workflow::fair_share::share_order::ShareOrder;
use crate::workflow::planner::Planner;
use crate::workflow::planner_jobs::JobEntry;

/// Multiple of its objective after which a completed job has no value to its caller, as users state
/// it. Such jobs come last.
const WORTHLESS_AFTER_OBJECTIVES: u64 = 3;

/// Least share of the forecast remaining time that a job is assumed to take. Forecasts have an
/// error of a tenth, and tasks without measured progress may differ from the others of their step.
const MIN_REMAINING_SHARE: f64 = 0.85;

/// Ratio of the time that a best-effort job takes to its critical path at full pace. Its tasks share
/// the processors that serving tasks leave, and the slowest one completes it.
const BEST_EFFORT_STRETCH: f64 = 1.5;

/// Deadlines of serving jobs are rounded down to this interval, so that jobs with nearly the same
/// deadline are ordered by their images.
const SERVING_DEADLINE_BUCKET_MS: u64 = 4_000;

/// Sort key of a job within a planning round; the smallest comes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobUrgency<'a> {
    is_worthless: bool,
    is_late: bool,
    priority: u32,
    /// False if the job comes first in its priority because its wait exceeds the bound.
    is_within_wait: bool,
    /// Rank by the share of the job's queue; zero without weights.
    share_rank: u32,
    /// Whether the job has best-effort tasks.
    is_best_effort: bool,
    /// Remaining work; zero for long-running jobs. The shortest of the competing jobs comes first
    /// (Schrage, "A Proof of the Optimality of the Shortest Remaining Processing Time Discipline",
    /// 1968).
    remaining_core_ms: u64,
    deadline_ms: u64,
    /// Image of the serving tasks, so that jobs of one image are placed one after another.
    serving_image: &'a str,
}

impl<'a> JobUrgency<'a> {
    /// The sort key of a job at the time `wall_ms`, in milliseconds since the Unix epoch.
    pub(crate) fn of(entry: &'a JobEntry, wall_ms: u64) -> JobUrgency<'a> {
        let spec = &entry.spec;
        let first_open = entry.progress.open.keys().next().copied().unwrap_or(0);
        let due_ms = spec.due_ms(first_open);
        let remaining_work = entry.remaining_work();
        let objective_ms = remaining_work.objective_ms;
        let is_long_running = spec.steps.iter().any(|step| step.long_running);
        let stretch =
            if entry.is_best_effort() { BEST_EFFORT_STRETCH } else { MIN_REMAINING_SHARE };
        let expected_ms = (remaining_work.critical_path_ms as f64 * stretch) as u64;
        let exceeds = |multiple: u64| {
            !is_long_running && wall_ms + expected_ms > due_ms + multiple * objective_ms
        };
        let serving = spec.steps.iter().find(|step| step.target_ms > 0);
        let deadline_ms = due_ms + objective_ms;
        // Serving tasks run until they are cancelled and cannot end late, so that a slightly later
        // start is harmless.
        let bucket_ms = if serving.is_some() { SERVING_DEADLINE_BUCKET_MS } else { 1 };
        JobUrgency {
            is_worthless: exceeds(WORTHLESS_AFTER_OBJECTIVES),
            is_late: exceeds(1),
            priority: spec.policy.priority,
            is_within_wait: true,
            share_rank: 0,
            is_best_effort: entry.is_best_effort(),
            remaining_core_ms: if is_long_running { 0 } else { remaining_work.remaining_core_ms },
            deadline_ms: deadline_ms - deadline_ms % bucket_ms,
            serving_image: serving.map_or("", |step| step.image.as_str()),
        }
    }

    /// The sort key of a job whose wait exceeds the bound. It comes first in its priority also if it
    /// is late, which it nearly always is.
    fn first_by_wait(self) -> JobUrgency<'a> {
        JobUrgency { is_worthless: false, is_late: false, is_within_wait: false, ..self }
    }

    /// Whether the job can no longer be completed within its objective.
    pub(crate) fn is_late(&self) -> bool {
        self.is_late
    }

    /// Whether the job has no value to its caller any more when it ends.
    pub(crate) fn is_worthless(&self) -> bool {
        self.is_worthless
    }

    /// Whether the job comes first in its priority because its wait exceeds the bound.
    pub(crate) fn is_first_by_wait(&self) -> bool {
        !self.is_within_wait
    }
}

impl Planner {
    /// All jobs that have not ended, the most urgent one first.
    pub(crate) fn job_order(&self) -> Vec<(JobUrgency<'_>, &JobId)> {
        let open = self.jobs.iter().filter(|(_, entry)| entry.end.is_none());
        let urgency = |job: &JobId, entry| {
            let urgency = JobUrgency::of(entry, self.wall_ms);
            if self.fair_share.is_first_by_wait(job) { urgency.first_by_wait() } else { urgency }
        };
        let mut order: Vec<(JobUrgency<'_>, &JobId)> =
            open.map(|(job, entry)| (urgency(job, entry), job)).collect();
        order.sort();
        if let Some(ledger) = self.share_ledger() {
            let mut ranks = ShareOrder::new(ledger);
            for (urgency, job) in &mut order {
                let Some(entry) = self.jobs.get(*job) else {
                    continue;
                };
                let policy = &entry.spec.policy;
                let (waiting, _) = entry.waiting_resources();
                urgency.share_rank = ranks.rank(&policy.service, &policy.queue, &waiting);
            }
            order.sort();
        }
        order
    }
}
