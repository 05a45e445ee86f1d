//! Experiments on batch work and on what it does to services.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::DeploymentPlan;
use crate::deployment::TEAM;
use crate::deployment::TrueSlowdowns;
use crate::deployment::until;
use crate::experiments::histogram;
use crate::experiments::load_plan;
use crate::experiments::millis;
use crate::load::LoadPlan;
use crate::load::run_load;
use crate::runner::RunnerBehaviour;
use crate::worker::TaskRun;

/// Services of the placement experiment, each on half of the workers.
const SERVICES: [&str; 2] = ["spots", "logs"];
/// Kinds of tasks in the placement experiment: name and true slowdown of each service by one task.
const KINDS: [(&str, f64, f64); 4] =
    [("quiet", 0.01, 0.02), ("cache", 0.30, 0.03), ("disk", 0.02, 0.35), ("mixed", 0.12, 0.10)];

/// Ways of choosing a worker, beside services that suffer by the pair.
pub async fn placement() {
    for way in ["services alone", "random", "first-fit", "least-loaded", "pairwise"] {
        for size in ["sendeplan", "bridgeway"] {
            place_one(way, size, true).await;
        }
    }
}

/// The same at one user's size only.
pub async fn placement_short() {
    for way in ["services alone", "random", "first-fit", "least-loaded", "pairwise"] {
        place_one(way, "sendeplan", true).await;
    }
}

/// The two ways that matter most, with pairs that do not drift.
pub async fn placement_steady() {
    for way in ["least-loaded", "pairwise"] {
        place_one(way, "sendeplan", false).await;
    }
}

async fn place_one(way: &'static str, size: &str, drifts: bool) {
    let cores = if size == "sendeplan" { 16_000 } else { 64_000 };
    let placement = if way == "services alone" { "least-loaded" } else { way };
    let mut plan = DeploymentPlan {
        behaviour: RunnerBehaviour {
            time: Duration::from_millis(15),
            spread: Duration::from_millis(10),
            fails: false,
            ..Default::default()
        },
        placement,
        services: SERVICES.to_vec(),
        objective: Duration::from_millis(45),
        ..Default::default()
    };
    plan.host.millicores = cores;
    plan.host.memory_mib = cores * 4;
    let deployment = Deployment::spawn(plan).await;
    let slowdowns = true_slowdowns();
    deployment.set_effects(&slowdowns);
    let length = Duration::from_secs(30);
    let warm_up = Duration::from_secs(16);
    let loads = SERVICES.map(|service| LoadPlan {
        length,
        service: service.to_string(),
        ..load_plan(&deployment, deployment.capacity() * 0.2)
    });
    let reports = loads.map(|load| {
        let journal = deployment.requests.clone();
        tokio::spawn(async move {
            // What is learned in the beginning is learned at the callers' cost; it is not counted
            // here for any way.
            let first = LoadPlan { length: warm_up, ..load.clone() };
            run_load(&first, &journal).await;
            run_load(&load, &journal).await
        })
    });
    if way != "services alone" {
        let drifting: &[TrueSlowdowns] = if drifts { &slowdowns } else { &[] };
        submit_waves(&deployment, warm_up + length, cores, drifting).await;
    }
    let mut latency = histogram();
    for report in reports {
        let report = report.await.expect("the load ends");
        latency.add(&report.latency).expect("same bounds");
    }
    print_placement(way, size, &deployment, &latency).await;
}

fn true_slowdowns() -> Vec<TrueSlowdowns> {
    let column = |second: bool| -> TrueSlowdowns {
        let slowdowns = KINDS
            .iter()
            .map(|(kind, first, other)| (kind.to_string(), if second { *other } else { *first }));
        Arc::new(Mutex::new(slowdowns.collect::<BTreeMap<String, f64>>()))
    };
    vec![column(false), column(true)]
}

/// Half-way through, what hurts little hurts more and the other way round.
fn drift(slowdowns: &[TrueSlowdowns]) {
    for slowdowns in slowdowns {
        let mut slowdowns = slowdowns.lock().unwrap_or_else(PoisonError::into_inner);
        slowdowns.values_mut().for_each(|slowdown| *slowdown = *slowdown * 0.6 + 0.06);
    }
}

