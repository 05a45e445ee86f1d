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

use crate::ids::PollNumber;
use crate::workflow::worker_inventory::RunKey;

/// Time for which a start without a response may still be carried out.
const LATE_DELIVERY_SPAN: Duration = Duration::from_secs(12);
/// Longest wait for the successor, so that a runner that does not return does not block its tasks.
const MAX_SUCCESSOR_WAIT: Duration = Duration::from_secs(5);

/// The attempts to start one run.
#[derive(Clone, Copy, Debug, Default)]
struct StartAttempts {
    /// Time of the newest attempt without a response, not counting the last one.
    unanswered_sent_at: Option<Instant>,
    /// Time of the last attempt while it has no response.
    last_sent_at: Option<Instant>,
    /// The newest poll when a response arrived, until the instance has answered a later poll.
    answered_after: Option<PollNumber>,
}

impl StartAttempts {
    fn is_unsettled(&self, now: Instant) -> bool {
        let may_be_carried_out =
            |sent: Instant| now.saturating_duration_since(sent) < LATE_DELIVERY_SPAN;
        let is_unanswered =
            self.unanswered_sent_at.max(self.last_sent_at).is_some_and(may_be_carried_out);
        is_unanswered || self.answered_after.is_some()
    }
}

/// Starts sent to the runner's current instance, and unsettled starts of former instances.
#[derive(Debug, Default)]
pub struct UnsettledStarts {
    sent: HashMap<RunKey, StartAttempts>,
    /// Starts of former instances, with the time until which they wait for the successor.
    inherited: HashMap<RunKey, Instant>,
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
        start.unanswered_sent_at = start.last_sent_at.or(start.unanswered_sent_at);
        start.last_sent_at = Some(now);
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
            start.last_sent_at = None;
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
            start.last_sent_at = None;
        }
    }

    /// Records that the current instance has answered a poll, and which runs it lists. Responses
    /// that arrived before the poll was sent came from this instance. From now on it rejects calls
    /// meant for former instances, so starts of those that it does not list are settled. Returns
    /// whether there were any.
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
    /// assert!(starts.on_poll(1, |_| false, now));
    /// assert!(starts.keys().is_empty());
    /// ```
    pub fn on_poll(
        &mut self,
        number: PollNumber,
        is_listed: impl Fn(&RunKey) -> bool,
        now: Instant,
    ) -> bool {
        for start in self.sent.values_mut() {
            start.answered_after.take_if(|newest_poll| number > *newest_poll);
        }
        self.sent.retain(|_, start| start.is_unsettled(now));
        let before = self.inherited.len();
        self.inherited.retain(|key, _| is_listed(key));
        self.inherited.len() < before
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
        let sent = self.sent.drain().filter(|(_, start)| start.is_unsettled(now));
        self.inherited.extend(sent.map(|(key, _)| (key, now + MAX_SUCCESSOR_WAIT)));
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
    }

    /// Records that the successor is no longer polled.
    ///
    /// ```
    /// greengagearch::process::node::unsettled_starts::UnsettledStarts::default().stop_waiting();
    /// ```
    pub fn stop_waiting(&mut self) {
        self.inherited.clear();
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
