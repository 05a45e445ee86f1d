//! Decisions and findings of the planner, as recorded in its log and metrics.

use std::time::Duration;

use crate::connection::node_protocol::RejectReason;
use crate::connection::node_protocol::YoungRun;
use crate::ids::DomainName;
use crate::ids::InstanceId;
use crate::ids::JobId;
use crate::ids::QueueName;
use crate::ids::RowVersion;
use crate::ids::RunNumber;
use crate::workflow::progress::JobEnd;
use crate::workflow::progress::RunEnd;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_speed::worker_ejection::EjectionChange;

/// Why a task is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// The agent throttled it to protect serving tasks.
    HeldUp,
    /// Its worker is draining.
    Leaving,
    /// Its worker is emptied of serving tasks.
    Emptied,
    /// Consolidation: other tasks of its job, or many serving jobs, are on the new worker.
    Gathered,
    /// The failure domain of its worker is being evacuated.
    Evacuated,
    /// Its worker is slow.
    Slow,
}

/// Why a runner instance is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// Its agent is silent, and all leases have expired.
    LeasesExpired,
    /// Its agent reports that it has ended.
    InstanceEnded,
}

/// What the end of a run was concluded from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// The worker reported the end.
    Reported,
    /// The worker rejected the run.
    Rejected,
    /// The worker's snapshots do not show the run.
    Absent,
    /// The worker is lost.
    WorkerLost(LossReason),
}

/// A run that is stopped to return resources to the queue that is entitled to them.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareReclaim {
    /// Queue that gets the resources.
    pub queue: QueueName,
    /// Queue of the stopped run.
    pub from: QueueName,
    /// Task of the stopped run.
    pub task: TaskName,
    /// Number of the stopped run.
    pub run: RunNumber,
    /// Worker that the run is on.
    pub worker: InstanceId,
    /// Task that gets the resources.
    pub preemptor: TaskName,
    /// Share of the service's capacity that the queue uses, and that it is entitled to.
    pub share: (f64, f64),
    /// The same of the queue of the stopped run.
    pub from_share: (f64, f64),
    /// Time for which the queue has been below its entitlement, in milliseconds.
    pub waited_ms: u64,
}

