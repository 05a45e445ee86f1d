//! Entries that cannot be read in the lists of runners, with real processes: the others hold.

mod foreign_writer;

use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;

use crate::foreign_writer::nested;
use crate::foreign_writer::start_nodes;

/// Longer than any lease.
const TASK: &str = "run_ms=14000";
/// More than fit on all runners but one.
const TASKS_PER_RUNNER: u32 = 13;

/// Entries that come first in the lists of a runner, as JSON: of what runs, and of what has ended.
fn foreign_entries() -> Vec<(String, String)> {
    let (nested, largest) = (nested(), u64::MAX);
    let running = [
        nested.clone(),
        "[\"x\",1,\"\",0,0]".to_string(),
        "[\"0000000000abcdef.0.0.0\",1e400,\"\",0,0]".to_string(),
        format!("[\"0000000000abcdef.0.0.0\",{largest},\"\",0,0]"),
        "{}".to_string(),
    ];
    let ended = [
        nested,
        format!("[{largest},\"0000000000abcdef.0.0.0\",1,\"done\",\"\"]"),
        "[1e400,\"0000000000abcdef.0.0.0\",1,\"done\",\"\"]".to_string(),
        "7".to_string(),
    ];
    let running = running.into_iter().map(|entry| (entry, String::new()));
    running.chain(ended.into_iter().map(|entry| (String::new(), entry))).collect()
}

fn begun(env: &PlatformCluster, job: &str) -> usize {
    env.journal.records().iter().filter(|run| run.task.starts_with(job)).count()
}

/// Guards against runners that are lost, and whose tasks run twice, because one entry of their lists cannot be read; each runner
/// here lists another one.
#[tokio::test]
async fn an_entry_of_a_runners_lists_that_cannot_be_read_leaves_the_others() {
    let entries = foreign_entries();
    let env = start_nodes(1, entries.len()).await;
    let tasks = TASKS_PER_RUNNER * entries.len() as u32;
    let job = job_name(1);
    env.submit_until_accepted(0, &job, &job_of_steps(TASK, &[tasks])).await;
    env.until(async || begun(&env, &job) == tasks as usize).await;
    for (node, (running, ended)) in env.nodes.iter().zip(&entries) {
        node.runner.set_foreign_entries(running, ended);
    }
    env.until_state(0, &job, "completed").await;
    assert_eq!(begun(&env, &job), tasks as usize, "a task has started again");
    env.assert_nothing_doubled();
    env.nodes.iter().for_each(|node| node.runner.set_foreign_entries("", ""));
    let later = job_name(2);
    env.submit_until_accepted(0, &later, &job_of_steps("run_ms=100", &[tasks])).await;
    env.until_state(0, &later, "completed").await;
    assert!(env.nodes.iter().all(|node| node.process.is_running()));
}
