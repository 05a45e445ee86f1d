//! Orders to the current runner instance, tracked until a poll shows their outcome.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Instant;

use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::RejectedRun;
use crate::external::runner_control::PollResponse;
use crate::external::runner_control::RunPresence;
use crate::external::runner_control::RunnerError;
use crate::external::runner_control::RunnerMillis;
use crate::ids::PollNumber;
use crate::process::node::pending_start::PendingStart;
use crate::process::node::pending_start::StartConditions;
use crate::process::node::pending_start::StartStep;
use crate::workflow::worker_inventory::RunKey;

/// State of an order to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopState {
    /// The stop is being sent.
    Sending,
    /// The runner has accepted the stop: the run has ended, will end, or never starts.
    Accepted,
}

/// Maximum number of reported rejections that are remembered: more than can occur while an order is
/// in transit.
const MAX_REPORTED_REJECTIONS: usize = 512;

/// The orders to one instance of the runner.
#[derive(Debug, Default)]
pub struct OrderTracker {
    polls: PollNumber,
    starts: HashMap<RunKey, PendingStart>,
    stops: HashMap<RunKey, StopState>,
    /// Rejections that have not been reported yet. A poll sent after the rejection has confirmed
    /// that the run neither runs nor has ended.
    unreported: Vec<RejectedRun>,
    /// The last rejections that were reported. The planner has given up these runs, and may have
    /// sent their orders twice.
    reported: VecDeque<RejectedRun>,
}

impl OrderTracker {
    /// Returns the number for the next poll.
    ///
    /// ```
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// assert_eq!(OrderTracker::default().next_poll_number(), 1);
    /// ```
    pub fn next_poll_number(&mut self) -> PollNumber {
        self.polls += 1;
        self.polls
    }

    /// Returns the number of the newest poll.
    ///
    /// ```
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// assert_eq!(OrderTracker::default().newest_poll(), 0);
    /// ```
    pub fn newest_poll(&self) -> PollNumber {
        self.polls
    }

    /// Accepts an order to start a run, which is not sent after `valid_until`. If `is_repeat`, an
    /// earlier agent may have sent the same order without receiving a response. Returns whether the
    /// order is new.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// let (key, now) = (("a.0.0.0".parse().unwrap(), 1), Instant::now());
    /// let mut tracker = OrderTracker::default();
    /// assert!(tracker.accept_start(&key, false, now, now));
    /// assert!(!tracker.accept_start(&key, false, now, now));
    /// ```
    pub fn accept_start(
        &mut self,
        key: &RunKey,
        is_repeat: bool,
        valid_until: Instant,
        now: Instant,
    ) -> bool {
        if self.starts.contains_key(key) || self.stops.contains_key(key) {
            return false;
        }
        let rejected =
            self.reported.iter().chain(&self.unreported).find(|run| is_rejection_of(run, key));
        let start = match rejected {
            Some(rejected) => PendingStart::rejected(rejected.reason, self.polls, now),
            None => PendingStart::new(is_repeat, valid_until, now),
        };
        self.starts.insert(key.clone(), start);
        true
    }

    /// Determines the next step of a start.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    /// use greengagearch::process::node::pending_start::StartConditions;
    /// use greengagearch::process::node::pending_start::StartStep;
    ///
    /// let (key, now) = (("a.0.0.0".parse().unwrap(), 1), Instant::now());
    /// let mut tracker = OrderTracker::default();
    /// tracker.accept_start(&key, false, now + Duration::from_secs(9), now);
    /// let conditions = StartConditions { is_draining: false, has_capacity: true, lease_end: Some(9) };
    /// assert_eq!(tracker.next_step(&key, &conditions, now), StartStep::Send);
    /// tracker.accept_stop(&key);
    /// assert_eq!(tracker.next_step(&key, &conditions, now), StartStep::Finished(None));
    /// ```
    pub fn next_step(
        &mut self,
        key: &RunKey,
        conditions: &StartConditions,
        now: Instant,
    ) -> StartStep {
        let Some(start) = self.starts.get_mut(key) else {
            return StartStep::Finished(None);
        };
        if self.stops.contains_key(key) {
            start.withdraw(self.polls);
            return StartStep::Finished(None);
        }
        let step = start.next_step(conditions, self.polls, now);
        if let StartStep::Stop(_) = step {
            self.stops.insert(key.clone(), StopState::Sending);
        }
        step
    }

    /// Records that an attempt is about to be sent, if that is still the next step after the wait
    /// for a free slot. Returns the lease end that the call carries.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    /// use greengagearch::process::node::pending_start::StartConditions;
    ///
    /// let now = Instant::now();
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let conditions = StartConditions { is_draining: false, has_capacity: true, lease_end: Some(9) };
    /// let mut tracker = OrderTracker::default();
    /// tracker.accept_start(&key, false, now, now);
    /// tracker.accept_stop(&key);
    /// assert_eq!(tracker.begin_attempt(&key, &conditions, now), None);
    /// ```
    pub fn begin_attempt(
        &mut self,
        key: &RunKey,
        conditions: &StartConditions,
        now: Instant,
    ) -> Option<RunnerMillis> {
        if self.stops.contains_key(key) {
            return None;
        }
        self.starts.get_mut(key)?.begin_attempt(conditions, now)
    }

    /// Records the response to an attempt.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// OrderTracker::default().on_start_response(&key, &Ok(()), Instant::now());
    /// ```
    pub fn on_start_response(
        &mut self,
        key: &RunKey,
        response: &Result<(), RunnerError>,
        now: Instant,
    ) {
        if let Some(start) = self.starts.get_mut(key) {
            start.on_response(response, self.polls, now);
        }
    }

