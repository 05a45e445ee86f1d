//! The jobs that the planner keeps: their rows, how they come to an end, and what is told of them.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::ids::JobId;
use crate::ids::RowVersion;
use crate::workflow::job_forecast::JobForecast;
use crate::workflow::job_outlook::JobOutlook;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::progress::JobEnd;
use crate::workflow::progress::JobProgress;
use crate::workflow::progress::JobRecord;
use crate::workflow::progress::JobStatus;
use crate::workflow::spec::StepSpec;
use crate::workflow::spec::WorkflowSpec;
use crate::workflow::task_name::TaskName;

/// A job that is worked on.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// What was submitted.
    pub spec: WorkflowSpec,
    /// Version of the job's row.
    pub record_version: RowVersion,
    /// How far it has come.
    pub progress: JobProgress,
    /// Version of the row of its progress; zero when there is none.
    pub progress_version: RowVersion,
    /// The end that was decided.
    pub end: Option<JobEnd>,
    /// Whether the end is stored.
    pub end_stored: bool,
    /// Workers on which a task has failed, by occurrence, step and position.
    pub failed_on: HashMap<(u32, u32, u32), Vec<InstanceId>>,
    /// The next occurrence to open.
    pub next_occurrence: u32,
    /// When a run of it last started or ended, in milliseconds since the Unix epoch.
    pub last_run_ms: u64,
    /// When others were last stopped to make room for it, in milliseconds since the Unix epoch.
    pub preempted_ms: u64,
    /// What is known of how long its tasks take.
    pub forecast: JobForecast,
    /// What is left of it; nothing when that has to be worked out anew.
    pub outlook: Option<JobOutlook>,
}

impl JobEntry {
    /// Tasks of the steps in question whose turn has come and that do not run; none of a job that has ended.
    pub(crate) fn waiting_tasks(&self, is_asked: impl Fn(&StepSpec) -> bool) -> usize {
        if self.end.is_some() {
            return 0;
        }
        let mut waiting = 0;
        for (occurrence, steps) in &self.progress.open {
            for (tasks, step) in steps.iter().zip(&self.spec.steps) {
                if is_asked(step) && self.progress.is_ready(*occurrence, step) {
                    let idle = tasks.iter().filter(|task| !task.done && task.attempts.is_empty());
                    waiting += idle.count();
                }
            }
        }
        waiting
    }

    /// Whether it takes what others leave.
    pub(crate) fn fills(&self) -> bool {
        self.spec.steps.iter().any(|step| step.fills)
    }

    pub(crate) fn new(spec: WorkflowSpec, record_version: RowVersion) -> JobEntry {
        JobEntry {
            last_run_ms: spec.accepted_ms,
            spec,
            record_version,
            progress: JobProgress::default(),
            progress_version: 0,
            end: None,
            end_stored: false,
            failed_on: HashMap::new(),
            next_occurrence: 0,
            preempted_ms: 0,
            forecast: JobForecast::default(),
            outlook: None,
        }
    }

    /// The step of a task.
    pub(crate) fn step(&self, name: &TaskName) -> Option<&StepSpec> {
        self.spec.steps.get(name.step as usize)
    }

    /// What is left of it, as of the last look at all jobs.
    pub(crate) fn outlook(&self) -> JobOutlook {
        self.outlook.unwrap_or_else(|| JobOutlook::of(self))
    }

    pub(crate) fn counts(&self) -> Vec<u32> {
        self.spec.steps.iter().map(|step| step.count).collect()
    }

    /// Whether nothing is left to do but to write the end and forget the job.
    pub(crate) fn is_over(&self) -> bool {
        self.end.is_some() && self.progress.attempts("").is_empty()
    }
}

/// A job that has ended, kept for callers that ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedJob {
    /// How it ended.
    pub end: JobEnd,
    /// When, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// Version of its row.
    pub version: RowVersion,
}

