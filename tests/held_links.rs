//! Links between planner and agent that are held up for longer than all leases, with real processes.
//!
//! What was sent over a link arrives when the hold ends, be it seconds later. By then the planner has given the worker up, and
//! what it ran is at work elsewhere.

use std::path::Path;
use std::time::Duration;

use greengagearch_standins::platform_cluster::NodeSeat;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;
use greengagearch_standins::platform_journal::RunRecord;
use greengagearch_standins::proxy::ProxyFault;

const NODES: usize = 3;
/// More than fit on the workers whose links are not held, which have room for those of the held one after it is given up.
const TASKS: u32 = 30;
/// Tasks that are at work for longer than a test.
const TASK: &str = "run_ms=60000";
/// The job whose starts are held up.
const HELD_JOB: &str = "000000000000abcd";
/// Tasks that end soon.
const SHORT_TASK: &str = "run_ms=100";
/// The worker whose link is held.
const HELD: usize = 0;
/// Longer than any lease, with what clocks may differ by.
const HOLD: Duration = Duration::from_secs(11);
/// Longer than an agent waits for a lease before it gives a start up.
const SETTLE: Duration = Duration::from_secs(4);
/// Within this time an agent that goes on reads what has arrived and hears of its runner.
const READING: Duration = Duration::from_millis(500);
/// Within this time starts are decided and sent.
const SENDING: Duration = Duration::from_millis(500);

/// Starts a cluster and waits until all workers have done work, and nothing of it is left to be reported.
async fn start() -> PlatformCluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let env = PlatformCluster::start(programs, None, 1, NODES).await;
    let is_idle = |node: &NodeSeat| node.runner.starts_that_came() == 0;
    for number in 1.. {
        env.submit_until_accepted(0, &job_name(number), &job_of_steps(SHORT_TASK, &[TASKS])).await;
        env.until_state(0, &job_name(number), "completed").await;
        if !env.nodes.iter().any(is_idle) {
            break;
        }
    }
    env.until(async || env.journal.records().iter().all(|record| record.noted)).await;
    env
}

/// Hands in a job, some of whose tasks are sent to the worker whose link is held.
async fn hand_in(env: &PlatformCluster) {
    env.submit_until_accepted(0, HELD_JOB, &job_of_steps(TASK, &[TASKS])).await;
}

/// Waits until the held worker is given up and what was sent to it is at work elsewhere.
async fn until_given_up(env: &PlatformCluster) {
    tokio::time::sleep(HOLD).await;
    let is_successor = |record: &RunRecord| record.task.starts_with(HELD_JOB) && record.run > 1;
    env.until(async || env.journal.records().iter().any(is_successor)).await;
}

/// Waits until what arrives after the hold has been carried out or given up.
async fn assert_held_orders_start_nothing(env: &PlatformCluster) {
    tokio::time::sleep(SETTLE).await;
    env.assert_nothing_doubled();
}

/// Guards against a start that was held up with its link, and is carried out under the lease of the next link while its task is
/// at work elsewhere.
#[tokio::test]
async fn starts_on_a_line_that_is_cut_for_longer_than_a_lease_run_nothing_twice() {
    let env = start().await;
    env.nodes[HELD].line.set_fault(ProxyFault::Cut);
    hand_in(&env).await;
    until_given_up(&env).await;
    env.nodes[HELD].line.set_fault(ProxyFault::None);
    assert_held_orders_start_nothing(&env).await;
}

/// Guards against the same where the agent stands still, and reads the start when it goes on.
#[tokio::test]
async fn starts_for_an_agent_that_stands_still_for_longer_than_a_lease_run_nothing_twice() {
    let env = start().await;
    env.nodes[HELD].process.signal("STOP");
    hand_in(&env).await;
    tokio::time::sleep(SENDING).await;
    // A host that stands still as a whole takes no connections, and its line is back after its processes.
    env.nodes[HELD].line.set_fault(ProxyFault::Cut);
    until_given_up(&env).await;
    env.nodes[HELD].process.signal("CONT");
    tokio::time::sleep(READING).await;
    env.nodes[HELD].line.set_fault(ProxyFault::None);
    assert_held_orders_start_nothing(&env).await;
}

/// Guards against the same where the planner that sent the start is gone and another one has taken over.
#[tokio::test]
async fn starts_of_a_killed_planner_that_are_held_up_run_nothing_twice() {
    let mut env = start().await;
    env.add_planner().await;
    env.until_ready(1).await;
    env.nodes[HELD].line.set_fault(ProxyFault::Cut);
    hand_in(&env).await;
    tokio::time::sleep(SENDING).await;
    env.planners[0].process.kill();
    until_given_up(&env).await;
    env.nodes[HELD].line.set_fault(ProxyFault::None);
    assert_held_orders_start_nothing(&env).await;
}
