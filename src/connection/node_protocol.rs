//! RPC protocol between the planner and the node agents.
//!
//! The planner connects to the agents. Each call carries the planner's epoch and the number of the
//! link (the connection). An agent rejects calls with an older epoch, or an older link of the same
//! epoch, than the newest that it has received.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::ids::CheckpointRef;
use crate::ids::DomainName;
use crate::ids::InstanceId;
use crate::ids::PlannerEpoch;
use crate::ids::RunNumber;
use crate::ids::ServiceName;
use crate::workflow::progress::RunEnd;
use crate::workflow::spec::ResourceVector;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// Age up to which a run counts as young. A program that crashes its runner at its start does so
/// well within this time.
pub const MAX_YOUNG_AGE: Duration = Duration::from_millis(1_000);
/// Maximum number of young runs in one log line.
const MAX_YOUNG_LOGGED: usize = 6;

/// Identifies the sender of a call. Stamps are ordered: a newer planner or link has a greater one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LinkStamp {
    /// Epoch of the planner's ownership.
    pub epoch: PlannerEpoch,
    /// Number of the planner's connection to this agent; it increases with each connection.
    pub link: u64,
}

/// Permission of the planner to extend the leases of all runs on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Start of `span` on the agent's monotonic clock, as received in [`NodeReport::now`].
    pub since: Duration,
    /// Time after `since` until which the leases may be extended.
    pub span: Duration,
}

/// A lease that the planner has granted over a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderLease {
    /// Number of the link.
    pub link: u64,
    /// End of the lease on the agent's monotonic clock.
    pub end: Duration,
}

/// Request for the state of an agent. The agent delays its response until something has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncCall {
    /// Planner and link that sent the call.
    pub stamp: LinkStamp,
    /// Permission to extend leases; `None` on the first call of a link.
    pub grant: Option<LeaseGrant>,
    /// The runner instance that `last_acked_end` belongs to.
    pub instance: Option<InstanceId>,
    /// Number of the last run end that the planner has committed to the store.
    pub last_acked_end: u64,
    /// Maximum time for which the agent may wait for a change.
    pub wait: Duration,
}

/// Description of a runner, as it registered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerStatus {
    /// The runner instance.
    pub instance: InstanceId,
    /// Name of the service that it provides.
    pub service: ServiceName,
    /// Failure domain of the runner.
    pub domain: DomainName,
    /// Total resources of the runner.
    pub capacity: ResourceVector,
    /// Labels of the runner; the last one is its rack.
    pub labels: Vec<String>,
    /// Whether the runner is draining and accepts no further runs.
    pub draining: bool,
}

impl RunnerStatus {
    /// Returns the rack of the runner, which is the last of its labels.
    ///
    /// ```
    /// use greengagearch::connection::node_protocol::RunnerStatus;
    /// use greengagearch::workflow::spec::ResourceVector;
    ///
    /// let status = RunnerStatus {
    ///     instance: "i-1".into(),
    ///     service: "s".into(),
    ///     domain: "d".into(),
    ///     capacity: ResourceVector::default(),
    ///     labels: vec!["a".into(), "r1-2".into()],
    ///     draining: false,
    /// };
    /// assert_eq!(status.rack(), "r1-2");
    /// ```
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}

/// A run that is present on a worker, or for which a start is in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresentRun {
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: RunNumber,
    /// Whether the runner lists the run; otherwise its start order is still being delivered.
    pub is_started: bool,
    /// Its newest checkpoint.
    pub checkpoint: CheckpointRef,
    /// Progress in percent; 100 for a long-running task once it is working.
    pub progress_percent: u32,
    /// Pace to which the agent limits the run, in percent of full speed.
    pub pace_percent: u32,
    /// Mean pace over the measurement window of the tail latencies in this snapshot, in percent.
    pub mean_pace_percent: u32,
    /// Tail latency in milliseconds for a serving task, otherwise CPU usage in millicores.
    pub usage: u64,
}

impl PresentRun {
    /// Returns a run whose start was ordered and has not been confirmed yet, at full pace.
    ///
    /// ```
    /// use greengagearch::connection::node_protocol::PresentRun;
    ///
    /// let run = PresentRun::ordered("a.0.0.0".parse().unwrap(), 1);
    /// assert_eq!((run.progress_percent, run.pace_percent), (0, 100));
    /// ```
    pub fn ordered(task: TaskName, run: RunNumber) -> PresentRun {
        PresentRun {
            task,
            run,
            is_started: false,
            checkpoint: CheckpointRef::new(),
            progress_percent: 0,
            pace_percent: 100,
            mean_pace_percent: 100,
            usage: 0,
        }
    }
}

