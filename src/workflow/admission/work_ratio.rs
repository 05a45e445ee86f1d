//! Ratio of the actual to the declared work of jobs, learned by queue.

use std::collections::BTreeMap;

use crate::ids::QueueName;

/// Weight that remains of a job's sample after the next one: about the last 50 jobs of a queue
/// count. Declared durations of single jobs are off by a factor of 1.6 either way, and the mean of
/// 50 by a tenth.
const RETAINED_WEIGHT: f64 = 0.98;
/// Number of jobs from which the ratio is used.
const MIN_JOBS: u32 = 8;
/// Bounds of the ratio. A sample beyond them is rather a fault of the measurement.
const RATIO_BOUNDS: (f64, f64) = (0.2, 5.0);

/// Sums over the recent jobs of a queue.
#[derive(Clone, Copy, Debug, Default)]
struct RatioSum {
    actual: f64,
    declared: f64,
    jobs: u32,
}

/// Learned ratios by queue.
#[derive(Clone, Debug, Default)]
pub struct WorkRatios {
    queues: BTreeMap<QueueName, RatioSum>,
}

impl WorkRatios {
    /// Records the actual and the declared work of a job, in the same unit.
    ///
    /// ```
    /// use greengagearch::workflow::admission::work_ratio::WorkRatios;
    ///
    /// let mut ratios = WorkRatios::default();
    /// (0..8).for_each(|_| ratios.record("q", (300.0, 200.0)));
    /// assert!((1.49..1.51).contains(&ratios.ratio("q")));
    /// ```
    pub fn record(&mut self, queue: &str, (actual, declared): (f64, f64)) {
        if declared <= 0.0 || actual <= 0.0 {
            return;
        }
        let sum = self.queues.entry(queue.to_string()).or_default();
        sum.actual = sum.actual * RETAINED_WEIGHT + actual;
        sum.declared = sum.declared * RETAINED_WEIGHT + declared;
        sum.jobs = sum.jobs.saturating_add(1);
    }

    /// The ratio of a queue; 1 while it is not known.
    ///
    /// ```
    /// assert_eq!(greengagearch::workflow::admission::work_ratio::WorkRatios::default().ratio("q"), 1.0);
    /// ```
    pub fn ratio(&self, queue: &str) -> f64 {
        let known = self.queues.get(queue).filter(|sum| sum.jobs >= MIN_JOBS);
        known.map_or(1.0, |sum| (sum.actual / sum.declared).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1))
    }

    /// The ratios that differ from 1, in percent, to publish them.
    ///
    /// ```
    /// use greengagearch::workflow::admission::work_ratio::WorkRatios;
    ///
    /// assert!(WorkRatios::default().percentages().is_empty());
    /// ```
    pub fn percentages(&self) -> BTreeMap<QueueName, u32> {
        let percent = |queue: &QueueName| (self.ratio(queue) * 100.0).round() as u32;
        let all = self.queues.keys().map(|queue| (queue.clone(), percent(queue)));
        all.filter(|(_, percent)| *percent != 100).collect()
    }

    /// Continues the published ratios of an earlier planner.
    pub(crate) fn inherit(&mut self, percentages: &BTreeMap<QueueName, u32>) {
        for (queue, percent) in percentages {
            let sum = RatioSum { actual: f64::from(*percent), declared: 100.0, jobs: MIN_JOBS };
            self.queues.entry(queue.clone()).or_insert(sum);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against single jobs that decide the ratio of their queue.
    #[test]
    fn few_jobs_and_faulty_samples_do_not_change_the_ratio() {
        let mut ratios = WorkRatios::default();
        ratios.record("q", (900.0, 100.0));
        ratios.record("q", (900.0, 0.0));
        assert_eq!(ratios.ratio("q"), 1.0);
        (0..20).for_each(|_| ratios.record("q", (9_000.0, 100.0)));
        assert_eq!(ratios.ratio("q"), RATIO_BOUNDS.1);
    }
}
