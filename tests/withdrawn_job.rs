//! A job that was cancelled before any submission of it was stored.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use greengagearch::workflow::planner::Planner;
use greengagearch::workflow::progress::JobRecord;
use greengagearch_standins::platform_cluster::CALLER_HOST;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;
use reqwest::Client;
use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;

/// Time for which ended jobs are told here, and in which a late submission comes at most.
const KEPT_FOR: Duration = Duration::from_secs(120);
const LATE_FOR: Duration = Duration::from_secs(12);
/// Calls of a flood, more than one process takes in a second.
const FLOOD: u64 = 400;

fn call(client: &Client, method: Method, url: &str) -> RequestBuilder {
    client.request(method, url).header("Host", CALLER_HOST)
}

async fn cluster() -> PlatformCluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let mut env = PlatformCluster::start(programs, None, 0, 1).await;
    env.add_planner().await;
    env.until_ready(0).await;
    env
}

/// Guards against a job that runs though its caller was told that there is none: a repeat of its submission comes after the cancel.
#[tokio::test]
async fn a_submission_that_comes_after_its_cancel_is_refused_and_no_job_is_shown() {
    let env = cluster().await;
    let url = env.url(0, &format!("/q/{}", job_name(1)));
    let cancelled = call(&env.client(), Method::DELETE, &url).send().await.unwrap();
    assert_eq!(cancelled.status(), StatusCode::GONE);

    let body = job_of_steps("run_ms=100", &[1]);
    let submitted = call(&env.client(), Method::POST, &url).json(&body).send().await.unwrap();
    assert_eq!(submitted.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(submitted.headers().contains_key("retry-after"));
    let shown = call(&env.client(), Method::GET, &url).send().await.unwrap();
    assert_eq!(shown.status(), StatusCode::GONE);
    let again = call(&env.client(), Method::DELETE, &url).send().await.unwrap();
    assert_eq!(again.status(), StatusCode::GONE);
}

/// Guards against a store that is filled by cancels of invented jobs: each leaves a row.
#[tokio::test]
async fn cancels_of_invented_jobs_are_bounded() {
    let env = cluster().await;
    let client = env.client();
    let urls = (0..FLOOD).map(|number| env.url(0, &format!("/q/{}", job_name(number))));
    let cancels = urls.map(|url| call(&client, Method::DELETE, &url).send());
    let cancelled = join_all(cancels).await;
    let is_refused = |cancelled: &Result<Response, reqwest::Error>| {
        cancelled.as_ref().is_ok_and(|one| one.status() == StatusCode::SERVICE_UNAVAILABLE)
    };
    assert!(cancelled.iter().any(is_refused));
}

/// Guards against rows of withdrawn jobs that stay, and against ones that go before a late submission has come.
#[test]
fn the_row_of_a_withdrawn_job_is_kept_until_no_submission_can_come_any_more() {
    let mut planner = Planner::new(Instant::now());
    let wall_ms = 1_000_000;
    planner.set_time(Instant::now(), wall_ms);
    planner.on_record("a", 3, JobRecord::withdrawn(wall_ms));
    assert_eq!(planner.status("a"), None);

    planner.set_time(Instant::now(), wall_ms + LATE_FOR.as_millis() as u64);
    assert!(planner.expired_records(KEPT_FOR).is_empty());
    planner.set_time(Instant::now(), wall_ms + KEPT_FOR.as_millis() as u64);
    assert_eq!(planner.expired_records(KEPT_FOR), [("a".to_string(), 3)]);
}
