//! The whole path as separate processes: one request answered, one job run and finished.

mod env;

use std::time::Duration;

use env::HOST;
use env::TestEnv;
use env::job;
use env::submit;
use env::until_job_ended;
use greengagearch_standins::caller::Caller;

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_answered_and_a_job_is_finished() {
    let mut env = TestEnv::open().await;
    let entry = env.spawn_entry("e1");
    env.balancer.set_targets(&[entry.address("internal")]);
    env.apply_document(&entry).await;
    let first = env.spawn_host("w1").await;
    let second = env.spawn_host("w2").await;
    let _first_runner = env.spawn_runner(&first, Duration::from_millis(2)).await;
    let _second_runner = env.spawn_runner(&second, Duration::from_millis(2)).await;
    env.until_serving(&entry).await;

    let callers = entry.address("callers");
    let caller = Caller::open("desk");
    let answer = caller.send(callers, "spots", None, Duration::from_secs(5), "a spot").await;
    assert!(answer.is_own_answer(), "{answer:?}");
    assert_eq!(env.requests.runs_of(&answer.id), 1);

    let (status, report) = submit(callers, &job("night", 3, 20)).await;
    assert_eq!(status, 201, "{report}");
    let report = until_job_ended(callers, "night").await;
    assert_eq!(report["ends"].as_array().map(Vec::len), Some(3), "{report}");
    assert!(report["ends"][0]["Done"]["result"] == "done night", "{report}");
    assert_eq!(env.tasks.violations(&HOST), Vec::<String>::new());
    assert_eq!(submit(callers, &job("night", 3, 20)).await.0, 200);
    assert_eq!(submit(callers, &job("night", 2, 20)).await.0, 409);
}
