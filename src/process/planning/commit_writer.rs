//! Commits a transaction of the planner, with retries until its outcome is known.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::Level;

use crate::external::row_store::RowError;
use crate::external::row_store::RowStore;
use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::ids::RowVersion;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::planning::rows::applied_version;

/// Delay before a transaction is committed again.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The transaction was applied.
    Stored(StoredCommit),
    /// A condition did not hold. Contains the current rows that the conditions name.
    Conflict(Vec<StoredRow>),
}

/// A transaction that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredCommit {
    /// Version under which it was applied.
    pub version: RowVersion,
    /// When the call that showed this was sent: the ownership was still valid then.
    pub confirmed_at: Instant,
    /// If the response was lost, the rows that its conditions name, as they were at that call.
    pub rows: Vec<StoredRow>,
}

/// Commits a transaction, retrying until it is known to be applied or in conflict. A retry, or an
/// earlier attempt that the store executes late, does no harm because of the conditions on row
/// versions.
pub async fn commit_until_settled(
    store: Arc<dyn RowStore>,
    transaction: &RowTransaction,
) -> CommitOutcome {
    let mut is_ambiguous = false;
    let mut failures = 0_u32;
    loop {
        let sent_at = clock::now();
        match store.commit(transaction).await {
            Ok(version) => {
                let (confirmed_at, rows) = (sent_at, Vec::new());
                return CommitOutcome::Stored(StoredCommit { version, confirmed_at, rows });
            }
            Err(RowError::Conflict { rows }) => {
                let applied = applied_version(transaction, &rows).filter(|_| is_ambiguous);
                return match applied {
                    Some(version) => {
                        let confirmed_at = sent_at;
                        CommitOutcome::Stored(StoredCommit { version, confirmed_at, rows })
                    }
                    None => CommitOutcome::Conflict(rows),
                };
            }
            Err(error) => {
                is_ambiguous |= !matches!(error, RowError::Refused { .. });
                if failures == 0 {
                    log_event(Level::Warn, "commit_failed", &[("error", &error)]);
                }
                failures += 1;
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
