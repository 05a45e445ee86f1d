//! Brings tasks that serve together again when jobs that have ended, or hosts that were away, have left them
//! scattered, so that tasks that fill get room.
//!
//! Beside the tasks of several jobs that serve, a worker bears one or two fills, since each adds to the load of all
//! of them; beside one job it bears six, and where nothing serves as many as it has processors for. So a worker with
//! few tasks that serve is being emptied where others have room, and single tasks go to where their job is or where many
//! jobs serve already. A move costs users of a service about a second of one of its tasks; it is made only while
//! fills wait or are slowed, only while all tasks of its step are at work, one of a step at a time, and into a place
//! that is kept for it. Bulk work gains room by it, and what serves is disturbed less.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::InstanceId;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::placement::fits_but_for_room;
use crate::workflow::plan_decision::MoveReason;
use crate::workflow::planner::Planner;
use crate::workflow::serving_layout::ServingLayout;
use crate::workflow::serving_layout::lasting_room;
use crate::workflow::serving_layout::serving_runs;
use crate::workflow::spec::RoomAmount;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// Time between two looks at the layout: a move takes longer than that.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// Tasks that are moved to empty one worker at most.
const MOST_MOVES: usize = 4;
/// Fills that wait or are slowed from which on moves are worth it: what a freed worker takes in at once.
const LEAST_DEMAND: usize = 6;
/// Age of a run before it is moved: its users have had four seconds for the one that a move costs.
const LEAST_AGE: Duration = Duration::from_secs(4);
/// Time after which a worker that could not be emptied is given up.
const EMPTIED_WITHIN: Duration = Duration::from_secs(6);
/// Fills more that a single move has to make room for.
const LEAST_GAIN: f64 = 1.0;
/// Progress that a task that lasts shows when it is at work, in percent.
const AT_WORK: u32 = 100;
/// Workers, and tasks, that are tried in one look at most, so that its time grows with the workers and no faster.
const TRIED_AT_ONCE: usize = 32;

/// What the planner is at in bringing tasks that serve together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConsolidationState {
    /// The worker that is being emptied and until when that is tried.
    being_emptied: Option<(InstanceId, Instant)>,
    looked: Option<Instant>,
}

impl ConsolidationState {
    /// The worker that is being emptied of what serves.
    pub(crate) fn being_emptied(&self) -> Option<&str> {
        self.being_emptied.as_ref().map(|(worker, _)| worker.as_str())
    }
}

/// A task that is to be moved.
struct ServingMove {
    gain: f64,
    from: InstanceId,
    key: RunKey,
    to: InstanceId,
}

impl Planner {
    /// Looks whether moves of tasks that serve make room for fills, and begins some.
    pub(crate) fn consolidate(&mut self) {
        let is_recent = |at: Instant| self.now.saturating_duration_since(at) < LOOK_PAUSE;
        if self.consolidation.looked.is_some_and(is_recent) {
            return;
        }
        self.consolidation.looked = Some(self.now);
        if let Some((worker, until)) = self.consolidation.being_emptied.clone() {
            let runs = self.serving_keys(&worker);
            if runs.is_empty() || self.now >= until {
                self.consolidation.being_emptied = None;
            } else {
                self.continue_emptying(&worker, runs);
            }
            return;
        }
        if self.unmet_fills() < LEAST_DEMAND {
            return;
        }
        let layout = ServingLayout::of(&self.inventory, self.now);
        if let Some(worker) = self.worker_to_empty(&layout) {
            self.consolidation.being_emptied = Some((worker, self.now + EMPTIED_WITHIN));
        } else if let Some(best) = self.best_move(&layout) {
            self.move_run(&best.from, best.key, &best.to, MoveReason::Gathered);
        }
    }

    /// Fills that are ready and wait, or are slowed.
    fn unmet_fills(&self) -> usize {
        let unmet: usize =
            self.jobs.values().map(|entry| entry.waiting_tasks(|step| step.fills)).sum();
        let runs = self.inventory.iter().flat_map(|(_, worker)| worker.assigned.values());
        unmet + runs.filter(|run| run.slow_since.is_some()).count()
    }

    fn serving_keys(&self, instance: &str) -> Vec<RunKey> {
        let worker = self.inventory.get(instance);
        worker.into_iter().flat_map(serving_runs).map(|(key, _)| key.clone()).collect()
    }

    /// The worker with the fewest tasks that serve, if others have room for all of them.
    fn worker_to_empty(&self, layout: &ServingLayout) -> Option<InstanceId> {
        let mut few: Vec<(usize, u64, &InstanceId)> = Vec::new();
        for (instance, worker) in &layout.workers {
            let serving = worker.serving();
            if (1..=MOST_MOVES).contains(&serving) {
                few.push((serving, u64::MAX - worker.lasting_room.millicores, instance));
            }
        }
        few.sort();
        let mut tried = few.into_iter().take(TRIED_AT_ONCE).map(|(_, _, instance)| instance);
        tried.find(|instance| self.has_room_elsewhere(layout, instance)).cloned()
    }

