//! Failure domains are evacuated on request: their workers get no new runs until the request is taken back.

mod planning;

use std::time::Duration;

use greengagearch::connection::node_protocol::NodeOrder;
use greengagearch::external::row_store::RowName;
use greengagearch::external::row_store::StoredRow;
use greengagearch::platform::evacuations;
use greengagearch::version::evacuation::EvacuationSet;
use greengagearch::workflow::evacuation_summary::PowerHindrance;
use greengagearch::workflow::plan_decision::PlanDecision;
use greengagearch::workflow::planner::Planner;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::StepSpec;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::present;
use crate::planning::step;

/// Time for which a read of the requests is valid.
const VALIDITY: Duration = Duration::from_secs(60);

/// A fleet of which each runner is in the failure domain that is named with it.
fn fleet_in(runners: &[(&str, &str)]) -> PlannedFleet {
    let names: Vec<&str> = runners.iter().map(|(name, _)| *name).collect();
    let mut fleet = PlannedFleet::new(&names);
    for (name, domain) in runners {
        fleet.runners.get_mut(*name).unwrap().domain = domain.to_string();
    }
    fleet.report_all();
    fleet
}

fn set_of(domains: &[(&str, u64)]) -> EvacuationSet {
    domains.iter().map(|(domain, version)| (domain.to_string(), *version)).collect()
}

fn evacuate(fleet: &mut PlannedFleet, domains: &[(&str, u64)]) {
    let valid_until = fleet.now() + VALIDITY;
    fleet.planner.on_evacuations(set_of(domains), valid_until);
}

fn starts_on(fleet: &PlannedFleet, runner: &str) -> usize {
    fleet.runners[runner].starts.len()
}

fn running_on(fleet: &PlannedFleet, runner: &str) -> usize {
    fleet.runners[runner].present.len()
}

fn labels(fleet: &mut PlannedFleet) -> Vec<&'static str> {
    fleet.planner.take_decisions().iter().map(PlanDecision::label).collect()
}

fn lasting(count: u32, millicores: u64) -> StepSpec {
    StepSpec { long_running: true, target_ms: 100, image: "x".into(), ..step(count, millicores) }
}

/// Reports that all long-running tasks work.
fn work(fleet: &mut PlannedFleet) {
    for runner in fleet.runners.values_mut() {
        runner.present.values_mut().for_each(|run| run.progress_percent = 100);
    }
    fleet.report_all();
}

/// Guards against starts in a domain that its operator has asked to be left alone.
#[test]
fn an_evacuated_domain_gets_no_new_runs_until_the_request_is_taken_back() {
    let mut fleet = fleet_in(&[("i-1", "a"), ("i-2", "b")]);
    evacuate(&mut fleet, &[("a", 7)]);
    fleet.submit("j", job(vec![step(8, 1_000)]));
    fleet.round();
    assert_eq!(starts_on(&fleet, "i-1"), 0);
    assert_eq!(starts_on(&fleet, "i-2"), 4, "the other domain takes what fits");
    evacuate(&mut fleet, &[]);
    fleet.round();
    assert_eq!(starts_on(&fleet, "i-1"), 4);
}

/// Guards against work that is thrown away: what runs in the domain goes on to its end.
#[test]
fn runs_that_have_started_in_an_evacuated_domain_go_on() {
    let mut fleet = fleet_in(&[("i-1", "a"), ("i-2", "b")]);
    fleet.submit("j", job(vec![step(8, 1_000)]));
    fleet.round();
    assert_eq!(running_on(&fleet, "i-1"), 4);
    evacuate(&mut fleet, &[("a", 7)]);
    (0..10).for_each(|_| fleet.round());
    assert_eq!(running_on(&fleet, "i-1"), 4);
    assert!(fleet.runners["i-1"].stops.is_empty());
}

