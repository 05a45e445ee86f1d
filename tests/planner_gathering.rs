//! Tasks that serve are brought together so that tasks that fill get room.
//!
//! The load: services whose jobs come and go, so that after a minute three to six tasks of several jobs serve on each
//! worker, beside more bulk work than the workers take in. On a busy day 39 tasks that serve, for which seven
//! workers have room, were on ten of eleven, and bulk work used a quarter of the processors.

mod planning;

use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::node_protocol::RunnerStatus;
use greengagearch::workflow::reservation::Reservations;
use greengagearch::workflow::serving_layout::ServingLayout;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::spec::StepSpec;
use greengagearch::workflow::spec::WorkflowSpec;
use greengagearch::workflow::worker_inventory::WorkerInventory;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::step;

/// Rounds of 100 ms within which a worker is emptied: the settling time of runs and three moves.
const SETTLED: usize = 60;

fn serving(count: u32, millicores: u64) -> WorkflowSpec {
    let image = "serving".to_string();
    job(vec![StepSpec { long_running: true, target_ms: 50, image, ..step(count, millicores) }])
}

/// More tasks that fill than any worker takes in beside what serves.
fn bulk(count: u32) -> WorkflowSpec {
    let image = "filling".to_string();
    let resources = ResourceVector { millicores: 1_000, memory_mib: 400, accelerators: 0 };
    job(vec![StepSpec {
        best_effort: true,
        checkpoints: true,
        image,
        resources,
        ..step(count, 1_000)
    }])
}

/// Lets rounds pass in which what serves is at work, but for what `is_away` names.
fn serve(fleet: &mut PlannedFleet, rounds: usize, is_away: impl Fn(&str) -> bool) {
    for _ in 0..rounds {
        for runner in fleet.runners.values_mut() {
            for (key, run) in &mut runner.present {
                let is_serving = key.0.job.starts_with('s');
                run.progress_percent = if is_serving && !is_away(&key.0.job) { 100 } else { 1 };
            }
        }
        fleet.round();
    }
}

fn workers_of(fleet: &PlannedFleet, prefix: &str) -> Vec<String> {
    let running = fleet.running().into_iter();
    let of_prefix = running.filter(|(_, key)| key.0.job.starts_with(prefix));
    let mut workers: Vec<String> = of_prefix.map(|(worker, _)| worker).collect();
    workers.sort();
    workers.dedup();
    workers
}

fn stops_of(fleet: &PlannedFleet, prefix: &str) -> usize {
    let stops = fleet.runners.values().flat_map(|runner| &runner.stops);
    stops.filter(|key| key.0.job.starts_with(prefix)).count()
}

/// Three workers that are full with jobs that serve, of which two have ended, and the rest fit on two workers.
fn scattered() -> PlannedFleet {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2", "i-3"]);
    for name in ["s1", "x1", "s2", "x2", "s3", "x3"] {
        fleet.submit(name, serving(1, 2_000));
        fleet.round();
    }
    assert_eq!(workers_of(&fleet, "s").len(), 3);
    ["x1", "x2", "x3"].iter().for_each(|job| fleet.cancel(job));
    fleet
}

#[test]
fn a_worker_is_emptied_of_what_serves_while_fills_wait() {
    let mut fleet = scattered();
    fleet.submit("bulk", bulk(40));
    serve(&mut fleet, SETTLED, |_| false);
    assert_eq!(workers_of(&fleet, "s").len(), 2);
    assert_eq!(stops_of(&fleet, "s"), 1, "no more moves than it takes");
}

#[test]
fn nothing_that_serves_is_moved_while_no_fill_waits() {
    let mut fleet = scattered();
    serve(&mut fleet, SETTLED, |_| false);
    assert_eq!(stops_of(&fleet, "s"), 0);
}

#[test]
fn nothing_that_serves_is_moved_while_a_task_of_its_step_is_not_at_work() {
    let mut fleet = scattered();
    fleet.submit("bulk", bulk(40));
    serve(&mut fleet, SETTLED, |_| true);
    assert_eq!(stops_of(&fleet, "s"), 0);
}

