//! Speculative copies of tasks that lag behind.

use std::time::Duration;

use crate::ids::InstanceId;
use crate::workflow::planner::Planner;
use crate::workflow::spec::StepSpec;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// Multiple of its estimate after which a running task gets a speculative copy; estimates may be
/// off by half.
const COPY_ESTIMATE_FACTOR: f64 = 3.0;
/// Allowance added to that limit for the delivery of orders and ends.
const COPY_SLACK: Duration = Duration::from_millis(250);

impl Planner {
    /// Starts speculative copies of tasks that are expected to end later than a copy.
    pub(crate) fn start_copies(
        &mut self,
        job: &str,
        occurrence: u32,
        step: u32,
        spec: &StepSpec,
    ) -> usize {
        let slow = self.slow_tasks(job, occurrence, step, spec);
        let mut started = 0;
        for (name, current_worker) in slow {
            if !self.is_copy_within_limit() {
                break;
            }
            if let Some(worker) = self.choose_worker(&name, spec, None, Some(&current_worker)) {
                if !self.may_copy_to(&worker) {
                    continue;
                }
                let run = self.last_run(&name) + 1;
                self.assign(&name, run, worker, spec);
                started += 1;
            }
        }
        started
    }

    /// Returns whether another copy may start now: always, unless speeds are learned.
    fn is_copy_within_limit(&self) -> bool {
        self.speeds.as_ref().is_none_or(|speeds| speeds.stragglers.may_act(self.now))
    }

    /// Returns whether a copy may start on a worker: always, unless speeds are learned.
    fn may_copy_to(&mut self, worker: &str) -> bool {
        let now = self.now;
        self.speeds
            .as_mut()
            .is_none_or(|speeds| !speeds.is_slow(worker) && speeds.stragglers.take_copy(now))
    }

    /// Tasks whose only run lags behind, each with the worker of that run.
    fn slow_tasks(
        &self,
        job: &str,
        occurrence: u32,
        step: u32,
        spec: &StepSpec,
    ) -> Vec<(TaskName, InstanceId)> {
        let tasks = self.jobs.get(job).and_then(|entry| entry.progress.open.get(&occurrence));
        let tasks = tasks.and_then(|steps| steps.get(step as usize));
        let limit =
            Duration::from_millis(spec.estimate_ms).mul_f64(COPY_ESTIMATE_FACTOR) + COPY_SLACK;
        let mut slow = Vec::new();
        for (index, task) in (0..).zip(tasks.into_iter().flatten()) {
            let [attempt] = task.attempts.as_slice() else {
                continue;
            };
            let name = TaskName { job: job.to_string(), occurrence, step, index };
            let key = (name, attempt.run);
            let is_slow = self.lags_behind(&attempt.worker, &key, limit);
            let is_suspected = !self.task_suspicion.crashes(&key.0).is_empty();
            if is_slow && !task.done && !is_suspected {
                slow.push((key.0, attempt.worker.clone()));
            }
        }
        slow
    }

    /// Returns whether a run is expected to end later than a copy, or has lasted longer than
    /// `limit` if its rate is unknown.
    fn lags_behind(&self, worker: &str, key: &RunKey, limit: Duration) -> bool {
        let run = self.inventory.get(worker).and_then(|worker| worker.assigned.get(key));
        let Some(run) = run else {
            return false;
        };
        let percent = run.last_report.as_ref().map_or(0, |report| report.progress_percent);
        let speeds = self.speeds.as_ref();
        let outlook = speeds.and_then(|speeds| {
            speeds.outlook((&key.0, percent), worker, run.assigned_at, self.now)
        });
        outlook.map_or_else(
            || self.now.saturating_duration_since(run.assigned_at) > limit,
            |outlook| outlook.needs_copy(),
        )
    }
}
