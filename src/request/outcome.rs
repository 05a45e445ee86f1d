//! The three outcomes of a request, on the wire and in the types.
//!
//! "Not run" is only said with proof: the request was never sent, or the agent refused it before
//! dispatch, or wrote a tombstone for it. Everything else that is not an answer is "unknown".

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::BodyDigest;

/// An answer of an endpoint, whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointResponse {
    /// HTTP status that the endpoint gave.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body of the answer.
    pub body: Vec<u8>,
    /// Digest of the body, taken where it was received from the endpoint.
    pub digest: BodyDigest,
}

impl EndpointResponse {
    /// An answer with its digest.
    ///
    /// ```
    /// use greengagearch::request::outcome::EndpointResponse;
    ///
    /// let response = EndpointResponse::new(200, "text/plain".into(), b"ok".to_vec());
    /// assert!(response.is_intact());
    /// ```
    pub fn new(status: u16, content_type: String, body: Vec<u8>) -> EndpointResponse {
        let digest = body_digest(&body);
        EndpointResponse { status, content_type, body, digest }
    }

    /// Whether the body still has the digest that was taken of it.
    ///
    /// ```
    /// use greengagearch::request::outcome::EndpointResponse;
    ///
    /// let mut response = EndpointResponse::new(200, "text/plain".into(), b"ok".to_vec());
    /// response.body.pop();
    /// assert!(!response.is_intact());
    /// ```
    pub fn is_intact(&self) -> bool {
        body_digest(&self.body) == self.digest
    }
}

/// Digest of a body; guards against truncation and mix-ups, not against forgery.
///
/// ```
/// use greengagearch::request::outcome::body_digest;
///
/// assert_ne!(body_digest(b"a"), body_digest(b"b"));
/// ```
pub fn body_digest(body: &[u8]) -> BodyDigest {
    xxh3_64(body)
}

/// Why a request was provably not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunReason {
    /// No document of that name is in force.
    UnknownService,
    /// No endpoint of the service is announced.
    NoEndpoint,
    /// Every endpoint of the service failed repeatedly and is ejected for a while.
    EndpointsEjected,
    /// The queue is so long that the deadline would pass in it.
    Overloaded,
    /// The caller already has more than its share of a busy queue.
    CallerShare,
    /// The deadline passed before the request was sent to an endpoint.
    DeadlinePassed,
    /// No entry owns the id's partition at present.
    NoOwner,
    /// The owner of the partition could not be reached.
    OwnerUnreachable,
    /// This entry may not act for the partition at present.
    LeaseLapsed,
    /// The same id came before with another body.
    BodyConflict,
    /// The id's time lies in the future.
    IdInFuture,
    /// All slots of the endpoint are taken.
    SlotsFull,
    /// The endpoint is leaving or gone.
    EndpointLeaving,
    /// The endpoint accepted no connection.
    ConnectFailed,
    /// The agent could not be reached.
    AgentUnreachable,
    /// The agent has been replaced by a new run.
    StaleIncarnation,
    /// The agent is not registered yet.
    AgentNotReady,
    /// The process is shutting down.
    Draining,
    /// A new owner settled the id as never to be run.
    Tombstoned,
    /// The body changed on its way.
    BrokenBody,
}

impl NotRunReason {
    /// The machine-readable name of the reason.
    ///
    /// ```
    /// use greengagearch::request::outcome::NotRunReason;
    ///
    /// assert_eq!(NotRunReason::SlotsFull.name(), "slots_full");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            NotRunReason::UnknownService => "unknown_service",
            NotRunReason::NoEndpoint => "no_endpoint",
            NotRunReason::EndpointsEjected => "endpoints_ejected",
            NotRunReason::Overloaded => "overloaded",
            NotRunReason::CallerShare => "caller_share",
            NotRunReason::DeadlinePassed => "deadline_passed",
            NotRunReason::NoOwner => "no_owner",
            NotRunReason::OwnerUnreachable => "owner_unreachable",
            NotRunReason::LeaseLapsed => "lease_lapsed",
            NotRunReason::BodyConflict => "body_conflict",
            NotRunReason::IdInFuture => "id_in_future",
            NotRunReason::SlotsFull => "slots_full",
            NotRunReason::EndpointLeaving => "endpoint_leaving",
            NotRunReason::ConnectFailed => "connect_failed",
            NotRunReason::AgentUnreachable => "agent_unreachable",
            NotRunReason::StaleIncarnation => "stale_incarnation",
            NotRunReason::AgentNotReady => "agent_not_ready",
            NotRunReason::Draining => "draining",
            NotRunReason::Tombstoned => "tombstoned",
            NotRunReason::BrokenBody => "broken_body",
        }
    }

    /// Whether the refusal was given without a look at what is known of the id. Then it is true of
    /// this try only, and says nothing of earlier ones.
    ///
    /// ```
    /// use greengagearch::request::outcome::NotRunReason;
    ///
    /// assert!(NotRunReason::NoOwner.applies_to_this_attempt_only());
    /// assert!(!NotRunReason::Overloaded.applies_to_this_attempt_only());
    /// ```
    pub fn applies_to_this_attempt_only(self) -> bool {
        matches!(
            self,
            NotRunReason::NoOwner
                | NotRunReason::OwnerUnreachable
                | NotRunReason::LeaseLapsed
                | NotRunReason::Draining
                | NotRunReason::Tombstoned
        )
    }

    /// Whether another endpoint may do better at once.
    ///
    /// ```
    /// use greengagearch::request::outcome::NotRunReason;
    ///
    /// assert!(NotRunReason::SlotsFull.is_retryable());
    /// assert!(!NotRunReason::BodyConflict.is_retryable());
    /// ```
    pub fn is_retryable(self) -> bool {
        matches!(
            self,
            NotRunReason::SlotsFull
                | NotRunReason::EndpointLeaving
                | NotRunReason::ConnectFailed
                | NotRunReason::AgentUnreachable
                | NotRunReason::StaleIncarnation
                | NotRunReason::AgentNotReady
                | NotRunReason::Draining
                | NotRunReason::BrokenBody
        )
    }
}