#[test]
fn a_task_that_is_moved_finds_its_place_kept() {
    let mut fleet = scattered();
    fleet.submit("bulk", bulk(40));
    serve(&mut fleet, SETTLED / 2, |_| false);
    // Work that would take all room beside what serves, submitted while the worker is chosen and emptied.
    for number in 0..30 {
        fleet.submit(&format!("quick{number}"), job(vec![step(2, 1_000)]));
        serve(&mut fleet, 1, |_| false);
        for (worker, key) in fleet.running() {
            if key.0.job.starts_with("quick") && number % 3 == 0 {
                let done = greengagearch::workflow::progress::RunEnd::Done;
                fleet.end(&worker, &key, done, "");
            }
        }
    }
    assert_eq!(workers_of(&fleet, "s").len(), 2);
    assert!(stops_of(&fleet, "s") <= 1);
}

#[test]
fn room_is_kept_for_one_task_and_for_a_time() {
    let now = Instant::now();
    let (mine, other) = ("a.0.0.0".parse().unwrap(), "a.0.0.1".parse().unwrap());
    let mut reservations = Reservations::default();
    let resources = ResourceVector { millicores: 3_000, memory_mib: 100, accelerators: 0 };
    let free = ResourceVector { millicores: 4_000, memory_mib: 400, accelerators: 0 };
    let (step, span) = (StepSpec { resources, ..StepSpec::default() }, Duration::from_secs(1));
    reservations.reserve(&mine, &step, now, span);
    assert_eq!(reservations.available_to(free, &mine, now), free);
    assert_eq!(reservations.available_to(free, &other, now).millicores, 1_000);
    assert_eq!(reservations.available_to(free, &other, now + span), free);
    reservations.release(&mine);
    assert_eq!(reservations.available_to(free, &other, now), free);
}

#[test]
fn room_that_was_kept_long_enough_is_forgotten() {
    let now = Instant::now();
    let (first, second) = ("a.0.0.0".parse().unwrap(), "a.0.0.1".parse().unwrap());
    let (step, span) = (StepSpec::default(), Duration::from_secs(1));
    let mut reservations = Reservations::default();
    reservations.reserve(&first, &step, now, span);
    reservations.reserve(&second, &step, now + span, span);
    let mut alone = Reservations::default();
    alone.reserve(&second, &step, now + span, span);
    assert_eq!(reservations, alone);
}

#[test]
fn a_task_costs_nothing_beside_its_own_job_and_most_where_nothing_else_serves() {
    let now = Instant::now();
    let mut inventory = WorkerInventory::default();
    let serving = StepSpec { long_running: true, target_ms: 50, ..step(1, 100) };
    for (worker, jobs) in [("i-0", 0), ("i-1", 1), ("i-5", 5)] {
        let entry = inventory.entry(worker, now);
        entry.status = Some(RunnerStatus {
            instance: worker.to_string(),
            service: planning::SERVICE.to_string(),
            domain: "d".to_string(),
            capacity: ResourceVector { millicores: 4_000, memory_mib: 4_000, accelerators: 0 },
            labels: vec![],
            draining: false,
        });
        entry.last_contact = Some(now);
        entry.resync = false;
        for job in 0..jobs {
            let key = (format!("s{job}.0.0.0").parse().unwrap(), 1);
            inventory.assign(worker, key, &serving, now, now);
        }
    }
    let layout = ServingLayout::of(&inventory, now);
    let lost = |worker: &str, job: &str| layout.workers[worker].loss_if_added(job);
    assert_eq!(lost("i-1", "s0"), 0.0);
    assert!(lost("i-0", "s9") > lost("i-1", "s9"));
    assert!(lost("i-1", "s9") > lost("i-5", "s9"));
    assert_eq!(layout.workers["i-1"].gain_if_removed("s0"), lost("i-0", "s0"));
    assert_eq!(layout.workers["i-1"].gain_if_removed("s9"), 0.0);
}
