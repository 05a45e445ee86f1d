//! Bound on the placement searches that the planner makes before its loop handles other events.
//!
//! Answers the load after an outage or a takeover, when thousands of tasks wait at once. A round of
//! planning that searches a place for each of them takes seconds on a weak host; without a bound
//! the owner would write no heartbeat meanwhile and be replaced by another host, which then does the
//! same. The number of searches adapts to the time that they take on this host and at this size of
//! the fleet.

use std::time::Duration;

/// Time that the searches of one slice may take. Heartbeats are due every 0.4 s, and between two of
/// them the loop also has to take in reports and write batches.
const SLICE_TARGET: Duration = Duration::from_millis(50);
/// Searches of the first slice: enough for the jobs that arrive in a second.
const FIRST_SEARCHES: usize = 256;
/// Lower bound, so that a host that was suspended during a slice continues at a useful rate.
const MIN_SEARCHES: usize = 16;
/// Upper bound, above the number of tasks that a fleet can run.
const MAX_SEARCHES: usize = 1 << 16;

/// Number of searches of the next slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearchBudget {
    searches: usize,
}

impl Default for SearchBudget {
    fn default() -> SearchBudget {
        SearchBudget { searches: FIRST_SEARCHES }
    }
}

impl SearchBudget {
    /// Returns the number of searches of the next slice.
    ///
    /// ```
    /// assert!(greengagearch::workflow::search_budget::SearchBudget::default().searches() > 0);
    /// ```
    pub fn searches(self) -> usize {
        self.searches
    }

    /// Adapts the budget to a slice that took `elapsed`. `was_used_up` tells whether the slice ended
    /// because of the budget; only then more searches would have been made.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::workflow::search_budget::SearchBudget;
    ///
    /// let mut budget = SearchBudget::default();
    /// let before = budget.searches();
    /// budget.on_slice(true, Duration::from_millis(500));
    /// assert!(budget.searches() < before);
    /// ```
    pub fn on_slice(&mut self, was_used_up: bool, elapsed: Duration) {
        let adapted = if elapsed > SLICE_TARGET {
            (self.searches as f64 * SLICE_TARGET.as_secs_f64() / elapsed.as_secs_f64()) as usize
        } else if was_used_up && elapsed < SLICE_TARGET / 2 {
            self.searches * 2
        } else {
            self.searches
        };
        self.searches = adapted.clamp(MIN_SEARCHES, MAX_SEARCHES);
    }
}
