//! Learns how much tasks of a kind really use, because declared sizes are far off.
//!
//! Each kind keeps the highest use of its last tasks. What is committed to a new task is a quantile
//! of these with a margin, once there are enough of them, and its declared size before.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::external::worker::ResourceAmount;
use crate::process::interference::KindName;

/// Tasks of a kind that are remembered.
const REMEMBERED: usize = 64;
/// Tasks of a kind that must have been seen before its declared size is replaced.
const FEWEST: usize = 8;
/// Quantile of the use that is committed.
const QUANTILE: f64 = 0.95;
/// Margin over the quantile.
const MARGIN: f64 = 1.1;

/// Highest use of the last tasks of each kind.
#[derive(Clone, Debug, Default)]
pub struct SizeLearner {
    kinds: HashMap<KindName, VecDeque<ResourceAmount>>,
}

impl SizeLearner {
    /// Takes in the highest use of a task that has ended.
    ///
    /// ```
    /// use greengagearch::process::size_learner::SizeLearner;
    ///
    /// SizeLearner::default().on_end("roster", Default::default());
    /// ```
    pub fn on_end(&mut self, kind: &str, highest: ResourceAmount) {
        let known = self.kinds.entry(kind.to_string()).or_default();
        known.push_back(highest);
        if known.len() > REMEMBERED {
            known.pop_front();
        }
    }

    /// What to commit to a task of a kind; never more than `host`, never less than one unit, and
    /// accelerators always as declared.
    ///
    /// ```
    /// use greengagearch::external::worker::ResourceAmount;
    /// use greengagearch::process::size_learner::SizeLearner;
    ///
    /// let declared = ResourceAmount { millicores: 8_000, memory_mib: 100, accelerators: 0 };
    /// let host = ResourceAmount { millicores: 16_000, memory_mib: 60_000, accelerators: 0 };
    /// assert_eq!(SizeLearner::default().size("roster", &declared, &host), declared);
    /// ```
    pub fn size(
        &self,
        kind: &str,
        declared: &ResourceAmount,
        host: &ResourceAmount,
    ) -> ResourceAmount {
        let known = self.kinds.get(kind).filter(|known| known.len() >= FEWEST);
        let Some(known) = known else {
            return *declared;
        };
        let millicores = quantile(known.iter().map(|one| one.millicores));
        let memory_mib = quantile(known.iter().map(|one| one.memory_mib));
        ResourceAmount {
            millicores: millicores.clamp(1, host.millicores.max(1)),
            memory_mib: memory_mib.clamp(1, host.memory_mib.max(1)),
            accelerators: declared.accelerators,
        }
    }
}

fn quantile(values: impl Iterator<Item = u64>) -> u64 {
    let mut values: Vec<u64> = values.collect();
    values.sort_unstable();
    let index = ((values.len() as f64 * QUANTILE) as usize).min(values.len().saturating_sub(1));
    let value = values.get(index).copied().unwrap_or(0);
    (value as f64 * MARGIN).ceil() as u64
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOST: ResourceAmount =
        ResourceAmount { millicores: 4_000, memory_mib: 8_000, accelerators: 2 };

    fn amount(millicores: u64) -> ResourceAmount {
        ResourceAmount { millicores, memory_mib: 100, accelerators: 0 }
    }

    #[test]
    fn a_size_declared_ten_times_too_small_is_put_right() {
        let mut learner = SizeLearner::default();
        (0..FEWEST).for_each(|_| learner.on_end("k", amount(1_000)));
        assert_eq!(learner.size("k", &amount(100), &HOST).millicores, 1_100);
    }

    #[test]
    fn a_size_declared_too_large_is_put_right_and_accelerators_stay() {
        let mut learner = SizeLearner::default();
        (0..FEWEST).for_each(|_| learner.on_end("k", amount(500)));
        let declared = ResourceAmount { accelerators: 1, ..amount(3_000) };
        let size = learner.size("k", &declared, &HOST);
        assert_eq!((size.millicores, size.accelerators), (550, 1));
    }

    #[test]
    fn nothing_is_sized_beyond_the_host() {
        let mut learner = SizeLearner::default();
        (0..FEWEST).for_each(|_| learner.on_end("k", amount(9_000)));
        assert_eq!(learner.size("k", &amount(100), &HOST).millicores, HOST.millicores);
    }
}
