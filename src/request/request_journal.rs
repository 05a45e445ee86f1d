//! Journal of the non-idempotent requests that were dispatched to an agent.
//!
//! The journal ensures that a request runs at most once when the owner of its partition changes.
//! The new owner first settles the request id: it asks the agents whether an earlier owner had it
//! run. An agent that has no entry for the id records a tombstone with the new owner's epoch. From
//! then on it refuses the id to owners of earlier epochs, while the new owner may dispatch it once.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::LeaseEpoch;
use crate::ids::RequestId;
use crate::request::expiring_id_map::ExpiringIdMap;
use crate::request::outcome::RequestOutcome;
use crate::request::outcome::UnknownReason;
use crate::request::request_id::MAX_CLOCK_SKEW;

#[derive(Clone, Debug)]
enum JournalState {
    Running,
    Ended(RequestOutcome),
    Tombstone(LeaseEpoch),
}

/// What to do with a dispatched request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalDecision {
    /// The id is new: run the request, then call [`RequestJournal::end`].
    Run,
    /// The request is running: wait for its outcome.
    Wait,
    /// The request has already ended with this outcome.
    Ended(RequestOutcome),
    /// A later owner has settled the id: do not run the request.
    Refuse,
}

/// Answer of an agent to a new owner that settles an id, which an earlier owner may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleAnswer {
    /// The id was never run here, and is from now on refused to earlier owners.
    NeverRun,
    /// The request is running.
    Running,
    /// The request ended with this outcome.
    Ended(RequestOutcome),
    /// The journal does not reach back to the creation of the id.
    CannotTell,
    /// The agent has just started and has not yet read the journal of its previous run.
    NotReady,
}

/// Journal that an agent stores at a graceful stop, to be read by the next run of the agent.
///
/// Responses are left out: the next run only has to know that an id was run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalHandover {
    /// Epoch of the worker lease under which the journal was written.
    pub epoch: LeaseEpoch,
    /// Wall-clock time from which the journal contains every dispatch.
    #[serde(rename = "remembers_since")]
    pub complete_since: Duration,
    /// Ids that were run, each with its expiry time.
    pub ids: Vec<(RequestId, Duration)>,
}

impl JournalHandover {
    /// Answer that the previous run would have given about an id created at `id_time`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::request_journal::RequestJournal;
    /// use greengagearch::request::request_journal::SettleAnswer;
    ///
    /// let handover = RequestJournal::new(Duration::ZERO).export_handover(1);
    /// let answer = handover.answer(&uuid::Uuid::now_v7(), Duration::from_secs(60));
    /// assert_eq!(answer, SettleAnswer::NeverRun);
    /// ```
    pub fn answer(&self, id: &RequestId, id_time: Duration) -> SettleAnswer {
        if self.ids.iter().any(|(known, _)| known == id) {
            SettleAnswer::Ended(RequestOutcome::Unknown(UnknownReason::AnswerLost))
        } else if is_complete_for(self.complete_since, id_time) {
            SettleAnswer::NeverRun
        } else {
            SettleAnswer::CannotTell
        }
    }
}

/// Whether a journal that is complete from `since` contains every dispatch of an id created at
/// `id_time`. An id is accepted up to one clock skew ahead of an entry's clock, which itself may be
/// one clock skew ahead of the agent's.
fn is_complete_for(since: Duration, id_time: Duration) -> bool {
    id_time >= since + 2 * MAX_CLOCK_SKEW
}

/// Journal of the non-idempotent requests at one agent.
#[derive(Debug, Default)]
pub struct RequestJournal {
    ids: ExpiringIdMap<JournalState>,
    /// Wall-clock time from which the journal contains every dispatch.
    complete_since: Duration,
}

impl RequestJournal {
    /// Creates an empty journal that is complete from `now`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::request_journal::RequestJournal;
    ///
    /// assert_eq!(RequestJournal::new(Duration::ZERO).len(), 0);
    /// ```
    pub fn new(now: Duration) -> RequestJournal {
        RequestJournal { ids: ExpiringIdMap::default(), complete_since: now }
    }

    /// Marks the journal as complete only from `time` on: an earlier dispatch may be missing.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::request_journal::RequestJournal;
    ///
    /// RequestJournal::new(Duration::ZERO).set_complete_from(Duration::from_secs(1));
    /// ```
    pub fn set_complete_from(&mut self, time: Duration) {
        self.complete_since = self.complete_since.max(time);
    }

