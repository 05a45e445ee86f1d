//! State of a node agent: its runner, the planner link that it accepts orders from, and the orders
//! that it has accepted.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::LinkStamp;
use crate::connection::node_protocol::NodeReport;
use crate::connection::node_protocol::RunnerCrash;
use crate::connection::node_protocol::RunnerSnapshot;
use crate::connection::node_protocol::RunnerStatus;
use crate::connection::node_protocol::StartInDoubt;
use crate::connection::node_protocol::SyncCall;
use crate::connection::node_protocol::TaskTraits;
use crate::external::runner_control::PollRequest;
use crate::external::runner_control::PollResponse;
use crate::external::runner_control::RunnerMillis;
use crate::ids::FencingToken;
use crate::ids::InstanceId;
use crate::ids::PollNumber;
use crate::process::node::lease_watch::LeaseChange;
use crate::process::node::lease_watch::LeaseWatch;
use crate::process::node::order_sequence::OrderSequence;
use crate::process::node::order_tracker::OrderTracker;
use crate::process::node::recent_starts::RecentStarts;
use crate::process::node::registered_runner::HeartbeatEffect;
use crate::process::node::registered_runner::RegisteredRunner;
use crate::process::node::runner_instances::RunnerInstances;
use crate::process::node::runner_lease::RunnerLease;
use crate::process::node::unsettled_starts::UnsettledStarts;
use crate::workflow::pacing::PaceController;
use crate::workflow::spec::ResourceVector;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// Age of the last response above which the next poll first confirms which instance answers.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_000);

/// The state of a node agent.
#[derive(Debug)]
pub struct NodeState {
    pub(super) started: Instant,
    pub(super) stamp: LinkStamp,
    pub(super) instances: RunnerInstances,
    pub(super) lease: RunnerLease,
    lease_watch: LeaseWatch,
    /// Whether the current instance has answered the last poll.
    is_confirmed: bool,
    /// The newest poll and when it was sent.
    newest_poll: (PollNumber, Instant),
    /// When the last poll that the current instance has answered was sent. The response may have
    /// waited in a buffer while this process was suspended.
    confirmed_at: Instant,
    /// Whether all leases of the current instance have expired while it rejects polls or does not
    /// respond, so that it runs nothing.
    have_leases_expired: bool,
    /// Whether the planner must not use the current instance until it answers a poll, since it was
    /// silent beyond its leases or has replaced one that was.
    is_silent: bool,
    /// Increment of the fencing token, after the current instance has seen a higher token.
    pub(super) fence_increment: u32,
    /// Lowest fencing token for the current instance, above those of its predecessors.
    pub(super) min_fence: FencingToken,
    /// Time of the first poll without a response since the last response of the current instance;
    /// taken as the time of a crash.
    unresponsive_since: Option<Instant>,
    acknowledged_end: u64,
    /// Number of the first end that the runner still lists.
    first_listed_end: Option<u64>,
    /// Number of the last end that the runner has listed.
    last_listed_end: u64,
    orders: OrderSequence,
    fresh_snapshot: Option<RunnerSnapshot>,
    /// Runs in the newest snapshot, including those whose start is pending.
    pub(super) present: BTreeSet<RunKey>,
    last_reported_end: u64,
    pub(super) has_changes: bool,
    /// Orders whose outcome no poll has shown yet.
    pub(super) tracker: OrderTracker,
    /// Runs that the current instance has started recently.
    pub(super) recent_starts: RecentStarts,
    /// Starts that the successor of the instance may carry out as well.
    pub(super) unsettled: UnsettledStarts,
    /// Properties of the tasks, as the planner has sent them.
    pub traits: HashMap<TaskName, TaskTraits>,
    /// Decides the pace of the tasks.
    pub pace: PaceController,
}

impl NodeState {
    /// Creates the state of an agent that has just started.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::state::NodeState;
    ///
    /// assert!(NodeState::new(Instant::now()).target().is_none());
    /// ```
    pub fn new(started: Instant) -> NodeState {
        NodeState {
            started,
            stamp: LinkStamp::default(),
            instances: RunnerInstances::default(),
            lease: RunnerLease::none(started),
            lease_watch: LeaseWatch::default(),
            is_confirmed: false,
            newest_poll: (0, started),
            confirmed_at: started,
            have_leases_expired: false,
            is_silent: false,
            fence_increment: 0,
            min_fence: 0,
            unresponsive_since: None,
            acknowledged_end: 0,
            first_listed_end: None,
            last_listed_end: 0,
            orders: OrderSequence::default(),
            fresh_snapshot: None,
            present: BTreeSet::new(),
            last_reported_end: 0,
            has_changes: false,
            tracker: OrderTracker::default(),
            recent_starts: RecentStarts::default(),
            unsettled: UnsettledStarts::default(),
            traits: HashMap::new(),
            pace: PaceController::default(),
        }
    }

