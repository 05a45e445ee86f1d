//! Forecast of task durations at full pace, from the reported progress of a job's runs.
//!
//! Declared durations may be off by a multiple in either direction, and therefore misjudge which
//! jobs can still meet their objective. Runners report the progress of each run. A tenth of a
//! task's work predicts its duration to within a few percent, and that of the other tasks of its
//! step to within a fifth.

use std::collections::BTreeMap;

use crate::workflow::spec::WorkflowSpec;
use crate::workflow::task_name::TaskName;

/// Progress in percent from which a run's rate is used. Reports are rounded to whole percents, so
/// that less progress gives a poor estimate.
const MIN_PROGRESS: f64 = 10.0;
/// Ratio of the expected longest duration to the mean duration among tasks without measured
/// progress: durations within one step differ by about a fifth.
const UNMEASURED_MAX_FACTOR: f64 = 1.2;

/// Identifies a task within its job.
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

/// Forecast for one task, in milliseconds at full pace.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TaskForecast {
    total_ms: f64,
    remaining_ms: f64,
}

/// Forecast for the tasks of one step.
#[derive(Clone, Debug, Default, PartialEq)]
struct StepForecast {
    tasks: BTreeMap<TaskPosition, TaskForecast>,
    /// Geometric mean of the forecast durations, in milliseconds.
    mean_ms: f64,
    /// The longest forecast duration, in milliseconds.
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

/// Forecast of the durations of a job's tasks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobForecast {
    /// By the number of the step.
    steps: BTreeMap<u32, StepForecast>,
}

impl JobForecast {
    /// Records that a run of a task advanced `from` one progress `to` another, in percent, by
    /// `worked_ms` of work at full pace. Ignored if the progress is too small for a forecast.
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

    /// The longest expected duration among the tasks of a step, in milliseconds.
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
        let all_measured = known.tasks.len() >= (count * spec.occurrences()) as usize;
        let unmeasured_ms = if all_measured { 0.0 } else { known.mean_ms * UNMEASURED_MAX_FACTOR };
        known.max_ms.max(unmeasured_ms)
    }

    /// Expected remaining duration of an unfinished task, in milliseconds.
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

impl JobForecast {
    /// Work of the tasks whose progress was measured, and what was declared for them, in
    /// core-milliseconds; `None` if none was measured or declared.
    ///
    /// ```
    /// use greengagearch::workflow::job_forecast::JobForecast;
    /// use greengagearch::workflow::spec::WorkflowSpec;
    ///
    /// assert_eq!(JobForecast::default().measured_work(&WorkflowSpec::unknown()), None);
    /// ```
    pub fn measured_work(&self, spec: &WorkflowSpec) -> Option<(f64, f64)> {
        let (mut actual, mut declared) = (0.0, 0.0);
        for (number, known) in &self.steps {
            let step = spec.steps.get(*number as usize)?;
            let cores = step.resources.millicores as f64 / 1_000.0;
            actual += known.tasks.values().map(|task| task.total_ms).sum::<f64>() * cores;
            declared += known.tasks.len() as f64 * step.estimate_ms as f64 * cores;
        }
        (declared > 0.0).then_some((actual, declared))
    }
}

/// Number of tasks of a step and their declared duration in milliseconds.
fn declared(spec: &WorkflowSpec, step: u32) -> (u32, f64) {
    let step = spec.steps.get(step as usize);
    step.map_or((0, 0.0), |step| (step.count, step.estimate_ms as f64))
}
