//! One worker as the planner knows it: what it said, what was given to it, and what that leaves.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::RunnerStatus;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::assigned_run::EndedFill;
use crate::workflow::room_hold::RoomHolds;
use crate::workflow::spec::RoomAmount;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// A worker that was silent for so long gets no new work: two waits of a sync call and some.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Share of its declared processor time that a serving task is taken to use, for what it leaves to
/// tasks that fill. What is really left is seen by the fills' own usage.
const SERVING_USE: f64 = 0.6;
/// Least pace at which a task that fills counts with what it would use, since it may work faster again.
const LEAST_PACE_COUNTED: f64 = 0.3;
/// Share of their processor time that the fills of a worker have to be let work, or it gets no other one. Fills share a
/// load that does not grow with their number: one more beside slowed ones only makes its own job late as well.
const LEAST_WORKING: f64 = 0.6;
/// How long runs that filled and have ended are remembered: the span over which tails are measured and
/// the age of a report.
pub const ENDED_KEPT: Duration = Duration::from_millis(1_000);

/// One life of a runner.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// What it said of itself; nothing until its agent has reported.
    pub status: Option<RunnerStatus>,
    /// What was given to it.
    pub assigned: BTreeMap<RunKey, AssignedRun>,
    /// When the leases of everything on it have surely expired, if nothing more is granted.
    pub lease_end: Instant,
    /// When its agent last reported.
    pub last_contact: Option<Instant>,
    /// Until when it gets nothing because it refused for want of room.
    pub full_until: Option<Instant>,
    /// When tasks that fill were last given, taken or paced here, as far as this planner knows.
    pub fills_changed: Option<Instant>,
    /// Runs that filled and have ended within [`ENDED_KEPT`].
    pub ended_fills: Vec<EndedFill>,
    /// When its agent was last told what has changed of its runs.
    pub described: Option<Instant>,
    /// Whether its assigned runs have to be compared with what its agent knows, after a new link.
    pub resync: bool,
    /// Room that is kept for tasks that are on their way.
    pub holds: RoomHolds,
    /// Whether its life is over. What is still assigned to it may be begun by the next life of its runner.
    pub is_over: bool,
    /// A run of a task that is suspected to crash its workers, beside which nothing else starts.
    pub isolated: Option<RunKey>,
    pub(crate) used: RoomAmount,
}

impl WorkerEntry {
    pub(crate) fn new(lease_end: Instant) -> WorkerEntry {
        WorkerEntry {
            status: None,
            assigned: BTreeMap::new(),
            lease_end,
            last_contact: None,
            full_until: None,
            fills_changed: None,
            ended_fills: Vec::new(),
            described: None,
            resync: true,
            holds: RoomHolds::default(),
            is_over: false,
            isolated: None,
            used: RoomAmount::default(),
        }
    }

    /// Guarded capacity that nothing was given to.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// let entry = inventory.entry("i-1", Instant::now());
    /// assert_eq!(entry.free_room().millicores, 0);
    /// ```
    pub fn free_room(&self) -> RoomAmount {
        self.status.as_ref().map(|status| status.capacity.minus(&self.used)).unwrap_or_default()
    }

    /// Guarded capacity that a task may take: what is free, less what is kept for others.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// let room = inventory.entry("i-1", Instant::now()).room_for(&"a.0.0.0".parse().unwrap(), Instant::now());
    /// assert_eq!(room.millicores, 0);
    /// ```
    pub fn room_for(&self, task: &TaskName, now: Instant) -> RoomAmount {
        self.holds.leave(self.free_room(), task, now)
    }

    /// Whether it may get new work at `now`.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert!(!inventory.entry("i-1", Instant::now()).is_open(Instant::now()));
    /// ```
    pub fn is_open(&self, now: Instant) -> bool {
        let is_heard = self.last_contact.is_some_and(|last_contact| {
            now.saturating_duration_since(last_contact) < SILENCE_LIMIT
        });
        let is_full = self.full_until.is_some_and(|until| now < until);
        let is_leaving = self.status.as_ref().is_none_or(|status| status.draining);
        is_heard && !is_full && !is_leaving && !self.resync
    }

