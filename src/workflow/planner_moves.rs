//! Moves tasks: fills that are held up because they disturb, and what can go on elsewhere from workers that
//! are leaving.

use std::time::Duration;

use crate::ids::InstanceId;
use crate::workflow::placement::PlacementNeed;
use crate::workflow::placement::RiskLimit;
use crate::workflow::placement::choose;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::worker_board::RunKey;

/// Time at a slow pace after which a task is moved: longer than a short burst of load takes.
const HELD_UP_FOR: Duration = Duration::from_millis(1_000);
/// Age up to which a task that saves nothing may be moved; little work is lost.
const UNSAVED_AGE: Duration = Duration::from_millis(700);
/// Progress in percent from which on a task is left to end on a leaving worker.
const NEARLY_DONE: u32 = 60;
/// Tasks that are moved in one look at most, so that places are chosen one after another.
const MOVES_AT_ONCE: usize = 3;

impl Planner {
    /// Stops tasks that were held up for long where another worker would take them; they save their work
    /// and start there.
    pub(crate) fn move_held_up(&mut self) {
        self.stop_to_move(self.held_up());
    }

    /// Stops what runs on leaving workers and can go on elsewhere: tasks that last, and those that save
    /// their work and are far from done.
    pub(crate) fn evacuate(&mut self) {
        self.stop_to_move(self.leaving_runs());
    }

    /// Stops the first few runs that another worker would take.
    fn stop_to_move(&mut self, found: Vec<(InstanceId, RunKey)>) {
        let movable = found.into_iter().filter(|(instance, key)| self.has_place(instance, key));
        let moves: Vec<(InstanceId, RunKey)> = movable.take(MOVES_AT_ONCE).collect();
        for (instance, key) in moves {
            self.decisions.push(PlanDecision::Moved {
                task: key.0.clone(),
                run: key.1,
                worker: instance.clone(),
            });
            self.stop_run(&instance, key);
        }
    }

    fn leaving_runs(&self) -> Vec<(InstanceId, RunKey)> {
        let mut found = Vec::new();
        for (instance, worker) in self.board.iter() {
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
        for (instance, worker) in self.board.iter() {
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

    /// Whether another worker would take a task without risk for what serves there.
    fn has_place(&self, instance: &str, key: &RunKey) -> bool {
        let Some(entry) = self.jobs.get(&key.0.job) else {
            return false;
        };
        let Some(step) = entry.step(&key.0) else {
            return false;
        };
        let need = PlacementNeed {
            task: &key.0,
            step,
            service: &entry.spec.policy.service,
            avoid: &[],
            risk: RiskLimit::Known,
            needs_ticket: entry.spec.policy.advice.is_some(),
            rack: None,
            not_on: Some(instance),
        };
        choose(&need, &self.placement_view()).is_some()
    }
}
