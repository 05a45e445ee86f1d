//! The workers as their rows were last read or written.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::connection::worker_row::WorkerRow;
use crate::external::table::TableError;
use crate::external::table::TableRow;
use crate::external::worker::ResourceAmount;
use crate::ids::RowVersion;
use crate::ids::TeamName;
use crate::ids::WorkerId;
use crate::process::entry::task_board::VersionedRow;

/// The workers as their rows were last read or written.
#[derive(Debug, Default)]
pub struct FleetBoard {
    workers: BTreeMap<WorkerId, VersionedRow<WorkerRow>>,
    stale: BTreeSet<WorkerId>,
    read_at: Option<Instant>,
}

impl FleetBoard {
    /// Whether all rows should be read: never read, or longer ago than `limit`.
    pub fn is_due(&self, limit: Duration, now: Instant) -> bool {
        self.read_at.is_none_or(|at| now.saturating_duration_since(at) >= limit)
    }

    /// Takes in all rows, read at `now`.
    ///
    /// # Errors
    ///
    /// [`TableError::Malformed`] when a row is not a worker.
    pub fn replace_all(&mut self, rows: Vec<TableRow>, now: Instant) -> Result<(), TableError> {
        self.workers.clear();
        self.stale.clear();
        for row in rows {
            self.replace(&row)?;
        }
        self.read_at = Some(now);
        Ok(())
    }

    /// Takes in one row.
    ///
    /// # Errors
    ///
    /// [`TableError::Malformed`] when the row is not a worker.
    pub fn replace(&mut self, row: &TableRow) -> Result<(), TableError> {
        let worker = VersionedRow { version: row.version, row: row.decode::<WorkerRow>()? };
        self.stale.remove(&worker.row.worker);
        self.workers.insert(worker.row.worker.clone(), worker);
        Ok(())
    }

    /// Takes in a row that was just written under this version.
    pub fn keep(&mut self, row: WorkerRow, version: RowVersion) {
        self.workers.insert(row.worker.clone(), VersionedRow { version, row });
    }

    /// Says that somebody else has changed a worker's row.
    pub fn mark_stale(&mut self, worker: &str) {
        self.stale.insert(worker.to_string());
    }

    /// Has all rows read at the next need.
    pub fn distrust(&mut self) {
        self.read_at = None;
    }

    /// Workers whose rows should be read again.
    pub fn stale(&self) -> Vec<WorkerId> {
        self.stale.iter().cloned().collect()
    }

    /// A worker.
    pub fn worker(&self, worker: &str) -> Option<&VersionedRow<WorkerRow>> {
        self.workers.get(worker)
    }

    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerRow> {
        self.workers.values().map(|worker| &worker.row)
    }

    /// The largest amount of each resource that a worker has.
    pub fn largest_host(&self) -> ResourceAmount {
        let capacities = self.workers().map(|row| row.capacity);
        capacities.fold(ResourceAmount::default(), |most, one| ResourceAmount {
            millicores: most.millicores.max(one.millicores),
            memory_mib: most.memory_mib.max(one.memory_mib),
            accelerators: most.accelerators.max(one.accelerators),
        })
    }

    /// What each team's committed tasks use.
    pub fn used_by_team(&self) -> BTreeMap<TeamName, ResourceAmount> {
        let mut used: BTreeMap<TeamName, ResourceAmount> = BTreeMap::new();
        for task in self.workers().flat_map(|row| row.tasks.values()) {
            let sum = used.entry(task.team.clone()).or_default();
            *sum = sum.plus(&task.resources);
        }
        used
    }
}
