//! Settings of fair sharing: weights of queues and the bound on waiting.

use std::collections::BTreeMap;

use crate::ids::QueueName;

/// Weight of a queue without any setting for it.
const UNSET_WEIGHT: f64 = 1.0;

/// Settings of fair sharing. Without weights and without a bound, nothing is shared or bounded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareSettings {
    /// Weights of the queues that have their own.
    pub weights: BTreeMap<QueueName, f64>,
    /// Weight of all other queues.
    pub default_weight: Option<f64>,
    /// Multiple of its objective after which a job that has not begun comes first in its priority.
    pub longest_wait: Option<f64>,
}

impl ShareSettings {
    /// Whether queues share resources by weights.
    ///
    /// ```
    /// use greengagearch::workflow::fair_share::share_settings::ShareSettings;
    ///
    /// assert!(!ShareSettings::default().has_weights());
    /// ```
    pub fn has_weights(&self) -> bool {
        !self.weights.is_empty() || self.default_weight.is_some()
    }

    /// Weight of a queue. Queues that are no longer configured have the default weight until their
    /// jobs end.
    ///
    /// ```
    /// use greengagearch::workflow::fair_share::share_settings::ShareSettings;
    ///
    /// assert_eq!(ShareSettings::default().weight_of("quick"), 1.0);
    /// ```
    pub fn weight_of(&self, queue: &str) -> f64 {
        let default = self.default_weight.unwrap_or(UNSET_WEIGHT);
        self.weights.get(queue).copied().unwrap_or(default)
    }
}
