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
use std::time::Instant;

use crate::ids::InstanceId;
use crate::ids::ServiceName;
use crate::workflow::spec::StepSpec;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_speed::expected_end::ExpectedEnd;
use crate::workflow::worker_speed::speed_model::SpeedModel;
use crate::workflow::worker_speed::speed_sample::SpeedSample;
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

/// The speeds of a fleet, which the planner owns if speeds are to be learned.
#[derive(Clone, Debug, Default)]
pub struct FleetSpeed {
    pub(crate) model: SpeedModel,
    pub(crate) ejection: WorkerEjection,
    pub(crate) expected_end: ExpectedEnd,
    pub(crate) stragglers: StragglerPolicy,
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
            if let EjectionChange::Readmitted(worker, _) = change {
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

    /// Records a sample of a worker's speed.
    pub(crate) fn on_sample(&mut self, sample: &SpeedSample) {
        self.ejection.on_sample(sample);
    }

    /// Returns whether a task of a step may start on a worker: not on an ejected one, except as a
    /// probe.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::spec::StepSpec;
    /// use greengagearch::workflow::worker_speed::FleetSpeed;
    ///
    /// assert!(FleetSpeed::default().may_start("i-1", &StepSpec::default(), Instant::now()));
    /// ```
    pub fn may_start(&self, worker: &str, step: &StepSpec, now: Instant) -> bool {
        let may_be_probe = step.count >= MIN_PROBE_STEP && !step.long_running && !step.gang;
        self.ejection.may_start(worker, may_be_probe, now)
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
