//! A whole deployment of real processes against the stand-ins, for experiments.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use greengagearch::external::worker::ResourceAmount;
use greengagearch::process::entry::operator_http::key_hash;
use serde_json::Value;

use crate::processes::ProductProcess;
use crate::processes::SettingsFolder;
use crate::proxy::FaultProxy;
use crate::runner::PairInterference;
use crate::runner::RunJournal;
use crate::runner::Runner;
use crate::runner::RunnerBehaviour;
use crate::table_service::TableService;
use crate::worker::TaskJournal;
use crate::worker::Worker;

/// Team that owns everything in an experiment.
pub const TEAM: &str = "team";
/// Service of all runners.
pub const SERVICE: &str = "spots";
/// Slots of each runner.
pub const SLOTS: u32 = 8;
/// Key of the team.
const KEY: &str = "experiment";
/// Workers in one rack.
const RACK_SIZE: usize = 3;
/// Failure domains.
const DOMAINS: usize = 3;
/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);
/// Bound on waits for a condition.
const PATIENCE: Duration = Duration::from_secs(60);

/// True slowdowns of the service by kinds of tasks, shared by all runners.
pub type TrueSlowdowns = Arc<Mutex<BTreeMap<String, f64>>>;

/// What to start.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Number of entries.
    pub entries: usize,
    /// Number of workers, each with an agent and a runner.
    pub workers: usize,
    /// Behaviour of the runners.
    pub behaviour: RunnerBehaviour,
    /// What each worker has.
    pub host: ResourceAmount,
    /// Way of choosing an endpoint.
    pub routing: &'static str,
    /// Way of choosing a worker.
    pub placement: &'static str,
    /// Services; the workers are dealt out among them in equal runs.
    pub services: Vec<&'static str>,
    /// Time within which an answer is good.
    pub objective: Duration,
    /// Lines that the settings of each entry end with.
    pub entry_lines: String,
}

impl Default for DeploymentPlan {
    fn default() -> DeploymentPlan {
        let behaviour = RunnerBehaviour {
            time: Duration::from_millis(10),
            spread: Duration::ZERO,
            fails: false,
            ..Default::default()
        };
        DeploymentPlan {
            entries: 1,
            workers: 11,
            behaviour,
            host: ResourceAmount { millicores: 16_000, memory_mib: 60_000, accelerators: 0 },
            routing: "local-first",
            placement: "least-loaded",
            services: vec![SERVICE],
            objective: Duration::from_millis(100),
            entry_lines: String::new(),
        }
    }
}

impl DeploymentPlan {
    /// The document of the first service.
    pub fn document(&self) -> String {
        self.document_of(self.services[0])
    }

    fn service_at(&self, worker: usize) -> usize {
        worker * self.services.len() / self.workers
    }

    fn document_of(&self, service: &str) -> String {
        format!(
            "[service]\nname = {service}\nowner = {TEAM}\n[objective]\nlatency = {}ms\n\
             percent = 99\n[requests]\nlargest-deadline = 30s\n[guards]\nrouting = {}\n\
             [batch-quota]\ncores = 100000\nmemory-gib = 100000\n",
            self.objective.as_millis(),
            self.routing
        )
    }
}

/// The running processes and stand-ins.
pub struct Deployment {
    /// The table service.
    pub table: TableService,
    /// The entries.
    pub entries: Vec<ProductProcess>,
    /// The agents, in the order of the workers.
    pub agents: Vec<ProductProcess>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The runners, in the order of the workers.
    pub runners: Vec<Runner>,
    /// What runners ran.
    pub requests: RunJournal,
    /// What workers ran.
    pub tasks: TaskJournal,
    plan: DeploymentPlan,
    folder: SettingsFolder,
    balancer: FaultProxy,
    revision: u64,
}

impl Deployment {
    /// Starts everything and waits until all processes know each other and bookings are answered.
    pub async fn spawn(plan: DeploymentPlan) -> Deployment {
        let mut deployment = Deployment {
            table: TableService::bind().await,
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            runners: Vec::new(),
            requests: RunJournal::default(),
            tasks: TaskJournal::default(),
            plan,
            folder: SettingsFolder::open(),
            balancer: FaultProxy::bind(&[]).await,
            revision: 0,
        };
        for number in 0..deployment.plan.entries {
            let entry = deployment.spawn_entry(number);
            deployment.entries.push(entry);
        }
        let internal: Vec<SocketAddr> =
            deployment.entries.iter().map(|entry| entry.address("internal")).collect();
        deployment.balancer.set_targets(&internal);
        for number in 0..deployment.plan.workers {
            deployment.spawn_host(number).await;
        }
        for service in deployment.plan.services.clone() {
            let document = deployment.plan.document_of(service);
            deployment.put(service, &document, 0).await;
        }
        deployment.revision = 1;
        deployment.until_whole().await;
        deployment
    }

