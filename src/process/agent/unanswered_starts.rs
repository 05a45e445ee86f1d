//! Starts of attempts that got no answer: the worker may carry them out until their leases end.

use std::collections::HashMap;

use crate::connection::worker_row::WorkerRow;
use crate::connection::worker_row::task_name;
use crate::external::worker::AttemptKey;
use crate::external::worker::ResourceAmount;
use crate::external::worker::WorkerStatus;

/// Starts without an answer, with the ends of their leases on the worker's clock.
///
/// ```
/// use greengagearch::external::worker::AttemptKey;
/// use greengagearch::external::worker::WorkerStatus;
/// use greengagearch::process::agent::unanswered_starts::UnansweredStarts;
///
/// let key = AttemptKey { job: "j".into(), task: 0, attempt: 1 };
/// let mut starts = UnansweredStarts::default();
/// starts.insert(key.clone(), 500);
/// starts.drop_expired(499);
/// let status =
///     WorkerStatus { now_millis: 499, capacity: Default::default(), attempts: Vec::new() };
/// assert!(starts.may_begin(&key, &status));
/// starts.drop_expired(500);
/// assert!(starts.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct UnansweredStarts {
    lease_ends: HashMap<AttemptKey, u64>,
}

impl UnansweredStarts {
    /// Adds a start; of several of one attempt the latest lease counts.
    pub fn insert(&mut self, key: AttemptKey, until_millis: u64) {
        let until = self.lease_ends.entry(key).or_default();
        *until = until_millis.max(*until);
    }

    /// Drops the starts whose leases have ended.
    pub fn drop_expired(&mut self, now_millis: u64) {
        self.lease_ends.retain(|_, until| now_millis < *until);
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.lease_ends.is_empty()
    }

    /// Whether a start of this attempt got no answer.
    pub fn contains(&self, key: &AttemptKey) -> bool {
        self.lease_ends.contains_key(key)
    }

    /// Whether an attempt that the worker does not show may begin all the same.
    pub fn may_begin(&self, key: &AttemptKey, status: &WorkerStatus) -> bool {
        let is_shown = status.attempts.iter().any(|one| one.key == *key);
        !is_shown && self.contains(key)
    }

    /// What the starts hold as soon as they begin.
    ///
    /// ```
    /// use greengagearch::connection::worker_row::WorkerRow;
    /// use greengagearch::external::worker::WorkerStatus;
    /// use greengagearch::process::agent::unanswered_starts::UnansweredStarts;
    ///
    /// let status =
    ///     WorkerStatus { now_millis: 5_000, capacity: Default::default(), attempts: Vec::new() };
    /// let room = UnansweredStarts::default().room(&WorkerRow::default(), &status);
    /// assert_eq!(room.millicores, 0);
    /// ```
    pub fn room(&self, row: &WorkerRow, status: &WorkerStatus) -> ResourceAmount {
        let keys = self.lease_ends.keys().filter(|key| row.has_attempt(key));
        let keys = keys.filter(|key| self.may_begin(key, status));
        let tasks = keys.filter_map(|key| row.tasks.get(&task_name(&key.job, key.task)));
        tasks.fold(ResourceAmount::default(), |sum, task| sum.plus(&task.resources))
    }
}
