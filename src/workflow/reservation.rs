//! Resources on a worker that are reserved for tasks that are about to move to it.
//!
//! A task is stopped before it moves, which takes up to a second. Without a reservation, other
//! tasks may take the resources meanwhile, so that the task was stopped in vain.

use std::time::Duration;
use std::time::Instant;

use crate::workflow::spec::ResourceVector;
use crate::workflow::spec::StepSpec;
use crate::workflow::task_name::TaskName;

/// Resources reserved for one task.
#[derive(Clone, Debug, PartialEq)]
struct Reservation {
    task: TaskName,
    /// Allocatable capacity.
    resources: ResourceVector,
    /// Processor time that a best-effort task will use, in thousandths of a core; zero for other
    /// tasks.
    best_effort_millicores: u64,
    until: Instant,
}

/// All reservations on one worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reservations {
    reservations: Vec<Reservation>,
}

impl Reservations {
    /// Reserves resources for a task of `step` until `span` after `now`, and removes expired
    /// reservations.
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

    /// Removes the reservation for a task.
    ///
    /// ```
    /// let mut reservations = greengagearch::workflow::reservation::Reservations::default();
    /// reservations.release(&"a.0.0.0".parse().unwrap());
    /// ```
    pub fn release(&mut self, task: &TaskName) {
        self.reservations.retain(|reservation| reservation.task != *task);
    }

    /// Whether there is an unexpired reservation for a task.
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

    /// Tasks with an unexpired reservation.
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

    /// The part of `resources` that a task may use: what the reservations for other tasks leave.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::spec::ResourceVector;
    ///
    /// let reservations = greengagearch::workflow::reservation::Reservations::default();
    /// let free = ResourceVector { millicores: 100, memory_mib: 10, accelerators: 0 };
    /// let task = "a.0.0.0".parse().unwrap();
    /// assert_eq!(reservations.available_to(free, &task, Instant::now()), free);
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

    /// Processor time reserved for the best-effort tasks other than `task`, in thousandths of a
    /// core.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let reservations = greengagearch::workflow::reservation::Reservations::default();
    /// let task = "a.0.0.0".parse().unwrap();
    /// assert_eq!(reservations.best_effort_millicores(&task, Instant::now()), 0.0);
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
