//! What is kept of one task in its job's row.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::CheckpointRef;
use crate::ids::InstanceId;
use crate::ids::RunNumber;

/// One start of a task that may still run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAttempt {
    /// Its number.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// The life of the runner that it was given to.
    #[serde(rename = "w")]
    pub worker: InstanceId,
}

/// A life of a runner that broke off under a young run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrash {
    /// The life.
    #[serde(rename = "w")]
    pub instance: InstanceId,
    /// How old the run was at most, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Whether the run had surely begun.
    #[serde(rename = "b")]
    pub is_certain: bool,
}

/// What is kept of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskProgress {
    /// Whether a run has ended as done.
    #[serde(rename = "d", skip_serializing_if = "is_false")]
    pub done: bool,
    /// Runs that ended as failed.
    #[serde(rename = "f", skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// The last run that was counted as a failure of its gang; kept at the first member.
    #[serde(rename = "k", skip_serializing_if = "is_zero")]
    pub failed_run: RunNumber,
    /// Lives of runners that broke off under its young runs and are held against it.
    #[serde(rename = "c", skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<TaskCrash>,
    /// Whether it starts only where no other start follows, because of these.
    #[serde(rename = "i", skip_serializing_if = "is_false")]
    pub isolated: bool,
    /// The highest number given to a run.
    #[serde(rename = "n", skip_serializing_if = "is_zero")]
    pub last_run: RunNumber,
    /// The newest saved work that is known.
    #[serde(rename = "s", skip_serializing_if = "String::is_empty")]
    pub checkpoint: CheckpointRef,
    /// Runs that may still be at work.
    #[serde(rename = "a", skip_serializing_if = "Vec::is_empty")]
    pub attempts: Vec<RunAttempt>,
}

fn is_false(value: &bool) -> bool {
    !value
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}
