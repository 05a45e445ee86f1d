//! How long an answer is waited for, learned from how long the last ones took.
//!
//! A fixed limit is too short for a peer that is slow for a while: each call is given up shortly before its answer and
//! made again, and what is carried out twice makes the peer slower still. The limit is the mean time of an answer and four times its
//! deviation, as for retransmissions of TCP (Jacobson, "Congestion avoidance and control", SIGCOMM 1988; RFC 6298),
//! and a call without an answer counts as one that took all its time.

use std::time::Duration;

/// Least limit: a store that answers in 4 ms as a rule may be sixty times slower from one call to the next.
const LEAST_LIMIT: Duration = Duration::from_millis(1_000);
/// Greatest limit: a second in which transactions may wait before the store refuses more of them, two thirds of a second in which
/// one is carried out and answered a hundred times slower than usual, and some. A connection that went silent costs no more.
const GREATEST_LIMIT: Duration = Duration::from_millis(2_000);
/// Weight of the newest time in the mean.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest time in the deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Deviations from the mean within which an answer is expected.
const DEVIATIONS: f64 = 4.0;

/// The limit on the time of calls to one peer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerTimer {
    mean_seconds: f64,
    deviation: f64,
}

impl AnswerTimer {
    /// Time for the next answer.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::connection::answer_timer::AnswerTimer;
    ///
    /// assert_eq!(AnswerTimer::default().limit(), Duration::from_secs(1));
    /// ```
    pub fn limit(&self) -> Duration {
        let expected = self.mean_seconds + DEVIATIONS * self.deviation;
        Duration::from_secs_f64(expected).clamp(LEAST_LIMIT, GREATEST_LIMIT)
    }

    /// Takes in how long an answer took, or how long one was waited for in vain.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::connection::answer_timer::AnswerTimer;
    ///
    /// let mut timer = AnswerTimer::default();
    /// for _ in 0..4 {
    ///     timer.on_time(timer.limit());
    /// }
    /// assert!(timer.limit() > Duration::from_millis(1_800));
    /// ```
    pub fn on_time(&mut self, took: Duration) {
        let error = took.as_secs_f64() - self.mean_seconds;
        self.mean_seconds += MEAN_WEIGHT * error;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
    }
}
