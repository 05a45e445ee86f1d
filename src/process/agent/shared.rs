//! What all parts of an agent share.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use reqwest::Client;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::connection::announcement::EndpointTable;
use crate::connection::cluster_map::ClusterMap;
use crate::connection::lease::LeaseHolder;
use crate::connection::protocol::EntryRpcClient;
use crate::connection::protocol::KindSlowdown;
use crate::connection::rpc_client::ConnectionCache;
use crate::connection::worker_row::WorkerRow;
use crate::external::table::TableStore;
use crate::external::worker::AttemptKey;
use crate::external::worker::WorkerControl;
use crate::ids::GenerationNumber;
use crate::ids::IncarnationId;
use crate::ids::LeaseEpoch;
use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::process::clock;
use crate::process::clock::SteadyClock;
use crate::process::entry::shared::new_incarnation;
use crate::process::interference::KindName;
use crate::process::metrics::ProcessMetrics;
use crate::process::service_observer::ServiceObserver;
use crate::process::settings::AgentSettings;
use crate::request::outcome::RequestOutcome;
use crate::request::request_id::id_window;
use crate::request::request_journal::RequestJournal;
use crate::version::catalog::DocumentCatalog;
use crate::version::catalog::DocumentSet;
use crate::version::document::ServiceObjective;

/// Idle connections to one endpoint that are kept open.
const IDLE_CONNECTIONS: usize = 64;

/// The agent's lease on its worker.
#[derive(Debug)]
pub struct WorkerLease {
    /// Validity of the lease.
    pub holder: LeaseHolder,
    /// When the agent may act, after the wait that follows a takeover.
    pub acts_from: Instant,
}

/// State that the parts of an agent share.
pub struct AgentShared {
    /// Settings of the agent.
    pub settings: AgentSettings,
    /// This run of the agent.
    pub incarnation: IncarnationId,
    /// Address of the internal listener.
    pub address: String,
    /// The platform's table service.
    pub table: Arc<dyn TableStore>,
    /// The worker's interface, where tasks run.
    pub worker: Option<Arc<dyn WorkerControl>>,
    /// Wall clock.
    pub clock: SteadyClock,
    /// Metrics.
    pub metrics: ProcessMetrics,
    /// HTTP client for endpoints.
    pub http: Client,
    /// Connections to entries.
    pub entry_connections: ConnectionCache<EntryRpcClient>,
    /// Asks for a heartbeat out of turn.
    pub beat_now: Notify,
    beat_count: AtomicU64,
    endpoints: Mutex<EndpointTable>,
    journal: Mutex<RequestJournal>,
    running: Mutex<HashMap<RequestId, watch::Receiver<Option<RequestOutcome>>>>,
    map: Mutex<ClusterMap>,
    lease: Mutex<Option<WorkerLease>>,
    row: Mutex<Option<WorkerRow>>,
    catalog: Mutex<DocumentCatalog>,
    observer: Mutex<ServiceObserver>,
    slowdowns: Mutex<BTreeMap<ServiceName, BTreeMap<KindName, f64>>>,
    evicting: Mutex<HashSet<AttemptKey>>,
    journal_ready: AtomicBool,
    draining: AtomicBool,
}

impl AgentShared {
    /// The state of an agent that has just started.
    pub fn new(
        settings: AgentSettings,
        internal: SocketAddr,
        table: Arc<dyn TableStore>,
        worker: Option<Arc<dyn WorkerControl>>,
    ) -> AgentShared {
        let clock = SteadyClock::start();
        let builder = Client::builder().no_proxy().pool_max_idle_per_host(IDLE_CONNECTIONS);
        AgentShared {
            settings,
            incarnation: new_incarnation(),
            address: internal.to_string(),
            table,
            worker,
            http: builder.tcp_nodelay(true).build().unwrap_or_default(),
            metrics: ProcessMetrics::open(),
            entry_connections: ConnectionCache::default(),
            beat_now: Notify::new(),
            beat_count: AtomicU64::new(0),
            endpoints: Mutex::default(),
            journal: Mutex::new(RequestJournal::new(clock.wall())),
            clock,
            running: Mutex::default(),
            map: Mutex::default(),
            lease: Mutex::default(),
            row: Mutex::default(),
            catalog: Mutex::default(),
            observer: Mutex::default(),
            slowdowns: Mutex::default(),
            evicting: Mutex::default(),
            journal_ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
        }
    }