/// Guards against a start that was decided before the request and stored after it.
#[test]
fn a_start_that_waits_for_the_store_is_withdrawn() {
    let mut fleet = fleet_in(&[("i-1", "a"), ("i-2", "b")]);
    fleet.submit("j", job(vec![step(8, 1_000)]));
    fleet.planner.plan();
    evacuate(&mut fleet, &[("a", 7)]);
    (0..4).for_each(|_| fleet.round());
    assert_eq!(starts_on(&fleet, "i-1"), 0);
    assert_eq!(running_on(&fleet, "i-2"), 4);
    fleet.end_all(RunEnd::Done);
    (0..4).for_each(|_| fleet.round());
    assert_eq!(running_on(&fleet, "i-2"), 4, "the withdrawn tasks run elsewhere");
    assert_eq!(fleet.runners["i-2"].starts.len(), 8);
}

/// Guards against a start that a new planner repeats: its predecessor stored it before the request.
#[test]
fn a_start_of_an_earlier_planner_is_not_repeated() {
    let mut fleet = fleet_in(&[("i-1", "a"), ("i-2", "b")]);
    fleet.submit("j", job(vec![step(4, 3_000)]));
    fleet.plan();
    // The first planner is gone before its orders are sent.
    let lease_end = fleet.now();
    fleet.take_over(lease_end);
    evacuate(&mut fleet, &[("a", 7)]);
    for name in ["i-1", "i-2"] {
        fleet.report(name, true);
    }
    (0..6).for_each(|_| fleet.round());
    assert_eq!(starts_on(&fleet, "i-1"), 0);
    assert_eq!(running_on(&fleet, "i-2"), 1);
    fleet.end_all(RunEnd::Done);
    (0..4).for_each(|_| fleet.round());
    assert_eq!(starts_on(&fleet, "i-2"), 2, "the task of the withdrawn start runs elsewhere");
}

/// Guards against starts by a planner that cannot read the requests, or has not read them yet.
#[test]
fn nothing_starts_while_requests_may_have_been_missed() {
    let mut fleet = fleet_in(&[("i-1", "a")]);
    let read_at = fleet.now();
    fleet.planner.on_evacuations(set_of(&[]), read_at + Duration::from_secs(2));
    fleet.submit("j", job(vec![step(1, 1_000)]));
    fleet.plan();
    fleet.pass(Duration::from_secs(2));
    assert!(fleet.planner.take_orders().is_empty(), "a start that is stored waits");
    fleet.submit("k", job(vec![step(1, 1_000)]));
    assert_eq!(fleet.planner.plan(), 0);
    let read_at = fleet.now();
    fleet.planner.on_evacuations(set_of(&[]), read_at + Duration::from_secs(2));
    fleet.report_all();
    fleet.round();
    assert_eq!(running_on(&fleet, "i-1"), 2);
}

/// Guards against a held start that is sent after its run was stopped.
#[test]
fn a_start_that_is_held_and_stopped_is_not_sent() {
    let mut fleet = fleet_in(&[("i-1", "a")]);
    fleet.planner.on_evacuations(set_of(&[]), fleet.now() + Duration::from_secs(2));
    fleet.submit("j", job(vec![step(1, 1_000)]));
    fleet.plan();
    fleet.pass(Duration::from_secs(2));
    fleet.cancel("j");
    let orders = fleet.deliver();
    assert!(orders.iter().all(|(_, order)| matches!(order, NodeOrder::Stop(..))), "{orders:?}");
    evacuate(&mut fleet, &[]);
    (0..3).for_each(|_| fleet.round());
    assert_eq!(starts_on(&fleet, "i-1"), 0);
}

/// Guards against services that stay in the domain, and against steps of which several tasks are away at once.
#[test]
fn long_running_tasks_leave_one_of_a_step_at_a_time() {
    let mut fleet = fleet_in(&[("i-1", "a"), ("i-2", "b")]);
    fleet.submit("s", job(vec![lasting(3, 1_000)]));
    fleet.round();
    work(&mut fleet);
    let inside = running_on(&fleet, "i-1").max(running_on(&fleet, "i-2"));
    let from = if running_on(&fleet, "i-1") == inside { ("i-1", "a") } else { ("i-2", "b") };
    evacuate(&mut fleet, &[(from.1, 7)]);
    fleet.planner.on_tick();
    assert_eq!(labels(&mut fleet).iter().filter(|label| **label == "moved").count(), 1);
    for _ in 0..20 {
        fleet.round();
        assert!(fleet.running().len() >= 2, "at most one task is away");
        work(&mut fleet);
    }
    assert_eq!(running_on(&fleet, from.0), 0);
    assert_eq!(fleet.running().len(), 3);
}

