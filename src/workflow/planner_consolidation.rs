//! Consolidation of serving tasks that ended jobs or host outages have left scattered, so that
//! workers have capacity for best-effort tasks.
//!
//! A worker with serving tasks of several jobs can run one or two best-effort tasks, since each
//! adds to the load of all of them. Beside one serving job it can run six, and without serving
//! tasks as many as it has cores for. Therefore a worker with few serving tasks is emptied when
//! others have capacity for them, and single tasks move to workers that already run their job or
//! many serving jobs. A move makes one task of a service unavailable for about a second. So moves
//! are made only while best-effort tasks wait or are throttled, only while all tasks of the step
//! are working, one task of a step at a time, and into reserved capacity. Consolidation gives
//! best-effort work more capacity and disturbs serving tasks less.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::InstanceId;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::placement::is_eligible;
use crate::workflow::plan_decision::MoveReason;
use crate::workflow::planner::Planner;
use crate::workflow::serving_layout::ServingLayout;
use crate::workflow::serving_layout::long_term_free;
use crate::workflow::serving_layout::serving_runs;
use crate::workflow::spec::ResourceVector;
use crate::workflow::task_name::TaskName;
use crate::workflow::task_progress::TaskProgress;
use crate::workflow::worker_inventory::RunKey;

/// Minimum time between two evaluations of the layout; a move takes longer than that.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of tasks moved to empty one worker.
const MAX_MOVES: usize = 4;
/// Number of waiting or throttled best-effort tasks that justifies a move: as many as an emptied
/// worker can start at once.
const MIN_UNMET_DEMAND: usize = 6;
/// Minimum age of a run that is moved. A move costs about one second of service, so it follows at
/// least four seconds of service.
pub(crate) const MIN_RUN_AGE: Duration = Duration::from_secs(4);
/// Time after which an attempt to empty a worker is abandoned.
const EMPTYING_TIMEOUT: Duration = Duration::from_secs(6);
/// Number of additional best-effort tasks that a single move has to allow.
const MIN_GAIN: f64 = 1.0;
/// Progress, in percent, that a long-running task reports while it is working.
pub(crate) const WORKING_PERCENT: u32 = 100;
/// Maximum number of workers or tasks examined in one evaluation, which keeps its cost linear in
/// the number of workers.
const MAX_CANDIDATES: usize = 32;

/// Progress of the consolidation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConsolidationState {
    /// The worker that is being emptied, and the time until which this is attempted.
    being_emptied: Option<(InstanceId, Instant)>,
    last_evaluated: Option<Instant>,
}

impl ConsolidationState {
    /// The worker that is being emptied of serving tasks.
    pub(crate) fn being_emptied(&self) -> Option<&str> {
        self.being_emptied.as_ref().map(|(worker, _)| worker.as_str())
    }
}

/// A serving task to move, and the additional best-effort tasks that the move allows.
struct ServingMove {
    gain: f64,
    from: InstanceId,
    key: RunKey,
    to: InstanceId,
}

impl Planner {
    /// Starts moves of serving tasks if these allow more best-effort tasks to run.
    pub(crate) fn consolidate(&mut self) {
        let is_recent = |at: Instant| self.now.saturating_duration_since(at) < EVALUATION_INTERVAL;
        if self.consolidation.last_evaluated.is_some_and(is_recent) {
            return;
        }
        self.consolidation.last_evaluated = Some(self.now);
        if let Some((worker, until)) = self.consolidation.being_emptied.clone() {
            let runs = self.serving_keys(&worker);
            if runs.is_empty() || self.now >= until {
                self.consolidation.being_emptied = None;
            } else {
                self.continue_emptying(&worker, runs);
            }
            return;
        }
        if self.unmet_best_effort() < MIN_UNMET_DEMAND {
            return;
        }
        let layout = ServingLayout::of(&self.inventory, self.now);
        if let Some(worker) = self.worker_to_empty(&layout) {
            self.consolidation.being_emptied = Some((worker, self.now + EMPTYING_TIMEOUT));
        } else if let Some(best) = self.best_move(&layout) {
            self.move_run(&best.from, best.key, &best.to, MoveReason::Gathered);
        }
    }

    /// Number of best-effort tasks that are ready but not running, or are throttled.
    fn unmet_best_effort(&self) -> usize {
        let unmet: usize =
            self.jobs.values().map(|entry| entry.waiting_tasks(|step| step.best_effort)).sum();
        let runs = self.inventory.iter().flat_map(|(_, worker)| worker.assigned.values());
        unmet + runs.filter(|run| run.throttled_since.is_some()).count()
    }

    fn serving_keys(&self, instance: &str) -> Vec<RunKey> {
        let worker = self.inventory.get(instance);
        worker.into_iter().flat_map(serving_runs).map(|(key, _)| key.clone()).collect()
    }

    /// Returns the worker with the fewest serving tasks, if other workers have capacity for all of
    /// them.
    fn worker_to_empty(&self, layout: &ServingLayout) -> Option<InstanceId> {
        let mut candidates: Vec<(usize, u64, &InstanceId)> = Vec::new();
        for (instance, worker) in &layout.workers {
            let serving = worker.serving();
            if (1..=MAX_MOVES).contains(&serving) {
                candidates.push((serving, u64::MAX - worker.long_term_free.millicores, instance));
            }
        }
        candidates.sort();
        let mut examined =
            candidates.into_iter().take(MAX_CANDIDATES).map(|(_, _, instance)| instance);
        examined.find(|instance| self.fits_elsewhere(layout, instance)).cloned()
    }

