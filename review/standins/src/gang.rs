//! A runner that holds a member of a gang is emptied and taken away.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::json;

use crate::SmallDeployment;
use crate::Verdict;
use crate::pause;
use crate::record::EventRecord;
use crate::route;
use crate::world::StepTraits;

const JOB: &str = "5c0e7a21d94b36f8";
const MEMBERS: usize = 4;
const WORK_MS: f64 = 8_000.0;
/// `ContactMs`: after it the disruption counts no more.
const CONTACT: Duration = Duration::from_millis(3_000);
const BEGIN_LIMIT: Duration = Duration::from_secs(10);
/// Work done when the runner begins to drain.
const WORKED_BEFORE_MS: u64 = 3_200;
const END_LIMIT: Duration = Duration::from_secs(45);

pub async fn play(record: EventRecord) -> Verdict {
    let routes = json!([route("log-build", 2, 1_000, 4)]);
    let Some(deployment) = SmallDeployment::start(record.clone(), routes, 11, false).await else {
        return Verdict::NotRun;
    };
    let world = &deployment.world;
    let traits = StepTraits {
        count: MEMBERS,
        cpu: 1_800,
        mem: 1_000,
        work_ms: WORK_MS,
        is_gang: true,
        has_checkpoints: true,
        lasts: false,
    };
    world.add_job(JOB, vec![traits]);
    let body = json!({ "Spec": "night's log", "Steps": [{
        "Count": MEMBERS, "Cpu": 1_800, "MemMb": 1_000, "EstimateMs": 8_000, "Gang": true,
        "Checkpoints": true, "MaxPerServer": 1,
    }] });
    let path = format!("/log-build/{JOB}");
    if !deployment.client.submit(&path, &body, 0).await {
        return Verdict::NotRun;
    }
    let begun = async {
        while !world.works(JOB) {
            pause(20).await
        }
    };
    if tokio::time::timeout(BEGIN_LIMIT, begun).await.is_err() {
        return Verdict::NotRun;
    }
    pause(WORKED_BEFORE_MS).await;
    let mut calm_from = Duration::ZERO;
    if deployment.has_trouble {
        let Some(drained) = world.runners_of(JOB).first().cloned() else {
            return Verdict::NotRun;
        };
        world.drain(&drained);
        while !world.is_gone(&drained) {
            pause(20).await;
        }
        calm_from = record.elapsed() + CONTACT;
    }
    let since = record.elapsed();
    let mut state = String::new();
    while state != "completed" && record.elapsed() < since + END_LIMIT {
        pause(1_000).await;
        state = deployment.client.state(&path, 1).await.1;
    }
    judge(&deployment, calm_from, &state)
}

fn judge(deployment: &SmallDeployment, calm_from: Duration, state: &str) -> Verdict {
    let mut carried: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    for start in deployment.world.starts() {
        carried.entry(start.run).or_default().insert(start.checkpoint);
    }
    for (run, values) in carried.iter().filter(|(_, values)| values.len() > 1) {
        let text =
            format!("run {run} of the gang was started with {} values: {values:?}", values.len());
        deployment.record.write(&text);
    }
    let ends = deployment.world.ends();
    let alone = ends.iter().filter(|end| end.how == "alone" && end.began_at > calm_from).count();
    let text =
        format!("{alone} runs that began in calm ended alone; the job is shown as '{state}'");
    deployment.record.write(&text);
    deployment.record_logs(&["task_moved", "planning_started"], 5);
    if alone > 0 { Verdict::Broken } else { Verdict::Held }
}
