//! Jobs that the planner tracks: loading of their rows, their completion, and their status.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::InstanceId;
use crate::ids::JobId;
use crate::ids::RowVersion;
use crate::workflow::admission::planner_admission::learn_ratio;
use crate::workflow::assigned_run::OrderDelivery;
use crate::workflow::job_forecast::JobForecast;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::progress::JobEnd;
use crate::workflow::progress::JobProgress;
use crate::workflow::progress::JobRecord;
use crate::workflow::progress::JobStatus;
use crate::workflow::remaining_work::RemainingWork;
use crate::workflow::spec::StepSpec;
use crate::workflow::spec::WorkflowSpec;
use crate::workflow::task_name::TaskName;

/// Time for which the row of a withdrawn job is kept, longer than a submission without a response
/// may take to be stored.
const WITHDRAWN_RETENTION: Duration = Duration::from_secs(30);

/// A job that has not ended, or whose end is not stored yet.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// Specification of the job as it was accepted.
    pub spec: WorkflowSpec,
    /// Version of the job's row.
    pub record_version: RowVersion,
    /// When the store has last confirmed that version, by itself or as a condition of a write.
    pub confirmed_at: Option<Instant>,
    /// State of the job's tasks.
    pub progress: JobProgress,
    /// Version of the row that holds the progress; zero if there is no such row.
    pub progress_version: RowVersion,
    /// How the job has ended, once that is decided.
    pub end: Option<JobEnd>,
    /// Whether the end is stored.
    pub end_stored: bool,
    /// Workers on which a task has failed, by occurrence, step and index of the task.
    pub failed_on: HashMap<(u32, u32, u32), Vec<InstanceId>>,
    /// Number of the next occurrence to open.
    pub next_occurrence: u32,
    /// When a run of the job last started or ended, in milliseconds since the Unix epoch.
    pub last_run_ms: u64,
    /// When runs of other jobs were last preempted for this job, in milliseconds since the Unix
    /// epoch.
    pub last_preemption_ms: u64,
    /// Estimates of how long the job's tasks take.
    pub forecast: JobForecast,
    /// Work that remains; `None` if it has to be computed again.
    pub remaining_work: Option<RemainingWork>,
}

impl JobEntry {
    /// Number of tasks in the matching steps that are ready but not running; zero for an ended job.
    pub(crate) fn waiting_tasks(&self, matches: impl Fn(&StepSpec) -> bool) -> usize {
        if self.end.is_some() {
            return 0;
        }
        let mut waiting = 0;
        for (occurrence, steps) in &self.progress.open {
            for (tasks, step) in steps.iter().zip(&self.spec.steps) {
                if matches(step) && self.progress.is_ready(*occurrence, step) {
                    let idle = tasks.iter().filter(|task| !task.done && task.attempts.is_empty());
                    waiting += idle.count();
                }
            }
        }
        waiting
    }

    /// Whether any step consists of best-effort tasks.
    pub(crate) fn is_best_effort(&self) -> bool {
        self.spec.steps.iter().any(|step| step.best_effort)
    }

    pub(crate) fn new(spec: WorkflowSpec, record_version: RowVersion) -> JobEntry {
        JobEntry {
            last_run_ms: spec.accepted_ms,
            spec,
            record_version,
            confirmed_at: None,
            progress: JobProgress::default(),
            progress_version: 0,
            end: None,
            end_stored: false,
            failed_on: HashMap::new(),
            next_occurrence: 0,
            last_preemption_ms: 0,
            forecast: JobForecast::default(),
            remaining_work: None,
        }
    }

    /// The step that a task belongs to.
    pub(crate) fn step(&self, name: &TaskName) -> Option<&StepSpec> {
        self.spec.steps.get(name.step as usize)
    }

    /// Notes that a run has ended, which changes the work that remains.
    pub(crate) fn on_run_end(&mut self, wall_ms: u64) {
        self.last_run_ms = wall_ms;
        self.remaining_work = None;
    }

    /// Work that remains, as of the last planning round.
    pub(crate) fn remaining_work(&self) -> RemainingWork {
        self.remaining_work.unwrap_or_else(|| RemainingWork::of(self))
    }

    pub(crate) fn counts(&self) -> Vec<u32> {
        self.spec.steps.iter().map(|step| step.count).collect()
    }

    /// Whether the job has ended and no run of it is left, so that only its end has to be stored.
    pub(crate) fn is_finished(&self) -> bool {
        self.end.is_some() && self.progress.attempts("").is_empty()
    }
}

