//! Leases of workers: claims of new agents, and recovery of workers whose agent is silent.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use log::Level;

use crate::connection::cluster_map::CLUSTER_KEY;
use crate::connection::cluster_map::ClusterTiming;
use crate::connection::cluster_map::partition_of_worker;
use crate::connection::protocol::ClaimReply;
use crate::connection::protocol::WorkerClaim;
use crate::connection::rpc_client::call_within;
use crate::connection::worker_row::WORKER_PREFIX;
use crate::connection::worker_row::WorkerRow;
use crate::connection::worker_row::parse_task_name;
use crate::connection::worker_row::worker_key;
use crate::external::table::TableError;
use crate::external::table::TableRow;
use crate::external::table::TableTransaction;
use crate::external::write_budget::WritePriority;
use crate::ids::JobId;
use crate::ids::LeaseEpoch;
use crate::ids::RowVersion;
use crate::ids::WorkerId;
use crate::process::clock;
use crate::process::entry::shared::EntryShared;
use crate::process::logging::log_event;
use crate::request::job::TaskRow;
use crate::request::job::TaskState;
use crate::request::job::task_key;

/// Heartbeats that an agent may miss before its worker's lease is taken from it.
const BEATS_TO_RECOVER: u32 = 4;
/// Longest wait for another entry's word on a worker.
const PEER_CALL: Duration = Duration::from_millis(500);
/// Time after which the names of all workers are listed again.
const LIST_INTERVAL: Duration = Duration::from_secs(30);
/// Tasks that are requeued in one transaction; bounds the size of the write and paces recovery.
const REQUEUE_GROUP: usize = 16;

/// When the tasks of workers whose lease was taken may be requeued.
#[derive(Debug, Default)]
pub struct RecoveryPlan {
    ready_at: HashMap<(WorkerId, LeaseEpoch), Instant>,
}

impl RecoveryPlan {
    /// Takes in a row whose lease nobody holds, seen at `now`; gives whether its tasks may be
    /// requeued, which is one takeover wait after it was first seen.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::worker_row::WorkerRow;
    /// use greengagearch::process::entry::worker_desk::RecoveryPlan;
    ///
    /// let now = Instant::now();
    /// let second = Duration::from_secs(1);
    /// let mut plan = RecoveryPlan::default();
    /// assert!(!plan.is_ready(&WorkerRow::default(), second, now));
    /// assert!(plan.is_ready(&WorkerRow::default(), second, now + second));
    /// ```
    pub fn is_ready(&mut self, row: &WorkerRow, wait: Duration, now: Instant) -> bool {
        let key = (row.worker.clone(), row.epoch);
        now >= *self.ready_at.entry(key).or_insert(now + wait)
    }
}

/// Looks for workers whose agent is silent, takes their leases and requeues their tasks.
pub struct WorkerRecovery {
    shared: Arc<EntryShared>,
    plan: RecoveryPlan,
    started: Instant,
    next_poll_number: Instant,
    listed_at: Option<Instant>,
    workers: BTreeSet<WorkerId>,
}

impl WorkerRecovery {
    /// A recovery on behalf of the entry of `shared`.
    pub fn new(shared: Arc<EntryShared>) -> WorkerRecovery {
        let now = clock::now();
        WorkerRecovery {
            shared,
            plan: RecoveryPlan::default(),
            started: now,
            next_poll_number: now,
            listed_at: None,
            workers: BTreeSet::new(),
        }
    }

    /// Takes a look when it is time for one; gives the jobs whose tasks were requeued.
    ///
    /// # Errors
    ///
    /// As the table service gives them; the next look goes on from there.
    pub async fn look(&mut self, now: Instant) -> Result<BTreeSet<JobId>, TableError> {
        let timing = self.shared.view().map().timing;
        let limit = timing.agent_beat() * BEATS_TO_RECOVER;
        // An entry that has just started has heard of nobody yet.
        let is_early = clock::elapsed(self.started) < limit || now < self.next_poll_number;
        if is_early || !self.shared.view().may_take_over_workers(now) {
            return Ok(BTreeSet::new());
        }
        self.next_poll_number = now + timing.agent_beat() / 2;
        self.list_workers(now).await?;
        let mut jobs = BTreeSet::new();
        for worker in self.workers.clone() {
            let is_silent =
                self.shared.looks_after(&worker) && self.shared.is_silent(&worker, limit);
            if is_silent && !self.shared.is_heard_elsewhere(&worker, limit).await {
                jobs.extend(self.recover(&worker, &timing).await?);
            }
        }
        Ok(jobs)
    }

    /// Learns the names of all workers now and then; the rows of the silent ones are read one by
    /// one.
    async fn list_workers(&mut self, now: Instant) -> Result<(), TableError> {
        if self.listed_at.is_some_and(|at| now < at + LIST_INTERVAL) {
            self.workers.extend(self.shared.agents().keys().cloned());
            return Ok(());
        }
        let rows = self.shared.table.list(WORKER_PREFIX).await?;
        let names = rows.iter().filter_map(|row| row.key.strip_prefix(WORKER_PREFIX));
        self.workers = names.map(str::to_string).collect();
        self.listed_at = Some(now);
        Ok(())
    }

    async fn recover(
        &mut self,
        worker: &str,
        timing: &ClusterTiming,
    ) -> Result<BTreeSet<JobId>, TableError> {
        let Some(row) = self.shared.table.get(&worker_key(worker)).await? else {
            return Ok(BTreeSet::new());
        };
        let worker: WorkerRow = row.decode()?;
        if worker.holder != 0 {
            self.shared.take_silent_worker(&row, worker).await?;
            return Ok(BTreeSet::new());
        }
        let wait = timing.worker_lease().takeover_wait();
        if worker.tasks.is_empty() || !self.plan.is_ready(&worker, wait, clock::now()) {
            return Ok(BTreeSet::new());
        }
        self.shared.requeue_tasks(&row, worker).await
    }
}

