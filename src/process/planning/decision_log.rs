//! Log lines for the planner's decisions.

use std::fmt::Display;

use log::Level;

use crate::connection::node_protocol::format_young_runs;
use crate::ids::PlannerEpoch;
use crate::process::logging::log_event;
use crate::process::metrics::ProcessMetrics;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::worker_speed::worker_ejection::EjectionChange;

/// Counts and logs one decision.
pub fn record_decision(metrics: &ProcessMetrics, epoch: PlannerEpoch, decision: &PlanDecision) {
    metrics.tasks.with_label_values(&[decision.label()]).inc();
    if let PlanDecision::ShareReclaimed(reclaim) = decision {
        metrics.share_reclaims.with_label_values(&[&reclaim.queue]).inc();
    }
    log_decision(epoch, decision);
}

/// Logs one decision, with the epoch of the planner that made it.
pub fn log_decision(epoch: PlannerEpoch, decision: &PlanDecision) {
    match decision {
        PlanDecision::Assigned { task, run, worker, age_ms, failures } => log_event(
            Level::Info,
            "task_assigned",
            &[
                ("task", task),
                ("run", run),
                ("worker", worker),
                ("age_ms", age_ms),
                ("failures", failures),
                ("epoch", &epoch),
            ],
        ),
        PlanDecision::RunEnded { task, run, worker, end, cause, ran_ms } => log_event(
            Level::Info,
            "run_ended",
            &[
                ("task", task),
                ("run", run),
                ("worker", worker),
                ("end", &format!("{end:?}")),
                ("cause", &format!("{cause:?}")),
                ("ran_ms", ran_ms),
                ("epoch", &epoch),
            ],
        ),
        PlanDecision::RunRejected { task, run, worker, reason, shown } => log_event(
            rejection_level(*shown),
            "run_refused",
            &[
                ("task", task),
                ("run", run),
                ("worker", worker),
                ("reason", &format!("{reason:?}")),
                ("shown", shown),
                ("epoch", &epoch),
            ],
        ),
        PlanDecision::RunAbsent { task, run, worker } => log_event(
            Level::Info,
            "run_absent",
            &[("task", task), ("run", run), ("worker", worker), ("epoch", &epoch)],
        ),
        PlanDecision::EndsOmitted { worker, may_omit, listed, acked } => log_event(
            Level::Warn,
            "ends_omitted",
            &[
                ("worker", worker),
                ("may_omit", may_omit),
                ("listed", listed),
                ("acked", acked),
                ("epoch", &epoch),
            ],
        ),
        // A run that has started may be executed beside its successor.
        PlanDecision::RunUnknown { task, run, worker, started } => log_event(
            Level::Warn,
            "run_unknown",
            &[
                ("task", task),
                ("run", run),
                ("worker", worker),
                ("started", started),
                ("epoch", &epoch),
            ],
        ),
        PlanDecision::RunAdopted { task, run, from, worker } => log_event(
            Level::Info,
            "run_adopted",
            &[("task", task), ("run", run), ("from", from), ("worker", worker), ("epoch", &epoch)],
        ),
        PlanDecision::StartInDoubt { task, run, worker } => log_event(
            Level::Info,
            "start_in_doubt",
            &[("task", task), ("run", run), ("worker", worker), ("epoch", &epoch)],
        ),
        PlanDecision::EndRecorded { task, run, worker, end } => log_event(
            Level::Info,
            "end_recorded",
            &[
                ("task", task),
                ("run", run),
                ("worker", worker),
                ("end", &format!("{end:?}")),
                ("epoch", &epoch),
            ],
        ),
        PlanDecision::StartWithdrawn { task, run, worker } => log_event(
            Level::Info,
            "start_withdrawn",
            &[("task", task), ("run", run), ("worker", worker), ("epoch", &epoch)],
        ),
        PlanDecision::StartsHeld { first, starts, age } => log_event(
            Level::Warn,
            "starts_held",
            &[
                ("first", first),
                ("starts", starts),
                ("jobs_age_ms", &age.as_millis()),
                ("epoch", &epoch),
            ],
        ),
        PlanDecision::StartsReleased { held } => log_event(
            Level::Info,
            "starts_released",
            &[("held_ms", &held.as_millis()), ("epoch", &epoch)],
        ),
        PlanDecision::EvacuationStarted { domain, version, workers, runs } => log_event(
            Level::Warn,
            "evacuation_started",
            &[
                ("domain", domain),
                ("version", version),
                ("workers", workers),
                ("runs", runs),
                ("epoch", &epoch),
            ],
        ),
        PlanDecision::EvacuationEnded { domain, version, runs } => log_event(
            Level::Warn,
            "evacuation_ended",
            &[("domain", domain), ("version", version), ("runs", runs), ("epoch", &epoch)],
        ),
        PlanDecision::EvacuationUnknown { domain, version } => log_event(
            Level::Error,
            "evacuation_unknown",
            &[
                ("domain", domain),
                ("version", version),
                ("reason", &"the domain has no workers"),
                ("epoch", &epoch),
            ],
        ),
        PlanDecision::Moved { task, run, worker, to, why } => log_event(
            Level::Info,
            "task_moved",
            &[
                ("task", task),
                ("run", run),
                ("worker", worker),
                ("to", to),
                ("why", &format!("{why:?}")),
                ("epoch", &epoch),
            ],
        ),
        PlanDecision::Preempted { task, run, worker, preemptor } => log_event(
            Level::Info,
            "task_displaced",
            &[
                ("task", task),
                ("run", run),
                ("worker", worker),
                ("by", preemptor),
                ("epoch", &epoch),
            ],
        ),
        PlanDecision::ShareReclaimed(reclaim) => log_event(
            Level::Info,
            "share_reclaimed",
            &[
                ("queue", &reclaim.queue),
                ("from", &reclaim.from),
                ("task", &reclaim.task),
                ("run", &reclaim.run),
                ("worker", &reclaim.worker),
                ("by", &reclaim.preemptor),
                ("share", &format_share(reclaim.share)),
                ("from_share", &format_share(reclaim.from_share)),
                ("waited_ms", &reclaim.waited_ms),
                ("epoch", &epoch),
            ],
        ),
        PlanDecision::JobEnded { job, end, age_ms, objective_ms } => log_event(
            Level::Info,
            "job_ended",
            &[
                ("job", job),
                ("end", &format!("{end:?}")),
                ("age_ms", age_ms),
                ("objective_ms", objective_ms),
                ("epoch", &epoch),
            ],
        ),
        PlanDecision::WorkerSuspected { worker, task } => log_event(
            Level::Warn,
            "worker_suspected",
            &[("worker", worker), ("task", task), ("epoch", &epoch)],
        ),
        PlanDecision::WorkerTrusted { worker, task } => log_event(
            Level::Info,
            "worker_trusted",
            &[("worker", worker), ("task", task), ("epoch", &epoch)],
        ),
        PlanDecision::WorkerCrashed { worker, young } => log_event(
            Level::Warn,
            "worker_crashed",
            &[("worker", worker), ("young", &format_young_runs(young)), ("epoch", &epoch)],
        ),
        PlanDecision::TaskIsolated { task, crashes, worker } => log_event(
            Level::Warn,
            "task_isolated",
            &[("task", task), ("crashes", crashes), ("worker", worker), ("epoch", &epoch)],
        ),
        PlanDecision::TaskCleared { task } => {
            log_event(Level::Info, "task_cleared", &[("task", task), ("epoch", &epoch)])
        }
        PlanDecision::TaskGivenUp { task, worker } => log_event(
            Level::Warn,
            "task_given_up",
            &[("task", task), ("worker", worker), ("epoch", &epoch)],
        ),
        PlanDecision::WorkerLost { worker, runs, reason, silent_ms } => log_event(
            Level::Warn,
            "worker_lost",
            &[
                ("worker", worker),
                ("runs", runs),
                ("reason", &format!("{reason:?}")),
                ("silent_ms", &silent_ms.map_or("unknown".to_string(), |ms| ms.to_string())),
                ("epoch", &epoch),
            ],
        ),
        PlanDecision::WorkerSpeed(change) => log_speed_change(epoch, change),
    }
}

