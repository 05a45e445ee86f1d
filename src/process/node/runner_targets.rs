//! Selects the instance of the runner to call, and the fencing token of the call.

use std::time::Instant;

use crate::external::runner_control::RunnerError;
use crate::external::runner_control::RunnerTarget;
use crate::process::node::fencing_token::fencing_token;
use crate::process::node::registered_runner::RegisteredRunner;
use crate::process::node::state::NodeState;

impl NodeState {
    /// Returns the target of orders; `None` without a runner or a planner.
    pub fn target(&self) -> Option<RunnerTarget> {
        self.target_of(self.instances.current()?, self.fence_increment)
    }

    fn target_of(&self, runner: &RegisteredRunner, fence_increment: u32) -> Option<RunnerTarget> {
        let epoch = self.stamp.epoch;
        (epoch > 0).then(|| RunnerTarget {
            address: runner.address.clone(),
            instance: runner.status.instance.clone(),
            epoch,
            fence: fencing_token(epoch, runner.started_at, fence_increment).max(self.min_fence),
        })
    }

    /// Returns the target of polls of the runner's successor, before it has registered. A call with
    /// this token makes the successor reject calls meant for its predecessor.
    pub fn successor_target(&self) -> Option<RunnerTarget> {
        self.target_of(self.instances.predecessor()?, 0)
    }

    /// Records the response to a poll of the runner's successor. A successor that responds is
    /// polled until it has registered.
    pub fn on_successor_response(&mut self, response: &Result<(), RunnerError>, now: Instant) {
        match response {
            Ok(()) | Err(RunnerError::OtherInstance | RunnerError::Fenced) => return,
            Err(RunnerError::Rejected { .. } | RunnerError::NoAnswer { .. }) => {}
            Err(RunnerError::NotRunning) => self.unsettled.on_successor_absent(now),
        }
        if self.instances.on_successor_unanswered(now) {
            self.unsettled.stop_waiting();
        }
    }

    /// Returns whether a target is still the current one.
    pub fn is_current_target(&self, target: &RunnerTarget) -> bool {
        self.target().is_some_and(|current| {
            current.instance == target.instance
                && current.epoch == target.epoch
                && current.address == target.address
        })
    }

    /// Records that the runner has seen a higher token: that of a later planner, or that of a
    /// former instance with a later start time if the clock was set back. Doubling the increment
    /// exceeds the latter after a few calls, but never the token of a later planner.
    pub fn on_fenced(&mut self) {
        self.fence_increment = self.fence_increment.saturating_mul(2).max(1);
    }
}
