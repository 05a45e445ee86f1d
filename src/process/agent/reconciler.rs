//! Makes the worker run what its row says: one actor, one step at a time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Context;
use kameo::message::Message;
use log::Level;

use crate::connection::rpc_client::call_within;
use crate::connection::worker_row::WorkerRow;
use crate::connection::worker_row::parse_task_name;
use crate::connection::worker_row::task_name;
use crate::connection::worker_row::worker_key;
use crate::external::table::TableError;
use crate::external::table::TableTransaction;
use crate::external::worker::AttemptKey;
use crate::external::worker::AttemptReport;
use crate::external::worker::AttemptState;
use crate::external::worker::ResourceAmount;
use crate::external::worker::TaskStart;
use crate::external::worker::WorkerControl;
use crate::external::worker::WorkerError;
use crate::external::worker::WorkerStatus;
use crate::external::write_budget::WritePriority;
use crate::ids::JobId;
use crate::ids::RowVersion;
use crate::process::agent::attempt_ends::ended_attempts;
use crate::process::agent::lease_keeper::LeaseKeeper;
use crate::process::agent::lease_keeper::RowReading;
use crate::process::agent::renewal::lease_end;
use crate::process::agent::shared::AgentShared;
use crate::process::agent::unanswered_starts::UnansweredStarts;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::request::job::TaskEnd;
use crate::request::job::TaskRow;
use crate::request::job::TaskState;
use crate::request::job::job_partition;
use crate::request::job::task_key;

/// Time between two looks at the worker.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Ends of tasks that go into one transaction.
const ENDS_PER_WRITE: usize = 16;
/// Longest wait for an entry to take a note of changed tasks.
const NUDGE_CALL: Duration = Duration::from_millis(500);

/// Makes the worker run what its row says.
#[derive(Actor)]
pub struct ReconcileActor {
    shared: Arc<AgentShared>,
    keeper: LeaseKeeper,
    row: Option<(RowVersion, WorkerRow)>,
    row_read: Option<Instant>,
    unanswered: UnansweredStarts,
}

/// The worker's row has changed.
pub struct ReconcileTick;
/// Time for a look at the worker.
pub struct LookTick;
/// This run stops and gives the worker's lease back.
pub struct ReleaseLease;

impl ReconcileActor {
    /// An actor for the agent of `shared`.
    pub fn new(shared: Arc<AgentShared>) -> ReconcileActor {
        ReconcileActor {
            keeper: LeaseKeeper::new(shared.clone()),
            shared,
            row: None,
            row_read: None,
            unanswered: UnansweredStarts::default(),
        }
    }

    async fn look(&mut self) {
        if self.shared.is_draining() && self.shared.lease().is_none() {
            return;
        }
        if self.shared.lease().is_none() && self.keeper.claim().await {
            self.row_read = None;
        }
        let interval = self.shared.beat_interval();
        if self.row_read.is_none_or(|read| clock::elapsed(read) >= interval) {
            let sent = clock::now();
            match self.keeper.read_row().await {
                RowReading::Ours(version, row) => {
                    self.row_read = Some(sent);
                    self.row = Some((version, row));
                }
                RowReading::Lost => {
                    self.row_read = Some(sent);
                    self.row = None;
                }
                RowReading::Unread => {}
            }
        }
        let Some(worker) = self.shared.worker.clone() else {
            return;
        };
        if self.shared.acts_until(clock::now()).is_none() || self.row.is_none() {
            return;
        }
        if let Ok(status) = worker.status().await {
            self.reconcile(&worker, status, clock::now()).await;
        }
    }

    async fn reconcile(
        &mut self,
        worker: &Arc<dyn WorkerControl>,
        status: WorkerStatus,
        answered: Instant,
    ) {
        let Some(until) = self.shared.acts_until(answered) else {
            return;
        };
        let until_millis = lease_end(&status, until, answered);
        self.unanswered.drop_expired(status.now_millis);
        self.stop_unwanted(worker, &status).await;
        self.start_missing(worker, &status, until_millis).await;
        self.commit_ends(worker, &status).await;
    }