    /// Accepts a sender unless it is older than the newest one known. Returns whether it opens a
    /// new link; the error is the newest stamp.
    pub fn admit(&mut self, stamp: LinkStamp) -> Result<bool, LinkStamp> {
        if stamp < self.stamp {
            return Err(self.stamp);
        }
        let is_new = stamp > self.stamp;
        if is_new {
            if stamp.epoch > self.stamp.epoch {
                self.tracker.on_new_epoch();
            }
            // Order numbers and reported ends start over with each link.
            self.stamp = stamp;
            self.orders = OrderSequence::default();
            self.last_reported_end = 0;
            self.fresh_snapshot = None;
            self.has_changes = true;
        }
        Ok(is_new)
    }

    /// Returns the stamp of the newest sender.
    pub fn newest_stamp(&self) -> LinkStamp {
        self.stamp
    }

    /// Returns whether a sender is still the newest.
    pub fn is_current(&self, stamp: LinkStamp) -> bool {
        stamp == self.stamp
    }

    /// Processes a heartbeat of the runner.
    pub fn on_heartbeat(&mut self, runner: RegisteredRunner) -> HeartbeatEffect {
        let effect = self.instances.on_heartbeat(runner, self.tracker.newest_poll());
        self.has_changes |= effect == HeartbeatEffect::Changed;
        effect
    }

    /// Records that the known instance does not respond, which says nothing about another one that
    /// may have registered. If all leases had surely expired when the poll was sent, the instance
    /// is silent: it runs nothing, and gives way to another one that has registered. Returns
    /// whether it is newly found to be silent.
    pub fn on_no_response(&mut self, is_broken: bool, now: Instant) -> bool {
        self.unresponsive_since.get_or_insert(now);
        self.is_confirmed = false;
        if is_broken {
            self.unsettled.on_broken_poll();
        }
        // Time that passed during the poll is no evidence: this process may have been suspended.
        if !self.lease.have_all_leases_expired(self.newest_poll.1) {
            return false;
        }
        let is_new = !std::mem::replace(&mut self.is_silent, true);
        self.has_changes |= is_new;
        if !self.have_leases_expired {
            self.expire_leases();
        }
        if self.instances.has_candidate() {
            self.discard_instance(now);
            self.instances.swap_candidate(self.tracker.newest_poll());
        } else {
            self.show_nothing();
        }
        is_new
    }

    /// Records that the current instance rejects a poll: it is alive, and its leases are not
    /// extended. Once its existing leases have surely expired, it runs nothing until it accepts a
    /// poll again. Returns whether the leases are newly found to have expired.
    pub fn on_rejected_poll(&mut self) -> bool {
        // Time that passed during the poll is no evidence: this process may have been suspended.
        let sent_at = self.newest_poll.1;
        let is_new = !self.have_leases_expired && self.lease.have_all_leases_expired(sent_at);
        if is_new {
            self.expire_leases();
        }
        if self.have_leases_expired {
            self.show_nothing();
        }
        is_new
    }

    /// Records that all leases of the current instance have expired. Calls sent until now are
    /// rejected once it has received one with the next token.
    fn expire_leases(&mut self) {
        self.have_leases_expired = true;
        self.min_fence = self.target().map_or(self.min_fence, |target| target.fence + 1);
        self.lease = RunnerLease::none(self.lease.last_response());
        self.tracker.on_expiry();
        self.recent_starts = RecentStarts::default();
    }

    /// Shows the planner that the current instance, whose leases have expired, runs nothing.
    fn show_nothing(&mut self) {
        let number = self.tracker.next_poll_number();
        self.update_snapshot(number, PollResponse::default());
    }

    /// Records that a runner announces its end. Returns whether its current instance has ended.
    pub fn on_deregister(&mut self, runner: &str, now: Instant) -> bool {
        let has_ended = self.instances.on_deregister(runner, self.tracker.newest_poll());
        if has_ended {
            self.end_instance(now);
        }
        has_ended
    }

    /// Records that an instance has crashed: nothing listens at its address, or another instance
    /// does. Returns whether it was the current one.
    pub fn on_crash(&mut self, instance: &str, now: Instant) -> bool {
        let is_current = self.current_instance().is_some_and(|current| current == instance);
        if is_current {
            let crashed_at = self.unresponsive_since.unwrap_or(now);
            let young = self.recent_starts.young_runs_at(self.lease.last_response(), crashed_at);
            self.instances.record_crash(young, now);
            self.end_instance(now);
        }
        is_current
    }

