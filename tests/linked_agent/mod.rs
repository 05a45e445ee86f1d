//! What an agent is told until it may start runs: the state of its runner, a planner's call, orders and looks.

#![allow(dead_code)]

use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::node_protocol::LeaseGrant;
use greengagearch::connection::node_protocol::LinkStamp;
use greengagearch::connection::node_protocol::OrderLease;
use greengagearch::connection::node_protocol::PresentRun;
use greengagearch::connection::node_protocol::RunnerStatus;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::connection::node_protocol::SyncCall;
use greengagearch::connection::node_protocol::TaskTraits;
use greengagearch::external::runner_control::PollResponse;
use greengagearch::process::node::registered_runner::RegisteredRunner;
use greengagearch::process::node::state::NodeState;
use greengagearch::workflow::spec::ResourceVector;

/// Span of a lease that outlasts what a test plays.
pub const LONG_LEASE: Duration = Duration::from_secs(9);

/// Lease that orders over the first link are given under, where a test is not about its end.
pub const ENDLESS_LEASE: OrderLease = OrderLease { link: 1, end: Duration::from_secs(3_600) };

/// The runner beside the agent; its start time is not known.
pub fn registered_runner(millicores: u64, memory_mib: u64, sequence: u64) -> RegisteredRunner {
    let status = RunnerStatus {
        instance: "i-1".to_string(),
        service: "s".to_string(),
        domain: "d".to_string(),
        capacity: ResourceVector { millicores, memory_mib, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
    };
    let (runner, address) = ("i-1".to_string(), "127.0.0.1:1".to_string());
    RegisteredRunner { runner, status, address, sequence, started_at: None }
}

/// Traits of a task that neither serves nor fills.
pub fn plain_traits(task: &str, resources: ResourceVector) -> TaskTraits {
    TaskTraits {
        task: task.parse().unwrap(),
        image: String::new(),
        target_ms: 0,
        best_effort: false,
        resources,
        effects: Vec::new(),
        idle_tail_ms: 0,
        yields: false,
    }
}

/// An order to start the first run of a task.
pub fn start_order(traits: TaskTraits, is_repeat: bool) -> StartOrder {
    let (payload, checkpoint) = (String::new(), String::new());
    StartOrder {
        run: 1,
        payload,
        checkpoint,
        ticket: None,
        lease: ENDLESS_LEASE,
        traits,
        is_repeat,
    }
}

/// A planner's call that grants a lease to the runner of [`registered_runner`].
pub fn lease_call(stamp: LinkStamp, span: Duration) -> SyncCall {
    SyncCall {
        stamp,
        grant: Some(LeaseGrant { since: Duration::ZERO, span }),
        instance: Some("i-1".to_string()),
        last_acked_end: 0,
        wait: Duration::ZERO,
    }
}

/// A run that has begun on the runner.
pub fn begun_run(task: &str) -> PresentRun {
    PresentRun { is_started: true, ..PresentRun::ordered(task.parse().unwrap(), 1) }
}

/// A look at the runner that shows these runs at `clock`; the planner is not told of it yet.
pub fn look_at(state: &mut NodeState, running: Vec<PresentRun>, clock: u64, now: Instant) {
    let (number, _) = state.next_poll(Duration::ZERO, now);
    let lists = PollResponse { clock, running, ..PollResponse::default() };
    state.on_poll_response(number, lists, now);
}
