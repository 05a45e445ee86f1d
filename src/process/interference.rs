//! Learns how much kinds of batch tasks slow services down.
//!
//! A sample says how long requests of a service took on a worker while certain kinds of tasks ran
//! beside it. The model is a line through each service's samples: time = base × (1 + Σ n·slowdown),
//! with n tasks of a kind. Each (service, kind) pair keeps a mean and a variance, updated by a Kalman
//! filter with a diagonal covariance; the variance grows with time, because pairs drift. Unseen
//! pairs start from the mean over all pairs. It decides nothing about time by itself: samples carry
//! the time at which they were measured, however late they arrive.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServiceName;

/// Name of a kind of batch tasks.
pub type KindName = String;

/// Slowdown that is assumed of a pair before any pair was seen.
const FIRST_SLOWDOWN: f64 = 0.05;
/// Variance of an unseen pair's slowdown.
const FIRST_VARIANCE: f64 = 0.04;
/// Variance of a sample over the number of requests in it.
const SAMPLE_VARIANCE: f64 = 0.5;
/// Variance that a sample has however many requests are in it.
const SMALLEST_SAMPLE_VARIANCE: f64 = 0.005;
/// Growth of a pair's variance a second.
const DRIFT_VARIANCE: f64 = 0.00002;
/// Weight of the newest sample in a service's base time.
const BASE_WEIGHT: f64 = 0.05;
/// Largest slowdown of one sample that is believed; a stall is not interference.
const LARGEST_SLOWDOWN: f64 = 10.0;

/// How long requests of a service took while certain kinds ran beside it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InterferenceSample {
    /// The service.
    pub service: ServiceName,
    /// Kinds that ran on the same worker at the time, with the number of tasks of each.
    pub kinds: BTreeMap<KindName, u32>,
    /// Mean time of a request.
    pub mean_time: Duration,
    /// Number of requests.
    pub requests: u32,
    /// When it was measured, in milliseconds of the wall clock since the Unix epoch.
    pub at_millis: u64,
}

/// What is known of one pair.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PairEstimate {
    /// Expected slowdown by one task: 0.2 means a fifth longer.
    pub slowdown: f64,
    /// Variance of the slowdown.
    pub variance: f64,
}

#[derive(Clone, Copy, Debug)]
struct PairState {
    estimate: PairEstimate,
    at_millis: u64,
}

/// Slowdowns of all pairs.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    base_seconds: BTreeMap<ServiceName, f64>,
    pairs: BTreeMap<ServiceName, BTreeMap<KindName, PairState>>,
    /// Sum of the slowdowns of all pairs, and their number.
    sum: f64,
    count: u32,
}

impl InterferenceModel {
    /// Takes in a sample.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use std::time::Duration;
    ///
    /// use greengagearch::process::interference::InterferenceModel;
    /// use greengagearch::process::interference::InterferenceSample;
    ///
    /// let mut model = InterferenceModel::default();
    /// let mut sample = InterferenceSample {
    ///     service: "spots".into(),
    ///     kinds: BTreeMap::new(),
    ///     mean_time: Duration::from_millis(10),
    ///     requests: 100,
    ///     at_millis: 0,
    /// };
    /// model.learn(&sample);
    /// sample.kinds.insert("roster".into(), 1);
    /// sample.mean_time = Duration::from_millis(15);
    /// for _ in 0..20 {
    ///     model.learn(&sample);
    /// }
    /// let learned = model.estimate("spots", "roster").slowdown;
    /// assert!((learned - 0.5).abs() < 0.1, "{learned}");
    /// ```
    pub fn learn(&mut self, sample: &InterferenceSample) {
        if sample.requests == 0 {
            return;
        }
        let time = sample.mean_time.as_secs_f64();
        let base = self.base_seconds.entry(sample.service.clone()).or_insert(time);
        if sample.kinds.is_empty() {
            *base += BASE_WEIGHT * (time - *base);
            return;
        }
        // A base that was guessed beside tasks is too high; the lowest time is nearer to it.
        *base = base.min(time);
        let measured = (time / *base - 1.0).min(LARGEST_SLOWDOWN);
        self.update(sample, measured);
    }

    /// What is known of a pair.
    ///
    /// ```
    /// use greengagearch::process::interference::InterferenceModel;
    ///
    /// let estimate = InterferenceModel::default().estimate("spots", "roster");
    /// assert!(estimate.slowdown > 0.0 && estimate.variance > 0.0);
    /// ```
    pub fn estimate(&self, service: &str, kind: &str) -> PairEstimate {
        let known = self.pairs.get(service).and_then(|kinds| kinds.get(kind));
        known.map_or_else(|| self.prior(), |state| state.estimate)
    }

    /// Expected slowdown of a service beside these tasks.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    ///
    /// use greengagearch::process::interference::InterferenceModel;
    ///
    /// let model = InterferenceModel::default();
    /// assert_eq!(model.slowdown("spots", &BTreeMap::new()), 0.0);
    /// ```
    pub fn slowdown(&self, service: &str, kinds: &BTreeMap<KindName, u32>) -> f64 {
        let pairs = self.pairs.get(service);
        let of_kind = |kind: &KindName| pairs.and_then(|pairs| pairs.get(kind));
        let each = kinds.iter().map(|(kind, count)| {
            let slowdown =
                of_kind(kind).map_or_else(|| self.prior().slowdown, |one| one.estimate.slowdown);
            f64::from(*count) * slowdown
        });
        each.sum()
    }

