//! Looks at the runner without pause: extends its leases, learns of ends, paces what disturbs.

use std::sync::Arc;
use std::time::Duration;

use log::Level;

use crate::connection::node_protocol::young_text;
use crate::external::runner_control::PollRequest;
use crate::external::runner_control::RunnerError;
use crate::external::runner_control::RunnerTarget;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::node::shared::NodeShared;
use crate::workflow::pacing::PaceChange;
use crate::workflow::pacing::PaceController;

/// Longest wait of a look for an end: as often tails are measured and leases extended.
const LOOK_WAIT: Duration = Duration::from_millis(250);
/// Pause after a look that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Starts looking.
pub fn spawn_runner_poller(shared: Arc<NodeShared>) {
    // An agent before may have paced what runs.
    shared.state().pace = PaceController::inheriting();
    tokio::spawn(async move {
        let mut has_failed = false;
        loop {
            let target = shared.state().target();
            let Some(target) = target else {
                await_instance(&shared).await;
                continue;
            };
            match look(&shared, &target).await {
                Ok(()) => {
                    if std::mem::take(&mut has_failed) {
                        log_event(Level::Info, "runner_regained", &[]);
                    }
                }
                Err(error) => {
                    if !std::mem::replace(&mut has_failed, true) {
                        log_event(Level::Warn, "runner_lost", &[("error", &error)]);
                    }
                    on_error(&shared, &target, &error);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    });
}

/// Waits for a life of the runner to register. One that may be back under the id of the last is called before that, so that it takes
/// nothing that was meant for the last one.
async fn await_instance(shared: &NodeShared) {
    let awaited = shared.state().successor_target();
    let Some(target) = awaited else {
        return shared.look.notified().await;
    };
    tokio::select! {
        () = poll_successor(shared, &target) => {}
        () = shared.look.notified() => {}
    }
}

async fn poll_successor(shared: &NodeShared, target: &RunnerTarget) {
    let answer = shared.control.poll(target, PollRequest::default()).await.map(|_| ());
    shared.state().on_successor_response(&answer, clock::now());
    tokio::time::sleep(RETRY_PAUSE).await;
}

/// Decides what a look that failed says of the runner.
fn on_error(shared: &NodeShared, target: &RunnerTarget, error: &RunnerError) {
    let mut state = shared.state();
    if !state.is_current_target(target) {
        return;
    }
    let now = clock::now();
    let has_ended = match error {
        RunnerError::OtherLife | RunnerError::NotRunning => state.on_crash(&target.instance, now),
        RunnerError::NoAnswer { is_broken, .. } => state.on_no_response(*is_broken, now),
        RunnerError::Fenced => {
            state.on_fenced();
            false
        }
        RunnerError::Rejected { .. } => {
            if state.on_rejected_poll(now) {
                log_event(Level::Warn, "leases_expired", &[("instance", &target.instance)]);
            }
            false
        }
    };
    let has_changes = state.has_changes();
    drop(state);
    if has_ended {
        log_end(shared, target);
        shared.instance_changed.notify_one();
    }
    if has_changes {
        shared.news.notify_one();
    }
}

/// Tells of a life that is over, and what had begun on it shortly before.
fn log_end(shared: &NodeShared, target: &RunnerTarget) {
    let state = shared.state();
    let crash = state.last_crash().filter(|crash| crash.instance == target.instance);
    let young = crash.map_or(String::new(), |crash| young_text(&crash.young));
    drop(state);
    log_event(Level::Info, "runner_ended", &[("instance", &target.instance), ("young", &young)]);
}

async fn look(shared: &Arc<NodeShared>, target: &RunnerTarget) -> Result<(), RunnerError> {
    let (number, hold) = {
        let mut state = shared.state();
        // Without a lease on record the first look only reads the runner's clock.
        let wait = if state.lease_end().is_some() { LOOK_WAIT } else { Duration::ZERO };
        state.next_poll(wait, clock::now())
    };
    let lists = shared.control.poll(target, hold).await?;
    let (steps, long_over) = {
        let mut state = shared.state();
        if !state.is_current_target(target) {
            return Ok(());
        }
        let now = clock::now();
        let steps = {
            let state = &mut *state;
            state.pace.update(&lists.running, &state.traits, now)
        };
        if state.on_poll_response(number, lists, now) {
            shared.news.notify_one();
        }
        (steps, state.pace.take_sustained_violations())
    };
    for (over, fills_percent) in long_over {
        log_event(
            Level::Info,
            "task_over_target",
            &[
                ("task", &over.task),
                ("tail_ms", &over.tail_ms),
                ("target_ms", &over.target_ms),
                ("fills_percent", &fills_percent),
            ],
        );
    }
    for step in steps {
        let (shared, target) = (shared.clone(), target.clone());
        tokio::spawn(async move { pace(&shared, &target, step).await });
    }
    if hold.lease_end.is_none() {
        // The lease comes with the planner's next call.
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Ok(())
}

async fn pace(shared: &NodeShared, target: &RunnerTarget, step: PaceChange) {
    let (task, run) = &step.key;
    let slot = shared.order_slots.acquire().await;
    let result = shared.control.pace(target, task, *run, step.percent).await;
    drop(slot);
    match &result {
        Ok(()) => shared.state().pace.on_applied(&step),
        Err(RunnerError::NoAnswer { .. }) => {
            shared.state().pace.on_unanswered(&step.key, clock::now());
        }
        Err(_) => shared.state().pace.on_rejected(&step.key),
    }
    let outcome = result.as_ref().map_or_else(ToString::to_string, |()| "done".to_string());
    log_event(
        Level::Info,
        "task_paced",
        &[
            ("task", task),
            ("run", run),
            ("percent", &step.percent),
            ("pressure", &format!("{:.2}", step.pressure)),
            ("outcome", &outcome),
        ],
    );
}
