//! Starts without an answer at runners that come back under their ids: what an agent tells of them, and what the planner waits for.

mod planning;

use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::node_protocol::EndedRun;
use greengagearch::connection::node_protocol::LeaseGrant;
use greengagearch::connection::node_protocol::LinkStamp;
use greengagearch::connection::node_protocol::NodeReport;
use greengagearch::connection::node_protocol::OrderLease;
use greengagearch::connection::node_protocol::PresentRun;
use greengagearch::connection::node_protocol::RunnerStatus;
use greengagearch::connection::node_protocol::StartInDoubt;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::connection::node_protocol::SyncCall;
use greengagearch::connection::node_protocol::TaskTraits;
use greengagearch::external::runner_control::PollResponse;
use greengagearch::external::runner_control::RunnerError;
use greengagearch::process::node::registered_runner::RegisteredRunner;
use greengagearch::process::node::state::NodeState;
use greengagearch::workflow::grant::MAX_LEASE;
use greengagearch::workflow::grant::expired_by;
use greengagearch::workflow::progress::JobEnd;
use greengagearch::workflow::progress::JobStatus;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::worker_inventory::RunKey;

use crate::planning::PlannedFleet;
use crate::planning::PlayedRunner;
use crate::planning::job;
use crate::planning::step;

const STAMP: LinkStamp = LinkStamp { epoch: 3, link: 1 };
const ROOM: ResourceVector = ResourceVector { millicores: 400, memory_mib: 100, accelerators: 0 };
/// Time for which a call without an answer may still be carried out.
const LATE_FOR: Duration = Duration::from_secs(12);
const TASK: &str = "a.0.0.0";

fn key() -> RunKey {
    (TASK.parse().unwrap(), 1)
}

fn start_in_doubt(remaining: Duration) -> StartInDoubt {
    StartInDoubt { key: key(), remaining }
}

/// A fleet in which the only task of a job runs on the only worker, whose runner comes back under its id.
fn fleet() -> PlannedFleet {
    let mut fleet = PlannedFleet::new(&["i-1@1"]);
    fleet.submit("a", job(vec![step(1, 100)]));
    fleet.plan();
    fleet.deliver();
    fleet
}

/// The report of the agent with a start in doubt.
fn doubtful_report(fleet: &PlannedFleet, remaining: Duration) -> NodeReport {
    let in_doubt = vec![start_in_doubt(remaining)];
    NodeReport { keeps_id: true, in_doubt, ..fleet.report_of("i-1@1") }
}

/// Whether the job is shown as completed or the worker may discard its end: from then on no attempt may be carried out.
fn is_final(fleet: &PlannedFleet) -> bool {
    let is_shown = matches!(fleet.planner.status("a"), Some(JobStatus::Ended(_)));
    is_shown || fleet.planner.last_acked_end("i-1@1") > 0
}

/// Guards against a task that runs again after it was done: an earlier attempt to start it may be carried out by the next life of its
/// runner.
#[test]
fn an_end_counts_only_when_no_attempt_to_start_the_run_is_in_doubt() {
    let mut fleet = fleet();
    fleet.end("i-1@1", &key(), RunEnd::Done, "");
    let report = doubtful_report(&fleet, LATE_FOR);
    fleet.planner.on_report(report, false);
    fleet.plan();
    assert!(!is_final(&fleet));

    fleet.pass(LATE_FOR * 2);
    fleet.report("i-1@1", false);
    fleet.plan();
    assert_eq!(fleet.planner.status("a"), Some(JobStatus::Ended(JobEnd::Completed)));
    assert_eq!(fleet.planner.last_acked_end("i-1@1"), 1);
}

/// Guards against a task that runs twice: its agent and its planner are both replaced, and neither successor has made the attempt.
#[test]
fn a_start_in_doubt_is_known_after_agent_and_planner_were_replaced() {
    let mut fleet = fleet();
    let report = doubtful_report(&fleet, LATE_FOR);
    fleet.planner.on_report(report, false);
    fleet.store();
    fleet.end("i-1@1", &key(), RunEnd::Done, "");
    fleet.take_over(fleet.now());
    fleet.report("i-1@1", true);
    fleet.plan();
    assert!(!is_final(&fleet));
}

/// Guards against a task that runs twice: the agent was replaced before it told that an attempt had no answer.
#[test]
fn a_start_that_no_agent_has_shown_is_in_doubt_after_the_agent_was_replaced() {
    let mut fleet = fleet();
    fleet.end("i-1@1", &key(), RunEnd::Done, "");
    let report = NodeReport { keeps_id: true, ..fleet.report_of("i-1@1") };
    fleet.planner.on_report(report, true);
    fleet.plan();
    assert!(!is_final(&fleet));
}

