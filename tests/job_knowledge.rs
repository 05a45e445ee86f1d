//! Starts and what the planner knows of their jobs: when they are stored, held back, dropped and for how long they are valid.

mod planning;

use std::time::Duration;
use std::time::Instant;

use assert_matches::assert_matches;
use greengagearch::connection::node_protocol::NodeOrder;
use greengagearch::connection::node_protocol::OrderLease;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::external::row_store::RowName;
use greengagearch::external::row_store::StoredRow;
use greengagearch::process::planning::rows::JobLayout;
use greengagearch::process::planning::rows::PROGRESS_TABLE;
use greengagearch::process::planning::rows::applied_version;
use greengagearch::process::planning::rows::batch_transaction;
use greengagearch::process::planning::rows::owner_row;
use greengagearch::version::evacuation::EvacuationSet;
use greengagearch::workflow::plan_decision::PlanDecision;
use greengagearch::workflow::planner_batch::PlanBatch;
use greengagearch::workflow::progress::JobRecord;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::step;

const LIMIT: Duration = Duration::from_secs(3);
/// The age from which starts are stored under a condition, that from which they are held back, and that up to which workers carry them out.
const UNCONFIRMED_FROM: Duration = Duration::from_millis(900);
const HELD_FROM: Duration = Duration::from_millis(1_800);
const VALID_UNTIL: Duration = Duration::from_millis(2_700);
const LONG_LEASE: Duration = Duration::from_secs(9);
const OWNER_VERSION: u64 = 1_000;

/// A fleet whose planner has read all jobs just now.
fn limited_fleet() -> PlannedFleet {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    let now = fleet.now();
    fleet.planner.set_cancel_limit(LIMIT, now);
    fleet
}

fn grant(fleet: &mut PlannedFleet) {
    let (now, lease) = (fleet.now(), OrderLease { link: 1, end: fleet.clock + LONG_LEASE });
    fleet.planner.on_grant("i-1", now + LONG_LEASE, (lease, now + LONG_LEASE));
}

fn starts(fleet: &mut PlannedFleet) -> Vec<StartOrder> {
    let orders = fleet.planner.take_orders().into_iter();
    let starts = orders.filter_map(|(_, order)| match order {
        NodeOrder::Start(start) => Some(start),
        _ => None,
    });
    starts.collect()
}

/// A job whose start is decided and not stored yet.
fn decided(fleet: &mut PlannedFleet) -> PlanBatch {
    fleet.submit("a", job(vec![step(1, 1_000)]));
    fleet.planner.plan();
    fleet.planner.take_batch().expect("an assignment is stored")
}

fn store(fleet: &mut PlannedFleet, batch: PlanBatch, sent_at: Instant) {
    fleet.version += 1;
    let conditions = batch.conditions.clone();
    fleet.planner.on_committed(batch, fleet.version);
    fleet.planner.on_rows_confirmed(&conditions, sent_at);
}

/// Guards against a start that is stored although its job was cancelled after it was decided.
#[test]
fn a_start_is_stored_only_while_its_job_is_as_it_was() {
    let mut fleet = limited_fleet();
    fleet.pass(UNCONFIRMED_FROM);
    let batch = decided(&mut fleet);
    assert_eq!(batch.conditions, vec![("a".to_string(), fleet.version)]);
    let row = JobLayout::default().row("a");
    let transaction = batch_transaction(&batch, OWNER_VERSION, JobLayout::default());
    assert!(transaction.expected.contains(&(row, fleet.version)));
    let JobRecord::Live { spec, .. } = fleet.records["a"].clone() else {
        panic!("the job has not ended");
    };
    let cancelled = JobRecord::Live { spec, cancelled: true };
    fleet.planner.on_conflict(batch, vec![("a".to_string(), fleet.version + 1, cancelled)]);
    fleet.version += 1;
    fleet.store();
    assert!(starts(&mut fleet).is_empty());
    assert_matches!(fleet.records["a"], JobRecord::Ended { .. });
}

/// Guards against conditions that limit what a transaction holds, or are in conflict, for nothing: on jobs that the feed has just
/// confirmed, or that nothing starts of.
#[test]
fn a_batch_has_no_condition_on_jobs_without_need() {
    let mut fleet = limited_fleet();
    assert!(decided(&mut fleet).conditions.is_empty());
    let mut fleet = limited_fleet();
    fleet.submit("a", job(vec![step(1, 1_000)]));
    fleet.round();
    fleet.pass(UNCONFIRMED_FROM);
    fleet.end_all(greengagearch::workflow::progress::RunEnd::Done);
    fleet.report_all();
    let batch = fleet.planner.take_batch().expect("the end is stored");
    assert!(batch.conditions.is_empty());
}

/// Guards against a cancel that comes between the storing of a start and its sending: start and stop would leave together.
#[test]
fn a_start_that_waits_is_dropped_when_its_job_is_cancelled() {
    let mut fleet = limited_fleet();
    fleet.planner.on_evacuations(EvacuationSet::default(), fleet.now());
    let now = fleet.now();
    fleet.planner.on_evacuations(EvacuationSet::default(), now + Duration::from_millis(1));
    let batch = decided(&mut fleet);
    fleet.pass(Duration::from_millis(1));
    let now = fleet.now();
    store(&mut fleet, batch, now);
    assert!(starts(&mut fleet).is_empty(), "requests of operators may have been missed");
    fleet.cancel("a");
    fleet.planner.on_evacuations(EvacuationSet::default(), now + LIMIT);
    let orders = fleet.planner.take_orders();
    assert_matches!(orders.as_slice(), [(_, NodeOrder::Stop(..))]);
}

