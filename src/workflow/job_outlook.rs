//! What is left of a job and by when it has to be done, as its urgency is judged.

use crate::workflow::job_forecast::TaskPosition;
use crate::workflow::planner_jobs::JobEntry;
use crate::workflow::spec::StepSpec;

/// What is left of the occurrence of a job that is worked on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobOutlook {
    /// The longest chain of work that is left, in milliseconds at full pace.
    pub rest_ms: u64,
    /// All work that is left, in core-milliseconds.
    pub rest_work: u64,
    /// Time from when the job is due until it has to be done to be in time, in milliseconds.
    pub objective_ms: u64,
}

impl JobOutlook {
    pub(crate) fn of(entry: &JobEntry) -> JobOutlook {
        let spec = &entry.spec;
        let occurrence = entry.progress.open.keys().next().copied().unwrap_or(0);
        let steps = entry.progress.open.get(&occurrence);
        let (mut rests, mut rest_work) = (Vec::with_capacity(spec.steps.len()), 0.0);
        for (step, declared) in (0..).zip(&spec.steps) {
            let tasks = steps.and_then(|steps| steps.get(step as usize)).into_iter().flatten();
            let open = (0..).zip(tasks).filter(|(_, task)| !task.done);
            let positions = open.map(|(index, _)| TaskPosition { occurrence, step, index });
            let left: Vec<f64> =
                positions.map(|position| entry.forecast.remaining_ms(spec, position)).collect();
            rest_work += left.iter().sum::<f64>() * declared.room.millicores as f64 / 1_000.0;
            rests.push(left.into_iter().fold(0.0, f64::max));
        }
        let longest = (0..).zip(&spec.steps).map(|(step, _)| entry.forecast.max_ms(spec, step));
        let chain_ms = longest_chain(&spec.steps, &longest.collect::<Vec<f64>>());
        JobOutlook {
            rest_ms: longest_chain(&spec.steps, &rests) as u64,
            rest_work: rest_work as u64,
            objective_ms: (chain_ms * spec.policy.stretch) as u64 + spec.policy.target_ms,
        }
    }
}

/// The longest chain of steps, each of which takes so long.
fn longest_chain(steps: &[StepSpec], spans: &[f64]) -> f64 {
    let mut ends: Vec<f64> = Vec::with_capacity(steps.len());
    for (step, span) in steps.iter().zip(spans) {
        let before = step.after.iter().filter_map(|before| ends.get(*before));
        let begin = before.copied().fold(0.0, f64::max);
        ends.push(begin + span);
    }
    ends.into_iter().fold(0.0, f64::max)
}
