//! The life cycle of a start on one life of a runner.
//!
//! A call without an answer may have been carried out, or may be seconds later, after newer calls. An answer to a repeat tells of that
//! try alone, unless it says that the run is there or can no longer begin. Each state has just the transitions that its tries allow:
//! a start may be refused while it is idle, and not while it is in_doubt.

use std::time::Instant;

use crate::connection::node_protocol::RejectReason;
use crate::ids::PollNumber;

/// A refusal of a try, while an earlier one has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartRejection {
    /// When the first of them came.
    pub since: Instant,
    /// Why the last one was refused.
    pub reason: RejectReason,
}

/// No try of it may be carried out any more: none has left, or each was refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdleStart;

/// A try is on its way, and `before` is what stood before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightStart {
    before: Option<InDoubtStart>,
}

/// A try of it has no answer: it may have begun, or may begin yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InDoubtStart {
    /// Refusals of later tries.
    pub rejection: Option<StartRejection>,
    /// Why it was given up; from then on it is being stopped.
    pub abandoned: Option<RejectReason>,
}

/// It has begun, or cannot begin any more: looks that are sent after `newest` show which.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResolvedStart {
    /// The newest look when this became known.
    pub newest_poll: PollNumber,
    /// Why the run was refused, if those looks do not show it.
    pub rejection: Option<RejectReason>,
}

/// What is known of a start.
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
    /// A try is about to leave.
    ///
    /// ```
    /// use greengagearch::process::node::start_state::IdleStart;
    /// use greengagearch::process::node::start_state::StartState;
    ///
    /// assert_eq!(IdleStart.send().on_not_sent(), StartState::Idle(IdleStart));
    /// ```
    pub fn send(self) -> InFlightStart {
        InFlightStart { before: None }
    }

    /// It is given up, for a reason if the planner has to be told one.
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
    /// The runner has answered that the run is there, or that it can no longer begin.
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

    /// The runner has refused this try.
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
        let Some(in_doubt) = self.before else {
            return StartState::Resolved(self.resolve(newest_poll, Some(reason)));
        };
        let since = in_doubt.rejection.map_or(now, |rejection| rejection.since);
        let rejection = Some(StartRejection { since, reason });
        StartState::InDoubt(InDoubtStart { rejection, ..in_doubt })
    }

    /// The try had no answer.
    ///
    /// ```
    /// use greengagearch::process::node::start_state::IdleStart;
    ///
    /// assert_eq!(IdleStart.send().on_no_response().rejection, None);
    /// ```
    pub fn on_no_response(self) -> InDoubtStart {
        self.before.unwrap_or_default()
    }

    /// The try never left.
    ///
    /// ```
    /// use greengagearch::process::node::start_state::IdleStart;
    /// use greengagearch::process::node::start_state::StartState;
    ///
    /// let in_doubt = IdleStart.send().on_no_response();
    /// assert_eq!(in_doubt.send().on_not_sent(), StartState::InDoubt(in_doubt));
    /// ```
    pub fn on_not_sent(self) -> StartState {
        self.before.map_or(StartState::Idle(IdleStart), StartState::InDoubt)
    }
}

impl InDoubtStart {
    /// A further try is about to leave.
    ///
    /// ```
    /// use greengagearch::process::node::start_state::InDoubtStart;
    ///
    /// assert_eq!(InDoubtStart::default().send().on_no_response(), InDoubtStart::default());
    /// ```
    pub fn send(self) -> InFlightStart {
        InFlightStart { before: Some(self) }
    }

    /// It is given up: a stop rules out that it begins, or ends it.
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
    /// The runner has taken a stop, or obeys no call of the sender any more.
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
