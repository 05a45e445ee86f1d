//! Rate at which work of a class is done.

use std::time::Duration;
use std::time::Instant;

/// Time over which the rate is averaged. It covers a full swing of demand, which takes about 15 s,
/// so that capacity which is scarce only at the peak does not lead to refusals.
const AVERAGING_TIME: Duration = Duration::from_secs(15);
/// Time after the first measurement in which the workers have not all reported to a new planner, so
/// that what they do is not yet the rate.
const WARM_UP_TIME: Duration = Duration::from_secs(4);
/// Least part of the available capacity that a rate is assumed to be. A class that does nothing
/// because its waiting tasks fit no worker must not keep other jobs from being accepted.
const MIN_SHARE: f64 = 0.05;

/// Measurement of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateSample {
    /// Processor time that runs of the class use, in thousandths of a core.
    pub done: f64,
    /// The part of it that jobs use which can meet their objective.
    pub done_on_time: f64,
    /// Processor time that the class could use, in thousandths of a core.
    pub available: f64,
    /// Whether tasks of the class wait for capacity.
    pub is_saturated: bool,
}

/// Average rate of a class.
#[derive(Clone, Debug, Default)]
pub struct WorkRate {
    average: Option<f64>,
    average_on_time: f64,
    is_inherited: bool,
    started_at: Option<Instant>,
    recorded_at: Option<Instant>,
    latest: RateSample,
}

impl WorkRate {
    /// A rate that continues that of an earlier planner, in core-milliseconds per second.
    ///
    /// ```
    /// use greengagearch::workflow::admission::work_rate::WorkRate;
    ///
    /// assert_eq!(WorkRate::inherited(500).millicores(), 500);
    /// ```
    pub fn inherited(millicores: u64) -> WorkRate {
        let average = (millicores > 0).then_some(millicores as f64);
        WorkRate { average, is_inherited: average.is_some(), ..WorkRate::default() }
    }

    /// Adds a measurement. While no task waits, what is done tells the demand and not the capacity;
    /// the available capacity counts instead.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::admission::work_rate::RateSample;
    /// use greengagearch::workflow::admission::work_rate::WorkRate;
    ///
    /// let mut rate = WorkRate::default();
    /// let sample = RateSample { done: 0.0, done_on_time: 0.0, available: 4_000.0, is_saturated: false };
    /// rate.record(sample, Instant::now());
    /// assert_eq!(rate.millicores(), 4_000);
    /// ```
    pub fn record(&mut self, sample: RateSample, now: Instant) {
        self.latest = sample;
        let since = self.recorded_at.replace(now);
        let capacity = sample.available.max(sample.done);
        if capacity <= 0.0 {
            return;
        }
        let average = self.average.unwrap_or(capacity);
        let started_at = *self.started_at.get_or_insert(now);
        if now.saturating_duration_since(started_at) < WARM_UP_TIME {
            let known = if self.is_inherited { average } else { average.max(capacity) };
            self.average = Some(known);
            return;
        }
        let rate = if sample.is_saturated { sample.done } else { capacity };
        let span = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let weight = 1.0 - (-span.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.average = Some(average + (rate - average) * weight);
        self.average_on_time += (sample.done_on_time - self.average_on_time) * weight;
    }

    /// Whether the rate may be used: it is an earlier planner's, or the workers have had time to
    /// report.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::admission::work_rate::WorkRate;
    ///
    /// assert!(WorkRate::inherited(500).is_known(Instant::now()));
    /// assert!(!WorkRate::default().is_known(Instant::now()));
    /// ```
    pub fn is_known(&self, now: Instant) -> bool {
        let reported_for = |started_at| now.saturating_duration_since(started_at);
        self.is_inherited || self.started_at.is_some_and(|at| reported_for(at) >= WARM_UP_TIME)
    }

    /// The rate in core-milliseconds per second, which are thousandths of a core; zero while no
    /// capacity is known.
    ///
    /// ```
    /// use greengagearch::workflow::admission::work_rate::WorkRate;
    ///
    /// assert_eq!(WorkRate::default().millicores(), 0);
    /// ```
    pub fn millicores(&self) -> u64 {
        self.average.map_or(0.0, |average| average.max(self.min_rate())) as u64
    }

    /// The part of the rate that is left for late jobs, which come after all that can meet their
    /// objective, also those that arrive later.
    ///
    /// ```
    /// use greengagearch::workflow::admission::work_rate::WorkRate;
    ///
    /// assert_eq!(WorkRate::default().late_millicores(), 0);
    /// ```
    pub fn late_millicores(&self) -> u64 {
        let left = self.average.map(|average| average - self.average_on_time);
        left.map_or(0.0, |left| left.max(self.min_rate())) as u64
    }

    fn min_rate(&self) -> f64 {
        self.latest.available.max(self.latest.done) * MIN_SHARE
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn after(rate: &mut WorkRate, sample: RateSample, seconds: u64) -> u64 {
        let mut now = rate.recorded_at.unwrap_or_else(Instant::now);
        for _ in 0..seconds * 2 {
            now += Duration::from_millis(500);
            rate.record(sample, now);
        }
        rate.millicores()
    }

    /// Guards against an idle service whose small demand is taken for its capacity.
    #[test]
    fn demand_of_an_unsaturated_class_does_not_lower_its_rate() {
        let mut rate = WorkRate::default();
        let idle =
            RateSample { done: 10.0, done_on_time: 0.0, available: 1_000.0, is_saturated: false };
        assert_eq!(after(&mut rate, idle, 60), 1_000);
    }

    /// Guards against a rate that follows the trough of a swing instead of its mean.
    #[test]
    fn the_rate_of_a_swing_is_near_its_mean_and_never_below_it_by_much() {
        let mut rate = WorkRate::default();
        let sample =
            |done| RateSample { done, done_on_time: done, available: 1_000.0, is_saturated: true };
        for _ in 0..8 {
            after(&mut rate, sample(700.0), 7);
            after(&mut rate, sample(300.0), 7);
        }
        let trough = rate.millicores();
        assert!((380..=500).contains(&trough), "{trough}");
        assert!(rate.late_millicores() <= trough / 4, "all work that was done was on time");
    }

    /// Guards against a rate of zero from tasks that fit nowhere, which would refuse all others.
    #[test]
    fn the_rate_has_a_floor_while_there_is_capacity() {
        let mut rate = WorkRate::inherited(5_000);
        let stuck =
            RateSample { done: 0.0, done_on_time: 0.0, available: 1_000.0, is_saturated: true };
        assert!(after(&mut rate, stuck, 30) < 1_000, "lost workers lower it");
        assert_eq!(after(&mut rate, stuck, 200), 50);
    }

    /// Guards against refusals after a takeover: workers report to the new planner one after another,
    /// while it has read the whole backlog.
    #[test]
    fn workers_that_have_not_reported_yet_do_not_lower_the_rate() {
        let partial =
            RateSample { done: 20.0, done_on_time: 0.0, available: 100.0, is_saturated: true };
        let all =
            RateSample { done: 900.0, done_on_time: 0.0, available: 1_000.0, is_saturated: true };
        let (mut inherited, mut fresh) = (WorkRate::inherited(700), WorkRate::default());
        after(&mut fresh, partial, 1);
        after(&mut inherited, partial, 1);
        assert_eq!(inherited.millicores(), 700);
        assert_eq!((after(&mut fresh, all, 1), after(&mut inherited, all, 1)), (1_000, 700));
    }
}
