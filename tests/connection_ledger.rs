//! Which connection gives way when connections or memory run short.

use std::time::Duration;
use std::time::Instant;

use greengagearch::process::inbound::connection_ledger::CONNECTION_BYTES;
use greengagearch::process::inbound::connection_ledger::ConnectionEviction;
use greengagearch::process::inbound::connection_ledger::ConnectionLedger;
use greengagearch::process::inbound::connection_ledger::ConnectionNumber;
use greengagearch::process::inbound::connection_ledger::ConnectionPhase;
use greengagearch::process::inbound::connection_ledger::LedgerLimits;
use greengagearch::process::inbound::connection_ledger::NoRoom;

const BYTES: u64 = 1_000_000;

/// A ledger of four connections, which were opened one second after another.
fn open_four(phase: ConnectionPhase) -> (ConnectionLedger, [ConnectionNumber; 4], Instant) {
    let start = Instant::now();
    let mut ledger = ConnectionLedger::new(LedgerLimits { connections: 4, bytes: BYTES });
    let numbers = [0, 1, 2, 3].map(|second| {
        let now = start + Duration::from_secs(second);
        let (number, evicted) = ledger.open(0, 10, now).unwrap();
        assert_eq!(evicted, None);
        ledger.begin_phase(number, phase, now);
        number
    });
    (ledger, numbers, start + Duration::from_secs(4))
}

#[test]
fn the_connection_that_waited_longest_for_its_peer_gives_way() {
    let (mut ledger, [first, second, ..], now) = open_four(ConnectionPhase::Head);
    ledger.begin_phase(first, ConnectionPhase::Idle, now);
    let (_, evicted) = ledger.open(0, 10, now).unwrap();
    assert_eq!(evicted, Some(ConnectionEviction::Close(second)));
    assert_eq!(ledger.connections(), 4);
}

/// Guards against a response that is lost because others connect.
#[test]
fn a_connection_whose_request_is_worked_on_never_gives_way() {
    let (mut ledger, numbers, now) = open_four(ConnectionPhase::Working);
    assert_eq!(ledger.open(0, 10, now), Err(NoRoom));
    ledger.begin_phase(numbers[3], ConnectionPhase::Answering, now);
    let (_, evicted) = ledger.open(0, 10, now).unwrap();
    assert_eq!(evicted, Some(ConnectionEviction::Close(numbers[3])));
}

/// Guards against a crowd at one listener that closes the connections of another with a limit of its
/// own.
#[test]
fn a_full_listener_makes_room_among_its_own_connections() {
    let now = Instant::now();
    let mut ledger = ConnectionLedger::new(LedgerLimits { connections: 4, bytes: BYTES });
    ledger.open(0, 10, now).unwrap();
    let (own, _) = ledger.open(1, 1, now + Duration::from_secs(1)).unwrap();
    let (_, evicted) = ledger.open(1, 1, now + Duration::from_secs(2)).unwrap();
    assert_eq!(evicted, Some(ConnectionEviction::Close(own)));
}

#[test]
fn the_unfinished_request_that_waited_longest_gives_its_memory() {
    let (mut ledger, [first, second, third, fourth], now) = open_four(ConnectionPhase::Body);
    for number in [first, second, third] {
        assert_eq!(ledger.hold(number, 300_000), Ok(Vec::new()));
    }
    ledger.begin_phase(first, ConnectionPhase::Working, now);
    assert_eq!(ledger.hold(fourth, 300_000), Ok(vec![ConnectionEviction::Refuse(second)]));
    assert_eq!(ledger.used_bytes(), 3 * CONNECTION_BYTES + 900_000);
}

/// Guards against evictions for the sake of a request that cannot be received all the same.
#[test]
fn memory_of_requests_that_are_worked_on_is_not_given() {
    let (mut ledger, [first, second, ..], _) = open_four(ConnectionPhase::Working);
    ledger.hold(first, 900_000).unwrap();
    assert_eq!(ledger.hold(second, 300_000), Err(NoRoom));
    ledger.close(first);
    assert_eq!(ledger.hold(second, 300_000), Ok(Vec::new()));
}

#[test]
fn an_evicted_connection_holds_nothing_and_takes_no_more() {
    let (mut ledger, [first, ..], _) = open_four(ConnectionPhase::Body);
    ledger.hold(first, 500_000).unwrap();
    assert_eq!(ledger.evict_unfinished(0).len(), 4);
    assert_eq!((ledger.connections(), ledger.used_bytes()), (0, 0));
    assert_eq!(ledger.hold(first, 1), Err(NoRoom));
    ledger.close(first);
    assert_eq!(ledger.connections(), 0);
}

#[test]
fn little_memory_lowers_the_limit_on_connections() {
    let now = Instant::now();
    let limits = LedgerLimits { connections: 1_000, bytes: 4 * CONNECTION_BYTES };
    let mut ledger = ConnectionLedger::new(limits);
    let evicted = [0, 1, 2].map(|_| ledger.open(0, 1_000, now).unwrap().1.is_some());
    assert_eq!(evicted, [false, false, true]);
}
