//! Ends of runs of which an attempt to start is in doubt: what is stored at once, and what waits until the attempt cannot be carried out
//! any more.

mod planning;

use std::time::Duration;

use greengagearch::connection::node_protocol::NodeReport;
use greengagearch::connection::node_protocol::PresentRun;
use greengagearch::connection::node_protocol::RunnerCrash;
use greengagearch::connection::node_protocol::StartInDoubt;
use greengagearch::workflow::progress::JobEnd;
use greengagearch::workflow::progress::JobStatus;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::StepSpec;
use greengagearch::workflow::spec::WorkflowSpec;
use greengagearch::workflow::task_progress::TaskProgress;
use greengagearch::workflow::worker_inventory::RunKey;

use crate::planning::PlannedFleet;
use crate::planning::PlayedRunner;
use crate::planning::job;
use crate::planning::step;

/// Time for which a call without a response may still be carried out.
const LATE_FOR: Duration = Duration::from_secs(12);
/// The only runner at first, and its next instance under the same id.
const FIRST: &str = "i-1@1";
const NEXT: &str = "i-1@2";

fn run(task: &str, number: u32) -> RunKey {
    (task.parse().unwrap(), number)
}

/// A fleet in which the tasks of a job run on the only worker, whose runner restarts under its id.
fn fleet(spec: WorkflowSpec) -> PlannedFleet {
    let mut fleet = PlannedFleet::new(&[FIRST]);
    fleet.submit("a", spec);
    fleet.plan();
    fleet.deliver();
    fleet
}

fn add_runner(fleet: &mut PlannedFleet, instance: &str) {
    let labels = vec!["a".to_string(), "r0".to_string()];
    fleet.runners.insert(instance.to_string(), PlayedRunner { labels, ..PlayedRunner::default() });
}

fn doubt(key: &RunKey) -> Vec<StartInDoubt> {
    vec![StartInDoubt { key: key.clone(), remaining: LATE_FOR }]
}

/// The agent reports that an attempt to start this run is in doubt.
fn report_doubt(fleet: &mut PlannedFleet, key: &RunKey) {
    let report = NodeReport { keeps_id: true, in_doubt: doubt(key), ..fleet.report_of(FIRST) };
    fleet.planner.on_report(report, false);
    fleet.plan();
}

/// A run ends, and the agent reports that with a start in doubt.
fn end_in_doubt(fleet: &mut PlannedFleet, key: &RunKey, end: RunEnd, checkpoint: &str) {
    fleet.end(FIRST, key, end, checkpoint);
    report_doubt(fleet, key);
}

/// The runner crashes and restarts under its id; its agent, unless it was replaced, knows the start in doubt.
fn restart_runner(fleet: &mut PlannedFleet, in_doubt: Vec<StartInDoubt>) {
    fleet.runners.remove(FIRST);
    add_runner(fleet, NEXT);
    let former = vec![FIRST.to_string()];
    let report = NodeReport { keeps_id: true, in_doubt, former, ..fleet.report_of(NEXT) };
    fleet.planner.on_report(report, false);
    fleet.plan();
}

/// Reports of the next instance until no attempt can be carried out any more, and the starts until then.
fn pass_doubt(fleet: &mut PlannedFleet) -> Vec<RunKey> {
    let mut starts = Vec::new();
    for _ in 0..2 * LATE_FOR.as_secs() {
        fleet.pass(Duration::from_secs(1));
        let names: Vec<String> = fleet.runners.keys().cloned().collect();
        for name in names {
            let former = if name == NEXT { vec![FIRST.to_string()] } else { Vec::new() };
            let report = NodeReport { keeps_id: true, former, ..fleet.report_of(&name) };
            fleet.planner.on_report(report, false);
        }
        fleet.planner.on_tick();
        fleet.plan();
        starts.extend(fleet.deliver_starts());
    }
    starts
}

fn stored(fleet: &PlannedFleet, key: &RunKey) -> TaskProgress {
    fleet.progress["a"].1.task(&key.0).unwrap().clone()
}

fn completed() -> Option<JobStatus> {
    Some(JobStatus::Ended(JobEnd::Completed))
}

/// Guards against an end that a crash of its runner loses: it was kept by the runner alone while an attempt was in doubt.
#[test]
fn a_done_task_does_not_run_again_when_its_runner_crashes_while_an_attempt_is_in_doubt() {
    let mut fleet = fleet(job(vec![step(1, 100)]));
    let key = run("a.0.0.0", 1);
    end_in_doubt(&mut fleet, &key, RunEnd::Done, "");
    restart_runner(&mut fleet, doubt(&key));
    assert_eq!(pass_doubt(&mut fleet), Vec::<RunKey>::new());
    assert_eq!(fleet.planner.status("a"), completed());
}

