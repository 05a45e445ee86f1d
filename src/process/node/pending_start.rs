//! An order to start a run, and its next step.

use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::RejectReason;
use crate::external::runner_control::RunnerError;
use crate::external::runner_control::RunnerMillis;
use crate::ids::PollNumber;
use crate::process::node::start_state::IdleStart;
use crate::process::node::start_state::InDoubtStart;
use crate::process::node::start_state::InFlightStart;
use crate::process::node::start_state::ResolvedStart;
use crate::process::node::start_state::StartRejection;
use crate::process::node::start_state::StartState;

/// Pause before a start without a response is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// Pause before a start that an unhealthy runner has rejected is sent again.
const UNHEALTHY_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// How long a start in doubt is sent again to an unhealthy runner before the run is stopped. If the
/// runner recovers, the run is kept; a stop would end it.
const UNHEALTHY_RETRY_SPAN: Duration = Duration::from_millis(1_000);
/// How long a start waits for a lease on a new link.
const MAX_LEASE_WAIT: Duration = Duration::from_millis(2_000);
/// Interval at which a start that waits for a lease checks for it.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(15);

/// Conditions of a start other than its own attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartConditions {
    /// Whether the runner is draining.
    pub is_draining: bool,
    /// Whether the runner has enough free capacity.
    pub has_capacity: bool,
    /// Time up to which runs may continue; `None` if too little of the lease is left for a start.
    pub lease_end: Option<RunnerMillis>,
}

/// The next step of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartStep {
    /// Send the start when a slot is free.
    Send,
    /// Determine the next step again after a pause.
    Wait(Duration),
    /// Stop the run: the start is abandoned for this reason, but may still be carried out.
    Stop(RejectReason),
    /// Nothing is left to do, and polls show the outcome. If a reason is given, the start was
    /// rejected for it.
    Finished(Option<RejectReason>),
}

/// An order to start a run, from its arrival until a poll shows its outcome.
#[derive(Clone, Copy, Debug)]
pub struct PendingStart {
    arrived_at: Instant,
    /// End of the lease that it was ordered under.
    valid_until: Instant,
    /// Earliest time of the next attempt.
    retry_at: Instant,
    state: StartState,
}

impl PendingStart {
    /// Creates a start that arrived at `now` and is not sent after `valid_until`. If `is_repeat`, an
    /// attempt of an earlier agent may have had no response.
    pub(super) fn new(is_repeat: bool, valid_until: Instant, now: Instant) -> PendingStart {
        let state = match is_repeat {
            true => StartState::InDoubt(InDoubtStart::default()),
            false => StartState::Idle(IdleStart),
        };
        PendingStart { arrived_at: now, valid_until, retry_at: now, state }
    }

    /// Creates a start that was rejected when it was ordered for the first time.
    pub(super) fn rejected(
        reason: RejectReason,
        newest_poll: PollNumber,
        now: Instant,
    ) -> PendingStart {
        let state = StartState::Resolved(IdleStart.resolve(newest_poll, Some(reason)));
        PendingStart { arrived_at: now, valid_until: now, retry_at: now, state }
    }

    /// Returns how the start was resolved, if it was. Polls sent after that show its outcome.
    pub(super) fn resolved(&self) -> Option<ResolvedStart> {
        match self.state {
            StartState::Resolved(resolved) => Some(resolved),
            _ => None,
        }
    }

    /// Cancels the start because of a stop, unless an attempt may still be carried out.
    pub(super) fn withdraw(&mut self, newest_poll: PollNumber) {
        if let StartState::Idle(idle) = self.state {
            self.state = StartState::Resolved(idle.resolve(newest_poll, None));
        }
    }

    /// Records that no attempt can start the run from now on.
    pub(super) fn rule_out(&mut self, newest_poll: PollNumber) {
        self.state = StartState::Resolved(self.state.rule_out(newest_poll));
    }

    /// Determines the next step.
    pub(super) fn next_step(
        &mut self,
        conditions: &StartConditions,
        newest_poll: PollNumber,
        now: Instant,
    ) -> StartStep {
        match self.state {
            StartState::Idle(idle) => match self.rejection_if_idle(conditions, now) {
                None => self.send_step(conditions, now),
                Some(reason) => {
                    self.state = StartState::Resolved(idle.resolve(newest_poll, Some(reason)));
                    StartStep::Finished(Some(reason))
                }
            },
            StartState::InDoubt(in_doubt) => {
                match self.rejection_if_in_doubt(in_doubt, conditions, now) {
                    None => self.send_step(conditions, now),
                    Some(reason) => {
                        self.state = StartState::InDoubt(in_doubt.abandon(reason));
                        StartStep::Stop(reason)
                    }
                }
            }
            StartState::InFlight(_) => StartStep::Wait(RETRY_PAUSE),
            StartState::Resolved(resolved) => StartStep::Finished(resolved.rejection),
        }
    }

