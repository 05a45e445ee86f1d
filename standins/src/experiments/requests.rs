//! Experiments on the request path and on documents.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use reqwest::Client;
use uuid::Uuid;

use crate::caller::Caller;
use crate::deployment::Deployment;
use crate::deployment::DeploymentPlan;
use crate::deployment::SERVICE;
use crate::deployment::SLOTS;
use crate::experiments::LOAD_LENGTH;
use crate::experiments::LONG_DEADLINE;
use crate::experiments::histogram;
use crate::experiments::load_plan;
use crate::experiments::millis;
use crate::load::LoadPlan;
use crate::load::run_load;
use crate::runner::RunnerBehaviour;
use crate::table_service::TableFault;

/// Calls of a warm-up.
const WARM_UP_CALLS: usize = 300;

fn fixed_time(millis: u64) -> RunnerBehaviour {
    RunnerBehaviour {
        time: Duration::from_millis(millis),
        spread: Duration::ZERO,
        fails: false,
        ..Default::default()
    }
}

/// Time that the system adds to a call, at half load, against calls of a runner in the same run.
pub async fn latency() {
    let plan = DeploymentPlan { behaviour: fixed_time(10), workers: 4, ..Default::default() };
    let deployment = Deployment::spawn(plan).await;
    let rate = deployment.capacity() * 0.5;
    let load = load_plan(&deployment, rate);
    let journal = deployment.requests.clone();
    let background = tokio::spawn(async move { run_load(&load, &journal).await });
    let client = Client::builder().no_proxy().tcp_nodelay(true).build().unwrap_or_default();
    let entry = deployment.callers()[0];
    let through = format!("http://{entry}/v1/services/{SERVICE}/requests");
    let direct = format!("http://{}/", deployment.runners[0].address);
    let (mut entry_times, mut direct_times) = (histogram(), histogram());
    for call in 0..WARM_UP_CALLS * 2 {
        // In turn, so that both see the same load.
        let direct_time = time_call(&client, &direct).await;
        let entry_time = time_call(&client, &through).await;
        if call >= WARM_UP_CALLS / 10 {
            direct_times.saturating_record(direct_time.as_micros() as u64);
            entry_times.saturating_record(entry_time.as_micros() as u64);
        }
    }
    let report = background.await.expect("the load ends");
    println!("latency at {rate:.0} requests/s (half of all slots), ms: {report}");
    for (name, quantile) in [("p50", 0.5), ("p90", 0.9), ("p99", 0.99)] {
        let (through, direct) = (millis(&entry_times, quantile), millis(&direct_times, quantile));
        println!("  {name}: direct {direct:.2} through {through:.2} added {:.2}", through - direct);
    }
}

async fn time_call(client: &Client, url: &str) -> Duration {
    let started = Instant::now();
    let call = client.post(url).header("x-request-id", Uuid::now_v7().to_string());
    if let Ok(answer) = call.body("a spot").send().await {
        let _ = answer.bytes().await;
    }
    started.elapsed()
}

/// Requests a second through one entry, with callers that send without pause, and its costs.
pub async fn rate() {
    let plan = DeploymentPlan { behaviour: fixed_time(0), workers: 4, ..Default::default() };
    let deployment = Deployment::spawn(plan).await;
    let entry = deployment.callers()[0];
    for callers in [1_usize, 8, 24] {
        let (cpu, agents) = (cpu_of_entry(&deployment), cpu_of_agents(&deployment));
        let started = Instant::now();
        let tasks = (0..callers).map(|_| tokio::spawn(call_without_pause(entry)));
        let mut answered = 0_u64;
        for task in tasks.collect::<Vec<_>>() {
            answered += task.await.unwrap_or(0);
        }
        let seconds = started.elapsed().as_secs_f64();
        let each = |used: f64| used / answered as f64 * 1e6;
        println!(
            "rate with {callers} callers: {:.0} requests/s, entry {:.0} µs and agents {:.0} µs of \
             processor time a request, entry {:.1} MiB, agent {:.1} MiB",
            answered as f64 / seconds,
            each(cpu_of_entry(&deployment) - cpu),
            each(cpu_of_agents(&deployment) - agents),
            deployment.entries[0].resident_mib(),
            deployment.agents[0].resident_mib()
        );
    }
}

async fn call_without_pause(entry: SocketAddr) -> u64 {
    let caller = Caller::open("rate");
    let started = Instant::now();
    let mut answered = 0;
    while started.elapsed() < LOAD_LENGTH / 2 {
        let answer = caller.send(entry, SERVICE, None, LONG_DEADLINE, "a spot").await;
        answered += u64::from(answer.is_own_answer());
    }
    answered
}

fn cpu_of_entry(deployment: &Deployment) -> f64 {
    deployment.entries[0].cpu_seconds()
}

fn cpu_of_agents(deployment: &Deployment) -> f64 {
    deployment.agents.iter().map(|agent| agent.cpu_seconds()).sum()
}

/// Ways of choosing an endpoint, with equal runners and with a slow one.
pub async fn routing() {
    route_all(&[false, true]).await;
}

/// The same with a slow runner only.
pub async fn routing_slow() {
    route_all(&[true]).await;
}

