//! Shares of queues under load and failures, and the bound on waiting.

mod planning;

use std::collections::BTreeMap;
use std::time::Duration;

use greengagearch::workflow::fair_share::share_settings::ShareSettings;
use greengagearch::workflow::plan_decision::PlanDecision;
use greengagearch::workflow::plan_decision::ShareReclaim;
use greengagearch::workflow::progress::JobEnd;
use greengagearch::workflow::progress::JobStatus;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::spec::StepSpec;
use greengagearch::workflow::spec::WorkflowSpec;
use greengagearch::workflow::worker_inventory::RunKey;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::step;

/// Each worker has four cores, so that the fleet runs 16 tasks of one core.
const WORKERS: [&str; 4] = ["i-1", "i-2", "i-3", "i-4"];
/// Estimate of tasks that outlast each test.
const LONG_MS: u64 = 600_000;

/// A fleet and how long its runs have been there, in rounds of 100 ms.
struct SharedFleet {
    fleet: PlannedFleet,
    ages: BTreeMap<RunKey, u32>,
    reclaims: Vec<(Duration, ShareReclaim)>,
}

impl SharedFleet {
    fn open(settings: ShareSettings) -> SharedFleet {
        let mut fleet = PlannedFleet::new(&WORKERS);
        fleet.planner.set_share_settings(settings);
        SharedFleet { fleet, ages: BTreeMap::new(), reclaims: Vec::new() }
    }

    fn submit(&mut self, job: &str, queue: &str, steps: Vec<StepSpec>) {
        let spec = spec_of(queue, steps, self.fleet.wall_ms);
        self.fleet.submit(job, spec);
    }

    /// One round; runs of tasks that are estimated to end within a minute end after three.
    fn round(&mut self) {
        self.fleet.round();
        let at = self.fleet.clock;
        for decision in self.fleet.planner.take_decisions() {
            if let PlanDecision::ShareReclaimed(reclaim) = decision {
                self.reclaims.push((at, reclaim));
            }
        }
        for (instance, key) in self.fleet.running() {
            let age = self.ages.entry(key.clone()).or_default();
            *age += 1;
            if *age >= 3 && !key.0.job.starts_with("long") {
                self.fleet.end(&instance, &key, RunEnd::Done, "");
            }
        }
    }

    fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    fn running(&self, prefix: &str) -> usize {
        self.fleet.running().iter().filter(|(_, key)| key.0.job.starts_with(prefix)).count()
    }

    fn has_begun(&self, job: &str) -> bool {
        self.fleet.planner.status(job) != Some(JobStatus::Queued)
    }

    fn is_completed(&self, job: &str) -> bool {
        self.fleet.planner.status(job) == Some(JobStatus::Ended(JobEnd::Completed))
    }
}

fn spec_of(queue: &str, steps: Vec<StepSpec>, accepted_ms: u64) -> WorkflowSpec {
    let mut spec = job(steps);
    spec.policy.queue = queue.to_string();
    spec.accepted_ms = accepted_ms;
    spec
}

/// Tasks of one core.
fn tasks(count: u32, estimate_ms: u64) -> StepSpec {
    StepSpec { estimate_ms, checkpoints: true, ..step(count, 1_000) }
}

fn weights(weights: &[(&str, f64)]) -> ShareSettings {
    let weights = weights.iter().map(|(queue, weight)| (queue.to_string(), *weight));
    ShareSettings { weights: weights.collect(), ..ShareSettings::default() }
}

fn equal_weights() -> ShareSettings {
    ShareSettings { default_weight: Some(1.0), ..ShareSettings::default() }
}

fn longest_wait(multiple: f64) -> ShareSettings {
    ShareSettings { longest_wait: Some(multiple), ..ShareSettings::default() }
}

/// A stream of small jobs that requests somewhat more than all workers have.
fn offer_small(shared: &mut SharedFleet, round: usize) {
    for number in 0..4 {
        shared.submit(&format!("small{round:03}-{number}"), "q", vec![tasks(1, 200)]);
    }
}

