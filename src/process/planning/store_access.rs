//! The store as the job desk reaches it: directly, or through another planner process.
//!
//! The store may turn one host away and serve the others; then another process passes the call on. It may as well be slow or
//! overloaded for all; then each call that is passed on is one more in the same queue, and what the caller gets for it
//! is nothing. Both are told apart by what else this process hears from the store: while any of its watches is answered, a
//! call without an answer is slow, and is waited for as long as the caller waits.
//!
//! The load is 19 submissions a second at a store whose transactions take 0.3 s, for six seconds, with 35 entry hosts. When
//! each call was given up after 0.6 s and passed through all others in turn, 79 callers of that span waited to their deadline
//! without an answer, since each of their calls was carried out several times.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::time::timeout;

use crate::connection::planner_protocol::PlannerRpcClient;
use crate::connection::rpc_client::ConnectionCache;
use crate::connection::rpc_client::call_within;
use crate::external::row_store::RowError;
use crate::external::row_store::RowName;
use crate::external::row_store::RowStore;
use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::ids::RowVersion;
use crate::process::clock;
use crate::process::gate::CallDeadline;
use crate::process::planning::shared::PlannerShared;

/// Time for a direct call after which it is asked whether the store is silent here or slow for all.
const DIRECT_CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for a call through another process.
const RELAY_TIMEOUT: Duration = Duration::from_millis(650);
/// Time for a connection to another process; processes are a millisecond apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Other processes that are asked for one call: the store turns a part of the hosts away, a third of them in what was
/// seen, so that three at random fail together in one case of 27.
const MAX_RELAYS: usize = 3;
/// Time after a round through the other processes that was in vain in which none is tried.
const RELAY_BACKOFF: Duration = Duration::from_millis(400);
/// Kept of the caller's time, so that an answer still reaches it.
pub(super) const ANSWER_RESERVE: Duration = Duration::from_millis(150);

/// Access of a job desk to the store.
pub struct StoreAccess {
    shared: Arc<PlannerShared>,
    peers: ConnectionCache<PlannerRpcClient>,
    /// Where the next round through the other processes begins, so that no one of them carries all.
    next_peer: AtomicUsize,
    relays_failed_at: Mutex<Option<Instant>>,
}

impl StoreAccess {
    /// Opens the access.
    pub fn open(shared: Arc<PlannerShared>) -> StoreAccess {
        StoreAccess {
            shared,
            peers: ConnectionCache::default(),
            next_peer: AtomicUsize::new(0),
            relays_failed_at: Mutex::new(None),
        }
    }

    /// Applies a transaction. A conflict after an ambiguous try may be that try's own doing.
    pub async fn commit(
        &self,
        transaction: &RowTransaction,
        deadline: CallDeadline,
    ) -> Result<RowVersion, RowError> {
        let direct = self.shared.store.commit(transaction);
        let relay = |client: PlannerRpcClient| async move {
            client.relay_commit(call_within(RELAY_TIMEOUT), transaction.clone()).await
        };
        self.call_with_fallback(direct, relay, deadline).await
    }

    /// Reads a row.
    pub async fn get(
        &self,
        name: &RowName,
        deadline: CallDeadline,
    ) -> Result<Option<StoredRow>, RowError> {
        let direct = self.shared.store.get(name);
        let relay = |client: PlannerRpcClient| async move {
            client.relay_get(call_within(RELAY_TIMEOUT), name.clone()).await
        };
        self.call_with_fallback(direct, relay, deadline).await
    }

