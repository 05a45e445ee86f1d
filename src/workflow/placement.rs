//! Selection of a worker for a task.

use std::cell::OnceCell;
use std::time::Duration;
use std::time::Instant;

use crate::ids::InstanceId;
use crate::process::suspicion::WorkerSuspicion;
use crate::workflow::advice_cache::AdviceCache;
use crate::workflow::pair_interference::PairInterferenceModel;
use crate::workflow::spec::StepSpec;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_entry::Competitors;
use crate::workflow::worker_entry::WorkerEntry;
use crate::workflow::worker_inventory::WorkerInventory;
use crate::workflow::worker_speed::FleetSpeed;

/// Minimum share of its requested processor time that must be left for a best-effort task. With
/// less it would occupy memory and delay the other best-effort tasks more than it gains.
pub(crate) const MIN_BEST_EFFORT_SHARE: f64 = 0.5;
/// Cost of a worker outside the preferred rack, as a share of its capacity; equals the cost of the
/// longest run there.
const OFF_RACK_COST: f64 = 0.5;
/// Cost of a worker without serving tasks, for tasks that are not best-effort; exceeds any
/// difference in load.
const NOT_SERVING_COST: f64 = 1.0;
/// Cost reduction for a worker on which the same image serves. With few serving images per worker,
/// a best-effort task finds more workers where it interferes little.
const SAME_IMAGE_DISCOUNT: f64 = 0.5;
/// Cost of a tail latency at its target, as a share of the worker's load.
const RISK_COST: f64 = 1.0;
/// Cost of each unit of load that the task itself adds. Tasks go where they interfere least and
/// leave other workers to the tasks that interfere little there.
const OWN_LOAD_COST: f64 = 3.0;
/// Minimum time since the last change of best-effort runs on a worker before an unknown pair of
/// images is tried there, so that its effect can be told from that of earlier changes.
const EXPLORE_DELAY: Duration = Duration::from_millis(1_000);
/// Thousandths of a core that make up one unit of cost. Larger than any worker, so that size
/// decides only between equally free workers.
const SIZE_UNIT: f64 = 1_000_000.0;
/// Cost of a worker that is being emptied, and cost reduction for a worker with a reservation for
/// the task. Exceeds the sum of all other costs, since both reflect an earlier decision.
const PRIOR_DECISION_COST: f64 = 10.0;
/// Time after the newest assignment to a worker in which suspected tasks avoid it; the order is
/// delivered by then.
const RECENT_ASSIGNMENT_SPAN: Duration = Duration::from_millis(150);
/// Cost of a worker on which the task has failed.
const FAILED_BEFORE_COST: f64 = 3.0;

/// A task to place, with the restrictions on its worker.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The task.
    pub task: &'a TaskName,
    /// Step of the task.
    pub step: &'a StepSpec,
    /// Service whose workers may run the task.
    pub service: &'a str,
    /// Workers on which the task has failed, which get a higher cost.
    pub failed_on: &'a [InstanceId],
    /// Accepted risk to serving tasks, for a best-effort task.
    pub risk: RiskLimit,
    /// Whether the worker needs a valid ticket of the advice service.
    pub needs_ticket: bool,
    /// Rack that the worker has to be on, if any.
    pub rack: Option<&'a str>,
    /// Whether the task is suspected of crashing its workers.
    pub is_isolated: bool,
    /// Worker that is excluded, if any.
    pub excluded_worker: Option<&'a str>,
    /// Best-effort runs that count against a worker, for a best-effort task.
    pub competitors: Competitors,
}

/// Risk to the serving tasks of a worker that is accepted when a best-effort task is placed there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RiskLimit {
    /// Only workers on which the image is known to interfere little with the serving images.
    Known,
    /// Also workers on which an image pair is unknown, after a period without changes there.
    Explore,
    /// Any worker, because the job has waited long; the agent's pace control protects serving
    /// tasks.
    Any,
}

/// State of the planner that a placement is decided on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// All workers.
    pub inventory: &'a WorkerInventory,
    /// Suspicion of workers on which tasks fail.
    pub suspicion: &'a WorkerSuspicion,
    /// Known interference between images.
    pub interference: &'a PairInterferenceModel,
    /// Tickets of the advice service.
    pub advice: &'a AdviceCache,
    /// Worker that is being emptied of serving tasks, if any.
    pub being_emptied: Option<&'a str>,
    /// Learned speeds of the workers, if they are learned.
    pub speeds: Option<&'a FleetSpeed>,
    /// Current time.
    pub now: Instant,
}

