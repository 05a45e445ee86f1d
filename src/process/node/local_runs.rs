//! Starts and stops that a node agent has on their way, as far as looks do not show them yet.

use std::collections::HashMap;

use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::RejectReason;
use crate::connection::node_protocol::RejectedRun;
use crate::workflow::worker_board::RunKey;

/// Number of a look, rising in the order in which looks are sent.
pub type LookNumber = u64;

/// An order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LocalStart {
    /// It is being sent.
    Sending,
    /// Its fate is known; looks with a higher number than this show it.
    Settled(LookNumber),
}

/// An order to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LocalStop {
    /// It is being sent.
    Sending,
    /// The run has ended, will end, or never begins.
    Settled,
}

/// What was ordered on one life of the runner.
#[derive(Debug, Default)]
pub struct LocalRuns {
    looks: LookNumber,
    starts: HashMap<RunKey, LocalStart>,
    stops: HashMap<RunKey, LocalStop>,
    /// Refused starts, with the number of the newest look when each was refused.
    rejected: Vec<(LookNumber, RejectedRun)>,
    /// Refused starts that a look sent after the refusal has not shown.
    reportable: Vec<RejectedRun>,
}

impl LocalRuns {
    /// Numbers the next look.
    ///
    /// ```
    /// assert_eq!(greengagearch::process::node::local_runs::LocalRuns::default().next_look(), 1);
    /// ```
    pub fn next_look(&mut self) -> LookNumber {
        self.looks += 1;
        self.looks
    }

    /// Number of the newest look.
    ///
    /// ```
    /// assert_eq!(greengagearch::process::node::local_runs::LocalRuns::default().newest_look(), 0);
    /// ```
    pub fn newest_look(&self) -> LookNumber {
        self.looks
    }

    /// Takes note of a start that is about to be sent. Says whether it is new.
    ///
    /// ```
    /// use greengagearch::process::node::local_runs::LocalRuns;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut runs = LocalRuns::default();
    /// assert!(runs.begin_start(&key));
    /// assert!(!runs.begin_start(&key));
    /// ```
    pub fn begin_start(&mut self, key: &RunKey) -> bool {
        if self.starts.contains_key(key) || self.stops.contains_key(key) {
            return false;
        }
        self.starts.insert(key.clone(), LocalStart::Sending);
        true
    }

    /// Runs whose starts are on their way, as far as looks do not show them.
    ///
    /// ```
    /// assert_eq!(greengagearch::process::node::local_runs::LocalRuns::default().starting().count(), 0);
    /// ```
    pub fn starting(&self) -> impl Iterator<Item = &RunKey> {
        self.starts.keys()
    }

    /// Takes note that a start's fate is known: it was carried out, refused, or given up after a stop.
    ///
    /// ```
    /// use greengagearch::process::node::local_runs::LocalRuns;
    ///
    /// LocalRuns::default().settle_start(&("a.0.0.0".parse().unwrap(), 1), None);
    /// ```
    pub fn settle_start(&mut self, key: &RunKey, refused: Option<RejectReason>) {
        if let Some(start) = self.starts.get_mut(key) {
            *start = LocalStart::Settled(self.looks);
        }
        if let Some(reason) = refused {
            let run = RejectedRun { task: key.0.clone(), run: key.1, reason };
            self.rejected.push((self.looks, run));
        }
    }

    /// Takes note of a stop that is about to be sent. Says whether it is new.
    ///
    /// ```
    /// use greengagearch::process::node::local_runs::LocalRuns;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut runs = LocalRuns::default();
    /// assert!(runs.begin_stop(&key));
    /// assert!(!runs.begin_start(&key), "what is to stop does not start");
    /// ```
    pub fn begin_stop(&mut self, key: &RunKey) -> bool {
        let is_new = !self.stops.contains_key(key);
        if is_new {
            self.stops.insert(key.clone(), LocalStop::Sending);
        }
        is_new
    }

