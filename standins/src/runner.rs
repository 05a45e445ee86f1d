//! An endpoint: announces itself, serves requests in its slots, and keeps a journal of its own.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::post;
use greengagearch::connection::announcement::EndpointAnnouncement;
use greengagearch::connection::announcement::LeaveReceipt;
use tokio::net::TcpListener;

use crate::worker::Worker;

/// Life of an announcement; it is renewed three times in it.
const ANNOUNCEMENT_TTL: Duration = Duration::from_millis(3_000);

/// How a runner behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerBehaviour {
    /// Shortest time for a request.
    pub time: Duration,
    /// What a request may take longer, drawn evenly.
    pub spread: Duration,
    /// Whether every request fails at once.
    pub fails: bool,
    /// Cores that the requests in flight share; nothing when each has one of its own.
    pub cores: Option<u32>,
}

impl RunnerBehaviour {
    /// By how much a request takes longer with this many in flight.
    fn crowding(&self, in_flight: u64) -> f64 {
        self.cores.map_or(1.0, |cores| (in_flight as f64 / f64::from(cores)).max(1.0))
    }
}

/// How tasks on the same worker slow a runner down: each kind by its true slowdown.
#[derive(Clone)]
pub struct PairInterference {
    /// The worker beside the runner.
    pub worker: Worker,
    /// True slowdown by one task of each kind.
    pub slowdowns: Arc<Mutex<BTreeMap<String, f64>>>,
}

impl PairInterference {
    /// By how much a request takes longer right now.
    fn factor(&self) -> f64 {
        let slowdowns = self.slowdowns.lock().unwrap_or_else(PoisonError::into_inner);
        let running = self.worker.running_kinds().into_iter();
        let each =
            running.map(|(kind, share)| share * slowdowns.get(&kind).copied().unwrap_or(0.0));
        1.0 + each.sum::<f64>()
    }
}

/// One entry of the journal: a request that was run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// Id of the request.
    pub id: String,
    /// When the runner began it.
    pub begun: Instant,
    /// Whether the runner finished it.
    pub finished: bool,
}

/// The journal that all runners of a test write.
#[derive(Clone, Debug, Default)]
pub struct RunJournal {
    records: Arc<Mutex<Vec<RunRecord>>>,
}

impl RunJournal {
    /// A copy of all records.
    pub fn records(&self) -> Vec<RunRecord> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Number of times that an id was run.
    pub fn runs_of(&self, id: &str) -> usize {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.iter().filter(|record| record.id == id).count()
    }

    fn begin(&self, id: &str) -> usize {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push(RunRecord { id: id.to_string(), begun: Instant::now(), finished: false });
        records.len() - 1
    }

    fn finish(&self, index: usize) {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)[index].finished = true;
    }
}

/// A running stand-in of an endpoint.
#[derive(Clone)]
pub struct Runner {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests it has run.
    pub journal: RunJournal,
    announcement: EndpointAnnouncement,
    behaviour: Arc<Mutex<RunnerBehaviour>>,
    in_flight: Arc<AtomicU64>,
    most_in_flight: Arc<AtomicU64>,
    begun: Arc<AtomicU64>,
    announces: Arc<AtomicBool>,
    effect: Arc<Mutex<Option<PairInterference>>>,
}

impl Runner {
    /// Starts a runner on any free port; it announces itself to `agent` until it leaves.
    pub async fn spawn(
        name: &str,
        service: &str,
        slots: u32,
        agent: SocketAddr,
        behaviour: RunnerBehaviour,
        journal: RunJournal,
    ) -> Runner {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
        let address = listener.local_addr().expect("a bound listener has an address");
        let runner = Runner {
            address,
            journal,
            announcement: EndpointAnnouncement {
                endpoint: name.to_string(),
                service: service.to_string(),
                address: address.to_string(),
                slots,
                connections: 64,
                ttl_millis: ANNOUNCEMENT_TTL.as_millis() as u64,
            },
            behaviour: Arc::new(Mutex::new(behaviour)),
            in_flight: Arc::default(),
            most_in_flight: Arc::default(),
            begun: Arc::default(),
            announces: Arc::new(AtomicBool::new(true)),
            effect: Arc::default(),
        };
        let router = Router::new().route("/", post(handle)).with_state(runner.clone());
        let listener = axum::serve::ListenerExt::tap_io(listener, |stream| {
            let _ = stream.set_nodelay(true);
        });
        tokio::spawn(async move { axum::serve(listener, router).await });
        runner.announce_to(agent);
        runner
    }

