//! Tasks that serve and stay over their target, each by itself.
//!
//! One measured tail that is over its target says little. A task whose tail stays there is harmed by what fills beside it, unless it
//! stays there while the fills stand still.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::TaskTraits;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// Time over its target after which a task counts by itself: three measured spans, and well within the seconds that callers bear.
const LONG_OVER: Duration = Duration::from_millis(1_500);
/// Time for which it does so after it was over its target last, so that fills settle at what it bears.
const COUNTED_SPAN: Duration = Duration::from_secs(10);
/// Time for which fills are not slowed again for a task that was over its target while they stood still.
const CLEARED_SPAN: Duration = Duration::from_secs(10);

/// A task that is over its target, or was of late.
#[derive(Clone, Copy, Debug, Default)]
struct OverRun {
    /// Since when it is over its target.
    since: Option<Instant>,
    /// Whether the log has been told.
    is_told: bool,
    /// Up to when it counts by itself.
    counted_until: Option<Instant>,
    /// Up to when fills are taken not to be the cause.
    cleared_until: Option<Instant>,
}

impl OverRun {
    fn is_long(&self, now: Instant) -> bool {
        self.since.is_some_and(|since| now.saturating_duration_since(since) >= LONG_OVER)
    }

    fn is_counted(&self, now: Instant) -> bool {
        self.counted_until.is_some_and(|until| now < until)
    }

    fn is_cleared(&self, now: Instant) -> bool {
        self.cleared_until.is_some_and(|until| now < until)
    }

    fn follow(&mut self, is_over: bool, now: Instant) {
        if !is_over {
            self.since = None;
            self.is_told = false;
            return;
        }
        self.since.get_or_insert(now);
        if self.is_long(now) {
            self.counted_until = Some(now + COUNTED_SPAN);
        }
    }
}

/// A task that has been over its target for long, as the log tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LongOver {
    /// The task.
    pub task: TaskName,
    /// Its tail latency in milliseconds.
    pub tail_ms: u64,
    /// Its bound.
    pub target_ms: u64,
}

/// The tasks on one worker that are over their targets.
#[derive(Clone, Debug, Default)]
pub struct OverTarget {
    runs: BTreeMap<RunKey, OverRun>,
    news: Vec<LongOver>,
}

impl OverTarget {
    /// Takes in what runs on the worker.
    ///
    /// ```
    /// use std::collections::HashMap;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::over_target::OverTarget;
    ///
    /// let mut over = OverTarget::default();
    /// over.follow(&[], &HashMap::new(), Instant::now());
    /// assert!(over.take_news().is_empty());
    /// ```
    pub fn follow(
        &mut self,
        running: &[PresentRun],
        traits: &HashMap<TaskName, TaskTraits>,
        now: Instant,
    ) {
        let mut runs = BTreeMap::new();
        for run in running {
            let target_ms = traits.get(&run.task).map_or(0, |traits| traits.target_ms);
            if target_ms == 0 {
                continue;
            }
            let key = (run.task.clone(), run.run);
            let mut over = self.runs.remove(&key).unwrap_or_default();
            over.follow(run.usage > target_ms, now);
            if over.is_long(now) && !std::mem::replace(&mut over.is_told, true) {
                self.news.push(LongOver { task: key.0.clone(), tail_ms: run.usage, target_ms });
            }
            if over.since.is_some() || over.is_counted(now) {
                runs.insert(key, over);
            }
        }
        self.runs = runs;
    }

    /// Takes note that fills have stood still over the measured span: a task that is over its target all the same is so by its own load.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// greengagearch::workflow::over_target::OverTarget::default().clear_fills(Instant::now());
    /// ```
    pub fn clear_fills(&mut self, now: Instant) {
        for over in self.runs.values_mut().filter(|over| over.is_long(now)) {
            over.cleared_until = Some(now + CLEARED_SPAN);
        }
    }

    /// Whether a run counts by itself: it was over its target for long, and fills may be the cause. They are where `is_by_fills`, as the
    /// model has it, and else where they have not been cleared.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::over_target::OverTarget;
    ///
    /// let key = ("s.0.0.0".parse().unwrap(), 1);
    /// assert!(!OverTarget::default().is_harmed(&key, || true, Instant::now()));
    /// ```
    pub fn is_harmed(
        &self,
        key: &RunKey,
        is_by_fills: impl FnOnce() -> bool,
        now: Instant,
    ) -> bool {
        let over = self.runs.get(key).filter(|over| over.is_counted(now));
        over.is_some_and(|over| !over.is_cleared(now) || is_by_fills())
    }

    /// Whether no task is over its target or was of late.
    ///
    /// ```
    /// assert!(greengagearch::workflow::over_target::OverTarget::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Tasks that have newly been over their targets for long.
    ///
    /// ```
    /// assert!(greengagearch::workflow::over_target::OverTarget::default().take_news().is_empty());
    /// ```
    pub fn take_news(&mut self) -> Vec<LongOver> {
        std::mem::take(&mut self.news)
    }
}