    /// Returns the last crash, for the log.
    pub fn last_crash(&self) -> Option<&RunnerCrash> {
        self.instances.last_crash()
    }

    /// Ends the current instance.
    fn end_instance(&mut self, now: Instant) {
        self.discard_instance(now);
        self.instances.end_current(now);
    }

    /// Discards the state of the current instance, which has ended or is replaced.
    fn discard_instance(&mut self, now: Instant) {
        if self.instances.may_have_successor() {
            self.min_fence = self.target().map_or(self.min_fence, |target| target.fence + 1);
            self.unsettled.end_instance(now);
        } else {
            self.unsettled.discard_instance();
        }
        self.lease = RunnerLease::none(now);
        self.lease_watch = LeaseWatch::default();
        self.acknowledged_end = 0;
        self.first_listed_end = None;
        self.last_listed_end = 0;
        self.tracker.clear();
        self.recent_starts = RecentStarts::default();
        self.is_confirmed = false;
        self.have_leases_expired = false;
        self.fence_increment = 0;
        self.unresponsive_since = None;
        self.fresh_snapshot = None;
        self.present.clear();
        self.last_reported_end = 0;
        self.pace = PaceController::default();
        self.has_changes = true;
    }

    /// Returns the current instance of the runner.
    pub fn current_instance(&self) -> Option<&InstanceId> {
        self.instances.current_id()
    }

    /// Sets the instances that earlier agents on this host have known.
    pub fn on_earlier_instances(&mut self, instances: Vec<InstanceId>) {
        self.instances.on_earlier(instances);
    }

    /// Returns whether the runner is draining.
    pub fn is_draining(&self) -> bool {
        self.instances.current().is_some_and(|runner| runner.status.draining)
    }

    /// Extends the lease by the planner's grant, whose span counts from a time that this agent
    /// sent. A grant for another instance is ignored.
    pub fn on_sync(&mut self, call: &SyncCall) {
        if call.instance.is_none() || call.instance.as_ref() != self.current_instance() {
            return;
        }
        self.acknowledged_end = self.acknowledged_end.max(call.last_acked_end);
        if let Some(grant) = call.grant {
            self.lease.grant(self.started + grant.since + grant.span);
        }
    }

    /// Returns the time up to which runs may continue, on the runner's clock; `None` while that is
    /// not known.
    pub fn lease_end(&self) -> Option<RunnerMillis> {
        self.lease.end()
    }

    /// Returns whether the lease has lapsed while there are runs or starts, or is valid again, since
    /// the last call.
    pub fn take_lease_change(&mut self, now: Instant) -> Option<LeaseChange> {
        let (runs, starts) = (self.present.len(), self.tracker.starting().count());
        self.lease_watch.take_change(self.lease.granted_until(), runs, starts, now)
    }

    /// Returns whether enough of the lease is left at `now` to send a start; `None` while no lease
    /// is known.
    pub fn may_start(&self, now: Instant) -> Option<bool> {
        Some(self.lease.is_long_enough_for_start(now)? && !self.may_be_successor(now))
    }

    /// Records that a batch of orders has arrived and is tracked. It counts as seen once all
    /// batches before it have arrived as well.
    pub fn on_orders(&mut self, previous: u64, number: u64) {
        self.orders.on_orders(previous, number);
    }

    /// Returns the number and the parameters of the next poll.
    pub fn next_poll(&mut self, wait: Duration, now: Instant) -> (PollNumber, PollRequest) {
        let number = self.tracker.next_poll_number();
        self.newest_poll = (number, now);
        if self.may_be_successor(now) {
            return (number, PollRequest { lease_end: None, seen: 0, wait: Duration::ZERO });
        }
        // Calls may be carried out late, so an instance that does not respond gets no further
        // lease.
        let lease_end = self.lease.end().filter(|_| !self.lease.is_unresponsive(now));
        if lease_end.is_some() {
            self.lease.on_sent();
        }
        // Ends are acknowledged only while they are listed: a delayed call may reach the successor,
        // whose ends have the same numbers.
        let is_listed = self.first_listed_end.is_some_and(|first| first <= self.acknowledged_end);
        let seen = if is_listed { self.acknowledged_end } else { 0 };
        (number, PollRequest { lease_end, seen, wait })
    }

