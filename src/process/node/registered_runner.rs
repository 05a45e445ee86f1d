//! The runner on an agent's host.

use crate::connection::node_protocol::RunnerStatus;
use crate::ids::RunnerId;
use crate::ids::StartMillis;

/// The runner on this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisteredRunner {
    /// Its id, under which it may have had lives before.
    pub runner: RunnerId,
    /// What it says of itself.
    pub status: RunnerStatus,
    /// Where it takes orders.
    pub address: String,
    /// Number of its newest heartbeat.
    pub sequence: u64,
    /// When its life began, if it tells.
    pub started_at: Option<StartMillis>,
}

/// What a heartbeat changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// The planner should hear of it at once.
    Changed,
    /// Nothing, or nothing yet.
    Unchanged,
    /// It is dropped: it speaks of a life that is over.
    Dropped,
}
