//! Detection of tasks that crash the workers on which they start.
//!
//! A runner that crashes does not report how its runs ended, and all of them are lost alike. Two
//! things distinguish the task that caused the crash: its run had started shortly before, and the
//! task is present again at the next crash. A crash is therefore attributed to the task of each run
//! that was young, that is, had started shortly before. The task with the most crashes, or the
//! youngest run among several, is *isolated*: no other task starts on its worker after it until its
//! run has lived longer than the crashed ones. The next crash then either confirms or clears it.
//! All other tasks are restarted immediately. This is adaptive group testing (Dorfman, "The
//! Detection of Defective Members of Large Populations", 1943) with the age of a run as prior
//! evidence.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::MAX_YOUNG_AGE;
use crate::ids::JobId;
use crate::workflow::task_name::TaskName;
use crate::workflow::task_progress::TaskCrash;

/// Crashes after which a task is given up if the evidence is strong. Two crashes may be
/// coincidental while workers crash for other reasons.
const STRONG_EVIDENCE_CRASHES: usize = 3;
/// Crashes after which a task is given up if the evidence is weak. The users' platform forbids a
/// sixth start.
const WEAK_EVIDENCE_CRASHES: usize = 4;
/// Strong evidence needs at least this number of crashes for which the worker had confirmed the
/// start of the run.
const MIN_CERTAIN_CRASHES: usize = 2;
/// Largest sum of the ages of the crashed runs for strong evidence. Unrelated crashes happen at any
/// age of a run, and rarely three times within so short a time.
const MAX_STRONG_TOTAL_AGE: Duration = Duration::from_millis(1_000);
/// Number of crashes by which a task must lead another one with an equally young run to be the sole
/// suspect.
const SUSPECT_LEAD: usize = 2;
/// Difference of ages up to which the order of two starts is unknown, since orders that are sent
/// together reach the runner in any order.
const AGE_RESOLUTION: Duration = Duration::from_millis(50);
/// A run clears its task when it is older than twice the lowest age of the crashed runs plus this
/// margin. The margin covers the polling period, so that a crash that is noticed late is not taken
/// for survival.
const CLEARING_MARGIN: Duration = Duration::from_millis(400);
/// Time for which a crashed worker counts as unavailable: runners restart within seconds.
const UNAVAILABLE_PERIOD: Duration = Duration::from_secs(4);
/// Time after the last isolated start after which another one is allowed, no matter how many
/// workers are unavailable.
const ISOLATED_START_INTERVAL: Duration = Duration::from_secs(2);
/// One worker out of this number may be unavailable or have an isolated task, so that suspects do
/// not occupy the whole fleet.
const ISOLATION_DIVISOR: usize = 3;

/// A young run on a worker that crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// Its task.
    pub task: TaskName,
    /// Upper limit for its age at the crash.
    pub max_age: Duration,
    /// Lower limit for its age at the crash.
    pub min_age: Duration,
    /// Whether it had certainly started.
    pub is_certain: bool,
}

/// Consequences of a crash.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashVerdict {
    /// Tasks that are isolated from now on.
    pub isolated: Vec<TaskName>,
    /// A task that is given up because of its crashes.
    pub given_up: Option<TaskName>,
    /// Tasks with fewer attributed crashes than before, since the task that is given up explains
    /// some.
    pub exonerated: Vec<TaskName>,
}

/// The crashes that are attributed to one task.
#[derive(Clone, Debug, Default)]
struct CrashRecord {
    crashes: Vec<TaskCrash>,
    is_isolated: bool,
}

impl CrashRecord {
    /// The age from which a run clears its task of the earlier crashes: a task that crashes its
    /// worker does so at about the same age each time.
    fn clearing_age(&self) -> Duration {
        let min_age_ms = self.crashes.iter().map(|crash| crash.age_ms).min();
        // A paused agent notices a crash late, which overstates the age. It is therefore limited to
        // the age of young runs.
        let span = |age_ms| Duration::from_millis(age_ms).min(MAX_YOUNG_AGE) * 2 + CLEARING_MARGIN;
        min_age_ms.map_or(MAX_YOUNG_AGE, span)
    }

    /// Whether the crashes suffice to give the task up. `is_sole_suspect` tells whether the last
    /// crash is attributed to this task alone.
    fn justifies_giving_up(&self, is_sole_suspect: bool) -> bool {
        let certain = self.crashes.iter().filter(|crash| crash.is_certain).count();
        let ages_ms: u64 = self.crashes.iter().map(|crash| crash.age_ms).sum();
        let is_strong = is_sole_suspect && Duration::from_millis(ages_ms) <= MAX_STRONG_TOTAL_AGE;
        let needed = if is_strong { STRONG_EVIDENCE_CRASHES } else { WEAK_EVIDENCE_CRASHES };
        self.crashes.len() >= needed && (certain >= MIN_CERTAIN_CRASHES || !is_strong)
    }
}

