//! One life of a runner as the search plays it, and the journal that promises are checked by.

use std::collections::BTreeMap;

use greengagearch::connection::node_protocol::EndedRun;
use greengagearch::connection::node_protocol::PresentRun;
use greengagearch::external::runner_control::PollResponse;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::task_name::TaskName;
use greengagearch::workflow::worker_inventory::RunKey;

/// A run as it really was.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub key: RunKey,
    pub life: String,
    pub began: u64,
    pub ended: Option<(u64, RunEnd)>,
    pub acked: bool,
}

/// Everything that ran anywhere, and what broke a promise.
#[derive(Default)]
pub struct RunAudit {
    pub records: Vec<RunRecord>,
    pub violations: Vec<String>,
}

impl RunAudit {
    pub fn begin(&mut self, key: &RunKey, life: &str, now: u64) {
        let same = self.records.iter().filter(|record| record.key.0 == key.0);
        for other in same.filter(|record| record.ended.is_none()) {
            let text = format!("at {now}: {} runs {} and {} at once", key.0, other.key.1, key.1);
            self.violations.push(text);
        }
        let (key, life) = (key.clone(), life.to_string());
        self.records.push(RunRecord { key, life, began: now, ended: None, acked: false });
    }

    pub fn end(&mut self, key: &RunKey, life: &str, end: RunEnd, now: u64) {
        let found =
            self.records.iter_mut().find(|record| record.key == *key && record.life == life);
        if let Some(record) = found.filter(|record| record.ended.is_none()) {
            record.ended = Some((now, end));
        }
    }

    /// An end does not count when the lease lapsed before it was taken note of.
    fn ack(&mut self, key: &RunKey, life: &str, lapsed: u64) {
        let found =
            self.records.iter_mut().find(|record| record.key == *key && record.life == life);
        if let Some(record) = found {
            record.acked |= record.ended.is_some_and(|(at, _)| at > lapsed);
        }
    }

    /// Runs of a task that ended in a way that was taken note of, before a time.
    fn ends(&self, task: &TaskName, end: RunEnd, before: u64) -> usize {
        let is_it = |record: &&RunRecord| {
            record.key.0 == *task
                && record.acked
                && record.ended.is_some_and(|(at, how)| how == end && at <= before)
        };
        self.records.iter().filter(is_it).count()
    }

    /// What shows only afterwards, when it is known which ends were taken note of.
    pub fn finish(&mut self, max_attempts: usize) {
        let mut found = Vec::new();
        for record in &self.records {
            let task = &record.key.0;
            if self.ends(task, RunEnd::Done, record.began) > 0 {
                found.push(format!("at {}: {task} starts after it was done", record.began));
            }
            if self.ends(task, RunEnd::Failed, record.began) >= max_attempts {
                found.push(format!("at {}: {task} starts beyond its attempts", record.began));
            }
        }
        self.violations.extend(found);
    }

    /// A task that crashes its workers may be started twice more after three of them have crashed.
    pub fn check_crasher(&self, task: &TaskName) -> Option<String> {
        let runs = self.records.iter().filter(|record| record.key.0 == *task);
        let starts: Vec<u64> = runs.clone().map(|record| record.began).collect();
        let crashes = runs.filter_map(|record| match record.ended {
            Some((at, RunEnd::Lost)) => Some(at),
            _ => None,
        });
        let mut crashes: Vec<u64> = crashes.collect();
        crashes.sort_unstable();
        let third = *crashes.get(2)?;
        let more = starts.iter().filter(|began| **began > third).count();
        (more >= 3).then(|| format!("{task} was started {more} times more after three crashes"))
    }

    /// Whether a task of a job has failed as often as it may.
    pub fn has_failed(&self, job: &str, max_attempts: usize) -> bool {
        let mut failures: BTreeMap<&TaskName, usize> = BTreeMap::new();
        for record in self.records.iter().filter(|record| record.key.0.job == job) {
            if matches!(record.ended, Some((_, RunEnd::Failed))) {
                *failures.entry(&record.key.0).or_default() += 1;
            }
        }
        failures.values().any(|count| *count >= max_attempts)
    }

    pub fn is_done(&self, task: &TaskName) -> bool {
        let is_it = |record: &&RunRecord| {
            record.key.0 == *task && matches!(record.ended, Some((_, RunEnd::Done)))
        };
        self.records.iter().any(|record| is_it(&record))
    }
}

/// Longest lease; longer ones are shortened.
const MAX_LEASE: u64 = 10_000;

/// What a runner answers to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerAnswer {
    Done,
    Fenced,
    Old,
    Late,
    Room,
    /// It has done nothing.
    Unwell,
}

/// A life: its clock is up to 2 % slow.
pub struct RunnerLife {
    pub name: String,
    pub is_alive: bool,
    pub checks_fence: bool,
    /// How many runs it has room for.
    pub places: usize,
    /// Maximum number of ends that a response lists, the earliest first.
    pub listed_ends: usize,
    started: u64,
    speed: f64,
    fence: u64,
    until: u64,
    seen: u64,
    /// When its lease was last seen to have lapsed.
    lapsed: u64,
    running: BTreeMap<RunKey, u64>,
    highest: BTreeMap<TaskName, u32>,
    ended: Vec<EndedRun>,
}

