//! Schedules the tasks of this entry's partitions: one actor, one step at a time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Context;
use kameo::message::Message;
use log::Level;
use rand::rngs::StdRng;

use crate::connection::rpc_client::call_within;
use crate::connection::worker_row::WORKER_PREFIX;
use crate::connection::worker_row::WorkerRow;
use crate::connection::worker_row::task_name;
use crate::connection::worker_row::worker_key;
use crate::external::table::TableError;
use crate::external::table::TableTransaction;
use crate::external::write_budget::WritePriority;
use crate::ids::JobId;
use crate::ids::PartitionId;
use crate::ids::RowVersion;
use crate::ids::TeamName;
use crate::ids::WorkerId;
use crate::process::clock;
use crate::process::entry::fleet_board::FleetBoard;
use crate::process::entry::shared::EntryShared;
use crate::process::entry::start_batch::StartBatch;
use crate::process::entry::start_batch::WorkerStarts;
use crate::process::entry::task_board::FinishedJob;
use crate::process::entry::task_board::TaskBoard;
use crate::process::entry::task_board::TaskNews;
use crate::process::entry::task_board::VersionedRow;
use crate::process::entry::task_board::key_of;
use crate::process::entry::worker_desk::WorkerRecovery;
use crate::process::logging::log_event;
use crate::process::size_learner::SizeLearner;
use crate::process::suspicion::WorkerSuspicion;
use crate::request::job::JobRow;
use crate::request::job::JobState;
use crate::request::job::TaskEnd;
use crate::request::job::TaskRow;
use crate::request::job::TaskState;
use crate::request::job::cancel_key;
use crate::request::job::job_key;
use crate::request::job::job_tasks_prefix;
use crate::request::job::task_prefix;
use crate::request::placement_policy::WorkerView;
use crate::request::task_plan::QueuedTask;
use crate::request::task_plan::TeamUsage;
use crate::request::task_plan::plan_starts;

/// Time between two steps; news of changed tasks collect in between.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a partition is read in full without any news; makes up for news that were lost.
const QUIET_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which all workers' rows are read again; what is known to change is read at once.
const WORKERS_INTERVAL: Duration = Duration::from_secs(10);
/// Starts that are planned in one step.
const STARTS_PER_STEP: usize = 32;
/// Heartbeats of an agent that may be lost before nothing more is started on its worker.
pub const BEATS_TO_TRUST: u32 = 2;
/// Longest wait for an agent to take a note of its changed row.
const NUDGE_CALL: Duration = Duration::from_millis(500);

/// News of changes that others made, so that only what changed is read again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerNews {
    /// A job was submitted or cancelled.
    JobChanged(JobId),
    /// Tasks of these jobs ended on a worker.
    TasksEnded {
        /// The worker, whose row changed as well.
        worker: WorkerId,
        /// The jobs.
        jobs: Vec<JobId>,
    },
}
/// Time for a step.
pub struct SchedulerStep;

/// Schedules the tasks of this entry's partitions.
#[derive(Actor)]
pub struct SchedulerActor {
    shared: Arc<EntryShared>,
    board: TaskBoard,
    fleet: FleetBoard,
    changed_jobs: BTreeSet<JobId>,
    recovery: WorkerRecovery,
    suspicion: WorkerSuspicion,
    sizes: SizeLearner,
    rng: StdRng,
}

impl SchedulerActor {
    /// An actor for the entry of `shared`.
    pub fn new(shared: Arc<EntryShared>) -> SchedulerActor {
        SchedulerActor {
            recovery: WorkerRecovery::new(shared.clone()),
            shared,
            board: TaskBoard::default(),
            fleet: FleetBoard::default(),
            changed_jobs: BTreeSet::new(),
            suspicion: WorkerSuspicion::default(),
            sizes: SizeLearner::default(),
            rng: rand::make_rng(),
        }
    }

    async fn step(&mut self) -> Result<(), TableError> {
        if self.shared.is_draining() || !self.shared.is_catalog_ready() {
            return Ok(());
        }
        let recovered = self.recovery.look(clock::now()).await;
        match recovered {
            Ok(jobs) => self.changed_jobs.extend(jobs),
            Err(error) => self.note_failure(&error),
        }
        self.read_tasks().await?;
        self.shared.set_queues(self.board.team_queues(self.shared.clock.wall_millis()));
        self.learn();
        self.close_jobs().await?;
        self.stop_cancelled().await?;
        self.start_tasks().await
    }

