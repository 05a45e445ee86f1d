//! What an agent may conclude from time alone: leases that are over, and orders that were given under them.

mod linked_agent;

use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::node_protocol::EndedRun;
use greengagearch::connection::node_protocol::LinkStamp;
use greengagearch::external::runner_control::PollResponse;
use greengagearch::process::node::registered_runner::RegisteredRunner;
use greengagearch::process::node::state::NodeState;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::ResourceVector;

use crate::linked_agent::LONG_LEASE;
use crate::linked_agent::begun_run;
use crate::linked_agent::lease_call;
use crate::linked_agent::look_at;
use crate::linked_agent::plain_traits;
use crate::linked_agent::registered_runner;
use crate::linked_agent::start_order;

const STAMP: LinkStamp = LinkStamp { epoch: 3, link: 1 };

/// A heartbeat of the runner with this name.
fn heartbeat(instance: &str, sequence: u64) -> RegisteredRunner {
    let mut runner = registered_runner(4_000, 4_000, sequence);
    (runner.runner, runner.status.instance) = (instance.to_string(), instance.to_string());
    runner
}

/// An agent with a run at work, a lease of nine seconds, and a poll that was sent at `now`.
fn leased(now: Instant) -> NodeState {
    let mut state = NodeState::new(now);
    state.on_heartbeat(heartbeat("i-1", 1));
    state.admit(STAMP).unwrap();
    look_at(&mut state, vec![begun_run("a.0.0.0")], 0, now);
    state.report(now);
    state.on_sync(&lease_call(STAMP, LONG_LEASE));
    state.next_poll(Duration::ZERO, now);
    state
}

/// Guards against a run that counts as over while it may have ended as done: the poll whose rejection an agent reads after a standstill
/// was sent while the leases were valid.
#[test]
fn a_rejection_read_after_a_standstill_does_not_count_as_evidence() {
    let now = Instant::now();
    let mut state = leased(now);
    let later = now + Duration::from_secs(11);
    // The poll was sent at `now`; its rejection waited in a buffer.
    assert!(!state.on_rejected_poll(), "expired on the strength of a poll sent before");
    assert!(state.report(later).snapshot.is_none());
}

/// Guards against a task that is done again: after the same rejection the run was shown as absent before its end was read.
#[test]
fn a_done_run_is_not_shown_as_absent_first() {
    let now = Instant::now();
    let mut state = leased(now);
    let later = now + Duration::from_secs(11);
    state.on_rejected_poll();
    let shown = state.report(later).snapshot;
    let (number, _) = state.next_poll(Duration::ZERO, later);
    let task = "a.0.0.0".parse().unwrap();
    let end = EndedRun { number: 1, task, run: 1, end: RunEnd::Done, checkpoint: String::new() };
    let lists = PollResponse { clock: 11_000, ended: vec![end], ..PollResponse::default() };
    state.on_poll_response(number, lists, later);
    let ended = state.report(later).snapshot.unwrap().ended;
    assert_eq!(ended.len(), 1);
    assert!(shown.is_none(), "the planner is shown that nothing runs, before the end");
}

/// Guards against a start that stays valid for hours: its lease ends by the clock of the agent process before, which had run for long.
#[test]
fn an_order_decided_under_the_lease_of_an_agent_before_is_ignored() {
    let now = Instant::now();
    let mut state = NodeState::new(now);
    state.on_heartbeat(heartbeat("i-1", 1));
    state.admit(LinkStamp { epoch: 3, link: 2 }).unwrap();
    look_at(&mut state, Vec::new(), 0, now);
    state.on_sync(&lease_call(LinkStamp { epoch: 3, link: 2 }, LONG_LEASE));
    let room = ResourceVector { millicores: 100, memory_mib: 100, accelerators: 0 };
    // The agent before had run for an hour.
    let order = start_order(plain_traits("b.0.0.0", room), false);
    assert!(!state.accept_start(&order, now));
    let key = ("b.0.0.0".parse().unwrap(), 1);
    let target = state.target().unwrap();
    assert_eq!(state.begin_attempt(&target, &key, &room, now), None);
}

/// Guards against a run that counts as over while it goes on: the runner's clock is slow, and no older lease hides it.
#[test]
fn a_slow_clock_counts_where_the_inherited_lease_is_over() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let mut state = NodeState::new(now);
    state.on_heartbeat(heartbeat("i-1", 1));
    state.admit(STAMP).unwrap();
    look_at(&mut state, Vec::new(), 0, now);
    look_at(&mut state, Vec::new(), 5_000, at(5_000));
    state.on_sync(&lease_call(STAMP, Duration::from_secs(14)));
    state.next_poll(Duration::ZERO, at(5_000));
    look_at(&mut state, Vec::new(), 12_000, at(12_000));
    state.next_poll(Duration::ZERO, at(14_200));
    assert!(!state.on_no_response(false, at(15_000)));
    state.next_poll(Duration::ZERO, at(14_500));
    assert!(state.on_no_response(false, at(15_300)));
}

/// Guards against a task that stands still: a start without an answer was shown for ever by a silent runner.
#[test]
fn a_start_in_doubt_is_over_with_the_leases_of_a_silent_runner() {
    let now = Instant::now();
    let mut state = leased(now);
    let room = ResourceVector { millicores: 100, memory_mib: 100, accelerators: 0 };
    let order = start_order(plain_traits("b.0.0.0", room), false);
    let key = ("b.0.0.0".parse().unwrap(), 1);
    assert!(state.accept_start(&order, now));
    let target = state.target().unwrap();
    assert!(state.begin_attempt(&target, &key, &room, now).is_some());
    let later = now + Duration::from_secs(11);
    state.next_poll(Duration::ZERO, later);
    assert!(state.on_no_response(false, later));
    assert!(state.report(later).snapshot.unwrap().present.is_empty());
}

/// Guards against an instance that gives way at once: the last answer of the silent one before it was taken for its own.
#[test]
fn an_instance_that_takes_the_place_of_a_silent_one_has_its_own_time() {
    let now = Instant::now();
    let mut state = leased(now);
    let later = now + Duration::from_secs(11);
    state.on_heartbeat(heartbeat("i-2", 1));
    state.next_poll(Duration::ZERO, later);
    assert!(state.on_no_response(false, later));
    assert_eq!(state.current_instance().map(String::as_str), Some("i-2"));
    state.next_poll(Duration::ZERO, later + Duration::from_millis(100));
    state.on_no_response(false, later + Duration::from_millis(800));
    assert_eq!(state.current_instance().map(String::as_str), Some("i-2"));
}