    /// Calls the store itself, and through other processes where it is silent here or refuses.
    async fn call_with_fallback<T, E, F, C>(
        &self,
        direct: impl Future<Output = Result<T, RowError>>,
        relay: F,
        deadline: CallDeadline,
    ) -> Result<T, RowError>
    where
        F: Fn(PlannerRpcClient) -> C,
        C: Future<Output = Result<Result<T, RowError>, E>>,
    {
        if !self.shared.is_store_reachable() {
            return self.call_through_relays(unreachable_here(), relay, deadline).await;
        }
        let sent_at = clock::now();
        tokio::pin!(direct);
        let first = timeout(DIRECT_CALL_TIMEOUT.min(time_left(deadline)), &mut direct).await;
        if let Ok(result) = first {
            return match result {
                Err(error) if is_worth_relaying(&error) => {
                    self.call_through_relays(error, relay, deadline).await
                }
                settled => settled,
            };
        }
        let mut failure = unreachable_here();
        if !self.shared.store.health().has_answered_since(sent_at) {
            self.shared.store.health().on_silence();
            failure = match self.call_through_relays(failure, relay, deadline).await {
                Err(error) if is_worth_relaying(&error) => error,
                settled => return settled,
            };
        }
        match timeout(time_left(deadline), direct).await.unwrap_or_else(|_| Err(timed_out())) {
            // That the store refuses the call here says nothing of what it did for the others.
            Err(error) if is_worth_relaying(&error) => Err(more_ambiguous(failure, error)),
            settled => settled,
        }
    }

    /// Repeats a call that the store did not answer here through other processes, one after another, as long as the caller
    /// waits.
    async fn call_through_relays<T, E, F, C>(
        &self,
        mut failure: RowError,
        relay: F,
        deadline: CallDeadline,
    ) -> Result<T, RowError>
    where
        F: Fn(PlannerRpcClient) -> C,
        C: Future<Output = Result<Result<T, RowError>, E>>,
    {
        if self.is_backing_off() {
            return Err(failure);
        }
        for address in self.relay_addresses() {
            if time_left(deadline).is_zero() {
                return Err(failure);
            }
            let connected = timeout(CONNECT_TIMEOUT, self.peers.client(&address)).await;
            let Ok(Ok(client)) = connected else {
                continue;
            };
            let answer = match timeout(time_left(deadline), relay(client)).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(_)) => {
                    // The connection may have gone silent.
                    self.peers.drop_client(&address);
                    Err(timed_out())
                }
                // The caller's time is over, which says nothing of the connection.
                Err(_) => Err(timed_out()),
            };
            match answer {
                Err(error) if is_worth_relaying(&error) => failure = more_ambiguous(failure, error),
                settled => return settled,
            }
        }
        *self.relays_failed_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(clock::now());
        Err(failure)
    }

    /// Whom to ask next: who plans, since it writes without pause, and others in turn.
    fn relay_addresses(&self) -> Vec<String> {
        let mut peers = self.shared.peers();
        if let Some((_, others)) = peers.split_first_mut().filter(|(_, others)| !others.is_empty())
        {
            let start = self.next_peer.fetch_add(MAX_RELAYS - 1, Ordering::Relaxed) % others.len();
            others.rotate_left(start);
        }
        peers.truncate(MAX_RELAYS);
        peers
    }

    /// Whether no other process reached the store either a moment ago; then callers are told at once.
    fn is_backing_off(&self) -> bool {
        let since = *self.relays_failed_at.lock().unwrap_or_else(PoisonError::into_inner);
        since.is_some_and(|since| clock::elapsed(since) < RELAY_BACKOFF)
    }
}

/// Time for which a call may still be waited for.
fn time_left(deadline: CallDeadline) -> Duration {
    deadline.left().saturating_sub(ANSWER_RESERVE)
}

fn unreachable_here() -> RowError {
    RowError::Refused { reason: "the store does not answer here".to_string() }
}

fn timed_out() -> RowError {
    RowError::Ambiguous { reason: "no answer in time".to_string() }
}

fn is_worth_relaying(error: &RowError) -> bool {
    matches!(error, RowError::Refused { .. } | RowError::Ambiguous { .. })
}

/// Of two failures the one that leaves more open.
fn more_ambiguous(first: RowError, second: RowError) -> RowError {
    if matches!(first, RowError::Ambiguous { .. }) { first } else { second }
}
