//! What all parts of an entry share.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::connection::cluster_map::EntryMember;
use crate::connection::cluster_view::ClusterView;
use crate::connection::protocol::AgentRpcClient;
use crate::connection::protocol::EntryHeartbeat;
use crate::connection::protocol::EntryRpcClient;
use crate::connection::protocol::KindSlowdown;
use crate::connection::protocol::ProcessReport;
use crate::connection::protocol::TeamQueue;
use crate::connection::rpc_client::ConnectionCache;
use crate::connection::worker_row::WORKER_PREFIX;
use crate::connection::worker_row::WorkerRow;
use crate::external::paced_table::PacedTable;
use crate::external::table::TableError;
use crate::external::table::TableStore;
use crate::ids::IncarnationId;
use crate::ids::WorkerId;
use crate::process::burn_ledger::BurnLedger;
use crate::process::clock;
use crate::process::clock::SteadyClock;
use crate::process::entry::ledger_desk::LedgerDesk;
use crate::process::entry::pool_set::PoolSet;
use crate::process::entry::process_news::AgentNews;
use crate::process::entry::process_news::PeerNews;
use crate::process::interference::InterferenceModel;
use crate::process::interference::InterferenceSample;
use crate::process::interference::KindName;
use crate::process::metrics::ProcessMetrics;
use crate::process::settings::EntrySettings;
use crate::version::catalog::DocumentCatalog;

/// Time after which an entry that was not heard of is forgotten.
const PEER_LIFE: Duration = Duration::from_secs(60);

/// Smallest rate of writes in writes a second that an entry gets, however many there are.
const SMALLEST_WRITE_SHARE: f64 = 4.0;

/// State that the parts of an entry share.
pub struct EntryShared {
    /// Settings of the entry.
    pub settings: EntrySettings,
    /// The entry as a member of the cluster.
    pub member: EntryMember,
    /// The platform's table service, within this entry's share of the writes.
    pub table: Arc<dyn TableStore>,
    /// The same, as what divides the writes.
    pub pace: Arc<PacedTable>,
    /// Wall clock.
    pub clock: SteadyClock,
    /// Metrics.
    pub metrics: ProcessMetrics,
    /// Endpoints of each service, with their load and health.
    pub pools: PoolSet,
    /// Ids of the requests of own partitions.
    pub ledger: LedgerDesk,
    /// Connections to agents.
    pub agent_connections: ConnectionCache<AgentRpcClient>,
    /// Connections to other entries.
    pub entry_connections: ConnectionCache<EntryRpcClient>,
    /// Wakes the sync of the documents.
    pub catalog_news: Notify,
    view: Mutex<ClusterView>,
    agents: Mutex<HashMap<WorkerId, AgentNews>>,
    peers: Mutex<HashMap<IncarnationId, PeerNews>>,
    catalog: RwLock<DocumentCatalog>,
    model: Mutex<Arc<InterferenceModel>>,
    burn: Mutex<BurnLedger>,
    queues: Mutex<Vec<TeamQueue>>,
    worker_rows: tokio::sync::Mutex<Option<(Instant, Arc<Vec<WorkerRow>>)>>,
    in_flight: AtomicU64,
    catalog_ready: AtomicBool,
    not_ready: AtomicBool,
    draining: AtomicBool,
}

