//! Suspicion of tasks that crash the workers on which they start.
//!
//! A worker that breaks off lists no ends, and everything that ran on it is lost alike. What tells the task at fault from
//! those beside it is how young their runs were, and that it is there again when the next worker breaks off. So each run that was
//! young counts a crash for its task; the task with the most crashes, of these the youngest, is *isolated*: it starts only
//! where no other start follows, until its run has outlived the earlier ones. The next crash then names it or clears it. The others
//! start again at once. This is adaptive group testing (Dorfman, "The Detection of Defective Members of Large Populations", 1943)
//! with the age of a run as prior evidence.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::YOUNG_SPAN;
use crate::ids::JobId;
use crate::workflow::task_name::TaskName;
use crate::workflow::task_progress::TaskCrash;

/// Crashes after which a task is given up that all evidence points to. Two may be chance on a day on which workers break off
/// by themselves.
const GIVE_UP_AFTER: usize = 3;
/// Crashes after which a task is given up although the evidence is weaker. The users' platform forbids a sixth start.
const MOST_CRASHES: usize = 4;
/// Of the crashes that a task is given up for, so many must have come after its worker had said that it runs.
const LEAST_CERTAIN: usize = 2;
/// Ages of the crashed runs together up to which the evidence is strong. A worker that breaks off by itself does so at any age of a
/// run, rarely three times within so little.
const STRONG_AGES: Duration = Duration::from_millis(1_000);
/// Lives that a task must have ended more than any that was as young, if it was not by itself.
const CLEAR_LEAD: usize = 2;
/// Difference of ages below which it cannot be told which of two runs began later: orders that leave together
/// reach the runner in any order.
const SAME_AGE: Duration = Duration::from_millis(50);
/// Time beyond twice the least age of the crashed runs that a run has to live to clear its task: a look shows it, and a crash
/// that was noticed late does not pass for survival.
const PROOF_SLACK: Duration = Duration::from_millis(400);
/// Time for which a worker that broke off counts as away: runners are back after some seconds.
const AWAY_SPAN: Duration = Duration::from_secs(4);
/// Time after which one isolated start is allowed however many workers are away.
const TRIAL_PAUSE: Duration = Duration::from_secs(2);
/// One in so many workers may be away or have an isolated task, so that suspects do not take the whole fleet.
const SHARE_AWAY: usize = 3;

/// A young run of a worker that broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// Its task.
    pub task: TaskName,
    /// How old it was at most.
    pub max_age: Duration,
    /// How old it was at least.
    pub min_age: Duration,
    /// Whether it had surely begun.
    pub is_certain: bool,
}

/// What a crash has told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashVerdict {
    /// Tasks that are isolated from now on.
    pub isolated: Vec<TaskName>,
    /// A task that has crashed so many workers that it is given up.
    pub given_up: Option<TaskName>,
    /// Tasks against which less is held, since that one has ended some of the lives.
    pub exonerated: Vec<TaskName>,
}

/// What is held against one task.
#[derive(Clone, Debug, Default)]
struct CrashRecord {
    crashes: Vec<TaskCrash>,
    is_isolated: bool,
}

impl CrashRecord {
    /// How long a run has to live, so that its task cannot have ended the lives before: what crashes its worker does so at
    /// much the same age each time.
    fn clearing_age(&self) -> Duration {
        let least = self.crashes.iter().map(|crash| crash.age_ms).min();
        // An agent that was paused sees a crash late; no run has to prove more than that it is not young.
        let span = |age_ms| Duration::from_millis(age_ms).min(YOUNG_SPAN) * 2 + PROOF_SLACK;
        least.map_or(YOUNG_SPAN, span)
    }

    /// Whether there is enough to give the task up, if it is the one that the last crash points to or not.
    fn is_enough(&self, is_named: bool) -> bool {
        let certain = self.crashes.iter().filter(|crash| crash.is_certain).count();
        let ages_ms: u64 = self.crashes.iter().map(|crash| crash.age_ms).sum();
        let is_strong = is_named && Duration::from_millis(ages_ms) <= STRONG_AGES;
        let needed = if is_strong { GIVE_UP_AFTER } else { MOST_CRASHES };
        self.crashes.len() >= needed && (certain >= LEAST_CERTAIN || !is_strong)
    }
}

/// What is held against tasks, and which workers broke off of late.
#[derive(Clone, Debug, Default)]
pub struct TaskSuspicion {
    records: HashMap<TaskName, CrashRecord>,
    crashed_at: Vec<Instant>,
    isolated_at: Option<Instant>,
}

impl TaskSuspicion {
    /// Takes in that a life has broken off, and what was young on it.
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
    pub fn on_crash(&mut self, life: &str, young: &[CrashedRun], now: Instant) -> CrashVerdict {
        self.crashed_at.retain(|at| now.saturating_duration_since(*at) < AWAY_SPAN);
        self.crashed_at.push(now);
        for run in young {
            self.count(life, run);
        }
        let suspects = self.suspects(young);
        let given_up = self.choose_given_up(&suspects, young);
        let exonerated = given_up.as_ref().map(|task| self.clear_others(task)).unwrap_or_default();
        let mut isolated = Vec::new();
        for task in suspects {
            let record = self.records.get_mut(&task);
            if record.is_some_and(|record| !std::mem::replace(&mut record.is_isolated, true)) {
                isolated.push(task);
            }
        }
        CrashVerdict { isolated, given_up, exonerated }
    }

