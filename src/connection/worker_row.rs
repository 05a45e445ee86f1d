//! The store row of a worker: the holder of its lease and the tasks that are committed to it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::external::worker::AttemptKey;
use crate::external::worker::ResourceAmount;
use crate::ids::AttemptNumber;
use crate::ids::DomainName;
use crate::ids::IncarnationId;
use crate::ids::LeaseEpoch;
use crate::ids::TeamName;
use crate::ids::WorkerId;
use crate::process::interference::KindName;

/// Prefix of the keys of worker rows.
pub const WORKER_PREFIX: &str = "worker/";

/// Returns the key of the row of a worker.
///
/// ```
/// assert_eq!(greengagearch::connection::worker_row::worker_key("w1"), "worker/w1");
/// ```
pub fn worker_key(worker: &str) -> String {
    format!("{WORKER_PREFIX}{worker}")
}

/// Returns the key of the row in which an agent process leaves its request journal for the next
/// agent process of the same worker.
///
/// ```
/// assert_eq!(greengagearch::connection::worker_row::journal_key("w1"), "journal/w1");
/// ```
pub fn journal_key(worker: &str) -> String {
    format!("journal/{worker}")
}

/// A task that is committed to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedTask {
    /// Number of the attempt at running the task.
    pub attempt: AttemptNumber,
    /// Resources that are committed to it.
    pub resources: ResourceAmount,
    /// The team whose quota it counts against.
    pub team: TeamName,
    /// Kind of the task, by which its interference with services is estimated.
    pub kind: KindName,
    /// Whether it has priority over the other tasks of its team.
    pub urgent: bool,
    /// Whether the agent has to checkpoint and stop it.
    pub stop: bool,
}

/// The row of a worker.
///
/// Totals such as the committed resources are computed from the tasks rather than stored, so they
/// cannot contradict them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// The worker's name.
    pub worker: WorkerId,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Rack of the worker.
    pub rack: String,
    /// Address of the agent that holds the lease.
    pub address: String,
    /// Incarnation of the agent that holds the lease; zero after an entry took the lease from a
    /// lost worker.
    pub holder: IncarnationId,
    /// Epoch of the lease.
    pub epoch: LeaseEpoch,
    /// Whether the last holder released the lease after it had stopped acting.
    pub released: bool,
    /// Total resources of the host.
    pub capacity: ResourceAmount,
    /// Tasks that are committed to it, by their name `job/task`.
    pub tasks: BTreeMap<String, CommittedTask>,
}

impl WorkerRow {
    /// Returns the sum of the committed resources.
    ///
    /// ```
    /// use greengagearch::connection::worker_row::WorkerRow;
    ///
    /// assert_eq!(WorkerRow::default().committed().millicores, 0);
    /// ```
    pub fn committed(&self) -> ResourceAmount {
        let amounts = self.tasks.values().map(|task| &task.resources);
        amounts.fold(ResourceAmount::default(), |sum, amount| sum.plus(amount))
    }

    /// Returns the resources that are not committed.
    ///
    /// ```
    /// use greengagearch::connection::worker_row::WorkerRow;
    ///
    /// assert_eq!(WorkerRow::default().free().memory_mib, 0);
    /// ```
    pub fn free(&self) -> ResourceAmount {
        self.capacity.minus(&self.committed())
    }

    /// Returns the number of committed tasks of each kind.
    ///
    /// ```
    /// use greengagearch::connection::worker_row::WorkerRow;
    ///
    /// assert!(WorkerRow::default().kinds().is_empty());
    /// ```
    pub fn kinds(&self) -> BTreeMap<KindName, u32> {
        let mut kinds = BTreeMap::new();
        for task in self.tasks.values() {
            *kinds.entry(task.kind.clone()).or_default() += 1;
        }
        kinds
    }

    /// Returns whether the task of an attempt is committed to this worker and urgent.
    ///
    /// ```
    /// use greengagearch::connection::worker_row::WorkerRow;
    /// use greengagearch::external::worker::AttemptKey;
    ///
    /// let key = AttemptKey { job: "night".into(), task: 0, attempt: 1 };
    /// assert!(!WorkerRow::default().is_urgent(&key));
    /// ```
    pub fn is_urgent(&self, key: &AttemptKey) -> bool {
        self.tasks.get(&task_name(&key.job, key.task)).is_some_and(|task| task.urgent)
    }

    /// Returns whether this attempt at a task is committed to this worker.
    ///
    /// ```
    /// use greengagearch::connection::worker_row::WorkerRow;
    /// use greengagearch::external::worker::AttemptKey;
    ///
    /// let key = AttemptKey { job: "night".into(), task: 0, attempt: 1 };
    /// assert!(!WorkerRow::default().has_attempt(&key));
    /// ```
    pub fn has_attempt(&self, key: &AttemptKey) -> bool {
        let task = self.tasks.get(&task_name(&key.job, key.task));
        task.is_some_and(|task| task.attempt == key.attempt)
    }
}

/// Returns the name of a task in worker rows: `job/task`.
///
/// ```
/// assert_eq!(greengagearch::connection::worker_row::task_name("night", 3), "night/3");
/// ```
pub fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}

/// Parses a name made by [`task_name`] into its job and its task.
///
/// ```
/// use greengagearch::connection::worker_row::parse_task_name;
///
/// assert_eq!(parse_task_name("night/3"), Some(("night".to_string(), 3)));
/// ```
pub fn parse_task_name(name: &str) -> Option<(String, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((job.to_string(), task.parse().ok()?))
}
