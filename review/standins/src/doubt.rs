//! A runner that may start again under its id leaves a start unanswered, and crashes after its end.

use std::time::Duration;

use serde_json::json;

use crate::SmallDeployment;
use crate::Verdict;
use crate::record::EventRecord;
use crate::route;
use crate::world::StepTraits;

const JOB: &str = "5c0e7a21d94b36f8";
const NODES: u8 = 10;
const TASKS: usize = 30;
const WORK_MS: f64 = 2_000.0;
/// Orders are late for this long, one of so many, by so much.
const LATE_SPAN: Duration = Duration::from_millis(2_000);
const LATE_ONE_OF: u64 = 20;
const LATE_BY: Duration = Duration::from_millis(2_000);
/// `ContactMs`: after it no disruption is near.
const CONTACT: Duration = Duration::from_millis(5_000);
/// An end that is listed for this long counts as taken note of while no disruption is near.
const LISTED: Duration = Duration::from_millis(100);
const CALM: Duration = Duration::from_millis(500);
/// How long the runner is down that crashes.
const DOWN: Duration = Duration::from_millis(700);
const WATCHED: Duration = Duration::from_secs(15);

pub async fn play(record: EventRecord) -> Verdict {
    let routes = json!([route("log-build", 2, 1_000, 4)]);
    let Some(deployment) = SmallDeployment::start(record.clone(), routes, NODES, true).await else {
        return Verdict::NotRun;
    };
    let world = &deployment.world;
    let traits = StepTraits {
        count: TASKS,
        cpu: 1_800,
        mem: 1_000,
        work_ms: WORK_MS,
        is_gang: false,
        has_checkpoints: false,
        lasts: false,
    };
    world.add_job(JOB, vec![traits]);
    if deployment.has_trouble {
        world.set_late(LATE_SPAN, LATE_ONE_OF, LATE_BY);
    }
    let late_until = record.elapsed() + LATE_SPAN + LATE_BY;
    let body = json!({ "Spec": "night's log", "Steps": [{
        "Count": TASKS, "Cpu": 1_800, "MemMb": 1_000, "EstimateMs": 2_000,
    }] });
    let path = format!("/log-build/{JOB}");
    if !deployment.client.submit(&path, &body, 0).await {
        return Verdict::NotRun;
    }
    // Until no disruption is near any more, and for some time of calm.
    tokio::time::sleep((late_until + CONTACT).saturating_sub(record.elapsed())).await;
    let state = deployment.client.state(&path, 1).await.1;
    let mut noted: Vec<(String, String)> = world.unanswered();
    noted.retain(|(runner, task)| world.lists_done(runner, task));
    tokio::time::sleep(LISTED).await;
    noted.retain(|(runner, task)| world.lists_done(runner, task));
    for (runner, task) in &noted {
        let text = format!("no disruption is near; {runner} lists that {task} is done");
        record.write(&format!("{text}, which counts as taken note of; the job is '{state}'"));
    }
    let counted_at = record.elapsed();
    tokio::time::sleep(CALM).await;
    if deployment.has_trouble {
        let Some((runner, _)) = noted.first() else {
            record.write("all ends have been taken note of");
            return Verdict::Held;
        };
        world.crash(runner, DOWN).await;
    }
    tokio::time::sleep(WATCHED).await;
    let state = deployment.client.state(&path, 2).await.1;
    judge(&deployment, &noted, counted_at, &state)
}

fn judge(
    deployment: &SmallDeployment,
    noted: &[(String, String)],
    counted_at: Duration,
    state: &str,
) -> Verdict {
    let starts = deployment.world.starts();
    let again = starts
        .iter()
        .filter(|start| start.at > counted_at && noted.iter().any(|(_, task)| *task == start.task));
    let mut count = 0;
    for start in again {
        count += 1;
        let text = format!("{} was done, and has started again on {}", start.task, start.runner);
        deployment.record.write(&text);
    }
    deployment.record.write(&format!("{count} tasks ran twice; the job is shown as '{state}'"));
    deployment.record_logs(&["start_in_doubt", "worker_lost", "planning_started"], 10);
    if count > 0 { Verdict::Broken } else { Verdict::Held }
}
