//! Watches the services beside the tasks, and throttles or evicts tasks that hurt them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::Level;

use crate::external::worker::AttemptKey;
use crate::external::worker::AttemptReport;
use crate::external::worker::AttemptState;
use crate::external::worker::WorkerControl;
use crate::external::worker::WorkerError;
use crate::external::worker::WorkerStatus;
use crate::ids::ServiceName;
use crate::process::agent::shared::AgentShared;
use crate::process::clock;
use crate::process::interference::KindName;
use crate::process::logging::log_event;
use crate::process::reaction::ReactionStep;
use crate::process::reaction::ReactionTask;
use crate::process::reaction::WorkerReaction;

/// Time between two looks at which tasks run.
const KINDS_INTERVAL: Duration = Duration::from_millis(250);
/// Looks at the tasks for each look at the services.
const LOOKS_PER_REACTION: u32 = 4;
/// Highest quantile that the few requests of a look can tell.
const HIGHEST_QUANTILE: f64 = 0.95;

/// How far the worst service of a worker is from its objective.
#[derive(Clone, Debug, PartialEq)]
struct ServicePressure {
    service: ServiceName,
    /// Time at the objective's quantile over the objective.
    ratio: f64,
}

/// Watches until the process ends.
pub fn spawn_reactor(shared: Arc<AgentShared>) {
    let Some(worker) = shared.worker.clone() else {
        return;
    };
    tokio::spawn(async move {
        let mut reaction = WorkerReaction::default();
        let mut looks = 0_u32;
        loop {
            tokio::time::sleep(KINDS_INTERVAL).await;
            let Ok(status) = worker.status().await else {
                continue;
            };
            let now = clock::now();
            let kinds = running_kinds(&status);
            shared.observer().on_kinds(kinds, now, shared.clock.wall_millis());
            looks = looks.wrapping_add(1);
            if looks.is_multiple_of(LOOKS_PER_REACTION) && shared.acts_until(now).is_some() {
                react(&shared, &worker, &status, &mut reaction, now).await;
            }
        }
    });
}

fn running(status: &WorkerStatus) -> impl Iterator<Item = &AttemptReport> {
    status.attempts.iter().filter(|one| one.state == AttemptState::Running)
}

fn running_kinds(status: &WorkerStatus) -> BTreeMap<KindName, u32> {
    let mut kinds = BTreeMap::new();
    for attempt in running(status) {
        *kinds.entry(attempt.kind.clone()).or_default() += 1;
    }
    kinds
}

async fn react(
    shared: &AgentShared,
    worker: &Arc<dyn WorkerControl>,
    status: &WorkerStatus,
    reaction: &mut WorkerReaction,
    now: Instant,
) {
    let Some(pressure) = worst_pressure(shared, now) else {
        return;
    };
    let tasks = reaction_tasks(shared, status);
    let slowdowns = shared.slowdowns_of(&pressure.service);
    let Some(step) = reaction.look(pressure.ratio, &tasks, &slowdowns, now) else {
        return;
    };
    let (event, key, done) = carry_out(shared, worker, step.clone()).await;
    if let Err(error) = &done {
        let is_refused = matches!(error, WorkerError::Refused { .. });
        reaction.on_failed(&step, is_refused);
        if is_refused {
            shared.end_evictions(std::slice::from_ref(&key));
        }
    }
    shared.metrics.tasks.with_label_values(&[event]).inc();
    let pairs: [(&str, &dyn std::fmt::Display); 5] = [
        ("service", &pressure.service),
        ("pressure", &pressure.ratio),
        ("job", &key.job),
        ("task", &key.task),
        ("ok", &done.is_ok()),
    ];
    log_event(Level::Info, event, &pairs);
}

/// Asks the worker for a step. Gives the event for the log, the task and the answer.
async fn carry_out(
    shared: &AgentShared,
    worker: &Arc<dyn WorkerControl>,
    step: ReactionStep,
) -> (&'static str, AttemptKey, Result<(), WorkerError>) {
    match step {
        ReactionStep::Throttle(key, percent) => {
            ("throttled", key.clone(), worker.throttle(key, percent).await)
        }
        ReactionStep::Ease(key) => ("eased", key.clone(), worker.throttle(key, 100).await),
        ReactionStep::Evict(key) => {
            shared.begin_eviction(&key);
            ("evicted", key.clone(), worker.stop(key).await)
        }
    }
}

fn worst_pressure(shared: &AgentShared, now: Instant) -> Option<ServicePressure> {
    let reports = shared.endpoints().reports(now);
    let mut worst: Option<ServicePressure> = None;
    for report in reports {
        let Some(objective) = shared.objective_of(&report.service) else {
            continue;
        };
        let quantile = (objective.percent / 100.0).min(HIGHEST_QUANTILE);
        let Some(time) = shared.observer().quantile(&report.service, quantile, now) else {
            continue;
        };
        let ratio = time.as_secs_f64() / objective.latency.as_secs_f64().max(f64::MIN_POSITIVE);
        if worst.as_ref().is_none_or(|known| ratio > known.ratio) {
            worst = Some(ServicePressure { service: report.service, ratio });
        }
    }
    worst
}

fn reaction_tasks(shared: &AgentShared, status: &WorkerStatus) -> Vec<ReactionTask> {
    let row = shared.row();
    let Some(row) = row.as_ref() else {
        return Vec::new();
    };
    let wanted = running(status).filter(|one| row.has_attempt(&one.key));
    let tasks = wanted.map(|one| ReactionTask {
        key: one.key.clone(),
        kind: one.kind.clone(),
        ran_for: Duration::from_millis(one.ran_millis),
        urgent: row.is_urgent(&one.key),
    });
    tasks.collect()
}
