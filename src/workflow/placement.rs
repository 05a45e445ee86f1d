//! Which worker gets a task of a step.

use std::time::Duration;
use std::time::Instant;

use crate::ids::InstanceId;
use crate::process::suspicion::WorkerSuspicion;
use crate::workflow::advice_book::AdviceBook;
use crate::workflow::disturbance::DisturbanceModel;
use crate::workflow::spec::StepSpec;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_entry::WorkerEntry;
use crate::workflow::worker_inventory::WorkerInventory;

/// Least share of the processor time it asks for that a task that fills must find free, so that it is
/// placed: below, it would hold memory and delay its neighbours' fills more than it gains.
const LEAST_FILL: f64 = 0.5;
/// Added to the cost of a worker off the preferred rack, in shares of its capacity: as much as the
/// longest run there costs.
const OFF_RACK_COST: f64 = 0.5;
/// Added to the cost of a worker on which nothing serves, for work that does not fill: more than any
/// difference in load.
const NOT_SERVING_COST: f64 = 1.0;
/// Taken off the cost of a worker on which the same image serves: a fill finds more workers beside which it is
/// light when each holds few images that serve.
const SAME_IMAGE_GAIN: f64 = 0.5;
/// Cost of a tail at its target, in shares of a worker's load.
const RISK_COST: f64 = 1.0;
/// Cost of a load of one that a task itself adds: it goes where it is light, and leaves other workers to those that
/// are light there.
const OWN_COST: f64 = 3.0;
/// Time since the last change of fills on a worker after which a pair that was never seen may be tried
/// there, so that what it does is told apart.
const EXPLORE_PAUSE: Duration = Duration::from_millis(1_000);
/// Thousandths of a core that make up one unit of cost; larger than any worker, so that size only
/// decides between workers that are equally free.
const SIZE_UNIT: f64 = 1_000_000.0;
/// Added to the cost of a worker that is being emptied, and taken off where room is kept for the task: more than all other
/// costs together, since both were decided before.
const DECIDED_COST: f64 = 10.0;
/// Time after its newest assignment in which a worker is avoided by a suspect: its order is delivered by then.
const FRESH_SPAN: Duration = Duration::from_millis(150);
/// Added to the cost of a worker that has failed tasks of late.
const FAILED_COST: f64 = 3.0;

/// What a task needs, and where it must not go.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The task.
    pub task: &'a TaskName,
    /// Its step.
    pub step: &'a StepSpec,
    /// Its service.
    pub service: &'a str,
    /// Workers on which it has failed or runs already.
    pub avoid: &'a [InstanceId],
    /// How far a task that fills may put tasks that serve at risk.
    pub risk: RiskLimit,
    /// Whether only workers may take it for which there is a ticket.
    pub needs_ticket: bool,
    /// The rack that it must go to, if any.
    pub rack: Option<&'a str>,
    /// Whether it is suspected to crash its workers.
    pub is_isolated: bool,
    /// A worker that it must not go to, if any.
    pub not_on: Option<&'a str>,
}

/// How far a task that fills may put the tasks that serve on its worker at risk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RiskLimit {
    /// Only where its image is known to be light beside theirs.
    Known,
    /// Also where its image was never seen beside theirs, on one worker at a time.
    Explore,
    /// Anywhere, because its job has waited long; the pace protects what serves.
    Any,
}

/// What a choice is made by.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// The workers.
    pub inventory: &'a WorkerInventory,
    /// Workers that fail what they start.
    pub suspicion: &'a WorkerSuspicion,
    /// What images do to each other.
    pub disturbance: &'a DisturbanceModel,
    /// What the advice service has said.
    pub advice: &'a AdviceBook,
    /// A worker that is being emptied of what serves.
    pub being_emptied: Option<&'a str>,
    /// The time.
    pub now: Instant,
}

/// The best worker for a task, if any has room.
///
/// ```
/// use std::time::Instant;
///
/// use greengagearch::process::suspicion::WorkerSuspicion;
/// use greengagearch::workflow::advice_book::AdviceBook;
/// use greengagearch::workflow::disturbance::DisturbanceModel;
/// use greengagearch::workflow::placement::PlacementRequest;
/// use greengagearch::workflow::placement::PlacementView;
/// use greengagearch::workflow::placement::RiskLimit;
/// use greengagearch::workflow::placement::choose;
/// use greengagearch::workflow::spec::StepSpec;
/// use greengagearch::workflow::worker_inventory::WorkerInventory;
///
/// let task = "a.0.0.0".parse().unwrap();
/// let step = StepSpec::default();
/// let risk = RiskLimit::Known;
/// let request = PlacementRequest {
///     task: &task,
///     step: &step,
///     service: "s",
///     avoid: &[],
///     risk,
///     needs_ticket: false,
///     rack: None,
///     is_isolated: false,
///     not_on: None,
/// };
/// let (inventory, suspicion) = (WorkerInventory::default(), WorkerSuspicion::default());
/// let disturbance = DisturbanceModel::default();
/// let advice = AdviceBook::default();
/// let view = PlacementView {
///     inventory: &inventory,
///     suspicion: &suspicion,
///     disturbance: &disturbance,
///     advice: &advice,
///     being_emptied: None,
///     now: Instant::now(),
/// };
/// assert_eq!(choose(&request, &view), None);
/// ```
pub fn choose(request: &PlacementRequest<'_>, view: &PlacementView<'_>) -> Option<InstanceId> {
    let mut best: Option<(f64, &InstanceId)> = None;
    for (instance, worker) in view.inventory.iter() {
        let room = worker.room_for(request.task, view.now);
        let has_room = room.contains(&request.step.counted_room());
        if !has_room || !fits_but_for_room(request, view, instance, worker) {
            continue;
        }
        let Some(cost) = cost(request, view, instance, worker) else {
            continue;
        };
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, instance));
        }
    }
    best.map(|(_, instance)| instance.clone())
}

