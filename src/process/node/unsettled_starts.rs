//! Starts that the successor of the runner's instance may carry out, or has carried out, in place
//! of the instance that they were sent to.
//!
//! A runner may restart under its id after a crash, and calls name only that id. A start without a
//! response may still be in transit; one that had a response after the last poll that the instance
//! answered may have reached the successor. Such a task must not start elsewhere until the
//! successor has listed what it runs.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::StartInDoubt;
use crate::external::runner_control::RunPresence;
use crate::ids::PollNumber;
use crate::workflow::grant::MAX_LEASE;
use crate::workflow::grant::expired_by;
use crate::workflow::start_doubts::LATE_DELIVERY_SPAN;
use crate::workflow::worker_inventory::RunKey;

/// Longest wait for the successor, so that a runner that does not return does not block its tasks.
const MAX_SUCCESSOR_WAIT: Duration = Duration::from_secs(5);
/// Least time that is reported for a start in doubt: until a poll has shown what became of it.
const MIN_REPORTED_DOUBT: Duration = Duration::from_secs(1);

/// The attempts to start one run.
#[derive(Clone, Copy, Debug, Default)]
struct StartAttempts {
    /// Time by which the newest attempt without a response had been sent.
    unanswered_at: Option<Instant>,
    /// Time from which the last attempt waits for its response.
    in_flight_since: Option<Instant>,
    /// The newest poll when a response arrived, until the instance has answered a later poll.
    answered_after: Option<PollNumber>,
    /// Number of attempts, including those that an earlier agent may have made.
    count: u32,
    /// Whether the instance has listed the run, so that one of the attempts was carried out.
    is_listed: bool,
}

impl StartAttempts {
    /// Returns whether an attempt is left that may be carried out in addition to the one that has
    /// begun the run.
    fn has_surplus(&self) -> bool {
        self.count > u32::from(self.is_listed)
    }

    fn is_unsettled(&self, now: Instant) -> bool {
        let newest = self.unanswered_at.max(self.in_flight_since);
        newest.is_some_and(|sent| may_be_carried_out(sent, now)) || self.answered_after.is_some()
    }
}

/// Returns whether an attempt without a response may still be carried out.
fn may_be_carried_out(sent_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(sent_at) < LATE_DELIVERY_SPAN
}

/// Returns whether a run may be active that an attempt without a response has begun at the latest.
fn may_be_active(sent_at: Instant, now: Instant) -> bool {
    now < expired_by(sent_at + LATE_DELIVERY_SPAN, MAX_LEASE)
}

/// An attempt without a response, which any instance with the runner's id may carry out.
#[derive(Clone, Copy, Debug)]
struct DoubtfulAttempt {
    /// Time by which it had been sent.
    sent_at: Instant,
    /// Whether a poll was answered after it could no longer be carried out. The next poll then
    /// shows what became of it.
    is_overdue: bool,
}

/// Starts sent to the runner's current instance, and unsettled starts of former instances.
#[derive(Debug, Default)]
pub struct UnsettledStarts {
    sent: HashMap<RunKey, StartAttempts>,
    /// Starts of former instances, with the time until which they wait for the successor.
    inherited: HashMap<RunKey, Instant>,
    /// The newest attempt without a response of each run, over all instances.
    in_doubt: HashMap<RunKey, DoubtfulAttempt>,
}

impl UnsettledStarts {
    /// Records that an attempt is about to be sent.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::unsettled_starts::UnsettledStarts;
    ///
    /// let now = Instant::now();
    /// let mut starts = UnsettledStarts::default();
    /// starts.on_sending(&("a.0.0.0".parse().unwrap(), 1), now);
    /// starts.end_instance(now);
    /// assert_eq!(starts.keys().len(), 1);
    /// ```
    pub fn on_sending(&mut self, key: &RunKey, now: Instant) {
        let start = self.sent.entry(key.clone()).or_default();
        start.count += 1;
        if let Some(previous) = start.in_flight_since.replace(now) {
            start.unanswered_at = Some(previous);
            self.doubt(key, previous);
        }
    }

