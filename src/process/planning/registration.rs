//! Writes where a process is reached, so that others find it in the store.

use std::sync::Arc;
use std::time::Duration;

use log::Level;

use crate::external::row_store::RowName;
use crate::external::row_store::RowStore;
use crate::external::row_store::RowTransaction;
use crate::process::logging::log_event;
use crate::process::planning::rows::HOST_PARTITION;
use crate::process::planning::rows::NodeRow;
use crate::process::planning::rows::encode;

/// Pause before the address is written again after the store did not take it.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Writes a process's address into a table until the store has it. The row is the same at each start.
pub async fn register(store: Arc<dyn RowStore>, table: &str, host: String, address: String) {
    let name = RowName::new(table, HOST_PARTITION, &address);
    let row = NodeRow { id: host, address: address.clone() };
    let transaction =
        RowTransaction { puts: vec![(name, encode(&row))], ..RowTransaction::default() };
    while let Err(error) = store.commit(&transaction).await {
        log_event(Level::Warn, "register_failed", &[("error", &error)]);
        tokio::time::sleep(REGISTER_RETRY_DELAY).await;
    }
    log_event(Level::Info, "registered", &[("address", &address)]);
}
