//! Which life of the runner is called, and with which token.

use std::time::Instant;

use crate::external::runner_control::RunnerError;
use crate::external::runner_control::RunnerTarget;
use crate::process::node::fencing_token::fencing_token;
use crate::process::node::registered_runner::RegisteredRunner;
use crate::process::node::state::NodeState;

impl NodeState {
    /// Where orders go, and under which epoch; nothing without a runner or a planner.
    pub fn target(&self) -> Option<RunnerTarget> {
        self.target_of(self.instances.current()?, self.fence_raise)
    }

    fn target_of(&self, runner: &RegisteredRunner, fence_raise: u32) -> Option<RunnerTarget> {
        let epoch = self.stamp.epoch;
        (epoch > 0).then(|| RunnerTarget {
            address: runner.address.clone(),
            instance: runner.status.instance.clone(),
            epoch,
            fence: fencing_token(epoch, runner.started_at, fence_raise).max(self.least_fence),
        })
    }

    /// Where the next life of the runner will listen, before it has registered. A call with this token makes it refuse what was meant
    /// for the life before.
    pub fn successor_target(&self) -> Option<RunnerTarget> {
        self.target_of(self.instances.predecessor()?, 0)
    }

    /// Takes note of what became of a call for the next life of the runner. One that answers is called until it has registered.
    pub fn on_successor_response(&mut self, answer: &Result<(), RunnerError>, now: Instant) {
        match answer {
            Ok(()) | Err(RunnerError::OtherLife | RunnerError::Fenced) => return,
            Err(RunnerError::Rejected { .. } | RunnerError::NoAnswer { .. }) => {}
            Err(RunnerError::NotRunning) => self.unsettled.on_nobody(now),
        }
        if self.instances.on_successor_unanswered(now) {
            self.unsettled.give_up();
        }
    }

    /// Whether a target is still the present one.
    pub fn is_current_target(&self, target: &RunnerTarget) -> bool {
        self.target().is_some_and(|present| {
            present.instance == target.instance
                && present.epoch == target.epoch
                && present.address == target.address
        })
    }

    /// Takes note that the runner has seen a higher token: one of a later planner, or one of a life before that started later by a
    /// clock that was put back. The latter is overtaken in a few steps, a later planner's never.
    pub fn on_fenced(&mut self) {
        self.fence_raise = self.fence_raise.saturating_mul(2).max(1);
    }
}
