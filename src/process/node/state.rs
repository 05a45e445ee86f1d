//! What a node agent knows: its runner, the planner that it obeys, and what it has ordered.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::EndedRun;
use crate::connection::node_protocol::LinkStamp;
use crate::connection::node_protocol::NodeReport;
use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::RunnerCrash;
use crate::connection::node_protocol::RunnerSnapshot;
use crate::connection::node_protocol::SyncCall;
use crate::connection::node_protocol::TaskTraits;
use crate::external::runner_control::PollRequest;
use crate::external::runner_control::PollResponse;
use crate::external::runner_control::RunnerMillis;
use crate::ids::FencingToken;
use crate::ids::InstanceId;
use crate::ids::PollNumber;
use crate::process::node::begun_runs::BegunRuns;
use crate::process::node::order_sequence::OrderSequence;
use crate::process::node::order_tracker::OrderTracker;
use crate::process::node::order_tracker::has_ended;
use crate::process::node::order_tracker::is_present;
use crate::process::node::registered_runner::HeartbeatEffect;
use crate::process::node::registered_runner::RegisteredRunner;
use crate::process::node::runner_instances::RunnerInstances;
use crate::process::node::runner_lease::RunnerLease;
use crate::process::node::unsettled_starts::UnsettledStarts;
use crate::workflow::pacing::PaceController;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// Age of the last answer from which on the next look first asks which life answers.
const PROOF_SPAN: Duration = Duration::from_millis(1_000);

/// The state of a node agent.
#[derive(Debug)]
pub struct NodeState {
    started: Instant,
    pub(super) stamp: LinkStamp,
    pub(super) instances: RunnerInstances,
    pub(super) lease: RunnerLease,
    /// Whether the present life has answered the last look.
    is_proven: bool,
    /// Whether all leases have expired since the present life was looked at last, which refuses looks: it runs nothing.
    is_idle: bool,
    /// By how much the fencing token is raised, since the present life has seen a higher one.
    pub(super) fence_raise: u32,
    /// The least token for this life, above those of the lives before.
    pub(super) least_fence: FencingToken,
    /// The first sign since the last answer that the present life has broken off.
    silent_since: Option<Instant>,
    seen: u64,
    /// Number of the first end that the runner still lists.
    first_listed: Option<u64>,
    orders: OrderSequence,
    fresh_snapshot: Option<RunnerSnapshot>,
    /// What the newest look showed, with starts on their way.
    pub(super) present: BTreeSet<RunKey>,
    reported_ends: u64,
    has_changes: bool,
    /// What orders have become that looks do not show yet.
    pub(super) tracker: OrderTracker,
    /// Runs that the present life has begun of late.
    pub(super) begun: BegunRuns,
    /// Starts that the next life may carry out as well.
    pub(super) unsettled: UnsettledStarts,
    /// What is known of tasks.
    pub traits: HashMap<TaskName, TaskTraits>,
    /// Decides how fast tasks may work.
    pub pace: PaceController,
}

impl NodeState {
    /// The state of an agent that has just started.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// assert!(greengagearch::process::node::state::NodeState::new(Instant::now()).target().is_none());
    /// ```
    pub fn new(started: Instant) -> NodeState {
        NodeState {
            started,
            stamp: LinkStamp::default(),
            instances: RunnerInstances::default(),
            lease: RunnerLease::none(started),
            is_proven: false,
            is_idle: false,
            fence_raise: 0,
            least_fence: 0,
            silent_since: None,
            seen: 0,
            first_listed: None,
            orders: OrderSequence::default(),
            fresh_snapshot: None,
            present: BTreeSet::new(),
            reported_ends: 0,
            has_changes: false,
            tracker: OrderTracker::default(),
            begun: BegunRuns::default(),
            unsettled: UnsettledStarts::default(),
            traits: HashMap::new(),
            pace: PaceController::default(),
        }
    }

    /// Obeys a sender if it is not older than the newest one. Says whether it is a new link.
    pub fn admit(&mut self, stamp: LinkStamp) -> Result<bool, LinkStamp> {
        if stamp < self.stamp {
            return Err(self.stamp);
        }
        let is_new = stamp > self.stamp;
        if is_new {
            if stamp.epoch > self.stamp.epoch {
                self.tracker.on_new_epoch();
            }
            // What the planner knows of orders and ends starts anew with each link.
            self.stamp = stamp;
            self.orders = OrderSequence::default();
            self.reported_ends = 0;
            self.fresh_snapshot = None;
            self.has_changes = true;
        }
        Ok(is_new)
    }

    /// The newest sender.
    pub fn newest_stamp(&self) -> LinkStamp {
        self.stamp
    }

