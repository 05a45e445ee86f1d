//! The system of the users' platform in one process on loopback, for a first try.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use greengagearch::error::Error;
use greengagearch::platform::runner_client::RunnerClient;
use greengagearch::platform::store_client::StoreClient;
use greengagearch::process::node::NodeProcess;
use greengagearch::process::planning::PlannerProcess;
use greengagearch::process::planning::job_http::JobRequest;
use greengagearch::process::planning::job_http::JobResponse;
use greengagearch::process::planning::settings::NodeSettings;
use greengagearch::process::planning::settings::PlannerSettings;
use greengagearch::process::stop_signal::StopSignal;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::spec::StepSpec;

use crate::platform_cluster::queue_configuration;
use crate::platform_journal::RunJournal;
use crate::platform_runner::PlatformRunner;
use crate::platform_store::PlatformStore;

/// Runners of the laptop's platform.
const NODE_COUNT: usize = 3;
/// The queue that takes its jobs.
const QUEUE: &str = "logs";
/// Time between two jobs of the traffic.
const JOB_PAUSE: Duration = Duration::from_millis(100);
/// Time in which the last jobs must have ended.
const LAST_JOBS: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(50);

/// The running system.
pub struct LocalPlatform {
    /// Where jobs are handed in.
    pub jobs: SocketAddr,
    /// What ran.
    pub journal: RunJournal,
    planner: PlannerProcess,
    nodes: Vec<NodeProcess>,
}

impl LocalPlatform {
    /// Starts a planner, agents, and the stand-ins of store and runners.
    ///
    /// # Errors
    ///
    /// What kept a part from starting.
    pub async fn spawn(stop: StopSignal) -> Result<LocalPlatform, Error> {
        let store = PlatformStore::default();
        store.put("op", "", "config", queue_configuration(1, &[QUEUE]));
        let address = store.listen().await.address.to_string();
        let settings = planner_settings(&address)?;
        let client = Arc::new(StoreClient::open(&address));
        let planner = PlannerProcess::bind(settings, client.clone(), None, stop.clone()).await?;
        let jobs = planner.addresses.jobs.unwrap_or(planner.addresses.callers);
        let journal = RunJournal::default();
        let mut nodes = Vec::new();
        for number in 0..NODE_COUNT {
            let settings = node_settings(number, &address)?;
            let control = Arc::new(RunnerClient::open());
            let node = NodeProcess::bind(settings, client.clone(), control, stop.clone()).await?;
            let registry = node.addresses.registry;
            PlatformRunner::spawn(&format!("runner-{number}"), registry, journal.clone()).await;
            nodes.push(node);
        }
        Ok(LocalPlatform { jobs, journal, planner, nodes })
    }

    /// Hands in jobs of two steps for a time and waits for their ends. Gives how many were handed in and
    /// how many have completed.
    pub async fn send_jobs(&self, length: Duration) -> (usize, usize) {
        let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
        let url = format!("http://{}/v1/workflows", self.jobs);
        let until = tokio::time::Instant::now() + length;
        let mut accepted = Vec::new();
        while tokio::time::Instant::now() < until {
            let request = example_job(&format!("job-{}", accepted.len()));
            let answer = client.post(&url).json(&request).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                accepted.push(request.id);
            }
            tokio::time::sleep(JOB_PAUSE).await;
        }
        let mut completed = 0;
        let last = tokio::time::Instant::now() + LAST_JOBS;
        for job in &accepted {
            while tokio::time::Instant::now() < last {
                let state = state_of(&client, &format!("{url}/{job}")).await;
                if state.as_deref() == Some("completed") {
                    completed += 1;
                    break;
                }
                tokio::time::sleep(POLL).await;
            }
        }
        (accepted.len(), completed)
    }

    /// Waits until everything has stopped.
    pub async fn stopped(self) {
        self.planner.stopped().await;
        for node in self.nodes {
            node.stopped().await;
        }
    }
}

/// A job of two steps: three tasks, and one after them.
pub fn example_job(id: &str) -> JobRequest {
    let resources = ResourceVector { millicores: 300, memory_mib: 100, accelerators: 0 };
    let step = |count: u32, after: Vec<usize>| StepSpec {
        count,
        resources,
        estimate_ms: 100,
        after,
        ..StepSpec::default()
    };
    JobRequest {
        id: id.to_string(),
        queue: QUEUE.to_string(),
        payload: "run_ms=100".to_string(),
        steps: vec![step(3, vec![]), step(1, vec![0])],
        times: 0,
        first_due_ms: 0,
        interval_ms: 0,
    }
}

async fn state_of(client: &reqwest::Client, url: &str) -> Option<String> {
    let answer = client.get(url).send().await.ok()?;
    answer.json::<JobResponse>().await.ok()?.state
}

fn planner_settings(store: &str) -> Result<PlannerSettings, Error> {
    let text = format!(
        "[planner]\nid = p\ndomain = laptop\ncaller-listen = 127.0.0.1:0\njob-listen = 127.0.0.1:0\n\
         ready-listen = 127.0.0.1:0\ninternal-listen = 127.0.0.1:0\n[store]\naddress = {store}\n"
    );
    PlannerSettings::parse("local", &text).map_err(|findings| Error::Invalid { findings })
}

fn node_settings(number: usize, store: &str) -> Result<NodeSettings, Error> {
    let text = format!(
        "[node]\nid = n{number}\ndomain = laptop\nregistry-listen = 127.0.0.1:0\n\
         internal-listen = 127.0.0.1:0\n[store]\naddress = {store}\n"
    );
    NodeSettings::parse("local", &text).map_err(|findings| Error::Invalid { findings })
}