/// Guards against a large job that waits for as long as a stream of small ones lasts.
#[test]
fn a_large_job_begins_within_its_bound_and_goes_on_to_its_end() {
    for (settings, begins) in [(ShareSettings::default(), false), (longest_wait(2.0), true)] {
        let mut shared = SharedFleet::open(settings);
        (0..4).for_each(|round| {
            offer_small(&mut shared, round);
            shared.round();
        });
        // Its objective is twice 500 ms and 500 ms more for each of two steps.
        let steps = vec![tasks(12, 500), StepSpec { after: vec![0], ..tasks(12, 500) }];
        shared.submit("large", "q", steps);
        let mut begun_after = None;
        for round in 4..90 {
            offer_small(&mut shared, round);
            shared.round();
            if shared.has_begun("large") {
                begun_after.get_or_insert(round - 4);
            }
        }
        assert_eq!(begun_after.is_some(), begins);
        if let Some(rounds) = begun_after {
            // Twice 2.5 s, and a second until enough tasks have ended.
            assert!((49..60).contains(&rounds), "{rounds}");
            assert!(shared.is_completed("large"));
        }
    }
}

/// Guards against a task as large as a worker that is first in the order and still never fits,
/// because smaller tasks use whatever becomes free.
#[test]
fn a_task_as_large_as_a_worker_begins_within_its_bound() {
    for (settings, begins) in [(ShareSettings::default(), false), (longest_wait(2.0), true)] {
        let mut shared = SharedFleet::open(settings);
        for round in 0..70 {
            offer_small(&mut shared, round);
            if round == 10 {
                shared.submit("large", "q", vec![step(1, 4_000)]);
            }
            shared.round();
        }
        assert_eq!(shared.has_begun("large"), begins);
    }
}

/// Guards against large jobs that displace the rest once they have all waited for long.
#[test]
fn a_flood_of_large_jobs_gets_a_quarter_of_the_capacity() {
    let mut shared = SharedFleet::open(longest_wait(2.0));
    (0..4).for_each(|round| {
        offer_small(&mut shared, round);
        shared.round();
    });
    (0..10).for_each(|n| shared.submit(&format!("large{n}"), "q", vec![tasks(4, 500)]));
    let mut most = 0;
    for round in 4..120 {
        offer_small(&mut shared, round);
        shared.round();
        most = most.max(shared.running("large"));
    }
    assert_eq!(most, 4);
    let completed = (0..10).filter(|n| shared.is_completed(&format!("large{n}"))).count();
    assert!(completed >= 8, "{completed}");
}

/// Guards against a job that loses its place when another planner takes over half-way.
#[test]
fn a_successor_continues_a_job_that_has_begun_by_the_bound() {
    let mut shared = SharedFleet::open(longest_wait(2.0));
    let steps = vec![tasks(8, 500), StepSpec { after: vec![0], ..tasks(8, 500) }];
    shared.submit("small", "q", vec![tasks(1, 200)]);
    for round in 0..200 {
        offer_small(&mut shared, round);
        if round == 4 {
            shared.submit("large", "q", steps.clone());
        }
        shared.round();
        if round > 4 && shared.has_begun("large") {
            break;
        }
    }
    assert!(shared.has_begun("large"));
    let now = shared.fleet.now();
    shared.fleet.take_over(now);
    shared.fleet.planner.set_share_settings(longest_wait(2.0));
    WORKERS.iter().for_each(|worker| shared.fleet.report(worker, true));
    for round in 200..220 {
        offer_small(&mut shared, round);
        shared.round();
    }
    assert!(shared.is_completed("large"), "{:?}", shared.fleet.planner.status("large"));
}

