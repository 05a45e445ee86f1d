//! Runners whose agent has no answer for longer than a lease: because the agent stood still, or because they were silent.

mod linked_agent;

use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::node_protocol::LeaseGrant;
use greengagearch::connection::node_protocol::LinkStamp;
use greengagearch::connection::node_protocol::NodeReport;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::connection::node_protocol::SyncCall;
use greengagearch::process::node::registered_runner::RegisteredRunner;
use greengagearch::process::node::state::NodeState;
use greengagearch::workflow::spec::ResourceVector;

use crate::linked_agent::LONG_LEASE;
use crate::linked_agent::begun_run;
use crate::linked_agent::lease_call;
use crate::linked_agent::look_at;
use crate::linked_agent::plain_traits;
use crate::linked_agent::registered_runner;
use crate::linked_agent::start_order;

const STAMP: LinkStamp = LinkStamp { epoch: 3, link: 1 };
const MILLICORES: u64 = 4_000;
/// Longer than any lease, with what clocks may differ by.
const OUTAGE: Duration = Duration::from_secs(11);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn heartbeat(instance: &str, sequence: u64) -> RegisteredRunner {
    let mut runner = registered_runner(MILLICORES, 4_000, sequence);
    (runner.runner, runner.status.instance) = (instance.to_string(), instance.to_string());
    runner
}

/// An agent whose runner `i-1` has registered and has not answered yet.
fn linked(now: Instant) -> NodeState {
    let mut state = NodeState::new(now);
    state.on_heartbeat(heartbeat("i-1", 1));
    state.admit(STAMP).unwrap();
    state
}

/// The same after an answer that shows a run, with a lease of nine seconds that was sent.
fn leased(now: Instant) -> NodeState {
    let mut state = linked(now);
    look_at(&mut state, vec![begun_run("a.0.0.0")], 0, now);
    state.report(now);
    state.on_sync(&lease_call(STAMP, LONG_LEASE));
    state.next_poll(Duration::ZERO, now);
    state
}

/// A look that leaves at `now` has no answer. Whether the runner is found to be silent beyond its leases.
fn look_in_vain(state: &mut NodeState, now: Instant) -> bool {
    state.next_poll(Duration::ZERO, now);
    state.on_no_response(false, now + Duration::from_millis(800))
}

fn start() -> StartOrder {
    let room = ResourceVector { millicores: 100, memory_mib: 100, accelerators: 0 };
    start_order(plain_traits("a.0.0.0", room), false)
}

/// The instance that the planner is told of, if it may use it.
fn usable(report: &NodeReport) -> Option<&str> {
    let status = report.runner.as_ref()?;
    (status.capacity.millicores == MILLICORES).then_some(status.instance.as_str())
}

/// Guards against a runner that is out of the fleet for good while it answers: its agent stood still for longer than the lease, and the
/// look that was under way had no answer.
#[test]
fn an_agent_that_stood_still_does_not_take_its_runner_for_silent() {
    let now = Instant::now();
    let mut state = leased(now);
    let later = now + OUTAGE;
    assert!(!state.on_no_response(false, later));
    look_at(&mut state, Vec::new(), 11_000, later);
    let report = state.report(later);
    assert_eq!(usable(&report), Some("i-1"));
    assert!(report.former.is_empty());
    assert!(report.snapshot.unwrap().present.is_empty());
}

/// Guards against a runner that hung and is out of the fleet for good: it answers again under its id.
#[test]
fn a_runner_that_was_silent_beyond_its_leases_is_used_again_when_it_answers() {
    let now = Instant::now();
    let mut state = leased(now);
    let later = now + OUTAGE;
    assert!(look_in_vain(&mut state, later));
    assert!(state.has_changes());
    let report = state.report(later);
    assert_eq!(usable(&report), None);
    assert!(report.snapshot.unwrap().present.is_empty(), "what ran there has lapsed");

    state.on_heartbeat(heartbeat("i-1", 2));
    assert_eq!(usable(&state.report(later)), None, "a heartbeat may be an old one");
    look_at(&mut state, Vec::new(), 11_000, later);
    assert!(state.has_changes());
    let report = state.report(later);
    assert_eq!(usable(&report), Some("i-1"));
    assert!(report.former.is_empty());
}

