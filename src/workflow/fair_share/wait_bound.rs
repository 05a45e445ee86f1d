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
    /// Time since its wait exceeded the bound, in milliseconds.
    pub overdue_ms: u64,
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
    /// Time by which a wait exceeds the bound of a job with this objective, all in milliseconds;
    /// `None` if it does not. The objective grows with the size of the job, and so does the bound.
    ///
    /// ```
    /// use greengagearch::workflow::fair_share::wait_bound::WaitBound;
    ///
    /// let bound = WaitBound { longest_wait: 3.0 };
    /// assert_eq!(bound.overdue_ms(3_100, 1_000), Some(100));
    /// assert_eq!(bound.overdue_ms(3_100, 2_000), None);
    /// ```
    pub fn overdue_ms(&self, waited_ms: u64, objective_ms: u64) -> Option<u64> {
        // The conversion saturates.
        let limit_ms = (self.longest_wait * objective_ms as f64) as u64;
        waited_ms.checked_sub(limit_ms).filter(|overdue_ms| *overdue_ms > 0)
    }

    /// Selects the jobs that come first in their priority: those that have begun because of the
    /// bound, then those that exceeded it first, as far as a quarter of the capacity goes. In an
    /// order by the multiple of the objective, a large job would stay behind all small ones. Of the
    /// jobs of a service one is always selected, however large it is.
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
        mut fits: impl FnMut(&WaitCandidate) -> bool,
    ) -> HashSet<JobId> {
        candidates.sort_by(|a, b| {
            let begun_first = b.has_begun.cmp(&a.has_begun);
            let longest_first = b.overdue_ms.cmp(&a.overdue_ms);
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

    fn candidate(job: &str, has_begun: bool, overdue_ms: u64, share: f64) -> WaitCandidate {
        let (job, service) = (job.to_string(), "s".to_string());
        WaitCandidate { job, service, has_begun, overdue_ms, share }
    }

    fn select(candidates: Vec<WaitCandidate>) -> Vec<JobId> {
        let mut selected: Vec<JobId> = BOUND.select(candidates, |_| true).into_iter().collect();
        selected.sort();
        selected
    }

    /// Guards against a flood of large jobs that displaces all others once it has waited.
    #[test]
    fn a_flood_gets_a_quarter_of_the_capacity_and_the_longest_wait_comes_first() {
        let jobs = (0..20).map(|n| candidate(&format!("{n:02}"), false, 300 + n, 0.1));
        assert_eq!(select(jobs.collect()), ["18", "19"]);
    }

    /// Guards against a job that is larger than a quarter of the capacity and never begins.
    #[test]
    fn one_job_is_selected_however_large_it_is() {
        let large = vec![candidate("a", false, 400, 0.9), candidate("b", false, 500, 0.9)];
        assert_eq!(select(large), ["b"]);
    }

    /// Guards against a job that begins by the bound and loses its place half-way.
    #[test]
    fn a_job_that_has_begun_keeps_its_place() {
        let jobs = vec![candidate("a", true, 10, 0.2), candidate("b", false, 900, 0.1)];
        assert_eq!(select(jobs), ["a"]);
    }

    /// Guards against a large job that smaller ones overtake whenever a little room is left.
    #[test]
    fn smaller_jobs_do_not_overtake_the_one_that_waits_for_room() {
        let jobs = vec![
            candidate("a", true, 10, 0.1),
            candidate("b", false, 900, 0.2),
            candidate("c", false, 500, 0.05),
        ];
        assert_eq!(select(jobs), ["a"]);
    }

    /// Guards against a job that no worker can run taking up the quarter for good.
    #[test]
    fn a_job_that_fits_nowhere_is_left_out() {
        let jobs = vec![candidate("a", false, 900, 0.2), candidate("b", false, 400, 0.2)];
        let selected = BOUND.select(jobs, |candidate| candidate.job != "a");
        assert_eq!(selected.into_iter().collect::<Vec<JobId>>(), ["b"]);
    }
}
