//! The load after an outage: thousands of tasks wait at once, and the host that plans is weak. Its rounds are done
//! in slices, between which it writes heartbeats. Played without a network.

mod planning;

use std::time::Duration;

use greengagearch::workflow::search_budget::SearchBudget;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::step;

const RUNNERS: [&str; 4] = ["i-0", "i-1", "i-2", "i-3"];
/// Tasks that run beside each other on all runners.
const ROOM: usize = 160;
/// Time between two heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);

/// A fleet with many jobs of ten tasks each, more than fit.
fn flooded_fleet() -> PlannedFleet {
    let mut fleet = PlannedFleet::new(&RUNNERS);
    for number in 0..40 {
        fleet.submit(&format!("job-{number:02}"), job(vec![step(10, 100)]));
    }
    fleet
}

#[test]
fn a_slice_makes_no_more_starts_than_it_may_search() {
    let mut fleet = flooded_fleet();
    let slice = fleet.planner.plan_slice(25);
    assert_eq!(slice.started, 25);
    assert!(!slice.is_complete);
}

/// Guards against work that is passed over at the end of a slice: the slices of a round assign what one round does.
#[test]
fn slices_assign_the_same_runs_as_a_whole_round() {
    let mut whole = flooded_fleet();
    assert_eq!(whole.planner.plan(), ROOM);
    whole.store();
    whole.deliver();
    let mut sliced = flooded_fleet();
    let mut slices = 0;
    while !sliced.planner.plan_slice(7).is_complete {
        slices += 1;
        assert!(slices < 200, "the round does not end");
    }
    sliced.store();
    sliced.deliver();
    assert_eq!(sliced.running(), whole.running());
}

/// Guards against a job that uses up every slice and holds up the others.
#[test]
fn a_job_that_fits_nowhere_does_not_hold_up_a_round() {
    let mut fleet = PlannedFleet::new(&RUNNERS);
    let too_large = (0..6).map(|extra| step(1, 9_000 - extra)).collect();
    fleet.submit("a-too-large", job(too_large));
    fleet.submit("b-small", job(vec![step(3, 100)]));
    let started: usize = (0..6).map(|_| fleet.planner.plan_slice(2).started).sum();
    assert_eq!(started, 3);
}

#[test]
fn a_job_that_is_cancelled_between_two_slices_is_not_started() {
    let mut fleet = flooded_fleet();
    fleet.planner.plan_slice(10);
    (0..40).for_each(|number| fleet.cancel(&format!("job-{number:02}")));
    while !fleet.planner.plan_slice(10).is_complete {}
    fleet.store();
    fleet.deliver();
    assert!(fleet.running().is_empty(), "{} runs", fleet.running().len());
}

/// A host on which one search takes 2 ms: the slices soon leave room for three others between two heartbeats.
#[test]
fn slices_become_short_enough_for_heartbeats_on_a_weak_host() {
    let search = Duration::from_millis(2);
    let mut budget = SearchBudget::default();
    for _ in 0..4 {
        budget.on_slice(true, search * budget.searches() as u32);
    }
    assert!(search * budget.searches() as u32 * 4 < HEARTBEAT_PERIOD, "{budget:?}");
}

#[test]
fn slices_become_long_on_a_strong_host_that_has_much_to_do() {
    let mut budget = SearchBudget::default();
    let first = budget.searches();
    (0..8).for_each(|_| budget.on_slice(true, Duration::from_millis(1)));
    assert!(budget.searches() >= 100 * first);
    let before = budget;
    (0..8).for_each(|_| budget.on_slice(false, Duration::from_millis(1)));
    assert_eq!(budget, before, "a round that is complete asks for no longer slices");
}
