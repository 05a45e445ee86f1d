//! The ways of choosing a worker for a task.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use rand::Rng;
use rand::RngExt;
use snafu::Snafu;

use crate::external::worker::ResourceAmount;
use crate::ids::DomainName;
use crate::ids::ServiceName;
use crate::ids::WorkerId;
use crate::process::interference::InterferenceModel;
use crate::process::interference::KindName;

/// How much more loaded than the least loaded worker a worker may be to be chosen for its pairs.
pub const LOAD_SLACK: f64 = 0.5;
/// Widths of doubt by which an estimated slowdown is raised: a pair that is hardly known counts as
/// worse than one that is known to be as bad.
const UNCERTAINTY_WEIGHT: f64 = 0.5;

/// A way of choosing among the workers that have room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicyKind {
    /// Any of them.
    Random,
    /// The first by name.
    FirstFit,
    /// The one with the smallest dominant share committed.
    LeastLoaded,
    /// Among the nearly least loaded, the one whose services suffer least by the learned pairs.
    #[default]
    Pairwise,
}

/// The text named no placement way.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("allowed are random, first-fit, least-loaded and pairwise"))]
pub struct UnknownPlacementPolicy;

impl FromStr for PlacementPolicyKind {
    type Err = UnknownPlacementPolicy;

    fn from_str(text: &str) -> Result<PlacementPolicyKind, UnknownPlacementPolicy> {
        match text {
            "random" => Ok(PlacementPolicyKind::Random),
            "first-fit" => Ok(PlacementPolicyKind::FirstFit),
            "least-loaded" => Ok(PlacementPolicyKind::LeastLoaded),
            "pairwise" => Ok(PlacementPolicyKind::Pairwise),
            _ => Err(UnknownPlacementPolicy),
        }
    }
}

