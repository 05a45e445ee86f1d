//! What makes an event of a service good or bad.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::process::interference::KindName;
use crate::request::outcome::NotRunReason;
use crate::request::outcome::RequestOutcome;
use crate::request::outcome::UnknownReason;

/// Share of a late answer's time in the queue from which on the queue is held to be the cause.
const QUEUE_SHARE: f64 = 0.5;
/// Slowdown from which on a kind of tasks is held to be the cause of a late answer.
const BLAMED_SLOWDOWN: f64 = 0.1;

/// What a bad event came from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BurnCause {
    /// It waited too long for a slot, or was refused because it would have.
    Queueing,
    /// The endpoint took too long, beside tasks of this kind.
    Interference(KindName),
    /// The endpoint took too long by itself, or answered with an error.
    Endpoint,
    /// No endpoint was left: gone or leaving.
    NoEndpoint,
    /// Every endpoint was ejected because it failed repeatedly.
    Ejection,
    /// A process of the system was lost or not reached.
    Process,
    /// Ownership of the id was not valid, while the table service answered.
    Ownership,
    /// Ownership of the id was not valid, while the table service gave no answer.
    Store,
}

impl fmt::Display for BurnCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BurnCause::Queueing => write!(f, "queueing"),
            BurnCause::Interference(kind) => write!(f, "interference/{kind}"),
            BurnCause::Endpoint => write!(f, "endpoint"),
            BurnCause::NoEndpoint => write!(f, "no_endpoint"),
            BurnCause::Ejection => write!(f, "ejection"),
            BurnCause::Store => write!(f, "store"),
            BurnCause::Process => write!(f, "process"),
            BurnCause::Ownership => write!(f, "ownership"),
        }
    }
}

/// What is known of a request when it ends.
#[derive(Clone, Debug)]
pub struct EndedRequest<'a> {
    /// How it ended.
    pub outcome: &'a RequestOutcome,
    /// Time from its receipt to its end.
    pub time: Duration,
    /// Part of the time that it waited for a slot.
    pub queued: Duration,
    /// The kind of tasks that slows its endpoint most, with the slowdown.
    pub neighbour: Option<(KindName, f64)>,
    /// Whether the table service gives no answers.
    pub store_silent: bool,
}

/// Whether an event is good, or what made it bad. Nothing for requests that say nothing about the
/// service, such as malformed ones.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::process::burn_cause::BurnCause;
/// use greengagearch::process::burn_cause::EndedRequest;
/// use greengagearch::process::burn_cause::judge;
/// use greengagearch::request::outcome::NotRunReason;
/// use greengagearch::request::outcome::RequestOutcome;
///
/// let outcome = RequestOutcome::not_run(NotRunReason::Overloaded);
/// let ended = EndedRequest {
///     outcome: &outcome,
///     time: Duration::ZERO,
///     queued: Duration::ZERO,
///     neighbour: None,
///     store_silent: false,
/// };
/// assert_eq!(judge(&ended, Duration::from_secs(1)), Some(Err(BurnCause::Queueing)));
/// ```
pub fn judge(ended: &EndedRequest<'_>, objective: Duration) -> Option<Result<(), BurnCause>> {
    match ended.outcome {
        RequestOutcome::Answered(answer) if answer.status >= 500 => Some(Err(BurnCause::Endpoint)),
        RequestOutcome::Answered(_) if ended.time <= objective => Some(Ok(())),
        RequestOutcome::Answered(_) => Some(Err(cause_of_lateness(ended))),
        RequestOutcome::NotRun { reason, .. } => {
            cause_of_refusal(*reason).map(|cause| Err(behind(cause, ended)))
        }
        RequestOutcome::Unknown(reason) => {
            cause_of_doubt(*reason).map(|cause| Err(behind(cause, ended)))
        }
    }
}

