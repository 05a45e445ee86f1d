//! The runner that has registered with the agent on its host.

use crate::connection::node_protocol::RunnerStatus;
use crate::ids::RunnerId;
use crate::ids::StartMillis;

/// The runner on this host, as its newest heartbeat describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisteredRunner {
    /// Id of the runner, which may be shared by earlier instances.
    pub runner: RunnerId,
    /// Status that the runner reports.
    pub status: RunnerStatus,
    /// Address at which it accepts orders.
    pub address: String,
    /// Sequence number of the newest heartbeat.
    pub sequence: u64,
    /// Start time of the instance; `None` if the runner does not report it.
    pub started_at: Option<StartMillis>,
}

/// Effect of a heartbeat on the agent's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// The planner should get a report at once.
    Changed,
    /// Nothing changes, or not until the next poll.
    Unchanged,
    /// The heartbeat is dropped, since its instance has ended.
    Dropped,
}