/// Guards against services that are stopped though nothing else can take them.
#[test]
fn long_running_tasks_stay_while_the_other_domains_are_full() {
    let mut fleet = fleet_in(&[("i-1", "a"), ("i-2", "b")]);
    fleet.submit("s", job(vec![lasting(8, 1_000)]));
    fleet.round();
    work(&mut fleet);
    evacuate(&mut fleet, &[("a", 7)]);
    (0..10).for_each(|_| fleet.round());
    assert_eq!(running_on(&fleet, "i-1"), 4);
    assert!(fleet.runners["i-1"].stops.is_empty());
}

/// Guards against a gang of which one member waits in vain for another.
#[test]
fn a_gang_with_a_withdrawn_member_does_not_start_at_all() {
    let mut fleet = fleet_in(&[("i-1", "a"), ("i-2", "b")]);
    fleet.submit("g", job(vec![StepSpec { gang: true, ..step(2, 3_000) }]));
    fleet.planner.plan();
    evacuate(&mut fleet, &[("a", 7)]);
    fleet.store();
    fleet.deliver();
    fleet.deliver();
    assert_eq!(fleet.running(), Vec::new());
}

/// Guards against callers who wait for a service that nobody may run.
#[test]
fn a_service_is_refused_only_when_all_of_its_domains_are_evacuated() {
    let mut fleet = fleet_in(&[("i-1", "a"), ("i-2", "b")]);
    assert!(fleet.planner.evacuated_services().is_empty());
    evacuate(&mut fleet, &[("a", 7)]);
    assert!(fleet.planner.evacuated_services().is_empty());
    evacuate(&mut fleet, &[("a", 7), ("b", 8)]);
    assert_eq!(fleet.planner.evacuated_services().len(), 1);
    evacuate(&mut fleet, &[("b", 8)]);
    assert!(fleet.planner.evacuated_services().is_empty());
}

/// Guards against requests that nobody can see in the log.
#[test]
fn starts_ends_and_unknown_domains_are_logged_once() {
    let mut fleet = fleet_in(&[("i-1", "a")]);
    labels(&mut fleet);
    evacuate(&mut fleet, &[("a", 7), ("atlantis", 8)]);
    let logged = labels(&mut fleet);
    assert_eq!(logged, ["evacuation_started", "evacuation_started", "evacuation_unknown"]);
    evacuate(&mut fleet, &[("a", 7), ("atlantis", 8)]);
    assert!(labels(&mut fleet).is_empty());
    evacuate(&mut fleet, &[]);
    assert_eq!(labels(&mut fleet), ["evacuation_ended", "evacuation_ended"]);
    evacuate(&mut fleet, &[("atlantis", 9)]);
    assert_eq!(labels(&mut fleet), ["evacuation_started", "evacuation_unknown"]);
}

/// Guards against a worker that registers in a domain while it is evacuated.
#[test]
fn a_worker_that_joins_an_evacuated_domain_gets_nothing() {
    let mut fleet = fleet_in(&[("i-1", "a")]);
    evacuate(&mut fleet, &[("b", 7)]);
    let joined = planning::PlayedRunner {
        domain: "b".into(),
        labels: vec!["a".into(), "r9".into()],
        ..Default::default()
    };
    fleet.runners.insert("i-9".to_string(), joined);
    fleet.report("i-9", true);
    fleet.submit("j", job(vec![step(8, 1_000)]));
    (0..3).for_each(|_| fleet.round());
    assert_eq!(starts_on(&fleet, "i-9"), 0);
    assert_eq!(running_on(&fleet, "i-1"), 4);
}

