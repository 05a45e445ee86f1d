//! Orders that come again, starts that wait for the next life of a runner, and tokens that keep late starts from it.

mod linked_agent;

use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::node_protocol::LinkStamp;
use greengagearch::connection::node_protocol::RejectReason;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::external::runner_control::RunnerError;
use greengagearch::ids::StartMillis;
use greengagearch::process::node::pending_start::StartStep;
use greengagearch::process::node::registered_runner::RegisteredRunner;
use greengagearch::process::node::state::NodeState;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::worker_inventory::RunKey;

use crate::linked_agent::LONG_LEASE;
use crate::linked_agent::begun_run;
use crate::linked_agent::lease_call;
use crate::linked_agent::look_at;
use crate::linked_agent::plain_traits;
use crate::linked_agent::registered_runner;
use crate::linked_agent::start_order;

const STAMP: LinkStamp = LinkStamp { epoch: 3, link: 1 };
const TASK: &str = "a.0.0.0";
const ROOM: ResourceVector = ResourceVector { millicores: 400, memory_mib: 100, accelerators: 0 };

fn key() -> RunKey {
    (TASK.parse().unwrap(), 1)
}

fn order(is_repeat: bool) -> StartOrder {
    start_order(plain_traits(TASK, ROOM), is_repeat)
}

fn runner(millicores: u64, sequence: u64, started_at: Option<StartMillis>) -> RegisteredRunner {
    RegisteredRunner { started_at, ..registered_runner(millicores, 1_000, sequence) }
}

/// The next life of the runner, under the same id.
fn next_life(started_at: StartMillis) -> RegisteredRunner {
    let mut next = runner(1_000, 1, Some(started_at));
    next.status.instance = "i-1@next".to_string();
    next
}

/// A look that shows nothing; the planner is not told of it yet.
fn look(state: &mut NodeState, now: Instant) {
    look_at(state, Vec::new(), 0, now);
}

/// An agent with a runner, a planner and a lease.
fn linked(started_at: Option<StartMillis>, now: Instant) -> NodeState {
    let mut state = NodeState::new(now);
    state.on_heartbeat(runner(1_000, 1, started_at));
    state.admit(STAMP).unwrap();
    look(&mut state, now);
    state.report(now);
    state.on_sync(&lease_call(STAMP, LONG_LEASE));
    state
}

fn silence() -> Result<(), RunnerError> {
    Err(RunnerError::NoAnswer { is_broken: true, reason: String::new() })
}

/// A try to start leaves and is answered so.
fn try_start(state: &mut NodeState, answer: Result<(), RunnerError>, now: Instant) {
    let target = state.target().unwrap();
    assert!(state.begin_attempt(&target, &key(), &ROOM, now).is_some());
    state.on_start_response(&target, &key(), &answer, now);
}

/// Guards against a task that runs twice: the planner orders a run twice over one link, and the second order comes when a look has
/// been taken after the refusal of the first, which was not told yet. The refusal then makes the planner give the run up.
#[test]
fn an_order_that_comes_before_its_refusal_was_told_is_not_tried_beside_it() {
    let now = Instant::now();
    let mut state = linked(None, now);
    state.accept_start(&order(false), now);
    try_start(&mut state, Err(RunnerError::Rejected { reason: RejectReason::Unwell }), now);
    look(&mut state, now);

    state.accept_start(&order(true), now);
    let target = state.target().unwrap();
    let step = state.next_step(&target, &key(), &ROOM, now);
    let told = state.report(now).snapshot.unwrap();
    let is_given_up = !told.rejected.is_empty() && !told.lists(&key());
    let is_tried = matches!(step, StartStep::Send);
    assert!(!(is_given_up && is_tried), "told as {:?}, and {step:?}", told.rejected);
}

/// Guards against a task that stands still: the runner stays away, and its agent stood still for as long as the next life is looked for.
#[test]
fn a_start_does_not_wait_for_a_life_that_is_not_looked_for_any_more() {
    let now = Instant::now();
    let mut state = linked(Some(200), now);
    state.accept_start(&order(false), now);
    try_start(&mut state, silence(), now);
    assert!(state.on_crash("i-1", now));
    assert_eq!(state.report(now).unsettled, [key()]);

    let later = now + Duration::from_secs(60);
    let is_looked_for = state.successor_target().is_some();
    assert!(is_looked_for || state.report(later).unsettled.is_empty());
}

/// The same where the next life was called, and ended before it had registered.
#[test]
fn a_start_does_not_wait_for_a_life_that_answered_and_never_registered() {
    let now = Instant::now();
    let mut state = linked(Some(200), now);
    state.accept_start(&order(false), now);
    try_start(&mut state, silence(), now);
    assert!(state.on_crash("i-1", now));
    state.on_successor_response(&Ok(()), now);

    let later = now + Duration::from_secs(60);
    let is_looked_for = state.successor_target().is_some();
    assert!(is_looked_for || state.report(later).unsettled.is_empty());
}

/// Guards against a runner over its capacity: an order that comes again over a new link may never have left, and the capacity has
/// shrunk since it was decided. A stop rules a late try out as well.
#[test]
fn an_order_that_comes_again_is_not_sent_beyond_the_capacity() {
    let now = Instant::now();
    let mut state = linked(None, now);
    state.on_heartbeat(runner(300, 2, None));
    state.accept_start(&order(true), now);
    let target = state.target().unwrap();
    let step = state.next_step(&target, &key(), &ROOM, now);
    assert!(!matches!(step, StartStep::Send), "{step:?}");
}