    /// Processor time that tasks that fill may expect to share, in thousandths of a core.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert_eq!(inventory.entry("i-1", Instant::now()).fill_room(), 0.0);
    /// ```
    pub fn fill_room(&self) -> f64 {
        let Some(status) = &self.status else {
            return 0.0;
        };
        let use_of = |run: &AssignedRun| {
            let share = if run.target_ms > 0 { SERVING_USE } else { 1.0 };
            run.millicores as f64 * share
        };
        let others = self.assigned.values().filter(|run| !run.fills);
        let used: f64 = others.map(use_of).sum();
        (status.capacity.millicores as f64 - used).max(0.0)
    }

    /// Processor time that the tasks that fill here would use, in thousandths of a core.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert_eq!(inventory.entry("i-1", Instant::now()).fill_demand(), 0.0);
    /// ```
    pub fn fill_demand(&self) -> f64 {
        let fills = self.assigned.values().filter(|run| run.fills);
        let share = |run: &AssignedRun| {
            let pace = run.seen.as_ref().map_or(100, |seen| seen.pace_percent);
            f64::from(pace) / 100.0
        };
        fills.map(|run| run.millicores as f64 * share(run).max(LEAST_PACE_COUNTED)).sum()
    }

    /// Whether the fills here are slowed so far that another one would only take from them.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert!(!inventory.entry("i-1", Instant::now()).holds_fills_back());
    /// ```
    pub fn holds_fills_back(&self) -> bool {
        let (mut wanted, mut working) = (0.0, 0.0);
        for run in self.assigned.values().filter(|run| run.fills) {
            let pace = run.seen.as_ref().map_or(100, |seen| seen.pace_percent);
            wanted += run.millicores as f64;
            working += run.millicores as f64 * f64::from(pace) / 100.0;
        }
        working < wanted * LEAST_WORKING
    }

    /// Whether a task that serves has been given to it.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert!(!inventory.entry("i-1", Instant::now()).is_serving());
    /// ```
    pub fn is_serving(&self) -> bool {
        self.assigned.values().any(|run| run.target_ms > 0)
    }

    /// Processor time of what would be lost with it, in thousandths of a core; what serves counts twice.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert_eq!(inventory.entry("i-1", Instant::now()).stake(), 0.0);
    /// ```
    pub fn stake(&self) -> f64 {
        let weight = |run: &AssignedRun| if run.target_ms > 0 { 2.0 } else { 1.0 };
        self.assigned.values().map(|run| run.millicores as f64 * weight(run)).sum()
    }

    /// When the newest of its runs was assigned.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert_eq!(inventory.entry("i-1", Instant::now()).newest(), None);
    /// ```
    pub fn newest(&self) -> Option<Instant> {
        self.assigned.values().map(|run| run.since).max()
    }

    /// Whether a task of an image serves here.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert!(!inventory.entry("i-1", Instant::now()).serves_image("x"));
    /// ```
    pub fn serves_image(&self, image: &str) -> bool {
        self.assigned.values().any(|run| run.target_ms > 0 && run.image == image)
    }

    /// Number of runs of a step of one occurrence here.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// let name = "a.0.0.0".parse().unwrap();
    /// assert_eq!(inventory.entry("i-1", Instant::now()).of_step(&name), 0);
    /// ```
    pub fn of_step(&self, name: &TaskName) -> u32 {
        let is_same = |key: &&RunKey| {
            key.0.job == name.job && key.0.occurrence == name.occurrence && key.0.step == name.step
        };
        u32::try_from(self.assigned.keys().filter(is_same).count()).unwrap_or(u32::MAX)
    }
}
