//! Log lines for the planner's decisions.

use std::fmt::Display;

use log::Level;

use crate::connection::node_protocol::format_young_runs;
use crate::ids::PlannerEpoch;
use crate::process::logging::log_event;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::worker_speed::worker_ejection::EjectionChange;

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
        PlanDecision::StartWithdrawn { task, run, worker } => log_event(
            Level::Info,
            "start_withdrawn",
            &[("task", task), ("run", run), ("worker", worker), ("epoch", &epoch)],
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
}
