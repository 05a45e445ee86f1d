//! The lease of the present life of the runner, as far as the agent knows it.

use std::time::Duration;
use std::time::Instant;

use crate::external::runner_control::RunnerMillis;
use crate::workflow::grant::MAX_LEASE;
use crate::workflow::grant::expired_by;

/// A start is not tried with less than this left of the lease.
const LEAST_LEASE: Duration = Duration::from_millis(150);
/// A runner that has not answered for so long gets no longer leases.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// What the planner has granted, what was sent to the runner, and when it answered last.
#[derive(Clone, Copy, Debug)]
pub struct RunnerLease {
    answered: Instant,
    granted_until: Option<Instant>,
    sent_until: Option<Instant>,
    /// When leases that others have sent end at the latest: an earlier agent, or calls that were meant for a former life.
    inherited_until: Instant,
    /// The runner's clock, and when it was read.
    clock: Option<(RunnerMillis, Instant)>,
}

impl RunnerLease {
    /// No lease of a runner that counts as having answered at `now`.
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
            answered: now,
            granted_until: None,
            sent_until: None,
            inherited_until: now + MAX_LEASE,
            clock: None,
        }
    }

    /// When the runner answered last.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// let now = Instant::now();
    /// assert_eq!(RunnerLease::none(now).answered(), now);
    /// ```
    pub fn answered(&self) -> Instant {
        self.answered
    }

    /// Takes note of an answer with the runner's clock.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// let now = Instant::now();
    /// let mut lease = RunnerLease::none(now);
    /// lease.on_answer(500, now);
    /// lease.grant(now + Duration::from_secs(9));
    /// assert_eq!(lease.end(), Some(9_500));
    /// ```
    pub fn on_answer(&mut self, clock: RunnerMillis, now: Instant) {
        self.clock = Some((clock, now));
        self.answered = now;
    }

    /// Extends the lease as the planner allows.
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

    /// Up to when everything may run, on the runner's clock; nothing while that is not known.
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
        let left = self.granted_until?.checked_duration_since(read_at)?;
        Some(clock + u64::try_from(left.as_millis()).ok()?)
    }

    /// Takes note that a call carries the lease to the runner.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// greengagearch::process::node::runner_lease::RunnerLease::none(Instant::now()).on_sent();
    /// ```
    pub fn on_sent(&mut self) {
        self.sent_until = self.sent_until.max(self.granted_until);
    }

    /// Whether the runner has not answered for too long to be kept alive by calls that may be carried out late.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// let now = Instant::now();
    /// assert!(RunnerLease::none(now).is_silent(now + Duration::from_secs(2)));
    /// ```
    pub fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.answered) > SILENCE_LIMIT
    }

    /// Whether enough is left for a start; nothing while no lease is known.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// let now = Instant::now();
    /// assert_eq!(RunnerLease::none(now).has_enough(now), None);
    /// ```
    pub fn has_enough(&self, now: Instant) -> Option<bool> {
        self.end()?;
        self.granted_until.map(|until| now + LEAST_LEASE < until && !self.is_silent(now))
    }

    /// Whether everything that was sent to a silent runner has surely expired.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// let now = Instant::now();
    /// assert!(!RunnerLease::none(now).has_expired(now), "nothing was sent");
    /// ```
    pub fn has_expired(&self, now: Instant) -> bool {
        self.sent_until.is_some_and(|until| self.is_over(until, now))
    }

    /// The same for what others may have sent as well.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_lease::RunnerLease;
    ///
    /// let now = Instant::now();
    /// assert!(!RunnerLease::none(now).have_all_expired(now + Duration::from_secs(9)));
    /// assert!(RunnerLease::none(now).have_all_expired(now + Duration::from_secs(11)));
    /// ```
    pub fn have_all_expired(&self, now: Instant) -> bool {
        let until =
            self.sent_until.map_or(self.inherited_until, |sent| sent.max(self.inherited_until));
        self.is_over(until, now)
    }

    fn is_over(&self, until: Instant, now: Instant) -> bool {
        let left = until.saturating_duration_since(self.answered);
        now >= expired_by(self.answered, left) && self.is_silent(now)
    }
}
