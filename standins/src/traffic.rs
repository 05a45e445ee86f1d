//! A mixed load on the system on one laptop: requests to every service and batch jobs beside them, with
//! an audit and the burn report at the end.

use std::time::Duration;
use std::time::Instant;

use greengagearch::ctl::report::text_report;
use greengagearch::process::burn_ledger::ServiceBurn;
use reqwest::Client;
use serde_json::Value;
use serde_json::json;

use crate::load::LoadPlan;
use crate::load::run_load;
use crate::local::HOST;
use crate::local::LocalSystem;

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(1);
/// Time between two jobs, and between two lines of progress.
const JOB_INTERVAL: Duration = Duration::from_secs(2);
/// Tasks of a job, and their run time in milliseconds.
const JOB_TASKS: usize = 8;
const TASK_MILLIS: u64 = 1_000;
/// Longest wait for the last jobs and for the counts of the burn report, which entries write every 10 s.
const LAST_WAIT: Duration = Duration::from_secs(15);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(200);

/// What to send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficPlan {
    /// For how long.
    pub length: Duration,
    /// Requests a second, over all services.
    pub rate: f64,
}

/// Sends the load and prints progress, audit and burn report.
pub async fn send_traffic(system: &LocalSystem, plan: TrafficPlan) {
    println!(
        "sending {:.0} requests a second and a job of {JOB_TASKS} tasks every {JOB_INTERVAL:?} for {:?}",
        plan.rate, plan.length
    );
    let loads = futures::future::join_all(system.services.iter().map(|service| {
        let load = load_plan(system, plan, service);
        async move { (service, run_load(&load, &system.requests).await) }
    }));
    let (reports, jobs) = tokio::join!(loads, submit_jobs(system, plan.length));
    let ended = until_jobs_ended(system, &jobs).await;
    let mut violations = system.tasks.violations(&HOST);
    let mut answered = 0;
    for (service, report) in &reports {
        println!("{service}: {report}");
        answered += report.count("answered");
        violations.extend(report.violations.iter().cloned());
    }
    println!("jobs: {} submitted, {ended} ended", jobs.len());
    println!("audit: {} violations", violations.len());
    for violation in &violations {
        println!("violation: {violation}");
    }
    print_burn(system, answered).await;
}

fn load_plan(system: &LocalSystem, plan: TrafficPlan, service: &str) -> LoadPlan {
    LoadPlan {
        entries: vec![system.addresses.callers],
        service: service.to_string(),
        rate: plan.rate / system.services.len() as f64,
        length: plan.length,
        deadline: DEADLINE,
        own_ids: true,
    }
}

/// Submits jobs and prints progress; gives the ids of those that were taken.
async fn submit_jobs(system: &LocalSystem, length: Duration) -> Vec<String> {
    let client = Client::builder().no_proxy().build().unwrap_or_default();
    let url = format!("http://{}/v1/jobs", system.addresses.callers);
    let started = Instant::now();
    let mut taken = Vec::new();
    while started.elapsed() + JOB_INTERVAL <= length {
        let id = format!("traffic-{}", taken.len());
        let answer = client.post(&url).json(&job(system, &id)).send().await;
        match answer {
            Ok(answer) if answer.status().is_success() => taken.push(id),
            Ok(answer) => println!("  job {id} was refused: {}", answer.status()),
            Err(error) => println!("  job {id} was not taken: {error}"),
        }
        tokio::time::sleep(JOB_INTERVAL).await;
        let (requests, tasks) = (system.requests.records().len(), system.tasks.runs().len());
        println!("  {:?}: {requests} requests, {tasks} tasks", started.elapsed());
    }
    taken
}

fn job(system: &LocalSystem, id: &str) -> Value {
    let task = json!({
        "resources": { "millicores": 1_000, "memory_mib": 256 }, "run_millis": TASK_MILLIS
    });
    json!({ "id": id, "team": system.team, "kind": "roster", "tasks": vec![task; JOB_TASKS] })
}

/// Number of jobs that ended within the last wait.
async fn until_jobs_ended(system: &LocalSystem, jobs: &[String]) -> usize {
    let started = Instant::now();
    loop {
        let mut ended = 0;
        for job in jobs {
            let callers = system.addresses.callers;
            let url = format!("http://{callers}/v1/jobs/{}/{job}", system.team);
            let report: Option<Value> = fetch(&url).await;
            ended += usize::from(report.is_some_and(|report| report["state"] == "Ended"));
        }
        if ended == jobs.len() || started.elapsed() >= LAST_WAIT {
            return ended;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Prints the burn report once it counts all answers.
async fn print_burn(system: &LocalSystem, answered: u64) {
    let url = format!("http://{}/v1/burn", system.addresses.operators);
    println!("\nburn report (entries write their counts every 10 s):");
    let started = Instant::now();
    loop {
        let burns: Vec<ServiceBurn> = fetch(&url).await.unwrap_or_default();
        let counted: u64 = burns.iter().map(|burn| burn.whole.good + burn.whole.bad).sum();
        if counted >= answered || started.elapsed() >= LAST_WAIT {
            print!("{}", text_report(&burns));
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn fetch<T: serde::de::DeserializeOwned>(url: &str) -> Option<T> {
    reqwest::get(url).await.ok()?.json().await.ok()
}