    /// Announces this runner to an agent until it leaves.
    pub fn announce_to(&self, agent: SocketAddr) {
        let announcement = self.announcement.clone();
        let announces = self.announces.clone();
        tokio::spawn(async move {
            let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
            while announces.load(Ordering::Acquire) {
                let call = client.post(format!("http://{agent}/v1/endpoints"));
                // An agent that is away is asked again.
                let is_known = call.json(&announcement).send().await.is_ok();
                let pause = if is_known { ANNOUNCEMENT_TTL / 3 } else { ANNOUNCEMENT_TTL / 30 };
                tokio::time::sleep(pause).await;
            }
        });
    }

    /// Tells the agent that this runner leaves. Gives the agent's receipt, if it answers with one.
    pub async fn leave(&self, agent: SocketAddr) -> Option<LeaveReceipt> {
        self.announces.store(false, Ordering::Release);
        let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
        let name = &self.announcement.endpoint;
        let call = client.delete(format!("http://{agent}/v1/endpoints/{name}"));
        call.send().await.ok()?.json().await.ok()
    }

    /// Changes the behaviour from now on.
    pub fn set_behaviour(&self, behaviour: RunnerBehaviour) {
        *self.behaviour.lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    /// Most requests that were in flight at once.
    pub fn most_in_flight(&self) -> u64 {
        self.most_in_flight.load(Ordering::Acquire)
    }

    /// Lets the tasks on a worker slow this runner down from now on.
    pub fn set_effect(&self, effect: PairInterference) {
        *self.effect.lock().unwrap_or_else(PoisonError::into_inner) = Some(effect);
    }

    fn factor(&self) -> f64 {
        let effect = self.effect.lock().unwrap_or_else(PoisonError::into_inner).clone();
        effect.map_or(1.0, |effect| effect.factor())
    }

    /// Requests that this runner has begun.
    pub fn begun(&self) -> u64 {
        self.begun.load(Ordering::Acquire)
    }

    fn behaviour(&self) -> RunnerBehaviour {
        *self.behaviour.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn handle(State(runner): State<Runner>, headers: HeaderMap, body: Bytes) -> Response {
    let behaviour = runner.behaviour();
    let id = headers.get("x-request-id").and_then(|value| value.to_str().ok());
    let id = id.unwrap_or_default().to_string();
    let record = runner.journal.begin(&id);
    runner.begun.fetch_add(1, Ordering::AcqRel);
    if behaviour.fails {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let in_flight = runner.in_flight.fetch_add(1, Ordering::AcqRel) + 1;
    runner.most_in_flight.fetch_max(in_flight, Ordering::AcqRel);
    let spread = behaviour.spread.as_micros() as u64;
    let extra = if spread == 0 { 0 } else { rand::random_range(0..spread) };
    let work = behaviour.time + Duration::from_micros(extra);
    let work = work.mul_f64(runner.factor() * behaviour.crowding(in_flight));
    if !work.is_zero() {
        tokio::time::sleep(work).await;
    }
    runner.in_flight.fetch_sub(1, Ordering::AcqRel);
    runner.journal.finish(record);
    // The answer names its request, so that a mix-up shows.
    let mut answer = format!("{id} ").into_bytes();
    answer.extend_from_slice(&body);
    ([("content-type", "text/plain")], answer).into_response()
}
