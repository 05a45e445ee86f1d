//! Remaining work of a job and its time objective, from which its urgency is derived.

use crate::workflow::job_forecast::TaskPosition;
use crate::workflow::planner_jobs::JobEntry;
use crate::workflow::spec::StepSpec;

/// Remaining work of the first open occurrence of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RemainingWork {
    /// Critical path: the longest remaining chain of dependent steps, in milliseconds at full pace.
    pub critical_path_ms: u64,
    /// Total remaining work in core-milliseconds.
    pub remaining_core_ms: u64,
    /// Time after the due time within which the job has to be completed, in milliseconds.
    pub objective_ms: u64,
}

impl RemainingWork {
    pub(crate) fn of(entry: &JobEntry) -> RemainingWork {
        let spec = &entry.spec;
        let occurrence = entry.progress.open.keys().next().copied().unwrap_or(0);
        let steps = entry.progress.open.get(&occurrence);
        let (mut max_remaining_ms, mut remaining_core_ms) =
            (Vec::with_capacity(spec.steps.len()), 0.0);
        for (step, declared) in (0..).zip(&spec.steps) {
            let tasks = steps.and_then(|steps| steps.get(step as usize)).into_iter().flatten();
            let open = (0..).zip(tasks).filter(|(_, task)| !task.done);
            let positions = open.map(|(index, _)| TaskPosition { occurrence, step, index });
            let remaining: Vec<f64> =
                positions.map(|position| entry.forecast.remaining_ms(spec, position)).collect();
            remaining_core_ms +=
                remaining.iter().sum::<f64>() * declared.resources.millicores as f64 / 1_000.0;
            max_remaining_ms.push(remaining.into_iter().fold(0.0, f64::max));
        }
        let max_durations =
            (0..).zip(&spec.steps).map(|(step, _)| entry.forecast.max_ms(spec, step));
        let full_path_ms = critical_path(&spec.steps, &max_durations.collect::<Vec<f64>>());
        RemainingWork {
            critical_path_ms: critical_path(&spec.steps, &max_remaining_ms) as u64,
            remaining_core_ms: remaining_core_ms as u64,
            objective_ms: (full_path_ms * spec.policy.stretch) as u64 + spec.policy.target_ms,
        }
    }
}

/// Length of the longest chain of dependent steps with the given durations.
pub(crate) fn critical_path(steps: &[StepSpec], durations: &[f64]) -> f64 {
    let mut finish_times: Vec<f64> = Vec::with_capacity(steps.len());
    for (step, duration) in steps.iter().zip(durations) {
        let predecessors =
            step.after.iter().filter_map(|predecessor| finish_times.get(*predecessor));
        let start = predecessors.copied().fold(0.0, f64::max);
        finish_times.push(start + duration);
    }
    finish_times.into_iter().fold(0.0, f64::max)
}