/// Guards against a task that runs twice: a call from before the silence is carried out after it, under the next lease.
#[test]
fn a_runner_that_was_silent_beyond_its_leases_is_called_with_a_higher_token() {
    let now = Instant::now();
    let mut state = leased(now);
    let before = state.target().unwrap().fence;
    assert!(look_in_vain(&mut state, now + OUTAGE));
    assert!(state.target().unwrap().fence > before);
}

/// Guards against a task that runs twice: a new agent's first grant is shorter than the lease that the agent before it has sent.
#[test]
fn the_leases_that_an_agent_before_may_have_sent_count_before_a_runner_is_silent() {
    let now = Instant::now();
    let mut state = linked(now);
    look_at(&mut state, vec![begun_run("a.0.0.0")], 0, now);
    state.on_sync(&lease_call(STAMP, seconds(1)));
    state.next_poll(Duration::ZERO, now);
    assert!(!look_in_vain(&mut state, now + seconds(4)));
    assert!(look_in_vain(&mut state, now + OUTAGE));
}

/// Guards against a task that runs twice: the runner's clock is slow from the time at which it was read for the lease, not only from its
/// last answer.
#[test]
fn a_slow_clock_counts_from_the_reading_that_a_lease_was_sent_with() {
    let now = Instant::now();
    let mut state = linked(now);
    look_at(&mut state, Vec::new(), 5_000, now + seconds(5));
    let grant = LeaseGrant { since: seconds(5), span: LONG_LEASE };
    state.on_sync(&SyncCall { grant: Some(grant), ..lease_call(STAMP, LONG_LEASE) });
    state.next_poll(Duration::ZERO, now + seconds(5));
    look_at(&mut state, Vec::new(), 12_000, now + seconds(12));
    assert!(!look_in_vain(&mut state, now + Duration::from_millis(14_200)));
    assert!(look_in_vain(&mut state, now + seconds(16)));
}

/// Guards against a task that runs twice where runners come back under their ids: the next life has answered a start, with a lease by a
/// clock of its own, and then neither answers.
#[test]
fn a_lease_that_the_next_life_may_have_got_counts_before_a_runner_is_silent() {
    let now = Instant::now();
    let mut state = NodeState::new(now);
    state.on_heartbeat(RegisteredRunner { started_at: Some(200), ..heartbeat("i-1", 1) });
    state.admit(STAMP).unwrap();
    look_at(&mut state, Vec::new(), 0, now);
    state.on_sync(&lease_call(STAMP, LONG_LEASE));
    let (order, target) = (start(), state.target().unwrap());
    let (key, room) = ((order.traits.task.clone(), order.run), order.traits.resources);
    state.accept_start(&order, now);
    assert!(state.begin_attempt(&target, &key, &room, now).is_some());
    state.on_start_response(&target, &key, &Ok(()), now + seconds(5));
    assert!(!look_in_vain(&mut state, now + OUTAGE));
    assert!(look_in_vain(&mut state, now + seconds(16)));
}

/// Guards against a runner that is kept out for good by one that has registered and never answers.
#[test]
fn a_runner_that_never_answers_gives_way_to_the_next_that_registers() {
    let now = Instant::now();
    let mut state = linked(now);
    state.on_heartbeat(heartbeat("i-2", 1));
    assert!(!look_in_vain(&mut state, now + seconds(4)));
    assert!(look_in_vain(&mut state, now + OUTAGE));
    assert_eq!(state.target().unwrap().instance, "i-2");
    look_at(&mut state, Vec::new(), 0, now + OUTAGE);
    let report = state.report(now + OUTAGE);
    assert_eq!(usable(&report), Some("i-2"));
    assert_eq!(report.former, ["i-1"]);
}

/// Guards against a silent runner that is out of the fleet for good: a heartbeat of an instance that is gone arrived during the silence.
#[test]
fn a_late_heartbeat_does_not_keep_a_runner_that_was_silent_from_coming_back() {
    let now = Instant::now();
    let mut state = leased(now);
    let later = now + OUTAGE;
    state.on_heartbeat(heartbeat("i-0", 9));
    assert!(look_in_vain(&mut state, later));
    assert_eq!(state.target().unwrap().instance, "i-0");
    assert_eq!(usable(&state.report(later)), None, "neither has answered");
    assert!(state.on_crash("i-0", later));
    assert_eq!(state.target().unwrap().instance, "i-1");
    look_at(&mut state, Vec::new(), 11_000, later);
    let report = state.report(later);
    assert_eq!(usable(&report), Some("i-1"));
    assert_eq!(report.former, ["i-0"]);
}
