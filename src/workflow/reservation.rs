//! Room on a worker that is kept for tasks that are on their way to it.
//!
//! A task that is moved is stopped first, which takes up to a second. Without its new place kept, others take it
//! meanwhile, and the task has been stopped for nothing.

use std::time::Duration;
use std::time::Instant;

use crate::workflow::spec::ResourceVector;
use crate::workflow::spec::StepSpec;
use crate::workflow::task_name::TaskName;

/// Room that is kept for one task.
#[derive(Clone, Debug, PartialEq)]
struct Reservation {
    task: TaskName,
    /// Guarded capacity.
    resources: ResourceVector,
    /// Processor time that it is to fill, in thousandths of a core.
    best_effort_millicores: u64,
    until: Instant,
}

/// All room that is kept on one worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reservations {
    reservations: Vec<Reservation>,
}

impl Reservations {
    /// Keeps room for a task for some time, and forgets what was kept long enough.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::reservation::Reservations;
    /// use greengagearch::workflow::spec::StepSpec;
    ///
    /// let (now, task) = (Instant::now(), "a.0.0.0".parse().unwrap());
    /// let mut reservations = Reservations::default();
    /// reservations.reserve(&task, &StepSpec::default(), now, Duration::from_secs(1));
    /// assert!(reservations.has_reservation(&task, now));
    /// assert!(!reservations.has_reservation(&task, now + Duration::from_secs(1)));
    /// ```
    pub fn reserve(&mut self, task: &TaskName, step: &StepSpec, now: Instant, span: Duration) {
        self.reservations
            .retain(|reservation| reservation.until > now && reservation.task != *task);
        let best_effort_millicores = if step.best_effort { step.resources.millicores } else { 0 };
        let (resources, until) = (step.reserved_resources(), now + span);
        self.reservations.push(Reservation {
            task: task.clone(),
            resources,
            best_effort_millicores,
            until,
        });
    }

    /// Keeps nothing any more for a task that has come, or is not to come.
    ///
    /// ```
    /// let mut reservations = greengagearch::workflow::reservation::Reservations::default();
    /// reservations.release(&"a.0.0.0".parse().unwrap());
    /// ```
    pub fn release(&mut self, task: &TaskName) {
        self.reservations.retain(|reservation| reservation.task != *task);
    }

    /// Whether room is kept for a task.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let reservations = greengagearch::workflow::reservation::Reservations::default();
    /// assert!(!reservations.has_reservation(&"a.0.0.0".parse().unwrap(), Instant::now()));
    /// ```
    pub fn has_reservation(&self, task: &TaskName, now: Instant) -> bool {
        self.reservations
            .iter()
            .any(|reservation| reservation.until > now && reservation.task == *task)
    }

    /// Tasks for which room is kept.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let reservations = greengagearch::workflow::reservation::Reservations::default();
    /// assert_eq!(reservations.tasks(Instant::now()).count(), 0);
    /// ```
    pub fn tasks(&self, now: Instant) -> impl Iterator<Item = &TaskName> {
        self.reservations
            .iter()
            .filter(move |reservation| reservation.until > now)
            .map(|reservation| &reservation.task)
    }

    /// Of some room what is left to a task when room is kept for others.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::spec::ResourceVector;
    ///
    /// let reservations = greengagearch::workflow::reservation::Reservations::default();
    /// let room = ResourceVector { millicores: 100, memory_mib: 10, accelerators: 0 };
    /// assert_eq!(reservations.available_to(room, &"a.0.0.0".parse().unwrap(), Instant::now()), room);
    /// ```
    pub fn available_to(
        &self,
        resources: ResourceVector,
        task: &TaskName,
        now: Instant,
    ) -> ResourceVector {
        self.others(task, now)
            .fold(resources, |resources, reservation| resources.minus(&reservation.resources))
    }

    /// Processor time that others are to fill, in thousandths of a core.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let reservations = greengagearch::workflow::reservation::Reservations::default();
    /// assert_eq!(reservations.best_effort_millicores(&"a.0.0.0".parse().unwrap(), Instant::now()), 0.0);
    /// ```
    pub fn best_effort_millicores(&self, task: &TaskName, now: Instant) -> f64 {
        self.others(task, now).map(|reservation| reservation.best_effort_millicores as f64).sum()
    }

    fn others(&self, task: &TaskName, now: Instant) -> impl Iterator<Item = &Reservation> {
        self.reservations
            .iter()
            .filter(move |reservation| reservation.until > now && reservation.task != *task)
    }
}