/// A run that has ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Number of this end among the ends of the runner instance.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: RunNumber,
    /// How the run ended.
    pub end: RunEnd,
    /// Its newest checkpoint.
    pub checkpoint: CheckpointRef,
}

/// Why a worker rejected a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// Its free resources do not suffice.
    Room,
    /// It already had this run or a later run of the task.
    Old,
    /// The lease in the order had expired when the order arrived.
    Late,
    /// It is unhealthy.
    Unwell,
    /// It is draining, or the order was meant for another runner instance.
    Leaving,
    /// The ticket of the advice service is missing or invalid.
    Ticket,
    /// The order is malformed.
    Malformed,
}

/// A run that a worker rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedRun {
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: RunNumber,
    /// Why the worker rejected it.
    pub reason: RejectReason,
}

/// State of the runner at the last poll by its agent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerSnapshot {
    /// All runs that the runner has or may still accept.
    pub present: Vec<PresentRun>,
    /// Ended runs that the planner has not acknowledged as stored, the earliest first.
    pub ended: Vec<EndedRun>,
    /// Whether the runner may have later ends that are not listed here. A run that is neither present nor ended may have ended then.
    #[serde(default)]
    pub may_omit_ends: bool,
    /// Runs that the runner rejected.
    pub rejected: Vec<RejectedRun>,
    /// Number of the last batch of orders whose outcome this snapshot includes.
    pub orders_seen: u64,
}

impl RunnerSnapshot {
    /// Returns whether the runner itself lists a run, as started or as ended.
    ///
    /// ```
    /// use greengagearch::connection::node_protocol::RunnerSnapshot;
    ///
    /// assert!(!RunnerSnapshot::default().lists(&("a.0.0.0".parse().unwrap(), 1)));
    /// ```
    pub fn lists(&self, key: &RunKey) -> bool {
        let is_started = |run: &PresentRun| run.is_started && run.task == key.0 && run.run == key.1;
        let is_end = |ended: &EndedRun| ended.task == key.0 && ended.run == key.1;
        self.present.iter().any(is_started) || self.ended.iter().any(is_end)
    }
}

/// A run that a runner instance started, or may have started, shortly before it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct YoungRun {
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: RunNumber,
    /// Time from the start to when the agent first detected the crash; a paused agent detects it
    /// late.
    pub max_age: Duration,
    /// Time from the start to the last response of the instance.
    pub min_age: Duration,
    /// Whether the runner had confirmed the start.
    pub is_certain: bool,
}

/// Formats the first few of `young` for a log line: each with its age in milliseconds, and a
/// question mark if its start is not confirmed.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::connection::node_protocol::YoungRun;
/// use greengagearch::connection::node_protocol::format_young_runs;
///
/// let task = "a.0.0.0".parse().unwrap();
/// let max_age = Duration::from_millis(10);
/// let run = YoungRun { task, run: 2, max_age, min_age: Duration::ZERO, is_certain: true };
/// assert_eq!(format_young_runs(&[run]), "a.0.0.0/2:10");
/// ```
pub fn format_young_runs(young: &[YoungRun]) -> String {
    let text = |run: &YoungRun| {
        let doubt = if run.is_certain { "" } else { "?" };
        format!("{}/{}:{}{doubt}", run.task, run.run, run.max_age.as_millis())
    };
    let shown: Vec<String> = young.iter().take(MAX_YOUNG_LOGGED).map(text).collect();
    shown.join(" ")
}

/// A crash of a runner instance, which ended without deregistering.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerCrash {
    /// The instance that crashed.
    pub instance: InstanceId,
    /// Its young runs, the youngest first.
    pub young: Vec<YoungRun>,
}

/// A run of which an attempt to start had no response and may still be carried out, by the instance
/// that it was sent to or by a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartInDoubt {
    /// The run.
    pub key: RunKey,
    /// Time left in which the attempt may be carried out.
    pub remaining: Duration,
}

/// State of an agent and its runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Time of the agent's monotonic clock when it sent this report.
    pub now: Duration,
    /// The current runner instance, or `None` if none is registered.
    pub runner: Option<RunnerStatus>,
    /// Whether the runner keeps its id when it restarts.
    pub keeps_id: bool,
    /// Former instances of the runner, on which nothing runs any more.
    pub former: Vec<InstanceId>,
    /// Runs sent to former instances that their successor may have started or may still start.
    pub unsettled: Vec<RunKey>,
    /// Starts that a later instance of the runner may carry out, although the run has ended or was
    /// given up by then.
    pub in_doubt: Vec<StartInDoubt>,
    /// Recent crashes among the former instances.
    pub crashes: Vec<RunnerCrash>,
    /// The newest snapshot, or `None` if the runner has not responded recently.
    pub snapshot: Option<RunnerSnapshot>,
}

