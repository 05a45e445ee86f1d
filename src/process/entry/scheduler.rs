//! Schedules the tasks of this entry's partitions: one actor, one step at a time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Context;
use kameo::message::Message;
use log::Level;
use rand::rngs::StdRng;

use crate::connection::rpc_client::call_within;
use crate::connection::worker_row::CommittedTask;
use crate::connection::worker_row::WORKER_PREFIX;
use crate::connection::worker_row::WorkerRow;
use crate::connection::worker_row::task_name;
use crate::connection::worker_row::worker_key;
use crate::ids::JobId;
use crate::ids::PartitionId;
use crate::ids::RowVersion;
use crate::ids::TeamName;
use crate::ids::WorkerId;
use crate::platform::table::TableError;
use crate::platform::table::TableTransaction;
use crate::platform::worker::ResourceAmount;
use crate::process::entry::job_desk::is_over;
use crate::process::entry::shared::EntryShared;
use crate::process::entry::worker_desk::RecoveryPlan;
use crate::process::logging::log_event;
use crate::process::size_learner::SizeLearner;
use crate::process::suspicion::WorkerSuspicion;
use crate::request::job::JobRow;
use crate::request::job::JobState;
use crate::request::job::TaskEnd;
use crate::request::job::TaskRow;
use crate::request::job::TaskState;
use crate::request::job::cancel_key;
use crate::request::job::cancelled_job;
use crate::request::job::job_key;
use crate::request::job::job_partition;
use crate::request::job::task_key;
use crate::request::job::task_prefix;
use crate::request::placement::WorkerView;
use crate::request::task_plan::PlannedStart;
use crate::request::task_plan::QueuedTask;
use crate::request::task_plan::TeamShare;
use crate::request::task_plan::plan_starts;

/// Time between two steps; news of changed tasks collect in between.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a partition is looked at without any news.
const QUIET_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which the workers' rows are read again without any conflict.
const WORKERS_INTERVAL: Duration = Duration::from_secs(5);
/// Starts that are planned in one step; with the step's length this bounds the rate of writes.
const STARTS_PER_STEP: usize = 32;
/// Starts that go into one transaction.
const STARTS_PER_WRITE: usize = 8;
/// Heartbeats of an agent that may be lost before nothing more is started on its worker.
const BEATS_TO_TRUST: u32 = 2;
/// Longest wait for an agent to take a note of its changed row.
const NUDGE_CALL: Duration = Duration::from_millis(500);

/// News that tasks of a partition may have changed.
pub struct TasksChanged(pub PartitionId);
/// Time for a step.
pub struct SchedulerStep;

/// A row with its version.
#[derive(Clone, Debug)]
struct Versioned<T> {
    version: RowVersion,
    row: T,
}

/// Tasks of one partition as they were read.
#[derive(Debug, Default)]
struct PartitionTasks {
    tasks: BTreeMap<String, Versioned<TaskRow>>,
    cancelled: BTreeSet<JobId>,
}

/// Schedules the tasks of this entry's partitions.
#[derive(Actor)]
pub struct SchedulerActor {
    shared: Arc<EntryShared>,
    started: Instant,
    partitions: HashMap<PartitionId, PartitionTasks>,
    looked_at: HashMap<PartitionId, Instant>,
    dirty: BTreeSet<PartitionId>,
    workers: BTreeMap<WorkerId, Versioned<WorkerRow>>,
    workers_read: Option<Instant>,
    recovery: RecoveryPlan,
    recovery_at: Instant,
    suspicion: WorkerSuspicion,
    sizes: SizeLearner,
    rng: StdRng,
}

impl SchedulerActor {
    /// An actor for the entry of `shared`.
    pub fn new(shared: Arc<EntryShared>) -> SchedulerActor {
        SchedulerActor {
            shared,
            started: Instant::now(),
            partitions: HashMap::new(),
            looked_at: HashMap::new(),
            dirty: BTreeSet::new(),
            workers: BTreeMap::new(),
            workers_read: None,
            recovery: RecoveryPlan::default(),
            recovery_at: Instant::now(),
            suspicion: WorkerSuspicion::default(),
            sizes: SizeLearner::default(),
            rng: rand::make_rng(),
        }
    }