/// Guards against a task that runs twice: the next life has begun it, and the agent that tells so was replaced and names no former life.
#[test]
fn a_run_that_the_next_life_has_begun_is_not_started_elsewhere() {
    let mut fleet = fleet();
    let report = doubtful_report(&fleet, LATE_FOR);
    fleet.planner.on_report(report, false);
    let runner = fleet.runners.remove("i-1@1").unwrap();
    fleet.runners.insert("i-1@2".to_string(), runner);
    fleet.report("i-1@2", true);
    fleet.pass(LATE_FOR * 2);
    fleet.report("i-1@2", false);
    fleet.planner.on_tick();
    fleet.plan();
    assert_eq!(fleet.deliver_starts(), []);
}

/// Guards against two runs at once: a host is silent, and the next life of its runner has carried out an attempt at the last moment, with
/// a lease of its own.
#[test]
fn a_task_starts_elsewhere_only_when_a_late_start_on_a_silent_host_has_lapsed() {
    let mut fleet = fleet();
    let report = doubtful_report(&fleet, LATE_FOR);
    fleet.planner.on_report(report, false);
    let runner = PlayedRunner { labels: vec!["a".to_string()], ..PlayedRunner::default() };
    fleet.runners.remove("i-1@1");
    fleet.runners.insert("i-2@1".to_string(), runner);
    let reported = fleet.now();
    let lapsed = expired_by(expired_by(reported, LATE_FOR), MAX_LEASE);
    while fleet.now() + Duration::from_millis(200) < lapsed {
        fleet.pass(Duration::from_millis(200));
        fleet.report("i-2@1", false);
        fleet.planner.on_tick();
        fleet.plan();
        assert_eq!(fleet.deliver_starts(), [], "{:?} after the report", fleet.now() - reported);
    }
    fleet.pass(Duration::from_secs(1));
    fleet.report("i-2@1", false);
    fleet.planner.on_tick();
    fleet.plan();
    assert_eq!(fleet.deliver_starts(), [(key().0, 2)]);
}

