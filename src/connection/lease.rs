//! Exclusive leases: how long a holder may act, and how long its successor has to wait.
//!
//! A row of the table service names the holder of a lease. The holder renews the lease by reading
//! the row, without a write (Gray and Cheriton, "Leases", SOSP 1989, with the renewal turned into
//! a read). The lease is valid
//!
//! - until `freshness` after the holder sent a read that found it still named in the row, or
//! - until the earliest expiry among the grants of *all* members of the cluster map that the lease
//!   relies on; a grant is a member's promise not to act on a takeover of the lease for that long,
//!
//! but never longer than `longest_grant_only` after the last read that named the holder was sent.
//!
//! A lease that is recorded in the row of the cluster map relies on the map in that row. Every
//! other lease relies on the members of the map that was known when that last read was sent, never
//! on a newer map: a member that has taken the lease over may be missing from the newer map, and
//! then its grant would not be required.
//!
//! A process that takes a lease over first writes the row and then waits for
//! [`LeaseTiming::takeover_wait`] before it acts. `docs/notes/leases.md` has the full argument.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::cluster_map::ClusterMap;
use crate::ids::IncarnationId;
use crate::ids::LeaseEpoch;

/// Epoch of a lease that has had no earlier holder.
pub const FIRST_EPOCH: LeaseEpoch = 1;

/// Durations that apply to one kind of lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// How long a read of the row that names the holder keeps the lease valid.
    pub freshness: Duration,
    /// How long a grant of a member lasts.
    pub grant: Duration,
    /// How long grants alone may keep the lease valid, from the last read that named the holder.
    pub longest_grant_only: Duration,
    /// Largest drift between the monotonic clocks of two hosts, in parts per thousand.
    pub drift_per_mille: u32,
}

impl LeaseTiming {
    /// Returns how long a new holder has to wait after its takeover was written, by its own clock,
    /// until the lease of the previous holder has surely expired.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::connection::lease::LeaseTiming;
    ///
    /// let timing = LeaseTiming {
    ///     freshness: Duration::from_secs(2),
    ///     grant: Duration::from_secs(1),
    ///     longest_grant_only: Duration::from_secs(300),
    ///     drift_per_mille: 10,
    /// };
    /// assert_eq!(timing.takeover_wait(), Duration::from_millis(2_020));
    /// ```
    pub fn takeover_wait(&self) -> Duration {
        self.with_drift(self.freshness.max(self.grant))
    }

    /// Returns how long no new holder may act after a change of the cluster map that was written
    /// without the participation of any previous member, counted from when the change becomes
    /// known. Until then, grants of the removed members may keep other leases valid.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::connection::lease::LeaseTiming;
    ///
    /// let timing = LeaseTiming {
    ///     freshness: Duration::from_secs(2),
    ///     grant: Duration::from_secs(2),
    ///     longest_grant_only: Duration::from_secs(300),
    ///     drift_per_mille: 0,
    /// };
    /// assert_eq!(timing.unaided_join_wait(), Duration::from_secs(302));
    /// ```
    pub fn unaided_join_wait(&self) -> Duration {
        self.with_drift(self.longest_grant_only + self.grant)
    }

    fn with_drift(&self, span: Duration) -> Duration {
        span + span * self.drift_per_mille / 1_000
    }
}

/// The state from which a lease holder determines until when its lease is valid.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    timing: LeaseTiming,
    epoch: LeaseEpoch,
    map_generation: u64,
    members: Vec<IncarnationId>,
    /// When the most recent read of the row was sent.
    last_read: Option<Instant>,
    /// Expiry of the latest grant of each member.
    grants: BTreeMap<IncarnationId, Instant>,
    /// Set for good once a read has returned another epoch.
    lost: bool,
}