    /// All pairs that were seen.
    ///
    /// ```
    /// use greengagearch::process::interference::InterferenceModel;
    ///
    /// assert_eq!(InterferenceModel::default().pairs().count(), 0);
    /// ```
    pub fn pairs(&self) -> impl Iterator<Item = (&ServiceName, &KindName, PairEstimate)> {
        self.pairs.iter().flat_map(|(service, kinds)| {
            kinds.iter().map(move |(kind, state)| (service, kind, state.estimate))
        })
    }

    /// Number of pairs that were seen.
    ///
    /// ```
    /// use greengagearch::process::interference::InterferenceModel;
    ///
    /// assert_eq!(InterferenceModel::default().pair_count(), 0);
    /// ```
    pub fn pair_count(&self) -> usize {
        self.count as usize
    }

    /// Mean over all pairs, for one that was never seen.
    fn prior(&self) -> PairEstimate {
        let slowdown =
            if self.count > 0 { self.sum / f64::from(self.count) } else { FIRST_SLOWDOWN };
        PairEstimate { slowdown, variance: FIRST_VARIANCE }
    }

    fn update(&mut self, sample: &InterferenceSample, measured: f64) {
        let prior = self.prior();
        let pairs = self.pairs.entry(sample.service.clone()).or_default();
        let mut expected = 0.0;
        let mut spread = SAMPLE_VARIANCE / f64::from(sample.requests) + SMALLEST_SAMPLE_VARIANCE;
        for (kind, count) in &sample.kinds {
            let first = PairState { estimate: prior, at_millis: sample.at_millis };
            let state = pairs.entry(kind.clone()).or_insert_with(|| {
                self.sum += first.estimate.slowdown;
                self.count += 1;
                first
            });
            // A sample that was overtaken by a newer one makes the pair no surer than it is.
            let passed = sample.at_millis.saturating_sub(state.at_millis) as f64 / 1_000.0;
            state.estimate.variance =
                (state.estimate.variance + DRIFT_VARIANCE * passed).min(FIRST_VARIANCE);
            state.at_millis = state.at_millis.max(sample.at_millis);
            let count = f64::from(*count);
            expected += count * state.estimate.slowdown;
            spread += count * count * state.estimate.variance;
        }
        let surprise = measured - expected;
        for (kind, count) in &sample.kinds {
            let Some(state) = pairs.get_mut(kind) else { continue };
            let count = f64::from(*count);
            let gain = count * state.estimate.variance / spread;
            let before = state.estimate.slowdown;
            state.estimate.slowdown = (before + gain * surprise).max(0.0);
            self.sum += state.estimate.slowdown - before;
            state.estimate.variance *= 1.0 - gain * count;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample(kinds: &[(&str, u32)], millis: f64, at_seconds: u64) -> InterferenceSample {
        InterferenceSample {
            service: "s".to_string(),
            kinds: kinds.iter().map(|(kind, count)| (kind.to_string(), *count)).collect(),
            mean_time: Duration::from_secs_f64(millis / 1_000.0),
            requests: 50,
            at_millis: at_seconds * 1_000,
        }
    }

    #[test]
    fn pairs_are_told_apart_when_they_run_together() {
        let mut model = InterferenceModel::default();
        for second in 0..200 {
            let (a, b) = (second % 3, (second / 3) % 3);
            let time = 10.0 * (1.0 + 0.4 * a as f64 + 0.05 * b as f64);
            let kinds: Vec<(&str, u32)> =
                [("a", a as u32), ("b", b as u32)].into_iter().filter(|one| one.1 > 0).collect();
            model.learn(&sample(&kinds, time, second));
        }
        assert!((model.estimate("s", "a").slowdown - 0.4).abs() < 0.05);
        assert!((model.estimate("s", "b").slowdown - 0.05).abs() < 0.05);
    }

    #[test]
    fn drift_is_followed() {
        let mut model = InterferenceModel::default();
        model.learn(&sample(&[], 10.0, 0));
        (0..100).for_each(|second| model.learn(&sample(&[("a", 1)], 15.0, second)));
        (100..300).for_each(|second| model.learn(&sample(&[("a", 1)], 11.0, second)));
        assert!((model.estimate("s", "a").slowdown - 0.1).abs() < 0.05);
    }

    #[test]
    fn doubt_shrinks_with_samples_and_grows_with_time() {
        let mut model = InterferenceModel::default();
        model.learn(&sample(&[], 10.0, 0));
        model.learn(&sample(&[("a", 1)], 12.0, 1));
        let early = model.estimate("s", "a").variance;
        (2..50).for_each(|second| model.learn(&sample(&[("a", 1)], 12.0, second)));
        let sure = model.estimate("s", "a").variance;
        assert!(sure < early);
        model.learn(&sample(&[("a", 1), ("b", 1)], 12.0, 5_000));
        assert!(model.estimate("s", "a").variance > sure);
    }

    #[test]
    fn an_unseen_pair_is_judged_by_the_others() {
        let mut model = InterferenceModel::default();
        model.learn(&sample(&[], 10.0, 0));
        (1..100).for_each(|second| model.learn(&sample(&[("a", 1)], 18.0, second)));
        let unseen = model.estimate("s", "new").slowdown;
        assert!(unseen > 0.5, "{unseen}");
    }
}
