//! The planner process.
//!
//! Several of these processes run at the same time. Each accepts jobs from callers and stores them;
//! the one that holds the ownership of planning assigns the tasks of all jobs to workers.

pub mod agent_links;
pub mod commit_writer;
pub mod decision_log;
pub mod evacuation_status;
pub mod evacuation_watch;
pub mod feed_router;
pub mod handover;
pub mod host_admission;
pub mod job_http;
pub mod job_rows;
pub mod job_service;
pub mod node_link;
pub mod owner_probe;
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
pub mod takeover_delay;
mod unsettled_report;

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
use crate::process::http_server::ListenerSettings;
use crate::process::http_server::spawn_http_server;
use crate::process::inbound::connection_guard::ConnectionGuard;
use crate::process::logging::log_event;
use crate::process::metrics::serve_metrics;
use crate::process::planning::job_service::JobService;
use crate::process::planning::ownership::OwnershipElector;
use crate::process::planning::settings::PlannerSettings;
use crate::process::planning::shared::PlannerShared;
use crate::process::stop_signal::StopSignal;
use crate::process::stop_signal::StopSwitch;

/// Time between the first negative readiness response and the closing of caller connections. The
/// load balancer polls readiness once a second; this covers two polls and their latency.
const READINESS_PROPAGATION_TIME: Duration = Duration::from_millis(2_300);

/// The addresses on which a planner process listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener of the job interface, if it is configured.
    pub jobs: Option<SocketAddr>,
    /// Listener for the load balancer's readiness polls.
    pub ready: SocketAddr,
    /// Listener for other processes of the system.
    pub internal: SocketAddr,
}

/// A running planner process.
#[derive(Debug)]
pub struct PlannerProcess {
    /// Addresses of its listeners, with the port numbers that were assigned.
    pub addresses: PlannerAddresses,
    task: JoinHandle<()>,
}

impl PlannerProcess {
    /// Binds all listeners and starts the process's tasks.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if an address cannot be bound.
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
        let closed = shared.metrics.closed_connections.clone();
        let guard = Arc::new(ConnectionGuard::new(shared.settings.machine, closed));
        if let Some(address) = shared.settings.metrics_listen {
            serve_metrics(address, shared.metrics.clone(), guard.clone()).await?;
        }
        queue_watch::spawn_queue_watch(shared.clone());
        peer_watch::spawn_peer_watch(shared.clone());
        planner_client::spawn_planner_rpc(internal, shared.clone());
        let gate: Arc<dyn JobGate> = Arc::new(JobService::open(shared.clone()));
        let (caller_switch, caller_stop) = StopSwitch::new();
        if let Some(jobs) = jobs {
            let settings = ListenerSettings::new("jobs", guard.clone());
            spawn_http_server(jobs, job_http::router(gate.clone()), settings, caller_stop.clone());
        }
        let settings = caller_gate::listener_settings(gate.clone(), guard.clone());
        let router = caller_gate::router(gate.clone());
        let server = spawn_http_server(callers, router, settings, caller_stop);
        // The readiness listener runs until the process ends, so that the load balancer gets a
        // negative response while the process drains.
        let (ready_switch, ready_stop) = StopSwitch::new();
        let settings = ListenerSettings::new("ready", guard);
        spawn_http_server(ready, caller_gate::ready_router(gate), settings, ready_stop);
        let elector = OwnershipElector::spawn(shared.clone());
        let task = tokio::spawn(async move {
            stop.raised().await;
            log_event(Level::Info, "stopping", &[("id", &shared.settings.id)]);
            shared.set_stopping();
            let drain = async {
                tokio::time::sleep(READINESS_PROPAGATION_TIME).await;
                caller_switch.stop();
                // The server's task ends with its last connection. The runtime prints a panic of a
                // task, so the join error is dropped.
                let _ = server.await;
                let _ = elector.await;
            };
            if tokio::time::timeout(drain_limit, drain).await.is_err() {
                log_event(Level::Error, "drain_limit_passed", &[("id", &shared.settings.id)]);
            }
            log_event(Level::Info, "stopped", &[("id", &shared.settings.id)]);
            drop(ready_switch);
        });
        Ok(PlannerProcess { addresses, task })
    }

    /// Waits until the process has drained and stopped.
    pub async fn stopped(self) {
        // The runtime has printed a panic of the task, so the join error is dropped.
        let _ = self.task.await;
    }
}