impl RunnerLife {
    pub fn new(name: String, started: u64, speed: f64) -> RunnerLife {
        RunnerLife {
            name,
            is_alive: true,
            checks_fence: true,
            places: usize::MAX,
            listed_ends: usize::MAX,
            started,
            speed,
            fence: 0,
            until: 0,
            seen: 0,
            lapsed: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
        }
    }

    pub fn clock(&self, now: u64) -> u64 {
        500_000 + ((now - self.started) as f64 * self.speed) as u64
    }

    /// Ends what has come to its time or whose lease has expired.
    pub fn pass(&mut self, now: u64, fails: impl Fn(&RunKey) -> bool, audit: &mut RunAudit) {
        let is_lapsed = self.clock(now) >= self.until;
        if is_lapsed {
            self.lapsed = now;
        }
        let over: Vec<RunKey> = self
            .running
            .iter()
            .filter(|(_, due)| is_lapsed || **due <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in over {
            let end = match (is_lapsed, fails(&key)) {
                (true, _) => RunEnd::Lapsed,
                (false, true) => RunEnd::Failed,
                (false, false) => RunEnd::Done,
            };
            self.end(&key, end, now, audit);
        }
    }

    fn end(&mut self, key: &RunKey, end: RunEnd, now: u64, audit: &mut RunAudit) {
        if self.running.remove(key).is_none() {
            return;
        }
        let number = self.seen.max(self.ended.last().map_or(0, |ended| ended.number)) + 1;
        let checkpoint = String::new();
        self.ended.push(EndedRun { number, task: key.0.clone(), run: key.1, end, checkpoint });
        audit.end(key, &self.name, end, now);
    }

    pub fn crash(&mut self, now: u64, audit: &mut RunAudit) {
        self.is_alive = false;
        for key in std::mem::take(&mut self.running).into_keys() {
            audit.end(&key, &self.name, RunEnd::Lost, now);
        }
    }

    fn is_fenced(&mut self, fence: u64) -> bool {
        let is_old = self.checks_fence && fence < self.fence;
        self.fence = self.fence.max(fence);
        is_old
    }

    pub fn start(
        &mut self,
        key: &RunKey,
        fence: u64,
        until: u64,
        due: u64,
        now: u64,
        audit: &mut RunAudit,
    ) -> RunnerAnswer {
        if self.is_fenced(fence) {
            return RunnerAnswer::Fenced;
        }
        if self.running.contains_key(key) {
            return RunnerAnswer::Done;
        }
        if until <= self.clock(now) {
            return RunnerAnswer::Late;
        }
        self.extend(until, now);
        let highest = self.highest.entry(key.0.clone()).or_insert(0);
        if key.1 <= *highest {
            return RunnerAnswer::Old;
        }
        if self.running.len() >= self.places {
            return RunnerAnswer::Room;
        }
        *highest = key.1;
        self.running.insert(key.clone(), due);
        audit.begin(key, &self.name, now);
        RunnerAnswer::Done
    }

    pub fn stop(
        &mut self,
        key: &RunKey,
        fence: u64,
        now: u64,
        audit: &mut RunAudit,
    ) -> RunnerAnswer {
        if self.is_fenced(fence) {
            return RunnerAnswer::Fenced;
        }
        let highest = self.highest.entry(key.0.clone()).or_insert(0);
        *highest = key.1.max(*highest);
        self.end(key, RunEnd::Stopped, now, audit);
        RunnerAnswer::Done
    }

    pub fn hold(
        &mut self,
        fence: u64,
        until: Option<u64>,
        seen: u64,
        now: u64,
        audit: &mut RunAudit,
    ) -> Option<PollResponse> {
        if self.is_fenced(fence) {
            return None;
        }
        self.extend(until.unwrap_or(0), now);
        for ended in self.ended.iter().filter(|ended| ended.number <= seen) {
            audit.ack(&(ended.task.clone(), ended.run), &self.name, self.lapsed);
        }
        self.seen = self.seen.max(seen);
        self.ended.retain(|ended| ended.number > seen);
        Some(self.lists(now))
    }

    /// What a look shows.
    pub fn lists(&self, now: u64) -> PollResponse {
        let shown = |key: &RunKey| PresentRun {
            is_started: true,
            ..PresentRun::ordered(key.0.clone(), key.1)
        };
        let running = self.running.keys().map(shown).collect();
        let ended = self.ended.iter().take(self.listed_ends).cloned().collect();
        let may_omit_ends = self.ended.len() >= self.listed_ends;
        PollResponse { clock: self.clock(now), running, ended, may_omit_ends }
    }

    /// Takes a longer lease, up to the longest that there is.
    fn extend(&mut self, until: u64, now: u64) {
        self.until = self.until.max(until.min(self.clock(now) + MAX_LEASE));
    }

    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }
}
