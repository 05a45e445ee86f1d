//! What the orders of a node agent have become on the present life of its runner, as far as looks do not show it yet.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Instant;

use crate::connection::node_protocol::EndedRun;
use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::RejectedRun;
use crate::external::runner_control::RunnerError;
use crate::external::runner_control::RunnerMillis;
use crate::ids::LookNumber;
use crate::process::node::pending_start::PendingStart;
use crate::process::node::pending_start::StartConditions;
use crate::process::node::pending_start::StartStep;
use crate::workflow::worker_inventory::RunKey;

/// An order to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunStop {
    /// It is being sent.
    Sending,
    /// The runner has taken it: the run has ended, will end, or never begins.
    Taken,
}

/// Refused runs that are remembered: more than are refused while an order is on its way.
const REFUSED_KEPT: usize = 512;

/// What was ordered on one life of the runner.
#[derive(Debug, Default)]
pub struct OrderBook {
    looks: LookNumber,
    starts: HashMap<RunKey, PendingStart>,
    stops: HashMap<RunKey, RunStop>,
    /// Refused starts that a look sent after the refusal has not shown.
    reportable: Vec<RejectedRun>,
    /// The last refusals that were told: the planner has given these runs up, and may have ordered them twice.
    refused: VecDeque<RejectedRun>,
}

impl OrderBook {
    /// Numbers the next look.
    ///
    /// ```
    /// assert_eq!(greengagearch::process::node::order_book::OrderBook::default().next_look(), 1);
    /// ```
    pub fn next_look(&mut self) -> LookNumber {
        self.looks += 1;
        self.looks
    }

    /// Number of the newest look.
    ///
    /// ```
    /// assert_eq!(greengagearch::process::node::order_book::OrderBook::default().newest_look(), 0);
    /// ```
    pub fn newest_look(&self) -> LookNumber {
        self.looks
    }

    /// Takes an order to start. Of one that was ordered before, a try of an earlier agent may have no answer. Says whether it is new.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_book::OrderBook;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut book = OrderBook::default();
    /// assert!(book.begin_start(&key, false, Instant::now()));
    /// assert!(!book.begin_start(&key, false, Instant::now()));
    /// ```
    pub fn begin_start(&mut self, key: &RunKey, is_repeat: bool, now: Instant) -> bool {
        if self.starts.contains_key(key) || self.stops.contains_key(key) {
            return false;
        }
        let refused = self.refused.iter().chain(&self.reportable).find(|run| is_of(run, key));
        let start = match refused {
            Some(refused) => PendingStart::refused(refused.reason, self.looks, now),
            None => PendingStart::new(is_repeat, now),
        };
        self.starts.insert(key.clone(), start);
        true
    }

    /// Decides what has to be done next about a start.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_book::OrderBook;
    /// use greengagearch::process::node::pending_start::StartConditions;
    /// use greengagearch::process::node::pending_start::StartStep;
    ///
    /// let now = Instant::now();
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut book = OrderBook::default();
    /// book.begin_start(&key, false, now);
    /// let conditions = StartConditions { is_draining: false, has_room: true, lease_end: Some(9) };
    /// assert_eq!(book.next_step(&key, &conditions, now), StartStep::Send);
    /// book.begin_stop(&key);
    /// assert_eq!(book.next_step(&key, &conditions, now), StartStep::Over(None));
    /// ```
    pub fn next_step(
        &mut self,
        key: &RunKey,
        conditions: &StartConditions,
        now: Instant,
    ) -> StartStep {
        let Some(start) = self.starts.get_mut(key) else {
            return StartStep::Over(None);
        };
        if self.stops.contains_key(key) {
            start.withdraw(self.looks);
            return StartStep::Over(None);
        }
        let step = start.next_step(conditions, self.looks, now);
        if let StartStep::Stop(_) = step {
            self.stops.insert(key.clone(), RunStop::Sending);
        }
        step
    }

    /// Takes note that a try leaves, if that is still what has to be done: it may have waited for its turn. Gives the lease that it
    /// carries.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_book::OrderBook;
    /// use greengagearch::process::node::pending_start::StartConditions;
    ///
    /// let now = Instant::now();
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let conditions = StartConditions { is_draining: false, has_room: true, lease_end: Some(9) };
    /// let mut book = OrderBook::default();
    /// book.begin_start(&key, false, now);
    /// book.begin_stop(&key);
    /// assert_eq!(book.begin_try(&key, &conditions, now), None);
    /// ```
    pub fn begin_try(
        &mut self,
        key: &RunKey,
        conditions: &StartConditions,
        now: Instant,
    ) -> Option<RunnerMillis> {
        if self.stops.contains_key(key) {
            return None;
        }
        self.starts.get_mut(key)?.begin_try(conditions, now)
    }

    /// Takes note of what became of a try.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_book::OrderBook;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// OrderBook::default().on_start_answer(&key, &Ok(()), Instant::now());
    /// ```
    pub fn on_start_answer(
        &mut self,
        key: &RunKey,
        answer: &Result<(), RunnerError>,
        now: Instant,
    ) {
        if let Some(start) = self.starts.get_mut(key) {
            start.on_answer(answer, self.looks, now);
        }
    }

    /// Runs whose starts are on their way, as far as looks do not show them.
    ///
    /// ```
    /// assert_eq!(greengagearch::process::node::order_book::OrderBook::default().starting().count(), 0);
    /// ```
    pub fn starting(&self) -> impl Iterator<Item = &RunKey> {
        self.starts.keys()
    }

