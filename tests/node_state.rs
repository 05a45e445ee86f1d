//! The state of a node agent: orders and looks that overtake each other, lives of the runner, leases.

use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::node_protocol::EndedRun;
use greengagearch::connection::node_protocol::LeaseGrant;
use greengagearch::connection::node_protocol::LinkStamp;
use greengagearch::connection::node_protocol::OrderLease;
use greengagearch::connection::node_protocol::PresentRun;
use greengagearch::connection::node_protocol::RejectReason;
use greengagearch::connection::node_protocol::RunnerStatus;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::connection::node_protocol::SyncCall;
use greengagearch::connection::node_protocol::TaskTraits;
use greengagearch::external::runner_control::PollResponse;
use greengagearch::external::runner_control::RunnerError;
use greengagearch::process::node::fencing_token::fencing_token;
use greengagearch::process::node::registered_runner::HeartbeatEffect;
use greengagearch::process::node::registered_runner::RegisteredRunner;
use greengagearch::process::node::state::NodeState;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::worker_inventory::RunKey;

const STAMP: LinkStamp = LinkStamp { epoch: 3, link: 1 };

fn runner(instance: &str, sequence: u64) -> RegisteredRunner {
    let status = RunnerStatus {
        instance: instance.to_string(),
        service: "s".to_string(),
        domain: "d".to_string(),
        capacity: ResourceVector { millicores: 1_000, memory_mib: 1_000, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
    };
    let address = "127.0.0.1:1".to_string();
    RegisteredRunner { runner: instance.to_string(), status, address, sequence, started_at: None }
}

/// A life of the runner `i-1`, which is back under its id after each crash.
fn life(started_at: u64, sequence: u64) -> RegisteredRunner {
    let known = runner(&format!("i-1@{started_at}"), sequence);
    RegisteredRunner { runner: "i-1".to_string(), started_at: Some(started_at), ..known }
}

fn lists(clock: u64) -> PollResponse {
    PollResponse { clock, ..PollResponse::default() }
}

fn linked(now: Instant) -> NodeState {
    let mut state = NodeState::new(now);
    state.on_heartbeat(runner("i-1", 1));
    state.admit(STAMP).unwrap();
    state
}

/// A grant of nine seconds for a life, counted from a time that the agent has sent.
fn grant(instance: &str, since_seconds: u64, last_acked_end: u64) -> SyncCall {
    let since = Duration::from_secs(since_seconds);
    SyncCall {
        stamp: STAMP,
        grant: Some(LeaseGrant { since, span: Duration::from_secs(9) }),
        instance: Some(instance.to_string()),
        last_acked_end,
        wait: Duration::ZERO,
    }
}

/// A look that leaves at `now` has no answer. Whether the life is found to be silent beyond its leases.
fn look_in_vain(state: &mut NodeState, now: Instant) -> bool {
    state.next_poll(Duration::ZERO, now);
    state.on_no_response(false, now + Duration::from_millis(800))
}

fn key(text: &str) -> RunKey {
    (text.parse().unwrap(), 1)
}

fn traits(key: &RunKey) -> TaskTraits {
    TaskTraits {
        task: key.0.clone(),
        image: String::new(),
        target_ms: 0,
        best_effort: false,
        resources: ResourceVector { millicores: 400, memory_mib: 100, accelerators: 0 },
        effects: Vec::new(),
        idle_tail_ms: 0,
        yields: false,
    }
}

fn order(key: &RunKey) -> StartOrder {
    StartOrder {
        run: key.1,
        payload: String::new(),
        checkpoint: String::new(),
        ticket: None,
        lease: OrderLease { link: STAMP.link, end: Duration::from_secs(3_600) },
        traits: traits(key),
        is_repeat: false,
    }
}

/// A look that shows nothing, and a lease of nine seconds from the start of the agent.
fn lease(state: &mut NodeState, now: Instant) {
    let instance = state.current_instance().unwrap().clone();
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(number, lists(0), now);
    state.report(now);
    state.on_sync(&grant(&instance, 0, 0));
}

/// A try to start a run leaves.
fn send(state: &mut NodeState, key: &RunKey, now: Instant) {
    state.accept_start(&order(key), now);
    let target = state.target().unwrap();
    let sent = state.begin_attempt(&target, key, &ResourceVector::default(), now);
    assert!(sent.is_some(), "nothing speaks against the start");
}

/// The last try has an answer, or will have none.
fn answer(state: &mut NodeState, key: &RunKey, answer: Result<(), RunnerError>, now: Instant) {
    let target = state.target().unwrap();
    state.on_start_response(&target, key, &answer, now);
}

fn silence() -> Result<(), RunnerError> {
    Err(RunnerError::NoAnswer { is_broken: true, reason: String::new() })
}

/// Seen on a day with slow hosts: the second of two orders came first, its number made the first one
/// count as seen, and the planner took the run that it carried for lost.
#[test]
fn orders_that_overtake_others_do_not_count_as_seen() {
    let now = Instant::now();
    let mut state = linked(now);
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.accept_start(&order(&key("a.0.0.1")), now);
    state.on_orders(1, 2);
    state.on_poll_response(number, lists(0), now);
    assert_eq!(state.report(now).snapshot.unwrap().orders_seen, 0);

    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.accept_start(&order(&key("a.0.0.0")), now);
    state.on_orders(0, 1);
    state.on_poll_response(number, lists(0), now);
    let look = state.report(now).snapshot.unwrap();
    assert_eq!(look.orders_seen, 2);
    assert_eq!(look.present.len(), 2);
}

#[test]
fn a_start_counts_as_present_until_a_look_that_was_sent_after_it() {
    let now = Instant::now();
    let mut state = linked(now);
    lease(&mut state, now);
    let key = key("a.0.0.0");
    let (early, _) = state.next_poll(Duration::ZERO, now);
    send(&mut state, &key, now);
    answer(&mut state, &key, Ok(()), now);
    state.on_poll_response(early, lists(0), now);
    assert_eq!(state.report(now).snapshot.unwrap().present.len(), 1);

    let (late, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(late, lists(0), now);
    assert!(state.report(now).snapshot.unwrap().present.is_empty());
}

#[test]
fn a_heartbeat_that_was_held_up_does_not_replace_the_present_life() {
    let now = Instant::now();
    let mut state = linked(now);
    state.on_heartbeat(runner("i-0", 9));
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(number, lists(0), now);
    assert_eq!(state.target().unwrap().instance, "i-1");
    assert_eq!(state.on_heartbeat(runner("i-0", 10)), HeartbeatEffect::Dropped);
}

#[test]
fn a_new_life_takes_over_when_it_answers_in_place_of_the_known_one() {
    let now = Instant::now();
    let mut state = linked(now);
    state.on_heartbeat(runner("i-2", 1));
    assert!(state.on_crash("i-1", now));
    assert_eq!(state.target().unwrap().instance, "i-2");
    assert_eq!(state.report(now).former, ["i-1"]);
}

#[test]
fn a_new_life_takes_over_when_the_known_one_is_silent_beyond_its_leases() {
    let now = Instant::now();
    let mut state = linked(now);
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(number, lists(500), now);
    state.on_sync(&grant("i-1", 0, 0));
    state.next_poll(Duration::ZERO, now);
    state.on_heartbeat(runner("i-2", 1));
    assert!(!look_in_vain(&mut state, now + Duration::from_secs(9)));
    let later = now + Duration::from_secs(11);
    assert!(look_in_vain(&mut state, later));
    assert_eq!(state.target().unwrap().instance, "i-2");
    let told = state.report(later);
    assert_eq!(told.runner.unwrap().capacity, ResourceVector::default(), "it has not answered");
    let (number, _) = state.next_poll(Duration::ZERO, later);
    assert!(state.on_poll_response(number, lists(500), later), "the planner waits for this");
    let told = state.report(later);
    assert_eq!(told.former, ["i-1"]);
    assert_eq!(told.runner.unwrap().capacity, runner("i-2", 1).status.capacity);
}

#[test]
fn an_older_planner_and_an_older_link_are_refused() {
    let mut state = linked(Instant::now());
    assert!(state.admit(LinkStamp { epoch: 2, link: 9 }).is_err());
    assert!(state.admit(LinkStamp { epoch: 3, link: 0 }).is_err());
    assert_eq!(state.admit(LinkStamp { epoch: 4, link: 1 }), Ok(true));
}

/// However late a grant arrives, it counts from the time that the agent has sent.
#[test]
fn a_grant_that_comes_late_extends_nothing() {
    let now = Instant::now();
    let mut state = linked(now);
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(number, lists(500), now);
    state.on_sync(&grant("i-1", 0, 0));
    assert_eq!(state.lease_end(), Some(9_500));
    assert_eq!(state.may_start(now), Some(true));
    assert_eq!(state.may_start(now + Duration::from_secs(10)), Some(false));
}

#[test]
fn a_grant_for_an_earlier_life_extends_nothing() {
    let now = Instant::now();
    let mut state = linked(now);
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(number, lists(500), now);
    state.on_sync(&grant("i-0", 0, 7));
    assert_eq!(state.lease_end(), None);
}

/// A runner that does not answer gets no longer leases, so that they end at a known time.
#[test]
fn a_silent_life_is_given_up_when_its_leases_have_surely_expired() {
    let now = Instant::now();
    let mut state = linked(now);
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(number, lists(500), now);
    state.on_sync(&grant("i-1", 0, 0));
    assert!(state.next_poll(Duration::ZERO, now).1.lease_end.is_some());
    let later = now + Duration::from_secs(3);
    state.on_sync(&grant("i-1", 3, 0));
    assert_eq!(state.next_poll(Duration::ZERO, later).1.lease_end, None);
    assert!(!look_in_vain(&mut state, now + Duration::from_secs(9)));
    let later = now + Duration::from_secs(11);
    assert!(look_in_vain(&mut state, later));
    assert_eq!(state.may_start(later), None);
    let told = state.report(later);
    assert_eq!(told.runner.unwrap().capacity, ResourceVector::default());
    assert!(told.snapshot.unwrap().present.is_empty());
}

/// Seen on a day with lost answers: a start was carried out without an answer, ended as done, and its
/// repeat was refused as old; the refusal was told before the end, and the task was started again.
#[test]
fn a_refusal_is_told_only_with_a_look_that_was_sent_after_it() {
    let now = Instant::now();
    let mut state = linked(now);
    lease(&mut state, now);
    let key = key("a.0.0.0");
    send(&mut state, &key, now);
    let (early, _) = state.next_poll(Duration::ZERO, now);
    answer(&mut state, &key, Err(RunnerError::Rejected { reason: RejectReason::Old }), now);
    state.on_poll_response(early, lists(0), now);
    let look = state.report(now).snapshot.unwrap();
    assert!(look.rejected.is_empty());
    assert_eq!(look.present.len(), 1, "until then the run may be there");

    let (late, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(late, lists(0), now);
    let look = state.report(now).snapshot.unwrap();
    assert_eq!(look.rejected.len(), 1);
    assert!(look.present.is_empty());
}

/// Found by the search over interleavings (seed 3): a start without an answer whose planner was replaced
/// counted as present for ever, and a stop that did not get through kept the next planner's stop from going out.
#[test]
fn what_a_replaced_planner_had_on_its_way_is_given_up() {
    let now = Instant::now();
    let mut state = linked(now);
    let (started, stopped) = (key("a.0.0.0"), key("a.0.0.1"));
    state.accept_start(&order(&started), now);
    assert!(state.accept_stop(&stopped));
    let ordered_for = state.target().unwrap();
    let (before, _) = state.next_poll(Duration::ZERO, now);
    state.admit(LinkStamp { epoch: STAMP.epoch, link: 2 }).unwrap();
    assert!(!state.accept_stop(&stopped), "a new link of the same planner changes nothing");

    state.admit(LinkStamp { epoch: STAMP.epoch + 1, link: 1 }).unwrap();
    let stop_target = state.stop_target(&ordered_for, &stopped);
    assert_eq!(stop_target.map(|target| target.epoch), Some(STAMP.epoch + 1));
    state.on_poll_response(before, lists(1), now);
    assert_eq!(present(&mut state, now), 1, "a look from before the change cannot tell");
    let (after, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(after, lists(2), now);
    assert_eq!(present(&mut state, now), 0);
}

fn present(state: &mut NodeState, now: Instant) -> usize {
    state.report(now).snapshot.map_or(0, |look| look.present.len())
}

/// After a loss of power agent and runner are new, and only the store knows what the host ran before.
#[test]
fn lives_before_the_present_one_are_over_when_that_one_has_answered() {
    let now = Instant::now();
    let mut state = linked(now);
    state.on_earlier_instances(vec!["i-0".to_string(), "i-1".to_string()]);
    assert!(state.report(now).former.is_empty(), "a heartbeat alone may be an old one");
    let (number, _) = state.next_poll(Duration::ZERO, now);
    assert!(state.on_poll_response(number, lists(0), now), "the planner waits for this");
    assert_eq!(state.report(now).former, ["i-0"]);
}

#[test]
fn a_later_life_that_the_store_names_is_not_over_while_an_old_heartbeat_stands_for_the_runner() {
    let now = Instant::now();
    let mut state = linked(now);
    state.on_earlier_instances(vec!["i-1".to_string(), "i-2".to_string()]);
    state.on_deregister("i-1", now);
    state.on_heartbeat(runner("i-2", 1));
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(number, lists(0), now);
    assert_eq!(state.report(now).former, ["i-1"]);
    assert_eq!(state.target().unwrap().instance, "i-2");
}

/// After a loss the logs told when runs had been assigned, not which of them the worker had begun, and when.
#[test]
fn a_life_that_broke_off_is_told_with_the_runs_that_were_young() {
    let now = Instant::now();
    let at = |millis: u64| now + Duration::from_millis(millis);
    let mut state = linked(now);
    lease(&mut state, now);
    let (old, answered, unanswered) = (key("a.0.0.0"), key("a.0.0.1"), key("a.0.0.2"));
    send(&mut state, &old, now);
    answer(&mut state, &old, Ok(()), now);
    let (number, _) = state.next_poll(Duration::ZERO, at(1_800));
    state.on_poll_response(number, lists(0), at(1_800));
    send(&mut state, &answered, at(1_900));
    answer(&mut state, &answered, Ok(()), at(1_900));
    send(&mut state, &unanswered, at(1_950));
    state.on_no_response(false, at(1_960));
    answer(&mut state, &unanswered, silence(), at(1_960));
    // The next try finds nobody; the first one may have begun.
    send(&mut state, &unanswered, at(1_990));
    answer(&mut state, &unanswered, Err(RunnerError::NotRunning), at(1_990));
    assert!(state.on_crash("i-1", at(2_020)));
    let report = state.report(at(2_020));
    assert_eq!(report.former, ["i-1"]);
    let told: Vec<(String, u128, bool)> = report.crashes[0]
        .young
        .iter()
        .map(|run| (run.task.to_string(), run.max_age.as_millis(), run.is_certain))
        .collect();
    assert_eq!(told, [("a.0.0.2".to_string(), 10, false), ("a.0.0.1".to_string(), 60, true)]);
    assert!(state.report(at(8_000)).crashes.is_empty(), "told long enough");
}

#[test]
fn a_runner_that_was_leaving_has_not_broken_off() {
    let now = Instant::now();
    let mut state = linked(now);
    let mut leaving = runner("i-1", 2);
    leaving.status.draining = true;
    state.on_heartbeat(leaving);
    assert!(state.on_crash("i-1", now));
    assert!(state.report(now).crashes.is_empty());
}

/// Seen in the incident of the task that crashed its workers: most lives were told as lost 0.39 s after they had broken
/// off, when the planner's call had waited its whole time for a look that nobody could take any more.
#[test]
fn a_life_that_broke_off_is_news_at_once_and_only_once() {
    let now = Instant::now();
    let mut state = linked(now);
    state.on_crash("i-1", now);
    assert!(state.has_changes());
    assert_eq!(state.report(now).former, ["i-1"]);
    assert!(!state.has_changes());
}

/// Guards against a runner that is out of the fleet for good after a crash: the next life under its id counts its heartbeats from
/// one, and may have been started earlier by a clock that was put back.
#[test]
fn a_runner_that_is_back_under_its_id_is_taken_in_as_another_life() {
    for start in [300, 100] {
        let now = Instant::now();
        let mut state = NodeState::new(now);
        state.on_heartbeat(life(200, 40));
        state.admit(STAMP).unwrap();
        assert!(state.on_crash("i-1@200", now));
        assert_eq!(state.on_heartbeat(life(200, 41)), HeartbeatEffect::Dropped);
        assert_eq!(state.on_heartbeat(life(start, 1)), HeartbeatEffect::Changed);
        let report = state.report(now);
        assert_eq!(report.runner.unwrap().instance, format!("i-1@{start}"));
        assert_eq!(report.former, ["i-1@200"]);
    }
}

/// Guards against the end of a living runner: its former life has said that it ends, and is heard late.
#[test]
fn a_leave_that_a_former_life_sent_ends_nothing_while_the_present_one_answers() {
    let now = Instant::now();
    let mut state = NodeState::new(now);
    state.on_heartbeat(life(200, 1));
    state.admit(STAMP).unwrap();
    assert!(!state.on_deregister("i-1", now));
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(number, lists(0), now);
    assert_eq!(state.current_instance().map(String::as_str), Some("i-1@200"));
    state.on_crash("i-1@200", now);
    assert_eq!(state.report(now).crashes.len(), 1, "it went on, so that this was not its leave");
}

/// A runner that has said that it ends and answers no more has not broken off.
#[test]
fn a_runner_that_ends_as_it_said_has_not_broken_off() {
    let now = Instant::now();
    let mut state = NodeState::new(now);
    state.on_heartbeat(life(200, 1));
    state.on_deregister("i-1", now);
    assert!(state.on_crash("i-1@200", now));
    assert!(state.report(now).crashes.is_empty());
}

/// Guards against the end of a living runner: the version before stored lives by the ids of their runners.
#[test]
fn a_life_that_was_stored_by_its_id_alone_may_be_the_present_one() {
    let now = Instant::now();
    let mut state = NodeState::new(now);
    state.on_earlier_instances(vec!["i-0".to_string(), "i-1".to_string(), "i-1@100".to_string()]);
    state.on_heartbeat(life(200, 1));
    state.admit(STAMP).unwrap();
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(number, lists(0), now);
    assert_eq!(state.report(now).former, ["i-0", "i-1@100"]);
}

/// Guards against tasks that run twice: a start whose answer did not come may be carried out by the next life under the id.
#[test]
fn starts_that_the_next_life_may_carry_out_are_told_until_it_shows_what_it_runs() {
    let now = Instant::now();
    let mut state = NodeState::new(now);
    state.on_heartbeat(life(200, 1));
    state.admit(STAMP).unwrap();
    let (shown, silent) = (key("a.0.0.0"), key("a.0.0.1"));
    lease(&mut state, now);
    send(&mut state, &shown, now);
    answer(&mut state, &shown, Ok(()), now);
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(number, lists(0), now);
    send(&mut state, &silent, now);
    answer(&mut state, &silent, silence(), now);
    state.on_crash("i-1@200", now);
    assert_eq!(state.report(now).unsettled, std::slice::from_ref(&silent));
    state.on_heartbeat(life(300, 1));
    assert_eq!(
        state.report(now).unsettled,
        std::slice::from_ref(&silent),
        "a heartbeat alone shows nothing"
    );
    let (number, _) = state.next_poll(Duration::ZERO, now);
    let begun = PresentRun { is_started: true, ..PresentRun::ordered(silent.0.clone(), silent.1) };
    state.on_poll_response(number, PollResponse { running: vec![begun], ..lists(0) }, now);
    assert_eq!(state.report(now).unsettled, [silent], "until the planner has seen where it is");
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(number, lists(0), now);
    assert!(state.report(now).unsettled.is_empty());
}

/// Guards against a task that runs twice: an agent that stood still has not looked for the next life, which may have taken a late start.
#[test]
fn an_agent_that_stood_still_waits_for_the_next_life_all_the_same() {
    let now = Instant::now();
    let mut state = NodeState::new(now);
    state.on_heartbeat(life(200, 1));
    state.admit(STAMP).unwrap();
    lease(&mut state, now);
    let silent = key("a.0.0.0");
    send(&mut state, &silent, now);
    state.on_crash("i-1@200", now);
    let later = now + Duration::from_secs(6);
    assert_eq!(state.report(later).unsettled, [silent]);
    state.on_successor_response(&Err(RunnerError::NotRunning), later);
    assert!(state.report(later).unsettled.is_empty());
}

/// Guards against ends that the next life forgets unread, and against a lease by another clock: after a look that failed, the next one
/// only asks which life answers.
#[test]
fn a_look_after_one_that_failed_changes_nothing_at_the_runner() {
    let now = Instant::now();
    let mut state = NodeState::new(now);
    state.on_heartbeat(life(200, 1));
    state.admit(STAMP).unwrap();
    let end = EndedRun {
        number: 4,
        task: "a.0.0.0".parse().unwrap(),
        run: 1,
        end: RunEnd::Done,
        checkpoint: String::new(),
    };
    let ended = || PollResponse { ended: vec![end.clone()], ..lists(500) };
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(number, ended(), now);
    state.on_sync(&grant("i-1@200", 0, 4));
    let (number, hold) = state.next_poll(Duration::ZERO, now);
    assert_eq!((hold.seen, hold.lease_end), (4, Some(9_500)));
    state.on_no_response(true, now);
    assert_eq!(state.may_start(now), Some(false));
    let (_, hold) = state.next_poll(Duration::ZERO, now);
    assert_eq!((hold.seen, hold.lease_end), (0, None));
    state.on_poll_response(number, lists(500), now);
    let (_, hold) = state.next_poll(Duration::ZERO, now);
    assert_eq!((hold.seen, hold.lease_end), (0, Some(9_500)), "nothing is left to acknowledge");
}

/// Guards against an agent that can call its runner no more: the life before was started later by a clock that was put back, and a late call
/// for it came first.
#[test]
fn a_token_of_a_life_that_started_later_is_overtaken_and_one_of_a_later_planner_is_not() {
    let mut state = NodeState::new(Instant::now());
    state.on_heartbeat(life(200, 1));
    state.admit(STAMP).unwrap();
    let later_life = fencing_token(STAMP.epoch, Some(2_000_000), 0);
    let later_planner = fencing_token(STAMP.epoch + 1, Some(0), 0);
    for _ in 0..40 {
        state.on_fenced();
    }
    let fence = state.target().unwrap().fence;
    assert!(later_life < fence && fence < later_planner);
}

/// Guards against a living runner that is out of the fleet for good, while what runs on it starts elsewhere: a heartbeat of a former
/// life came late, and one answer was lost.
#[test]
fn a_late_heartbeat_and_a_lost_answer_do_not_end_a_living_runner() {
    let now = Instant::now();
    let mut state = linked(now);
    state.on_heartbeat(runner("i-0", 9));
    assert!(!state.on_no_response(false, now));
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(number, lists(0), now);
    assert_eq!(state.target().unwrap().instance, "i-1");
    assert_eq!(state.on_heartbeat(runner("i-0", 10)), HeartbeatEffect::Dropped);
    assert!(state.report(now).former.is_empty(), "only a heartbeat names it: it may run elsewhere");
}

/// Guards against the end of a runner beside another agent, one of whose heartbeats went to the wrong host.
#[test]
fn an_instance_that_only_a_heartbeat_names_is_over_once_the_store_names_it_too() {
    let now = Instant::now();
    let mut state = linked(now);
    state.on_heartbeat(runner("i-0", 9));
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_poll_response(number, lists(0), now);
    assert!(state.report(now).former.is_empty());
    state.on_earlier_instances(vec!["i-0".to_string()]);
    let (number, _) = state.next_poll(Duration::ZERO, now);
    assert!(state.on_poll_response(number, lists(1), now), "the planner waits for this");
    assert_eq!(state.report(now).former, ["i-0"]);
}

/// Guards against the next life of a runner that is called a former one: its heartbeat came while an answer of the life before was on its
/// way to a paused agent.
#[test]
fn an_answer_to_an_earlier_look_does_not_make_a_heartbeat_late() {
    let now = Instant::now();
    let mut state = linked(now);
    let (number, _) = state.next_poll(Duration::ZERO, now);
    state.on_heartbeat(runner("i-2", 1));
    state.on_poll_response(number, lists(0), now);
    assert!(state.on_crash("i-1", now));
    assert_eq!(state.target().unwrap().instance, "i-2");
}
