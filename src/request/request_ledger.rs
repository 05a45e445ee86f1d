//! What the owner of a partition remembers of non-idempotent requests.

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

/// What to do with a request whose id was looked up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerDecision {
    /// It is new here: run it, then call [`RequestLedger::end`].
    Run,
    /// It is being run: wait for its outcome.
    Wait,
    /// It ended before, like this.
    Ended(RequestOutcome),
    /// The id came before with another body.
    Conflict,
}

/// Ids of one owner, with what became of them.
#[derive(Debug, Default)]
pub struct RequestLedger {
    ids: ExpiringIdMap<LedgerEntry>,
}

impl RequestLedger {
    /// Looks an id up and marks it as in flight when it is new. It is kept until the wall-clock
    /// time `expires_at` at least.
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

    /// Records how a request ended. One that was provably not run is forgotten, so that its caller
    /// may try again.
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

    /// Forgets ids whose time has come; those in flight stay.
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

    /// Number of ids that are remembered.
    ///
    /// ```
    /// assert_eq!(greengagearch::request::request_ledger::RequestLedger::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no id is remembered.
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
    fn an_unknown_outcome_is_kept_and_never_run_again() {
        let mut ledger = RequestLedger::default();
        let id = RequestId::now_v7();
        ledger.begin(id, 1, Duration::from_secs(10));
        let outcome = RequestOutcome::Unknown(UnknownReason::AgentSilent);
        ledger.end(id, &outcome);
        let verdict = ledger.begin(id, 1, Duration::from_secs(10));
        assert_eq!(verdict, LedgerDecision::Ended(outcome));
    }

    #[test]
    fn an_id_in_flight_outlives_its_window() {
        let mut ledger = RequestLedger::default();
        let id = RequestId::now_v7();
        ledger.begin(id, 1, Duration::from_secs(1));
        ledger.remove_expired(Duration::from_secs(2));
        assert_eq!(ledger.begin(id, 1, Duration::from_secs(1)), LedgerDecision::Wait);
    }
}
