//! The store as the job desk reaches it: directly, or through another planner process.
//!
//! The store may turn one host away and serve the others. Whether it answers here is known from the
//! watches, which call it all the time, so that no caller has to wait to find out.

use std::sync::Arc;
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
const DIRECT_LIMIT: Duration = Duration::from_millis(700);
/// Time for a call through another process.
const RELAY_LIMIT: Duration = Duration::from_millis(800);

/// Access of a job desk to the store.
pub struct StoreAccess {
    shared: Arc<PlannerShared>,
    peers: ConnectionCache<PlannerRpcClient>,
}

impl StoreAccess {
    /// Opens the access.
    pub fn open(shared: Arc<PlannerShared>) -> StoreAccess {
        StoreAccess { shared, peers: ConnectionCache::default() }
    }

    /// Applies a transaction. A conflict after an ambiguous try may be that try's own doing.
    pub async fn commit(&self, transaction: &RowTransaction) -> Result<RowVersion, RowError> {
        let direct = async {
            let commit = self.shared.store.commit(transaction);
            timeout(DIRECT_LIMIT, commit).await.unwrap_or_else(|_| Err(no_answer()))
        };
        let mut failure = match self.direct(direct).await {
            Err(error) if is_worth_a_relay(&error) => error,
            settled => return settled,
        };
        for address in self.shared.peers() {
            let Ok(client) = self.peers.client(&address).await else {
                continue;
            };
            let call = client.relay_commit(call_within(RELAY_LIMIT), transaction.clone()).await;
            match self.settle(&address, call) {
                Err(error) if is_worth_a_relay(&error) => failure = worse(failure, error),
                settled => return settled,
            }
        }
        Err(failure)
    }

    /// Reads a row.
    pub async fn get(&self, name: &RowName) -> Result<Option<StoredRow>, RowError> {
        let direct = async {
            let get = self.shared.store.get(name);
            timeout(DIRECT_LIMIT, get).await.unwrap_or_else(|_| Err(no_answer()))
        };
        let mut failure = match self.direct(direct).await {
            Err(error) if is_worth_a_relay(&error) => error,
            settled => return settled,
        };
        for address in self.shared.peers() {
            let Ok(client) = self.peers.client(&address).await else {
                continue;
            };
            let call = client.relay_get(call_within(RELAY_LIMIT), name.clone()).await;
            match self.settle(&address, call) {
                Err(error) if is_worth_a_relay(&error) => failure = worse(failure, error),
                settled => return settled,
            }
        }
        Err(failure)
    }

    /// Calls the store itself, unless it is known not to answer here.
    async fn direct<T>(
        &self,
        call: impl Future<Output = Result<T, RowError>>,
    ) -> Result<T, RowError> {
        if !self.shared.is_store_near() {
            return Err(RowError::Refused { reason: "the store does not answer here".into() });
        }
        let result = call.await;
        if !matches!(result, Err(RowError::Ambiguous { .. } | RowError::Refused { .. })) {
            self.shared.on_store_answer(Instant::now());
        }
        result
    }

    fn settle<T, E>(
        &self,
        address: &str,
        call: Result<Result<T, RowError>, E>,
    ) -> Result<T, RowError> {
        call.unwrap_or_else(|_| {
            // The connection may have gone silent.
            self.peers.drop_client(address);
            Err(no_answer())
        })
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
