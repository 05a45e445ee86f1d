//! An order to start a run, and what has to be done next about it.

use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::RejectReason;
use crate::external::runner_control::RunnerError;
use crate::external::runner_control::RunnerMillis;
use crate::ids::PollNumber;
use crate::process::node::run_start::ClosedStart;
use crate::process::node::run_start::DoubtfulStart;
use crate::process::node::run_start::IdleStart;
use crate::process::node::run_start::RunStart;
use crate::process::node::run_start::SentStart;
use crate::process::node::run_start::StartRefusal;

/// Pause before an order without an answer is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(30);
/// Pause before an order that an unwell runner has refused is repeated.
const UNWELL_PAUSE: Duration = Duration::from_millis(60);
/// Time for which an unwell runner is asked again whether a start without an answer has begun. It may get well, and the run is
/// saved; a stop would end it.
const UNWELL_LIMIT: Duration = Duration::from_millis(1_000);
/// How long a start waits for a lease on a new link.
const LEASE_WAIT: Duration = Duration::from_millis(2_000);
/// Pause between two looks whether there is a lease.
const LEASE_POLL: Duration = Duration::from_millis(15);

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
    start: RunStart,
}

impl PendingStart {
    /// A start that came at `now`. Of one that was ordered before, a try of an earlier agent may have no answer.
    pub(super) fn new(is_repeat: bool, now: Instant) -> PendingStart {
        let start = match is_repeat {
            true => RunStart::Doubtful(DoubtfulStart::default()),
            false => RunStart::Idle(IdleStart),
        };
        PendingStart { arrived: now, retry_at: now, start }
    }

    /// A start that was refused before, when it was ordered for the first time.
    pub(super) fn refused(reason: RejectReason, newest: PollNumber, now: Instant) -> PendingStart {
        let start = RunStart::Closed(IdleStart.close(newest, Some(reason)));
        PendingStart { arrived: now, retry_at: now, start }
    }

    /// What is known of it, if looks that are sent from now on tell all.
    pub(super) fn closed(&self) -> Option<ClosedStart> {
        match self.start {
            RunStart::Closed(closed) => Some(closed),
            _ => None,
        }
    }

    /// Gives it up for a stop, unless a try of it may be carried out.
    pub(super) fn withdraw(&mut self, newest: PollNumber) {
        if let RunStart::Idle(idle) = self.start {
            self.start = RunStart::Closed(idle.close(newest, None));
        }
    }

    /// Takes note that no try of it begins from now on.
    pub(super) fn rule_out(&mut self, newest: PollNumber) {
        self.start = RunStart::Closed(self.start.rule_out(newest));
    }

    /// Decides what has to be done next.
    pub(super) fn next_step(
        &mut self,
        conditions: &StartConditions,
        newest: PollNumber,
        now: Instant,
    ) -> StartStep {
        match self.start {
            RunStart::Idle(idle) => match self.idle_refusal(conditions, now) {
                None => self.send_step(conditions, now),
                Some(reason) => {
                    self.start = RunStart::Closed(idle.close(newest, Some(reason)));
                    StartStep::Finished(Some(reason))
                }
            },
            RunStart::Doubtful(doubtful) => {
                match self.doubtful_refusal(doubtful, conditions, now) {
                    None => self.send_step(conditions, now),
                    Some(reason) => {
                        self.start = RunStart::Doubtful(doubtful.give_up(reason));
                        StartStep::Stop(reason)
                    }
                }
            }
            RunStart::Sent(_) => StartStep::Wait(REPEAT_PAUSE),
            RunStart::Closed(closed) => StartStep::Finished(closed.refusal),
        }
    }

    /// Takes note that a try leaves, if that is still what has to be done. Gives the lease that it carries.
    pub(super) fn begin_attempt(
        &mut self,
        conditions: &StartConditions,
        now: Instant,
    ) -> Option<RunnerMillis> {
        let lease_end = conditions.lease_end?;
        let sent = match self.start {
            RunStart::Idle(idle) if self.idle_refusal(conditions, now).is_none() => idle.send(),
            RunStart::Doubtful(doubtful)
                if self.doubtful_refusal(doubtful, conditions, now).is_none() =>
            {
                doubtful.send()
            }
            _ => return None,
        };
        self.start = RunStart::Sent(sent);
        Some(lease_end)
    }

    /// Why a start that has not begun is not sent.
    fn idle_refusal(&self, conditions: &StartConditions, now: Instant) -> Option<RejectReason> {
        if conditions.is_draining {
            return Some(RejectReason::Leaving);
        }
        if !conditions.has_room {
            return Some(RejectReason::Room);
        }
        self.is_without_lease(conditions, now).then_some(RejectReason::Late)
    }

    /// Why a start that may have begun is not sent again.
    fn doubtful_refusal(
        &self,
        doubtful: DoubtfulStart,
        conditions: &StartConditions,
        now: Instant,
    ) -> Option<RejectReason> {
        if conditions.is_draining {
            return Some(RejectReason::Leaving);
        }
        if !conditions.has_room {
            return Some(RejectReason::Room);
        }
        let is_final = |refusal: &StartRefusal| {
            let span = now.saturating_duration_since(refusal.since);
            refusal.reason != RejectReason::Unwell || span >= UNWELL_LIMIT
        };
        if let Some(refusal) = doubtful.refusal.filter(is_final) {
            return Some(refusal.reason);
        }
        self.is_without_lease(conditions, now).then_some(RejectReason::Late)
    }

    fn is_without_lease(&self, conditions: &StartConditions, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.arrived);
        conditions.lease_end.is_none() && waited > LEASE_WAIT
    }

    fn send_step(&self, conditions: &StartConditions, now: Instant) -> StartStep {
        match conditions.lease_end {
            Some(_) if now >= self.retry_at => StartStep::Send,
            Some(_) => StartStep::Wait(self.retry_at.saturating_duration_since(now)),
            None => StartStep::Wait(LEASE_POLL),
        }
    }

    /// Takes note of what became of a try.
    pub(super) fn on_answer(
        &mut self,
        answer: &Result<(), RunnerError>,
        newest: PollNumber,
        now: Instant,
    ) {
        let RunStart::Sent(sent) = self.start else {
            // A look or a stop has told more meanwhile.
            return;
        };
        self.start = after_answer(sent, answer, newest, now);
        let is_unwell =
            matches!(answer, Err(RunnerError::Rejected { reason: RejectReason::Unwell }));
        self.retry_at = now + if is_unwell { UNWELL_PAUSE } else { REPEAT_PAUSE };
    }
}

fn after_answer(
    sent: SentStart,
    answer: &Result<(), RunnerError>,
    newest: PollNumber,
    now: Instant,
) -> RunStart {
    match answer {
        // Whether another life has begun the run is told by looks at that life.
        Ok(()) | Err(RunnerError::Fenced | RunnerError::OtherLife) => {
            RunStart::Closed(sent.close(newest, None))
        }
        // This run, or a later one of the task, has been there: neither try begins any more.
        Err(RunnerError::Rejected { reason: RejectReason::Old }) => {
            RunStart::Closed(sent.close(newest, Some(RejectReason::Old)))
        }
        Err(RunnerError::Rejected { reason }) => sent.refuse(*reason, newest, now),
        Err(RunnerError::NotRunning) => sent.take_back(),
        Err(RunnerError::NoAnswer { .. }) => RunStart::Doubtful(sent.lose()),
    }
}
