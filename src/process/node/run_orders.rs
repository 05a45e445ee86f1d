//! What a node agent does next about an order, and what an answer to it tells.

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
    /// Takes an order to start a run. Says whether it is new.
    pub fn accept_start(&mut self, order: &StartOrder, now: Instant) -> bool {
        let key = (order.traits.task.clone(), order.run);
        self.traits.insert(key.0.clone(), order.traits.clone());
        if order.is_repeat {
            self.unsettled.on_sending(&key, now);
        }
        self.tracker.accept_start(&key, order.is_repeat, now)
    }

    /// Decides what has to be done next about a start.
    pub fn next_step(
        &mut self,
        target: &RunnerTarget,
        key: &RunKey,
        room: &ResourceVector,
        now: Instant,
    ) -> StartStep {
        if !self.is_current_target(target) {
            return StartStep::Finished(None);
        }
        let conditions = self.start_conditions(key, room, now);
        self.tracker.next_step(key, &conditions, now)
    }

    /// Takes note that a start leaves, as its turn has come and it is still to be sent. Gives the lease that it carries.
    pub fn begin_attempt(
        &mut self,
        target: &RunnerTarget,
        key: &RunKey,
        room: &ResourceVector,
        now: Instant,
    ) -> Option<RunnerMillis> {
        if !self.is_current_target(target) {
            return None;
        }
        let conditions = self.start_conditions(key, room, now);
        let lease_end = self.tracker.begin_attempt(key, &conditions, now)?;
        self.lease.on_sent();
        self.begun.on_sending(key, now);
        self.unsettled.on_sending(key, now);
        Some(lease_end)
    }

    /// Takes note of what became of a try, unless the life that it was sent to has ended meanwhile.
    pub fn on_start_response(
        &mut self,
        target: &RunnerTarget,
        key: &RunKey,
        answer: &Result<(), RunnerError>,
        now: Instant,
    ) {
        if !self.is_current_target(target) {
            return;
        }
        self.tracker.on_start_response(key, answer, now);
        let newest = self.tracker.newest_poll();
        match answer {
            Ok(()) => {
                self.begun.on_begun(key);
                self.unsettled.on_answer(key, newest);
            }
            Err(RunnerError::NoAnswer { .. }) => {}
            Err(RunnerError::NotRunning) => {
                self.begun.on_not_begun(key);
                self.unsettled.on_not_sent(key);
            }
            // Another life may have carried it out, which leaves it as one without an answer.
            Err(RunnerError::OtherLife) => self.begun.on_not_begun(key),
            Err(RunnerError::Fenced | RunnerError::Rejected { .. }) => {
                self.begun.on_not_begun(key);
                self.unsettled.on_answer(key, newest);
            }
        }
    }

    /// Takes an order to stop a run. Says whether it is new.
    pub fn accept_stop(&mut self, key: &RunKey) -> bool {
        self.tracker.accept_stop(key)
    }

    /// Where a stop that was ordered for a target has to be sent, until the runner has taken it; tokens may have been raised since.
    pub fn stop_target(&self, target: &RunnerTarget, key: &RunKey) -> Option<RunnerTarget> {
        let is_due = self.is_current_target(target) && self.tracker.is_stop_due(key);
        self.target().filter(|_| is_due)
    }

    /// Takes note of what became of a try to stop a run: one that was refused has done nothing.
    pub fn on_stop_response(
        &mut self,
        target: &RunnerTarget,
        key: &RunKey,
        answer: &Result<(), RunnerError>,
    ) {
        if answer.is_ok() && self.is_current_target(target) {
            self.tracker.on_stop_accepted(key);
        }
    }

    /// Whether the runner's newest capacity holds a run beside everything that it shows or is about to start; what is being
    /// stopped counts until it has ended. A start may have been decided before the capacity shrank, and waited for the store.
    pub fn has_room(&self, key: &RunKey, room: &ResourceVector) -> bool {
        let Some(runner) = self.instances.current() else {
            return false;
        };
        let others: BTreeSet<&RunKey> =
            self.present.iter().chain(self.tracker.starting()).collect();
        let others = others.into_iter().filter(|other| *other != key);
        let rooms =
            others.filter_map(|(task, _)| self.traits.get(task)).map(|traits| &traits.resources);
        let used = rooms.fold(*room, |used, room| used.plus(room));
        runner.status.capacity.contains(&used)
    }

    fn start_conditions(
        &self,
        key: &RunKey,
        room: &ResourceVector,
        now: Instant,
    ) -> StartConditions {
        let is_open = self.may_start(now) == Some(true);
        StartConditions {
            is_draining: self.is_draining(),
            has_room: self.has_room(key, room),
            lease_end: self.lease_end().filter(|_| is_open),
        }
    }
}