    /// Whether all tasks that serve on a worker have served for a while and find room beside others that serve.
    fn has_room_elsewhere(&self, layout: &ServingLayout, instance: &str) -> bool {
        let others = layout
            .workers
            .iter()
            .filter(|(other, worker)| other.as_str() != instance && worker.serving() > 0);
        let mut rooms: BTreeMap<&InstanceId, RoomAmount> =
            others.map(|(other, worker)| (other, worker.lasting_room)).collect();
        let Some(worker) = self.inventory.get(instance) else {
            return false;
        };
        let view = self.placement_view();
        serving_runs(worker).all(|(key, run)| {
            let Some(request) =
                self.move_request(&key.0, instance).filter(|_| self.is_settled(run))
            else {
                return false;
            };
            let fitting = rooms.iter_mut().filter(|(other, room)| {
                let fits = |entry| fits_but_for_room(&request, &view, other, entry);
                room.contains(&run.counted) && self.inventory.get(other).is_some_and(fits)
            });
            let Some((_, room)) = fitting.min_by_key(|(_, room)| room.millicores) else {
                return false;
            };
            *room = room.minus(&run.counted);
            true
        })
    }

    /// Moves the tasks whose siblings are all at work, each when there is room for it now.
    fn continue_emptying(&mut self, from: &str, runs: Vec<RunKey>) {
        for key in runs {
            if !self.is_step_at_work(&key.0) {
                continue;
            }
            if let Some(to) = self.fullest_place(&key.0, from) {
                self.move_run(from, key, &to, MoveReason::Emptied);
            }
        }
    }

    /// The fullest worker beside whose tasks that serve there is room for another one now.
    fn fullest_place(&self, name: &TaskName, from: &str) -> Option<InstanceId> {
        let request = self.move_request(name, from)?;
        let view = self.placement_view();
        let wanted = request.step.counted_room();
        let fitting = self.inventory.iter().filter(|(instance, worker)| {
            worker.is_serving()
                && worker.room_for(name, self.now).contains(&wanted)
                && fits_but_for_room(&request, &view, instance, worker)
        });
        let fullest = fitting.min_by_key(|(_, worker)| lasting_room(worker).millicores);
        fullest.map(|(instance, _)| instance.clone())
    }

    /// The single move that makes room for the most fills.
    fn best_move(&self, layout: &ServingLayout) -> Option<ServingMove> {
        let mut single: Vec<(f64, &InstanceId, &RunKey, &AssignedRun)> = Vec::new();
        for (from, worker) in &layout.workers {
            for (key, run) in self.inventory.get(from).into_iter().flat_map(serving_runs) {
                let gained = worker.gain_if_removed(&key.0.job);
                if gained >= LEAST_GAIN && self.is_settled(run) {
                    single.push((gained, from, key, run));
                }
            }
        }
        single.sort_by(|a, b| b.0.total_cmp(&a.0));
        let movable = single.into_iter().filter(|(_, _, key, _)| self.is_step_at_work(&key.0));
        let each = movable.take(TRIED_AT_ONCE).filter_map(|(gained, from, key, run)| {
            let (lost, to) = self.cheapest_place(layout, from, key, run)?;
            Some(ServingMove { gain: gained - lost, from: from.clone(), key: key.clone(), to })
        });
        let best = each.max_by(|a, b| a.gain.total_cmp(&b.gain));
        best.filter(|best| best.gain >= LEAST_GAIN)
    }

    /// The worker on which a task costs the fewest fills their room, and how many.
    fn cheapest_place(
        &self,
        layout: &ServingLayout,
        from: &str,
        key: &RunKey,
        run: &AssignedRun,
    ) -> Option<(f64, InstanceId)> {
        let request = self.move_request(&key.0, from)?;
        let view = self.placement_view();
        let mut best: Option<(f64, &InstanceId)> = None;
        for (to, worker) in layout.workers.iter().filter(|(_, worker)| worker.serving() > 0) {
            let lost = worker.loss_if_added(&key.0.job);
            if best.is_some_and(|(least, _)| lost >= least) {
                continue;
            }
            let Some(entry) = self.inventory.get(to) else {
                continue;
            };
            let has_room = entry.room_for(&key.0, self.now).contains(&run.counted);
            if has_room && fits_but_for_room(&request, &view, to, entry) {
                best = Some((lost, to));
            }
        }
        best.map(|(lost, to)| (lost, to.clone()))
    }

    fn is_settled(&self, run: &AssignedRun) -> bool {
        !run.stopping && self.now.saturating_duration_since(run.since) >= LEAST_AGE
    }

    /// Whether all tasks of a step run, are at work and are not about to be stopped.
    fn is_step_at_work(&self, name: &TaskName) -> bool {
        let Some(entry) = self.jobs.get(&name.job).filter(|entry| entry.end.is_none()) else {
            return false;
        };
        let steps = entry.progress.open.get(&name.occurrence);
        let Some(tasks) = steps.and_then(|steps| steps.get(name.step as usize)) else {
            return false;
        };
        (0..).zip(tasks).all(|(index, task)| {
            let [attempt] = task.attempts.as_slice() else {
                return false;
            };
            let key = (TaskName { index, ..name.clone() }, attempt.run);
            let worker = self.inventory.get(&attempt.worker);
            let seen =
                worker.and_then(|worker| worker.assigned.get(&key)).filter(|run| !run.stopping);
            let seen = seen.and_then(|run| run.seen.as_ref());
            seen.is_some_and(|seen| seen.progress_percent >= AT_WORK)
        })
    }
}
