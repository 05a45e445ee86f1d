//! Moves tasks: fills that are held up because they disturb, and what can go on elsewhere from workers that
//! are leaving.

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

/// Time at a slow pace after which a task is moved: longer than a short burst of load takes.
const HELD_UP_FOR: Duration = Duration::from_millis(1_000);
/// Age up to which a task that saves nothing may be moved; little work is lost.
const UNSAVED_AGE: Duration = Duration::from_millis(700);
/// Progress in percent from which on a task is left to end on a leaving worker.
const NEARLY_DONE: u32 = 60;
/// Tasks that are moved in one look at most, so that places are chosen one after another.
const MOVES_AT_ONCE: usize = 3;
/// Time for which a place is kept: the longest stop that platforms allow, its way and the start.
const HOLD_SPAN: Duration = Duration::from_millis(2_500);

impl Planner {
    /// Stops tasks that were held up for long where another worker would take them; they save their work
    /// and start there.
    pub(crate) fn move_held_up(&mut self) {
        self.move_some(self.held_up(), MoveReason::HeldUp);
    }

    /// Stops what runs on leaving workers and can go on elsewhere: tasks that last, and those that save
    /// their work and are far from done.
    pub(crate) fn evacuate(&mut self) {
        self.move_some(self.leaving_runs(), MoveReason::Leaving);
    }

    /// Moves the first few runs that another worker would take.
    fn move_some(&mut self, found: Vec<(InstanceId, RunKey)>, why: MoveReason) {
        let mut moves = 0;
        for (instance, key) in found {
            if moves == MOVES_AT_ONCE {
                break;
            }
            if let Some(to) = self.place_for(&instance, &key) {
                moves += 1;
                self.move_run(&instance, key, &to, why);
            }
        }
    }

    /// Stops a run whose task is to go on elsewhere, and keeps its new place.
    pub(crate) fn move_run(&mut self, from: &str, key: RunKey, to: &str, why: MoveReason) {
        let step = self.jobs.get(&key.0.job).and_then(|entry| entry.step(&key.0)).cloned();
        if let (Some(step), Some(worker)) = (step, self.inventory.get_mut(to)) {
            worker.holds.keep(&key.0, &step, self.now, HOLD_SPAN);
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

    fn leaving_runs(&self) -> Vec<(InstanceId, RunKey)> {
        let mut found = Vec::new();
        for (instance, worker) in self.inventory.iter() {
            if !worker.status.as_ref().is_some_and(|status| status.draining) {
                continue;
            }
            for (key, run) in &worker.assigned {
                let progress = run.seen.as_ref().map_or(0, |seen| seen.progress_percent);
                let can_go_on = run.long_running || run.checkpoints && progress < NEARLY_DONE;
                if can_go_on && !run.stopping {
                    found.push((instance.clone(), key.clone()));
                }
            }
        }
        found
    }

    fn held_up(&self) -> Vec<(InstanceId, RunKey)> {
        let mut found = Vec::new();
        for (instance, worker) in self.inventory.iter() {
            for (key, run) in &worker.assigned {
                let held_for =
                    run.slow_since.map(|since| self.now.saturating_duration_since(since));
                let age = self.now.saturating_duration_since(run.since);
                let is_cheap = run.checkpoints || age < UNSAVED_AGE;
                if held_for.is_some_and(|span| span >= HELD_UP_FOR) && is_cheap && !run.stopping {
                    found.push((instance.clone(), key.clone()));
                }
            }
        }
        found
    }

    /// The worker that would take a task without risk for what serves there.
    fn place_for(&self, instance: &str, key: &RunKey) -> Option<InstanceId> {
        let request = self.move_request(&key.0, instance)?;
        choose(&request, &self.placement_view())
    }

    /// What a task needs of the worker that it is moved to.
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