    /// Whether a sender is still the newest.
    pub fn is_current(&self, stamp: LinkStamp) -> bool {
        stamp == self.stamp
    }

    /// Takes a heartbeat of the runner.
    pub fn on_heartbeat(&mut self, runner: RegisteredRunner) -> HeartbeatEffect {
        let effect = self.instances.on_heartbeat(runner, self.tracker.newest_poll());
        self.has_changes |= effect == HeartbeatEffect::Changed;
        effect
    }

    /// Takes note that the known life does not answer, which says nothing of another one that may have registered. With leases that
    /// have surely expired the life is given up.
    pub fn on_no_response(&mut self, is_broken: bool, now: Instant) -> bool {
        self.silent_since.get_or_insert(now);
        self.is_proven = false;
        if is_broken {
            self.unsettled.on_broken_look();
        }
        let has_expired = self.lease.has_expired(now);
        if has_expired {
            self.end_instance(now);
        }
        has_expired
    }

    /// Takes note that the present life refuses a look: it is there, and its leases are not extended. Once those that it has have surely
    /// expired, it runs nothing until it takes another one. Says whether that is new.
    pub fn on_rejected_poll(&mut self, now: Instant) -> bool {
        let is_new = !self.is_idle && self.lease.have_all_expired(now);
        if is_new {
            self.is_idle = true;
            self.lease = RunnerLease::none(self.lease.answered());
            self.tracker.on_expiry();
        }
        if self.is_idle {
            let number = self.tracker.next_poll_number();
            self.show(number, Vec::new(), Vec::new());
        }
        is_new
    }

    /// Takes note that a runner says that it ends. Says whether its present life is over.
    pub fn on_deregister(&mut self, runner: &str, now: Instant) -> bool {
        let has_left = self.instances.on_deregister(runner, self.tracker.newest_poll());
        if has_left {
            self.end_instance(now);
        }
        has_left
    }

    /// Takes note that a life has broken off: nobody listens at its address, or another life does.
    pub fn on_crash(&mut self, instance: &str, now: Instant) -> bool {
        let is_present = self.current_instance().is_some_and(|life| life == instance);
        if is_present {
            let crashed = self.silent_since.unwrap_or(now);
            let young = self.begun.young_at(self.lease.answered(), crashed);
            self.instances.record_crash(young, now);
            self.end_instance(now);
        }
        is_present
    }

    /// The life that broke off last, for the log.
    pub fn last_crash(&self) -> Option<&RunnerCrash> {
        self.instances.last_crash()
    }

    /// Forgets what is known of the present life, which is over.
    fn end_instance(&mut self, now: Instant) {
        if self.instances.may_have_successor() {
            self.least_fence = self.target().map_or(self.least_fence, |target| target.fence + 1);
            self.unsettled.end_instance(now);
        } else {
            self.unsettled.discard_instance();
        }
        self.instances.end_current(now);
        self.lease = RunnerLease::none(self.lease.answered());
        self.seen = 0;
        self.first_listed = None;
        self.tracker.clear();
        self.begun = BegunRuns::default();
        self.is_proven = false;
        self.is_idle = false;
        self.fence_raise = 0;
        self.silent_since = None;
        self.fresh_snapshot = None;
        self.present.clear();
        self.reported_ends = 0;
        self.pace = PaceController::default();
        self.has_changes = true;
    }

    /// The present life of the runner.
    pub fn current_instance(&self) -> Option<&InstanceId> {
        self.instances.current_id()
    }

    /// Takes in which lives earlier agents on this host have known.
    pub fn on_earlier_instances(&mut self, lives: Vec<InstanceId>) {
        self.instances.on_earlier(lives);
    }

    /// Whether the runner is leaving.
    pub fn is_draining(&self) -> bool {
        self.instances.current().is_some_and(|runner| runner.status.draining)
    }

    /// Extends the leases as the planner allows. The span counts from a time that this agent sent.
    pub fn on_sync(&mut self, call: &SyncCall) {
        if call.instance.is_none() || call.instance.as_ref() != self.current_instance() {
            return;
        }
        self.seen = self.seen.max(call.seen);
        if let Some(grant) = call.grant {
            self.lease.grant(self.started + grant.since + grant.span);
        }
    }

    /// Up to when everything may run, on the runner's clock; nothing while that is not known.
    pub fn lease_end(&self) -> Option<RunnerMillis> {
        self.lease.end()
    }

    /// Whether a start may be tried at `now`: nothing while no lease is known, else whether enough is left.
    pub fn may_start(&self, now: Instant) -> Option<bool> {
        Some(self.lease.has_enough(now)? && !self.may_be_successor(now))
    }