/// Guards against a queue whose backlog delays all jobs of a queue with little load. Only the share
/// of the queues tells their jobs apart: all can be in time, and those of the flood are smaller.
#[test]
fn a_flood_by_one_queue_does_not_delay_another() {
    for (settings, is_shared) in [(ShareSettings::default(), false), (equal_weights(), true)] {
        let mut shared = SharedFleet::open(settings);
        let patient = |spec: WorkflowSpec| {
            let mut spec = spec;
            spec.policy.target_ms = 60_000;
            spec
        };
        let mut waits = Vec::new();
        let mut waiting: Vec<(String, usize)> = Vec::new();
        for round in 0..100 {
            for number in 0..8 {
                let spec = spec_of("flood", vec![tasks(1, 300)], shared.fleet.wall_ms);
                shared.fleet.submit(&format!("flood{round:03}-{number}"), patient(spec));
            }
            if round >= 20 && round % 10 == 0 {
                let spec = spec_of("other", vec![tasks(4, 500)], shared.fleet.wall_ms);
                shared.fleet.submit(&format!("other{round:03}"), patient(spec));
                waiting.push((format!("other{round:03}"), round));
            }
            shared.round();
            waiting.retain(|(job, since)| {
                let has_begun = shared.has_begun(job);
                waits.extend(has_begun.then_some(round - since));
                !has_begun
            });
        }
        if is_shared {
            assert_eq!(waits.len(), 8);
            assert!(waits.iter().all(|wait| *wait <= 4), "{waits:?}");
        } else {
            assert!(waits.is_empty(), "{waits:?}");
        }
    }
}

/// Guards against a lender that waits until the borrowed capacity returns by itself, and against
/// work that is lost although other runs have checkpoints.
#[test]
fn a_lender_whose_demand_returns_gets_its_share_in_bounded_time() {
    let mut shared = SharedFleet::open(equal_weights());
    let unsaved = StepSpec { checkpoints: false, ..tasks(7, LONG_MS) };
    shared.submit("long-a-unsaved", "a", vec![unsaved]);
    shared.submit("long-a", "a", vec![tasks(9, LONG_MS)]);
    shared.rounds(10);
    assert_eq!(shared.running("long-a"), 16);
    shared.submit("long-b", "b", vec![tasks(12, LONG_MS)]);
    shared.rounds(8);
    assert_eq!(shared.running("long-b"), 0, "capacity that returns by itself is awaited");
    shared.rounds(37);
    assert_eq!((shared.running("long-a"), shared.running("long-b")), (8, 8));
    assert_eq!(shared.reclaims.len(), 8);
    assert!(shared.reclaims.iter().all(|(_, reclaim)| reclaim.task.job == "long-a"));
    let (_, first) = &shared.reclaims[0];
    assert_eq!((first.queue.as_str(), first.from.as_str()), ("b", "a"));
    assert_eq!((first.share, first.from_share), ((0.0, 0.5), (1.0, 0.5)));
    assert!(first.waited_ms >= 1_000);
    // Never more than a quarter of the capacity in a second.
    let times: Vec<Duration> = shared.reclaims.iter().map(|(at, _)| *at).collect();
    assert!(times.windows(5).all(|five| five[4] - five[0] >= Duration::from_millis(900)));
    shared.rounds(100);
    assert_eq!(shared.reclaims.len(), 8);
}

/// Guards against two queues that preempt each other's runs in turns.
#[test]
fn queues_that_alternate_do_not_interrupt_a_task_again_and_again() {
    let mut shared = SharedFleet::open(equal_weights());
    shared.submit("long-a", "a", vec![tasks(16, LONG_MS)]);
    shared.rounds(5);
    for phase in 0..12 {
        let name = format!("long-b{phase}");
        shared.submit(&name, "b", vec![tasks(16, LONG_MS)]);
        shared.rounds(25);
        shared.fleet.cancel(&name);
        shared.rounds(15);
        assert_eq!(shared.running("long-b"), 0);
        assert!(shared.running("long-a") >= 15, "what is returned is lent again");
    }
    let mut last: BTreeMap<String, Duration> = BTreeMap::new();
    for (at, reclaim) in &shared.reclaims {
        assert_eq!(reclaim.from, "a");
        if let Some(before) = last.insert(reclaim.task.to_string(), *at) {
            assert!(*at - before >= Duration::from_secs(10), "{}", reclaim.task);
        }
    }
    assert!(!shared.reclaims.is_empty());
}

