//! What the planner's loop writes to the store, one transaction at a time.

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
use crate::process::planning::commit_writer::CommitFate;
use crate::process::planning::commit_writer::commit;
use crate::process::planning::decision_log::log_load;
use crate::process::planning::planner_loop::PlannerLoop;
use crate::process::planning::planner_loop::StepResult;
use crate::process::planning::rows::IMAGES_KEY;
use crate::process::planning::rows::JOB_TABLE;
use crate::process::planning::rows::LEARNED_TABLE;
use crate::process::planning::rows::OWNER_TABLE;
use crate::process::planning::rows::OwnerRow;
use crate::process::planning::rows::PARTITION;
use crate::process::planning::rows::PULSE_KEY;
use crate::process::planning::rows::PulseRow;
use crate::process::planning::rows::batch_transaction;
use crate::process::planning::rows::encode;
use crate::process::planning::rows::job_records;
use crate::process::planning::rows::owner_row;
use crate::workflow::planner::Planner;
use crate::workflow::planner_batch::PlanBatch;

/// Time between two pulses.
const PULSE: Duration = Duration::from_millis(400);
/// Time between two writes of what was learned of images: pairs change over tens of seconds.
pub(super) const LEARNED_PERIOD: Duration = Duration::from_secs(4);
/// Time between two lines of the log that tell what waits and runs.
const LOAD_LOG: Duration = Duration::from_secs(2);
/// Time for giving the ownership back at a graceful stop.
const RELEASE_LIMIT: Duration = Duration::from_millis(1_500);
/// Ended jobs' rows that are removed at once.
const FORGET_AT_ONCE: usize = 40;

/// What a write was for.
pub(super) enum WritePurpose {
    Batch(PlanBatch),
    Pulse,
    Forget(Vec<JobId>),
}

/// A write that is on its way.
pub(super) type WriteTask = JoinHandle<(WritePurpose, RowTransaction, CommitFate)>;

impl PlannerLoop {
    pub(super) fn on_written(
        &mut self,
        written: (WritePurpose, RowTransaction, CommitFate),
    ) -> StepResult {
        self.write = None;
        let (purpose, transaction, fate) = written;
        match fate {
            CommitFate::Stored(version, proof) => {
                if let (Some(owned), Some(proof)) = (self.shared.owned().as_mut(), proof) {
                    owned.proof = owned.proof.max(proof);
                }
                self.on_stored(purpose, version);
                Ok(())
            }
            CommitFate::Refused(rows) => self.on_refused(purpose, &transaction, &rows),
        }
    }

    pub(super) fn on_stored(&mut self, purpose: WritePurpose, version: RowVersion) {
        self.with_planner(|planner| match purpose {
            WritePurpose::Batch(batch) => planner.on_committed(batch, version),
            WritePurpose::Forget(jobs) => {
                jobs.iter().for_each(|job| planner.on_record_removed(job))
            }
            WritePurpose::Pulse => {}
        });
    }

