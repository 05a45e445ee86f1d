//! The users' platform's runner, as far as the product calls it, with its faults.
//!
//! A task's text says what it does: `run_ms=200`, `fail` for one that fails, and `crash` for one that crashes its runner, which
//! is back with another life soon after. A life has an id of its own, or, where it tells when it was started, the id and the address
//! of the one before.

mod calls;
mod faults;
mod lives;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use axum::Json;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::platform_advice::PlatformAdvice;
use crate::platform_journal::RunJournal;
pub use crate::platform_runner::faults::RefusedCalls;
use crate::platform_runner::faults::RunnerFaults;
pub use crate::platform_runner::faults::RunnerRefusal;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(200);
/// Time after its start at which a task crashes its runner.
const CRASH_AFTER: Duration = Duration::from_millis(10);
/// Longest lease; longer ones are shortened.
const LONGEST_LEASE_MS: u64 = 10_000;
/// Time that is left at least to one that drains.
const DRAIN_REMAINING: Duration = Duration::from_secs(60);

#[derive(Default)]
struct RunnerLife {
    running: BTreeMap<(String, u32), Instant>,
    highest: BTreeMap<String, u32>,
    ended: Vec<(u64, String, u32, String, String)>,
    ends: u64,
    fence: u64,
    until_ms: u64,
    /// Starts that came and were not refused.
    came: BTreeSet<(String, u32)>,
    faults: RunnerFaults,
    /// Tells which tickets are valid, where starts need one.
    advice: Option<PlatformAdvice>,
    lapsed: Option<Instant>,
    is_over: bool,
    is_draining: bool,
    /// Entries that come first in its lists, as JSON: of what runs, and of what has ended.
    foreign_entries: [String; 2],
    /// Whether no other life follows by itself.
    is_closed: bool,
    successor: Option<PlatformRunner>,
}

impl RunnerLife {
    /// Takes a longer lease, up to the longest that there is.
    fn extend(&mut self, until_ms: u64, clock_ms: u64) {
        self.until_ms = self.until_ms.max(until_ms.min(clock_ms + LONGEST_LEASE_MS));
    }
}

/// What a life has from its machine.
#[derive(Clone, Copy, Debug)]
pub struct LifeTraits {
    /// How fast its steady clock goes.
    pub speed: f64,
    /// Failure domain: a zone with one rack.
    pub domain: usize,
    /// Number of the host among those of its kind.
    pub host: usize,
}

impl Default for LifeTraits {
    fn default() -> LifeTraits {
        LifeTraits { speed: 1.0, domain: 0, host: 0 }
    }
}

/// A running stand-in; it is one life of a runner.
#[derive(Clone)]
pub struct PlatformRunner {
    /// Its life.
    pub instance: String,
    registry: SocketAddr,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// When it was started, if it tells.
    pub start_time: Option<u64>,
    /// What it has from its machine.
    pub traits: LifeTraits,
    started: Instant,
    journal: RunJournal,
    life: Arc<Mutex<RunnerLife>>,
    ended: Arc<Notify>,
    /// Ends the listener and its connections.
    closing: Arc<Notify>,
}

/// Label of the rack in a failure domain.
pub fn rack_of(domain: usize) -> String {
    format!("r{}", domain + 1)
}

