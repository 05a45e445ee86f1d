//! What the planner stores in one transaction, and what it does when that has succeeded or not.

use std::collections::BTreeMap;

use crate::connection::node_protocol::NodeOrder;
use crate::ids::InstanceId;
use crate::ids::JobId;
use crate::ids::RowVersion;
use crate::workflow::planner::Planner;
use crate::workflow::planner_jobs::EndedJob;
use crate::workflow::planner_jobs::JobEntry;
use crate::workflow::progress::JobProgress;
use crate::workflow::progress::JobRecord;
use crate::workflow::progress::spec_digest;
use crate::workflow::worker_inventory::RunKey;

/// Most rows that change in one batch: each is a condition and a change, and the owner's row, the pulse and what was learned come
/// to them, within the store's limit of 100 entries a transaction.
const MOST_ROWS: usize = 48;
/// Most tasks whose state is written in one batch: at 120 bytes each, with worker and checkpoint, they stay within the store's limit of
/// 1 MB a transaction.
const MOST_TASKS: usize = 6_000;

/// One row that a batch writes, under the condition that it has the version that is named.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanWrite {
    /// The progress of a job; nothing to remove its row.
    Progress(JobId, RowVersion, Option<JobProgress>),
    /// The end of a job.
    End(JobId, RowVersion, JobRecord),
}

/// What is stored at once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanBatch {
    /// The rows.
    pub writes: Vec<PlanWrite>,
    /// Starts that become orders when the rows are stored.
    pub starts: Vec<(InstanceId, RunKey)>,
    /// Ends that workers may forget when the rows are stored.
    pub acks: BTreeMap<InstanceId, u64>,
}

impl PlanBatch {
    /// Takes what has changed out of the planner.
    pub(crate) fn take(planner: &mut Planner) -> Option<PlanBatch> {
        let mut batch = PlanBatch::default();
        let mut tasks = 0;
        while let Some(job) = planner.dirty.first().cloned() {
            if let Some(entry) = planner.jobs.get(&job) {
                let writes = writes(&job, entry, planner.wall_ms);
                tasks += entry.progress.task_count();
                let is_first = batch.writes.is_empty();
                if !is_first
                    && (batch.writes.len() + writes.len() > MOST_ROWS || tasks > MOST_TASKS)
                {
                    break;
                }
                batch.writes.extend(writes);
                batch.starts.extend(planner.held_starts.remove(&job).unwrap_or_default());
            }
            planner.dirty.remove(&job);
        }
        if planner.dirty.is_empty() {
            // Everything that the ends have changed is in this batch or stored already.
            batch.acks = std::mem::take(&mut planner.held_acks);
        }
        if !batch.writes.is_empty() {
            return Some(batch);
        }
        planner.stored_ends.extend(batch.acks);
        None
    }
}

fn writes(job: &str, entry: &JobEntry, wall_ms: u64) -> Vec<PlanWrite> {
    let mut writes = Vec::new();
    if !entry.is_over() {
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
    /// Takes note that a batch is stored under a version: its starts become orders.
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
                    self.forget_if_over(&job);
                }
                PlanWrite::End(job, _, record) => {
                    self.on_record(&job, version, record);
                    self.forget_if_over(&job);
                }
            }
        }
        for (instance, key) in batch.starts {
            self.release_start(instance, &key);
        }
        self.stored_ends.extend(batch.acks);
    }

    /// Takes note that a batch was refused, because rows had changed. Those that are given are the
    /// newest; the batch's jobs are stored anew.
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
            self.dirty.insert(job.clone());
        }
        for (instance, key) in batch.starts {
            let job = key.0.job.clone();
            self.held_starts.entry(job).or_default().push((instance, key));
        }
        for (instance, number) in batch.acks {
            let held = self.held_acks.entry(instance).or_default();
            *held = number.max(*held);
        }
        for (job, version, record) in newest {
            self.on_record(&job, version, record);
        }
    }

    fn release_start(&mut self, instance: InstanceId, key: &RunKey) {
        let is_wanted = self
            .inventory
            .get(&instance)
            .and_then(|worker| worker.assigned.get(key))
            .is_some_and(|run| run.order.is_none());
        if !is_wanted {
            return;
        }
        if let Some(order) = self.start_order(&instance, key) {
            // Until it has its number the order counts as sent, so that it is stopped, not taken back.
            if let Some(worker) = self.inventory.get_mut(&instance)
                && let Some(run) = worker.assigned.get_mut(key)
            {
                run.order = Some(u64::MAX);
                run.told = Some(order.traits.clone());
            }
            self.outbox.push((instance, NodeOrder::Start(order)));
        }
    }

    fn forget_if_over(&mut self, job: &str) {
        let is_over = self.jobs.get(job).is_some_and(|entry| {
            entry.is_over() && entry.end_stored && entry.progress_version == 0
        });
        if is_over && !self.dirty.contains(job) {
            self.jobs.remove(job);
            self.advice.forget(job);
        }
    }

    /// Forgets an ended job whose row was removed.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// greengagearch::workflow::planner::Planner::new(Instant::now()).on_record_removed("a");
    /// ```
    pub fn on_record_removed(&mut self, job: &str) {
        self.ended.remove(job);
    }

    /// The end of a job, if it has ended.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.ended_job("a").is_none());
    /// ```
    pub fn ended_job(&self, job: &str) -> Option<EndedJob> {
        self.ended.get(job).copied()
    }
}
