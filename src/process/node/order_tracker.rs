//! What the orders of a node agent have become on the present life of its runner, as far as looks do not show it yet.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Instant;

use crate::connection::node_protocol::EndedRun;
use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::RejectedRun;
use crate::external::runner_control::RunnerError;
use crate::external::runner_control::RunnerMillis;
use crate::ids::PollNumber;
use crate::process::node::pending_start::PendingStart;
use crate::process::node::pending_start::StartConditions;
use crate::process::node::pending_start::StartStep;
use crate::workflow::worker_inventory::RunKey;

/// An order to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopState {
    /// It is being sent.
    Sending,
    /// The runner has taken it: the run has ended, will end, or never begins.
    Accepted,
}

/// Refused runs that are remembered: more than are refused while an order is on its way.
const MAX_REPORTED_REJECTIONS: usize = 512;

/// What was ordered on one life of the runner.
#[derive(Debug, Default)]
pub struct OrderTracker {
    polls: PollNumber,
    starts: HashMap<RunKey, PendingStart>,
    stops: HashMap<RunKey, StopState>,
    /// Refused starts that a look sent after the refusal has not shown.
    unreported: Vec<RejectedRun>,
    /// The last refusals that were told: the planner has given these runs up, and may have ordered them twice.
    reported: VecDeque<RejectedRun>,
}

impl OrderTracker {
    /// Numbers the next look.
    ///
    /// ```
    /// assert_eq!(greengagearch::process::node::order_tracker::OrderTracker::default().next_poll_number(), 1);
    /// ```
    pub fn next_poll_number(&mut self) -> PollNumber {
        self.polls += 1;
        self.polls
    }

    /// Number of the newest look.
    ///
    /// ```
    /// assert_eq!(greengagearch::process::node::order_tracker::OrderTracker::default().newest_poll(), 0);
    /// ```
    pub fn newest_poll(&self) -> PollNumber {
        self.polls
    }

    /// Takes an order to start. Of one that was ordered before, a try of an earlier agent may have no answer. Says whether it is new.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut tracker = OrderTracker::default();
    /// assert!(tracker.accept_start(&key, false, Instant::now()));
    /// assert!(!tracker.accept_start(&key, false, Instant::now()));
    /// ```
    pub fn accept_start(&mut self, key: &RunKey, is_repeat: bool, now: Instant) -> bool {
        if self.starts.contains_key(key) || self.stops.contains_key(key) {
            return false;
        }
        let rejected = self.reported.iter().chain(&self.unreported).find(|run| is_for(run, key));
        let start = match rejected {
            Some(rejected) => PendingStart::rejected(rejected.reason, self.polls, now),
            None => PendingStart::new(is_repeat, now),
        };
        self.starts.insert(key.clone(), start);
        true
    }

    /// Decides what has to be done next about a start.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    /// use greengagearch::process::node::pending_start::StartConditions;
    /// use greengagearch::process::node::pending_start::StartStep;
    ///
    /// let now = Instant::now();
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut tracker = OrderTracker::default();
    /// tracker.accept_start(&key, false, now);
    /// let conditions = StartConditions { is_draining: false, has_room: true, lease_end: Some(9) };
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

    /// Takes note that a try leaves, if that is still what has to be done: it may have waited for its turn. Gives the lease that it
    /// carries.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    /// use greengagearch::process::node::pending_start::StartConditions;
    ///
    /// let now = Instant::now();
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let conditions = StartConditions { is_draining: false, has_room: true, lease_end: Some(9) };
    /// let mut tracker = OrderTracker::default();
    /// tracker.accept_start(&key, false, now);
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

    /// Takes note of what became of a try.
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

    /// Runs whose starts are on their way, as far as looks do not show them.
    ///
    /// ```
    /// assert_eq!(greengagearch::process::node::order_tracker::OrderTracker::default().starting().count(), 0);
    /// ```
    pub fn starting(&self) -> impl Iterator<Item = &RunKey> {
        self.starts.keys()
    }

    /// Takes an order to stop. Says whether it is new.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut tracker = OrderTracker::default();
    /// assert!(tracker.accept_stop(&key));
    /// assert!(!tracker.accept_start(&key, false, Instant::now()), "what is to stop does not start");
    /// ```
    pub fn accept_stop(&mut self, key: &RunKey) -> bool {
        let is_new = !self.stops.contains_key(key);
        if is_new {
            self.stops.insert(key.clone(), StopState::Sending);
        }
        is_new
    }

