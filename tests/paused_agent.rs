//! Runners whose agents have no answer of them for longer than a lease, with real processes.
//!
//! Seen on a bench day with long freezes: agents that had stood still took their runners for silent when they went on, and dropped all later
//! heartbeats. The fleet stayed smaller for good, and tasks that last did not run.

use std::path::Path;
use std::time::Duration;

use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;
use tokio::time::sleep;

/// Longer than any lease, with what clocks may differ by.
const OUTAGE: Duration = Duration::from_secs(12);
/// Time in which a look is sent, and not given up.
const LOOK: Duration = Duration::from_millis(400);

/// Starts a cluster of one runner that runs a task, whose end comes long after the outage.
async fn start() -> PlatformCluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let env = PlatformCluster::start(programs, None, 1, 1).await;
    env.submit_until_accepted(0, &job_name(1), &job_of_steps("run_ms=15000", &[1])).await;
    env.until(async || env.journal.records().len() == 1).await;
    env
}

/// The runner gets work, and what ran there before the outage runs again.
async fn assert_gets_work(env: &PlatformCluster) {
    env.submit_until_accepted(0, &job_name(2), &job_of_steps("run_ms=100", &[4])).await;
    env.until_state(0, &job_name(2), "completed").await;
    env.until_state(0, &job_name(1), "completed").await;
    env.assert_nothing_doubled();
}

/// Guards against a runner that is out of the fleet for good, though it goes on while its agent stands still; a look that was under
/// way has no answer.
#[tokio::test]
async fn a_runner_whose_agent_stood_still_gets_work_again() {
    let env = start().await;
    let (agent, runner) = (&env.nodes[0].process, &env.nodes[0].runner);
    runner.leave_looks_unanswered(true);
    sleep(LOOK).await;
    agent.signal("STOP");
    runner.leave_looks_unanswered(false);
    sleep(OUTAGE).await;
    agent.signal("CONT");
    assert_gets_work(&env).await;
}

/// Guards against a runner that is out of the fleet for good after it hung for longer than its leases.
#[tokio::test]
async fn a_runner_that_answers_again_after_a_long_silence_gets_work_again() {
    let env = start().await;
    let runner = &env.nodes[0].runner;
    runner.leave_looks_unanswered(true);
    sleep(OUTAGE).await;
    runner.leave_looks_unanswered(false);
    assert_gets_work(&env).await;
}
