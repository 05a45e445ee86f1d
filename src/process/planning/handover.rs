//! Release of the ownership through another process, when the store turns this host away.
//!
//! The other processes notice an owner that cannot reach the store only by its missing heartbeats.
//! The owner itself notices sooner: none of its calls is answered, although processes that watch the
//! store reach it. While the store is unavailable to all of them, nobody could plan in its place.

use std::time::Duration;

use log::Level;
use tokio::time::timeout;

use crate::connection::planner_protocol::PlannerRpcClient;
use crate::connection::rpc_client::ConnectionCache;
use crate::connection::rpc_client::call_within;
use crate::external::row_store::RowError;
use crate::external::row_store::RowTransaction;
use crate::process::logging::log_event;
use crate::process::planning::shared::PlannerShared;

/// Timeout of a connection to another process; the round-trip time is about a millisecond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of a call relayed by another process.
const RELAY_TIMEOUT: Duration = Duration::from_millis(650);
/// Maximum number of processes that are asked to relay the release.
const MAX_RELAYS: usize = 3;

/// Result of a release through another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverOutcome {
    /// The ownership is released, or has changed hands before.
    Ended,
    /// Nobody has relayed the release.
    NotRelayed,
}

/// Commits the release of the ownership through processes that watch the store. A release without a
/// response may still be carried out; the next write of the owner then is in conflict.
pub async fn release_through_peers(
    shared: &PlannerShared,
    release: &RowTransaction,
) -> HandoverOutcome {
    let connections = ConnectionCache::<PlannerRpcClient>::default();
    let start = rand::random_range(0..MAX_RELAYS);
    let mut watchers = shared.watchers();
    let middle = start.min(watchers.len());
    watchers.rotate_left(middle);
    for address in watchers.iter().take(MAX_RELAYS) {
        let connected = timeout(CONNECT_TIMEOUT, connections.client(address)).await;
        let Ok(Ok(client)) = connected else {
            continue;
        };
        let call = client.relay_commit(call_within(RELAY_TIMEOUT), release.clone());
        match timeout(RELAY_TIMEOUT, call).await {
            Ok(Ok(Ok(_) | Err(RowError::Conflict { .. }))) => return HandoverOutcome::Ended,
            Ok(Ok(Err(error))) => {
                log_event(Level::Warn, "handover_refused", &[("peer", address), ("error", &error)]);
            }
            Ok(Err(_)) | Err(_) => {
                log_event(Level::Warn, "handover_unanswered", &[("peer", address)]);
            }
        }
    }
    HandoverOutcome::NotRelayed
}
