//! Messages between planner processes.

use serde::Deserialize;
use serde::Serialize;

use crate::external::row_store::RowError;
use crate::external::row_store::RowName;
use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::ids::JobId;
use crate::ids::RowVersion;
use crate::workflow::progress::JobStatus;

/// What a planner process knows of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusResponse {
    /// Its state.
    Known(JobStatus),
    /// It does not know the job, or does not plan; the store knows.
    Unknown,
}

/// Services that planner processes offer to each other.
#[tarpc::service]
pub trait PlannerRpc {
    /// The state of a job.
    async fn status(job: JobId) -> StatusResponse;
    /// Applies a transaction for a process that does not reach the store.
    async fn relay_commit(transaction: RowTransaction) -> Result<RowVersion, RowError>;
    /// Reads a row for a process that does not reach the store.
    async fn relay_get(name: RowName) -> Result<Option<StoredRow>, RowError>;
}