/// The cause behind a cause: without the table service ownership cannot be renewed.
fn behind(cause: BurnCause, ended: &EndedRequest<'_>) -> BurnCause {
    match cause {
        BurnCause::Ownership if ended.store_silent => BurnCause::Store,
        cause => cause,
    }
}

fn cause_of_lateness(ended: &EndedRequest<'_>) -> BurnCause {
    if ended.queued.as_secs_f64() >= QUEUE_SHARE * ended.time.as_secs_f64() {
        return BurnCause::Queueing;
    }
    match &ended.neighbour {
        Some((kind, slowdown)) if *slowdown >= BLAMED_SLOWDOWN => {
            BurnCause::Interference(kind.clone())
        }
        _ => BurnCause::Endpoint,
    }
}

fn cause_of_refusal(reason: NotRunReason) -> Option<BurnCause> {
    match reason {
        NotRunReason::Overloaded
        | NotRunReason::CallerShare
        | NotRunReason::DeadlinePassed
        | NotRunReason::SlotsFull => Some(BurnCause::Queueing),
        NotRunReason::NoEndpoint | NotRunReason::EndpointLeaving | NotRunReason::ConnectFailed => {
            Some(BurnCause::NoEndpoint)
        }
        NotRunReason::EndpointsEjected => Some(BurnCause::Ejection),
        NotRunReason::NoOwner | NotRunReason::LeaseLapsed | NotRunReason::AgentNotReady => {
            Some(BurnCause::Ownership)
        }
        NotRunReason::OwnerUnreachable
        | NotRunReason::AgentUnreachable
        | NotRunReason::StaleIncarnation
        | NotRunReason::Draining
        | NotRunReason::Tombstoned
        | NotRunReason::BrokenBody => Some(BurnCause::Process),
        NotRunReason::UnknownService | NotRunReason::BodyConflict | NotRunReason::IdInFuture => {
            None
        }
    }
}

fn cause_of_doubt(reason: UnknownReason) -> Option<BurnCause> {
    match reason {
        UnknownReason::DeadlinePassed => Some(BurnCause::Endpoint),
        UnknownReason::AnswerLost
        | UnknownReason::AgentSilent
        | UnknownReason::OwnerSilent
        | UnknownReason::Unsettled => Some(BurnCause::Process),
        UnknownReason::NoOwner => Some(BurnCause::Ownership),
        UnknownReason::IdTooOld => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::request::outcome::EndpointResponse;

    #[test]
    fn late_answers_are_blamed_on_what_made_them_late() {
        let outcome = RequestOutcome::Answered(EndpointResponse::new(200, String::new(), vec![]));
        let late = |queued, neighbour: Option<(&str, f64)>| EndedRequest {
            outcome: &outcome,
            time: Duration::from_millis(300),
            queued: Duration::from_millis(queued),
            neighbour: neighbour.map(|(kind, slowdown)| (kind.to_string(), slowdown)),
            store_silent: false,
        };
        let cause = |ended| judge(&ended, Duration::from_millis(100)).unwrap().unwrap_err();
        assert_eq!(cause(late(200, None)), BurnCause::Queueing);
        let roster = BurnCause::Interference("roster".to_string());
        assert_eq!(cause(late(10, Some(("roster", 0.5)))), roster);
        assert_eq!(cause(late(10, Some(("roster", 0.01)))), BurnCause::Endpoint);
    }

    #[test]
    fn a_lapsed_lease_is_blamed_on_the_store_while_it_is_silent() {
        let outcome = RequestOutcome::not_run(NotRunReason::LeaseLapsed);
        let refused = |store_silent| EndedRequest {
            outcome: &outcome,
            time: Duration::ZERO,
            queued: Duration::ZERO,
            neighbour: None,
            store_silent,
        };
        let objective = Duration::from_secs(1);
        assert_eq!(judge(&refused(true), objective), Some(Err(BurnCause::Store)));
        assert_eq!(judge(&refused(false), objective), Some(Err(BurnCause::Ownership)));
    }
}