/// Returns the worker with the lowest cost that has capacity for a task, if any.
///
/// ```
/// use std::time::Instant;
///
/// use greengagearch::process::suspicion::WorkerSuspicion;
/// use greengagearch::workflow::advice_cache::AdviceCache;
/// use greengagearch::workflow::pair_interference::PairInterferenceModel;
/// use greengagearch::workflow::placement::PlacementRequest;
/// use greengagearch::workflow::placement::PlacementView;
/// use greengagearch::workflow::placement::RiskLimit;
/// use greengagearch::workflow::placement::choose;
/// use greengagearch::workflow::spec::StepSpec;
/// use greengagearch::workflow::worker_entry::Competitors;
/// use greengagearch::workflow::worker_inventory::WorkerInventory;
///
/// let task = "a.0.0.0".parse().unwrap();
/// let step = StepSpec::default();
/// let risk = RiskLimit::Known;
/// let request = PlacementRequest {
///     task: &task,
///     step: &step,
///     service: "s",
///     failed_on: &[],
///     risk,
///     needs_ticket: false,
///     rack: None,
///     is_isolated: false,
///     excluded_worker: None,
///     competitors: Competitors::All,
/// };
/// let (inventory, suspicion) = (WorkerInventory::default(), WorkerSuspicion::default());
/// let interference = PairInterferenceModel::default();
/// let advice = AdviceCache::default();
/// let view = PlacementView {
///     inventory: &inventory,
///     suspicion: &suspicion,
///     interference: &interference,
///     advice: &advice,
///     being_emptied: None,
///     speeds: None,
///     now: Instant::now(),
/// };
/// assert_eq!(choose(&request, &view), None);
/// ```
pub fn choose(request: &PlacementRequest<'_>, view: &PlacementView<'_>) -> Option<InstanceId> {
    let mut best: Option<(f64, &InstanceId)> = None;
    // Looked up once, since it takes a pass over the workers.
    let other_worker = OnceCell::new();
    let has_other = || *other_worker.get_or_init(|| has_other_worker(request, view));
    for (instance, worker) in view.inventory.iter() {
        let available = worker.available_to(request.task, view.now);
        let has_capacity = available.contains(&request.step.reserved_resources());
        if !has_capacity || !is_eligible_unless(request, view, (instance, worker), has_other) {
            continue;
        }
        let Some(cost) = cost(request, view, instance, worker) else {
            continue;
        };
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, instance));
        }
    }
    best.map(|(_, instance)| instance.clone())
}

/// Returns whether a worker may run a task, regardless of its free capacity.
pub(crate) fn is_eligible(
    request: &PlacementRequest<'_>,
    view: &PlacementView<'_>,
    instance: &str,
    worker: &WorkerEntry,
) -> bool {
    is_eligible_unless(request, view, (instance, worker), || has_other_worker(request, view))
}

/// The same, with a function that tells whether a worker that is not ejected could run the task.
fn is_eligible_unless(
    request: &PlacementRequest<'_>,
    view: &PlacementView<'_>,
    (instance, worker): (&str, &WorkerEntry),
    has_other: impl Fn() -> bool,
) -> bool {
    let Some(status) = worker.status.as_ref() else {
        return false;
    };
    let step = request.step;
    let is_trusted = || view.suspicion.starts_left(instance, view.now) != Some(0);
    let has_label =
        || step.required_label.is_empty() || status.labels.contains(&step.required_label);
    let has_ticket = || {
        let ticket = || view.advice.ticket(&request.task.step_key(), instance, view.now);
        !request.needs_ticket || ticket().is_some()
    };
    let is_below_limit =
        || step.max_per_worker == 0 || worker.runs_of_step(request.task) < step.max_per_worker;
    // Copies and moves avoid slow workers, so they are no probes.
    let is_fast = || {
        view.speeds.is_none_or(|speeds| {
            let may_be_probe = request.excluded_worker.is_none();
            speeds.may_start(instance, step, may_be_probe, view.now) || !has_other()
        })
    };
    // A task that starts beside a suspected one would be lost in a crash and obscure its cause.
    let is_available = worker.isolated.as_ref().is_none_or(|key| is_same_gang(request, &key.0));
    request.excluded_worker != Some(instance)
        && is_available
        && status.service == request.service
        && request.rack.is_none_or(|rack| status.rack() == rack)
        && worker.is_open(view.now)
        && is_trusted()
        && has_label()
        && has_ticket()
        && is_below_limit()
        && is_fast()
}

/// Returns whether a worker that is not ejected could run a task if it were free. A task that only
/// ejected workers can run would otherwise wait for as long as they are slow.
fn has_other_worker(request: &PlacementRequest<'_>, view: &PlacementView<'_>) -> bool {
    let is_ejected =
        |instance: &str| view.speeds.is_some_and(|speeds| speeds.ejection.is_ejected(instance));
    let step = request.step;
    let key = request.task.step_key();
    // A worker that has its share of a step of long-running tasks takes no more of them, however
    // long they wait.
    let is_below_limit = |worker: &WorkerEntry| {
        !step.long_running
            || step.max_per_worker == 0
            || worker.runs_of_step(request.task) < step.max_per_worker
    };
    view.inventory.iter().any(|(instance, worker)| {
        worker.status.as_ref().filter(|status| status.service == request.service).is_some_and(
            |status| {
                let has_label =
                    step.required_label.is_empty() || status.labels.contains(&step.required_label);
                let has_ticket =
                    !request.needs_ticket || view.advice.ticket(&key, instance, view.now).is_some();
                !is_ejected(instance)
                    && worker.is_open(view.now)
                    && has_label
                    && has_ticket
                    && is_below_limit(worker)
                    && status.capacity.contains(&step.reserved_resources())
            },
        )
    })
}

