//! Rate of retries against the store, so that the retries of all hosts together stay below its
//! capacity.
//!
//! Hosts do not coordinate their rates. Each one raises its own rate by a fixed step after a
//! response and halves it after a failure; with this additive increase and multiplicative decrease,
//! the rates converge to equal shares of the store's capacity (Chiu and Jain, "Analysis of the
//! increase and decrease algorithms for congestion avoidance in computer networks", 1989). Pauses
//! have random jitter, so that hosts whose calls failed at the same time do not retry at the same
//! time.

use std::time::Duration;
use std::time::Instant;

/// Highest rate of retries per second. A watch resumes about 0.1 s after a single failure.
const MAX_RATE_PER_S: f64 = 10.0;
/// Lowest rate of retries per second, over all watches of a process. It lets a process become ready
/// within half a second after an outage.
const MIN_RATE_PER_S: f64 = 3.0;
/// Increase of the rate, in retries per second, after a response.
const RATE_INCREASE_PER_S: f64 = 1.0;
/// Factor applied to the rate after a failure.
const RATE_DECREASE_FACTOR: f64 = 0.5;

/// Limits the rate at which one process retries failed calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPace {
    rate_per_s: f64,
    /// Earliest time of the next retry that is not scheduled yet.
    next_retry_at: Option<Instant>,
}

impl Default for RetryPace {
    fn default() -> RetryPace {
        RetryPace { rate_per_s: MAX_RATE_PER_S, next_retry_at: None }
    }
}

impl RetryPace {
    /// Raises the rate after a call was answered.
    ///
    /// ```
    /// let mut pace = greengagearch::connection::retry_pace::RetryPace::default();
    /// pace.on_response();
    /// ```
    pub fn on_response(&mut self) {
        self.rate_per_s = (self.rate_per_s + RATE_INCREASE_PER_S).min(MAX_RATE_PER_S);
    }

    /// Lowers the rate after a call failed and returns the pause before its retry. Retries of one
    /// process are spaced by the current rate. `jitter` is a random number from 0 to 1.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::retry_pace::RetryPace;
    ///
    /// let now = Instant::now();
    /// let mut pace = RetryPace::default();
    /// let first = pace.on_failure(now, 0.5);
    /// assert!(pace.on_failure(now, 0.5) > first);
    /// ```
    pub fn on_failure(&mut self, now: Instant, jitter: f64) -> Duration {
        let spacing = Duration::from_secs_f64((0.5 + jitter.clamp(0.0, 1.0)) / self.rate_per_s);
        self.rate_per_s = (self.rate_per_s * RATE_DECREASE_FACTOR).max(MIN_RATE_PER_S);
        let next_retry_at = self.next_retry_at.unwrap_or(now).max(now) + spacing;
        self.next_retry_at = Some(next_retry_at);
        next_retry_at.saturating_duration_since(now)
    }
}