/// A decision of the planner, or a change in its view of a worker or task.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanDecision {
    /// A task was assigned to a worker.
    Assigned {
        /// Assigned task.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
        /// Worker that the run was assigned to.
        worker: InstanceId,
        /// Time since the job was due, in milliseconds.
        age_ms: u64,
        /// Number of earlier failures of the task.
        failures: u32,
    },
    /// A run has ended.
    RunEnded {
        /// Task of the run.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
        /// Worker that the run was assigned to.
        worker: InstanceId,
        /// How the run ended.
        end: RunEnd,
        /// What the end was concluded from.
        cause: EndCause,
        /// Time since the run was assigned, in milliseconds.
        ran_ms: u64,
    },
    /// A worker rejected a run.
    RunRejected {
        /// Task of the run.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
        /// Worker that rejected it.
        worker: InstanceId,
        /// Reason that the worker gave.
        reason: RejectReason,
        /// Whether the snapshot that reported the rejection shows the run all the same.
        shown: bool,
    },
    /// A run was given up because the snapshots of its worker do not show it.
    RunAbsent {
        /// Task of the run.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
        /// Worker that the run was assigned to.
        worker: InstanceId,
    },
    /// The list of a worker's ends has reached its limit, so that later ones may be omitted, or is
    /// complete again.
    EndsOmitted {
        /// Worker that lists the ends.
        worker: InstanceId,
        /// Whether ends may be omitted.
        may_omit: bool,
        /// Number of ends listed.
        listed: usize,
        /// Number of the last end that the worker was told to discard.
        acked: u64,
    },
    /// A worker shows a run that is not assigned to it, and is ordered to stop it.
    RunUnknown {
        /// Task of the run.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
        /// Worker that shows it.
        worker: InstanceId,
        /// Whether the run has started. Otherwise its start is pending at the agent.
        started: bool,
    },
    /// A run assigned to a former runner instance is running on its successor, which carried out
    /// the start order.
    RunAdopted {
        /// Task of the run.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
        /// Instance that the run was assigned to.
        from: InstanceId,
        /// Instance that has the run now.
        worker: InstanceId,
    },
    /// An attempt to start a run may still be carried out, also by a later instance of its runner.
    /// Until then the end of the run is not acknowledged, and the task starts nowhere else.
    StartInDoubt {
        /// Task of the run.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
        /// Instance that the run is assigned to.
        worker: InstanceId,
    },
    /// The end of a run is recorded, and not acknowledged yet, since an attempt to start the run is
    /// in doubt.
    EndRecorded {
        /// Task of the run.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
        /// Instance that has reported the end.
        worker: InstanceId,
        /// How the run ended.
        end: RunEnd,
    },
    /// A start was decided before the failure domain of its worker was evacuated, and is not
    /// ordered.
    StartWithdrawn {
        /// Task of the run.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
        /// Worker that the run was assigned to.
        worker: InstanceId,
    },
    /// Starts are held back because cancels of their jobs may have been missed.
    StartsHeld {
        /// Task of the first such start.
        first: TaskName,
        /// Number of such starts.
        starts: usize,
        /// Age of what is known of its job.
        age: Duration,
    },
    /// No start is held back for that reason any more.
    StartsReleased {
        /// Time for which starts have been held back.
        held: Duration,
    },
    /// The workers of a failure domain get no new runs from now on.
    EvacuationStarted {
        /// The failure domain.
        domain: DomainName,
        /// Version of the request.
        version: RowVersion,
        /// Number of workers there.
        workers: usize,
        /// Number of runs assigned to them.
        runs: usize,
    },
    /// The workers of a failure domain get new runs again.
    EvacuationEnded {
        /// The failure domain.
        domain: DomainName,
        /// Version of the request that was taken back.
        version: RowVersion,
        /// Number of runs that are still assigned to workers there.
        runs: usize,
    },
    /// The evacuation of a failure domain without workers is requested.
    EvacuationUnknown {
        /// The failure domain.
        domain: DomainName,
        /// Version of the request.
        version: RowVersion,
    },
    /// A run is stopped so that its task continues on another worker.
    Moved {
        /// Task of the run.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
        /// Worker that the run is on.
        worker: InstanceId,
        /// Worker on which capacity is reserved for the task.
        to: InstanceId,
        /// Reason of the move.
        why: MoveReason,
    },
    /// A run is stopped to free resources for a task that takes precedence.
    Preempted {
        /// Task of the stopped run.
        task: TaskName,
        /// Number of the stopped run.
        run: RunNumber,
        /// Worker that the run is on.
        worker: InstanceId,
        /// Task that gets the resources.
        preemptor: TaskName,
    },
    /// A run of a queue that uses more than its entitlement is stopped for a queue below its own.
    ShareReclaimed(ShareReclaim),
    /// A job has ended.
    JobEnded {
        /// Job that ended.
        job: JobId,
        /// How it ended.
        end: JobEnd,
        /// Time since the job was accepted, in milliseconds.
        age_ms: u64,
        /// Time in which the job should have ended, in milliseconds.
        objective_ms: u64,
    },
    /// So many tasks have failed on a worker that it gets only occasional trial runs.
    WorkerSuspected {
        /// Suspected worker.
        worker: InstanceId,
        /// Task that failed last.
        task: TaskName,
    },
    /// A suspected worker has completed a task and gets runs as before.
    WorkerTrusted {
        /// Worker that is trusted again.
        worker: InstanceId,
        /// Completed task.
        task: TaskName,
    },
    /// A runner instance has crashed.
    WorkerCrashed {
        /// Crashed instance.
        worker: InstanceId,
        /// Runs that it had started shortly before, the most recent first.
        young: Vec<YoungRun>,
    },
    /// A task is suspected of crashing its worker and starts only where no other task starts after
    /// it.
    TaskIsolated {
        /// Suspected task.
        task: TaskName,
        /// Number of crashed instances that count against the task.
        crashes: usize,
        /// Worker that crashed last.
        worker: InstanceId,
    },
    /// A run of a suspected task has lasted long enough to rule the task out as the cause of
    /// crashes.
    TaskCleared {
        /// Cleared task.
        task: TaskName,
    },
    /// A task has crashed so many workers that its job has failed.
    TaskGivenUp {
        /// Task that was given up.
        task: TaskName,
        /// Worker that crashed last.
        worker: InstanceId,
    },
    /// A runner instance is lost, together with all its runs.
    WorkerLost {
        /// Lost instance.
        worker: InstanceId,
        /// Number of its runs.
        runs: usize,
        /// Why it is lost.
        reason: LossReason,
        /// Time since its agent last reported it, in milliseconds; `None` if it never did.
        silent_ms: Option<u64>,
    },
    /// A worker was found to be slow, is ejected or readmitted.
    WorkerSpeed(EjectionChange),
}

