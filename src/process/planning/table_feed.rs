//! Stream of the rows of a table in the store: all rows first, then every change.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::external::row_store::RowError;
use crate::external::row_store::RowStore;
use crate::external::row_store::StoredRow;
use crate::external::row_store::read_partitions;
use crate::ids::RowVersion;
use crate::process::logging::log_event;
use crate::process::planning::shared::PlannerShared;

/// Maximum time that one feed call waits for changes. It bounds the delay that a half-open
/// connection causes.
const FEED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Handle of a feed, whose task is aborted when the handle is dropped.
#[derive(Debug)]
pub struct TableFeed {
    rows: mpsc::UnboundedReceiver<Vec<StoredRow>>,
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
        let (sender, rows) = mpsc::unbounded_channel();
        TableFeed { rows, task: tokio::spawn(run_feed(shared, table, partitions, after, sender)) }
    }

    /// Waits for the next rows: the changed ones, or all rows if the store no longer has the
    /// history of the changes.
    pub async fn next(&mut self) -> Vec<StoredRow> {
        match self.rows.recv().await {
            Some(rows) => rows,
            None => std::future::pending().await,
        }
    }
}

async fn run_feed(
    shared: Arc<PlannerShared>,
    table: &'static str,
    partitions: Vec<String>,
    mut after: Option<RowVersion>,
    sender: mpsc::UnboundedSender<Vec<StoredRow>>,
) {
    let mut has_failed = false;
    loop {
        let read = next_rows(shared.store.as_ref(), table, &partitions, after).await;
        shared.pace_retries(&read).await;
        match read {
            Ok((rows, version)) => {
                if std::mem::take(&mut has_failed) {
                    log_event(Level::Info, "feed_regained", &[("table", &table)]);
                }
                after = Some(version);
                if !rows.is_empty() && sender.send(rows).is_err() {
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
    after: Option<RowVersion>,
) -> Result<(Vec<StoredRow>, RowVersion), RowError> {
    match after {
        Some(after) => {
            let page = store.feed(table, after, FEED_TIMEOUT).await?;
            Ok((page.rows, page.version))
        }
        None => read_partitions(store, table, partitions).await,
    }
}