/// Load that a best-effort task adds to serving tasks of one image on the same worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImageInterference {
    /// Image of the serving tasks.
    pub serving: String,
    /// Load added at full pace, in thousandths.
    pub added_permille: u32,
}

/// Properties of a task by which the agent monitors it and controls its pace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTraits {
    /// The task.
    pub task: TaskName,
    /// Image that the task runs.
    pub image: String,
    /// Target for its tail latency in milliseconds; zero for a task that is not a serving task.
    pub target_ms: u64,
    /// Whether it is a best-effort task, which uses CPU time that serving tasks leave idle.
    pub best_effort: bool,
    /// Resources that it reserves of the allocatable capacity.
    pub resources: ResourceVector,
    /// Load that it adds at full pace to serving tasks, for each of their images.
    pub effects: Vec<ImageInterference>,
    /// Tail latency of a serving task without load, in milliseconds; zero if unknown.
    pub idle_tail_ms: u32,
    /// Whether the best-effort task is throttled before those that do not yield.
    pub yields: bool,
}

impl TaskTraits {
    /// Returns the load that the task adds at full pace to serving tasks of an image, or `None` if
    /// it is unknown.
    ///
    /// ```
    /// use greengagearch::connection::node_protocol::ImageInterference;
    /// use greengagearch::connection::node_protocol::TaskTraits;
    /// use greengagearch::workflow::spec::ResourceVector;
    ///
    /// let traits = TaskTraits {
    ///     task: "a.0.0.0".parse().unwrap(),
    ///     image: "f".to_string(),
    ///     target_ms: 0,
    ///     best_effort: true,
    ///     resources: ResourceVector::default(),
    ///     effects: vec![ImageInterference { serving: "s".to_string(), added_permille: 40 }],
    ///     idle_tail_ms: 0,
    ///     yields: false,
    /// };
    /// assert_eq!(traits.added_load("s"), Some(0.04));
    /// ```
    pub fn added_load(&self, serving: &str) -> Option<f64> {
        let effect = self.effects.iter().find(|effect| effect.serving == serving)?;
        Some(f64::from(effect.added_permille) / 1_000.0)
    }
}

/// An order to start a run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The run.
    pub run: RunNumber,
    /// Payload that is passed to the task.
    pub payload: String,
    /// Checkpoint to resume from.
    pub checkpoint: CheckpointRef,
    /// Ticket of the advice service, if the queue requires one.
    pub ticket: Option<String>,
    /// The newest lease that the planner had granted when it decided on the start. The start is not
    /// sent to the runner after its end, since the planner may have given up the run by then.
    pub lease: OrderLease,
    /// Properties of the task.
    pub traits: TaskTraits,
    /// Whether the same start was ordered before, possibly from an agent process that has ended
    /// since: a delivery attempt of that process may still take effect.
    pub is_repeat: bool,
}

/// An order for a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeOrder {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run, which first writes a checkpoint if it can.
    Stop(TaskName, RunNumber),
    /// Record or update the properties of a task that already runs.
    Describe(TaskTraits),
}

/// A batch of orders for one runner instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCall {
    /// Planner and link that sent the call.
    pub stamp: LinkStamp,
    /// The runner instance that the orders are for.
    pub instance: InstanceId,
    /// Number of the batch; each batch has a greater one than those before.
    pub number: u64,
    /// Number of the previous batch over this link, zero for the first. It shows the agent whether
    /// an earlier batch is still missing, since calls may overtake each other.
    pub previous: u64,
    /// Orders of the batch.
    pub orders: Vec<NodeOrder>,
}

/// The call came from a previous planner, or over a connection that its planner has replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(display("stale link; newest is epoch {} link {}", newest.epoch, newest.link))]
pub struct StaleLink {
    /// The newest sender from which the agent has received a call.
    pub newest: LinkStamp,
}

/// Calls that a node agent accepts from the planner.
#[tarpc::service]
pub trait NodeRpc {
    /// Extends the leases as granted and returns the state of the agent.
    async fn sync(call: SyncCall) -> Result<NodeReport, StaleLink>;
    /// Accepts a batch of orders for the runner.
    async fn order(call: OrderCall) -> Result<(), StaleLink>;
}
