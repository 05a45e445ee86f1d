//! The ways of choosing a worker for a task.

use std::str::FromStr;

use rand::Rng;
use rand::RngExt;
use snafu::Snafu;

use crate::ids::DomainName;
use crate::ids::WorkerId;
use crate::platform::worker::ResourceAmount;

/// A way of choosing among the workers that have room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementWay {
    /// Any of them.
    Random,
    /// The first by name.
    FirstFit,
    /// The one with the smallest dominant share committed.
    #[default]
    LeastLoaded,
}

/// The text named no placement way.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("allowed are random, first-fit and least-loaded"))]
pub struct UnknownPlacement;

impl FromStr for PlacementWay {
    type Err = UnknownPlacement;

    fn from_str(text: &str) -> Result<PlacementWay, UnknownPlacement> {
        match text {
            "random" => Ok(PlacementWay::Random),
            "first-fit" => Ok(PlacementWay::FirstFit),
            "least-loaded" => Ok(PlacementWay::LeastLoaded),
            _ => Err(UnknownPlacement),
        }
    }
}

/// A worker as the scheduler sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerView {
    /// Its name.
    pub worker: WorkerId,
    /// Where it stands.
    pub domain: DomainName,
    /// What it has.
    pub capacity: ResourceAmount,
    /// What may still be committed.
    pub free: ResourceAmount,
    /// Starts that are still allowed before its suspicion is lifted; nothing when it has none.
    pub probes_left: Option<u32>,
}

impl WorkerView {
    /// Whether a task of this size may be started here.
    ///
    /// ```
    /// use greengagearch::platform::worker::ResourceAmount;
    /// use greengagearch::request::placement::WorkerView;
    ///
    /// let host = ResourceAmount { millicores: 1_000, memory_mib: 1_000, accelerators: 0 };
    /// let view = WorkerView { worker: "w1".into(), domain: "wien-a".into(), capacity: host,
    ///     free: host, probes_left: None };
    /// assert!(view.has_room(&host));
    /// ```
    pub fn has_room(&self, amount: &ResourceAmount) -> bool {
        self.free.contains(amount) && self.probes_left != Some(0)
    }

    /// The largest share of any resource that is committed, from 0 to 1 (Ghodsi et al., "Dominant
    /// Resource Fairness", NSDI 2011).
    ///
    /// ```
    /// use greengagearch::platform::worker::ResourceAmount;
    /// use greengagearch::request::placement::WorkerView;
    ///
    /// let host = ResourceAmount { millicores: 1_000, memory_mib: 1_000, accelerators: 0 };
    /// let free = ResourceAmount { millicores: 250, ..host };
    /// let view = WorkerView { worker: "w1".into(), domain: "wien-a".into(), capacity: host,
    ///     free, probes_left: None };
    /// assert_eq!(view.committed_share(), 0.75);
    /// ```
    pub fn committed_share(&self) -> f64 {
        dominant_share(&self.capacity.minus(&self.free), &self.capacity)
    }

    /// Takes a task's amount out of what is free.
    ///
    /// ```
    /// # use greengagearch::platform::worker::ResourceAmount;
    /// # use greengagearch::request::placement::WorkerView;
    /// # let host = ResourceAmount { millicores: 1_000, memory_mib: 1_000, accelerators: 0 };
    /// # let mut view = WorkerView { worker: "w1".into(), domain: "wien-a".into(), capacity: host,
    /// #     free: host, probes_left: None };
    /// view.take(&host);
    /// assert_eq!(view.free.millicores, 0);
    /// ```
    pub fn take(&mut self, amount: &ResourceAmount) {
        self.free = self.free.minus(amount);
        self.probes_left = self.probes_left.map(|left| left.saturating_sub(1));
    }
}

/// The largest share that `amount` is of any resource of `whole`.
///
/// ```
/// use greengagearch::platform::worker::ResourceAmount;
/// use greengagearch::request::placement::dominant_share;
///
/// let whole = ResourceAmount { millicores: 4, memory_mib: 8, accelerators: 0 };
/// let amount = ResourceAmount { millicores: 1, memory_mib: 4, accelerators: 0 };
/// assert_eq!(dominant_share(&amount, &whole), 0.5);
/// ```
pub fn dominant_share(amount: &ResourceAmount, whole: &ResourceAmount) -> f64 {
    let millicores = share(amount.millicores, whole.millicores);
    let memory = share(amount.memory_mib, whole.memory_mib);
    let accelerators = share(amount.accelerators.into(), whole.accelerators.into());
    millicores.max(memory).max(accelerators)
}

/// Chooses a worker with room for `amount`; those in `avoid` only when there is no other.
///
/// ```
/// use greengagearch::platform::worker::ResourceAmount;
/// use greengagearch::request::placement::PlacementWay;
/// use greengagearch::request::placement::place;
///
/// let amount = ResourceAmount::default();
/// assert_eq!(place(PlacementWay::FirstFit, &[], &amount, &[], &mut rand::rng()), None);
/// ```
pub fn place<R: Rng>(
    way: PlacementWay,
    views: &[WorkerView],
    amount: &ResourceAmount,
    avoid: &[WorkerId],
    rng: &mut R,
) -> Option<usize> {
    let numbered = views.iter().enumerate();
    let roomy: Vec<(usize, &WorkerView)> =
        numbered.filter(|(_, view)| view.has_room(amount)).collect();
    let preferred: Vec<(usize, &WorkerView)> =
        roomy.iter().copied().filter(|(_, view)| !avoid.contains(&view.worker)).collect();
    let choice = if preferred.is_empty() { roomy } else { preferred };
    match way {
        _ if choice.is_empty() => None,
        PlacementWay::Random => choice.get(rng.random_range(0..choice.len())).map(|one| one.0),
        PlacementWay::FirstFit => choice.first().map(|one| one.0),
        PlacementWay::LeastLoaded => least_loaded(&choice),
    }
}

fn least_loaded(choice: &[(usize, &WorkerView)]) -> Option<usize> {
    let shares = choice.iter().map(|(index, view)| (*index, view.committed_share()));
    shares.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}
