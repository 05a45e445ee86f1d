//! A run as the planner sees it on its worker.

use std::time::Instant;

use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::TaskTraits;
use crate::workflow::spec::RoomAmount;

/// Pace at which a task that fills counts as held up, in percent.
const SLOW_PERCENT: u32 = 30;

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
    /// When the worker first showed that it has begun.
    pub begun_since: Option<Instant>,
    /// What its agent was last told of it.
    pub told: Option<TaskTraits>,
    /// Since when it may work only slowly, because it disturbs what serves.
    pub slow_since: Option<Instant>,
    /// Whether it was ordered to stop.
    pub stopping: bool,
    /// Its work since progress was first seen of it.
    pub work: Option<RunWork>,
}

/// The work of a run since its progress was first seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunWork {
    /// Progress at the beginning, in percent.
    pub from_percent: u32,
    /// Newest progress, in percent.
    pub to_percent: u32,
    /// Time between both, in milliseconds at full pace.
    pub full_ms: f64,
    /// When the newest was seen.
    pub seen_at: Instant,
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
    /// assert!(run.on_seen(seen, now));
    /// ```
    pub fn on_seen(&mut self, seen: PresentRun, now: Instant) -> bool {
        self.follow_work(&seen, now);
        let before = self.seen.as_ref().map(|known| known.pace_percent);
        let is_new_pace = before != Some(seen.pace_percent);
        self.seen_since.get_or_insert(now);
        if seen.is_begun {
            self.begun_since.get_or_insert(now);
        }
        let is_slow = self.fills && seen.pace_percent <= SLOW_PERCENT;
        self.slow_since = if is_slow { self.slow_since.or(Some(now)) } else { None };
        self.seen = Some(seen);
        is_new_pace
    }

    /// Adds the time since the look before, at the pace that the run had then.
    fn follow_work(&mut self, seen: &PresentRun, now: Instant) {
        let percent = seen.progress_percent;
        let pace = self.seen.as_ref().map_or(100, |known| known.pace_percent);
        match &mut self.work {
            Some(work) => {
                let span = now.saturating_duration_since(work.seen_at).as_secs_f64();
                work.full_ms += span * 10.0 * f64::from(pace);
                work.to_percent = percent;
                work.seen_at = now;
            }
            // A run that was only just ordered shows none yet.
            None if percent > 0 => {
                let work = RunWork {
                    from_percent: percent,
                    to_percent: percent,
                    full_ms: 0.0,
                    seen_at: now,
                };
                self.work = Some(work);
            }
            None => {}
        }
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