    /// Takes an order to stop. Says whether it is new.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_book::OrderBook;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut book = OrderBook::default();
    /// assert!(book.begin_stop(&key));
    /// assert!(!book.begin_start(&key, false, Instant::now()), "what is to stop does not start");
    /// ```
    pub fn begin_stop(&mut self, key: &RunKey) -> bool {
        let is_new = !self.stops.contains_key(key);
        if is_new {
            self.stops.insert(key.clone(), RunStop::Sending);
        }
        is_new
    }

    /// Whether a stop has to be sent, as the runner has not taken it yet.
    ///
    /// ```
    /// use greengagearch::process::node::order_book::OrderBook;
    ///
    /// assert!(!OrderBook::default().is_stop_due(&("a.0.0.0".parse().unwrap(), 1)));
    /// ```
    pub fn is_stop_due(&self, key: &RunKey) -> bool {
        self.stops.get(key) == Some(&RunStop::Sending)
    }

    /// Takes note that the runner has taken a stop: the run has ended, will end, or never begins.
    ///
    /// ```
    /// use greengagearch::process::node::order_book::OrderBook;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut book = OrderBook::default();
    /// book.begin_stop(&key);
    /// book.on_stop_taken(&key);
    /// assert!(!book.is_stop_due(&key));
    /// ```
    pub fn on_stop_taken(&mut self, key: &RunKey) {
        self.stops.insert(key.clone(), RunStop::Taken);
        if let Some(start) = self.starts.get_mut(key) {
            start.rule_out(self.looks);
        }
    }

    /// Gives up what is being sent for a planner that was replaced. Looks that are sent from here on carry the
    /// new epoch, after which the runner takes nothing of the old one any more: so they show what becomes of
    /// it, and the new planner's own stops have to go out.
    ///
    /// ```
    /// use greengagearch::process::node::order_book::OrderBook;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut book = OrderBook::default();
    /// book.begin_stop(&key);
    /// book.on_new_epoch();
    /// assert!(book.begin_stop(&key));
    /// ```
    pub fn on_new_epoch(&mut self) {
        for start in self.starts.values_mut() {
            start.rule_out(self.looks);
        }
        self.stops.retain(|_, stop| *stop == RunStop::Taken);
    }

    /// Takes note that all leases have expired: no start that was sent begins any more, and there is nothing to stop.
    ///
    /// ```
    /// use greengagearch::process::node::order_book::OrderBook;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let mut book = OrderBook::default();
    /// book.begin_stop(&key);
    /// book.on_expiry();
    /// assert!(!book.is_stop_due(&key));
    /// ```
    pub fn on_expiry(&mut self) {
        for start in self.starts.values_mut() {
            start.rule_out(self.looks);
        }
        self.stops.clear();
    }

    /// Adds to what a look shows what it cannot show yet, and forgets what is shown from here on.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::order_book::OrderBook;
    ///
    /// let mut book = OrderBook::default();
    /// let look = book.next_look();
    /// book.begin_start(&("a.0.0.0".parse().unwrap(), 1), false, Instant::now());
    /// let mut present = Vec::new();
    /// book.complete(look, &mut present, &[]);
    /// assert_eq!(present.len(), 1);
    /// ```
    pub fn complete(
        &mut self,
        look: LookNumber,
        present: &mut Vec<PresentRun>,
        ended: &[EndedRun],
    ) {
        let mut missing = Vec::new();
        self.starts.retain(|key, start| {
            // A run that the runner shows, at work or as an end, does not begin again.
            if is_among(present, key) || has_ended(ended, key) {
                return false;
            }
            let (task, run) = (key.0.clone(), key.1);
            let Some(closed) = start.closed().filter(|closed| look > closed.newest) else {
                missing.push(PresentRun::ordered(task, run));
                return true;
            };
            let refusal = closed.refusal.map(|reason| RejectedRun { task, run, reason });
            self.reportable.extend(refusal);
            false
        });
        present.extend(missing);
        self.stops.retain(|key, stop| *stop == RunStop::Sending || is_among(present, key));
    }

    /// Whether a refusal has to be told.
    ///
    /// ```
    /// assert!(!greengagearch::process::node::order_book::OrderBook::default().has_refusals());
    /// ```
    pub fn has_refusals(&self) -> bool {
        !self.reportable.is_empty()
    }

    /// The refusals that have to be told.
    ///
    /// ```
    /// assert!(greengagearch::process::node::order_book::OrderBook::default().take_refusals().is_empty());
    /// ```
    pub fn take_refusals(&mut self) -> Vec<RejectedRun> {
        self.refused.extend(self.reportable.iter().cloned());
        let surplus = self.refused.len().saturating_sub(REFUSED_KEPT);
        self.refused.drain(..surplus);
        std::mem::take(&mut self.reportable)
    }

    /// Forgets everything, since the life has ended; numbers of looks go on.
    ///
    /// ```
    /// greengagearch::process::node::order_book::OrderBook::default().clear();
    /// ```
    pub fn clear(&mut self) {
        *self = OrderBook { looks: self.looks, ..OrderBook::default() };
    }
}

fn is_of(refused: &RejectedRun, key: &RunKey) -> bool {
    refused.task == key.0 && refused.run == key.1
}

/// Whether a run is one of those that a look shows.
pub(crate) fn is_among(present: &[PresentRun], key: &RunKey) -> bool {
    present.iter().any(|run| run.task == key.0 && run.run == key.1)
}

/// Whether the end of a run is one of those that a look lists.
pub(crate) fn has_ended(ended: &[EndedRun], key: &RunKey) -> bool {
    ended.iter().any(|end| end.task == key.0 && end.run == key.1)
}