/// Attributes crashes of runner instances to tasks.
#[derive(Clone, Debug, Default)]
pub struct TaskSuspicion {
    records: HashMap<TaskName, CrashRecord>,
    crashed_at: Vec<Instant>,
    isolated_at: Option<Instant>,
}

impl TaskSuspicion {
    /// Records the crash of a runner instance with its young runs.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::task_suspicion::CrashedRun;
    /// use greengagearch::workflow::task_suspicion::TaskSuspicion;
    ///
    /// let run = |task: &str, millis: u64| CrashedRun {
    ///     task: task.parse().unwrap(),
    ///     max_age: Duration::from_millis(millis),
    ///     min_age: Duration::ZERO,
    ///     is_certain: true,
    /// };
    /// let mut suspicion = TaskSuspicion::default();
    /// let young = [run("a.0.0.0", 400), run("b.0.0.0", 10)];
    /// let verdict = suspicion.on_crash("i-1", &young, Instant::now());
    /// assert_eq!(verdict.isolated, ["b.0.0.0".parse().unwrap()]);
    /// assert_eq!(verdict.given_up, None);
    /// ```
    pub fn on_crash(&mut self, instance: &str, young: &[CrashedRun], now: Instant) -> CrashVerdict {
        self.crashed_at.retain(|at| now.saturating_duration_since(*at) < UNAVAILABLE_PERIOD);
        self.crashed_at.push(now);
        for run in young {
            self.record_crash(instance, run);
        }
        let suspects = self.suspects(young);
        let given_up = self.task_to_give_up(&suspects, young);
        let exonerated =
            given_up.as_ref().map(|task| self.exonerate_others(task)).unwrap_or_default();
        let mut isolated = Vec::new();
        for task in suspects {
            let record = self.records.get_mut(&task);
            if record.is_some_and(|record| !std::mem::replace(&mut record.is_isolated, true)) {
                isolated.push(task);
            }
        }
        CrashVerdict { isolated, given_up, exonerated }
    }

    fn record_crash(&mut self, instance: &str, run: &CrashedRun) {
        let record = self.records.entry(run.task.clone()).or_default();
        if record.crashes.iter().any(|known| known.instance == instance) {
            // A previous planner has recorded this crash.
            return;
        }
        if run.min_age > record.clearing_age() {
            *record = CrashRecord::default();
        }
        record.crashes.push(TaskCrash {
            instance: instance.to_string(),
            age_ms: u64::try_from(run.max_age.as_millis()).unwrap_or(u64::MAX),
            is_certain: run.is_certain,
        });
    }

    /// Of the tasks of the young runs, those with the most crashes, and of these the youngest.
    fn suspects(&self, young: &[CrashedRun]) -> Vec<TaskName> {
        let count = |run: &CrashedRun| self.crashes(&run.task).len();
        let max_crashes = young.iter().map(count).max().unwrap_or(0);
        let worst = || young.iter().filter(|run| count(run) == max_crashes);
        let youngest = worst().map(|run| run.max_age).min().unwrap_or_default();
        let found = worst().filter(|run| run.max_age <= youngest + AGE_RESOLUTION);
        found.map(|run| run.task.clone()).collect()
    }

    fn task_to_give_up(&self, suspects: &[TaskName], young: &[CrashedRun]) -> Option<TaskName> {
        let is_sole_suspect = suspects.len() == 1 && self.is_sole_suspect(&suspects[0], young);
        let justifies_giving_up = |task: &&TaskName| {
            self.records
                .get(*task)
                .is_some_and(|record| record.justifies_giving_up(is_sole_suspect))
        };
        suspects.iter().find(justifies_giving_up).cloned()
    }

    /// Whether a crash is attributed to one task alone: all other runs were older, or their tasks
    /// have far fewer crashes.
    fn is_sole_suspect(&self, suspect: &TaskName, young: &[CrashedRun]) -> bool {
        let own = young.iter().find(|run| run.task == *suspect);
        let age = own.map(|run| run.max_age).unwrap_or_default();
        let crashes = self.crashes(suspect).len();
        let mut others = young.iter().filter(|run| run.task != *suspect);
        others.all(|run| {
            let has_lead = self.crashes(&run.task).len() + SUSPECT_LEAD <= crashes;
            run.max_age > age + AGE_RESOLUTION || has_lead
        })
    }

    /// Removes the crashes of a task that is given up from the other tasks. Returns the tasks
    /// concerned.
    fn exonerate_others(&mut self, task: &TaskName) -> Vec<TaskName> {
        let found = self.records.remove(task).unwrap_or_default();
        let is_exonerated =
            |crash: &TaskCrash| found.crashes.iter().any(|known| known.instance == crash.instance);
        let mut exonerated = Vec::new();
        for (other, record) in &mut self.records {
            let before = record.crashes.len();
            record.crashes.retain(|crash| !is_exonerated(crash));
            if record.crashes.len() < before {
                exonerated.push(other.clone());
            }
        }
        self.records.retain(|_, record| !record.crashes.is_empty());
        exonerated
    }

