//! When a process may take over planning from an owner that has released it or is silent.
//!
//! Answers the load at the loss of an owner in a large fleet. All processes notice it at the same
//! moment; if all of them wrote, their transactions would queue in one partition of the store, and
//! on a slow store for longer than the takeover timeout. They therefore take turns, in an order that
//! differs from epoch to epoch. A new owner has to contact every node agent, which a weak host may
//! not manage within the takeover timeout; the timeout therefore grows while one owner after another
//! fails before it has contacted them.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::PlannerEpoch;
use crate::process::planning::rows::OwnerRow;

/// Time without a heartbeat after which another process takes over. Heartbeats are written every
/// 0.4 s; the timeout also covers one heartbeat at a store that is sixty times slower than usual.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Additional delay of a process with no share of a core, proportionally less for a larger share,
/// so that the process with the most processor time takes over first.
const SHARE_STAGGER: Duration = Duration::from_millis(400);
/// Additional delay, scaled like [`SHARE_STAGGER`], after the owner has released the ownership. A
/// host with half a core takes over 60 ms before one with an eighth, which is longer than the
/// notification and the write take.
const RELEASE_STAGGER: Duration = Duration::from_millis(150);
/// Maximum number of times that the takeover timeout is doubled. The longest timeout exceeds the
/// validity of leases, within which every agent has been contacted or given up.
const MAX_DOUBLINGS: u32 = 3;
/// Delay from one turn to the next while the owner is silent: a takeover with a margin for the
/// notification of the others, at a store that is ten times slower than usual.
const SILENT_TURN: Duration = Duration::from_millis(60);
/// The same after a release, when the store is known to answer.
const RELEASED_TURN: Duration = Duration::from_millis(20);

/// Time after the last change of the owner's row or heartbeat at which a process may take over
/// planning, if it is its turn first. `own_address` is the address of that process, `share` its
/// share of a core.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::process::planning::takeover_delay::takeover_delay;
///
/// assert_eq!(takeover_delay(None, "10.0.0.1:7000", 0.5), Duration::ZERO);
/// ```
pub fn takeover_delay(owner: Option<&OwnerRow>, own_address: &str, share: f64) -> Duration {
    // At most one process runs at an address, so a row with this address was written by an earlier
    // run that has ended.
    let Some(owner) = owner.filter(|owner| owner.address != own_address) else {
        return Duration::ZERO;
    };
    let missing_share = 1.0 - share.clamp(0.0, 1.0);
    if owner.released {
        RELEASE_STAGGER.mul_f64(missing_share)
    } else {
        let doublings = owner.unsettled_takeovers.min(MAX_DOUBLINGS);
        TAKEOVER_TIMEOUT * 2_u32.pow(doublings) + SHARE_STAGGER.mul_f64(missing_share)
    }
}

/// Additional delay until a process's turn. The processes are ordered by a hash of their addresses
/// and the owner's epoch, and every turn is that of twice as many processes as the one before: the
/// first one alone, then two, then four. The last turn therefore comes after a time that grows with
/// the logarithm of their number, however many of the first ones are gone.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::process::planning::takeover_delay::turn_delay;
///
/// assert_eq!(turn_delay(None, "10.0.0.1:7000", &[]), Duration::ZERO);
/// ```
pub fn turn_delay(owner: Option<&OwnerRow>, own_address: &str, peers: &[String]) -> Duration {
    let Some(owner) = owner.filter(|owner| owner.address != own_address) else {
        return Duration::ZERO;
    };
    let own_position = turn_key(owner.epoch, own_address);
    let earlier = peers.iter().filter(|peer| **peer != owner.address && *peer != own_address);
    let rank = earlier.filter(|peer| turn_key(owner.epoch, peer) < own_position).count();
    let turn = (rank + 1).ilog2();
    turn * if owner.released { RELEASED_TURN } else { SILENT_TURN }
}

fn turn_key(epoch: PlannerEpoch, address: &str) -> u64 {
    xxh3_64(format!("{epoch}/{address}").as_bytes())
}

/// Number of takeovers in a row, the next one included, from owners that had not settled: those that
/// fell silent before they had contacted all node agents.
///
/// ```
/// use greengagearch::process::planning::takeover_delay::unsettled_takeovers;
///
/// assert_eq!(unsettled_takeovers(None, false), 0);
/// ```
pub fn unsettled_takeovers(owner: Option<&OwnerRow>, has_settled: bool) -> u32 {
    match owner {
        Some(owner) if !has_settled && !owner.released => {
            owner.unsettled_takeovers.saturating_add(1)
        }
        _ => 0,
    }
}
