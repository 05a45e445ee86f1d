//! A cancel that the acting planner cannot read, while its writes and orders come through, with real processes.

use std::path::Path;
use std::time::Duration;

use greengagearch_standins::platform_cluster::CALLER_HOST;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;
use greengagearch_standins::platform_store::StoreFault;
use reqwest::StatusCode;

/// The entry hosts: the first one plans from the start, callers use the other one.
const PLANNING: usize = 0;
const OTHER: usize = 1;
/// Tasks that end after every cancel has to have taken effect.
const TASK: &str = "run_ms=4000";
/// Time in which the second step would have begun once the first one has ended.
const BEGUN_AFTER: Duration = Duration::from_secs(2);

/// Longer than the feed's limit for the response to a call that does not wait.
const SLOW_CALL: Duration = Duration::from_millis(800);

async fn start() -> PlatformCluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let mut env = PlatformCluster::start(programs, None, 1, 1).await;
    env.add_planner().await;
    env.until_ready(OTHER).await;
    env
}

/// Whether a task of a job's step has run.
fn has_run(env: &PlatformCluster, job: &str, step: u32) -> bool {
    let prefix = format!("{job}.0.{step}.");
    env.journal.records().iter().any(|record| record.task.starts_with(&prefix))
}

/// Whether no task of a job is at work.
fn is_idle(env: &PlatformCluster, job: &str) -> bool {
    let records = env.journal.records();
    records
        .iter()
        .filter(|record| record.task.starts_with(job))
        .all(|record| record.ended.is_some())
}

/// Guards against tasks that start seconds after the cancel of their job was accepted: the planner stores and sends starts that it
/// decides while the feed of jobs is silent.
#[tokio::test]
async fn no_step_of_a_job_starts_after_a_cancel_that_the_planner_has_not_read() {
    let env = start().await;
    let job = job_name(1);
    env.submit_until_accepted(OTHER, &job, &job_of_steps(TASK, &[1, 2])).await;
    env.until(async || has_run(&env, &job, 0)).await;
    env.planners[PLANNING].listener.set_fault(StoreFault::SilentFeeds);
    let call = env.client().delete(env.url(OTHER, &format!("/q/{job}")));
    let cancelled = call.header("Host", CALLER_HOST).send().await.unwrap().status();
    assert_eq!(cancelled, StatusCode::OK);
    env.until(async || is_idle(&env, &job)).await;
    tokio::time::sleep(BEGUN_AFTER).await;
    assert!(!has_run(&env, &job, 1), "a task of the second step has started");
    env.until_state(PLANNING, &job, "canceled").await;
}

/// Guards against starts that are held back for as long as the feed of jobs is silent: what a write confirms is enough.
#[tokio::test]
async fn jobs_that_are_not_cancelled_go_on_while_the_planner_cannot_read_changes() {
    let env = start().await;
    let job = job_name(1);
    env.submit_until_accepted(OTHER, &job, &job_of_steps(TASK, &[1, 2])).await;
    env.until(async || has_run(&env, &job, 0)).await;
    env.planners[PLANNING].listener.set_fault(StoreFault::SilentFeeds);
    env.until_state(PLANNING, &job, "completed").await;
    env.assert_nothing_doubled();
}

/// Guards against jobs that do not start while the store is only slow: the planner's feed gives its calls up too soon, or starts wait
/// for what a slow store cannot confirm in time.
#[tokio::test]
async fn jobs_start_while_every_call_of_the_store_takes_most_of_a_second() {
    let env = start().await;
    for seat in &env.planners {
        seat.listener.set_fault(StoreFault::Slow(SLOW_CALL));
    }
    // Longer than a call of the feed that began before.
    tokio::time::sleep(BEGUN_AFTER).await;
    for number in 1..=2 {
        let job = job_name(number);
        env.submit_until_accepted(PLANNING, &job, &job_of_steps("run_ms=50", &[2, 1])).await;
        env.until(async || has_run(&env, &job, 1)).await;
    }
    env.assert_nothing_doubled();
}