    async fn step(&mut self) -> Result<(), TableError> {
        if self.shared.is_draining() || !self.shared.is_catalog_ready() {
            return Ok(());
        }
        let now = Instant::now();
        let acting: BTreeSet<PartitionId> =
            self.shared.view().acting_partitions(now).into_iter().collect();
        self.partitions.retain(|partition, _| acting.contains(partition));
        if now >= self.recovery_at {
            self.recovery_at = now + self.shared.view().map().timing.agent_beat() / 2;
            let recovered = self.shared.recover_workers(&mut self.recovery, self.started).await;
            self.note_conflict(recovered.err());
        }
        for partition in acting {
            if self.is_due(partition, now) {
                self.read_partition(partition).await?;
                self.close_jobs(partition).await?;
            }
        }
        self.stop_cancelled().await?;
        self.start_tasks().await
    }

    fn is_due(&mut self, partition: PartitionId, now: Instant) -> bool {
        let last = self.looked_at.get(&partition);
        let is_old = last.is_none_or(|last| now >= *last + QUIET_INTERVAL);
        let is_unknown = !self.partitions.contains_key(&partition);
        self.dirty.remove(&partition) || is_old || is_unknown
    }

    async fn read_partition(&mut self, partition: PartitionId) -> Result<(), TableError> {
        let rows = self.shared.table.list(&task_prefix(partition)).await;
        self.count("list_tasks", rows.is_ok());
        let mut read = PartitionTasks::default();
        for row in rows? {
            if let Some(job) = cancelled_job(&row.key) {
                read.cancelled.insert(job);
            } else {
                let task = Versioned { version: row.version, row: row.decode()? };
                read.tasks.insert(row.key, task);
            }
        }
        self.looked_at.insert(partition, Instant::now());
        if let Some(before) = self.partitions.insert(partition, read) {
            self.learn_from_ends(partition, &before);
        }
        Ok(())
    }

    /// Learns from tasks that were running at the last look and are not any more.
    fn learn_from_ends(&mut self, partition: PartitionId, before: &PartitionTasks) {
        let Some(read) = self.partitions.get(&partition) else {
            return;
        };
        let now = Instant::now();
        for (key, task) in &read.tasks {
            let Some(TaskState::Committed { worker }) =
                before.tasks.get(key).map(|task| &task.row.state)
            else {
                continue;
            };
            let failures_before = before.tasks.get(key).map_or(0, |task| task.row.failed_on.len());
            if matches!(task.row.state, TaskState::Ended(TaskEnd::Done { .. })) {
                self.suspicion.on_success(worker);
                if let Some(used) = task.row.used {
                    self.sizes.on_end(&task.row.kind, used);
                }
            } else if task.row.failed_on.len() > failures_before {
                self.suspicion.on_failure(worker, key, now);
            }
        }
    }

    /// Moves the ends of tasks into the rows of jobs that are over, and removes the tasks' rows.
    async fn close_jobs(&mut self, partition: PartitionId) -> Result<(), TableError> {
        let Some(read) = self.partitions.get(&partition) else {
            return Ok(());
        };
        let mut by_job: BTreeMap<JobId, Vec<Versioned<TaskRow>>> = BTreeMap::new();
        for task in read.tasks.values() {
            by_job.entry(task.row.job.clone()).or_default().push(task.clone());
        }
        let mut over = Vec::new();
        for (job, tasks) in by_job {
            let rows: Vec<TaskRow> = tasks.iter().map(|task| task.row.clone()).collect();
            if is_over(&rows, read.cancelled.contains(&job)) {
                over.push((job, tasks));
            }
        }
        for (job, tasks) in over {
            let closed = self.close_job(&job, &tasks).await;
            self.count("close_job", closed.is_ok());
            // A conflict means that the job changed; the next look sees how.
            self.dirty.insert(partition);
            if let Err(error @ (TableError::Unavailable | TableError::Ambiguous)) = closed {
                return Err(error);
            }
            if let Some(read) = self.partitions.get_mut(&partition) {
                read.tasks.retain(|_, task| task.row.job != job);
                read.cancelled.remove(&job);
            }
        }
        Ok(())
    }