impl LeaseHolder {
    /// Creates the state for a lease that was acquired under `epoch`. The lease becomes valid only
    /// with the first read that names the holder: the notification of the takeover may have been
    /// delayed, and another process may have taken the lease over since.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::lease::LeaseHolder;
    /// use greengagearch::connection::lease::LeaseTiming;
    ///
    /// let timing = LeaseTiming {
    ///     freshness: Duration::from_secs(2),
    ///     grant: Duration::from_secs(2),
    ///     longest_grant_only: Duration::from_secs(300),
    ///     drift_per_mille: 10,
    /// };
    /// let now = Instant::now();
    /// let mut holder = LeaseHolder::new(timing, 1);
    /// assert!(!holder.is_valid(now));
    /// holder.on_read(1, now);
    /// assert!(holder.is_valid(now));
    /// assert!(!holder.is_valid(now + Duration::from_secs(2)));
    /// ```
    pub fn new(timing: LeaseTiming, epoch: LeaseEpoch) -> LeaseHolder {
        LeaseHolder {
            timing,
            epoch,
            map_generation: 0,
            members: Vec::new(),
            last_read: None,
            grants: BTreeMap::new(),
            lost: false,
        }
    }

    /// Makes the lease rely on the grants of the members of `map`. A map older than the current one
    /// is ignored.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use greengagearch::connection::cluster_map::ClusterMap;
    /// # use greengagearch::connection::lease::{LeaseHolder, LeaseTiming};
    /// # let second = Duration::from_secs(1);
    /// # let timing = LeaseTiming { freshness: second, grant: second,
    /// #     longest_grant_only: second, drift_per_mille: 0 };
    /// let mut holder = LeaseHolder::new(timing, 4);
    /// holder.rely_on(&ClusterMap { generation: 7, ..ClusterMap::default() });
    /// assert_eq!(holder.map_generation(), 7);
    /// ```
    pub fn rely_on(&mut self, map: &ClusterMap) {
        if map.generation < self.map_generation {
            return;
        }
        self.map_generation = map.generation;
        self.members = map.members.iter().map(|member| member.incarnation).collect();
        self.grants.retain(|member, _| self.members.contains(member));
    }

    /// Returns the generation of the cluster map that the lease relies on. Heartbeats that request
    /// grants carry it.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use greengagearch::connection::lease::{LeaseHolder, LeaseTiming};
    /// # let second = Duration::from_secs(1);
    /// # let timing = LeaseTiming { freshness: second, grant: second,
    /// #     longest_grant_only: second, drift_per_mille: 0 };
    /// assert_eq!(LeaseHolder::new(timing, 4).map_generation(), 0);
    /// ```
    pub fn map_generation(&self) -> u64 {
        self.map_generation
    }

    /// Returns the epoch of the lease.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use greengagearch::connection::lease::{LeaseHolder, LeaseTiming};
    /// # let second = Duration::from_secs(1);
    /// # let timing = LeaseTiming { freshness: second, grant: second,
    /// #     longest_grant_only: second, drift_per_mille: 0 };
    /// assert_eq!(LeaseHolder::new(timing, 4).epoch(), 4);
    /// ```
    pub fn epoch(&self) -> LeaseEpoch {
        self.epoch
    }

    /// Records a read of the row that was sent at `sent` and returned `epoch`. If it differs from
    /// the epoch of the holder, the lease is lost for good.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use greengagearch::connection::lease::{LeaseHolder, LeaseTiming};
    /// # let second = Duration::from_secs(1);
    /// # let timing = LeaseTiming { freshness: second, grant: second,
    /// #     longest_grant_only: second, drift_per_mille: 0 };
    /// let now = Instant::now();
    /// let mut holder = LeaseHolder::new(timing, 4);
    /// holder.on_read(5, now);
    /// assert!(!holder.is_valid(now));
    /// ```
    pub fn on_read(&mut self, epoch: LeaseEpoch, sent: Instant) {
        if epoch != self.epoch {
            self.lost = true;
        }
        self.last_read = self.last_read.max(Some(sent));
    }

    /// Records the grant in the response of `member` to a heartbeat sent at `sent`.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use greengagearch::connection::lease::{LeaseHolder, LeaseTiming};
    /// # let second = Duration::from_secs(1);
    /// # let timing = LeaseTiming { freshness: second, grant: second,
    /// #     longest_grant_only: second, drift_per_mille: 0 };
    /// LeaseHolder::new(timing, 4).on_grant(1, Instant::now());
    /// ```
    pub fn on_grant(&mut self, member: IncarnationId, sent: Instant) {
        let expiry = sent + self.timing.grant;
        let end = self.grants.entry(member).or_insert(expiry);
        *end = expiry.max(*end);
    }

