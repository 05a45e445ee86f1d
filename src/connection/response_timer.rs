//! Adaptive timeout of calls to a peer, derived from the response times of recent calls.
//!
//! A fixed timeout is too short while a peer is slow: each call is abandoned shortly before its
//! response and repeated, and the duplicated work slows the peer further. The timeout is the mean
//! response time plus four times its mean deviation, as for retransmissions of TCP (Jacobson,
//! "Congestion avoidance and control", SIGCOMM 1988; RFC 6298). A call that timed out is recorded
//! with its whole timeout as its response time.

use std::time::Duration;

/// Lower bound. A store that usually responds within 4 ms can be 60 times slower on the next call.
const MIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Upper bound, and so the cost of a call on a connection that went silent. It covers 1 s that
/// transactions may queue before the store refuses further ones and 0.67 s for one that runs 100
/// times slower than usual, with a margin.
const MAX_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Weight of the newest response time in the mean.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest error in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Multiple of the mean deviation that the timeout adds to the mean.
const DEVIATION_FACTOR: f64 = 4.0;

/// Adaptive timeout of the calls to one peer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseTimer {
    mean_seconds: f64,
    deviation_seconds: f64,
}

impl ResponseTimer {
    /// Returns the timeout for the next call.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::connection::response_timer::ResponseTimer;
    ///
    /// assert_eq!(ResponseTimer::default().timeout(), Duration::from_secs(1));
    /// ```
    pub fn timeout(&self) -> Duration {
        let expected = self.mean_seconds + DEVIATION_FACTOR * self.deviation_seconds;
        Duration::from_secs_f64(expected).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Records the response time of a call, or its timeout if there was no response.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::connection::response_timer::ResponseTimer;
    ///
    /// let mut timer = ResponseTimer::default();
    /// for _ in 0..4 {
    ///     timer.record(timer.timeout());
    /// }
    /// assert!(timer.timeout() > Duration::from_millis(1_800));
    /// ```
    pub fn record(&mut self, response_time: Duration) {
        let error = response_time.as_secs_f64() - self.mean_seconds;
        self.mean_seconds += MEAN_WEIGHT * error;
        self.deviation_seconds += DEVIATION_WEIGHT * (error.abs() - self.deviation_seconds);
    }
}