/// An ended job, kept to answer status requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedJob {
    /// How it ended.
    pub end: JobEnd,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// Version of its row.
    pub version: RowVersion,
}

impl Planner {
    /// Processes a new or changed row of a job. Rows older than the known version are ignored.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::planner::Planner;
    /// use greengagearch::workflow::progress::JobEnd;
    /// use greengagearch::workflow::progress::JobRecord;
    /// use greengagearch::workflow::progress::JobStatus;
    ///
    /// let mut planner = Planner::new(Instant::now());
    /// let record = JobRecord::Ended { end: JobEnd::Failed, digest: 0, ended_ms: 0 };
    /// planner.on_record("a", 3, record);
    /// assert_eq!(planner.status("a"), Some(JobStatus::Ended(JobEnd::Failed)));
    /// ```
    pub fn on_record(&mut self, job: &str, version: RowVersion, record: JobRecord) {
        match record {
            JobRecord::Ended { end, ended_ms, .. } => {
                self.on_ended_record(job, version, end, ended_ms)
            }
            JobRecord::Live { spec, cancelled } => {
                if self.ended_jobs.get(job).is_some_and(|ended| ended.version >= version) {
                    return;
                }
                let create = || JobEntry::new(spec, version);
                let entry = self.jobs.entry(job.to_string()).or_insert_with(create);
                if version < entry.record_version || entry.end_stored {
                    return;
                }
                entry.record_version = version;
                if !entry.spec.is_timed() && entry.next_occurrence == 0 {
                    let counts = entry.counts();
                    entry.progress.open_occurrence(0, &counts);
                    entry.next_occurrence = 1;
                }
                if cancelled {
                    self.end_job(job, JobEnd::Cancelled);
                }
            }
        }
    }

