//! Registration of a process's address in the store, where other processes find it.

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

/// Delay before a failed registration is retried.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Writes the address of a process into `table`, retrying until the store has applied the write.
/// Every start of the process writes the same row.
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
