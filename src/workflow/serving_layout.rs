//! Distribution of serving tasks over workers, and its effect on the number of best-effort tasks
//! that can run beside them.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::InstanceId;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::spec::ResourceVector;
use crate::workflow::worker_entry::WorkerEntry;
use crate::workflow::worker_inventory::RunKey;
use crate::workflow::worker_inventory::WorkerInventory;

/// Number of best-effort tasks that run at full pace beside 0, 1, 2, ... serving jobs on a worker.
/// Without serving jobs the processors are the limit; otherwise the loads of the jobs vary
/// independently, and the job closest to its target is the limit. The choice of moves depends only
/// on the order of the values and on their decreasing differences, not on the size of workers.
const BEST_EFFORT_BESIDE: [f64; 5] = [10.0, 6.0, 3.0, 1.6, 1.0];

/// Serving tasks on one worker that accepts new runs.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerLayout {
    /// Number of serving tasks by job.
    jobs: BTreeMap<String, usize>,
    /// Allocatable capacity that long-running tasks leave free; all other tasks end within seconds.
    pub long_term_free: ResourceVector,
}

impl WorkerLayout {
    fn of(worker: &WorkerEntry) -> WorkerLayout {
        let mut jobs = BTreeMap::new();
        for (key, _) in serving_runs(worker) {
            *jobs.entry(key.0.job.clone()).or_default() += 1;
        }
        WorkerLayout { jobs, long_term_free: long_term_free(worker) }
    }

    /// Returns the number of serving tasks.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::serving_layout::ServingLayout;
    /// use greengagearch::workflow::worker_inventory::WorkerInventory;
    ///
    /// let layout = ServingLayout::of(&WorkerInventory::default(), Instant::now());
    /// assert!(layout.workers.values().all(|worker| worker.serving() == 0));
    /// ```
    pub fn serving(&self) -> usize {
        self.jobs.values().sum()
    }

    /// Estimates how many more best-effort tasks can run after one task of a job is removed.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::serving_layout::ServingLayout;
    /// use greengagearch::workflow::worker_inventory::WorkerInventory;
    ///
    /// let layout = ServingLayout::of(&WorkerInventory::default(), Instant::now());
    /// assert!(layout.workers.values().all(|worker| worker.gain_if_removed("a") == 0.0));
    /// ```
    pub fn gain_if_removed(&self, job: &str) -> f64 {
        if self.jobs.get(job) != Some(&1) {
            return 0.0;
        }
        best_effort_beside(self.jobs.len() - 1) - best_effort_beside(self.jobs.len())
    }

    /// Estimates how many fewer best-effort tasks can run after one task of a job is added.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::serving_layout::ServingLayout;
    /// use greengagearch::workflow::worker_inventory::WorkerInventory;
    ///
    /// let layout = ServingLayout::of(&WorkerInventory::default(), Instant::now());
    /// assert!(layout.workers.values().all(|worker| worker.loss_if_added("a") == 0.0));
    /// ```
    pub fn loss_if_added(&self, job: &str) -> f64 {
        if self.jobs.contains_key(job) {
            return 0.0;
        }
        best_effort_beside(self.jobs.len()) - best_effort_beside(self.jobs.len() + 1)
    }
}

/// Serving tasks on all workers that accept new runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingLayout {
    /// Workers by runner instance.
    pub workers: BTreeMap<InstanceId, WorkerLayout>,
}

impl ServingLayout {
    /// Returns the layout of the workers that accept new runs at `now`.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::serving_layout::ServingLayout;
    /// use greengagearch::workflow::worker_inventory::WorkerInventory;
    ///
    /// assert!(ServingLayout::of(&WorkerInventory::default(), Instant::now()).workers.is_empty());
    /// ```
    pub fn of(inventory: &WorkerInventory, now: Instant) -> ServingLayout {
        let open = inventory.iter().filter(|(_, worker)| worker.is_open(now));
        let workers = open.map(|(instance, worker)| (instance.clone(), WorkerLayout::of(worker)));
        ServingLayout { workers: workers.collect() }
    }
}

/// Long-running serving tasks of a worker.
pub(crate) fn serving_runs(worker: &WorkerEntry) -> impl Iterator<Item = (&RunKey, &AssignedRun)> {
    worker.assigned.iter().filter(|(_, run)| run.target_ms > 0 && run.long_running)
}

/// Allocatable capacity of a worker that long-running tasks leave free.
pub(crate) fn long_term_free(worker: &WorkerEntry) -> ResourceVector {
    let capacity = worker.status.as_ref().map(|status| status.capacity).unwrap_or_default();
    let long_running = worker.assigned.values().filter(|run| run.long_running);
    long_running.fold(capacity, |free, run| free.minus(&run.reserved))
}

fn best_effort_beside(jobs: usize) -> f64 {
    BEST_EFFORT_BESIDE[jobs.min(BEST_EFFORT_BESIDE.len() - 1)]
}