    /// Returns the runs whose starts are pending and whose outcome no poll has shown.
    ///
    /// ```
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// assert_eq!(OrderTracker::default().starting().count(), 0);
    /// ```
    pub fn starting(&self) -> impl Iterator<Item = &RunKey> {
        self.starts.keys()
    }

    /// Accepts an order to stop a run. Returns whether it is new.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// let (key, now) = (("a.0.0.0".parse().unwrap(), 1), Instant::now());
    /// let mut tracker = OrderTracker::default();
    /// assert!(tracker.accept_stop(&key));
    /// assert!(!tracker.accept_start(&key, false, now, now), "a stopped run is not started");
    /// ```
    pub fn accept_stop(&mut self, key: &RunKey) -> bool {
        let is_new = !self.stops.contains_key(key);
        if is_new {
            self.stops.insert(key.clone(), StopState::Sending);
        }
        is_new
    }

    /// Returns whether a stop has to be sent, since the runner has not accepted it yet.
    ///
    /// ```
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// assert!(!OrderTracker::default().is_stop_due(&("a.0.0.0".parse().unwrap(), 1)));
    /// ```
    pub fn is_stop_due(&self, key: &RunKey) -> bool {
        self.stops.get(key) == Some(&StopState::Sending)
    }

    /// Records that the runner has accepted a stop: the run has ended, will end, or never starts.
    ///
    /// ```
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut tracker = OrderTracker::default();
    /// tracker.accept_stop(&key);
    /// tracker.on_stop_accepted(&key);
    /// assert!(!tracker.is_stop_due(&key));
    /// ```
    pub fn on_stop_accepted(&mut self, key: &RunKey) {
        self.stops.insert(key.clone(), StopState::Accepted);
        if let Some(start) = self.starts.get_mut(key) {
            start.rule_out(self.polls);
        }
    }

    /// Abandons the starts of a planner that was replaced. Polls sent from now on carry the new
    /// epoch. A runner that has received it rejects calls of the old epoch, so that the responses
    /// to these polls show the final outcome of the old starts. Stops are kept: the new planner
    /// does not know which runs the old one has given up.
    ///
    /// ```
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut tracker = OrderTracker::default();
    /// tracker.accept_stop(&key);
    /// tracker.on_new_epoch();
    /// assert!(tracker.is_stop_due(&key));
    /// ```
    pub fn on_new_epoch(&mut self) {
        for start in self.starts.values_mut() {
            start.rule_out(self.polls);
        }
    }

    /// Records that all leases have expired: no start that was sent can begin any more, and there
    /// is nothing to stop.
    ///
    /// ```
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut tracker = OrderTracker::default();
    /// tracker.accept_stop(&key);
    /// tracker.on_expiry();
    /// assert!(!tracker.is_stop_due(&key));
    /// ```
    pub fn on_expiry(&mut self) {
        for start in self.starts.values_mut() {
            start.rule_out(self.polls);
        }
        self.stops.clear();
    }

    /// Stops tracking orders whose outcome the response to a poll shows. Returns the runs whose
    /// starts are still pending.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::external::runner_control::PollResponse;
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// let mut tracker = OrderTracker::default();
    /// let poll = tracker.next_poll_number();
    /// let now = Instant::now();
    /// tracker.accept_start(&("a.0.0.0".parse().unwrap(), 1), false, now, now);
    /// assert_eq!(tracker.reconcile(poll, &PollResponse::default()).len(), 1);
    /// ```
    pub fn reconcile(&mut self, poll: PollNumber, response: &PollResponse) -> Vec<PresentRun> {
        let mut pending = Vec::new();
        self.starts.retain(|key, start| {
            let presence = response.presence(key);
            // A run that the runner lists as running or ended does not start again.
            if presence == RunPresence::Listed {
                return false;
            }
            let (task, run) = (key.0.clone(), key.1);
            let resolved = start
                .resolved()
                .filter(|resolved| poll > resolved.newest_poll && presence == RunPresence::Absent);
            let Some(resolved) = resolved else {
                pending.push(PresentRun::ordered(task, run));
                return true;
            };
            let rejection = resolved.rejection.map(|reason| RejectedRun { task, run, reason });
            self.unreported.extend(rejection);
            false
        });
        let is_present = |key: &RunKey| {
            let mut present = response.running.iter().chain(&pending);
            present.any(|run| run.task == key.0 && run.run == key.1)
        };
        self.stops.retain(|key, stop| *stop == StopState::Sending || is_present(key));
        pending
    }

    /// Returns whether there are rejections to report.
    ///
    /// ```
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// assert!(!OrderTracker::default().has_rejections());
    /// ```
    pub fn has_rejections(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Returns the rejections to report, and marks them as reported.
    ///
    /// ```
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// assert!(OrderTracker::default().take_rejections().is_empty());
    /// ```
    pub fn take_rejections(&mut self) -> Vec<RejectedRun> {
        self.reported.extend(self.unreported.iter().cloned());
        let surplus = self.reported.len().saturating_sub(MAX_REPORTED_REJECTIONS);
        self.reported.drain(..surplus);
        std::mem::take(&mut self.unreported)
    }

    /// Discards all orders, since the instance has ended. The poll numbers are not reset.
    ///
    /// ```
    /// greengagearch::process::node::order_tracker::OrderTracker::default().clear();
    /// ```
    pub fn clear(&mut self) {
        *self = OrderTracker { polls: self.polls, ..OrderTracker::default() };
    }
}

fn is_rejection_of(rejected: &RejectedRun, key: &RunKey) -> bool {
    rejected.task == key.0 && rejected.run == key.1
}