    async fn close_job(&self, job: &str, tasks: &[Versioned<TaskRow>]) -> Result<(), TableError> {
        let Some(current) = self.shared.table.get(&job_key(job)).await? else {
            return Ok(());
        };
        let mut row: JobRow = current.decode()?;
        let was_cancelled = row.state == JobState::Cancelled;
        row.state = JobState::Ended;
        row.ends = tasks.iter().map(|task| end_of(&task.row)).collect();
        let mut transaction = TableTransaction::default();
        transaction.put(&job_key(job), current.version, &row);
        for task in tasks {
            transaction.remove(&task_key(job, task.row.index), task.version);
        }
        if was_cancelled && let Some(marker) = self.shared.table.get(&cancel_key(job)).await? {
            transaction.remove(&cancel_key(job), marker.version);
        }
        self.shared.table.commit(transaction).await?;
        log_event(Level::Info, "job_ended", &[("job", &job), ("tasks", &tasks.len())]);
        Ok(())
    }

    /// Asks workers to stop the running tasks of cancelled jobs, one write for each worker.
    async fn stop_cancelled(&mut self) -> Result<(), TableError> {
        let mut by_worker: BTreeMap<WorkerId, Vec<String>> = BTreeMap::new();
        for read in self.partitions.values() {
            let cancelled = read.tasks.values().map(|task| &task.row);
            let cancelled = cancelled.filter(|task| read.cancelled.contains(&task.job));
            for task in cancelled {
                if let TaskState::Committed { worker } = &task.state {
                    let name = task_name(&task.job, task.index);
                    by_worker.entry(worker.clone()).or_default().push(name);
                }
            }
        }
        for (worker, names) in by_worker {
            let Some(mut known) = self.workers.get(&worker).cloned() else {
                continue;
            };
            let mut is_changed = false;
            for name in names {
                if let Some(task) = known.row.tasks.get_mut(&name) {
                    is_changed |= !task.stop;
                    task.stop = true;
                }
            }
            if is_changed {
                let mut transaction = TableTransaction::default();
                transaction.put(&worker_key(&worker), known.version, &known.row);
                let committed = self.shared.table.commit(transaction).await;
                self.after_worker_write(&worker, known.row, committed).await;
            }
        }
        Ok(())
    }

    async fn start_tasks(&mut self) -> Result<(), TableError> {
        if !self.has_queued() {
            return Ok(());
        }
        self.read_workers().await?;
        let queued = self.queued_tasks();
        let mut views = self.worker_views();
        let mut teams = self.team_shares(&queued);
        let policy = self.shared.settings.placement.policy(self.shared.interference());
        let starts = plan_starts(
            queued,
            &mut views,
            &mut teams,
            policy.as_ref(),
            STARTS_PER_STEP,
            &mut self.rng,
        );
        let mut by_worker: BTreeMap<WorkerId, Vec<PlannedStart>> = BTreeMap::new();
        for start in starts {
            by_worker.entry(start.worker.clone()).or_default().push(start);
        }
        for (worker, starts) in by_worker {
            for group in starts.chunks(STARTS_PER_WRITE) {
                if !self.commit_starts(&worker, group).await {
                    break;
                }
            }
        }
        Ok(())
    }

    fn has_queued(&self) -> bool {
        let tasks = self.partitions.values().flat_map(|read| read.tasks.values());
        tasks.map(|task| &task.row.state).any(|state| *state == TaskState::Queued)
    }

