//! What an agent logs of the planner's leases and of the starts that wait for them.

mod kept_log;
mod linked_agent;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use greengagearch::connection::node_protocol::LinkStamp;
use greengagearch::connection::node_protocol::NodeOrder;
use greengagearch::connection::node_protocol::OrderCall;
use greengagearch::connection::node_protocol::OrderLease;
use greengagearch::connection::node_protocol::PresentRun;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::external::runner_control::PollRequest;
use greengagearch::external::runner_control::PollResponse;
use greengagearch::external::runner_control::RunnerControl;
use greengagearch::external::runner_control::RunnerError;
use greengagearch::external::runner_control::RunnerMillis;
use greengagearch::external::runner_control::RunnerTarget;
use greengagearch::process::clock;
use greengagearch::process::node::lease_watch::LeaseChange;
use greengagearch::process::node::order_sender::accept_orders;
use greengagearch::process::node::shared::NodeShared;
use greengagearch::process::node::state::NodeState;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::task_name::TaskName;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::kept_log::keep_log;
use crate::kept_log::lines_with;
use crate::linked_agent::ENDLESS_LEASE;
use crate::linked_agent::LONG_LEASE;
use crate::linked_agent::begun_run;
use crate::linked_agent::lease_call;
use crate::linked_agent::look_at;
use crate::linked_agent::plain_traits;
use crate::linked_agent::registered_runner;
use crate::linked_agent::start_order;

const STAMP: LinkStamp = LinkStamp { epoch: 3, link: 5 };
const ROOM: ResourceVector = ResourceVector { millicores: 400, memory_mib: 100, accelerators: 0 };
/// Bound on the waits.
const LIMIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);

/// A runner that takes every start.
struct OpenRunner;

#[async_trait]
impl RunnerControl for OpenRunner {
    async fn start(
        &self,
        _: &RunnerTarget,
        _: &StartOrder,
        _: RunnerMillis,
    ) -> Result<(), RunnerError> {
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
        Ok(PollResponse { clock: 500, ..PollResponse::default() })
    }
}

/// An order to start a task that came over the link of these tests.
fn order(task: &str) -> StartOrder {
    let lease = OrderLease { link: STAMP.link, ..ENDLESS_LEASE };
    StartOrder { lease, ..start_order(plain_traits(task, ROOM), false) }
}

/// An agent whose runner shows these runs and has a lease of nine seconds.
fn leased(running: Vec<PresentRun>, now: Instant) -> NodeState {
    let mut state = NodeState::new(now);
    state.on_heartbeat(registered_runner(4_000, 4_000, 1));
    state.admit(STAMP).unwrap();
    look_at(&mut state, running, 500, now);
    state.on_sync(&lease_call(STAMP, LONG_LEASE));
    state
}

#[test]
fn a_lapse_is_told_once_and_so_is_its_end() {
    let now = Instant::now();
    let mut state = leased(vec![begun_run("a.0.0.0")], now);
    assert_eq!(state.take_lease_change(now), None);
    let lapsed_at = now + LONG_LEASE;
    let lapsed = LeaseChange::Lapsed { runs: 1, starts: 0, since: Duration::from_secs(1) };
    let later = lapsed_at + Duration::from_secs(1);
    assert_eq!(state.take_lease_change(later), Some(lapsed));
    assert_eq!(state.take_lease_change(later + POLL), None);
    state.on_sync(&lease_call(STAMP, Duration::from_secs(20)));
    let renewed = LeaseChange::Renewed { since: Duration::from_secs(3) };
    assert_eq!(state.take_lease_change(lapsed_at + Duration::from_secs(3)), Some(renewed));
    assert_eq!(state.take_lease_change(lapsed_at + Duration::from_secs(3)), None);
}

#[test]
fn a_lease_that_nothing_needs_lapses_silently_until_a_start_comes() {
    let now = Instant::now();
    let mut state = leased(Vec::new(), now);
    let later = now + LONG_LEASE;
    assert_eq!(state.take_lease_change(later), None);
    state.accept_start(&order("a.0.0.0"), later);
    let lapsed = LeaseChange::Lapsed { runs: 0, starts: 1, since: Duration::ZERO };
    assert_eq!(state.take_lease_change(later), Some(lapsed));
}

/// Guards against starts of which no line tells that they waited for a lease, or under which link they were ordered.
#[tokio::test]
async fn a_start_tells_its_link_and_how_long_it_waited_for_a_lease() {
    keep_log();
    let shared = Arc::new(NodeShared::new(Arc::new(OpenRunner)));
    let now = clock::now();
    {
        let mut state = shared.state();
        state.on_heartbeat(registered_runner(4_000, 4_000, 1));
        state.admit(STAMP).unwrap();
        look_at(&mut state, Vec::new(), 500, now);
    }
    let call = OrderCall {
        stamp: STAMP,
        instance: "i-1".to_string(),
        number: 1,
        previous: 0,
        orders: vec![NodeOrder::Start(order("w.0.0.0"))],
    };
    accept_orders(&shared, call);
    sleep(Duration::from_millis(300)).await;
    shared.state().on_sync(&lease_call(STAMP, LONG_LEASE));
    let told = async {
        while lines_with("task=w.0.0.0 ").is_empty() {
            look_at(&mut shared.state(), Vec::new(), 600, clock::now());
            sleep(POLL).await;
        }
    };
    timeout(LIMIT, told).await.expect("a line");
    let line = lines_with("task=w.0.0.0 ").remove(0);
    assert!(line.contains(" event=task_start task=w.0.0.0 run=1 epoch=3 link=5 "), "{line}");
    let (_, waited) = line.split_once(" waited_ms=").unwrap();
    let (waited, rest) = waited.split_once(' ').unwrap();
    assert!(waited.parse::<u64>().unwrap() >= 300, "{line}");
    assert_eq!(rest, "outcome=settled tries=1 unanswered=0");
}
