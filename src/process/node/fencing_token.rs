//! Fencing tokens of calls to the runner.
//!
//! A runner refuses tokens that are lower than the highest it has seen, and a new life has seen none. Calls that were meant for the
//! life before may come late to the one that follows under its id. So each life has tokens of its own, and what is left of former lives
//! is refused as soon as the present one has been called.

use crate::ids::FencingToken;
use crate::ids::PlannerEpoch;
use crate::ids::StartMillis;

/// Bits of a token for the lives under one epoch.
const INSTANCE_BITS: u32 = 32;
/// Bits of a start time that are left out, so that lives of two years are told apart: those of one id begin further apart than 16 ms.
const START_TIME_SHIFT: u32 = 4;

/// The token of calls for a life under an epoch: of two epochs the later has the higher, then of two lives. A life that started
/// earlier by a clock that was put back may find itself called with a higher one; `raise` takes its own above that.
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
    // The low bits of the start time: lives of more than two years are not told apart.
    let instance = (started_at.unwrap_or(0) >> START_TIME_SHIFT) as u32;
    (epoch << INSTANCE_BITS) | u64::from(instance.saturating_add(increment))
}
