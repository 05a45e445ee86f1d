//! The ledger of an owner, with those who wait for a request's outcome.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::ids::BodyDigest;
use crate::ids::RequestId;
use crate::request::outcome::RequestOutcome;
use crate::request::request_ledger::LedgerDecision;
use crate::request::request_ledger::RequestLedger;

#[derive(Debug, Default)]
struct DeskState {
    ledger: RequestLedger,
    waiting: HashMap<RequestId, Vec<oneshot::Sender<RequestOutcome>>>,
}

/// What to do with a request.
#[derive(Debug)]
pub enum DeskVerdict {
    /// Run it, then call [`LedgerDesk::end`].
    Run,
    /// Another call runs it; its outcome comes here.
    Wait(oneshot::Receiver<RequestOutcome>),
    /// It ended before.
    Ended(RequestOutcome),
    /// The id came before with another body.
    Conflict,
}

/// The ledger of an owner.
#[derive(Debug, Default)]
pub struct LedgerDesk {
    state: Mutex<DeskState>,
}

impl LedgerDesk {
    /// Looks an id up; it is kept until the wall-clock time `expires_at` at least.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::process::entry::ledger_desk::DeskVerdict;
    /// use greengagearch::process::entry::ledger_desk::LedgerDesk;
    ///
    /// let verdict = LedgerDesk::default().begin(uuid::Uuid::now_v7(), 1, Duration::MAX);
    /// assert!(matches!(verdict, DeskVerdict::Run));
    /// ```
    pub fn begin(&self, id: RequestId, digest: BodyDigest, expires_at: Duration) -> DeskVerdict {
        let mut state = self.lock();
        match state.ledger.begin(id, digest, expires_at) {
            LedgerDecision::Run => DeskVerdict::Run,
            LedgerDecision::Ended(outcome) => DeskVerdict::Ended(outcome),
            LedgerDecision::Conflict => DeskVerdict::Conflict,
            LedgerDecision::Wait => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.entry(id).or_default().push(sender);
                DeskVerdict::Wait(receiver)
            }
        }
    }

    /// Records an outcome and tells all who wait for it.
    ///
    /// ```
    /// use greengagearch::process::entry::ledger_desk::LedgerDesk;
    /// use greengagearch::request::outcome::NotRunReason;
    /// use greengagearch::request::outcome::RequestOutcome;
    ///
    /// let outcome = RequestOutcome::not_run(NotRunReason::NoEndpoint);
    /// LedgerDesk::default().end(uuid::Uuid::now_v7(), &outcome);
    /// ```
    pub fn end(&self, id: RequestId, outcome: &RequestOutcome) {
        let mut state = self.lock();
        state.ledger.end(id, outcome);
        for sender in state.waiting.remove(&id).unwrap_or_default() {
            // Whoever waited may have gone.
            let _ = sender.send(outcome.clone());
        }
    }

    /// Forgets ids whose time has come; gives the number of those that are kept.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::process::entry::ledger_desk::LedgerDesk;
    ///
    /// assert_eq!(LedgerDesk::default().remove_expired(Duration::ZERO), 0);
    /// ```
    pub fn remove_expired(&self, now: Duration) -> usize {
        let mut state = self.lock();
        state.ledger.remove_expired(now);
        state.ledger.len()
    }

    fn lock(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
