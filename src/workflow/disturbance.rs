//! How much tasks that fill disturb tasks that serve beside them, learned by pairs of images.
//!
//! The learner is that of services and kinds of tasks; here a service is the image of tasks that serve,
//! a kind the image of tasks that fill, and the time the tail latency that runners report.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::process::interference::InterferenceModel;
use crate::process::interference::InterferenceTuning;
use crate::process::interference::KindName;
use crate::process::interference::WeightedSample;
use crate::workflow::worker_board::AssignedRun;
use crate::workflow::worker_board::WorkerEntry;

/// Span over which runners measure tails.
const MEASURED_SPAN: Duration = Duration::from_millis(500);
/// Part of the span from which on a task counts in full, since a tail shows the worst part of it.
const FULL_OVERLAP: Duration = Duration::from_millis(200);
/// Part of the span below which a task does not count; samples with tasks between both are not used.
const LEAST_OVERLAP: Duration = Duration::from_millis(50);
/// Requests that one reported tail is taken to stand for.
const TAIL_REQUESTS: u32 = 50;
/// Share of the target up to which a tail may be expected when a task that fills is placed.
const ALLOWED_PRESSURE: f64 = 0.8;
/// Slowdown that is assumed of a pair that was never seen.
const UNSEEN_SLOWDOWN: f64 = 2.0;
/// A tail is multiplied by 1.1 to 10 by one task that disturbs, not by fractions as a mean is; and it
/// changes within seconds.
const TAIL_TUNING: InterferenceTuning = InterferenceTuning {
    first_slowdown: 1.0,
    first_variance: 4.0,
    sample_variance: 0.2,
    drift_variance: 0.02,
    largest_slowdown: 12.0,
};

/// What a task that fills would do to the tasks that serve on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRisk {
    /// The worst tail that is expected, as a share of its target.
    pub pressure: f64,
    /// Whether a pair that was never seen is among those that decide it.
    pub is_unseen: bool,
}

impl PlacementRisk {
    /// Whether no target is in danger.
    ///
    /// ```
    /// use greengagearch::workflow::disturbance::PlacementRisk;
    ///
    /// assert!(PlacementRisk { pressure: 0.5, is_unseen: false }.is_low());
    /// ```
    pub fn is_low(&self) -> bool {
        self.pressure <= ALLOWED_PRESSURE
    }
}

/// The learner.
#[derive(Clone, Debug)]
pub struct DisturbanceModel {
    model: InterferenceModel,
}

impl Default for DisturbanceModel {
    fn default() -> DisturbanceModel {
        DisturbanceModel { model: InterferenceModel::new(TAIL_TUNING) }
    }
}

impl DisturbanceModel {
    /// Learns from the tails that a worker has just reported.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::disturbance::DisturbanceModel;
    /// use greengagearch::workflow::worker_board::WorkerBoard;
    ///
    /// let mut board = WorkerBoard::default();
    /// DisturbanceModel::default().learn(board.entry("i-1", Instant::now()), Instant::now(), 0);
    /// ```
    pub fn learn(&mut self, worker: &WorkerEntry, now: Instant, at_millis: u64) {
        let Some(kinds) = measured_kinds(worker, now) else {
            return;
        };
        for run in worker.assigned.values().filter(|run| run.target_ms > 0) {
            let tail = run.seen.as_ref().map_or(0, |seen| seen.usage);
            if tail == 0 {
                continue;
            }
            self.model.learn_weighted(&WeightedSample {
                service: &run.image,
                kinds: &kinds,
                time: Duration::from_millis(tail),
                requests: TAIL_REQUESTS,
                at_millis,
            });
        }
    }