/// Logs that a worker is slow, ejected or readmitted, with the evidence.
fn log_speed_change(epoch: PlannerEpoch, change: &EjectionChange) {
    let (worker, speed, reason) = match change {
        EjectionChange::Slow(worker, speed) | EjectionChange::Ejected(worker, speed) => {
            (worker, Some(speed), None)
        }
        EjectionChange::Readmitted(worker, reason, speed) => (worker, speed.as_ref(), Some(reason)),
    };
    let unknown = || "unknown".to_string();
    let share = speed.map_or_else(unknown, |speed| format!("{:.2}", speed.speed));
    let samples = speed.map_or(0, |speed| speed.tasks);
    let age_ms = speed.map_or_else(unknown, |speed| speed.age.as_millis().to_string());
    let reason = reason.map(|reason| format!("{reason:?}"));
    let mut fields: Vec<(&str, &dyn Display)> =
        vec![("worker", worker), ("speed", &share), ("samples", &samples), ("age_ms", &age_ms)];
    fields.extend(reason.as_ref().map(|reason| ("reason", reason as &dyn Display)));
    fields.push(("epoch", &epoch));
    let level = if reason.is_some() { Level::Info } else { Level::Warn };
    log_event(level, change.label(), &fields);
}

/// A refused run that the worker reports as present nevertheless is logged as a warning: it may
/// soon be executed twice.
fn rejection_level(shown: bool) -> Level {
    if shown { Level::Warn } else { Level::Info }
}

