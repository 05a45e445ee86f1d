//! Health of the store as seen from the calls of this process: its last response and its last
//! refusal.
//!
//! It distinguishes a store that only this host cannot reach, where calls can be relayed through
//! another host, from a store that is slow for all hosts, where each relayed call only lengthens
//! the same queue.

use std::time::Duration;
use std::time::Instant;

/// Time without a response after which the store counts as unreachable. It exceeds one long poll of
/// the configuration watch, which calls the store continuously.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_300);
/// Time after a refusal during which this process relays no calls of other processes: an overloaded
/// store refuses the calls of all hosts, and each relayed call adds to its load.
const RELAY_PAUSE: Duration = Duration::from_millis(1_000);

/// Health of the store as seen by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreHealth {
    responded_at: Option<Instant>,
    refused_at: Option<Instant>,
}

impl StoreHealth {
    /// Creates the state at the start of the process: the store counts as reachable.
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
        StoreHealth { responded_at: Some(now), refused_at: None }
    }

    /// Records a response of the store: the call was carried out or its condition did not hold.
    pub fn on_response(&mut self, now: Instant) {
        self.responded_at = Some(now);
    }

    /// Records that the store refused a call.
    pub fn on_refusal(&mut self, now: Instant) {
        self.refused_at = Some(now);
    }

    /// Records that a call timed out while no other call was answered. The store counts as
    /// unreachable until its next response.
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
    /// health.on_response(now);
    /// assert!(health.is_reachable(now));
    /// ```
    pub fn on_timeout(&mut self) {
        self.responded_at = None;
    }

    /// Returns whether the store has responded recently.
    pub fn is_reachable(&self, now: Instant) -> bool {
        self.responded_at
            .is_some_and(|answered| now.saturating_duration_since(answered) < UNREACHABLE_AFTER)
    }

    /// Returns whether the store has responded to any call after `sent`. If so, a call sent at that
    /// time and still without a response is slow, and would be as slow from other processes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::store_health::StoreHealth;
    ///
    /// let sent = Instant::now();
    /// let mut health = StoreHealth::new(sent);
    /// assert!(!health.has_responded_since(sent));
    /// health.on_response(sent + Duration::from_millis(400));
    /// assert!(health.has_responded_since(sent));
    /// ```
    pub fn has_responded_since(&self, sent: Instant) -> bool {
        self.responded_at.is_some_and(|answered| answered > sent)
    }

    /// Returns whether this process may relay calls of other processes to the store.
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
        let is_paused = self
            .refused_at
            .is_some_and(|refused| now.saturating_duration_since(refused) < RELAY_PAUSE);
        self.is_reachable(now) && !is_paused
    }
}
