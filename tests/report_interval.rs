//! The load of a large fleet at rest: reports of agents on which nothing has happened. Played without a network.

mod planning;

use std::time::Duration;

use greengagearch::process::planning::evacuation_watch::order_validity;
use greengagearch::workflow::grant::OWNERSHIP_VALIDITY;
use greengagearch::workflow::report_interval::report_interval;
use greengagearch::workflow::report_interval::silence_timeout;

use crate::planning::PlannedFleet;

/// Upper bound of what the planner takes for a report: all that it takes at 800 workers, divided by its reports.
const REPORT_SECONDS: f64 = 0.000_1;
/// Share of a core of the weakest host that plans at the largest deployment.
const WEAK_SHARE: f64 = 0.12;

fn load(workers: usize) -> f64 {
    workers as f64 / report_interval(workers).as_secs_f64() * REPORT_SECONDS
}

#[test]
fn a_weak_host_can_take_in_the_reports_of_the_largest_deployment() {
    assert!(load(800) < WEAK_SHARE, "{}", load(800));
}

/// At twice the size, one host with a whole core has less to do than at the fixed interval of before.
#[test]
fn twice_as_many_workers_report_less_than_before() {
    let before = 800.0 / 0.4 * REPORT_SECONDS;
    assert!(load(1_600) < before, "{} before {before}", load(1_600));
}

/// Guards against leases and start orders that lapse between two reports.
#[test]
fn reports_come_several_times_within_a_lease() {
    let longest = silence_timeout(report_interval(usize::MAX));
    assert!(longest * 4 < OWNERSHIP_VALIDITY);
    assert!(report_interval(usize::MAX) * 2 < order_validity(Duration::from_secs(5)));
}

/// Guards against workers that count as silent because they report as seldom as they are asked to.
#[test]
fn workers_of_a_large_fleet_are_not_silent_between_reports() {
    let names: Vec<String> = (0..1_000).map(|number| format!("i-{number}")).collect();
    let runners: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut fleet = PlannedFleet::new(&runners);
    fleet.planner.on_tick();
    let interval = fleet.planner.report_interval();
    assert_eq!(interval, Duration::from_secs(1));
    fleet.report_all();
    fleet.pass(interval + Duration::from_millis(700));
    fleet.submit("job", planning::job(vec![planning::step(1, 100)]));
    fleet.plan();
    assert_eq!(fleet.planner.load().open_workers, 1_000);
}
