//! Registers this process with the other planner processes, and watches their registrations.

use std::sync::Arc;
use std::time::Duration;

use log::Level;

use crate::connection::host_roster::PeerHost;
use crate::external::row_store::RowError;
use crate::external::row_store::RowName;
use crate::external::row_store::StoredRow;
use crate::external::row_store::read_partitions;
use crate::ids::RowVersion;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::planning::feed_router::FeedCall;
use crate::process::planning::registration::register;
use crate::process::planning::rows::HOST_PARTITION;
use crate::process::planning::rows::PEER_TABLE;
use crate::process::planning::rows::PeerRow;
use crate::process::planning::rows::decode;
use crate::process::planning::rows::encode;
use crate::process::planning::rows::is_usable;
use crate::process::planning::shared::PlannerShared;

/// Maximum time that one feed call waits for changes.
const FEED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause between two feed calls, for each known process. When hundreds of processes start at the
/// same time, each registration would otherwise end the calls of all others, and the calls would grow
/// with the square of their number.
const FEED_PAUSE_PER_PEER: Duration = Duration::from_millis(5);
/// Maximum such pause.
const MAX_FEED_PAUSE: Duration = Duration::from_millis(2_000);

/// Starts the tasks that register this process and watch the other ones.
pub fn spawn_peer_watch(shared: Arc<PlannerShared>) {
    let settings = &shared.settings;
    let row = PeerRow {
        id: settings.id.clone(),
        address: settings.internal_listen.to_string(),
        domain: settings.domain.clone(),
        share: settings.processor_share,
    };
    let name = RowName::new(PEER_TABLE, HOST_PARTITION, &row.address);
    tokio::spawn(register(shared.store.clone(), name, encode(&row)));
    tokio::spawn(watch_peers(shared));
}

async fn watch_peers(shared: Arc<PlannerShared>) {
    let mut after = None;
    let mut has_failed = false;
    loop {
        let read = read_peers(&shared, after).await;
        shared.pace_retries(&read).await;
        match read {
            Ok((rows, version)) => {
                if std::mem::take(&mut has_failed) {
                    log_event(Level::Info, "feed_regained", &[("table", &PEER_TABLE)]);
                }
                after = Some(version);
                rows.iter().for_each(|row| apply_row(&shared, row));
                tokio::time::sleep(feed_pause(&shared)).await;
            }
            Err(error) => {
                if !std::mem::replace(&mut has_failed, true) {
                    let fields: [(&str, &dyn std::fmt::Display); 2] =
                        [("table", &PEER_TABLE), ("error", &error)];
                    log_event(Level::Warn, "feed_lost", &fields);
                }
                if error == RowError::HistoryGone {
                    after = None;
                }
            }
        }
    }
}

/// Reads all registrations the first time, and waits for changes of them later.
async fn read_peers(
    shared: &PlannerShared,
    after: Option<RowVersion>,
) -> Result<(Vec<StoredRow>, RowVersion), RowError> {
    let Some(after) = after else {
        let sent_at = clock::now();
        let partitions = [HOST_PARTITION.to_string()];
        let (rows, version) =
            read_partitions(shared.store.as_ref(), PEER_TABLE, &partitions).await?;
        shared.feeds.on_read(PEER_TABLE, &rows, version, sent_at);
        return Ok((rows, version));
    };
    let wait = FEED_TIMEOUT;
    let max_wait = FEED_TIMEOUT + MAX_FEED_PAUSE;
    let page = shared.feed(FeedCall { table: PEER_TABLE, after, wait, max_wait }).await?.page;
    Ok((page.rows, page.version))
}

fn feed_pause(shared: &PlannerShared) -> Duration {
    let peers = u32::try_from(shared.peers().len()).unwrap_or(u32::MAX);
    FEED_PAUSE_PER_PEER.saturating_mul(peers).min(MAX_FEED_PAUSE)
}

fn apply_row(shared: &PlannerShared, row: &StoredRow) {
    if row.value.is_none() {
        shared.remove_peer(&row.name.key);
    }
    let peer = decode::<PeerRow>(row).filter(|peer| is_usable(row, &peer.address));
    if let Some(PeerRow { address, domain, share, .. }) = peer {
        shared.add_peer(PeerHost { address, domain, share });
    }
}
