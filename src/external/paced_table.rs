//! The table service with a bound on the rate of writes.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use log::Level;

use crate::external::table::TableError;
use crate::external::table::TableRow;
use crate::external::table::TableStore;
use crate::external::table::TableTransaction;
use crate::external::write_budget::WriteBudget;
use crate::external::write_budget::WritePriority;
use crate::ids::RowVersion;
use crate::process::clock;
use crate::process::logging::log_event;

/// Longest time that a write waits for its turn; then it is given up, and nothing took effect.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// A table service whose writes wait for their turn by their priority.
pub struct PacedTable {
    inner: Arc<dyn TableStore>,
    budget: Mutex<WriteBudget>,
}

impl PacedTable {
    /// Lets `rate` writes a second through to `inner`.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use greengagearch::external::memory_table::MemoryTable;
    /// use greengagearch::external::paced_table::PacedTable;
    ///
    /// let table = PacedTable::open(Arc::new(MemoryTable::default()), 200.0);
    /// ```
    pub fn open(inner: Arc<dyn TableStore>, rate: f64) -> PacedTable {
        PacedTable { inner, budget: Mutex::new(WriteBudget::new(rate, clock::now())) }
    }

    /// Changes the rate.
    pub fn set_rate(&self, rate: f64) {
        self.budget().set_rate(rate, clock::now());
    }

    /// Whether a write of this priority would be sent at once.
    pub fn allows(&self, priority: WritePriority) -> bool {
        self.budget().allows(priority, clock::now())
    }

    fn budget(&self) -> MutexGuard<'_, WriteBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the turn of a write.
    async fn take_turn(&self, priority: WritePriority) -> Result<(), TableError> {
        let give_up = clock::now() + LONGEST_WAIT;
        loop {
            let now = clock::now();
            let taken = self.budget().try_take(priority, now);
            let Err(wait) = taken else {
                return Ok(());
            };
            if now + wait > give_up {
                log_event(Level::Warn, "write_not_sent", &[("priority", &priority)]);
                return Err(TableError::Unavailable);
            }
            tokio::time::sleep(wait).await;
        }
    }
}

#[async_trait]
impl TableStore for PacedTable {
    async fn get(&self, key: &str) -> Result<Option<TableRow>, TableError> {
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<TableRow>, TableError> {
        self.inner.list(prefix).await
    }

    async fn commit(&self, transaction: TableTransaction) -> Result<RowVersion, TableError> {
        self.take_turn(transaction.priority).await?;
        self.inner.commit(transaction).await
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::external::memory_table::MemoryTable;

    #[tokio::test]
    async fn a_write_without_prospect_of_a_turn_takes_no_effect_and_a_lease_goes_through() {
        let inner = Arc::new(MemoryTable::default());
        // The bucket never holds a whole write.
        let table = PacedTable::open(inner.clone(), 0.5);
        let mut lease = TableTransaction::of(WritePriority::Lease);
        lease.put("lease", 0, &1);
        assert!(table.commit(lease).await.is_ok());
        let mut report = TableTransaction::of(WritePriority::Report);
        report.put("report", 0, &1);
        assert_eq!(table.commit(report).await, Err(TableError::Unavailable));
        assert_eq!(inner.get("report").await, Ok(None));
    }
}
