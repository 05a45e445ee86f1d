//! Watches the operator's queue configuration. The version in effect never decreases.

use std::sync::Arc;
use std::time::Duration;

use log::Level;

use crate::external::row_store::RowError;
use crate::external::row_store::RowName;
use crate::external::row_store::RowStore;
use crate::external::row_store::StoredRow;
use crate::ids::RowVersion;
use crate::platform::configuration::CONFIGURATION_KEY;
use crate::platform::configuration::OPERATOR_TABLE;
use crate::platform::configuration::decode;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::planning::feed_router::FeedCall;
use crate::process::planning::shared::PlannerShared;

/// Maximum time that one feed call waits for changes. It is short enough to detect a half-open
/// connection well within the two seconds in which a new configuration has to take effect.
const FEED_TIMEOUT: Duration = Duration::from_millis(700);

/// Starts the task that watches the configuration.
pub fn spawn_queue_watch(shared: Arc<PlannerShared>) {
    tokio::spawn(async move {
        let mut after = None;
        let mut has_failed = false;
        loop {
            let read = read_configuration(&shared, after).await;
            shared.pace_retries(&read).await;
            match read {
                Ok(version) => {
                    if std::mem::take(&mut has_failed) {
                        log_event(
                            Level::Info,
                            "configuration_watch_regained",
                            &[("version", &version)],
                        );
                    }
                    after = Some(version);
                }
                Err(error) => {
                    if !std::mem::replace(&mut has_failed, true) {
                        log_event(Level::Warn, "configuration_watch_lost", &[("error", &error)]);
                    }
                    if error == RowError::HistoryGone {
                        after = None;
                    }
                }
            }
        }
    });
}

/// Reads the configuration the first time, and waits for changes of it later.
async fn read_configuration(
    shared: &PlannerShared,
    after: Option<RowVersion>,
) -> Result<RowVersion, RowError> {
    let (rows, version) = match after {
        Some(after) => {
            let wait = FEED_TIMEOUT;
            let call = FeedCall { table: OPERATOR_TABLE, after, wait, max_wait: wait };
            let page = shared.feed(call).await?.page;
            (page.rows, page.version)
        }
        None => {
            let sent_at = clock::now();
            let page = shared.store.range(OPERATOR_TABLE, "", CONFIGURATION_KEY).await?;
            shared.feeds.on_read(OPERATOR_TABLE, &page.rows, page.version, sent_at);
            (page.rows, page.version)
        }
    };
    let name = RowName::new(OPERATOR_TABLE, "", CONFIGURATION_KEY);
    if let Some(row) = rows.iter().rev().find(|row| row.name == name) {
        apply_row(shared, row);
    }
    Ok(version)
}

/// Puts the configuration of a row into effect if its version is newer.
fn apply_row(shared: &PlannerShared, row: &StoredRow) {
    let Some(value) = &row.value else {
        return;
    };
    let table = match decode(value) {
        Ok(table) => table,
        Err(error) => {
            log_event(Level::Error, "configuration_malformed", &[("error", &error)]);
            return;
        }
    };
    let current = shared.queues.borrow().as_ref().map_or(0, |table| table.version);
    if table.version <= current {
        return;
    }
    log_event(
        Level::Info,
        "configuration_in_force",
        &[("version", &table.version), ("before", &current), ("queues", &table.len())],
    );
    shared.queues.send_replace(Some(Arc::new(table)));
}
