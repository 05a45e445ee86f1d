//! Steps of a node agent's orders, and the effects of the runner's responses on its state.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::connection::node_protocol::StartOrder;
use crate::external::runner_control::RunnerError;
use crate::external::runner_control::RunnerMillis;
use crate::external::runner_control::RunnerTarget;
use crate::process::node::pending_start::StartConditions;
use crate::process::node::pending_start::StartStep;
use crate::process::node::state::NodeState;
use crate::workflow::spec::ResourceVector;
use crate::workflow::worker_inventory::RunKey;

impl NodeState {
    /// Accepts an order to start a run. Returns whether it is new. An order that was given under the
    /// lease of another link is not sent to the runner. It is ignored unless an earlier agent may
    /// have sent it: the planner orders again what it still needs when it has the first snapshot of
    /// this link.
    pub fn accept_start(&mut self, order: &StartOrder, now: Instant) -> bool {
        let is_valid = order.lease.link == self.stamp.link;
        if !is_valid && !order.is_repeat {
            return false;
        }
        let key = (order.traits.task.clone(), order.run);
        self.traits.insert(key.0.clone(), order.traits.clone());
        if order.is_repeat {
            self.unsettled.on_sending(&key, now);
        }
        let valid_until = if is_valid { self.started + order.lease.end } else { now };
        self.tracker.accept_start(&key, order.is_repeat, valid_until, now)
    }

    /// Determines the next step of a start.
    pub fn next_step(
        &mut self,
        target: &RunnerTarget,
        key: &RunKey,
        resources: &ResourceVector,
        now: Instant,
    ) -> StartStep {
        if !self.is_current_target(target) {
            return StartStep::Finished(None);
        }
        let conditions = self.start_conditions(key, resources, now);
        self.tracker.next_step(key, &conditions, now)
    }

    /// Records that an attempt is about to be sent, if that is still the next step of the start.
    /// Returns the lease that the call carries.
    pub fn begin_attempt(
        &mut self,
        target: &RunnerTarget,
        key: &RunKey,
        resources: &ResourceVector,
        now: Instant,
    ) -> Option<RunnerMillis> {
        if !self.is_current_target(target) {
            return None;
        }
        let conditions = self.start_conditions(key, resources, now);
        let lease_end = self.tracker.begin_attempt(key, &conditions, now)?;
        self.lease.on_sent();
        self.recent_starts.on_sending(key, now);
        self.unsettled.on_sending(key, now);
        Some(lease_end)
    }

    /// Records the response to an attempt, unless the instance that it was sent to has ended.
    pub fn on_start_response(
        &mut self,
        target: &RunnerTarget,
        key: &RunKey,
        response: &Result<(), RunnerError>,
        now: Instant,
    ) {
        if self.current_instance() == Some(&target.instance) {
            self.settle_attempt(key, response, now);
        }
        if !self.is_current_target(target) {
            return;
        }
        self.tracker.on_start_response(key, response, now);
        match response {
            Ok(()) => self.recent_starts.on_started(key),
            Err(RunnerError::NoAnswer { .. }) => {}
            Err(
                RunnerError::NotRunning
                | RunnerError::OtherInstance
                | RunnerError::Fenced
                | RunnerError::Rejected { .. },
            ) => self.recent_starts.on_not_started(key),
        }
    }

    /// Records whether the last attempt may still be carried out, also if the planner has been
    /// replaced since it was sent.
    fn settle_attempt(&mut self, key: &RunKey, response: &Result<(), RunnerError>, now: Instant) {
        let newest_poll = self.tracker.newest_poll();
        match response {
            Ok(()) | Err(RunnerError::Fenced | RunnerError::Rejected { .. }) => {
                if self.instances.may_have_successor() {
                    // The successor may have started the run with a lease by its own clock.
                    self.lease.on_foreign_lease(now);
                }
                self.unsettled.on_response(key, newest_poll);
            }
            Err(RunnerError::NoAnswer { .. }) => {
                self.unsettled.on_no_response(key, now);
                self.has_changes |= self.instances.may_have_successor();
            }
            Err(RunnerError::NotRunning | RunnerError::OtherInstance) => {
                self.unsettled.on_not_sent(key);
            }
        }
    }

    /// Accepts an order to stop a run. Returns whether it is new.
    pub fn accept_stop(&mut self, key: &RunKey) -> bool {
        self.tracker.accept_stop(key)
    }

    /// Returns where to send a stop that was ordered for `target`, until the runner has accepted
    /// it. Since the order its fencing token may have been raised, and its planner replaced: a
    /// stop is final, and the next planner starts the task again if it has to.
    pub fn stop_target(&self, target: &RunnerTarget, key: &RunKey) -> Option<RunnerTarget> {
        let current = self.target().filter(|current| current.instance == target.instance);
        current.filter(|_| self.tracker.is_stop_due(key))
    }

    /// Records the response to a stop. A rejected stop has no effect.
    pub fn on_stop_response(
        &mut self,
        target: &RunnerTarget,
        key: &RunKey,
        response: &Result<(), RunnerError>,
    ) {
        if response.is_ok() && self.current_instance() == Some(&target.instance) {
            self.tracker.on_stop_accepted(key);
        }
    }

    /// Returns whether the runner's newest capacity holds a run in addition to all that it lists or
    /// is about to start. A run that is being stopped counts until it has ended. A start may have
    /// been decided before the capacity shrank, and waited for the store.
    pub fn has_capacity(&self, key: &RunKey, resources: &ResourceVector) -> bool {
        let Some(runner) = self.instances.current() else {
            return false;
        };
        let others: BTreeSet<&RunKey> =
            self.present.iter().chain(self.tracker.starting()).collect();
        let others = others.into_iter().filter(|other| *other != key);
        let reserved =
            others.filter_map(|(task, _)| self.traits.get(task)).map(|traits| &traits.resources);
        let used = reserved.fold(*resources, |used, other| used.plus(other));
        runner.status.capacity.contains(&used)
    }

    fn start_conditions(
        &self,
        key: &RunKey,
        resources: &ResourceVector,
        now: Instant,
    ) -> StartConditions {
        let may_start = self.may_start(now) == Some(true);
        StartConditions {
            is_draining: self.is_draining(),
            has_capacity: self.has_capacity(key, resources),
            lease_end: self.lease_end().filter(|_| may_start),
        }
    }
}
