//! What ran on the users' platform's runners, for audits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

/// What happened to a run, for audits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// The task.
    pub task: String,
    /// The run.
    pub run: u32,
    /// The life of the runner.
    pub instance: String,
    /// Number of the runner's host.
    pub host: usize,
    /// When the order to start it came.
    pub ordered: Instant,
    /// When it began.
    pub began: Instant,
    /// When and how it ended.
    pub ended: Option<(Instant, String)>,
    /// Whether the product has taken note of its end, before a lease lapsed.
    pub noted: bool,
}

/// The runs of all runners of a test.
#[derive(Clone, Default)]
pub struct RunJournal {
    records: Arc<Mutex<Vec<RunRecord>>>,
}

impl RunJournal {
    /// All records so far.
    pub fn records(&self) -> Vec<RunRecord> {
        self.lock().clone()
    }

    /// Tasks of which two runs were at work at the same time, or that ran after they were done.
    pub fn doubled(&self) -> Vec<String> {
        self.overlaps(|_| true)
    }

    /// The same, where only ends count of which the product took note then or later.
    pub fn run_twice(&self) -> Vec<String> {
        self.overlaps(|record| record.noted)
    }

    /// Runs of one task that overlap, or that follow an end as done, if that one `counts`.
    fn overlaps(&self, counts: impl Fn(&RunRecord) -> bool) -> Vec<String> {
        let mut by_task: BTreeMap<String, Vec<RunRecord>> = BTreeMap::new();
        for record in self.records() {
            by_task.entry(record.task.clone()).or_default().push(record);
        }
        let mut found = Vec::new();
        for (task, records) in by_task {
            for (position, first) in records.iter().enumerate() {
                for second in &records[position + 1..] {
                    let ended = first.ended.as_ref();
                    let is_over = ended.is_some_and(|(end, _)| *end <= second.began);
                    let is_done = counts(first) && ended.is_some_and(|(_, how)| how == "done");
                    if !is_over || is_done {
                        found.push(format!(
                            "{task} runs {} on {} and {} on {}",
                            first.run, first.instance, second.run, second.instance
                        ));
                    }
                }
            }
        }
        found
    }

    pub(crate) fn note(
        &self,
        instance: &str,
        seen: &[(u64, String, u32, String, String)],
        lapsed: Instant,
    ) {
        let mut records = self.lock();
        for (_, task, run, _, _) in seen {
            let is_it = |record: &&mut RunRecord| {
                record.task == *task && record.run == *run && record.instance == instance
            };
            if let Some(record) = records.iter_mut().find(is_it) {
                record.noted |= record.ended.as_ref().is_some_and(|(end, _)| *end > lapsed);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RunRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn begin(
        &self,
        (task, run): (&str, u32),
        (instance, host): (&str, usize),
        ordered: Instant,
    ) {
        let record = RunRecord {
            task: task.to_string(),
            run,
            instance: instance.to_string(),
            host,
            ordered,
            began: Instant::now(),
            ended: None,
            noted: false,
        };
        self.lock().push(record);
    }

    pub(crate) fn end(&self, task: &str, run: u32, instance: &str, how: &str) {
        let mut records = self.lock();
        let found = records
            .iter_mut()
            .find(|record| record.task == task && record.run == run && record.instance == instance);
        if let Some(record) = found {
            record.ended = Some((Instant::now(), how.to_string()));
        }
    }
}
