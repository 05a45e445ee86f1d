//! Registration of a process's address in the store, where other processes find it.

use std::sync::Arc;

use log::Level;

use crate::connection::retry_pace::RetryPace;
use crate::external::row_store::RowName;
use crate::external::row_store::RowStore;
use crate::external::row_store::RowTransaction;
use crate::process::clock;
use crate::process::logging::log_event;

/// Writes the row of a process, retrying until the store has applied the write. Every start of the
/// process writes the same row. The pauses between retries differ, since hundreds of processes may
/// start at the same time.
pub async fn register(store: Arc<dyn RowStore>, name: RowName, row: Vec<u8>) {
    let address = name.key.clone();
    let transaction = RowTransaction { puts: vec![(name, row)], ..RowTransaction::default() };
    let mut pace = RetryPace::default();
    while let Err(error) = store.commit(&transaction).await {
        log_event(Level::Warn, "register_failed", &[("error", &error)]);
        tokio::time::sleep(pace.on_failure(clock::now(), rand::random())).await;
    }
    log_event(Level::Info, "registered", &[("address", &address)]);
}
