//! The agent: dispatches to its host's endpoints and runs its worker's tasks under leases.

pub mod announce_http;
pub mod attempt_ends;
pub mod dispatcher;
pub mod heartbeat;
pub mod lease_keeper;
pub mod reactor;
pub mod reconciler;
pub mod renewal;
pub mod rpc;
pub mod shared;
pub mod unanswered_starts;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use log::Level;
use tokio::task::JoinHandle;

use crate::error::Error;
use crate::external::table::TableStore;
use crate::external::worker::WorkerControl;
use crate::process::agent::reconciler::ReconcileActor;
use crate::process::agent::reconciler::ReleaseLease;
use crate::process::agent::shared::AgentShared;
use crate::process::entry::listen;
use crate::process::entry::local_address;
use crate::process::http_server::ListenerSettings;
use crate::process::http_server::spawn_http_server;
use crate::process::inbound::connection_guard::ConnectionGuard;
use crate::process::logging::log_event;
use crate::process::settings::AgentSettings;
use crate::process::stop_signal::StopSignal;
use crate::process::stop_signal::StopSwitch;

/// Time between two looks at the requests in flight when stopping.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Longest time that giving the lease back may take.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);
/// Time after the last request for its answer to reach the entry.
const LAST_ANSWER: Duration = Duration::from_millis(200);
/// Time for which endpoints may still close their connections.
const LAST_CLOSE: Duration = Duration::from_secs(1);

/// The addresses on which an agent listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentAddresses {
    /// For announcements of endpoints.
    pub endpoints: SocketAddr,
    /// For other processes of the system.
    pub internal: SocketAddr,
}

/// A running agent.
#[derive(Debug)]
pub struct AgentProcess {
    /// Where it listens.
    pub addresses: AgentAddresses,
    running: JoinHandle<()>,
}

impl AgentProcess {
    /// Binds the listeners and starts the agent, which runs until `stop` is raised.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] when an address is taken or not of this host.
    pub async fn bind(
        settings: AgentSettings,
        table: Arc<dyn TableStore>,
        worker: Option<Arc<dyn WorkerControl>>,
        stop: StopSignal,
    ) -> Result<AgentProcess, Error> {
        let endpoints = listen(settings.endpoint_listen).await?;
        let internal = listen(settings.internal_listen).await?;
        let addresses = AgentAddresses {
            endpoints: local_address(&endpoints)?,
            internal: local_address(&internal)?,
        };
        let shared = Arc::new(AgentShared::new(settings, addresses.internal, table, worker));
        let reconciler = ReconcileActor::spawn(ReconcileActor::new(shared.clone()));
        rpc::spawn_agent_rpc(internal, shared.clone(), reconciler.clone());
        heartbeat::spawn_beats(shared.clone());
        renewal::spawn_renewals(shared.clone());
        reactor::spawn_reactor(shared.clone());
        reconciler::spawn_ticks(shared.clone(), reconciler.clone());
        let (close, closed) = StopSwitch::new();
        let router = announce_http::router(shared.clone());
        let counter = shared.metrics.closed_connections.clone();
        let guard = Arc::new(ConnectionGuard::new(shared.settings.machine, counter));
        let listener = ListenerSettings::new("endpoints", guard);
        let server = spawn_http_server(endpoints, router, listener, closed);
        let running = tokio::spawn(async move {
            stop.raised().await;
            drain(&shared, &reconciler).await;
            close.stop();
            // Idle connections of endpoints must not hold the exit up.
            let _ = tokio::time::timeout(LAST_CLOSE, server).await;
            log_event(Level::Info, "stopped", &[("worker", &shared.settings.worker)]);
        });
        Ok(AgentProcess { addresses, running })
    }

    /// Waits until the agent has stopped.
    pub async fn stopped(self) {
        // A panic of the task has been printed by then.
        let _ = self.running.await;
    }
}

/// Refuses new requests, tells the entries and waits for requests in flight. Tasks go on: they
/// are the worker's, and the next run of the agent takes them over.
async fn drain(shared: &AgentShared, reconciler: &ActorRef<ReconcileActor>) {
    log_event(Level::Info, "stopping", &[("worker", &shared.settings.worker)]);
    shared.set_draining();
    shared.beat_now.notify_one();
    let all_done = async {
        while shared.endpoints().in_flight() > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    };
    if tokio::time::timeout(shared.settings.drain_limit, all_done).await.is_err() {
        let in_flight = shared.endpoints().in_flight();
        log_event(Level::Error, "drain_limit_passed", &[("in_flight", &in_flight)]);
    }
    let release = tokio::time::timeout(RELEASE_LIMIT, reconciler.ask(ReleaseLease));
    if !matches!(release.await, Ok(Ok(()))) {
        log_event(Level::Warn, "release_failed", &[("worker", &shared.settings.worker)]);
    }
    tokio::time::sleep(LAST_ANSWER).await;
}
