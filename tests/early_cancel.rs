//! A cancel of a job whose submission got no answer and is stored only later.

use std::path::Path;
use std::time::Duration;

use greengagearch_standins::platform_cluster::CALLER_HOST;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;
use greengagearch_standins::platform_store::StoreFault;
use reqwest::StatusCode;

/// Time after which the store carries the submission out.
const LATE: Duration = Duration::from_secs(3);
/// Time in which a job that is stored then would have begun.
const BEGUN_AFTER: Duration = Duration::from_secs(5);

/// Cancels a job until that is not refused any more.
async fn cancel(env: &PlatformCluster, url: &str) -> StatusCode {
    loop {
        let call = env.client().delete(url).header("Host", CALLER_HOST);
        let status = call.send().await.unwrap().status();
        if [StatusCode::OK, StatusCode::GONE].contains(&status) {
            return status;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a job that runs though its caller was told that there is none to cancel: the row was not there yet, and that was taken
/// for the fate of the submission.
#[tokio::test]
async fn a_job_that_was_not_there_to_be_cancelled_does_not_run_later() {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let mut env = PlatformCluster::start(programs, None, 0, 1).await;
    env.add_planner().await;
    env.until_ready(0).await;
    env.until(async || env.store.keys("peers").len() == 1).await;
    env.planners[0].listener.set_fault(StoreFault::LateWrites(LATE));
    let url = env.url(0, &format!("/q/{}", job_name(1)));
    let call = env.client().post(&url).header("Host", CALLER_HOST);
    let call = call.header("X-Greengagearch-Deadline-Ms", "700");
    let body = job_of_steps("run_ms=60000", &[1]);
    let submitted = call.json(&body).send().await.unwrap().status();
    env.planners[0].listener.set_fault(StoreFault::None);
    assert_eq!(submitted, StatusCode::GATEWAY_TIMEOUT);
    let cancelled = cancel(&env, &url).await;
    tokio::time::sleep(BEGUN_AFTER).await;
    let call = env.client().get(&url).header("Host", CALLER_HOST);
    let state = call.send().await.unwrap().text().await.unwrap();
    assert!(!state.contains("running"), "cancel answered with {cancelled}, then {state}");
}
