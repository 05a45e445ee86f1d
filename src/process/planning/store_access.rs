//! Access of the job service to the store, directly or relayed by another planner process.
//!
//! The store may reject one host while it serves the others; a call is then relayed by another
//! planner process. The store may also be slow or overloaded for all hosts; a relayed call then
//! only adds to the store's queue. The two cases are distinguished by the other calls of this
//! process: while the store answers any of its watches, an unanswered call is considered slow, and
//! is awaited until the caller's deadline.
//!
//! An overloaded store is the reason for this rule. With 35 planner processes, 19 submissions a
//! second for six seconds and store transactions that take 0.3 s, a version that abandoned each
//! call after 0.6 s and relayed it to all other processes in turn left 79 callers without an answer
//! until their deadline, since the store executed each of their calls several times.

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

/// Time after which an unanswered direct call is checked: it is relayed if the store has answered
/// no other call of this process since.
const DIRECT_CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Multiple of the store's response time after which a process that follows another one considers a
/// direct call unanswered, with its bounds: the usual time of a transaction with a margin, and the
/// time in which a store answers that is a hundred times slower than usual.
const FOLLOWER_LATENCY_FACTOR: u32 = 4;
const FOLLOWER_MIN_TIMEOUT: Duration = Duration::from_millis(100);
const FOLLOWER_MAX_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Timeout of a call relayed by another process.
const RELAY_TIMEOUT: Duration = Duration::from_millis(650);
/// Timeout of a connection to another process; the round-trip time is about a millisecond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of processes that relay one call. The store has been seen to reject a third of
/// the hosts, in which case three random ones are all rejected in 1 of 27 cases.
const MAX_RELAYS: usize = 3;
/// Time without relaying after all relays of a call have failed.
const RELAY_BACKOFF: Duration = Duration::from_millis(400);
/// Part of a caller's deadline that is reserved for returning the response.
pub(super) const RESPONSE_RESERVE: Duration = Duration::from_millis(150);

/// Access of the job service to the store.
pub struct StoreAccess {
    shared: Arc<PlannerShared>,
    peers: ConnectionCache<PlannerRpcClient>,
    /// Index of the process at which the next call begins to relay, which spreads the load.
    next_peer: AtomicUsize,
    relays_failed_at: Mutex<Option<Instant>>,
}

impl StoreAccess {
    /// Creates the access; connections to other processes are opened on demand.
    pub fn open(shared: Arc<PlannerShared>) -> StoreAccess {
        StoreAccess {
            shared,
            peers: ConnectionCache::default(),
            next_peer: AtomicUsize::new(0),
            relays_failed_at: Mutex::new(None),
        }
    }

    /// Commits a transaction. After an ambiguous attempt, a conflict may be caused by that attempt
    /// itself, if it was applied.
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

    /// Reads a row; `None` if it does not exist.
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

    /// Calls the store directly, and through other processes if it does not answer this one or
    /// refuses.
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
        let limit = self.direct_call_timeout();
        tokio::pin!(direct);
        let first = timeout(limit.min(time_left(deadline)), &mut direct).await;
        if let Ok(result) = first {
            return match result {
                Err(error) if is_worth_relaying(&error) => {
                    self.call_through_relays(error, relay, deadline).await
                }
                settled => settled,
            };
        }
        let mut failure = unreachable_here();
        if !self.shared.store.health().has_responded_since(sent_at) {
            self.shared.store.health().on_timeout();
            failure = match self.call_through_relays(failure, relay, deadline).await {
                Err(error) if is_worth_relaying(&error) => error,
                settled => return settled,
            };
        }
        match timeout(time_left(deadline), direct).await.unwrap_or_else(|_| Err(timed_out())) {
            // The store's refusal of the direct call does not rule out that a relayed one was
            // applied.
            Err(error) if is_worth_relaying(&error) => Err(more_ambiguous(failure, error)),
            settled => settled,
        }
    }

    /// Time after which an unanswered direct call is checked. A process that follows another one has
    /// no watch of its own that would have shown before that the store does not answer this host;
    /// it waits for a multiple of the time that the store takes to respond to the other one.
    fn direct_call_timeout(&self) -> Duration {
        if !self.shared.is_follower() {
            return DIRECT_CALL_TIMEOUT;
        }
        let expected = self.shared.feeds.relayed_latency() * FOLLOWER_LATENCY_FACTOR;
        expected.clamp(FOLLOWER_MIN_TIMEOUT, FOLLOWER_MAX_TIMEOUT)
    }

    /// Repeats a failed direct call through other processes, one after another, until one succeeds
    /// or the caller's deadline is reached. `failure` is the error of the direct call.
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
                    // The connection may be half-open; the next call opens a new one.
                    self.peers.drop_client(&address);
                    Err(timed_out())
                }
                // The caller's deadline has passed, which does not mean that the connection is
                // broken.
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

    /// Addresses of the processes to relay through: the owner first, since it writes all the time
    /// and so is likely to reach the store, then others in turn. Those that watch the store know
    /// whether they reach it.
    fn relay_addresses(&self) -> Vec<String> {
        let mut peers = self.shared.peers();
        let watchers = self.shared.watchers();
        if let Some((_, others)) = peers.split_first_mut().filter(|(_, others)| !others.is_empty())
        {
            let start = self.next_peer.fetch_add(MAX_RELAYS - 1, Ordering::Relaxed);
            others.sort_by_key(|peer| !watchers.contains(peer));
            let (first, last) = others.split_at_mut(watchers.len().min(others.len()));
            [first, last]
                .into_iter()
                .filter(|part| !part.is_empty())
                .for_each(|part| part.rotate_left(start % part.len()));
        }
        peers.truncate(MAX_RELAYS);
        peers
    }

    /// Whether the relays of a recent call have all failed, in which case callers get the error
    /// without further attempts.
    fn is_backing_off(&self) -> bool {
        let since = *self.relays_failed_at.lock().unwrap_or_else(PoisonError::into_inner);
        since.is_some_and(|since| clock::elapsed(since) < RELAY_BACKOFF)
    }
}

/// Time left for calls of the store before the caller's deadline.
fn time_left(deadline: CallDeadline) -> Duration {
    deadline.left().saturating_sub(RESPONSE_RESERVE)
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

/// Returns the error that leaves more possibilities: `first` if it is ambiguous, else `second`.
fn more_ambiguous(first: RowError, second: RowError) -> RowError {
    if matches!(first, RowError::Ambiguous { .. }) { first } else { second }
}