    /// Whether a stop has to be sent, as the runner has not taken it yet.
    ///
    /// ```
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// assert!(!OrderTracker::default().is_stop_due(&("a.0.0.0".parse().unwrap(), 1)));
    /// ```
    pub fn is_stop_due(&self, key: &RunKey) -> bool {
        self.stops.get(key) == Some(&StopState::Sending)
    }

    /// Takes note that the runner has taken a stop: the run has ended, will end, or never begins.
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

    /// Gives up what is being sent for a planner that was replaced. Looks that are sent from here on carry the
    /// new epoch, after which the runner takes nothing of the old one any more: so they show what becomes of
    /// it, and the new planner's own stops have to go out.
    ///
    /// ```
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut tracker = OrderTracker::default();
    /// tracker.accept_stop(&key);
    /// tracker.on_new_epoch();
    /// assert!(tracker.accept_stop(&key));
    /// ```
    pub fn on_new_epoch(&mut self) {
        for start in self.starts.values_mut() {
            start.rule_out(self.polls);
        }
        self.stops.retain(|_, stop| *stop == StopState::Accepted);
    }

    /// Takes note that all leases have expired: no start that was sent begins any more, and there is nothing to stop.
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

    /// Adds to what a look shows what it cannot show yet, and forgets what is shown from here on.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_tracker::OrderTracker;
    ///
    /// let mut tracker = OrderTracker::default();
    /// let poll = tracker.next_poll_number();
    /// tracker.accept_start(&("a.0.0.0".parse().unwrap(), 1), false, Instant::now());
    /// let mut present = Vec::new();
    /// tracker.reconcile(poll, &mut present, &[]);
    /// assert_eq!(present.len(), 1);
    /// ```
    pub fn reconcile(
        &mut self,
        poll: PollNumber,
        present: &mut Vec<PresentRun>,
        ended: &[EndedRun],
    ) {
        let mut missing = Vec::new();
        self.starts.retain(|key, start| {
            // A run that the runner shows, at work or as an end, does not begin again.
            if is_present(present, key) || has_ended(ended, key) {
                return false;
            }
            let (task, run) = (key.0.clone(), key.1);
            let Some(resolved) = start.resolved().filter(|resolved| poll > resolved.newest_poll)
            else {
                missing.push(PresentRun::ordered(task, run));
                return true;
            };
            let rejection = resolved.rejection.map(|reason| RejectedRun { task, run, reason });
            self.unreported.extend(rejection);
            false
        });
        present.extend(missing);
        self.stops.retain(|key, stop| *stop == StopState::Sending || is_present(present, key));
    }

    /// Whether a refusal has to be told.
    ///
    /// ```
    /// assert!(!greengagearch::process::node::order_tracker::OrderTracker::default().has_rejections());
    /// ```
    pub fn has_rejections(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// The refusals that have to be told.
    ///
    /// ```
    /// assert!(greengagearch::process::node::order_tracker::OrderTracker::default().take_rejections().is_empty());
    /// ```
    pub fn take_rejections(&mut self) -> Vec<RejectedRun> {
        self.reported.extend(self.unreported.iter().cloned());
        let surplus = self.reported.len().saturating_sub(MAX_REPORTED_REJECTIONS);
        self.reported.drain(..surplus);
        std::mem::take(&mut self.unreported)
    }

    /// Forgets everything, since the life has ended; numbers of looks go on.
    ///
    /// ```
    /// greengagearch::process::node::order_tracker::OrderTracker::default().clear();
    /// ```
    pub fn clear(&mut self) {
        *self = OrderTracker { polls: self.polls, ..OrderTracker::default() };
    }
}

fn is_for(rejected: &RejectedRun, key: &RunKey) -> bool {
    rejected.task == key.0 && rejected.run == key.1
}

/// Whether a run is one of those that a look shows.
pub(crate) fn is_present(present: &[PresentRun], key: &RunKey) -> bool {
    present.iter().any(|run| run.task == key.0 && run.run == key.1)
}

/// Whether the end of a run is one of those that a look lists.
pub(crate) fn has_ended(ended: &[EndedRun], key: &RunKey) -> bool {
    ended.iter().any(|end| end.task == key.0 && end.run == key.1)
}
