//! All workers known to the planner, with their assigned runs and the time of their last contact.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::ids::InstanceId;
use crate::ids::RunNumber;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::assigned_run::EndedBestEffortRun;
use crate::workflow::assigned_run::OrderDelivery;
use crate::workflow::spec::StepSpec;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_entry::ENDED_RETENTION;
use crate::workflow::worker_entry::WorkerEntry;

/// Time for which a worker gets no new runs after it rejected one for lack of capacity. By then its
/// own account of free capacity agrees with the planner's.
const FULL_BACKOFF: Duration = Duration::from_millis(300);
/// A task and the number of one of its runs.
pub type RunKey = (TaskName, RunNumber);

/// All workers, by runner instance.
#[derive(Clone, Debug, Default)]
pub struct WorkerInventory {
    workers: BTreeMap<InstanceId, WorkerEntry>,
}

impl WorkerInventory {
    /// Returns the entry of an instance, creating it if it is new. `lease_end` bounds the leases
    /// that earlier planners granted.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert!(inventory.entry("i-1", Instant::now()).status.is_none());
    /// ```
    pub fn entry(&mut self, instance: &str, lease_end: Instant) -> &mut WorkerEntry {
        let create = || WorkerEntry::new(lease_end);
        self.workers.entry(instance.to_string()).or_insert_with(create)
    }

    /// Returns a worker, if it is known.
    ///
    /// ```
    /// assert!(greengagearch::workflow::worker_inventory::WorkerInventory::default().get("i-1").is_none());
    /// ```
    pub fn get(&self, instance: &str) -> Option<&WorkerEntry> {
        self.workers.get(instance)
    }

    /// Returns a worker for modification, if it is known.
    ///
    /// ```
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert!(inventory.get_mut("i-1").is_none());
    /// ```
    pub fn get_mut(&mut self, instance: &str) -> Option<&mut WorkerEntry> {
        self.workers.get_mut(instance)
    }

