//! The whole system in one process on loopback, with stand-ins in memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use greengagearch::error::Error;
use greengagearch::external::http_worker::HttpWorker;
use greengagearch::external::memory_table::MemoryTable;
use greengagearch::external::worker::ResourceAmount;
use greengagearch::process::agent::AgentProcess;
use greengagearch::process::entry::EntryAddresses;
use greengagearch::process::entry::EntryProcess;
use greengagearch::process::entry::operator_http::key_hash;
use greengagearch::process::settings::AgentSettings;
use greengagearch::process::settings::EntrySettings;
use greengagearch::process::stop_signal::StopSignal;
use greengagearch::version::document::ServiceDocument;

use crate::caller::Caller;
use crate::proxy::FaultProxy;
use crate::runner::RunJournal;
use crate::runner::Runner;
use crate::runner::RunnerBehaviour;
use crate::worker::TaskJournal;
use crate::worker::Worker;

/// Key of every team on a laptop.
pub const LOCAL_KEY: &str = "local";
/// Workers of today's users.
const WORKER_COUNT: usize = 11;
/// Failure domains of today's users.
const DOMAIN_COUNT: usize = 3;
/// Workers in one rack.
const RACK_SIZE: usize = 3;
/// Slots of a runner.
pub const RUNNER_SLOTS: u32 = 8;
/// What a worker has.
pub const HOST: ResourceAmount =
    ResourceAmount { millicores: 16_000, memory_mib: 60_000, accelerators: 0 };
/// Shortest time of a request at a runner.
const REQUEST_TIME: Duration = Duration::from_millis(5);
/// What a request may take longer.
const REQUEST_SPREAD: Duration = Duration::from_millis(10);
/// Bound on the wait for documents and endpoints.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A document's file.
#[derive(Clone, Debug)]
pub struct DocumentFile {
    /// Name of the file.
    pub name: String,
    /// Its text.
    pub text: String,
}

/// The running system.
pub struct LocalSystem {
    /// Where the entry listens.
    pub addresses: EntryAddresses,
    /// The services of the documents.
    pub services: Vec<String>,
    /// The team of the first document.
    pub team: String,
    /// What runners ran.
    pub requests: RunJournal,
    /// What workers ran.
    pub tasks: TaskJournal,
    entry: EntryProcess,
    agents: Vec<AgentProcess>,
    _runners: Vec<Runner>,
}

impl LocalSystem {
    /// Starts everything and applies the documents; serves when it returns.
    ///
    /// # Errors
    ///
    /// All findings in the documents, or what kept a part from starting.
    pub async fn spawn(documents: &[DocumentFile], stop: StopSignal) -> Result<LocalSystem, Error> {
        let parsed = parse_documents(documents)?;
        let table = Arc::new(MemoryTable::default());
        let owners = parsed.iter().map(|document| document.owner.clone());
        let keys: BTreeMap<String, String> =
            owners.map(|owner| (owner, key_hash(LOCAL_KEY.as_bytes()))).collect();
        let mut settings = parse_entry()?;
        settings.key_hashes = keys;
        let entry = EntryProcess::bind(settings, table.clone(), stop.clone()).await?;
        let balancer = FaultProxy::bind(&[entry.addresses.internal]).await;
        let mut system = LocalSystem {
            addresses: entry.addresses,
            services: parsed.iter().map(|document| document.name.clone()).collect(),
            team: parsed.first().map(|document| document.owner.clone()).unwrap_or_default(),
            requests: RunJournal::default(),
            tasks: TaskJournal::default(),
            entry,
            agents: Vec::new(),
            _runners: Vec::new(),
        };
        for number in 0..WORKER_COUNT {
            system.spawn_host(number, balancer.address, table.clone(), stop.clone()).await?;
        }
        for (document, file) in parsed.iter().zip(documents) {
            apply(system.addresses.operators, document, &file.text).await?;
        }
        system.until_serving().await?;
        Ok(system)
    }

    /// Waits until all parts have stopped.
    pub async fn stopped(self) {
        self.entry.stopped().await;
        for agent in self.agents {
            agent.stopped().await;
        }
    }

