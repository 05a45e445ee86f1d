//! Ejection of endpoints that fail, and their probing.
//!
//! An endpoint that answers errors at once looks idle and would attract all work. After a run of
//! failures it is ejected for a while that doubles each time; then a single request probes it.

use std::time::Duration;
use std::time::Instant;

/// Failures in a row that eject an endpoint.
const FAILURES_TO_EJECT: u32 = 5;
/// First time out.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Longest time out.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// What an endpoint's last answers say of its health.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    probing: bool,
}

impl EndpointHealth {
    /// Whether a request may be sent at `now`. After a time out only one may, until it ends.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::request::ejection::EndpointHealth;
    ///
    /// assert!(EndpointHealth::default().is_open(Instant::now()));
    /// ```
    pub fn is_open(&self, now: Instant) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && !self.probing,
        }
    }

    /// Whether the endpoint is out or being probed.
    ///
    /// ```
    /// use greengagearch::request::ejection::EndpointHealth;
    ///
    /// assert!(!EndpointHealth::default().is_ejected());
    /// ```
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Must be told of each request that is sent.
    ///
    /// ```
    /// greengagearch::request::ejection::EndpointHealth::default().on_sent();
    /// ```
    pub fn on_sent(&mut self) {
        self.probing = self.ejected_until.is_some();
    }

    /// Takes in a good answer.
    ///
    /// ```
    /// greengagearch::request::ejection::EndpointHealth::default().on_success();
    /// ```
    pub fn on_success(&mut self) {
        *self = EndpointHealth::default();
    }

    /// Takes in the end of a request that says nothing of the endpoint's health.
    ///
    /// ```
    /// greengagearch::request::ejection::EndpointHealth::default().on_neutral();
    /// ```
    pub fn on_neutral(&mut self) {
        self.probing = false;
    }

    /// Takes in a failure; the endpoint is ejected when `may_eject` allows it.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::request::ejection::EndpointHealth;
    ///
    /// let mut health = EndpointHealth::default();
    /// for _ in 0..5 {
    ///     health.on_failure(Instant::now(), true);
    /// }
    /// assert!(health.is_ejected());
    /// ```
    pub fn on_failure(&mut self, now: Instant, may_eject: bool) {
        self.failures += 1;
        self.probing = false;
        let was_ejected = self.ejected_until.is_some();
        if was_ejected || (self.failures >= FAILURES_TO_EJECT && may_eject) {
            let ejection_time = BASE_EJECTION_TIME * 2_u32.saturating_pow(self.ejections.min(10));
            self.ejected_until = Some(now + ejection_time.min(MAX_EJECTION_TIME));
            self.ejections += 1;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_probe_at_a_time_after_the_time_out() {
        let now = Instant::now();
        let mut health = EndpointHealth::default();
        (0..5).for_each(|_| health.on_failure(now, true));
        assert!(!health.is_open(now));
        let later = now + BASE_EJECTION_TIME;
        assert!(health.is_open(later));
        health.on_sent();
        assert!(!health.is_open(later));
        health.on_failure(later, false);
        assert!(!health.is_open(later + BASE_EJECTION_TIME));
        assert!(health.is_open(later + 2 * BASE_EJECTION_TIME));
        health.on_success();
        assert!(!health.is_ejected());
    }
}
