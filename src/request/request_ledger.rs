//! Ledger of the non-idempotent requests that the owner of a partition runs.
//!
//! A repeated request gets the outcome of the first one with the same id instead of a second run.

use std::time::Duration;

use crate::ids::BodyDigest;
use crate::ids::RequestId;
use crate::request::expiring_id_map::ExpiringIdMap;
use crate::request::outcome::RequestOutcome;

#[derive(Clone, Debug)]
enum LedgerState {
    InFlight,
    Ended(RequestOutcome),
}

#[derive(Clone, Debug)]
struct LedgerEntry {
    digest: BodyDigest,
    state: LedgerState,
}

/// What to do with a request after its id was looked up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerDecision {
    /// The id is new: run the request, then call [`RequestLedger::end`].
    Run,
    /// The request is running: wait for its outcome.
    Wait,
    /// The request has already ended with this outcome.
    Ended(RequestOutcome),
    /// The id was used before with a different body.
    Conflict,
}

/// Requests that one owner of a partition runs or has run, with their outcomes, by id.
#[derive(Debug, Default)]
pub struct RequestLedger {
    ids: ExpiringIdMap<LedgerEntry>,
}

impl RequestLedger {
    /// Looks up an id, and records it as in flight if it is new. It is kept at least until the
    /// wall-clock time `expires_at`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::request_ledger::LedgerDecision;
    /// use greengagearch::request::request_ledger::RequestLedger;
    ///
    /// let mut ledger = RequestLedger::default();
    /// let id = uuid::Uuid::now_v7();
    /// assert_eq!(ledger.begin(id, 1, Duration::MAX), LedgerDecision::Run);
    /// assert_eq!(ledger.begin(id, 1, Duration::MAX), LedgerDecision::Wait);
    /// assert_eq!(ledger.begin(id, 2, Duration::MAX), LedgerDecision::Conflict);
    /// ```
    pub fn begin(
        &mut self,
        id: RequestId,
        digest: BodyDigest,
        expires_at: Duration,
    ) -> LedgerDecision {
        if let Some(entry) = self.ids.get(&id) {
            return match &entry.state {
                _ if entry.digest != digest => LedgerDecision::Conflict,
                LedgerState::InFlight => LedgerDecision::Wait,
                LedgerState::Ended(outcome) => LedgerDecision::Ended(outcome.clone()),
            };
        }
        let entry = LedgerEntry { digest, state: LedgerState::InFlight };
        self.ids.set(id, entry, expires_at);
        LedgerDecision::Run
    }

    /// Records the outcome of a request. The id of one that was provably not run is removed, so
    /// that the caller may retry it.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::outcome::NotRunReason;
    /// use greengagearch::request::outcome::RequestOutcome;
    /// use greengagearch::request::request_ledger::LedgerDecision;
    /// use greengagearch::request::request_ledger::RequestLedger;
    ///
    /// let mut ledger = RequestLedger::default();
    /// let id = uuid::Uuid::now_v7();
    /// ledger.begin(id, 1, Duration::MAX);
    /// ledger.end(id, &RequestOutcome::not_run(NotRunReason::NoEndpoint));
    /// assert_eq!(ledger.begin(id, 1, Duration::MAX), LedgerDecision::Run);
    /// ```
    pub fn end(&mut self, id: RequestId, outcome: &RequestOutcome) {
        if let RequestOutcome::NotRun { .. } = outcome {
            self.ids.remove(&id);
        } else if let Some(digest) = self.ids.get(&id).map(|entry| entry.digest) {
            let state = LedgerState::Ended(outcome.clone());
            self.ids.change(&id, LedgerEntry { digest, state });
        }
    }

    /// Removes expired ids, except for those in flight.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::request_ledger::RequestLedger;
    ///
    /// let mut ledger = RequestLedger::default();
    /// ledger.remove_expired(Duration::from_secs(1));
    /// assert_eq!(ledger.len(), 0);
    /// ```
    pub fn remove_expired(&mut self, now: Duration) {
        self.ids.remove_expired(now, |entry| matches!(entry.state, LedgerState::InFlight));
    }

    /// Number of ids in the ledger.
    ///
    /// ```
    /// assert_eq!(greengagearch::request::request_ledger::RequestLedger::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether the ledger contains no ids.
    ///
    /// ```
    /// assert!(greengagearch::request::request_ledger::RequestLedger::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::request::outcome::UnknownReason;

    #[test]
    fn a_request_with_an_unknown_outcome_is_never_run_again() {
        let mut ledger = RequestLedger::default();
        let id = RequestId::now_v7();
        ledger.begin(id, 1, Duration::from_secs(10));
        let outcome = RequestOutcome::Unknown(UnknownReason::AgentSilent);
        ledger.end(id, &outcome);
        let decision = ledger.begin(id, 1, Duration::from_secs(10));
        assert_eq!(decision, LedgerDecision::Ended(outcome));
    }

    #[test]
    fn an_id_in_flight_does_not_expire() {
        let mut ledger = RequestLedger::default();
        let id = RequestId::now_v7();
        ledger.begin(id, 1, Duration::from_secs(1));
        ledger.remove_expired(Duration::from_secs(2));
        assert_eq!(ledger.begin(id, 1, Duration::from_secs(1)), LedgerDecision::Wait);
    }
}
