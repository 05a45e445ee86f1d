//! Which worker gets a task of a step.

use std::time::Instant;

use crate::ids::InstanceId;
use crate::process::suspicion::WorkerSuspicion;
use crate::workflow::spec::StepSpec;
use crate::workflow::spec::TaskName;
use crate::workflow::worker_board::WorkerBoard;
use crate::workflow::worker_board::WorkerEntry;

/// Least share of the processor time it asks for that a task that fills must find free, so that it is
/// placed: below, it would hold memory and delay its neighbours' fills more than it gains.
const LEAST_FILL: f64 = 0.5;
/// Added to the cost of a worker off the preferred rack, in shares of its capacity: as much as the
/// longest run there costs.
const OFF_RACK_COST: f64 = 0.5;
/// Added to the cost of a worker on which nothing serves, for work that does not fill: more than any
/// difference in load.
const NOT_SERVING_COST: f64 = 1.0;
/// Added to the cost of a worker that has failed tasks of late.
const FAILED_COST: f64 = 3.0;

/// What a task needs, and where it must not go.
#[derive(Clone, Copy, Debug)]
pub struct PlacementNeed<'a> {
    /// The task.
    pub task: &'a TaskName,
    /// Its step.
    pub step: &'a StepSpec,
    /// Its service.
    pub service: &'a str,
    /// Workers on which it has failed or runs already.
    pub avoid: &'a [InstanceId],
}

/// The best worker for a task, if any has room.
///
/// ```
/// use std::time::Instant;
///
/// use greengagearch::process::suspicion::WorkerSuspicion;
/// use greengagearch::workflow::placement::PlacementNeed;
/// use greengagearch::workflow::placement::choose;
/// use greengagearch::workflow::spec::StepSpec;
/// use greengagearch::workflow::worker_board::WorkerBoard;
///
/// let task = "a.0.0.0".parse().unwrap();
/// let step = StepSpec::default();
/// let need = PlacementNeed { task: &task, step: &step, service: "s", avoid: &[] };
/// let board = WorkerBoard::default();
/// assert_eq!(choose(&need, &board, &WorkerSuspicion::default(), Instant::now()), None);
/// ```
pub fn choose(
    need: &PlacementNeed<'_>,
    board: &WorkerBoard,
    suspicion: &WorkerSuspicion,
    now: Instant,
) -> Option<InstanceId> {
    let mut best: Option<(f64, &InstanceId)> = None;
    for (instance, worker) in board.iter() {
        if !worker.is_open(now) || suspicion.starts_left(instance, now) == Some(0) {
            continue;
        }
        let Some(cost) = cost(need, instance, worker) else {
            continue;
        };
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, instance));
        }
    }
    best.map(|(_, instance)| instance.clone())
}

/// What it costs to put a task on a worker; nothing when it cannot go there.
fn cost(need: &PlacementNeed<'_>, instance: &str, worker: &WorkerEntry) -> Option<f64> {
    let status = worker.status.as_ref()?;
    let step = need.step;
    if status.service != need.service || !worker.free_room().contains(&step.counted_room()) {
        return None;
    }
    if !step.required_label.is_empty() && !status.labels.contains(&step.required_label) {
        return None;
    }
    if step.max_per_worker > 0 && worker.of_step(need.task) >= step.max_per_worker {
        return None;
    }
    let mut cost = if step.fills { fill_cost(step, worker)? } else { packed_cost(worker) };
    if !step.preferred_rack.is_empty() && !status.labels.contains(&step.preferred_rack) {
        cost += OFF_RACK_COST;
    }
    if need.avoid.iter().any(|avoided| avoided == instance) {
        cost += FAILED_COST;
    }
    Some(cost)
}

/// Share of the guarded processor time that is left, so that the fullest worker is filled first. Work
/// that serves is kept together, because tasks that fill are only let loose where nothing serves.
fn packed_cost(worker: &WorkerEntry) -> f64 {
    let capacity = worker.status.as_ref().map_or(0, |status| status.capacity.millicores);
    let left = worker.free_room().millicores as f64 / capacity.max(1) as f64;
    if worker.is_serving() { left } else { left + NOT_SERVING_COST }
}

/// Demand of fills against what is left to them, with this one.
fn fill_cost(step: &StepSpec, worker: &WorkerEntry) -> Option<f64> {
    if worker.is_serving() {
        return None;
    }
    let room = worker.fill_room();
    let wanted = step.room.millicores as f64;
    let demand = worker.fill_demand();
    let is_alone = demand == 0.0 && room > 0.0;
    if room - demand < wanted * LEAST_FILL && !is_alone {
        return None;
    }
    Some((demand + wanted) / room.max(1.0))
}
