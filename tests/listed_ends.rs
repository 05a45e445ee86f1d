//! Lists of ends that reach their limit: a run that such a list does not show may have ended.

mod linked_agent;
mod planning;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use greengagearch::connection::node_protocol::EndedRun;
use greengagearch::connection::node_protocol::LinkStamp;
use greengagearch::connection::node_protocol::NodeOrder;
use greengagearch::connection::node_protocol::NodeReport;
use greengagearch::connection::node_protocol::RejectReason;
use greengagearch::connection::node_protocol::StartInDoubt;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::external::runner_control::PollRequest;
use greengagearch::external::runner_control::PollResponse;
use greengagearch::external::runner_control::RunPresence;
use greengagearch::external::runner_control::RunnerControl;
use greengagearch::external::runner_control::RunnerError;
use greengagearch::external::runner_control::RunnerMillis;
use greengagearch::external::runner_control::RunnerTarget;
use greengagearch::process::clock;
use greengagearch::process::node::order_tracker::OrderTracker;
use greengagearch::process::node::pending_start::StartConditions;
use greengagearch::process::node::runner_poller::spawn_runner_poller;
use greengagearch::process::node::shared::NodeShared;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::task_name::TaskName;
use greengagearch::workflow::worker_inventory::RunKey;

use crate::linked_agent::LONG_LEASE;
use crate::linked_agent::lease_call;
use crate::linked_agent::look_at;
use crate::linked_agent::registered_runner;
use crate::planning::PlannedFleet;
use crate::planning::PlayedRunner;
use crate::planning::job;
use crate::planning::step;

/// Time for which a start without a response may still be carried out.
const LATE_DELIVERY: Duration = Duration::from_secs(12);
const STAMP: LinkStamp = LinkStamp { epoch: 3, link: 5 };
const WORKER: &str = "i-1@1";
const OTHER: &str = "i-2@1";

fn key(index: u32) -> RunKey {
    (format!("a.0.0.{index}").parse().unwrap(), 1)
}

fn ended(index: u32) -> EndedRun {
    EndedRun {
        number: u64::from(index) + 1,
        task: key(index).0,
        run: 1,
        end: RunEnd::Done,
        checkpoint: String::new(),
    }
}

/// A fleet in which four tasks of a job run on a worker that lists two ends at a time, while the agent reports that the first of them may
/// be started late.
fn fleet() -> PlannedFleet {
    let mut fleet = PlannedFleet::new(&[WORKER]);
    fleet.submit("a", job(vec![step(4, 100)]));
    fleet.round();
    let labels = vec!["a".to_string(), "r1".to_string()];
    let other = PlayedRunner { labels, ..PlayedRunner::default() };
    fleet.runners.insert(OTHER.to_string(), other);
    fleet.report(OTHER, true);
    fleet.runners.get_mut(WORKER).unwrap().max_listed_ends = Some(2);
    fleet
}

/// The report of the worker's agent, which has run for `uptime`.
fn report(fleet: &PlannedFleet, doubt: Option<Duration>, uptime: Duration) -> NodeReport {
    let in_doubt = doubt.map(|remaining| StartInDoubt { key: key(0), remaining });
    let in_doubt = in_doubt.into_iter().collect();
    NodeReport { keeps_id: true, in_doubt, now: uptime, ..fleet.report_of(WORKER) }
}

fn starts_on(fleet: &mut PlannedFleet, worker: &str) -> Vec<RunKey> {
    fleet.plan();
    let orders = fleet.planner.take_orders();
    let starts = orders.into_iter().filter_map(|(instance, order)| match order {
        NodeOrder::Start(start) if instance == worker => Some((start.traits.task, start.run)),
        _ => None,
    });
    starts.collect()
}

/// Guards against a task that runs twice: its end is beyond the limit of the list, since the first end may not be acknowledged.
#[test]
fn a_run_whose_end_may_be_omitted_is_not_started_elsewhere() {
    let mut fleet = fleet();
    let doubtful = report(&fleet, Some(LATE_DELIVERY), Duration::from_secs(1));
    fleet.planner.on_report(doubtful, false);
    for index in 0..4 {
        fleet.end(WORKER, &key(index), RunEnd::Done, "");
    }
    let doubtful = report(&fleet, Some(LATE_DELIVERY), Duration::from_secs(1));
    fleet.planner.on_report(doubtful, false);
    assert_eq!(starts_on(&mut fleet, OTHER), Vec::<RunKey>::new());

    fleet.pass(LATE_DELIVERY);
    let settled = report(&fleet, None, Duration::from_secs(13));
    fleet.planner.on_report(settled, false);
    fleet.store();
    assert_eq!(fleet.planner.last_acked_end(WORKER), 2, "the list goes on from there");
}