impl PlacementPolicyKind {
    /// The policy of this way.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use greengagearch::request::placement_policy::PlacementPolicyKind;
    ///
    /// let policy = PlacementPolicyKind::Random.policy(Arc::default());
    /// ```
    pub fn policy(self, model: Arc<InterferenceModel>) -> Box<dyn PlacementPolicy> {
        match self {
            PlacementPolicyKind::Random => Box::new(RandomPlacement),
            PlacementPolicyKind::FirstFit => Box::new(FirstFit),
            PlacementPolicyKind::LeastLoaded => Box::new(LeastLoaded),
            PlacementPolicyKind::Pairwise => Box::new(PairwisePlacement { model }),
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
    /// Services that have an endpoint there.
    pub services: Vec<ServiceName>,
    /// Kinds of tasks that are committed there, with the number of each.
    pub kinds: BTreeMap<KindName, u32>,
    /// Starts that are allowed; nothing when they are not bounded.
    pub starts_left: Option<u32>,
    /// Present slowdown of each of `services`, in their order; kept by the policy that needs it.
    pub slowdowns: Vec<f64>,
}

impl WorkerView {
    /// Whether a task of this size may be started here.
    ///
    /// ```
    /// use greengagearch::external::worker::ResourceAmount;
    /// use greengagearch::request::placement_policy::WorkerView;
    ///
    /// let host = ResourceAmount { millicores: 1_000, memory_mib: 1_000, accelerators: 0 };
    /// let view = WorkerView::empty("w1", host);
    /// assert!(view.has_room(&host));
    /// ```
    pub fn has_room(&self, amount: &ResourceAmount) -> bool {
        self.free.contains(amount) && self.starts_left != Some(0)
    }

    /// A worker on which nothing runs.
    ///
    /// ```
    /// use greengagearch::request::placement_policy::WorkerView;
    ///
    /// assert_eq!(WorkerView::empty("w1", Default::default()).worker, "w1");
    /// ```
    pub fn empty(worker: &str, capacity: ResourceAmount) -> WorkerView {
        WorkerView {
            worker: worker.to_string(),
            domain: String::new(),
            capacity,
            free: capacity,
            services: Vec::new(),
            kinds: BTreeMap::new(),
            starts_left: None,
            slowdowns: Vec::new(),
        }
    }

    /// The largest share of any resource that is committed, from 0 to 1 (Ghodsi et al., "Dominant
    /// Resource Fairness", NSDI 2011).
    ///
    /// ```
    /// use greengagearch::external::worker::ResourceAmount;
    /// use greengagearch::request::placement_policy::WorkerView;
    ///
    /// let host = ResourceAmount { millicores: 1_000, memory_mib: 1_000, accelerators: 0 };
    /// let mut view = WorkerView::empty("w1", host);
    /// view.free.millicores = 250;
    /// assert_eq!(view.committed_share(), 0.75);
    /// ```
    pub fn committed_share(&self) -> f64 {
        dominant_share(&self.capacity.minus(&self.free), &self.capacity)
    }

    /// Takes a task into the view.
    ///
    /// ```
    /// # use greengagearch::external::worker::ResourceAmount;
    /// # use greengagearch::request::placement_policy::WorkerView;
    /// let host = ResourceAmount { millicores: 1_000, memory_mib: 1_000, accelerators: 0 };
    /// let mut view = WorkerView::empty("w1", host);
    /// view.commit(&host, "roster");
    /// assert_eq!(view.free.millicores, 0);
    /// ```
    pub fn commit(&mut self, amount: &ResourceAmount, kind: &str) {
        self.free = self.free.minus(amount);
        self.starts_left = self.starts_left.map(|left| left.saturating_sub(1));
        *self.kinds.entry(kind.to_string()).or_default() += 1;
    }
}

/// The largest share that `amount` is of any resource of `whole`.
///
/// ```
/// use greengagearch::external::worker::ResourceAmount;
/// use greengagearch::request::placement_policy::dominant_share;
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

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

/// A worker that has room, with its position among all.
pub type CandidateWorker<'a> = (usize, &'a WorkerView);

/// Chooses one of the workers that have room for a task of a kind; gives its position.
pub trait PlacementPolicy: Send + Sync {
    /// Chooses; nothing only when `candidates` is empty.
    fn choose(
        &self,
        candidates: &[CandidateWorker<'_>],
        kind: &str,
        rng: &mut dyn Rng,
    ) -> Option<usize>;

    /// Must be told of the workers before the first choice among them.
    fn prepare(&self, _views: &mut [WorkerView]) {}

    /// Must be told of each task of a kind that a view takes.
    fn on_committed(&self, _view: &mut WorkerView, _kind: &str) {}
}

/// Any worker with room.
#[derive(Clone, Copy, Debug)]
pub struct RandomPlacement;

/// The first worker with room.
#[derive(Clone, Copy, Debug)]
pub struct FirstFit;

/// The worker with the smallest share committed.
#[derive(Clone, Copy, Debug)]
pub struct LeastLoaded;

/// Among the nearly least loaded workers, the one whose services suffer least.
///
/// The step is that of Shan et al., "Explore Data Placement Algorithm for Balanced Recovery Load
/// Distribution" (USENIX ATC 2023), Algorithm 2: among the candidates within a slack of the least
/// loaded one, the least sum of pair weights; here a weight is the slowdown that the new task adds.
#[derive(Clone)]
pub struct PairwisePlacement {
    /// Learned slowdowns.
    pub model: Arc<InterferenceModel>,
}

impl fmt::Debug for PairwisePlacement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PairwisePlacement").field("pairs", &self.model.pair_count()).finish()
    }
}

