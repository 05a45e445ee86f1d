//! Placement policies, which choose a worker for a task.

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

/// Largest difference in committed share to the least loaded worker at which the pairwise policy
/// considers a worker.
pub const LOAD_SLACK: f64 = 0.5;
/// Standard deviations added to an estimated slowdown, so that a pair with few samples counts as
/// worse than a well-known pair with the same estimate.
const UNCERTAINTY_WEIGHT: f64 = 0.5;

/// Policy for choosing among the workers on which a task fits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicyKind {
    /// A random worker.
    Random,
    /// The first worker by name.
    FirstFit,
    /// The worker with the smallest dominant share committed.
    LeastLoaded,
    /// Among the workers close to the least loaded one, the worker whose services are slowed down
    /// least, according to the learned slowdowns of pairs of a service and a kind of task.
    #[default]
    Pairwise,
}

/// The text is not the name of a placement policy.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected one of random, first-fit, least-loaded, pairwise"))]
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
    /// Creates the policy.
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

/// State of a worker that the placement policies use.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerView {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Resources of the worker.
    pub capacity: ResourceAmount,
    /// Resources that are not committed.
    pub free: ResourceAmount,
    /// Services that have an endpoint on the worker.
    pub services: Vec<ServiceName>,
    /// Number of committed tasks of each kind.
    pub kinds: BTreeMap<KindName, u32>,
    /// Number of further starts that are allowed; `None` if there is no limit.
    pub starts_left: Option<u32>,
    /// Current slowdown of each of `services`, in the same order; maintained by the pairwise
    /// policy.
    pub slowdowns: Vec<f64>,
}

impl WorkerView {
    /// Whether a task with these resources may start on the worker.
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

    /// Creates the view of a worker without endpoints and tasks.
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

    /// Dominant share of the committed resources, from 0 to 1 (Ghodsi et al., "Dominant Resource
    /// Fairness", NSDI 2011).
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

    /// Commits resources to a task of a kind.
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

/// Dominant share: the largest of the shares that `amount` has of the resources of `whole`.
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

/// A worker on which a task fits, with its index among all workers.
pub type CandidateWorker<'a> = (usize, &'a WorkerView);

/// Policy that chooses one of the workers on which a task fits.
pub trait PlacementPolicy: Send + Sync {
    /// Chooses a worker for a task of a kind and returns its index; `None` only if there are no
    /// candidates.
    fn choose(
        &self,
        candidates: &[CandidateWorker<'_>],
        kind: &str,
        rng: &mut dyn Rng,
    ) -> Option<usize>;

    /// Prepares the workers; has to be called before the first choice among them.
    fn prepare(&self, _views: &mut [WorkerView]) {}

    /// Updates a worker after a task of a kind was committed to it; has to be called each time.
    fn on_committed(&self, _view: &mut WorkerView, _kind: &str) {}
}

/// Chooses a random worker.
#[derive(Clone, Copy, Debug)]
pub struct RandomPlacement;

/// Chooses the first worker.
#[derive(Clone, Copy, Debug)]
pub struct FirstFit;

/// Chooses the worker with the smallest committed share.
#[derive(Clone, Copy, Debug)]
pub struct LeastLoaded;

/// Chooses, among the workers close to the least loaded one, the worker whose services are slowed
/// down least.
///
/// This is the selection step of Shan et al., "Explore Data Placement Algorithm for Balanced
/// Recovery Load Distribution" (USENIX ATC 2023), Algorithm 2: among the candidates within a slack
/// of the least loaded one, it takes the one with the smallest sum of pair weights. A weight here
/// is the increase in the squared slowdown of a service that the new task causes.
#[derive(Clone)]
pub struct PairwisePlacement {
    /// Learned slowdowns of pairs of a service and a kind of task.
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

/// Slowdowns that a task of one kind adds to services, estimated once for each service.
struct AddedSlowdowns<'a> {
    model: &'a InterferenceModel,
    kind: &'a str,
    by_service: HashMap<&'a str, f64>,
}

impl<'a> AddedSlowdowns<'a> {
    /// Cost of a further task on a worker: the increase in the sum of the squared slowdowns of its
    /// services. Squares favour spreading slowdowns over concentrating them on one service.
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

/// Chooses a worker on which `amount` fits; one of `avoid` only if there is no other.
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
