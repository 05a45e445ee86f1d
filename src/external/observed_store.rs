//! A store that keeps its health as this process sees it, from the outcome of every call.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;

use crate::connection::store_health::StoreHealth;
use crate::external::row_store::FeedPage;
use crate::external::row_store::RangePage;
use crate::external::row_store::RowError;
use crate::external::row_store::RowName;
use crate::external::row_store::RowStore;
use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::ids::RowVersion;
use crate::process::clock;

/// A store whose answers and refusals are noted.
pub struct ObservedStore {
    inner: Arc<dyn RowStore>,
    health: Mutex<StoreHealth>,
}

impl ObservedStore {
    /// Observes the calls of a store from now on.
    pub fn open(inner: Arc<dyn RowStore>) -> ObservedStore {
        ObservedStore { inner, health: Mutex::new(StoreHealth::new(clock::now())) }
    }

    /// What is known of the store.
    pub fn health(&self) -> MutexGuard<'_, StoreHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a call and notes its outcome, and how long the store took beyond the time that it was
    /// asked to wait.
    async fn observe<T>(
        &self,
        call: impl Future<Output = Result<T, RowError>>,
        wait: Duration,
    ) -> Result<T, RowError> {
        let sent_at = clock::now();
        self.health().on_call(sent_at, !wait.is_zero());
        let result = self.note(call.await, !wait.is_zero());
        let elapsed = clock::elapsed(sent_at);
        // A feed that ends early has waited for an unknown part of the time.
        if result.is_ok() && elapsed >= wait {
            self.health().on_latency(elapsed - wait);
        }
        result
    }

    fn note<T>(&self, result: Result<T, RowError>, was_waiting: bool) -> Result<T, RowError> {
        let now = clock::now();
        match &result {
            Err(RowError::Refused { .. }) => self.health().on_refusal(now),
            // Whether the store has done it is open; silence shows by the time without answers.
            Err(RowError::Ambiguous { .. }) => {}
            Ok(_) | Err(_) => self.health().on_response(now, was_waiting),
        }
        result
    }
}

#[async_trait]
impl RowStore for ObservedStore {
    async fn commit(&self, transaction: &RowTransaction) -> Result<RowVersion, RowError> {
        self.observe(self.inner.commit(transaction), Duration::ZERO).await
    }

    async fn range(&self, table: &str, partition: &str, from: &str) -> Result<RangePage, RowError> {
        self.observe(self.inner.range(table, partition, from), Duration::ZERO).await
    }

    async fn get(&self, name: &RowName) -> Result<Option<StoredRow>, RowError> {
        self.observe(self.inner.get(name), Duration::ZERO).await
    }

    async fn feed(
        &self,
        table: &str,
        after: RowVersion,
        wait: Duration,
    ) -> Result<FeedPage, RowError> {
        self.observe(self.inner.feed(table, after, wait), wait).await
    }
}