    /// Marks the journal as complete for all time: no earlier run of the agent accepted a dispatch.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::request_journal::RequestJournal;
    ///
    /// RequestJournal::new(Duration::from_secs(9)).set_complete();
    /// ```
    pub fn set_complete(&mut self) {
        self.complete_since = Duration::ZERO;
    }

    /// Exports the journal for the next run of the agent; no request may begin here afterwards.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::request_journal::RequestJournal;
    ///
    /// assert!(RequestJournal::new(Duration::ZERO).export_handover(1).ids.is_empty());
    /// ```
    pub fn export_handover(&self, epoch: LeaseEpoch) -> JournalHandover {
        let ran = self.ids.iter().filter(|(_, state, _)| {
            matches!(state, JournalState::Running | JournalState::Ended(_))
        });
        JournalHandover {
            epoch,
            complete_since: self.complete_since,
            ids: ran.map(|(id, _, expires_at)| (*id, expires_at)).collect(),
        }
    }

    /// Imports the journal of the previous run; has to be called before any request begins here.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::request_journal::RequestJournal;
    ///
    /// let before = RequestJournal::new(Duration::ZERO).export_handover(1);
    /// RequestJournal::new(Duration::from_secs(9)).import_handover(before);
    /// ```
    pub fn import_handover(&mut self, handover: JournalHandover) {
        self.complete_since = handover.complete_since;
        let outcome = RequestOutcome::Unknown(UnknownReason::AnswerLost);
        for (id, expires_at) in handover.ids {
            if self.ids.get(&id).is_none() {
                self.ids.set(id, JournalState::Ended(outcome.clone()), expires_at);
            }
        }
    }

    /// Looks up a request dispatched by the owner at `epoch`, and records it as running if it is
    /// new.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::request_journal::JournalDecision;
    /// use greengagearch::request::request_journal::RequestJournal;
    ///
    /// let mut journal = RequestJournal::new(Duration::ZERO);
    /// let id = uuid::Uuid::now_v7();
    /// assert_eq!(journal.begin(id, 1, Duration::MAX), JournalDecision::Run);
    /// assert_eq!(journal.begin(id, 1, Duration::MAX), JournalDecision::Wait);
    /// ```
    pub fn begin(
        &mut self,
        id: RequestId,
        epoch: LeaseEpoch,
        expires_at: Duration,
    ) -> JournalDecision {
        match self.ids.get(&id) {
            Some(JournalState::Running) => JournalDecision::Wait,
            Some(JournalState::Ended(outcome)) => JournalDecision::Ended(outcome.clone()),
            Some(JournalState::Tombstone(newest)) if epoch < *newest => JournalDecision::Refuse,
            Some(JournalState::Tombstone(_)) | None => {
                self.ids.set(id, JournalState::Running, expires_at);
                JournalDecision::Run
            }
        }
    }

    /// Records the outcome of a request; one that was not run is removed.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::outcome::NotRunReason;
    /// use greengagearch::request::outcome::RequestOutcome;
    /// use greengagearch::request::request_journal::RequestJournal;
    ///
    /// let mut journal = RequestJournal::new(Duration::ZERO);
    /// let id = uuid::Uuid::now_v7();
    /// journal.begin(id, 1, Duration::MAX);
    /// journal.end(id, &RequestOutcome::not_run(NotRunReason::SlotsFull));
    /// assert_eq!(journal.len(), 0);
    /// ```
    pub fn end(&mut self, id: RequestId, outcome: &RequestOutcome) {
        if let RequestOutcome::NotRun { .. } = outcome {
            self.ids.remove(&id);
        } else {
            self.ids.change(&id, JournalState::Ended(outcome.clone()));
        }
    }