    /// The announced endpoints. Never held over a wait.
    pub fn endpoints(&self) -> MutexGuard<'_, EndpointTable> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ids of non-idempotent requests. Never held over a wait.
    pub fn journal(&self) -> MutexGuard<'_, RequestJournal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Outcomes to come of requests that are running. Never held over a wait.
    pub fn running(
        &self,
    ) -> MutexGuard<'_, HashMap<RequestId, watch::Receiver<Option<RequestOutcome>>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The newest cluster map that is known.
    pub fn map(&self) -> ClusterMap {
        self.map.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes in a cluster map; an older one than is known changes nothing.
    pub fn adopt_map(&self, map: ClusterMap) {
        let mut known = self.map.lock().unwrap_or_else(PoisonError::into_inner);
        if map.generation > known.generation {
            *known = map;
        }
    }

    /// The lease on the worker. Never held over a wait.
    pub fn lease(&self) -> MutexGuard<'_, Option<WorkerLease>> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Epoch of the lease; zero without one.
    pub fn epoch(&self) -> LeaseEpoch {
        self.lease().as_ref().map_or(0, |lease| lease.holder.epoch())
    }

    /// Generation of the cluster map that the lease relies on; zero without a lease.
    pub fn lease_generation(&self) -> u64 {
        self.lease().as_ref().map_or(0, |lease| lease.holder.map_generation())
    }

    /// How long the agent may act for its worker, when it may at `now`.
    pub fn acts_until(&self, now: Instant) -> Option<Instant> {
        let lease = self.lease();
        let lease = lease.as_ref().filter(|lease| now >= lease.acts_from)?;
        lease.holder.valid_until().filter(|end| now < *end)
    }

    /// The worker's row as it was last read.
    pub fn row(&self) -> MutexGuard<'_, Option<WorkerRow>> {
        self.row.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Generation of the documents in force here.
    pub fn generation(&self) -> GenerationNumber {
        self.catalog().generation()
    }

    /// Puts newer documents in force.
    pub fn adopt_documents(&self, set: DocumentSet) {
        let generation = set.generation;
        if self.catalog().apply(set) {
            let value = i64::try_from(generation).unwrap_or(i64::MAX);
            self.metrics.generation.set(value);
            // Operators wait for the report of what is in force.
            self.beat_now.notify_one();
        }
    }

    /// Time for which ids of a service are remembered, by the documents in force here.
    pub fn window_of(&self, service: &str) -> Duration {
        let document = self.catalog().document(service);
        document.map_or(Duration::ZERO, |one| id_window(one.requests.largest_deadline))
    }

    /// Whether the slots of a service are bounded by what is learned of its endpoints.
    pub fn is_limit_adaptive(&self, service: &str) -> bool {
        let document = self.catalog().document(service);
        document.is_some_and(|one| one.requests.adaptive_limit)
    }

    /// The objective of a service, by the documents in force here.
    pub fn objective_of(&self, service: &str) -> Option<ServiceObjective> {
        self.catalog().document(service).map(|document| document.objective.clone())
    }

    /// Times of requests beside tasks. Never held over a wait.
    pub fn observer(&self) -> MutexGuard<'_, ServiceObserver> {
        self.observer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in what an entry has learned of pairs.
    pub fn adopt_slowdowns(&self, slowdowns: Vec<KindSlowdown>) {
        let mut known = self.slowdowns.lock().unwrap_or_else(PoisonError::into_inner);
        for one in slowdowns {
            known.entry(one.service).or_default().insert(one.kind, one.slowdown);
        }
    }

    /// Learned slowdown of a service by each kind.
    pub fn slowdowns_of(&self, service: &str) -> BTreeMap<KindName, f64> {
        let known = self.slowdowns.lock().unwrap_or_else(PoisonError::into_inner);
        known.get(service).cloned().unwrap_or_default()
    }

    /// Marks an attempt as stopped for the sake of a service.
    pub fn begin_eviction(&self, key: &AttemptKey) {
        self.evicting.lock().unwrap_or_else(PoisonError::into_inner).insert(key.clone());
    }

    /// Whether an attempt was stopped for the sake of a service.
    pub fn is_evicted(&self, key: &AttemptKey) -> bool {
        self.evicting.lock().unwrap_or_else(PoisonError::into_inner).contains(key)
    }

    /// Forgets the marks of attempts whose ends were committed.
    pub fn end_evictions(&self, keys: &[AttemptKey]) {
        let mut evicting = self.evicting.lock().unwrap_or_else(PoisonError::into_inner);
        evicting.retain(|key| !keys.contains(key));
    }

    fn catalog(&self) -> MutexGuard<'_, DocumentCatalog> {
        self.catalog.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this agent holds its worker's lease and may act.
    pub fn is_registered(&self) -> bool {
        self.acts_until(clock::now()).is_some()
    }

    /// Whether the journal holds what the run before this one left, if anything.
    pub fn is_journal_ready(&self) -> bool {
        self.journal_ready.load(Ordering::Acquire)
    }

    /// Says that the journal holds what the run before this one left.
    pub fn set_journal_ready(&self) {
        self.journal_ready.store(true, Ordering::Release);
    }

    /// Whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// From now on new requests are refused.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Number of the next heartbeat.
    pub fn next_beat_number(&self) -> u64 {
        self.beat_count.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// Time between two heartbeats.
    pub fn beat_interval(&self) -> Duration {
        self.map().timing.agent_beat()
    }
}
