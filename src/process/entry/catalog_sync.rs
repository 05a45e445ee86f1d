//! Keeps the documents in force up to date: from the table service, or from peers while it is down.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use tokio::time::timeout;

use crate::connection::cluster_map::partition_of_worker;
use crate::connection::rpc_client::call_within;
use crate::external::table::TableError;
use crate::ids::GenerationNumber;
use crate::process::clock;
use crate::process::entry::shared::EntryShared;
use crate::process::logging::log_event;
use crate::version::catalog::DOCUMENT_PREFIX;
use crate::version::catalog::DocumentCatalog;
use crate::version::catalog::DocumentRow;
use crate::version::catalog::DocumentSet;
use crate::version::catalog::GENERATION_KEY;

/// Time between two looks at the generation in the table service.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed sync.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for a peer's documents.
const PEER_CALL: Duration = Duration::from_millis(1_000);
/// Reads until the generation is the same before and after the documents.
const READ_TRIES: usize = 5;

/// Syncs the documents until the process ends.
pub fn spawn_catalog_sync(shared: Arc<EntryShared>) {
    tokio::spawn(async move {
        loop {
            let pause = if sync(&shared).await { LOOK_INTERVAL } else { FAILURE_PAUSE };
            // Either way the next look is due.
            let _ = timeout(pause, shared.catalog_news.notified()).await;
        }
    });
}

/// Brings the documents up to date; gives whether they are the newest that can be had.
async fn sync(shared: &Arc<EntryShared>) -> bool {
    let own = shared.with_catalog(DocumentCatalog::generation);
    let set = match read_table(shared, own).await {
        Ok(set) => Some(set),
        Err(_) => read_peers(shared, own).await,
    };
    let Some(set) = set else {
        return false;
    };
    put_in_force(shared, set);
    shared.set_catalog_ready();
    true
}

/// Brings the documents up to date with the table service, so that a change can be put in force right
/// after it is committed.
///
/// # Errors
///
/// As the table service gives them.
pub async fn catch_up(shared: &Arc<EntryShared>) -> Result<(), TableError> {
    let own = shared.with_catalog(DocumentCatalog::generation);
    let set = read_table(shared, own).await?;
    put_in_force(shared, set);
    Ok(())
}

/// Puts newer documents in force and tells peers and agents.
pub fn put_in_force(shared: &Arc<EntryShared>, set: DocumentSet) {
    let generation = set.generation;
    if shared.change_catalog(|catalog| catalog.apply(set)) {
        shared.metrics.generation.set(i64::try_from(generation).unwrap_or(i64::MAX));
        log_event(Level::Info, "in_force", &[("generation", &generation)]);
        tell_agents(shared, generation);
        // Peers learn of it, or hear that it is in force here too.
        shared.beat_members();
    }
}

/// Tells the agents of the workers that this entry looks after; the others, and those that miss it,
/// learn of it by their heartbeats.
fn tell_agents(shared: &Arc<EntryShared>, generation: GenerationNumber) {
    let now = clock::now();
    let agents = shared.agents();
    let addresses: Vec<String> = agents
        .values()
        .filter(|agent| {
            let partition = partition_of_worker(&agent.place.worker);
            shared.view().acting_right(partition, now).is_some()
        })
        .map(|agent| agent.address.clone())
        .collect();
    for address in addresses {
        let shared = shared.clone();
        tokio::spawn(async move {
            if let Ok(client) = shared.agent_connections.client(&address).await {
                let _ = client.documents_changed(call_within(PEER_CALL), generation).await;
            }
        });
    }
}

async fn read_table(
    shared: &EntryShared,
    own: GenerationNumber,
) -> Result<DocumentSet, TableError> {
    for _ in 0..READ_TRIES {
        let generation = read_generation(shared).await?;
        if generation <= own {
            return Ok(DocumentSet { generation: own, rows: Vec::new() });
        }
        let rows = shared.table.list(DOCUMENT_PREFIX).await?;
        if read_generation(shared).await? == generation {
            let rows: Vec<DocumentRow> = rows.iter().filter_map(|row| row.decode().ok()).collect();
            return Ok(DocumentSet { generation, rows });
        }
    }
    Err(TableError::Unavailable)
}

/// The generation in the table service; zero before the first document.
pub async fn read_generation(shared: &EntryShared) -> Result<GenerationNumber, TableError> {
    match shared.table.get(GENERATION_KEY).await? {
        Some(row) => row.decode(),
        None => Ok(0),
    }
}

/// The newest documents among the peers that answer.
async fn read_peers(shared: &EntryShared, own: GenerationNumber) -> Option<DocumentSet> {
    let members = shared.view().map().members.clone();
    let mut addresses: Vec<String> = members
        .into_iter()
        .filter(|member| member.incarnation != shared.member.incarnation)
        .map(|member| member.address)
        .collect();
    // A new process knows no members while the table service is down.
    addresses.extend(shared.settings.balancer.map(|address| address.to_string()));
    if let Some(balancer) = shared.settings.balancer {
        // It shall choose anew: the last choice may have been this entry itself.
        shared.entry_connections.drop_client(&balancer.to_string());
    }
    let mut newest: Option<DocumentSet> = None;
    for address in addresses {
        let Ok(client) = shared.entry_connections.client(&address).await else {
            continue;
        };
        let Ok(set) = client.documents(call_within(PEER_CALL), own).await else {
            continue;
        };
        // A peer that has nothing in force yet has nothing to say.
        if set.generation > newest.as_ref().map_or(0, |known| known.generation) {
            newest = Some(set);
        }
    }
    newest
}
