//! What a process knows of the store from its own calls: when it last answered, and when it last refused.
//!
//! It tells a store that turns this host away, which others get round, from one that is slow for all, where each call through another
//! host is one more in the same queue.

use std::time::Duration;
use std::time::Instant;

/// Silence after which the store counts as out of reach: a wait of the watch of the configuration, which calls it without
/// pause, and some.
const SILENCE: Duration = Duration::from_millis(1_300);
/// Time after a refusal in which a process passes on no calls of others: a store that is overloaded refuses all of them,
/// and each call that is passed on is one more.
const REFUSAL_MEMORY: Duration = Duration::from_millis(1_000);

/// The store as this process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreHealth {
    answered_at: Option<Instant>,
    refused_at: Option<Instant>,
}

impl StoreHealth {
    /// The health of a store that counts as near until it shows otherwise.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::store_health::StoreHealth;
    ///
    /// let now = Instant::now();
    /// assert!(StoreHealth::new(now).is_reachable(now));
    /// ```
    pub fn new(now: Instant) -> StoreHealth {
        StoreHealth { answered_at: Some(now), refused_at: None }
    }

    /// Takes in that a call was carried out or its condition did not hold.
    pub fn on_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
    }

    /// Takes in that the store refused a call.
    pub fn on_refusal(&mut self, now: Instant) {
        self.refused_at = Some(now);
    }

    /// Takes in that a call was not answered in its time, and nothing else was meanwhile.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::store_health::StoreHealth;
    ///
    /// let now = Instant::now();
    /// let mut health = StoreHealth::new(now);
    /// health.on_timeout();
    /// assert!(!health.is_reachable(now));
    /// health.on_answer(now);
    /// assert!(health.is_reachable(now));
    /// ```
    pub fn on_timeout(&mut self) {
        self.answered_at = None;
    }

    /// Whether the store has answered of late.
    pub fn is_reachable(&self, now: Instant) -> bool {
        self.answered_at.is_some_and(|answered| now.saturating_duration_since(answered) < SILENCE)
    }

    /// Whether anything was answered after `sent`. Then a call from that time without an answer is slow, and would be so
    /// for other processes as well.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::store_health::StoreHealth;
    ///
    /// let sent = Instant::now();
    /// let mut health = StoreHealth::new(sent);
    /// assert!(!health.has_answered_since(sent));
    /// health.on_answer(sent + Duration::from_millis(400));
    /// assert!(health.has_answered_since(sent));
    /// ```
    pub fn has_answered_since(&self, sent: Instant) -> bool {
        self.answered_at.is_some_and(|answered| answered > sent)
    }

    /// Whether this process may pass on calls of others.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::store_health::StoreHealth;
    ///
    /// let now = Instant::now();
    /// let mut health = StoreHealth::new(now);
    /// assert!(health.may_relay(now));
    /// health.on_refusal(now);
    /// assert!(!health.may_relay(now));
    /// ```
    pub fn may_relay(&self, now: Instant) -> bool {
        let is_refused = self
            .refused_at
            .is_some_and(|refused| now.saturating_duration_since(refused) < REFUSAL_MEMORY);
        self.is_reachable(now) && !is_refused
    }
}
