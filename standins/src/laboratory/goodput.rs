//! What came of the jobs that were offered: how much of their worth was served, and where the work went.

use crate::laboratory::offered_job::OfferedJob;

/// Share of its worth that a job earns which is late, up to three times its objective.
const LATE_SHARE: f64 = 0.15;
/// Multiple of the objective up to which a job is late, and after which it earns nothing.
const LATE_UNTIL: u64 = 3;

/// The goodput of one played span.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GoodputReport {
    /// Jobs that were offered, and those of them that were in time.
    pub offered: usize,
    /// See `offered`.
    pub in_time: usize,
    /// Worth that was offered, and earned.
    pub worth: f64,
    /// See `worth`.
    pub earned: f64,
    /// Work that was offered, done in all, and done for jobs that were in time, in core-milliseconds.
    pub offered_work: f64,
    /// See `offered_work`.
    pub done_work: f64,
    /// See `offered_work`.
    pub in_time_work: f64,
    /// Share of their time in which serving tasks were over their target.
    pub over_target: f64,
    /// Worth of the best choice of jobs whose work is at most `done_work`: a bound, since it knows all and no job
    /// has a deadline in it.
    pub bound: f64,
    /// Jobs of the largest tenth that were offered, and those of them that ended before they had lost all worth.
    pub largest: usize,
    /// See `largest`.
    pub largest_served: usize,
    /// Jobs of all sizes that ended before they had lost all worth.
    pub served: usize,
}

impl GoodputReport {
    /// Share of the worth that was earned.
    ///
    /// ```
    /// use greengagearch_standins::laboratory::goodput::GoodputReport;
    ///
    /// let report = GoodputReport { worth: 4.0, earned: 1.0, ..GoodputReport::default() };
    /// assert_eq!(report.earned_share(), 0.25);
    /// ```
    pub fn earned_share(&self) -> f64 {
        self.earned / self.worth.max(f64::MIN_POSITIVE)
    }

    /// Share of the offered work that was done.
    ///
    /// ```
    /// use greengagearch_standins::laboratory::goodput::GoodputReport;
    ///
    /// let report = GoodputReport { offered_work: 4.0, done_work: 1.0, ..GoodputReport::default() };
    /// assert_eq!(report.done_share(), 0.25);
    /// ```
    pub fn done_share(&self) -> f64 {
        self.done_work / self.offered_work.max(f64::MIN_POSITIVE)
    }

    /// How often the largest tenth is served, relative to all jobs; 1 where size makes no difference.
    ///
    /// ```
    /// use greengagearch_standins::laboratory::goodput::GoodputReport;
    ///
    /// let report = GoodputReport { offered: 20, served: 10, largest: 2, largest_served: 1, ..GoodputReport::default() };
    /// assert_eq!(report.largest_ratio(), 1.0);
    /// ```
    pub fn largest_ratio(&self) -> f64 {
        let share = |served: usize, offered: usize| served as f64 / offered.max(1) as f64;
        let all = share(self.served, self.offered);
        if all > 0.0 { share(self.largest_served, self.largest) / all } else { 0.0 }
    }

    /// Counts the jobs that were served before they had lost all worth, and those of the largest tenth.
    pub(crate) fn count_largest(&mut self, mut ages_ms: Vec<(&OfferedJob, Option<u64>)>) {
        ages_ms.sort_by(|(a, _), (b, _)| b.work().total_cmp(&a.work()));
        let is_served = |(job, age_ms): &&(&OfferedJob, Option<u64>)| {
            age_ms.is_some_and(|age_ms| age_ms <= LATE_UNTIL * job.objective_ms())
        };
        self.largest = ages_ms.len().div_ceil(10);
        self.largest_served = ages_ms.iter().take(self.largest).filter(is_served).count();
        self.served = ages_ms.iter().filter(is_served).count();
    }

    /// Counts a job that ended so long after it was handed in, or that did not end.
    pub(crate) fn count(&mut self, job: &OfferedJob, age_ms: Option<u64>) {
        self.offered += 1;
        self.worth += job.worth();
        self.offered_work += job.work();
        match age_ms {
            Some(age_ms) if age_ms <= job.objective_ms() => {
                self.in_time += 1;
                self.earned += job.worth();
                self.in_time_work += job.work();
            }
            Some(age_ms) if age_ms <= LATE_UNTIL * job.objective_ms() => {
                self.earned += job.worth() * LATE_SHARE;
            }
            _ => {}
        }
    }

    /// Works out the bound, by the jobs that are worth most for their work.
    pub(crate) fn bound_by<'a>(&mut self, jobs: impl Iterator<Item = &'a OfferedJob>) {
        let mut jobs: Vec<&OfferedJob> = jobs.collect();
        let density = |job: &OfferedJob| job.worth() / job.work();
        jobs.sort_by(|a, b| density(b).total_cmp(&density(a)));
        let mut left = self.done_work;
        for job in jobs {
            let share = (left / job.work()).clamp(0.0, 1.0);
            self.bound += job.worth() * share;
            left -= job.work() * share;
        }
    }
}
