//! State of one worker: what it reports, the runs assigned to it, and the capacity that these
//! leave.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::OrderLease;
use crate::connection::node_protocol::RunnerStatus;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::assigned_run::EndedBestEffortRun;
use crate::workflow::report_interval::MIN_REPORT_INTERVAL;
use crate::workflow::report_interval::silence_timeout;
use crate::workflow::reservation::Reservations;
use crate::workflow::spec::ResourceVector;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// Assumed share of its requested processor time that a serving task uses, for an estimate of what
/// is left for best-effort tasks. The actual remainder shows in the usage that these report.
pub(crate) const SERVING_UTILIZATION: f64 = 0.6;
/// Minimum pace assumed for a best-effort task in the estimate of its demand, since it may speed up
/// again.
const MIN_ASSUMED_PACE: f64 = 0.3;
/// Minimum average pace of a worker's best-effort tasks at which it gets further ones. They share a
/// capacity that does not grow with their number, so another task beside throttled ones would only
/// be late as well.
const MIN_AVERAGE_PACE: f64 = 0.6;
/// Time for which ended best-effort runs are remembered: the span over which tail latencies are
/// measured, and the age of a report.
pub const ENDED_RETENTION: Duration = Duration::from_millis(1_000);

/// The best-effort runs of a worker with which a further one competes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Competitors {
    /// All of them.
    All,
    /// Those that do not yield to it.
    Preferred,
}

/// Change of whether a worker's snapshots may omit ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OmissionChange {
    /// This is the first such snapshot.
    Begins,
    /// The snapshot before was one as well.
    Continues,
    /// This snapshot is complete again.
    Ends,
}

/// State of a worker during one instance of its runner.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// Reported status; `None` until its agent has reported.
    pub status: Option<RunnerStatus>,
    /// Runs assigned to it.
    pub assigned: BTreeMap<RunKey, AssignedRun>,
    /// Time by which the leases of all its runs have expired, unless they are extended.
    pub lease_end: Instant,
    /// The newest lease granted by this planner.
    pub granted: OrderLease,
    /// End of that lease on the planner's clock.
    pub granted_until: Instant,
    /// When its agent last reported.
    pub last_contact: Option<Instant>,
    /// Time after that at which it is silent.
    pub silence_timeout: Duration,
    /// Time until which it gets no runs because it rejected one for lack of capacity.
    pub full_until: Option<Instant>,
    /// When a best-effort run was last assigned, removed or changed in pace here, as far as this
    /// planner knows.
    pub best_effort_changed: Option<Instant>,
    /// Best-effort runs that ended within [`ENDED_RETENTION`].
    pub ended_best_effort: Vec<EndedBestEffortRun>,
    /// When changed traits of its runs were last sent to its agent.
    pub traits_sent_at: Option<Instant>,
    /// Whether its runs have to be compared with those that its agent reports, because the link is
    /// new.
    pub resync: bool,
    /// Whether its newest snapshot may omit ends of runs. It gets no new runs then, whose ends would be omitted as well.
    pub may_omit_ends: bool,
    /// Runs in its newest snapshot that are not assigned to it, and whether each has started.
    pub unknown_runs: BTreeMap<RunKey, bool>,
    /// Number of the last run end that it has reported to this planner.
    pub reported_end: u64,
    /// Capacity reserved for tasks that are being moved here.
    pub reservations: Reservations,
    /// Whether the instance has ended. Runs that are still assigned to it may be started by its
    /// successor.
    pub has_ended: bool,
    /// Whether its failure domain is being evacuated, so that it gets no new runs.
    pub is_evacuated: bool,
    /// Run of a task that is suspected of crashing its workers; no other task starts beside it.
    pub isolated: Option<RunKey>,
    pub(crate) used: ResourceVector,
}

impl WorkerEntry {
    pub(crate) fn new(lease_end: Instant) -> WorkerEntry {
        WorkerEntry {
            status: None,
            assigned: BTreeMap::new(),
            lease_end,
            granted: OrderLease::default(),
            granted_until: lease_end,
            last_contact: None,
            silence_timeout: silence_timeout(MIN_REPORT_INTERVAL),
            full_until: None,
            best_effort_changed: None,
            ended_best_effort: Vec::new(),
            traits_sent_at: None,
            resync: true,
            may_omit_ends: false,
            unknown_runs: BTreeMap::new(),
            reported_end: 0,
            reservations: Reservations::default(),
            has_ended: false,
            is_evacuated: false,
            isolated: None,
            used: ResourceVector::default(),
        }
    }

    /// Returns the newest lease, shortened to end at `deadline` if it lasts longer.
    pub(crate) fn granted_before(&self, deadline: Instant) -> OrderLease {
        let excess = self.granted_until.saturating_duration_since(deadline);
        OrderLease { end: self.granted.end.saturating_sub(excess), ..self.granted }
    }

    /// Returns the allocatable capacity that is not assigned.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// let entry = inventory.entry("i-1", Instant::now());
    /// assert_eq!(entry.free_resources().millicores, 0);
    /// ```
    pub fn free_resources(&self) -> ResourceVector {
        self.status.as_ref().map(|status| status.capacity.minus(&self.used)).unwrap_or_default()
    }

    /// Returns the allocatable capacity available to a task: the free capacity less reservations
    /// for other tasks.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// let room = inventory.entry("i-1", Instant::now()).available_to(&"a.0.0.0".parse().unwrap(), Instant::now());
    /// assert_eq!(room.millicores, 0);
    /// ```
    pub fn available_to(&self, task: &TaskName, now: Instant) -> ResourceVector {
        self.reservations.available_to(self.free_resources(), task, now)
    }

