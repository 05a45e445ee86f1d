//! Writes of the planner's loop to the store, one transaction at a time.

use std::time::Duration;

use log::Level;
use tokio::task::JoinHandle;

use crate::external::row_store::RowName;
use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::ids::JobId;
use crate::ids::RowVersion;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::planning::commit_writer::CommitOutcome;
use crate::process::planning::commit_writer::StoredCommit;
use crate::process::planning::commit_writer::commit_until_settled;
use crate::process::planning::decision_log::log_load;
use crate::process::planning::decision_log::publish_shares;
use crate::process::planning::host_admission::next_forecast;
use crate::process::planning::job_rows::apply_conflict;
use crate::process::planning::job_rows::apply_job_rows;
use crate::process::planning::planner_loop::PlannerLoop;
use crate::process::planning::planner_loop::StepResult;
use crate::process::planning::rows::HeartbeatRow;
use crate::process::planning::rows::IMAGES_KEY;
use crate::process::planning::rows::JOB_TABLE;
use crate::process::planning::rows::LEARNED_TABLE;
use crate::process::planning::rows::OWNER_TABLE;
use crate::process::planning::rows::OwnerRow;
use crate::process::planning::rows::PARTITION;
use crate::process::planning::rows::PULSE_KEY;
use crate::process::planning::rows::batch_transaction;
use crate::process::planning::rows::encode;
use crate::process::planning::rows::owner_row;
use crate::workflow::planner::Planner;
use crate::workflow::planner_batch::PlanBatch;

/// Time between two heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);
/// Time between two writes of the learned interference, which changes over tens of seconds.
pub(super) const INTERFERENCE_PERIOD: Duration = Duration::from_secs(4);
/// Time between two log lines with the planner's load.
const LOAD_LOG_PERIOD: Duration = Duration::from_secs(2);
/// Timeout of releasing the ownership at a graceful stop.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of rows of ended jobs that one transaction removes.
const MAX_REMOVED_JOBS: usize = 40;

/// Purpose of a write.
pub(super) enum WritePurpose {
    /// Progress and ends of jobs.
    Batch(PlanBatch),
    /// The owner's heartbeat alone.
    Heartbeat,
    /// Removal of the rows of these jobs, whose retention has ended.
    RemoveExpired(Vec<JobId>),
}

/// A write in flight.
pub(super) type WriteTask = JoinHandle<(WritePurpose, RowTransaction, CommitOutcome)>;

impl PlannerLoop {
    /// Handles the end of the write in flight. Fails if the ownership is lost.
    pub(super) fn on_write_result(
        &mut self,
        result: (WritePurpose, RowTransaction, CommitOutcome),
    ) -> StepResult {
        self.write = None;
        let (purpose, transaction, outcome) = result;
        match outcome {
            CommitOutcome::Stored(stored) => {
                if let Some(owned) = self.shared.owned().as_mut() {
                    owned.confirmed_at = owned.confirmed_at.max(stored.confirmed_at);
                }
                self.on_stored(purpose, &stored);
                Ok(())
            }
            CommitOutcome::Conflict(rows) => self.on_conflict(purpose, &transaction, &rows),
        }
    }

    pub(super) fn on_stored(&mut self, purpose: WritePurpose, stored: &StoredCommit) {
        self.with_planner(|planner| match purpose {
            WritePurpose::Batch(batch) => {
                let conditions = batch.conditions.clone();
                planner.on_committed(batch, stored.version);
                apply_job_rows(planner, &stored.rows);
                planner.on_rows_confirmed(&conditions, stored.confirmed_at);
            }
            WritePurpose::RemoveExpired(jobs) => {
                jobs.iter().for_each(|job| planner.on_record_removed(job))
            }
            WritePurpose::Heartbeat => {}
        });
    }

    /// Handles a conflict. Only job rows may have changed, for example by a cancellation; any other
    /// changed row ends planning.
    pub(super) fn on_conflict(
        &mut self,
        purpose: WritePurpose,
        transaction: &RowTransaction,
        rows: &[StoredRow],
    ) -> StepResult {
        let current = |name: &RowName| rows.iter().find(|row| row.name == *name);
        for (name, version) in &transaction.expected {
            let found =
                current(name).filter(|row| row.value.is_some()).map_or(0, |row| row.version);
            if found != *version && name.table != JOB_TABLE {
                // Another owner has written, or a write of this one was applied although it was
                // considered lost. In both cases planning ends here, and the next takeover reloads
                // what is stored.
                return Err(format!(
                    "row {} {} was changed (version {found})",
                    name.table, name.key
                ));
            }
        }
        self.with_planner(|planner| {
            if let WritePurpose::Batch(batch) = purpose {
                planner.on_conflict(batch, Vec::new());
            }
            // The rows of expired jobs may have changed as well; their removal is retried with the
            // new versions.
            apply_conflict(planner, transaction, rows);
        });
        Ok(())
    }

