//! The node agent: the only process that calls the runner on its host, as the planner orders.

pub mod fencing_token;
pub mod instance_recorder;
pub mod lease_watch;
pub mod order_attempts;
pub mod order_sender;
pub mod order_sequence;
pub mod order_state;
pub mod order_tracker;
pub mod pending_start;
pub mod recent_starts;
pub mod registered_runner;
pub mod rpc;
pub mod runner_instances;
pub mod runner_lease;
pub mod runner_poller;
pub mod runner_targets;
pub mod shared;
pub mod start_state;
pub mod state;
pub mod unsettled_starts;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use tokio::task::JoinHandle;

use crate::error::Error;
use crate::external::row_store::RowStore;
use crate::external::runner_control::RunnerControl;
use crate::platform::runner_registry;
use crate::process::entry::listen;
use crate::process::entry::local_address;
use crate::process::http_server::ListenerSettings;
use crate::process::http_server::spawn_http_server;
use crate::process::inbound::connection_guard::ConnectionGuard;
use crate::process::logging::log_event;
use crate::process::metrics::serve_metrics;
use crate::process::node::instance_recorder::InstanceRecorder;
use crate::process::node::shared::NodeShared;
use crate::process::planning::registration::register;
use crate::process::planning::rows::NODE_TABLE;
use crate::process::planning::rows::NodeRow;
use crate::process::planning::rows::agent_row;
use crate::process::planning::rows::encode;
use crate::process::planning::settings::NodeSettings;
use crate::process::stop_signal::StopSignal;

/// Time to finish responses that are in progress when the process stops.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(150);

/// The addresses on which a node agent listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddresses {
    /// Address for the host's runner.
    pub registry: SocketAddr,
    /// Address for the planner.
    pub internal: SocketAddr,
}

/// A running node agent.
#[derive(Debug)]
pub struct NodeProcess {
    /// The addresses on which it listens.
    pub addresses: NodeAddresses,
    running: JoinHandle<()>,
}

impl NodeProcess {
    /// Listens on all addresses and starts the agent.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if an address cannot be bound.
    pub async fn bind(
        settings: NodeSettings,
        store: Arc<dyn RowStore>,
        control: Arc<dyn RunnerControl>,
        stop: StopSignal,
    ) -> Result<NodeProcess, Error> {
        let registry = listen(settings.registry_listen).await?;
        let internal = listen(settings.internal_listen).await?;
        let addresses = NodeAddresses {
            registry: local_address(&registry)?,
            internal: local_address(&internal)?,
        };
        let shared = Arc::new(NodeShared::new(control));
        let closed = shared.metrics.closed_connections.clone();
        let guard = Arc::new(ConnectionGuard::new(settings.machine, closed));
        if let Some(address) = settings.metrics_listen {
            serve_metrics(address, shared.metrics.clone(), guard.clone()).await?;
        }
        rpc::spawn_node_rpc(internal, shared.clone());
        runner_poller::spawn_runner_poller(shared.clone());
        let advertised_address =
            settings.internal_advertise.unwrap_or(addresses.internal).to_string();
        InstanceRecorder::spawn(shared.clone(), store.clone(), &advertised_address);
        let router = runner_registry::router(shared);
        let listener = ListenerSettings::new("registry", guard);
        spawn_http_server(registry, router, listener, stop.clone());
        let name = agent_row(NODE_TABLE, &advertised_address);
        let row = NodeRow { id: settings.id, address: advertised_address };
        tokio::spawn(register(store, name, encode(&row)));
        let running = tokio::spawn(async move {
            stop.raised().await;
            log_event(Level::Info, "stopping", &[]);
            // The runner keeps running under its leases; the next agent on this host learns from
            // its polls what runs.
            tokio::time::sleep(SHUTDOWN_GRACE).await;
            log_event(Level::Info, "stopped", &[]);
        });
        Ok(NodeProcess { addresses, running })
    }

    /// Waits until the process has stopped.
    pub async fn stopped(self) {
        // A panic of the task has been printed already.
        let _ = self.running.await;
    }
}
