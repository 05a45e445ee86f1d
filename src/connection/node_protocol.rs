//! Messages between the planner and the node agents.
//!
//! The planner dials the agents. Calls carry the planner's epoch and the number of the link; an agent
//! refuses everything that is older than what it has seen.

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

/// Age up to which a run is young. A program that crashes its worker as it starts does so well within this time.
pub const YOUNG_SPAN: Duration = Duration::from_millis(1_000);
/// Young runs that a line of the log names.
const YOUNG_SHOWN: usize = 6;

/// Identifies the sender of a call and its place among the calls that an agent gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LinkStamp {
    /// Epoch of the planner.
    pub epoch: PlannerEpoch,
    /// Number of the planner's connection to this agent, rising.
    pub link: u64,
}

/// The planner's consent that the leases of everything on a worker are extended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Time of the agent's own clock that `span` counts from; the agent sent it.
    pub since: Duration,
    /// How long after `since` leases may last.
    pub span: Duration,
}

/// Asks an agent for its state; the answer waits for news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncCall {
    /// The sender.
    pub stamp: LinkStamp,
    /// Extension of leases; nothing on the first call of a link.
    pub grant: Option<LeaseGrant>,
    /// The runner's life that `seen` belongs to.
    pub instance: Option<InstanceId>,
    /// Number of the last end that is stored for good.
    pub seen: u64,
    /// How long the answer may wait for news.
    pub wait: Duration,
}

/// What a runner says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerStatus {
    /// Its life.
    pub instance: InstanceId,
    /// Its service.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// What it can hold.
    pub capacity: ResourceVector,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Whether it is leaving.
    pub draining: bool,
}

impl RunnerStatus {
    /// Its rack: the last of its labels.
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

/// A run that a worker has, or is about to have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresentRun {
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: RunNumber,
    /// Whether the runner shows it; else its start is on its way.
    pub is_begun: bool,
    /// Its newest saved work.
    pub checkpoint: CheckpointRef,
    /// Share of its work that is done, in percent; of a task that lasts, 100 when it is at work.
    pub progress_percent: u32,
    /// Share of its speed at which the agent lets it work, in percent.
    pub pace_percent: u32,
    /// The mean of that over the span that the tails of this look tell of, in percent.
    pub measured_percent: u32,
    /// Tail latency in milliseconds of a task that serves, else thousandths of a core in use.
    pub usage: u64,
}

impl PresentRun {
    /// A run of which nothing is known but that it was ordered: it works at full pace.
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
            is_begun: false,
            checkpoint: CheckpointRef::new(),
            progress_percent: 0,
            pace_percent: 100,
            measured_percent: 100,
            usage: 0,
        }
    }
}

/// A run that has ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Number of the end in this life of the runner.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
    /// Its newest saved work.
    pub checkpoint: CheckpointRef,
}

/// Why a worker did not take a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// It has no room.
    Room,
    /// It had this run or a later one of the task already.
    Old,
    /// The order's lease had expired when it arrived.
    Late,
    /// It is not healthy.
    Unwell,
    /// It is leaving, or the order was for another life of it.
    Leaving,
    /// The ticket is not valid, or missing.
    Ticket,
    /// It does not understand the order.
    Malformed,
}

/// A run that a worker did not take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedRun {
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: RunNumber,
    /// Why.
    pub reason: RejectReason,
}

/// What the agent saw when it last looked at its runner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerSnapshot {
    /// All runs that the runner has or may still take.
    pub present: Vec<PresentRun>,
    /// Ends that are not stored yet.
    pub ended: Vec<EndedRun>,
    /// Runs that the runner refused.
    pub rejected: Vec<RejectedRun>,
    /// The last order that is settled in this look.
    pub orders_seen: u64,
}

impl RunnerSnapshot {
    /// Whether the runner itself shows a run, at work or as an end.
    ///
    /// ```
    /// use greengagearch::connection::node_protocol::RunnerSnapshot;
    ///
    /// assert!(!RunnerSnapshot::default().shows(&("a.0.0.0".parse().unwrap(), 1)));
    /// ```
    pub fn shows(&self, key: &RunKey) -> bool {
        let is_begun = |run: &PresentRun| run.is_begun && run.task == key.0 && run.run == key.1;
        let is_end = |ended: &EndedRun| ended.task == key.0 && ended.run == key.1;
        self.present.iter().any(is_begun) || self.ended.iter().any(is_end)
    }
}

/// A run that a runner began, or may have begun, shortly before its life broke off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct YoungRun {
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: RunNumber,
    /// Time from the start to the first sign that the life had broken off; a paused agent sees it late.
    pub age: Duration,
    /// Time from the start to the last sign that the life went on.
    pub lived: Duration,
    /// Whether the runner had said that the run began.
    pub is_certain: bool,
}

