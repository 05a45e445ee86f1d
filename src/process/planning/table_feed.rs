//! Stream of the rows of a table in the store: all rows first, then every change.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::Level;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::external::row_store::RowError;
use crate::external::row_store::RowStore;
use crate::external::row_store::StoredRow;
use crate::external::row_store::read_partitions;
use crate::ids::RowVersion;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::planning::shared::PlannerShared;

/// Maximum time that one feed call waits for changes. It bounds the delay that a half-open
/// connection causes.
const FEED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A response of the store to a call for changes.
#[derive(Clone, Debug)]
pub struct FeedRead {
    /// The changed rows, or all rows if the store no longer has the history of the changes.
    pub rows: Vec<StoredRow>,
    /// Time by which all changes are included that the store had applied before.
    pub confirmed_at: Instant,
}

/// Handle of a feed, whose task is aborted when the handle is dropped.
#[derive(Debug)]
pub struct TableFeed {
    reads: mpsc::UnboundedReceiver<FeedRead>,
    task: JoinHandle<()>,
}

impl Drop for TableFeed {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TableFeed {
    /// Starts a feed of the changes of `table` after the version `after`. Without a version, it
    /// first reads all rows of `partitions`.
    pub fn spawn(
        shared: Arc<PlannerShared>,
        table: &'static str,
        partitions: Vec<String>,
        after: Option<RowVersion>,
    ) -> TableFeed {
        let (sender, reads) = mpsc::unbounded_channel();
        TableFeed { reads, task: tokio::spawn(run_feed(shared, table, partitions, after, sender)) }
    }

    /// Waits for the next response, which contains no rows if nothing has changed for a while.
    pub async fn next(&mut self) -> FeedRead {
        match self.reads.recv().await {
            Some(read) => read,
            None => std::future::pending().await,
        }
    }
}

async fn run_feed(
    shared: Arc<PlannerShared>,
    table: &'static str,
    partitions: Vec<String>,
    mut after: Option<RowVersion>,
    sender: mpsc::UnboundedSender<FeedRead>,
) {
    let mut has_failed = false;
    let mut is_first = true;
    loop {
        let sent_at = clock::now();
        // The first call shows at once what has changed since the rows were read that the feed begins
        // with. Later ones have to wait: a slow store answers none in time that waits for nothing.
        let wait = if is_first { Duration::ZERO } else { FEED_TIMEOUT };
        is_first = false;
        let read = next_rows(shared.store.as_ref(), table, &partitions, (after, wait)).await;
        shared.pace_retries(&read).await;
        match read {
            Ok((rows, version)) => {
                if std::mem::take(&mut has_failed) {
                    log_event(Level::Info, "feed_regained", &[("table", &table)]);
                }
                // The response may have been under way for long, but the store delays one without
                // changes by the whole wait. A read of all rows waits for nothing.
                let was_delayed = after.is_some() && rows.is_empty();
                let delay = if was_delayed { wait } else { Duration::ZERO };
                let confirmed_at = clock::now().min(sent_at + delay);
                after = Some(version);
                if sender.send(FeedRead { rows, confirmed_at }).is_err() {
                    return;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut has_failed, true) {
                    log_event(Level::Warn, "feed_lost", &[("table", &table), ("error", &error)]);
                }
                if error == RowError::HistoryGone {
                    after = None;
                }
            }
        }
    }
}

async fn next_rows(
    store: &dyn RowStore,
    table: &str,
    partitions: &[String],
    (after, wait): (Option<RowVersion>, Duration),
) -> Result<(Vec<StoredRow>, RowVersion), RowError> {
    match after {
        Some(after) => {
            let page = store.feed(table, after, wait).await?;
            Ok((page.rows, page.version))
        }
        None => read_partitions(store, table, partitions).await,
    }
}
