//! Release of the ownership through another process, when the store turns this host away.
//!
//! The other processes notice an owner that cannot reach the store only by its missing heartbeats.
//! The owner itself notices sooner: none of its calls is answered, although processes that watch the
//! store reach it. While the store is unavailable to all of them, nobody could plan in its place.

use std::time::Duration;

use log::Level;
use rand::seq::SliceRandom;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::connection::planner_protocol::PlannerRpcClient;
use crate::connection::rpc_client::ConnectionCache;
use crate::connection::rpc_client::call_within;
use crate::external::row_store::RowError;
use crate::external::row_store::RowTransaction;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::planning::planner_loop::PlannerLoop;
use crate::process::planning::planner_loop::StepResult;
use crate::process::planning::shared::PlannerShared;

/// Timeout of a connection to another process; the round-trip time is about a millisecond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of a call relayed by another process.
const RELAY_TIMEOUT: Duration = Duration::from_millis(650);
/// Maximum number of processes that are asked to relay the release.
const MAX_RELAYS: usize = 3;
/// Time between two attempts to release the ownership through another process.
const HANDOVER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Result of a release through another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverOutcome {
    /// The ownership is released, or has changed hands before.
    Ended,
    /// Nobody has relayed the release.
    NotRelayed,
}

impl PlannerLoop {
    /// Starts to release the ownership through another process, if the store turns this host away.
    pub(super) fn hand_over_if_rejected(&mut self) {
        let now = clock::now();
        if self.handover.is_some() || now < self.handover_due {
            return;
        }
        if !self.shared.store.health().is_turning_away(now) {
            return;
        }
        self.handover_due = now + HANDOVER_RETRY_DELAY;
        let (shared, release) = (self.shared.clone(), self.release_transaction());
        let handover = async move { release_through_peers(&shared, &release).await };
        self.handover = Some(tokio::spawn(handover));
    }

    /// Handles the end of an attempt to hand over. Fails if the ownership is released.
    pub(super) fn on_handover(&mut self, outcome: HandoverOutcome) -> StepResult {
        self.handover = None;
        match outcome {
            HandoverOutcome::Ended => Err("the store turns this host away".to_string()),
            HandoverOutcome::NotRelayed => Ok(()),
        }
    }
}

/// Waits for the attempt to hand over. Never returns if there is none.
pub(super) async fn handover_outcome(
    handover: &mut Option<JoinHandle<HandoverOutcome>>,
) -> HandoverOutcome {
    match handover {
        // The runtime has printed a panic of the task, which has released nothing.
        Some(task) => task.await.unwrap_or(HandoverOutcome::NotRelayed),
        None => std::future::pending().await,
    }
}

/// Commits the release of the ownership through processes that watch the store. A release without a
/// response may still be carried out; the next write of the owner then is in conflict.
async fn release_through_peers(
    shared: &PlannerShared,
    release: &RowTransaction,
) -> HandoverOutcome {
    let connections = ConnectionCache::<PlannerRpcClient>::default();
    let mut watchers = shared.watchers();
    // Those of one failure domain follow each other, and may be turned away together.
    watchers.shuffle(&mut rand::rng());
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
