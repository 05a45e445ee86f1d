//! What a planner has learned of images, as its successor takes it over.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ImageName;
use crate::workflow::pair_interference::Estimate;
use crate::workflow::pair_interference::PairInterferenceModel;

/// What was learned of a pair of images.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairInterference {
    /// The image that serves.
    pub serving: ImageName,
    /// The image that fills.
    #[serde(rename = "filling")]
    pub best_effort: ImageName,
    /// What one filling task at full pace adds to the load of the serving one.
    pub added_load: f64,
    /// Variance of that.
    pub variance: f64,
}

/// The least tail latency that was seen of an image.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MinTailLatency {
    /// The image.
    pub image: ImageName,
    /// Its least tail latency in milliseconds.
    pub tail_ms: f64,
}

/// What outlives a change of the planner. What a single run does is not part of it: that changes within seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedInterference {
    /// Pairs of images.
    pub pairs: Vec<PairInterference>,
    /// Images that serve.
    #[serde(rename = "least_tails")]
    pub min_tails: Vec<MinTailLatency>,
}

impl PairInterferenceModel {
    /// What a successor should know.
    ///
    /// ```
    /// let model = greengagearch::workflow::pair_interference::PairInterferenceModel::default();
    /// assert!(model.learned().pairs.is_empty());
    /// ```
    pub fn learned(&self) -> LearnedInterference {
        let pairs = self.each_pair().map(|(serving, filling, pair)| PairInterference {
            serving: serving.clone(),
            best_effort: filling.clone(),
            added_load: pair.value,
            variance: pair.variance,
        });
        let tails = self
            .min_tails
            .iter()
            .map(|(image, tail_ms)| MinTailLatency { image: image.clone(), tail_ms: *tail_ms });
        LearnedInterference { pairs: pairs.collect(), min_tails: tails.collect() }
    }

    /// A model that begins with what a predecessor has learned.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::pair_interference::PairInterferenceModel;
    /// use greengagearch::workflow::learned_interference::LearnedInterference;
    ///
    /// let model = PairInterferenceModel::from_learned(LearnedInterference::default(), Instant::now());
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
