//! What a job needs, as far as its admission depends on it.

use std::fmt::Display;
use std::fmt::Formatter;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::QueueName;
use crate::ids::ServiceName;
use crate::workflow::remaining_work::critical_path;
use crate::workflow::spec::WorkflowSpec;

/// Kind of the capacity that the tasks of a job use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WorkClass {
    /// Processor time that other tasks leave.
    BestEffort,
    /// Allocatable capacity that is reserved for each task.
    Reserved,
}

/// A class of a service.
pub type ClassKey = (ServiceName, WorkClass);

impl WorkClass {
    /// The class of a job, which is best-effort if any of its steps is.
    ///
    /// ```
    /// use greengagearch::workflow::admission::job_demand::WorkClass;
    /// use greengagearch::workflow::spec::WorkflowSpec;
    ///
    /// assert_eq!(WorkClass::of(&WorkflowSpec::unknown()), WorkClass::Reserved);
    /// ```
    pub fn of(spec: &WorkflowSpec) -> WorkClass {
        let is_best_effort = spec.steps.iter().any(|step| step.best_effort);
        if is_best_effort { WorkClass::BestEffort } else { WorkClass::Reserved }
    }
}

impl Display for WorkClass {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            WorkClass::BestEffort => "best_effort",
            WorkClass::Reserved => "reserved",
        })
    }
}

/// Whether a job may be refused: it runs at once and has a finite end. The occurrences of a timed
/// job lie in the future, which the forecast does not cover.
pub(crate) fn is_refusable(spec: &WorkflowSpec) -> bool {
    !spec.is_timed() && !spec.steps.iter().any(|step| step.long_running)
}

/// What a job needs, as far as its admission depends on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobDemand {
    /// Service on whose workers it runs.
    pub service: ServiceName,
    /// Its queue.
    pub queue: QueueName,
    /// Kind of the capacity that it uses.
    pub class: WorkClass,
    /// Priority of its queue; zero is the highest.
    pub priority: u32,
    /// Total work in core-milliseconds.
    pub core_ms: u64,
    /// Critical path in milliseconds at full pace.
    pub critical_path_ms: u64,
    /// Time within which it has its full value to its caller, in milliseconds.
    pub objective_ms: u64,
}

impl JobDemand {
    /// The demand of a submission whose queue needs `ratio` times the declared work. `None` if the
    /// job is never refused: it is timed, has a long-running step, or declares no work.
    ///
    /// ```
    /// use greengagearch::workflow::admission::job_demand::JobDemand;
    /// use greengagearch::workflow::spec::WorkflowSpec;
    ///
    /// assert_eq!(JobDemand::of(&WorkflowSpec::unknown(), 1.0), None);
    /// ```
    pub fn of(spec: &WorkflowSpec, ratio: f64) -> Option<JobDemand> {
        if !is_refusable(spec) {
            return None;
        }
        let work = spec.steps.iter().map(|step| {
            f64::from(step.count) * step.estimate_ms as f64 * step.resources.millicores as f64
        });
        let core_ms = work.sum::<f64>() * ratio / 1_000.0;
        let durations = spec.steps.iter().map(|step| step.estimate_ms as f64 * ratio);
        let path_ms = critical_path(&spec.steps, &durations.collect::<Vec<f64>>());
        if core_ms < 1.0 || path_ms < 1.0 {
            return None;
        }
        Some(JobDemand {
            service: spec.policy.service.clone(),
            queue: spec.policy.queue.clone(),
            class: WorkClass::of(spec),
            priority: spec.policy.priority,
            core_ms: core_ms as u64,
            critical_path_ms: path_ms as u64,
            objective_ms: (path_ms * spec.policy.stretch) as u64 + spec.policy.target_ms,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::workflow::spec::ResourceVector;
    use crate::workflow::spec::StepSpec;

    fn spec() -> WorkflowSpec {
        let resources = ResourceVector { millicores: 500, memory_mib: 0, accelerators: 0 };
        let step = StepSpec { count: 4, estimate_ms: 1_000, resources, ..StepSpec::default() };
        let next = StepSpec { after: vec![0], best_effort: true, ..step.clone() };
        WorkflowSpec { steps: vec![step, next], ..WorkflowSpec::unknown() }
    }

    /// Guards against an objective and a work of different units or without the learned ratio.
    #[test]
    fn work_path_and_objective_follow_the_learned_ratio() {
        let demand = JobDemand::of(&spec(), 1.5).unwrap();
        assert_eq!((demand.core_ms, demand.critical_path_ms), (6_000, 3_000));
        assert_eq!((demand.objective_ms, demand.class), (3_000, WorkClass::BestEffort));
    }

    /// Guards against refusals of jobs whose end or begin the forecast says nothing about.
    #[test]
    fn long_running_and_timed_jobs_have_no_demand() {
        let mut long_running = spec();
        long_running.steps[0].long_running = true;
        assert_eq!(JobDemand::of(&long_running, 1.0), None);
        assert_eq!(JobDemand::of(&WorkflowSpec { times: 2, ..spec() }, 1.0), None);
    }
}