/// Guards against the same where the runner is emptied and leaves, or falls silent until its leases have expired, and another one has
/// room for the task.
#[test]
fn a_done_task_does_not_run_again_when_its_runner_leaves_or_falls_silent() {
    for leaves in [true, false] {
        let mut fleet = fleet(job(vec![step(1, 100)]));
        let key = run("a.0.0.0", 1);
        end_in_doubt(&mut fleet, &key, RunEnd::Done, "");
        fleet.runners.remove(FIRST);
        add_runner(&mut fleet, "i-2@1");
        fleet.report("i-2@1", true);
        if leaves {
            fleet.tell_crash(RunnerCrash { instance: FIRST.to_string(), young: Vec::new() });
        }
        assert_eq!(pass_doubt(&mut fleet), Vec::<RunKey>::new());
        assert_eq!(fleet.planner.status("a"), completed());
    }
}

/// Guards against a task that runs again after it was done: its end was acknowledged, or its job shown as completed, while the next
/// instance of its runner could still carry out an attempt.
#[test]
fn a_stored_end_is_acknowledged_and_shown_only_when_no_attempt_is_in_doubt() {
    let mut fleet = fleet(job(vec![step(2, 100)]));
    let (first, second) = (run("a.0.0.0", 1), run("a.0.0.1", 1));
    fleet.end(FIRST, &first, RunEnd::Done, "");
    fleet.end(FIRST, &second, RunEnd::Done, "");
    report_doubt(&mut fleet, &first);
    assert!(stored(&fleet, &first).done && stored(&fleet, &second).done);
    assert_eq!(fleet.planner.last_acked_end(FIRST), 0);
    assert_eq!(fleet.planner.status("a"), Some(JobStatus::Running));

    fleet.pass(LATE_FOR * 2);
    fleet.report(FIRST, false);
    fleet.plan();
    assert_eq!(fleet.planner.last_acked_end(FIRST), 2);
    assert_eq!(fleet.planner.status("a"), completed());
}

/// Guards against steps that wait without need: all tasks before them are done, whatever may still be carried out.
#[test]
fn the_next_step_does_not_wait_for_an_attempt_in_doubt() {
    let second = StepSpec { after: vec![0], ..step(1, 100) };
    let mut fleet = fleet(job(vec![step(1, 100), second]));
    let key = run("a.0.0.0", 1);
    end_in_doubt(&mut fleet, &key, RunEnd::Done, "");
    fleet.deliver();
    assert!(fleet.runners[FIRST].present.contains_key(&run("a.0.1.0", 1)));
}

/// Guards against a task that fails more often than it may: a crash lost the end of its first failure.
#[test]
fn a_failure_counts_when_its_runner_crashes_while_an_attempt_is_in_doubt() {
    let mut fleet = fleet(job(vec![step(1, 100)]));
    let key = run("a.0.0.0", 1);
    fleet.end(FIRST, &key, RunEnd::Failed, "");
    for _ in 0..3 {
        report_doubt(&mut fleet, &key);
    }
    assert_eq!(stored(&fleet, &key).failures, 1);
    let starts = fleet.deliver();
    assert!(starts.is_empty(), "{starts:?}");
    restart_runner(&mut fleet, doubt(&key));
    assert_eq!(pass_doubt(&mut fleet), [run("a.0.0.0", 2)]);
    assert_eq!(stored(&fleet, &key).failures, 1);
}

/// Guards against work that is lost: a crash lost the checkpoint of a run that had been stopped.
#[test]
fn a_checkpoint_is_kept_when_its_runner_crashes_while_an_attempt_is_in_doubt() {
    let resumable = StepSpec { checkpoints: true, ..step(1, 100) };
    let mut fleet = fleet(job(vec![resumable]));
    let key = run("a.0.0.0", 1);
    end_in_doubt(&mut fleet, &key, RunEnd::Stopped, "c7");
    restart_runner(&mut fleet, doubt(&key));
    assert_eq!(stored(&fleet, &key).checkpoint, "c7");
    assert_eq!(pass_doubt(&mut fleet), [run("a.0.0.0", 2)]);
}

