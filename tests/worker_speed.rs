//! Workers of uneven speed: which are found to be slow, what is placed on them, and what leaves them.
//!
//! The load: bulk jobs of best-effort tasks whose durations differ by a fifth. One task in thirty takes seven times as
//! long as the others of its step, wherever it runs.

mod planning;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use greengagearch::connection::node_protocol::NodeReport;
use greengagearch::process::planning::settings::PlannerSettings;
use greengagearch::workflow::plan_decision::MoveReason;
use greengagearch::workflow::plan_decision::PlanDecision;
use greengagearch::workflow::progress::JobStatus;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::StepSpec;
use greengagearch::workflow::task_name::TaskName;
use greengagearch::workflow::worker_inventory::RunKey;
use greengagearch::workflow::worker_speed::worker_ejection::EjectionChange;
use greengagearch::workflow::worker_speed::worker_ejection::ReadmissionReason;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::step;

/// Number of workers, of which a fifth may be ejected.
const WORKERS: usize = 20;
/// Usual duration of a task, in milliseconds.
const DURATION_MS: f64 = 1_500.0;
/// How much longer a task takes away from the rack of its data.
const AWAY_FACTOR: f64 = 2.5;
/// Time of a round, in milliseconds.
const ROUND_MS: f64 = 100.0;

/// A fleet whose workers make progress at their speeds, and the decisions of its planner.
struct WorkingFleet {
    fleet: PlannedFleet,
    /// Progress of each task, which its checkpoints keep.
    progress: BTreeMap<TaskName, BTreeMap<u32, f64>>,
    /// Workers that are slow, with their speeds.
    speeds: BTreeMap<String, f64>,
    /// Workers that are away from the data of all tasks.
    away: BTreeSet<String>,
    /// Pace to which best-effort runs are throttled, in percent, by worker.
    paces: BTreeMap<String, u32>,
    /// Every so many tasks there is one that takes seven times as long; zero for none.
    large_every: u64,
    decisions: Vec<PlanDecision>,
    jobs: usize,
}

impl WorkingFleet {
    fn new(learns: bool) -> WorkingFleet {
        let names: Vec<String> = (0..WORKERS).map(|number| format!("i-{number:02}")).collect();
        let mut fleet = PlannedFleet::new(&names.iter().map(String::as_str).collect::<Vec<&str>>());
        fleet.planner.learn_speed(learns);
        WorkingFleet {
            fleet,
            progress: BTreeMap::new(),
            speeds: BTreeMap::new(),
            away: BTreeSet::new(),
            paces: BTreeMap::new(),
            large_every: 30,
            decisions: Vec::new(),
            jobs: 0,
        }
    }

    fn slow(&mut self, workers: impl Iterator<Item = usize>, speed: f64) {
        self.speeds = workers.map(|number| (format!("i-{number:02}"), speed)).collect();
    }

    /// Size of a task as a multiple of the usual one.
    fn size(&self, name: &TaskName) -> f64 {
        let job: u64 = name.job[1..].parse().unwrap();
        let number = job * 37 + u64::from(name.index) * 11 + u64::from(name.step) * 5;
        let is_large = self.large_every > 0 && number.is_multiple_of(self.large_every);
        let size = 0.8 + (number % 9) as f64 * 0.05;
        if is_large { size * 7.0 } else { size }
    }

    fn submit(&mut self, step: StepSpec) -> String {
        let name = format!("j{:04}", self.jobs);
        self.jobs += 1;
        self.fleet.submit(&name, job(vec![step]));
        name
    }

    fn work(&mut self) {
        let running: Vec<(String, RunKey)> = self.fleet.running();
        for (worker, key) in running {
            let speed = self.speeds.get(&worker).copied().unwrap_or(1.0);
            let pace = self.paces.get(&worker).copied().unwrap_or(100);
            let is_away = self.away.contains(&worker);
            let share = speed * f64::from(pace) / 100.0 / if is_away { AWAY_FACTOR } else { 1.0 };
            let done = ROUND_MS / (DURATION_MS * self.size(&key.0)) * share * 100.0;
            let runs = self.progress.entry(key.0.clone()).or_default();
            let kept = runs.values().copied().fold(0.0, f64::max);
            let progress = runs.entry(key.1).or_insert(kept);
            *progress += done;
            let progress = *progress;
            if progress >= 100.0 {
                self.fleet.end(&worker, &key, RunEnd::Done, "");
            } else {
                let runner = self.fleet.runners.get_mut(&worker).unwrap();
                let run = runner.present.get_mut(&key).unwrap();
                run.progress_percent = progress as u32;
                run.pace_percent = pace;
            }
        }
    }

