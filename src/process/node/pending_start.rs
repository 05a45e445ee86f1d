//! An order to start a run, and what has to be done next about it.

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

/// Pause before an order without an answer is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// Pause before an order that an unwell runner has refused is repeated.
const UNHEALTHY_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Time for which an unwell runner is asked again whether a start without an answer has begun. It may get well, and the run is
/// saved; a stop would end it.
const UNHEALTHY_RETRY_SPAN: Duration = Duration::from_millis(1_000);
/// How long a start waits for a lease on a new link.
const MAX_LEASE_WAIT: Duration = Duration::from_millis(2_000);
/// Pause between two looks whether there is a lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(15);

/// What a start depends on besides its own tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartConditions {
    /// Whether the runner is leaving.
    pub is_draining: bool,
    /// Whether the runner has room for it.
    pub has_room: bool,
    /// Up to when everything may run, while enough is left of that for a start.
    pub lease_end: Option<RunnerMillis>,
}

/// What has to be done next about a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartStep {
    /// Send it when its turn comes.
    Send,
    /// Ask again after a pause.
    Wait(Duration),
    /// It is given up for this reason and may begin all the same: stop it.
    Stop(RejectReason),
    /// Nothing: looks show what has become of it. The runner does not get it for this reason, if there is one.
    Finished(Option<RejectReason>),
}

/// An order to start a run, from its coming until looks show what has become of it.
#[derive(Clone, Copy, Debug)]
pub struct PendingStart {
    arrived: Instant,
    /// When it may be sent again.
    retry_at: Instant,
    state: StartState,
}

impl PendingStart {
    /// A start that came at `now`. Of one that was ordered before, a try of an earlier agent may have no answer.
    pub(super) fn new(is_repeat: bool, now: Instant) -> PendingStart {
        let state = match is_repeat {
            true => StartState::InDoubt(InDoubtStart::default()),
            false => StartState::Idle(IdleStart),
        };
        PendingStart { arrived: now, retry_at: now, state }
    }

    /// A start that was refused before, when it was ordered for the first time.
    pub(super) fn rejected(
        reason: RejectReason,
        newest_poll: PollNumber,
        now: Instant,
    ) -> PendingStart {
        let state = StartState::Resolved(IdleStart.resolve(newest_poll, Some(reason)));
        PendingStart { arrived: now, retry_at: now, state }
    }

    /// What is known of it, if looks that are sent from now on tell all.
    pub(super) fn resolved(&self) -> Option<ResolvedStart> {
        match self.state {
            StartState::Resolved(resolved) => Some(resolved),
            _ => None,
        }
    }

    /// Gives it up for a stop, unless a try of it may be carried out.
    pub(super) fn withdraw(&mut self, newest_poll: PollNumber) {
        if let StartState::Idle(idle) = self.state {
            self.state = StartState::Resolved(idle.resolve(newest_poll, None));
        }
    }

    /// Takes note that no try of it begins from now on.
    pub(super) fn rule_out(&mut self, newest_poll: PollNumber) {
        self.state = StartState::Resolved(self.state.rule_out(newest_poll));
    }

    /// Decides what has to be done next.
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

    /// Takes note that a try leaves, if that is still what has to be done. Gives the lease that it carries.
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

    /// Why a start that has not begun is not sent.
    fn rejection_if_idle(
        &self,
        conditions: &StartConditions,
        now: Instant,
    ) -> Option<RejectReason> {
        if conditions.is_draining {
            return Some(RejectReason::Leaving);
        }
        if !conditions.has_room {
            return Some(RejectReason::Room);
        }
        self.is_lease_overdue(conditions, now).then_some(RejectReason::Late)
    }

    /// Why a start that may have begun is not sent again.
    fn rejection_if_in_doubt(
        &self,
        in_doubt: InDoubtStart,
        conditions: &StartConditions,
        now: Instant,
    ) -> Option<RejectReason> {
        if conditions.is_draining {
            return Some(RejectReason::Leaving);
        }
        if !conditions.has_room {
            return Some(RejectReason::Room);
        }
        let is_final = |rejection: &StartRejection| {
            let span = now.saturating_duration_since(rejection.since);
            rejection.reason != RejectReason::Unwell || span >= UNHEALTHY_RETRY_SPAN
        };
        if let Some(rejection) = in_doubt.rejection.filter(is_final) {
            return Some(rejection.reason);
        }
        self.is_lease_overdue(conditions, now).then_some(RejectReason::Late)
    }

    fn is_lease_overdue(&self, conditions: &StartConditions, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.arrived);
        conditions.lease_end.is_none() && waited > MAX_LEASE_WAIT
    }

    fn send_step(&self, conditions: &StartConditions, now: Instant) -> StartStep {
        match conditions.lease_end {
            Some(_) if now >= self.retry_at => StartStep::Send,
            Some(_) => StartStep::Wait(self.retry_at.saturating_duration_since(now)),
            None => StartStep::Wait(LEASE_CHECK_INTERVAL),
        }
    }

    /// Takes note of what became of a try.
    pub(super) fn on_response(
        &mut self,
        response: &Result<(), RunnerError>,
        newest_poll: PollNumber,
        now: Instant,
    ) {
        let StartState::InFlight(in_flight) = self.state else {
            // A look or a stop has told more meanwhile.
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
        // Whether another life has begun the run is told by looks at that life.
        Ok(()) | Err(RunnerError::Fenced | RunnerError::OtherLife) => {
            StartState::Resolved(in_flight.resolve(newest_poll, None))
        }
        // This run, or a later one of the task, has been there: neither try begins any more.
        Err(RunnerError::Rejected { reason: RejectReason::Old }) => {
            StartState::Resolved(in_flight.resolve(newest_poll, Some(RejectReason::Old)))
        }
        Err(RunnerError::Rejected { reason }) => in_flight.reject(*reason, newest_poll, now),
        Err(RunnerError::NotRunning) => in_flight.on_not_sent(),
        Err(RunnerError::NoAnswer { .. }) => StartState::InDoubt(in_flight.on_no_response()),
    }
}
