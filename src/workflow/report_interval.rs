//! Time between two reports of a node agent without events, by the number of workers.
//!
//! Answers the load of a large fleet at rest. Every report takes the planner about a tenth of a
//! millisecond, whether anything has changed or not; at a fixed interval of 0.4 s the reports of 800
//! agents take a fifth of a core, more than the planner's host may have. Ends of runs are reported at
//! once, whatever the interval. What is learned from the reports in between is learned of images and
//! not of workers, so that longer intervals of more workers tell as much.

use std::time::Duration;

/// Maximum number of such reports in a second, until the interval reaches its maximum.
const MAX_REPORTS_PER_S: u32 = 1_000;
/// Minimum interval: tail latencies are measured over half a second.
pub const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum interval: a tenth of a lease, which each report extends.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time beyond the interval after which a worker is silent; sufficient also if its host is five times
/// slower than usual.
const SILENCE_MARGIN: Duration = Duration::from_millis(1_100);

/// Returns the interval for a number of workers.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::workflow::report_interval::report_interval;
///
/// assert_eq!(report_interval(11), Duration::from_millis(400));
/// assert_eq!(report_interval(800), Duration::from_millis(800));
/// ```
pub fn report_interval(workers: usize) -> Duration {
    let workers = u32::try_from(workers).unwrap_or(u32::MAX);
    let interval = Duration::from_secs(1).saturating_mul(workers) / MAX_REPORTS_PER_S;
    interval.clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
}

/// Returns the time without a report after which a worker is silent, if its agent reports in this
/// interval.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::workflow::report_interval::silence_timeout;
///
/// assert_eq!(silence_timeout(Duration::from_millis(400)), Duration::from_millis(1_500));
/// ```
pub fn silence_timeout(interval: Duration) -> Duration {
    interval + SILENCE_MARGIN
}
