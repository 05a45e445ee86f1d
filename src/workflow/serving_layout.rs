//! Where tasks that serve are, as far as it decides how many tasks that fill get room beside them.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::InstanceId;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::spec::RoomAmount;
use crate::workflow::worker_entry::WorkerEntry;
use crate::workflow::worker_inventory::RunKey;
use crate::workflow::worker_inventory::WorkerInventory;

/// Fills that work at full pace beside so many jobs that serve: ten by a worker's processors where nothing serves;
/// else the load of each job swings by itself, and the one nearest to its target binds. Counted on workers of 32
/// cores under more load than they took in; only the order and the falling steps matter for the choice.
const FILLS_BESIDE: [f64; 5] = [10.0, 6.0, 3.0, 1.6, 1.0];

/// What serves on one worker that may get work.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerLayout {
    /// Tasks that serve, by their job.
    jobs: BTreeMap<String, usize>,
    /// Guarded capacity that tasks that last leave; what else runs there ends within seconds.
    pub lasting_room: RoomAmount,
}

impl WorkerLayout {
    fn of(worker: &WorkerEntry) -> WorkerLayout {
        let mut jobs = BTreeMap::new();
        for (key, _) in serving_runs(worker) {
            *jobs.entry(key.0.job.clone()).or_default() += 1;
        }
        WorkerLayout { jobs, lasting_room: lasting_room(worker) }
    }

    /// Number of tasks that serve.
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

    /// Fills that get room when one task of a job leaves, less those that have it.
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
        fills_beside(self.jobs.len() - 1) - fills_beside(self.jobs.len())
    }

    /// Fills that lose their room when one task of a job comes.
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
        fills_beside(self.jobs.len()) - fills_beside(self.jobs.len() + 1)
    }
}

/// All workers that may get work.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingLayout {
    /// By the life of their runner.
    pub workers: BTreeMap<InstanceId, WorkerLayout>,
}

impl ServingLayout {
    /// The layout at a time.
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

/// The tasks that serve and last on a worker.
pub(crate) fn serving_runs(worker: &WorkerEntry) -> impl Iterator<Item = (&RunKey, &AssignedRun)> {
    worker.assigned.iter().filter(|(_, run)| run.target_ms > 0 && run.long_running)
}

/// Guarded capacity of a worker that tasks that last leave.
pub(crate) fn lasting_room(worker: &WorkerEntry) -> RoomAmount {
    let capacity = worker.status.as_ref().map(|status| status.capacity).unwrap_or_default();
    let lasting = worker.assigned.values().filter(|run| run.long_running);
    lasting.fold(capacity, |room, run| room.minus(&run.counted))
}

fn fills_beside(jobs: usize) -> f64 {
    FILLS_BESIDE[jobs.min(FILLS_BESIDE.len() - 1)]
}
