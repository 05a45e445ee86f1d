//! What a caller is told of a request that may be repeated, when the last of its tries was not run.

mod env;

use std::time::Duration;

use env::TestEnv;
use greengagearch_standins::caller::Caller;
use greengagearch_standins::runner::RunnerBehaviour;

/// Requests of the service may be repeated, and each brings a retry with it.
const DOCUMENT: &str = "[service]\nname = spots\nowner = traffic\n\
    [requests]\nlargest-deadline = 20s\ndefault-deadline = 10s\nidempotent = true\n\
    [guards]\nretry-share = 1\n";

/// Guards against a caller that is told "not run" of a request that was running: its first try was still at work when the deadline
/// passed, and the second was not sent any more.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_first_try_ran_is_never_called_not_run() {
    let mut env = TestEnv::open().await;
    let entry = env.spawn_entry("e1");
    env.balancer.set_targets(&[entry.address("internal")]);
    env.apply_text(&entry, DOCUMENT).await;
    let hosts = [env.spawn_host("w1").await, env.spawn_host("w2").await];
    let mut runners = Vec::new();
    for host in &hosts {
        runners.push(env.spawn_runner(host, Duration::from_millis(20)).await);
    }
    env.until_serving(&entry).await;
    let (time, spread) = (Duration::from_secs(5), Duration::ZERO);
    let slow = RunnerBehaviour { time, spread, fails: false, ..Default::default() };
    runners.iter().for_each(|runner| runner.set_behaviour(slow));
    let before: u64 = runners.iter().map(|runner| runner.begun()).sum();
    let caller = Caller::open("desk");
    let callers = entry.address("callers");
    let answer = caller.send(callers, "spots", None, Duration::from_millis(400), "b").await;
    let begun = runners.iter().map(|runner| runner.begun()).sum::<u64>() - before;
    assert_eq!((begun, answer.outcome.as_str()), (1, "unknown"), "{answer:?}");
}
