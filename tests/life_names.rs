//! Which life of a runner answers a call, where lives follow each other under one id and at one address.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use greengagearch::external::runner_control::RunnerControl;
use greengagearch::external::runner_control::RunnerError;
use greengagearch::external::runner_control::RunnerHold;
use greengagearch::external::runner_control::RunnerTarget;
use greengagearch::platform::life_name::life_name;
use greengagearch::platform::runner_client::RunnerClient;
use greengagearch_standins::platform_journal::RunJournal;
use greengagearch_standins::platform_runner::PlatformRunner;

fn target(runner: &PlatformRunner) -> RunnerTarget {
    let instance = life_name(&runner.instance, runner.born);
    RunnerTarget { address: runner.address.to_string(), instance, epoch: 1 }
}

/// Guards against lists of a new life that are taken for those of the life before: its runs would count as lost one by one, and its
/// ends by the numbers of other ends.
#[tokio::test]
async fn lists_of_a_later_life_under_the_same_id_are_told_as_such() {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let client = RunnerClient::open();
    let first = PlatformRunner::spawn_born("i-1", nobody, RunJournal::default()).await;
    let before = target(&first);
    assert_matches!(client.hold(&before, RunnerHold::default()).await, Ok(_));
    let second = first.rebear(Duration::from_millis(10)).await;
    assert_matches!(client.hold(&before, RunnerHold::default()).await, Err(RunnerError::OtherLife));
    assert_matches!(client.hold(&target(&second), RunnerHold::default()).await, Ok(_));
}
