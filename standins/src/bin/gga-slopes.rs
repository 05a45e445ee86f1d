//! Measures what each role costs as the number of workers grows, and fits lines through it.
//!
//! Starts a real entry and real agents at several sizes against the stand-ins, lets them run idle
//! and then with jobs, and reads their processor time, memory, bytes and table calls.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use greengagearch::platform::worker::ResourceAmount;
use greengagearch::process::entry::operator_http::key_hash;
use greengagearch_standins::proxy::FaultProxy;
use greengagearch_standins::runner::RunJournal;
use greengagearch_standins::runner::Runner;
use greengagearch_standins::runner::RunnerBehaviour;
use greengagearch_standins::table_service::TableService;
use greengagearch_standins::worker::TaskJournal;
use greengagearch_standins::worker::Worker;

/// Numbers of workers that are measured.
const SIZES: [usize; 4] = [4, 8, 16, 32];
/// Time for which each size runs idle.
const IDLE: Duration = Duration::from_secs(12);
/// Time for the processes to find each other.
const WARM_UP: Duration = Duration::from_secs(4);
/// Tasks of the job that is run at each size.
const TASKS: usize = 64;
const DOCUMENT: &str = "[service]\nname = spots\nowner = traffic\n\
    [batch-quota]\ncores = 1000\nmemory-gib = 1000\n";
const HOST: ResourceAmount =
    ResourceAmount { millicores: 16_000, memory_mib: 60_000, accelerators: 0 };

/// One figure out of all.
type FigureColumn = fn(&Figures) -> f64;

struct Product {
    child: Child,
    addresses: Vec<SocketAddr>,
}

impl Product {
    fn spawn(program: &Path, file: &Path, text: &str) -> Product {
        std::fs::write(file, text).expect("settings can be written");
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program stands beside this one");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout is piped");
        BufReader::new(stdout).read_line(&mut line).expect("addresses");
        let words = line.split_whitespace().filter_map(|word| word.split_once('='));
        let addresses = words.filter_map(|(_, address)| address.parse().ok()).collect();
        Product { child, addresses }
    }

    /// Seconds of processor time used so far, by all threads, from the scheduler's own account.
    fn cpu(&self) -> f64 {
        let Ok(threads) = std::fs::read_dir(format!("/proc/{}/task", self.child.id())) else {
            return 0.0;
        };
        let nanos = threads.flatten().filter_map(|thread| {
            let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
            text.split_whitespace().next()?.parse::<u64>().ok()
        });
        nanos.sum::<u64>() as f64 / 1e9
    }

    fn resident_mib(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
        let kib = line.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
        kib.unwrap_or(0.0) / 1_024.0
    }

    /// Bytes sent and received so far, from the metrics of the listener at `index`.
    async fn bytes(&self, index: usize) -> f64 {
        let url = format!("http://{}/metrics", self.addresses[index]);
        let Ok(answer) = reqwest::get(url).await else { return 0.0 };
        let text = answer.text().await.unwrap_or_default();
        let value = |name: &str| -> f64 {
            let line = text.lines().find(|line| line.starts_with(name)).unwrap_or("");
            line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0.0)
        };
        value("gga_bytes_sent ") + value("gga_bytes_received ")
    }
}

