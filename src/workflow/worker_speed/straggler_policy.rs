//! When a task that lags behind its step gets a copy, or moves to another worker.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::workflow::advice_cache::StepKey;
use crate::workflow::task_name::TaskName;

/// Time from the order to start a run until it works.
const START_DELAY: Duration = Duration::from_millis(300);
/// Time from the order to stop a run until its task works elsewhere: the stop with its checkpoint,
/// the message delays, and the start.
const MOVE_DELAY: Duration = Duration::from_millis(1_000);
/// Time that a move has to save. Some slow workers recover before the task would have ended.
const MIN_SAVING: Duration = Duration::from_millis(500);
/// Multiple of the usual duration in its step that a run has to last before a copy is made on
/// account of the task alone, while its worker is fast. A large task takes as long elsewhere.
const LARGE_TASK_FACTOR: f64 = 3.0;
/// Time between two moves of a task. A slow phase of a worker is over by then.
const MOVE_INTERVAL: Duration = Duration::from_secs(10);
/// Moves of a task because of slow workers, in all.
const MAX_MOVES_PER_TASK: u32 = 2;
/// Moves and copies of all tasks per second. Each takes an order to stop or start and a row.
const MAX_ACTIONS_PER_SECOND: usize = 10;
/// Time that this limit applies to.
const ACTION_PERIOD: Duration = Duration::from_secs(1);

/// What is known of a run that may be a straggler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunOutlook {
    /// Progress in percent.
    pub percent: u32,
    /// Current rate, in percent per millisecond.
    pub rate: f64,
    /// Median rate of the other tasks of the step on other workers, in percent per millisecond.
    pub reference: f64,
    /// Speed of the worker as a share of the median; `None` if it is unknown.
    pub worker_speed: Option<f64>,
    /// Whether the worker is known to be slow.
    pub is_worker_slow: bool,
    /// Time since the run was assigned.
    pub age: Duration,
}

impl RunOutlook {
    /// Time until the run ends where it is, in milliseconds.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::workflow::worker_speed::straggler_policy::RunOutlook;
    ///
    /// let (worker_speed, is_worker_slow, age) = (Some(0.2), true, Duration::from_secs(1));
    /// let (percent, rate, reference) = (20, 0.02, 0.1);
    /// let run = RunOutlook { percent, rate, reference, worker_speed, is_worker_slow, age };
    /// assert_eq!((run.rest_ms(), run.usual_ms()), (4_000.0, 1_000.0));
    /// assert!(run.needs_copy() && run.move_saving_ms() > 2_000.0);
    /// ```
    pub fn rest_ms(&self) -> f64 {
        f64::from(100_u32.saturating_sub(self.percent)) / self.rate.max(f64::MIN_POSITIVE)
    }

    /// Usual duration of a task of the step, in milliseconds.
    pub fn usual_ms(&self) -> f64 {
        100.0 / self.reference.max(f64::MIN_POSITIVE)
    }

    /// Returns whether a copy that starts now is expected to end before the run. On a worker that
    /// is known to be fast the task itself may be large; a copy has to wait there.
    pub fn needs_copy(&self) -> bool {
        let is_worker_fast = self.worker_speed.is_some() && !self.is_worker_slow;
        let age_ms = self.age.as_secs_f64() * 1_000.0;
        let is_old = age_ms > self.usual_ms() * LARGE_TASK_FACTOR;
        let copy_ms = self.usual_ms() + START_DELAY.as_secs_f64() * 1_000.0;
        self.rest_ms() > copy_ms && (!is_worker_fast || is_old)
    }

    /// Time that the task ends earlier if it continues on a worker of usual speed, in milliseconds.
    /// Negative if it ends later.
    pub fn move_saving_ms(&self) -> f64 {
        let speed = self.worker_speed.filter(|_| self.is_worker_slow).unwrap_or(1.0);
        self.rest_ms() * (1.0 - speed) - MOVE_DELAY.as_secs_f64() * 1_000.0
    }

    /// Returns whether a move saves enough time.
    pub fn needs_move(&self) -> bool {
        self.move_saving_ms() >= MIN_SAVING.as_secs_f64() * 1_000.0
    }
}

/// Limits to the copies and moves of stragglers.
#[derive(Clone, Debug, Default)]
pub struct StragglerPolicy {
    /// Number of moves of each task, and when the last one was.
    moves: BTreeMap<TaskName, (u32, Instant)>,
    /// Times of the copies and moves of the last second.
    recent: VecDeque<Instant>,
}

impl StragglerPolicy {
    /// Returns whether another copy or move is within the limit per second. Callers ask before they
    /// look for a worker, which is the larger part of the work.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_speed::straggler_policy::StragglerPolicy;
    ///
    /// assert!(StragglerPolicy::default().may_act(Instant::now()));
    /// ```
    pub fn may_act(&self, now: Instant) -> bool {
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < ACTION_PERIOD;
        self.recent.iter().filter(is_recent).count() < MAX_ACTIONS_PER_SECOND
    }

