//! The store as the job desk reaches it: directly, or through another planner process.
//!
//! The store may turn one host away and serve the others. Whether it answers here is known from the
//! watches, which call it all the time, so that no caller has to wait to find out.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::time::timeout;

use crate::connection::planner_protocol::PlannerRpcClient;
use crate::connection::rpc_client::ConnectionCache;
use crate::connection::rpc_client::call_within;
use crate::external::row_store::RowError;
use crate::external::row_store::RowName;
use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::ids::RowVersion;
use crate::process::planning::shared::PlannerShared;

/// Time for a direct call of the desk: a store that is sixty times slower than usual takes 0.4 s.
const DIRECT_LIMIT: Duration = Duration::from_millis(600);
/// Time for a call through another process.
const RELAY_LIMIT: Duration = Duration::from_millis(650);
/// Time for a connection to another process; processes are a millisecond apart.
const CONNECT_LIMIT: Duration = Duration::from_millis(100);
/// Time after a round through the other processes that was in vain in which none is tried.
const VAIN_PAUSE: Duration = Duration::from_millis(400);

/// Access of a job desk to the store.
pub struct StoreAccess {
    shared: Arc<PlannerShared>,
    peers: ConnectionCache<PlannerRpcClient>,
    vain_since: Mutex<Option<Instant>>,
}

impl StoreAccess {
    /// Opens the access.
    pub fn open(shared: Arc<PlannerShared>) -> StoreAccess {
        StoreAccess { shared, peers: ConnectionCache::default(), vain_since: Mutex::new(None) }
    }

    /// Applies a transaction. A conflict after an ambiguous try may be that try's own doing.
    pub async fn commit(&self, transaction: &RowTransaction) -> Result<RowVersion, RowError> {
        let direct = self.direct(self.shared.store.commit(transaction)).await;
        let relay = |client: PlannerRpcClient| async move {
            client.relay_commit(call_within(RELAY_LIMIT), transaction.clone()).await
        };
        self.or_relay(direct, relay).await
    }

    /// Reads a row.
    pub async fn get(&self, name: &RowName) -> Result<Option<StoredRow>, RowError> {
        let direct = self.direct(self.shared.store.get(name)).await;
        let relay = |client: PlannerRpcClient| async move {
            client.relay_get(call_within(RELAY_LIMIT), name.clone()).await
        };
        self.or_relay(direct, relay).await
    }

    /// Repeats a call that the store did not answer here through the other processes, one after another.
    async fn or_relay<T, E, F, C>(
        &self,
        direct: Result<T, RowError>,
        relay: F,
    ) -> Result<T, RowError>
    where
        F: Fn(PlannerRpcClient) -> C,
        C: Future<Output = Result<Result<T, RowError>, E>>,
    {
        let mut failure = match direct {
            Err(error) if is_worth_a_relay(&error) => error,
            settled => return settled,
        };
        if self.is_relay_vain() {
            return Err(failure);
        }
        for address in self.shared.peers() {
            let connected = timeout(CONNECT_LIMIT, self.peers.client(&address)).await;
            let Ok(Ok(client)) = connected else {
                continue;
            };
            let answer = relay(client).await.unwrap_or_else(|_| {
                // The connection may have gone silent.
                self.peers.drop_client(&address);
                Err(no_answer())
            });
            match answer {
                Err(error) if is_worth_a_relay(&error) => failure = worse(failure, error),
                settled => return settled,
            }
        }
        *self.vain_since.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        Err(failure)
    }

    /// Whether no other process reached the store either a moment ago; then callers are told at once.
    fn is_relay_vain(&self) -> bool {
        let since = *self.vain_since.lock().unwrap_or_else(PoisonError::into_inner);
        since.is_some_and(|since| since.elapsed() < VAIN_PAUSE)
    }

    /// Calls the store itself, unless it is known not to answer here.
    async fn direct<T>(
        &self,
        call: impl Future<Output = Result<T, RowError>>,
    ) -> Result<T, RowError> {
        if !self.shared.is_store_near() {
            return Err(RowError::Refused { reason: "the store does not answer here".into() });
        }
        let Ok(result) = timeout(DIRECT_LIMIT, call).await else {
            // Others need not wait to find out; the watches find the store again.
            self.shared.on_store_silence();
            return Err(no_answer());
        };
        if !result.as_ref().is_err_and(is_worth_a_relay) {
            self.shared.on_store_answer(Instant::now());
        }
        result
    }
}

fn no_answer() -> RowError {
    RowError::Ambiguous { reason: "no answer in time".to_string() }
}

fn is_worth_a_relay(error: &RowError) -> bool {
    matches!(error, RowError::Refused { .. } | RowError::Ambiguous { .. })
}

/// Of two failures the one that leaves more open.
fn worse(first: RowError, second: RowError) -> RowError {
    if matches!(first, RowError::Ambiguous { .. }) { first } else { second }
}
