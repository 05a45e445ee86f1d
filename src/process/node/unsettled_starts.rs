//! Starts that the next life of the runner may carry out, or has carried out, in place of the one that they were sent to.
//!
//! A runner may be back under its id after a crash, and calls name the id alone. A start without an answer may still be on its way;
//! one that was answered after the life's last sign may have been taken by the next life. Such a task must not start elsewhere
//! until that life has shown what it runs.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::PollNumber;
use crate::workflow::worker_inventory::RunKey;

/// Time for which a start that has no answer may still be carried out.
const LATE_SPAN: Duration = Duration::from_secs(12);
/// Longest wait for the next life: a runner that stays away must not keep its tasks from others.
const RETURN_SPAN: Duration = Duration::from_secs(5);

/// The tries to start one run.
#[derive(Clone, Copy, Debug, Default)]
struct SentTries {
    /// The newest try before the last one that has no answer.
    unanswered: Option<Instant>,
    /// The last try, while it has no answer.
    last: Option<Instant>,
    /// The newest look when an answer came, until the life has answered a later one.
    answered_at: Option<PollNumber>,
}

impl SentTries {
    fn is_unsettled(&self, now: Instant) -> bool {
        let may_come = |sent: Instant| now.saturating_duration_since(sent) < LATE_SPAN;
        let is_late = self.unanswered.max(self.last).is_some_and(may_come);
        is_late || self.answered_at.is_some()
    }
}

/// Starts that were sent to the present life of the runner, and those of former lives that are unsettled.
#[derive(Debug, Default)]
pub struct UnsettledStarts {
    sent: HashMap<RunKey, SentTries>,
    /// Starts of former lives, with the time up to which they wait for the next one.
    left: HashMap<RunKey, Instant>,
}

impl UnsettledStarts {
    /// Takes note of a try that is about to be sent.
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
        start.unanswered = start.last.or(start.unanswered);
        start.last = Some(now);
    }

    /// Takes note that a runner has answered the last try, when `newest` was the newest look.
    ///
    /// ```
    /// use greengagearch::process::node::unsettled_starts::UnsettledStarts;
    ///
    /// UnsettledStarts::default().on_answer(&("a.0.0.0".parse().unwrap(), 1), 3);
    /// ```
    pub fn on_answer(&mut self, key: &RunKey, newest: PollNumber) {
        if let Some(start) = self.sent.get_mut(key) {
            start.last = None;
            start.answered_at = Some(newest);
        }
    }

    /// Takes note that the last try never left.
    ///
    /// ```
    /// use greengagearch::process::node::unsettled_starts::UnsettledStarts;
    ///
    /// UnsettledStarts::default().on_not_sent(&("a.0.0.0".parse().unwrap(), 1));
    /// ```
    pub fn on_not_sent(&mut self, key: &RunKey) {
        if let Some(start) = self.sent.get_mut(key) {
            start.last = None;
        }
    }

    /// Takes note that the present life has answered a look, and which runs it shows. Answers that came before the look was sent were
    /// its own; and as it refuses what was meant for lives before from now on, only what it shows is left of those. Says whether some
    /// of those are settled by that.
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
    /// assert!(starts.on_look(1, |_| false, now));
    /// assert!(starts.keys().is_empty());
    /// ```
    pub fn on_look(
        &mut self,
        number: PollNumber,
        is_shown: impl Fn(&RunKey) -> bool,
        now: Instant,
    ) -> bool {
        for start in self.sent.values_mut() {
            start.answered_at.take_if(|newest| number > *newest);
        }
        self.sent.retain(|_, start| start.is_unsettled(now));
        let before = self.left.len();
        self.left.retain(|key, _| is_shown(key));
        self.left.len() < before
    }

    /// Takes note that the connection of a look broke as the present life ended: answers that came before were its own.
    ///
    /// ```
    /// greengagearch::process::node::unsettled_starts::UnsettledStarts::default().on_broken_look();
    /// ```
    pub fn on_broken_look(&mut self) {
        for start in self.sent.values_mut() {
            start.answered_at = None;
        }
    }

    /// Takes note that the present life has ended; another one may follow under its id.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// greengagearch::process::node::unsettled_starts::UnsettledStarts::default().end_instance(Instant::now());
    /// ```
    pub fn end_instance(&mut self, now: Instant) {
        let sent = self.sent.drain().filter(|(_, start)| start.is_unsettled(now));
        self.left.extend(sent.map(|(key, _)| (key, now + RETURN_SPAN)));
    }

    /// Forgets what was sent to the present life, which has ended; none follows under its id.
    ///
    /// ```
    /// greengagearch::process::node::unsettled_starts::UnsettledStarts::default().discard_instance();
    /// ```
    pub fn discard_instance(&mut self) {
        self.sent.clear();
    }

    /// Takes note that a call for the next life found nobody. It is waited for no longer than that: time that this agent stood still
    /// shows nothing of it.
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
    /// starts.on_nobody(now + Duration::from_secs(1));
    /// assert_eq!(starts.keys().len(), 1);
    /// starts.on_nobody(now + Duration::from_secs(60));
    /// assert!(starts.keys().is_empty());
    /// ```
    pub fn on_nobody(&mut self, now: Instant) {
        self.left.retain(|_, until| now < *until);
    }

    /// Takes note that the next life is looked for no longer.
    ///
    /// ```
    /// greengagearch::process::node::unsettled_starts::UnsettledStarts::default().give_up();
    /// ```
    pub fn give_up(&mut self) {
        self.left.clear();
    }

    /// Runs given to former lives that must not start elsewhere yet.
    ///
    /// ```
    /// use greengagearch::process::node::unsettled_starts::UnsettledStarts;
    ///
    /// assert!(UnsettledStarts::default().keys().is_empty());
    /// ```
    pub fn keys(&self) -> Vec<RunKey> {
        self.left.keys().cloned().collect()
    }
}
