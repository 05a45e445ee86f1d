//! Runners that refuse calls while the fate of an order before is open, with real processes.
//!
//! A start without an answer may be carried out seconds later. If the refusal of its repeat counts for the whole order, the planner
//! starts the task elsewhere, and it runs twice at once.

use std::path::Path;
use std::time::Duration;

use greengagearch_standins::platform_cluster::CALLER_HOST;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;
use greengagearch_standins::platform_runner::RefusedCalls;
use greengagearch_standins::platform_runner::RunnerRefusal;
use reqwest::StatusCode;

const NODES: usize = 3;
const TASKS: usize = 6;
/// Nodes whose runners are unwell where one is left that is not.
const UNWELL: [usize; 2] = [0, 1];
const ALL: [usize; 3] = [0, 1, 2];
/// Tasks that are at work for longer than any refusal of these tests.
const TASK: &str = "run_ms=6000";
/// Tasks that do not end by themselves within a test.
const ENDLESS_TASK: &str = "run_ms=600000";
const LATE: Duration = Duration::from_millis(2_500);
const LATER: Duration = Duration::from_secs(4);

async fn start() -> PlatformCluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    PlatformCluster::start(programs, None, 1, NODES).await
}

/// Starts a cluster whose unwell runners carry orders out late, and waits until each task's first start has come to a runner.
async fn start_late(delay: Duration) -> PlatformCluster {
    let env = start().await;
    UNWELL.iter().for_each(|node| env.nodes[*node].runner.set_late_orders(Some(delay)));
    hand_in(&env).await;
    env
}

/// Hands a job in and waits until each task's first start has come to a runner.
async fn hand_in(env: &PlatformCluster) {
    env.submit_until_accepted(0, &job_name(1), &job_of_steps(TASK, &[TASKS as u32])).await;
    let came = || env.nodes.iter().map(|seat| seat.runner.starts_that_came()).sum::<usize>();
    env.until(async || came() >= TASKS).await;
}

/// Runners refuse calls for a time; the orders that come after it are carried out at once.
async fn refuse_for(
    env: &PlatformCluster,
    nodes: &[usize],
    refusal: RunnerRefusal,
    span: Duration,
) {
    let runners = || nodes.iter().map(|node| &env.nodes[*node].runner);
    runners().for_each(|runner| runner.refuse_calls(Some(refusal)));
    tokio::time::sleep(span).await;
    runners().for_each(|runner| runner.set_late_orders(None));
    runners().for_each(|runner| runner.refuse_calls(None));
}

/// After a time, orders are carried out at once.
async fn stay_late_for(env: &PlatformCluster, span: Duration) {
    tokio::time::sleep(span).await;
    UNWELL.iter().for_each(|node| env.nodes[*node].runner.set_late_orders(None));
}

async fn assert_completes_without_doubles(env: &PlatformCluster) {
    env.until_state(0, &job_name(1), "completed").await;
    env.assert_nothing_doubled();
}

/// Starts are late, their repeats are refused, and the job comes to its end without a task that runs twice at once.
async fn refuse_repeats_of_late_starts(delay: Duration, refusal: RunnerRefusal, span: Duration) {
    let env = start_late(delay).await;
    refuse_for(&env, &UNWELL, refusal, span).await;
    assert_completes_without_doubles(&env).await;
}

/// Guards against the refusal of a repeat that is taken for the fate of the first try, which is carried out seconds later.
#[tokio::test]
async fn late_starts_whose_repeats_are_refused_run_nothing_twice() {
    let refusal = RunnerRefusal::unavailable(RefusedCalls::All);
    refuse_repeats_of_late_starts(LATE, refusal, Duration::from_secs(1)).await;
}

/// Guards against the same where the refusals last nearly as long as the first try takes.
#[tokio::test]
async fn later_starts_whose_repeats_are_refused_for_long_run_nothing_twice() {
    let refusal = RunnerRefusal::unavailable(RefusedCalls::All);
    refuse_repeats_of_late_starts(LATER, refusal, Duration::from_secs(3)).await;
}

/// Guards against the same where the runner says that it is busy.
#[tokio::test]
async fn late_starts_whose_repeats_come_to_a_busy_runner_run_nothing_twice() {
    let refusal = RunnerRefusal::busy(RefusedCalls::All);
    refuse_repeats_of_late_starts(LATE, refusal, Duration::from_secs(1)).await;
}

/// Guards against the same where looks go on, which show nothing of the first try yet.
#[tokio::test]
async fn late_starts_of_runners_that_refuse_orders_alone_run_nothing_twice() {
    let refusal = RunnerRefusal::unavailable(RefusedCalls::Orders);
    refuse_repeats_of_late_starts(LATE, refusal, Duration::from_secs(1)).await;
}

/// Guards against the same where some calls are let through, so that what follows a refusal is answered.
#[tokio::test]
async fn late_starts_of_runners_that_refuse_most_calls_run_nothing_twice() {
    let refusal = RunnerRefusal::unavailable(RefusedCalls::AllButEvery(3));
    refuse_repeats_of_late_starts(LATE, refusal, Duration::from_secs(1)).await;
}

