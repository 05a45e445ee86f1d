//! Real processes of the product against the stand-ins of the users' platform, for tests and the soak.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use reqwest::StatusCode;
use serde_json::Value;
use serde_json::json;

use crate::platform_journal::RunJournal;
use crate::platform_runner::LifeTraits;
use crate::platform_runner::PlatformRunner;
use crate::platform_store::PlatformStore;
use crate::platform_store::StoreListener;
use crate::processes::ProductProcess;
use crate::processes::SettingsFolder;
use crate::proxy::FaultProxy;

/// Host under which callers know the queues.
pub const CALLER_HOST: &str = "jobs.example";
/// Attempts that a task has.
pub const ATTEMPTS: u32 = 2;
/// Bound on every wait for a condition; far beyond what any takes.
const LIMIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(30);

/// An entry host: its process and its ways to the store.
pub struct PlannerSeat {
    /// The process.
    pub process: ProductProcess,
    /// Its own listener of the store.
    pub listener: StoreListener,
    /// The line between both.
    pub line: FaultProxy,
}

/// A runner's host.
pub struct NodeSeat {
    /// The agent.
    pub process: ProductProcess,
    /// Its own listener of the store.
    pub listener: StoreListener,
    /// The line on which the planner reaches the agent.
    pub line: FaultProxy,
    /// The present life of the runner, or one before it under the same id.
    pub runner: PlatformRunner,
    /// Number of that life.
    pub life: u32,
}

/// The whole system on loopback. The processes end with it.
pub struct PlatformCluster {
    /// The store.
    pub store: PlatformStore,
    /// What ran.
    pub journal: RunJournal,
    /// The entry hosts.
    pub planners: Vec<PlannerSeat>,
    /// The runners' hosts.
    pub nodes: Vec<NodeSeat>,
    programs: PathBuf,
    folder: SettingsFolder,
    logs: Option<PathBuf>,
    /// Number of failure domains; hosts take turns.
    domains: usize,
    planner_lines: String,
    planner_keys: String,
    node_lines: String,
    client: reqwest::Client,
}

impl PlatformCluster {
    /// Starts planners and agents with runners, with the programs of a folder, and waits until they are
    /// ready. The logs are kept in `logs`, if that is given.
    pub async fn start(
        programs: &Path,
        logs: Option<PathBuf>,
        planners: usize,
        nodes: usize,
    ) -> PlatformCluster {
        PlatformCluster::start_in_domains(programs, logs, planners, nodes, 1).await
    }

    /// The same in several failure domains.
    pub async fn start_in_domains(
        programs: &Path,
        logs: Option<PathBuf>,
        planners: usize,
        nodes: usize,
        domains: usize,
    ) -> PlatformCluster {
        let mut cluster = PlatformCluster {
            store: PlatformStore::default(),
            journal: RunJournal::default(),
            planners: Vec::new(),
            nodes: Vec::new(),
            programs: programs.to_path_buf(),
            folder: SettingsFolder::open(),
            logs,
            domains,
            planner_lines: String::new(),
            planner_keys: String::new(),
            node_lines: String::new(),
            client: reqwest::Client::builder().no_proxy().build().expect("a client"),
        };
        cluster.configure(1, &["q"]);
        for _ in 0..planners {
            cluster.add_planner().await;
        }
        for number in 0..nodes {
            cluster.add_node(&format!("i-{number}")).await;
        }
        for position in 0..planners {
            cluster.until_ready(position).await;
        }
        cluster
    }

    /// Writes a configuration with these queues.
    pub fn configure(&self, version: u64, queues: &[&str]) {
        self.store.put("op", "", "config", queue_configuration(version, queues));
    }

    /// Writes a configuration with these queues and limits on requests.
    pub fn configure_limits(&self, version: u64, queues: &[&str], limits: &Value) {
        let routes = queue_routes(queues);
        let text = json!({ "Version": version, "Routes": routes, "Limits": limits }).to_string();
        self.store.put("op", "", "config", STANDARD.encode(text));
    }

    fn spawn(&mut self, program: &str, text: &str, name: &str) -> ProductProcess {
        let settings = self.folder.write(text);
        let log = self.logs.as_ref().map(|folder| folder.join(format!("{name}.log")));
        ProductProcess::spawn_logged(&self.programs.join(program), &settings, log.as_deref())
    }

    /// Adds lines to the settings of entry hosts that are added from now on.
    pub fn add_planner_lines(&mut self, lines: &str) {
        self.planner_lines.push_str(lines);
    }

    /// Adds lines to the section `[planner]` in the settings of entry hosts that are added from now on.
    pub fn add_planner_keys(&mut self, lines: &str) {
        self.planner_keys.push_str(lines);
    }

    /// Adds lines to the settings of agents that are added from now on.
    pub fn add_node_lines(&mut self, lines: &str) {
        self.node_lines.push_str(lines);
    }

