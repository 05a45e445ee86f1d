//! Rows of another writer among those of agents and planners, with real processes: they name nobody to use, and the others hold.

mod foreign_writer;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use greengagearch::process::planning::rows::HOST_PARTITION;
use greengagearch::process::planning::rows::LIFE_TABLE;
use greengagearch::process::planning::rows::NODE_TABLE;
use greengagearch::process::planning::rows::PEER_TABLE;
use greengagearch::process::planning::rows::agent_row;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;

use crate::foreign_writer::TASK;
use crate::foreign_writer::play;
use crate::foreign_writer::start;

/// Values that cannot be read, or name no address, as the store returns them.
fn values() -> Vec<String> {
    let texts = [
        "[".repeat(40_000),
        "{\"id\":\"x\",\"address\":\"127.0.0.1:99999\",\"share\":1e400}".to_string(),
        "{\"id\":\"x\",\"address\":\"127.0.0.1:99999\",\"lives\":[]}".to_string(),
        "{\"id\":\"x\",\"address\":\"127.0.0.1:0\",\"lives\":7}".to_string(),
        "{\"id\":\"x\"}".to_string(),
    ];
    texts.iter().map(|text| STANDARD.encode(text)).chain(["not base64!".to_string()]).collect()
}

/// Lets another process plan, which reads all rows, and hands in a job.
async fn take_over(env: &mut PlatformCluster) {
    env.planners[0].process.kill();
    let job = job_name(999);
    env.submit_until_accepted(1, &job, &job_of_steps(TASK, &[4])).await;
    env.until_state(1, &job, "completed").await;
}

/// Guards against tables that are not read any more because one row of a page cannot be decoded.
#[tokio::test]
async fn a_row_of_another_writer_leaves_the_others() {
    let mut env = start(2).await;
    for (number, value) in (0..).zip(values()) {
        play(&env, number, &format!("{value:.40}"), async || {
            for table in [NODE_TABLE, PEER_TABLE, LIFE_TABLE] {
                for partition in [HOST_PARTITION.to_string(), agent_row(table, "x").partition] {
                    let key = format!("0-foreign-{number}");
                    env.store.put(table, &partition, &key, value.clone());
                }
            }
        })
        .await;
    }
    take_over(&mut env).await;
}

/// Guards against a runner that is lost because the row of its agent, which is at work, is overwritten.
#[tokio::test]
async fn a_row_that_is_overwritten_does_not_end_the_link_to_its_agent() {
    let mut env = start(2).await;
    let agents = env.store.keys(NODE_TABLE);
    let peers = env.store.keys(PEER_TABLE);
    for (number, value) in (0..).zip(values()) {
        play(&env, number, &format!("{value:.40}"), async || {
            for agent in &agents {
                for table in [NODE_TABLE, LIFE_TABLE] {
                    let partition = agent_row(table, agent).partition;
                    env.store.put(table, &partition, agent, value.clone());
                }
            }
            for peer in &peers {
                env.store.put(PEER_TABLE, HOST_PARTITION, peer, value.clone());
            }
        })
        .await;
    }
    // The agents register again with their processes.
    env.restart_agent(0);
    env.restart_agent(1);
    take_over(&mut env).await;
}
