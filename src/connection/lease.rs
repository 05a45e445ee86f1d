//! The holder's side of an exclusive lease, and the wait of who takes it over.
//!
//! A lease is named in a row of the table service and needs no write to stay valid (Gray and
//! Cheriton, "Leases", SOSP 1989, with the renewal turned into a read). Its holder is valid
//!
//! - until `freshness` after it sent a read that found it still named in the row, or
//! - until the earliest end of unexpired grants from *every* member of the cluster map it relies on;
//!   a grant is a member's promise to act on no takeover for that long,
//!
//! but never longer than `longest_grant_only` after the last fresh read. A lease whose row is not
//! the cluster map's own relies on the members of the map that was known when the last fresh read
//! was sent, and on no newer one: a member that took the lease over may be gone from the newer map.
//! Who takes a lease over writes the row first and acts only after [`LeaseTiming::takeover_wait`]. The reasoning stands
//! in `docs/notes/leases.md`.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::cluster_map::ClusterMap;
use crate::ids::IncarnationId;
use crate::ids::LeaseEpoch;

/// Epoch of a lease that nobody held before.
pub const FIRST_EPOCH: LeaseEpoch = 1;

/// The time spans of one kind of lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// How long a read of the row keeps the holder valid.
    pub freshness: Duration,
    /// How long a member's grant keeps the holder valid.
    pub grant: Duration,
    /// How long grants alone may keep the holder valid, from its last fresh read.
    pub longest_grant_only: Duration,
    /// Highest difference in speed of two monotonic clocks, in parts per thousand.
    pub drift_per_mille: u32,
}

impl LeaseTiming {
    /// How long a new holder waits after its takeover was written, by its own clock.
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
        self.stretched(self.freshness.max(self.grant))
    }

    /// How long nobody acts after a change of the cluster map that was written without any member's
    /// help, counted from when the change is learned.
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
        self.stretched(self.longest_grant_only + self.grant)
    }

    fn stretched(&self, span: Duration) -> Duration {
        span + span * self.drift_per_mille / 1_000
    }
}

/// What a holder knows of its own validity.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    timing: LeaseTiming,
    epoch: LeaseEpoch,
    map_generation: u64,
    members: Vec<IncarnationId>,
    /// When the newest read was sent that named the holder.
    last_read: Option<Instant>,
    /// Grant ends by member incarnation.
    grants: BTreeMap<IncarnationId, Instant>,
    lost: bool,
}

impl LeaseHolder {
    /// The holder of a lease that was taken over under `epoch`. It is valid only once a read that
    /// it sent itself has named it, since the news of a takeover may be old when it comes.
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

    /// Lets the lease rely on the members of `map`; a map older than the one it relies on changes
    /// nothing.
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

    /// Generation of the map that the lease relies on; grants are asked for under it.
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

    /// Epoch of the lease.
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

    /// Takes in a read, sent at `sent`, that found `epoch` in the row.
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

    /// Takes in a grant that `member` gave in answer to a heartbeat sent at `sent`.
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
        let until = sent + self.timing.grant;
        let end = self.grants.entry(member).or_insert(until);
        *end = until.max(*end);
    }

    /// The instant at which the holder must stop, or nothing when the lease is lost or was never read.
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
        let last = last_read + self.timing.longest_grant_only;
        let by_grants = self.granted_until().map(|end| end.min(last));
        Some(by_grants.map_or(by_read, |end| end.max(by_read)))
    }

    /// Whether the holder may act at `now`.
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

    /// Earliest end among the grants of all members; nothing when a member gave none.
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
