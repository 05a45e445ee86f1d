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
use greengagearch::external::worker::ResourceAmount;
use greengagearch::external::worker::TaskStart;
use greengagearch::external::worker::WorkerControl;
use greengagearch::external::worker::WorkerError;
use greengagearch::external::worker::WorkerStatus;
use greengagearch::process::agent::reconciler::ReconcileActor;
use greengagearch::process::agent::reconciler::ReconcileTick;
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
}

#[async_trait]
impl WorkerControl for SilentWorker {
    async fn status(&self) -> Result<WorkerStatus, WorkerError> {
        let now_millis = *self.now_millis.lock().unwrap();
        Ok(WorkerStatus { now_millis, capacity: WHOLE, attempts: Vec::new() })
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

    async fn forget(&self, _: Vec<AttemptKey>) -> Result<(), WorkerError> {
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
    fn start() -> PlayedAgent {
        let settings = AgentSettings::parse("agent.ini", SETTINGS).unwrap();
        let (table, worker) = (Arc::new(MemoryTable::default()), Arc::new(SilentWorker::default()));
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let shared = AgentShared::new(settings, address, table.clone(), Some(worker.clone()));
        let timing = shared.map().timing.worker_lease();
        let (holder, acts_from) = (LeaseHolder::new(timing, FIRST_EPOCH), Instant::now());
        *shared.lease() = Some(WorkerLease { holder, acts_from });
        commit_task(&table, shared.incarnation);
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

/// Commits the first task of a job to the worker.
fn commit_task(table: &MemoryTable, holder: u64) {
    let task = TaskSpec { resources: HALF, run_millis: 1_000, input: String::new() };
    let spec = JobSpec {
        id: "night".to_string(),
        team: "traffic".to_string(),
        kind: "roster".to_string(),
        urgent: false,
        tasks: vec![task],
    };
    let mut task = task_rows(&spec, 0).remove(0);
    task.attempt = 1;
    task.state = TaskState::Committed { worker: "w1".to_string() };
    let committed = CommittedTask {
        attempt: 1,
        resources: HALF,
        team: spec.team,
        kind: spec.kind,
        urgent: false,
        stop: false,
    };
    let mut row = WorkerRow { worker: "w1".to_string(), holder, epoch: 1, ..WorkerRow::default() };
    row.capacity = WHOLE;
    row.tasks.insert(task_name(JOB, 0), committed);
    let mut transaction = TableTransaction::default();
    transaction.put(&task_key(JOB, 0), 0, &task);
    transaction.put(&worker_key("w1"), 0, &row);
    table.apply(&transaction).unwrap();
}

/// Guards against a task that begins after its cancelled job has ended: a start without an answer was to stop, the worker did not show
/// it yet, and the agent took it for one that was never started.
#[tokio::test]
async fn a_start_without_an_answer_has_not_ended_before_its_lease() {
    let agent = PlayedAgent::start();
    agent.look().await;
    let lease_end = agent.worker.starts.lock().unwrap()[0].lease_until_millis;
    agent.ask_to_stop();
    agent.look().await;
    assert_eq!(agent.row().tasks.len(), 1, "the start may still be carried out");
    *agent.worker.now_millis.lock().unwrap() = lease_end;
    agent.look().await;
    assert_eq!(agent.row().tasks.len(), 0, "its lease has ended");
}