    /// Lets rounds pass, with a new job in every `every` of them.
    fn pass(&mut self, rounds: usize, every: usize) {
        for round in 0..rounds {
            if round % every == 0 {
                self.submit(bulk());
            }
            self.pass_without_jobs(1);
        }
    }

    fn pass_without_jobs(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.work();
            self.fleet.round();
            self.decisions.extend(self.fleet.planner.take_decisions());
            for (name, runner) in &mut self.fleet.runners {
                let acked = self.fleet.planner.last_acked_end(name);
                runner.ended.retain(|ended| ended.number > acked);
            }
        }
    }

    fn changes(&self) -> impl Iterator<Item = &EjectionChange> {
        self.decisions.iter().filter_map(|decision| match decision {
            PlanDecision::WorkerSpeed(change) => Some(change),
            _ => None,
        })
    }

    fn ejected(&self) -> BTreeSet<&str> {
        let ejected = self.changes().filter_map(|change| match change {
            EjectionChange::Ejected(worker, _) => Some(worker.as_str()),
            _ => None,
        });
        ejected.collect()
    }

    fn readmitted(&self, expected: ReadmissionReason) -> BTreeSet<&str> {
        let readmitted = self.changes().filter_map(|change| match change {
            EjectionChange::Readmitted(worker, reason, _) if *reason == expected => {
                Some(worker.as_str())
            }
            _ => None,
        });
        readmitted.collect()
    }

    fn moves(&self) -> Vec<(&TaskName, &str, &str)> {
        let moves = self.decisions.iter().filter_map(|decision| match decision {
            PlanDecision::Moved { task, worker, to, why: MoveReason::Slow, .. } => {
                Some((task, worker.as_str(), to.as_str()))
            }
            _ => None,
        });
        moves.collect()
    }

    /// Workers of the assignments, in their order.
    fn assignments(&self) -> Vec<(TaskName, u32, String)> {
        let assigned = self.decisions.iter().filter_map(|decision| match decision {
            PlanDecision::Assigned { task, run, worker, .. } => {
                Some((task.clone(), *run, worker.clone()))
            }
            _ => None,
        });
        assigned.collect()
    }

    fn completed(&self) -> usize {
        let names = (0..self.jobs).map(|number| format!("j{number:04}"));
        names
            .filter(|name| matches!(self.fleet.planner.status(name), Some(JobStatus::Ended(_))))
            .count()
    }
}

/// A step of best-effort tasks, which are placed where the load is lowest.
fn bulk() -> StepSpec {
    StepSpec { best_effort: true, checkpoints: true, ..step(20, 400) }
}

fn names(numbers: &[usize]) -> Vec<String> {
    numbers.iter().map(|number| format!("i-{number:02}")).collect()
}

/// The setting is off unless it is given, so that a deployment without it is served as before.
#[test]
fn speeds_are_learned_only_if_the_settings_say_so() {
    let settings = "[planner]\nid = a\ndomain = d\ncaller-listen = 127.0.0.1:0\n\
        ready-listen = 127.0.0.1:0\ninternal-listen = 127.0.0.1:0\n[store]\naddress = s:1\n";
    let learns = |more: &str| {
        let parsed = PlannerSettings::parse("planner.ini", &format!("{settings}{more}"));
        parsed.map(|settings| settings.learn_speed)
    };
    assert!(!learns("").unwrap());
    assert!(learns("[workers]\nlearn-speed = true\n").unwrap());
    assert!(learns("[workers]\nlearn-speed = perhaps\n").is_err());
}

