//! The planner's decisions, and what it does when messages, workers and planners fail.

mod planning;

use std::time::Duration;

use assert_matches::assert_matches;
use greengagearch::connection::node_protocol::OrderLease;
use greengagearch::connection::node_protocol::RejectReason;
use greengagearch::workflow::planner_batch::PlanWrite;
use greengagearch::workflow::progress::JobEnd;
use greengagearch::workflow::progress::JobStatus;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::StepSpec;

use crate::planning::PlannedFleet;
use crate::planning::PlayedRunner;
use crate::planning::job;
use crate::planning::present;
use crate::planning::step;

const COMPLETED: Option<JobStatus> = Some(JobStatus::Ended(JobEnd::Completed));

#[test]
fn steps_run_in_order_and_the_job_completes() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    let second = StepSpec { after: vec![0], ..step(3, 500) };
    fleet.submit("a", job(vec![step(2, 500), second]));
    fleet.round();
    assert!(fleet.running().iter().all(|(_, key)| key.0.step == 0));
    assert_eq!(fleet.running().len(), 2);
    let (instance, key) = fleet.running()[0].clone();
    fleet.end(&instance, &key, RunEnd::Done, "");
    fleet.round();
    assert!(fleet.running().iter().all(|(_, key)| key.0.step == 0), "one of two is not enough");
    assert_eq!(fleet.finish("a", 6), COMPLETED);
    assert!(fleet.progress.is_empty(), "the row of an ended job's progress is removed");
}

#[test]
fn nothing_starts_before_the_store_has_it() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![step(1, 500)]));
    fleet.planner.plan();
    let batch = fleet.planner.take_batch().unwrap();
    assert!(fleet.planner.take_orders().is_empty());
    fleet.planner.on_committed(batch, 9);
    assert_eq!(fleet.planner.take_orders().len(), 1);
}

#[test]
fn an_end_is_forgotten_by_its_worker_only_when_the_store_has_it() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![step(1, 500), StepSpec { after: vec![0], ..step(1, 500) }]));
    fleet.round();
    fleet.end_all(RunEnd::Done);
    fleet.report("i-1", false);
    assert_eq!(fleet.planner.last_acked_end("i-1"), 0);
    fleet.store();
    assert_eq!(fleet.planner.last_acked_end("i-1"), 1);
}

/// Seen on hunt-57d5-3 of bridgeway: numbers of orders began anew with a new life of the runner, while
/// its agent had seen higher ones over the same link; runs that were about to start counted as lost.
#[test]
fn orders_for_a_new_life_are_not_taken_for_seen() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    for name in ["a", "b", "c"] {
        fleet.submit(name, job(vec![step(1, 500)]));
        fleet.round();
    }
    let seen = fleet.runners["i-1"].orders_seen;
    let mut report = fleet.report_of("i-1");
    report.former = vec!["i-1".to_string()];
    report.runner.as_mut().unwrap().instance = "i-2".to_string();
    report.snapshot = None;
    fleet.planner.on_report(report, false);
    fleet.runners.clear();
    let next = PlayedRunner { orders_seen: seen, ..PlayedRunner::default() };
    fleet.runners.insert("i-2".to_string(), next);
    fleet.report("i-2", false);

    fleet.plan();
    let orders = fleet.planner.take_orders();
    assert_eq!(orders.len(), 3, "what ran on the former life starts on the new one");
    for (instance, order) in &orders {
        fleet.planner.assign_order_number(instance, std::slice::from_ref(order));
    }
    // The agent reports before the orders have come.
    fleet.report("i-2", false);
    fleet.plan();
    assert!(fleet.planner.take_orders().is_empty(), "they are on their way and not lost");
}

#[test]
fn a_run_that_its_worker_does_not_have_starts_anew() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![step(1, 500)]));
    fleet.round();
    let (_, key) = fleet.running()[0].clone();
    fleet.runners.get_mut("i-1").unwrap().present.clear();
    fleet.round();
    fleet.round();
    assert_eq!(fleet.running()[0].1.1, key.1 + 1);
}

#[test]
fn a_refusal_for_want_of_room_is_no_failed_attempt() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![step(1, 500)]));
    for _ in 0..4 {
        fleet.round();
        let (instance, key) = fleet.running()[0].clone();
        fleet.reject(&instance, &key, RejectReason::Room);
        fleet.report(&instance, false);
        fleet.pass(Duration::from_millis(400));
        fleet.report(&instance, false);
    }
    assert_eq!(fleet.finish("a", 6), COMPLETED);
}

#[test]
fn a_job_fails_when_a_task_has_failed_as_often_as_allowed() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2", "i-3"]);
    fleet.submit("a", job(vec![step(2, 500)]));
    fleet.round();
    fleet.end_all(RunEnd::Failed);
    (0..2).for_each(|_| fleet.round());
    assert_eq!(fleet.planner.status("a"), Some(JobStatus::Running));
    assert_eq!(fleet.running().len(), 2);
    let (instance, key) = fleet.running()[0].clone();
    fleet.end(&instance, &key, RunEnd::Failed, "");
    fleet.round();
    fleet.round();
    assert_eq!(fleet.planner.status("a"), Some(JobStatus::Ended(JobEnd::Failed)));
    fleet.round();
    assert!(fleet.running().is_empty(), "the other task is stopped");
}

#[test]
fn a_failed_task_goes_to_another_worker() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    fleet.submit("a", job(vec![step(1, 500)]));
    fleet.round();
    let (first, key) = fleet.running()[0].clone();
    fleet.end(&first, &key, RunEnd::Failed, "");
    fleet.round();
    fleet.round();
    assert_ne!(fleet.running()[0].0, first);
}