/// Guards against a start that is ordered again on a new link although its run has ended beyond the limit of the list.
#[test]
fn a_new_link_repeats_no_start_while_ends_may_be_omitted() {
    let mut fleet = fleet();
    for index in 0..4 {
        fleet.end(WORKER, &key(index), RunEnd::Done, "");
    }
    let expired = fleet.now();
    fleet.take_over(expired);
    fleet.planner.on_report(report(&fleet, Some(LATE_DELIVERY), Duration::from_secs(1)), true);
    assert_eq!(starts_on(&mut fleet, WORKER), Vec::<RunKey>::new());

    fleet.runners.get_mut(WORKER).unwrap().max_listed_ends = None;
    fleet.planner.on_report(report(&fleet, None, Duration::from_secs(1)), false);
    assert_eq!(starts_on(&mut fleet, WORKER), Vec::<RunKey>::new());
    fleet.pass(LATE_DELIVERY);
    fleet.planner.on_report(report(&fleet, None, Duration::from_secs(13)), false);
    fleet.store();
    assert_eq!(fleet.planner.last_acked_end(WORKER), 4);
}

/// Guards against ends that wait for another twelve seconds after each takeover: an agent that has run for so long knows which starts are
/// still in doubt.
#[test]
fn a_stored_doubt_ends_with_the_report_of_an_agent_that_has_run_for_long() {
    for (uptime, acked) in [(Duration::from_secs(11), 0), (LATE_DELIVERY, 1)] {
        let mut fleet = fleet();
        let doubtful = report(&fleet, Some(LATE_DELIVERY), Duration::from_secs(1));
        fleet.planner.on_report(doubtful, false);
        fleet.store();
        fleet.end(WORKER, &key(0), RunEnd::Done, "");
        let expired = fleet.now();
        fleet.take_over(expired);
        fleet.planner.on_report(report(&fleet, None, uptime), true);
        fleet.store();
        assert_eq!(fleet.planner.last_acked_end(WORKER), acked, "{uptime:?}");
    }
}

/// Guards against a start that counts as rejected although its run has ended beyond the limit of the list.
#[test]
fn a_rejection_is_not_confirmed_while_ends_may_be_omitted() {
    let now = Instant::now();
    let mut tracker = OrderTracker::default();
    tracker.accept_start(&key(3), true, now + LATE_DELIVERY, now);
    let conditions =
        StartConditions { is_draining: false, has_capacity: true, lease_end: Some(9_000) };
    tracker.next_step(&key(3), &conditions, now);
    assert!(tracker.begin_attempt(&key(3), &conditions, now).is_some());
    let reason = RejectReason::Old;
    tracker.on_start_response(&key(3), &Err(RunnerError::Rejected { reason }), now);
    tracker.next_step(&key(3), &conditions, now);
    tracker.on_new_epoch();

    let limited = PollResponse {
        ended: vec![ended(0), ended(1)],
        may_omit_ends: true,
        ..PollResponse::default()
    };
    let poll = tracker.next_poll_number();
    let pending = tracker.reconcile(poll, &limited);
    assert_eq!(pending.len(), 1, "the run may have ended");
    assert!(!tracker.has_rejections());

    let complete = PollResponse { ended: (0..4).map(ended).collect(), ..PollResponse::default() };
    assert_eq!(complete.presence(&key(3)), RunPresence::Listed);
    let poll = tracker.next_poll_number();
    assert!(tracker.reconcile(poll, &complete).is_empty());
    assert!(!tracker.has_rejections());
}

/// A runner that lists the same end for good, and responds at once as runners do then.
#[derive(Default)]
struct HeldEndRunner {
    polls: AtomicUsize,
}

#[async_trait]
impl RunnerControl for HeldEndRunner {
    async fn start(
        &self,
        _: &RunnerTarget,
        _: &StartOrder,
        _: RunnerMillis,
    ) -> Result<(), RunnerError> {
        Ok(())
    }

    async fn stop(&self, _: &RunnerTarget, _: &TaskName, _: u32) -> Result<(), RunnerError> {
        Ok(())
    }

    async fn pace(
        &self,
        _: &RunnerTarget,
        _: &TaskName,
        _: u32,
        _: u32,
    ) -> Result<(), RunnerError> {
        Ok(())
    }

    async fn poll(&self, _: &RunnerTarget, _: PollRequest) -> Result<PollResponse, RunnerError> {
        self.polls.fetch_add(1, Ordering::Relaxed);
        Ok(PollResponse { clock: 500, ended: vec![ended(0)], ..PollResponse::default() })
    }
}

/// Guards against an agent that polls without a pause for as long as an end cannot be acknowledged.
#[tokio::test]
async fn an_agent_pauses_between_polls_that_list_no_new_end() {
    let runner = Arc::new(HeldEndRunner::default());
    let shared = Arc::new(NodeShared::new(runner.clone()));
    {
        let (mut state, now) = (shared.state(), clock::now());
        state.on_heartbeat(registered_runner(4_000, 4_000, 1));
        state.admit(STAMP).unwrap();
        look_at(&mut state, Vec::new(), 500, now);
        state.on_sync(&lease_call(STAMP, LONG_LEASE));
    }
    spawn_runner_poller(shared);
    let started_at = clock::now();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let polls = runner.polls.load(Ordering::Relaxed);
    let pauses = clock::elapsed(started_at).as_millis() / 20;
    assert!(polls >= 1 && polls as u128 <= pauses + 2, "{polls} polls in {pauses} pauses");
}
