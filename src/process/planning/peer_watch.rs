//! Makes this process known to the other planner processes, and follows which there are.

use std::sync::Arc;
use std::time::Duration;

use log::Level;

use crate::external::row_store::RowName;
use crate::external::row_store::RowTransaction;
use crate::process::logging::log_event;
use crate::process::planning::rows::NodeRow;
use crate::process::planning::rows::PARTITION;
use crate::process::planning::rows::PEER_TABLE;
use crate::process::planning::rows::decode;
use crate::process::planning::rows::encode;
use crate::process::planning::shared::PlannerShared;
use crate::process::planning::table_feed::TableFeed;

/// Pause before the process's row is written again after a failure.
const REGISTER_PAUSE: Duration = Duration::from_millis(300);

/// Starts following the other processes.
pub fn spawn_peer_watch(shared: Arc<PlannerShared>) {
    tokio::spawn(register(shared.clone()));
    tokio::spawn(async move {
        let mut peers = TableFeed::spawn(shared.store.clone(), PEER_TABLE, None);
        loop {
            for row in peers.next().await {
                match decode::<NodeRow>(&row) {
                    Some(peer) => shared.add_peer(peer.address),
                    None => shared.remove_peer(&row.name.key),
                }
            }
        }
    });
}

async fn register(shared: Arc<PlannerShared>) {
    let address = shared.settings.internal_listen.to_string();
    let row = NodeRow { id: shared.settings.id.clone(), address: address.clone() };
    let name = RowName::new(PEER_TABLE, PARTITION, &address);
    let transaction =
        RowTransaction { puts: vec![(name, encode(&row))], ..RowTransaction::default() };
    while let Err(error) = shared.store.commit(&transaction).await {
        log_event(Level::Warn, "register_failed", &[("error", &error)]);
        tokio::time::sleep(REGISTER_PAUSE).await;
    }
    log_event(Level::Info, "registered", &[("address", &address)]);
}