    /// Stops attempts that the row does not name or wants stopped, and forgets ended ones that it
    /// does not name.
    async fn stop_unwanted(&self, worker: &Arc<dyn WorkerControl>, status: &WorkerStatus) {
        let Some((_, row)) = &self.row else { return };
        let mut over = Vec::new();
        for attempt in &status.attempts {
            let name = task_name(&attempt.key.job, attempt.key.task);
            let is_wanted = row.has_attempt(&attempt.key);
            let is_to_stop = row.tasks.get(&name).is_some_and(|task| task.stop);
            if attempt.state == AttemptState::Running && (!is_wanted || is_to_stop) {
                // Asked again at the next look until the worker says that it has stopped.
                let _ = worker.stop(attempt.key.clone()).await;
            } else if !is_wanted && attempt.state != AttemptState::Running {
                over.push(attempt.key.clone());
            }
        }
        self.forget(worker, over).await;
    }

    /// Lets a worker forget attempts, except those that it would start anew when a late try came.
    async fn forget(&self, worker: &Arc<dyn WorkerControl>, mut keys: Vec<AttemptKey>) {
        keys.retain(|key| !self.unanswered.contains(key));
        if !keys.is_empty() {
            let _ = worker.forget(keys).await;
        }
    }

    async fn start_missing(
        &mut self,
        worker: &Arc<dyn WorkerControl>,
        status: &WorkerStatus,
        until_millis: u64,
    ) {
        let Some((_, row)) = self.row.clone() else { return };
        let running = status.attempts.iter().filter(|one| one.state == AttemptState::Running);
        let mut used = running.fold(ResourceAmount::default(), |sum, one| sum.plus(&one.resources));
        used = used.plus(&self.unanswered.room(&row, status));
        for (name, committed) in &row.tasks {
            let Some((job, task)) = parse_task_name(name) else {
                continue;
            };
            let key = AttemptKey { job, task, attempt: committed.attempt };
            if committed.stop || status.attempts.iter().any(|one| one.key == key) {
                continue;
            }
            let next = match self.unanswered.contains(&key) {
                true => used,
                false => used.plus(&committed.resources),
            };
            // The last guard: an attempt that is still stopping holds its resources.
            if !status.capacity.contains(&next) {
                continue;
            }
            if self.start_one(worker, key, committed.resources, until_millis).await {
                used = next;
            }
        }
    }

    /// Starts an attempt. Says whether it may have begun.
    async fn start_one(
        &mut self,
        worker: &Arc<dyn WorkerControl>,
        key: AttemptKey,
        resources: ResourceAmount,
        until_millis: u64,
    ) -> bool {
        let Some(start) = self.read_start(&key, resources, until_millis).await else {
            return false;
        };
        let started = worker.start(start).await;
        if started == Err(WorkerError::Unreachable) {
            self.unanswered.insert(key.clone(), until_millis);
        }
        let pairs: [(&str, &dyn std::fmt::Display); 4] = [
            ("job", &key.job),
            ("task", &key.task),
            ("attempt", &key.attempt),
            ("ok", &started.is_ok()),
        ];
        log_event(Level::Info, "task_start", &pairs);
        !matches!(started, Err(WorkerError::Refused { .. }))
    }

    /// The start of an attempt, if the task's row still names it.
    async fn read_start(
        &self,
        key: &AttemptKey,
        resources: ResourceAmount,
        until_millis: u64,
    ) -> Option<TaskStart> {
        let row = self.shared.table.get(&task_key(&key.job, key.task)).await.ok()??;
        let task: TaskRow = row.decode().ok()?;
        if !task.is_current(key, &self.shared.settings.worker) {
            return None;
        }
        Some(TaskStart {
            key: key.clone(),
            kind: task.kind,
            resources,
            input: task.spec.input,
            checkpoint: task.checkpoint,
            run_millis: task.spec.run_millis,
            lease_until_millis: until_millis,
        })
    }

    /// Commits the ends of attempts: with the tasks' rows, the worker's row lets them go.
    async fn commit_ends(&mut self, worker: &Arc<dyn WorkerControl>, status: &WorkerStatus) {
        let Some((version, row)) = self.row.clone() else {
            return;
        };
        let mut ended: Vec<AttemptReport> = ended_attempts(&row, status);
        ended.retain(|one| !self.unanswered.may_begin(&one.key, status));
        ended.truncate(ENDS_PER_WRITE);
        if ended.is_empty() {
            return;
        }
        let keys: Vec<AttemptKey> = ended.iter().map(|one| one.key.clone()).collect();
        match self.write_ends(version, row, ended).await {
            Ok(jobs) => {
                self.shared.end_evictions(&keys);
                // What is not forgotten now is at the next look.
                self.forget(worker, keys).await;
                self.nudge_owners(jobs);
            }
            Err(error) => {
                log_event(Level::Debug, "ends_not_committed", &[("error", &error)]);
            }
        }
        // What took effect, and what others wrote, is seen by reading.
        self.row_read = None;
    }