    /// Takes note that a stop was carried out: the run has ended, will end, or never begins.
    ///
    /// ```
    /// use greengagearch::process::node::local_runs::LocalRuns;
    ///
    /// LocalRuns::default().settle_stop(&("a.0.0.0".parse().unwrap(), 1));
    /// ```
    pub fn settle_stop(&mut self, key: &RunKey) {
        self.stops.insert(key.clone(), LocalStop::Settled);
    }

    /// Whether a run is to stop.
    ///
    /// ```
    /// use greengagearch::process::node::local_runs::LocalRuns;
    ///
    /// assert!(!LocalRuns::default().is_stopping(&("a.0.0.0".parse().unwrap(), 1)));
    /// ```
    pub fn is_stopping(&self, key: &RunKey) -> bool {
        self.stops.contains_key(key)
    }

    /// Gives up what is being sent for a planner that was replaced. Looks that are sent from here on carry the
    /// new epoch, after which the runner takes nothing of the old one any more: so they show what becomes of
    /// it, and the new planner's own stops have to go out.
    ///
    /// ```
    /// use greengagearch::process::node::local_runs::LocalRuns;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut runs = LocalRuns::default();
    /// runs.begin_stop(&key);
    /// runs.on_new_epoch();
    /// assert!(runs.begin_stop(&key));
    /// ```
    pub fn on_new_epoch(&mut self) {
        for start in self.starts.values_mut().filter(|start| **start == LocalStart::Sending) {
            *start = LocalStart::Settled(self.looks);
        }
        self.stops.retain(|_, stop| *stop == LocalStop::Settled);
    }

    /// Adds to what a look shows what it cannot show yet, and forgets what is shown from here on.
    ///
    /// ```
    /// use greengagearch::process::node::local_runs::LocalRuns;
    ///
    /// let mut runs = LocalRuns::default();
    /// let look = runs.next_look();
    /// runs.begin_start(&("a.0.0.0".parse().unwrap(), 1));
    /// let mut present = Vec::new();
    /// runs.complete(look, &mut present);
    /// assert_eq!(present.len(), 1);
    /// ```
    pub fn complete(&mut self, look: LookNumber, present: &mut Vec<PresentRun>) {
        self.starts.retain(|key, start| {
            let is_shown = matches!(start, LocalStart::Settled(after) if look > *after);
            if !is_shown && !is_among(present, key) {
                present.push(PresentRun::ordered(key.0.clone(), key.1));
            }
            !is_shown
        });
        self.stops.retain(|key, stop| *stop == LocalStop::Sending || is_among(present, key));
        let (shown, later) =
            self.rejected.drain(..).partition(|(after, _): &(LookNumber, _)| look > *after);
        self.rejected = later;
        let shown: Vec<(LookNumber, RejectedRun)> = shown;
        self.reportable.extend(shown.into_iter().map(|(_, run)| run));
    }

    /// Whether a refusal has to be told.
    ///
    /// ```
    /// assert!(!greengagearch::process::node::local_runs::LocalRuns::default().has_refusals());
    /// ```
    pub fn has_refusals(&self) -> bool {
        !self.reportable.is_empty()
    }

    /// The refusals that have to be told.
    ///
    /// ```
    /// assert!(greengagearch::process::node::local_runs::LocalRuns::default().take_refusals().is_empty());
    /// ```
    pub fn take_refusals(&mut self) -> Vec<RejectedRun> {
        std::mem::take(&mut self.reportable)
    }

    /// Forgets everything, since the life has ended; numbers of looks go on.
    ///
    /// ```
    /// greengagearch::process::node::local_runs::LocalRuns::default().clear();
    /// ```
    pub fn clear(&mut self) {
        *self = LocalRuns { looks: self.looks, ..LocalRuns::default() };
    }
}

/// Whether a run is one of those that a look shows.
pub(crate) fn is_among(present: &[PresentRun], key: &RunKey) -> bool {
    present.iter().any(|run| run.task == key.0 && run.run == key.1)
}
