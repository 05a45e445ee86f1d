//! The platform's interface to a worker: tasks run there under leases.
//!
//! Lease ends are instants of the worker's own monotonic clock, in milliseconds, which
//! [`WorkerStatus::now_millis`] tells. A start or renewal that was delayed past its lease's end is
//! therefore refused by the worker itself, whatever the sender believed when it was paused.

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::ids::AttemptNumber;
use crate::ids::JobId;
use crate::ids::TaskIndex;

/// Processors (in thousandths), memory (in MiB) and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceAmount {
    /// Thousandths of a processor.
    pub millicores: u64,
    /// Mebibytes of memory.
    pub memory_mib: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl ResourceAmount {
    /// Whether an amount of `other` fits into this one.
    ///
    /// ```
    /// use greengagearch::external::worker::ResourceAmount;
    ///
    /// let host = ResourceAmount { millicores: 16_000, memory_mib: 60_000, accelerators: 0 };
    /// assert!(host.contains(&ResourceAmount { millicores: 500, ..host }));
    /// assert!(!host.contains(&ResourceAmount { accelerators: 1, ..host }));
    /// ```
    pub fn contains(&self, other: &ResourceAmount) -> bool {
        self.millicores >= other.millicores
            && self.memory_mib >= other.memory_mib
            && self.accelerators >= other.accelerators
    }

    /// The sum of both amounts.
    ///
    /// ```
    /// use greengagearch::external::worker::ResourceAmount;
    ///
    /// let one = ResourceAmount { millicores: 1, memory_mib: 2, accelerators: 0 };
    /// assert_eq!(one.plus(&one).memory_mib, 4);
    /// ```
    pub fn plus(&self, other: &ResourceAmount) -> ResourceAmount {
        ResourceAmount {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// This amount less the other, never below zero.
    ///
    /// ```
    /// use greengagearch::external::worker::ResourceAmount;
    ///
    /// let one = ResourceAmount { millicores: 1, memory_mib: 2, accelerators: 0 };
    /// assert_eq!(one.minus(&one), ResourceAmount::default());
    /// ```
    pub fn minus(&self, other: &ResourceAmount) -> ResourceAmount {
        ResourceAmount {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// One attempt of one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The job.
    pub job: JobId,
    /// The task's position in the job.
    pub task: TaskIndex,
    /// The attempt, counted from 1.
    pub attempt: AttemptNumber,
}

/// What a worker is asked to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The attempt to run.
    pub key: AttemptKey,
    /// Kind of the task, such as `roster`; tasks of one kind behave alike.
    pub kind: String,
    /// Resources committed to it.
    pub resources: ResourceAmount,
    /// Input, opaque to the scheduler.
    pub input: String,
    /// Reference of the checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// Declared run time in milliseconds; often far off.
    pub run_millis: u64,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_until_millis: u64,
}

/// State of an attempt on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// Still running.
    Running,
    /// Ended with this result.
    Finished {
        /// Output, opaque to the scheduler.
        result: String,
    },
    /// Ended with this error.
    Failed {
        /// What the task said.
        error: String,
    },
    /// Stopped on demand or at the end of its lease, with what it had kept.
    Stopped {
        /// Reference of the last checkpoint.
        checkpoint: Option<String>,
    },
}

/// An attempt as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The attempt.
    pub key: AttemptKey,
    /// Kind of the task.
    pub kind: String,
    /// Resources that it holds while it runs.
    pub resources: ResourceAmount,
    /// The most it was seen to use; reported with a lag, zero when it was not measured.
    pub used: ResourceAmount,
    /// Time for which it has run, in milliseconds.
    pub ran_millis: u64,
    /// Its state.
    pub state: AttemptState,
}

/// What a worker says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The worker's monotonic clock, in milliseconds.
    pub now_millis: u64,
    /// What the host has.
    pub capacity: ResourceAmount,
    /// Attempts that run, or ended and were not yet forgotten.
    pub attempts: Vec<AttemptReport>,
}

/// Why a worker did not do what was asked.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum WorkerError {
    /// No answer; the action may or may not have taken effect.
    #[snafu(display("the worker does not answer"))]
    Unreachable,
    /// The worker refused; nothing took effect.
    #[snafu(display("the worker refused: {reason}"))]
    Refused {
        /// Why.
        reason: String,
    },
}

/// Access to one worker. Every action may be repeated.
#[async_trait]
pub trait WorkerControl: Send + Sync {
    /// The worker's clock, capacity and attempts.
    async fn status(&self) -> Result<WorkerStatus, WorkerError>;
    /// Starts an attempt; a repeat for an attempt that is known changes nothing.
    async fn start(&self, start: TaskStart) -> Result<(), WorkerError>;
    /// Moves the end of the leases of all given attempts to `until_millis`.
    async fn renew(&self, keys: Vec<AttemptKey>, until_millis: u64) -> Result<(), WorkerError>;
    /// Lets an attempt have only a share of its processors, in percent; 100 lifts that.
    async fn throttle(&self, key: AttemptKey, percent: u32) -> Result<(), WorkerError>;
    /// Checkpoints and stops an attempt.
    async fn stop(&self, key: AttemptKey) -> Result<(), WorkerError>;
    /// Drops what the worker keeps of attempts that ended.
    async fn forget(&self, keys: Vec<AttemptKey>) -> Result<(), WorkerError>;
}