/// Without ejection every step waits for its tasks on the slow workers.
#[test]
fn a_tenth_of_the_workers_is_ejected_while_it_is_slow() {
    let mut working = WorkingFleet::new(true);
    working.pass(30, 4);
    working.slow(3..5, 0.2);
    working.pass(40, 4);
    assert_eq!(Vec::from_iter(working.ejected()), names(&[3, 4]));
    let begun = working.assignments().len();
    working.pass(30, 4);
    let probes: Vec<_> = working.assignments().split_off(begun);
    let on_slow = probes.iter().filter(|(_, _, worker)| worker == "i-03").count();
    assert!(on_slow <= 3, "{on_slow} tasks started on an ejected worker in 3 s");
    assert!(working.readmitted(ReadmissionReason::Probes).is_empty());
    working.slow(0..0, 1.0);
    working.pass(60, 4);
    assert_eq!(Vec::from_iter(working.readmitted(ReadmissionReason::Probes)), names(&[3, 4]));
    assert_eq!(working.fleet.planner.slow_workers(), Some((vec![], 0)));
}

/// The reason for the feature: more jobs are completed beside slow workers.
#[test]
fn more_jobs_are_completed_beside_slow_workers() {
    let completed = |learns: bool| {
        let mut working = WorkingFleet::new(learns);
        working.large_every = 0;
        working.pass(20, 4);
        working.slow(3..5, 0.2);
        working.pass(80, 4);
        working.completed()
    };
    let (with, without) = (completed(true), completed(false));
    assert!(with > without, "{with} with learned speeds, {without} without");
}

/// Large tasks, on any worker, say nothing about the worker. Nothing changes then: the same tasks go to the same workers
/// at the same times.
#[test]
fn large_tasks_and_even_workers_are_scheduled_as_before() {
    let played = |learns: bool, every: usize, large_every: u64| {
        let mut working = WorkingFleet::new(learns);
        working.large_every = large_every;
        working.pass(300, every);
        working
    };
    // With little load few tasks are seen on a worker, so that large ones are more easily most of them.
    for (every, large_every) in [(4, 30), (12, 30), (20, 30), (12, 15), (20, 10)] {
        let (with, without) = (played(true, every, large_every), played(false, every, large_every));
        assert_eq!(with.changes().count(), 0, "a job in {every} rounds, 1 in {large_every} large");
        assert!(with.assignments().len() >= 300);
        assert_eq!(with.decisions, without.decisions);
    }
}

/// Runs away from the rack of their data take a multiple of the time, also on workers that run nothing else.
#[test]
fn tasks_away_from_their_data_do_not_make_a_worker_slow() {
    let mut working = WorkingFleet::new(true);
    working.large_every = 0;
    working.away = names(&[16, 17, 18, 19]).into_iter().collect();
    for (name, runner) in &mut working.fleet.runners {
        if !working.away.contains(name) {
            runner.labels.insert(0, "data".to_string());
        }
    }
    for _ in 0..40 {
        working.submit(StepSpec { preferred_rack: "data".to_string(), ..bulk() });
        working.pass_without_jobs(3);
    }
    let assigned = working.assignments().into_iter();
    let away = assigned.filter(|(_, _, worker)| working.away.contains(worker)).count();
    assert!((10..300).contains(&away), "{away} tasks away from their data");
    assert_eq!(working.changes().count(), 0);
}

/// The node agent throttles best-effort runs for serving tasks beside them. The worker is not slow.
#[test]
fn throttled_tasks_do_not_make_a_worker_slow() {
    let mut working = WorkingFleet::new(true);
    working.paces = names(&[3, 4]).into_iter().map(|worker| (worker, 40)).collect();
    working.pass(100, 4);
    let on_throttled = working.assignments().into_iter().filter(|(_, _, worker)| worker == "i-03");
    assert!(on_throttled.count() > 10);
    assert_eq!(working.changes().count(), 0);
}

/// With `learn-speed` off, nothing is learned or decided, however slow workers are.
#[test]
fn without_the_setting_slow_workers_are_treated_as_before() {
    let mut working = WorkingFleet::new(false);
    working.slow(3..5, 0.2);
    working.pass(100, 4);
    assert_eq!(working.changes().count() + working.moves().len(), 0);
    assert_eq!(working.fleet.planner.slow_workers(), None);
    let recent = working.assignments().split_off(200);
    assert!(recent.iter().any(|(_, _, worker)| worker == "i-03"));
}

/// If all are slow, or more than can be spared, ejection would only take capacity away.
#[test]
fn nothing_is_ejected_when_many_workers_are_slow() {
    for slow in [0..WORKERS, 0..7] {
        let mut working = WorkingFleet::new(true);
        working.pass(30, 4);
        working.slow(slow.clone(), 0.2);
        working.pass(80, 8);
        let count = working.fleet.planner.slow_workers().map(|(_, ejected)| ejected);
        assert_eq!(count, Some(0), "{slow:?}");
    }
}

