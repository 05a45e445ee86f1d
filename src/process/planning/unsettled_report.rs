//! Reports submissions that end without an answer of the store.

use std::sync::Arc;

use log::Level;
use tokio::runtime::Handle;

use crate::ids::JobId;
use crate::process::logging::log_event;
use crate::process::planning::planner_client::PlannerClient;

/// Tells the planner that a submission may still be stored if it is dropped before the submission is
/// settled. A caller that disconnects ends its call at any point, also after the store was called.
pub(super) struct UnsettledReport {
    planner: Arc<PlannerClient>,
    job: Option<JobId>,
}

impl UnsettledReport {
    /// Begins before the store is called.
    pub(super) fn open(planner: Arc<PlannerClient>, job: &str) -> UnsettledReport {
        UnsettledReport { planner, job: Some(job.to_string()) }
    }

    /// Ends without a report: the store has answered, or the planner has been told.
    pub(super) fn settle(mut self) {
        self.job = None;
    }
}

impl Drop for UnsettledReport {
    fn drop(&mut self) {
        let Some(job) = self.job.take() else {
            return;
        };
        let Ok(runtime) = Handle::try_current() else {
            log_event(Level::Warn, "unsettled_not_reported", &[("job", &job)]);
            return;
        };
        let planner = self.planner.clone();
        runtime.spawn(async move { planner.report_unsettled(&job).await });
    }
}
