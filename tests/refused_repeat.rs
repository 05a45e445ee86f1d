//! What callers are told of a job when the table service refuses a repeat of a write whose answer was lost.

mod env;

use env::TestEnv;
use env::cancel;
use env::get;
use env::job;
use env::submit;
use env::until;
use greengagearch_standins::processes::ProductProcess;
use greengagearch_standins::table_service::TableFault;
use reqwest::StatusCode;

/// An entry whose document is in force.
async fn open() -> (TestEnv, ProductProcess) {
    let mut env = TestEnv::open().await;
    let entry = env.spawn_entry("e1");
    env.balancer.set_targets(&[entry.address("internal")]);
    env.apply_document(&entry).await;
    (env, entry)
}

/// Guards against a job that runs though its caller was told that nothing was changed: the first write had taken effect, its answer
/// was lost, and the refusal of the second was given as the answer to the submission.
#[tokio::test(flavor = "multi_thread")]
async fn a_submission_whose_repeat_is_refused_is_unknown() {
    let (env, entry) = open().await;
    let callers = entry.address("callers");
    env.table.set_fault(TableFault::LoseAnswerAndRefuse);
    let (status, answer) = submit(callers, &job("night", 1, 50)).await;
    env.table.set_fault(TableFault::None);
    until("the job is there", async || {
        get(callers, "/v1/jobs/traffic/night").await["state"] == "Active"
    })
    .await;
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT.as_u16(), "{answer}");
}

/// Guards against a job that is cancelled though its caller was told that nothing was changed: the look after the lost answer was
/// refused, and that refusal was given as the answer to the cancel.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_whose_repeat_is_refused_is_unknown() {
    let (env, entry) = open().await;
    let callers = entry.address("callers");
    until("the job is taken", async || submit(callers, &job("night", 1, 50)).await.0 == 201).await;
    env.table.set_fault(TableFault::LoseAnswerAndRefuse);
    let status = cancel(callers, "night").await;
    env.table.set_fault(TableFault::None);
    until("the job is cancelled", async || {
        let state = get(callers, "/v1/jobs/traffic/night").await["state"].clone();
        state == "Cancelled" || state == "Ended"
    })
    .await;
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT.as_u16());
}
