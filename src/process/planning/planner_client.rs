//! Job states from the planner, and the calls that planner processes serve to each other.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::connection::feed_cache::RelayedPage;
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
use crate::process::logging::log_event;
use crate::process::planning::host_admission::answer_request;
use crate::process::planning::host_admission::note_unsettled;
use crate::process::planning::shared::PlannerShared;
use crate::process::rpc_server::spawn_rpc_server;
use crate::workflow::admission::admission_control::AdmissionRequest;
use crate::workflow::admission::admission_control::AdmissionResponse;

/// Timeout of a status call to the owner; after it the state is read from the store.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a request for admission, with its connection; after it the host decides by itself.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(150);

/// Client of the current owner of planning, which may be this process.
pub struct PlannerClient {
    shared: Arc<PlannerShared>,
    connections: ConnectionCache<PlannerRpcClient>,
}

impl PlannerClient {
    /// Creates a client; connections are opened on demand.
    pub fn open(shared: Arc<PlannerShared>) -> PlannerClient {
        PlannerClient { shared, connections: ConnectionCache::default() }
    }

    /// Returns the state of a job, or [`StatusAnswer::Unknown`] if the owner does not know the job
    /// or does not respond.
    pub async fn status(&self, job: &str) -> StatusResponse {
        if let Some(owned) = self.shared.owned().as_ref() {
            return status_answer(owned.planner.status(job));
        }
        let owner = self.shared.view().owner.clone();
        let Some(owner) = owner.filter(|owner| !owner.released) else {
            return StatusResponse::Unknown;
        };
        let Ok(client) = self.connections.client(&owner.address).await else {
            return StatusResponse::Unknown;
        };
        match client.status(call_within(STATUS_TIMEOUT), job.to_string()).await {
            Ok(answer) => answer,
            Err(_) => {
                // The connection may be half-open; the next call opens a new one.
                self.connections.drop_client(&owner.address);
                StatusResponse::Unknown
            }
        }
    }

    /// Asks the owner, which is another process, whether a job is admitted. Returns
    /// [`AdmissionResponse::Unknown`] if it does not respond in time.
    pub async fn request_admission(&self, request: AdmissionRequest) -> AdmissionResponse {
        let owner = self.shared.view().owner.clone();
        let Some(owner) = owner.filter(|owner| !owner.released) else {
            return AdmissionResponse::Unknown;
        };
        let call = async {
            let client = self.connections.client(&owner.address).await.ok()?;
            client.request_admission(call_within(ADMISSION_TIMEOUT), request).await.ok()
        };
        match timeout(ADMISSION_TIMEOUT, call).await {
            Ok(Some(response)) => response,
            Ok(None) | Err(_) => {
                // The connection may be half-open; the next call opens a new one.
                self.connections.drop_client(&owner.address);
                AdmissionResponse::Unknown
            }
        }
    }

    /// Tells the owner that a submission of a job may still be stored.
    pub async fn report_unsettled(&self, job: &str) {
        if note_unsettled(&self.shared, job) {
            return;
        }
        let owner = self.shared.view().owner.clone();
        let Some(owner) = owner.filter(|owner| !owner.released) else {
            return;
        };
        let call = async {
            let client = self.connections.client(&owner.address).await.ok()?;
            let context = call_within(ADMISSION_TIMEOUT);
            client.report_unsettled(context, job.to_string()).await.ok()
        };
        if !matches!(timeout(ADMISSION_TIMEOUT, call).await, Ok(Some(()))) {
            self.connections.drop_client(&owner.address);
            log_event(Level::Warn, "unsettled_not_reported", &[("job", &job)]);
        }
    }
}

fn status_answer(status: Option<crate::workflow::progress::JobStatus>) -> StatusResponse {
    status.map_or(StatusResponse::Unknown, StatusResponse::Known)
}

#[derive(Clone)]
struct PlannerServer {
    shared: Arc<PlannerShared>,
}

impl PlannerServer {
    /// Whether this process relays store calls of processes that the store does not answer.
    fn may_relay(&self) -> bool {
        self.shared.store.health().may_relay(clock::now())
    }
}

impl PlannerRpc for PlannerServer {
    async fn status(self, _: Context, job: JobId) -> StatusResponse {
        let owned = self.shared.owned();
        status_answer(owned.as_ref().and_then(|owned| owned.planner.status(&job)))
    }

    async fn relay_commit(
        self,
        _: Context,
        transaction: RowTransaction,
    ) -> Result<RowVersion, RowError> {
        if !self.may_relay() {
            return Err(store_unreachable());
        }
        self.shared.store.commit(&transaction).await
    }

    async fn relay_get(self, _: Context, name: RowName) -> Result<Option<StoredRow>, RowError> {
        if !self.may_relay() {
            return Err(store_unreachable());
        }
        self.shared.store.get(&name).await
    }

    async fn relay_feed(
        self,
        _: Context,
        table: String,
        after: RowVersion,
        wait: Duration,
        max_age: Duration,
    ) -> Result<RelayedPage, RowError> {
        self.shared.feeds.serve(&self.shared.store, (&table, after), wait, max_age).await
    }

    async fn request_admission(self, _: Context, request: AdmissionRequest) -> AdmissionResponse {
        answer_request(&self.shared, &request)
    }

    async fn report_unsettled(self, _: Context, job: JobId) {
        note_unsettled(&self.shared, &job);
    }
}

fn store_unreachable() -> RowError {
    RowError::Refused { reason: "the store does not answer there either".to_string() }
}

/// Starts the RPC server for other planner processes.
pub fn spawn_planner_rpc(listener: TcpListener, shared: Arc<PlannerShared>) {
    let server = PlannerServer { shared };
    spawn_rpc_server(listener, move |stream| {
        BaseChannel::with_defaults(framed(stream)).execute(server.clone().serve())
    });
}
