//! What callers were told of their jobs, held against what ran.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::platform_cluster::ATTEMPTS;
use crate::platform_journal::RunJournal;
use crate::platform_journal::RunRecord;

/// How runs end whose runner has crashed.
const CRASHED: &str = "crashed";
/// Crashes of runners under a task, after which it may be given up.
const CRASHES_TO_GIVE_UP: usize = 2;
/// Starts that a task which crashes its runners may have after three crashes.
const MORE_STARTS: usize = 2;

/// A job as its caller knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownJob {
    /// Tasks of each step.
    pub counts: Vec<u32>,
    pub is_accepted: bool,
    /// Whether its tasks crash their runners.
    pub crashes: bool,
    /// Whether all tries were refused by an answer.
    pub is_refused: bool,
    /// Tries whose fate the caller does not know.
    pub open_tries: u32,
    /// When the caller was told that the job is cancelled.
    pub cancelled: Option<Instant>,
    /// Whether the caller has tried to cancel it.
    pub is_unwanted: bool,
    /// The end that the caller was told.
    pub end: Option<String>,
}

/// All jobs of a soak.
#[derive(Default)]
pub(crate) struct SoakLedger {
    pub jobs: BTreeMap<String, KnownJob>,
    pub refusals: u64,
    /// What was seen to be wrong by a caller.
    pub seen_broken: Option<String>,
}

impl SoakLedger {
    /// Takes in a state that a caller was told.
    pub fn on_state(&mut self, job: &str, state: &str) {
        let Some(known) = self.jobs.get_mut(job) else {
            return;
        };
        if let Some(end) = known.end.as_ref().filter(|end| *end != state) {
            let text = format!("job {job} was shown as {end} and then as {state}");
            self.seen_broken.get_or_insert(text);
        }
        match state {
            "completed" | "failed" | "canceled" => known.end = Some(state.to_string()),
            "410" if known.is_accepted => {
                self.seen_broken.get_or_insert(format!("accepted job {job} is not known"));
            }
            _ => {}
        }
    }

    /// The first promise that is broken by now.
    pub fn first_broken(&self, journal: &RunJournal, cancel_latency: Duration) -> Option<String> {
        if let Some(seen) = &self.seen_broken {
            return Some(seen.clone());
        }
        if let Some(twice) = journal.run_twice().into_iter().next() {
            return Some(twice);
        }
        let records = journal.records();
        let by_job = by_job(&records);
        for (job, known) in &self.jobs {
            let runs = by_job.get(job.as_str()).map_or(&[][..], Vec::as_slice);
            if let Some(text) = broken_of(job, known, runs, cancel_latency) {
                return Some(text);
            }
        }
        None
    }

    /// What has to hold when everything had time to end.
    pub fn broken_at_end(&self, journal: &RunJournal) -> Option<String> {
        let unended = self.jobs.iter().find(|(_, known)| known.is_accepted && known.end.is_none());
        if let Some((job, _)) = unended {
            return Some(format!("accepted job {job} has not ended"));
        }
        let records = journal.records();
        let running = records.iter().find(|record| record.ended.is_none());
        running.map(|record| format!("{} run {} still runs", record.task, record.run))
    }

    pub fn counts(&self) -> String {
        let count =
            |is_it: fn(&KnownJob) -> bool| self.jobs.values().filter(|one| is_it(one)).count();
        format!(
            "{} jobs, {} accepted, {} ended, {} cancelled, {} refusals",
            self.jobs.len(),
            count(|one| one.is_accepted),
            count(|one| one.end.is_some()),
            count(|one| one.cancelled.is_some()),
            self.refusals
        )
    }
}

fn by_job(records: &[RunRecord]) -> BTreeMap<&str, Vec<&RunRecord>> {
    let mut by_job: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
    for record in records {
        let job = record.task.split('.').next().unwrap_or_default();
        by_job.entry(job).or_default().push(record);
    }
    by_job
}

fn tasks_of(job: &str, known: &KnownJob, step: usize) -> Vec<String> {
    (0..known.counts[step]).map(|index| format!("{job}.0.{step}.{index}")).collect()
}

/// A run that began before the step before its own was done, or after its task had used its attempts.
fn early_or_beyond(job: &str, known: &KnownJob, runs: &[&RunRecord]) -> Option<String> {
    let ended_by = |run: &RunRecord, how: &str, at: Instant| {
        run.ended.as_ref().is_some_and(|(end, known)| known == how && *end <= at)
    };
    for step in 0..known.counts.len() {
        let before = step.checked_sub(1).map_or(Vec::new(), |step| tasks_of(job, known, step));
        let tasks = tasks_of(job, known, step);
        for run in runs.iter().filter(|run| tasks.contains(&run.task)) {
            let is_done = |task: &String| {
                runs.iter().any(|one| one.task == *task && ended_by(one, "done", run.began))
            };
            if let Some(open) = before.iter().find(|task| !is_done(task)) {
                return Some(format!("{} run {} began before {open} was done", run.task, run.run));
            }
            let own = runs.iter().filter(|one| one.task == run.task && one.noted);
            let failures = own.filter(|one| ended_by(one, "failed", run.began)).count();
            if failures >= ATTEMPTS as usize {
                return Some(format!(
                    "{} run {} began after {failures} failures",
                    run.task, run.run
                ));
            }
        }
    }
    None
}

fn broken_of(
    job: &str,
    known: &KnownJob,
    runs: &[&RunRecord],
    cancel_latency: Duration,
) -> Option<String> {
    if known.is_refused && !runs.is_empty() {
        return Some(format!("job {job} was refused by all answers and ran"));
    }
    let late =
        known.cancelled.and_then(|at| runs.iter().find(|run| run.began > at + cancel_latency));
    if let Some(late) = late {
        return Some(format!("{} began after its job was cancelled", late.task));
    }
    if let Some(text) = early_or_beyond(job, known, runs) {
        return Some(text);
    }
    let ended = |task: &str, how: &str| {
        let is_it = |run: &&&RunRecord| {
            run.task == task && run.ended.as_ref().is_some_and(|(_, known)| known == how)
        };
        runs.iter().filter(is_it).count()
    };
    let starts_after_crashes = |task: &str| {
        let own = || runs.iter().filter(|run| run.task == task);
        let mut crashes: Vec<Instant> = own()
            .filter_map(|run| run.ended.as_ref().filter(|(_, how)| how == CRASHED))
            .map(|(at, _)| *at)
            .collect();
        crashes.sort();
        let third = crashes.get(2).copied();
        third.map_or(0, |third| own().filter(|run| run.began > third).count())
    };
    let tasks: Vec<String> =
        (0..known.counts.len()).flat_map(|step| tasks_of(job, known, step)).collect();
    if known.crashes
        && let Some(task) = tasks.iter().find(|task| starts_after_crashes(task) > MORE_STARTS)
    {
        return Some(format!(
            "{task} was started more than {MORE_STARTS} times after three crashes"
        ));
    }
    let has_cause = |task: &String| {
        ended(task, "failed") >= ATTEMPTS as usize || ended(task, CRASHED) >= CRASHES_TO_GIVE_UP
    };
    match known.end.as_deref() {
        Some("completed") => {
            let missing = tasks.iter().find(|task| ended(task, "done") == 0)?;
            Some(format!("job {job} is completed without {missing}"))
        }
        Some("failed") if !tasks.iter().any(has_cause) => Some(format!(
            "job {job} is failed without {ATTEMPTS} failures of a task or two crashes"
        )),
        Some("canceled") if !known.is_unwanted => {
            Some(format!("job {job} is cancelled and nobody asked for that"))
        }
        _ => None,
    }
}
