//! An agent that stands still between its decision to send a start and the call, while its runner restarts under the same id.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use async_trait::async_trait;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::external::runner_control::PollRequest;
use greengagearch::external::runner_control::PollResponse;
use greengagearch::external::runner_control::RunnerControl;
use greengagearch::external::runner_control::RunnerError;
use greengagearch::external::runner_control::RunnerMillis;
use greengagearch::external::runner_control::RunnerTarget;
use greengagearch::platform::runner_client::RunnerClient;
use greengagearch::platform::store_client::StoreClient;
use greengagearch::process::node::NodeAddresses;
use greengagearch::process::node::NodeProcess;
use greengagearch::process::planning::settings::NodeSettings;
use greengagearch::process::stop_signal::StopSwitch;
use greengagearch::workflow::task_name::TaskName;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;
use greengagearch_standins::platform_runner::PlatformRunner;

/// Pause between two instances of the runner.
const RESTART_PAUSE: Duration = Duration::from_millis(50);
/// Longer than a task takes that starts when the agent goes on.
const SETTLE: Duration = Duration::from_secs(2);
/// Job whose only task is ordered from the stalled agent.
const JOB: u64 = 1;
const POLL_CHECK: Duration = Duration::from_millis(1);
const TASK: &str = "run_ms=200";

/// Blocks the thread of the agent right before the first start leaves, while a poll occupies the only connection to the runner. The
/// start then needs a new one.
struct StallingClient {
    client: RunnerClient,
    /// Polls in progress.
    polls: AtomicU32,
    stall: Mutex<Option<AgentStall>>,
}

/// The agent's end of a stall.
struct AgentStall {
    began: mpsc::Sender<()>,
    end: mpsc::Receiver<()>,
}

#[async_trait]
impl RunnerControl for StallingClient {
    async fn start(
        &self,
        target: &RunnerTarget,
        order: &StartOrder,
        lease_end: RunnerMillis,
    ) -> Result<(), RunnerError> {
        let stall = self.stall.lock().unwrap().take();
        if let Some(stall) = stall {
            while self.polls.load(Ordering::Relaxed) == 0 {
                tokio::time::sleep(POLL_CHECK).await;
            }
            stall.began.send(()).unwrap();
            stall.end.recv().unwrap();
        }
        self.client.start(target, order, lease_end).await
    }

    async fn stop(
        &self,
        target: &RunnerTarget,
        task: &TaskName,
        run: u32,
    ) -> Result<(), RunnerError> {
        self.client.stop(target, task, run).await
    }

    async fn pace(
        &self,
        target: &RunnerTarget,
        task: &TaskName,
        run: u32,
        percent: u32,
    ) -> Result<(), RunnerError> {
        self.client.pace(target, task, run, percent).await
    }

    async fn poll(
        &self,
        target: &RunnerTarget,
        request: PollRequest,
    ) -> Result<PollResponse, RunnerError> {
        self.polls.fetch_add(1, Ordering::Relaxed);
        let response = self.client.poll(target, request).await;
        self.polls.fetch_sub(1, Ordering::Relaxed);
        response
    }
}

/// An agent that has one thread, as the program has, and stalls at its first start.
struct StallingAgent {
    addresses: NodeAddresses,
    stalled: mpsc::Receiver<()>,
    resume: mpsc::Sender<()>,
    /// Stops the agent when the test ends.
    _switch: StopSwitch,
}

impl StallingAgent {
    fn spawn(store: &str) -> StallingAgent {
        let text = format!(
            "[node]\nid = stalling\ndomain = d0\nregistry-listen = 127.0.0.1:0\n\
             internal-listen = 127.0.0.1:0\n[store]\naddress = {store}\n"
        );
        let settings = NodeSettings::parse("node.ini", &text).unwrap();
        let store = Arc::new(StoreClient::open(store));
        let (began, stalled) = mpsc::channel();
        let (resume, end) = mpsc::channel();
        let stall = Mutex::new(Some(AgentStall { began, end }));
        let client = Arc::new(StallingClient {
            client: RunnerClient::open(),
            polls: AtomicU32::new(0),
            stall,
        });
        let (switch, stop) = StopSwitch::new();
        let (bound, addresses) = mpsc::channel();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.unwrap().block_on(async {
                let process = NodeProcess::bind(settings, store, client, stop).await.unwrap();
                bound.send(process.addresses).unwrap();
                process.stopped().await;
            });
        });
        let addresses = addresses.recv().unwrap();
        StallingAgent { addresses, stalled, resume, _switch: switch }
    }

    async fn until_stalled(&self, env: &PlatformCluster) {
        env.until(async || self.stalled.try_recv().is_ok()).await;
    }
}

/// Guards against a start that reaches the next instance of its runner: its agent stands still before the call, and the task, which
/// the planner has given up meanwhile, is done elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_that_leaves_after_a_restart_of_its_runner_begins_nothing() {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let mut env = PlatformCluster::start(programs, None, 1, 0).await;
    let listener = env.store.listen().await;
    let agent = StallingAgent::spawn(&listener.address.to_string());
    let (registry, journal) = (agent.addresses.registry, env.journal.clone());
    let runner = PlatformRunner::spawn_with_start_time("i-0", registry, journal).await;
    env.submit_until_accepted(0, &job_name(JOB), &job_of_steps(TASK, &[1])).await;
    agent.until_stalled(&env).await;
    env.add_returning_node("i-1").await;
    env.until_state(0, &job_name(JOB), "completed").await;
    let next = runner.restart(RESTART_PAUSE).await;
    agent.resume.send(()).unwrap();
    tokio::time::sleep(SETTLE).await;
    next.crash();
    env.assert_nothing_doubled();
}