    /// Returns whether another copy is within the limit, and counts it.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_speed::straggler_policy::StragglerPolicy;
    ///
    /// assert!(StragglerPolicy::default().take_copy(Instant::now()));
    /// ```
    pub fn take_copy(&mut self, now: Instant) -> bool {
        self.take_action(now)
    }

    /// Returns whether a move of a task is within the limits.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_speed::straggler_policy::StragglerPolicy;
    ///
    /// assert!(StragglerPolicy::default().may_move(&"a.0.0.0".parse().unwrap(), Instant::now()));
    /// ```
    pub fn may_move(&self, task: &TaskName, now: Instant) -> bool {
        self.moves.get(task).is_none_or(|(moves, last)| {
            *moves < MAX_MOVES_PER_TASK && now.saturating_duration_since(*last) >= MOVE_INTERVAL
        })
    }

    /// Returns whether a move of a task is within the limits, and counts it.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_speed::straggler_policy::StragglerPolicy;
    ///
    /// let (now, task) = (Instant::now(), "a.0.0.0".parse().unwrap());
    /// let mut policy = StragglerPolicy::default();
    /// assert!(policy.take_move(&task, now));
    /// assert!(!policy.take_move(&task, now));
    /// ```
    pub fn take_move(&mut self, task: &TaskName, now: Instant) -> bool {
        if !self.may_move(task, now) || !self.take_action(now) {
            return false;
        }
        let (moves, last) = self.moves.entry(task.clone()).or_insert((0, now));
        *moves += 1;
        *last = now;
        true
    }

    fn take_action(&mut self, now: Instant) -> bool {
        let is_past = |at: &Instant| now.saturating_duration_since(*at) >= ACTION_PERIOD;
        while self.recent.front().is_some_and(is_past) {
            self.recent.pop_front();
        }
        let is_allowed = self.may_act(now);
        if is_allowed {
            self.recent.push_back(now);
        }
        is_allowed
    }

    /// Discards the counts of steps that are not open.
    ///
    /// ```
    /// use greengagearch::workflow::worker_speed::straggler_policy::StragglerPolicy;
    ///
    /// StragglerPolicy::default().retain(|_| false);
    /// ```
    pub fn retain(&mut self, is_open: impl Fn(&StepKey) -> bool) {
        self.moves.retain(|task, _| is_open(&task.step_key()));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn outlook(percent: u32, speed: Option<f64>, is_worker_slow: bool) -> RunOutlook {
        RunOutlook {
            percent,
            rate: 0.02,
            reference: 0.1,
            worker_speed: speed,
            is_worker_slow,
            age: Duration::from_millis(1_000),
        }
    }

    #[test]
    fn a_copy_is_made_when_it_would_end_first() {
        assert!(outlook(20, None, false).needs_copy());
        assert!(outlook(20, Some(0.2), true).needs_copy());
        assert!(!outlook(80, None, false).needs_copy(), "the run ends first");
    }

    /// A task seven times as large as the others is not helped by another worker.
    #[test]
    fn a_large_task_on_a_fast_worker_is_copied_late_and_never_moved() {
        let large = outlook(10, Some(1.0), false);
        assert!(!large.needs_copy() && !large.needs_move());
        assert!(RunOutlook { age: Duration::from_millis(3_100), ..large }.needs_copy());
        assert!(!outlook(10, None, false).needs_move(), "the speed of the worker is unknown");
    }

    #[test]
    fn a_move_has_to_save_more_than_it_costs() {
        assert!(outlook(20, Some(0.2), true).needs_move());
        assert!(!outlook(70, Some(0.2), true).needs_move());
    }

    /// A task that is moved back and forth makes no progress.
    #[test]
    fn moves_are_bounded_by_task() {
        let (now, task): (Instant, TaskName) = (Instant::now(), "a.0.0.0".parse().unwrap());
        let mut policy = StragglerPolicy::default();
        assert!(policy.take_move(&task, now));
        assert!(!policy.take_move(&task, now + MOVE_INTERVAL / 2));
        assert!(policy.take_move(&task, now + MOVE_INTERVAL));
        assert!(!policy.take_move(&task, now + 9 * MOVE_INTERVAL), "two in all");
        policy.retain(|_| false);
        assert!(policy.moves.is_empty());
    }

    #[test]
    fn copies_and_moves_are_bounded_by_second() {
        let now = Instant::now();
        let mut policy = StragglerPolicy::default();
        let taken = (0..30).filter(|_| policy.take_copy(now)).count();
        assert_eq!(taken, MAX_ACTIONS_PER_SECOND);
        assert!(!policy.take_move(&"a.0.0.0".parse().unwrap(), now) && !policy.may_act(now));
        assert!(policy.take_copy(now + Duration::from_secs(1)));
    }
}