    /// Returns whether its agent has not reported for so long that it may be unreachable.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert!(inventory.entry("i-1", Instant::now()).is_silent(Instant::now()));
    /// ```
    pub fn is_silent(&self, now: Instant) -> bool {
        let silent_for = self.last_contact.map(|at| now.saturating_duration_since(at));
        silent_for.is_none_or(|silent_for| silent_for >= self.silence_timeout)
    }

    /// Returns whether it accepts new runs at `now`.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert!(!inventory.entry("i-1", Instant::now()).is_open(Instant::now()));
    /// ```
    pub fn is_open(&self, now: Instant) -> bool {
        let is_full = self.full_until.is_some_and(|until| now < until);
        let is_draining = self.status.as_ref().is_none_or(|status| status.draining);
        let is_known = !self.resync && !self.may_omit_ends;
        !self.is_silent(now) && !is_full && !is_draining && !self.is_evacuated && is_known
    }

    /// Records whether the newest snapshot may omit ends, and ends the comparison of runs with the
    /// agent's after a complete one.
    pub(crate) fn record_omission(&mut self, may_omit: bool) -> Option<OmissionChange> {
        self.resync &= may_omit;
        match (std::mem::replace(&mut self.may_omit_ends, may_omit), may_omit) {
            (false, true) => Some(OmissionChange::Begins),
            (true, true) => Some(OmissionChange::Continues),
            (true, false) => Some(OmissionChange::Ends),
            (false, false) => None,
        }
    }

    /// Returns the processor time estimated to be left for best-effort tasks, in thousandths of a
    /// core.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert_eq!(inventory.entry("i-1", Instant::now()).best_effort_capacity(), 0.0);
    /// ```
    pub fn best_effort_capacity(&self) -> f64 {
        let Some(status) = &self.status else {
            return 0.0;
        };
        let usage = |run: &AssignedRun| {
            let share = if run.target_ms > 0 { SERVING_UTILIZATION } else { 1.0 };
            run.millicores as f64 * share
        };
        let others = self.assigned.values().filter(|run| !run.best_effort);
        let used: f64 = others.map(usage).sum();
        (status.capacity.millicores as f64 - used).max(0.0)
    }

    /// The best-effort runs that a further one competes with.
    pub(crate) fn best_effort_runs(
        &self,
        competitors: Competitors,
    ) -> impl Iterator<Item = &AssignedRun> {
        let competes = move |run: &&AssignedRun| competitors == Competitors::All || !run.yields;
        self.assigned.values().filter(|run| run.best_effort).filter(competes)
    }

    /// Returns the processor time that its best-effort tasks would use, in thousandths of a core.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_entry::Competitors;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// let worker = inventory.entry("i-1", Instant::now());
    /// assert_eq!(worker.best_effort_demand(Competitors::All), 0.0);
    /// ```
    pub fn best_effort_demand(&self, competitors: Competitors) -> f64 {
        let best_effort = self.best_effort_runs(competitors);
        let share = |run: &AssignedRun| {
            let pace = run.last_report.as_ref().map_or(100, |report| report.pace_percent);
            f64::from(pace) / 100.0
        };
        best_effort.map(|run| run.millicores as f64 * share(run).max(MIN_ASSUMED_PACE)).sum()
    }

    /// Returns whether its best-effort tasks are throttled so much that another one would only take
    /// capacity from them.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_entry::Competitors;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert!(!inventory.entry("i-1", Instant::now()).is_saturated(Competitors::All));
    /// ```
    pub fn is_saturated(&self, competitors: Competitors) -> bool {
        let (mut requested, mut allowed) = (0.0, 0.0);
        for run in self.best_effort_runs(competitors) {
            let pace = run.last_report.as_ref().map_or(100, |report| report.pace_percent);
            requested += run.millicores as f64;
            allowed += run.millicores as f64 * f64::from(pace) / 100.0;
        }
        allowed < requested * MIN_AVERAGE_PACE
    }

    /// Returns whether a serving task is assigned to it.
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

    /// Returns the processor time of the runs that a crash would lose, in thousandths of a core;
    /// serving tasks count twice.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert_eq!(inventory.entry("i-1", Instant::now()).crash_loss(), 0.0);
    /// ```
    pub fn crash_loss(&self) -> f64 {
        let weight = |run: &AssignedRun| if run.target_ms > 0 { 2.0 } else { 1.0 };
        self.assigned.values().map(|run| run.millicores as f64 * weight(run)).sum()
    }

    /// Returns when the newest of its runs was assigned.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// assert_eq!(inventory.entry("i-1", Instant::now()).last_assigned_at(), None);
    /// ```
    pub fn last_assigned_at(&self) -> Option<Instant> {
        self.assigned.values().map(|run| run.assigned_at).max()
    }

    /// Returns whether a serving task of an image is assigned to it.
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

    /// Returns the number of its runs that belong to the same step and occurrence as a task.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut inventory = greengagearch::workflow::worker_inventory::WorkerInventory::default();
    /// let name = "a.0.0.0".parse().unwrap();
    /// assert_eq!(inventory.entry("i-1", Instant::now()).runs_of_step(&name), 0);
    /// ```
    pub fn runs_of_step(&self, name: &TaskName) -> u32 {
        let is_same = |key: &&RunKey| {
            key.0.job == name.job && key.0.occurrence == name.occurrence && key.0.step == name.step
        };
        u32::try_from(self.assigned.keys().filter(is_same).count()).unwrap_or(u32::MAX)
    }
}
