//! What an agent believes of a start that its worker has not answered: it may be carried out later.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use async_trait::async_trait;
use greengagearch::connection::lease::FIRST_EPOCH;
use greengagearch::connection::lease::LeaseHolder;
use greengagearch::connection::worker_row::CommittedTask;
use greengagearch::connection::worker_row::WorkerRow;
use greengagearch::connection::worker_row::task_name;
use greengagearch::connection::worker_row::worker_key;
use greengagearch::external::memory_table::MemoryTable;
use greengagearch::external::table::TableTransaction;
use greengagearch::external::worker::AttemptKey;
use greengagearch::external::worker::AttemptReport;
use greengagearch::external::worker::AttemptState;
use greengagearch::external::worker::ResourceAmount;
use greengagearch::external::worker::TaskStart;
use greengagearch::external::worker::WorkerControl;
use greengagearch::external::worker::WorkerError;
use greengagearch::external::worker::WorkerStatus;
use greengagearch::process::agent::reconciler::ReconcileActor;
use greengagearch::process::agent::reconciler::ReconcileTick;
use greengagearch::process::agent::reconciler::ReleaseLease;
use greengagearch::process::agent::shared::AgentShared;
use greengagearch::process::agent::shared::WorkerLease;
use greengagearch::process::settings::AgentSettings;
use greengagearch::request::job::JobSpec;
use greengagearch::request::job::TaskSpec;
use greengagearch::request::job::TaskState;
use greengagearch::request::job::task_key;
use greengagearch::request::job::task_rows;
use kameo::actor::ActorRef;
use kameo::actor::Spawn;

const SETTINGS: &str = "[agent]\nworker = w1\ndomain = wien-a\nrack = r1\nbalancer = 127.0.0.1:1\n\
                        [platform]\ntable = 127.0.0.1:7000\n";
const JOB: &str = "traffic/night";
const HALF: ResourceAmount =
    ResourceAmount { millicores: 2_000, memory_mib: 1_000, accelerators: 0 };
const WHOLE: ResourceAmount =
    ResourceAmount { millicores: 4_000, memory_mib: 2_000, accelerators: 0 };

/// A worker that answers no start, and shows none before its time.
#[derive(Default)]
struct SilentWorker {
    now_millis: Mutex<u64>,
    starts: Mutex<Vec<TaskStart>>,
    shown: Mutex<Vec<AttemptReport>>,
    forgotten: Mutex<Vec<AttemptKey>>,
}

#[async_trait]
impl WorkerControl for SilentWorker {
    async fn status(&self) -> Result<WorkerStatus, WorkerError> {
        let now_millis = *self.now_millis.lock().unwrap();
        Ok(WorkerStatus {
            now_millis,
            capacity: WHOLE,
            attempts: self.shown.lock().unwrap().clone(),
        })
    }

    async fn start(&self, start: TaskStart) -> Result<(), WorkerError> {
        self.starts.lock().unwrap().push(start);
        Err(WorkerError::Unreachable)
    }

    async fn renew(&self, _: Vec<AttemptKey>, _: u64) -> Result<(), WorkerError> {
        Ok(())
    }

    async fn throttle(&self, _: AttemptKey, _: u32) -> Result<(), WorkerError> {
        Ok(())
    }

    async fn stop(&self, _: AttemptKey) -> Result<(), WorkerError> {
        Ok(())
    }

    async fn forget(&self, keys: Vec<AttemptKey>) -> Result<(), WorkerError> {
        self.forgotten.lock().unwrap().extend(keys);
        Ok(())
    }
}

/// An agent that holds its worker's lease, with one task of a job committed to it.
struct PlayedAgent {
    table: Arc<MemoryTable>,
    worker: Arc<SilentWorker>,
    reconciler: ActorRef<ReconcileActor>,
}

impl PlayedAgent {
    fn start(tasks: usize, shown: Vec<AttemptReport>) -> PlayedAgent {
        let settings = AgentSettings::parse("agent.ini", SETTINGS).unwrap();
        let table = Arc::new(MemoryTable::default());
        let worker = SilentWorker { shown: Mutex::new(shown), ..SilentWorker::default() };
        let worker = Arc::new(worker);
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let shared = AgentShared::new(settings, address, table.clone(), Some(worker.clone()));
        let timing = shared.map().timing.worker_lease();
        let (holder, acts_from) = (LeaseHolder::new(timing, FIRST_EPOCH), Instant::now());
        *shared.lease() = Some(WorkerLease { holder, acts_from });
        commit_tasks(&table, shared.incarnation, tasks);
        let reconciler = ReconcileActor::spawn(ReconcileActor::new(Arc::new(shared)));
        PlayedAgent { table, worker, reconciler }
    }

    async fn look(&self) {
        self.reconciler.ask(ReconcileTick).await.unwrap();
    }

    fn row(&self) -> WorkerRow {
        self.table.row(&worker_key("w1")).unwrap().decode().unwrap()
    }