    pub(super) fn on_refused(
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
                // Another planner has written, or a write of ours was taken for lost; both are
                // mended by taking over anew from what is stored.
                return Err(format!("{} {} has version {found}", name.table, name.key));
            }
        }
        let newest = job_records(rows);
        self.with_planner(|planner| match purpose {
            WritePurpose::Batch(batch) => planner.on_conflict(batch, newest),
            WritePurpose::Pulse => {}
            // A row that was to be forgotten has changed; it is tried again with its new version.
            WritePurpose::Forget(_) => newest
                .into_iter()
                .for_each(|(job, version, record)| planner.on_record(&job, version, record)),
        });
        Ok(())
    }

    pub(super) fn next_write(&mut self) -> Option<WriteTask> {
        let is_pulse_due = clock::now() >= self.pulse_due;
        if let Some(batch) = self.with_planner(Planner::take_batch).flatten() {
            let mut transaction =
                batch_transaction(&batch, self.proof.version, self.shared.settings.layout);
            if is_pulse_due {
                // Batches may follow each other without a pause; others see only the pulse.
                self.add_pulse(&mut transaction);
            }
            return Some(self.spawn_write(WritePurpose::Batch(batch), transaction));
        }
        if !is_pulse_due {
            return None;
        }
        let kept_for = self.shared.settings.kept_for;
        let expired = self.with_planner(|planner| planner.expired_records(kept_for));
        let expired = expired.unwrap_or_default();
        if !expired.is_empty() {
            return Some(self.write_forget(expired));
        }
        let mut transaction = self.bound_transaction();
        self.add_pulse(&mut transaction);
        Some(self.spawn_write(WritePurpose::Pulse, transaction))
    }

    /// Adds the pulse, and what goes with it.
    fn add_pulse(&mut self, transaction: &mut RowTransaction) {
        let now = clock::now();
        self.pulse_due = now + PULSE;
        let pending = self.with_planner(|planner| planner.pending()).unwrap_or_default();
        if now >= self.load_log_due {
            self.load_log_due = now + LOAD_LOG;
            if let Some(owned) = self.shared.owned().as_ref() {
                log_load(self.proof.owner.epoch, &owned.planner);
            }
        }
        let pulse = PulseRow { epoch: self.proof.owner.epoch, pending };
        let name = RowName::new(OWNER_TABLE, PARTITION, PULSE_KEY);
        transaction.puts.push((name, encode(&pulse)));
        if now >= self.learned_due {
            self.learned_due = now + LEARNED_PERIOD;
            self.add_learned(transaction);
        }
    }

    /// Adds what was learned of images, if that is something new.
    fn add_learned(&mut self, transaction: &mut RowTransaction) {
        let learned = self.with_planner(|planner| planner.learned()).unwrap_or_default();
        if learned != self.learned {
            let name = RowName::new(LEARNED_TABLE, PARTITION, IMAGES_KEY);
            transaction.puts.push((name, encode(&learned)));
            self.learned = learned;
        }
    }

    pub(super) fn write_forget(&mut self, mut expired: Vec<(JobId, RowVersion)>) -> WriteTask {
        expired.truncate(FORGET_AT_ONCE);
        let mut transaction = self.bound_transaction();
        self.add_pulse(&mut transaction);
        for (job, version) in &expired {
            let name = self.shared.settings.layout.row(job);
            transaction.expected.push((name.clone(), *version));
            transaction.removes.push(name);
        }
        let jobs = expired.into_iter().map(|(job, _)| job).collect();
        self.spawn_write(WritePurpose::Forget(jobs), transaction)
    }

    /// A transaction that only the owner's own epoch can apply.
    pub(super) fn bound_transaction(&self) -> RowTransaction {
        RowTransaction {
            expected: vec![(owner_row(), self.proof.version)],
            ..RowTransaction::default()
        }
    }

    pub(super) fn spawn_write(
        &self,
        purpose: WritePurpose,
        transaction: RowTransaction,
    ) -> WriteTask {
        let store = self.shared.store.clone();
        tokio::spawn(async move {
            let fate = commit(store, &transaction).await;
            (purpose, transaction, fate)
        })
    }

    /// Gives the ownership back, so that another process takes over at once.
    pub(super) async fn release(&mut self) {
        let released = OwnerRow { released: true, ..self.proof.owner.clone() };
        let mut transaction = self.bound_transaction();
        transaction.puts.push((owner_row(), encode(&released)));
        let store = self.shared.store.clone();
        let release = async {
            if let Some(write) = self.write.take() {
                // Its fate is found by the next owner.
                let _ = write.await;
            }
            commit(store, &transaction).await
        };
        let is_released = tokio::time::timeout(RELEASE_LIMIT, release).await.is_ok();
        log_event(Level::Info, "ownership_released", &[("released", &is_released)]);
    }
}

/// The end of the write on its way; never, when there is none.
pub(super) async fn written(
    write: &mut Option<WriteTask>,
) -> (WritePurpose, RowTransaction, CommitFate) {
    if let Some(task) = write
        && let Ok(written) = task.await
    {
        return written;
    }
    std::future::pending().await
}