/// Guards against shares that count processors only.
#[test]
fn scarce_accelerators_are_shared_where_processors_are_plentiful() {
    let mut shared = SharedFleet::open(equal_weights());
    for worker in ["i-1", "i-2"] {
        shared.fleet.runners.get_mut(worker).unwrap().accelerators = 2;
        shared.fleet.report(worker, false);
    }
    let resources = ResourceVector { millicores: 100, memory_mib: 10, accelerators: 1 };
    let accelerated = |count| StepSpec { resources, ..tasks(count, LONG_MS) };
    shared.submit("long-a", "a", vec![accelerated(6)]);
    shared.submit("long-c", "a", vec![StepSpec { ..tasks(6, LONG_MS) }]);
    shared.rounds(5);
    assert_eq!((shared.running("long-a"), shared.running("long-c")), (4, 6));
    shared.submit("long-b", "b", vec![accelerated(6)]);
    shared.rounds(40);
    assert_eq!((shared.running("long-a"), shared.running("long-b")), (2, 2));
    assert_eq!(shared.running("long-c"), 6, "its runs hold no accelerator");
    assert_eq!(shared.reclaims.len(), 2);
}

/// Guards against a serving job that loses more tasks than it tolerates.
#[test]
fn long_running_tasks_are_preempted_only_within_max_unavailable() {
    for max_unavailable in [0, 1] {
        let mut shared = SharedFleet::open(equal_weights());
        let serving =
            StepSpec { long_running: true, max_unavailable, target_ms: 100, ..tasks(16, 320) };
        shared.submit("long-a", "a", vec![serving]);
        let mut least = 16;
        for round in 0..120 {
            if round == 20 {
                shared.submit("long-b", "b", vec![tasks(4, LONG_MS)]);
            }
            shared.round();
            for runner in shared.fleet.runners.values_mut() {
                runner.present.values_mut().for_each(|run| run.progress_percent = 100);
            }
            if round >= 20 {
                least = least.min(shared.running("long-a"));
            }
        }
        assert_eq!(least, 16 - max_unavailable as usize);
        assert_eq!(shared.running("long-b"), max_unavailable as usize);
    }
}

/// Guards against a planner that needs a restart, or starved lenders, until new weights count.
#[test]
fn weights_that_change_while_jobs_run_count_at_once() {
    let mut shared = SharedFleet::open(equal_weights());
    shared.submit("long-a", "a", vec![tasks(16, LONG_MS)]);
    shared.submit("long-b", "b", vec![tasks(16, LONG_MS)]);
    shared.rounds(50);
    assert_eq!((shared.running("long-a"), shared.running("long-b")), (8, 8));
    shared.fleet.planner.set_share_settings(weights(&[("a", 3.0), ("b", 1.0)]));
    shared.rounds(50);
    // A queue reclaims while it is more than a tenth below its entitlement of 12 tasks.
    assert_eq!((shared.running("long-a"), shared.running("long-b")), (11, 5));
    // A queue that is no longer configured has weight 1.
    shared.fleet.planner.set_share_settings(weights(&[("a", 1.0)]));
    shared.rounds(120);
    assert_eq!((shared.running("long-a"), shared.running("long-b")), (8, 8));
}

/// Guards against shares that count capacity which is gone, or runs that are lost with it.
#[test]
fn workers_that_get_no_runs_are_not_counted() {
    let mut shared = SharedFleet::open(equal_weights());
    shared.submit("long-a", "a", vec![tasks(16, LONG_MS)]);
    shared.rounds(5);
    for worker in ["i-3", "i-4"] {
        shared.fleet.runners.get_mut(worker).unwrap().draining = true;
    }
    shared.rounds(3);
    let ledger = shared.fleet.planner.share_ledger().unwrap();
    let shares = &ledger.services[planning::SERVICE];
    assert_eq!(shares.capacity.millicores, 8_000);
    assert!(shares.queues["a"].share <= 1.0);
}