impl PlacementPolicy for RandomPlacement {
    fn choose(
        &self,
        candidates: &[CandidateWorker<'_>],
        _: &str,
        rng: &mut dyn Rng,
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        candidates.get(rng.random_range(0..candidates.len())).map(|one| one.0)
    }
}

impl PlacementPolicy for FirstFit {
    fn choose(
        &self,
        candidates: &[CandidateWorker<'_>],
        _: &str,
        _: &mut dyn Rng,
    ) -> Option<usize> {
        candidates.first().map(|one| one.0)
    }
}

impl PlacementPolicy for LeastLoaded {
    fn choose(
        &self,
        candidates: &[CandidateWorker<'_>],
        _: &str,
        _: &mut dyn Rng,
    ) -> Option<usize> {
        let shares = candidates.iter().map(|(index, view)| (*index, view.committed_share()));
        shares.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
    }
}

impl PlacementPolicy for PairwisePlacement {
    fn choose(
        &self,
        candidates: &[CandidateWorker<'_>],
        kind: &str,
        _: &mut dyn Rng,
    ) -> Option<usize> {
        let shares: Vec<f64> = candidates.iter().map(|(_, view)| view.committed_share()).collect();
        let least = shares.iter().copied().fold(f64::INFINITY, f64::min);
        let mut added = AddedSlowdowns { model: &self.model, kind, by_service: HashMap::new() };
        let costs =
            candidates.iter().zip(&shares).filter(|(_, share)| **share <= least + LOAD_SLACK);
        let costs = costs.map(|((index, view), share)| (*index, added.cost(view), *share));
        let best = costs.min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.total_cmp(&b.2)));
        best.map(|(index, _, _)| index)
    }

    fn prepare(&self, views: &mut [WorkerView]) {
        for view in views {
            let services = view.services.iter();
            let slowdowns = services.map(|service| self.model.slowdown(service, &view.kinds));
            view.slowdowns = slowdowns.collect();
        }
    }

    fn on_committed(&self, view: &mut WorkerView, kind: &str) {
        for (service, slowdown) in view.services.iter().zip(&mut view.slowdowns) {
            *slowdown += self.model.estimate(service, kind).slowdown;
        }
    }
}

/// By how much a task of one kind slows services down, looked up once for each service.
struct AddedSlowdowns<'a> {
    model: &'a InterferenceModel,
    kind: &'a str,
    by_service: HashMap<&'a str, f64>,
}

impl<'a> AddedSlowdowns<'a> {
    /// By how much the services of a worker would suffer more. Pain grows with the square of a
    /// service's slowdown, so that it is spread rather than heaped up.
    fn cost(&mut self, view: &'a WorkerView) -> f64 {
        let services = view.services.iter().zip(&view.slowdowns);
        services.map(|(service, now)| (now + self.of(service)).powi(2) - now.powi(2)).sum()
    }

    fn of(&mut self, service: &'a str) -> f64 {
        let (model, kind) = (self.model, self.kind);
        *self.by_service.entry(service).or_insert_with(|| {
            let estimate = model.estimate(service, kind);
            estimate.slowdown + UNCERTAINTY_WEIGHT * estimate.variance.sqrt()
        })
    }
}

/// Chooses a worker with room for `amount`; those in `avoid` only when there is no other.
///
/// ```
/// use greengagearch::external::worker::ResourceAmount;
/// use greengagearch::request::placement_policy::FirstFit;
/// use greengagearch::request::placement_policy::choose_worker;
///
/// let amount = ResourceAmount::default();
/// assert_eq!(choose_worker(&FirstFit, &[], &amount, "roster", &[], &mut rand::rng()), None);
/// ```
pub fn choose_worker(
    policy: &dyn PlacementPolicy,
    views: &[WorkerView],
    amount: &ResourceAmount,
    kind: &str,
    avoid: &[WorkerId],
    rng: &mut dyn Rng,
) -> Option<usize> {
    let numbered = views.iter().enumerate();
    let candidates: Vec<CandidateWorker<'_>> =
        numbered.filter(|(_, view)| view.has_room(amount)).collect();
    let preferred: Vec<CandidateWorker<'_>> =
        candidates.iter().copied().filter(|(_, view)| !avoid.contains(&view.worker)).collect();
    policy.choose(if preferred.is_empty() { &candidates } else { &preferred }, kind, rng)
}
