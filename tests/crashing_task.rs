//! One task crashes each worker that starts it.
//!
//! Seen on the users' days: a task was started more than a hundred times, each start ended a worker's life
//! ten milliseconds later, and all that ran beside it was lost. Ten of eleven workers were gone within a second and a
//! half, and again as soon as they were back, so that hardly a caller of any class was served.
//!
//! How it came about: a runner that crashes lists no end; the run counts as lost, which counts for nothing, and the
//! task starts elsewhere at once. Nothing asked which task its workers crash under, and no successor could know.

mod planning;
mod planning_world;

use std::collections::BTreeMap;
use std::time::Duration;

use greengagearch::connection::node_protocol::RunnerCrash;
use greengagearch::connection::node_protocol::YoungRun;
use greengagearch::workflow::progress::JobEnd;
use greengagearch::workflow::progress::JobStatus;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::QueuePolicy;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::spec::StepSpec;
use greengagearch::workflow::spec::WorkflowSpec;
use greengagearch::workflow::worker_inventory::RunKey;

use crate::planning::PlannedFleet;
use crate::planning::PlayedRunner;
use crate::planning::job;
use crate::planning::step;
use crate::planning_world::Missing;
use crate::planning_world::PlanningWorld;

/// Schedules that are tried.
const SCHEDULES: u64 = 60;

fn specs() -> Vec<WorkflowSpec> {
    let policy = QueuePolicy {
        queue: "q".to_string(),
        service: "s".to_string(),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        target_ms: 500,
        advice: None,
    };
    let step = |count: u32, after: Vec<usize>| {
        let resources = ResourceVector { millicores: 400, memory_mib: 100, accelerators: 0 };
        StepSpec { count, resources, estimate_ms: 500, after, ..StepSpec::default() }
    };
    let spec = |steps: Vec<StepSpec>| WorkflowSpec {
        policy: policy.clone(),
        payload: "work".to_string(),
        steps,
        times: 0,
        first_due_ms: 0,
        interval_ms: 0,
        accepted_ms: 0,
    };
    (0..10).map(|number| spec(vec![step(2 + number % 3, vec![]), step(2, vec![0])])).collect()
}

/// Whatever else fails meanwhile: kills and pauses of planners and agents, takeovers, crashes that no task has
/// caused, lost and late messages.
#[test]
fn a_task_that_crashes_its_workers_is_given_up_and_no_other_job_is() {
    let mut broken = Vec::new();
    for seed in 0..SCHEDULES {
        let world = PlanningWorld::new(seed, Missing::Nothing, specs());
        let found = world.with_crasher("03.0.0.0").run();
        broken.extend(found.into_iter().map(|what| format!("seed {seed}: {what}")));
    }
    assert_eq!(broken, Vec::<String>::new());
}

/// Time after its start at which a task crashes its runner, and after which that runner is back.
const CRASH_AFTER: Duration = Duration::from_millis(10);
const BACK_AFTER: Duration = Duration::from_millis(3_000);
/// How long a run of any other task takes.
const RUN_TIME: Duration = Duration::from_millis(800);
const ROUND: Duration = Duration::from_millis(100);

/// A fleet whose runners crash under some tasks.
struct CrashingFleet {
    fleet: PlannedFleet,
    crashers: Vec<&'static str>,
    begun: BTreeMap<(String, RunKey), Duration>,
    back: Vec<(Duration, String)>,
    lives: usize,
    crashes: usize,
    /// Runs of other tasks that were lost with their workers.
    lost: usize,
}

