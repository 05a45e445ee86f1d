//! Workers that fail what they start: when they are left alone, and when they are tried again.

mod planning;

use std::time::Duration;
use std::time::Instant;

use greengagearch::process::suspicion::WorkerSuspicion;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::StepSpec;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::step;

/// Longer than the first pause, shorter than the second.
const AFTER_FIRST_PAUSE: Duration = Duration::from_millis(2_100);

fn suspected(now: Instant) -> WorkerSuspicion {
    let mut suspicion = WorkerSuspicion::default();
    let told = ["a", "b", "c"].map(|task| suspicion.on_failure("w", task, now));
    assert_eq!(told, [false, false, true]);
    suspicion
}

/// Seen on a mixed day of sendeplan-grown: workers that failed everything for six seconds, with a dozen tasks at
/// work each, got nothing more for five minutes.
#[test]
fn failures_of_tasks_that_ran_before_lengthen_no_pause() {
    let now = Instant::now();
    let mut suspicion = suspected(now);
    for number in 0..12 {
        assert!(!suspicion.on_failure("w", &format!("old-{number}"), now));
    }
    assert_eq!(suspicion.starts_left("w", now), Some(0));
    assert_eq!(suspicion.starts_left("w", now + AFTER_FIRST_PAUSE), Some(1));
}

/// A task that lasts never ends as done; that it does not fail says as much.
#[test]
fn a_probe_that_goes_on_allows_the_next_one() {
    let now = Instant::now();
    let mut suspicion = suspected(now);
    let started = now + AFTER_FIRST_PAUSE;
    suspicion.on_start("w", "lasting", started);
    assert_eq!(suspicion.starts_left("w", started + Duration::from_millis(500)), Some(0));
    assert_eq!(suspicion.starts_left("w", started + Duration::from_secs(4)), Some(1));
}

#[test]
fn only_a_failed_probe_lengthens_the_pause() {
    let now = Instant::now();
    let mut suspicion = suspected(now);
    let started = now + AFTER_FIRST_PAUSE;
    suspicion.on_start("w", "probe", started);
    suspicion.on_failure("w", "probe", started);
    assert_eq!(suspicion.starts_left("w", started + AFTER_FIRST_PAUSE), Some(0));
    assert_eq!(suspicion.starts_left("w", started + 2 * AFTER_FIRST_PAUSE), Some(1));
}

/// The same as the planner sees it: after the trouble the worker carries its share again within seconds.
#[test]
fn a_worker_that_is_well_again_gets_work_again() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![StepSpec { long_running: true, ..step(10, 100) }]));
    fleet.round();
    assert_eq!(fleet.running().len(), 10);
    fleet.end_all(RunEnd::Failed);
    fleet.round();
    assert!(fleet.running().is_empty());
    (0..80).for_each(|_| fleet.round());
    assert!(fleet.running().len() >= 2, "{} run", fleet.running().len());
    let (instance, key) = fleet.running()[0].clone();
    fleet.end(&instance, &key, RunEnd::Done, "");
    (0..3).for_each(|_| fleet.round());
    assert_eq!(fleet.running().len(), 10);
}