    /// Settles an id created at `id_time` for the owner at `epoch`: returns whether it was run
    /// here, and records a tombstone if the journal has no entry for it. All times are wall-clock
    /// times since the Unix epoch.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::request_journal::JournalDecision;
    /// use greengagearch::request::request_journal::RequestJournal;
    /// use greengagearch::request::request_journal::SettleAnswer;
    ///
    /// let mut journal = RequestJournal::new(Duration::ZERO);
    /// let id = uuid::Uuid::now_v7();
    /// let answer = journal.settle(id, 2, Duration::from_secs(60), Duration::MAX);
    /// assert_eq!(answer, SettleAnswer::NeverRun);
    /// assert_eq!(journal.begin(id, 1, Duration::MAX), JournalDecision::Refuse);
    /// ```
    pub fn settle(
        &mut self,
        id: RequestId,
        epoch: LeaseEpoch,
        id_time: Duration,
        expires_at: Duration,
    ) -> SettleAnswer {
        let epoch = match self.ids.get(&id) {
            Some(JournalState::Running) => return SettleAnswer::Running,
            Some(JournalState::Ended(outcome)) => return SettleAnswer::Ended(outcome.clone()),
            Some(JournalState::Tombstone(newest)) => epoch.max(*newest),
            None => epoch,
        };
        self.ids.set(id, JournalState::Tombstone(epoch), expires_at);
        if is_complete_for(self.complete_since, id_time) {
            SettleAnswer::NeverRun
        } else {
            SettleAnswer::CannotTell
        }
    }

    /// Removes expired ids, except for those that are running.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::request_journal::RequestJournal;
    ///
    /// RequestJournal::new(Duration::ZERO).remove_expired(Duration::from_secs(1));
    /// ```
    pub fn remove_expired(&mut self, now: Duration) {
        self.ids.remove_expired(now, |state| matches!(state, JournalState::Running));
    }

    /// Number of ids in the journal.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::request_journal::RequestJournal;
    ///
    /// assert_eq!(RequestJournal::new(Duration::ZERO).len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether the journal contains no ids.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::request::request_journal::RequestJournal;
    ///
    /// assert!(RequestJournal::new(Duration::ZERO).is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use assert_matches::assert_matches;

    use super::*;

    #[test]
    fn a_restarted_agent_cannot_tell_about_older_ids() {
        let mut journal = RequestJournal::new(Duration::from_secs(100));
        let id = RequestId::now_v7();
        let answer =
            journal.settle(id, 2, Duration::from_millis(100_900), Duration::from_secs(200));
        assert_eq!(answer, SettleAnswer::CannotTell);
        assert_eq!(journal.begin(id, 1, Duration::from_secs(200)), JournalDecision::Refuse);
    }

    #[test]
    fn the_first_run_settles_ids_of_any_age() {
        let mut journal = RequestJournal::new(Duration::from_secs(100));
        journal.set_complete();
        let id = RequestId::now_v7();
        let answer = journal.settle(id, 2, Duration::from_secs(99), Duration::from_secs(200));
        assert_eq!(answer, SettleAnswer::NeverRun);
    }

    #[test]
    fn the_owner_that_settled_an_id_may_run_it_once() {
        let mut journal = RequestJournal::new(Duration::ZERO);
        let id = RequestId::now_v7();
        journal.settle(id, 2, Duration::from_secs(20), Duration::from_secs(30));
        assert_eq!(journal.begin(id, 1, Duration::from_secs(30)), JournalDecision::Refuse);
        assert_eq!(journal.begin(id, 2, Duration::from_secs(30)), JournalDecision::Run);
        assert_eq!(journal.begin(id, 2, Duration::from_secs(30)), JournalDecision::Wait);
    }

    #[test]
    fn the_next_run_settles_ids_of_the_imported_journal() {
        let mut before = RequestJournal::new(Duration::ZERO);
        let (ran, fresh) = (RequestId::now_v7(), RequestId::now_v7());
        before.begin(ran, 1, Duration::from_secs(90));
        let mut after = RequestJournal::new(Duration::from_secs(50));
        after.import_handover(before.export_handover(1));
        let (time, expires_at) = (Duration::from_secs(49), Duration::from_secs(90));
        assert_eq!(after.settle(fresh, 2, time, expires_at), SettleAnswer::NeverRun);
        assert_matches!(after.settle(ran, 2, time, expires_at), SettleAnswer::Ended(_));
        assert_matches!(after.begin(ran, 2, expires_at), JournalDecision::Ended(_));
    }

    #[test]
    fn a_tombstone_is_kept_until_it_expires() {
        let mut journal = RequestJournal::new(Duration::ZERO);
        let id = RequestId::now_v7();
        journal.settle(id, 2, Duration::from_secs(20), Duration::from_secs(30));
        journal.remove_expired(Duration::from_secs(29));
        assert_eq!(journal.begin(id, 1, Duration::from_secs(30)), JournalDecision::Refuse);
    }
}
