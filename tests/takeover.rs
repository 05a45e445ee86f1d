//! The load at the loss of an owner in a large fleet: all processes notice it at the same moment, and a
//! weak host needs long to contact all agents. Played without a network.

use std::collections::BTreeMap;
use std::time::Duration;

use greengagearch::process::planning::rows::OwnerRow;
use greengagearch::process::planning::takeover_delay::takeover_delay;
use greengagearch::process::planning::takeover_delay::turn_delay;
use greengagearch::process::planning::takeover_delay::unsettled_takeovers;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Entry hosts of the largest deployment, and twice as many.
const FLEETS: [usize; 2] = [184, 368];
/// Share of the hosts that are killed with the owner.
const KILLED: f64 = 0.55;
const EPOCHS: u64 = 200;
/// Transactions of a partition of the store while it is sixty times slower than usual.
const SLOW_TRANSACTION: Duration = Duration::from_millis(180);
/// Time without a heartbeat after which a process takes over.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_400);

fn address(number: usize) -> String {
    format!("10.{}.{}.7:7720", number / 200, number % 200)
}

fn owner(epoch: u64, unsettled_takeovers: u32) -> OwnerRow {
    OwnerRow {
        epoch,
        holder: "h".to_string(),
        address: address(0),
        released: false,
        unsettled_takeovers,
    }
}

/// Number of processes by the delay of their turn, among those that `lives`.
fn turns(fleet: usize, epoch: u64, mut lives: impl FnMut() -> bool) -> BTreeMap<Duration, usize> {
    let peers: Vec<String> = (0..fleet).map(address).collect();
    let mut turns = BTreeMap::new();
    for own in peers.iter().skip(1).filter(|_| lives()) {
        *turns.entry(turn_delay(Some(&owner(epoch, 0)), own, &peers)).or_default() += 1;
    }
    turns
}

/// Guards against a queue of takeovers at a slow store, in which the heartbeats of the one that succeeds wait
/// for longer than the takeover timeout.
#[test]
fn few_processes_take_over_at_the_same_moment() {
    let mut random = StdRng::seed_from_u64(1);
    for fleet in FLEETS {
        let mut writes = 0;
        for epoch in 1..=EPOCHS {
            let turns = turns(fleet, epoch, || !random.random_bool(KILLED));
            writes += turns.first_key_value().map_or(0, |(_, count)| *count);
        }
        let mean = writes as f64 / EPOCHS as f64;
        let queue = SLOW_TRANSACTION.mul_f64(mean);
        assert!(queue < TAKEOVER_TIMEOUT, "{fleet} hosts: {mean} takeovers at once, {queue:?}");
    }
}

#[test]
fn the_first_turn_is_that_of_one_process_and_differs_between_epochs() {
    let mut first = BTreeMap::new();
    let peers: Vec<String> = (0..FLEETS[0]).map(address).collect();
    for epoch in 1..=EPOCHS {
        assert_eq!(turns(FLEETS[0], epoch, || true).get(&Duration::ZERO), Some(&1));
        let is_first = |own: &&String| turn_delay(Some(&owner(epoch, 0)), own, &peers).is_zero();
        let own = peers.iter().skip(1).find(is_first).unwrap();
        *first.entry(own).or_insert(0) += 1;
    }
    assert!(first.len() > 100, "{}", first.len());
}

/// Guards against a wait that grows with the fleet: the callers' quick jobs have about a second.
#[test]
fn the_last_turn_comes_within_half_a_second() {
    for fleet in FLEETS {
        let turns = turns(fleet, 7, || true);
        let (last, _) = turns.last_key_value().unwrap();
        assert!(*last < Duration::from_millis(500), "{fleet} hosts: {last:?}");
    }
}

/// Seen with 184 hosts of an eighth of a core: each owner was replaced before it had contacted its 800 agents, ten
/// times in a row.
#[test]
fn an_owner_whose_predecessors_were_replaced_too_early_gets_more_time() {
    let mut row = owner(1, 0);
    let mut timeout = takeover_delay(Some(&row), &address(1), 0.12);
    for _ in 0..3 {
        row.unsettled_takeovers = unsettled_takeovers(Some(&row), false);
        let next = takeover_delay(Some(&row), &address(1), 0.12);
        assert!(next >= timeout + TAKEOVER_TIMEOUT, "{next:?} after {timeout:?}");
        timeout = next;
    }
    assert!(timeout < Duration::from_secs(12), "{timeout:?}");
}

#[test]
fn an_owner_that_had_settled_or_released_is_replaced_as_usual() {
    let row = owner(5, 3);
    assert_eq!(unsettled_takeovers(Some(&row), true), 0);
    let released = OwnerRow { released: true, ..row };
    assert_eq!(unsettled_takeovers(Some(&released), false), 0);
}
