//! Clients that do not behave come as a crowd to every listener that clients reach: the processes
//! live on within the memory and descriptors of their hosts, and ordinary clients get answers.
//!
//! The tests measure the memory of processes, so that they run one after another.

mod env;

use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use greengagearch_standins::crowd::ClientCrowd;
use greengagearch_standins::crowd::CrowdKind;
use greengagearch_standins::crowd::CrowdTarget;
use greengagearch_standins::platform_cluster::CALLER_HOST;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;
use greengagearch_standins::processes::ProductProcess;
use serde_json::json;
use tokio::sync::Mutex;

use crate::env::DOCUMENT;
use crate::env::TestEnv;

/// Bytes in a MiB.
const MIB: f64 = 1_048_576.0;
/// Memory of the hosts in these tests, in MiB: half of the smallest that is in use.
const MEMORY_MIB: f64 = 64.0;
/// Descriptors of the hosts in these tests: a quarter of the fewest that are in use.
const DESCRIPTORS: usize = 1_000;
/// Largest body that a client may send.
const BODY_BYTES: usize = 262_144;
/// Largest body of a job by the product's own interface.
const JOB_BODY_BYTES: usize = 60_000;
/// Such a body up to its list.
const JOB_LIST_START: &str = "{\"id\":\"w\",\"queue\":\"q\",\"steps\":[";
/// Clients whose bodies together are larger than the memory of the host.
const BODY_CROWD: usize = 300;
/// Clients whose chunks of one byte together are larger than the memory of the host.
const SMALL_CHUNK_CROWD: usize = 8;
/// Clients whose lists together are larger than the memory of the host.
const LIST_CROWD: usize = 40;
/// Clients that send many requests at once.
const PIPELINE_CROWD: usize = 60;
/// Clients that are more than the descriptors of the host.
const CONNECTION_CROWD: usize = 1_200;
/// Time for which an ordinary client waits for its answer; it only ends a test that would hang.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks at a process.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Equal looks in a row after which a crowd counts as settled.
const SETTLED_LOOKS: u32 = 25;

/// Listeners on the users' platform that a crowd comes to.
const PLATFORM_LISTENERS: usize = 4;
/// Listeners of the product's own interface that a crowd comes to.
const OWN_LISTENERS: usize = 3;

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

fn limits() -> String {
    format!("[limits]\nmemory-mib = {MEMORY_MIB}\ndescriptors = {DESCRIPTORS}\n")
}

fn http_client() -> reqwest::Client {
    let builder = reqwest::Client::builder().no_proxy().pool_max_idle_per_host(0);
    builder.timeout(ANSWER_LIMIT).build().unwrap()
}

/// Highest use of memory and descriptors while a crowd is there.
struct PeakUse {
    memory_mib: f64,
    descriptors: usize,
}

/// Looks at a process until `done` is set.
async fn watch(process: &ProductProcess, listener: &str, done: &AtomicBool) -> PeakUse {
    let mut peak = PeakUse { memory_mib: 0.0, descriptors: 0 };
    while !done.load(Ordering::Relaxed) {
        let memory_mib = process.resident_mib() + process.socket_bytes(listener) as f64 / MIB;
        peak.memory_mib = peak.memory_mib.max(memory_mib).max(process.peak_resident_mib());
        peak.descriptors = peak.descriptors.max(process.descriptors());
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    peak
}

/// A listener of a process, with the calls of its crowd and an ordinary call.
struct Listener<'a> {
    process: &'a ProductProcess,
    name: &'static str,
    /// Method and path of the crowd's calls.
    crowd_call: &'static str,
    /// Largest body that it takes.
    body_bytes: usize,
    /// Body of a call up to its list.
    list_start: &'static str,
    /// Sends one ordinary request on a new connection; whether it is answered with success.
    answers: &'a dyn Fn() -> BoxFuture<'a, bool>,
}

