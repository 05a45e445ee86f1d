//! How far a job has come: what the planner keeps of every task, and the rows that hold it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::BodyDigest;
use crate::ids::RunNumber;
use crate::workflow::spec::StepSpec;
use crate::workflow::spec::WorkflowSpec;
use crate::workflow::task_name::TaskName;
use crate::workflow::task_progress::RunAttempt;
use crate::workflow::task_progress::TaskCrash;
use crate::workflow::task_progress::TaskProgress;

/// The final state of a job; it never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEnd {
    /// Every task ended as done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl JobEnd {
    /// The word that callers of the product's own interface are told.
    ///
    /// ```
    /// assert_eq!(greengagearch::workflow::progress::JobEnd::Cancelled.word(), "cancelled");
    /// ```
    pub fn word(self) -> &'static str {
        match self {
            JobEnd::Completed => "completed",
            JobEnd::Failed => "failed",
            JobEnd::Cancelled => "cancelled",
        }
    }
}

/// The state of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// It has ended.
    Ended(JobEnd),
}

/// The row of a job. The caller's entry writes the first, the planner the last edition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobRecord {
    /// The job is still to be worked on.
    Live {
        /// What was submitted.
        spec: WorkflowSpec,
        /// Whether the caller has cancelled it.
        cancelled: bool,
    },
    /// The job has ended; kept so that a repeated submission finds it.
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
    /// Digest of what was submitted, without what the accepting entry added.
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

/// Digest of what a caller submitted: payload, steps and times, but not the queue's treatment.
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
    // These types have no map keys other than text, so that they always serialize.
    let text = serde_json::to_vec(&parts).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(&text)
}

/// How a run of a task ended on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// It finished its work.
    Done,
    /// It failed, by its own fault or its worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
    /// It is known to be gone: its worker's life ended, or the worker refused it for good.
    Lost,
}

/// The tasks of one occurrence, by step and position.
pub type OccurrenceProgress = Vec<Vec<TaskProgress>>;

/// What the planner keeps of a job; the row that the planner alone writes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// Whether any task was ever started.
    pub begun: bool,
    /// Occurrences that are under way.
    pub open: BTreeMap<u32, OccurrenceProgress>,
    /// Occurrences whose tasks are all done.
    pub finished: BTreeSet<u32>,
}

impl JobProgress {
    /// Opens an occurrence; its tasks have not started.
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

    /// A task to be changed, if its occurrence is open.
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

    /// Whether all earlier steps of a step are done.
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

    /// Takes note of the end of a run. Says whether the run was one that counted. One that was given up counts where it is done all
    /// the same: its start was carried out late.
    ///
    /// ```
    /// use greengagearch::workflow::progress::JobProgress;
    /// use greengagearch::workflow::progress::RunEnd;
    /// use greengagearch::workflow::spec::StepSpec;
    ///
    /// let mut progress = JobProgress::default();
    /// progress.open_occurrence(0, &[1]);
    /// let name = "a.0.0.0".parse().unwrap();
    /// let step = StepSpec { count: 1, ..StepSpec::default() };
    /// assert!(!progress.on_end(&name, 1, RunEnd::Done, "", &step));
    /// ```
    pub fn on_end(
        &mut self,
        name: &TaskName,
        run: RunNumber,
        end: RunEnd,
        checkpoint: &str,
        step: &StepSpec,
    ) -> bool {
        let Some(task) = self.task_mut(name) else {
            return false;
        };
        let known = task.attempts.len();
        task.attempts.retain(|attempt| attempt.run != run);
        let was_given_up = task.attempts.len() == known;
        let is_done_late = end == RunEnd::Done && !task.done && run <= task.last_run;
        if was_given_up && !is_done_late {
            return false;
        }
        if !checkpoint.is_empty() {
            task.checkpoint = checkpoint.to_string();
        }
        match end {
            RunEnd::Done if !step.long_running => self.on_done(name, step),
            RunEnd::Failed if !step.long_running => self.on_failed(name, run, step),
            _ => {}
        }
        true
    }

    /// Closes an occurrence when all its tasks are done. Says whether it was closed.
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

    /// All runs that may still be at work, with their tasks.
    ///
    /// ```
    /// let progress = greengagearch::workflow::progress::JobProgress::default();
    /// assert_eq!(progress.attempts("job").len(), 0);
    /// ```
    pub fn attempts(&self, job: &str) -> Vec<(TaskName, RunAttempt)> {
        let mut found = Vec::new();
        self.each_task(job, |name, task| {
            found.extend(task.attempts.iter().map(|attempt| (name(), attempt.clone())));
        });
        found
    }

    /// Tasks that are not done and under which lives of runners have broken off, and whether they are isolated.
    ///
    /// ```
    /// let progress = greengagearch::workflow::progress::JobProgress::default();
    /// assert_eq!(progress.crashed_tasks("job").len(), 0);
    /// ```
    pub fn crashed_tasks(&self, job: &str) -> Vec<(TaskName, Vec<TaskCrash>, bool)> {
        let mut found = Vec::new();
        self.each_task(job, |name, task| {
            if !task.crashes.is_empty() && !task.done {
                found.push((name(), task.crashes.clone(), task.isolated));
            }
        });
        found
    }

    /// Visits all tasks of open occurrences; names are only made where they are asked for.
    fn each_task(&self, job: &str, mut visit: impl FnMut(&dyn Fn() -> TaskName, &TaskProgress)) {
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

    /// Whether nothing of the job may run at present.
    ///
    /// ```
    /// assert!(greengagearch::workflow::progress::JobProgress::default().is_idle());
    /// ```
    pub fn is_idle(&self) -> bool {
        self.open.values().flatten().flatten().all(|task| task.attempts.is_empty())
    }

    /// Tasks of all open occurrences.
    ///
    /// ```
    /// assert_eq!(greengagearch::workflow::progress::JobProgress::default().task_count(), 0);
    /// ```
    pub fn task_count(&self) -> usize {
        self.open.values().flatten().map(Vec::len).sum()
    }

    /// The largest number of failures of any task.
    ///
    /// ```
    /// assert_eq!(greengagearch::workflow::progress::JobProgress::default().max_failures(), 0);
    /// ```
    pub fn max_failures(&self) -> u32 {
        let tasks = self.open.values().flatten().flatten();
        tasks.filter(|task| !task.done).map(|task| task.failures).max().unwrap_or(0)
    }

    fn on_failed(&mut self, name: &TaskName, run: RunNumber, step: &StepSpec) {
        let counted = TaskName { index: if step.gang { 0 } else { name.index }, ..name.clone() };
        let Some(task) = self.task_mut(&counted) else {
            return;
        };
        // Several members of a gang may fail in one run, which is one failure of the gang.
        if !step.gang || task.failed_run != run {
            task.failures += 1;
            task.failed_run = run;
        }
    }

    fn on_done(&mut self, name: &TaskName, step: &StepSpec) {
        let Some(steps) = self.open.get_mut(&name.occurrence) else {
            return;
        };
        let Some(tasks) = steps.get_mut(name.step as usize) else {
            return;
        };
        if step.gang {
            // The members of a gang end as done together, and one end stands for all.
            tasks.iter_mut().for_each(|task| task.done = true);
        } else if let Some(task) = tasks.get_mut(name.index as usize) {
            task.done = true;
        }
    }
}

fn all_done(tasks: &[TaskProgress]) -> bool {
    tasks.iter().all(|task| task.done)
}
