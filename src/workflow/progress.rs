//! Progress of a job: the planner's state of its tasks, and the rows in which it is stored.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::BodyDigest;
use crate::workflow::spec::StepSpec;
use crate::workflow::spec::WorkflowSpec;
use crate::workflow::task_name::TaskName;
use crate::workflow::task_progress::RunAttempt;
use crate::workflow::task_progress::TaskCrash;
use crate::workflow::task_progress::TaskProgress;

/// The final state of a job; it never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEnd {
    /// Every task is done.
    Completed,
    /// A task reached the number of failures that its queue allows.
    Failed,
    /// The caller cancelled it.
    Cancelled,
    /// The caller cancelled it before any submission was stored. To callers there is no such job,
    /// and a submission that arrives later is refused.
    Withdrawn,
}

impl JobEnd {
    /// The value of the state in responses of the native caller API.
    ///
    /// ```
    /// assert_eq!(greengagearch::workflow::progress::JobEnd::Cancelled.as_str(), "cancelled");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            JobEnd::Completed => "completed",
            JobEnd::Failed => "failed",
            JobEnd::Cancelled => "cancelled",
            JobEnd::Withdrawn => "withdrawn",
        }
    }
}

/// The state of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// It has ended.
    Ended(JobEnd),
}

/// The row of a job. The entry that accepts the job writes the first version, and the planner
/// writes the last one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobRecord {
    /// The job has not ended.
    Live {
        /// What was submitted.
        spec: WorkflowSpec,
        /// Whether the caller has cancelled it.
        cancelled: bool,
    },
    /// The job has ended. The row is retained so that a repeated submission finds it.
    Ended {
        /// How it ended.
        end: JobEnd,
        /// Digest of what was submitted.
        digest: BodyDigest,
        /// When it ended, in milliseconds since the Unix epoch.
        ended_ms: u64,
    },
}

impl JobRecord {
    /// The row that keeps submissions of a job from being stored, since it was cancelled first.
    ///
    /// ```
    /// use greengagearch::workflow::progress::JobRecord;
    ///
    /// assert!(JobRecord::withdrawn(5).is_withdrawn());
    /// ```
    pub fn withdrawn(ended_ms: u64) -> JobRecord {
        JobRecord::Ended { end: JobEnd::Withdrawn, digest: 0, ended_ms }
    }

    /// Returns whether the job was cancelled before a submission was stored.
    ///
    /// ```
    /// use greengagearch::workflow::progress::JobEnd;
    /// use greengagearch::workflow::progress::JobRecord;
    ///
    /// let record = JobRecord::Ended { end: JobEnd::Cancelled, digest: 0, ended_ms: 0 };
    /// assert!(!record.is_withdrawn());
    /// ```
    pub fn is_withdrawn(&self) -> bool {
        matches!(self, JobRecord::Ended { end: JobEnd::Withdrawn, .. })
    }

    /// Digest of the submission, without the fields that the accepting entry added.
    ///
    /// ```
    /// use greengagearch::workflow::progress::JobEnd;
    /// use greengagearch::workflow::progress::JobRecord;
    ///
    /// let record = JobRecord::Ended { end: JobEnd::Completed, digest: 7, ended_ms: 0 };
    /// assert_eq!(record.digest(), 7);
    /// ```
    pub fn digest(&self) -> BodyDigest {
        match self {
            JobRecord::Live { spec, .. } => spec_digest(spec),
            JobRecord::Ended { digest, .. } => *digest,
        }
    }
}