impl Listener<'_> {
    fn target(&self) -> CrowdTarget {
        CrowdTarget {
            address: self.process.address(self.name),
            call: self.crowd_call.to_string(),
            host: CALLER_HOST.to_string(),
            body_bytes: self.body_bytes,
            list_start: self.list_start.to_string(),
        }
    }

    /// Sends a crowd and gives what does not hold while the crowd is there.
    async fn withstand(&self, kind: CrowdKind, size: usize) -> Vec<String> {
        let case = format!("{size} clients of kind {kind:?} at listener {}", self.name);
        let done = AtomicBool::new(false);
        let crowd = async {
            let crowd = ClientCrowd::gather(&self.target(), kind, size).await;
            until_settled(self.process, self.name).await;
            let is_answered = (self.answers)().await;
            done.store(true, Ordering::Relaxed);
            drop(crowd);
            is_answered
        };
        let (peak, is_answered) = tokio::join!(watch(self.process, self.name, &done), crowd);
        let mut faults = Vec::new();
        if !self.process.is_running() {
            faults.push(format!("{case}: the process has ended"));
        }
        if !is_answered {
            faults.push(format!("{case}: an ordinary request gets no answer"));
        }
        if peak.memory_mib > MEMORY_MIB {
            faults.push(format!("{case}: {:.0} MiB", peak.memory_mib));
        }
        if peak.descriptors > DESCRIPTORS {
            faults.push(format!("{case}: {} descriptors", peak.descriptors));
        }
        println!("{case}: {:.0} MiB, {} descriptors", peak.memory_mib, peak.descriptors);
        faults
    }
}

/// Waits until the kernel holds the same for a listener at several looks in a row, so that the process has read
/// what it reads of a crowd.
async fn until_settled(process: &ProductProcess, listener: &str) {
    let mut held = process.socket_bytes(listener);
    let mut looks = 0;
    while looks < SETTLED_LOOKS {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let now_held = process.socket_bytes(listener);
        looks = if now_held == held { looks + 1 } else { 0 };
        held = now_held;
    }
}

/// Sends a request; whether it is answered with success.
async fn is_success(call: reqwest::RequestBuilder) -> bool {
    call.send().await.is_ok_and(|answer| answer.status().is_success())
}

fn url(process: &ProductProcess, listener: &str, path: &str) -> String {
    format!("http://{}{path}", process.address(listener))
}

/// A planner and an agent with its runner.
async fn start_platform() -> PlatformCluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let mut cluster = PlatformCluster::start(programs, None, 0, 0).await;
    cluster.add_planner_keys("job-listen = 127.0.0.1:0\n");
    cluster.add_planner_lines(&limits());
    cluster.add_node_lines(&limits());
    cluster.add_planner().await;
    cluster.add_node("i-0").await;
    cluster.until_ready(0).await;
    cluster.submit_until_accepted(0, &job_name(1), &job_of_steps("run_ms=50", &[1])).await;
    cluster
}

/// Sends a crowd to a listener of a planner or of a node agent, which are started for it.
async fn withstand_on_platform(position: usize, kind: CrowdKind, size: usize) -> Vec<String> {
    let cluster = start_platform().await;
    let planner = &cluster.planners[0].process;
    let node = &cluster.nodes[0].process;
    let submit = || {
        let call = http_client().post(url(planner, "callers", "/q/00000000000000aa"));
        let call = call.header("Host", CALLER_HOST).json(&job_of_steps("run_ms=50", &[1]));
        is_success(call).boxed()
    };
    let submit_workflow = || {
        let room = json!({ "millicores": 100, "memory_mib": 10 });
        let steps = json!([{ "count": 1, "room": room, "estimate_ms": 50 }]);
        let body = json!({ "id": "w-1", "queue": "q", "payload": "run_ms=50", "steps": steps });
        is_success(http_client().post(url(planner, "jobs", "/v1/workflows")).json(&body)).boxed()
    };
    let poll = || is_success(http_client().get(url(planner, "ready", "/-/ready"))).boxed();
    let leave = || {
        let call = http_client().delete(url(node, "registry", "/-/instances/i-unknown"));
        is_success(call).boxed()
    };
    let listeners = [
        (planner, "callers", "POST /q/00000000000000ff", &submit as &dyn Fn() -> _),
        (planner, "jobs", "POST /v1/workflows", &submit_workflow),
        (planner, "ready", "GET /-/ready", &poll),
        (node, "registry", "PUT /-/instances/i-crowd", &leave),
    ];
    let (process, name, crowd_call, answers) = listeners[position];
    let (body_bytes, list_start) = match name {
        "callers" => (BODY_BYTES, "{\"Steps\":["),
        "jobs" if kind == CrowdKind::LongLists => (JOB_BODY_BYTES, JOB_LIST_START),
        _ => (BODY_BYTES, "{\"Labels\":["),
    };
    Listener { process, name, crowd_call, body_bytes, list_start, answers }
        .withstand(kind, size)
        .await
}

