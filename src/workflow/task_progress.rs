//! State of one task, as stored in the row of its job.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::CheckpointRef;
use crate::ids::InstanceId;
use crate::ids::RunNumber;
use crate::workflow::progress::RunEnd;

/// A run of a task that may still be active.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAttempt {
    /// Number of the run.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// The runner instance to which it was assigned.
    #[serde(rename = "w")]
    pub worker: InstanceId,
    /// Whether an attempt to start it had no response and may still be carried out.
    #[serde(rename = "u", default, skip_serializing_if = "is_false")]
    pub in_doubt: bool,
    /// How the run ended, if the attempt stays only because an attempt to start the run is in doubt.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub end: Option<RunEnd>,
}

/// Crash of a runner instance shortly after a run of the task had started on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrash {
    /// The runner instance.
    #[serde(rename = "w")]
    pub instance: InstanceId,
    /// Upper limit for the age of the run at the crash, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Whether the run had certainly started.
    #[serde(rename = "b")]
    pub is_certain: bool,
}

/// State of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskProgress {
    /// Whether a run has completed the task.
    #[serde(rename = "d", skip_serializing_if = "is_false")]
    pub done: bool,
    /// Number of runs that failed.
    #[serde(rename = "f", skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// The last run that was counted as a failure of the gang; stored in the first member.
    #[serde(rename = "k", skip_serializing_if = "is_zero")]
    pub failed_run: RunNumber,
    /// Crashes of runner instances that are attributed to the task.
    #[serde(rename = "c", skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<TaskCrash>,
    /// Whether the task is isolated because of these crashes: no other task starts on its worker
    /// after it until its run has proven stable.
    #[serde(rename = "i", skip_serializing_if = "is_false")]
    pub isolated: bool,
    /// The highest run number that was assigned.
    #[serde(rename = "n", skip_serializing_if = "is_zero")]
    pub last_run: RunNumber,
    /// Whether the occurrence began because its wait exceeded the bound; stored in its first task.
    #[serde(rename = "b", skip_serializing_if = "is_false")]
    pub began_by_wait: bool,
    /// The newest known checkpoint; that of a gang is stored in the first member.
    #[serde(rename = "s", skip_serializing_if = "String::is_empty")]
    pub checkpoint: CheckpointRef,
    /// Runs that may still be active.
    #[serde(rename = "a", skip_serializing_if = "Vec::is_empty")]
    pub attempts: Vec<RunAttempt>,
}

impl TaskProgress {
    /// Returns the attempt with a run number, unless it was given up.
    ///
    /// ```
    /// use greengagearch::workflow::task_progress::TaskProgress;
    ///
    /// assert_eq!(TaskProgress::default().attempt(1), None);
    /// ```
    pub fn attempt(&self, run: RunNumber) -> Option<&RunAttempt> {
        self.attempts.iter().find(|attempt| attempt.run == run)
    }

    /// Returns the attempt with a run number for changes, unless it was given up.
    ///
    /// ```
    /// use greengagearch::workflow::task_progress::TaskProgress;
    ///
    /// assert_eq!(TaskProgress::default().attempt_mut(1), None);
    /// ```
    pub fn attempt_mut(&mut self, run: RunNumber) -> Option<&mut RunAttempt> {
        self.attempts.iter_mut().find(|attempt| attempt.run == run)
    }
}

fn is_false(value: &bool) -> bool {
    !value
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}
