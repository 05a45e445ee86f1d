//! The row of a worker: who holds its lease, what is committed on it and which tasks it shall run.

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

/// Key of a worker's row.
///
/// ```
/// assert_eq!(greengagearch::connection::worker_row::worker_key("w1"), "worker/w1");
/// ```
pub fn worker_key(worker: &str) -> String {
    format!("{WORKER_PREFIX}{worker}")
}

/// Key of the row by which one run of a worker's agent hands its journal to the next.
///
/// ```
/// assert_eq!(greengagearch::connection::worker_row::journal_key("w1"), "journal/w1");
/// ```
pub fn journal_key(worker: &str) -> String {
    format!("journal/{worker}")
}

/// A task that is committed on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedTask {
    /// The attempt.
    pub attempt: AttemptNumber,
    /// What is committed to it.
    pub resources: ResourceAmount,
    /// The team on whose quota it runs.
    pub team: TeamName,
    /// Kind of the task.
    pub kind: KindName,
    /// Whether it goes before the team's other work.
    pub urgent: bool,
    /// Whether it shall be checkpointed and stopped.
    pub stop: bool,
}

/// The row of a worker.
///
/// The sums are not stored but follow from the committed tasks, so they cannot disagree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// The worker's name.
    pub worker: WorkerId,
    /// Where it stands.
    pub domain: DomainName,
    /// Its rack.
    pub rack: String,
    /// Address of the agent that holds the lease.
    pub address: String,
    /// Incarnation of the holder; zero when the lease was taken from a lost worker.
    pub holder: IncarnationId,
    /// Epoch of the lease.
    pub epoch: LeaseEpoch,
    /// Whether the last holder had stopped acting when it gave the lease back.
    pub released: bool,
    /// What the host has.
    pub capacity: ResourceAmount,
    /// Tasks that are committed on it, by `job/task`.
    pub tasks: BTreeMap<String, CommittedTask>,
}

impl WorkerRow {
    /// Sum of all committed resources.
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

    /// What may still be committed.
    ///
    /// ```
    /// use greengagearch::connection::worker_row::WorkerRow;
    ///
    /// assert_eq!(WorkerRow::default().free().memory_mib, 0);
    /// ```
    pub fn free(&self) -> ResourceAmount {
        self.capacity.minus(&self.committed())
    }

    /// Kinds of the committed tasks, with the number of each.
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

    /// Whether an attempt is committed here and urgent.
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

    /// Whether an attempt is committed here.
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

/// Name of a task within worker rows: `job/task`.
///
/// ```
/// assert_eq!(greengagearch::connection::worker_row::task_name("night", 3), "night/3");
/// ```
pub fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}

/// The job and task of a name that [`task_name`] made.
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
