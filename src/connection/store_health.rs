//! Health of the store as seen from the calls of this process: its last response and its last
//! refusal.
//!
//! It distinguishes a store that only this host cannot reach, where calls can be relayed through
//! another host, from a store that is slow for all hosts, where each relayed call only lengthens
//! the same queue. A process that makes no calls, since it follows another one, learns nothing by
//! itself; the store then counts as reachable until a call shows otherwise.

use std::time::Duration;
use std::time::Instant;

/// Time without a response to any call after which the store counts as unreachable. It exceeds one
/// long poll of the configuration watch.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_300);
/// Time after a refusal during which this process relays no calls of other processes: an overloaded
/// store refuses the calls of all hosts, and each relayed call adds to its load.
const RELAY_PAUSE: Duration = Duration::from_millis(1_000);
/// Time without a response after which the store seems to turn this host away: twice that in which a
/// store responds that is sixty times slower than usual.
const SILENT_AFTER: Duration = Duration::from_millis(600);
/// The same if it refuses calls; watches are called again within 0.2 s after a refusal.
const REFUSED_AFTER: Duration = Duration::from_millis(300);
/// Weight of the newest response time in the mean.
const LATENCY_WEIGHT: f64 = 0.25;

/// Health of the store as seen by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreHealth {
    responded_at: Instant,
    refused_at: Option<Instant>,
    /// When the first call after the last response was sent.
    waiting_since: Option<Instant>,
    /// The same for calls that the store responds to without waiting for changes.
    prompt_since: Option<Instant>,
    /// Whether a call timed out while no other call was answered.
    is_silent: bool,
    /// Mean response time of calls that wait for nothing.
    latency: Duration,
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
        StoreHealth {
            responded_at: now,
            refused_at: None,
            waiting_since: None,
            prompt_since: None,
            is_silent: false,
            latency: Duration::ZERO,
        }
    }

    /// Records that a call is sent; `is_waiting` tells whether the store may wait for changes before
    /// it responds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::store_health::StoreHealth;
    ///
    /// let sent = Instant::now();
    /// let mut health = StoreHealth::new(sent);
    /// assert!(health.is_reachable(sent + Duration::from_secs(60)));
    /// health.on_call(sent, false);
    /// assert!(!health.is_reachable(sent + Duration::from_secs(2)));
    /// ```
    pub fn on_call(&mut self, now: Instant, is_waiting: bool) {
        self.waiting_since.get_or_insert(now);
        if !is_waiting {
            self.prompt_since.get_or_insert(now);
        }
    }

    /// Records that the store may have been silent since a time, according to the processes that
    /// watch it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::store_health::StoreHealth;
    ///
    /// let since = Instant::now();
    /// let now = since + Duration::from_millis(1_500);
    /// let mut health = StoreHealth::new(since);
    /// health.on_silence(since);
    /// assert!(!health.is_reachable(now));
    /// health.on_response(now, false);
    /// assert!(health.is_reachable(now));
    /// ```
    pub fn on_silence(&mut self, since: Instant) {
        self.waiting_since.get_or_insert(since);
    }

    /// Records a response of the store: the call was carried out or its condition did not hold.
    /// `was_waiting` tells whether the store may have waited for changes; such a call may have been
    /// sent long before.
    pub fn on_response(&mut self, now: Instant, was_waiting: bool) {
        self.responded_at = now;
        self.waiting_since = None;
        self.is_silent = false;
        if !was_waiting {
            self.prompt_since = None;
        }
    }

    /// Records how long the store took to respond to a call, without the time that it was asked to
    /// wait for changes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::store_health::StoreHealth;
    ///
    /// let mut health = StoreHealth::new(Instant::now());
    /// health.on_latency(Duration::from_millis(8));
    /// assert!(health.latency() <= Duration::from_millis(8));
    /// ```
    pub fn on_latency(&mut self, latency: Duration) {
        self.latency = self.latency.mul_f64(1.0 - LATENCY_WEIGHT) + latency.mul_f64(LATENCY_WEIGHT);
    }

    /// Returns the mean time that the store takes to respond; zero if it is not known.
    pub fn latency(&self) -> Duration {
        self.latency
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
    /// health.on_response(now, false);
    /// assert!(health.is_reachable(now));
    /// ```
    pub fn on_timeout(&mut self) {
        self.is_silent = true;
    }

    /// Returns whether the store has responded to the last calls, or none was made.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::store_health::StoreHealth;
    ///
    /// let now = Instant::now();
    /// let mut health = StoreHealth::new(now);
    /// health.on_call(now, false);
    /// assert!(!health.has_responded());
    /// health.on_response(now, false);
    /// assert!(health.has_responded());
    /// ```
    pub fn has_responded(&self) -> bool {
        self.waiting_since.is_none() && !self.is_silent
    }

    /// Returns whether the store counts as reachable: no call has waited for long without any
    /// response.
    pub fn is_reachable(&self, now: Instant) -> bool {
        let is_overdue = |since: Instant| now.saturating_duration_since(since) >= UNREACHABLE_AFTER;
        !self.is_silent && !self.waiting_since.is_some_and(is_overdue)
    }

    /// Returns whether the store seems to turn this host away: it has responded to no call for a
    /// while, or for a shorter while if it refuses calls. A store that is slow responds to some.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::store_health::StoreHealth;
    ///
    /// let sent = Instant::now();
    /// let mut health = StoreHealth::new(sent);
    /// health.on_call(sent, false);
    /// assert!(!health.is_turning_away(sent + Duration::from_millis(400)));
    /// assert!(health.is_turning_away(sent + Duration::from_millis(1_000)));
    /// ```
    pub fn is_turning_away(&self, now: Instant) -> bool {
        let Some(since) = self.prompt_since else {
            return false;
        };
        let is_refused = self.refused_at.is_some_and(|refused| refused >= since);
        let limit = if is_refused { REFUSED_AFTER } else { SILENT_AFTER };
        now.saturating_duration_since(since) >= limit
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
    /// health.on_response(sent + Duration::from_millis(400), false);
    /// assert!(health.has_responded_since(sent));
    /// ```
    pub fn has_responded_since(&self, sent: Instant) -> bool {
        self.responded_at > sent
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