/// Logs the numbers of waiting and running jobs and tasks, and the learned interference between
/// images.
pub fn log_load(epoch: PlannerEpoch, planner: &Planner) {
    let load = planner.load();
    log_event(
        Level::Info,
        "planner_load",
        &[
            ("epoch", &epoch),
            ("jobs", &load.jobs),
            ("waiting", &load.waiting_tasks),
            ("serving", &load.serving_runs),
            ("filling", &load.best_effort_runs),
            ("slowed", &load.throttled_runs),
            ("fill_wanted", &load.best_effort_demand),
            ("fill_used", &load.best_effort_usage),
            ("others", &load.other_runs),
            ("workers", &load.open_workers),
            ("serving_workers", &load.serving_workers),
            ("held_back_workers", &load.saturated_workers),
            ("fill_jobs", &load.best_effort_jobs),
            ("late_fill_jobs", &load.late_best_effort_jobs),
            ("late_fill_used", &load.late_best_effort_usage),
        ],
    );
    log_event(Level::Info, "learned_pairs", &[("pairs", &planner.learned_summary())]);
    log_shares(epoch, planner);
}

/// Logs the shares of the queues of each service while weights are set.
fn log_shares(epoch: PlannerEpoch, planner: &Planner) {
    for (service, shares) in planner.share_ledger().into_iter().flat_map(|ledger| &ledger.services)
    {
        let queues = shares.queues.iter().map(|(queue, share)| {
            format!("{queue}:{}", format_share((share.share, share.entitlement)))
        });
        let loans = shares.loans().into_iter();
        let loans =
            loans.map(|loan| format!("{}<{}:{:.2}", loan.borrower, loan.lender, loan.share));
        log_event(
            Level::Info,
            "shares",
            &[
                ("service", service),
                ("queues", &queues.collect::<Vec<String>>().join(",")),
                ("loans", &loans.collect::<Vec<String>>().join(",")),
                ("epoch", &epoch),
            ],
        );
    }
}

/// A share that is used and the one that a queue is entitled to.
fn format_share((used, entitlement): (f64, f64)) -> String {
    format!("{used:.2}/{entitlement:.2}")
}

/// Publishes the shares of all queues; queues that are gone disappear.
pub fn publish_shares(metrics: &ProcessMetrics, planner: &Planner) {
    metrics.queue_share.reset();
    metrics.queue_entitlement.reset();
    let services = planner.share_ledger().into_iter().flat_map(|ledger| ledger.services.values());
    for (queue, share) in services.flat_map(|shares| &shares.queues) {
        metrics.queue_share.with_label_values(&[queue]).set(share.share);
        metrics.queue_entitlement.with_label_values(&[queue]).set(share.entitlement);
    }
}

#[cfg(test)]
mod tests {
    use std::time::Instant;

    use super::*;
    use crate::workflow::fair_share::share_settings::ShareSettings;
    use crate::workflow::plan_decision::ShareReclaim;

    /// Guards against reclaims that operators do not see, and against shares that are still shown
    /// when no planner of the process computes them.
    #[test]
    fn reclaims_are_counted_and_old_shares_disappear() {
        let metrics = ProcessMetrics::open();
        let reclaim = ShareReclaim {
            queue: "quick".to_string(),
            from: "bulk".to_string(),
            task: "a.0.0.0".parse().expect("a task"),
            run: 1,
            worker: "i-1".to_string(),
            preemptor: "b.0.0.0".parse().expect("a task"),
            share: (0.1, 0.5),
            from_share: (0.9, 0.5),
            waited_ms: 1_000,
        };
        record_decision(&metrics, 1, &PlanDecision::ShareReclaimed(reclaim));
        metrics.queue_share.with_label_values(&["gone"]).set(0.5);
        let mut planner = Planner::new(Instant::now());
        let weights = ShareSettings { default_weight: Some(1.0), ..ShareSettings::default() };
        planner.set_share_settings(weights);
        publish_shares(&metrics, &planner);
        let text = metrics.render();
        assert!(text.contains("gga_share_reclaims{queue=\"quick\"} 1"), "{text}");
        assert!(text.contains("gga_task_events{event=\"share_reclaimed\"} 1"), "{text}");
        assert!(!text.contains("gone"), "{text}");
    }
}