    fn on_ended_record(&mut self, job: &str, version: RowVersion, end: JobEnd, ended_ms: u64) {
        self.ended_jobs.insert(job.to_string(), EndedJob { end, ended_ms, version });
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.record_version = version.max(entry.record_version);
            entry.end = Some(end);
            entry.end_stored = true;
        }
    }

    /// Handles the loss of a job's row, which another writer has removed or overwritten: it had a
    /// version up to `known`, and has the version `version` now, or 0 if it is gone. An accepted job
    /// goes on as it was known, and its end replaces what is stored.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// greengagearch::workflow::planner::Planner::new(Instant::now()).on_lost_record("a", 3, 0);
    /// ```
    pub fn on_lost_record(&mut self, job: &str, known: RowVersion, version: RowVersion) {
        if self.ended_jobs.get(job).is_some_and(|ended| ended.version <= known) {
            self.on_lost_end(job, version);
        }
        let entry = self.jobs.get_mut(job).filter(|entry| entry.record_version <= known);
        if let Some(entry) = entry.filter(|entry| !entry.end_stored) {
            entry.record_version = version;
        }
    }

    /// The end of a job is retained for as long as there is a row to remove.
    fn on_lost_end(&mut self, job: &str, version: RowVersion) {
        if version == 0 {
            self.ended_jobs.remove(job);
        } else if let Some(ended) = self.ended_jobs.get_mut(job) {
            ended.version = version;
        }
    }

    /// Loads the progress row of a job after a takeover; the job's own row has to be loaded before.
    /// For an ended job only the runs matter, so its specification may be missing.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// planner.on_progress("unknown", 1, Default::default());
    /// ```
    pub fn on_progress(&mut self, job: &str, version: RowVersion, progress: JobProgress) {
        if let Some(ended) = self.ended_jobs.get(job).copied() {
            self.jobs.entry(job.to_string()).or_insert_with(|| {
                let mut entry = JobEntry::new(WorkflowSpec::unknown(), ended.version);
                entry.end = Some(ended.end);
                entry.end_stored = true;
                entry
            });
        }
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let numbers = progress.open.keys().chain(&progress.finished);
        entry.next_occurrence = numbers.max().map_or(0, |last| last + 1);
        entry.progress = progress;
        entry.progress_version = version;
        if entry.end.is_none() {
            for (name, crashes, is_isolated) in entry.progress.crashed_tasks(job) {
                self.task_suspicion.restore(&name, crashes, is_isolated);
            }
        }
        let unknown_step = StepSpec::default();
        for (name, attempt) in entry.progress.attempts(job) {
            let step = entry.step(&name).unwrap_or(&unknown_step);
            let key = (name, attempt.run);
            if attempt.in_doubt {
                self.start_doubts.restore(&key, self.now);
            }
            self.inventory.assign(
                &attempt.worker,
                key.clone(),
                step,
                self.now,
                self.inherited_lease_end,
            );
            if let Some(worker) = self.inventory.get_mut(&attempt.worker)
                && let Some(run) = worker.assigned.get_mut(&key)
            {
                // The previous planner may have sent the order; the first snapshot shows whether it
                // did.
                run.delivery = OrderDelivery::Inherited;
                if self.task_suspicion.is_isolated(&key.0) {
                    worker.isolated.get_or_insert(key);
                }
            }
        }
        if entry.is_finished() {
            self.changed_jobs.insert(job.to_string());
        }
        self.update_completion(job);
    }

    /// Closes completed occurrences and ends the job if it is complete or has failed.
    pub(crate) fn update_completion(&mut self, job: &str) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if entry.end.is_some() {
            return;
        }
        let open: Vec<u32> = entry.progress.open.keys().copied().collect();
        if entry.spec.is_timed() {
            for occurrence in open {
                entry.progress.close_occurrence(occurrence);
            }
        }
        if entry.progress.max_failures() >= entry.spec.policy.max_attempts {
            self.end_job(job, JobEnd::Failed);
        } else if entry.next_occurrence >= entry.spec.occurrences()
            && entry.progress.is_all_done()
            && !self.may_begin_again(job)
        {
            self.end_job(job, JobEnd::Completed);
        }
    }

    /// Ends a job and stops its runs.
    pub(crate) fn end_job(&mut self, job: &str, end: JobEnd) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if entry.end.is_some() {
            return;
        }
        entry.end = Some(end);
        if end == JobEnd::Completed {
            learn_ratio(&mut self.admission, entry);
        }
        self.interference.forget_job(job);
        self.task_suspicion.forget_job(job);
        self.decisions.push(PlanDecision::JobEnded {
            job: job.to_string(),
            end,
            age_ms: self.wall_ms.saturating_sub(entry.spec.accepted_ms),
            objective_ms: RemainingWork::of(entry).objective_ms,
        });
        self.changed_jobs.insert(job.to_string());
        for (name, attempt) in entry.progress.attempts(job) {
            if attempt.end.is_none() {
                self.stop_run(&attempt.worker, (name, attempt.run));
            }
        }
    }

    /// Stops the remaining runs of a completed task, or of its whole step.
    pub(crate) fn stop_remaining_runs(&mut self, name: &TaskName, whole_step: bool) {
        let Some(entry) = self.jobs.get(&name.job) else {
            return;
        };
        let is_same = |other: &TaskName| {
            other.occurrence == name.occurrence
                && other.step == name.step
                && (whole_step || other.index == name.index)
        };
        let attempts = entry.progress.attempts(&name.job);
        let active =
            attempts.into_iter().filter(|(task, attempt)| is_same(task) && attempt.end.is_none());
        for (task, attempt) in active {
            self.stop_run(&attempt.worker, (task, attempt.run));
        }
    }

    /// Returns the state of a job; `None` if this planner does not know the job.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.status("a"), None);
    /// ```
    pub fn status(&self, job: &str) -> Option<JobStatus> {
        if let Some(ended) = self.ended_jobs.get(job) {
            return Some(ended.end).filter(|end| *end != JobEnd::Withdrawn).map(JobStatus::Ended);
        }
        let entry = self.jobs.get(job)?;
        Some(if entry.progress.begun { JobStatus::Running } else { JobStatus::Queued })
    }

    /// Returns the ended jobs whose status has been kept longer than `retention`, with the versions
    /// of their rows.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.expired_records(Duration::ZERO).is_empty());
    /// ```
    pub fn expired_records(&self, retention: Duration) -> Vec<(JobId, RowVersion)> {
        let is_expired = |ended: &EndedJob| {
            let retention = match ended.end {
                JobEnd::Withdrawn => retention.min(WITHDRAWN_RETENTION),
                JobEnd::Completed | JobEnd::Failed | JobEnd::Cancelled => retention,
            };
            let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
            self.wall_ms.saturating_sub(ended.ended_ms) > retention_ms
        };
        let expired = self.ended_jobs.iter().filter(|(_, ended)| is_expired(ended));
        expired.map(|(job, ended)| (job.clone(), ended.version)).collect()
    }
}