    /// Returns whether all serving tasks of a worker have run for the minimum age and fit on other
    /// workers with serving tasks.
    fn fits_elsewhere(&self, layout: &ServingLayout, instance: &str) -> bool {
        let others = layout
            .workers
            .iter()
            .filter(|(other, worker)| other.as_str() != instance && worker.serving() > 0);
        let mut free: BTreeMap<&InstanceId, ResourceVector> =
            others.map(|(other, worker)| (other, worker.long_term_free)).collect();
        let Some(worker) = self.inventory.get(instance) else {
            return false;
        };
        let view = self.placement_view();
        serving_runs(worker).all(|(key, run)| {
            let Some(request) =
                self.move_request(&key.0, instance).filter(|_| self.is_movable(run))
            else {
                return false;
            };
            let fitting = free.iter_mut().filter(|(other, available)| {
                let fits = |entry| is_eligible(&request, &view, other, entry);
                available.contains(&run.reserved) && self.inventory.get(other).is_some_and(fits)
            });
            let Some((_, available)) = fitting.min_by_key(|(_, available)| available.millicores)
            else {
                return false;
            };
            *available = available.minus(&run.reserved);
            true
        })
    }

    /// Moves the tasks whose steps are working completely, each as soon as another worker has
    /// capacity.
    fn continue_emptying(&mut self, from: &str, runs: Vec<RunKey>) {
        for key in runs {
            if !self.is_step_working(&key.0) {
                continue;
            }
            if let Some(to) = self.fullest_destination(&key.0, from) {
                self.move_run(from, key, &to, MoveReason::Emptied);
            }
        }
    }

    /// Returns the fullest worker with serving tasks that currently has capacity for another one.
    fn fullest_destination(&self, name: &TaskName, from: &str) -> Option<InstanceId> {
        let request = self.move_request(name, from)?;
        let view = self.placement_view();
        let requested = request.step.reserved_resources();
        let fitting = self.inventory.iter().filter(|(instance, worker)| {
            worker.is_serving()
                && worker.available_to(name, self.now).contains(&requested)
                && is_eligible(&request, &view, instance, worker)
        });
        let fullest = fitting.min_by_key(|(_, worker)| long_term_free(worker).millicores);
        fullest.map(|(instance, _)| instance.clone())
    }

    /// Returns the single move that allows the most additional best-effort tasks.
    fn best_move(&self, layout: &ServingLayout) -> Option<ServingMove> {
        let mut candidates: Vec<(f64, &InstanceId, &RunKey, &AssignedRun)> = Vec::new();
        for (from, worker) in &layout.workers {
            for (key, run) in self.inventory.get(from).into_iter().flat_map(serving_runs) {
                let gain = worker.gain_if_removed(&key.0.job);
                if gain >= MIN_GAIN && self.is_movable(run) {
                    candidates.push((gain, from, key, run));
                }
            }
        }
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0));
        let movable = candidates.into_iter().filter(|(_, _, key, _)| self.is_step_working(&key.0));
        let moves = movable.take(MAX_CANDIDATES).filter_map(|(gain, from, key, run)| {
            let (loss, to) = self.cheapest_destination(layout, from, key, run)?;
            Some(ServingMove { gain: gain - loss, from: from.clone(), key: key.clone(), to })
        });
        let best = moves.max_by(|a, b| a.gain.total_cmp(&b.gain));
        best.filter(|best| best.gain >= MIN_GAIN)
    }

    /// Returns the worker where adding the task displaces the fewest best-effort tasks, with their
    /// number.
    fn cheapest_destination(
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
            let loss = worker.loss_if_added(&key.0.job);
            if best.is_some_and(|(lowest, _)| loss >= lowest) {
                continue;
            }
            let Some(entry) = self.inventory.get(to) else {
                continue;
            };
            let has_capacity = entry.available_to(&key.0, self.now).contains(&run.reserved);
            if has_capacity && is_eligible(&request, &view, to, entry) {
                best = Some((loss, to));
            }
        }
        best.map(|(loss, to)| (loss, to.clone()))
    }

    fn is_movable(&self, run: &AssignedRun) -> bool {
        !run.stopping && self.now.saturating_duration_since(run.assigned_at) >= MIN_RUN_AGE
    }

    /// Returns whether each task of a step has one run, which is working and has not been ordered
    /// to stop.
    pub(crate) fn is_step_working(&self, name: &TaskName) -> bool {
        let Some(entry) = self.jobs.get(&name.job).filter(|entry| entry.end.is_none()) else {
            return false;
        };
        let steps = entry.progress.open.get(&name.occurrence);
        let Some(tasks) = steps.and_then(|steps| steps.get(name.step as usize)) else {
            return false;
        };
        let mut tasks = (0..).zip(tasks);
        tasks.all(|(index, task)| self.is_task_working(TaskName { index, ..name.clone() }, task))
    }

    /// Whether a long-running task has exactly one run, which works and is not stopping.
    pub(crate) fn is_task_working(&self, name: TaskName, task: &TaskProgress) -> bool {
        let [attempt] = task.attempts.as_slice() else {
            return false;
        };
        let key = (name, attempt.run);
        let worker = self.inventory.get(&attempt.worker);
        let reported =
            worker.and_then(|worker| worker.assigned.get(&key)).filter(|run| !run.stopping);
        let reported = reported.and_then(|run| run.last_report.as_ref());
        reported.is_some_and(|reported| reported.progress_percent >= WORKING_PERCENT)
    }
}
