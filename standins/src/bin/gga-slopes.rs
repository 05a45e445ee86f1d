//! Measures what each role costs as the number of workers grows, and fits lines through it.
//!
//! Starts a real entry and real agents at several sizes against the stand-ins, lets them run idle
//! and then with jobs, and reads their processor time, memory, bytes and table calls.

use std::time::Duration;
use std::time::Instant;

use greengagearch_standins::deployment::Deployment;
use greengagearch_standins::deployment::DeploymentPlan;
use greengagearch_standins::deployment::TEAM;
use greengagearch_standins::processes::ProductProcess;

/// Numbers of workers that are measured.
const SIZES: [usize; 4] = [4, 8, 16, 32];
/// Time for which each size runs idle.
const IDLE: Duration = Duration::from_secs(12);
/// Time for the processes to find each other.
const WARM_UP: Duration = Duration::from_secs(4);
/// Tasks of the job that is run at each size.
const TASKS: usize = 64;
/// One figure out of all.
type FigureColumn = fn(&Figures) -> f64;

/// One size's figures, each a second where it is a rate.
#[derive(Clone, Copy, Debug)]
struct Figures {
    workers: f64,
    entry_cpu_percent: f64,
    entry_mib: f64,
    entry_bytes: f64,
    agent_cpu_percent: f64,
    agent_mib: f64,
    agent_bytes: f64,
    reads: f64,
    writes: f64,
    reads_per_task: f64,
    writes_per_task: f64,
}

#[tokio::main]
async fn main() {
    let mut figures = Vec::new();
    for size in SIZES {
        let measured = measure(size).await;
        println!("{measured:?}");
        figures.push(measured);
    }
    print_fits(&figures);
}

async fn measure(size: usize) -> Figures {
    let plan = DeploymentPlan { workers: size, ..DeploymentPlan::default() };
    let deployment = Deployment::spawn(plan).await;
    tokio::time::sleep(WARM_UP).await;
    let idle = measure_idle(&deployment).await;
    let (reads_per_task, writes_per_task) = measure_tasks(&deployment, idle).await;
    Figures { workers: size as f64, reads_per_task, writes_per_task, ..idle }
}

async fn measure_idle(deployment: &Deployment) -> Figures {
    let entry = &deployment.entries[0];
    let agent = &deployment.agents[0];
    let agents_cpu = || deployment.agents.iter().map(ProductProcess::cpu_seconds).sum::<f64>();
    let entry_bytes = entry.bytes("operators").await;
    let agent_bytes = agent.bytes("endpoints").await;
    let (entry_cpu, agent_cpu) = (entry.cpu_seconds(), agents_cpu());
    let counts = deployment.table.counts();
    let started = Instant::now();
    tokio::time::sleep(IDLE).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = deployment.table.counts();
    let per_agent = deployment.agents.len() as f64;
    Figures {
        workers: 0.0,
        entry_cpu_percent: (entry.cpu_seconds() - entry_cpu) / seconds * 100.0,
        entry_mib: entry.resident_mib(),
        agent_cpu_percent: (agents_cpu() - agent_cpu) / per_agent / seconds * 100.0,
        agent_mib: agent.resident_mib(),
        reads: (after.0 - counts.0) as f64 / seconds,
        writes: (after.1 - counts.1) as f64 / seconds,
        entry_bytes: (entry.bytes("operators").await - entry_bytes) / seconds,
        agent_bytes: (agent.bytes("endpoints").await - agent_bytes) / seconds,
        reads_per_task: 0.0,
        writes_per_task: 0.0,
    }
}

/// Table reads and writes for each task of a job, beyond those of idling.
async fn measure_tasks(deployment: &Deployment, idle: Figures) -> (f64, f64) {
    let table = &deployment.table;
    let task = serde_json::json!({
        "resources": { "millicores": 100, "memory_mib": 64 }, "run_millis": 500
    });
    let tasks = vec![task; TASKS];
    let job = serde_json::json!({ "id": "j", "team": TEAM, "kind": "k", "tasks": tasks });
    let before = table.counts();
    let started = Instant::now();
    assert!(deployment.submit(&job).await, "the job is taken");
    // Asked in the table itself, so that asking does not count.
    while !table.table.rows("job/").iter().any(|row| row.value.contains("\"state\":\"Ended\"")) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let after = table.counts();
    let reads = (after.0 - before.0) as f64 - idle.reads * seconds;
    let writes = (after.1 - before.1) as f64 - idle.writes * seconds;
    (reads / TASKS as f64, writes / TASKS as f64)
}

fn print_fits(figures: &[Figures]) {
    let columns: [(&str, FigureColumn); 10] = [
        ("entry processor time, % of a core", |one| one.entry_cpu_percent),
        ("entry resident memory, MiB", |one| one.entry_mib),
        ("entry bytes a second, both ways", |one| one.entry_bytes),
        ("agent processor time, % of a core", |one| one.agent_cpu_percent),
        ("agent resident memory, MiB", |one| one.agent_mib),
        ("agent bytes a second, both ways", |one| one.agent_bytes),
        ("table reads a second, idle", |one| one.reads),
        ("table writes a second, idle", |one| one.writes),
        ("table reads a task", |one| one.reads_per_task),
        ("table writes a task", |one| one.writes_per_task),
    ];
    println!("\n| figure | at 4 | 8 | 16 | 32 workers | fit | largest error |");
    println!("|---|---|---|---|---|---|---|");
    for (name, value) in columns {
        let points: Vec<(f64, f64)> = figures.iter().map(|one| (one.workers, value(one))).collect();
        let (base, slope) = fit(&points);
        let error = points.iter().map(|(x, y)| (base + slope * x - y).abs()).fold(0.0, f64::max);
        let cells: Vec<String> = points.iter().map(|(_, y)| format!("{y:.2}")).collect();
        let cells = cells.join(" | ");
        println!("| {name} | {cells} | {base:.3} + {slope:.4} n | {error:.2} |");
    }
}

/// Least squares: the line's value at zero and its slope.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let over = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
    let under = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    let slope = over / under;
    (mean_y - slope * mean_x, slope)
}