impl EntryShared {
    /// Gives a worker's lease to a new run of its agent.
    pub async fn claim_worker(&self, claim: WorkerClaim) -> ClaimReply {
        match self.try_claim(&claim).await {
            Ok(reply) => reply,
            Err(error) => {
                let pairs: [(&str, &dyn std::fmt::Display); 2] =
                    [("worker", &claim.worker), ("error", &error)];
                log_event(Level::Info, "claim_failed", &pairs);
                ClaimReply::Later
            }
        }
    }

    async fn try_claim(&self, claim: &WorkerClaim) -> Result<ClaimReply, TableError> {
        let key = worker_key(&claim.worker);
        let current = self.table.get(&key).await?;
        let version = current.as_ref().map_or(0, |row| row.version);
        let known: Option<WorkerRow> = current.as_ref().map(TableRow::decode).transpose()?;
        let wait = self.view().map().timing.worker_lease().takeover_wait();
        if let Some(row) = known.as_ref().filter(|row| row.holder == claim.incarnation) {
            // A repeat after a lost answer.
            return Ok(ClaimReply::Claimed { epoch: row.epoch, wait });
        }
        let is_free = known.as_ref().is_none_or(|row| row.released);
        let mut row = known.unwrap_or_default();
        row.worker = claim.worker.clone();
        row.domain = claim.domain.clone();
        row.rack = claim.rack.clone();
        row.address = claim.address.clone();
        row.capacity = claim.capacity;
        row.holder = claim.incarnation;
        row.released = false;
        row.epoch += 1;
        let epoch = row.epoch;
        self.take_lease(&key, version, &row).await?;
        let wait = if is_free { Duration::ZERO } else { wait };
        Ok(ClaimReply::Claimed { epoch, wait })
    }

    /// Writes a worker's row with a new epoch; only a member of the newest cluster map can.
    async fn take_lease(
        &self,
        key: &str,
        version: RowVersion,
        row: &WorkerRow,
    ) -> Result<RowVersion, TableError> {
        let cluster_version = {
            let mut view = self.view();
            if !view.may_take_over_workers(clock::now()) {
                return Err(TableError::Unavailable);
            }
            view.supersede(key, row.epoch);
            view.row_version().unwrap_or(0)
        };
        let mut transaction = TableTransaction::of(WritePriority::Lease);
        transaction.check(CLUSTER_KEY, cluster_version);
        transaction.put(key, version, row);
        self.table.commit(transaction).await
    }

    fn looks_after(&self, worker: &str) -> bool {
        let partition = partition_of_worker(worker);
        self.view().acting_right(partition, clock::now()).is_some()
    }

    fn is_silent(&self, worker: &str, limit: Duration) -> bool {
        let agents = self.agents();
        agents.get(worker).is_none_or(|agent| clock::elapsed(agent.heard) > limit)
    }

    /// Whether another entry hears of a worker that is silent here: then the line between the worker
    /// and this entry is at fault, and the worker is not.
    async fn is_heard_elsewhere(&self, worker: &str, limit: Duration) -> bool {
        let members = self.view().map().members.clone();
        let others = members.iter().filter(|one| one.incarnation != self.member.incarnation);
        let asked = others.map(|member| async {
            let client = self.entry_connections.client(&member.address).await.ok()?;
            client.time_since_contact(call_within(PEER_CALL), worker.to_string()).await.ok()?
        });
        let heard = join_all(asked).await;
        heard.into_iter().flatten().any(|ago| ago <= limit)
    }

    async fn take_silent_worker(
        &self,
        row: &TableRow,
        mut worker: WorkerRow,
    ) -> Result<(), TableError> {
        worker.holder = 0;
        worker.epoch += 1;
        self.take_lease(&row.key, row.version, &worker).await?;
        let tasks = worker.tasks.len();
        let pairs: [(&str, &dyn std::fmt::Display); 3] =
            [("worker", &worker.worker), ("epoch", &worker.epoch), ("tasks", &tasks)];
        log_event(Level::Warn, "worker_lost", &pairs);
        Ok(())
    }

    /// Moves some of a lost worker's tasks back to the queue, in one transaction; gives their jobs.
    async fn requeue_tasks(
        &self,
        row: &TableRow,
        mut worker: WorkerRow,
    ) -> Result<BTreeSet<JobId>, TableError> {
        let names: Vec<String> = worker.tasks.keys().take(REQUEUE_GROUP).cloned().collect();
        let mut transaction = TableTransaction::of(WritePriority::End);
        let mut jobs = BTreeSet::new();
        for name in &names {
            let committed = worker.tasks.remove(name);
            let Some((job, index)) = parse_task_name(name) else {
                continue;
            };
            jobs.insert(job.clone());
            let key = task_key(&job, index);
            let Some(task_row) = self.table.get(&key).await? else {
                continue;
            };
            let mut task: TaskRow = task_row.decode()?;
            let is_here = task.state == TaskState::Committed { worker: worker.worker.clone() };
            if is_here && committed.is_some_and(|one| one.attempt == task.attempt) {
                task.state = TaskState::Queued;
                transaction.put(&key, task_row.version, &task);
            }
        }
        transaction.put(&row.key, row.version, &worker);
        self.table.commit(transaction).await?;
        self.metrics.tasks.with_label_values(&["requeued"]).inc_by(names.len() as u64);
        let count = names.len();
        let pairs: [(&str, &dyn std::fmt::Display); 2] =
            [("worker", &worker.worker), ("tasks", &count)];
        log_event(Level::Info, "tasks_requeued", &pairs);
        Ok(jobs)
    }
}