async fn route_all(slow_or_not: &[bool]) {
    let ways = ["random", "least-loaded", "two-choices", "local-first"];
    let behaviour = RunnerBehaviour {
        time: Duration::from_millis(10),
        spread: Duration::from_millis(20),
        fails: false,
        ..Default::default()
    };
    let plan = DeploymentPlan { entries: 3, behaviour, ..Default::default() };
    let mut deployment = Deployment::spawn(plan.clone()).await;
    let capacity = deployment.capacity();
    for slow in slow_or_not.iter().copied() {
        let first = RunnerBehaviour {
            time: behaviour.time * if slow { 5 } else { 1 },
            spread: behaviour.spread * if slow { 5 } else { 1 },
            ..behaviour
        };
        deployment.runners[0].set_behaviour(first);
        // A slow runner takes a fifth of what it took.
        let whole = if slow { capacity * (10.0 + 0.2) / 11.0 } else { capacity };
        for share in [0.5, 0.8, 0.95] {
            for way in ways {
                let edition = DeploymentPlan { routing: way, ..plan.clone() };
                let text = format!("# {way} {share} {slow}\n{}", edition.document());
                let generation = deployment.apply(&text).await;
                deployment.until_in_force(generation).await;
                let load = load_plan(&deployment, whole * share);
                let report = run_load(&load, &deployment.requests).await;
                println!("routing slow={slow} at {:.0} %: {way:<13} {report}", share * 100.0);
            }
        }
    }
}

/// Answers in time at three times the capacity.
pub async fn overload() {
    let plan = DeploymentPlan { workers: 4, behaviour: fixed_time(40), ..Default::default() };
    let deployment = Deployment::spawn(plan).await;
    let capacity = deployment.capacity();
    for times in [1.0, 3.0] {
        let deadline = Duration::from_millis(500);
        let load = LoadPlan { deadline, ..load_plan(&deployment, capacity * times) };
        let report = run_load(&load, &deployment.requests).await;
        let share = report.goodput() / capacity * 100.0;
        println!("overload at {times} times {capacity:.0}/s: {share:.0} % of capacity: {report}");
    }
}

/// Answers in time of runners that declare twice the slots that they have cores for, with and without
/// the learned limit, below and beyond what the cores bear.
pub async fn limit() {
    let cores = SLOTS / 2;
    let time = Duration::from_millis(20);
    let behaviour = RunnerBehaviour { time, cores: Some(cores), ..Default::default() };
    let plan = DeploymentPlan { workers: 4, behaviour, ..Default::default() };
    let mut deployment = Deployment::spawn(plan.clone()).await;
    let capacity = deployment.capacity() / 2.0;
    for is_adaptive in [false, true, false, true] {
        let guard = format!("[guards]\nadaptive-limit = {is_adaptive}\n");
        let text = plan.document().replace("[guards]\n", &guard);
        let text = format!("# {}\n{text}", Uuid::now_v7());
        let generation = deployment.apply(&text).await;
        deployment.until_in_force(generation).await;
        // The limit needs some seconds to learn.
        run_load(&load_plan(&deployment, capacity * 1.5), &deployment.requests).await;
        for times in [0.8, 1.5, 3.0] {
            let deadline = Duration::from_millis(200);
            let load = LoadPlan { deadline, ..load_plan(&deployment, capacity * times) };
            let report = run_load(&load, &deployment.requests).await;
            let share = report.goodput() / capacity * 100.0;
            println!("limit adaptive={is_adaptive} at {times} times: {share:.0} %: {report}");
        }
    }
}

/// Time until bookings in the partitions of an entry that was killed are answered again.
pub async fn takeover() {
    let plan = DeploymentPlan { entries: 3, behaviour: fixed_time(5), ..Default::default() };
    let mut deployment = Deployment::spawn(plan).await;
    let mut times = Vec::new();
    for _ in 0..5 {
        let addresses = deployment.callers();
        deployment.entries[0].kill();
        let killed = Instant::now();
        let answered = first_answers(&addresses[1..], killed).await;
        times.push(answered);
        deployment.entries[0] = deployment.spawn_entry(0);
        deployment.until_whole().await;
    }
    times.sort();
    println!("takeover of a killed entry's partitions: {times:?}");
}

/// Time until callers with ids of their own, which fall into all partitions, are all answered.
async fn first_answers(entries: &[SocketAddr], since: Instant) -> Duration {
    let caller = Caller::open("takeover");
    let calls = (0..96).map(|number| {
        let caller = caller.clone();
        let entry = entries[number % entries.len()];
        async move {
            let answers = caller.send_until_known(&[entry], SERVICE, LONG_DEADLINE, "b").await;
            answers.last().is_some_and(|answer| answer.is_own_answer())
        }
    });
    let tasks: Vec<_> = calls.map(tokio::spawn).collect();
    let mut answered = 0;
    for task in tasks {
        answered += u32::from(task.await.unwrap_or(false));
    }
    println!("  {answered} of 96 answered after {:?}", since.elapsed());
    since.elapsed()
}

/// Time from the acceptance of a document until it is in force in 3 entries and 11 agents.
pub async fn documents() {
    measure_in_force(TableFault::None).await;
}

/// The same when the table service goes down right after the acceptance.
pub async fn documents_outage() {
    measure_in_force(TableFault::Down).await;
}

async fn measure_in_force(fault: TableFault) {
    let plan = DeploymentPlan { entries: 3, ..Default::default() };
    let mut deployment = Deployment::spawn(plan.clone()).await;
    let mut times = histogram();
    for edition in 0..30 {
        let text = format!("# edition {edition}\n{}", plan.document());
        let generation = deployment.apply(&text).await;
        let accepted = Instant::now();
        deployment.table.set_fault(fault);
        deployment.until_in_force(generation).await;
        times.saturating_record(accepted.elapsed().as_micros() as u64);
        deployment.table.set_fault(TableFault::None);
    }
    println!(
        "documents in force in 14 processes with the table service {fault:?} after the acceptance, \
         as all 3 entries report: p50 {:.0} ms, p99 {:.0} ms",
        millis(&times, 0.5),
        millis(&times, 0.99)
    );
}
