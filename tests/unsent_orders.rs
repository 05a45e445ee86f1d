//! Starts that wait to be sent while further reports of their worker are processed.

mod planning;

use greengagearch::connection::node_protocol::NodeOrder;
use greengagearch::connection::node_protocol::RejectReason;
use greengagearch::workflow::plan_decision::PlanDecision;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::worker_inventory::RunKey;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::present;
use crate::planning::step;

/// A planner that has taken over a run of which its predecessor had sent nothing, and sends it anew over a new link.
fn taken_over() -> (PlannedFleet, RunKey) {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    fleet.submit("a", job(vec![step(1, 500)]));
    fleet.plan();
    let inherited = fleet.now();
    fleet.take_over(inherited);
    let (_, progress) = &fleet.progress["a"];
    let (name, attempt) = progress.attempts("a").into_iter().next().unwrap();
    let worker = attempt.worker.clone();
    let key = (name, attempt.run);
    fleet.runners.retain(|runner, _| *runner == worker);
    fleet.runners.insert("i-3".to_string(), fleet.runners[&worker].clone());
    fleet.report("i-3", true);
    fleet.report(&worker, true);
    (fleet, key)
}

fn worker_of(fleet: &PlannedFleet) -> String {
    fleet.runners.keys().find(|name| *name != "i-3").unwrap().clone()
}

fn starts(fleet: &mut PlannedFleet) -> Vec<RunKey> {
    let orders = fleet.planner.take_orders().into_iter();
    let starts = orders.filter_map(|(_, order)| match order {
        NodeOrder::Start(start) => Some((start.traits.task, start.run)),
        _ => None,
    });
    starts.collect()
}

/// Guards against a task that runs twice at once: the start of a run that was given up as absent was sent all the same.
#[test]
fn a_start_that_waits_to_be_sent_does_not_count_as_seen() {
    let (mut fleet, key) = taken_over();
    let worker = worker_of(&fleet);
    fleet.report(&worker, false);
    fleet.plan();
    fleet.deliver();
    assert_eq!(fleet.running(), [(worker, key)]);
    let decisions = fleet.planner.take_decisions();
    assert!(!decisions.iter().any(|one| one.label() == "absent"), "{decisions:?}");
}

#[test]
fn a_start_that_waits_to_be_sent_is_sent_once_over_the_newest_link() {
    let (mut fleet, key) = taken_over();
    let worker = worker_of(&fleet);
    fleet.report(&worker, true);
    assert_eq!(starts(&mut fleet), [key]);
}

/// Guards against a task that runs twice at once: the next run of the task is assigned by then.
#[test]
fn a_start_whose_run_is_refused_before_it_is_sent_does_not_leave() {
    let (mut fleet, key) = taken_over();
    let worker = worker_of(&fleet);
    fleet.reject(&worker, &key, RejectReason::Leaving);
    fleet.report(&worker, false);
    let decisions = fleet.planner.take_decisions();
    assert!(decisions.iter().any(|one| matches!(one, PlanDecision::RunRejected { .. })));
    assert_eq!(starts(&mut fleet), []);
}

#[test]
fn a_start_whose_run_has_ended_before_it_is_sent_does_not_leave() {
    let (mut fleet, key) = taken_over();
    let worker = worker_of(&fleet);
    fleet.end(&worker, &key, RunEnd::Done, "");
    fleet.report(&worker, false);
    assert_eq!(starts(&mut fleet), []);
}

/// The next life of the runner has carried out an order of the planner before.
#[test]
fn a_start_whose_run_another_life_shows_does_not_leave_and_can_be_lost_there() {
    let (mut fleet, key) = taken_over();
    let next = fleet.runners.get_mut("i-3").unwrap();
    next.present.insert(key.clone(), present(&key));
    fleet.report("i-3", false);
    assert_eq!(starts(&mut fleet), []);
    fleet.runners.get_mut("i-3").unwrap().present.clear();
    fleet.report("i-3", false);
    let decisions = fleet.planner.take_decisions();
    assert!(decisions.iter().any(|one| one.label() == "absent"), "{decisions:?}");
}
