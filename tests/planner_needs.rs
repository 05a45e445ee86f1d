//! Jobs that wait for a place do not keep others from theirs.

mod planning;

use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::spec::StepSpec;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::step;

fn running_of(fleet: &PlannedFleet, job: &str) -> usize {
    fleet.running().iter().filter(|(_, key)| key.0.job == job).count()
}

fn sized(memory_mib: u64) -> StepSpec {
    let resources = ResourceVector { millicores: 100, memory_mib, accelerators: 0 };
    StepSpec { resources, ..step(1, 100) }
}

#[test]
fn what_asks_for_less_is_placed_after_what_found_nothing() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a-large", job(vec![sized(9_000)]));
    fleet.submit("b-larger", job(vec![sized(9_500)]));
    fleet.submit("c-small", job(vec![sized(100)]));
    fleet.round();
    assert_eq!(running_of(&fleet, "a-large") + running_of(&fleet, "b-larger"), 0);
    assert_eq!(running_of(&fleet, "c-small"), 1);
}

#[test]
fn another_label_another_image_and_a_bound_of_its_own_are_searched_for() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2", "i-3"]);
    let labelled = |label: &str| StepSpec { required_label: label.to_string(), ..step(1, 100) };
    fleet.submit("a", job(vec![labelled("nowhere")]));
    fleet.submit("b", job(vec![labelled("r1")]));
    fleet.submit("c", job(vec![StepSpec { max_per_worker: 1, ..step(4, 100) }]));
    fleet.submit("d", job(vec![step(2, 100)]));
    fleet.round();
    let counts = ["a", "b", "c", "d"].map(|job| running_of(&fleet, job));
    assert_eq!(counts, [0, 1, 3, 2]);
}

/// The next round searches anew.
#[test]
fn what_found_nothing_is_placed_when_room_comes_free() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![sized(4_000)]));
    fleet.round();
    fleet.submit("b", job(vec![sized(4_000)]));
    fleet.round();
    assert_eq!(running_of(&fleet, "b"), 0);
    let (instance, key) = fleet.running()[0].clone();
    fleet.end(&instance, &key, greengagearch::workflow::progress::RunEnd::Done, "");
    (0..3).for_each(|_| fleet.round());
    assert_eq!(running_of(&fleet, "b"), 1);
}
