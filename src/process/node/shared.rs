//! State that the tasks of a node agent share.

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
use crate::process::node::lease_watch::LeaseChange;
use crate::process::node::registered_runner::HeartbeatEffect;
use crate::process::node::registered_runner::RegisteredRunner;
use crate::process::node::state::NodeState;

/// Orders sent to the runner at the same time. Each takes a connection, and new connections have a
/// cost. More than one, so that an order without a response does not block the others.
const MAX_CONCURRENT_ORDERS: usize = 4;

/// Shared state of the process.
pub struct NodeShared {
    /// Client of the runner.
    pub control: Arc<dyn RunnerControl>,
    /// Bounds the orders that are sent to the runner at the same time.
    pub order_slots: Semaphore,
    /// Counters and histograms of the process.
    pub metrics: ProcessMetrics,
    /// Wakes the planner's sync calls that wait for changes.
    pub report_wakeup: Notify,
    /// Wakes the task that polls the runner.
    pub poll_wakeup: Notify,
    /// Signals that another instance of the runner may have started.
    pub instance_changed: Notify,
    state: Mutex<NodeState>,
    /// Instance of the last dropped heartbeat; further heartbeats from it are not logged.
    last_dropped: Mutex<InstanceId>,
}

impl NodeShared {
    /// Creates the state of a process that has just started.
    pub fn new(control: Arc<dyn RunnerControl>) -> NodeShared {
        NodeShared {
            control,
            order_slots: Semaphore::new(MAX_CONCURRENT_ORDERS),
            metrics: ProcessMetrics::open(),
            report_wakeup: Notify::new(),
            poll_wakeup: Notify::new(),
            instance_changed: Notify::new(),
            state: Mutex::new(NodeState::new(clock::now())),
            last_dropped: Mutex::default(),
        }
    }

    /// Locks the agent's state.
    pub fn state(&self) -> MutexGuard<'_, NodeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs that the lease has lapsed while there are runs or starts, or is valid again.
    pub fn log_lease_change(&self) {
        let mut state = self.state();
        let change = state.take_lease_change(clock::now());
        let instance = state.current_instance().cloned().unwrap_or_default();
        drop(state);
        match change {
            Some(LeaseChange::Lapsed { runs, starts, since }) => log_event(
                log::Level::Warn,
                "lease_lapsed",
                &[
                    ("instance", &instance),
                    ("runs", &runs),
                    ("starts", &starts),
                    ("lapsed_ms", &since.as_millis()),
                ],
            ),
            Some(LeaseChange::Renewed { since }) => log_event(
                log::Level::Info,
                "lease_renewed",
                &[("instance", &instance), ("lapsed_ms", &since.as_millis())],
            ),
            None => {}
        }
    }

    /// Returns whether a dropped heartbeat is the first in a row from its instance.
    fn is_first_dropped(&self, instance: &InstanceId) -> bool {
        let mut last_dropped = self.last_dropped.lock().unwrap_or_else(PoisonError::into_inner);
        let is_first = *last_dropped != *instance;
        last_dropped.clone_from(instance);
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
            self.report_wakeup.notify_one();
            self.poll_wakeup.notify_one();
            self.instance_changed.notify_one();
        }
    }

    fn on_deregister(&self, runner: &str) {
        log_event(log::Level::Info, "runner_left", &[("runner", &runner)]);
        if self.state().on_deregister(runner, clock::now()) {
            self.report_wakeup.notify_one();
            self.instance_changed.notify_one();
        }
    }
}
