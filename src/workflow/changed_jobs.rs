//! First-in, first-out queue of the jobs whose rows have to be written to the store.
//!
//! A transaction writes a few dozen jobs. While the store is slow, more jobs change during one
//! write than fit into the next. If they were written in the order of their names, the starts and
//! ends of the last names would be delayed until the store recovers.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::ids::JobId;

/// Jobs with unwritten changes, in the order of their first unwritten change.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangedJobs {
    by_sequence: BTreeMap<u64, JobId>,
    sequences: HashMap<JobId, u64>,
    next_sequence: u64,
}

impl ChangedJobs {
    /// Adds a job at the end of the queue; a queued job keeps its position.
    pub(crate) fn insert(&mut self, job: JobId) {
        if self.sequences.contains_key(&job) {
            return;
        }
        self.sequences.insert(job.clone(), self.next_sequence);
        self.by_sequence.insert(self.next_sequence, job);
        self.next_sequence += 1;
    }

    /// The job at the head of the queue.
    pub(crate) fn first(&self) -> Option<&JobId> {
        self.by_sequence.values().next()
    }

    pub(crate) fn remove(&mut self, job: &str) {
        if let Some(sequence) = self.sequences.remove(job) {
            self.by_sequence.remove(&sequence);
        }
    }

    pub(crate) fn contains(&self, job: &str) -> bool {
        self.sequences.contains_key(job)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.sequences.is_empty()
    }
}
