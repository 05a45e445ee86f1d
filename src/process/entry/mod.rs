//! The entry: takes callers' requests and operators' documents, routes, and schedules tasks.

pub mod broker;
pub mod burn_desk;
pub mod caller_http;
pub mod catalog_sync;
pub mod document_desk;
pub mod fleet_board;
pub mod job_http;
pub mod ledger_desk;
pub mod membership;
pub mod operator_http;
pub mod pool_set;
pub mod process_news;
pub mod rpc;
pub mod scheduler;
pub mod settlement;
pub mod shared;
pub mod start_batch;
pub mod status_desk;
pub mod task_board;
pub mod worker_desk;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::Spawn;
use log::Level;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::error::Error;
use crate::error::ListenSnafu;
use crate::external::table::TableStore;
use crate::process::entry::burn_desk::BurnFlush;
use crate::process::entry::membership::LeaveCluster;
use crate::process::entry::membership::MembershipActor;
use crate::process::entry::scheduler::SchedulerActor;
use crate::process::entry::shared::EntryShared;
use crate::process::http_server::ListenerSettings;
use crate::process::http_server::spawn_http_server;
use crate::process::inbound::connection_guard::ConnectionGuard;
use crate::process::logging::log_event;
use crate::process::settings::EntrySettings;
use crate::process::stop_signal::StopSignal;
use crate::process::stop_signal::StopSwitch;

/// Time between the fall of readiness and the refusal of new requests, so that the balancer learns.
const READINESS_NOTICE: Duration = Duration::from_millis(500);
/// Time between two looks at the requests in flight when stopping.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Heartbeats for which a stopped entry goes on refusing what its peers forward.
const BEATS_TO_LINGER: u32 = 3;
/// Time for which the processes of the other side may still close their connections.
const LAST_CLOSE: Duration = Duration::from_secs(2);

/// The addresses on which an entry listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other processes of the system.
    pub internal: SocketAddr,
}

/// A running entry.
#[derive(Debug)]
pub struct EntryProcess {
    /// Where it listens.
    pub addresses: EntryAddresses,
    running: JoinHandle<()>,
}

impl EntryProcess {
    /// Binds the listeners and starts the entry, which runs until `stop` is raised.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] when an address is taken or not of this host.
    pub async fn bind(
        settings: EntrySettings,
        table: Arc<dyn TableStore>,
        stop: StopSignal,
    ) -> Result<EntryProcess, Error> {
        let callers = listen(settings.caller_listen).await?;
        let operators = listen(settings.operator_listen).await?;
        let internal = listen(settings.internal_listen).await?;
        let addresses = EntryAddresses {
            callers: local_address(&callers)?,
            operators: local_address(&operators)?,
            internal: local_address(&internal)?,
        };
        let shared = Arc::new(EntryShared::new(settings, addresses.internal, table));
        let membership = MembershipActor::spawn(MembershipActor::new(shared.clone()));
        let scheduler = SchedulerActor::spawn(SchedulerActor::new(shared.clone()));
        rpc::spawn_entry_rpc(internal, shared.clone(), membership.clone(), scheduler.clone());
        membership::spawn_beats(shared.clone(), membership.clone());
        catalog_sync::spawn_catalog_sync(shared.clone());
        scheduler::spawn_ticks(shared.clone(), scheduler.clone());
        pool_set::spawn_upkeep(shared.clone());
        burn_desk::spawn_flushes(shared.clone());
        let (close, closed) = StopSwitch::new();
        let caller_router = caller_http::router(shared.clone(), scheduler);
        let counter = shared.metrics.closed_connections.clone();
        let guard = Arc::new(ConnectionGuard::new(shared.settings.machine, counter));
        let listener = caller_http::listener_settings(guard.clone())
            .with_limits(shared.settings.caller_limits);
        let caller_server = spawn_http_server(callers, caller_router, listener, closed.clone());
        let operator_router = operator_http::router(shared.clone());
        let listener = ListenerSettings::new("operators", guard);
        let operator_server = spawn_http_server(operators, operator_router, listener, closed);
        let running = tokio::spawn(async move {
            stop.raised().await;
            drain(&shared, &membership).await;
            close.stop();
            // Idle connections of callers must not hold the exit up.
            let _ = tokio::time::timeout(LAST_CLOSE, caller_server).await;
            let _ = tokio::time::timeout(LAST_CLOSE, operator_server).await;
            log_event(Level::Info, "stopped", &[("entry", &shared.member.id)]);
        });
        Ok(EntryProcess { addresses, running })
    }

    /// Waits until the entry has stopped.
    pub async fn stopped(self) {
        // A panic of the task has been printed by then.
        let _ = self.running.await;
    }
}

/// Lets the balancer learn, hands the partitions over and waits for requests in flight.
async fn drain(shared: &EntryShared, membership: &kameo::actor::ActorRef<MembershipActor>) {
    log_event(Level::Info, "stopping", &[("entry", &shared.member.id)]);
    shared.set_not_ready();
    tokio::time::sleep(READINESS_NOTICE).await;
    shared.set_draining();
    if membership.ask(LeaveCluster).await.is_err() {
        log_event(Level::Warn, "leave_failed", &[("entry", &shared.member.id)]);
    }
    let all_done = async {
        while shared.in_flight() > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    };
    if tokio::time::timeout(shared.settings.drain_limit, all_done).await.is_err() {
        log_event(Level::Error, "drain_limit_passed", &[("in_flight", &shared.in_flight())]);
    }
    let mut flush = BurnFlush::default();
    let last_counts = tokio::time::timeout(LAST_CLOSE, flush.flush(shared));
    if !matches!(last_counts.await, Ok(Ok(()))) {
        log_event(Level::Warn, "burn_not_written", &[("entry", &shared.member.id)]);
    }
    // Peers that have not read the new map yet still forward; each such request is refused here,
    // which is better than the silence of a closed connection.
    tokio::time::sleep(shared.beat_interval() * BEATS_TO_LINGER).await;
}

/// Binds a listener.
///
/// # Errors
///
/// [`Error::Listen`] when the address is taken or not of this host.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let address = "127.0.0.1:0".parse().unwrap();
/// assert!(greengagearch::process::entry::listen(address).await.is_ok());
/// # });
/// ```
pub async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.context(ListenSnafu { address: address.to_string() })
}

/// The address a listener got.
///
/// # Errors
///
/// [`Error::Listen`] when the operating system does not tell.
pub fn local_address(listener: &TcpListener) -> Result<SocketAddr, Error> {
    listener.local_addr().context(ListenSnafu { address: "an unknown address" })
}