    /// Records that the last attempt has no response: it may be carried out later.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::unsettled_starts::UnsettledStarts;
    ///
    /// let (key, now) = (("a.0.0.0".parse().unwrap(), 1), Instant::now());
    /// let mut starts = UnsettledStarts::default();
    /// starts.on_sending(&key, now);
    /// starts.on_no_response(&key, now);
    /// assert_eq!(starts.in_doubt(now).len(), 1);
    /// ```
    pub fn on_no_response(&mut self, key: &RunKey, now: Instant) {
        if let Some(start) = self.sent.get_mut(key) {
            start.in_flight_since = None;
            start.unanswered_at = Some(now);
            if start.has_surplus() {
                self.doubt(key, now);
            }
        }
    }

    fn doubt(&mut self, key: &RunKey, sent_at: Instant) {
        let attempt = DoubtfulAttempt { sent_at, is_overdue: false };
        self.in_doubt.insert(key.clone(), attempt);
    }

    /// Discards the attempts that were overdue when the last poll was answered, so that the response
    /// to a poll sent since then has shown what became of them. Time alone does not tell: this agent
    /// may have been suspended while an instance carried out the attempt. Returns whether there
    /// were any.
    fn discard_overdue(&mut self, now: Instant) -> bool {
        let before = self.in_doubt.len();
        self.in_doubt.retain(|_, attempt| !attempt.is_overdue);
        for attempt in self.in_doubt.values_mut() {
            attempt.is_overdue = !may_be_carried_out(attempt.sent_at, now);
        }
        self.in_doubt.len() < before
    }

    /// Records that a runner has responded to the last attempt when `newest_poll` was the newest
    /// poll.
    ///
    /// ```
    /// use greengagearch::process::node::unsettled_starts::UnsettledStarts;
    ///
    /// UnsettledStarts::default().on_response(&("a.0.0.0".parse().unwrap(), 1), 3);
    /// ```
    pub fn on_response(&mut self, key: &RunKey, newest_poll: PollNumber) {
        if let Some(start) = self.sent.get_mut(key) {
            start.in_flight_since = None;
            start.answered_after = Some(newest_poll);
        }
    }

    /// Records that the last attempt was never sent.
    ///
    /// ```
    /// use greengagearch::process::node::unsettled_starts::UnsettledStarts;
    ///
    /// UnsettledStarts::default().on_not_sent(&("a.0.0.0".parse().unwrap(), 1));
    /// ```
    pub fn on_not_sent(&mut self, key: &RunKey) {
        if let Some(start) = self.sent.get_mut(key) {
            start.in_flight_since = None;
            start.count -= 1;
        }
    }

    /// Records that the current instance has answered a poll, and what the response tells about
    /// runs. Responses that arrived before the poll was sent came from this instance. From now on it
    /// rejects calls meant for former instances, so starts of those that are absent are settled.
    /// Returns whether there were any.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::external::runner_control::RunPresence;
    /// use greengagearch::process::node::unsettled_starts::UnsettledStarts;
    ///
    /// let now = Instant::now();
    /// let mut starts = UnsettledStarts::default();
    /// starts.on_sending(&("a.0.0.0".parse().unwrap(), 1), now);
    /// starts.end_instance(now);
    /// assert!(!starts.on_poll(1, |_| RunPresence::Unknown, now));
    /// assert!(starts.on_poll(2, |_| RunPresence::Absent, now));
    /// assert!(starts.keys().is_empty());
    /// ```
    pub fn on_poll(
        &mut self,
        number: PollNumber,
        presence: impl Fn(&RunKey) -> RunPresence,
        now: Instant,
    ) -> bool {
        for (key, start) in &mut self.sent {
            start.answered_after.take_if(|newest_poll| number > *newest_poll);
            start.is_listed |= presence(key) == RunPresence::Listed;
            if !start.has_surplus() {
                self.in_doubt.remove(key);
            }
        }
        self.sent.retain(|_, start| start.is_unsettled(now));
        let has_discarded = self.discard_overdue(now);
        let before = self.inherited.len();
        self.inherited.retain(|key, _| presence(key) != RunPresence::Absent);
        has_discarded || self.inherited.len() < before
    }

