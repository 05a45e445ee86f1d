//! Asks the planner for states of jobs, in this process or another.

use std::sync::Arc;
use std::time::Duration;

use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;

use crate::connection::planner_protocol::PlannerRpc;
use crate::connection::planner_protocol::PlannerRpcClient;
use crate::connection::planner_protocol::StatusResponse;
use crate::connection::rpc_client::ConnectionCache;
use crate::connection::rpc_client::call_within;
use crate::connection::rpc_client::framed;
use crate::external::row_store::RowError;
use crate::external::row_store::RowName;
use crate::external::row_store::RowStore;
use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::ids::JobId;
use crate::ids::RowVersion;
use crate::process::clock;
use crate::process::planning::shared::PlannerShared;
use crate::process::rpc_server::spawn_rpc_server;

/// Time for the planner's answer; after it the store is asked.
const STATUS_LIMIT: Duration = Duration::from_millis(300);

/// Client of whoever plans.
pub struct PlannerClient {
    shared: Arc<PlannerShared>,
    connections: ConnectionCache<PlannerRpcClient>,
}

impl PlannerClient {
    /// Opens a client.
    pub fn open(shared: Arc<PlannerShared>) -> PlannerClient {
        PlannerClient { shared, connections: ConnectionCache::default() }
    }

    /// The state of a job, as far as the planner knows and answers.
    pub async fn status(&self, job: &str) -> StatusResponse {
        if let Some(owned) = self.shared.owned().as_ref() {
            return known(owned.planner.status(job));
        }
        let owner = self.shared.view().owner.clone();
        let Some(owner) = owner.filter(|owner| !owner.released) else {
            return StatusResponse::Unknown;
        };
        let Ok(client) = self.connections.client(&owner.address).await else {
            return StatusResponse::Unknown;
        };
        match client.status(call_within(STATUS_LIMIT), job.to_string()).await {
            Ok(answer) => answer,
            Err(_) => {
                // The connection may have gone silent; the store answers instead.
                self.connections.drop_client(&owner.address);
                StatusResponse::Unknown
            }
        }
    }
}

fn known(status: Option<crate::workflow::progress::JobStatus>) -> StatusResponse {
    status.map_or(StatusResponse::Unknown, StatusResponse::Known)
}

#[derive(Clone)]
struct PlannerServer {
    shared: Arc<PlannerShared>,
}

impl PlannerServer {
    /// Whether calls of processes that do not reach the store are passed on.
    fn may_relay(&self) -> bool {
        self.shared.store.health().may_relay(clock::now())
    }
}

impl PlannerRpc for PlannerServer {
    async fn status(self, _: Context, job: JobId) -> StatusResponse {
        let owned = self.shared.owned();
        known(owned.as_ref().and_then(|owned| owned.planner.status(&job)))
    }

    async fn relay_commit(
        self,
        _: Context,
        transaction: RowTransaction,
    ) -> Result<RowVersion, RowError> {
        if !self.may_relay() {
            return Err(out_of_reach());
        }
        self.shared.store.commit(&transaction).await
    }

    async fn relay_get(self, _: Context, name: RowName) -> Result<Option<StoredRow>, RowError> {
        if !self.may_relay() {
            return Err(out_of_reach());
        }
        self.shared.store.get(&name).await
    }
}

fn out_of_reach() -> RowError {
    RowError::Refused { reason: "the store does not answer there either".to_string() }
}

/// Serves other planner processes.
pub fn spawn_planner_rpc(listener: TcpListener, shared: Arc<PlannerShared>) {
    let server = PlannerServer { shared };
    spawn_rpc_server(listener, move |stream| {
        BaseChannel::with_defaults(framed(stream)).execute(server.clone().serve())
    });
}