/// Counts a request as in flight while it lives.
pub struct FlightGuard(Arc<EntryShared>);

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl EntryShared {
    /// The state of an entry that has just started.
    pub fn new(
        settings: EntrySettings,
        internal: SocketAddr,
        table: Arc<dyn TableStore>,
    ) -> EntryShared {
        let member = EntryMember {
            id: settings.id.clone(),
            incarnation: new_incarnation(),
            address: settings.internal_advertise.unwrap_or(internal).to_string(),
        };
        let pace = Arc::new(PacedTable::open(table, settings.write_rate as f64));
        EntryShared {
            pools: PoolSet::new(settings.domain.clone()),
            view: Mutex::new(ClusterView::new(member.clone(), clock::now())),
            member,
            table: pace.clone(),
            pace,
            settings,
            clock: SteadyClock::start(),
            metrics: ProcessMetrics::open(),
            ledger: LedgerDesk::default(),
            agent_connections: ConnectionCache::default(),
            entry_connections: ConnectionCache::default(),
            catalog_news: Notify::new(),
            agents: Mutex::default(),
            peers: Mutex::default(),
            catalog: RwLock::default(),
            model: Mutex::default(),
            burn: Mutex::default(),
            queues: Mutex::default(),
            worker_rows: tokio::sync::Mutex::default(),
            in_flight: AtomicU64::new(0),
            catalog_ready: AtomicBool::new(false),
            not_ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
        }
    }

    /// The view of the cluster. Never held over a wait.
    pub fn view(&self) -> MutexGuard<'_, ClusterView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// News of agents by worker. Never held over a wait.
    pub fn agents(&self) -> MutexGuard<'_, HashMap<WorkerId, AgentNews>> {
        self.agents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// News of other entries by incarnation. Never held over a wait.
    pub fn peers(&self) -> MutexGuard<'_, HashMap<IncarnationId, PeerNews>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in what another entry's heartbeat tells of it; heartbeats may overtake each other, and
    /// generations only rise.
    pub fn on_peer_beat(&self, beat: &EntryHeartbeat, now: Instant) {
        let mut peers = self.peers();
        let known = peers.get(&beat.member.incarnation).map_or(0, |known| known.generation);
        let generation = known.max(beat.generation);
        let news = PeerNews { id: beat.member.id.clone(), generation, heard: now };
        peers.insert(beat.member.incarnation, news);
    }

    /// Reads the documents in force.
    pub fn with_catalog<T>(&self, read: impl FnOnce(&DocumentCatalog) -> T) -> T {
        read(&self.catalog.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the documents in force.
    pub fn change_catalog<T>(&self, change: impl FnOnce(&mut DocumentCatalog) -> T) -> T {
        change(&mut self.catalog.write().unwrap_or_else(PoisonError::into_inner))
    }

    /// Events of the services. Never held over a wait.
    pub fn burn(&self) -> MutexGuard<'_, BurnLedger> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The kind of tasks that slows a service on a worker most, with the slowdown by all of its
    /// tasks there.
    pub fn worst_neighbour(&self, service: &str, worker: &str) -> Option<(KindName, f64)> {
        let kinds = self.agents().get(worker)?.kinds.clone();
        let model = self.interference();
        let each = kinds.into_iter().map(|(kind, count)| {
            let slowdown = model.estimate(service, &kind).slowdown * f64::from(count);
            (kind, slowdown)
        });
        each.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// What is known of the interference between services and tasks.
    pub fn interference(&self) -> Arc<InterferenceModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes in samples of an agent and gives what is known of their pairs.
    pub fn learn(&self, samples: &[InterferenceSample]) -> Vec<KindSlowdown> {
        let mut model = self.model.lock().unwrap_or_else(PoisonError::into_inner);
        let mut known = BTreeMap::new();
        for sample in samples {
            // Copied only while a plan still reads the old one.
            Arc::make_mut(&mut model).learn(sample);
            for kind in sample.kinds.keys() {
                known.insert((sample.service.clone(), kind.clone()), ());
            }
        }
        let slowdowns = known.into_keys().map(|(service, kind)| {
            let slowdown = model.estimate(&service, &kind).slowdown;
            KindSlowdown { service, kind, slowdown }
        });
        slowdowns.collect()
    }

    /// Queues of the teams that this entry schedules, as of its last step.
    pub fn queues(&self) -> Vec<TeamQueue> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Makes known what the scheduler's step found.
    pub fn set_queues(&self, queues: Vec<TeamQueue>) {
        *self.queues.lock().unwrap_or_else(PoisonError::into_inner) = queues;
    }

    /// Rows of all workers, read at `since` or later.
    ///
    /// # Errors
    ///
    /// As the table service gives them.
    pub async fn worker_rows_since(
        &self,
        since: Instant,
    ) -> Result<Arc<Vec<WorkerRow>>, TableError> {
        let mut cached = self.worker_rows.lock().await;
        if let Some((_, rows)) = cached.as_ref().filter(|(read_at, _)| *read_at >= since) {
            return Ok(rows.clone());
        }
        let read_at = clock::now();
        let rows = self.table.list(WORKER_PREFIX).await?;
        let rows: Vec<WorkerRow> = rows.iter().filter_map(|row| row.decode().ok()).collect();
        let rows = Arc::new(rows);
        *cached = Some((read_at, rows.clone()));
        Ok(rows)
    }

    /// Forgets ids whose window has passed and entries that are long gone.
    pub fn remove_expired(&self) {
        let remembered = self.ledger.remove_expired(self.clock.wall());
        self.metrics.remembered_ids.set(i64::try_from(remembered).unwrap_or(i64::MAX));
        self.peers().retain(|_, peer| clock::elapsed(peer.heard) < PEER_LIFE);
    }

    /// Divides the rate of writes among the members of the newest map.
    pub fn share_writes(&self) {
        let members = self.view().map().members.len().max(1);
        let share = self.settings.write_rate as f64 / members as f64;
        self.pace.set_rate(share.max(SMALLEST_WRITE_SHARE));
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn begin_flight(self: &Arc<Self>) -> FlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        FlightGuard(self.clone())
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Says that the documents are known to be the newest that can be had.
    pub fn set_catalog_ready(&self) {
        self.catalog_ready.store(true, Ordering::Release);
    }

    /// Whether the documents are known to be the newest that can be had.
    pub fn is_catalog_ready(&self) -> bool {
        self.catalog_ready.load(Ordering::Acquire)
    }

    /// Whether the balancer shall send callers here.
    pub fn is_ready(&self) -> bool {
        !self.not_ready.load(Ordering::Acquire) && self.is_catalog_ready()
    }

    /// Tells the balancer to send no more callers.
    pub fn set_not_ready(&self) {
        self.not_ready.store(true, Ordering::Release);
    }

    /// From now on new requests are refused.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// This process and those it hears from.
    pub fn process_reports(&self) -> Vec<ProcessReport> {
        let mut reports = vec![ProcessReport {
            id: self.member.id.clone(),
            is_entry: true,
            generation: self.with_catalog(DocumentCatalog::generation),
            domain: self.settings.domain.clone(),
        }];
        let now = clock::now();
        let timing = self.view().map().timing;
        let is_live =
            |heard: Instant, beat: Duration| now.saturating_duration_since(heard) < beat * 4;
        for peer in self.peers().values() {
            if is_live(peer.heard, timing.entry_beat()) {
                reports.push(ProcessReport {
                    id: peer.id.clone(),
                    is_entry: true,
                    generation: peer.generation,
                    domain: String::new(),
                });
            }
        }
        for agent in self.agents().values() {
            if is_live(agent.heard, timing.agent_beat()) {
                reports.push(ProcessReport {
                    id: agent.place.worker.clone(),
                    is_entry: false,
                    generation: agent.generation,
                    domain: agent.place.domain.clone(),
                });
            }
        }
        reports.sort_by(|a, b| a.id.cmp(&b.id));
        reports
    }
}

/// A new incarnation: random, so that it needs no place to be counted in; never zero.
///
/// ```
/// use greengagearch::process::entry::shared::new_incarnation;
///
/// assert_ne!(new_incarnation(), new_incarnation());
/// ```
pub fn new_incarnation() -> IncarnationId {
    rand::random_range(1..=IncarnationId::MAX)
}
