//! Runners that come back under the ids that they had, with real processes.
//!
//! Seen on the users' days: four of eleven runners crashed and were back under their ids within a second. Their agents took each
//! heartbeat for a late one of the life that had ended, the fleet stayed smaller for good, and tasks that last did not run.

use std::path::Path;
use std::time::Duration;

use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;

/// Pauses between two lives: as on the users' days, and so short that the agent may miss the crash.
const PAUSES: [Duration; 3] =
    [Duration::from_millis(700), Duration::from_millis(300), Duration::from_millis(10)];
/// More starts than an agent remembers lives.
const MANY_STARTS: usize = 10;

/// Starts two planners and two agents whose runners tell when they were started.
async fn start() -> PlatformCluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let mut cluster = PlatformCluster::start(programs, None, 2, 0).await;
    for node in ["i-0", "i-1"] {
        cluster.add_returning_node(node).await;
    }
    cluster
}

/// Guards against a fleet that shrinks for good: runners that have crashed and are back under their ids get work again, and what
/// ran on them runs again.
#[tokio::test]
async fn runners_that_are_back_under_their_ids_get_work_again() {
    for pause in PAUSES {
        let mut env = start().await;
        env.submit_until_accepted(0, &job_name(1), &job_of_steps("run_ms=600", &[6])).await;
        env.until(async || env.journal.records().len() == 6).await;
        env.restart_runners(&[0, 1], pause).await;
        env.submit_until_accepted(1, &job_name(2), &job_of_steps("run_ms=100", &[6])).await;
        env.until_state(0, &job_name(2), "completed").await;
        env.until_state(0, &job_name(1), "completed").await;
        env.assert_nothing_doubled();
    }
}

/// Guards against a memory of former lives that runs over: one id, many starts in a row.
#[tokio::test]
async fn a_runner_that_starts_again_and_again_gets_work_each_time() {
    let mut env = start().await;
    for start in 0..MANY_STARTS {
        env.restart_runners(&[0, 1], Duration::from_millis(50)).await;
        let job = job_name(start as u64);
        env.submit_until_accepted(0, &job, &job_of_steps("run_ms=30", &[4])).await;
        env.until_state(0, &job, "completed").await;
    }
    env.assert_nothing_doubled();
}