    /// Starts one entry.
    pub fn spawn_entry(&mut self, number: usize) -> ProductProcess {
        let hash = key_hash(KEY.as_bytes());
        let text = format!(
            "[entry]\nid = e{number}\ndomain = domain-{}\nbalancer = {}\n[platform]\ntable = {}\n\
             [batch]\nplacement = {}\n[team-keys]\n{TEAM} = {hash}\n{}",
            number % DOMAINS,
            self.balancer.address,
            self.table.address,
            self.plan.placement,
            self.plan.entry_lines
        );
        let file = self.folder.write(&text);
        ProductProcess::spawn(&program("gga-entry"), &file)
    }

    async fn spawn_host(&mut self, number: usize) {
        let name = format!("w{number:03}");
        let worker = Worker::spawn(&name, self.plan.host, self.tasks.clone()).await;
        let text = format!(
            "[agent]\nworker = {name}\ndomain = domain-{}\nrack = rack-{}\nbalancer = {}\n\
             [platform]\ntable = {}\nworker = {}\n",
            number % DOMAINS,
            number / RACK_SIZE,
            self.balancer.address,
            self.table.address,
            worker.address
        );
        let agent = ProductProcess::spawn(&program("gga-agent"), &self.folder.write(&text));
        let endpoint = format!("{name}-r");
        let runner = Runner::spawn(
            &endpoint,
            self.plan.services[self.plan.service_at(number)],
            SLOTS,
            agent.address("endpoints"),
            self.plan.behaviour,
            self.requests.clone(),
        );
        self.runners.push(runner.await);
        self.workers.push(worker);
        self.agents.push(agent);
    }

    /// Lets tasks slow the runners beside them down, each service by its own true slowdowns.
    pub fn set_effects(&self, slowdowns: &[TrueSlowdowns]) {
        for (number, (runner, worker)) in self.runners.iter().zip(&self.workers).enumerate() {
            let slowdowns = slowdowns[self.plan.service_at(number)].clone();
            runner.set_effect(PairInterference { worker: worker.clone(), slowdowns });
        }
    }

    /// Applies an edition of the first service's document; gives its generation.
    pub async fn apply(&mut self, text: &str) -> u64 {
        let generation = self.put(self.plan.services[0], text, self.revision).await;
        self.revision += 1;
        generation
    }

    async fn put(&self, service: &str, text: &str, base: u64) -> u64 {
        let operators = self.entries[0].address("operators");
        let url = format!("http://{operators}/v1/documents/{service}?base={base}&token=t{base}");
        let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
        loop {
            let call = client.put(&url).header("x-team", TEAM).header("x-team-key", KEY);
            if let Ok(answer) = call.body(text.to_string()).send().await
                && answer.status().is_success()
            {
                let body: Value = answer.json().await.unwrap_or(Value::Null);
                return body["generation"].as_u64().unwrap_or(0);
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits until every process reports a generation in force at every entry.
    pub async fn until_in_force(&self, generation: u64) {
        let expected = self.entries.len() + self.agents.len();
        for entry in &self.entries {
            let url = format!("http://{}/v1/cluster", entry.address("operators"));
            until(async || {
                let Ok(answer) = reqwest::get(&url).await else { return false };
                let report: Value = answer.json().await.unwrap_or(Value::Null);
                let processes = report["processes"].as_array().cloned().unwrap_or_default();
                processes.len() == expected
                    && processes.iter().all(|one| one["generation"].as_u64() >= Some(generation))
            })
            .await;
        }
    }

    /// Waits until all processes know each other and bookings are answered.
    pub async fn until_whole(&self) {
        self.until_in_force(self.plan.services.len() as u64 + self.revision - 1).await;
        let caller = crate::caller::Caller::open("probe");
        for address in self.callers() {
            for service in &self.plan.services {
                until(async || {
                    let limit = Duration::from_secs(2);
                    caller.send(address, service, None, limit, "probe").await.is_own_answer()
                })
                .await;
            }
        }
    }

    /// Callers' listeners of all entries.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.address("callers")).collect()
    }

    /// Submits a job; gives whether it was taken.
    pub async fn submit(&self, job: &Value) -> bool {
        let url = format!("http://{}/v1/jobs", self.callers()[0]);
        let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
        let answer = client.post(url).json(job).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Requests a second that all slots together can take.
    pub fn capacity(&self) -> f64 {
        let mean = self.plan.behaviour.time + self.plan.behaviour.spread / 2;
        f64::from(SLOTS) * self.plan.workers as f64 / mean.as_secs_f64()
    }
}

/// Path of a program that stands beside this one.
pub fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("the path of this program");
    own.parent().expect("a folder").join(name)
}

/// Waits until a condition holds; the bound only ends what would hang.
pub async fn until(mut condition: impl AsyncFnMut() -> bool) {
    let waited = tokio::time::timeout(PATIENCE, async {
        while !condition().await {
            tokio::time::sleep(POLL).await;
        }
    });
    waited.await.expect("the condition comes to hold");
}
