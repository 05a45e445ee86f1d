//! Polls the runner continuously: extends its leases, collects the ends of runs, and slows runs
//! that disturb others.

use std::sync::Arc;
use std::time::Duration;

use log::Level;

use crate::connection::node_protocol::format_young_runs;
use crate::external::runner_control::PollRequest;
use crate::external::runner_control::RunnerError;
use crate::external::runner_control::RunnerTarget;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::node::shared::NodeShared;
use crate::workflow::pacing::PaceChange;
use crate::workflow::pacing::PaceController;

/// Longest time that a poll waits for the end of a run; bounds the interval at which tail latencies
/// are measured and leases extended.
const MAX_POLL_WAIT: Duration = Duration::from_millis(250);
/// Pause after a response that lists unacknowledged ends but no new one. Runners respond at once while
/// they list any, which they may do for seconds, and a short task takes about half a second.
const LISTED_ENDS_PAUSE: Duration = Duration::from_millis(20);
/// Pause after a failed poll.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Spawns the task that polls the runner.
pub fn spawn_runner_poller(shared: Arc<NodeShared>) {
    // An earlier agent may have changed the pace of what runs.
    shared.state().pace = PaceController::inheriting();
    tokio::spawn(async move {
        let mut is_failing = false;
        loop {
            shared.log_lease_change();
            let target = shared.state().target();
            let Some(target) = target else {
                await_instance(&shared).await;
                continue;
            };
            match poll_once(&shared, &target).await {
                Ok(()) => {
                    if std::mem::take(&mut is_failing) {
                        log_event(Level::Info, "runner_regained", &[]);
                    }
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_failing, true) {
                        log_event(Level::Warn, "runner_lost", &[("error", &error)]);
                    }
                    on_poll_error(&shared, &target, &error);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    });
}

/// Waits for an instance of the runner to register. A successor that may listen under the id of the
/// last instance is polled before it registers, so that it rejects calls meant for its predecessor.
async fn await_instance(shared: &NodeShared) {
    let successor = shared.state().successor_target();
    let Some(target) = successor else {
        return shared.poll_wakeup.notified().await;
    };
    tokio::select! {
        () = poll_successor(shared, &target) => {}
        () = shared.poll_wakeup.notified() => {}
    }
}

async fn poll_successor(shared: &NodeShared, target: &RunnerTarget) {
    let response = shared.control.poll(target, PollRequest::default()).await.map(|_| ());
    shared.state().on_successor_response(&response, clock::now());
    tokio::time::sleep(RETRY_PAUSE).await;
}

/// Updates the state after a failed poll.
fn on_poll_error(shared: &NodeShared, target: &RunnerTarget, error: &RunnerError) {
    let mut state = shared.state();
    if !state.is_current_target(target) {
        return;
    }
    let now = clock::now();
    let mut have_leases_expired = false;
    let has_ended = match error {
        RunnerError::OtherInstance | RunnerError::NotRunning => {
            state.on_crash(&target.instance, now)
        }
        RunnerError::NoAnswer { is_broken, .. } => {
            have_leases_expired = state.on_no_response(*is_broken, now);
            false
        }
        RunnerError::Fenced => {
            state.on_fenced();
            false
        }
        RunnerError::Rejected { .. } => {
            have_leases_expired = state.on_rejected_poll();
            false
        }
    };
    let is_replaced = state.current_instance() != Some(&target.instance);
    let has_changes = state.has_changes();
    drop(state);
    if have_leases_expired {
        log_event(Level::Warn, "leases_expired", &[("instance", &target.instance)]);
    }
    if has_ended {
        log_instance_end(shared, target);
    }
    if is_replaced {
        shared.instance_changed.notify_one();
    }
    if has_changes {
        shared.report_wakeup.notify_one();
    }
}

/// Logs the end of an instance and the runs that had started on it shortly before.
fn log_instance_end(shared: &NodeShared, target: &RunnerTarget) {
    let state = shared.state();
    let crash = state.last_crash().filter(|crash| crash.instance == target.instance);
    let young = crash.map_or(String::new(), |crash| format_young_runs(&crash.young));
    drop(state);
    log_event(Level::Info, "runner_ended", &[("instance", &target.instance), ("young", &young)]);
}

async fn poll_once(shared: &Arc<NodeShared>, target: &RunnerTarget) -> Result<(), RunnerError> {
    let (number, request) = {
        let mut state = shared.state();
        // Without a known lease the first poll only reads the runner's clock.
        let wait = if state.lease_end().is_some() { MAX_POLL_WAIT } else { Duration::ZERO };
        state.next_poll(wait, clock::now())
    };
    let response = shared.control.poll(target, request).await?;
    let (changes, violations, lists_old_ends) = {
        let mut state = shared.state();
        if !state.is_current_target(target) {
            return Ok(());
        }
        let now = clock::now();
        let changes = {
            let state = &mut *state;
            state.pace.update(&response.running, &state.traits, now)
        };
        let lists_old_ends = !response.ended.is_empty() && !state.has_new_ends(&response);
        if state.on_poll_response(number, response, now) {
            shared.report_wakeup.notify_one();
        }
        (changes, state.pace.take_sustained_violations(), lists_old_ends)
    };
    for (violation, best_effort_percent) in violations {
        log_event(
            Level::Info,
            "task_over_target",
            &[
                ("task", &violation.task),
                ("tail_ms", &violation.tail_ms),
                ("target_ms", &violation.target_ms),
                ("fills_percent", &best_effort_percent),
            ],
        );
    }
    for change in changes {
        let (shared, target) = (shared.clone(), target.clone());
        tokio::spawn(async move { set_pace(&shared, &target, change).await });
    }
    if request.lease_end.is_none() {
        // The lease arrives with the planner's next call.
        tokio::time::sleep(RETRY_PAUSE).await;
    } else if lists_old_ends {
        tokio::time::sleep(LISTED_ENDS_PAUSE).await;
    }
    Ok(())
}

async fn set_pace(shared: &NodeShared, target: &RunnerTarget, change: PaceChange) {
    let (task, run) = &change.key;
    let slot = shared.order_slots.acquire().await;
    let result = shared.control.pace(target, task, *run, change.percent).await;
    drop(slot);
    match &result {
        Ok(()) => shared.state().pace.on_applied(&change),
        Err(RunnerError::NoAnswer { .. }) => {
            shared.state().pace.on_unanswered(&change.key, clock::now());
        }
        Err(_) => shared.state().pace.on_rejected(&change.key),
    }
    let outcome = result.as_ref().map_or_else(ToString::to_string, |()| "done".to_string());
    log_event(
        Level::Info,
        "task_paced",
        &[
            ("task", task),
            ("run", run),
            ("percent", &change.percent),
            ("pressure", &format!("{:.2}", change.tail_ratio)),
            ("outcome", &outcome),
        ],
    );
}
