//! The lease of the runner's current instance, as the agent knows it.

use std::time::Duration;
use std::time::Instant;

use crate::external::runner_control::RunnerMillis;
use crate::workflow::grant::MAX_LEASE;
use crate::workflow::grant::expired_by;

/// A start is not sent if less than this is left of the lease.
const MIN_START_LEASE: Duration = Duration::from_millis(150);
/// A runner that has not responded for this long gets no further lease.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_500);

/// The lease that the planner has granted, the lease sent to the runner, and the runner's last
/// response.
#[derive(Clone, Copy, Debug)]
pub struct RunnerLease {
    last_response: Instant,
    granted_until: Option<Instant>,
    sent_until: Option<Instant>,
    /// Latest end of leases that others may have sent: an earlier agent, or calls meant for a
    /// former instance.
    inherited_until: Instant,
    /// Time on the runner's clock, and when it was read.
    clock: Option<(RunnerMillis, Instant)>,
}

impl RunnerLease {
    /// Creates the state without a lease for a runner that is assumed to have responded at `now`.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// assert_eq!(RunnerLease::none(Instant::now()).end(), None);
    /// ```
    pub fn none(now: Instant) -> RunnerLease {
        RunnerLease {
            last_response: now,
            granted_until: None,
            sent_until: None,
            inherited_until: now + MAX_LEASE,
            clock: None,
        }
    }

    /// Returns the time of the runner's last response.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// let now = Instant::now();
    /// assert_eq!(RunnerLease::none(now).last_response(), now);
    /// ```
    pub fn last_response(&self) -> Instant {
        self.last_response
    }

    /// Records a response with the time on the runner's clock.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// let now = Instant::now();
    /// let mut lease = RunnerLease::none(now);
    /// lease.on_response(500, now);
    /// lease.grant(now + Duration::from_secs(9));
    /// assert_eq!(lease.end(), Some(9_500));
    /// ```
    pub fn on_response(&mut self, clock: RunnerMillis, now: Instant) {
        if self.clock.is_none() {
            // Until now, the instance may have carried out calls meant for another one.
            self.on_foreign_lease(now);
        }
        self.clock = Some((clock, now));
        self.last_response = now;
    }

    /// Records that the runner may have been given a lease up to now that this agent does not know.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// let now = Instant::now();
    /// let mut lease = RunnerLease::none(now);
    /// lease.on_foreign_lease(now + Duration::from_secs(9));
    /// assert!(!lease.have_all_leases_expired(now + Duration::from_secs(19)));
    /// ```
    pub fn on_foreign_lease(&mut self, now: Instant) {
        self.inherited_until = self.inherited_until.max(now + MAX_LEASE);
    }

    /// Records a grant of the planner up to `until`. A grant never shortens the lease.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// let now = Instant::now();
    /// RunnerLease::none(now).grant(now);
    /// ```
    pub fn grant(&mut self, until: Instant) {
        self.granted_until = self.granted_until.max(Some(until));
    }

    /// Returns the time up to which the planner has granted leases.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// assert_eq!(RunnerLease::none(Instant::now()).granted_until(), None);
    /// ```
    pub fn granted_until(&self) -> Option<Instant> {
        self.granted_until
    }

    /// Returns the time up to which runs may continue, on the runner's clock; `None` while that is
    /// not known.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// assert_eq!(RunnerLease::none(Instant::now()).end(), None);
    /// ```
    pub fn end(&self) -> Option<RunnerMillis> {
        let (clock, read_at) = self.clock?;
        let remaining = self.granted_until?.checked_duration_since(read_at)?;
        Some(clock + u64::try_from(remaining.as_millis()).ok()?)
    }

    /// Records that a call carries the lease to the runner.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// greengagearch::process::node::runner_lease::RunnerLease::none(Instant::now()).on_sent();
    /// ```
    pub fn on_sent(&mut self) {
        self.sent_until = self.sent_until.max(self.granted_until);
    }

    /// Returns whether the runner has not responded for so long that it gets no further lease: a
    /// call that is carried out late must not extend it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// let now = Instant::now();
    /// assert!(RunnerLease::none(now).is_unresponsive(now + Duration::from_secs(2)));
    /// ```
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_response) > UNRESPONSIVE_AFTER
    }

    /// Returns whether enough of the lease is left for a start; `None` while no lease is known.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// let now = Instant::now();
    /// assert_eq!(RunnerLease::none(now).is_long_enough_for_start(now), None);
    /// ```
    pub fn is_long_enough_for_start(&self, now: Instant) -> Option<bool> {
        self.end()?;
        self.granted_until.map(|until| now + MIN_START_LEASE < until && !self.is_unresponsive(now))
    }

    /// Returns whether all leases of an unresponsive runner have surely expired, including those
    /// that others may have sent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// let now = Instant::now();
    /// assert!(!RunnerLease::none(now).have_all_leases_expired(now + Duration::from_secs(9)));
    /// assert!(RunnerLease::none(now).have_all_leases_expired(now + Duration::from_secs(11)));
    /// ```
    pub fn have_all_leases_expired(&self, now: Instant) -> bool {
        let until =
            self.sent_until.map_or(self.inherited_until, |sent| sent.max(self.inherited_until));
        // The runner's clock may have been read a whole lease before the end, and run slow since.
        now + MAX_LEASE >= expired_by(until, MAX_LEASE) && self.is_unresponsive(now)
    }
}