    async fn write_ends(
        &mut self,
        version: RowVersion,
        mut row: WorkerRow,
        ended: Vec<AttemptReport>,
    ) -> Result<BTreeSet<JobId>, TableError> {
        let mut transaction = TableTransaction::of(WritePriority::End);
        let mut jobs = BTreeSet::new();
        for attempt in ended {
            let key = task_key(&attempt.key.job, attempt.key.task);
            if let Some(current) = self.shared.table.get(&key).await? {
                let mut task: TaskRow = current.decode()?;
                if task.is_current(&attempt.key, &self.shared.settings.worker) {
                    self.take_end(&mut task, &attempt.key, attempt.state, attempt.used);
                    transaction.put(&key, current.version, &task);
                }
            }
            row.tasks.remove(&task_name(&attempt.key.job, attempt.key.task));
            jobs.insert(attempt.key.job.clone());
        }
        let key = worker_key(&self.shared.settings.worker);
        transaction.put(&key, version, &row);
        let version = self.shared.table.commit(transaction).await?;
        *self.shared.row() = Some(row.clone());
        self.row = Some((version, row));
        Ok(jobs)
    }

    fn take_end(
        &self,
        task: &mut TaskRow,
        key: &AttemptKey,
        state: AttemptState,
        used: ResourceAmount,
    ) {
        let was_evicted = self.shared.is_evicted(key);
        let event = match state {
            AttemptState::Finished { result } => {
                task.state = TaskState::Ended(TaskEnd::Done { result });
                task.used = (used != ResourceAmount::default()).then_some(used);
                "finished"
            }
            AttemptState::Failed { error } => {
                task.on_failure(&self.shared.settings.worker, &error);
                "failed"
            }
            AttemptState::Stopped { checkpoint } => {
                task.checkpoint = checkpoint.or(task.checkpoint.take());
                task.state = TaskState::Queued;
                if was_evicted {
                    task.evicted_from = Some(self.shared.settings.worker.clone());
                    task.evictions += 1;
                }
                "stopped"
            }
            AttemptState::Running => return,
        };
        self.shared.metrics.tasks.with_label_values(&[event]).inc();
        let pairs: [(&str, &dyn std::fmt::Display); 4] = [
            ("job", &task.job),
            ("task", &task.index),
            ("attempt", &task.attempt),
            ("end", &event),
        ];
        log_event(Level::Info, "task_end", &pairs);
    }

    /// Tells the owners of the jobs' partitions which tasks ended here.
    fn nudge_owners(&self, jobs: BTreeSet<JobId>) {
        let map = self.shared.map();
        let mut by_owner: BTreeMap<String, Vec<JobId>> = BTreeMap::new();
        for job in jobs {
            if let Some(owner) = map.owner_of(job_partition(&job)) {
                by_owner.entry(owner.address.clone()).or_default().push(job);
            }
        }
        for (address, jobs) in by_owner {
            let shared = self.shared.clone();
            tokio::spawn(async move {
                if let Ok(client) = shared.entry_connections.client(&address).await {
                    let worker = shared.settings.worker.clone();
                    // The owner looks by itself after a while when this is lost.
                    let _ = client.tasks_ended(call_within(NUDGE_CALL), worker, jobs).await;
                }
            });
        }
    }
}

impl Message<ReconcileTick> for ReconcileActor {
    type Reply = ();

    async fn handle(&mut self, _: ReconcileTick, _: &mut Context<Self, ()>) {
        self.row_read = None;
        self.look().await;
    }
}

impl Message<LookTick> for ReconcileActor {
    type Reply = ();

    async fn handle(&mut self, _: LookTick, _: &mut Context<Self, ()>) {
        self.look().await;
    }
}

impl Message<ReleaseLease> for ReconcileActor {
    type Reply = ();

    async fn handle(&mut self, _: ReleaseLease, _: &mut Context<Self, ()>) {
        let is_free = self.unanswered.is_empty();
        self.keeper.release(is_free).await;
    }
}

/// Asks the actor for looks until the process ends.
pub fn spawn_ticks(shared: Arc<AgentShared>, reconciler: ActorRef<ReconcileActor>) {
    tokio::spawn(async move {
        loop {
            // Waiting for the answer keeps looks from piling up while the table service is slow.
            let _ = reconciler.ask(LookTick).await;
            let interval = LOOK_INTERVAL.min(shared.beat_interval() / 2);
            tokio::time::sleep(interval).await;
        }
    });
}
