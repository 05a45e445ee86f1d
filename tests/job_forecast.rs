//! Durations that are learned from progress, and the order of jobs that follows from them.
//!
//! The load: jobs of several tasks each come faster than workers take them in, and declared durations are off by a
//! factor of two either way (seen on busy days: the logarithms differ by 0.7 in the mean).

mod planning;

use greengagearch::workflow::job_forecast::JobForecast;
use greengagearch::workflow::job_forecast::TaskPosition;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::spec::StepSpec;
use greengagearch::workflow::spec::WorkflowSpec;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::step;

fn position(step: u32, index: u32) -> TaskPosition {
    TaskPosition { occurrence: 0, step, index }
}

/// Tasks that fill, one a worker at a time by their memory.
fn wide(count: u32, estimate_ms: u64) -> StepSpec {
    let resources = ResourceVector { millicores: 100, memory_mib: 3_000, accelerators: 0 };
    StepSpec {
        count,
        resources,
        estimate_ms,
        best_effort: true,
        checkpoints: true,
        ..step(count, 100)
    }
}

fn steps_of(counts: &[u32]) -> WorkflowSpec {
    job(counts.iter().map(|count| wide(*count, 1_000)).collect())
}

/// Lets some rounds pass in which every run comes forward by `percent` a round of 100 ms.
fn work(fleet: &mut PlannedFleet, rounds: usize, percent: impl Fn(&str) -> u32) {
    for _ in 0..rounds {
        for runner in fleet.runners.values_mut() {
            for (key, run) in &mut runner.present {
                run.progress_percent = (run.progress_percent + percent(&key.0.job)).min(99);
            }
        }
        fleet.round();
    }
}

#[test]
fn a_tenth_of_the_work_tells_the_duration_of_a_task_and_of_its_siblings() {
    let spec = steps_of(&[3, 2]);
    let mut forecast = JobForecast::default();
    forecast.record_progress(position(0, 0), (10.0, 15.0), 500.0);
    assert_eq!(forecast.remaining_ms(&spec, position(0, 0)), 1_000.0, "too little was seen");
    forecast.record_progress(position(0, 0), (10.0, 35.0), 1_000.0);
    assert_eq!(forecast.remaining_ms(&spec, position(0, 0)), 2_600.0);
    assert_eq!(forecast.remaining_ms(&spec, position(0, 1)).round(), 4_000.0);
    assert_eq!(forecast.remaining_ms(&spec, position(1, 0)), 1_000.0, "another step says nothing");
}

#[test]
fn the_longest_task_of_a_step_is_taken_to_be_longer_than_those_that_were_seen() {
    let spec = steps_of(&[2]);
    let mut forecast = JobForecast::default();
    assert_eq!(forecast.max_ms(&spec, 0), 1_000.0);
    forecast.record_progress(position(0, 0), (0.0, 50.0), 1_000.0);
    assert_eq!(forecast.max_ms(&spec, 0).round(), 2_400.0);
    forecast.record_progress(position(0, 1), (0.0, 50.0), 900.0);
    assert_eq!(forecast.max_ms(&spec, 0), 2_000.0);
}

#[test]
fn a_job_that_takes_far_longer_than_declared_is_still_in_time_when_its_objective_grows_with_it() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    // Declared 300 ms, so due after 1.1 s; it really takes 5 s, and is due after 10.5 s.
    fleet.submit("long", job(vec![wide(2, 300)]));
    work(&mut fleet, 25, |_| 2);
    fleet.submit("late", WorkflowSpec { accepted_ms: 999_400, ..job(vec![wide(1, 500)]) });
    fleet.end_all(RunEnd::Done);
    (0..3).for_each(|_| fleet.round());
    let running = fleet.running();
    assert_eq!(running.len(), 1);
    assert_eq!(running[0].1.0.job, "long", "the other one is late, this one can be in time");
}

#[test]
fn of_jobs_that_can_be_in_time_the_one_with_the_least_work_left_goes_first() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("first", job(vec![wide(1, 500)]));
    fleet.round();
    fleet.submit("large", job(vec![wide(6, 2_000)]));
    fleet.submit("small", job(vec![wide(1, 2_000)]));
    (0..2).for_each(|_| fleet.round());
    fleet.end_all(RunEnd::Done);
    (0..2).for_each(|_| fleet.round());
    let running = fleet.running();
    assert_eq!(running.len(), 1, "there is room for one at a time");
    assert_eq!(running[0].1.0.job, "small");
}
