//! Carries orders out on the runner, each repeated until it is known what has become of it.

use std::sync::Arc;
use std::time::Duration;

use log::Level;

use crate::connection::node_protocol::NodeOrder;
use crate::connection::node_protocol::OrderCall;
use crate::connection::node_protocol::StartOrder;
use crate::external::runner_control::RunnerTarget;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::node::order_attempts::OrderAttempts;
use crate::process::node::order_attempts::OrderKind;
use crate::process::node::pending_start::StartStep;
use crate::process::node::shared::NodeShared;
use crate::workflow::worker_inventory::RunKey;

/// Pause before a stop that the runner has not taken is sent again; it doubles up to the longest.
const STOP_PAUSE: Duration = Duration::from_millis(30);
const LONGEST_STOP_PAUSE: Duration = Duration::from_millis(480);

/// Takes orders for the present life of the runner; orders for another life are only counted, since the
/// next report names the present one.
pub fn accept_orders(shared: &Arc<NodeShared>, call: OrderCall) {
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
    if !shared.state().accept_start(&order, clock::now()) {
        return;
    }
    let key = (order.traits.task.clone(), order.run);
    let attempts = OrderAttempts::new(OrderKind::Start, &key, target.epoch);
    let (shared, target) = (shared.clone(), target.clone());
    tokio::spawn(StartSender { shared, target, order, key, attempts }.run());
}

fn take_stop(shared: &Arc<NodeShared>, target: &RunnerTarget, key: RunKey) {
    if shared.state().accept_stop(&key) {
        spawn_stop(shared, target, key);
    }
}

/// Sends one start until it needs nothing more, or the runner's life or the planner has changed.
struct StartSender {
    shared: Arc<NodeShared>,
    target: RunnerTarget,
    order: StartOrder,
    key: RunKey,
    attempts: OrderAttempts,
}

impl StartSender {
    async fn run(mut self) {
        let arrived = clock::now();
        let refusal = loop {
            match self.next_step() {
                StartStep::Send => self.send_in_turn().await,
                StartStep::Wait(pause) => tokio::time::sleep(pause).await,
                StartStep::Stop(reason) => {
                    spawn_stop(&self.shared, &self.target, self.key.clone());
                    break Some(reason);
                }
                StartStep::Finished(refusal) => break refusal,
            }
        };
        let outcome = refusal.map_or("settled".to_string(), |reason| format!("{reason:?}"));
        let metrics = &self.shared.metrics;
        metrics.latency.observe(clock::elapsed(arrived).as_secs_f64());
        metrics.tasks.with_label_values(&[outcome.as_str()]).inc();
        self.log(&outcome);
    }

    fn next_step(&self) -> StartStep {
        let room = &self.order.traits.resources;
        self.shared.state().next_step(&self.target, &self.key, room, clock::now())
    }

    /// Waits for its turn, and sends the start if that is still what has to be done.
    async fn send_in_turn(&mut self) {
        let shared = self.shared.clone();
        let slot = shared.order_slots.acquire().await;
        let lease_end = {
            let mut state = shared.state();
            state.begin_attempt(&self.target, &self.key, &self.order.traits.resources, clock::now())
        };
        let Some(lease_end) = lease_end else {
            return;
        };
        let answer = shared.control.start(&self.target, &self.order, lease_end).await;
        drop(slot);
        self.attempts.record(&shared.metrics, &answer);
        shared.state().on_start_response(&self.target, &self.key, &answer, clock::now());
    }

    fn log(&self, outcome: &str) {
        log_event(
            Level::Info,
            "task_start",
            &[
                ("task", &self.key.0),
                ("run", &self.key.1),
                ("epoch", &self.target.epoch),
                ("instance", &self.target.instance),
                ("outcome", &outcome),
                ("tries", &self.attempts.attempts()),
                ("unanswered", &self.attempts.unanswered()),
            ],
        );
    }
}

/// Sends a stop until the runner has taken it, or its life or the planner has changed.
fn spawn_stop(shared: &Arc<NodeShared>, target: &RunnerTarget, key: RunKey) {
    let (shared, target) = (shared.clone(), target.clone());
    tokio::spawn(async move {
        let mut attempts = OrderAttempts::new(OrderKind::Stop, &key, target.epoch);
        let mut pause = STOP_PAUSE;
        while try_stop(&shared, &target, &key, &mut attempts).await {
            tokio::time::sleep(pause).await;
            pause = LONGEST_STOP_PAUSE.min(pause * 2);
        }
        log_stop(&target, &key, &attempts);
    });
}

/// Sends a stop once. Says whether it has to be sent again.
async fn try_stop(
    shared: &NodeShared,
    target: &RunnerTarget,
    key: &RunKey,
    attempts: &mut OrderAttempts,
) -> bool {
    let slot = shared.order_slots.acquire().await;
    let due = shared.state().stop_target(target, key);
    let Some(due) = due else {
        return false;
    };
    let answer = shared.control.stop(&due, &key.0, key.1).await;
    drop(slot);
    attempts.record(&shared.metrics, &answer);
    shared.state().on_stop_response(target, key, &answer);
    answer.is_err()
}

fn log_stop(target: &RunnerTarget, key: &RunKey, attempts: &OrderAttempts) {
    log_event(
        Level::Info,
        "task_stop",
        &[
            ("task", &key.0),
            ("run", &key.1),
            ("epoch", &target.epoch),
            ("outcome", &attempts.outcome()),
            ("tries", &attempts.attempts()),
        ],
    );
}
