//! Jobs and tasks: submissions of callers, and the rows that store them.

use serde::Deserialize;
use serde::Serialize;

use crate::connection::cluster_map::partition_of_team;
use crate::external::worker::AttemptKey;
use crate::external::worker::ResourceAmount;
use crate::ids::AttemptNumber;
use crate::ids::JobId;
use crate::ids::PartitionId;
use crate::ids::TaskIndex;
use crate::ids::TeamName;
use crate::ids::WorkerId;

pub const MAX_JOB_TASKS: usize = 256;
pub const MAX_JOB_ID_BYTES: usize = 128;
/// Number of distinct workers on which a task has to fail before it is given up.
pub const MAX_FAILED_WORKERS: usize = 3;

/// A task of a submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Resources that the task declares.
    pub resources: ResourceAmount,
    /// Run time that the task declares, in milliseconds.
    pub run_millis: u64,
    /// Input, opaque to the scheduler.
    #[serde(default)]
    pub input: String,
}

/// A submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Id chosen by the caller, unique within the team; a repeated submission refers to the same
    /// job.
    pub id: JobId,
    /// The team on whose quota it runs.
    pub team: TeamName,
    /// Kind of its tasks; tasks of one kind are expected to interfere with services alike.
    pub kind: String,
    /// Whether it starts before the team's other tasks.
    #[serde(default)]
    pub urgent: bool,
    /// Tasks of the job.
    pub tasks: Vec<TaskSpec>,
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// At least one task has not ended.
    Active,
    /// The owner cancelled the job; running tasks are being stopped.
    Cancelled,
    /// All tasks have ended.
    Ended,
}

/// How a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEnd {
    /// The task completed with a result.
    Done {
        /// Output, opaque to the scheduler.
        result: String,
    },
    /// The task was given up after failures on several workers.
    Failed {
        /// Error of the last failure.
        error: String,
        /// Workers on which it failed.
        workers: Vec<WorkerId>,
    },
    /// The job was cancelled.
    Cancelled,
}

/// Stored row of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// The submission.
    pub spec: JobSpec,
    /// State of the job.
    pub state: JobState,
    /// Wall-clock time of the submission in milliseconds since the Unix epoch.
    pub submitted_millis: u64,
    /// How each task ended, in the order of the tasks; empty until the job has ended.
    pub ends: Vec<TaskEnd>,
}

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// The task waits for a worker.
    Queued,
    /// Resources of a worker are committed to the task.
    Committed {
        /// The worker.
        worker: WorkerId,
    },
    /// The task has ended.
    Ended(TaskEnd),
}

/// Stored row of a task; kept until its job has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow {
    /// Full name of the job: team and id.
    pub job: JobId,
    /// Index of the task in the job.
    pub index: TaskIndex,
    /// The team on whose quota it runs.
    pub team: TeamName,
    /// Kind of the task.
    pub kind: String,
    /// Whether it starts before the team's other tasks.
    pub urgent: bool,
    /// The task as submitted.
    pub spec: TaskSpec,
    /// Number of the latest attempt; zero before the first.
    pub attempt: AttemptNumber,
    /// Reference to the latest checkpoint.
    pub checkpoint: Option<String>,
    /// Distinct workers on which it failed.
    pub failed_on: Vec<WorkerId>,
    /// The worker from which it was last evicted.
    pub evicted_from: Option<WorkerId>,
    /// Number of evictions.
    pub evictions: u32,
    /// Peak resource usage, once it has ended.
    pub used: Option<ResourceAmount>,
    /// State of the task.
    pub state: TaskState,
    /// Wall-clock time of the submission in milliseconds since the Unix epoch.
    pub submitted_millis: u64,
}

impl TaskRow {
    /// Whether `attempt` on `worker` is the current attempt of the task.
    ///
    /// ```
    /// # use greengagearch::external::worker::AttemptKey;
    /// # use greengagearch::request::job::{JobSpec, TaskSpec, task_rows};
    /// # let task = TaskSpec { resources: Default::default(), run_millis: 1,
    /// #     input: String::new() };
    /// # let spec = JobSpec { id: "night".into(), team: "planning".into(), kind: "roster".into(),
    /// #     urgent: false, tasks: vec![task] };
    /// let row = &task_rows(&spec, 0)[0];
    /// let key = AttemptKey { job: "night".into(), task: 0, attempt: 1 };
    /// assert!(!row.is_current(&key, "w1"));
    /// ```
    pub fn is_current(&self, attempt: &AttemptKey, worker: &str) -> bool {
        let is_on_worker =
            matches!(&self.state, TaskState::Committed { worker: on } if on == worker);
        is_on_worker && self.attempt == attempt.attempt
    }

    /// Records a failure on `worker`: the task returns to the queue, or has failed for good after
    /// failures on enough workers.
    ///
    /// ```
    /// # use greengagearch::request::job::{JobSpec, TaskSpec, TaskState, task_rows};
    /// # let task = TaskSpec { resources: Default::default(), run_millis: 1,
    /// #     input: String::new() };
    /// # let spec = JobSpec { id: "night".into(), team: "planning".into(), kind: "roster".into(),
    /// #     urgent: false, tasks: vec![task] };
    /// let mut row = task_rows(&spec, 0).remove(0);
    /// row.on_failure("w1", "out of memory");
    /// row.on_failure("w2", "out of memory");
    /// assert_eq!(row.state, TaskState::Queued);
    /// row.on_failure("w3", "out of memory");
    /// assert_ne!(row.state, TaskState::Queued);
    /// ```
    pub fn on_failure(&mut self, worker: &str, error: &str) {
        if !self.failed_on.iter().any(|known| known == worker) {
            self.failed_on.push(worker.to_string());
        }
        self.state = if self.failed_on.len() >= MAX_FAILED_WORKERS {
            TaskState::Ended(TaskEnd::Failed {
                error: error.to_string(),
                workers: self.failed_on.clone(),
            })
        } else {
            TaskState::Queued
        };
    }
}

