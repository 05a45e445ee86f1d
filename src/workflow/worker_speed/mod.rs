//! Learned speeds of workers, and the decisions that follow from them.
//!
//! The state is soft: a planner that takes over knows no speed, and places tasks as if all workers
//! were equally fast until it has seen enough of them.

pub mod expected_end;
pub mod speed_model;
pub mod speed_sample;
pub mod straggler_policy;
pub mod worker_ejection;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::InstanceId;
use crate::ids::ServiceName;
use crate::workflow::spec::StepSpec;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_speed::expected_end::ExpectedEnd;
use crate::workflow::worker_speed::speed_model::SpeedModel;
use crate::workflow::worker_speed::straggler_policy::RunOutlook;
use crate::workflow::worker_speed::straggler_policy::StragglerPolicy;
use crate::workflow::worker_speed::worker_ejection::EjectionChange;
use crate::workflow::worker_speed::worker_ejection::ServiceSpeeds;
use crate::workflow::worker_speed::worker_ejection::WorkerEjection;

/// Speed below which a worker is avoided. Samples of a worker of usual speed are above it but for
/// one task in a hundred, and for large tasks.
const AVOIDED_SPEED: f64 = 0.6;
/// Distinct tasks that have to be below that speed.
const AVOIDED_TASKS: usize = 3;
/// Least number of tasks of a step whose tasks serve as probes: one, and three to compare it with.
const MIN_PROBE_STEP: u32 = 4;

/// Returns whether the speed of a single task of a step can be compared with that of others.
pub(crate) fn is_measurable(step: &StepSpec) -> bool {
    step.count >= MIN_PROBE_STEP && !step.long_running && !step.gang
}

/// The speeds of a fleet, which the planner owns if speeds are to be learned.
#[derive(Clone, Debug, Default)]
pub struct FleetSpeed {
    pub(crate) model: SpeedModel,
    pub(crate) ejection: WorkerEjection,
    pub(crate) expected_end: ExpectedEnd,
    pub(crate) stragglers: StragglerPolicy,
    last_evaluated: Option<Instant>,
    last_cleanup: Option<Instant>,
}

impl FleetSpeed {
    /// Updates the ejected and the slow workers. Returns what has changed.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_speed::FleetSpeed;
    ///
    /// let mut speeds = FleetSpeed::default();
    /// assert!(speeds.evaluate([("s".into(), vec!["i-1".into()])].into(), Instant::now()).is_empty());
    /// ```
    pub fn evaluate(
        &mut self,
        services: BTreeMap<ServiceName, Vec<InstanceId>>,
        now: Instant,
    ) -> Vec<EjectionChange> {
        let model = &self.model;
        let speeds = |workers: Vec<InstanceId>| {
            let each = workers.into_iter().map(|worker| {
                let speed = model.speed(&worker, now);
                (worker, speed)
            });
            each.collect()
        };
        let services: ServiceSpeeds =
            services.into_iter().map(|(service, workers)| (service, speeds(workers))).collect();
        let changes = self.ejection.evaluate(&services, now);
        for change in &changes {
            if let EjectionChange::Readmitted(worker, ..) = change {
                self.model.forget(worker);
            }
        }
        let known = services.into_values().flatten();
        let slow = known.filter_map(|(worker, speed)| {
            let speed = speed.filter(|speed| speed.is_below(AVOIDED_SPEED, AVOIDED_TASKS))?;
            Some((worker, speed.speed))
        });
        self.expected_end.set(slow.collect());
        changes
    }

    /// Returns whether the next evaluation is due, and counts it as done.
    pub(crate) fn is_due(&mut self, now: Instant, interval: Duration) -> bool {
        take_due(&mut self.last_evaluated, now, interval)
    }

    /// Returns whether the next cleanup is due, and counts it as done.
    pub(crate) fn is_cleanup_due(&mut self, now: Instant, interval: Duration) -> bool {
        take_due(&mut self.last_cleanup, now, interval)
    }

    /// Returns whether a task of a step may start on a worker: not on an ejected one, unless it
    /// `may_be_probe` and its speed can be measured.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::spec::StepSpec;
    /// use greengagearch::workflow::worker_speed::FleetSpeed;
    ///
    /// let speeds = FleetSpeed::default();
    /// assert!(speeds.may_start("i-1", &StepSpec::default(), false, Instant::now()));
    /// ```
    pub fn may_start(
        &self,
        worker: &str,
        step: &StepSpec,
        may_be_probe: bool,
        now: Instant,
    ) -> bool {
        self.ejection.may_start(worker, may_be_probe && is_measurable(step), now)
    }

    /// Cost of placing a task on a worker. Probes have none, since otherwise they would wait until
    /// all other workers are full.
    ///
    /// ```
    /// use greengagearch::workflow::worker_speed::FleetSpeed;
    ///
    /// assert_eq!(FleetSpeed::default().cost("i-1"), 0.0);
    /// ```
    pub fn cost(&self, worker: &str) -> f64 {
        if self.ejection.is_ejected(worker) { 0.0 } else { self.expected_end.cost(worker) }
    }

    /// Returns whether a worker is ejected or known to be slow.
    ///
    /// ```
    /// use greengagearch::workflow::worker_speed::FleetSpeed;
    ///
    /// assert!(!FleetSpeed::default().is_slow("i-1"));
    /// ```
    pub fn is_slow(&self, worker: &str) -> bool {
        self.ejection.is_ejected(worker) || self.expected_end.speed(worker).is_some()
    }

    /// What is known of a run; `None` if its rate or the rates of its step are unknown.
    pub(crate) fn outlook(
        &self,
        (task, percent): (&TaskName, u32),
        worker: &str,
        assigned_at: Instant,
        now: Instant,
    ) -> Option<RunOutlook> {
        let known = self.model.speed(worker, now).map(|speed| speed.speed);
        Some(RunOutlook {
            percent,
            rate: self.model.rate(task, worker, now)?,
            reference: self.model.reference(task, worker)?,
            worker_speed: known,
            is_worker_slow: self.is_slow(worker),
            age: now.saturating_duration_since(assigned_at),
        })
    }
}

fn take_due(last: &mut Option<Instant>, now: Instant, interval: Duration) -> bool {
    let is_due = last.is_none_or(|at| now.saturating_duration_since(at) >= interval);
    if is_due {
        *last = Some(now);
    }
    is_due
}