impl Planner {
    /// Takes in the row of a job, new or changed. Rows older than what is known say nothing.
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
                if self.ended.get(job).is_some_and(|ended| ended.version >= version) {
                    return;
                }
                let made = || JobEntry::new(spec, version);
                let entry = self.jobs.entry(job.to_string()).or_insert_with(made);
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
                    self.close(job, JobEnd::Cancelled);
                }
            }
        }
    }

    fn on_ended_record(&mut self, job: &str, version: RowVersion, end: JobEnd, ended_ms: u64) {
        self.ended.insert(job.to_string(), EndedJob { end, ended_ms, version });
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.record_version = version.max(entry.record_version);
            entry.end = Some(end);
            entry.end_stored = true;
        }
    }

    /// Takes in the row of a job's progress after a takeover. The job's own row comes first; a job that has
    /// ended needs its spec no more, only its runs.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// planner.on_progress("unknown", 1, Default::default());
    /// ```
    pub fn on_progress(&mut self, job: &str, version: RowVersion, progress: JobProgress) {
        if let Some(ended) = self.ended.get(job).copied() {
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
                self.task_suspicion.adopt(&name, crashes, is_isolated);
            }
        }
        let unknown = StepSpec::default();
        for (name, attempt) in entry.progress.attempts(job) {
            let step = entry.step(&name).unwrap_or(&unknown);
            let key = (name, attempt.run);
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
                // The planner before may have sent the order; the first look will tell.
                run.order = Some(0);
                if self.task_suspicion.is_isolated(&key.0) {
                    worker.isolated.get_or_insert(key);
                }
            }
        }
        if entry.is_over() {
            self.dirty.insert(job.to_string());
        }
        self.settle(job);
    }

    /// Closes occurrences and decides whether the job has ended.
    pub(crate) fn settle(&mut self, job: &str) {
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
        if entry.progress.most_failures() >= entry.spec.policy.max_attempts {
            self.close(job, JobEnd::Failed);
        } else if entry.next_occurrence >= entry.spec.occurrences() && entry.progress.is_all_done()
        {
            self.close(job, JobEnd::Completed);
        }
    }

    /// Ends a job and stops what still runs of it.
    pub(crate) fn close(&mut self, job: &str, end: JobEnd) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if entry.end.is_some() {
            return;
        }
        entry.end = Some(end);
        self.disturbance.forget_job(job);
        self.task_suspicion.forget_job(job);
        self.decisions.push(PlanDecision::JobEnded {
            job: job.to_string(),
            end,
            age_ms: self.wall_ms.saturating_sub(entry.spec.accepted_ms),
            objective_ms: JobOutlook::of(entry).objective_ms,
        });
        self.dirty.insert(job.to_string());
        for (name, attempt) in entry.progress.attempts(job) {
            self.stop_run(&attempt.worker, (name, attempt.run));
        }
    }

    /// Stops what still runs of a task, or of its whole step, that is done.
    pub(crate) fn stop_copies(&mut self, name: &TaskName, whole_step: bool) {
        let Some(entry) = self.jobs.get(&name.job) else {
            return;
        };
        let is_same = |other: &TaskName| {
            other.occurrence == name.occurrence
                && other.step == name.step
                && (whole_step || other.index == name.index)
        };
        let attempts = entry.progress.attempts(&name.job);
        for (task, attempt) in attempts.into_iter().filter(|(task, _)| is_same(task)) {
            self.stop_run(&attempt.worker, (task, attempt.run));
        }
    }

    /// The state of a job; nothing when it is not known here.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.status("a"), None);
    /// ```
    pub fn status(&self, job: &str) -> Option<JobStatus> {
        if let Some(ended) = self.ended.get(job) {
            return Some(JobStatus::Ended(ended.end));
        }
        let entry = self.jobs.get(job)?;
        Some(if entry.progress.begun { JobStatus::Running } else { JobStatus::Queued })
    }

    /// Removes ended jobs whose states nobody has to know any more.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.expired_records(Duration::ZERO).is_empty());
    /// ```
    pub fn expired_records(&self, kept_for: Duration) -> Vec<(JobId, RowVersion)> {
        let kept_ms = u64::try_from(kept_for.as_millis()).unwrap_or(u64::MAX);
        let is_expired = |ended: &EndedJob| self.wall_ms.saturating_sub(ended.ended_ms) > kept_ms;
        let expired = self.ended.iter().filter(|(_, ended)| is_expired(ended));
        expired.map(|(job, ended)| (job.clone(), ended.version)).collect()
    }
}
