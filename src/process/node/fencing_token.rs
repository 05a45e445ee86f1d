//! Fencing tokens of calls to the runner.
//!
//! A runner rejects tokens lower than the highest that it has seen, and a new instance has seen
//! none. Delayed calls meant for an instance may reach its successor under the same id. Each
//! instance therefore has tokens of its own, and delayed calls meant for its predecessors are
//! rejected once the current one has been called.

use crate::ids::FencingToken;
use crate::ids::PlannerEpoch;
use crate::ids::StartMillis;

/// Bits of a token that distinguish the instances under one epoch.
const INSTANCE_BITS: u32 = 32;
/// Low bits of the start time that are dropped, so that 32 bits cover two years: instances under
/// one id start more than 16 ms apart.
const START_TIME_SHIFT: u32 = 4;

/// Returns the token of calls to an instance under an epoch. Tokens are ordered by epoch first,
/// then by the start of the instance. If the clock was set back, an instance may have been called
/// with the higher token of a predecessor; `increment` raises its own above that.
///
/// ```
/// use greengagearch::process::node::fencing_token::fencing_token;
///
/// assert!(fencing_token(3, Some(100), 0) < fencing_token(3, Some(200), 0));
/// assert!(fencing_token(3, Some(200), 0) < fencing_token(3, Some(100), 100));
/// assert!(fencing_token(3, Some(200), u32::MAX) < fencing_token(4, None, 0));
/// ```
pub fn fencing_token(
    epoch: PlannerEpoch,
    started_at: Option<StartMillis>,
    increment: u32,
) -> FencingToken {
    // Keeps the low bits: instances that start more than two years apart may get the same token.
    let instance = (started_at.unwrap_or(0) >> START_TIME_SHIFT) as u32;
    (epoch << INSTANCE_BITS) | u64::from(instance.saturating_add(increment))
}
