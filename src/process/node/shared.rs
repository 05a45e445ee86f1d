//! What the parts of a node agent share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Notify;
use tokio::sync::Semaphore;

use crate::external::runner_control::RunnerControl;
use crate::ids::InstanceId;
use crate::platform::runner_registry::RunnerRegistry;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::metrics::ProcessMetrics;
use crate::process::node::registered_runner::HeartbeatEffect;
use crate::process::node::registered_runner::RegisteredRunner;
use crate::process::node::state::NodeState;

/// Orders on their way to the runner at once: each takes a connection, and new ones are priced. More than
/// one, so that an order without an answer does not hold up the others.
const ORDERS_AT_ONCE: usize = 4;

/// State that lives as long as the process.
pub struct NodeShared {
    /// The runner's control.
    pub control: Arc<dyn RunnerControl>,
    /// Bounds the orders that are on their way to the runner at once.
    pub order_slots: Semaphore,
    /// Counters and histograms.
    pub metrics: ProcessMetrics,
    /// Wakes answers that wait for news.
    pub news: Notify,
    /// Wakes the loop that looks at the runner.
    pub look: Notify,
    /// Tells that another life of the runner may have begun.
    pub instance_changed: Notify,
    state: Mutex<NodeState>,
    /// The life of the last heartbeat that was dropped: those that follow are not logged again.
    dropped: Mutex<InstanceId>,
}

impl NodeShared {
    /// State of a process that has just started.
    pub fn new(control: Arc<dyn RunnerControl>) -> NodeShared {
        NodeShared {
            control,
            order_slots: Semaphore::new(ORDERS_AT_ONCE),
            metrics: ProcessMetrics::open(),
            news: Notify::new(),
            look: Notify::new(),
            instance_changed: Notify::new(),
            state: Mutex::new(NodeState::new(clock::now())),
            dropped: Mutex::default(),
        }
    }

    /// The state.
    pub fn state(&self) -> MutexGuard<'_, NodeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a dropped heartbeat is the first one in a row of its life.
    fn is_first_dropped(&self, instance: &InstanceId) -> bool {
        let mut dropped = self.dropped.lock().unwrap_or_else(PoisonError::into_inner);
        let is_first = *dropped != *instance;
        dropped.clone_from(instance);
        is_first
    }
}

impl RunnerRegistry for NodeShared {
    fn on_heartbeat(&self, runner: RegisteredRunner) {
        let instance = runner.status.instance.clone();
        let (sequence, draining) = (runner.sequence, runner.status.draining);
        let started_at = runner.started_at.map_or(String::new(), |at| at.to_string());
        let effect = self.state().on_heartbeat(runner);
        let event = match effect {
            HeartbeatEffect::Changed => "runner_changed",
            HeartbeatEffect::Dropped if self.is_first_dropped(&instance) => "heartbeat_dropped",
            _ => return,
        };
        log_event(
            log::Level::Info,
            event,
            &[
                ("instance", &instance),
                ("started_at", &started_at),
                ("sequence", &sequence),
                ("draining", &draining),
            ],
        );
        if effect == HeartbeatEffect::Changed {
            self.news.notify_one();
            self.look.notify_one();
            self.instance_changed.notify_one();
        }
    }

    fn on_deregister(&self, runner: &str) {
        log_event(log::Level::Info, "runner_left", &[("runner", &runner)]);
        if self.state().on_deregister(runner, clock::now()) {
            self.news.notify_one();
            self.instance_changed.notify_one();
        }
    }
}