/// Guards against work that is lost: an end without a checkpoint took the place of the checkpoint that had been reported before it.
#[test]
fn the_last_reported_checkpoint_is_kept_where_a_recorded_end_has_none() {
    let resumable = StepSpec { checkpoints: true, ..step(1, 100) };
    let mut fleet = fleet(job(vec![resumable]));
    let key = run("a.0.0.0", 1);
    let begun = planning::present(&key);
    let saved = PresentRun { checkpoint: "c3".to_string(), ..begun };
    fleet.runners.get_mut(FIRST).unwrap().present.insert(key.clone(), saved);
    fleet.report(FIRST, false);
    end_in_doubt(&mut fleet, &key, RunEnd::Lapsed, "");
    assert_eq!(stored(&fleet, &key).checkpoint, "c3");
}

/// Guards against a gang that runs again after it was done: the only end that was reported before the crash was in doubt.
#[test]
fn a_done_gang_does_not_run_again_when_its_runner_crashes_while_an_attempt_is_in_doubt() {
    let mut fleet = fleet(job(vec![StepSpec { gang: true, ..step(3, 100) }]));
    let key = run("a.0.0.1", 1);
    end_in_doubt(&mut fleet, &key, RunEnd::Done, "");
    restart_runner(&mut fleet, doubt(&key));
    assert_eq!(pass_doubt(&mut fleet), Vec::<RunKey>::new());
    assert_eq!(fleet.planner.status("a"), completed());
}

/// Guards against a task that runs again after it was done: its planner and its agent were replaced after the end was stored, and the
/// runner crashed before the attempt could no longer be carried out.
#[test]
fn a_recorded_end_holds_after_planner_and_agent_were_replaced() {
    let mut fleet = fleet(job(vec![step(1, 100)]));
    let key = run("a.0.0.0", 1);
    end_in_doubt(&mut fleet, &key, RunEnd::Done, "");
    fleet.take_over(fleet.now());
    let report = NodeReport { now: Duration::ZERO, keeps_id: true, ..fleet.report_of(FIRST) };
    fleet.planner.on_report(report, true);
    fleet.plan();
    assert_eq!(fleet.planner.last_acked_end(FIRST), 0);
    assert_eq!(fleet.planner.status("a"), Some(JobStatus::Running));

    restart_runner(&mut fleet, Vec::new());
    assert_eq!(pass_doubt(&mut fleet), Vec::<RunKey>::new());
    assert_eq!(fleet.planner.status("a"), completed());
}

/// Guards against a run that goes on after its task was done: the next instance of the runner has carried out the attempt.
#[test]
fn a_late_start_of_a_done_task_is_stopped_on_the_next_instance() {
    let mut fleet = fleet(job(vec![step(1, 100)]));
    let key = run("a.0.0.0", 1);
    end_in_doubt(&mut fleet, &key, RunEnd::Done, "");
    restart_runner(&mut fleet, doubt(&key));
    let begun = planning::present(&key);
    fleet.runners.get_mut(NEXT).unwrap().present.insert(key.clone(), begun);
    assert_eq!(pass_doubt(&mut fleet), Vec::<RunKey>::new());
    assert_eq!(fleet.runners[NEXT].stops.first(), Some(&key));
    assert_eq!(fleet.planner.status("a"), completed());
}

/// Guards against a member of a gang that runs again after it was done: the end of another member had settled the step.
#[test]
fn the_end_of_a_gang_member_in_doubt_is_not_acknowledged_after_that_of_another() {
    let mut fleet = fleet(job(vec![StepSpec { gang: true, ..step(2, 100) }]));
    let (first, second) = (run("a.0.0.0", 1), run("a.0.0.1", 1));
    fleet.end(FIRST, &first, RunEnd::Done, "");
    fleet.end(FIRST, &second, RunEnd::Done, "");
    report_doubt(&mut fleet, &second);
    assert_eq!(fleet.planner.last_acked_end(FIRST), 1);
    assert_eq!(fleet.planner.status("a"), Some(JobStatus::Running));
}

/// Guards against a task that runs again after it was done: the cancelling of its job ended the wait for an attempt in doubt.
#[test]
fn an_end_in_doubt_is_not_acknowledged_when_its_job_is_cancelled() {
    let mut fleet = fleet(job(vec![step(2, 100)]));
    let key = run("a.0.0.0", 1);
    fleet.end(FIRST, &key, RunEnd::Done, "");
    fleet.cancel("a");
    report_doubt(&mut fleet, &key);
    assert_eq!(fleet.planner.last_acked_end(FIRST), 0);
    assert_eq!(fleet.planner.status("a"), Some(JobStatus::Ended(JobEnd::Cancelled)));
    pass_doubt(&mut fleet);
    assert!(!fleet.progress.contains_key("a"));
    assert!(fleet.planner.last_acked_end(FIRST) > 0);
}