    /// Adds an entry host.
    pub async fn add_planner(&mut self) {
        let listener = self.store.listen().await;
        let line = FaultProxy::bind(&[listener.address]).await;
        let number = self.planners.len();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let domain = self.domain_of(number);
        let text = planner_settings((number, domain), [any; 3], line.address, &self.planner_keys)
            + &self.planner_lines;
        let process = self.spawn("gga-planner", &text, &format!("planner-{number}"));
        self.planners.push(PlannerSeat { process, listener, line });
    }

    /// Starts an entry's process anew at the addresses that it had.
    pub fn restart_planner(&mut self, number: usize) {
        let seat = &self.planners[number];
        let addresses = ["callers", "ready", "internal"].map(|name| seat.process.address(name));
        let domain = self.domain_of(number);
        let text =
            planner_settings((number, domain), addresses, seat.line.address, &self.planner_keys)
                + &self.planner_lines;
        self.planners[number].process.kill();
        let process = self.spawn("gga-planner", &text, &format!("planner-{number}"));
        self.planners[number].process = process;
    }

    /// Adds a runner's host; the runner's first life has this name.
    pub async fn add_node(&mut self, instance: &str) {
        let (process, listener, line) = self.add_agent().await;
        let (registry, journal) = (process.address("registry"), self.journal.clone());
        let traits = self.traits_of(self.nodes.len());
        let runner = PlatformRunner::spawn_on(traits, instance, registry, journal).await;
        self.nodes.push(NodeSeat { process, listener, line, runner, life: 0 });
    }

    /// Adds a runner's host whose runner tells when it was started.
    pub async fn add_returning_node(&mut self, instance: &str) {
        let (process, listener, line) = self.add_agent().await;
        let (registry, journal) = (process.address("registry"), self.journal.clone());
        let traits = self.traits_of(self.nodes.len());
        let runner = PlatformRunner::spawn_returning_on(traits, instance, registry, journal).await;
        self.nodes.push(NodeSeat { process, listener, line, runner, life: 0 });
    }

    fn traits_of(&self, node: usize) -> LifeTraits {
        LifeTraits { domain: self.domain_of(node), host: node, ..LifeTraits::default() }
    }

    /// Failure domain of a host by its number among its kind.
    pub fn domain_of(&self, number: usize) -> usize {
        number % self.domains
    }

    async fn add_agent(&mut self) -> (ProductProcess, StoreListener, FaultProxy) {
        let listener = self.store.listen().await;
        let line = FaultProxy::bind(&[]).await;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let domain = self.domain_of(self.nodes.len());
        let text =
            node_settings(domain, [any; 2], line.address, listener.address) + &self.node_lines;
        let name = format!("node-{}", self.nodes.len());
        let process = self.spawn("gga-node", &text, &name);
        line.set_targets(&[process.address("internal")]);
        (process, listener, line)
    }

    /// Ends the lives of these runners; after a pause each is back under its id.
    pub async fn restart_runners(&mut self, nodes: &[usize], pause: Duration) {
        let lives: Vec<PlatformRunner> =
            nodes.iter().map(|node| self.nodes[*node].runner.clone()).collect();
        let starts = lives.iter().map(|life| life.restart(pause));
        let next = futures::future::join_all(starts).await;
        for (node, life) in nodes.iter().zip(next) {
            self.nodes[*node].runner = life;
        }
    }

    /// Starts an agent anew at the addresses that it had, as the platform does with a process that died.
    pub fn restart_agent(&mut self, node: usize) {
        let seat = &self.nodes[node];
        let addresses = ["registry", "internal"].map(|name| seat.process.address(name));
        let domain = self.domain_of(node);
        let text = node_settings(domain, addresses, seat.line.address, seat.listener.address)
            + &self.node_lines;
        self.nodes[node].process.kill();
        self.nodes[node].process = self.spawn("gga-node", &text, &format!("node-{node}"));
    }

    /// Ends the life of a runner; another one begins: under the same id and after `pause` where the runner tells when it was started, else with
    /// a clock that goes at `speed`.
    pub async fn replace_runner(&mut self, node: usize, speed: f64, pause: Duration) {
        let journal = self.journal.clone();
        let seat = &mut self.nodes[node];
        if seat.runner.start_time.is_some() {
            let present = seat.runner.newest();
            tokio::spawn(async move { present.restart(pause).await });
            return;
        }
        seat.runner.crash();
        seat.life += 1;
        let instance = format!("i-{node}-{}", seat.life);
        let registry = seat.process.address("registry");
        let traits = LifeTraits { speed, ..seat.runner.traits };
        seat.runner = PlatformRunner::spawn_on(traits, &instance, registry, journal).await;
    }

    /// Waits until an entry says that it is ready.
    pub async fn until_ready(&self, planner: usize) {
        let url = format!("http://{}/-/ready", self.planners[planner].process.address("ready"));
        self.until(async || {
            let answer = self.client.get(&url).send().await;
            answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
        })
        .await;
    }

