//! Planner processes that follow others instead of watching the store, with real processes: what they learn, and what
//! happens when those that they follow are out of touch with the store.

use std::path::Path;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use greengagearch::connection::host_roster::HostRoster;
use greengagearch::connection::host_roster::PeerHost;
use greengagearch::process::planning::rows::OwnerRow;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;
use greengagearch_standins::platform_store::StoreFault;
use greengagearch_standins::proxy::ProxyFault;
use reqwest::StatusCode;

/// More than watch the store in one failure domain, the owner included.
const PLANNERS: usize = 7;
/// Time over which the calls of a process are counted.
const OBSERVED: Duration = Duration::from_secs(3);

/// A system whose processes know each other.
async fn start() -> PlatformCluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let env = PlatformCluster::start(programs, None, PLANNERS, 1).await;
    env.until(async || env.store.keys("peers").len() == PLANNERS).await;
    for planner in 0..PLANNERS {
        env.until(async || is_settled(&env, planner).await).await;
    }
    env
}

/// Whether a process has stopped watching the store, or is one of those that watch it or plans.
async fn is_settled(env: &PlatformCluster, planner: usize) -> bool {
    let before = env.planners[planner].listener.feeds();
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    let is_owner = owner(env) == Some(address(env, planner));
    is_owner || watches(env, planner) || env.planners[planner].listener.feeds() == before
}

fn address(env: &PlatformCluster, planner: usize) -> String {
    env.planners[planner].process.address("internal").to_string()
}

/// Whether a process watches the store, as all of them determine it from their registrations.
fn watches(env: &PlatformCluster, planner: usize) -> bool {
    let domain = "d0".to_string();
    let mut roster = HostRoster::default();
    for number in 0..PLANNERS {
        let address = address(env, number);
        roster.insert(PeerHost { address, domain: domain.clone(), share: 1.0 });
    }
    roster.sources(&address(env, planner), &domain, owner(env).as_deref()).is_empty()
}

/// Address of the process that plans.
fn owner(env: &PlatformCluster) -> Option<String> {
    let value = STANDARD.decode(env.store.value("ownership", "main", "planner")?).ok()?;
    let row: OwnerRow = serde_json::from_slice(&value).ok()?;
    Some(row.address)
}

fn followers(env: &PlatformCluster) -> Vec<usize> {
    let owner = owner(env);
    let is_follower =
        |planner: &usize| !watches(env, *planner) && Some(address(env, *planner)) != owner;
    (0..PLANNERS).filter(is_follower).collect()
}

#[tokio::test]
async fn followers_do_not_call_the_store_while_nothing_happens() {
    let env = start().await;
    let count = || (0..PLANNERS).map(|number| env.planners[number].listener.feeds());
    let before: Vec<usize> = count().collect();
    tokio::time::sleep(OBSERVED).await;
    let calls: Vec<usize> = count().zip(before).map(|(now, before)| now - before).collect();
    let quiet = calls.iter().filter(|calls| **calls == 0).count();
    assert!(quiet >= 2, "calls of the store in {OBSERVED:?}: {calls:?}");
}

#[tokio::test]
async fn a_follower_serves_jobs_and_learns_of_large_configurations() {
    let env = start().await;
    let names: Vec<String> = (0..300).map(|number| format!("queue-number-{number}")).collect();
    let queues: Vec<&str> = names.iter().map(String::as_str).collect();
    env.configure(2, &queues);
    for planner in followers(&env) {
        let url = env.url(planner, &format!("/{}/", queues[299]));
        let client = env.client();
        env.until(async || {
            let call = client.get(&url).header("Host", "jobs.example").send().await;
            call.is_ok_and(|answer| answer.status() == StatusCode::OK)
        })
        .await;
    }
}

/// Guards against a configuration that never comes into force, because the processes that watch the store for others
/// get no answers.
#[tokio::test]
async fn followers_watch_the_store_themselves_when_watchers_are_out_of_touch() {
    let env = start().await;
    let watchers = (0..PLANNERS).filter(|planner| watches(&env, *planner));
    watchers.for_each(|planner| env.planners[planner].listener.set_fault(StoreFault::Silent));
    env.configure(2, &["q", "other"]);
    for planner in followers(&env) {
        let url = env.url(planner, "/other/");
        let client = env.client();
        env.until(async || {
            let call = client.get(&url).header("Host", "jobs.example").send().await;
            call.is_ok_and(|answer| answer.status() == StatusCode::OK)
        })
        .await;
    }
}

/// Guards against callers of followers that wait in an outage of the store, and are told nothing certain: once all
/// processes have noticed it, a job is refused at once, also by a follower that has made no call of its own.
#[tokio::test]
async fn followers_refuse_jobs_in_an_outage_that_their_watchers_have_noticed() {
    let env = start().await;
    env.planners.iter().for_each(|seat| seat.listener.set_fault(StoreFault::Silent));
    for planner in 0..PLANNERS {
        env.until(async || !is_ready(&env, planner).await).await;
    }
    for planner in followers(&env) {
        let status = env.submit(planner, &job_name(1), &job_of_steps("run_ms=10", &[1])).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert!(env.store.keys("jobs").is_empty());
}

async fn is_ready(env: &PlatformCluster, planner: usize) -> bool {
    let url = format!("http://{}/-/ready", env.planners[planner].process.address("ready"));
    env.client().get(&url).send().await.is_ok_and(|answer| answer.status().is_success())
}

/// A follower has no watch of its own that would show that the store does not answer its host.
#[tokio::test]
async fn a_follower_that_is_cut_off_from_the_store_serves_through_others() {
    let env = start().await;
    let follower = followers(&env)[0];
    env.planners[follower].line.set_fault(ProxyFault::Cut);
    let body = job_of_steps("run_ms=10", &[1]);
    env.submit_until_accepted(follower, &job_name(1), &body).await;
    env.until(async || !is_ready(&env, follower).await).await;
    env.planners[follower].line.set_fault(ProxyFault::None);
    env.until_ready(follower).await;
    env.until_state(follower, &job_name(1), "completed").await;
    env.assert_nothing_doubled();
}
