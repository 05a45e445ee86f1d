//! One small environment for all integration tests: real processes against the stand-ins.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod bookings;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use greengagearch::external::worker::ResourceAmount;
use greengagearch::process::entry::operator_http::key_hash;
use greengagearch_standins::caller::Caller;
use greengagearch_standins::processes::ProductProcess;
use greengagearch_standins::processes::SettingsFolder;
use greengagearch_standins::proxy::FaultProxy;
use greengagearch_standins::runner::RunJournal;
use greengagearch_standins::runner::Runner;
use greengagearch_standins::runner::RunnerBehaviour;
use greengagearch_standins::table_service::TableService;
use greengagearch_standins::worker::TaskJournal;
use greengagearch_standins::worker::Worker;
use serde_json::Value;

/// Key of the team of the tests.
pub const TEAM_KEY: &str = "a key for tests";
/// Bound on every wait for a condition; far beyond what any takes.
const PATIENCE: Duration = Duration::from_secs(30);
/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);
/// What a worker of the tests has.
pub const HOST: ResourceAmount =
    ResourceAmount { millicores: 4_000, memory_mib: 8_192, accelerators: 1 };
/// A document that all tests use.
pub const DOCUMENT: &str = "[service]\nname = spots\nowner = traffic\n\
    [requests]\nlargest-deadline = 20s\ndefault-deadline = 10s\n\
    [batch-quota]\ncores = 100\nmemory-gib = 100\naccelerators = 10\n";

/// The stand-ins and processes of a test.
pub struct TestEnv {
    /// The table service.
    pub table: TableService,
    /// The balancer of the entries' internal listeners.
    pub balancer: FaultProxy,
    /// What runners ran.
    pub requests: RunJournal,
    /// What workers ran.
    pub tasks: TaskJournal,
    /// Lines of the entry's own section in the settings of each entry.
    pub entry_keys: String,
    /// Lines that the settings of each entry end with.
    pub entry_lines: String,
    /// Lines that the settings of each agent end with.
    pub agent_lines: String,
    folder: SettingsFolder,
}

/// An agent with its worker.
pub struct TestHost {
    /// The agent.
    pub agent: ProductProcess,
    /// The worker.
    pub worker: Worker,
    name: String,
}

impl TestEnv {
    /// An environment without processes.
    pub async fn open() -> TestEnv {
        TestEnv {
            table: TableService::bind().await,
            balancer: FaultProxy::bind(&[]).await,
            requests: RunJournal::default(),
            tasks: TaskJournal::default(),
            entry_keys: String::new(),
            entry_lines:
                "[timing]\nentry-beat = 100ms\nagent-beat = 200ms\nlongest-grant-only = 8s\n"
                    .to_string(),
            agent_lines: String::new(),
            folder: SettingsFolder::open(),
        }
    }

    /// Starts an entry.
    pub fn spawn_entry(&mut self, id: &str) -> ProductProcess {
        let table = self.table.address;
        self.spawn_entry_at(id, table)
    }

    /// Starts an entry that reaches the table service at another address, such as a proxy.
    pub fn spawn_entry_at(&mut self, id: &str, table: SocketAddr) -> ProductProcess {
        self.spawn_entry_with(id, table, "")
    }

    /// Starts an entry that others reach through a proxy, whose target is set here.
    pub async fn spawn_entry_behind(&mut self, id: &str, proxy: &FaultProxy) -> ProductProcess {
        let line = format!("internal-advertise = {}\n", proxy.address);
        let table = self.table.address;
        let entry = self.spawn_entry_with(id, table, &line);
        proxy.set_targets(&[entry.address("internal")]);
        entry
    }

    fn spawn_entry_with(&mut self, id: &str, table: SocketAddr, lines: &str) -> ProductProcess {
        let hash = key_hash(TEAM_KEY.as_bytes());
        let text = format!(
            "[entry]\nid = {id}\ndomain = wien-a\nbalancer = {}\n{lines}{}[platform]\n\
             table = {table}\n[team-keys]\ntraffic = {hash}\nplanning = {hash}\n{}",
            self.balancer.address, self.entry_keys, self.entry_lines,
        );
        let file = self.folder.write(&text);
        ProductProcess::spawn(Path::new(env!("CARGO_BIN_EXE_gga-entry")), &file)
    }

    /// Starts a worker and its agent.
    pub async fn spawn_host(&mut self, name: &str) -> TestHost {
        let worker = Worker::spawn(name, HOST, self.tasks.clone()).await;
        let agent = self.spawn_agent(name, worker.address);
        TestHost { agent, worker, name: name.to_string() }
    }

    /// Starts an agent for a worker that runs already.
    pub fn spawn_agent(&mut self, name: &str, worker: SocketAddr) -> ProductProcess {
        let table = self.table.address;
        self.spawn_agent_at(name, worker, table)
    }

    /// Starts an agent that reaches the table service at another address, such as a proxy.
    pub fn spawn_agent_at(
        &mut self,
        name: &str,
        worker: SocketAddr,
        table: SocketAddr,
    ) -> ProductProcess {
        let text = format!(
            "[agent]\nworker = {name}\ndomain = wien-a\nrack = r1\nbalancer = {}\n\
             [platform]\ntable = {table}\nworker = {worker}\n{}",
            self.balancer.address, self.agent_lines,
        );
        let file = self.folder.write(&text);
        ProductProcess::spawn(Path::new(env!("CARGO_BIN_EXE_gga-agent")), &file)
    }

