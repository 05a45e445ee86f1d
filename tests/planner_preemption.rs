//! Who makes room for whom when all workers are full.

mod planning;

use std::time::Duration;

use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::spec::StepSpec;
use greengagearch::workflow::spec::WorkflowSpec;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::step;

/// A step whose tasks take half the memory of a worker.
fn half(count: u32) -> StepSpec {
    let resources = ResourceVector { millicores: 100, memory_mib: 2_000, accelerators: 0 };
    StepSpec { count, resources, ..step(count, 100) }
}

fn with_priority(priority: u32, steps: Vec<StepSpec>) -> WorkflowSpec {
    let mut spec = job(steps);
    spec.policy.priority = priority;
    spec
}

fn running_of(fleet: &PlannedFleet, job: &str) -> usize {
    fleet.running().iter().filter(|(_, key)| key.0.job == job).count()
}

#[test]
fn what_lasts_displaces_what_fills_and_no_more_than_it_needs() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    let fill = StepSpec { best_effort: true, checkpoints: true, ..half(4) };
    fleet.submit("f", job(vec![fill]));
    fleet.round();
    assert_eq!(running_of(&fleet, "f"), 4);
    fleet.submit("s", job(vec![StepSpec { long_running: true, ..half(1) }]));
    fleet.round();
    assert_eq!(running_of(&fleet, "s"), 0, "room that comes free by itself is waited for");
    (0..8).for_each(|_| fleet.round());
    assert_eq!(running_of(&fleet, "s"), 1);
    assert_eq!(running_of(&fleet, "f"), 3);
}

#[test]
fn a_queue_that_comes_first_displaces_others_and_the_youngest_run_first() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("old", with_priority(2, vec![half(1)]));
    (0..3).for_each(|_| fleet.round());
    fleet.submit("young", with_priority(2, vec![half(1)]));
    (0..3).for_each(|_| fleet.round());
    fleet.submit("urgent", with_priority(0, vec![half(1)]));
    (0..8).for_each(|_| fleet.round());
    assert_eq!(running_of(&fleet, "urgent"), 1);
    assert_eq!(running_of(&fleet, "old"), 1);
    assert_eq!(running_of(&fleet, "young"), 0);
}

#[test]
fn equals_what_lasts_and_what_comes_first_are_never_displaced() {
    for (first, second) in [
        (with_priority(1, vec![half(2)]), with_priority(1, vec![half(1)])),
        (with_priority(0, vec![half(2)]), with_priority(1, vec![half(1)])),
        (
            with_priority(1, vec![StepSpec { long_running: true, ..half(2) }]),
            with_priority(0, vec![half(1)]),
        ),
    ] {
        let mut fleet = PlannedFleet::new(&["i-1"]);
        fleet.submit("first", first);
        fleet.round();
        fleet.submit("second", second);
        (0..30).for_each(|_| fleet.round());
        assert_eq!(running_of(&fleet, "first"), 2);
        assert!(fleet.runners["i-1"].stops.is_empty());
    }
}

#[test]
fn a_task_that_nothing_can_make_room_for_stops_nothing() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("small", with_priority(2, vec![half(2)]));
    fleet.round();
    let mut large = half(1);
    large.resources.memory_mib = 5_000;
    fleet.submit("large", with_priority(0, vec![large]));
    (0..30).for_each(|_| fleet.round());
    assert!(fleet.runners["i-1"].stops.is_empty());
}

/// Stops take a while; until their ends are seen nothing more is stopped.
#[test]
fn what_is_stopping_already_is_counted() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("lesser", with_priority(2, vec![half(2)]));
    fleet.round();
    fleet.submit("urgent", with_priority(0, vec![half(1)]));
    for _ in 0..40 {
        fleet.plan();
        // The agent is slow: orders do not come through.
        fleet.planner.take_orders();
        fleet.pass(Duration::from_millis(100));
        fleet.report_all();
    }
    let displaced = fleet.planner.take_decisions();
    let displaced = displaced.iter().filter(|decision| decision.label() == "displaced").count();
    assert_eq!(displaced, 1);
}
