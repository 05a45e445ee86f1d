//! Open-loop load with an audit.
//!
//! Requests start at their planned times, whether or not earlier ones were answered, and latency is
//! counted from the planned time, so that a stalled system cannot hide its stall (coordinated
//! omission). The audit holds the callers' answers against the runners' own journal.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::task::JoinSet;
use tokio::time::Instant;
use uuid::Uuid;

use crate::caller::Caller;
use crate::caller::CallerAnswer;
use crate::runner::RunJournal;
use crate::runner::RunRecord;

/// Largest latency that is told apart, in microseconds.
const LARGEST_MICROS: u64 = 120_000_000;

/// What load to send.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Entries that take requests in turn.
    pub entries: Vec<SocketAddr>,
    /// The service.
    pub service: String,
    /// Requests a second.
    pub rate: f64,
    /// For how long.
    pub length: Duration,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Whether the callers make the ids.
    pub own_ids: bool,
}

/// What came of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Latency of answered requests from their planned start, in microseconds.
    pub latency: Histogram<u64>,
    /// Number of requests by outcome: answered, not_run, unknown, broken.
    pub outcomes: HashMap<String, u64>,
    /// Answers after their deadline.
    pub late: u64,
    /// What the audit found; empty when all promises held.
    pub violations: Vec<String>,
    /// Ids that were answered.
    pub answered_ids: Vec<String>,
    /// For how long load was sent.
    pub length: Duration,
}

impl LoadReport {
    /// A quantile of the latency.
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(quantile))
    }

    /// Number of requests with an outcome.
    pub fn count(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or(0)
    }

    /// Answers in time, a second.
    pub fn goodput(&self) -> f64 {
        (self.count("answered") - self.late) as f64 / self.length.as_secs_f64()
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total: u64 = self.outcomes.values().sum();
        write!(f, "requests={total}")?;
        for outcome in ["answered", "not_run", "unknown", "broken"] {
            write!(f, " {outcome}={}", self.count(outcome))?;
        }
        write!(f, " late={} goodput={:.0}/s", self.late, self.goodput())?;
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)] {
            write!(f, " {name}={:.2}ms", self.quantile(quantile).as_secs_f64() * 1e3)?;
        }
        write!(f, " violations={}", self.violations.len())
    }
}

/// Sends a load and audits it.
pub async fn run_load(plan: &LoadPlan, journal: &RunJournal) -> LoadReport {
    let answers = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<Caller> =
        (0..4).map(|number| Caller::open(&format!("desk-{number}"))).collect();
    let mut calls = JoinSet::new();
    let started = Instant::now();
    let count = (plan.rate * plan.length.as_secs_f64()) as u64;
    for number in 0..count {
        let planned = started + Duration::from_secs_f64(number as f64 / plan.rate);
        tokio::time::sleep_until(planned).await;
        let caller = callers[number as usize % callers.len()].clone();
        let entry = plan.entries[number as usize % plan.entries.len()];
        let plan = plan.clone();
        let answers = answers.clone();
        calls.spawn(async move {
            let id = plan.own_ids.then(Uuid::now_v7);
            let body = format!("load {number}");
            let answer = caller.send(entry, &plan.service, id, plan.deadline, &body).await;
            let time = planned.elapsed();
            answers.lock().unwrap_or_else(PoisonError::into_inner).push((answer, time));
        });
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
    let answers = std::mem::take(&mut *answers.lock().unwrap_or_else(PoisonError::into_inner));
    judge(plan, &answers, journal)
}

fn judge(
    plan: &LoadPlan,
    answers: &[(CallerAnswer, Duration)],
    journal: &RunJournal,
) -> LoadReport {
    let mut report = LoadReport {
        latency: Histogram::new_with_bounds(1, LARGEST_MICROS, 3).expect("constant bounds"),
        outcomes: HashMap::new(),
        late: 0,
        violations: Vec::new(),
        answered_ids: Vec::new(),
        length: plan.length,
    };
    for (answer, time) in answers {
        *report.outcomes.entry(answer.outcome.clone()).or_default() += 1;
        if answer.outcome == "answered" {
            report.latency.saturating_record(time.as_micros() as u64);
            report.late += u64::from(*time > plan.deadline);
            report.answered_ids.push(answer.id.clone());
        }
    }
    report.violations = audit(answers.iter().map(|(answer, _)| answer), journal);
    report
}

/// Holds callers' answers against what runners did. Empty when all promises held.
///
/// A request that was refused may be tried again with the same id. What must not be is a run that
/// began before the try after a "not run" was sent: by this try, or by any before it.
pub fn audit<'a>(
    answers: impl Iterator<Item = &'a CallerAnswer>,
    journal: &RunJournal,
) -> Vec<String> {
    let mut runs: HashMap<String, Vec<RunRecord>> = HashMap::new();
    for record in journal.records() {
        runs.entry(record.id.clone()).or_default().push(record);
    }
    let mut violations: Vec<String> = runs
        .iter()
        .filter(|(_, records)| records.len() > 1)
        .map(|(id, records)| format!("{id} ran {} times", records.len()))
        .collect();
    let mut tries: HashMap<&str, Vec<&CallerAnswer>> = HashMap::new();
    for answer in answers {
        tries.entry(&answer.id).or_default().push(answer);
    }
    for (id, mut tries) in tries {
        tries.sort_by_key(|answer| answer.sent);
        let records = runs.get(id).map(Vec::as_slice).unwrap_or_default();
        violations.extend(audit_request(&tries, records));
    }
    violations
}

fn audit_request(tries: &[&CallerAnswer], records: &[RunRecord]) -> Vec<String> {
    let mut violations = Vec::new();
    for (index, answer) in tries.iter().enumerate() {
        let next = tries.get(index + 1).map(|next| next.sent);
        let ran = records.iter().any(|record| next.is_none_or(|next| record.begun < next));
        if answer.outcome == "not_run" && ran {
            violations.push(format!("{} was called not run and ran", answer.id));
        }
        if answer.outcome == "answered" && answer.status == 200 {
            if !records.iter().any(|record| record.finished) {
                violations.push(format!("{} was answered and never finished", answer.id));
            }
            if !answer.is_own_answer() {
                violations.push(format!("{} got another answer: {}", answer.id, answer.body));
            }
        }
    }
    violations
}