/// Sends a crowd to a listener of an entry or of an agent, which are started for it.
async fn withstand_on_own_interface(position: usize, kind: CrowdKind, size: usize) -> Vec<String> {
    let mut env = TestEnv::open().await;
    env.entry_lines.push_str(&limits());
    env.agent_lines = limits();
    let entry = env.spawn_entry("e1");
    env.balancer.set_targets(&[entry.address("internal")]);
    let document =
        DOCUMENT.replace("[requests]", &format!("[requests]\nlargest-body = {BODY_BYTES}"));
    env.apply_text(&entry, &document).await;
    let host = env.spawn_host("w1").await;
    let _runner = env.spawn_runner(&host, Duration::ZERO).await;
    env.until_serving(&entry).await;
    let (entry, agent) = (&entry, &host.agent);
    let book = || {
        let call = http_client().post(url(entry, "callers", "/v1/services/spots/requests"));
        is_success(call.body("booking")).boxed()
    };
    let show = || is_success(http_client().get(url(entry, "operators", "/v1/cluster"))).boxed();
    let poll = || is_success(http_client().get(url(agent, "endpoints", "/readyz"))).boxed();
    let listeners = [
        (entry, "callers", "POST /v1/services/spots/requests", &book as &dyn Fn() -> _),
        (entry, "operators", "PUT /v1/documents/spots?base=1&token=crowd", &show),
        (agent, "endpoints", "POST /v1/endpoints", &poll),
    ];
    let (process, name, crowd_call, answers) = listeners[position];
    let (body_bytes, list_start) = (BODY_BYTES, "{\"tasks\":[");
    Listener { process, name, crowd_call, body_bytes, list_start, answers }
        .withstand(kind, size)
        .await
}

/// Sends a crowd to each listener in turn.
async fn withstand(kind: CrowdKind, size: usize) {
    let _turn = ONE_AT_A_TIME.lock().await;
    let mut faults = Vec::new();
    for position in 0..PLATFORM_LISTENERS {
        faults.extend(withstand_on_platform(position, kind, size).await);
    }
    for position in 0..OWN_LISTENERS {
        faults.extend(withstand_on_own_interface(position, kind, size).await);
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_that_send_nothing() {
    withstand(CrowdKind::Silent, CONNECTION_CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_that_send_half_a_head() {
    withstand(CrowdKind::HalfHeads, CONNECTION_CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_that_send_a_head_over_the_limit() {
    withstand(CrowdKind::LongHeads, BODY_CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_that_send_empty_lines_without_end() {
    withstand(CrowdKind::EmptyLines, BODY_CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_that_send_large_bodies_whole() {
    withstand(CrowdKind::WholeBodies, BODY_CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_that_stop_short_of_the_end_of_a_large_body() {
    withstand(CrowdKind::ShortBodies, BODY_CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_that_send_a_large_body_in_pieces_and_stop_short_of_its_end() {
    withstand(CrowdKind::PiecewiseBodies, BODY_CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_that_send_large_chunks_without_end() {
    withstand(CrowdKind::LargeChunks, BODY_CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_that_send_small_chunks_without_end() {
    withstand(CrowdKind::SmallChunks, SMALL_CHUNK_CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_that_read_no_answers() {
    withstand(CrowdKind::UnreadAnswers, PIPELINE_CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_whose_bodies_grow_when_they_are_decoded() {
    withstand(CrowdKind::LongLists, LIST_CROWD).await;
}
