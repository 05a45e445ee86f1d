//! A run as the planner sees it on its worker.

use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::TaskTraits;
use crate::workflow::spec::RoomAmount;

/// Pace at which a task that fills counts as held up, in percent.
const SLOW_PERCENT: u32 = 30;

/// Least time without progress after which a run stands still: restoring saved work takes 0.6 s, reports 0.4 s.
const STALLED_AFTER: Duration = Duration::from_millis(1_100);
/// The same as a share of the estimate; slow workers take six times as long and show a percent in that.
const STALLED_SHARE: f64 = 0.35;

/// A run that the planner has given to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedRun {
    /// What it takes of the guarded capacity.
    pub counted: RoomAmount,
    /// Processor time that it would use at most, in thousandths of a core.
    pub millicores: u64,
    /// Whether it fills what others leave.
    pub fills: bool,
    /// What it runs.
    pub image: String,
    /// Bound on its tail latency in milliseconds; zero for a run that does not serve.
    pub target_ms: u64,
    /// Whether it saves its work.
    pub checkpoints: bool,
    /// Whether it runs until its job is cancelled.
    pub long_running: bool,
    /// Number of the order that carried it; nothing while the order waits for the store.
    pub order: Option<u64>,
    /// When it was assigned.
    pub since: Instant,
    /// What the worker last said of it.
    pub seen: Option<PresentRun>,
    /// When the worker first said that it runs.
    pub seen_since: Option<Instant>,
    /// What its agent was last told of it.
    pub told: Option<TaskTraits>,
    /// Since when it may work only slowly, because it disturbs what serves.
    pub slow_since: Option<Instant>,
    /// What its step was estimated to take.
    pub estimate: Duration,
    /// When it was last seen to get on, or may not have because it was slowed.
    pub progressed: Instant,
    /// Whether it was ordered to stop.
    pub stopping: bool,
}

impl AssignedRun {
    /// Takes in what the worker says of it. Says whether its pace has changed.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::node_protocol::PresentRun;
    /// use greengagearch::workflow::spec::StepSpec;
    /// use greengagearch::workflow::worker_board::WorkerBoard;
    ///
    /// let now = Instant::now();
    /// let mut board = WorkerBoard::default();
    /// let key: (greengagearch::workflow::task_name::TaskName, u32) = ("a.0.0.0".parse().unwrap(), 1);
    /// board.assign("i-1", key.clone(), &StepSpec::default(), now, now);
    /// let run = board.get_mut("i-1").unwrap().assigned.get_mut(&key).unwrap();
    /// let checkpoint = String::new();
    /// let (progress_percent, pace_percent, measured_percent, usage) = (0, 10, 10, 0);
    /// let seen = PresentRun {
    ///     task: key.0,
    ///     run: 1,
    ///     checkpoint,
    ///     progress_percent,
    ///     pace_percent,
    ///     measured_percent,
    ///     usage,
    /// };
    /// assert!(run.on_seen(seen, now));
    /// ```
    pub fn on_seen(&mut self, seen: PresentRun, now: Instant) -> bool {
        let before = self.seen.as_ref().map(|known| known.pace_percent);
        let is_new_pace = before != Some(seen.pace_percent);
        let is_first = self.seen_since.is_none();
        self.seen_since.get_or_insert(now);
        let progress = self.seen.as_ref().map(|known| known.progress_percent);
        let gets_on = progress != Some(seen.progress_percent);
        if is_first || gets_on || seen.measured_percent <= SLOW_PERCENT {
            self.progressed = now;
        }
        let is_slow = self.fills && seen.pace_percent <= SLOW_PERCENT;
        self.slow_since = if is_slow { self.slow_since.or(Some(now)) } else { None };
        self.seen = Some(seen);
        is_new_pace
    }

    /// Whether it has stood still for longer than any sound run does.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::spec::StepSpec;
    /// use greengagearch::workflow::task_name::TaskName;
    /// use greengagearch::workflow::worker_board::WorkerBoard;
    ///
    /// let now = Instant::now();
    /// let mut board = WorkerBoard::default();
    /// let name: TaskName = "a.0.0.0".parse().unwrap();
    /// board.assign("i-1", (name.clone(), 1), &StepSpec::default(), now, now);
    /// let run = &board.get("i-1").unwrap().assigned[&(name, 1)];
    /// assert!(!run.is_stalled(now + Duration::from_secs(9)), "it was not seen yet");
    /// ```
    pub fn is_stalled(&self, now: Instant) -> bool {
        let limit = STALLED_AFTER.max(self.estimate.mul_f64(STALLED_SHARE));
        let is_watched = self.seen_since.is_some() && !self.long_running && !self.stopping;
        is_watched && now.saturating_duration_since(self.progressed) >= limit
    }
}

/// A run that filled and has ended of late.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedFill {
    /// What it ran.
    pub image: String,
    /// When it began.
    pub begin: Instant,
    /// When it ended.
    pub end: Instant,
    /// Its last pace, in percent.
    pub percent: u32,
}
