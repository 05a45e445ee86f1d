//! An owner that the store turns away hands planning over through another process, with real processes.

use std::path::Path;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use greengagearch::process::planning::rows::OwnerRow;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;
use greengagearch_standins::platform_store::StoreFault;

/// Changes of the owner's row that a takeover without a release makes.
const TAKEOVER_CHANGES: usize = 1;

async fn start() -> PlatformCluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let env = PlatformCluster::start(programs, None, 3, 1).await;
    env.until(async || env.store.keys("peers").len() == 3 && owner(&env).is_some()).await;
    // A job that is done shows that the owner plans and that the processes know each other.
    env.submit_until_accepted(0, &job_name(1), &job_of_steps("run_ms=10", &[1])).await;
    env.until_state(0, &job_name(1), "completed").await;
    env
}

fn owner(env: &PlatformCluster) -> Option<OwnerRow> {
    let value = STANDARD.decode(env.store.value("ownership", "main", "planner")?).ok()?;
    serde_json::from_slice(&value).ok()
}

/// Position of the process that plans.
fn owner_position(env: &PlatformCluster) -> usize {
    let address = owner(env).unwrap().address;
    let is_owner =
        |number: &usize| env.planners[*number].process.address("internal").to_string() == address;
    (0..env.planners.len()).find(is_owner).unwrap()
}

async fn is_released_under(fault: StoreFault) -> bool {
    let env = start().await;
    let (position, epoch) = (owner_position(&env), owner(&env).unwrap().epoch);
    let before = env.store.changes_of("ownership", Some("planner"));
    env.planners[position].listener.set_fault(fault);
    env.until(async || owner(&env).is_some_and(|owner| owner.epoch > epoch)).await;
    let changes = env.store.changes_of("ownership", Some("planner")) - before;
    let other = (position + 1) % env.planners.len();
    env.submit_until_accepted(other, &job_name(2), &job_of_steps("run_ms=10", &[1])).await;
    env.until_state(other, &job_name(2), "completed").await;
    env.assert_nothing_doubled();
    changes > TAKEOVER_CHANGES
}

#[tokio::test]
async fn an_owner_whose_calls_are_refused_hands_over() {
    assert!(is_released_under(StoreFault::Busy).await);
}

#[tokio::test]
async fn an_owner_whose_calls_get_no_answer_hands_over() {
    assert!(is_released_under(StoreFault::Silent).await);
}

/// Guards against an owner that gives up its leases in an outage, in which nobody could plan in its place.
#[tokio::test]
async fn an_owner_keeps_planning_while_the_store_is_down_for_all() {
    let env = start().await;
    let epoch = owner(&env).unwrap().epoch;
    env.planners.iter().for_each(|seat| seat.listener.set_fault(StoreFault::Busy));
    tokio::time::sleep(Duration::from_secs(3)).await;
    env.planners.iter().for_each(|seat| seat.listener.set_fault(StoreFault::None));
    env.submit_until_accepted(0, &job_name(2), &job_of_steps("run_ms=10", &[1])).await;
    env.until_state(0, &job_name(2), "completed").await;
    assert_eq!(owner(&env).unwrap().epoch, epoch);
}