    /// What a task of an image that fills would do on a worker.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::disturbance::DisturbanceModel;
    /// use greengagearch::workflow::worker_board::WorkerBoard;
    ///
    /// let mut board = WorkerBoard::default();
    /// let risk = DisturbanceModel::default().risk(board.entry("i-1", Instant::now()), "x");
    /// assert_eq!(risk.pressure, 0.0);
    /// ```
    pub fn risk(&self, worker: &WorkerEntry, image: &str) -> PlacementRisk {
        let mut fills: BTreeMap<KindName, u32> = BTreeMap::new();
        for run in worker.assigned.values().filter(|run| run.fills) {
            *fills.entry(run.image.clone()).or_default() += 1;
        }
        *fills.entry(image.to_string()).or_default() += 1;
        let mut risk = PlacementRisk { pressure: 0.0, is_unseen: false };
        for run in worker.assigned.values().filter(|run| run.target_ms > 0) {
            let pressure = self.pressure(run, &fills);
            if pressure > risk.pressure {
                risk.pressure = pressure;
            }
            risk.is_unseen |= !self.model.knows(&run.image, image);
        }
        risk
    }

    /// The slowdown that one task of an image causes to the most sensitive task that serves on a worker.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::disturbance::DisturbanceModel;
    /// use greengagearch::workflow::worker_board::WorkerBoard;
    ///
    /// let mut board = WorkerBoard::default();
    /// let weight = DisturbanceModel::default().weight(board.entry("i-1", Instant::now()), "x");
    /// assert_eq!(weight, 0.0);
    /// ```
    pub fn weight(&self, worker: &WorkerEntry, image: &str) -> f64 {
        let serving = worker.assigned.values().filter(|run| run.target_ms > 0);
        serving.map(|run| self.slowdown(&run.image, image)).fold(0.0, f64::max)
    }

    /// All pairs that were learned, as `serving/filling=slowdown`, for the log.
    ///
    /// ```
    /// let model = greengagearch::workflow::disturbance::DisturbanceModel::default();
    /// assert_eq!(model.summary(), "");
    /// ```
    pub fn summary(&self) -> String {
        let pairs = self.model.pairs().map(|(serving, filling, estimate)| {
            format!("{serving}/{filling}={:.2}", estimate.slowdown)
        });
        pairs.collect::<Vec<String>>().join(" ")
    }

    fn slowdown(&self, serving: &str, image: &str) -> f64 {
        if !self.model.knows(serving, image) {
            return UNSEEN_SLOWDOWN;
        }
        self.model.estimate(serving, image).slowdown
    }

    fn pressure(&self, run: &AssignedRun, fills: &BTreeMap<KindName, u32>) -> f64 {
        let target = run.target_ms as f64;
        let base_ms = self.model.base(&run.image).map_or(0.0, |base| base.as_secs_f64() * 1_000.0);
        let slowdowns =
            fills.iter().map(|(image, count)| f64::from(*count) * self.slowdown(&run.image, image));
        let expected = base_ms * (1.0 + slowdowns.sum::<f64>());
        let measured = run.seen.as_ref().map_or(0.0, |seen| seen.usage as f64);
        expected.max(measured) / target
    }
}

/// Tasks that filled on a worker in the span that its newest tails tell of, by image; nothing when one of
/// them counts neither in full nor not at all.
fn measured_kinds(worker: &WorkerEntry, now: Instant) -> Option<BTreeMap<KindName, f64>> {
    let span_start = now.checked_sub(MEASURED_SPAN)?;
    let mut kinds = BTreeMap::new();
    let mut add = |image: &str, begin: Instant, end: Instant, percent: u32| {
        let overlap = end.min(now).saturating_duration_since(begin.max(span_start));
        if overlap >= FULL_OVERLAP {
            *kinds.entry(image.to_string()).or_default() += f64::from(percent) / 100.0;
        }
        overlap >= FULL_OVERLAP || overlap < LEAST_OVERLAP
    };
    let mut is_clear = true;
    for run in worker.assigned.values().filter(|run| run.fills) {
        if let Some(begin) = run.seen_since {
            is_clear &= add(&run.image, begin, now, run.peak_percent(now, MEASURED_SPAN));
        }
    }
    for ended in &worker.ended_fills {
        is_clear &= add(&ended.image, ended.begin, ended.end, ended.percent);
    }
    is_clear.then_some(kinds)
}
