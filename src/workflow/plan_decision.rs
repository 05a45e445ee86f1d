//! What the planner has decided or come to believe, for the log.

use crate::connection::node_protocol::RejectReason;
use crate::connection::node_protocol::YoungRun;
use crate::ids::InstanceId;
use crate::ids::JobId;
use crate::ids::RunNumber;
use crate::workflow::progress::JobEnd;
use crate::workflow::progress::RunEnd;
use crate::workflow::task_name::TaskName;

/// Why a task is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// It was held up for what serves beside it.
    HeldUp,
    /// Its worker is leaving.
    Leaving,
    /// Its worker is emptied of what serves.
    Emptied,
    /// Others of its job serve elsewhere.
    Gathered,
}

/// One decision, or one change of what the planner believes.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanDecision {
    /// A task was given to a worker.
    Assigned {
        /// The task.
        task: TaskName,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: InstanceId,
        /// Time since its job was due, in milliseconds.
        age_ms: u64,
        /// Failed attempts before.
        failures: u32,
    },
    /// A run is over.
    RunEnded {
        /// The task.
        task: TaskName,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: InstanceId,
        /// How it ended.
        end: RunEnd,
        /// Time since it was given to the worker, in milliseconds.
        ran_ms: u64,
    },
    /// A worker refused a run.
    RunRefused {
        /// The task.
        task: TaskName,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: InstanceId,
        /// Why.
        reason: RejectReason,
        /// Whether the look that brought the refusal shows the run all the same.
        shown: bool,
    },
    /// A run is given up, because the looks of its worker do not show it.
    RunAbsent {
        /// The task.
        task: TaskName,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: InstanceId,
    },
    /// A run that was given to a former life of a runner is at work on the next one, which has carried out its start.
    RunAdopted {
        /// The task.
        task: TaskName,
        /// The run.
        run: RunNumber,
        /// The life that it was given to.
        from: InstanceId,
        /// The life that it is on.
        worker: InstanceId,
    },
    /// A run is stopped, to go on elsewhere, because it is held up where it is.
    Moved {
        /// The task.
        task: TaskName,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: InstanceId,
        /// The worker on which room is kept for it.
        to: InstanceId,
        /// Why.
        why: MoveReason,
    },
    /// A run is stopped to make room for a task that goes before it.
    Preempted {
        /// The task of the run.
        task: TaskName,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: InstanceId,
        /// The task that needs the room.
        preemptor: TaskName,
    },
    /// A job has come to its end.
    JobEnded {
        /// The job.
        job: JobId,
        /// How.
        end: JobEnd,
        /// Time since it was accepted, in milliseconds.
        age_ms: u64,
        /// The time within which it should have ended, in milliseconds.
        objective_ms: u64,
    },
    /// A worker has failed so many tasks that it is only tried now and then.
    WorkerSuspected {
        /// The worker.
        worker: InstanceId,
        /// The task that failed last.
        task: TaskName,
    },
    /// A suspected worker has ended a task as done and takes work as before.
    WorkerTrusted {
        /// The worker.
        worker: InstanceId,
        /// The task.
        task: TaskName,
    },
    /// A life of a runner has broken off.
    WorkerCrashed {
        /// The life.
        worker: InstanceId,
        /// Its newest runs, the youngest first.
        young: Vec<YoungRun>,
    },
    /// A task that may have crashed its worker starts only where no other start follows.
    TaskIsolated {
        /// The task.
        task: TaskName,
        /// Lives of workers that are held against it.
        crashes: usize,
        /// The worker that broke off last.
        worker: InstanceId,
    },
    /// A run of a task has lived, and nothing is held against it any more.
    TaskCleared {
        /// The task.
        task: TaskName,
    },
    /// A task has crashed worker after worker; its job can never be done.
    TaskGivenUp {
        /// The task.
        task: TaskName,
        /// The worker that broke off last.
        worker: InstanceId,
    },
    /// Everything that a life of a runner had is given up.
    WorkerLost {
        /// The life.
        worker: InstanceId,
        /// Runs that it had.
        runs: usize,
    },
}

impl PlanDecision {
    /// The decision's kind, as a metric's label.
    ///
    /// ```
    /// use greengagearch::workflow::plan_decision::PlanDecision;
    ///
    /// let lost = PlanDecision::WorkerLost { worker: "i-1".into(), runs: 2 };
    /// assert_eq!(lost.label(), "worker_lost");
    /// ```
    pub fn label(&self) -> &'static str {
        match self {
            PlanDecision::Assigned { .. } => "assigned",
            PlanDecision::RunEnded { end: RunEnd::Done, .. } => "done",
            PlanDecision::RunEnded { end: RunEnd::Failed, .. } => "failed",
            PlanDecision::RunEnded { end: RunEnd::Stopped, .. } => "stopped",
            PlanDecision::RunEnded { .. } => "lost",
            PlanDecision::RunRefused { .. } => "refused",
            PlanDecision::RunAbsent { .. } => "absent",
            PlanDecision::RunAdopted { .. } => "adopted",
            PlanDecision::Moved { .. } => "moved",
            PlanDecision::Preempted { .. } => "displaced",
            PlanDecision::JobEnded { .. } => "job_ended",
            PlanDecision::WorkerSuspected { .. } => "worker_suspected",
            PlanDecision::WorkerTrusted { .. } => "worker_trusted",
            PlanDecision::WorkerCrashed { .. } => "worker_crashed",
            PlanDecision::TaskIsolated { .. } => "task_isolated",
            PlanDecision::TaskCleared { .. } => "task_cleared",
            PlanDecision::TaskGivenUp { .. } => "task_given_up",
            PlanDecision::WorkerLost { .. } => "worker_lost",
        }
    }
}
