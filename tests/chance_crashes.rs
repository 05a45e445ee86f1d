//! Lives of workers that break off by chance under one task.

use std::time::Duration;
use std::time::Instant;

use greengagearch::workflow::task_name::TaskName;
use greengagearch::workflow::task_suspicion::CrashedRun;
use greengagearch::workflow::task_suspicion::TaskSuspicion;

fn task() -> TaskName {
    "a.0.0.0".parse().unwrap()
}

/// A run of the task on a worker that crashed: it was seen alive at `min_age_ms`, and the worker was gone at `max_age_ms`.
fn run(min_age_ms: u64, max_age_ms: u64) -> CrashedRun {
    let (min_age, max_age) = (Duration::from_millis(min_age_ms), Duration::from_millis(max_age_ms));
    CrashedRun { task: task(), max_age, min_age, is_certain: true }
}

/// The number of the crash with which the task is given up.
fn given_up_after(runs: &[CrashedRun]) -> Option<usize> {
    let mut suspicion = TaskSuspicion::default();
    let verdicts = runs.iter().enumerate().map(|(number, run)| {
        suspicion.on_crash(&format!("i-{number}"), std::slice::from_ref(run), Instant::now())
    });
    let verdicts: Vec<_> = verdicts.collect();
    verdicts.iter().position(|verdict| verdict.given_up.is_some()).map(|position| position + 1)
}

/// Guards against a job that is shown as failed and could have been done: one run lived far longer than another one's crash.
#[test]
fn runs_that_lived_unlike_long_are_no_evidence_against_their_task() {
    let runs = [run(0, 190), run(300, 420), run(0, 14), run(100, 150)];
    assert_eq!(given_up_after(&runs), None);
}

/// Guards against the same where agents noticed the crashes too late to tell the age of the runs.
#[test]
fn crashes_at_an_unknown_age_are_weak_evidence() {
    let runs = [run(0, 1_400), run(0, 2_000), run(0, 300), run(0, 1_200)];
    assert_eq!(given_up_after(&runs), None);
}

/// Guards against a task that takes worker after worker with it: it is given up at the third crash right after its start, and at the fifth
/// whatever speaks for it.
#[test]
fn a_task_that_crashes_its_workers_is_given_up_in_time() {
    let at_once = [run(0, 40), run(0, 260), run(0, 15)];
    assert_eq!(given_up_after(&at_once), Some(3));
    let unlike = [run(0, 190), run(300, 420), run(0, 14), run(100, 150), run(0, 2_000)];
    assert_eq!(given_up_after(&unlike), Some(5));
}
