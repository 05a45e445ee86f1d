//! The scripted cases of the review.
//!
//! `gga-review CASE RECORD` plays one with the project's programs, from the repository's root. It
//! exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod doubt;
mod gang;
mod pile;
mod record;
mod store;
mod system;
mod world;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::client::HOST;
use crate::client::JobClient;
use crate::record::EventRecord;
use crate::store::PlatformStore;
use crate::system::ProcessStarter;
use crate::system::SystemProcess;
use crate::world::RunnerWorld;
use crate::world::SERVICE;

const START_LIMIT: Duration = Duration::from_secs(15);
const ZONES: [&str; 3] = ["wien-a", "wien-b", "stpoelten"];

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

/// A small deployment with the stand-ins around it.
pub struct SmallDeployment {
    pub record: EventRecord,
    pub store: PlatformStore,
    pub world: RunnerWorld,
    pub client: JobClient,
    pub planners: Vec<SystemProcess>,
    pub nodes: Vec<SystemProcess>,
    pub has_trouble: bool,
    _starter: ProcessStarter,
}

impl SmallDeployment {
    /// Starts three planners and as many nodes with runners as asked for. `None` if they don't
    /// become ready.
    pub async fn start(
        record: EventRecord,
        routes: Value,
        nodes: u8,
        may_return: bool,
    ) -> Option<SmallDeployment> {
        let (store, address) = PlatformStore::listen(record.clone()).await;
        let configuration = json!({
            "Version": 7, "Routes": routes,
            "Services": [{ "Name": SERVICE, "EnforcesCapacity": true, "Standby": false }],
            "Limits": { "MaxBodyBytes": 262_144 },
        });
        store.put("op", "config", &configuration);
        // No queue of these cases has advice, so that nobody calls this address.
        let mut starter = ProcessStarter::open(address, SocketAddr::from(([127, 0, 0, 1], 9)));
        let world = RunnerWorld::open(record.clone());
        let zone = |number: u8| ZONES[usize::from(number - 1) % ZONES.len()];
        let planners: Vec<SystemProcess> =
            (1..=3).map(|number| starter.planner(number, zone(number))).collect();
        let nodes: Vec<SystemProcess> =
            (1..=nodes).map(|number| starter.node(number, zone(number))).collect();
        let fronts = planners.iter().map(|planner| planner.front).collect();
        let client = JobClient::open(fronts, record.clone());
        for (number, node) in (1_u8..).zip(&nodes) {
            let rack = format!("r1-{}", (number - 1) / 3 + 1);
            let place = (zone(number), rack.as_str());
            world.spawn_runner(&format!("i-{number:08x}"), place, node.control, may_return);
        }
        let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        record.write(&format!("{} planners, {} nodes, trouble: {has_trouble}", 3, nodes.len()));
        let deployment = SmallDeployment {
            record,
            store,
            world,
            client,
            planners,
            nodes,
            has_trouble,
            _starter: starter,
        };
        let ready = async {
            while !deployment.is_ready().await {
                pause(100).await
            }
        };
        tokio::time::timeout(START_LIMIT, ready).await.ok()?;
        // Traffic starts 10 s after the machines do.
        tokio::time::sleep(Duration::from_secs(10).saturating_sub(deployment.record.elapsed()))
            .await;
        Some(deployment)
    }

    async fn is_ready(&self) -> bool {
        for planner in &self.planners {
            let answer = reqwest::get(format!("http://{}/-/ready", planner.ready)).await;
            if !answer.is_ok_and(|answer| answer.status() == 200) {
                return false;
            }
        }
        true
    }

    /// Writes the planners' log lines about some events into the record.
    pub fn record_logs(&self, events: &[&str], most: usize) {
        for process in &self.planners {
            let log = process.log();
            let lines = log.lines().filter(|line| {
                events.iter().any(|event| line.contains(&format!("event={event} ")))
            });
            for line in lines.take(most) {
                self.record.write(&format!("log of {}: {line}", process.name));
            }
        }
    }
}

/// A route to a queue.
pub fn route(name: &str, priority: u32, target_ms: u64, attempts: u32) -> Value {
    json!({
        "Name": name, "Host": HOST, "Prefix": format!("/{name}/"), "Kind": "non_idempotent",
        "TimeoutMs": 3000, "TargetDurationMs": target_ms, "Priority": priority,
        "Service": SERVICE, "MaxAttempts": attempts, "Stretch": 2.0,
    })
}

pub async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

async fn play(case: &str, record: EventRecord) -> Verdict {
    match case {
        "doubt" => doubt::play(record).await,
        "gang" => gang::play(record).await,
        "pile" => pile::play(record).await,
        _ => Verdict::NotRun,
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: gga-review CASE RECORD");
        return ExitCode::from(2);
    };
    let record = EventRecord::create(Path::new(path));
    let mut terminate = signal(SignalKind::terminate()).expect("a signal handler");
    let mut interrupt = signal(SignalKind::interrupt()).expect("a signal handler");
    // A case that is dropped ends the processes that it has started.
    let verdict = tokio::select! {
        verdict = play(case, record.clone()) => verdict,
        _ = terminate.recv() => Verdict::NotRun,
        _ = interrupt.recv() => Verdict::NotRun,
    };
    let (code, text) = match verdict {
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::Held => (0, "the rule held"),
        Verdict::NotRun => (2, "the case couldn't run"),
    };
    record.write(text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
