//! Writes a batch of the planner until its outcome is known.

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

/// Pause before a write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It is stored under a version. Where the store itself said so, the owner's row was as expected
    /// after this time, at which the call was sent_at.
    Stored(RowVersion, Option<Instant>),
    /// A condition did not hold; the rows that the conditions named.
    Refused(Vec<StoredRow>),
}

/// Repeats a write until it is known to be stored or impossible. Each row's condition makes a repeat, or
/// a first try that is carried out late, harmless.
pub async fn commit_until_settled(
    store: Arc<dyn RowStore>,
    transaction: &RowTransaction,
) -> CommitOutcome {
    let mut is_ambiguous = false;
    let mut failures = 0_u32;
    loop {
        let sent_at = clock::now();
        match store.commit(transaction).await {
            Ok(version) => return CommitOutcome::Stored(version, Some(sent_at)),
            Err(RowError::Conflict { rows }) => {
                let applied = applied_version(transaction, &rows).filter(|_| is_ambiguous);
                return match applied {
                    Some(version) => CommitOutcome::Stored(version, None),
                    None => CommitOutcome::Refused(rows),
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