/// Guards against best-effort work that keeps the processor time of a queue which is owed a part,
/// since best-effort tasks preempt nothing otherwise.
#[test]
fn best_effort_queues_reclaim_processor_time() {
    for (settings, is_shared) in [(ShareSettings::default(), false), (equal_weights(), true)] {
        let mut shared = SharedFleet::open(settings);
        let filling = |count| StepSpec {
            best_effort: true,
            resources: ResourceVector { millicores: 1_000, memory_mib: 1_000, accelerators: 0 },
            ..tasks(count, LONG_MS)
        };
        shared.submit("long-a", "a", vec![filling(16)]);
        shared.rounds(10);
        assert_eq!(shared.running("long-a"), 16);
        (0..4).for_each(|n| shared.submit(&format!("long-b{n}"), "b", vec![filling(2)]));
        shared.rounds(60);
        assert_eq!(shared.running("long-b") >= 4, is_shared, "{}", shared.running("long-b"));
        assert_eq!(shared.reclaims.is_empty(), !is_shared);
    }
}

/// Guards against a successor that serves the queues in another order until it has learned their
/// shares, or preempts for a claim that its predecessor has met.
#[test]
fn a_successor_knows_all_shares_from_the_rows() {
    let mut shared = SharedFleet::open(equal_weights());
    shared.submit("long-a", "a", vec![tasks(16, LONG_MS)]);
    shared.submit("long-b", "b", vec![tasks(16, LONG_MS)]);
    shared.rounds(50);
    assert_eq!((shared.running("long-a"), shared.running("long-b")), (8, 8));
    let (now, before) = (shared.fleet.now(), shared.reclaims.len());
    shared.fleet.take_over(now);
    shared.fleet.planner.set_share_settings(equal_weights());
    WORKERS.iter().for_each(|worker| shared.fleet.report(worker, true));
    shared.rounds(1);
    let ledger = shared.fleet.planner.share_ledger().unwrap();
    let shares = &ledger.services[planning::SERVICE].queues;
    assert_eq!((shares["a"].share, shares["b"].share), (0.5, 0.5));
    shared.rounds(40);
    assert_eq!(shared.reclaims.len(), before);
}

/// Guards against a task that runs twice at once: a run that is stopped while its start is on its
/// way may begin after its successor.
#[test]
fn runs_whose_start_may_still_be_carried_out_are_not_preempted() {
    let mut shared = SharedFleet::open(equal_weights());
    shared.submit("long-a", "a", vec![tasks(16, LONG_MS)]);
    for round in 0..40 {
        if round == 3 {
            shared.submit("long-b", "b", vec![tasks(8, LONG_MS)]);
        }
        shared.fleet.plan();
        // The agents are slow: orders do not come through.
        shared.fleet.planner.take_orders();
        shared.fleet.pass(Duration::from_millis(100));
        shared.fleet.report_all();
        shared.fleet.planner.on_tick();
        shared.fleet.store();
    }
    let decisions = shared.fleet.planner.take_decisions();
    assert!(decisions.iter().all(|decision| decision.label() != "share_reclaimed"));
}

/// Guards against runs of an urgent queue that are preempted for less urgent jobs, because another
/// job of their queue is urgent.
#[test]
fn a_less_urgent_job_of_a_claiming_queue_preempts_nothing() {
    let mut shared = SharedFleet::open(equal_weights());
    shared.submit("long-a", "a", vec![tasks(15, LONG_MS)]);
    shared.submit("long-b-urgent", "b", vec![tasks(1, LONG_MS)]);
    shared.rounds(10);
    assert_eq!((shared.running("long-a"), shared.running("long-b")), (15, 1));
    let mut spec = spec_of("b", vec![tasks(8, LONG_MS)], shared.fleet.wall_ms);
    spec.policy.priority = 2;
    shared.fleet.submit("long-b", spec);
    shared.rounds(40);
    assert_eq!((shared.reclaims.len(), shared.running("long-a")), (0, 15));
}

