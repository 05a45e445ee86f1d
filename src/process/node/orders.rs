//! Carries orders out on the runner, each repeated until its fate is known.

use std::sync::Arc;
use std::time::Duration;

use log::Level;

use crate::connection::node_protocol::NodeOrder;
use crate::connection::node_protocol::OrderCall;
use crate::connection::node_protocol::RejectReason;
use crate::connection::node_protocol::StartOrder;
use crate::external::runner_control::RunnerError;
use crate::external::runner_control::RunnerTarget;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::node::order_tries::OrderTries;
use crate::process::node::order_tries::TriedOrder;
use crate::process::node::shared::NodeShared;
use crate::workflow::worker_board::RunKey;

/// Pause before an order without an answer is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(30);
/// How long a start waits for a lease on a new link.
const LEASE_WAIT: Duration = Duration::from_millis(2_000);
/// Pause between two looks whether there is a lease.
const LEASE_POLL: Duration = Duration::from_millis(15);

/// Takes orders for the present life of the runner; orders for another life are only counted, since the
/// next report names the present one.
pub fn take_orders(shared: &Arc<NodeShared>, call: OrderCall) {
    let target = shared.state().target().filter(|target| target.instance == call.instance);
    for order in call.orders {
        match (&target, order) {
            (Some(target), NodeOrder::Start(order)) => take_start(shared, target, order),
            (Some(target), NodeOrder::Stop(task, run)) => take_stop(shared, target, (task, run)),
            (Some(_), NodeOrder::Describe(traits)) => {
                shared.state().traits.insert(traits.task.clone(), traits);
            }
            (None, _) => {}
        }
    }
    shared.state().on_orders(call.previous, call.number);
}

fn take_start(shared: &Arc<NodeShared>, target: &RunnerTarget, order: StartOrder) {
    let key = (order.traits.task.clone(), order.run);
    if !shared.state().begin_start(&key, &order.traits) {
        return;
    }
    let (shared, target) = (shared.clone(), target.clone());
    tokio::spawn(async move {
        let arrived = clock::now();
        let mut tries = OrderTries::new(TriedOrder::Start, &key, target.epoch);
        let refused = start(&shared, &target, &order, &key, &mut tries).await;
        let mut state = shared.state();
        if state.is_target(&target) {
            state.runs.settle_start(&key, refused);
        }
        drop(state);
        let outcome = refused.map_or("settled".to_string(), |reason| format!("{reason:?}"));
        shared.metrics.latency.observe(clock::elapsed(arrived).as_secs_f64());
        shared.metrics.tasks.with_label_values(&[outcome.as_str()]).inc();
        log_event(
            Level::Info,
            "task_start",
            &[
                ("task", &key.0),
                ("run", &key.1),
                ("epoch", &target.epoch),
                ("instance", &target.instance),
                ("outcome", &outcome),
                ("tries", &tries.tries()),
                ("unanswered", &tries.unanswered()),
            ],
        );
    });
}

/// Sends a start until it is answered; gives the reason when it was refused.
async fn start(
    shared: &NodeShared,
    target: &RunnerTarget,
    order: &StartOrder,
    key: &RunKey,
    tries: &mut OrderTries,
) -> Option<RejectReason> {
    let arrived = clock::now();
    let mut is_sent = false;
    loop {
        let now = clock::now();
        let (may_start, lease_end) = {
            let mut state = shared.state();
            if !state.is_target(target) || state.runs.is_stopping(key) {
                return None;
            }
            if state.is_draining() {
                return Some(RejectReason::Leaving);
            }
            // A try without an answer may have begun, so that it is no longer refused here.
            if !is_sent && !state.has_room(key, &order.traits.room) {
                return Some(RejectReason::Room);
            }
            let may_start = state.may_start(now);
            if may_start == Some(true) {
                state.on_lease_sent();
            }
            (may_start, state.lease_end())
        };
        match (may_start, lease_end) {
            (Some(true), Some(lease_end)) => {
                let slot = shared.order_slots.acquire().await;
                is_sent = true;
                shared.state().on_start_sent(key, clock::now());
                let started = shared.control.start(target, order, lease_end).await;
                drop(slot);
                tries.note(&shared.metrics, &started);
                note_answer(shared, target, key, &started);
                match started {
                    Ok(()) | Err(RunnerError::Fenced | RunnerError::OtherLife) => return None,
                    Err(RunnerError::NotRunning) => tokio::time::sleep(REPEAT_PAUSE).await,
                    Err(RunnerError::Rejected { reason }) => return Some(reason),
                    Err(RunnerError::NoAnswer { .. }) => tokio::time::sleep(REPEAT_PAUSE).await,
                }
            }
            _ if now.saturating_duration_since(arrived) > LEASE_WAIT => {
                // A try without an answer may still be carried out; only a stop rules that out.
                return refuse_late(shared, target, key).await;
            }
            _ => tokio::time::sleep(LEASE_POLL).await,
        }
    }
}

/// Takes note of what became of a try, unless the life that it was sent to has ended meanwhile.
fn note_answer(
    shared: &NodeShared,
    target: &RunnerTarget,
    key: &RunKey,
    started: &Result<(), RunnerError>,
) {
    let mut state = shared.state();
    if state.is_target(target) {
        state.on_start_answer(key, started);
    }
}

/// Gives a start up for want of a lease, once the runner can no longer carry it out.
async fn refuse_late(
    shared: &NodeShared,
    target: &RunnerTarget,
    key: &RunKey,
) -> Option<RejectReason> {
    let tries = stop(shared, target, key).await;
    log_stop(target, key, &tries);
    Some(RejectReason::Late)
}

fn take_stop(shared: &Arc<NodeShared>, target: &RunnerTarget, key: RunKey) {
    if !shared.state().runs.begin_stop(&key) {
        return;
    }
    let (shared, target) = (shared.clone(), target.clone());
    tokio::spawn(async move {
        let tries = stop(&shared, &target, &key).await;
        let mut state = shared.state();
        if state.is_target(&target) {
            state.runs.settle_stop(&key);
        }
        drop(state);
        log_stop(&target, &key, &tries);
    });
}

fn log_stop(target: &RunnerTarget, key: &RunKey, tries: &OrderTries) {
    log_event(
        Level::Info,
        "task_stop",
        &[
            ("task", &key.0),
            ("run", &key.1),
            ("epoch", &target.epoch),
            ("outcome", &tries.outcome()),
            ("tries", &tries.tries()),
        ],
    );
}

/// Sends a stop until it is answered, or the runner's life or the planner has changed.
async fn stop(shared: &NodeShared, target: &RunnerTarget, key: &RunKey) -> OrderTries {
    let mut tries = OrderTries::new(TriedOrder::Stop, key, target.epoch);
    while shared.state().is_target(target) {
        let slot = shared.order_slots.acquire().await;
        let stopped = shared.control.stop(target, &key.0, key.1).await;
        drop(slot);
        tries.note(&shared.metrics, &stopped);
        match stopped {
            Err(RunnerError::NoAnswer { .. }) => tokio::time::sleep(REPEAT_PAUSE).await,
            Ok(()) | Err(_) => return tries,
        }
    }
    tries
}
