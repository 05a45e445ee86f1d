//! How long leases on workers may last, and when they have surely expired.
//!
//! A planner is sure of its ownership as of the moment at which it *sent* a write or read that the
//! store answered under its epoch. A grant reaches no further than [`OWNERSHIP_SPAN`] after that moment, and
//! counts from a time that the agent itself has sent, so that neither a delayed message nor a pause can
//! stretch it. A takeover is written after every such moment of the planner before; hence everything
//! that was granted before has expired one span, stretched by the drift of clocks, after the
//! takeover's answer.

use std::time::Duration;
use std::time::Instant;

/// Longest time from a proof of ownership to the end of leases granted under it. A little less than
/// [`LONGEST_LEASE`] is used in full and outlives a usual outage of the store.
pub const OWNERSHIP_SPAN: Duration = Duration::from_millis(9_600);
/// Longest lease that a runner keeps, whatever it is given.
pub const LONGEST_LEASE: Duration = Duration::from_secs(10);
/// How much slower than ours a runner's clock may be: 2 % by the platform's word, and 1 % between
/// the steady clocks of the planner's and the agent's hosts.
const CLOCK_DRIFT: f64 = 0.031;
/// Time for the steps that are not covered by the drift, such as rounding to milliseconds.
const ROUNDING: Duration = Duration::from_millis(50);

/// How long after `received`, the arrival of an agent's time stamp, leases may last.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use greengagearch::workflow::grant::OWNERSHIP_SPAN;
/// use greengagearch::workflow::grant::grant_span;
///
/// let proof = Instant::now();
/// let received = proof + Duration::from_secs(1);
/// assert_eq!(grant_span(proof, received), OWNERSHIP_SPAN - Duration::from_secs(1));
/// ```
pub fn grant_span(proof: Instant, received: Instant) -> Duration {
    (proof + OWNERSHIP_SPAN).saturating_duration_since(received)
}

/// When leases that were granted up to `end` have surely expired on the runner's slow clock.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use greengagearch::workflow::grant::surely_expired;
///
/// let now = Instant::now();
/// assert!(surely_expired(now, Duration::from_secs(10)) > now + Duration::from_secs(10));
/// ```
pub fn surely_expired(from: Instant, span: Duration) -> Instant {
    from + span.mul_f64(1.0 + CLOCK_DRIFT) + ROUNDING
}

/// When everything that planners before granted has surely expired, for a takeover that the store
/// answered at `answered`.
///
/// ```
/// use std::time::Instant;
///
/// use greengagearch::workflow::grant::OWNERSHIP_SPAN;
/// use greengagearch::workflow::grant::predecessors_expired;
///
/// let now = Instant::now();
/// assert!(predecessors_expired(now) > now + OWNERSHIP_SPAN);
/// ```
pub fn predecessors_expired(answered: Instant) -> Instant {
    surely_expired(answered, OWNERSHIP_SPAN)
}
