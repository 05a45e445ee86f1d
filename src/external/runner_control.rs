//! Control of the runner on the agent's own host.

use std::time::Duration;

use async_trait::async_trait;
use snafu::Snafu;

use crate::connection::node_protocol::EndedRun;
use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::RejectReason;
use crate::connection::node_protocol::StartOrder;
use crate::ids::FencingToken;
use crate::ids::InstanceId;
use crate::ids::PlannerEpoch;
use crate::ids::RunNumber;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// Time of a runner's own steady clock, in milliseconds.
pub type RunnerMillis = u64;

/// The runner that is meant, and under whose authority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerTarget {
    /// Address of the runner.
    pub address: String,
    /// The intended instance. Later ones may have the same id and address.
    pub instance: InstanceId,
    /// Epoch of the planner.
    pub epoch: PlannerEpoch,
    /// Fencing token of the planner for this life.
    pub fence: FencingToken,
}

/// What a look at a runner shows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollResponse {
    /// Time of the runner's clock.
    pub clock: RunnerMillis,
    /// All that it runs.
    pub running: Vec<PresentRun>,
    /// Ends that were not acknowledged, the earliest first.
    pub ended: Vec<EndedRun>,
    /// Whether there may be later ends that are not listed, since runners limit the length of the list.
    pub may_omit_ends: bool,
}

/// What a response to a poll tells about a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPresence {
    /// It is listed, as running or as ended.
    Listed,
    /// It neither runs nor has an unacknowledged end.
    Absent,
    /// It is not listed, but its end may be among those that the response omits.
    Unknown,
}

impl PollResponse {
    /// Returns what the response tells about a run.
    ///
    /// ```
    /// use greengagearch::external::runner_control::PollResponse;
    /// use greengagearch::external::runner_control::RunPresence;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// assert_eq!(PollResponse::default().presence(&key), RunPresence::Absent);
    /// let limited = PollResponse { may_omit_ends: true, ..PollResponse::default() };
    /// assert_eq!(limited.presence(&key), RunPresence::Unknown);
    /// ```
    pub fn presence(&self, key: &RunKey) -> RunPresence {
        let is_running = self.running.iter().any(|run| run.task == key.0 && run.run == key.1);
        let has_ended = || self.ended.iter().any(|end| end.task == key.0 && end.run == key.1);
        match (is_running || has_ended(), self.may_omit_ends) {
            (true, _) => RunPresence::Listed,
            (false, true) => RunPresence::Unknown,
            (false, false) => RunPresence::Absent,
        }
    }
}

/// How a look is taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollRequest {
    /// Up to when everything on the runner may run; nothing to leave leases as they are.
    pub lease_end: Option<RunnerMillis>,
    /// Number of the last end that may be forgotten.
    pub seen: u64,
    /// How long the answer may wait for an end.
    pub wait: Duration,
}

/// Why a call of a runner did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RunnerError {
    /// The runner refused for this reason and did nothing.
    #[snafu(display("refused: {reason:?}"))]
    Rejected {
        /// Why.
        reason: RejectReason,
    },
    /// The runner has seen a later epoch.
    #[snafu(display("the runner knows a later epoch"))]
    Fenced,
    /// Another instance of the runner responds at the address, and has not carried out the call.
    #[snafu(display("another life of the runner answers"))]
    OtherInstance,
    /// Nobody listens at the runner's address on this host, so that no life of it runs there.
    #[snafu(display("the runner is not running"))]
    NotRunning,
    /// No answer; the call may have been carried out, or may yet be.
    #[snafu(display("no answer: {reason}"))]
    NoAnswer {
        /// Whether the connection broke, in place of staying silent.
        is_broken: bool,
        /// Why.
        reason: String,
    },
}

/// Calls to a runner. Each is sent only on a connection to the intended instance, so that no other instance receives it, however
/// late it is sent; a poll that neither extends leases nor acknowledges ends may reach any instance. A call that was sent and has no
/// response may still be carried out by a later instance.
#[async_trait]
pub trait RunnerControl: Send + Sync {
    /// Starts a run. Repeating it is harmless.
    ///
    /// # Errors
    ///
    /// See [`RunnerError`].
    async fn start(
        &self,
        target: &RunnerTarget,
        order: &StartOrder,
        lease_end: RunnerMillis,
    ) -> Result<(), RunnerError>;

    /// Stops a run. A run that has not begun will never begin.
    ///
    /// # Errors
    ///
    /// See [`RunnerError`].
    async fn stop(
        &self,
        target: &RunnerTarget,
        task: &TaskName,
        run: RunNumber,
    ) -> Result<(), RunnerError>;

    /// Lets a run work at a share of its speed.
    ///
    /// # Errors
    ///
    /// See [`RunnerError`].
    async fn pace(
        &self,
        target: &RunnerTarget,
        task: &TaskName,
        run: RunNumber,
        percent: u32,
    ) -> Result<(), RunnerError>;

    /// Looks at a runner and extends its leases.
    ///
    /// # Errors
    ///
    /// See [`RunnerError`].
    async fn poll(
        &self,
        target: &RunnerTarget,
        request: PollRequest,
    ) -> Result<PollResponse, RunnerError>;
}