impl Drop for Product {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

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
    let folder = std::env::temp_dir().join(format!("gga-slopes-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for settings");
    let mut figures = Vec::new();
    for size in SIZES {
        let measured = measure(size, &folder).await;
        println!("{measured:?}");
        figures.push(measured);
    }
    let _ = std::fs::remove_dir_all(&folder);
    print_fits(&figures);
}

async fn measure(size: usize, folder: &Path) -> Figures {
    let programs: PathBuf =
        std::env::current_exe().expect("own path").parent().expect("a folder").to_path_buf();
    let table = TableService::bind().await;
    let hash = key_hash(b"slopes");
    let entry = Product::spawn(
        &programs.join("gga-entry"),
        &folder.join("entry.ini"),
        &format!(
            "[entry]\nid = e1\ndomain = a\n[platform]\ntable = {}\n[team-keys]\ntraffic = {hash}\n",
            table.address
        ),
    );
    let balancer = FaultProxy::bind(&[entry.addresses[2]]).await;
    let mut agents = Vec::new();
    let mut keep: Vec<(Worker, Runner)> = Vec::new();
    for number in 0..size {
        let name = format!("w{number}");
        let worker = Worker::spawn(&name, HOST, TaskJournal::default()).await;
        let text = format!(
            "[agent]\nworker = {name}\ndomain = a\nrack = r\nbalancer = {}\n[platform]\n\
             table = {}\nworker = {}\n",
            balancer.address, table.address, worker.address
        );
        let file = folder.join(format!("{name}.ini"));
        let agent = Product::spawn(&programs.join("gga-agent"), &file, &text);
        let behaviour =
            RunnerBehaviour { time: Duration::ZERO, spread: Duration::ZERO, fails: false };
        let at = agent.addresses[0];
        let runner = Runner::spawn(&name, "spots", 8, at, behaviour, RunJournal::default()).await;
        keep.push((worker, runner));
        agents.push(agent);
    }
    apply(entry.addresses[1]).await;
    tokio::time::sleep(WARM_UP).await;
    let idle = measure_idle(&entry, &agents, &table).await;
    let per_task = measure_tasks(entry.addresses[0], &table, idle).await;
    drop(keep);
    Figures {
        workers: size as f64,
        reads_per_task: per_task.0,
        writes_per_task: per_task.1,
        ..idle
    }
}

async fn apply(operators: SocketAddr) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
    let url = format!("http://{operators}/v1/documents/spots?base=0&token=slopes");
    let call = client.put(url).header("x-team", "traffic").header("x-team-key", "slopes");
    let answer = call.body(DOCUMENT).send().await.expect("the entry answers");
    assert!(answer.status().is_success(), "the document is accepted");
}

async fn measure_idle(entry: &Product, agents: &[Product], table: &TableService) -> Figures {
    let agent = &agents[0];
    let before = (entry.cpu(), entry.bytes(1).await, agent.bytes(0).await, table.counts());
    let agents_before: f64 = agents.iter().map(Product::cpu).sum();
    let started = Instant::now();
    tokio::time::sleep(IDLE).await;
    let seconds = started.elapsed().as_secs_f64();
    let agents_after: f64 = agents.iter().map(Product::cpu).sum();
    let counts = table.counts();
    Figures {
        workers: 0.0,
        entry_cpu_percent: (entry.cpu() - before.0) / seconds * 100.0,
        entry_mib: entry.resident_mib(),
        entry_bytes: (entry.bytes(1).await - before.1) / seconds,
        agent_cpu_percent: (agents_after - agents_before) / agents.len() as f64 / seconds * 100.0,
        agent_mib: agent.resident_mib(),
        agent_bytes: (agent.bytes(0).await - before.2) / seconds,
        reads: (counts.0 - before.3.0) as f64 / seconds,
        writes: (counts.1 - before.3.1) as f64 / seconds,
        reads_per_task: 0.0,
        writes_per_task: 0.0,
    }
}

/// Table reads and writes for each task of a job, beyond those of idling.
async fn measure_tasks(callers: SocketAddr, table: &TableService, idle: Figures) -> (f64, f64) {
    let task = serde_json::json!({
        "resources": { "millicores": 100, "memory_mib": 64 }, "run_millis": 500
    });
    let tasks = vec![task; TASKS];
    let job = serde_json::json!({ "id": "j", "team": "traffic", "kind": "k", "tasks": tasks });
    let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
    let before = table.counts();
    let started = Instant::now();
    let answer = client.post(format!("http://{callers}/v1/jobs")).json(&job).send().await;
    assert_eq!(answer.expect("the entry answers").status(), 201);
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