    /// Waits until a condition holds.
    pub async fn until(&self, condition: impl AsyncFn() -> bool) {
        let waiting = async {
            while !condition().await {
                tokio::time::sleep(POLL).await;
            }
        };
        tokio::time::timeout(LIMIT, waiting).await.expect("the condition comes to hold");
    }

    /// Where an entry takes calls for a path.
    pub fn url(&self, planner: usize, path: &str) -> String {
        format!("http://{}{path}", self.planners[planner].process.address("callers"))
    }

    /// A client without connections of its own.
    pub fn client(&self) -> reqwest::Client {
        self.client.clone()
    }

    /// Hands a job in once.
    pub async fn submit(&self, planner: usize, job: &str, body: &Value) -> StatusCode {
        let url = self.url(planner, &format!("/q/{job}"));
        let answer = self.client.post(url).header("Host", CALLER_HOST).json(body).send().await;
        answer.map_or(StatusCode::BAD_GATEWAY, |answer| answer.status())
    }

    /// Hands a job in as a client does: again under the same name until it is accepted.
    pub async fn submit_until_accepted(&self, planner: usize, job: &str, body: &Value) {
        self.until(async || self.submit(planner, job, body).await == StatusCode::OK).await;
    }

    /// The state of a job, or the status of the answer that had none.
    pub async fn state(&self, planner: usize, job: &str) -> Option<String> {
        let url = self.url(planner, &format!("/q/{job}"));
        let answer = self.client.get(url).header("Host", CALLER_HOST).send().await.ok()?;
        if answer.status() != StatusCode::OK {
            return Some(answer.status().as_u16().to_string());
        }
        Some(answer.json::<Value>().await.ok()?["State"].as_str()?.to_string())
    }

    /// Waits until a job has a state.
    pub async fn until_state(&self, planner: usize, job: &str, state: &str) {
        self.until(async || self.state(planner, job).await.as_deref() == Some(state)).await;
    }

    /// Fails when two runs of a task were at work at once, or one after it was done.
    pub fn assert_nothing_doubled(&self) {
        assert_eq!(self.journal.doubled(), Vec::<String>::new());
    }
}

impl Drop for PlatformCluster {
    /// Ends the runners, whose heartbeats would go on to ports that others are given.
    fn drop(&mut self) {
        self.nodes.iter().for_each(|seat| seat.runner.crash());
    }
}

fn planner_settings(
    (number, domain): (usize, usize),
    addresses: [SocketAddr; 3],
    store: SocketAddr,
    keys: &str,
) -> String {
    let [callers, ready, internal] = addresses;
    format!(
        "[planner]\nid = p{number}\ndomain = d{domain}\ncaller-listen = {callers}\nready-listen = {ready}\n\
         internal-listen = {internal}\n{keys}[store]\naddress = {store}\n"
    )
}

fn node_settings(
    domain: usize,
    addresses: [SocketAddr; 2],
    line: SocketAddr,
    store: SocketAddr,
) -> String {
    let [registry, internal] = addresses;
    format!(
        "[node]\nid = n\ndomain = d{domain}\nregistry-listen = {registry}\ninternal-listen = {internal}\n\
         internal-advertise = {line}\n[store]\naddress = {store}\n"
    )
}

/// A configuration with queues of these names, as the store keeps it. Those whose name begins with `advised`
/// need the advice service.
pub fn queue_configuration(version: u64, queues: &[&str]) -> String {
    STANDARD.encode(json!({ "Version": version, "Routes": queue_routes(queues) }).to_string())
}

fn queue_routes(queues: &[&str]) -> Vec<Value> {
    let route = |name: &&str| {
        let advice = json!({ "DecideMs": 5, "EachMs": 1, "ValidityMs": 1_000 });
        let advice = if name.starts_with("advised") { advice } else { Value::Null };
        json!({
            "Name": name, "Host": CALLER_HOST, "Prefix": format!("/{name}/"), "Service": "svc",
            "Kind": "non_idempotent", "TargetDurationMs": 500, "Stretch": 2.0,
            "MaxAttempts": ATTEMPTS, "Priority": 0, "Advice": advice,
        })
    };
    queues.iter().map(route).collect()
}

/// The name of a job by its number.
pub fn job_name(number: u64) -> String {
    format!("{number:016x}")
}

/// A job whose steps come one after another.
pub fn job_of_steps(payload: &str, counts: &[u32]) -> Value {
    let step = |(position, count): (usize, &u32)| {
        let after: Vec<usize> = if position == 0 { vec![] } else { vec![position - 1] };
        json!({ "Count": count, "Cpu": 300, "MemMb": 100, "EstimateMs": 100, "After": after })
    };
    let steps: Vec<Value> = counts.iter().enumerate().map(step).collect();
    json!({ "Spec": payload, "Steps": steps })
}