/// An agent whose reports arrive late and twice would look slow by the time of their arrival.
#[test]
fn late_and_repeated_reports_do_not_make_a_worker_slow() {
    let mut working = WorkingFleet::new(true);
    let mut held: Vec<NodeReport> = Vec::new();
    for round in 0..120 {
        if round % 4 == 0 {
            working.submit(bulk());
        }
        working.work();
        working.fleet.plan();
        working.fleet.deliver();
        working.fleet.pass(Duration::from_millis(100));
        for name in names(&Vec::from_iter(0..WORKERS)) {
            if name != "i-03" {
                working.fleet.report(&name, false);
                continue;
            }
            // Most reports arrive at once. Those of half a second arrive together, the first of
            // them half a second late.
            held.push(working.fleet.report_of(&name));
            if round % 10 >= 5 || round % 10 == 4 {
                for report in held.drain(..) {
                    working.fleet.planner.on_report(report.clone(), false);
                    working.fleet.planner.on_report(report, false);
                }
            }
        }
        working.fleet.planner.on_tick();
        working.fleet.store();
        working.decisions.extend(working.fleet.planner.take_decisions());
    }
    let on_late = working.assignments().into_iter().filter(|(_, _, worker)| worker == "i-03");
    assert!(on_late.count() > 10);
    assert_eq!(working.changes().count(), 0);
}

/// A task that no other worker can run must not wait until an ejected worker is fast again.
#[test]
fn a_task_that_only_ejected_workers_can_run_starts_there() {
    let mut working = WorkingFleet::new(true);
    working.fleet.runners.get_mut("i-03").unwrap().labels.push("ssd".to_string());
    working.pass(30, 4);
    working.slow(3..5, 0.2);
    working.pass(40, 4);
    assert_eq!(working.fleet.planner.slow_workers().unwrap().1, 2);
    let plain = StepSpec { long_running: true, ..step(1, 100) };
    working.fleet.submit("p0001", job(vec![plain.clone()]));
    working.fleet.submit("q0001", job(vec![StepSpec { required_label: "ssd".into(), ..plain }]));
    working.fleet.round();
    let worker_of = |job: &str| {
        let running = working.fleet.running().into_iter();
        running.filter(|(_, key)| key.0.job == job).map(|(worker, _)| worker).next()
    };
    assert_eq!(worker_of("q0001").as_deref(), Some("i-03"));
    assert!(worker_of("p0001").is_some_and(|worker| worker != "i-03" && worker != "i-04"));
}

/// The other workers have their share of the step for good, so that its last tasks would wait for as long as the slow
/// workers are slow.
#[test]
fn a_serving_step_with_one_task_per_worker_starts_on_ejected_workers() {
    let mut working = WorkingFleet::new(true);
    working.pass(30, 4);
    working.slow(3..5, 0.2);
    working.pass(40, 4);
    assert_eq!(working.fleet.planner.slow_workers().unwrap().1, 2);
    let each = StepSpec { long_running: true, max_per_worker: 1, ..step(WORKERS as u32, 1) };
    working.fleet.submit("p0001", job(vec![each]));
    for _ in 0..3 {
        working.fleet.round();
    }
    let running = working.fleet.running().into_iter();
    assert_eq!(running.filter(|(_, key)| key.0.job == "p0001").count(), WORKERS);
}

/// A worker that is replaced is another instance, with its own speed.
#[test]
fn an_ejected_worker_that_disappears_is_forgotten() {
    let mut working = WorkingFleet::new(true);
    working.pass(30, 4);
    working.slow(3..4, 0.2);
    working.pass(40, 4);
    assert_eq!(working.fleet.planner.slow_workers().unwrap().1, 1);
    working.fleet.runners.remove("i-03");
    working.pass(60, 4);
    assert_eq!(working.fleet.planner.slow_workers(), Some((vec![], 0)));
    assert!(working.readmitted(ReadmissionReason::Probes).is_empty());
}

