//! A run as the planner sees it on its worker.

use std::time::Instant;

use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::TaskTraits;
use crate::workflow::spec::ResourceVector;

/// Pace at which a task that fills counts as held up, in percent.
const SLOW_PERCENT: u32 = 30;

/// A run that the planner has given to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedRun {
    /// What it takes of the guarded capacity.
    pub reserved: ResourceVector,
    /// Processor time that it would use at most, in thousandths of a core.
    pub millicores: u64,
    /// Whether it fills what others leave.
    pub best_effort: bool,
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
    pub assigned_at: Instant,
    /// What the worker last said of it.
    pub last_report: Option<PresentRun>,
    /// When the worker first said that it runs.
    pub first_reported_at: Option<Instant>,
    /// When the worker first showed that it has begun.
    pub begun_at: Option<Instant>,
    /// What its agent was last told of it.
    pub sent_traits: Option<TaskTraits>,
    /// Since when it may work only slowly, because it disturbs what serves.
    pub throttled_since: Option<Instant>,
    /// Whether it was ordered to stop.
    pub stopping: bool,
    /// Its work since progress was first seen of it.
    pub progress: Option<RunProgress>,
}

/// The work of a run since its progress was first seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunProgress {
    /// Progress at the beginning, in percent.
    pub from_percent: u32,
    /// Newest progress, in percent.
    pub to_percent: u32,
    /// Time between both, in milliseconds at full pace.
    pub worked_ms: f64,
    /// When the newest was seen.
    pub reported_at: Instant,
}

impl AssignedRun {
    /// Takes in what the worker says of it. Says whether its pace has changed.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::node_protocol::PresentRun;
    /// use greengagearch::workflow::spec::StepSpec;
    /// use greengagearch::workflow::worker_inventory::WorkerInventory;
    ///
    /// let now = Instant::now();
    /// let mut inventory = WorkerInventory::default();
    /// let key: (greengagearch::workflow::task_name::TaskName, u32) = ("a.0.0.0".parse().unwrap(), 1);
    /// inventory.assign("i-1", key.clone(), &StepSpec::default(), now, now);
    /// let run = inventory.get_mut("i-1").unwrap().assigned.get_mut(&key).unwrap();
    /// let seen = PresentRun { pace_percent: 10, ..PresentRun::ordered(key.0, 1) };
    /// assert!(run.on_report(seen, now));
    /// ```
    pub fn on_report(&mut self, seen: PresentRun, now: Instant) -> bool {
        self.record_progress(&seen, now);
        let before = self.last_report.as_ref().map(|known| known.pace_percent);
        let is_new_pace = before != Some(seen.pace_percent);
        self.first_reported_at.get_or_insert(now);
        if seen.is_begun {
            self.begun_at.get_or_insert(now);
        }
        let is_slow = self.best_effort && seen.pace_percent <= SLOW_PERCENT;
        self.throttled_since = if is_slow { self.throttled_since.or(Some(now)) } else { None };
        self.last_report = Some(seen);
        is_new_pace
    }

    /// Adds the time since the look before, at the pace that the run had then.
    fn record_progress(&mut self, seen: &PresentRun, now: Instant) {
        let percent = seen.progress_percent;
        let pace = self.last_report.as_ref().map_or(100, |known| known.pace_percent);
        match &mut self.progress {
            Some(work) => {
                let span = now.saturating_duration_since(work.reported_at).as_secs_f64();
                work.worked_ms += span * 10.0 * f64::from(pace);
                work.to_percent = percent;
                work.reported_at = now;
            }
            // A run that was only just ordered shows none yet.
            None if percent > 0 => {
                let work = RunProgress {
                    from_percent: percent,
                    to_percent: percent,
                    worked_ms: 0.0,
                    reported_at: now,
                };
                self.progress = Some(work);
            }
            None => {}
        }
    }
}

/// A run that filled and has ended of late.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedBestEffortRun {
    /// What it ran.
    pub image: String,
    /// When it began.
    pub started_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// Its last pace, in percent.
    pub pace_percent: u32,
}
