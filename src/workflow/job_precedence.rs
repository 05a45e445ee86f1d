//! Precedence among best-effort jobs.
//!
//! When more best-effort work is offered than workers can run, equal shares make nearly all jobs
//! late: each waits for its slowest task. So the jobs at the head of the order take precedence, as
//! many as use a part of the processor time that best-effort tasks have recently got. Runs of all
//! other jobs yield: on a worker where serving tasks leave too little, they are throttled first,
//! and a preferred task is placed as if they were not there. They keep everything that preferred
//! runs leave, so that no capacity is lost.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::ids::JobId;
use crate::workflow::planner::Planner;
use crate::workflow::planner_jobs::JobEntry;
use crate::workflow::urgency::JobUrgency;
use crate::workflow::worker_inventory::RunKey;

/// Part of the best-effort usage up to which jobs take precedence. With more, preferred jobs would
/// share workers with each other again.
const PREFERRED_SHARE: f64 = 0.3;
/// Time over which the best-effort usage is averaged: about the duration of a task.
const USAGE_AVERAGING_TIME: Duration = Duration::from_millis(2_500);

/// The jobs that take precedence, and the usage that their number follows from.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobPrecedence {
    preferred: HashSet<JobId>,
    /// Average processor time that best-effort runs use, in thousandths of a core.
    usage: f64,
    recorded_at: Option<Instant>,
}

impl JobPrecedence {
    /// Whether a best-effort job has to yield to others.
    pub(crate) fn yields(&self, job: &str) -> bool {
        !self.preferred.contains(job)
    }

    /// Adds a measurement of the usage to its average.
    fn record_usage(&mut self, usage: f64, now: Instant) {
        let since = self.recorded_at.replace(now);
        let span = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let weight = 1.0 - (-span.as_secs_f64() / USAGE_AVERAGING_TIME.as_secs_f64()).exp();
        self.usage += (usage - self.usage) * weight;
    }
}

impl Planner {
    /// Records the processor time that best-effort runs use.
    pub(crate) fn record_best_effort_usage(&mut self) {
        let runs = self.inventory.iter().flat_map(|(_, worker)| worker.assigned.values());
        let reports = runs.filter(|run| run.best_effort).filter_map(|run| run.last_report.as_ref());
        let usage: u64 = reports.map(|report| report.usage).sum();
        self.precedence.record_usage(usage as f64, self.now);
    }

    /// Selects the preferred jobs among `order`, which begins with the most urgent one.
    pub(crate) fn preferred_jobs(&self, order: &[(JobUrgency<'_>, &JobId)]) -> HashSet<JobId> {
        let limit = self.precedence.usage * PREFERRED_SHARE;
        let mut preferred = HashSet::new();
        let mut requested = 0.0;
        for (urgency, job) in order {
            let Some(entry) = self.jobs.get(*job).filter(|entry| entry.is_best_effort()) else {
                continue;
            };
            // A job that comes first by its wait is late and has a quarter of the capacity already.
            if urgency.is_first_by_wait() {
                continue;
            }
            // A late job gains nothing from precedence, and the first one always has it.
            if urgency.is_late() || (requested > 0.0 && requested >= limit) {
                break;
            }
            requested += self.requested_millicores(job, entry);
            preferred.insert((*job).clone());
        }
        preferred
    }

    /// Processor time that the unfinished tasks of a job's ready steps request.
    fn requested_millicores(&self, job: &str, entry: &JobEntry) -> f64 {
        let mut requested = 0.0;
        for (occurrence, number) in self.ready_steps(job) {
            let tasks =
                entry.progress.open.get(&occurrence).and_then(|steps| steps.get(number as usize));
            let unfinished = tasks.into_iter().flatten().filter(|task| !task.done).count();
            let step = entry.spec.steps.get(number as usize);
            let millicores = step.map_or(0, |step| step.resources.millicores);
            requested += unfinished as f64 * millicores as f64;
        }
        requested
    }

    /// Records whether a run that was just assigned yields.
    pub(crate) fn set_yields(&mut self, instance: &str, key: &RunKey) {
        let yields = self.precedence.yields(&key.0.job);
        let worker = self.inventory.get_mut(instance);
        if let Some(run) = worker.and_then(|worker| worker.assigned.get_mut(key)) {
            run.yields = run.best_effort && yields;
        }
    }

    /// Puts the precedence of jobs into effect for the assigned runs.
    pub(crate) fn set_preferred_jobs(&mut self, preferred: HashSet<JobId>) {
        if preferred == self.precedence.preferred {
            return;
        }
        self.precedence.preferred = preferred;
        for worker in self.inventory.values_mut() {
            for (key, run) in &mut worker.assigned {
                run.yields = run.best_effort && self.precedence.yields(&key.0.job);
            }
        }
    }
}
