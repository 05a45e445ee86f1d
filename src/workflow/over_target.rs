//! Tasks that serve and stay over their target, each by itself.
//!
//! One measured tail that is over its target says little; one that stays there is told.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::TaskTraits;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_board::RunKey;

/// Time over its target after which a task is told: three measured spans, and well within the seconds that callers bear.
const LONG_OVER: Duration = Duration::from_millis(1_500);

/// A task that is over its target.
#[derive(Clone, Copy, Debug)]
struct OverRun {
    since: Instant,
    /// Whether the log has been told.
    is_told: bool,
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
            if target_ms == 0 || run.usage <= target_ms {
                continue;
            }
            let key = (run.task.clone(), run.run);
            let fresh = OverRun { since: now, is_told: false };
            let mut over = self.runs.remove(&key).unwrap_or(fresh);
            if !over.is_told && now.saturating_duration_since(over.since) >= LONG_OVER {
                over.is_told = true;
                self.news.push(LongOver { task: key.0.clone(), tail_ms: run.usage, target_ms });
            }
            runs.insert(key, over);
        }
        self.runs = runs;
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