    /// Restores the crashes of a task that a previous planner has stored.
    ///
    /// ```
    /// use greengagearch::workflow::task_progress::TaskCrash;
    ///
    /// let crash = |instance: &str| {
    ///     TaskCrash { instance: instance.to_string(), age_ms: 10, is_certain: true }
    /// };
    /// let mut suspicion = greengagearch::workflow::task_suspicion::TaskSuspicion::default();
    /// suspicion.restore(&"a.0.0.0".parse().unwrap(), vec![crash("i-1"), crash("i-2")], true);
    /// assert!(suspicion.is_isolated(&"a.0.0.0".parse().unwrap()));
    /// ```
    pub fn restore(&mut self, task: &TaskName, crashes: Vec<TaskCrash>, is_isolated: bool) {
        self.records.insert(task.clone(), CrashRecord { crashes, is_isolated });
    }

    /// The crashes that are attributed to a task.
    ///
    /// ```
    /// let suspicion = greengagearch::workflow::task_suspicion::TaskSuspicion::default();
    /// assert!(suspicion.crashes(&"a.0.0.0".parse().unwrap()).is_empty());
    /// ```
    pub fn crashes(&self, task: &TaskName) -> &[TaskCrash] {
        self.records.get(task).map_or(&[], |record| &record.crashes)
    }

    /// Whether a task is isolated: no other task may start on its worker after it.
    ///
    /// ```
    /// let suspicion = greengagearch::workflow::task_suspicion::TaskSuspicion::default();
    /// assert!(!suspicion.is_isolated(&"a.0.0.0".parse().unwrap()));
    /// ```
    pub fn is_isolated(&self, task: &TaskName) -> bool {
        self.records.get(task).is_some_and(|record| record.is_isolated)
    }

    /// Jobs that have isolated tasks.
    ///
    /// ```
    /// let suspicion = greengagearch::workflow::task_suspicion::TaskSuspicion::default();
    /// assert!(suspicion.isolated_jobs().is_empty());
    /// ```
    pub fn isolated_jobs(&self) -> Vec<JobId> {
        let isolated = self.records.iter().filter(|(_, record)| record.is_isolated);
        let mut jobs: Vec<JobId> = isolated.map(|(task, _)| task.job.clone()).collect();
        jobs.sort();
        jobs.dedup();
        jobs
    }

    /// Whether no crash is attributed to any task.
    ///
    /// ```
    /// assert!(greengagearch::workflow::task_suspicion::TaskSuspicion::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The age from which a run clears its task; `None` for a task without crashes.
    ///
    /// ```
    /// let suspicion = greengagearch::workflow::task_suspicion::TaskSuspicion::default();
    /// assert_eq!(suspicion.clearing_age(&"a.0.0.0".parse().unwrap()), None);
    /// ```
    pub fn clearing_age(&self, task: &TaskName) -> Option<Duration> {
        self.records.get(task).map(CrashRecord::clearing_age)
    }

    /// Removes the crashes of a task, after a run of it has ended by itself or has lived longer
    /// than the crashed ones. Returns whether there were any.
    ///
    /// ```
    /// let mut suspicion = greengagearch::workflow::task_suspicion::TaskSuspicion::default();
    /// assert!(!suspicion.clear(&"a.0.0.0".parse().unwrap()));
    /// ```
    pub fn clear(&mut self, task: &TaskName) -> bool {
        self.records.remove(task).is_some()
    }

    /// Removes the tasks of a job.
    ///
    /// ```
    /// greengagearch::workflow::task_suspicion::TaskSuspicion::default().forget_job("a");
    /// ```
    pub fn forget_job(&mut self, job: &str) {
        self.records.retain(|task, _| task.job != job);
    }

    /// Whether an isolated task may start, if there are `workers` available workers of which
    /// `isolating` have an isolated task already.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut suspicion = greengagearch::workflow::task_suspicion::TaskSuspicion::default();
    /// let now = Instant::now();
    /// suspicion.on_isolated_start(now);
    /// assert!(suspicion.may_start_isolated(11, 2, now));
    /// assert!(!suspicion.may_start_isolated(11, 3, now));
    /// ```
    pub fn may_start_isolated(&self, workers: usize, isolating: usize, now: Instant) -> bool {
        let is_unavailable =
            |at: &&Instant| now.saturating_duration_since(**at) < UNAVAILABLE_PERIOD;
        let unavailable = self.crashed_at.iter().filter(is_unavailable).count();
        let limit = ((workers + unavailable) / ISOLATION_DIVISOR).max(1);
        let passed = |at: Instant| now.saturating_duration_since(at) >= ISOLATED_START_INTERVAL;
        let interval_elapsed = self.isolated_at.is_none_or(passed);
        isolating + unavailable < limit || isolating == 0 && interval_elapsed
    }

    /// Records that an isolated task starts.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::task_suspicion::TaskSuspicion;
    ///
    /// TaskSuspicion::default().on_isolated_start(Instant::now());
    /// ```
    pub fn on_isolated_start(&mut self, now: Instant) {
        self.isolated_at = Some(now);
    }
}
