//! Sends orders to the runner, and repeats each until its outcome is known.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

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

/// Pause before a stop that the runner has not accepted is sent again. It doubles with each attempt
/// up to the maximum.
const MIN_STOP_RETRY_PAUSE: Duration = Duration::from_millis(30);
const MAX_STOP_RETRY_PAUSE: Duration = Duration::from_millis(480);

/// Accepts orders for the current instance of the runner. Orders for another instance only count as
/// seen, since the next report names the current one.
pub fn accept_orders(shared: &Arc<NodeShared>, call: OrderCall) {
    let target = shared.state().target().filter(|target| target.instance == call.instance);
    let link = call.stamp.link;
    for order in call.orders {
        match (&target, order) {
            (Some(target), NodeOrder::Start(order)) => accept_start(shared, target, link, order),
            (Some(target), NodeOrder::Stop(task, run)) => accept_stop(shared, target, (task, run)),
            (Some(_), NodeOrder::Describe(traits)) => {
                shared.state().traits.insert(traits.task.clone(), traits);
            }
            (None, _) => {}
        }
    }
    shared.state().on_orders(call.previous, call.number);
}

fn accept_start(shared: &Arc<NodeShared>, target: &RunnerTarget, link: u64, order: StartOrder) {
    if !shared.state().accept_start(&order, clock::now()) {
        return;
    }
    let key = (order.traits.task.clone(), order.run);
    let attempts = OrderAttempts::new(OrderKind::Start, &key, target.epoch);
    let (shared, target) = (shared.clone(), target.clone());
    let (arrived_at, sent_at) = (clock::now(), None);
    let sender = StartSender { shared, target, link, order, key, attempts, arrived_at, sent_at };
    tokio::spawn(sender.run());
}

fn accept_stop(shared: &Arc<NodeShared>, target: &RunnerTarget, key: RunKey) {
    if shared.state().accept_stop(&key) {
        spawn_stop(shared, target, key);
    }
}

/// Sends one start until nothing is left to do, or the runner's instance or the planner has
/// changed.
struct StartSender {
    shared: Arc<NodeShared>,
    target: RunnerTarget,
    /// Number of the planner's link over which the order arrived.
    link: u64,
    order: StartOrder,
    key: RunKey,
    attempts: OrderAttempts,
    arrived_at: Instant,
    /// When the first attempt was sent.
    sent_at: Option<Instant>,
}

impl StartSender {
    async fn run(mut self) {
        let rejection = loop {
            match self.next_step() {
                StartStep::Send => self.send_in_turn().await,
                StartStep::Wait(pause) => tokio::time::sleep(pause).await,
                StartStep::Stop(reason) => {
                    spawn_stop(&self.shared, &self.target, self.key.clone());
                    break Some(reason);
                }
                StartStep::Finished(rejection) => break rejection,
            }
        };
        let outcome = rejection.map_or("settled".to_string(), |reason| format!("{reason:?}"));
        let metrics = &self.shared.metrics;
        metrics.latency.observe(clock::elapsed(self.arrived_at).as_secs_f64());
        metrics.tasks.with_label_values(&[outcome.as_str()]).inc();
        self.log(&outcome);
    }

    fn next_step(&self) -> StartStep {
        let resources = &self.order.traits.resources;
        self.shared.state().next_step(&self.target, &self.key, resources, clock::now())
    }

    /// Waits for a free slot, and sends the start if that is still the next step.
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
        self.sent_at.get_or_insert_with(clock::now);
        let response = shared.control.start(&self.target, &self.order, lease_end).await;
        drop(slot);
        self.attempts.record(&shared.metrics, &response);
        shared.state().on_start_response(&self.target, &self.key, &response, clock::now());
    }

    fn log(&self, outcome: &str) {
        let waited_until = self.sent_at.unwrap_or_else(clock::now);
        let waited = waited_until.saturating_duration_since(self.arrived_at);
        log_event(
            Level::Info,
            "task_start",
            &[
                ("task", &self.key.0),
                ("run", &self.key.1),
                ("epoch", &self.target.epoch),
                ("link", &self.link),
                ("instance", &self.target.instance),
                ("waited_ms", &waited.as_millis()),
                ("outcome", &outcome),
                ("tries", &self.attempts.attempts()),
                ("unanswered", &self.attempts.unanswered()),
            ],
        );
    }
}

/// Sends a stop until the runner has accepted it, or its instance has changed.
fn spawn_stop(shared: &Arc<NodeShared>, target: &RunnerTarget, key: RunKey) {
    let (shared, target) = (shared.clone(), target.clone());
    tokio::spawn(async move {
        let mut attempts = OrderAttempts::new(OrderKind::Stop, &key, target.epoch);
        let mut pause = MIN_STOP_RETRY_PAUSE;
        while try_stop(&shared, &target, &key, &mut attempts).await {
            tokio::time::sleep(pause).await;
            pause = MAX_STOP_RETRY_PAUSE.min(pause * 2);
        }
        log_stop(&target, &key, &attempts);
    });
}

/// Sends a stop once. Returns whether it has to be sent again.
async fn try_stop(
    shared: &NodeShared,
    target: &RunnerTarget,
    key: &RunKey,
    attempts: &mut OrderAttempts,
) -> bool {
    let slot = shared.order_slots.acquire().await;
    let current = shared.state().stop_target(target, key);
    let Some(current) = current else {
        return false;
    };
    let response = shared.control.stop(&current, &key.0, key.1).await;
    drop(slot);
    attempts.record(&shared.metrics, &response);
    shared.state().on_stop_response(target, key, &response);
    response.is_err()
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