/// Why nobody can tell whether a request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The endpoint's answer was lost or broken.
    AnswerLost,
    /// The agent's answer was lost.
    AgentSilent,
    /// The owning entry's answer was lost.
    OwnerSilent,
    /// The deadline passed while an endpoint was at work.
    DeadlinePassed,
    /// The id is older than anything that is still remembered.
    IdTooOld,
    /// An earlier owner may have run it, and an agent that would know does not answer.
    Unsettled,
    /// This try was not run, but nobody who knows of earlier tries of the same id acts at present.
    NoOwner,
}

impl UnknownReason {
    /// The machine-readable name of the reason.
    ///
    /// ```
    /// use greengagearch::request::outcome::UnknownReason;
    ///
    /// assert_eq!(UnknownReason::IdTooOld.name(), "id_too_old");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            UnknownReason::AnswerLost => "answer_lost",
            UnknownReason::AgentSilent => "agent_silent",
            UnknownReason::OwnerSilent => "owner_silent",
            UnknownReason::DeadlinePassed => "deadline_passed",
            UnknownReason::IdTooOld => "id_too_old",
            UnknownReason::Unsettled => "unsettled",
            UnknownReason::NoOwner => "no_owner",
        }
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// An endpoint answered.
    Answered(EndpointResponse),
    /// It was provably not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When it is worth coming back.
        retry_after: Duration,
    },
    /// Nobody can tell whether it was run.
    Unknown(UnknownReason),
}

impl RequestOutcome {
    /// What may be said of a request whose last try ended like this, after a try whose fate is unknown for `earlier`: that it was not
    /// run is true of the last try alone.
    ///
    /// ```
    /// use greengagearch::request::outcome::NotRunReason;
    /// use greengagearch::request::outcome::RequestOutcome;
    /// use greengagearch::request::outcome::UnknownReason;
    ///
    /// let refused = RequestOutcome::not_run(NotRunReason::DeadlinePassed);
    /// let lost = UnknownReason::AnswerLost;
    /// assert_eq!(refused.combine_with_earlier(Some(lost)), RequestOutcome::Unknown(lost));
    /// ```
    pub fn combine_with_earlier(self, earlier: Option<UnknownReason>) -> RequestOutcome {
        match (earlier, self) {
            (Some(earlier), RequestOutcome::NotRun { .. }) => RequestOutcome::Unknown(earlier),
            (_, outcome) => outcome,
        }
    }

    /// A refusal after which it is worth coming back at once.
    ///
    /// ```
    /// use greengagearch::request::outcome::NotRunReason;
    /// use greengagearch::request::outcome::RequestOutcome;
    ///
    /// let outcome = RequestOutcome::not_run(NotRunReason::NoOwner);
    /// assert_eq!(outcome.to_string(), "not_run/no_owner");
    /// ```
    pub fn not_run(reason: NotRunReason) -> RequestOutcome {
        RequestOutcome::NotRun { reason, retry_after: Duration::ZERO }
    }
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestOutcome::Answered(response) => write!(f, "answered/{}", response.status),
            RequestOutcome::NotRun { reason, .. } => write!(f, "not_run/{}", reason.name()),
            RequestOutcome::Unknown(reason) => write!(f, "unknown/{}", reason.name()),
        }
    }
}