/// Guards against a task as large as a worker for which a worker is reserved that a long-running
/// task never leaves.
#[test]
fn no_worker_with_a_long_running_task_is_reserved_for_a_task_as_large_as_a_worker() {
    let mut shared = SharedFleet::open(longest_wait(2.0));
    let resources = ResourceVector { millicores: 2_500, memory_mib: 100, accelerators: 0 };
    let serving = StepSpec { resources, long_running: true, ..tasks(3, 320) };
    shared.submit("long-serving", "q", vec![serving]);
    shared.rounds(3);
    assert_eq!(shared.running("long-serving"), 3);
    for round in 0..80 {
        offer_small(&mut shared, round);
        if round == 10 {
            shared.submit("large", "q", vec![step(1, 4_000)]);
        }
        shared.round();
    }
    assert!(shared.has_begun("large"));
}

/// Guards against a job that no worker can run, because long-running tasks are on all of them,
/// taking up the capacity for jobs whose wait exceeds the bound.
#[test]
fn a_job_that_fits_beside_no_long_running_task_does_not_block_others() {
    let mut shared = SharedFleet::open(longest_wait(2.0));
    let resources = ResourceVector { millicores: 2_500, memory_mib: 100, accelerators: 0 };
    let serving = StepSpec { resources, long_running: true, ..tasks(4, 320) };
    shared.submit("long-serving", "q", vec![serving]);
    shared.submit("blocked", "q", vec![step(1, 4_000)]);
    shared.rounds(3);
    for round in 0..100 {
        offer_small(&mut shared, round);
        if round == 10 {
            shared.submit("large", "q", vec![tasks(3, 500)]);
        }
        shared.round();
    }
    assert_eq!((shared.has_begun("blocked"), shared.has_begun("large")), (false, true));
}

/// Guards against a worker that stays reserved for a task which runs elsewhere by now, while another
/// task of its step waits.
#[test]
fn a_reservation_by_wait_is_not_renewed_for_a_task_that_runs() {
    let mut shared = SharedFleet::open(longest_wait(2.0));
    for number in 0..4 {
        shared.submit(&format!("long-{number}"), "q", vec![step(1, 4_000)]);
    }
    shared.rounds(3);
    shared.submit("long-large", "q", vec![step(2, 4_000)]);
    shared.rounds(40);
    for worker in ["i-2", "i-1"] {
        let running = shared.fleet.running();
        let (_, key) = running.into_iter().find(|(instance, _)| instance == worker).unwrap();
        shared.fleet.end(worker, &key, RunEnd::Done, "");
        shared.rounds(30);
    }
    assert_eq!(shared.running("long-large"), 2);
}

/// Guards against a task that waits for a worker which is reserved for it and starts nothing more.
#[test]
fn a_reservation_by_wait_leaves_a_worker_that_drains() {
    let mut shared = SharedFleet::open(longest_wait(2.0));
    for round in 0..90 {
        offer_small(&mut shared, round);
        if round == 10 {
            shared.submit("long-large", "q", vec![step(3, 4_000)]);
        }
        let running = shared.running("long-large");
        if running == 1 && shared.fleet.runners.values().all(|runner| !runner.draining) {
            // The first task runs, and a worker is reserved for the second.
            let runners = shared.fleet.runners.iter_mut();
            let mut others = runners
                .filter(|(_, runner)| runner.present.keys().all(|key| key.0.job != "long-large"));
            others.next().unwrap().1.draining = true;
        }
        shared.round();
    }
    assert_eq!(shared.running("long-large"), 3);
}
