//! What a listener for callers offers them, whatever protocol it speaks.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use snafu::Snafu;

use crate::process::clock;
use crate::process::planning::evacuation_status::EvacuationStatus;
use crate::version::queue_table::QueueTable;
use crate::workflow::progress::JobStatus;
use crate::workflow::spec::WorkflowSpec;

/// When a caller stops waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallDeadline(pub Instant);

impl CallDeadline {
    /// The deadline of a caller that waits this long from now.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::process::gate::CallDeadline;
    ///
    /// assert!(!CallDeadline::after(Duration::from_secs(1)).left().is_zero());
    /// ```
    pub fn after(wait: Duration) -> CallDeadline {
        CallDeadline(clock::now() + wait)
    }

    /// Time that is left.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::process::gate::CallDeadline;
    ///
    /// assert!(CallDeadline::after(Duration::ZERO).left().is_zero());
    /// ```
    pub fn left(&self) -> Duration {
        self.0.saturating_duration_since(clock::now())
    }
}

/// Why a call of a caller got no result.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum JobRefusal {
    /// Nothing was done, and nothing will be.
    #[snafu(display("not run: {reason}"))]
    NotRun {
        /// Why.
        reason: String,
    },
    /// The job would end too late to be of value. Nothing was done, and nothing will be.
    #[snafu(display("not admitted: {reason}, retry after {} s", retry_after.as_secs()))]
    NotAdmitted {
        /// Why.
        reason: String,
        /// Time until the job is expected to be admitted, in whole seconds.
        retry_after: Duration,
    },
    /// The name belongs to another job.
    #[snafu(display("the name belongs to another job"))]
    OtherJob,
    /// Nobody can tell whether it was done.
    #[snafu(display("unknown: {reason}"))]
    Unknown {
        /// Why.
        reason: String,
    },
}

/// The job desk as a listener sees it.
#[async_trait]
pub trait JobGate: Send + Sync {
    /// Whether the process can serve new calls.
    fn is_ready(&self) -> bool;

    /// The queues in force; nothing before the first configuration is known.
    fn queues(&self) -> Option<Arc<QueueTable>>;

    /// The wall clock in milliseconds since the Unix epoch.
    fn wall_millis(&self) -> u64;

    /// Stores a job. Repeating it is harmless.
    ///
    /// # Errors
    ///
    /// See [`JobRefusal`].
    async fn submit(
        &self,
        job: &str,
        spec: WorkflowSpec,
        deadline: CallDeadline,
    ) -> Result<(), JobRefusal>;

    /// The state of a job; nothing when there is no such job.
    ///
    /// # Errors
    ///
    /// [`JobRefusal::NotRun`] when it cannot be told now.
    async fn status(
        &self,
        job: &str,
        deadline: CallDeadline,
    ) -> Result<Option<JobStatus>, JobRefusal>;

    /// Cancels a job. Says whether there is such a job.
    ///
    /// # Errors
    ///
    /// See [`JobRefusal`].
    async fn cancel(&self, job: &str, deadline: CallDeadline) -> Result<bool, JobRefusal>;

    /// Jobs of a queue of which no task has started, as far as known.
    fn pending(&self, queue: &str) -> u64;

    /// The evacuations in force; `None` while no planner has published any state.
    fn evacuations(&self) -> Option<EvacuationStatus>;
}