impl CrashingFleet {
    fn new(workers: usize, crashers: Vec<&'static str>) -> CrashingFleet {
        let names: Vec<String> = (0..workers).map(|number| format!("w{number}-0")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let fleet = PlannedFleet::new(&names);
        let (begun, back) = (BTreeMap::new(), Vec::new());
        CrashingFleet { fleet, crashers, begun, back, lives: 0, crashes: 0, lost: 0 }
    }

    /// Plans, delivers, crashes what has to crash, ends what is due, reports.
    fn round(&mut self) {
        self.fleet.plan();
        self.fleet.deliver();
        for (instance, key) in self.fleet.running() {
            self.begun.entry((instance, key)).or_insert(self.fleet.clock);
        }
        let running = self.fleet.running();
        for (instance, key) in &running {
            if self.crashers.contains(&key.0.to_string().as_str()) {
                self.crash(instance);
            }
        }
        self.fleet.pass(ROUND);
        for (instance, key) in self.fleet.running() {
            let began = self.begun[&(instance.clone(), key.clone())];
            if self.fleet.clock >= began + RUN_TIME {
                self.fleet.end(&instance, &key, RunEnd::Done, "");
            }
        }
        self.renew();
        self.fleet.report_all();
        self.fleet.planner.on_tick();
        self.fleet.store();
    }

    fn crash(&mut self, instance: &str) {
        let Some(runner) = self.fleet.runners.remove(instance) else {
            return;
        };
        self.crashes += 1;
        let mut young = Vec::new();
        for key in runner.present.keys() {
            let is_crasher = self.crashers.contains(&key.0.to_string().as_str());
            self.lost += usize::from(!is_crasher);
            let began = self.begun[&(instance.to_string(), key.clone())];
            let max_age = self.fleet.clock + CRASH_AFTER - began;
            if max_age <= Duration::from_secs(1) {
                let min_age = max_age.saturating_sub(ROUND);
                let (task, run) = (key.0.clone(), key.1);
                young.push(YoungRun { task, run, max_age, min_age, is_certain: true });
            }
        }
        young.sort_by_key(|run| run.max_age);
        let host = instance.split('-').next().unwrap().to_string();
        self.fleet.tell_crash(RunnerCrash { instance: instance.to_string(), young });
        self.back.push((self.fleet.clock + BACK_AFTER, host));
    }

    fn renew(&mut self) {
        let now = self.fleet.clock;
        let (back, away) = std::mem::take(&mut self.back).into_iter().partition(|one| one.0 <= now);
        self.back = away;
        let back: Vec<(Duration, String)> = back;
        for (_, host) in back {
            self.lives += 1;
            let name = format!("{host}-{}", self.lives);
            self.fleet.runners.insert(name.clone(), PlayedRunner::default());
            self.fleet.report(&name, true);
        }
    }
}

/// Eleven workers, jobs that come without pause, and three tasks that crash their workers within one second.
#[test]
fn what_runs_beside_goes_on_while_the_tasks_at_fault_are_found() {
    let crashers = ["j05.0.0.0", "j06.0.0.0", "j08.0.0.0"];
    let mut world = CrashingFleet::new(11, crashers.to_vec());
    for number in 0..60 {
        world.fleet.submit(&format!("j{number:02}"), job(vec![step(4, 500)]));
        world.round();
        world.round();
    }
    for _ in 0..60 {
        world.round();
    }
    let ends = |status: JobStatus| {
        let names = (0..60).map(|number| format!("j{number:02}"));
        names.filter(|job| world.fleet.planner.status(job) == Some(status)).collect::<Vec<_>>()
    };
    let failed = ends(JobStatus::Ended(JobEnd::Failed));
    let completed = ends(JobStatus::Ended(JobEnd::Completed));
    assert_eq!(failed, ["j05", "j06", "j08"], "{} lives lost", world.crashes);
    assert_eq!(completed.len(), 57);
    // A task is given up after two crashes at the earliest and started five times at most.
    assert!(world.crashes >= 6 && world.crashes <= 15, "{} lives lost", world.crashes);
}

/// Guards against a task that crashes its runners without end: a later life of a runner has begun a run of it anew, and the age of the
/// run on the life before cleared the task at once.
#[test]
fn a_run_that_a_later_life_has_begun_anew_does_not_clear_its_task_by_its_former_age() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2"]);
    fleet.submit("a", job(vec![step(1, 100)]));
    fleet.round();
    let (first, (task, run)) = fleet.running()[0].clone();
    fleet.runners.remove(&first);
    let max_age = Duration::from_millis(10);
    let young = vec![YoungRun { task, run, max_age, min_age: Duration::ZERO, is_certain: true }];
    fleet.tell_crash(RunnerCrash { instance: first, young });
    fleet.round();
    let (second, key) = fleet.running()[0].clone();
    fleet.planner.take_decisions();

    let present = fleet.runners.remove(&second).unwrap().present;
    assert!(present.contains_key(&key));
    fleet.pass(Duration::from_secs(5));
    fleet.runners.insert("i-3".to_string(), PlayedRunner { present, ..PlayedRunner::default() });
    fleet.report("i-3", true);
    let labels: Vec<&str> =
        fleet.planner.take_decisions().iter().map(|decision| decision.label()).collect();
    assert_eq!(labels, ["adopted"]);
}