    /// Returns all workers.
    ///
    /// ```
    /// let inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert_eq!(inventory.iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &WorkerEntry)> {
        self.workers.iter()
    }

    /// Returns all workers for modification.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut WorkerEntry> {
        self.workers.values_mut()
    }

    /// Returns the tasks that have a reservation on some worker.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert!(inventory.reserved_tasks(Instant::now()).is_empty());
    /// ```
    pub fn reserved_tasks(&self, now: Instant) -> HashSet<TaskName> {
        self.workers.values().flat_map(|worker| worker.reservations.tasks(now)).cloned().collect()
    }

    /// Returns the tasks of which a worker shows a run that is not assigned to it.
    ///
    /// ```
    /// let inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert!(inventory.tasks_with_unknown_runs().is_empty());
    /// ```
    pub fn tasks_with_unknown_runs(&self) -> HashSet<TaskName> {
        let unknown = self.workers.values().flat_map(|worker| worker.unknown_runs.keys());
        unknown.map(|(task, _)| task.clone()).collect()
    }

    /// Assigns a run to a worker.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::spec::StepSpec;
    ///
    /// let now = Instant::now();
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// inventory.assign("i-1", ("a.0.0.0".parse().unwrap(), 1), &StepSpec::default(), now, now);
    /// assert_eq!(inventory.get("i-1").unwrap().assigned.len(), 1);
    /// ```
    pub fn assign(
        &mut self,
        instance: &str,
        key: RunKey,
        step: &StepSpec,
        now: Instant,
        lease_end: Instant,
    ) {
        let worker = self.entry(instance, lease_end);
        let run = AssignedRun {
            reserved: step.reserved_resources(),
            millicores: step.resources.millicores,
            best_effort: step.best_effort,
            image: step.image.clone(),
            target_ms: step.target_ms,
            checkpoints: step.checkpoints,
            long_running: step.long_running,
            delivery: OrderDelivery::Uncommitted,
            assigned_at: now,
            last_report: None,
            first_reported_at: None,
            started_at: None,
            sent_traits: None,
            throttled_since: None,
            yields: false,
            stopping: false,
            is_settled: false,
            progress: None,
        };
        worker.used = worker.used.plus(&run.reserved);
        worker.reservations.release(&key.0);
        if run.best_effort {
            worker.best_effort_changed = Some(now);
        }
        worker.assigned.insert(key, run);
    }

    /// Removes a run that has ended on a worker.
    ///
    /// ```
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// assert!(inventory.release("i-1", &key, std::time::Instant::now()).is_none());
    /// ```
    pub fn release(&mut self, instance: &str, key: &RunKey, now: Instant) -> Option<AssignedRun> {
        let worker = self.workers.get_mut(instance)?;
        let run = worker.assigned.remove(key)?;
        worker.isolated.take_if(|isolated| isolated == key);
        if run.best_effort {
            worker.best_effort_changed = Some(now);
            worker
                .ended_best_effort
                .retain(|ended| now.saturating_duration_since(ended.ended_at) < ENDED_RETENTION);
            worker.ended_best_effort.extend(run.first_reported_at.map(|started_at| {
                EndedBestEffortRun {
                    image: run.image.clone(),
                    started_at,
                    ended_at: now,
                    pace_percent: run.last_report.as_ref().map_or(0, |report| report.pace_percent),
                }
            }));
        }
        worker.used = worker.used.minus(&run.reserved);
        Some(run)
    }

    /// Transfers a run to another instance, which has started it. Returns whether the run had been
    /// ordered to stop on the former one.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::spec::StepSpec;
    ///
    /// let now = Instant::now();
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// inventory.assign("i-1@1", key.clone(), &StepSpec::default(), now, now);
    /// inventory.entry("i-1@2", now);
    /// assert!(!inventory.transfer("i-1@1", "i-1@2", &key));
    /// assert_eq!(inventory.get("i-1@2").unwrap().assigned.len(), 1);
    /// ```
    pub fn transfer(&mut self, from: &str, to: &str, key: &RunKey) -> bool {
        let Some(former) = self.workers.get_mut(from) else {
            return false;
        };
        let Some(mut run) = former.assigned.remove(key) else {
            return false;
        };
        former.used = former.used.minus(&run.reserved);
        let was_stopping = std::mem::replace(&mut run.stopping, false);
        // The instance has begun the run anew.
        run.started_at = None;
        run.first_reported_at = None;
        run.progress = None;
        if run.delivery == OrderDelivery::Queued {
            // The queued order is addressed to the former instance.
            run.delivery = OrderDelivery::Inherited;
        }
        if let Some(worker) = self.workers.get_mut(to) {
            worker.used = worker.used.plus(&run.reserved);
            worker.assigned.insert(key.clone(), run);
        }
        was_stopping
    }

    /// Removes a runner instance and returns the runs that were assigned to it.
    ///
    /// ```
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert!(inventory.remove("i-1").is_empty());
    /// ```
    pub fn remove(&mut self, instance: &str) -> Vec<RunKey> {
        let worker = self.workers.remove(instance);
        worker.into_iter().flat_map(|worker| worker.assigned.into_keys()).collect()
    }

    /// Returns the instances whose leases have expired and whose agents are silent.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert!(inventory.expired(Instant::now()).is_empty());
    /// ```
    pub fn expired(&self, now: Instant) -> Vec<InstanceId> {
        let is_expired = |entry: &(&InstanceId, &WorkerEntry)| {
            entry.1.is_silent(now) && now >= entry.1.lease_end
        };
        self.workers.iter().filter(is_expired).map(|(instance, _)| instance.clone()).collect()
    }

    /// Records that a worker rejected a start for lack of capacity.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// inventory.on_full("i-1", Instant::now());
    /// ```
    pub fn on_full(&mut self, instance: &str, now: Instant) {
        if let Some(worker) = self.workers.get_mut(instance) {
            worker.full_until = Some(now + FULL_BACKOFF);
        }
    }
}