/// An agent with a lease for the runner `i-1`, which is back under its id after each crash.
fn linked(now: Instant) -> NodeState {
    let status = RunnerStatus {
        instance: "i-1@200".to_string(),
        service: "s".to_string(),
        domain: "d".to_string(),
        capacity: ResourceVector { millicores: 1_000, memory_mib: 1_000, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
    };
    let mut state = NodeState::new(now);
    state.on_heartbeat(RegisteredRunner {
        runner: "i-1".to_string(),
        status,
        address: "127.0.0.1:1".to_string(),
        sequence: 1,
        started_at: Some(200),
    });
    state.admit(STAMP).unwrap();
    look(&mut state, Vec::new(), Vec::new(), now);
    state.on_sync(&SyncCall {
        stamp: STAMP,
        grant: Some(LeaseGrant { since: Duration::ZERO, span: Duration::from_secs(9) }),
        instance: Some("i-1@200".to_string()),
        last_acked_end: 0,
        wait: Duration::ZERO,
    });
    state
}

/// A look that the runner answers at once.
fn look(state: &mut NodeState, running: Vec<PresentRun>, ended: Vec<EndedRun>, now: Instant) {
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(
        number,
        PollResponse { clock: 500, running, ended, ..PollResponse::default() },
        now,
    );
}

fn accept(state: &mut NodeState, now: Instant) {
    let traits = TaskTraits {
        task: key().0,
        image: String::new(),
        target_ms: 0,
        best_effort: false,
        resources: ROOM,
        effects: Vec::new(),
        idle_tail_ms: 0,
        yields: false,
    };
    let (payload, checkpoint) = (String::new(), String::new());
    let lease = OrderLease { link: STAMP.link, end: Duration::from_secs(3_600) };
    let (ticket, is_repeat) = (None, false);
    let order = StartOrder { run: key().1, payload, checkpoint, ticket, lease, traits, is_repeat };
    assert!(state.accept_start(&order, now));
}

/// An attempt to start leaves and is answered so, or not at all.
fn attempt(state: &mut NodeState, answer: Result<(), RunnerError>, now: Instant) {
    let target = state.target().unwrap();
    assert!(state.begin_attempt(&target, &key(), &ROOM, now).is_some());
    state.on_start_response(&target, &key(), &answer, now);
}

fn silence() -> Result<(), RunnerError> {
    Err(RunnerError::NoAnswer { is_broken: false, reason: String::new() })
}

fn begun() -> PresentRun {
    PresentRun { is_started: true, ..PresentRun::ordered(key().0, key().1) }
}

/// Guards against a task that runs again after it was done: an attempt without an answer is left when a later one has begun the run.
#[test]
fn an_attempt_without_an_answer_is_told_for_as_long_as_it_may_be_carried_out() {
    let now = Instant::now();
    let mut state = linked(now);
    accept(&mut state, now);
    attempt(&mut state, silence(), now);
    attempt(&mut state, Ok(()), now + Duration::from_millis(30));
    look(&mut state, vec![begun()], Vec::new(), now);
    assert_eq!(state.report(now).in_doubt, [start_in_doubt(LATE_FOR)]);
    state.on_crash("i-1@200", now);
    assert_eq!(state.report(now).in_doubt, [start_in_doubt(LATE_FOR)], "also by the next life");
    assert_eq!(
        state.report(now + LATE_FOR).in_doubt.len(),
        1,
        "no look has shown what became of it"
    );
}

/// Guards against a task that runs twice: the agent stood still while a life that it had not called carried out the attempt, and told of
/// no doubt before it had looked at that life.
#[test]
fn an_attempt_is_in_doubt_until_a_look_after_its_time_is_answered() {
    let now = Instant::now();
    let mut state = linked(now);
    accept(&mut state, now);
    attempt(&mut state, silence(), now);
    attempt(&mut state, Ok(()), now + Duration::from_millis(30));
    look(&mut state, vec![begun()], Vec::new(), now);
    let woken = now + LATE_FOR + Duration::from_secs(2);
    // Sent before the agent stood still, or so it may be: it shows what was there then.
    look(&mut state, vec![begun()], Vec::new(), woken);
    assert_eq!(state.report(woken).in_doubt.len(), 1);
    look(&mut state, vec![begun()], Vec::new(), woken);
    assert!(state.report(woken).in_doubt.is_empty());
}

/// Guards against tasks that wait for ever: the runner answers nothing any more, and what an attempt could have begun has lost its lease.
#[test]
fn an_attempt_is_in_doubt_no_longer_than_what_it_may_have_begun() {
    let now = Instant::now();
    let mut state = linked(now);
    accept(&mut state, now);
    attempt(&mut state, silence(), now);
    assert_eq!(state.report(now + LATE_FOR).in_doubt.len(), 1);
    let lapsed = expired_by(now + LATE_FOR, MAX_LEASE);
    assert!(state.report(lapsed).in_doubt.is_empty());
}

/// Guards against a task that runs twice: the former life of its runner is over, and the report does not show what the next one runs.
#[test]
fn runs_of_a_former_life_are_kept_until_a_look_at_the_next_one_is_told() {
    let mut fleet = fleet();
    let former = vec!["i-1@1".to_string()];
    let runner = fleet.runners.remove("i-1@1").unwrap();
    fleet.runners.insert("i-1@2".to_string(), runner);
    let whole = NodeReport { keeps_id: true, former, ..fleet.report_of("i-1@2") };
    fleet.planner.on_report(NodeReport { snapshot: None, ..whole.clone() }, true);
    fleet.plan();
    assert_eq!(fleet.deliver_starts(), []);
    fleet.planner.on_report(whole, false);
    fleet.plan();
    assert_eq!(fleet.deliver_starts(), []);
    let progress = &fleet.progress["a"].1;
    assert_eq!(progress.task(&key().0).unwrap().attempts[0].worker, "i-1@2");
}

/// Guards against ends that wait without need: a run that is there has been begun by the only attempt, though its answer was lost.
#[test]
fn the_only_attempt_is_not_in_doubt_when_the_run_is_there() {
    let now = Instant::now();
    let mut state = linked(now);
    accept(&mut state, now);
    attempt(&mut state, silence(), now);
    assert_eq!(state.report(now).in_doubt, [start_in_doubt(LATE_FOR)]);
    look(&mut state, vec![begun()], Vec::new(), now);
    assert!(state.report(now).in_doubt.is_empty());
}

/// Guards against an end that is lost: an agent that stood still takes an answer from before for a fresh one, and acknowledges ends of the
/// next life that have the same numbers.
#[test]
fn an_answer_that_waited_for_an_agent_that_stood_still_confirms_nothing() {
    let now = Instant::now();
    let mut state = linked(now);
    let end = EndedRun {
        number: 4,
        task: key().0,
        run: key().1,
        end: RunEnd::Done,
        checkpoint: String::new(),
    };
    let (number, _) = state.next_poll(Duration::ZERO, now);
    let woken = now + Duration::from_secs(4);
    let answer = PollResponse { clock: 500, ended: vec![end], ..PollResponse::default() };
    state.on_poll_response(number, answer, woken);
    state.on_sync(&SyncCall {
        stamp: STAMP,
        grant: None,
        instance: Some("i-1@200".to_string()),
        last_acked_end: 4,
        wait: Duration::ZERO,
    });
    let (_, request) = state.next_poll(Duration::ZERO, woken);
    assert_eq!((request.seen, request.lease_end), (0, None));
}

/// Guards against tasks that wait without need: another life of the runner answered before the start could leave.
#[test]
fn a_start_that_another_life_kept_from_leaving_is_not_in_doubt() {
    let now = Instant::now();
    let mut state = linked(now);
    accept(&mut state, now);
    attempt(&mut state, Err(RunnerError::OtherInstance), now);
    state.on_crash("i-1@200", now);
    let report = state.report(now);
    assert!(report.in_doubt.is_empty(), "{:?}", report.in_doubt);
    assert!(report.unsettled.is_empty(), "{:?}", report.unsettled);
}
