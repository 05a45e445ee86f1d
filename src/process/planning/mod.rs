//! The planner process: takes callers' jobs; one of these processes plans for all.

pub mod commit_writer;
pub mod decision_log;
pub mod job_desk;
pub mod job_http;
pub mod node_link;
pub mod ownership;
pub mod peer_watch;
pub mod planner_client;
pub mod planner_loop;
pub mod planner_writes;
pub mod queue_watch;
pub mod registration;
pub mod rows;
pub mod settings;
pub mod shared;
pub mod store_access;
pub mod table_feed;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use tokio::task::JoinHandle;

use crate::error::Error;
use crate::external::advice_service::AdviceService;
use crate::external::row_store::RowStore;
use crate::platform::caller_gate;
use crate::process::entry::listen;
use crate::process::entry::local_address;
use crate::process::gate::JobGate;
use crate::process::http_server::HttpLimits;
use crate::process::http_server::spawn_http_server;
use crate::process::logging::log_event;
use crate::process::metrics::serve_metrics;
use crate::process::planning::job_desk::JobDesk;
use crate::process::planning::ownership::OwnershipElector;
use crate::process::planning::settings::PlannerSettings;
use crate::process::planning::shared::PlannerShared;
use crate::process::stop_signal::StopSignal;
use crate::process::stop_signal::StopSwitch;

/// Time between the fall of readiness and the close of connections: two looks of the balancer, one
/// a second, and some.
const READINESS_NOTICE: Duration = Duration::from_millis(2_300);

/// The addresses on which a planner process listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For jobs by the product's own interface, if it is offered.
    pub jobs: Option<SocketAddr>,
    /// For the balancer's question whether the process is ready.
    pub ready: SocketAddr,
    /// For other processes of the system.
    pub internal: SocketAddr,
}

/// A running planner process.
#[derive(Debug)]
pub struct PlannerProcess {
    /// Where it listens.
    pub addresses: PlannerAddresses,
    running: JoinHandle<()>,
}

impl PlannerProcess {
    /// Listens on all addresses and starts.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`].
    pub async fn bind(
        mut settings: PlannerSettings,
        store: Arc<dyn RowStore>,
        advice: Option<Arc<dyn AdviceService>>,
        stop: StopSignal,
    ) -> Result<PlannerProcess, Error> {
        let callers = listen(settings.caller_listen).await?;
        let ready = listen(settings.ready_listen).await?;
        let internal = listen(settings.internal_listen).await?;
        let jobs = match settings.job_listen {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        let addresses = PlannerAddresses {
            callers: local_address(&callers)?,
            jobs: jobs.as_ref().map(local_address).transpose()?,
            ready: local_address(&ready)?,
            internal: local_address(&internal)?,
        };
        settings.internal_listen = addresses.internal;
        let drain_limit = settings.drain_limit;
        let shared = Arc::new(PlannerShared::new(settings, store, advice));
        if let Some(address) = shared.settings.metrics_listen {
            serve_metrics(address, shared.metrics.clone()).await?;
        }
        queue_watch::spawn_queue_watch(shared.clone());
        peer_watch::spawn_peer_watch(shared.clone());
        planner_client::spawn_planner_rpc(internal, shared.clone());
        let gate: Arc<dyn JobGate> = Arc::new(JobDesk::open(shared.clone()));
        let (close, closed) = StopSwitch::new();
        let limits = HttpLimits::default();
        let router = caller_gate::router(gate.clone());
        if let Some(jobs) = jobs {
            spawn_http_server(jobs, job_http::router(gate.clone()), limits, closed.clone());
        }
        let server = spawn_http_server(callers, router, limits, closed);
        // It answers until the process ends, so that the balancer learns of the stop.
        let (kept, never) = StopSwitch::new();
        spawn_http_server(ready, caller_gate::ready_router(gate), limits, never);
        let elector = OwnershipElector::spawn(shared.clone());
        let running = tokio::spawn(async move {
            stop.raised().await;
            log_event(Level::Info, "stopping", &[("id", &shared.settings.id)]);
            shared.set_stopping();
            let drain = async {
                tokio::time::sleep(READINESS_NOTICE).await;
                close.stop();
                // The server's task ends when its last connection has; a panic has been printed.
                let _ = server.await;
                let _ = elector.await;
            };
            if tokio::time::timeout(drain_limit, drain).await.is_err() {
                log_event(Level::Error, "drain_limit_passed", &[("id", &shared.settings.id)]);
            }
            log_event(Level::Info, "stopped", &[("id", &shared.settings.id)]);
            drop(kept);
        });
        Ok(PlannerProcess { addresses, running })
    }

    /// Waits until the process has stopped.
    pub async fn stopped(self) {
        // A panic of the task has been printed by then.
        let _ = self.running.await;
    }
}
