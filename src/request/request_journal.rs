//! What an agent remembers of the non-idempotent requests it was sent.
//!
//! The journal is what makes "at most once" hold when the owner of a partition changes: a new owner
//! asks the agents, and an agent that never saw an id writes a tombstone with the new owner's epoch.
//! From then on it refuses the id to owners of earlier epochs; the new owner may run it once.

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

/// What to do with a dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalDecision {
    /// It is new: run it, then call [`RequestJournal::end`].
    Run,
    /// It is being run: wait for its outcome.
    Wait,
    /// It ended before, like this.
    Ended(RequestOutcome),
    /// A later owner has settled it; the sender of this order must not run it.
    Refuse,
}

/// An agent's word on an id that may have been run by an earlier owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleAnswer {
    /// Never seen, and from now on refused to earlier owners.
    NeverRun,
    /// Still at work.
    Running,
    /// It ended like this.
    Ended(RequestOutcome),
    /// This agent's memory does not reach back to the id.
    CannotTell,
    /// This agent has just started and does not know yet what the run before it left.
    NotReady,
}

/// What one run of an agent passes on to the next when it stops gracefully.
///
/// Answers are left out: the next run only has to know that an id was run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalHandover {
    /// Epoch of the lease under which the journal was written.
    pub epoch: LeaseEpoch,
    /// Wall-clock time from which every dispatch is remembered.
    #[serde(rename = "remembers_since")]
    pub complete_since: Duration,
    /// Ids that were run, each with the time at which it may be forgotten.
    pub ids: Vec<(RequestId, Duration)>,
}

impl JournalHandover {
    /// What the run that left this would have answered about an id whose own time is `id_time`.
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

/// Whether a memory that begins at `since` holds every order for an id whose own time is `id_time`:
/// an id is accepted up to one skew ahead of an entry's clock, which may itself be one skew ahead
/// of the agent's.
fn is_complete_for(since: Duration, id_time: Duration) -> bool {
    id_time >= since + 2 * MAX_CLOCK_SKEW
}

/// Ids of non-idempotent requests at one agent.
#[derive(Debug, Default)]
pub struct RequestJournal {
    ids: ExpiringIdMap<JournalState>,
    /// Wall-clock time from which every dispatch is remembered.
    complete_since: Duration,
}

impl RequestJournal {
    /// An empty journal that can vouch for everything sent to it after `now`.
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

    /// Says that every dispatch from `time` on is remembered here, and none before for certain.
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

    /// Says that no run before this one ever took an order, so that every id is vouched for.
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

    /// What the next run of the agent has to know; nothing may be begun here any more.
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

    /// Takes over what the run just before this one knew, before anything is begun here.
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

    /// Looks up an order of the owner at `epoch` and marks it as running when it is new.
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

    /// Records how a dispatch ended; one that was not run is forgotten.
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

    /// Answers the question of the owner at `epoch` about an id whose own time is `id_time`; an id
    /// that was never seen gets a tombstone. All times are wall-clock times since the Unix epoch.
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

    /// Forgets ids whose time has come; running ones stay.
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

    /// Number of ids that are remembered.
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

    /// Whether no id is remembered.
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
    fn a_restarted_agent_cannot_vouch_for_older_ids() {
        let mut journal = RequestJournal::new(Duration::from_secs(100));
        let id = RequestId::now_v7();
        let answer =
            journal.settle(id, 2, Duration::from_millis(100_900), Duration::from_secs(200));
        assert_eq!(answer, SettleAnswer::CannotTell);
        assert_eq!(journal.begin(id, 1, Duration::from_secs(200)), JournalDecision::Refuse);
    }

    #[test]
    fn the_first_run_of_all_vouches_for_every_id() {
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
    fn the_next_run_vouches_for_what_was_handed_over() {
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
    fn a_tombstone_is_kept_for_its_window() {
        let mut journal = RequestJournal::new(Duration::ZERO);
        let id = RequestId::now_v7();
        journal.settle(id, 2, Duration::from_secs(20), Duration::from_secs(30));
        journal.remove_expired(Duration::from_secs(29));
        assert_eq!(journal.begin(id, 1, Duration::from_secs(30)), JournalDecision::Refuse);
    }
}
