//! Where tasks that fill go beside tasks that serve, by what was learned of their images.

mod planning;

use greengagearch::workflow::learned_interference::LearnedInterference;
use greengagearch::workflow::learned_interference::MinTailLatency;
use greengagearch::workflow::learned_interference::PairInterference;
use greengagearch::workflow::spec::StepSpec;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::step;

const TARGET_MS: u64 = 50;
const IDLE_TAIL_MS: f64 = 10.0;

fn pair(serving: &str, best_effort: &str, added_load: f64) -> PairInterference {
    let (serving, best_effort) = (serving.to_string(), best_effort.to_string());
    PairInterference { serving, best_effort, added_load, variance: 0.000_1 }
}

fn learned(pairs: Vec<PairInterference>) -> LearnedInterference {
    let tail = |image: &str| MinTailLatency { image: image.to_string(), tail_ms: IDLE_TAIL_MS };
    LearnedInterference { pairs, min_tails: ["s", "other"].map(tail).to_vec() }
}

fn serving(image: &str) -> StepSpec {
    let image = image.to_string();
    StepSpec { long_running: true, target_ms: TARGET_MS, image, ..step(1, 3_000) }
}

fn filling(image: &str) -> StepSpec {
    StepSpec { best_effort: true, image: image.to_string(), ..step(1, 200) }
}

/// Lets some rounds pass in which every task that serves shows a tail.
fn serve(fleet: &mut PlannedFleet, tail_ms: u64) {
    for _ in 0..5 {
        fleet.round();
        let runs = fleet.runners.values_mut().flat_map(|runner| runner.present.values_mut());
        runs.for_each(|run| run.usage = tail_ms);
    }
}

fn worker_of(fleet: &PlannedFleet, job: &str) -> Option<String> {
    let running = fleet.running().into_iter();
    running.filter(|(_, key)| key.0.job == job).map(|(worker, _)| worker).next()
}

/// At the target there is no room for what is heavy, but slowing that down leaves room for what is light.
#[test]
fn a_light_fill_is_placed_beside_what_is_at_its_target_and_a_heavy_one_is_not() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.planner.restore_learned(learned(vec![pair("s", "light", 0.01), pair("s", "heavy", 0.2)]));
    fleet.submit("serving", job(vec![serving("s")]));
    serve(&mut fleet, TARGET_MS);
    fleet.submit("heavy", job(vec![filling("heavy")]));
    fleet.submit("light", job(vec![filling("light")]));
    (0..3).for_each(|_| fleet.round());
    assert_eq!(worker_of(&fleet, "heavy"), None);
    assert_eq!(worker_of(&fleet, "light").as_deref(), Some("i-1"));
}

/// The less loaded worker stays free for those that are light there.
#[test]
fn a_fill_goes_where_it_is_light_rather_than_where_there_is_least_load() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    fleet.planner.restore_learned(learned(vec![pair("s", "f", 0.01), pair("other", "f", 0.12)]));
    fleet.submit("a-serving", job(vec![serving("s")]));
    fleet.submit("b-serving", job(vec![serving("other")]));
    fleet.round();
    let light = worker_of(&fleet, "a-serving");
    assert_ne!(light, worker_of(&fleet, "b-serving"));
    for _ in 0..5 {
        fleet.round();
        for runner in fleet.runners.values_mut() {
            for (key, run) in &mut runner.present {
                run.usage = if key.0.job == "a-serving" { 22 } else { 14 };
            }
        }
    }
    fleet.submit("fill", job(vec![filling("f")]));
    fleet.round();
    assert_eq!(worker_of(&fleet, "fill"), light);
}

/// Fills that are slowed beside what serves leave no room for more, however light: all would only take longer.
#[test]
fn a_worker_whose_fills_are_slowed_gets_no_more_of_them() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.planner.restore_learned(learned(vec![pair("s", "f", 0.02)]));
    fleet.submit("serving", job(vec![serving("s")]));
    serve(&mut fleet, TARGET_MS);
    fleet.submit("first", job(vec![filling("f")]));
    fleet.round();
    assert_eq!(worker_of(&fleet, "first").as_deref(), Some("i-1"));
    pace(&mut fleet, "first", 40);
    fleet.submit("second", job(vec![filling("f")]));
    fleet.round();
    assert_eq!(worker_of(&fleet, "second"), None);
    pace(&mut fleet, "first", 80);
    (0..2).for_each(|_| fleet.round());
    assert_eq!(worker_of(&fleet, "second").as_deref(), Some("i-1"));
}

/// Lets the agents slow the fills of a job, and report.
fn pace(fleet: &mut PlannedFleet, job: &str, percent: u32) {
    let runs = fleet.runners.values_mut().flat_map(|runner| &mut runner.present);
    for (_, run) in runs.filter(|(key, _)| key.0.job == job) {
        run.pace_percent = percent;
    }
    fleet.report_all();
}