    /// Records that an attempt is about to be sent, if that is still the next step. Returns the
    /// lease that the call carries.
    pub(super) fn begin_attempt(
        &mut self,
        conditions: &StartConditions,
        now: Instant,
    ) -> Option<RunnerMillis> {
        let lease_end = conditions.lease_end?;
        let in_flight = match self.state {
            StartState::Idle(idle) if self.rejection_if_idle(conditions, now).is_none() => {
                idle.send()
            }
            StartState::InDoubt(in_doubt)
                if self.rejection_if_in_doubt(in_doubt, conditions, now).is_none() =>
            {
                in_doubt.send()
            }
            _ => return None,
        };
        self.state = StartState::InFlight(in_flight);
        Some(lease_end)
    }

    /// Returns why a start that cannot have been carried out is not sent.
    fn rejection_if_idle(
        &self,
        conditions: &StartConditions,
        now: Instant,
    ) -> Option<RejectReason> {
        if conditions.is_draining {
            return Some(RejectReason::Leaving);
        }
        if !conditions.has_capacity {
            return Some(RejectReason::Room);
        }
        self.is_overdue(conditions, now).then_some(RejectReason::Late)
    }

    /// Returns why a start that may have been carried out is not sent again.
    fn rejection_if_in_doubt(
        &self,
        in_doubt: InDoubtStart,
        conditions: &StartConditions,
        now: Instant,
    ) -> Option<RejectReason> {
        if conditions.is_draining {
            return Some(RejectReason::Leaving);
        }
        if !conditions.has_capacity {
            return Some(RejectReason::Room);
        }
        let is_final = |rejection: &StartRejection| {
            let span = now.saturating_duration_since(rejection.since);
            rejection.reason != RejectReason::Unwell || span >= UNHEALTHY_RETRY_SPAN
        };
        if let Some(rejection) = in_doubt.rejection.filter(is_final) {
            return Some(rejection.reason);
        }
        self.is_overdue(conditions, now).then_some(RejectReason::Late)
    }

    /// Returns whether the start is not sent any more. A later lease does not make it valid again:
    /// the planner may have given up the run when the lease that it was ordered under had ended.
    fn is_overdue(&self, conditions: &StartConditions, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.arrived_at);
        let has_no_lease = conditions.lease_end.is_none() && waited > MAX_LEASE_WAIT;
        has_no_lease || now >= self.valid_until
    }

    fn send_step(&self, conditions: &StartConditions, now: Instant) -> StartStep {
        match conditions.lease_end {
            Some(_) if now >= self.retry_at => StartStep::Send,
            Some(_) => StartStep::Wait(self.retry_at.saturating_duration_since(now)),
            None => StartStep::Wait(LEASE_CHECK_INTERVAL),
        }
    }

    /// Records the response to an attempt.
    pub(super) fn on_response(
        &mut self,
        response: &Result<(), RunnerError>,
        newest_poll: PollNumber,
        now: Instant,
    ) {
        let StartState::InFlight(in_flight) = self.state else {
            // A poll or a stop has resolved the start in the meantime.
            return;
        };
        self.state = state_after(in_flight, response, newest_poll, now);
        let is_unhealthy =
            matches!(response, Err(RunnerError::Rejected { reason: RejectReason::Unwell }));
        self.retry_at = now + if is_unhealthy { UNHEALTHY_RETRY_PAUSE } else { RETRY_PAUSE };
    }
}

fn state_after(
    in_flight: InFlightStart,
    response: &Result<(), RunnerError>,
    newest_poll: PollNumber,
    now: Instant,
) -> StartState {
    match response {
        Ok(()) | Err(RunnerError::Fenced) => {
            StartState::Resolved(in_flight.resolve(newest_poll, None))
        }
        // The runner has seen this run or a later one of the task, so no attempt can start it any
        // more.
        Err(RunnerError::Rejected { reason: RejectReason::Old }) => {
            StartState::Resolved(in_flight.resolve(newest_poll, Some(RejectReason::Old)))
        }
        Err(RunnerError::Rejected { reason }) => in_flight.reject(*reason, newest_poll, now),
        Err(RunnerError::NotRunning | RunnerError::OtherInstance) => in_flight.on_not_sent(),
        Err(RunnerError::NoAnswer { .. }) => StartState::InDoubt(in_flight.on_no_response()),
    }
}
