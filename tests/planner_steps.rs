//! Steps of every kind as the planner starts them: gangs, occurrences, lasting and filling tasks, copies, advice.

mod planning;

use std::time::Duration;

use assert_matches::assert_matches;
use greengagearch::connection::node_protocol::NodeOrder;
use greengagearch::workflow::progress::JobEnd;
use greengagearch::workflow::progress::JobStatus;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::AdvicePolicy;
use greengagearch::workflow::spec::StepSpec;
use greengagearch::workflow::spec::WorkflowSpec;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::step;

const COMPLETED: Option<JobStatus> = Some(JobStatus::Ended(JobEnd::Completed));

#[test]
fn labels_and_the_bound_on_one_worker_hold() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2", "i-3"]);
    let bound = StepSpec { max_per_worker: 1, ..step(4, 100) };
    let labelled = StepSpec { required_label: "r1".to_string(), ..step(2, 100) };
    fleet.submit("a", job(vec![bound, labelled]));
    fleet.round();
    let running = fleet.running();
    assert_eq!(running.iter().filter(|(_, key)| key.0.step == 0).count(), 3);
    assert!(running.iter().filter(|(_, key)| key.0.step == 1).all(|(on, _)| on == "i-3"));
}

#[test]
fn a_gang_starts_whole_or_not_at_all_and_one_end_stands_for_all() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    let gang = StepSpec { gang: true, ..step(3, 1_000) };
    fleet.submit("big", job(vec![StepSpec { gang: true, ..step(5, 1_000) }]));
    fleet.submit("a", job(vec![gang]));
    fleet.round();
    let running = fleet.running();
    assert_eq!(running.len(), 3);
    assert!(running.iter().all(|(_, key)| key.0.job == "a" && key.1 == 1));
    let (instance, key) = running[0].clone();
    fleet.end(&instance, &key, RunEnd::Done, "");
    fleet.round();
    fleet.round();
    assert_eq!(fleet.planner.status("a"), COMPLETED);
}

#[test]
fn a_gang_that_broke_fails_once_and_starts_again_under_one_higher_number() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![StepSpec { gang: true, ..step(3, 1_000) }]));
    fleet.round();
    let running = fleet.running();
    for (position, (instance, key)) in running.iter().enumerate() {
        let end = if position < 2 { RunEnd::Failed } else { RunEnd::Broken };
        fleet.end(instance, key, end, "");
    }
    fleet.round();
    fleet.round();
    assert!(fleet.running().iter().all(|(_, key)| key.1 == 2));
    assert_eq!(fleet.running().len(), 3);
}

/// Guards against a gang that never works again: its members ended with checkpoints of their own, were started with these, and waited for
/// each other in vain.
#[test]
fn a_gang_starts_again_with_one_checkpoint_for_all_members() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![StepSpec { gang: true, checkpoints: true, ..step(3, 1_000) }]));
    fleet.round();
    let ends = [(RunEnd::Stopped, "c9"), (RunEnd::Broken, "c7"), (RunEnd::Broken, "")];
    for ((instance, key), (end, checkpoint)) in fleet.running().iter().zip(ends) {
        fleet.end(instance, key, end, checkpoint);
    }
    fleet.report_all();
    fleet.store();
    fleet.take_over(fleet.now());
    fleet.report("i-1", true);
    fleet.plan();
    let orders = fleet.planner.take_orders().into_iter();
    let started = orders.filter_map(|(_, order)| match order {
        NodeOrder::Start(start) => Some((start.run, start.checkpoint)),
        _ => None,
    });
    let started: Vec<(u32, String)> = started.collect();
    assert_eq!(started, vec![(2, started[0].1.clone()); 3]);
    assert!(["c7", "c9"].contains(&started[0].1.as_str()), "{started:?}");
}

#[test]
fn occurrences_start_when_they_are_due_and_may_overlap() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    let timed = WorkflowSpec {
        times: 2,
        first_due_ms: fleet.wall_ms + 300,
        interval_ms: 200,
        ..job(vec![step(1, 500)])
    };
    fleet.submit("a", timed);
    fleet.round();
    assert!(fleet.running().is_empty());
    (0..4).for_each(|_| fleet.round());
    assert_eq!(fleet.running().len(), 1);
    (0..2).for_each(|_| fleet.round());
    let occurrences: Vec<u32> = fleet.running().iter().map(|(_, key)| key.0.occurrence).collect();
    assert_eq!(occurrences, [0, 1]);
    assert_eq!(fleet.finish("a", 4), COMPLETED);
}

