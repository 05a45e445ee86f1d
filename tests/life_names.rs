//! Which life of a runner answers a call, where lives follow each other under one id and at one address.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use greengagearch::connection::node_protocol::OrderLease;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::connection::node_protocol::TaskTraits;
use greengagearch::external::runner_control::PollRequest;
use greengagearch::external::runner_control::RunnerControl;
use greengagearch::external::runner_control::RunnerError;
use greengagearch::external::runner_control::RunnerTarget;
use greengagearch::platform::instance_name::instance_name;
use greengagearch::platform::runner_client::RunnerClient;
use greengagearch::process::node::fencing_token::fencing_token;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch_standins::platform_journal::RunJournal;
use greengagearch_standins::platform_runner::PlatformRunner;

/// Time for which a start is held up: far more than the calls take that come before it.
const HELD_UP_FOR: Duration = Duration::from_secs(2);

fn target(runner: &PlatformRunner) -> RunnerTarget {
    let instance = instance_name(&runner.instance, runner.start_time);
    let fence = fencing_token(1, runner.start_time, 0);
    RunnerTarget { address: runner.address.to_string(), instance, epoch: 1, fence }
}

/// Guards against lists of a new life that are taken for those of the life before: its runs would count as lost one by one, and its
/// ends by the numbers of other ends.
#[tokio::test]
async fn lists_of_a_later_life_under_the_same_id_are_told_as_such() {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let client = RunnerClient::open();
    let first = PlatformRunner::spawn_with_start_time("i-1", nobody, RunJournal::default()).await;
    let before = target(&first);
    assert_matches!(client.poll(&before, PollRequest::default()).await, Ok(_));
    let second = first.restart(Duration::from_millis(10)).await;
    assert_matches!(
        client.poll(&before, PollRequest::default()).await,
        Err(RunnerError::OtherInstance)
    );
    assert_matches!(client.poll(&target(&second), PollRequest::default()).await, Ok(_));
}

fn order() -> StartOrder {
    let traits = TaskTraits {
        task: "a.0.0.0".parse().unwrap(),
        image: String::new(),
        target_ms: 0,
        best_effort: false,
        resources: ResourceVector::default(),
        effects: Vec::new(),
        idle_tail_ms: 0,
        yields: false,
    };
    let (payload, checkpoint) = ("run_ms=50".to_string(), String::new());
    let lease = OrderLease::default();
    StartOrder { run: 1, payload, checkpoint, ticket: None, lease, traits, is_repeat: false }
}

/// Guards against runs that nobody knows of: a start that was held up comes to the next life, which has seen no token of its own.
#[tokio::test]
async fn a_start_for_the_life_before_is_refused_once_the_next_one_has_been_called() {
    for is_called in [false, true] {
        let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
        let (client, journal) = (RunnerClient::open(), RunJournal::default());
        let first = PlatformRunner::spawn_with_start_time("i-1", nobody, journal.clone()).await;
        first.set_late_orders(Some(HELD_UP_FOR));
        let late = client.start(&target(&first), &order(), 60_000).await;
        assert_matches!(late, Err(RunnerError::NoAnswer { .. }));
        let second = first.restart(Duration::from_millis(40)).await;
        if is_called {
            client.poll(&target(&second), PollRequest::default()).await.unwrap();
        }
        tokio::time::sleep(2 * HELD_UP_FOR).await;
        assert_eq!(journal.records().is_empty(), is_called);
    }
}

/// Guards against calls that the next life carries out in place of the one that they were meant for: their sender stood still between
/// the decision and the call. A client that has called before has an idle connection, which has ended with that life.
#[tokio::test]
async fn calls_for_the_life_before_that_leave_late_change_nothing_at_the_next_one() {
    for has_called in [false, true] {
        let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
        let (client, journal) = (RunnerClient::open(), RunJournal::default());
        let first = PlatformRunner::spawn_with_start_time("i-1", nobody, journal.clone()).await;
        let before = target(&first);
        if has_called {
            client.poll(&before, PollRequest::default()).await.unwrap();
        }
        let second = first.restart(Duration::from_millis(40)).await;
        let other = RunnerClient::open();
        other.start(&target(&second), &order(), 60_000).await.unwrap();
        let has_ended = async || {
            let lists = other.poll(&target(&second), PollRequest::default()).await.unwrap();
            lists.ended.len() == 1
        };
        while !has_ended().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }

        let late = StartOrder { run: 2, ..order() };
        let renewal = PollRequest { lease_end: Some(60_000), seen: 1, wait: Duration::ZERO };
        assert!(client.start(&before, &late, 60_000).await.is_err());
        assert!(client.stop(&before, &late.traits.task, 2).await.is_err());
        assert!(client.pace(&before, &late.traits.task, 2, 50).await.is_err());
        assert!(client.poll(&before, renewal).await.is_err());
        assert_eq!(journal.records().len(), 1, "the late start has begun");
        assert!(has_ended().await, "the end is forgotten");
        let next = client.start(&target(&second), &late, 60_000).await;
        assert_matches!(next, Ok(()), "the run counts as stopped");
    }
}