    /// Returns whether the successor under the runner's id may answer the next poll. It would apply
    /// the lease to a clock of its own, and discard ends that have the same numbers.
    fn may_be_successor(&self, now: Instant) -> bool {
        let is_outdated = now.saturating_duration_since(self.confirmed_at) > MAX_CONFIRMATION_AGE;
        self.instances.may_have_successor() && (!self.is_confirmed || is_outdated)
    }

    /// Returns whether a response lists an end that no earlier response has listed.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::external::runner_control::PollResponse;
    /// use greengagearch::process::node::state::NodeState;
    ///
    /// assert!(!NodeState::new(Instant::now()).has_new_ends(&PollResponse::default()));
    /// ```
    pub fn has_new_ends(&self, response: &PollResponse) -> bool {
        response.ended.last().is_some_and(|last| last.number > self.last_listed_end)
    }

    /// Processes the response to the poll `number`. Returns whether the planner should get a report
    /// at once.
    pub fn on_poll_response(
        &mut self,
        number: PollNumber,
        response: PollResponse,
        now: Instant,
    ) -> bool {
        self.lease.on_response(response.clock, now);
        self.is_confirmed = true;
        if self.newest_poll.0 == number {
            self.confirmed_at = self.newest_poll.1;
        }
        self.have_leases_expired = false;
        self.has_changes |= std::mem::take(&mut self.is_silent);
        self.unresponsive_since = None;
        self.has_changes |= self.unsettled.on_poll(number, |key| response.presence(key), now);
        self.has_changes |= self.instances.on_poll_response(number);
        self.recent_starts.on_poll(&response.running, now);
        let mut response = response;
        for run in &mut response.running {
            let key = (run.task.clone(), run.run);
            run.pace_percent = self.pace.ordered_percent(&key);
            run.mean_pace_percent = self.pace.mean_percent(&key, now);
        }
        self.update_snapshot(number, response);
        self.has_changes
    }

    /// Builds the snapshot for the planner's next call from the response to a poll.
    fn update_snapshot(&mut self, number: PollNumber, response: PollResponse) {
        let pending = self.tracker.reconcile(number, &response);
        let PollResponse { running: mut present, ended, may_omit_ends, .. } = response;
        present.extend(pending);
        self.present = present.iter().map(|run| (run.task.clone(), run.run)).collect();
        self.traits.retain(|task, _| present.iter().any(|run| run.task == *task));
        self.first_listed_end = ended.first().map(|ended| ended.number);
        let last = ended.last().map_or(0, |ended| ended.number);
        self.last_listed_end = self.last_listed_end.max(last);
        self.has_changes |= last > self.last_reported_end || self.tracker.has_rejections();
        let (rejected, orders_seen) = (Vec::new(), self.orders.seen());
        self.fresh_snapshot =
            Some(RunnerSnapshot { present, ended, may_omit_ends, rejected, orders_seen });
    }

    /// Returns the starts that a later instance may carry out. There are none if the runner gets
    /// another id when it restarts.
    fn starts_in_doubt(&self, now: Instant) -> Vec<StartInDoubt> {
        match self.instances.current() {
            Some(runner) if runner.started_at.is_none() => Vec::new(),
            _ => self.unsettled.in_doubt(now),
        }
    }

    /// Returns the status of the current instance. A silent one has no capacity until it answers.
    fn reported_status(&self) -> Option<RunnerStatus> {
        let status = self.instances.current()?.status.clone();
        let capacity = if self.is_silent { ResourceVector::default() } else { status.capacity };
        Some(RunnerStatus { capacity, ..status })
    }

    /// Returns whether the planner should get a report at once.
    pub fn has_changes(&self) -> bool {
        // Without a runner there is no poll to wait for, and its runs wait to be started elsewhere.
        self.has_changes && (self.fresh_snapshot.is_some() || self.instances.current().is_none())
    }

    /// Returns the report for the planner, with the newest snapshot if it has not been reported
    /// yet.
    pub fn report(&mut self, now: Instant) -> NodeReport {
        let mut snapshot = self.fresh_snapshot.take();
        if let Some(snapshot) = &mut snapshot {
            snapshot.rejected = self.tracker.take_rejections();
            let last = snapshot.ended.last().map_or(0, |ended| ended.number);
            self.last_reported_end = self.last_reported_end.max(last);
        }
        if snapshot.is_some() || self.instances.current().is_none() {
            self.has_changes = false;
        }
        NodeReport {
            now: now.saturating_duration_since(self.started),
            runner: self.reported_status(),
            keeps_id: self.instances.may_have_successor(),
            former: self.instances.former(),
            unsettled: self.unsettled.keys(),
            in_doubt: self.starts_in_doubt(now),
            crashes: self.instances.crashes(now),
            snapshot,
        }
    }
}
