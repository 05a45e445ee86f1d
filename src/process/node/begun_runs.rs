//! Which runs the runner has begun of late, so that it can be told which of them were young when its life broke off.

use std::collections::HashMap;
use std::time::Instant;

use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::YOUNG_SPAN;
use crate::connection::node_protocol::YoungRun;
use crate::workflow::worker_inventory::RunKey;

/// Young runs that are told of one crash at most, so that a report stays small.
const MOST_TOLD: usize = 24;

#[derive(Clone, Copy, Debug)]
struct BegunRun {
    sent: Instant,
    /// When it was sent before, without an answer.
    sent_before: Option<Instant>,
    is_certain: bool,
}

/// The newest starts on one life of the runner.
#[derive(Debug, Default)]
pub struct BegunRuns {
    runs: HashMap<RunKey, BegunRun>,
}

impl BegunRuns {
    /// Takes note of a start that is about to be sent, also when it is sent again.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::begun_runs::BegunRuns;
    ///
    /// BegunRuns::default().on_sending(&("a.0.0.0".parse().unwrap(), 1), Instant::now());
    /// ```
    pub fn on_sending(&mut self, key: &RunKey, now: Instant) {
        let known = self.runs.get(key);
        let is_certain = known.is_some_and(|begun| begun.is_certain);
        let sent_before = known.map(|begun| begun.sent);
        self.runs.insert(key.clone(), BegunRun { sent: now, sent_before, is_certain });
    }

    /// Takes note that the runner has begun a run.
    ///
    /// ```
    /// use greengagearch::process::node::begun_runs::BegunRuns;
    ///
    /// BegunRuns::default().on_begun(&("a.0.0.0".parse().unwrap(), 1));
    /// ```
    pub fn on_begun(&mut self, key: &RunKey) {
        if let Some(begun) = self.runs.get_mut(key) {
            begun.is_certain = true;
        }
    }

    /// Takes note that a start was refused, or never left. One that was sent before without an answer may have begun all the
    /// same: a program that crashes its runner at once leaves no answer, and nobody to take the next try.
    ///
    /// ```
    /// use greengagearch::process::node::begun_runs::BegunRuns;
    ///
    /// BegunRuns::default().on_not_begun(&("a.0.0.0".parse().unwrap(), 1));
    /// ```
    pub fn on_not_begun(&mut self, key: &RunKey) {
        match self.runs.get_mut(key) {
            Some(BegunRun { sent, sent_before: Some(before), .. }) => *sent = *before,
            _ => {
                self.runs.remove(key);
            }
        }
    }

    /// Takes in what the runner shows, and forgets runs that are no longer young.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// greengagearch::process::node::begun_runs::BegunRuns::default().on_look(&[], Instant::now());
    /// ```
    pub fn on_look(&mut self, running: &[PresentRun], now: Instant) {
        for run in running {
            self.on_begun(&(run.task.clone(), run.run));
        }
        self.runs.retain(|_, begun| now.saturating_duration_since(begun.sent) <= YOUNG_SPAN);
    }

    /// What was young when the life broke off, the youngest first: the life answered last at `answered`, and broke off
    /// before `crashed`, so that what was sent later cannot have begun.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::begun_runs::BegunRuns;
    ///
    /// let now = Instant::now();
    /// let mut begun = BegunRuns::default();
    /// begun.on_sending(&("a.0.0.0".parse().unwrap(), 1), now);
    /// let young = begun.young_at(now, now + Duration::from_millis(10));
    /// assert_eq!(young[0].age, Duration::from_millis(10));
    /// ```
    pub fn young_at(&self, answered: Instant, crashed: Instant) -> Vec<YoungRun> {
        let mut young = Vec::new();
        for ((task, run), begun) in &self.runs {
            let lived = answered.saturating_duration_since(begun.sent);
            let Some(age) = crashed.checked_duration_since(begun.sent) else {
                continue;
            };
            if lived <= YOUNG_SPAN {
                let (task, run, is_certain) = (task.clone(), *run, begun.is_certain);
                young.push(YoungRun { task, run, age, lived, is_certain });
            }
        }
        young.sort_by(|one, other| (one.age, &one.task).cmp(&(other.age, &other.task)));
        young.truncate(MOST_TOLD);
        young
    }
}