/// What was learned is lost with the planner. Its successor places tasks as without it, and learns again in seconds.
#[test]
fn a_successor_without_state_learns_again() {
    let mut working = WorkingFleet::new(true);
    working.pass(30, 4);
    working.slow(3..5, 0.2);
    working.pass(40, 4);
    let now = working.fleet.now();
    working.fleet.take_over(now);
    working.fleet.planner.learn_speed(true);
    working.decisions.clear();
    let runners = names(&Vec::from_iter(0..WORKERS));
    runners.iter().for_each(|runner| working.fleet.report(runner, true));
    working.pass(5, 4);
    assert!(working.ejected().is_empty());
    working.pass(45, 4);
    assert_eq!(Vec::from_iter(working.ejected()), names(&[3, 4]));
}

/// A slow phase of a few seconds must not move tasks back and forth.
#[test]
fn tasks_leave_a_slow_worker_once_and_within_bounds() {
    let mut working = WorkingFleet::new(true);
    working.large_every = 0;
    working.pass(30, 4);
    for phase in 0..6 {
        let first = if phase % 2 == 0 { 3 } else { 5 };
        working.slow(first..first + 2, 0.2);
        working.pass(25, 4);
    }
    let moves = working.moves();
    assert!(!moves.is_empty(), "no task was moved off a slow worker");
    let slow = names(&[3, 4, 5, 6]);
    assert!(moves.iter().all(|(_, from, _)| slow.iter().any(|worker| worker == from)), "{moves:?}");
    let mut by_task: BTreeMap<&TaskName, usize> = BTreeMap::new();
    moves.iter().for_each(|(task, ..)| *by_task.entry(*task).or_default() += 1);
    assert!(by_task.values().all(|count| *count == 1), "{moves:?}");
    assert!(moves.len() <= 10 * 15, "{} moves in 15 s", moves.len());
}

/// The rest of a slow run takes longer than a run from the start elsewhere. The declared duration is far too long, so that
/// three times that is no help.
#[test]
fn a_task_that_lags_gets_one_copy_before_three_times_its_declared_duration() {
    let copies = |learns: bool| {
        let mut working = WorkingFleet::new(learns);
        working.large_every = 0;
        working.slow(0..1, 0.1);
        let copied = StepSpec { speculative: true, estimate_ms: 60_000, ..step(40, 2_000) };
        let name = working.submit(copied);
        for _ in 0..40 {
            working.work();
            working.fleet.round();
            working.decisions.extend(working.fleet.planner.take_decisions());
        }
        let second = working
            .assignments()
            .into_iter()
            .filter(|(task, run, _)| task.job == name && *run == 2);
        second.map(|(_, _, worker)| worker).collect::<Vec<String>>()
    };
    let (with, without) = (copies(true), copies(false));
    assert!(!with.is_empty() && with.len() <= 2, "{with:?}");
    assert!(with.iter().all(|worker| worker != "i-00"), "{with:?}");
    assert!(without.is_empty(), "{without:?}");
}

/// A serving task is moved only if its step allows interruptions, and one of a step at a time.
#[test]
fn serving_tasks_leave_an_ejected_worker_one_of_a_step_at_a_time() {
    let moved = |max_unavailable: u32| {
        let mut working = WorkingFleet::new(true);
        let serving =
            StepSpec { long_running: true, target_ms: 100, max_unavailable, ..step(8, 1_000) };
        working.fleet.submit("s0001", job(vec![serving]));
        working.fleet.round();
        let is_slow = |worker: &str| worker == "i-00";
        let mut largest = 0;
        for _ in 0..80 {
            for (worker, key) in working.fleet.running() {
                let runner = working.fleet.runners.get_mut(&worker).unwrap();
                let run = runner.present.get_mut(&key).unwrap();
                run.progress_percent = 100;
                run.usage = if is_slow(&worker) { 400 } else { 50 };
            }
            working.fleet.round();
            let decisions = working.fleet.planner.take_decisions();
            let moves = decisions.iter().filter(|decision| {
                matches!(decision, PlanDecision::Moved { why: MoveReason::Slow, .. })
            });
            largest = largest.max(moves.count());
            working.decisions.extend(decisions);
            working.fleet.pass(Duration::from_millis(1));
        }
        (working.ejected().len(), working.moves().len(), largest)
    };
    let (ejected, moves, largest) = moved(1);
    assert_eq!((ejected, largest), (1, 1));
    assert!(moves >= 2, "{moves}");
    assert_eq!(moved(0), (1, 0, 0));
}
