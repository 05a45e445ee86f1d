//! RPC protocol between planner processes.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::connection::feed_cache::RelayedPage;
use crate::external::row_store::RowError;
use crate::external::row_store::RowName;
use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::ids::JobId;
use crate::ids::RowVersion;
use crate::workflow::admission::admission_control::AdmissionRequest;
use crate::workflow::admission::admission_control::AdmissionResponse;
use crate::workflow::progress::JobStatus;

/// Response of a planner process to a query of a job's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusResponse {
    /// Status of the job.
    Known(JobStatus),
    /// The process does not know the job or is not the current planner; the job's row in the store
    /// has to be read instead.
    Unknown,
}

/// Calls that planner processes accept from each other.
#[tarpc::service]
pub trait PlannerRpc {
    /// Returns the status of a job.
    async fn status(job: JobId) -> StatusResponse;
    /// Commits a transaction on behalf of a process that cannot reach the store.
    async fn relay_commit(transaction: RowTransaction) -> Result<RowVersion, RowError>;
    /// Reads a row on behalf of a process that cannot reach the store.
    async fn relay_get(name: RowName) -> Result<Option<StoredRow>, RowError>;
    /// Asks whether a job that the calling process would refuse is admitted.
    async fn request_admission(request: AdmissionRequest) -> AdmissionResponse;
    /// Tells that a submission of a job may still be stored, so that the job is not refused.
    async fn report_unsettled(job: JobId);
    /// Waits up to `wait` for changes of a watched table after a version, on behalf of a process
    /// that follows this one. Returns at once if what this process knows is older than `max_age`.
    async fn relay_feed(
        table: String,
        after: RowVersion,
        wait: Duration,
        max_age: Duration,
    ) -> Result<RelayedPage, RowError>;
}