/// Returns whether a task belongs to the gang that requests a worker; its members may share one.
fn is_same_gang(request: &PlacementRequest<'_>, other: &TaskName) -> bool {
    request.step.gang && request.task.step_key() == other.step_key()
}

/// Cost of placing a task on a worker that has capacity; `None` if the risk to other tasks is too
/// high.
fn cost(
    request: &PlacementRequest<'_>,
    view: &PlacementView<'_>,
    instance: &str,
    worker: &WorkerEntry,
) -> Option<f64> {
    let status = worker.status.as_ref()?;
    let step = request.step;
    let mut cost = if step.best_effort {
        best_effort_cost(request, view, worker)?
    } else {
        packing_cost(request, worker)
    };
    if request.is_isolated {
        // Prefers the worker where a crash would lose the least, and avoids other recent runs, so
        // that a crash can be attributed to this task.
        let is_recent =
            worker.last_assigned_at().is_some_and(|at| view.now < at + RECENT_ASSIGNMENT_SPAN);
        cost = worker.crash_loss() / SIZE_UNIT + if is_recent { PRIOR_DECISION_COST } else { 0.0 };
    }
    if !step.preferred_rack.is_empty() && !status.labels.contains(&step.preferred_rack) {
        cost += OFF_RACK_COST;
    }
    cost += view.speeds.map_or(0.0, |speeds| speeds.cost(instance));
    if request.failed_on.iter().any(|failed| failed == instance) {
        cost += FAILED_BEFORE_COST;
    }
    if step.long_running && view.being_emptied == Some(instance) {
        cost += PRIOR_DECISION_COST;
    }
    if worker.reservations.has_reservation(request.task, view.now) {
        cost -= PRIOR_DECISION_COST;
    }
    Some(cost)
}

/// Share of the allocatable processor time that is free, so that the fullest worker is preferred.
/// This keeps serving tasks together and leaves workers without them, where best-effort tasks are
/// not throttled.
fn packing_cost(request: &PlacementRequest<'_>, worker: &WorkerEntry) -> f64 {
    let capacity = worker.status.as_ref().map_or(0, |status| status.capacity.millicores);
    let left = worker.free_resources().millicores as f64 / capacity.max(1) as f64;
    // Among workers without serving tasks the largest is preferred, so that fewer of them are
    // needed.
    let size = capacity as f64 / SIZE_UNIT;
    let cost = if worker.is_serving() { left } else { left + NOT_SERVING_COST - size };
    let is_alike = request.step.target_ms > 0 && worker.serves_image(&request.step.image);
    if is_alike { cost - SAME_IMAGE_DISCOUNT } else { cost }
}

/// Best-effort demand relative to the capacity left for it, including the new task, plus the
/// interference with serving tasks. `None` if the worker is unsuitable.
fn best_effort_cost(
    request: &PlacementRequest<'_>,
    view: &PlacementView<'_>,
    worker: &WorkerEntry,
) -> Option<f64> {
    let available = worker.best_effort_capacity();
    let requested = request.step.resources.millicores as f64;
    let demand = worker.best_effort_demand(request.competitors)
        + worker.reservations.best_effort_millicores(request.task, view.now);
    let is_unused = demand == 0.0 && available > 0.0;
    if available - demand < requested * MIN_BEST_EFFORT_SHARE
        && !is_unused
        && request.risk != RiskLimit::Any
    {
        return None;
    }
    let load = (demand + requested) / available.max(1.0);
    if !worker.is_serving() {
        return Some(load);
    }
    if worker.is_saturated(request.competitors) && request.risk != RiskLimit::Any {
        return None;
    }
    let risk = view.interference.risk(worker, &request.step.image, request.competitors);
    let is_allowed = match request.risk {
        RiskLimit::Known => !risk.is_unmeasured && risk.is_low(),
        RiskLimit::Explore => {
            let passed = |at: Instant| view.now.saturating_duration_since(at) > EXPLORE_DELAY;
            let is_stable = worker.best_effort_changed.is_none_or(passed);
            (!risk.is_unmeasured && risk.is_low()) || (risk.is_unmeasured && is_stable)
        }
        RiskLimit::Any => true,
    };
    is_allowed.then_some(load + risk.load_ratio * RISK_COST + risk.added_load * OWN_LOAD_COST)
}