    fn queued_tasks(&self) -> Vec<QueuedTask> {
        let now = self.shared.clock.wall_millis();
        let host = self.largest_host();
        let mut queued = Vec::new();
        for read in self.partitions.values() {
            for (key, task) in &read.tasks {
                let task = &task.row;
                if task.state == TaskState::Queued && !read.cancelled.contains(&task.job) {
                    let avoid = task.failed_on.iter().chain(&task.evicted_from).cloned();
                    queued.push(QueuedTask {
                        key: key.clone(),
                        team: task.team.clone(),
                        kind: task.kind.clone(),
                        urgent: task.urgent,
                        resources: self.sizes.size(&task.kind, &task.spec.resources, &host),
                        avoid: avoid.collect(),
                        waited: Duration::from_millis(now.saturating_sub(task.submitted_millis)),
                    });
                }
            }
        }
        queued
    }

    /// The largest amount of each resource that a worker has.
    fn largest_host(&self) -> ResourceAmount {
        let capacities = self.workers.values().map(|worker| worker.row.capacity);
        capacities.fold(ResourceAmount::default(), |most, one| ResourceAmount {
            millicores: most.millicores.max(one.millicores),
            memory_mib: most.memory_mib.max(one.memory_mib),
            accelerators: most.accelerators.max(one.accelerators),
        })
    }

    async fn read_workers(&mut self) -> Result<(), TableError> {
        if self.workers_read.is_some_and(|read| read.elapsed() < WORKERS_INTERVAL) {
            return Ok(());
        }
        let rows = self.shared.table.list(WORKER_PREFIX).await;
        self.count("list_workers", rows.is_ok());
        self.workers.clear();
        for row in rows? {
            let worker = Versioned { version: row.version, row: row.decode::<WorkerRow>()? };
            self.workers.insert(worker.row.worker.clone(), worker);
        }
        self.workers_read = Some(Instant::now());
        Ok(())
    }

    /// Workers whose agent is alive and holds the lease.
    fn worker_views(&self) -> Vec<WorkerView> {
        let now = Instant::now();
        let limit = self.shared.view().map().timing.agent_beat() * BEATS_TO_TRUST;
        let agents = self.shared.agents();
        let trusted = self.workers.values().map(|worker| &worker.row).filter(|row| {
            agents.get(&row.worker).is_some_and(|agent| {
                agent.place.incarnation == row.holder && agent.heard.elapsed() <= limit
            })
        });
        trusted
            .map(|row| WorkerView {
                worker: row.worker.clone(),
                domain: row.domain.clone(),
                capacity: row.capacity,
                free: row.free(),
                services: agents.get(&row.worker).map_or(Vec::new(), |one| one.services.clone()),
                kinds: row.kinds(),
                starts_left: self.suspicion.starts_left(&row.worker, now),
            })
            .collect()
    }

    fn team_shares(&self, queued: &[QueuedTask]) -> BTreeMap<TeamName, TeamShare> {
        let mut shares: BTreeMap<TeamName, TeamShare> = BTreeMap::new();
        for task in queued {
            let quota = self.shared.with_catalog(|catalog| catalog.quota(&task.team));
            let quota = quota.unwrap_or_default();
            shares.entry(task.team.clone()).or_default().quota = quota;
        }
        for task in self.workers.values().flat_map(|worker| worker.row.tasks.values()) {
            if let Some(share) = shares.get_mut(&task.team) {
                share.used = share.used.plus(&task.resources);
            }
        }
        shares
    }

    /// Commits starts on one worker in one transaction; gives whether they took effect.
    async fn commit_starts(&mut self, worker: &str, starts: &[PlannedStart]) -> bool {
        let Some(known) = self.workers.get(worker).cloned() else {
            return false;
        };
        let mut row = known.row;
        let mut transaction = TableTransaction::default();
        let mut started = Vec::new();
        for start in starts {
            let Some(task) = self.find_task(&start.key) else {
                continue;
            };
            let mut next = task.row.clone();
            next.attempt += 1;
            next.state = TaskState::Committed { worker: worker.to_string() };
            transaction.put(&start.key, task.version, &next);
            let committed = CommittedTask {
                attempt: next.attempt,
                resources: start.resources,
                team: next.team.clone(),
                kind: next.kind.clone(),
                urgent: next.urgent,
                stop: false,
            };
            row.tasks.insert(task_name(&next.job, next.index), committed);
            started.push((start.key.clone(), next));
        }
        // The sums are checked once more on what is about to be written.
        if started.is_empty() || !row.capacity.contains(&row.committed()) {
            return false;
        }
        transaction.put(&worker_key(worker), known.version, &row);
        let committed = self.shared.table.commit(transaction).await;
        self.count("start", committed.is_ok());
        if let Ok(version) = committed {
            self.shared.metrics.tasks.with_label_values(&["started"]).inc_by(started.len() as u64);
            self.suspicion.on_start(worker, Instant::now());
            for (key, next) in started {
                self.keep_task(key, Versioned { version, row: next });
            }
        }
        let is_committed = committed.is_ok();
        self.after_worker_write(worker, row, committed).await;
        is_committed
    }

