//! How often a process calls the store again after failures, so that all hosts together stay below what it bears.
//!
//! Hosts do not talk about it: each raises its rate by a step after an answer and halves it after a failure, which
//! makes the rates of all converge to equal shares of what the store bears (Chiu and Jain, "Analysis of the increase
//! and decrease algorithms for congestion avoidance in computer networks", 1989). Pauses are spread at random, so that hosts that
//! failed together do not come back together.

use std::time::Duration;
use std::time::Instant;

/// Greatest rate of calls again, a second: right after a single failure a watch returns in about 0.1 s.
const MOST_RATE: f64 = 10.0;
/// Least rate of calls again, a second, for all watches of a process: readiness returns within half a second after an outage.
const LEAST_RATE: f64 = 3.0;
/// By how much an answer raises the rate, a second.
const RATE_STEP: f64 = 1.0;
/// What is left of the rate after a failure.
const DECREASE: f64 = 0.5;

/// The pace of one process's calls after failures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPace {
    rate: f64,
    /// Before this no further call may be made again.
    free_at: Option<Instant>,
}

impl Default for RetryPace {
    fn default() -> RetryPace {
        RetryPace { rate: MOST_RATE, free_at: None }
    }
}

impl RetryPace {
    /// Takes in that a call was answered.
    ///
    /// ```
    /// let mut pace = greengagearch::connection::retry_pace::RetryPace::default();
    /// pace.on_answer();
    /// ```
    pub fn on_answer(&mut self) {
        self.rate = (self.rate + RATE_STEP).min(MOST_RATE);
    }

    /// Takes in that a call failed; gives the pause after which it may be made again. Calls of one process that failed follow
    /// each other at the pace. `draw` is a random number from 0 to 1.
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
    pub fn on_failure(&mut self, now: Instant, draw: f64) -> Duration {
        let spacing = Duration::from_secs_f64((0.5 + draw.clamp(0.0, 1.0)) / self.rate);
        self.rate = (self.rate * DECREASE).max(LEAST_RATE);
        let free_at = self.free_at.unwrap_or(now).max(now) + spacing;
        self.free_at = Some(free_at);
        free_at.saturating_duration_since(now)
    }
}
