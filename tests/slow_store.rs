//! A store that is slow for all: callers are served as long as they wait, and nobody adds to the queue by asking others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use futures::future::join_all;
use greengagearch::process::planning::rows::JobLayout;
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

/// Entry hosts and a worker, with the programs of this build and these lines in the settings of entry hosts.
async fn start(planners: usize, lines: &str) -> PlatformCluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let mut env = PlatformCluster::start(programs, None, 0, 1).await;
    env.add_planner_lines(lines);
    for planner in 0..planners {
        env.add_planner().await;
        env.until_ready(planner).await;
    }
    env.until(async || env.store.keys("peers").len() == planners).await;
    env
}

/// Hands in all jobs at once, to all entry hosts in turn.
async fn submit_all(env: &PlatformCluster) -> Vec<StatusCode> {
    let body = job_of_steps("run_ms=10", &[1]);
    let submissions = (0..JOBS).map(|number| {
        let url = env.url(number as usize % 3, &format!("/q/{}", job_name(number)));
        let call = env.client().post(url).header("Host", CALLER_HOST);
        call.header("X-Greengagearch-Deadline-Ms", "30000").json(&body).send()
    });
    let answers = join_all(submissions).await;
    answers.into_iter().map(|answer| answer.unwrap().status()).collect()
}

/// The load: jobs come to all entry hosts while each transaction takes 0.3 s, longer together than the patience of one
/// call. Each caller is told the truth within its time, and has its job accepted when it comes back.
#[tokio::test]
async fn a_store_that_is_slow_for_all_is_waited_for() {
    let env = start(3, "").await;
    env.planners.iter().for_each(|seat| seat.listener.set_fault(SLOW_STORE));
    let statuses = submit_all(&env).await;
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
        env.submit_until_accepted(0, &job_name(number), &job_of_steps("run_ms=10", &[1])).await;
    }
    env.until_state(0, &job_name(JOBS - 1), "completed").await;
    env.assert_nothing_doubled();
}

/// The same load with the jobs' rows in several partitions: no caller is turned away.
#[tokio::test]
async fn jobs_in_several_partitions_do_not_wait_for_each_other() {
    let env = start(3, "job-partitions = 16\n").await;
    env.planners.iter().for_each(|seat| seat.listener.set_fault(SLOW_STORE));
    assert_eq!(submit_all(&env).await, [StatusCode::OK; JOBS as usize]);
    env.planners.iter().for_each(|seat| seat.listener.set_fault(StoreFault::None));
    for number in 0..JOBS {
        env.until_state(0, &job_name(number), "completed").await;
    }
    env.assert_nothing_doubled();
}

/// What was accepted is found by whoever plans next, in all partitions.
#[tokio::test]
async fn jobs_in_several_partitions_are_found_after_a_takeover() {
    let mut env = start(3, "job-partitions = 16\n").await;
    for number in 0..JOBS {
        let body = job_of_steps("run_ms=300", &[1, 1]);
        env.submit_until_accepted(1, &job_name(number), &body).await;
    }
    env.planners[0].process.kill();
    env.store.drop_history();
    for number in 0..JOBS {
        env.until_state(1, &job_name(number), "completed").await;
    }
    env.assert_nothing_doubled();
}

#[test]
fn jobs_are_spread_evenly_over_partitions() {
    let layout = JobLayout { partitions: 16 };
    let mut counts = BTreeMap::new();
    for number in 0..1_600 {
        *counts.entry(layout.row(&job_name(number)).partition).or_insert(0) += 1;
    }
    assert_eq!(
        counts.keys().cloned().collect::<BTreeSet<String>>(),
        layout.partition_names().into_iter().collect()
    );
    assert!(counts.values().all(|count| (60..150).contains(count)), "{counts:?}");
}

/// The load: a store that turns one host away and loses the answers to the others' writes, so that three are asked in vain. The
/// caller is answered within its time all the same; it waits 1.2 s, and the round through the others alone would take 1.95 s.
#[tokio::test]
async fn callers_are_answered_in_time_when_others_are_asked_in_vain() {
    let env = start(4, "").await;
    env.planners[0].listener.set_fault(StoreFault::Busy);
    let others = env.planners.iter().skip(1);
    others.for_each(|seat| seat.listener.set_fault(StoreFault::LoseAnswers(u32::MAX)));
    let call = env.client().post(env.url(0, &format!("/q/{}", job_name(1))));
    let call = call.header("Host", CALLER_HOST).header("X-Greengagearch-Deadline-Ms", "1200");
    let body = job_of_steps("run_ms=10", &[1]);
    let answer = call.timeout(Duration::from_millis(1_800)).json(&body).send().await;
    assert_eq!(answer.unwrap().status(), StatusCode::GATEWAY_TIMEOUT);
}

/// The load: a store that refuses one host after a second of silence, while the others pass the call on and lose the answer. What a
/// caller is told has not run must not be stored; calls come all the while, so that some meet the silence and not yet the refusal.
#[tokio::test]
async fn a_refusal_after_others_were_asked_is_true() {
    let env = start(4, "").await;
    env.planners[0].listener.set_fault(StoreFault::BusyAfter(Duration::from_secs(1)));
    let others = env.planners.iter().skip(1);
    others.for_each(|seat| seat.listener.set_fault(StoreFault::LoseAnswers(u32::MAX)));
    let body = job_of_steps("run_ms=10", &[1]);
    let submissions = (0..40_u64).map(|number| {
        let (env, body) = (&env, &body);
        async move {
            tokio::time::sleep(Duration::from_millis(100) * number as u32).await;
            env.submit(0, &job_name(number), body).await
        }
    });
    let answers = join_all(submissions).await;
    let stored = env.store.keys("jobs");
    for (number, status) in (0..).zip(answers) {
        let is_refused = status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(!(is_refused && stored.contains(&job_name(number))), "job {number}");
    }
}