/// Guards against a task that runs twice: a life that was called with raised tokens has ended, and a late start for it carries one.
#[test]
fn the_next_life_is_called_with_a_token_above_those_of_the_life_before() {
    let now = Instant::now();
    let mut state = linked(Some(200), now);
    // The life had seen higher tokens, by a clock that was put back since.
    for _ in 0..4 {
        state.on_fenced();
    }
    let late = state.target().unwrap().fence;
    assert!(state.on_crash("i-1", now));
    let awaited = state.successor_target().unwrap().fence;
    assert!(awaited > late, "called with {awaited}, and a late start has {late}");

    state.on_heartbeat(next_life(264));
    let next = state.target().unwrap().fence;
    assert!(next > late, "called with {next}, and a late start has {late}");
}

/// Guards against a task that runs twice: a late call for the life before came first, and the token is raised to just that of the call.
#[test]
fn a_token_that_was_raised_is_above_those_of_the_life_before() {
    let now = Instant::now();
    let mut state = linked(Some(264), now);
    let late = state.target().unwrap().fence;
    assert!(state.on_crash("i-1", now));
    // It began earlier by a clock that was put back by 32 ms.
    state.on_heartbeat(next_life(232));
    let mut next = state.target().unwrap().fence;
    while next < late {
        state.on_fenced();
        next = state.target().unwrap().fence;
    }
    assert!(next > late, "the runner takes {next}, and a late start has {late}");
}

/// Guards against a task that runs twice: a runner takes a stop at once, and the run takes its time to end.
#[test]
fn a_run_that_is_slow_to_end_after_its_stop_is_not_told_as_refused() {
    let now = Instant::now();
    let mut state = linked(None, now);
    state.accept_start(&order(false), now);
    try_start(&mut state, silence(), now);
    try_start(&mut state, Err(RunnerError::Rejected { reason: RejectReason::Room }), now);
    let target = state.target().unwrap();
    let step = state.next_step(&target, &key(), &ROOM, now);
    assert_eq!(step, StartStep::Stop(RejectReason::Room));
    state.on_stop_response(&target, &key(), &Ok(()));

    look_at(&mut state, vec![begun_run(TASK)], 0, now);
    let told = state.report(now).snapshot.unwrap();
    assert_eq!((told.present.len(), told.rejected.len()), (1, 0));
    look(&mut state, now);
    let told = state.report(now).snapshot.unwrap();
    assert_eq!((told.present.len(), told.rejected.len()), (0, 0), "its end tells the rest");
}

/// Guards against a task that runs twice: an agent that is new has not tried a start yet, which a try of the one before may begin on the
/// next life.
#[test]
fn a_start_that_was_ordered_before_waits_for_the_next_life_untried() {
    let now = Instant::now();
    let mut state = linked(Some(200), now);
    state.accept_start(&order(true), now);
    assert!(state.on_crash("i-1", now));
    assert_eq!(state.report(now).unsettled, [key()]);
}

/// Guards against a run that goes on after its stop: the life before has taken one, and the next life has the run as well.
#[test]
fn a_stop_that_the_life_before_has_taken_is_due_on_the_next() {
    let now = Instant::now();
    let mut state = linked(Some(200), now);
    let before = state.target().unwrap();
    state.accept_stop(&key());
    assert!(state.on_crash("i-1", now));
    state.on_heartbeat(next_life(264));
    assert!(state.accept_stop(&key()));
    state.on_stop_response(&before, &key(), &Ok(()));
    let target = state.target().unwrap();
    assert!(state.stop_target(&target, &key()).is_some());
}

/// Guards against a start that leaves after the stop for it: the stop is still on its way.
#[test]
fn a_start_does_not_leave_while_its_stop_is_on_its_way() {
    let now = Instant::now();
    let mut state = linked(None, now);
    state.accept_start(&order(false), now);
    state.accept_stop(&key());
    let target = state.target().unwrap();
    assert_eq!(state.begin_attempt(&target, &key(), &ROOM, now), None);
}

/// Guards against a task that runs twice: a life is given up when the lease that an earlier look carried has expired, and a start has
/// carried a longer one.
#[test]
fn the_lease_that_a_start_carries_counts_before_a_silent_life_is_given_up() {
    let now = Instant::now();
    let mut state = linked(None, now);
    let (_, hold) = state.next_poll(Duration::ZERO, now);
    assert_eq!(hold.lease_end, Some(9_000));
    state.on_sync(&lease_call(STAMP, Duration::from_secs(14)));
    state.accept_start(&order(false), now);
    try_start(&mut state, silence(), now);
    for (sent, is_given_up) in [(12, false), (30, true)] {
        let sent = now + Duration::from_secs(sent);
        state.next_poll(Duration::ZERO, sent);
        assert_eq!(state.on_no_response(false, sent), is_given_up);
    }
}

/// Guards against a task that runs twice: a repeat that found nobody says nothing of the first try.
#[test]
fn a_repeat_that_never_left_does_not_settle_a_start_without_an_answer() {
    let now = Instant::now();
    let mut state = linked(None, now);
    state.accept_start(&order(false), now);
    try_start(&mut state, silence(), now);
    try_start(&mut state, Err(RunnerError::NotRunning), now);
    try_start(&mut state, Err(RunnerError::Rejected { reason: RejectReason::Unwell }), now);
    look(&mut state, now);
    let told = state.report(now).snapshot.unwrap();
    assert_eq!((told.present.len(), told.rejected.len()), (1, 0));
}
