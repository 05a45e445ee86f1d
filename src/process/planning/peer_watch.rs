//! Registers this process with the other planner processes, and watches their registrations.

use std::sync::Arc;

use crate::external::row_store::RowName;
use crate::process::planning::registration::register;
use crate::process::planning::rows::HOST_PARTITION;
use crate::process::planning::rows::NodeRow;
use crate::process::planning::rows::PEER_TABLE;
use crate::process::planning::rows::decode;
use crate::process::planning::rows::encode;
use crate::process::planning::shared::PlannerShared;
use crate::process::planning::table_feed::TableFeed;

/// Starts the tasks that register this process and watch the other ones.
pub fn spawn_peer_watch(shared: Arc<PlannerShared>) {
    let address = shared.settings.internal_listen.to_string();
    let name = RowName::new(PEER_TABLE, HOST_PARTITION, &address);
    let row = NodeRow { id: shared.settings.id.clone(), address };
    tokio::spawn(register(shared.store.clone(), name, encode(&row)));
    tokio::spawn(async move {
        let hosts = vec![HOST_PARTITION.to_string()];
        let mut peers = TableFeed::spawn(shared.clone(), PEER_TABLE, hosts, None);
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