#[test]
fn a_lasting_task_starts_again_however_it_ends() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![StepSpec { long_running: true, ..step(1, 500) }]));
    for run in 1..6 {
        fleet.round();
        assert_matches!(fleet.running().as_slice(), [(_, (_, found))] if *found == run);
        fleet.end_all(RunEnd::Failed);
        fleet.round();
    }
}

#[test]
fn a_task_resumes_from_its_newest_saved_work() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    fleet.submit("a", job(vec![StepSpec { checkpoints: true, ..step(1, 500) }]));
    fleet.round();
    let (instance, key) = fleet.running()[0].clone();
    fleet.end(&instance, &key, RunEnd::Failed, "saved-1");
    fleet.report(&instance, false);
    fleet.plan();
    let orders = fleet.planner.take_orders();
    assert_matches!(&orders[0].1, NodeOrder::Start(start) if start.checkpoint == "saved-1");
}

/// Fills may be kept from workers on which something serves, but never for long.
#[test]
fn a_fill_that_finds_no_quiet_worker_starts_beside_what_serves() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    let serving = StepSpec { long_running: true, target_ms: 50, ..step(1, 500) };
    fleet.submit("s", job(vec![serving]));
    fleet.round();
    let fill = StepSpec { best_effort: true, image: "f".to_string(), ..step(2, 3_900) };
    fleet.submit("a", job(vec![fill]));
    (0..20).for_each(|_| fleet.round());
    assert!(fleet.running().iter().any(|(_, key)| key.0.job == "a"));
}

#[test]
fn a_queue_that_needs_advice_starts_only_where_it_is_allowed_with_the_ticket() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    let mut advised = job(vec![step(2, 500)]);
    advised.policy.advice = Some(AdvicePolicy { decide_ms: 10, each_ms: 1, valid_ms: 3_000 });
    fleet.submit("a", advised);
    fleet.round();
    assert!(fleet.running().is_empty(), "nothing starts without advice");
    let questions = fleet.planner.take_advice_queries();
    assert_eq!(questions.len(), 1);
    assert_eq!(questions[0].workers, ["i-1", "i-2"]);
    let allowed = vec![("i-2".to_string(), "t".to_string())];
    fleet.planner.on_advice(Some((allowed, Duration::from_secs(3))), fleet.now());
    fleet.plan();
    let orders = fleet.planner.take_orders();
    assert_eq!(orders.len(), 2);
    for (instance, order) in &orders {
        assert_eq!(instance, "i-2");
        assert_matches!(order, NodeOrder::Start(start) if start.ticket.as_deref() == Some("t"));
    }
}

#[test]
fn an_expired_ticket_is_asked_for_again_and_not_used() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    let mut advised = job(vec![step(1, 500)]);
    advised.policy.advice = Some(AdvicePolicy { decide_ms: 10, each_ms: 1, valid_ms: 500 });
    fleet.submit("a", advised);
    fleet.round();
    fleet.planner.take_advice_queries();
    let asked_at = fleet.now();
    fleet.pass(Duration::from_millis(300));
    fleet.report_all();
    let allowed = vec![("i-1".to_string(), "t".to_string())];
    fleet.planner.on_advice(Some((allowed, Duration::from_millis(500))), asked_at);
    fleet.round();
    assert!(fleet.running().is_empty());
    assert_eq!(fleet.planner.take_advice_queries().len(), 1);
}

#[test]
fn a_gang_that_needs_one_rack_gets_it_when_it_has_room() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2", "i-3", "i-4"]);
    fleet.submit("x", job(vec![step(3, 1_000)]));
    fleet.round();
    let gang = StepSpec { gang: true, colocated: true, ..step(6, 1_000) };
    fleet.submit("a", job(vec![gang]));
    fleet.round();
    let workers: Vec<String> = fleet
        .running()
        .into_iter()
        .filter(|(_, key)| key.0.job == "a")
        .map(|(worker, _)| worker)
        .collect();
    assert_eq!(workers.len(), 6);
    assert!(workers.iter().all(|worker| worker == "i-3" || worker == "i-4"), "{workers:?}");
}

