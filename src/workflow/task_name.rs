//! Names of tasks.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::ids::JobId;

/// The name of a task, written `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct TaskName {
    /// Job that the task belongs to.
    pub job: JobId,
    /// The occurrence, from zero.
    pub occurrence: u32,
    /// The step, from zero.
    pub step: u32,
    /// The position in the step, from zero.
    pub index: u32,
}

impl TaskName {
    /// The key of the task's step: job, occurrence and step.
    ///
    /// ```
    /// let name: greengagearch::workflow::task_name::TaskName = "a.1.2.3".parse().unwrap();
    /// assert_eq!(name.step_key(), ("a".to_string(), 1, 2));
    /// ```
    pub fn step_key(&self) -> (JobId, u32, u32) {
        (self.job.clone(), self.occurrence, self.step)
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// The text is not a valid task name.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("'{text}' is not a task name of the form JOB.OCCURRENCE.STEP.INDEX"))]
pub struct InvalidTaskName {
    /// The rejected text.
    text: String,
}

impl FromStr for TaskName {
    type Err = InvalidTaskName;

    fn from_str(text: &str) -> Result<TaskName, InvalidTaskName> {
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next().and_then(|part| part.parse().ok());
        let (index, step, occurrence) = (number(), number(), number());
        match (parts.next(), occurrence, step, index) {
            (Some(job), Some(occurrence), Some(step), Some(index)) if !job.is_empty() => {
                Ok(TaskName { job: job.to_string(), occurrence, step, index })
            }
            _ => Err(InvalidTaskName { text: text.to_string() }),
        }
    }
}

impl From<TaskName> for String {
    fn from(task: TaskName) -> String {
        task.to_string()
    }
}

impl TryFrom<String> for TaskName {
    type Error = InvalidTaskName;

    fn try_from(text: String) -> Result<TaskName, InvalidTaskName> {
        text.parse()
    }
}
