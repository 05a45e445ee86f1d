//! Messages between planner processes.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::JobId;
use crate::workflow::progress::JobStatus;

/// What a planner process knows of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusAnswer {
    /// Its state.
    Known(JobStatus),
    /// It does not know the job, or does not plan; the store knows.
    Unknown,
}

/// Services that planner processes offer to each other.
#[tarpc::service]
pub trait PlannerRpc {
    /// The state of a job.
    async fn status(job: JobId) -> StatusAnswer;
}