    /// Records that the connection of a poll broke as the current instance ended: responses that
    /// arrived before came from that instance.
    ///
    /// ```
    /// greengagearch::process::node::unsettled_starts::UnsettledStarts::default().on_broken_poll();
    /// ```
    pub fn on_broken_poll(&mut self) {
        for start in self.sent.values_mut() {
            start.answered_after = None;
        }
    }

    /// Records that the current instance has ended and a successor may follow under its id.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::unsettled_starts::UnsettledStarts;
    ///
    /// UnsettledStarts::default().end_instance(Instant::now());
    /// ```
    pub fn end_instance(&mut self, now: Instant) {
        let sent = std::mem::take(&mut self.sent);
        for (key, start) in sent.into_iter().filter(|(_, start)| start.is_unsettled(now)) {
            if start.in_flight_since.is_some() && start.has_surplus() {
                self.doubt(&key, now);
            }
            self.inherited.insert(key, now + MAX_SUCCESSOR_WAIT);
        }
    }

    /// Discards the starts sent to the current instance, which has ended without a successor under
    /// its id.
    ///
    /// ```
    /// use greengagearch::process::node::unsettled_starts::UnsettledStarts;
    ///
    /// UnsettledStarts::default().discard_instance();
    /// ```
    pub fn discard_instance(&mut self) {
        self.sent.clear();
        self.in_doubt.clear();
    }

    /// Records that nothing listened when the successor was polled, and discards starts whose wait
    /// is over. The wait is checked only at such a poll, since time during which this agent was
    /// suspended says nothing about the successor.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::unsettled_starts::UnsettledStarts;
    ///
    /// let now = Instant::now();
    /// let mut starts = UnsettledStarts::default();
    /// starts.on_sending(&("a.0.0.0".parse().unwrap(), 1), now);
    /// starts.end_instance(now);
    /// starts.on_successor_absent(now + Duration::from_secs(1));
    /// assert_eq!(starts.keys().len(), 1);
    /// starts.on_successor_absent(now + Duration::from_secs(60));
    /// assert!(starts.keys().is_empty());
    /// ```
    pub fn on_successor_absent(&mut self, now: Instant) {
        self.inherited.retain(|_, until| now < *until);
        self.discard_overdue(now);
    }

    /// Records that the successor is no longer polled.
    ///
    /// ```
    /// greengagearch::process::node::unsettled_starts::UnsettledStarts::default().stop_waiting();
    /// ```
    pub fn stop_waiting(&mut self) {
        self.inherited.clear();
    }

    /// Returns the runs of which an attempt may still be carried out by a later instance, whatever
    /// has become of the run since.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::unsettled_starts::UnsettledStarts;
    ///
    /// assert!(UnsettledStarts::default().in_doubt(Instant::now()).is_empty());
    /// ```
    pub fn in_doubt(&self, now: Instant) -> Vec<StartInDoubt> {
        let active = self.in_doubt.iter().filter(|(_, one)| may_be_active(one.sent_at, now));
        let remaining = active.map(|(key, attempt)| {
            let age = now.saturating_duration_since(attempt.sent_at);
            let remaining = LATE_DELIVERY_SPAN.saturating_sub(age).max(MIN_REPORTED_DOUBT);
            StartInDoubt { key: key.clone(), remaining }
        });
        remaining.collect()
    }

    /// Returns the runs sent to former instances that must not start elsewhere yet.
    ///
    /// ```
    /// use greengagearch::process::node::unsettled_starts::UnsettledStarts;
    ///
    /// assert!(UnsettledStarts::default().keys().is_empty());
    /// ```
    pub fn keys(&self) -> Vec<RunKey> {
        self.inherited.keys().cloned().collect()
    }
}