    fn count(&mut self, life: &str, run: &CrashedRun) {
        let record = self.records.entry(run.task.clone()).or_default();
        if record.crashes.iter().any(|known| known.instance == life) {
            // A planner before has counted this one.
            return;
        }
        if run.min_age > record.clearing_age() {
            *record = CrashRecord::default();
        }
        record.crashes.push(TaskCrash {
            instance: life.to_string(),
            age_ms: u64::try_from(run.max_age.as_millis()).unwrap_or(u64::MAX),
            is_certain: run.is_certain,
        });
    }

    /// Of the young runs' tasks those with the most crashes, and of these the youngest.
    fn suspects(&self, young: &[CrashedRun]) -> Vec<TaskName> {
        let count = |run: &CrashedRun| self.crashes(&run.task).len();
        let most = young.iter().map(count).max().unwrap_or(0);
        let worst = || young.iter().filter(|run| count(run) == most);
        let youngest = worst().map(|run| run.max_age).min().unwrap_or_default();
        let found = worst().filter(|run| run.max_age <= youngest + SAME_AGE);
        found.map(|run| run.task.clone()).collect()
    }

    fn choose_given_up(&self, suspects: &[TaskName], young: &[CrashedRun]) -> Option<TaskName> {
        let is_named = suspects.len() == 1 && self.is_named(&suspects[0], young);
        let is_enough = |task: &&TaskName| {
            self.records.get(*task).is_some_and(|record| record.is_enough(is_named))
        };
        suspects.iter().find(is_enough).cloned()
    }

    /// Whether a crash points to one task: all others were older, or have far fewer crashes.
    fn is_named(&self, suspect: &TaskName, young: &[CrashedRun]) -> bool {
        let own = young.iter().find(|run| run.task == *suspect);
        let age = own.map(|run| run.max_age).unwrap_or_default();
        let crashes = self.crashes(suspect).len();
        let mut others = young.iter().filter(|run| run.task != *suspect);
        others.all(|run| {
            let has_led = self.crashes(&run.task).len() + CLEAR_LEAD <= crashes;
            run.max_age > age + SAME_AGE || has_led
        })
    }

    /// What a task that is given up has ended is no longer held against those beside it; gives them.
    fn clear_others(&mut self, task: &TaskName) -> Vec<TaskName> {
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

    /// Takes in what a planner before has stored of a task.
    ///
    /// ```
    /// use greengagearch::workflow::task_progress::TaskCrash;
    ///
    /// let crash = |life: &str| TaskCrash { instance: life.to_string(), age_ms: 10, is_certain: true };
    /// let mut suspicion = greengagearch::workflow::task_suspicion::TaskSuspicion::default();
    /// suspicion.restore(&"a.0.0.0".parse().unwrap(), vec![crash("i-1"), crash("i-2")], true);
    /// assert!(suspicion.is_isolated(&"a.0.0.0".parse().unwrap()));
    /// ```
    pub fn restore(&mut self, task: &TaskName, crashes: Vec<TaskCrash>, is_isolated: bool) {
        self.records.insert(task.clone(), CrashRecord { crashes, is_isolated });
    }

    /// Crashes that are held against a task.
    ///
    /// ```
    /// let suspicion = greengagearch::workflow::task_suspicion::TaskSuspicion::default();
    /// assert!(suspicion.crashes(&"a.0.0.0".parse().unwrap()).is_empty());
    /// ```
    pub fn crashes(&self, task: &TaskName) -> &[TaskCrash] {
        self.records.get(task).map_or(&[], |record| &record.crashes)
    }

    /// Whether a task may only start where no other start follows.
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

    /// Whether nothing is held against any task.
    ///
    /// ```
    /// assert!(greengagearch::workflow::task_suspicion::TaskSuspicion::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How long a run has to live, so that its task is cleared.
    ///
    /// ```
    /// let suspicion = greengagearch::workflow::task_suspicion::TaskSuspicion::default();
    /// assert_eq!(suspicion.clearing_age(&"a.0.0.0".parse().unwrap()), None);
    /// ```
    pub fn clearing_age(&self, task: &TaskName) -> Option<Duration> {
        self.records.get(task).map(CrashRecord::clearing_age)
    }

    /// Drops what is held against a task: a run of it has ended by itself or outlived those that crashed. Says whether it was
    /// anything.
    ///
    /// ```
    /// let mut suspicion = greengagearch::workflow::task_suspicion::TaskSuspicion::default();
    /// assert!(!suspicion.clear(&"a.0.0.0".parse().unwrap()));
    /// ```
    pub fn clear(&mut self, task: &TaskName) -> bool {
        self.records.remove(task).is_some()
    }

    /// Forgets the tasks of a job.
    ///
    /// ```
    /// greengagearch::workflow::task_suspicion::TaskSuspicion::default().forget_job("a");
    /// ```
    pub fn forget_job(&mut self, job: &str) {
        self.records.retain(|task, _| task.job != job);
    }

    /// Whether an isolated task may start while so many workers are there, of which some have one already.
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
        let is_away = |at: &&Instant| now.saturating_duration_since(**at) < AWAY_SPAN;
        let away = self.crashed_at.iter().filter(is_away).count();
        let most = ((workers + away) / SHARE_AWAY).max(1);
        let passed = |at: Instant| now.saturating_duration_since(at) >= TRIAL_PAUSE;
        let has_paused = self.isolated_at.is_none_or(passed);
        isolating + away < most || isolating == 0 && has_paused
    }

    /// Takes note that an isolated task starts.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// greengagearch::workflow::task_suspicion::TaskSuspicion::default().on_isolated_start(Instant::now());
    /// ```
    pub fn on_isolated_start(&mut self, now: Instant) {
        self.isolated_at = Some(now);
    }
}
