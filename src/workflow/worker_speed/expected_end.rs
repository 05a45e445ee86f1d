//! Cost of a worker by when a task would end there.

use std::collections::BTreeMap;

use crate::ids::InstanceId;

/// Cost of one more duration of the task, as a share of a worker's capacity. Equals the cost of a
/// worker outside the preferred rack, where tasks take about twice as long.
const DURATION_COST: f64 = 0.5;

/// Expected end of a task on each slow worker, relative to the other workers.
///
/// Workers of unknown or usual speed have no cost, so that neither attracts or repels tasks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExpectedEnd {
    /// Speed of each slow worker as a share of the median.
    slow: BTreeMap<InstanceId, f64>,
}

impl ExpectedEnd {
    /// Replaces the speeds of the slow workers.
    ///
    /// ```
    /// use greengagearch::workflow::worker_speed::expected_end::ExpectedEnd;
    ///
    /// let mut end = ExpectedEnd::default();
    /// end.set([("i-1".to_string(), 0.2)].into());
    /// assert_eq!(end.speed("i-1"), Some(0.2));
    /// ```
    pub fn set(&mut self, slow: BTreeMap<InstanceId, f64>) {
        self.slow = slow;
    }

    /// Speed of a slow worker; `None` for all others.
    ///
    /// ```
    /// assert_eq!(greengagearch::workflow::worker_speed::expected_end::ExpectedEnd::default().speed("i"), None);
    /// ```
    pub fn speed(&self, worker: &str) -> Option<f64> {
        self.slow.get(worker).copied()
    }

    /// Cost of a worker, in the unit of [`crate::workflow::placement::choose`]: the additional time
    /// that a task takes there, in durations of the task.
    ///
    /// ```
    /// use greengagearch::workflow::worker_speed::expected_end::ExpectedEnd;
    ///
    /// let mut end = ExpectedEnd::default();
    /// end.set([("i-1".to_string(), 0.5)].into());
    /// assert_eq!((end.cost("i-1"), end.cost("i-2")), (0.5, 0.0));
    /// ```
    pub fn cost(&self, worker: &str) -> f64 {
        self.speed(worker).map_or(0.0, |speed| DURATION_COST * (1.0 / speed.max(0.01) - 1.0))
    }

    /// The slow workers and their speeds.
    ///
    /// ```
    /// use greengagearch::workflow::worker_speed::expected_end::ExpectedEnd;
    ///
    /// assert_eq!(ExpectedEnd::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, f64)> {
        self.slow.iter().map(|(worker, speed)| (worker, *speed))
    }
}