    /// Returns when the holder must stop acting, or `None` if the lease is lost or its row has not
    /// been read yet.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use greengagearch::connection::lease::{LeaseHolder, LeaseTiming};
    /// # let second = Duration::from_secs(1);
    /// # let timing = LeaseTiming { freshness: second, grant: second,
    /// #     longest_grant_only: second, drift_per_mille: 0 };
    /// let now = Instant::now();
    /// let mut holder = LeaseHolder::new(timing, 4);
    /// holder.on_read(4, now);
    /// assert_eq!(holder.valid_until(), Some(now + second));
    /// ```
    pub fn valid_until(&self) -> Option<Instant> {
        if self.lost {
            return None;
        }
        let last_read = self.last_read?;
        let by_read = last_read + self.timing.freshness;
        let latest = last_read + self.timing.longest_grant_only;
        let by_grants = self.granted_until().map(|end| end.min(latest));
        Some(by_grants.map_or(by_read, |end| end.max(by_read)))
    }

    /// Returns whether the holder may act at `now`.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use greengagearch::connection::lease::{LeaseHolder, LeaseTiming};
    /// # let second = Duration::from_secs(1);
    /// # let timing = LeaseTiming { freshness: second, grant: second,
    /// #     longest_grant_only: second, drift_per_mille: 0 };
    /// let now = Instant::now();
    /// assert!(!LeaseHolder::new(timing, 4).is_valid(now));
    /// ```
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until().is_some_and(|end| now < end)
    }

    /// Returns the earliest expiry among the grants of all members, or `None` if a member has given
    /// no grant or there are no members.
    fn granted_until(&self) -> Option<Instant> {
        let mut earliest = None;
        for member in &self.members {
            let end = *self.grants.get(member)?;
            earliest = Some(earliest.map_or(end, |known: Instant| known.min(end)));
        }
        earliest
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::connection::cluster_map::EntryMember;

    const SECOND: Duration = Duration::from_secs(1);

    fn timing() -> LeaseTiming {
        LeaseTiming {
            freshness: 2 * SECOND,
            grant: 2 * SECOND,
            longest_grant_only: 10 * SECOND,
            drift_per_mille: 10,
        }
    }

    fn map(incarnations: &[IncarnationId]) -> ClusterMap {
        let mut map = ClusterMap::default();
        for incarnation in incarnations {
            let id = format!("e{incarnation}");
            let member = EntryMember { id, incarnation: *incarnation, address: String::new() };
            map = map.with_member(member);
        }
        map
    }

    fn holder(incarnations: &[IncarnationId], start: Instant) -> LeaseHolder {
        let mut holder = LeaseHolder::new(timing(), 1);
        holder.rely_on(&map(incarnations));
        holder.on_read(1, start);
        holder
    }

    #[test]
    fn grants_of_all_members_outlive_an_unread_row() {
        let start = Instant::now();
        let mut holder = holder(&[1, 2], start);
        holder.on_grant(1, start + 3 * SECOND);
        assert!(!holder.is_valid(start + 4 * SECOND));
        holder.on_grant(2, start + 3 * SECOND);
        assert!(holder.is_valid(start + 4 * SECOND));
    }

    #[test]
    fn a_new_member_must_grant_too() {
        let start = Instant::now();
        let mut holder = holder(&[1], start);
        holder.on_grant(1, start + 3 * SECOND);
        assert!(holder.is_valid(start + 4 * SECOND));
        holder.rely_on(&map(&[1, 2]));
        assert!(!holder.is_valid(start + 4 * SECOND));
    }

    #[test]
    fn an_older_map_takes_no_member_out_again() {
        let start = Instant::now();
        let mut holder = holder(&[1, 2], start);
        holder.on_grant(1, start + 3 * SECOND);
        holder.rely_on(&map(&[1]));
        assert!(!holder.is_valid(start + 4 * SECOND));
    }

    #[test]
    fn grants_alone_end_at_their_longest_time() {
        let start = Instant::now();
        let mut holder = holder(&[1], start);
        holder.on_grant(1, start + 9 * SECOND);
        assert_eq!(holder.valid_until(), Some(start + 10 * SECOND));
    }

    #[test]
    fn a_lost_lease_never_becomes_valid_again() {
        let start = Instant::now();
        let mut holder = holder(&[], start);
        holder.on_read(2, start);
        holder.on_read(1, start);
        assert_eq!(holder.valid_until(), None);
    }
}
