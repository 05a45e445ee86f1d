//! The three outcomes of a request, as types and as names on the wire.
//!
//! The outcome "not run" requires proof: the request was never sent, or the agent refused it before
//! dispatch or recorded a tombstone for it. Everything else that is not a response is "unknown".

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::BodyDigest;

/// A complete response of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointResponse {
    /// HTTP status of the response.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body of the response.
    pub body: Vec<u8>,
    /// Digest of the body, computed by the agent that received it from the endpoint.
    pub digest: BodyDigest,
}

impl EndpointResponse {
    /// Creates a response and computes the digest of its body.
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

    /// Whether the body still matches the digest.
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

/// Digest of a body; detects truncated and mixed-up bodies, but gives no protection against
/// forgery.
///
/// ```
/// use greengagearch::request::outcome::body_digest;
///
/// assert_ne!(body_digest(b"a"), body_digest(b"b"));
/// ```
pub fn body_digest(body: &[u8]) -> BodyDigest {
    xxh3_64(body)
}

/// Reason why a request was provably not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunReason {
    /// No document of the service is in effect.
    UnknownService,
    /// No endpoint of the service is announced.
    NoEndpoint,
    /// No endpoint of the service is usable, and at least one is temporarily ejected after repeated
    /// failures.
    EndpointsEjected,
    /// The request would miss its deadline in the queue, or its attempts are used up.
    Overloaded,
    /// The request was displaced from a long queue, of which its caller had more than its share, by
    /// a request of another caller.
    CallerShare,
    /// The deadline passed before the request was sent to an endpoint.
    DeadlinePassed,
    /// No entry currently owns the partition of the request id.
    NoOwner,
    /// The entry that owns the partition could not be reached.
    OwnerUnreachable,
    /// This entry does not currently hold a valid lease on the partition.
    LeaseLapsed,
    /// The id was used before with a different body.
    BodyConflict,
    /// The id's timestamp is in the future, or the id has none.
    IdInFuture,
    /// All slots of the endpoint are in use.
    SlotsFull,
    /// The endpoint is leaving, or its announcement has expired.
    EndpointLeaving,
    /// The endpoint did not accept a connection.
    ConnectFailed,
    /// The agent could not be reached.
    AgentUnreachable,
    /// The agent was restarted after it announced the endpoint.
    StaleIncarnation,
    /// The agent does not currently hold the lease of its worker.
    AgentNotReady,
    /// The process is shutting down.
    Draining,
    /// A later owner of the partition has settled the id: it must not run.
    Tombstoned,
    /// The body does not match its digest: it was corrupted in transit.
    BrokenBody,
}

impl NotRunReason {
    /// Name of the reason in responses and metrics.
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

    /// Whether the request was refused without looking up its id. Such a refusal holds for this
    /// attempt only and does not tell whether an earlier attempt was run.
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

    /// Whether another endpoint may be able to run the request immediately.
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

/// Reason why it is unknown whether a request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The endpoint's response was lost or corrupted.
    AnswerLost,
    /// The agent did not respond to the dispatch.
    AgentSilent,
    /// The owner of the partition did not respond to the forwarded request.
    OwnerSilent,
    /// The deadline passed while an endpoint was processing the request.
    DeadlinePassed,
    /// The id is older than the window for which ids are remembered.
    IdTooOld,
    /// An earlier owner may have run it, and the agents that would know cannot tell or do not
    /// respond.
    Unsettled,
    /// This attempt was not run, but another attempt with the same id may have been, and no entry
    /// that could know of it currently owns the partition.
    NoOwner,
}

impl UnknownReason {
    /// Name of the reason in responses and metrics.
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
    /// An endpoint responded.
    Answered(EndpointResponse),
    /// It was provably not run.
    NotRun {
        /// Reason for the refusal.
        reason: NotRunReason,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// It is unknown whether it was run.
    Unknown(UnknownReason),
}

impl RequestOutcome {
    /// Combines the outcome of the last attempt with that of an earlier attempt, which is unknown
    /// for the reason `earlier`: a refusal of the last attempt does not prove that the earlier one
    /// was not run.
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

    /// A refusal after which the caller may retry immediately.
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
