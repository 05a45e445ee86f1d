//! Which changed jobs are stored first, and how many at once.
//!
//! The load: a store a hundred times slower than usual carries out one or two batches a second, while 120 to 180 jobs change all
//! the time, several times what a batch holds.

mod planning;

use std::collections::BTreeSet;

use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::spec::StepSpec;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::step;

const JOBS: usize = 120;
/// Batches in which each job's first start has its turn: 24 jobs fit in the smallest.
const TURNS: usize = 5;
/// Entries of the store's transactions, less the owner's row, the pulse and what was learned.
const MOST_ENTRIES: usize = 97;

/// Tasks so small that all find room at once.
fn small(count: u32) -> StepSpec {
    let resources = ResourceVector { millicores: 10, memory_mib: 10, accelerators: 0 };
    StepSpec { resources, ..step(count, 10) }
}

/// A job whose steps follow each other, so that it changes again as soon as a task has ended.
fn chain() -> Vec<StepSpec> {
    let after = |number: usize| if number == 0 { vec![] } else { vec![number - 1] };
    (0..10).map(|number| StepSpec { after: after(number), ..small(1) }).collect()
}

#[test]
fn no_job_waits_behind_others_that_change_again() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    (0..JOBS).for_each(|number| fleet.submit(&format!("job{number:03}"), job(chain())));
    let mut started = BTreeSet::new();
    for _ in 0..TURNS {
        fleet.planner.plan();
        fleet.store_one();
        fleet.deliver();
        started.extend(fleet.running().into_iter().map(|(_, key)| key.0.job));
        fleet.end_all(RunEnd::Done);
        fleet.report_all();
    }
    assert_eq!(started.len(), JOBS);
}

#[test]
fn a_batch_stays_within_the_entries_of_a_transaction() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    (0..JOBS).for_each(|number| fleet.submit(&format!("job{number:03}"), job(vec![small(1)])));
    fleet.planner.plan();
    let starts = fleet.store_one().unwrap();
    assert!(starts >= 40, "as many as a transaction holds, not {starts}");
    fleet.store();
    fleet.deliver();
    fleet.end_all(RunEnd::Done);
    fleet.report_all();
    while let Some(rows) = fleet.store_one() {
        assert!(2 * rows <= MOST_ENTRIES, "{rows} rows");
    }
}

#[test]
fn a_batch_of_large_jobs_stays_within_the_bytes_of_a_transaction() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    let wide = StepSpec { resources: ResourceVector::default(), ..small(800) };
    (0..9).for_each(|number| fleet.submit(&format!("job{number:03}"), job(vec![wide.clone()])));
    fleet.planner.plan();
    let rows = fleet.store_one().unwrap();
    assert!(rows * 800 <= 6_000, "{rows} rows");
}
