//! The states of a start on one instance of a runner.
//!
//! A call without a response may have been carried out, or may be carried out seconds later, after
//! newer calls. The response to a repeated attempt concerns that attempt alone, unless it says that
//! the run exists or can no longer start. Each state has only the transitions that its attempts
//! allow: a start may be rejected while it is idle, but not while it is in doubt.

use std::time::Instant;

use crate::connection::node_protocol::RejectReason;
use crate::ids::PollNumber;

/// Rejections of attempts while an earlier one has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartRejection {
    /// Time of the first rejection.
    pub since: Instant,
    /// Reason of the last rejection.
    pub reason: RejectReason,
}

/// No attempt can be carried out any more: none was sent, or each was rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdleStart;

/// An attempt is in flight; `previous` is the state before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightStart {
    previous: Option<InDoubtStart>,
}

/// An attempt had no response: the run may have started, or may start later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InDoubtStart {
    /// Rejections of later attempts.
    pub rejection: Option<StartRejection>,
    /// Why the start was abandoned, if it was; the run is then being stopped.
    pub abandoned: Option<RejectReason>,
}

/// The run has started, or cannot start any more: polls after `newest_poll` show which.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResolvedStart {
    /// The newest poll when this became known.
    pub newest_poll: PollNumber,
    /// Why the start was rejected, if those polls do not list the run.
    pub rejection: Option<RejectReason>,
}

/// The state of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartState {
    /// See [`IdleStart`].
    Idle(IdleStart),
    /// See [`InFlightStart`].
    InFlight(InFlightStart),
    /// See [`InDoubtStart`].
    InDoubt(InDoubtStart),
    /// See [`ResolvedStart`].
    Resolved(ResolvedStart),
}

impl IdleStart {
    /// Begins an attempt.
    ///
    /// ```
    /// use greengagearch::process::node::start_state::IdleStart;
    /// use greengagearch::process::node::start_state::StartState;
    ///
    /// assert_eq!(IdleStart.send().on_not_sent(), StartState::Idle(IdleStart));
    /// ```
    pub fn send(self) -> InFlightStart {
        InFlightStart { previous: None }
    }

    /// Cancels the start, with a reason if the planner has to get one.
    ///
    /// ```
    /// use greengagearch::process::node::start_state::IdleStart;
    ///
    /// assert_eq!(IdleStart.resolve(3, None).newest_poll, 3);
    /// ```
    pub fn resolve(
        self,
        newest_poll: PollNumber,
        rejection: Option<RejectReason>,
    ) -> ResolvedStart {
        ResolvedStart { newest_poll, rejection }
    }
}

impl InFlightStart {
    /// Records the response that the run exists, or that it can no longer start.
    ///
    /// ```
    /// use greengagearch::process::node::start_state::IdleStart;
    ///
    /// assert_eq!(IdleStart.send().resolve(3, None).rejection, None);
    /// ```
    pub fn resolve(
        self,
        newest_poll: PollNumber,
        rejection: Option<RejectReason>,
    ) -> ResolvedStart {
        ResolvedStart { newest_poll, rejection }
    }

    /// Records that the runner has rejected this attempt.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use assert_matches::assert_matches;
    /// use greengagearch::connection::node_protocol::RejectReason;
    /// use greengagearch::process::node::start_state::IdleStart;
    /// use greengagearch::process::node::start_state::StartState;
    ///
    /// let (now, reason) = (Instant::now(), RejectReason::Unwell);
    /// assert_matches!(IdleStart.send().reject(reason, 3, now), StartState::Resolved(_));
    /// let repeated = IdleStart.send().on_no_response().send();
    /// assert_matches!(repeated.reject(reason, 3, now), StartState::InDoubt(_));
    /// ```
    pub fn reject(self, reason: RejectReason, newest_poll: PollNumber, now: Instant) -> StartState {
        let Some(in_doubt) = self.previous else {
            return StartState::Resolved(self.resolve(newest_poll, Some(reason)));
        };
        let since = in_doubt.rejection.map_or(now, |rejection| rejection.since);
        let rejection = Some(StartRejection { since, reason });
        StartState::InDoubt(InDoubtStart { rejection, ..in_doubt })
    }

    /// Records that the attempt had no response.
    ///
    /// ```
    /// use greengagearch::process::node::start_state::IdleStart;
    ///
    /// assert_eq!(IdleStart.send().on_no_response().rejection, None);
    /// ```
    pub fn on_no_response(self) -> InDoubtStart {
        self.previous.unwrap_or_default()
    }

    /// Records that the attempt was never sent.
    ///
    /// ```
    /// use greengagearch::process::node::start_state::IdleStart;
    /// use greengagearch::process::node::start_state::StartState;
    ///
    /// let in_doubt = IdleStart.send().on_no_response();
    /// assert_eq!(in_doubt.send().on_not_sent(), StartState::InDoubt(in_doubt));
    /// ```
    pub fn on_not_sent(self) -> StartState {
        self.previous.map_or(StartState::Idle(IdleStart), StartState::InDoubt)
    }
}

impl InDoubtStart {
    /// Begins a further attempt.
    ///
    /// ```
    /// use greengagearch::process::node::start_state::InDoubtStart;
    ///
    /// assert_eq!(InDoubtStart::default().send().on_no_response(), InDoubtStart::default());
    /// ```
    pub fn send(self) -> InFlightStart {
        InFlightStart { previous: Some(self) }
    }

    /// Abandons the start: a stop prevents the run from starting, or ends it.
    ///
    /// ```
    /// use greengagearch::connection::node_protocol::RejectReason;
    /// use greengagearch::process::node::start_state::InDoubtStart;
    ///
    /// let in_doubt = InDoubtStart::default().abandon(RejectReason::Late);
    /// assert_eq!(in_doubt.abandoned, Some(RejectReason::Late));
    /// ```
    pub fn abandon(self, reason: RejectReason) -> InDoubtStart {
        InDoubtStart { abandoned: Some(reason), ..self }
    }
}

impl StartState {
    /// Records that the runner has accepted a stop, or rejects all calls of the sender from now on.
    ///
    /// ```
    /// use greengagearch::process::node::start_state::IdleStart;
    /// use greengagearch::process::node::start_state::StartState;
    ///
    /// assert_eq!(StartState::Idle(IdleStart).rule_out(3).rejection, None);
    /// ```
    pub fn rule_out(self, newest_poll: PollNumber) -> ResolvedStart {
        match self {
            StartState::Resolved(resolved) => resolved,
            StartState::InDoubt(in_doubt) => {
                ResolvedStart { newest_poll, rejection: in_doubt.abandoned }
            }
            StartState::Idle(_) | StartState::InFlight(_) => {
                ResolvedStart { newest_poll, rejection: None }
            }
        }
    }
}
