//! Batches of rows that the planner stores in one transaction, and the handling of a commit or a
//! conflict.

use std::collections::BTreeMap;

use crate::connection::node_protocol::NodeOrder;
use crate::ids::InstanceId;
use crate::ids::JobId;
use crate::ids::RowVersion;
use crate::workflow::assigned_run::OrderDelivery;
use crate::workflow::planner::Planner;
use crate::workflow::planner_jobs::EndedJob;
use crate::workflow::planner_jobs::JobEntry;
use crate::workflow::progress::JobProgress;
use crate::workflow::progress::JobRecord;
use crate::workflow::progress::spec_digest;
use crate::workflow::worker_inventory::RunKey;

/// Maximum number of entries in a batch. The ownership row, the pulse row and the row of learned
/// interference are added, within the store's limit of 100 entries in a transaction.
const MAX_ENTRIES: usize = 96;
/// Entries that a write takes: the check of the row's version, and its new value.
const ENTRIES_PER_WRITE: usize = 2;
/// Maximum number of tasks whose state is written in a batch. At 120 bytes each, with worker and
/// checkpoint, they stay within the store's limit of 1 MB for a transaction.
const MAX_TASKS: usize = 6_000;

/// A row to write, on condition that its current version is the given one.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanWrite {
    /// Progress of a job; `None` removes the row.
    Progress(JobId, RowVersion, Option<JobProgress>),
    /// End of a job.
    End(JobId, RowVersion, JobRecord),
}

/// Rows stored in one transaction, with the orders and acknowledgements that depend on them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanBatch {
    /// Rows to write.
    pub writes: Vec<PlanWrite>,
    /// Jobs with starts that are stored or wait to be sent, and that the feed has not confirmed
    /// recently, with the versions that their rows must have: a job may have been cancelled.
    pub conditions: Vec<(JobId, RowVersion)>,
    /// Runs whose start orders are sent once the rows are stored.
    pub starts: Vec<(InstanceId, RunKey)>,
    /// For each worker, the number of the last run end that it may discard once the rows are
    /// stored.
    pub acks: BTreeMap<InstanceId, u64>,
}

impl PlanBatch {
    /// Collects changed jobs up to the limits of a transaction.
    pub(crate) fn take(planner: &mut Planner) -> Option<PlanBatch> {
        let mut batch = PlanBatch::default();
        let mut tasks = 0;
        while let Some(job) = planner.changed_jobs.first().cloned() {
            if let Some(entry) = planner.jobs.get(&job) {
                let writes = writes(&job, entry, planner.wall_ms);
                let condition = planner.start_condition(&job, entry);
                let entries = ENTRIES_PER_WRITE * writes.len() + usize::from(condition.is_some());
                tasks += entry.progress.task_count();
                let is_first = batch.writes.is_empty();
                if !is_first && (batch.entries() + entries > MAX_ENTRIES || tasks > MAX_TASKS) {
                    break;
                }
                batch.writes.extend(writes);
                batch.conditions.extend(condition);
                batch.starts.extend(planner.pending_starts.remove(&job).unwrap_or_default());
            }
            planner.changed_jobs.remove(&job);
        }
        if planner.changed_jobs.is_empty() {
            // All changes caused by the reported run ends are in this batch or stored already.
            batch.acks = std::mem::take(&mut planner.pending_acks);
        }
        if !batch.writes.is_empty() {
            return Some(batch);
        }
        planner.acked_ends.extend(batch.acks);
        None
    }

    fn entries(&self) -> usize {
        ENTRIES_PER_WRITE * self.writes.len() + self.conditions.len()
    }
}

fn writes(job: &str, entry: &JobEntry, wall_ms: u64) -> Vec<PlanWrite> {
    let mut writes = Vec::new();
    if !entry.is_finished() {
        let progress = entry.progress.clone();
        writes.push(PlanWrite::Progress(job.to_string(), entry.progress_version, Some(progress)));
    } else if entry.progress_version > 0 {
        writes.push(PlanWrite::Progress(job.to_string(), entry.progress_version, None));
    }
    if let (Some(end), false) = (entry.end, entry.end_stored) {
        let digest = spec_digest(&entry.spec);
        let record = JobRecord::Ended { end, digest, ended_ms: wall_ms };
        writes.push(PlanWrite::End(job.to_string(), entry.record_version, record));
    }
    writes
}

impl Planner {
    /// Returns the next batch of rows to store, if any row has changed.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.take_batch().is_none());
    /// ```
    pub fn take_batch(&mut self) -> Option<PlanBatch> {
        PlanBatch::take(self)
    }