/// Digest of a submission: its payload, steps and times, but not the policy of its queue.
///
/// ```
/// # use greengagearch::workflow::spec::*;
/// # use greengagearch::workflow::progress::spec_digest;
/// # let policy = QueuePolicy { queue: "q".into(), service: "s".into(), priority: 0,
/// #     max_attempts: 2, stretch: 2.0, target_ms: 100, advice: None };
/// let spec = WorkflowSpec { policy, payload: String::new(), steps: Vec::new(), times: 0,
///     first_due_ms: 0, interval_ms: 0, accepted_ms: 5 };
/// let later = WorkflowSpec { accepted_ms: 9, ..spec.clone() };
/// assert_eq!(spec_digest(&spec), spec_digest(&later));
/// ```
pub fn spec_digest(spec: &WorkflowSpec) -> BodyDigest {
    let parts = (&spec.payload, &spec.steps, spec.times, spec.first_due_ms, spec.interval_ms);
    // Serialization cannot fail, since these types have no map keys other than strings.
    let text = serde_json::to_vec(&parts).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(&text)
}

/// How a run of a task has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// It completed its work.
    Done,
    /// It failed, because of an error of the task or of its worker.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang has ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
    /// It no longer exists: the runner instance has ended, or has finally rejected the run.
    Lost,
}

/// The tasks of one occurrence, by step and position.
pub type OccurrenceProgress = Vec<Vec<TaskProgress>>;

/// Progress of a job. Only the planner writes this row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// Whether any task was ever started.
    pub begun: bool,
    /// Occurrences in progress.
    pub open: BTreeMap<u32, OccurrenceProgress>,
    /// Occurrences whose tasks are all done.
    pub finished: BTreeSet<u32>,
}

impl JobProgress {
    /// Adds an occurrence with the given number of tasks per step. Does nothing if it is already
    /// open.
    ///
    /// ```
    /// use greengagearch::workflow::progress::JobProgress;
    ///
    /// let mut progress = JobProgress::default();
    /// progress.open_occurrence(0, &[2, 3]);
    /// assert_eq!(progress.open[&0][1].len(), 3);
    /// ```
    pub fn open_occurrence(&mut self, occurrence: u32, counts: &[u32]) {
        let step = |count: &u32| vec![TaskProgress::default(); *count as usize];
        self.open.entry(occurrence).or_insert_with(|| counts.iter().map(step).collect());
    }

    /// A task, if its occurrence is open.
    ///
    /// ```
    /// use greengagearch::workflow::progress::JobProgress;
    ///
    /// assert!(JobProgress::default().task(&"a.0.0.0".parse().unwrap()).is_none());
    /// ```
    pub fn task(&self, name: &TaskName) -> Option<&TaskProgress> {
        self.open.get(&name.occurrence)?.get(name.step as usize)?.get(name.index as usize)
    }

    /// Mutable access to a task, if its occurrence is open.
    ///
    /// ```
    /// use greengagearch::workflow::progress::JobProgress;
    ///
    /// assert!(JobProgress::default().task_mut(&"a.0.0.0".parse().unwrap()).is_none());
    /// ```
    pub fn task_mut(&mut self, name: &TaskName) -> Option<&mut TaskProgress> {
        let steps = self.open.get_mut(&name.occurrence)?;
        steps.get_mut(name.step as usize)?.get_mut(name.index as usize)
    }

    /// Whether all steps on which a step depends are done.
    ///
    /// ```
    /// use greengagearch::workflow::progress::JobProgress;
    /// use greengagearch::workflow::spec::StepSpec;
    ///
    /// let mut progress = JobProgress::default();
    /// progress.open_occurrence(0, &[1, 1]);
    /// let second = StepSpec { count: 1, after: vec![0], ..StepSpec::default() };
    /// assert!(!progress.is_ready(0, &second));
    /// ```
    pub fn is_ready(&self, occurrence: u32, step: &StepSpec) -> bool {
        let Some(steps) = self.open.get(&occurrence) else {
            return false;
        };
        let is_done = |before: &usize| steps.get(*before).is_some_and(|tasks| all_done(tasks));
        step.after.iter().all(is_done)
    }

