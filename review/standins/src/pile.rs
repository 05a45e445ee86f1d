//! A recurring job that can never be done comes among others.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::json;

use crate::SmallDeployment;
use crate::Verdict;
use crate::pause;
use crate::record::EventRecord;
use crate::route;
use crate::world::CAPACITY_CPU;
use crate::world::StepTraits;

const HOPELESS: &str = "00000000deadbeef";
const WIDTH: usize = 36;
/// Jobs of the class in the 3 s in which the hopeless one comes.
const RUSH: usize = 20;
const RUSH_PAUSE_MS: u64 = 140;
const INTERVAL_MS: u64 = 500;
/// Traffic ends this long after it has begun.
const TRAFFIC: Duration = Duration::from_secs(61);
/// `finish_s`, after which jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

pub async fn play(record: EventRecord) -> Verdict {
    let routes = json!([route("spot-check", 0, 250, 2), route("log-build", 2, 1_000, 4)]);
    let Some(deployment) = SmallDeployment::start(record.clone(), routes, 5, false).await else {
        return Verdict::NotRun;
    };
    let began = record.elapsed();
    let mut accepted: Vec<(String, Duration)> = Vec::new();
    let mut number = 0_usize;
    while record.elapsed() < began + TRAFFIC {
        number += 1;
        accepted.extend(submit_plain(&deployment, number).await);
        if number == 4 {
            // A rush of the class, of which the hopeless job is one in 21.
            for position in 0..RUSH {
                number += 1;
                if position == RUSH / 2
                    && deployment.has_trouble
                    && !submit_hopeless(&deployment).await
                {
                    return Verdict::NotRun;
                }
                accepted.extend(submit_plain(&deployment, number).await);
                pause(RUSH_PAUSE_MS).await;
            }
        }
        pause(1_000).await;
    }
    tokio::time::sleep(FINISH).await;
    let used = deployment.world.used_share();
    record.write(&format!("{:.1} % of the runners' processors are in use", used * 100.0));
    tokio::time::sleep(IDLE).await;
    judge(&deployment, &accepted).await
}

/// Hands in a job that is done at once. Returns it if it was accepted.
async fn submit_plain(deployment: &SmallDeployment, number: usize) -> Option<(String, Duration)> {
    let id = format!("{number:08x}7a21d94b");
    let traits = StepTraits {
        count: 2,
        cpu: 250,
        mem: 100,
        work_ms: 400.0,
        is_gang: false,
        has_checkpoints: false,
        lasts: false,
    };
    deployment.world.add_job(&id, vec![traits]);
    let body = json!({ "Spec": "check", "Steps": [{
        "Count": 2, "Cpu": 250, "MemMb": 100, "EstimateMs": 400,
    }] });
    let path = format!("/spot-check/{id}");
    let is_accepted = deployment.client.submit(&path, &body, number).await;
    is_accepted.then(|| (id, deployment.record.elapsed()))
}

async fn submit_hopeless(deployment: &SmallDeployment) -> bool {
    // The tasks of the first step are small; the last step needs more than any runner has.
    let cpu = 2 * CAPACITY_CPU;
    let traits = |count, cpu| StepTraits {
        count,
        cpu,
        mem: 20,
        work_ms: 50.0,
        is_gang: false,
        has_checkpoints: false,
        lasts: false,
    };
    deployment.world.add_job(HOPELESS, vec![traits(WIDTH, 50), traits(1, cpu)]);
    let steps = json!([
        { "Count": WIDTH, "Cpu": 50, "MemMb": 20, "EstimateMs": 50 },
        { "Count": 1, "Cpu": cpu, "MemMb": 20, "EstimateMs": 50, "After": [0] },
    ]);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let body = json!({
        "Spec": "hourly report", "Steps": steps, "Times": 1_000,
        "FirstMs": now.as_millis() as u64, "IntervalMs": INTERVAL_MS,
    });
    deployment.client.submit(&format!("/spot-check/{HOPELESS}"), &body, 0).await
}

async fn judge(deployment: &SmallDeployment, accepted: &[(String, Duration)]) -> Verdict {
    let starts = deployment.world.starts();
    let begun = |id: &str| starts.iter().any(|start| start.task.starts_with(id));
    let lost: Vec<&(String, Duration)> = accepted.iter().filter(|(id, _)| !begun(id)).collect();
    let text = format!(
        "{} jobs were accepted; {} of them have not begun {} s after the end of the traffic",
        accepted.len(),
        lost.len(),
        (FINISH + IDLE).as_secs(),
    );
    deployment.record.write(&text);
    for (id, at) in &lost {
        let (status, state) = deployment.client.state(&format!("/spot-check/{id}"), 0).await;
        let text =
            format!("{id}, accepted at {:.3}, is shown as {status} {state}", at.as_secs_f64());
        deployment.record.write(&text);
    }
    deployment.record.write(&format!("transactions refused: {}", deployment.store.refused()));
    deployment.record_logs(&["commit_failed", "planning_started", "planning_ended"], 6);
    if lost.is_empty() { Verdict::Held } else { Verdict::Broken }
}
