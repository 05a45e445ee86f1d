//! Ejection of failing endpoints from routing.
//!
//! An endpoint that fails fast appears idle and would attract all requests. After a number of
//! consecutive failures it is ejected for a period that doubles with each ejection; after that, a
//! single request probes whether it has recovered.

use std::time::Duration;
use std::time::Instant;

/// Consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Length of the first ejection; each further one lasts twice as long.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// Health of an endpoint, judged by its latest responses.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    probing: bool,
}

impl EndpointHealth {
    /// Whether a request may be sent at `now`. After an ejection period, one probe at a time may.
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

    /// Whether the endpoint is ejected or being probed.
    ///
    /// ```
    /// use greengagearch::request::ejection::EndpointHealth;
    ///
    /// assert!(!EndpointHealth::default().is_ejected());
    /// ```
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records that a request is sent; has to be called for each one, since it may be a probe.
    ///
    /// ```
    /// greengagearch::request::ejection::EndpointHealth::default().on_sent();
    /// ```
    pub fn on_sent(&mut self) {
        self.probing = self.ejected_until.is_some();
    }

    /// Records a successful response, which ends an ejection.
    ///
    /// ```
    /// greengagearch::request::ejection::EndpointHealth::default().on_success();
    /// ```
    pub fn on_success(&mut self) {
        *self = EndpointHealth::default();
    }

    /// Records the end of a request whose result says nothing about the endpoint's health.
    ///
    /// ```
    /// greengagearch::request::ejection::EndpointHealth::default().on_neutral();
    /// ```
    pub fn on_neutral(&mut self) {
        self.probing = false;
    }

    /// Records a failure. Ejects the endpoint after enough consecutive failures if `may_eject` is
    /// set; a failure of an endpoint that is already ejected, such as that of a probe, always
    /// ejects it again.
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
    fn one_probe_at_a_time_is_sent_after_the_ejection() {
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
