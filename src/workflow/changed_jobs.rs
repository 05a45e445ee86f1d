//! Jobs whose rows have to be written, the one that has waited longest first.
//!
//! A transaction holds a few dozen jobs. While the store is slow more jobs change during one write than the next one holds; taken by
//! their names, those at the end of the alphabet would wait until it is well again, with their starts and ends.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::ids::JobId;

/// Jobs that have changed, in the order in which they did.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangedJobs {
    by_turn: BTreeMap<u64, JobId>,
    turns: HashMap<JobId, u64>,
    next_turn: u64,
}

impl ChangedJobs {
    /// Adds a job; one that waits keeps its turn.
    pub(crate) fn insert(&mut self, job: JobId) {
        if self.turns.contains_key(&job) {
            return;
        }
        self.turns.insert(job.clone(), self.next_turn);
        self.by_turn.insert(self.next_turn, job);
        self.next_turn += 1;
    }

    /// The job that has waited longest.
    pub(crate) fn first(&self) -> Option<&JobId> {
        self.by_turn.values().next()
    }

    /// Takes a job out.
    pub(crate) fn remove(&mut self, job: &str) {
        if let Some(turn) = self.turns.remove(job) {
            self.by_turn.remove(&turn);
        }
    }

    /// Whether a job waits.
    pub(crate) fn contains(&self, job: &str) -> bool {
        self.turns.contains_key(job)
    }

    /// Whether no job waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}