/// Guards against requests that are overlooked because of their value, and against rows that are none.
#[test]
fn the_key_of_a_row_decides_whatever_its_value_is() {
    let row = |key: &str, value: Option<&[u8]>| StoredRow {
        name: RowName::new("op", "", key),
        value: value.map(<[u8]>::to_vec),
        version: 3,
    };
    let rows = [
        row("evacuate/a", Some(b"{}")),
        row("evacuate/b", Some(b"\xff\x00 no text")),
        row("evacuate/c", None),
        row("evacuate/", Some(b"{}")),
        row("wave/1", Some(b"{}")),
    ];
    assert_eq!(evacuations::decode(&rows), set_of(&[("a", 3), ("b", 3)]));
}

/// Guards against a planner that has just been created and starts before it has read anything.
#[test]
fn without_operators_nothing_is_held_back() {
    let mut fleet = fleet_in(&[("i-1", "a")]);
    fleet.submit("j", job(vec![step(1, 1_000)]));
    fleet.round();
    assert_eq!(running_on(&fleet, "i-1"), 1);
    assert!(Planner::new(fleet.now()).evacuated_services().is_empty());
}

/// Whether the summary of a planner allows to cut the power of a domain.
fn power_hindrance(fleet: &PlannedFleet, domain: &str) -> Option<PowerHindrance> {
    let summary = fleet.planner.evacuation_summary();
    summary.power_hindrance(&summary.domains[domain], Duration::ZERO)
}

/// Guards against operators who cannot see what is left, or cut power before everything has ended.
#[test]
fn the_summary_counts_down_to_the_last_run_of_the_domain() {
    let mut fleet = fleet_in(&[("i-1", "a"), ("i-2", "b")]);
    fleet.submit("j", job(vec![step(8, 1_000)]));
    fleet.round();
    evacuate(&mut fleet, &[("a", 7)]);
    let since_ms = fleet.wall_ms;
    fleet.round();
    let summary = fleet.planner.evacuation_summary();
    let domain = summary.domains["a"];
    assert_eq!(summary.domains.len(), 1);
    assert_eq!((domain.version, domain.since_ms, domain.workers), (7, since_ms, 1));
    assert_eq!((domain.runs.batch, domain.runs.total()), (4, 4));
    assert_eq!(power_hindrance(&fleet, "a"), Some(PowerHindrance::RunsLeft));
    fleet.end_all(RunEnd::Done);
    (0..3).for_each(|_| fleet.round());
    assert_eq!(power_hindrance(&fleet, "a"), None);
    evacuate(&mut fleet, &[]);
    assert!(fleet.planner.evacuation_summary().domains.is_empty());
}

/// Guards against power that is cut while a start is stored and not yet sent, or withdrawn and not yet confirmed.
#[test]
fn a_start_that_is_on_its_way_keeps_the_power_on() {
    let mut fleet = fleet_in(&[("i-1", "a"), ("i-2", "b")]);
    fleet.submit("j", job(vec![step(8, 1_000)]));
    fleet.planner.plan();
    evacuate(&mut fleet, &[("a", 7)]);
    assert_eq!(power_hindrance(&fleet, "a"), Some(PowerHindrance::RunsLeft));
    fleet.store();
    fleet.planner.take_orders();
    assert_eq!(power_hindrance(&fleet, "a"), Some(PowerHindrance::RunsLeft));
}

/// Guards against power that is cut while a worker still shows a run that is not assigned to it.
#[test]
fn a_run_that_is_not_assigned_keeps_the_power_on_until_it_has_stopped() {
    let mut fleet = fleet_in(&[("i-1", "a")]);
    evacuate(&mut fleet, &[("a", 7)]);
    let key = ("j.0.0.0".parse().unwrap(), 1);
    fleet.runners.get_mut("i-1").unwrap().present.insert(key.clone(), present(&key));
    fleet.report("i-1", false);
    let summary = fleet.planner.evacuation_summary();
    assert_eq!(summary.domains["a"].runs.unassigned, 1);
    assert_eq!(power_hindrance(&fleet, "a"), Some(PowerHindrance::RunsLeft));
    (0..2).for_each(|_| fleet.round());
    assert_eq!(power_hindrance(&fleet, "a"), None);
}