/// Starts are carried out and their answers lost; the repeats are refused for a time.
async fn refuse_repeats_of_lost_answers(span: Duration) {
    let env = start().await;
    env.nodes.iter().for_each(|seat| seat.runner.lose_answers(TASKS as u32));
    hand_in(&env).await;
    env.nodes.iter().for_each(|seat| seat.runner.lose_answers(0));
    refuse_for(&env, &ALL, RunnerRefusal::unavailable(RefusedCalls::All), span).await;
    assert_completes_without_doubles(&env).await;
    assert_eq!(env.journal.records().len(), TASKS);
}

/// Guards against the refusal of a repeat that gives up a run which is at work.
#[tokio::test]
async fn starts_whose_answers_are_lost_and_repeats_refused_run_once() {
    refuse_repeats_of_lost_answers(Duration::from_secs(1)).await;
}

/// Guards against the same where the refusals outlast a look, so that looks are refused as well.
#[tokio::test]
async fn starts_whose_answers_are_lost_and_repeats_refused_for_long_run_once() {
    refuse_repeats_of_lost_answers(Duration::from_millis(2_500)).await;
}

/// Cancels a job as long as its runners refuse calls, and waits until nothing runs.
async fn cancel_as_long_as_refused(calls: RefusedCalls, span: Duration) {
    let env = start().await;
    env.submit_until_accepted(0, &job_name(1), &job_of_steps(ENDLESS_TASK, &[2])).await;
    env.until(async || env.journal.records().len() == 2).await;
    let refusal = Some(RunnerRefusal::unavailable(calls));
    env.nodes.iter().for_each(|seat| seat.runner.refuse_calls(refusal));
    let url = env.url(0, &format!("/q/{}", job_name(1)));
    let answer = env.client().delete(url).header("Host", CALLER_HOST).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    tokio::time::sleep(span).await;
    env.nodes.iter().for_each(|seat| seat.runner.refuse_calls(None));
    env.until(async || env.journal.records().iter().all(|run| run.ended.is_some())).await;
    assert_eq!(env.journal.records().len(), 2);
}

/// Guards against a stop that was refused and is taken for carried out.
#[tokio::test]
async fn a_job_that_is_cancelled_as_its_runners_refuse_calls_is_stopped() {
    cancel_as_long_as_refused(RefusedCalls::All, Duration::from_millis(500)).await;
}

/// Guards against the same where the refusals last for longer.
#[tokio::test]
async fn a_job_that_is_cancelled_as_its_runners_refuse_calls_for_long_is_stopped() {
    cancel_as_long_as_refused(RefusedCalls::All, Duration::from_millis(1_500)).await;
}

/// Guards against the same where looks go on, which show the run as before.
#[tokio::test]
async fn a_job_that_is_cancelled_as_its_runners_refuse_orders_alone_is_stopped() {
    cancel_as_long_as_refused(RefusedCalls::Orders, Duration::from_millis(500)).await;
}

/// Starts are late, their agents are killed, and the runners refuse what the new agents send.
async fn refuse_repeats_of_new_agents(calls: RefusedCalls) {
    let mut env = start_late(LATER).await;
    let refusal = RunnerRefusal::unavailable(calls);
    // Before the kill, so that nothing of the new agent is carried out; the old one has no time left.
    for node in UNWELL {
        env.nodes[node].runner.refuse_calls(Some(refusal));
        env.restart_agent(node);
    }
    refuse_for(&env, &UNWELL, refusal, Duration::from_millis(2_500)).await;
    assert_completes_without_doubles(&env).await;
}

/// Guards against an agent that knows of no try of the one before it and takes a refusal for the fate of the start.
#[tokio::test]
async fn late_starts_of_an_agent_that_was_killed_run_nothing_twice() {
    refuse_repeats_of_new_agents(RefusedCalls::All).await;
}

/// Guards against the same where looks go on, so that the new agent has a lease at once and sends the start.
#[tokio::test]
async fn late_starts_whose_repeats_by_a_new_agent_are_refused_run_nothing_twice() {
    refuse_repeats_of_new_agents(RefusedCalls::Orders).await;
}

/// Guards against a start that is refused since its runner is going to leave, though a try before may yet be carried out.
#[tokio::test]
async fn late_starts_of_runners_that_drain_run_nothing_twice() {
    let env = start_late(LATER).await;
    UNWELL.iter().for_each(|node| env.nodes[*node].runner.drain());
    stay_late_for(&env, Duration::from_secs(2)).await;
    assert_completes_without_doubles(&env).await;
}

/// Guards against the same by an agent that knows of no try of the one before it.
#[tokio::test]
async fn late_starts_of_runners_that_drain_beside_a_new_agent_run_nothing_twice() {
    let mut env = start_late(LATER).await;
    for node in UNWELL {
        env.nodes[node].runner.drain();
        env.restart_agent(node);
    }
    stay_late_for(&env, Duration::from_secs(2)).await;
    assert_completes_without_doubles(&env).await;
}
