//! An entry's view of one service: slots, the queue, refusals, endpoints that fail or leave.

use std::time::Duration;
use std::time::Instant;

use assert_matches::assert_matches;
use greengagearch::request::deadline_queue::QueuedRequest;
use greengagearch::request::deadline_queue::TicketNumber;
use greengagearch::request::outcome::NotRunReason;
use greengagearch::request::pool_endpoint::AgentLocation;
use greengagearch::request::pool_endpoint::EndpointKey;
use greengagearch::request::pool_endpoint::EndpointReport;
use greengagearch::request::pool_endpoint::SlotResult;
use greengagearch::request::routing::RoutingPolicy;
use greengagearch::request::service_pool::ServicePool;
use greengagearch::request::service_pool::SlotDecision;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn pool_of(slots: &[u32], now: Instant) -> ServicePool {
    let mut pool = ServicePool::new(RoutingPolicy::LeastLoaded, "a".to_string(), 0.1);
    for (number, slots) in slots.iter().enumerate() {
        let worker = format!("w{number}");
        let place = AgentLocation { worker, incarnation: 1, domain: "a".to_string() };
        let report = EndpointReport {
            endpoint: "r".to_string(),
            service: "s".to_string(),
            slots: *slots,
            in_flight: 0,
            leaving: false,
        };
        pool.on_report(&place, &[report], now);
    }
    pool
}

fn request(ticket: TicketNumber, caller: &str, deadline: Instant) -> QueuedRequest {
    QueuedRequest { ticket, deadline, caller: caller.to_string(), avoid: None }
}

#[test]
fn slots_are_never_exceeded_and_freed_slots_go_to_the_earliest_deadline() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut pool = pool_of(&[1], now);
    let second = Duration::from_secs(1);
    let (decision, _) = pool.request_slot(request(1, "c", now + second), now, &mut rng);
    let SlotDecision::Granted(key) = decision else { panic!("{decision:?}") };
    pool.request_slot(request(2, "c", now + 3 * second), now, &mut rng);
    pool.request_slot(request(3, "c", now + 2 * second), now, &mut rng);
    assert!(pool.poll(now, &mut rng).is_empty());
    pool.release(&key, SlotResult::Success(Duration::from_millis(5)), now);
    let results = pool.poll(now, &mut rng);
    assert_eq!(results.len(), 1);
    assert_eq!(results[0].ticket, 3);
}

#[test]
fn what_cannot_meet_its_deadline_is_refused_at_once_with_a_hint() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut pool = pool_of(&[1], now);
    let deadline = now + Duration::from_millis(20);
    let decisions: Vec<SlotDecision> = (0..10)
        .map(|ticket| pool.request_slot(request(ticket, "c", deadline), now, &mut rng).0)
        .collect();
    assert_matches!(decisions[0], SlotDecision::Granted(_));
    assert_matches!(decisions[1], SlotDecision::Queued);
    assert_matches!(
        decisions[9],
        SlotDecision::Refused { reason: NotRunReason::Overloaded, retry_after }
            if retry_after > Duration::ZERO
    );
}

#[test]
fn a_flood_of_one_caller_leaves_room_for_another() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut pool = pool_of(&[1], now);
    let deadline = now + Duration::from_millis(200);
    for ticket in 0..100 {
        pool.request_slot(request(ticket, "flood", deadline), now, &mut rng);
    }
    let (decision, displaced) = pool.request_slot(request(1_000, "desk", deadline), now, &mut rng);
    assert_eq!(decision, SlotDecision::Queued);
    let displaced = displaced.expect("a request of the flood gives way");
    assert_matches!(
        displaced.decision,
        SlotDecision::Refused { reason: NotRunReason::CallerShare, .. }
    );
}

#[test]
fn an_endpoint_that_fails_at_once_is_left_out() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut pool = pool_of(&[8, 8], now);
    let mut failures = 0;
    for ticket in 0..100 {
        let deadline = now + Duration::from_secs(1);
        let (decision, _) = pool.request_slot(request(ticket, "c", deadline), now, &mut rng);
        let SlotDecision::Granted(key) = decision else { panic!("{decision:?}") };
        let result = if key.worker == "w0" {
            failures += 1;
            SlotResult::Failure
        } else {
            SlotResult::Success(Duration::from_millis(5))
        };
        pool.release(&key, result, now);
    }
    assert!(failures <= 6, "{failures} requests went to the broken endpoint");
}

#[test]
fn a_leaving_endpoint_gets_nothing() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut pool = pool_of(&[8, 8], now);
    let key = EndpointKey { worker: "w0".into(), endpoint: "r".into(), incarnation: 1 };
    pool.release(&key, SlotResult::Leaving, now);
    for ticket in 0..8 {
        let deadline = now + Duration::from_secs(1);
        let (decision, _) = pool.request_slot(request(ticket, "c", deadline), now, &mut rng);
        assert_matches!(decision, SlotDecision::Granted(key) if key.worker == "w1");
    }
}