    /// Returns the version that the row of a job must have for its starts to be stored or sent, if
    /// they depend on it.
    fn start_condition(&self, job: &JobId, entry: &JobEntry) -> Option<(JobId, RowVersion)> {
        let knowledge = self.job_knowledge.as_ref()?;
        let is_stored_unconfirmed = self.pending_starts.contains_key(job)
            && knowledge.needs_condition(entry.confirmed_at, self.now);
        let has_condition = is_stored_unconfirmed || self.unconfirmed_jobs.contains(job);
        (has_condition && entry.end.is_none()).then(|| (job.clone(), entry.record_version))
    }

    /// Records that a batch was stored with the given row version, and releases its start orders.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::planner::Planner;
    /// use greengagearch::workflow::planner_batch::PlanBatch;
    ///
    /// Planner::new(Instant::now()).on_committed(PlanBatch::default(), 1);
    /// ```
    pub fn on_committed(&mut self, batch: PlanBatch, version: RowVersion) {
        for write in batch.writes {
            match write {
                PlanWrite::Progress(job, _, progress) => {
                    if let Some(entry) = self.jobs.get_mut(&job) {
                        entry.progress_version = if progress.is_some() { version } else { 0 };
                    }
                    self.remove_if_finished(&job);
                }
                PlanWrite::End(job, _, record) => {
                    self.on_record(&job, version, record);
                    self.remove_if_finished(&job);
                }
            }
        }
        for (instance, key) in batch.starts {
            self.send_start(instance, &key);
        }
        self.acked_ends.extend(batch.acks);
    }

    /// Handles a batch that the store rejected because rows had changed. `newest` holds the current
    /// rows; the jobs of the batch are written again.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::planner::Planner;
    /// use greengagearch::workflow::planner_batch::PlanBatch;
    ///
    /// Planner::new(Instant::now()).on_conflict(PlanBatch::default(), Vec::new());
    /// ```
    pub fn on_conflict(&mut self, batch: PlanBatch, newest: Vec<(JobId, RowVersion, JobRecord)>) {
        for write in &batch.writes {
            let (PlanWrite::Progress(job, _, _) | PlanWrite::End(job, _, _)) = write;
            self.changed_jobs.insert(job.clone());
        }
        for (job, _) in &batch.conditions {
            self.unconfirmed_jobs.remove(job);
        }
        for (instance, key) in batch.starts {
            let job = key.0.job.clone();
            self.pending_starts.entry(job).or_default().push((instance, key));
        }
        for (instance, number) in batch.acks {
            let pending = self.pending_acks.entry(instance).or_default();
            *pending = number.max(*pending);
        }
        for (job, version, record) in newest {
            self.on_record(&job, version, record);
        }
    }

    /// Number of the worker's last run end that is stored, up to which the worker may discard ends.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.last_acked_end("i-1"), 0);
    /// ```
    pub fn last_acked_end(&self, instance: &str) -> u64 {
        self.acked_ends.get(instance).copied().unwrap_or(0)
    }

    /// Records the number of the last run end that a worker has reported. It is acknowledged when
    /// the changes that it caused are stored.
    pub(crate) fn record_reported_end(&mut self, instance: &str, number: u64) {
        self.pending_acks.insert(instance.to_string(), number);
        if let Some(worker) = self.inventory.get_mut(instance) {
            worker.reported_end = number;
        }
    }

    fn send_start(&mut self, instance: InstanceId, key: &RunKey) {
        let is_pending = self
            .inventory
            .get(&instance)
            .and_then(|worker| worker.assigned.get(key))
            .is_some_and(|run| run.delivery == OrderDelivery::Uncommitted);
        if !is_pending {
            return;
        }
        if let Some(order) = self.start_order(&instance, key) {
            if let Some(worker) = self.inventory.get_mut(&instance)
                && let Some(run) = worker.assigned.get_mut(key)
            {
                run.delivery = OrderDelivery::Queued;
                run.sent_traits = Some(order.traits.clone());
            }
            self.outbox.push((instance, NodeOrder::Start(order)));
        }
    }

    fn remove_if_finished(&mut self, job: &str) {
        let is_finished = self.jobs.get(job).is_some_and(|entry| {
            entry.is_finished() && entry.end_stored && entry.progress_version == 0
        });
        if is_finished && !self.changed_jobs.contains(job) {
            self.jobs.remove(job);
            self.unconfirmed_jobs.remove(job);
            self.advice.forget_job(job);
        }
    }

    /// Removes an ended job whose row was deleted from the store.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// greengagearch::workflow::planner::Planner::new(Instant::now()).on_record_removed("a");
    /// ```
    pub fn on_record_removed(&mut self, job: &str) {
        self.ended_jobs.remove(job);
    }

    /// Returns how and when a job ended, if it has ended.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.ended_job("a").is_none());
    /// ```
    pub fn ended_job(&self, job: &str) -> Option<EndedJob> {
        self.ended_jobs.get(job).copied()
    }
}