    async fn read_tasks(&mut self) -> Result<(), TableError> {
        let now = clock::now();
        let acting: BTreeSet<PartitionId> =
            self.shared.view().acting_partitions(now).into_iter().collect();
        for partition in self.board.due_partitions(&acting, QUIET_INTERVAL, now) {
            let rows = self.shared.table.list(&task_prefix(partition)).await;
            self.count("list_tasks", rows.is_ok());
            self.board.replace_partition(partition, rows?, now)?;
        }
        while let Some(job) = self.changed_jobs.pop_first() {
            let rows = self.shared.table.list(&job_tasks_prefix(&job)).await;
            self.count("list_job", rows.is_ok());
            match rows {
                Ok(rows) => self.board.replace_job(&job, rows)?,
                Err(error) => {
                    self.changed_jobs.insert(job);
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    fn learn(&mut self) {
        let now = clock::now();
        for news in self.board.take_news() {
            match news {
                TaskNews::Done { worker, kind, used } => {
                    if self.suspicion.on_success(&worker) {
                        log_event(Level::Info, "worker_trusted", &[("worker", &worker)]);
                    }
                    if let Some(used) = used {
                        self.sizes.on_end(&kind, used);
                    }
                }
                TaskNews::Failed { worker, key } => {
                    if self.suspicion.on_failure(&worker, &key, now) {
                        let inputs: [(&str, &dyn std::fmt::Display); 2] =
                            [("worker", &worker), ("task", &key)];
                        log_event(Level::Warn, "worker_suspected", &inputs);
                    }
                }
            }
        }
    }

    /// Moves the ends of tasks into the rows of jobs that are over, and removes the tasks' rows.
    async fn close_jobs(&mut self) -> Result<(), TableError> {
        for finished in self.board.finished_jobs() {
            let closed = self.close_job(&finished).await;
            self.count("close_job", closed.is_ok());
            match closed {
                Ok(()) => self.board.remove_job(&finished.job),
                // The job has changed; the next step reads how.
                Err(TableError::Conflict { .. }) => {
                    self.changed_jobs.insert(finished.job);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    async fn close_job(&self, finished: &FinishedJob) -> Result<(), TableError> {
        let job = &finished.job;
        let Some(current) = self.shared.table.get(&job_key(job)).await? else {
            return Ok(());
        };
        let mut row: JobRow = current.decode()?;
        let was_cancelled = row.state == JobState::Cancelled;
        row.state = JobState::Ended;
        row.ends = finished.tasks.iter().map(|task| end_of(&task.row)).collect();
        let mut transaction = TableTransaction::of(WritePriority::End);
        transaction.put(&job_key(job), current.version, &row);
        for task in &finished.tasks {
            transaction.remove(&key_of(&task.row), task.version);
        }
        if was_cancelled && let Some(marker) = self.shared.table.get(&cancel_key(job)).await? {
            transaction.remove(&cancel_key(job), marker.version);
        }
        self.shared.table.commit(transaction).await?;
        let pairs: [(&str, &dyn std::fmt::Display); 2] =
            [("job", job), ("tasks", &finished.tasks.len())];
        log_event(Level::Info, "job_ended", &pairs);
        Ok(())
    }

    /// Asks workers to stop the running tasks of cancelled jobs, one write for each worker.
    async fn stop_cancelled(&mut self) -> Result<(), TableError> {
        let cancelled = self.board.cancelled_running();
        if cancelled.is_empty() {
            return Ok(());
        }
        self.read_workers().await?;
        for (worker, tasks) in cancelled {
            let Some(known) = self.fleet.worker(&worker).cloned() else {
                continue;
            };
            let mut row = known.row;
            let mut is_changed = false;
            for (job, index) in tasks {
                if let Some(task) = row.tasks.get_mut(&task_name(&job, index)) {
                    is_changed |= !task.stop;
                    task.stop = true;
                }
            }
            if is_changed {
                let mut transaction = TableTransaction::of(WritePriority::End);
                transaction.put(&worker_key(&worker), known.version, &row);
                let committed = self.shared.table.commit(transaction).await;
                self.after_worker_write(row, committed);
            }
        }
        Ok(())
    }

    async fn start_tasks(&mut self) -> Result<(), TableError> {
        // A step that waited for its turn to write would hold up recovery and ends.
        if !self.board.has_queued() || !self.shared.pace.allows(WritePriority::Start) {
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
        for batch in StartBatch::of_plan(starts, &self.fleet, &self.board) {
            if !self.commit_starts(batch).await {
                break;
            }
        }
        Ok(())
    }

    fn queued_tasks(&self) -> Vec<QueuedTask> {
        let now = self.shared.clock.wall_millis();
        let host = self.fleet.largest_host();
        let queued = self.board.queued().map(|(key, task)| QueuedTask {
            key: key.clone(),
            team: task.team.clone(),
            kind: task.kind.clone(),
            urgent: task.urgent,
            resources: self.sizes.size(&task.kind, &task.spec.resources, &host),
            avoid: task.failed_on.iter().chain(&task.evicted_from).cloned().collect(),
            waited: Duration::from_millis(now.saturating_sub(task.submitted_millis)),
        });
        queued.collect()
    }

    /// Reads what is not known of the workers: all rows now and then, else those that changed.
    async fn read_workers(&mut self) -> Result<(), TableError> {
        let now = clock::now();
        if self.fleet.is_due(WORKERS_INTERVAL, now) {
            let rows = self.shared.table.list(WORKER_PREFIX).await;
            self.count("list_workers", rows.is_ok());
            return self.fleet.replace_all(rows?, now);
        }
        for worker in self.fleet.stale() {
            let row = self.shared.table.get(&worker_key(&worker)).await;
            self.count("get_worker", row.is_ok());
            if let Some(row) = row? {
                self.fleet.replace(&row)?;
            }
        }
        Ok(())
    }

    /// Workers whose agent is alive and holds the lease.
    fn worker_views(&self) -> Vec<WorkerView> {
        let now = clock::now();
        let limit = self.shared.view().map().timing.agent_beat() * BEATS_TO_TRUST;
        let agents = self.shared.agents();
        let trusted = self.fleet.workers().filter(|row| {
            agents.get(&row.worker).is_some_and(|agent| agent.is_live_holder(row, limit))
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
                slowdowns: Vec::new(),
            })
            .collect()
    }

    fn team_shares(&self, queued: &[QueuedTask]) -> BTreeMap<TeamName, TeamUsage> {
        let used = self.fleet.used_by_team();
        let mut shares: BTreeMap<TeamName, TeamUsage> = BTreeMap::new();
        for task in queued {
            shares.entry(task.team.clone()).or_insert_with(|| TeamUsage {
                quota: self
                    .shared
                    .with_catalog(|catalog| catalog.quota(&task.team))
                    .unwrap_or_default(),
                used: used.get(&task.team).copied().unwrap_or_default(),
            });
        }
        shares
    }

    /// Commits a batch, without the parts whose rows have changed; gives whether the table service
    /// takes writes.
    async fn commit_starts(&mut self, mut batch: StartBatch) -> bool {
        while !batch.parts.is_empty() {
            let committed = self.shared.table.commit(batch.transaction()).await;
            self.count("start", committed.is_ok());
            match committed {
                Ok(version) => {
                    batch.parts.into_iter().for_each(|part| self.keep_starts(part, version));
                    return true;
                }
                Err(error) => {
                    self.note_failure(&error);
                    let is_rest_good = matches!(&error, TableError::Conflict { key }
                        if batch.drop_part_of(key));
                    if !is_rest_good {
                        // The write may have taken effect: the agents look as well.
                        batch.parts.iter().for_each(|part| self.nudge_agent(&part.row.worker));
                        return false;
                    }
                }
            }
        }
        true
    }

    fn keep_starts(&mut self, part: WorkerStarts, version: RowVersion) {
        let count = part.tasks.len() as u64;
        self.shared.metrics.tasks.with_label_values(&["started"]).inc_by(count);
        let now = clock::now();
        for task in part.tasks {
            self.suspicion.on_start(&part.row.worker, &task.key, now);
            self.board.keep_task(task.key, VersionedRow { version, row: task.row });
        }
        self.after_worker_write(part.row, Ok(version));
    }

    /// Keeps the row that was written and tells the agent, or has it read again.
    fn after_worker_write(&mut self, row: WorkerRow, committed: Result<RowVersion, TableError>) {
        let worker = row.worker.clone();
        match committed {
            Ok(version) => {
                self.fleet.keep(row, version);
                self.nudge_agent(&worker);
            }
            Err(error) => {
                self.fleet.mark_stale(&worker);
                self.nudge_agent(&worker);
                self.note_failure(&error);
            }
        }
    }

    /// Has read again what a failed write shows to be different from what was known.
    fn note_failure(&mut self, error: &TableError) {
        match error {
            TableError::Conflict { key } => match key.strip_prefix(WORKER_PREFIX) {
                Some(worker) => self.fleet.mark_stale(worker),
                None => self.board.distrust(),
            },
            // It may have taken effect; what is there now tells.
            TableError::Ambiguous => {
                self.board.distrust();
                self.fleet.distrust();
            }
            TableError::Unavailable | TableError::Malformed { .. } => {}
        }
        log_event(Level::Debug, "write_failed", &[("error", error)]);
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

impl Message<SchedulerNews> for SchedulerActor {
    type Reply = ();

    async fn handle(&mut self, news: SchedulerNews, _: &mut Context<Self, ()>) {
        match news {
            SchedulerNews::JobChanged(job) => {
                self.changed_jobs.insert(job);
            }
            SchedulerNews::TasksEnded { worker, jobs } => {
                self.fleet.mark_stale(&worker);
                self.changed_jobs.extend(jobs);
            }
        }
    }
}

impl Message<SchedulerStep> for SchedulerActor {
    type Reply = ();

    async fn handle(&mut self, _: SchedulerStep, _: &mut Context<Self, ()>) {
        if let Err(error) = self.step().await {
            self.note_failure(&error);
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
