//! What the planner's decisions tell of a run that it gives up: refused, not shown, or lost with its worker.

mod planning;

use std::time::Duration;

use greengagearch::connection::node_protocol::RejectReason;
use greengagearch::connection::node_protocol::RunnerCrash;
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
    assert_eq!(labels(&refusal(false)), ["refused", "lost"]);
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
}

#[test]
fn a_run_that_is_lost_with_its_worker_is_neither_refused_nor_absent() {
    let (mut fleet, _) = fleet();
    fleet.pass(Duration::from_millis(100));
    fleet.tell_crash(RunnerCrash { instance: "i-1".to_string(), young: Vec::new() });
    let decisions = fleet.planner.take_decisions();
    assert_eq!(labels(&decisions), ["worker_crashed", "worker_lost", "lost"]);
}