impl PlanDecision {
    /// Label of this kind of decision in the metrics.
    ///
    /// ```
    /// use greengagearch::workflow::plan_decision::LossReason;
    /// use greengagearch::workflow::plan_decision::PlanDecision;
    ///
    /// let (worker, reason) = ("i-1".into(), LossReason::LeasesExpired);
    /// let lost = PlanDecision::WorkerLost { worker, runs: 2, reason, silent_ms: Some(9_000) };
    /// assert_eq!(lost.label(), "worker_lost");
    /// ```
    pub fn label(&self) -> &'static str {
        match self {
            PlanDecision::Assigned { .. } => "assigned",
            PlanDecision::RunEnded { end: RunEnd::Done, .. } => "done",
            PlanDecision::RunEnded { end: RunEnd::Failed, .. } => "failed",
            PlanDecision::RunEnded { end: RunEnd::Stopped, .. } => "stopped",
            PlanDecision::RunEnded { .. } => "lost",
            PlanDecision::RunRejected { .. } => "refused",
            PlanDecision::RunAbsent { .. } => "absent",
            PlanDecision::EndsOmitted { .. } => "ends_omitted",
            PlanDecision::RunUnknown { .. } => "unknown",
            PlanDecision::RunAdopted { .. } => "adopted",
            PlanDecision::StartInDoubt { .. } => "start_in_doubt",
            PlanDecision::EndRecorded { .. } => "end_recorded",
            PlanDecision::StartWithdrawn { .. } => "start_withdrawn",
            PlanDecision::StartsHeld { .. } => "starts_held",
            PlanDecision::StartsReleased { .. } => "starts_released",
            PlanDecision::EvacuationStarted { .. } => "evacuation_started",
            PlanDecision::EvacuationEnded { .. } => "evacuation_ended",
            PlanDecision::EvacuationUnknown { .. } => "evacuation_unknown",
            PlanDecision::Moved { .. } => "moved",
            PlanDecision::Preempted { .. } => "displaced",
            PlanDecision::ShareReclaimed(_) => "share_reclaimed",
            PlanDecision::JobEnded { .. } => "job_ended",
            PlanDecision::WorkerSuspected { .. } => "worker_suspected",
            PlanDecision::WorkerTrusted { .. } => "worker_trusted",
            PlanDecision::WorkerCrashed { .. } => "worker_crashed",
            PlanDecision::TaskIsolated { .. } => "task_isolated",
            PlanDecision::TaskCleared { .. } => "task_cleared",
            PlanDecision::TaskGivenUp { .. } => "task_given_up",
            PlanDecision::WorkerLost { .. } => "worker_lost",
            PlanDecision::WorkerSpeed(change) => change.label(),
        }
    }
}
