//! A moved task starts at the place that is kept for it, though siblings wait that find none.
//!
//! The load: more bulk tasks than the workers take in, of which some are moved. On a busy day of 160 workers 500 to 1,300 tasks wait, so
//! that a moved task nearly always has siblings that wait.

mod planning;

use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::StepSpec;
use greengagearch::workflow::worker_inventory::RunKey;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::step;

/// Rounds of 100 ms until a moved task runs again: its stop, the news of it, its start.
const ROUNDS: usize = 4;

fn run_of(fleet: &PlannedFleet, worker: &str, index: u32) -> Option<RunKey> {
    let on_worker = fleet.running().into_iter().filter(|(name, _)| name == worker);
    on_worker.map(|(_, key)| key).find(|key| key.0.index == index)
}

#[test]
fn a_moved_task_does_not_wait_behind_siblings_without_a_place() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    let tasks = StepSpec { checkpoints: true, ..step(12, 1_000) };
    fleet.submit("bulk", job(vec![tasks]));
    (0..3).for_each(|_| fleet.round());
    let leaving = |index| run_of(&fleet, "i-2", index).map(|_| index);
    let moved = (0..12).find_map(leaving).expect("both workers are full");
    let failing = (0..moved).find_map(|index| run_of(&fleet, "i-1", index)).unwrap();
    // The first task fails and waits again, and in the same look the other worker begins to leave: its task is moved to the place.
    fleet.runners.get_mut("i-2").unwrap().draining = true;
    fleet.end("i-1", &failing, RunEnd::Failed, "");
    fleet.report_all();
    fleet.planner.on_tick();
    (0..ROUNDS).for_each(|_| fleet.round());
    assert!(run_of(&fleet, "i-1", moved).is_some(), "{:?}", fleet.running());
}
