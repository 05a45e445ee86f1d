//! How long leases on workers may last, and when they have surely expired.
//!
//! A planner is sure of its ownership as of the moment at which it *sent* a write or read that the
//! store answered under its epoch. A grant reaches no further than [`OWNERSHIP_VALIDITY`] after that moment, and
//! counts from a time that the agent itself has sent, so that neither a delayed message nor a pause can
//! stretch it. A takeover is written after every such moment of the planner before; hence everything
//! that was granted before has expired one span, stretched by the drift of clocks, after the
//! takeover's answer.

use std::time::Duration;
use std::time::Instant;

/// Longest time from a confirmed_at of ownership to the end of leases granted under it. A little less than
/// [`MAX_LEASE`] is used in full and outlives a usual outage of the store.
pub const OWNERSHIP_VALIDITY: Duration = Duration::from_millis(9_600);
/// Longest lease that a runner keeps, whatever it is given.
pub const MAX_LEASE: Duration = Duration::from_secs(10);
/// How much slower than ours a runner's clock may be: 2 % by the platform's word, and 1 % between
/// the steady clocks of the planner's and the agent's hosts.
const CLOCK_DRIFT: f64 = 0.031;
/// Time for the steps that are not covered by the drift, such as rounding to milliseconds.
const ROUNDING_ALLOWANCE: Duration = Duration::from_millis(50);

/// How long after `received`, the arrival of an agent's time stamp, leases may last.
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

/// When leases that were granted up to `end` have surely expired on the runner's slow clock.
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
    from + span.mul_f64(1.0 + CLOCK_DRIFT) + ROUNDING_ALLOWANCE
}

/// When everything that planners before granted has surely expired, for a takeover that the store
/// answered at `answered`.
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
