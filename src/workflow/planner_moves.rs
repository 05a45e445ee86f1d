//! Moves tasks that fill away from where they are held up because they disturb.

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
/// Tasks that are moved in one look at most, so that places are chosen one after another.
const MOVES_AT_ONCE: usize = 3;

impl Planner {
    /// Stops tasks that were held up for long where another worker would take them; they save their work
    /// and start there.
    pub(crate) fn move_held_up(&mut self) {
        let held_up = self.held_up();
        let movable = held_up.into_iter().filter(|(instance, key)| self.has_place(instance, key));
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
        let avoid = [instance.to_string()];
        let need = PlacementNeed {
            task: &key.0,
            step,
            service: &entry.spec.policy.service,
            avoid: &avoid,
            risk: RiskLimit::Known,
        };
        choose(&need, &self.placement_view()).is_some_and(|chosen| chosen != instance)
    }
}
