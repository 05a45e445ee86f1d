//! A worker's capacity shrinks while starts are on their way.
//!
//! The planner counts free room from the newest report; a start may have been decided on an older one and have waited for the store.
//! A runner that does not guard its capacity would begin it all the same, so that the agent beside it is the last that can refuse.

mod linked_agent;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use greengagearch::connection::node_protocol::LinkStamp;
use greengagearch::connection::node_protocol::NodeOrder;
use greengagearch::connection::node_protocol::OrderCall;
use greengagearch::connection::node_protocol::RejectReason;
use greengagearch::connection::node_protocol::RejectedRun;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::connection::node_protocol::TaskTraits;
use greengagearch::external::runner_control::PollRequest;
use greengagearch::external::runner_control::PollResponse;
use greengagearch::external::runner_control::RunnerControl;
use greengagearch::external::runner_control::RunnerError;
use greengagearch::external::runner_control::RunnerMillis;
use greengagearch::external::runner_control::RunnerTarget;
use greengagearch::process::clock;
use greengagearch::process::node::order_sender::accept_orders;
use greengagearch::process::node::registered_runner::RegisteredRunner;
use greengagearch::process::node::shared::NodeShared;
use greengagearch::process::node::state::NodeState;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::task_name::TaskName;
use tokio::time::timeout;

use crate::linked_agent::LONG_LEASE;
use crate::linked_agent::begun_run;
use crate::linked_agent::lease_call;
use crate::linked_agent::look_at;
use crate::linked_agent::plain_traits;
use crate::linked_agent::registered_runner;
use crate::linked_agent::start_order;

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

    async fn poll(&self, _: &RunnerTarget, _: PollRequest) -> Result<PollResponse, RunnerError> {
        Ok(PollResponse { clock: 0, ..PollResponse::default() })
    }
}

fn runner(millicores: u64, sequence: u64) -> RegisteredRunner {
    registered_runner(millicores, 4_000, sequence)
}

fn traits(task: &str, millicores: u64) -> TaskTraits {
    plain_traits(task, ResourceVector { millicores, memory_mib: 100, accelerators: 0 })
}

fn start(number: u64, task: &str, millicores: u64) -> OrderCall {
    let order = start_order(traits(task, millicores), false);
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
    state.on_heartbeat(runner(4_000, 1));
    state.admit(STAMP).unwrap();
    state.traits.insert("a.0.0.0".parse().unwrap(), traits("a.0.0.0", 2_000));
    look(&mut state, now);
    state.on_sync(&lease_call(STAMP, LONG_LEASE));
    drop(state);
    shared
}

fn look(state: &mut NodeState, now: Instant) {
    look_at(state, vec![begun_run("a.0.0.0")], 500, now);
}

/// Looks at the runner until the agent has refused something.
async fn next_refusal(shared: &NodeShared) -> RejectedRun {
    loop {
        {
            let now = clock::now();
            let mut state = shared.state();
            look(&mut state, now);
            let told = state.report(now).snapshot.unwrap();
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
    accept_orders(&shared, start(1, "b.0.0.0", 1_000));
    while control.started.lock().unwrap().is_empty() {
        tokio::time::sleep(POLL).await;
    }

    // The next start was decided before this heartbeat.
    shared.state().on_heartbeat(runner(2_500, 2));
    accept_orders(&shared, start(2, "c.0.0.0", 1_000));
    let refused = timeout(LIMIT, next_refusal(&shared)).await.expect("a refusal");
    assert_eq!(refused.reason, RejectReason::Room);
    assert_eq!(refused.task.to_string(), "c.0.0.0");
    assert_eq!(*control.started.lock().unwrap(), ["b.0.0.0"]);
}