    fn find_task(&self, key: &str) -> Option<&Versioned<TaskRow>> {
        self.partitions.values().find_map(|read| read.tasks.get(key))
    }

    fn keep_task(&mut self, key: String, task: Versioned<TaskRow>) {
        if let Some(read) = self.partitions.get_mut(&job_partition(&task.row.job)) {
            read.tasks.insert(key, task);
        }
    }

    /// Keeps the row that was written and tells the agent, or has everything read again.
    async fn after_worker_write(
        &mut self,
        worker: &str,
        row: WorkerRow,
        committed: Result<RowVersion, TableError>,
    ) {
        match committed {
            Ok(version) => {
                self.workers.insert(worker.to_string(), Versioned { version, row });
                self.nudge_agent(worker);
            }
            Err(error) => {
                if error == TableError::Ambiguous {
                    // It may have taken effect; what is there now tells.
                    self.dirty.extend(self.partitions.keys());
                    self.nudge_agent(worker);
                }
                self.note_conflict(Some(error));
            }
        }
    }

    fn note_conflict(&mut self, error: Option<TableError>) {
        let Some(error) = error else { return };
        self.workers_read = None;
        if let TableError::Conflict { key } = &error
            && key.starts_with("task/")
        {
            self.dirty.extend(self.partitions.keys());
        }
        log_event(Level::Debug, "write_failed", &[("error", &error)]);
    }

    fn nudge_agent(&self, worker: &str) {
        let Some(address) = self.shared.agents().get(worker).map(|agent| agent.address.clone())
        else {
            return;
        };
        let shared = self.shared.clone();
        tokio::spawn(async move {
            if let Ok(client) = shared.agent_connections.client(&address).await {
                // The agent looks by itself after a while when this is lost.
                let _ = client.row_changed(call_within(NUDGE_CALL)).await;
            }
        });
    }

    fn count(&self, call: &str, is_ok: bool) {
        let result = if is_ok { "ok" } else { "failed" };
        self.shared.metrics.table_calls.with_label_values(&[call, result]).inc();
    }
}

/// The end of a task of a job that is over; what still waits was cancelled.
fn end_of(task: &TaskRow) -> TaskEnd {
    match &task.state {
        TaskState::Ended(end) => end.clone(),
        TaskState::Queued | TaskState::Committed { .. } => TaskEnd::Cancelled,
    }
}

impl Message<TasksChanged> for SchedulerActor {
    type Reply = ();

    async fn handle(&mut self, message: TasksChanged, _: &mut Context<Self, ()>) {
        self.dirty.insert(message.0);
        // The agents' writes moved the workers' rows on as well.
        self.workers_read = None;
    }
}

impl Message<SchedulerStep> for SchedulerActor {
    type Reply = ();

    async fn handle(&mut self, _: SchedulerStep, _: &mut Context<Self, ()>) {
        if let Err(error) = self.step().await {
            self.note_conflict(Some(error));
        }
    }
}

/// Asks the actor for steps until the process ends.
pub fn spawn_ticks(shared: Arc<EntryShared>, scheduler: ActorRef<SchedulerActor>) {
    tokio::spawn(async move {
        while !shared.is_draining() {
            tokio::time::sleep(STEP_INTERVAL).await;
            // Waiting for the answer keeps steps from piling up while the table service is slow.
            let _ = scheduler.ask(SchedulerStep).await;
        }
    });
}
