//! Keeps the services' events in the table service and sums them up.
//!
//! Each run of an entry writes rows of its own, one a service and hour, so that writes never race and
//! counts add up. The loss of an entry loses what it counted since its last write.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use log::Level;

use crate::connection::cluster_map::partition_of_team;
use crate::external::table::TableError;
use crate::external::table::TableRow;
use crate::external::table::TableTransaction;
use crate::external::write_budget::WritePriority;
use crate::ids::RowVersion;
use crate::process::burn_ledger::BurnHour;
use crate::process::burn_ledger::BurnObjective;
use crate::process::burn_ledger::ServiceBurn;
use crate::process::burn_ledger::hour_of;
use crate::process::burn_ledger::sum_up;
use crate::process::clock;
use crate::process::entry::shared::EntryShared;
use crate::process::logging::log_event;
use crate::version::catalog::DocumentCatalog;

/// Time between two writes: what the loss of an entry loses.
pub const FLUSH_INTERVAL: Duration = Duration::from_secs(10);
/// Writes between two looks for rows that are past their window.
const FLUSHES_PER_CLEANUP: u32 = 360;
/// Rows that one look removes at most.
const REMOVALS: usize = 64;

fn burn_prefix(service: &str) -> String {
    format!("burn/{service}/")
}

/// Writes what changed since the last time.
#[derive(Debug, Default)]
pub struct BurnFlush {
    versions: HashMap<String, RowVersion>,
}

impl BurnFlush {
    /// Writes what changed, in one transaction.
    ///
    /// # Errors
    ///
    /// As the table service gives them; what was not written is kept for the next time.
    pub async fn flush(&mut self, shared: &EntryShared) -> Result<(), TableError> {
        let changed = shared.burn().take_changed();
        if changed.is_empty() {
            return Ok(());
        }
        let keys = changed.iter().map(|(key, _)| key.clone()).collect();
        let written = self.write(shared, changed).await;
        if written.is_err() {
            self.versions.clear();
            shared.burn().put_back(keys);
        }
        shared.burn().forget_before(shared.clock.wall_millis());
        written
    }

    async fn write(
        &mut self,
        shared: &EntryShared,
        changed: Vec<((String, u64), BurnHour)>,
    ) -> Result<(), TableError> {
        let mut transaction = TableTransaction::of(WritePriority::Report);
        for ((service, hour), counts) in changed {
            let run = shared.member.incarnation;
            let key = format!("{}{hour:08}/{run:016x}", burn_prefix(&service));
            let version = match self.versions.get(&key) {
                Some(version) => *version,
                None => shared.table.get(&key).await?.map_or(0, |row| row.version),
            };
            transaction.put(&key, version, &counts);
        }
        let keys: Vec<String> = transaction.writes.iter().map(|write| write.key.clone()).collect();
        let version = shared.table.commit(transaction).await?;
        self.versions.extend(keys.into_iter().map(|key| (key, version)));
        Ok(())
    }
}

/// Writes until the process stops.
pub fn spawn_flushes(shared: Arc<EntryShared>) {
    tokio::spawn(async move {
        let mut flush = BurnFlush::default();
        let mut flushes = 0_u32;
        while !shared.is_draining() {
            tokio::time::sleep(FLUSH_INTERVAL).await;
            if let Err(error) = flush.flush(&shared).await {
                log_event(Level::Info, "burn_not_written", &[("error", &error)]);
            }
            flushes = flushes.wrapping_add(1);
            if flushes.is_multiple_of(FLUSHES_PER_CLEANUP) {
                // What is not removed now is at the next look.
                let _ = remove_old(&shared).await;
            }
        }
    });
}

/// Sums up all services.
///
/// # Errors
///
/// As the table service gives them.
pub async fn read_burns(shared: &EntryShared) -> Result<Vec<ServiceBurn>, TableError> {
    let mut burns = Vec::new();
    for objective in objectives(shared) {
        let rows = shared.table.list(&burn_prefix(&objective.service)).await?;
        let hours: Vec<BurnHour> = rows.iter().filter_map(|row| row.decode().ok()).collect();
        burns.push(sum_up(&objective, &hours, shared.clock.wall_millis()));
    }
    Ok(burns)
}

fn objectives(shared: &EntryShared) -> Vec<BurnObjective> {
    shared.with_catalog(|catalog: &DocumentCatalog| {
        let documents = catalog.documents();
        let objectives = documents.map(|document| BurnObjective {
            service: document.name.clone(),
            latency: document.objective.latency,
            percent: document.objective.percent,
            window: document.objective.window,
        });
        objectives.collect()
    })
}

/// Removes rows past the window of the services that this entry looks after.
async fn remove_old(shared: &EntryShared) -> Result<(), TableError> {
    let now = clock::now();
    for objective in objectives(shared) {
        let partition = partition_of_team(&objective.service);
        if shared.view().acting_right(partition, now).is_none() {
            continue;
        }
        let oldest = hour_of(shared.clock.wall_millis())
            .saturating_sub(objective.window.as_secs() / 3_600 + 1);
        let rows = shared.table.list(&burn_prefix(&objective.service)).await?;
        let old = rows.iter().filter(|row| hour_of_row(row).is_some_and(|hour| hour < oldest));
        let mut transaction = TableTransaction::of(WritePriority::Report);
        for row in old.take(REMOVALS) {
            transaction.remove(&row.key, row.version);
        }
        if !transaction.writes.is_empty() {
            shared.table.commit(transaction).await?;
        }
    }
    Ok(())
}

fn hour_of_row(row: &TableRow) -> Option<u64> {
    row.key.rsplit('/').nth(1)?.parse().ok()
}
