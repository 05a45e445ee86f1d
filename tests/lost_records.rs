//! Rows of jobs that another writer removes or overwrites while the jobs run, with real processes.

use std::path::Path;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;

const TASK: &str = "run_ms=1500";

/// What another writer does to the row of a job.
#[derive(Clone, Copy, Debug)]
enum ForeignWrite {
    Remove,
    Overwrite(&'static str),
}

fn write_row(env: &PlatformCluster, job: &str, write: ForeignWrite) {
    match write {
        ForeignWrite::Remove => env.store.remove("jobs", "main", job),
        ForeignWrite::Overwrite(text) => {
            env.store.put("jobs", "main", job, STANDARD.encode(text));
        }
    }
}

/// Guards against planning that stops for all jobs: the end of one, or the start of its next step, is in conflict for ever with a row
/// that the planner does not take up.
#[tokio::test]
async fn a_job_whose_row_is_lost_ends_and_holds_up_no_other() {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let env = PlatformCluster::start(programs, None, 1, 1).await;
    let nested = "[".repeat(100_000).leak();
    let writes = [
        ForeignWrite::Remove,
        ForeignWrite::Overwrite("{}"),
        ForeignWrite::Overwrite("{\"Live\":{\"spec\":1e400,\"cancelled\":false}}"),
        ForeignWrite::Overwrite(nested),
    ];
    for (number, write) in (0..).zip(writes) {
        let (job, other) = (job_name(2 * number), job_name(2 * number + 1));
        env.submit_until_accepted(0, &job, &job_of_steps(TASK, &[1, 1])).await;
        let has_begun =
            |job: &str| env.journal.records().iter().any(|run| run.task.starts_with(job));
        env.until(async || has_begun(&job)).await;
        write_row(&env, &job, write);
        env.submit_until_accepted(0, &other, &job_of_steps(TASK, &[1])).await;
        env.until_state(0, &job, "completed").await;
        env.until_state(0, &other, "completed").await;
    }
    env.assert_nothing_doubled();
}