#[test]
fn a_slow_task_gets_one_copy_where_that_is_allowed_and_the_first_end_counts() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    fleet.submit("a", job(vec![StepSpec { speculative: true, ..step(1, 500) }]));
    fleet.submit("b", job(vec![step(1, 500)]));
    (0..20).for_each(|_| fleet.round());
    let of = |fleet: &PlannedFleet, job: &str| {
        fleet.running().into_iter().filter(|(_, key)| key.0.job == job).collect::<Vec<_>>()
    };
    let copies = of(&fleet, "a");
    assert_eq!(copies.len(), 2);
    assert_ne!(copies[0].0, copies[1].0);
    assert_eq!(of(&fleet, "b").len(), 1, "no copy where none is allowed");
    let (worker, key) = copies[1].clone();
    fleet.end(&worker, &key, RunEnd::Done, "");
    (0..3).for_each(|_| fleet.round());
    assert_eq!(fleet.planner.status("a"), COMPLETED);
    assert!(of(&fleet, "a").is_empty(), "the other copy is stopped");
}

#[test]
fn what_lasts_leaves_a_worker_that_is_leaving() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    fleet.submit("a", job(vec![StepSpec { long_running: true, ..step(1, 500) }]));
    fleet.submit("b", job(vec![step(1, 500)]));
    fleet.round();
    let (leaving, _) = fleet.running()[0].clone();
    fleet.runners.get_mut(&leaving).unwrap().draining = true;
    (0..4).for_each(|_| fleet.round());
    let running = fleet.running();
    let worker_of = |job: &str| {
        running.iter().find(|(_, key)| key.0.job == job).map(|(worker, _)| worker.clone())
    };
    assert_ne!(worker_of("a").as_deref(), Some(leaving.as_str()));
    assert_eq!(worker_of("b").as_deref(), Some(leaving.as_str()), "what saves nothing ends there");
}

/// Seen on fresh-1a92 of bridgeway: three planners in a row began to learn from nothing.
#[test]
fn a_planner_that_takes_over_knows_what_was_learned_of_images() {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    let serving =
        StepSpec { long_running: true, target_ms: 50, image: "s".to_string(), ..step(1, 500) };
    let fill = StepSpec { best_effort: true, image: "f".to_string(), ..step(1, 3_000) };
    fleet.submit("s", job(vec![serving]));
    fleet.round();
    fleet.submit("a", job(vec![fill]));
    for _ in 0..40 {
        fleet.round();
        for run in fleet.runners.get_mut("i-1").unwrap().present.values_mut() {
            run.usage = 30;
        }
    }
    let learned = fleet.planner.learned();
    assert_eq!(learned.pairs.len(), 1);
    assert_eq!(learned.min_tails.len(), 1);
    let known = fleet.planner.learned_summary();
    let stored = serde_json::to_vec(&learned).unwrap();
    fleet.take_over(fleet.now());
    assert_eq!(fleet.planner.learned_summary(), "");
    fleet.planner.restore_learned(serde_json::from_slice(&stored).unwrap());
    assert_eq!(fleet.planner.learned_summary(), known);
}

/// A fleet on which a task serves, and whose planner has just taken over; leases of the planner before last on for
/// ten seconds.
fn taken_over_while_serving() -> PlannedFleet {
    let mut fleet = PlannedFleet::new(&["i-1"]);
    let serving =
        StepSpec { long_running: true, target_ms: 50, image: "s".to_string(), ..step(1, 500) };
    fleet.submit("s", job(vec![serving]));
    fleet.round();
    let inherited_lease_end = fleet.now() + Duration::from_secs(10);
    fleet.take_over(inherited_lease_end);
    fleet.report("i-1", true);
    fleet
}

#[test]
fn a_planner_that_takes_over_tells_agents_at_once_what_it_learns() {
    let mut fleet = taken_over_while_serving();
    fleet.deliver();
    let mut told = 0;
    for _ in 0..8 {
        for run in fleet.runners.get_mut("i-1").unwrap().present.values_mut() {
            run.usage = 30;
        }
        fleet.pass(Duration::from_millis(100));
        fleet.report_all();
        fleet.plan();
        let orders = fleet.deliver();
        let describes = orders.iter().filter(|(_, order)| matches!(order, NodeOrder::Describe(_)));
        told += describes.count();
    }
    assert!(told > 0, "the least tail of the image is new to the agent");
}

/// A pair of images that was never seen is tried right after a takeover as at any other time.
#[test]
fn a_planner_that_takes_over_tries_unseen_pairs_at_once() {
    let mut fleet = taken_over_while_serving();
    let fill = StepSpec { best_effort: true, image: "f".to_string(), ..step(1, 1_000) };
    fleet.submit("a", job(vec![fill]));
    fleet.round();
    assert!(fleet.running().iter().any(|(_, key)| key.0.job == "a"));
}
