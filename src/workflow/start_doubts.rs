//! Runs that may still begin because an attempt to start them had no response.
//!
//! A runner that restarts under its id knows nothing of its former instances, so it begins such a
//! run even if the run has ended before, and nothing in the call tells it not to. The end of the run
//! is stored at once, since the runner may lose it. Until the attempt can no longer be carried out,
//! the end is not acknowledged, the job is not shown as completed, and a task that is not done
//! starts nowhere else.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::StartInDoubt;
use crate::workflow::grant::MAX_LEASE;
use crate::workflow::grant::expired_by;
use crate::workflow::worker_inventory::RunKey;

/// Time for which a start without a response may still be carried out.
pub const LATE_DELIVERY_SPAN: Duration = Duration::from_secs(12);

/// The runs in doubt, as agents have reported them.
#[derive(Clone, Debug, Default)]
pub struct StartDoubts {
    /// Time by which no attempt of the run can be carried out any more.
    until: HashMap<RunKey, Instant>,
}

impl StartDoubts {
    /// Records the doubts that an agent reports. Doubts that it does not repeat remain, since the
    /// agent may have been restarted.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::node_protocol::StartInDoubt;
    /// use greengagearch::workflow::start_doubts::StartDoubts;
    ///
    /// let now = Instant::now();
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let start = StartInDoubt { key: key.clone(), remaining: Duration::from_secs(5) };
    /// let mut doubts = StartDoubts::default();
    /// doubts.on_report(&[start], now);
    /// assert!(doubts.contains(&key, now + Duration::from_secs(4)));
    /// assert!(!doubts.contains(&key, now + Duration::from_secs(6)));
    /// ```
    pub fn on_report(&mut self, starts: &[StartInDoubt], now: Instant) {
        self.until.retain(|_, until| now < expired_by(*until, MAX_LEASE));
        for start in starts {
            let until = expired_by(now, start.remaining);
            let known = self.until.entry(start.key.clone()).or_insert(until);
            *known = until.max(*known);
        }
    }

    /// Restores a doubt that the previous planner has stored.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::start_doubts::StartDoubts;
    ///
    /// let (key, now) = (("a.0.0.0".parse().unwrap(), 1), Instant::now());
    /// let mut doubts = StartDoubts::default();
    /// doubts.restore(&key, now);
    /// assert!(doubts.contains(&key, now));
    /// ```
    pub fn restore(&mut self, key: &RunKey, now: Instant) {
        self.until.insert(key.clone(), expired_by(now, LATE_DELIVERY_SPAN));
    }

    /// Removes a doubt, since no attempt of the run can be carried out any more.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::start_doubts::StartDoubts;
    ///
    /// let (key, now) = (("a.0.0.0".parse().unwrap(), 1), Instant::now());
    /// let mut doubts = StartDoubts::default();
    /// doubts.restore(&key, now);
    /// doubts.settle(&key);
    /// assert!(!doubts.contains(&key, now));
    /// ```
    pub fn settle(&mut self, key: &RunKey) {
        self.until.remove(key);
    }

    /// Returns whether a run may still begin.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::start_doubts::StartDoubts;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// assert!(!StartDoubts::default().contains(&key, Instant::now()));
    /// ```
    pub fn contains(&self, key: &RunKey, now: Instant) -> bool {
        self.until.get(key).is_some_and(|until| now < *until)
    }

    /// Returns whether a run may be active that an attempt in doubt has begun at the latest, under a
    /// lease of its own.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::start_doubts::StartDoubts;
    ///
    /// let (key, now) = (("a.0.0.0".parse().unwrap(), 1), Instant::now());
    /// let mut doubts = StartDoubts::default();
    /// doubts.restore(&key, now);
    /// assert!(doubts.may_be_active(&key, now + Duration::from_secs(20)));
    /// assert!(!doubts.may_be_active(&key, now + Duration::from_secs(25)));
    /// ```
    pub fn may_be_active(&self, key: &RunKey, now: Instant) -> bool {
        self.until.get(key).is_some_and(|until| now < expired_by(*until, MAX_LEASE))
    }
}
