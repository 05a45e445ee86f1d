//! The planner's state of a run that it has assigned to a worker.

use std::time::Instant;

use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::TaskTraits;
use crate::workflow::spec::ResourceVector;

/// Pace up to which a best-effort run counts as throttled.
const MAX_THROTTLED_PERCENT: u32 = 30;

/// How far the start order of a run has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderDelivery {
    /// The order waits until the assignment is committed to the store.
    Uncommitted,
    /// An earlier planner has committed the assignment and may have sent the order.
    Inherited,
    /// The order is in the outbox.
    Queued,
    /// The order was sent in the message with this number.
    Sent(u64),
}

impl OrderDelivery {
    /// Returns whether the agent would show the run in a snapshot if it had it: the order is not
    /// still on its way. `is_new_link` tells whether orders sent before may have been lost with
    /// their link.
    ///
    /// ```
    /// use greengagearch::workflow::assigned_run::OrderDelivery;
    ///
    /// assert!(OrderDelivery::Sent(7).is_over(7, false));
    /// assert!(!OrderDelivery::Sent(8).is_over(7, false));
    /// assert!(!OrderDelivery::Queued.is_over(7, true));
    /// ```
    pub fn is_over(self, orders_seen: u64, is_new_link: bool) -> bool {
        match self {
            OrderDelivery::Uncommitted | OrderDelivery::Queued => false,
            OrderDelivery::Inherited => true,
            OrderDelivery::Sent(number) => number <= orders_seen || is_new_link,
        }
    }
}

/// A run that the planner has assigned to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedRun {
    /// Part of the worker's allocatable capacity that it occupies.
    pub reserved: ResourceVector,
    /// Processor time that it uses at most, in thousandths of a core.
    pub millicores: u64,
    /// Whether it uses only the processor time that other tasks leave.
    pub best_effort: bool,
    /// The image that it executes.
    pub image: String,
    /// Target for its tail latency, in milliseconds; zero unless it is a serving task.
    pub target_ms: u64,
    /// Whether it saves checkpoints.
    pub checkpoints: bool,
    /// Whether it runs until its job is cancelled.
    pub long_running: bool,
    /// How far its start order has got.
    pub delivery: OrderDelivery,
    /// When it was assigned to the worker.
    pub assigned_at: Instant,
    /// The worker's most recent report of it.
    pub last_report: Option<PresentRun>,
    /// When the worker first reported it as present.
    pub first_reported_at: Option<Instant>,
    /// When the worker first reported that it had started.
    pub started_at: Option<Instant>,
    /// The traits that were last sent to the agent.
    pub sent_traits: Option<TaskTraits>,
    /// Since when it has been throttled because it interferes with serving tasks.
    pub throttled_since: Option<Instant>,
    /// Whether it yields to the best-effort runs of preferred jobs.
    pub yields: bool,
    /// Whether it was ordered to stop.
    pub stopping: bool,
    /// Whether its worker has shown it and reported no attempt to start it that is in doubt. No
    /// further attempt follows then.
    pub is_settled: bool,
    /// Its progress since the first report that showed any.
    pub progress: Option<RunProgress>,
}

/// Work that a run has done since its first report with any progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunProgress {
    /// Progress in the first such report, in percent.
    pub from_percent: u32,
    /// Progress in the newest report, in percent.
    pub to_percent: u32,
    /// Work between the two reports, in milliseconds at full pace.
    pub worked_ms: f64,
    /// When the newest report arrived.
    pub reported_at: Instant,
}

impl AssignedRun {
    /// Records a report of the run. Returns whether its pace has changed.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::node_protocol::PresentRun;
    /// use greengagearch::workflow::spec::StepSpec;
    /// use greengagearch::workflow::task_name::TaskName;
    /// use greengagearch::workflow::worker_inventory::WorkerInventory;
    ///
    /// let now = Instant::now();
    /// let mut inventory = WorkerInventory::default();
    /// let key: (TaskName, u32) = ("a.0.0.0".parse().unwrap(), 1);
    /// inventory.assign("i-1", key.clone(), &StepSpec::default(), now, now);
    /// let run = inventory.get_mut("i-1").unwrap().assigned.get_mut(&key).unwrap();
    /// let report = PresentRun { pace_percent: 10, ..PresentRun::ordered(key.0, 1) };
    /// assert!(run.on_report(report, now));
    /// ```
    pub fn on_report(&mut self, report: PresentRun, now: Instant) -> bool {
        self.record_progress(&report, now);
        let previous_pace = self.last_report.as_ref().map(|previous| previous.pace_percent);
        let has_pace_changed = previous_pace != Some(report.pace_percent);
        self.first_reported_at.get_or_insert(now);
        if report.is_started {
            self.started_at.get_or_insert(now);
        }
        let is_throttled = self.best_effort && report.pace_percent <= MAX_THROTTLED_PERCENT;
        self.throttled_since = if is_throttled { self.throttled_since.or(Some(now)) } else { None };
        self.last_report = Some(report);
        has_pace_changed
    }

    /// Adds the time since the previous report, weighted by the pace of that report.
    fn record_progress(&mut self, report: &PresentRun, now: Instant) {
        let percent = report.progress_percent;
        let pace = self.last_report.as_ref().map_or(100, |previous| previous.pace_percent);
        match &mut self.progress {
            Some(progress) => {
                let span = now.saturating_duration_since(progress.reported_at).as_secs_f64();
                progress.worked_ms += span * 10.0 * f64::from(pace);
                progress.to_percent = percent;
                progress.reported_at = now;
            }
            // A run that was only ordered so far has no progress yet.
            None if percent > 0 => {
                let progress = RunProgress {
                    from_percent: percent,
                    to_percent: percent,
                    worked_ms: 0.0,
                    reported_at: now,
                };
                self.progress = Some(progress);
            }
            None => {}
        }
    }
}

/// A best-effort run that ended recently.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedBestEffortRun {
    /// The image that it executed.
    pub image: String,
    /// When the worker first reported it.
    pub started_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// Its last pace, in percent.
    pub pace_percent: u32,
}