/// Submits waves of tasks of all kinds that keep the workers about two thirds full.
async fn submit_waves(
    deployment: &Deployment,
    length: Duration,
    cores: u64,
    slowdowns: &[TrueSlowdowns],
) {
    let started = Instant::now();
    let mut wave = 0;
    while started.elapsed() < length {
        for (kind, _, _) in KINDS {
            let task = json!({
                "resources": { "millicores": cores / 8, "memory_mib": 512 },
                "run_millis": 3_000 + (wave % 5) * 500,
            });
            let job = json!({
                "id": format!("{kind}-{wave}"),
                "team": TEAM,
                "kind": kind,
                "tasks": vec![task; 14],
            });
            deployment.submit(&job).await;
        }
        wave += 1;
        if wave == 10 {
            drift(slowdowns);
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
}

async fn print_placement(way: &str, size: &str, deployment: &Deployment, latency: &Histogram<u64>) {
    print_pairs(deployment).await;
    let runs = deployment.tasks.runs();
    let finished = runs.iter().filter(|run| run.finished).count();
    let lost: Duration = runs.iter().filter(|run| !run.finished).filter_map(run_time).sum();
    let mut evictions = 0.0;
    let mut throttled = 0.0;
    for agent in &deployment.agents {
        evictions += event_count(agent, "evicted").await;
        throttled += event_count(agent, "throttled").await;
    }
    println!(
        "placement {size:<9} {way:<14} p50 {:.1} ms p99 {:.1} ms late {} | tasks finished {finished} \
         evictions {evictions:.0} throttled {throttled:.0} interrupted work {:.1} s",
        millis(latency, 0.5),
        millis(latency, 0.99),
        latency.len() - latency.count_between(0, 45_000),
        lost.as_secs_f64()
    );
}

/// What the entry has learned of the pairs, to be held against their true slowdowns.
async fn print_pairs(deployment: &Deployment) {
    let url = format!("http://{}/v1/interference", deployment.entries[0].address("operators"));
    let Ok(answer) = reqwest::get(url).await else { return };
    let pairs: Vec<Value> = answer.json().await.unwrap_or_default();
    for pair in pairs {
        let number = |name: &str| pair[name].as_f64().unwrap_or(0.0);
        println!(
            "  learned {} beside {}: {:.3} ± {:.3}",
            pair["service"],
            pair["kind"],
            number("slowdown"),
            number("deviation")
        );
    }
}

fn run_time(run: &TaskRun) -> Option<Duration> {
    Some(run.until? - run.from)
}

async fn event_count(agent: &crate::processes::ProductProcess, event: &str) -> f64 {
    let name = format!("gga_task_events{{event=\"{event}\"}}");
    let url = format!("http://{}/metrics", agent.address("endpoints"));
    let Ok(answer) = reqwest::get(url).await else { return 0.0 };
    let text = answer.text().await.unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(&name)).unwrap_or("");
    line.rsplit(' ').next().and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

/// Time from the submission of an urgent task until it runs, while the workers are busy.
pub async fn urgent() {
    let deployment = Deployment::spawn(DeploymentPlan { entries: 3, ..Default::default() }).await;
    let filler = json!({
        "resources": { "millicores": 1_000, "memory_mib": 256 }, "run_millis": 60_000
    });
    let job = json!({ "id": "filler", "team": TEAM, "kind": "filler", "tasks": vec![filler; 100] });
    deployment.submit(&job).await;
    until(async || deployment.tasks.runs().len() >= 100).await;
    let mut times = histogram();
    for number in 0..30 {
        let id = format!("urgent-{number}");
        let task = json!({
            "resources": { "millicores": 500, "memory_mib": 64 }, "run_millis": 200
        });
        let job =
            json!({ "id": id, "team": TEAM, "kind": "urgent", "urgent": true, "tasks": [task] });
        let name = format!("{TEAM}/{id}");
        let submitted = Instant::now();
        deployment.submit(&job).await;
        until(async || deployment.tasks.runs().iter().any(|run| run.key.job == name)).await;
        let runs = deployment.tasks.runs();
        let run = runs.iter().find(|run| run.key.job == name);
        let time = run.map_or(Duration::ZERO, |run| run.from - submitted);
        times.saturating_record(time.as_micros() as u64);
    }
    println!(
        "urgent tasks start after p50 {:.0} ms, p99 {:.0} ms",
        millis(&times, 0.5),
        millis(&times, 0.99)
    );
}

/// Time until the tasks of a dead rack run again, and the largest share that one survivor takes.
pub async fn recovery() {
    for way in ["random", "least-loaded", "pairwise"] {
        let plan = DeploymentPlan { entries: 3, placement: way, ..Default::default() };
        let mut deployment = Deployment::spawn(plan).await;
        let task = json!({
            "resources": { "millicores": 1_000, "memory_mib": 256 }, "run_millis": 120_000
        });
        let job = json!({ "id": "long", "team": TEAM, "kind": "long", "tasks": vec![task; 88] });
        deployment.submit(&job).await;
        until(async || running(&deployment).len() >= 88).await;
        let lost = running(&deployment).iter().filter(|run| run.worker.as_str() < "w003").count();
        let died = Instant::now();
        for number in 0..3 {
            deployment.workers[number].die();
            deployment.agents[number].kill();
        }
        until(async || running(&deployment).len() >= 88).await;
        let time = died.elapsed();
        let again: Vec<TaskRun> =
            running(&deployment).into_iter().filter(|run| run.key.attempt > 1).collect();
        let mut shares: BTreeMap<String, usize> = BTreeMap::new();
        again.iter().for_each(|run| *shares.entry(run.worker.clone()).or_default() += 1);
        let largest = shares.values().copied().max().unwrap_or(0);
        println!(
            "recovery {way:<13} {lost} tasks of 3 dead workers run again after {:.1} s; one \
             survivor of 8 takes at most {largest}",
            time.as_secs_f64()
        );
    }
}

fn running(deployment: &Deployment) -> Vec<TaskRun> {
    deployment.tasks.runs().into_iter().filter(|run| run.until.is_none()).collect()
}
