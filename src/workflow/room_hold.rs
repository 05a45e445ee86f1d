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
struct RoomHold {
    task: TaskName,
    /// Guarded capacity.
    room: ResourceVector,
    /// Processor time that it is to fill, in thousandths of a core.
    filling: u64,
    until: Instant,
}

/// All room that is kept on one worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoomHolds {
    holds: Vec<RoomHold>,
}

impl RoomHolds {
    /// Keeps room for a task for some time, and forgets what was kept long enough.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::room_hold::RoomHolds;
    /// use greengagearch::workflow::spec::StepSpec;
    ///
    /// let (now, task) = (Instant::now(), "a.0.0.0".parse().unwrap());
    /// let mut holds = RoomHolds::default();
    /// holds.keep(&task, &StepSpec::default(), now, Duration::from_secs(1));
    /// assert!(holds.is_for(&task, now));
    /// assert!(!holds.is_for(&task, now + Duration::from_secs(1)));
    /// ```
    pub fn keep(&mut self, task: &TaskName, step: &StepSpec, now: Instant, span: Duration) {
        self.holds.retain(|hold| hold.until > now && hold.task != *task);
        let filling = if step.fills { step.room.millicores } else { 0 };
        let (room, until) = (step.counted_room(), now + span);
        self.holds.push(RoomHold { task: task.clone(), room, filling, until });
    }

    /// Keeps nothing any more for a task that has come, or is not to come.
    ///
    /// ```
    /// let mut holds = greengagearch::workflow::room_hold::RoomHolds::default();
    /// holds.drop_for(&"a.0.0.0".parse().unwrap());
    /// ```
    pub fn drop_for(&mut self, task: &TaskName) {
        self.holds.retain(|hold| hold.task != *task);
    }

    /// Whether room is kept for a task.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let holds = greengagearch::workflow::room_hold::RoomHolds::default();
    /// assert!(!holds.is_for(&"a.0.0.0".parse().unwrap(), Instant::now()));
    /// ```
    pub fn is_for(&self, task: &TaskName, now: Instant) -> bool {
        self.holds.iter().any(|hold| hold.until > now && hold.task == *task)
    }

    /// Tasks for which room is kept.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let holds = greengagearch::workflow::room_hold::RoomHolds::default();
    /// assert_eq!(holds.tasks(Instant::now()).count(), 0);
    /// ```
    pub fn tasks(&self, now: Instant) -> impl Iterator<Item = &TaskName> {
        self.holds.iter().filter(move |hold| hold.until > now).map(|hold| &hold.task)
    }

    /// Of some room what is left to a task when room is kept for others.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::spec::ResourceVector;
    ///
    /// let holds = greengagearch::workflow::room_hold::RoomHolds::default();
    /// let room = ResourceVector { millicores: 100, memory_mib: 10, accelerators: 0 };
    /// assert_eq!(holds.leave(room, &"a.0.0.0".parse().unwrap(), Instant::now()), room);
    /// ```
    pub fn leave(&self, room: ResourceVector, task: &TaskName, now: Instant) -> ResourceVector {
        self.others(task, now).fold(room, |room, hold| room.minus(&hold.room))
    }

    /// Processor time that others are to fill, in thousandths of a core.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let holds = greengagearch::workflow::room_hold::RoomHolds::default();
    /// assert_eq!(holds.filling(&"a.0.0.0".parse().unwrap(), Instant::now()), 0.0);
    /// ```
    pub fn filling(&self, task: &TaskName, now: Instant) -> f64 {
        self.others(task, now).map(|hold| hold.filling as f64).sum()
    }

    fn others(&self, task: &TaskName, now: Instant) -> impl Iterator<Item = &RoomHold> {
        self.holds.iter().filter(move |hold| hold.until > now && hold.task != *task)
    }
}