    /// Takes note of orders that came, all of which are known here by now. They count as seen when those
    /// before them have come as well.
    pub fn on_orders(&mut self, previous: u64, number: u64) {
        self.orders.on_orders(previous, number);
    }

    /// How the next look is to be taken, and its number.
    pub fn next_poll(&mut self, wait: Duration, now: Instant) -> (PollNumber, PollRequest) {
        if self.may_be_successor(now) {
            let hold = PollRequest { lease_end: None, seen: 0, wait: Duration::ZERO };
            return (self.tracker.next_poll_number(), hold);
        }
        // A life that does not answer is not kept alive by calls that may be carried out late.
        let lease_end = self.lease.end().filter(|_| !self.lease.is_silent(now));
        if lease_end.is_some() {
            self.lease.on_sent();
        }
        // Ends are acknowledged only as long as they are listed: a call that comes late may meet the next life, whose ends have the
        // same numbers.
        let is_listed = self.first_listed.is_some_and(|first| first <= self.seen);
        let seen = if is_listed { self.seen } else { 0 };
        (self.tracker.next_poll_number(), PollRequest { lease_end, seen, wait })
    }

    /// Whether the next life under the runner's id may answer the next look: it would take the lease by another clock, and forget ends
    /// by the numbers of other ones.
    fn may_be_successor(&self, now: Instant) -> bool {
        let is_old = now.saturating_duration_since(self.lease.answered()) > PROOF_SPAN;
        self.instances.may_have_successor() && (!self.is_proven || is_old)
    }

    /// Takes in a look that was sent under a number and answered now. Says whether it brings news.
    pub fn on_poll_response(
        &mut self,
        number: PollNumber,
        lists: PollResponse,
        now: Instant,
    ) -> bool {
        self.lease.on_answer(lists.clock, now);
        self.is_proven = true;
        self.is_idle = false;
        self.silent_since = None;
        self.has_changes |= self.unsettled.on_look(number, |key| is_shown(&lists, key), now);
        self.has_changes |= self.instances.on_poll_response(number);
        self.begun.on_look(&lists.running, now);
        let mut present = lists.running;
        for run in &mut present {
            let key = (run.task.clone(), run.run);
            run.pace_percent = self.pace.ordered_percent(&key);
            run.measured_percent = self.pace.mean_percent(&key, now);
        }
        self.show(number, present, lists.ended);
        self.has_changes
    }

    /// Makes a look out of what runs and what has ended, for the planner's next call.
    fn show(&mut self, number: PollNumber, mut present: Vec<PresentRun>, ended: Vec<EndedRun>) {
        self.tracker.reconcile(number, &mut present, &ended);
        self.present = present.iter().map(|run| (run.task.clone(), run.run)).collect();
        self.traits.retain(|task, _| present.iter().any(|run| run.task == *task));
        self.first_listed = ended.first().map(|ended| ended.number);
        let last = ended.last().map_or(0, |ended| ended.number);
        self.has_changes |= last > self.reported_ends || self.tracker.has_rejections();
        let (rejected, orders_seen) = (Vec::new(), self.orders.seen());
        self.fresh_snapshot = Some(RunnerSnapshot { present, ended, rejected, orders_seen });
    }

    /// Whether the planner should hear of something at once.
    pub fn has_changes(&self) -> bool {
        // Without a runner there is no look to wait for, and what ran on it waits to start elsewhere.
        self.has_changes && (self.fresh_snapshot.is_some() || self.instances.current().is_none())
    }

    /// What the planner is told: the newest look, once.
    pub fn report(&mut self, now: Instant) -> NodeReport {
        let mut snapshot = self.fresh_snapshot.take();
        if let Some(snapshot) = &mut snapshot {
            snapshot.rejected = self.tracker.take_rejections();
            let last = snapshot.ended.last().map_or(0, |ended| ended.number);
            self.reported_ends = self.reported_ends.max(last);
        }
        if snapshot.is_some() || self.instances.current().is_none() {
            self.has_changes = false;
        }
        NodeReport {
            now: now.saturating_duration_since(self.started),
            runner: self.instances.current().map(|runner| runner.status.clone()),
            former: self.instances.former(),
            unsettled: self.unsettled.keys(),
            crashes: self.instances.crashes(now),
            snapshot,
        }
    }
}

/// Whether a runner shows a run, at work or as an end that was not acknowledged.
fn is_shown(lists: &PollResponse, key: &RunKey) -> bool {
    is_present(&lists.running, key) || has_ended(&lists.ended, key)
}