    /// Asks for the end of the task, as after a cancel.
    fn ask_to_stop(&self) {
        let stored = self.table.row(&worker_key("w1")).unwrap();
        let mut row: WorkerRow = stored.decode().unwrap();
        row.tasks.values_mut().for_each(|task| task.stop = true);
        let mut transaction = TableTransaction::default();
        transaction.put(&stored.key, stored.version, &row);
        self.table.apply(&transaction).unwrap();
    }
}

/// Commits tasks of a job to the worker.
fn commit_tasks(table: &MemoryTable, holder: u64, count: usize) {
    let task = TaskSpec { resources: HALF, run_millis: 1_000, input: String::new() };
    let spec = JobSpec {
        id: "night".to_string(),
        team: "traffic".to_string(),
        kind: "roster".to_string(),
        urgent: false,
        tasks: vec![task; count],
    };
    let committed = CommittedTask {
        attempt: 1,
        resources: HALF,
        team: spec.team.clone(),
        kind: spec.kind.clone(),
        urgent: false,
        stop: false,
    };
    let mut row = WorkerRow { worker: "w1".to_string(), holder, epoch: 1, ..WorkerRow::default() };
    row.capacity = WHOLE;
    let mut transaction = TableTransaction::default();
    for mut task in task_rows(&spec, 0) {
        task.attempt = 1;
        task.state = TaskState::Committed { worker: "w1".to_string() };
        row.tasks.insert(task_name(JOB, task.index), committed.clone());
        transaction.put(&task_key(JOB, task.index), 0, &task);
    }
    transaction.put(&worker_key("w1"), 0, &row);
    table.apply(&transaction).unwrap();
}

/// What a worker reports of the first task of a job.
fn report(job: &str, state: AttemptState) -> AttemptReport {
    AttemptReport {
        key: AttemptKey { job: job.to_string(), task: 0, attempt: 1 },
        kind: "roster".to_string(),
        resources: HALF,
        used: ResourceAmount::default(),
        ran_millis: 0,
        state,
    }
}

/// Guards against a task that begins after its cancelled job has ended: a start without an answer was to stop, the worker did not show
/// it yet, and the agent took it for one that was never started.
#[tokio::test]
async fn a_start_without_an_answer_has_not_ended_before_its_lease() {
    let agent = PlayedAgent::start(1, Vec::new());
    agent.look().await;
    let lease_end = agent.worker.starts.lock().unwrap()[0].lease_until_millis;
    agent.ask_to_stop();
    agent.look().await;
    assert_eq!(agent.row().tasks.len(), 1, "the start may still be carried out");
    *agent.worker.now_millis.lock().unwrap() = lease_end;
    agent.look().await;
    assert_eq!(agent.row().tasks.len(), 0, "its lease has ended");
}

/// Guards against a worker that is given more than it has: a start without an answer was counted as one that has not begun, beside an
/// attempt that was still stopping.
#[tokio::test]
async fn a_start_without_an_answer_holds_its_room() {
    let stopping = report("traffic/day", AttemptState::Running);
    let agent = PlayedAgent::start(2, vec![stopping]);
    agent.look().await;
    agent.look().await;
    let starts = agent.worker.starts.lock().unwrap();
    let tasks: Vec<u32> = starts.iter().map(|start| start.key.task).collect();
    assert_eq!(tasks, [0, 0], "the first is tried again, the second waits for room");
}

/// Guards against a task that runs again after its end: a start that was repeated since its first try had no answer, was carried out once
/// more after the worker had been told to forget the attempt.
#[tokio::test]
async fn an_attempt_is_not_forgotten_while_a_try_to_start_it_may_come() {
    let agent = PlayedAgent::start(1, Vec::new());
    agent.look().await;
    let lease_end = agent.worker.starts.lock().unwrap()[0].lease_until_millis;
    let finished = AttemptState::Finished { result: String::new() };
    *agent.worker.shown.lock().unwrap() = vec![report(JOB, finished)];
    agent.look().await;
    agent.look().await;
    assert_eq!(agent.row().tasks.len(), 0, "its end is told at once");
    assert_eq!(*agent.worker.forgotten.lock().unwrap(), [], "the first try may still come");
    *agent.worker.now_millis.lock().unwrap() = lease_end;
    agent.look().await;
    assert_eq!(agent.worker.forgotten.lock().unwrap().len(), 1, "its lease has ended");
}

/// Guards against a task that runs twice: an agent that stops gives its lease back at once, and the next one knows of no try of it that
/// may be carried out.
#[tokio::test]
async fn a_lease_is_not_given_back_while_a_start_without_an_answer_may_come() {
    let agent = PlayedAgent::start(1, Vec::new());
    agent.look().await;
    assert_eq!(agent.worker.starts.lock().unwrap().len(), 1);
    agent.reconciler.ask(ReleaseLease).await.unwrap();
    assert!(!agent.row().released, "the next agent acts at once");
}
