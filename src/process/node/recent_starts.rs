//! The runs that the runner has started recently, to report which of them were young (see
//! [`MAX_YOUNG_AGE`]) when its instance crashed.

use std::collections::HashMap;
use std::time::Instant;

use crate::connection::node_protocol::MAX_YOUNG_AGE;
use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::YoungRun;
use crate::workflow::worker_inventory::RunKey;

/// Young runs reported for one crash, to bound the size of a report.
const MAX_YOUNG_REPORTED: usize = 24;

#[derive(Clone, Copy, Debug)]
struct RecentStart {
    sent_at: Instant,
    /// Time of the attempt before the last one, if that had no response.
    previous_sent_at: Option<Instant>,
    is_certain: bool,
}

/// The recent starts on one instance of the runner.
#[derive(Debug, Default)]
pub struct RecentStarts {
    starts: HashMap<RunKey, RecentStart>,
}

impl RecentStarts {
    /// Records that a start is about to be sent, for the first time or again.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::recent_starts::RecentStarts;
    ///
    /// RecentStarts::default().on_sending(&("a.0.0.0".parse().unwrap(), 1), Instant::now());
    /// ```
    pub fn on_sending(&mut self, key: &RunKey, now: Instant) {
        let known = self.starts.get(key);
        let is_certain = known.is_some_and(|start| start.is_certain);
        let previous_sent_at = known.map(|start| start.sent_at);
        self.starts.insert(key.clone(), RecentStart { sent_at: now, previous_sent_at, is_certain });
    }

    /// Records that the runner has started a run.
    ///
    /// ```
    /// use greengagearch::process::node::recent_starts::RecentStarts;
    ///
    /// RecentStarts::default().on_started(&("a.0.0.0".parse().unwrap(), 1));
    /// ```
    pub fn on_started(&mut self, key: &RunKey) {
        if let Some(start) = self.starts.get_mut(key) {
            start.is_certain = true;
        }
    }

    /// Records that an attempt was rejected or never sent. If an earlier attempt had no response,
    /// the run may have started all the same: a program that crashes its runner at once prevents
    /// the response, and leaves no runner for the next attempt.
    ///
    /// ```
    /// use greengagearch::process::node::recent_starts::RecentStarts;
    ///
    /// RecentStarts::default().on_not_started(&("a.0.0.0".parse().unwrap(), 1));
    /// ```
    pub fn on_not_started(&mut self, key: &RunKey) {
        match self.starts.get_mut(key) {
            Some(RecentStart { sent_at, previous_sent_at: Some(before), .. }) => *sent_at = *before,
            _ => {
                self.starts.remove(key);
            }
        }
    }

    /// Processes the runs that the runner lists, and discards runs that are no longer young.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::recent_starts::RecentStarts;
    ///
    /// RecentStarts::default().on_poll(&[], Instant::now());
    /// ```
    pub fn on_poll(&mut self, running: &[PresentRun], now: Instant) {
        for run in running {
            self.on_started(&(run.task.clone(), run.run));
        }
        self.starts
            .retain(|_, start| now.saturating_duration_since(start.sent_at) <= MAX_YOUNG_AGE);
    }

    /// Returns the runs that were young when the instance crashed, the youngest first. The instance
    /// last responded at `last_response` and crashed before `crashed`, so runs sent later cannot
    /// have started.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::recent_starts::RecentStarts;
    ///
    /// let now = Instant::now();
    /// let mut starts = RecentStarts::default();
    /// starts.on_sending(&("a.0.0.0".parse().unwrap(), 1), now);
    /// let young = starts.young_runs_at(now, now + Duration::from_millis(10));
    /// assert_eq!(young[0].max_age, Duration::from_millis(10));
    /// ```
    pub fn young_runs_at(&self, last_response: Instant, crashed: Instant) -> Vec<YoungRun> {
        let mut young = Vec::new();
        for ((task, run), start) in &self.starts {
            let min_age = last_response.saturating_duration_since(start.sent_at);
            let Some(max_age) = crashed.checked_duration_since(start.sent_at) else {
                continue;
            };
            if min_age <= MAX_YOUNG_AGE {
                let (task, run, is_certain) = (task.clone(), *run, start.is_certain);
                young.push(YoungRun { task, run, max_age, min_age, is_certain });
            }
        }
        young.sort_by(|one, other| (one.max_age, &one.task).cmp(&(other.max_age, &other.task)));
        young.truncate(MAX_YOUNG_REPORTED);
        young
    }
}
