//! Moves of tasks to other workers: throttled best-effort tasks, and tasks on draining workers that
//! can continue elsewhere.

use std::time::Duration;

use crate::ids::InstanceId;
use crate::workflow::placement::PlacementRequest;
use crate::workflow::placement::RiskLimit;
use crate::workflow::placement::choose;
use crate::workflow::plan_decision::MoveReason;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// Time at a reduced pace after which a task is moved; longer than a short load peak lasts.
const MIN_THROTTLED_TIME: Duration = Duration::from_millis(1_000);
/// The same for a task of a preferred job, whose slowest task decides whether it is in time.
const MIN_THROTTLED_TIME_PREFERRED: Duration = Duration::from_millis(400);
/// Maximum age at which a task without checkpoints is moved, since little work is lost.
const MAX_AGE_WITHOUT_CHECKPOINT: Duration = Duration::from_millis(700);
/// Progress, in percent, from which a task on a draining worker is left to complete there.
const NEARLY_DONE_PERCENT: u32 = 60;
/// Maximum number of tasks moved in one tick, so that each destination is chosen with the earlier
/// moves in view.
pub(crate) const MAX_MOVES_PER_TICK: usize = 3;
/// Lifetime of a reservation: covers the longest stop that platforms allow, the message delays and
/// the start.
const RESERVATION_LIFETIME: Duration = Duration::from_millis(2_500);

impl Planner {
    /// Moves tasks that have been throttled for long to workers that can run them. They save a
    /// checkpoint when they stop and resume from it.
    pub(crate) fn move_throttled(&mut self) {
        self.move_runs(self.throttled_runs(), MoveReason::HeldUp);
    }

    /// Moves tasks off draining workers if they can continue elsewhere: long-running tasks, and
    /// tasks with checkpoints that are far from complete.
    pub(crate) fn leave_draining(&mut self) {
        self.move_runs(self.runs_on_draining_workers(), MoveReason::Leaving);
    }

    /// Moves the first few of the runs for which another worker has capacity.
    pub(crate) fn move_runs(&mut self, runs: Vec<(InstanceId, RunKey)>, why: MoveReason) {
        let mut moves = 0;
        for (instance, key) in runs {
            if moves == MAX_MOVES_PER_TICK {
                break;
            }
            if let Some(to) = self.destination_for(&instance, &key) {
                moves += 1;
                self.move_run(&instance, key, &to, why);
            }
        }
    }

    /// Stops a run whose task is to continue on another worker, and reserves capacity there.
    pub(crate) fn move_run(&mut self, from: &str, key: RunKey, to: &str, why: MoveReason) {
        let step = self.jobs.get(&key.0.job).and_then(|entry| entry.step(&key.0)).cloned();
        if let (Some(step), Some(worker)) = (step, self.inventory.get_mut(to)) {
            worker.reservations.reserve(&key.0, &step, self.now, RESERVATION_LIFETIME);
        }
        self.decisions.push(PlanDecision::Moved {
            task: key.0.clone(),
            run: key.1,
            worker: from.to_string(),
            to: to.to_string(),
            why,
        });
        self.stop_run(from, key);
    }

    fn runs_on_draining_workers(&self) -> Vec<(InstanceId, RunKey)> {
        let mut runs = Vec::new();
        for (instance, worker) in self.inventory.iter() {
            if !worker.status.as_ref().is_some_and(|status| status.draining) {
                continue;
            }
            for (key, run) in &worker.assigned {
                let progress = run.last_report.as_ref().map_or(0, |report| report.progress_percent);
                let can_continue =
                    run.long_running || run.checkpoints && progress < NEARLY_DONE_PERCENT;
                if can_continue && !run.stopping {
                    runs.push((instance.clone(), key.clone()));
                }
            }
        }
        runs
    }

    fn throttled_runs(&self) -> Vec<(InstanceId, RunKey)> {
        let mut runs = Vec::new();
        for (instance, worker) in self.inventory.iter() {
            for (key, run) in &worker.assigned {
                let throttled_for =
                    run.throttled_since.map(|since| self.now.saturating_duration_since(since));
                let age = self.now.saturating_duration_since(run.assigned_at);
                let is_cheap = run.checkpoints || age < MAX_AGE_WITHOUT_CHECKPOINT;
                let min_throttled =
                    if run.yields { MIN_THROTTLED_TIME } else { MIN_THROTTLED_TIME_PREFERRED };
                if throttled_for.is_some_and(|span| span >= min_throttled)
                    && is_cheap
                    && !run.stopping
                {
                    runs.push((instance.clone(), key.clone()));
                }
            }
        }
        runs
    }

    /// Returns a worker that can run the task without risk to the serving tasks there.
    pub(crate) fn destination_for(&self, instance: &str, key: &RunKey) -> Option<InstanceId> {
        let request = self.move_request(&key.0, instance)?;
        choose(&request, &self.placement_view())
    }

    /// Placement request of a task that is moved away from a worker.
    pub(crate) fn move_request<'a>(
        &'a self,
        name: &'a TaskName,
        from: &'a str,
    ) -> Option<PlacementRequest<'a>> {
        let step = self.jobs.get(&name.job)?.step(name)?;
        let request = self.placement_request(name, step, None, Some(from))?;
        Some(PlacementRequest { risk: RiskLimit::Known, ..request })
    }
}
