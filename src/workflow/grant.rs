//! Durations of worker leases and the times by which they have certainly expired.
//!
//! A planner's ownership is confirmed as of the time at which it *sent* a store call that was
//! answered under its epoch. Leases granted under it end no later than [`OWNERSHIP_VALIDITY`] after
//! that time. Their duration counts from a time stamp that the agent itself has sent, so that
//! neither a delayed message nor a paused process extends them. A takeover is written after the
//! last confirmation of the previous planner. All of its leases have therefore expired one validity
//! period after the answer to the takeover, extended by the drift of the clocks.

use std::time::Duration;
use std::time::Instant;

/// Longest time from a confirmation of the ownership to the end of leases granted under it. It is
/// slightly less than [`MAX_LEASE`], so that runners do not shorten it, and longer than a typical
/// outage of the store.
pub const OWNERSHIP_VALIDITY: Duration = Duration::from_millis(9_600);
/// Longest lease that a runner accepts; it shortens longer ones.
pub const MAX_LEASE: Duration = Duration::from_secs(10);
/// Relative amount by which a runner's clock may be slower than the planner's: 2 % as specified by
/// the platform, and 1 % between the monotonic clocks of the planner's and the agent's hosts.
const MAX_CLOCK_DRIFT: f64 = 0.031;
/// Allowance for errors that do not grow with time, such as rounding to milliseconds.
const ROUNDING_ALLOWANCE: Duration = Duration::from_millis(50);

/// Longest duration of a lease from `received`, the time at which an agent's time stamp arrived, if
/// the ownership was last confirmed at `confirmed_at`.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use greengagearch::workflow::grant::OWNERSHIP_VALIDITY;
/// use greengagearch::workflow::grant::lease_duration;
///
/// let confirmed_at = Instant::now();
/// let received = confirmed_at + Duration::from_secs(1);
/// assert_eq!(lease_duration(confirmed_at, received), OWNERSHIP_VALIDITY - Duration::from_secs(1));
/// ```
pub fn lease_duration(confirmed_at: Instant, received: Instant) -> Duration {
    (confirmed_at + OWNERSHIP_VALIDITY).saturating_duration_since(received)
}

/// Time by which a lease of duration `span` from `from` has certainly expired, even on a runner
/// with the slowest allowed clock.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use greengagearch::workflow::grant::expired_by;
///
/// let now = Instant::now();
/// assert!(expired_by(now, Duration::from_secs(10)) > now + Duration::from_secs(10));
/// ```
pub fn expired_by(from: Instant, span: Duration) -> Instant {
    from + span.mul_f64(1.0 + MAX_CLOCK_DRIFT) + ROUNDING_ALLOWANCE
}

/// Time by which all leases of previous planners have certainly expired, if the store answered the
/// takeover at `answered`.
///
/// ```
/// use std::time::Instant;
///
/// use greengagearch::workflow::grant::OWNERSHIP_VALIDITY;
/// use greengagearch::workflow::grant::predecessor_leases_expired_by;
///
/// let now = Instant::now();
/// assert!(predecessor_leases_expired_by(now) > now + OWNERSHIP_VALIDITY);
/// ```
pub fn predecessor_leases_expired_by(answered: Instant) -> Instant {
    expired_by(answered, OWNERSHIP_VALIDITY)
}