    async fn spawn_host(
        &mut self,
        number: usize,
        balancer: SocketAddr,
        table: Arc<MemoryTable>,
        stop: StopSignal,
    ) -> Result<(), Error> {
        let name = format!("w{:02}", number + 1);
        let worker = Worker::spawn(&name, HOST, self.tasks.clone()).await;
        let text = format!(
            "[agent]\nworker = {name}\ndomain = domain-{}\nrack = rack-{}\nbalancer = {balancer}\n\
             [platform]\ntable = 127.0.0.1:1\n",
            number % DOMAIN_COUNT,
            number / RACK_SIZE,
        );
        let settings =
            AgentSettings::parse("local", &text).map_err(|findings| Error::Invalid { findings })?;
        let control = Arc::new(HttpWorker::open(&worker.address.to_string()));
        let agent = AgentProcess::bind(settings, table, Some(control), stop).await?;
        let behaviour = RunnerBehaviour {
            time: REQUEST_TIME,
            spread: REQUEST_SPREAD,
            fails: false,
            ..Default::default()
        };
        for service in &self.services {
            let endpoint = format!("{name}-{service}");
            let journal = self.requests.clone();
            let at = agent.addresses.endpoints;
            let runner =
                Runner::spawn(&endpoint, service, RUNNER_SLOTS, at, behaviour, journal).await;
            self._runners.push(runner);
        }
        self.agents.push(agent);
        Ok(())
    }

    async fn until_serving(&self) -> Result<(), Error> {
        let url = format!("http://{}/v1/cluster", self.addresses.operators);
        let ready = format!("http://{}/readyz", self.addresses.callers);
        let generation = self.services.len() as u64;
        let wait = async {
            loop {
                let cluster = reqwest::get(&url).await.ok();
                let report: Option<serde_json::Value> = match cluster {
                    Some(answer) => answer.json().await.ok(),
                    None => None,
                };
                let in_force = report.is_some_and(|report| {
                    let processes = report["processes"].as_array().cloned().unwrap_or_default();
                    processes.len() == WORKER_COUNT + 1
                        && processes.iter().all(|one| one["generation"] == generation)
                });
                let is_ready = reqwest::get(&ready).await.is_ok_and(|one| one.status() == 200);
                if in_force && is_ready && self.serves_all().await {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let message = "the system does not come up".to_string();
        tokio::time::timeout(START_LIMIT, wait).await.map_err(|_| Error::Remote { message })
    }
}

impl LocalSystem {
    /// Whether a booking at each service is answered.
    async fn serves_all(&self) -> bool {
        let caller = Caller::open("probe");
        let limit = Duration::from_secs(1);
        for service in &self.services {
            let answer = caller.send(self.addresses.callers, service, None, limit, "probe").await;
            if !answer.is_own_answer() {
                return false;
            }
        }
        true
    }
}

fn parse_documents(documents: &[DocumentFile]) -> Result<Vec<ServiceDocument>, Error> {
    let mut parsed = Vec::new();
    let mut findings = greengagearch::findings::FindingList::default();
    for file in documents {
        match ServiceDocument::parse(&file.name, &file.text) {
            Ok(document) => parsed.push(document),
            Err(found) => findings.0.extend(found.0),
        }
    }
    findings.or_value(parsed).map_err(|findings| Error::Invalid { findings })
}

fn parse_entry() -> Result<EntrySettings, Error> {
    let text = "[entry]\nid = local\ndomain = domain-0\n[platform]\ntable = 127.0.0.1:1\n";
    EntrySettings::parse("local", text).map_err(|findings| Error::Invalid { findings })
}

async fn apply(operators: SocketAddr, document: &ServiceDocument, text: &str) -> Result<(), Error> {
    let name = &document.name;
    let url = format!("http://{operators}/v1/documents/{name}?base=0&token=local");
    let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
    let call = client.put(url).header("x-team", &document.owner).header("x-team-key", LOCAL_KEY);
    let answer = call.body(text.to_string()).send().await;
    let answer = answer.map_err(|error| Error::Remote { message: error.to_string() })?;
    if answer.status().is_success() {
        return Ok(());
    }
    let message = answer.text().await.unwrap_or_default();
    Err(Error::Remote { message })
}
