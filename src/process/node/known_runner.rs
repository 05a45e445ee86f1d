//! The runner on an agent's host.

use crate::connection::node_protocol::RunnerStatus;

/// The runner on this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownRunner {
    /// What it says of itself.
    pub status: RunnerStatus,
    /// Where it takes orders.
    pub address: String,
    /// Number of its newest heartbeat.
    pub sequence: u64,
}
