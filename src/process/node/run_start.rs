//! The life cycle of a start on one life of a runner.
//!
//! A call without an answer may have been carried out, or may be seconds later, after newer calls. An answer to a repeat tells of that
//! try alone, unless it says that the run is there or can no longer begin. Each state has just the transitions that its tries allow:
//! a start may be refused while it is idle, and not while it is doubtful.

use std::time::Instant;

use crate::connection::node_protocol::RejectReason;
use crate::ids::PollNumber;

/// A refusal of a try, while an earlier one has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartRefusal {
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
pub struct SentStart {
    before: Option<DoubtfulStart>,
}

/// A try of it has no answer: it may have begun, or may begin yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DoubtfulStart {
    /// Refusals of later tries.
    pub refusal: Option<StartRefusal>,
    /// Why it was given up; from then on it is being stopped.
    pub given_up: Option<RejectReason>,
}

/// It has begun, or cannot begin any more: looks that are sent after `newest` show which.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedStart {
    /// The newest look when this became known.
    pub newest: PollNumber,
    /// Why the run was refused, if those looks do not show it.
    pub refusal: Option<RejectReason>,
}

/// What is known of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStart {
    /// See [`IdleStart`].
    Idle(IdleStart),
    /// See [`SentStart`].
    Sent(SentStart),
    /// See [`DoubtfulStart`].
    Doubtful(DoubtfulStart),
    /// See [`ClosedStart`].
    Closed(ClosedStart),
}

impl IdleStart {
    /// A try is about to leave.
    ///
    /// ```
    /// use greengagearch::process::node::run_start::IdleStart;
    /// use greengagearch::process::node::run_start::RunStart;
    ///
    /// assert_eq!(IdleStart.send().take_back(), RunStart::Idle(IdleStart));
    /// ```
    pub fn send(self) -> SentStart {
        SentStart { before: None }
    }

    /// It is given up, for a reason if the planner has to be told one.
    ///
    /// ```
    /// use greengagearch::process::node::run_start::IdleStart;
    ///
    /// assert_eq!(IdleStart.close(3, None).newest, 3);
    /// ```
    pub fn close(self, newest: PollNumber, refusal: Option<RejectReason>) -> ClosedStart {
        ClosedStart { newest, refusal }
    }
}

impl SentStart {
    /// The runner has answered that the run is there, or that it can no longer begin.
    ///
    /// ```
    /// use greengagearch::process::node::run_start::IdleStart;
    ///
    /// assert_eq!(IdleStart.send().close(3, None).refusal, None);
    /// ```
    pub fn close(self, newest: PollNumber, refusal: Option<RejectReason>) -> ClosedStart {
        ClosedStart { newest, refusal }
    }

    /// The runner has refused this try.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use assert_matches::assert_matches;
    /// use greengagearch::connection::node_protocol::RejectReason;
    /// use greengagearch::process::node::run_start::IdleStart;
    /// use greengagearch::process::node::run_start::RunStart;
    ///
    /// let (now, reason) = (Instant::now(), RejectReason::Unwell);
    /// assert_matches!(IdleStart.send().refuse(reason, 3, now), RunStart::Closed(_));
    /// let repeated = IdleStart.send().lose().send();
    /// assert_matches!(repeated.refuse(reason, 3, now), RunStart::Doubtful(_));
    /// ```
    pub fn refuse(self, reason: RejectReason, newest: PollNumber, now: Instant) -> RunStart {
        let Some(doubtful) = self.before else {
            return RunStart::Closed(self.close(newest, Some(reason)));
        };
        let since = doubtful.refusal.map_or(now, |refusal| refusal.since);
        let refusal = Some(StartRefusal { since, reason });
        RunStart::Doubtful(DoubtfulStart { refusal, ..doubtful })
    }

    /// The try had no answer.
    ///
    /// ```
    /// use greengagearch::process::node::run_start::IdleStart;
    ///
    /// assert_eq!(IdleStart.send().lose().refusal, None);
    /// ```
    pub fn lose(self) -> DoubtfulStart {
        self.before.unwrap_or_default()
    }

    /// The try never left.
    ///
    /// ```
    /// use greengagearch::process::node::run_start::IdleStart;
    /// use greengagearch::process::node::run_start::RunStart;
    ///
    /// let doubtful = IdleStart.send().lose();
    /// assert_eq!(doubtful.send().take_back(), RunStart::Doubtful(doubtful));
    /// ```
    pub fn take_back(self) -> RunStart {
        self.before.map_or(RunStart::Idle(IdleStart), RunStart::Doubtful)
    }
}

impl DoubtfulStart {
    /// A further try is about to leave.
    ///
    /// ```
    /// use greengagearch::process::node::run_start::DoubtfulStart;
    ///
    /// assert_eq!(DoubtfulStart::default().send().lose(), DoubtfulStart::default());
    /// ```
    pub fn send(self) -> SentStart {
        SentStart { before: Some(self) }
    }

    /// It is given up: a stop rules out that it begins, or ends it.
    ///
    /// ```
    /// use greengagearch::connection::node_protocol::RejectReason;
    /// use greengagearch::process::node::run_start::DoubtfulStart;
    ///
    /// let doubtful = DoubtfulStart::default().give_up(RejectReason::Late);
    /// assert_eq!(doubtful.given_up, Some(RejectReason::Late));
    /// ```
    pub fn give_up(self, reason: RejectReason) -> DoubtfulStart {
        DoubtfulStart { given_up: Some(reason), ..self }
    }
}

impl RunStart {
    /// The runner has taken a stop, or obeys no call of the sender any more.
    ///
    /// ```
    /// use greengagearch::process::node::run_start::IdleStart;
    /// use greengagearch::process::node::run_start::RunStart;
    ///
    /// assert_eq!(RunStart::Idle(IdleStart).rule_out(3).refusal, None);
    /// ```
    pub fn rule_out(self, newest: PollNumber) -> ClosedStart {
        match self {
            RunStart::Closed(closed) => closed,
            RunStart::Doubtful(doubtful) => ClosedStart { newest, refusal: doubtful.given_up },
            RunStart::Idle(_) | RunStart::Sent(_) => ClosedStart { newest, refusal: None },
        }
    }
}
