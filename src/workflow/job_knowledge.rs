//! How long starts may be sent and carried out on what the planner knows of their jobs.
//!
//! A caller whose cancel was accepted is promised that no task of the job starts later than the
//! cancel limit. The planner learns of a cancel from the feed of jobs, which may be silent for
//! seconds while its writes and orders come through. Each start is therefore bound to the time at
//! which the store has last confirmed the row of its job: it is sent only while that is recent, and
//! it is valid at its worker for the rest of the limit only.

use std::time::Duration;
use std::time::Instant;

/// Parts of the limit: the age of what is known of a job from which a start of it is stored only on
/// condition that the job's row has not changed, the greatest age when the start is sent, and the
/// age at which it is no longer carried out. The remainder covers the agent's call to its runner and
/// the drift of the clocks.
const CONDITION_AGE_SHARE: f64 = 0.3;
const MAX_AGE_SHARE: f64 = 0.6;
const VALIDITY_SHARE: f64 = 0.9;

/// What the planner knows of all jobs, and the limit that it is bound by.
#[derive(Clone, Copy, Debug)]
pub struct JobKnowledge {
    cancel_limit: Duration,
    /// Time by which all changes of jobs that the store had applied are known.
    confirmed_at: Instant,
    /// Since when starts have been held back because too little is known of their jobs.
    held_since: Option<Instant>,
}

/// A change in whether starts are held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldChange {
    /// The first start is held back.
    Begins,
    /// No start is held back any more, after this time.
    Ends(Duration),
}

impl JobKnowledge {
    /// Creates the knowledge of a planner that has read all jobs with calls sent from `read_at` on.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::job_knowledge::JobKnowledge;
    ///
    /// let now = Instant::now();
    /// let knowledge = JobKnowledge::new(Duration::from_secs(3), now);
    /// assert_eq!(knowledge.age(None, now), Duration::ZERO);
    /// ```
    pub fn new(cancel_limit: Duration, read_at: Instant) -> JobKnowledge {
        JobKnowledge { cancel_limit, confirmed_at: read_at, held_since: None }
    }

    /// Records that all changes of jobs are known that the store had applied by `confirmed_at`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::job_knowledge::JobKnowledge;
    ///
    /// let now = Instant::now();
    /// let mut knowledge = JobKnowledge::new(Duration::from_secs(3), now);
    /// knowledge.confirm(now + Duration::from_secs(5));
    /// assert_eq!(knowledge.age(None, now + Duration::from_secs(6)), Duration::from_secs(1));
    /// ```
    pub fn confirm(&mut self, confirmed_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    /// Returns the age of what is known of a job whose row the store has confirmed by itself at
    /// `row_confirmed_at`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::job_knowledge::JobKnowledge;
    ///
    /// let read_at = Instant::now();
    /// let knowledge = JobKnowledge::new(Duration::from_secs(3), read_at);
    /// let now = read_at + Duration::from_secs(9);
    /// let row_confirmed_at = Some(read_at + Duration::from_secs(8));
    /// assert_eq!(knowledge.age(row_confirmed_at, now), Duration::from_secs(1));
    /// ```
    pub fn age(&self, row_confirmed_at: Option<Instant>, now: Instant) -> Duration {
        now.saturating_duration_since(self.known_at(row_confirmed_at))
    }

    /// Returns whether a start of such a job is stored on condition that its row has not changed.
    /// While the feed confirms its state, a write needs no such conditions, which are limited.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::job_knowledge::JobKnowledge;
    ///
    /// let now = Instant::now();
    /// let knowledge = JobKnowledge::new(Duration::from_secs(3), now);
    /// assert!(!knowledge.needs_condition(None, now));
    /// assert!(knowledge.needs_condition(None, now + Duration::from_secs(1)));
    /// ```
    pub fn needs_condition(&self, row_confirmed_at: Option<Instant>, now: Instant) -> bool {
        self.age(row_confirmed_at, now) >= self.cancel_limit.mul_f64(CONDITION_AGE_SHARE)
    }

    /// Returns the time until which a start of such a job may be carried out; `None` if too little
    /// is known of the job to send the start.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::job_knowledge::JobKnowledge;
    ///
    /// let now = Instant::now();
    /// let knowledge = JobKnowledge::new(Duration::from_secs(3), now);
    /// assert_eq!(knowledge.start_deadline(None, now), Some(now + Duration::from_millis(2_700)));
    /// assert_eq!(knowledge.start_deadline(None, now + Duration::from_secs(2)), None);
    /// ```
    pub fn start_deadline(
        &self,
        row_confirmed_at: Option<Instant>,
        now: Instant,
    ) -> Option<Instant> {
        let is_recent = self.age(row_confirmed_at, now) < self.cancel_limit.mul_f64(MAX_AGE_SHARE);
        let validity = self.cancel_limit.mul_f64(VALIDITY_SHARE);
        is_recent.then(|| self.known_at(row_confirmed_at) + validity)
    }

    /// Records whether any start is held back now. Returns the change, if there is one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::job_knowledge::HoldChange;
    /// use greengagearch::workflow::job_knowledge::JobKnowledge;
    ///
    /// let now = Instant::now();
    /// let mut knowledge = JobKnowledge::new(Duration::from_secs(3), now);
    /// assert_eq!(knowledge.record_hold(true, now), Some(HoldChange::Begins));
    /// assert_eq!(knowledge.record_hold(true, now), None);
    /// ```
    pub fn record_hold(&mut self, is_holding: bool, now: Instant) -> Option<HoldChange> {
        match (self.held_since, is_holding) {
            (None, true) => {
                self.held_since = Some(now);
                Some(HoldChange::Begins)
            }
            (Some(since), false) => {
                self.held_since = None;
                Some(HoldChange::Ends(now.saturating_duration_since(since)))
            }
            (None, false) | (Some(_), true) => None,
        }
    }

    fn known_at(&self, row_confirmed_at: Option<Instant>) -> Instant {
        row_confirmed_at.map_or(self.confirmed_at, |at| at.max(self.confirmed_at))
    }
}