/// Full name of a team's job.
///
/// ```
/// assert_eq!(greengagearch::request::job::job_name("planning", "night"), "planning/night");
/// ```
pub fn job_name(team: &str, id: &str) -> JobId {
    format!("{team}/{id}")
}

/// Partition of a job with the given full name; all jobs of a team are in the same one.
///
/// ```
/// use greengagearch::request::job::job_partition;
///
/// assert_eq!(job_partition("planning/night"), job_partition("planning/day"));
/// ```
pub fn job_partition(job: &str) -> PartitionId {
    let team = job.split('/').next().unwrap_or_default();
    partition_of_team(team)
}

/// Key of a job's row.
///
/// ```
/// assert!(greengagearch::request::job::job_key("planning/night").ends_with("/planning/night"));
/// ```
pub fn job_key(job: &str) -> String {
    format!("job/{:02}/{job}", job_partition(job))
}

/// Prefix of the keys of all tasks of a partition.
///
/// ```
/// assert_eq!(greengagearch::request::job::task_prefix(7), "task/07/");
/// ```
pub fn task_prefix(partition: PartitionId) -> String {
    format!("task/{partition:02}/")
}

/// Prefix of the keys of all tasks of a job.
///
/// ```
/// let prefix = greengagearch::request::job::job_tasks_prefix("planning/night");
/// assert!(prefix.ends_with("/planning/night/"));
/// ```
pub fn job_tasks_prefix(job: &str) -> String {
    format!("{}{job}/", task_prefix(job_partition(job)))
}

/// Key of a task's row.
///
/// ```
/// let key = greengagearch::request::job::task_key("planning/night", 3);
/// assert!(key.ends_with("/planning/night/0003"));
/// ```
pub fn task_key(job: &str, index: TaskIndex) -> String {
    format!("{}{index:04}", job_tasks_prefix(job))
}

/// Key of the marker of a cancelled job. It has the prefix of the job's tasks, so that one read of
/// a partition returns both.
///
/// ```
/// let key = greengagearch::request::job::cancel_key("planning/night");
/// assert!(key.ends_with("/planning/night/cancel"));
/// ```
pub fn cancel_key(job: &str) -> String {
    format!("{}cancel", job_tasks_prefix(job))
}

/// Job to which the key of a cancel marker belongs; `None` if the key is not one of a cancel
/// marker.
///
/// ```
/// use greengagearch::request::job::cancel_key;
/// use greengagearch::request::job::job_of_cancel_key;
///
/// assert_eq!(job_of_cancel_key(&cancel_key("planning/night")), Some("planning/night".into()));
/// ```
pub fn job_of_cancel_key(key: &str) -> Option<JobId> {
    let (_, rest) = key.strip_prefix("task/")?.split_once('/')?;
    rest.strip_suffix("/cancel").map(str::to_string)
}

/// Creates the task rows of a new job.
///
/// ```
/// # use greengagearch::request::job::{JobSpec, task_rows};
/// # let spec = JobSpec { id: "night".into(), team: "planning".into(), kind: "roster".into(),
/// #     urgent: false, tasks: Vec::new() };
/// assert!(task_rows(&spec, 0).is_empty());
/// ```
pub fn task_rows(spec: &JobSpec, submitted_millis: u64) -> Vec<TaskRow> {
    let numbered = (0..).zip(&spec.tasks);
    let rows = numbered.map(|(index, task)| TaskRow {
        job: job_name(&spec.team, &spec.id),
        index,
        team: spec.team.clone(),
        kind: spec.kind.clone(),
        urgent: spec.urgent,
        spec: task.clone(),
        attempt: 0,
        checkpoint: None,
        failed_on: Vec::new(),
        evicted_from: None,
        evictions: 0,
        used: None,
        state: TaskState::Queued,
        submitted_millis,
    });
    rows.collect()
}

/// Validates a submission; returns a message for each finding.
///
/// ```
/// # use greengagearch::request::job::{JobSpec, validate_spec};
/// # let spec = JobSpec { id: "a/b".into(), team: "planning".into(), kind: "roster".into(),
/// #     urgent: false, tasks: Vec::new() };
/// assert_eq!(validate_spec(&spec).len(), 2);
/// ```
pub fn validate_spec(spec: &JobSpec) -> Vec<String> {
    let mut findings = Vec::new();
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if spec.team.is_empty() || !spec.team.chars().all(is_allowed) {
        findings.push(
            "team: must be one or more characters of a-z, A-Z, 0-9, '-', '_', '.', ':'".to_string(),
        );
    }
    if spec.id.is_empty() || spec.id.len() > MAX_JOB_ID_BYTES || !spec.id.chars().all(is_allowed) {
        findings.push(format!(
            "id: must be 1 to {MAX_JOB_ID_BYTES} characters of a-z, A-Z, 0-9, '-', '_', '.', ':'"
        ));
    }
    if spec.tasks.is_empty() || spec.tasks.len() > MAX_JOB_TASKS {
        findings.push(format!(
            "tasks: must contain 1 to {MAX_JOB_TASKS} tasks, got {}",
            spec.tasks.len()
        ));
    }
    for (index, task) in spec.tasks.iter().enumerate().take(MAX_JOB_TASKS) {
        if task.resources.millicores == 0 || task.resources.memory_mib == 0 {
            findings.push(format!(
                "tasks[{index}].resources: millicores and memory_mib must be at least 1"
            ));
        }
    }
    findings
}
