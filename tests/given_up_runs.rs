//! What the planner's decisions tell of a run that it gives up: refused, not shown, or lost with its worker; and of
//! one that a worker still shows.

mod planning;

use std::time::Duration;

use greengagearch::connection::node_protocol::PresentRun;
use greengagearch::connection::node_protocol::RejectReason;
use greengagearch::connection::node_protocol::RunnerCrash;
use greengagearch::workflow::plan_decision::EndCause;
use greengagearch::workflow::plan_decision::LossReason;
use greengagearch::workflow::plan_decision::PlanDecision;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::worker_inventory::RunKey;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::present;
use crate::planning::step;

/// A fleet with one run at work.
fn fleet() -> (PlannedFleet, RunKey) {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![step(1, 100)]));
    fleet.round();
    let (_, key) = fleet.running()[0].clone();
    fleet.planner.take_decisions();
    (fleet, key)
}

fn labels(decisions: &[PlanDecision]) -> Vec<&'static str> {
    decisions.iter().map(PlanDecision::label).collect()
}

/// How runs ended, and what that was concluded from.
fn ends(decisions: &[PlanDecision]) -> Vec<(RunEnd, EndCause)> {
    let ends = decisions.iter().filter_map(|one| match one {
        PlanDecision::RunEnded { end, cause, .. } => Some((*end, *cause)),
        _ => None,
    });
    ends.collect()
}

/// Which workers were lost, why, and for how long they had been silent.
fn losses(decisions: &[PlanDecision]) -> Vec<(LossReason, Option<u64>)> {
    let losses = decisions.iter().filter_map(|one| match one {
        PlanDecision::WorkerLost { reason, silent_ms, .. } => Some((*reason, *silent_ms)),
        _ => None,
    });
    losses.collect()
}

/// A worker shows a run that the planner has given up; whether it has started there.
fn show_unknown(fleet: &mut PlannedFleet, key: &RunKey, is_started: bool) {
    let run = PresentRun { is_started, ..present(key) };
    fleet.runners.get_mut("i-1").unwrap().present.insert(key.clone(), run);
    fleet.report("i-1", false);
}

/// What a look that refuses a run tells, where it shows the run or does not.
fn refusal(shown: bool) -> Vec<PlanDecision> {
    let (mut fleet, key) = fleet();
    fleet.reject("i-1", &key, RejectReason::Unwell);
    if shown {
        let runner = fleet.runners.get_mut("i-1").unwrap();
        runner.present.insert(key.clone(), present(&key));
    }
    fleet.report("i-1", false);
    let decisions = fleet.planner.take_decisions();
    let refused = PlanDecision::RunRejected {
        task: key.0,
        run: key.1,
        worker: "i-1".to_string(),
        reason: RejectReason::Unwell,
        shown,
    };
    assert_eq!(decisions[0], refused);
    decisions
}

#[test]
fn a_refusal_is_told_before_the_loss_that_follows() {
    let decisions = refusal(false);
    assert_eq!(labels(&decisions), ["refused", "lost"]);
    assert_eq!(ends(&decisions), [(RunEnd::Lost, EndCause::Rejected)]);
}

/// Guards against a task that runs twice: a try without an answer may have begun the run that a later try is refused.
#[test]
fn a_refusal_of_a_run_that_is_shown_says_so_and_ends_nothing() {
    assert_eq!(labels(&refusal(true)), ["refused"]);
}

#[test]
fn a_run_that_ended_in_the_look_that_refuses_it_counts_as_shown() {
    let (mut fleet, key) = fleet();
    fleet.reject("i-1", &key, RejectReason::Old);
    fleet.end("i-1", &key, RunEnd::Done, "");
    fleet.report("i-1", false);
    let decisions = fleet.planner.take_decisions();
    let is_shown =
        |one: &PlanDecision| matches!(one, PlanDecision::RunRejected { shown: true, .. });
    assert!(decisions.iter().any(is_shown), "{decisions:?}");
}

#[test]
fn a_run_that_is_not_shown_is_told_as_absent() {
    let (mut fleet, key) = fleet();
    fleet.runners.get_mut("i-1").unwrap().present.clear();
    fleet.report("i-1", false);
    let decisions = fleet.planner.take_decisions();
    let (task, run) = key;
    assert_eq!(decisions[0], PlanDecision::RunAbsent { task, run, worker: "i-1".to_string() });
    assert_eq!(labels(&decisions), ["absent", "lost"]);
    assert_eq!(ends(&decisions), [(RunEnd::Lost, EndCause::Absent)]);
}

