//! The learned state of the interference model that a planner stores for its successor.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ImageName;
use crate::workflow::pair_interference::Estimate;
use crate::workflow::pair_interference::PairInterferenceModel;

/// Interference between a best-effort image and a serving image.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairInterference {
    /// Image of the serving task.
    pub serving: ImageName,
    /// Image of the best-effort task.
    #[serde(rename = "filling")]
    pub best_effort: ImageName,
    /// Load that one best-effort task at full pace adds to the serving task.
    pub added_load: f64,
    /// Variance of the estimate of `added_load`.
    pub variance: f64,
}

/// The lowest tail latency measured for a serving image.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MinTailLatency {
    /// The serving image.
    pub image: ImageName,
    /// Its lowest tail latency in milliseconds.
    pub tail_ms: f64,
}

/// Estimates that a successor planner starts from. The loads of single jobs are left out, since
/// they change within seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedInterference {
    /// Interference of each known pair of images.
    pub pairs: Vec<PairInterference>,
    /// Lowest tail latency of each known serving image.
    #[serde(rename = "least_tails")]
    pub min_tails: Vec<MinTailLatency>,
}

impl PairInterferenceModel {
    /// Exports the estimates for a successor.
    ///
    /// ```
    /// let model = greengagearch::workflow::pair_interference::PairInterferenceModel::default();
    /// assert!(model.learned().pairs.is_empty());
    /// ```
    pub fn learned(&self) -> LearnedInterference {
        let pairs = self.each_pair().map(|(serving, best_effort, pair)| PairInterference {
            serving: serving.clone(),
            best_effort: best_effort.clone(),
            added_load: pair.value,
            variance: pair.variance,
        });
        let tails = self
            .min_tails
            .iter()
            .map(|(image, tail_ms)| MinTailLatency { image: image.clone(), tail_ms: *tail_ms });
        LearnedInterference { pairs: pairs.collect(), min_tails: tails.collect() }
    }

    /// A model that starts from the estimates of a predecessor.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::pair_interference::PairInterferenceModel;
    /// use greengagearch::workflow::learned_interference::LearnedInterference;
    ///
    /// let learned = LearnedInterference::default();
    /// let model = PairInterferenceModel::from_learned(learned, Instant::now());
    /// assert_eq!(model.summary(), "");
    /// ```
    pub fn from_learned(learned: LearnedInterference, now: Instant) -> PairInterferenceModel {
        let tails = learned.min_tails.into_iter().map(|tail| (tail.image, tail.tail_ms));
        let mut model = PairInterferenceModel::default();
        for pair in learned.pairs {
            let estimate = Estimate { value: pair.added_load, variance: pair.variance, at: now };
            model.pairs.entry(pair.serving).or_default().insert(pair.best_effort, estimate);
        }
        model.min_tails = tails.collect();
        model
    }
}