#[test]
fn a_cancelled_job_stops_and_stays_cancelled() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![step(2, 500)]));
    fleet.round();
    fleet.cancel("a");
    fleet.round();
    assert!(fleet.running().is_empty());
    fleet.round();
    assert_eq!(fleet.planner.status("a"), Some(JobStatus::Ended(JobEnd::Cancelled)));
    assert!(fleet.progress.is_empty());
    fleet.round();
    assert!(fleet.running().is_empty());
}

#[test]
fn a_job_that_is_cancelled_before_its_start_left_never_starts() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![step(1, 500)]));
    fleet.planner.plan();
    let batch = fleet.planner.take_batch().unwrap();
    fleet.cancel("a");
    fleet.planner.on_committed(batch, 50);
    fleet.version = 50;
    fleet.round();
    assert!(fleet.runners["i-1"].starts.is_empty());
    assert_eq!(fleet.planner.status("a"), Some(JobStatus::Ended(JobEnd::Cancelled)));
}

/// A batch that was refused because the caller cancelled is stored anew, without its starts.
#[test]
fn a_refused_batch_keeps_what_it_held() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![step(1, 500)]));
    fleet.submit("b", job(vec![step(1, 500)]));
    fleet.planner.plan();
    let batch = fleet.planner.take_batch().unwrap();
    fleet.cancel("a");
    let record = fleet.records["a"].clone();
    fleet.planner.on_conflict(batch, vec![("a".to_string(), fleet.version, record)]);
    fleet.round();
    let jobs: Vec<String> = fleet.running().into_iter().map(|(_, key)| key.0.job).collect();
    assert_eq!(jobs, ["b"]);
}

#[test]
fn a_planner_that_takes_over_neither_repeats_nor_forgets() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    fleet.submit("a", job(vec![step(4, 500)]));
    fleet.round();
    let before = fleet.running();
    let (instance, key) = before[0].clone();
    fleet.end(&instance, &key, RunEnd::Done, "");
    let inherited_lease_end = fleet.now() + Duration::from_secs(10);
    fleet.take_over(inherited_lease_end);
    fleet.report("i-1", true);
    fleet.report("i-2", true);
    fleet.round();
    assert_eq!(fleet.running().len(), 3, "nothing starts twice");
    assert!(fleet.running().iter().all(|one| before.contains(one)));
    assert_eq!(fleet.finish("a", 5), COMPLETED);
}

/// A start that was stored but not sent is sent by the next planner under the same number.
#[test]
fn a_stored_start_that_was_never_sent_is_sent_after_a_takeover() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![step(1, 500)]));
    fleet.plan();
    let inherited_lease_end = fleet.now() + Duration::from_secs(10);
    fleet.take_over(inherited_lease_end);
    fleet.report("i-1", true);
    fleet.deliver();
    assert_matches!(fleet.running().as_slice(), [(_, (_, 1))]);
}

#[test]
fn what_a_silent_worker_had_starts_elsewhere_only_when_its_leases_have_expired() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    fleet.submit("a", job(vec![step(1, 500)]));
    fleet.round();
    let (lost, _) = fleet.running()[0].clone();
    let end = fleet.now() + Duration::from_secs(9);
    fleet.planner.on_grant(&lost, end, (OrderLease::default(), end));
    fleet.runners.remove(&lost);
    for _ in 0..80 {
        fleet.round();
        assert!(fleet.running().is_empty(), "at {:?}", fleet.clock);
    }
    (0..20).for_each(|_| fleet.round());
    assert_eq!(fleet.running().len(), 1);
}

#[test]
fn after_a_takeover_a_silent_worker_counts_for_as_long_as_any_planner_may_have_granted() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    fleet.submit("a", job(vec![step(1, 500)]));
    fleet.round();
    let (lost, _) = fleet.running()[0].clone();
    fleet.runners.remove(&lost);
    let inherited_lease_end = fleet.now() + Duration::from_secs(10);
    fleet.take_over(inherited_lease_end);
    (0..95).for_each(|_| fleet.round());
    assert!(fleet.running().is_empty());
    (0..10).for_each(|_| fleet.round());
    assert_eq!(fleet.running().len(), 1);
}

#[test]
fn a_run_that_nobody_knows_is_stopped() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    let key = ("x.0.0.0".parse().unwrap(), 7);
    fleet.runners.get_mut("i-1").unwrap().present.insert(key.clone(), present(&key));
    fleet.round();
    fleet.round();
    assert_eq!(fleet.runners["i-1"].stops, [key]);
}

#[test]
fn a_leaving_worker_gets_nothing_more() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.runners.get_mut("i-1").unwrap().draining = true;
    fleet.report("i-1", false);
    fleet.submit("a", job(vec![step(1, 500)]));
    fleet.round();
    assert!(fleet.running().is_empty());
}

#[test]
fn guarded_capacity_is_never_exceeded() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    fleet.submit("a", job(vec![step(30, 900)]));
    for _ in 0..6 {
        fleet.round();
        for runner in fleet.runners.values() {
            assert!(runner.present.len() <= 4, "4 of 0.9 cores fit 4 cores");
        }
        fleet.end_all(RunEnd::Done);
    }
}

/// The end of a job is a write of its own row, under the version that the planner has read.
#[test]
fn the_end_of_a_job_is_bound_to_its_row() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![step(1, 500)]));
    let version = fleet.version;
    fleet.round();
    fleet.end_all(RunEnd::Done);
    fleet.report("i-1", false);
    let batch = fleet.planner.take_batch().unwrap();
    let is_bound =
        |write: &PlanWrite| matches!(write, PlanWrite::End(_, expected, _) if *expected == version);
    assert!(batch.writes.iter().any(is_bound));
}