/// Unix time in milliseconds.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl PlatformRunner {
    /// Starts a runner that registers at an agent.
    pub async fn spawn(
        instance: &str,
        registry: SocketAddr,
        journal: RunJournal,
    ) -> PlatformRunner {
        PlatformRunner::spawn_on(LifeTraits::default(), instance, registry, journal).await
    }

    /// The same on a machine with these traits.
    pub async fn spawn_on(
        traits: LifeTraits,
        instance: &str,
        registry: SocketAddr,
        journal: RunJournal,
    ) -> PlatformRunner {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        PlatformRunner::serve(listener, instance, registry, journal, traits, None)
    }

    /// The same with a life that tells when it was started, see [`PlatformRunner::restart`].
    pub async fn spawn_with_start_time(
        instance: &str,
        registry: SocketAddr,
        journal: RunJournal,
    ) -> PlatformRunner {
        PlatformRunner::spawn_returning_on(LifeTraits::default(), instance, registry, journal).await
    }

    /// The same on a machine with these traits.
    pub async fn spawn_returning_on(
        traits: LifeTraits,
        instance: &str,
        registry: SocketAddr,
        journal: RunJournal,
    ) -> PlatformRunner {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let start_time = Some(unix_millis());
        PlatformRunner::serve(listener, instance, registry, journal, traits, start_time)
    }

    fn serve(
        listener: TcpListener,
        instance: &str,
        registry: SocketAddr,
        journal: RunJournal,
        traits: LifeTraits,
        start_time: Option<u64>,
    ) -> PlatformRunner {
        let address = listener.local_addr().expect("a bound listener has an address");
        let runner = PlatformRunner {
            instance: instance.to_string(),
            registry,
            address,
            start_time,
            traits,
            started: Instant::now(),
            journal,
            life: Arc::default(),
            ended: Arc::default(),
            closing: Arc::default(),
        };
        let router = calls::router(&runner);
        let closing = runner.closing.clone();
        let closed = async move { closing.notified().await };
        let serving = axum::serve(listener, router).with_graceful_shutdown(closed);
        tokio::spawn(serving.into_future());
        tokio::spawn(beat(runner.clone(), registry, address));
        tokio::spawn(expire(runner.clone()));
        runner
    }

    /// Loses the answers to this many orders, which are carried out.
    pub fn lose_answers(&self, count: u32) {
        self.lock().faults.lost_answers = count;
    }

    /// Refuses calls that come from now on without doing anything, or no more. Calls that came before are carried out all the same.
    pub fn refuse_calls(&self, refusal: Option<RunnerRefusal>) {
        self.lock().faults.refuse(refusal);
    }

    /// Says in its heartbeats from now on that it is going to leave; it stays all the same.
    pub fn drain(&self) {
        self.lock().is_draining = true;
    }

    /// Lists these entries, as JSON, before its own from now on: of what runs, and of what has ended. Empty texts list none.
    pub fn set_foreign_entries(&self, running: &str, ended: &str) {
        self.lock().foreign_entries = [running.to_string(), ended.to_string()];
    }

    /// Number of runs whose start has come, be it carried out or not, without those that were refused as long as it was unwell.
    pub fn starts_that_came(&self) -> usize {
        self.lock().came.len()
    }

    /// Starts only what carries a valid ticket from now on.
    pub fn ask_for_tickets(&self, advice: PlatformAdvice) {
        self.lock().advice = Some(advice);
    }

    /// Leaves looks that come from now on unanswered, or no more.
    pub fn leave_looks_unanswered(&self, is_unanswered: bool) {
        self.lock().faults.leaves_looks_unanswered = is_unanswered;
    }

    /// Leaves orders unanswered and carries them out after a time, or no more.
    pub fn set_late_orders(&self, delay: Option<Duration>) {
        self.lock().faults.late_orders = delay;
    }

    /// Names this life alone.
    fn label(&self) -> String {
        self.start_time.map_or(self.instance.clone(), |at| format!("{}@{at}", self.instance))
    }

    fn is_over(&self) -> bool {
        self.lock().is_over
    }

    /// Lets a call through that is meant for this life and comes from the newest planner.
    fn admit(
        &self,
        headers: &HeaderMap,
        fence: u64,
    ) -> Result<MutexGuard<'_, RunnerLife>, Box<Response>> {
        let mut life = self.lock();
        if life.is_over || !self.is_meant(headers) {
            return Err(Box::new(StatusCode::MISDIRECTED_REQUEST.into_response()));
        }
        if fence < life.fence {
            return Err(Box::new(self.refuse("fence")));
        }
        life.fence = fence;
        Ok(life)
    }

    fn lock(&self) -> MutexGuard<'_, RunnerLife> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock_ms(&self) -> u64 {
        (self.started.elapsed().as_secs_f64() * self.traits.speed * 1_000.0) as u64
    }

    fn end(&self, task: &str, run: u32, how: &str) {
        let mut life = self.lock();
        if life.running.remove(&(task.to_string(), run)).is_none() {
            return;
        }
        self.journal.end(task, run, &self.label(), how);
        life.ends += 1;
        let number = life.ends;
        life.ended.push((number, task.to_string(), run, how.to_string(), String::new()));
        drop(life);
        self.ended.notify_waiters();
    }

    fn refuse(&self, reason: &str) -> Response {
        let body = json!({ "ClockMs": self.clock_ms(), "Reason": reason });
        (StatusCode::CONFLICT, Json(body)).into_response()
    }

    fn answer(&self) -> Response {
        Json(json!({ "ClockMs": self.clock_ms() })).into_response()
    }

    /// Whether a call is meant for this life.
    fn is_meant(&self, headers: &HeaderMap) -> bool {
        let meant = headers.get("X-Greengagearch-Expect-Instance");
        meant.is_none_or(|meant| meant.as_bytes() == self.instance.as_bytes())
    }
}

async fn beat(runner: PlatformRunner, registry: SocketAddr, address: SocketAddr) {
    let client = reqwest::Client::new();
    let url = format!("http://{registry}/-/instances/{}", runner.instance);
    let domain = runner.traits.domain;
    for sequence in 1_u64.. {
        if runner.is_over() {
            return;
        }
        let is_draining = runner.lock().is_draining;
        let mut body = json!({
            "Service": "svc", "Address": address.to_string(), "Zone": format!("z{domain}"), "State": "ready",
            "Capacity": { "Cpu": 4_000, "MemMb": 4_000 }, "Labels": ["a", rack_of(domain)],
            "Sequence": sequence,
        });
        if is_draining {
            body["State"] = json!("draining");
            body["DrainRemainingMs"] = json!(DRAIN_REMAINING.as_millis());
        }
        let body = with_start_time(body, runner.start_time);
        // An agent that is down is called again with the next heartbeat.
        let _ = client.put(&url).json(&body).send().await;
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// Adds when a life was started, if it tells.
fn with_start_time(mut body: Value, start_time: Option<u64>) -> Value {
    if let Some(at) = start_time {
        body["born"] = json!(at);
    }
    body
}

/// Ends everything when the lease has expired.
async fn expire(runner: PlatformRunner) {
    loop {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let lapsed: Vec<(String, u32)> = {
            let mut life = runner.lock();
            if life.is_over {
                return;
            }
            if runner.clock_ms() > life.until_ms {
                life.lapsed = Some(Instant::now());
                life.running.keys().cloned().collect()
            } else {
                Vec::new()
            }
        };
        lapsed.iter().for_each(|(task, run)| runner.end(task, *run, "lapsed"));
    }
}