    /// Starts the next write, if there is one: a batch of the planner, else what is due at the
    /// heartbeat.
    pub(super) fn next_write(&mut self) -> Option<WriteTask> {
        let is_heartbeat_due = clock::now() >= self.heartbeat_due;
        if let Some(batch) = self.with_planner(Planner::take_batch).flatten() {
            let mut transaction =
                batch_transaction(&batch, self.ownership.version, self.shared.settings.layout);
            if is_heartbeat_due {
                // Batches may follow each other without a pause, and other processes watch only the
                // heartbeat.
                self.add_heartbeat(&mut transaction);
            }
            return Some(self.spawn_write(WritePurpose::Batch(batch), transaction));
        }
        if !is_heartbeat_due {
            return None;
        }
        let retention = self.shared.settings.ended_job_retention;
        let expired = self.with_planner(|planner| planner.expired_records(retention));
        let expired = expired.unwrap_or_default();
        if !expired.is_empty() {
            return Some(self.write_removal(expired));
        }
        let mut transaction = self.owner_transaction();
        self.add_heartbeat(&mut transaction);
        Some(self.spawn_write(WritePurpose::Heartbeat, transaction))
    }

    /// Adds the heartbeat, and the learned interference when it is due. Logs the load when that is
    /// due.
    fn add_heartbeat(&mut self, transaction: &mut RowTransaction) {
        let now = clock::now();
        self.heartbeat_due = now + HEARTBEAT_PERIOD;
        let pending = self.with_planner(|planner| planner.pending()).unwrap_or_default();
        if now >= self.load_log_due {
            self.load_log_due = now + LOAD_LOG_PERIOD;
            if let Some(owned) = self.shared.owned().as_ref() {
                log_load(self.ownership.owner.epoch, &owned.planner);
                publish_shares(&self.shared.metrics, &owned.planner);
            }
        }
        let speeds = self.with_planner(|planner| planner.slow_workers());
        if let Some((slow, ejected)) = speeds.flatten() {
            self.shared.metrics.set_worker_speeds(&slow, ejected);
        }
        let evacuated_services =
            self.with_planner(|planner| planner.evacuated_services()).unwrap_or_default();
        let evacuations =
            self.with_planner(|planner| planner.evacuation_summary()).unwrap_or_default();
        self.shared.metrics.evacuations.show(&evacuations);
        let epoch = self.ownership.owner.epoch;
        let admission = next_forecast(&self.shared, epoch);
        let heartbeat = HeartbeatRow {
            epoch,
            pending,
            evacuated_services,
            admission,
            evacuations,
            has_settled: self.has_settled(),
        };
        let name = RowName::new(OWNER_TABLE, PARTITION, PULSE_KEY);
        transaction.puts.push((name, encode(&heartbeat)));
        if now >= self.interference_due {
            self.interference_due = now + INTERFERENCE_PERIOD;
            self.add_interference(transaction);
        }
    }

    /// Adds the learned interference, if it has changed since the last write.
    fn add_interference(&mut self, transaction: &mut RowTransaction) {
        let learned = self.with_planner(|planner| planner.learned()).unwrap_or_default();
        if learned != self.written_interference {
            let name = RowName::new(LEARNED_TABLE, PARTITION, IMAGES_KEY);
            transaction.puts.push((name, encode(&learned)));
            self.written_interference = learned;
        }
    }

    /// Starts the removal of the rows of expired jobs, together with a heartbeat.
    pub(super) fn write_removal(&mut self, mut expired: Vec<(JobId, RowVersion)>) -> WriteTask {
        expired.truncate(MAX_REMOVED_JOBS);
        let mut transaction = self.owner_transaction();
        self.add_heartbeat(&mut transaction);
        for (job, version) in &expired {
            let name = self.shared.settings.layout.row(job);
            transaction.expected.push((name.clone(), *version));
            transaction.removes.push(name);
        }
        let jobs = expired.into_iter().map(|(job, _)| job).collect();
        self.spawn_write(WritePurpose::RemoveExpired(jobs), transaction)
    }

    /// Creates an empty transaction that is applied only while this process is still the owner.
    pub(super) fn owner_transaction(&self) -> RowTransaction {
        RowTransaction {
            expected: vec![(owner_row(), self.ownership.version)],
            ..RowTransaction::default()
        }
    }

    /// Starts a task that commits `transaction`.
    pub(super) fn spawn_write(
        &self,
        purpose: WritePurpose,
        transaction: RowTransaction,
    ) -> WriteTask {
        let store = self.shared.store.clone();
        tokio::spawn(async move {
            let outcome = commit_until_settled(store, &transaction).await;
            (purpose, transaction, outcome)
        })
    }

    /// Creates the transaction that releases the ownership.
    pub(super) fn release_transaction(&self) -> RowTransaction {
        let released = OwnerRow { released: true, ..self.ownership.owner.clone() };
        let mut transaction = self.owner_transaction();
        transaction.puts.push((owner_row(), encode(&released)));
        transaction
    }

    /// Releases the ownership, so that another process takes over without the takeover timeout.
    pub(super) async fn release(&mut self) {
        let transaction = self.release_transaction();
        let store = self.shared.store.clone();
        let release = async {
            if let Some(write) = self.write.take() {
                // The next owner reads the outcome of this write from the store.
                let _ = write.await;
            }
            commit_until_settled(store, &transaction).await
        };
        let is_released = tokio::time::timeout(RELEASE_TIMEOUT, release).await.is_ok();
        log_event(Level::Info, "ownership_released", &[("released", &is_released)]);
    }
}

/// Waits for the write in flight. Never returns if there is none.
pub(super) async fn write_result(
    write: &mut Option<WriteTask>,
) -> (WritePurpose, RowTransaction, CommitOutcome) {
    if let Some(task) = write
        && let Ok(result) = task.await
    {
        return result;
    }
    std::future::pending().await
}