    /// Closes an occurrence if all of its tasks are done and none has an active run. Returns
    /// whether it was closed.
    ///
    /// ```
    /// use greengagearch::workflow::progress::JobProgress;
    ///
    /// let mut progress = JobProgress::default();
    /// progress.open_occurrence(0, &[1]);
    /// assert!(!progress.close_occurrence(0));
    /// ```
    pub fn close_occurrence(&mut self, occurrence: u32) -> bool {
        let is_done = |steps: &OccurrenceProgress| steps.iter().all(|tasks| all_done(tasks));
        let is_idle = |steps: &OccurrenceProgress| {
            steps.iter().flatten().all(|task| task.attempts.is_empty())
        };
        let closes =
            self.open.get(&occurrence).is_some_and(|steps| is_done(steps) && is_idle(steps));
        if closes {
            self.open.remove(&occurrence);
            self.finished.insert(occurrence);
        }
        closes
    }

    /// Whether every task of every open occurrence is done.
    ///
    /// ```
    /// assert!(greengagearch::workflow::progress::JobProgress::default().is_all_done());
    /// ```
    pub fn is_all_done(&self) -> bool {
        self.open.values().flatten().all(|tasks| all_done(tasks))
    }

    /// All runs that may still be active, with their tasks.
    ///
    /// ```
    /// let progress = greengagearch::workflow::progress::JobProgress::default();
    /// assert_eq!(progress.attempts("job").len(), 0);
    /// ```
    pub fn attempts(&self, job: &str) -> Vec<(TaskName, RunAttempt)> {
        let mut found = Vec::new();
        self.for_each_task(job, |name, task| {
            found.extend(task.attempts.iter().map(|attempt| (name(), attempt.clone())));
        });
        found
    }

    /// Unfinished tasks with recorded crashes of runner instances, the crashes, and whether the
    /// task is isolated.
    ///
    /// ```
    /// let progress = greengagearch::workflow::progress::JobProgress::default();
    /// assert_eq!(progress.crashed_tasks("job").len(), 0);
    /// ```
    pub fn crashed_tasks(&self, job: &str) -> Vec<(TaskName, Vec<TaskCrash>, bool)> {
        let mut found = Vec::new();
        self.for_each_task(job, |name, task| {
            if !task.crashes.is_empty() && !task.done {
                found.push((name(), task.crashes.clone(), task.isolated));
            }
        });
        found
    }

    /// Visits all tasks of open occurrences. A task's name is only built if `visit` requests it.
    fn for_each_task(
        &self,
        job: &str,
        mut visit: impl FnMut(&dyn Fn() -> TaskName, &TaskProgress),
    ) {
        for (occurrence, steps) in &self.open {
            for (step, tasks) in (0..).zip(steps) {
                for (index, task) in (0..).zip(tasks) {
                    let occurrence = *occurrence;
                    let name = || TaskName { job: job.to_string(), occurrence, step, index };
                    visit(&name, task);
                }
            }
        }
    }

    /// Whether the job has no run that may still be active.
    ///
    /// ```
    /// assert!(greengagearch::workflow::progress::JobProgress::default().is_idle());
    /// ```
    pub fn is_idle(&self) -> bool {
        self.open.values().flatten().flatten().all(|task| task.attempts.is_empty())
    }

    /// Number of tasks in all open occurrences.
    ///
    /// ```
    /// assert_eq!(greengagearch::workflow::progress::JobProgress::default().task_count(), 0);
    /// ```
    pub fn task_count(&self) -> usize {
        self.open.values().flatten().map(Vec::len).sum()
    }

    /// The largest number of failures of any unfinished task.
    ///
    /// ```
    /// assert_eq!(greengagearch::workflow::progress::JobProgress::default().max_failures(), 0);
    /// ```
    pub fn max_failures(&self) -> u32 {
        let tasks = self.open.values().flatten().flatten();
        tasks.filter(|task| !task.done).map(|task| task.failures).max().unwrap_or(0)
    }
}

fn all_done(tasks: &[TaskProgress]) -> bool {
    tasks.iter().all(|task| task.done)
}