#[test]
fn a_run_that_is_lost_with_its_worker_is_neither_refused_nor_absent() {
    let (mut fleet, _) = fleet();
    fleet.pass(Duration::from_millis(100));
    fleet.tell_crash(RunnerCrash { instance: "i-1".to_string(), young: Vec::new() });
    let decisions = fleet.planner.take_decisions();
    assert_eq!(labels(&decisions), ["worker_crashed", "worker_lost", "lost"]);
    assert_eq!(losses(&decisions), [(LossReason::InstanceEnded, Some(100))]);
    let cause = EndCause::WorkerLost(LossReason::InstanceEnded);
    assert_eq!(ends(&decisions), [(RunEnd::Lost, cause)]);
}

#[test]
fn a_worker_that_is_lost_because_it_is_silent_says_so_and_for_how_long() {
    let (mut fleet, _) = fleet();
    fleet.pass(Duration::from_secs(20));
    fleet.planner.on_tick();
    let decisions = fleet.planner.take_decisions();
    assert_eq!(losses(&decisions), [(LossReason::LeasesExpired, Some(20_000))]);
    let cause = EndCause::WorkerLost(LossReason::LeasesExpired);
    assert_eq!(ends(&decisions), [(RunEnd::Lost, cause)]);
}

#[test]
fn a_worker_that_this_planner_has_never_heard_of_has_no_time_of_silence() {
    let (mut fleet, _) = fleet();
    let inherited = fleet.now() + Duration::from_secs(12);
    fleet.take_over(inherited);
    fleet.pass(Duration::from_secs(20));
    fleet.planner.on_tick();
    let decisions = fleet.planner.take_decisions();
    assert_eq!(losses(&decisions), [(LossReason::LeasesExpired, None)]);
}

#[test]
fn an_end_that_the_worker_reports_says_so() {
    let (mut fleet, key) = fleet();
    fleet.end("i-1", &key, RunEnd::Done, "");
    fleet.report("i-1", false);
    let decisions = fleet.planner.take_decisions();
    assert_eq!(ends(&decisions), [(RunEnd::Done, EndCause::Reported)]);
}

/// Guards against a run at work beside its successor that no line of the planner's log tells of.
#[test]
fn a_run_that_is_shown_after_it_was_given_up_is_told_once_while_it_is_shown() {
    let (mut fleet, key) = fleet();
    fleet.runners.get_mut("i-1").unwrap().present.clear();
    fleet.report("i-1", false);
    fleet.planner.take_decisions();
    let unknown = PlanDecision::RunUnknown {
        task: key.0.clone(),
        run: key.1,
        worker: "i-1".to_string(),
        started: true,
    };
    for _ in 0..2 {
        show_unknown(&mut fleet, &key, true);
        assert_eq!(fleet.planner.take_decisions(), std::slice::from_ref(&unknown));
        show_unknown(&mut fleet, &key, true);
        assert!(fleet.planner.take_decisions().is_empty());
        fleet.runners.get_mut("i-1").unwrap().present.clear();
        fleet.report("i-1", false);
    }
}

#[test]
fn an_unknown_run_that_was_only_ordered_is_told_again_when_it_has_started() {
    let (mut fleet, key) = fleet();
    fleet.runners.get_mut("i-1").unwrap().present.clear();
    fleet.report("i-1", false);
    fleet.planner.take_decisions();
    let mut told = Vec::new();
    for is_started in [false, false, true, true] {
        show_unknown(&mut fleet, &key, is_started);
        for decision in fleet.planner.take_decisions() {
            match decision {
                PlanDecision::RunUnknown { started, .. } => told.push(started),
                other => panic!("{other:?}"),
            }
        }
    }
    assert_eq!(told, [false, true]);
}

/// Guards against a task that runs twice at once: its worker was given up, and shows the run again before the task is at work
/// elsewhere.
#[test]
fn a_task_does_not_start_while_a_worker_shows_a_run_of_it_that_was_given_up() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    fleet.submit("a", job(vec![step(1, 100)]));
    fleet.round();
    let (worker, key) = fleet.running()[0].clone();
    fleet.pass(Duration::from_secs(11));
    let other = if worker == "i-1" { "i-2" } else { "i-1" };
    fleet.report(other, false);
    fleet.planner.on_tick();
    assert_eq!(labels(&fleet.planner.take_decisions()).last(), Some(&"lost"));

    fleet.report(&worker, true);
    fleet.plan();
    assert!(fleet.planner.take_decisions().iter().all(|one| one.label() != "assigned"));
    fleet.deliver();
    assert_eq!(fleet.runners[&worker].stops, [key]);
    fleet.report(&worker, false);
    fleet.plan();
    assert!(fleet.planner.take_decisions().iter().any(|one| one.label() == "assigned"));
}