/// Guards against a start whose write took seconds, and that is sent as if its job had been read just now; and against one that
/// is held back for good.
#[test]
fn a_start_whose_job_was_read_long_ago_waits_until_it_is_read_again() {
    let mut fleet = limited_fleet();
    grant(&mut fleet);
    let sent_at = fleet.now();
    let batch = decided(&mut fleet);
    fleet.pass(HELD_FROM);
    store(&mut fleet, batch, sent_at);
    assert!(starts(&mut fleet).is_empty());
    let held = fleet.planner.take_decisions();
    assert!(held.iter().any(|one| matches!(one, PlanDecision::StartsHeld { starts: 1, .. })));
    let confirmed_at = fleet.now();
    fleet.planner.on_jobs_confirmed(confirmed_at);
    assert_eq!(starts(&mut fleet).len(), 1);
    let released = fleet.planner.take_decisions();
    assert!(released.iter().any(|one| matches!(one, PlanDecision::StartsReleased { .. })));
}

/// Guards against starts that wait for as long as the feed of jobs is silent, while writes come through.
#[test]
fn a_start_that_waits_is_sent_once_a_write_has_confirmed_its_job() {
    let mut fleet = limited_fleet();
    let sent_at = fleet.now();
    let batch = decided(&mut fleet);
    fleet.pass(HELD_FROM);
    store(&mut fleet, batch, sent_at);
    assert!(starts(&mut fleet).is_empty());
    assert!(starts(&mut fleet).is_empty());
    let batch = fleet.planner.take_batch().expect("the row of the job is confirmed by a write");
    assert_eq!((batch.conditions.len(), batch.starts.len()), (1, 0));
    assert!(fleet.planner.take_batch().is_none(), "one write is enough");
    let sent_at = fleet.now();
    store(&mut fleet, batch, sent_at);
    assert_eq!(starts(&mut fleet).len(), 1);
    assert!(fleet.planner.take_batch().is_none());
}

/// Guards against an order that its agent carries out long after what it was decided on has become too old.
#[test]
fn a_start_is_valid_only_for_what_is_left_of_the_limit() {
    for age in [Duration::ZERO, Duration::from_secs(1)] {
        let mut fleet = limited_fleet();
        let (sent_at, sent_clock) = (fleet.now(), fleet.clock);
        let batch = decided(&mut fleet);
        fleet.pass(age);
        grant(&mut fleet);
        store(&mut fleet, batch, sent_at);
        let ends: Vec<Duration> = starts(&mut fleet).iter().map(|start| start.lease.end).collect();
        assert_eq!(ends, vec![sent_clock + VALID_UNTIL], "{age:?}");
    }
    let mut fleet = limited_fleet();
    let batch = decided(&mut fleet);
    let (now, end) = (fleet.now(), fleet.clock + Duration::from_secs(1));
    let lease = OrderLease { link: 1, end };
    fleet.planner.on_grant("i-1", now, (lease, now + Duration::from_secs(1)));
    store(&mut fleet, batch, now);
    assert_eq!(starts(&mut fleet)[0].lease, lease, "a lease that ends before stays as it is");
}

/// Guards against a successor that sends the starts of its predecessor again on rows that it read long ago.
#[test]
fn a_successor_holds_starts_that_it_repeats_until_it_has_read_the_jobs_again() {
    let mut fleet = limited_fleet();
    fleet.submit("a", job(vec![step(1, 1_000)]));
    fleet.plan();
    assert_eq!(starts(&mut fleet).len(), 1, "the order is lost on its way");
    let read_at = fleet.now();
    fleet.take_over(read_at);
    fleet.planner.set_cancel_limit(LIMIT, read_at);
    fleet.pass(HELD_FROM);
    fleet.report("i-1", true);
    assert!(starts(&mut fleet).is_empty());
    fleet.planner.on_jobs_confirmed(fleet.now());
    assert_matches!(starts(&mut fleet).as_slice(), [StartOrder { is_repeat: true, .. }]);
}

fn row(name: RowName, value: Option<Vec<u8>>, version: u64) -> StoredRow {
    StoredRow { name, value, version }
}

/// Guards against an owner that gives planning up because a job was cancelled between a write and the repeat of it that the store
/// answers, and against a write that is taken for applied since its values were there before.
#[test]
fn a_start_that_was_stored_before_its_job_was_cancelled_is_known_as_stored() {
    let mut fleet = limited_fleet();
    fleet.pass(UNCONFIRMED_FROM);
    let batch = decided(&mut fleet);
    let transaction = batch_transaction(&batch, OWNER_VERSION, JobLayout::default());
    let progress = RowName::new(PROGRESS_TABLE, "main", "a");
    let written = transaction.puts.iter().find(|(name, _)| *name == progress).unwrap().1.clone();
    let rows = |value: Option<Vec<u8>>, version: u64| {
        vec![
            row(owner_row(), Some(b"owner".to_vec()), OWNER_VERSION),
            row(JobLayout::default().row("a"), Some(b"cancelled".to_vec()), 99),
            row(progress.clone(), value, version),
        ]
    };
    assert_eq!(applied_version(&transaction, &rows(Some(written.clone()), 50)), Some(50));
    assert_eq!(applied_version(&transaction, &rows(Some(written), 0)), None);
    assert_eq!(applied_version(&transaction, &rows(Some(b"earlier".to_vec()), 50)), None);
}
