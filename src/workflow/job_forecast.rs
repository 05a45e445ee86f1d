//! How long the tasks of a job take at full pace, learned from how far its runs have come.
//!
//! Declared durations are off by a factor of two either way, and with them which jobs can still be in time: of 58
//! jobs of two busy minutes 33 were, and 21 by what was declared. Runners report the progress of each run, so that
//! a tenth of a task's work tells its duration to within a few percent, and its siblings' to within a fifth.

use std::collections::BTreeMap;

use crate::workflow::spec::WorkflowSpec;
use crate::workflow::task_name::TaskName;

/// Progress that has to be seen of a run before its rate is believed, in percent: reports are rounded to one.
const LEAST_PROGRESS: f64 = 10.0;
/// The longest of several unseen tasks against their usual duration: tasks of one step differ by about a fifth.
const UNSEEN_LONGEST: f64 = 1.2;

/// A task within its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskPlace {
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
    /// Position in the step.
    pub index: u32,
}

impl From<&TaskName> for TaskPlace {
    fn from(name: &TaskName) -> TaskPlace {
        TaskPlace { occurrence: name.occurrence, step: name.step, index: name.index }
    }
}

/// What is known of one task's work, in milliseconds at full pace.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TaskForecast {
    total_ms: f64,
    left_ms: f64,
}

/// What is known of the tasks of one step.
#[derive(Clone, Debug, Default, PartialEq)]
struct StepForecast {
    tasks: BTreeMap<TaskPlace, TaskForecast>,
    /// Geometric mean of the known durations, in milliseconds.
    usual_ms: f64,
    /// The longest of them.
    longest_ms: f64,
}

impl StepForecast {
    fn learn(&mut self, place: TaskPlace, task: TaskForecast) {
        self.tasks.insert(place, task);
        let logs: f64 = self.tasks.values().map(|task| task.total_ms.max(1.0).ln()).sum();
        self.usual_ms = (logs / self.tasks.len() as f64).exp();
        self.longest_ms = self.tasks.values().map(|task| task.total_ms).fold(0.0, f64::max);
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
    /// use greengagearch::workflow::job_forecast::TaskPlace;
    /// use greengagearch::workflow::spec::StepSpec;
    /// use greengagearch::workflow::spec::WorkflowSpec;
    ///
    /// let place = TaskPlace { occurrence: 0, step: 0, index: 0 };
    /// let step = StepSpec { count: 1, estimate_ms: 1_000, ..StepSpec::default() };
    /// let spec = WorkflowSpec { steps: vec![step], ..WorkflowSpec::unknown() };
    /// let mut forecast = JobForecast::default();
    /// assert_eq!(forecast.left_ms(&spec, place), 1_000.0);
    /// forecast.on_progress(place, (0.0, 20.0), 400.0);
    /// assert_eq!(forecast.left_ms(&spec, place), 1_600.0);
    /// ```
    pub fn on_progress(&mut self, place: TaskPlace, (from, to): (f64, f64), worked_ms: f64) {
        if to - from < LEAST_PROGRESS || worked_ms <= 0.0 {
            return;
        }
        let total_ms = worked_ms * 100.0 / (to - from);
        let left_ms = total_ms * (100.0 - to).max(0.0) / 100.0;
        let step = self.steps.entry(place.step).or_default();
        step.learn(place, TaskForecast { total_ms, left_ms });
    }

    /// The longest duration that is expected among the tasks of a step, in milliseconds.
    ///
    /// ```
    /// use greengagearch::workflow::job_forecast::JobForecast;
    /// use greengagearch::workflow::spec::WorkflowSpec;
    ///
    /// assert_eq!(JobForecast::default().longest_ms(&WorkflowSpec::unknown(), 0), 0.0);
    /// ```
    pub fn longest_ms(&self, spec: &WorkflowSpec, step: u32) -> f64 {
        let (count, declared_ms) = declared(spec, step);
        let Some(known) = self.steps.get(&step) else {
            return declared_ms;
        };
        let is_seen = known.tasks.len() >= (count * spec.occurrences()) as usize;
        let unseen_ms = if is_seen { 0.0 } else { known.usual_ms * UNSEEN_LONGEST };
        known.longest_ms.max(unseen_ms)
    }

    /// What is left of a task that is not done, in milliseconds.
    ///
    /// ```
    /// use greengagearch::workflow::job_forecast::JobForecast;
    /// use greengagearch::workflow::job_forecast::TaskPlace;
    /// use greengagearch::workflow::spec::WorkflowSpec;
    ///
    /// let place = TaskPlace { occurrence: 0, step: 0, index: 0 };
    /// assert_eq!(JobForecast::default().left_ms(&WorkflowSpec::unknown(), place), 0.0);
    /// ```
    pub fn left_ms(&self, spec: &WorkflowSpec, place: TaskPlace) -> f64 {
        let Some(known) = self.steps.get(&place.step) else {
            return declared(spec, place.step).1;
        };
        let task = known.tasks.get(&place);
        task.map_or(known.usual_ms, |task| task.left_ms)
    }
}

/// How many tasks a step has and how long its caller says that they take, in milliseconds.
fn declared(spec: &WorkflowSpec, step: u32) -> (u32, f64) {
    let step = spec.steps.get(step as usize);
    step.map_or((0, 0.0), |step| (step.count, step.estimate_ms as f64))
}