/// Guards against power that is cut while the end of a run is known to the planner and its worker alone. If both are
/// in the domain, the task would run again.
#[test]
fn an_end_that_is_not_stored_keeps_the_power_on() {
    let mut fleet = fleet_in(&[("i-1", "a")]);
    fleet.submit("j", job(vec![step(1, 1_000)]));
    fleet.round();
    evacuate(&mut fleet, &[("a", 7)]);
    fleet.end_all(RunEnd::Done);
    fleet.report("i-1", false);
    assert_eq!(power_hindrance(&fleet, "a"), Some(PowerHindrance::EndsUnstored));
    let batch = fleet.planner.take_batch().unwrap();
    assert_eq!(power_hindrance(&fleet, "a"), Some(PowerHindrance::EndsUnstored), "being stored");
    fleet.planner.on_conflict(batch, Vec::new());
    assert_eq!(power_hindrance(&fleet, "a"), Some(PowerHindrance::EndsUnstored));
    fleet.store();
    assert_eq!(power_hindrance(&fleet, "a"), None);
}

/// Guards against a successor that says nothing is evacuated, or that power can be cut, before it has read the
/// requests and heard of the workers; and against a start time that is lost with each planner.
#[test]
fn a_successor_keeps_to_the_published_summary_until_it_knows_more() {
    let mut fleet = fleet_in(&[("i-1", "a"), ("i-2", "b")]);
    fleet.submit("j", job(vec![step(8, 1_000)]));
    fleet.round();
    evacuate(&mut fleet, &[("a", 7)]);
    let since_ms = fleet.wall_ms;
    fleet.round();
    for _ in 0..2 {
        let published = fleet.planner.evacuation_summary();
        let lease_end = fleet.now() + Duration::from_secs(5);
        fleet.take_over(lease_end);
        fleet.planner.restore_evacuations(&published, fleet.now());
        let summary = fleet.planner.evacuation_summary();
        assert_eq!((summary.domains["a"].since_ms, summary.unlocated_runs), (since_ms, 8));
        assert_eq!(power_hindrance(&fleet, "a"), Some(PowerHindrance::RequestsNotRead));
    }
    fleet.pass(Duration::from_secs(1));
    evacuate(&mut fleet, &[("a", 7)]);
    fleet.report("i-1", true);
    assert_eq!(power_hindrance(&fleet, "a"), Some(PowerHindrance::RunsLeft));
    fleet.report("i-2", true);
    let summary = fleet.planner.evacuation_summary();
    assert_eq!((summary.domains["a"].since_ms, summary.domains["a"].runs.batch), (since_ms, 4));
    assert_eq!(summary.unlocated_runs, 0);
    evacuate(&mut fleet, &[("a", 9)]);
    let restarted = fleet.planner.evacuation_summary().domains["a"].since_ms;
    assert_eq!(restarted, fleet.wall_ms, "another request counts from when it was seen");
}

/// Guards against domains that a successor goes on showing although their requests were taken back meanwhile.
#[test]
fn a_request_that_was_taken_back_during_a_takeover_is_not_shown() {
    let mut fleet = fleet_in(&[("i-1", "a")]);
    evacuate(&mut fleet, &[("a", 7)]);
    let published = fleet.planner.evacuation_summary();
    let lease_end = fleet.now();
    fleet.take_over(lease_end);
    fleet.planner.restore_evacuations(&published, lease_end);
    evacuate(&mut fleet, &[]);
    assert!(fleet.planner.evacuation_summary().domains.is_empty());
}

/// Guards against a summary that says that requests are read while they cannot be.
#[test]
fn the_summary_tells_that_requests_cannot_be_read() {
    let mut fleet = fleet_in(&[("i-1", "a")]);
    fleet.planner.on_evacuations(set_of(&[("a", 7)]), fleet.now() + Duration::from_secs(2));
    assert_eq!(power_hindrance(&fleet, "a"), None);
    fleet.pass(Duration::from_secs(2));
    assert_eq!(power_hindrance(&fleet, "a"), Some(PowerHindrance::RequestsNotRead));
}
