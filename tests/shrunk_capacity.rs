//! A worker's capacity shrinks while starts are on their way.
//!
//! The planner counts free room from the newest report; a start may have been decided on an older one and have waited for the store.
//! A runner that does not guard its capacity would begin it all the same, so that the agent beside it is the last that can refuse.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use greengagearch::connection::node_protocol::LeaseGrant;
use greengagearch::connection::node_protocol::LinkStamp;
use greengagearch::connection::node_protocol::NodeOrder;
use greengagearch::connection::node_protocol::OrderCall;
use greengagearch::connection::node_protocol::PresentRun;
use greengagearch::connection::node_protocol::RejectReason;
use greengagearch::connection::node_protocol::RejectedRun;
use greengagearch::connection::node_protocol::RunnerStatus;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::connection::node_protocol::SyncCall;
use greengagearch::connection::node_protocol::TaskTraits;
use greengagearch::external::runner_control::RunnerControl;
use greengagearch::external::runner_control::RunnerError;
use greengagearch::external::runner_control::RunnerHold;
use greengagearch::external::runner_control::RunnerLists;
use greengagearch::external::runner_control::RunnerMillis;
use greengagearch::external::runner_control::RunnerTarget;
use greengagearch::process::clock;
use greengagearch::process::node::known_runner::KnownRunner;
use greengagearch::process::node::orders::take_orders;
use greengagearch::process::node::shared::NodeShared;
use greengagearch::workflow::spec::RoomAmount;
use greengagearch::workflow::task_name::TaskName;
use greengagearch::workflow::worker_board::RunKey;
use tokio::time::timeout;

/// Pause between two looks, and the longest wait for what has to come.
const POLL: Duration = Duration::from_millis(5);
const LIMIT: Duration = Duration::from_secs(5);
const STAMP: LinkStamp = LinkStamp { epoch: 1, link: 1 };

/// A runner that takes every start, whatever its capacity.
#[derive(Default)]
struct UnguardedRunner {
    started: Mutex<Vec<String>>,
}

#[async_trait]
impl RunnerControl for UnguardedRunner {
    async fn start(
        &self,
        _: &RunnerTarget,
        order: &StartOrder,
        _: RunnerMillis,
    ) -> Result<(), RunnerError> {
        self.started.lock().unwrap().push(order.traits.task.to_string());
        Ok(())
    }

    async fn stop(&self, _: &RunnerTarget, _: &TaskName, _: u32) -> Result<(), RunnerError> {
        Ok(())
    }

    async fn pace(
        &self,
        _: &RunnerTarget,
        _: &TaskName,
        _: u32,
        _: u32,
    ) -> Result<(), RunnerError> {
        Ok(())
    }

    async fn hold(&self, _: &RunnerTarget, _: RunnerHold) -> Result<RunnerLists, RunnerError> {
        Ok(RunnerLists { clock: 0, running: Vec::new(), ended: Vec::new() })
    }
}

fn runner(millicores: u64, sequence: u64) -> KnownRunner {
    let status = RunnerStatus {
        instance: "i-1".to_string(),
        service: "s".to_string(),
        domain: "d".to_string(),
        capacity: RoomAmount { millicores, memory_mib: 4_000, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
    };
    let (runner, address) = ("i-1".to_string(), "127.0.0.1:1".to_string());
    KnownRunner { runner, status, address, sequence, started_at: None }
}

fn traits(task: &str, millicores: u64) -> TaskTraits {
    TaskTraits {
        task: task.parse().unwrap(),
        image: String::new(),
        target_ms: 0,
        fills: false,
        room: RoomAmount { millicores, memory_mib: 100, accelerators: 0 },
        effects: Vec::new(),
        idle_tail_ms: 0,
    }
}

fn start(number: u64, task: &str, millicores: u64) -> OrderCall {
    let order = StartOrder {
        run: 1,
        payload: String::new(),
        checkpoint: String::new(),
        ticket: None,
        traits: traits(task, millicores),
        is_repeat: false,
    };
    OrderCall {
        stamp: STAMP,
        instance: "i-1".to_string(),
        number,
        previous: number - 1,
        orders: vec![NodeOrder::Start(order)],
    }
}

/// An agent whose runner has four cores and shows one run of two.
fn linked(control: Arc<UnguardedRunner>, now: Instant) -> Arc<NodeShared> {
    let shared = Arc::new(NodeShared::new(control));
    let mut state = shared.state();
    state.on_beat(runner(4_000, 1));
    state.admit(STAMP).unwrap();
    state.traits.insert("a.0.0.0".parse().unwrap(), traits("a.0.0.0", 2_000));
    look(&mut state, now);
    let grant = LeaseGrant { since: Duration::ZERO, span: Duration::from_secs(9) };
    state.on_sync(&SyncCall {
        stamp: STAMP,
        grant: Some(grant),
        instance: Some("i-1".to_string()),
        seen: 0,
        wait: Duration::ZERO,
    });
    drop(state);
    shared
}

fn look(state: &mut greengagearch::process::node::state::NodeState, now: Instant) {
    let key: RunKey = ("a.0.0.0".parse().unwrap(), 1);
    let shown = PresentRun { is_begun: true, ..PresentRun::ordered(key.0, key.1) };
    let (number, _) = state.next_hold(Duration::ZERO, now);
    let lists = RunnerLists { clock: 500, running: vec![shown], ended: Vec::new() };
    state.on_lists(number, lists, now);
}

/// Looks at the runner until the agent has refused something.
async fn next_refusal(shared: &NodeShared) -> RejectedRun {
    loop {
        {
            let now = clock::now();
            let mut state = shared.state();
            look(&mut state, now);
            let told = state.report(now).look.unwrap();
            if let Some(refused) = told.rejected.into_iter().next() {
                return refused;
            }
        }
        tokio::time::sleep(POLL).await;
    }
}

#[tokio::test]
async fn a_start_beyond_a_capacity_that_has_shrunk_is_refused_by_the_agent() {
    let control = Arc::new(UnguardedRunner::default());
    let shared = linked(control.clone(), clock::now());
    take_orders(&shared, start(1, "b.0.0.0", 1_000));
    while control.started.lock().unwrap().is_empty() {
        tokio::time::sleep(POLL).await;
    }

    // The next start was decided before this heartbeat.
    shared.state().on_beat(runner(2_500, 2));
    take_orders(&shared, start(2, "c.0.0.0", 1_000));
    let refused = timeout(LIMIT, next_refusal(&shared)).await.expect("a refusal");
    assert_eq!(refused.reason, RejectReason::Room);
    assert_eq!(refused.task.to_string(), "c.0.0.0");
    assert_eq!(*control.started.lock().unwrap(), ["b.0.0.0"]);
}
