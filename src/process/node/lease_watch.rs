//! Notices that the planner's grants have lapsed at an agent, for its log.

use std::time::Duration;
use std::time::Instant;

/// A change in whether the lease that the planner has granted is valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// The lease has lapsed while it is needed.
    Lapsed {
        /// Number of runs on the runner, with those whose start is pending.
        runs: usize,
        /// Number of starts whose outcome no poll has shown.
        starts: usize,
        /// Time since it lapsed.
        since: Duration,
    },
    /// The lease is valid again.
    Renewed {
        /// Time since it lapsed.
        since: Duration,
    },
}

/// The lapse of the lease, if one was noticed.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseWatch {
    lapsed_at: Option<Instant>,
}

impl LeaseWatch {
    /// Returns the change since the last call. A lapse is noticed once there is something that
    /// needs the lease.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::lease_watch::LeaseChange;
    /// use greengagearch::process::node::lease_watch::LeaseWatch;
    ///
    /// let until = Instant::now();
    /// let now = until + Duration::from_secs(1);
    /// let mut watch = LeaseWatch::default();
    /// assert_eq!(watch.take_change(Some(until), 0, 0, now), None);
    /// let since = Duration::from_secs(1);
    /// let lapsed = LeaseChange::Lapsed { runs: 2, starts: 1, since };
    /// assert_eq!(watch.take_change(Some(until), 2, 1, now), Some(lapsed));
    /// assert_eq!(watch.take_change(Some(until), 2, 1, now), None);
    /// ```
    pub fn take_change(
        &mut self,
        granted_until: Option<Instant>,
        runs: usize,
        starts: usize,
        now: Instant,
    ) -> Option<LeaseChange> {
        let until = granted_until?;
        if now < until {
            let since = now.saturating_duration_since(self.lapsed_at.take()?);
            return Some(LeaseChange::Renewed { since });
        }
        if self.lapsed_at.is_some() || runs + starts == 0 {
            return None;
        }
        self.lapsed_at = Some(until);
        Some(LeaseChange::Lapsed { runs, starts, since: now.saturating_duration_since(until) })
    }
}