/// Runs with their ages for a line of the log, few enough to keep it short.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::connection::node_protocol::YoungRun;
/// use greengagearch::connection::node_protocol::young_text;
///
/// let task = "a.0.0.0".parse().unwrap();
/// let age = Duration::from_millis(10);
/// let run = YoungRun { task, run: 2, age, lived: Duration::ZERO, is_certain: true };
/// assert_eq!(young_text(&[run]), "a.0.0.0/2:10");
/// ```
pub fn young_text(young: &[YoungRun]) -> String {
    let text = |run: &YoungRun| {
        let doubt = if run.is_certain { "" } else { "?" };
        format!("{}/{}:{}{doubt}", run.task, run.run, run.age.as_millis())
    };
    let shown: Vec<String> = young.iter().take(YOUNG_SHOWN).map(text).collect();
    shown.join(" ")
}

/// The end of a life that the runner did not announce.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerCrash {
    /// The life.
    pub instance: InstanceId,
    /// Its newest runs, the youngest first.
    pub young: Vec<YoungRun>,
}

/// An agent's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Time of the agent's steady clock when it sent this.
    pub now: Duration,
    /// The runner; nothing when none is known.
    pub runner: Option<RunnerStatus>,
    /// Earlier lives of the runner, which run nothing any more.
    pub former: Vec<InstanceId>,
    /// Runs given to them that the next life of the runner may have begun, or may yet.
    pub unsettled: Vec<RunKey>,
    /// Of the former lives, those that broke off of late.
    pub crashes: Vec<RunnerCrash>,
    /// The newest look; nothing when the runner did not answer lately.
    pub snapshot: Option<RunnerSnapshot>,
}

/// What a task that fills adds to the load of tasks of one image that serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImageEffect {
    /// The image that serves.
    pub serving: String,
    /// The load, in thousandths.
    pub added_permille: u32,
}

/// What the agent has to know of a task besides the order, to watch and pace it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTraits {
    /// The task.
    pub task: TaskName,
    /// What it runs.
    pub image: String,
    /// Bound on its tail latency in milliseconds; zero for a task that does not serve.
    pub target_ms: u64,
    /// Whether it fills what others leave.
    pub best_effort: bool,
    /// What it takes of the guarded capacity.
    pub resources: ResourceVector,
    /// What it adds at full pace to the loads of tasks that serve, by their images.
    pub effects: Vec<ImageEffect>,
    /// Tail latency of a task that serves when nothing loads it, in milliseconds; zero when not known.
    pub idle_tail_ms: u32,
}

impl TaskTraits {
    /// What the task adds at full pace to the load of tasks of an image, if that is known.
    ///
    /// ```
    /// use greengagearch::connection::node_protocol::ImageEffect;
    /// use greengagearch::connection::node_protocol::TaskTraits;
    /// use greengagearch::workflow::spec::ResourceVector;
    ///
    /// let traits = TaskTraits {
    ///     task: "a.0.0.0".parse().unwrap(),
    ///     image: "f".to_string(),
    ///     target_ms: 0,
    ///     best_effort: true,
    ///     resources: ResourceVector::default(),
    ///     effects: vec![ImageEffect { serving: "s".to_string(), added_permille: 40 }],
    ///     idle_tail_ms: 0,
    /// };
    /// assert_eq!(traits.added("s"), Some(0.04));
    /// ```
    pub fn added(&self, serving: &str) -> Option<f64> {
        let effect = self.effects.iter().find(|effect| effect.serving == serving)?;
        Some(f64::from(effect.added_permille) / 1_000.0)
    }
}

/// Orders that a task is started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The run.
    pub run: RunNumber,
    /// Text for the task.
    pub payload: String,
    /// Saved work to resume from.
    pub checkpoint: CheckpointRef,
    /// Permission of the advice service, if the queue needs one.
    pub ticket: Option<String>,
    /// What the agent has to know of the task.
    pub traits: TaskTraits,
    /// Whether it was ordered before, maybe of an agent that has ended: a try of that one may be carried out yet.
    pub is_repeat: bool,
}

/// One order for a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeOrder {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run; it saves its work first, if it can.
    Stop(TaskName, RunNumber),
    /// Know these tasks, which run already.
    Describe(TaskTraits),
}

/// Orders for one life of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCall {
    /// The sender.
    pub stamp: LinkStamp,
    /// The life that is meant.
    pub instance: InstanceId,
    /// Number of these orders; numbers rise.
    pub number: u64,
    /// Number of the orders before them over this link, zero for the first. Calls may overtake each other.
    pub previous: u64,
    /// The orders.
    pub orders: Vec<NodeOrder>,
}

/// The caller is no longer the planner, or has a newer connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(display("epoch {} link {} was replaced", newest.epoch, newest.link))]
pub struct StaleLink {
    /// The newest sender that the agent knows.
    pub newest: LinkStamp,
}

/// Services that a node agent offers to the planner.
#[tarpc::service]
pub trait NodeRpc {
    /// Asks for the agent's state.
    async fn sync(call: SyncCall) -> Result<NodeReport, StaleLink>;
    /// Hands over orders.
    async fn order(call: OrderCall) -> Result<(), StaleLink>;
}
