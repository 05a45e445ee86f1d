//! Bound on the time that a job waits for its first task, relative to its objective.

use std::collections::BTreeMap;
use std::collections::HashSet;

use crate::ids::JobId;
use crate::ids::ServiceName;

/// Part of a service's capacity that jobs whose wait exceeded the bound get at a time, so that a
/// flood of them leaves three quarters to the jobs that can still be in time.
const MAX_CAPACITY_SHARE: f64 = 0.25;

/// A job whose wait exceeds the bound, or that has begun because it did.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitCandidate {
    /// The job.
    pub job: JobId,
    /// Service on whose workers it runs.
    pub service: ServiceName,
    /// Whether it has begun because its wait exceeded the bound.
    pub has_begun: bool,
    /// Its wait as a multiple of its objective.
    pub relative_wait: f64,
    /// Share of the service's capacity that its unfinished tasks request.
    pub share: f64,
}

/// Bound on the wait of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitBound {
    /// Multiple of its objective after which a job that has not begun comes first.
    pub longest_wait: f64,
}

impl WaitBound {
    /// Whether a wait exceeds the bound of a job with this objective, both in milliseconds. The
    /// objective grows with the size of the job, and so does the bound.
    ///
    /// ```
    /// use greengagearch::workflow::fair_share::wait_bound::WaitBound;
    ///
    /// let bound = WaitBound { longest_wait: 3.0 };
    /// assert!(bound.is_exceeded(3_100, 1_000));
    /// assert!(!bound.is_exceeded(3_100, 2_000));
    /// ```
    pub fn is_exceeded(&self, waited_ms: u64, objective_ms: u64) -> bool {
        waited_ms as f64 > self.longest_wait * objective_ms as f64
    }

    /// Selects the jobs that come first in their priority: those that have begun because of the
    /// bound, then those that have waited longest relative to their objective, as far as a quarter
    /// of the capacity goes. Of the jobs of a service one is always selected, however large it is.
    /// `fits` tells whether any worker could run the job; others must not take up the quarter.
    ///
    /// ```
    /// use greengagearch::workflow::fair_share::wait_bound::WaitBound;
    ///
    /// assert!(WaitBound { longest_wait: 3.0 }.select(Vec::new(), |_| true).is_empty());
    /// ```
    pub fn select(
        &self,
        mut candidates: Vec<WaitCandidate>,
        fits: impl Fn(&WaitCandidate) -> bool,
    ) -> HashSet<JobId> {
        candidates.sort_by(|a, b| {
            let begun_first = b.has_begun.cmp(&a.has_begun);
            let longest_first = b.relative_wait.total_cmp(&a.relative_wait);
            begun_first.then(longest_first).then_with(|| a.job.cmp(&b.job))
        });
        let mut taken: BTreeMap<ServiceName, f64> = BTreeMap::new();
        let mut full_services: HashSet<ServiceName> = HashSet::new();
        let mut selected = HashSet::new();
        for candidate in candidates {
            let taken_here = taken.get(&candidate.service).copied();
            let has_room =
                taken_here.is_none_or(|taken| taken + candidate.share <= MAX_CAPACITY_SHARE);
            if !candidate.has_begun {
                if full_services.contains(&candidate.service) || !fits(&candidate) {
                    continue;
                }
                if !has_room {
                    // Smaller jobs behind it do not overtake it, else it might never begin.
                    full_services.insert(candidate.service);
                    continue;
                }
            }
            *taken.entry(candidate.service).or_default() += candidate.share;
            selected.insert(candidate.job);
        }
        selected
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOUND: WaitBound = WaitBound { longest_wait: 3.0 };

    fn candidate(job: &str, has_begun: bool, relative_wait: f64, share: f64) -> WaitCandidate {
        let (job, service) = (job.to_string(), "s".to_string());
        WaitCandidate { job, service, has_begun, relative_wait, share }
    }

    fn select(candidates: Vec<WaitCandidate>) -> Vec<JobId> {
        let mut selected: Vec<JobId> = BOUND.select(candidates, |_| true).into_iter().collect();
        selected.sort();
        selected
    }

    /// Guards against a flood of large jobs that displaces all others once it has waited.
    #[test]
    fn a_flood_gets_a_quarter_of_the_capacity_and_the_longest_wait_comes_first() {
        let jobs = (0..20).map(|n| candidate(&format!("{n:02}"), false, 3.0 + f64::from(n), 0.1));
        assert_eq!(select(jobs.collect()), ["18", "19"]);
    }

    /// Guards against a job that is larger than a quarter of the capacity and never begins.
    #[test]
    fn one_job_is_selected_however_large_it_is() {
        let large = vec![candidate("a", false, 4.0, 0.9), candidate("b", false, 5.0, 0.9)];
        assert_eq!(select(large), ["b"]);
    }

    /// Guards against a job that begins by the bound and loses its place half-way.
    #[test]
    fn a_job_that_has_begun_keeps_its_place() {
        let jobs = vec![candidate("a", true, 3.1, 0.2), candidate("b", false, 9.0, 0.1)];
        assert_eq!(select(jobs), ["a"]);
    }

    /// Guards against a job that no worker can run taking up the quarter for good.
    #[test]
    fn a_job_that_fits_nowhere_is_left_out() {
        let jobs = vec![candidate("a", false, 9.0, 0.2), candidate("b", false, 4.0, 0.2)];
        let selected = BOUND.select(jobs, |candidate| candidate.job != "a");
        assert_eq!(selected.into_iter().collect::<Vec<JobId>>(), ["b"]);
    }
}
