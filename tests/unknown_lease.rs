//! Leases that the planner has not granted: a call for a former life of a runner has come to the present one.

use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::node_protocol::NodeReport;
use greengagearch::connection::node_protocol::OrderLease;
use greengagearch::connection::node_protocol::RunnerStatus;
use greengagearch::workflow::plan_decision::PlanDecision;
use greengagearch::workflow::planner::Planner;
use greengagearch::workflow::spec::ResourceVector;

const LIFE: &str = "i-1@2";

fn report(former: &[&str]) -> NodeReport {
    let status = RunnerStatus {
        instance: LIFE.to_string(),
        service: "s".to_string(),
        domain: "d".to_string(),
        capacity: ResourceVector::default(),
        labels: Vec::new(),
        draining: false,
    };
    NodeReport {
        now: Duration::ZERO,
        runner: Some(status),
        former: former.iter().map(ToString::to_string).collect(),
        unsettled: Vec::new(),
        keeps_id: false,
        in_doubt: Vec::new(),
        crashes: Vec::new(),
        snapshot: None,
    }
}

/// Whether a life that was granted a second, and is silent from then on, has been given up after `seconds`.
fn is_given_up(former: &[&str], seconds: u64) -> bool {
    let now = Instant::now();
    let mut planner = Planner::new(now);
    planner.set_time(now, 0);
    planner.on_grant(LIFE, now + Duration::from_secs(1), (OrderLease::default(), now));
    planner.on_report(report(former), true);
    planner.set_time(now + Duration::from_secs(seconds), 0);
    planner.on_tick();
    let decisions = planner.take_decisions();
    decisions.iter().any(|one| matches!(one, PlanDecision::WorkerLost { .. }))
}

/// Guards against tasks that run twice: what runs on a silent life would be started elsewhere while a lease that nobody granted keeps it
/// at work.
#[test]
fn a_life_that_follows_another_is_given_up_only_after_the_longest_lease() {
    assert!(!is_given_up(&["i-1@1"], 10));
    assert!(is_given_up(&["i-1@1"], 11));
    assert!(is_given_up(&[], 2), "nothing was meant for a life before");
}