/// Whether a worker may take a task, whether it has room or not.
pub(crate) fn fits_but_for_room(
    request: &PlacementRequest<'_>,
    view: &PlacementView<'_>,
    instance: &str,
    worker: &WorkerEntry,
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
    let is_below_bound =
        || step.max_per_worker == 0 || worker.of_step(request.task) < step.max_per_worker;
    // What starts beside a suspect would hide which of them crashed the worker, and be lost with it.
    let is_shared = worker.isolated.as_ref().is_none_or(|key| is_gang_of(request, &key.0));
    request.not_on != Some(instance)
        && is_shared
        && status.service == request.service
        && request.rack.is_none_or(|rack| status.rack() == rack)
        && worker.is_open(view.now)
        && is_trusted()
        && has_label()
        && has_ticket()
        && is_below_bound()
}

/// Whether a task is of the gang that needs a worker; members may share one.
fn is_gang_of(request: &PlacementRequest<'_>, other: &TaskName) -> bool {
    request.step.gang && request.task.step_key() == other.step_key()
}

/// What it costs to put a task on a worker that has room; nothing when that is too great a risk for others.
fn cost(
    request: &PlacementRequest<'_>,
    view: &PlacementView<'_>,
    instance: &str,
    worker: &WorkerEntry,
) -> Option<f64> {
    let status = worker.status.as_ref()?;
    let step = request.step;
    let mut cost =
        if step.fills { fill_cost(request, view, worker)? } else { packed_cost(request, worker) };
    if request.is_isolated {
        // Where the least is lost if it crashes this worker as well, and no other run is as new, so that the crash names it.
        let is_fresh = worker.newest().is_some_and(|at| view.now < at + FRESH_SPAN);
        cost = worker.stake() / SIZE_UNIT + if is_fresh { DECIDED_COST } else { 0.0 };
    }
    if !step.preferred_rack.is_empty() && !status.labels.contains(&step.preferred_rack) {
        cost += OFF_RACK_COST;
    }
    if request.avoid.iter().any(|avoided| avoided == instance) {
        cost += FAILED_COST;
    }
    if step.long_running && view.being_emptied == Some(instance) {
        cost += DECIDED_COST;
    }
    if worker.holds.is_for(request.task, view.now) {
        cost -= DECIDED_COST;
    }
    Some(cost)
}

/// Share of the guarded processor time that is left, so that the fullest worker is filled first. Work
/// that serves is kept together, because tasks that fill are only let loose where nothing serves.
fn packed_cost(request: &PlacementRequest<'_>, worker: &WorkerEntry) -> f64 {
    let capacity = worker.status.as_ref().map_or(0, |status| status.capacity.millicores);
    let left = worker.free_room().millicores as f64 / capacity.max(1) as f64;
    // Of workers on which nothing serves the largest is opened first, so that few have to be.
    let size = capacity as f64 / SIZE_UNIT;
    let cost = if worker.is_serving() { left } else { left + NOT_SERVING_COST - size };
    let is_alike = request.step.target_ms > 0 && worker.serves_image(&request.step.image);
    if is_alike { cost - SAME_IMAGE_GAIN } else { cost }
}

/// Demand of fills against what is left to them, with this one, and the risk for what serves.
fn fill_cost(
    request: &PlacementRequest<'_>,
    view: &PlacementView<'_>,
    worker: &WorkerEntry,
) -> Option<f64> {
    let room = worker.fill_room();
    let wanted = request.step.room.millicores as f64;
    let demand = worker.fill_demand() + worker.holds.filling(request.task, view.now);
    let is_alone = demand == 0.0 && room > 0.0;
    if room - demand < wanted * LEAST_FILL && !is_alone && request.risk != RiskLimit::Any {
        return None;
    }
    let load = (demand + wanted) / room.max(1.0);
    if !worker.is_serving() {
        return Some(load);
    }
    if worker.holds_fills_back() && request.risk != RiskLimit::Any {
        return None;
    }
    let risk = view.disturbance.risk(worker, &request.step.image);
    let is_allowed = match request.risk {
        RiskLimit::Known => !risk.is_unseen && risk.is_low(),
        RiskLimit::Explore => {
            let passed = |at: Instant| view.now.saturating_duration_since(at) > EXPLORE_PAUSE;
            let is_calm = worker.fills_changed.is_none_or(passed);
            (!risk.is_unseen && risk.is_low()) || (risk.is_unseen && is_calm)
        }
        RiskLimit::Any => true,
    };
    is_allowed.then_some(load + risk.pressure * RISK_COST + risk.own * OWN_COST)
}
