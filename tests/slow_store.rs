//! A store that is slow for all: callers are served as long as they wait, and nobody adds to the queue by asking others.

use std::path::Path;
use std::time::Duration;

use futures::future::join_all;
use greengagearch_standins::platform_cluster::CALLER_HOST;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;
use greengagearch_standins::platform_store::StoreFault;
use reqwest::StatusCode;

/// A store a hundred times slower than usual: 4 ms an answer, 3 ms a transaction.
const SLOW_STORE: StoreFault =
    StoreFault::Queued { read: Duration::from_millis(400), write: Duration::from_millis(300) };
/// Jobs that come at once.
const JOBS: u64 = 6;
/// Calls to write the row of one job, repeats after a time limit included: one of its first caller, and two more.
const MOST_CALLS: usize = 3;

/// The load: jobs come to all entry hosts while each transaction takes 0.3 s, longer together than the patience of one
/// call. Each caller is told the truth within its time, and has its job accepted when it comes back.
#[tokio::test]
async fn a_store_that_is_slow_for_all_is_waited_for() {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let env = PlatformCluster::start(programs, None, 3, 1).await;
    env.until(async || env.store.keys("peers").len() == 3).await;
    env.planners.iter().for_each(|seat| seat.listener.set_fault(SLOW_STORE));
    let body = job_of_steps("run_ms=10", &[1]);
    let submissions = (0..JOBS).map(|number| {
        let url = env.url(number as usize % 3, &format!("/q/{}", job_name(number)));
        let call = env.client().post(url).header("Host", CALLER_HOST);
        call.header("X-Greengagearch-Deadline-Ms", "30000").json(&body).send()
    });
    let answers = join_all(submissions).await;
    let statuses: Vec<StatusCode> =
        answers.into_iter().map(|answer| answer.unwrap().status()).collect();
    let told =
        |status: &StatusCode| [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE].contains(status);
    assert!(statuses.iter().all(told), "{statuses:?}");
    assert!(statuses.contains(&StatusCode::OK), "{statuses:?}");
    for number in 0..JOBS {
        let calls = env.store.calls_to_write("jobs", &job_name(number));
        assert!(calls <= MOST_CALLS, "{calls} calls to write job {number}");
    }
    env.planners.iter().for_each(|seat| seat.listener.set_fault(StoreFault::None));
    for number in 0..JOBS {
        env.submit_until_accepted(0, &job_name(number), &body).await;
    }
    env.until_state(0, &job_name(JOBS - 1), "completed").await;
    env.assert_nothing_doubled();
}
