//! A deployment among whose entries another writer puts its own.

#![allow(dead_code)]

use std::path::Path;

use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;

pub const TASK: &str = "run_ms=700";
/// More than fit on one runner.
pub const TASKS: u32 = 16;

pub fn nested() -> String {
    "[".repeat(200_000) + &"]".repeat(200_000)
}

/// A deployment with two runners.
pub async fn start(planners: usize) -> PlatformCluster {
    start_nodes(planners, 2).await
}

pub async fn start_nodes(planners: usize, nodes: usize) -> PlatformCluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    PlatformCluster::start(programs, None, planners, nodes).await
}

/// Plays `write` while a job runs on both runners, and hands in a later job. Both are done, and each task has started once.
pub async fn play(env: &PlatformCluster, number: u64, what: &str, write: impl AsyncFnOnce()) {
    let (job, later) = (job_name(2 * number), job_name(2 * number + 1));
    env.submit_until_accepted(0, &job, &job_of_steps(TASK, &[TASKS])).await;
    let begun =
        |job: &str| env.journal.records().iter().filter(|run| run.task.starts_with(job)).count();
    env.until(async || begun(&job) == TASKS as usize).await;
    write().await;
    env.submit_until_accepted(0, &later, &job_of_steps(TASK, &[TASKS])).await;
    env.until_state(0, &job, "completed").await;
    env.until_state(0, &later, "completed").await;
    assert_eq!((begun(&job), begun(&later)), (TASKS as usize, TASKS as usize), "{what}");
    env.assert_nothing_doubled();
    let are_running = env.planners.iter().all(|seat| seat.process.is_running())
        && env.nodes.iter().all(|seat| seat.process.is_running());
    assert!(are_running, "a process has ended after {what}");
}