    /// Starts a runner of the service `spots` beside an agent.
    pub async fn spawn_runner(&self, host: &TestHost, time: Duration) -> Runner {
        let behaviour =
            RunnerBehaviour { time, spread: Duration::ZERO, fails: false, ..Default::default() };
        let agent = host.agent.address("endpoints");
        let name = format!("{}-r", host.name);
        Runner::spawn(&name, "spots", 8, agent, behaviour, self.requests.clone()).await
    }

    /// Applies the document of all tests and waits until it is in force at the entry.
    pub async fn apply_document(&self, entry: &ProductProcess) {
        self.apply_text(entry, DOCUMENT).await;
    }

    /// Applies a first edition of the document and waits until it is in force at the entry.
    pub async fn apply_text(&self, entry: &ProductProcess, text: &str) {
        let operators = entry.address("operators");
        until("the document is accepted", async || {
            apply(operators, "spots", text, 0, "first").await.0 == 200
        })
        .await;
        until("the document is in force", async || {
            get(operators, "/v1/cluster").await["generation"] == 1
        })
        .await;
    }

    /// Waits until an entry answers bookings.
    pub async fn until_serving(&self, entry: &ProductProcess) {
        self.until_serving_within(entry, Duration::from_secs(2)).await;
    }

    /// Waits until an entry answers bookings with this deadline.
    pub async fn until_serving_within(&self, entry: &ProductProcess, deadline: Duration) {
        let caller = Caller::open("probe");
        let callers = entry.address("callers");
        until("a booking is answered", async || {
            let answer = caller.send(callers, "spots", None, deadline, "probe").await;
            answer.is_own_answer()
        })
        .await;
    }
}

/// Waits until a condition holds; the bound only ends a test that would hang.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waited = tokio::time::timeout(PATIENCE, async {
        while !condition().await {
            tokio::time::sleep(POLL).await;
        }
    });
    waited.await.unwrap_or_else(|_| panic!("waited in vain until {what}"));
}

/// Applies a document as the team of the tests; gives the status and the answer.
pub async fn apply(
    operators: SocketAddr,
    service: &str,
    text: &str,
    base: u64,
    token: &str,
) -> (u16, Value) {
    apply_as("traffic", operators, service, text, base, token).await
}

/// Applies a document as any team; gives the status and the answer.
pub async fn apply_as(
    team: &str,
    operators: SocketAddr,
    service: &str,
    text: &str,
    base: u64,
    token: &str,
) -> (u16, Value) {
    let client = reqwest::Client::builder().no_proxy().build().expect("a client");
    let url = format!("http://{operators}/v1/documents/{service}?base={base}&token={token}");
    let call = client.put(url).header("x-team", team).header("x-team-key", TEAM_KEY);
    match call.body(text.to_string()).send().await {
        Ok(answer) => {
            let status = answer.status().as_u16();
            (status, answer.json().await.unwrap_or(Value::Null))
        }
        Err(_) => (0, Value::Null),
    }
}

/// Reads JSON from a listener; nothing when it does not answer.
pub async fn get(address: SocketAddr, path: &str) -> Value {
    let client = reqwest::Client::builder().no_proxy().build().expect("a client");
    match client.get(format!("http://{address}{path}")).send().await {
        Ok(answer) => answer.json().await.unwrap_or(Value::Null),
        Err(_) => Value::Null,
    }
}

/// Submits a job of the team of the tests; gives the status and the answer.
pub async fn submit(callers: SocketAddr, job: &Value) -> (u16, Value) {
    let client = reqwest::Client::builder().no_proxy().build().expect("a client");
    match client.post(format!("http://{callers}/v1/jobs")).json(job).send().await {
        Ok(answer) => {
            let status = answer.status().as_u16();
            (status, answer.json().await.unwrap_or(Value::Null))
        }
        Err(_) => (0, Value::Null),
    }
}

/// A job of `count` tasks of one core, each of which runs for `run_millis`.
pub fn job(id: &str, count: usize, run_millis: u64) -> Value {
    let task = serde_json::json!({
        "resources": { "millicores": 1_000, "memory_mib": 512 },
        "run_millis": run_millis,
        "input": id,
    });
    serde_json::json!({
        "id": id,
        "team": "traffic",
        "kind": "roster",
        "tasks": vec![task; count],
    })
}

/// Cancels a job of the team of the tests; gives the status.
pub async fn cancel(callers: SocketAddr, id: &str) -> u16 {
    let client = reqwest::Client::builder().no_proxy().build().expect("a client");
    let call = client.delete(format!("http://{callers}/v1/jobs/traffic/{id}"));
    call.send().await.map_or(0, |answer| answer.status().as_u16())
}

/// Waits until a job has ended and gives its report.
pub async fn until_job_ended(callers: SocketAddr, id: &str) -> Value {
    until_ended("traffic", callers, id).await
}

/// Waits until a job of any team has ended and gives its report.
pub async fn until_ended(team: &str, callers: SocketAddr, id: &str) -> Value {
    let mut report = Value::Null;
    until("the job has ended", async || {
        report = get(callers, &format!("/v1/jobs/{team}/{id}")).await;
        report["state"] == "Ended"
    })
    .await;
    report
}
