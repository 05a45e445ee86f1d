//! An entry's view of the cluster: what it knows, what it may act for, what it promises.
//!
//! The view decides and keeps; reading the row, writing it and sending heartbeats is left to its
//! callers. `docs/notes/leases.md` derives why two entries never act for one partition.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::cluster_map::ClusterMap;
use crate::connection::cluster_map::EntryMember;
use crate::connection::grant_desk::GrantDesk;
use crate::connection::lease::LeaseHolder;
use crate::connection::map_change::ChangeResult;
use crate::connection::map_change::MapChange;
use crate::connection::map_change::PendingChange;
use crate::ids::IncarnationId;
use crate::ids::LeaseEpoch;
use crate::ids::PartitionId;
use crate::ids::RowVersion;

/// Heartbeats that a member may miss before it is removed.
const BEATS_TO_REMOVE: u32 = 3;

/// An entry's right to act for a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActingRight {
    /// Epoch of the ownership.
    pub epoch: LeaseEpoch,
    /// Since when the entry may act.
    pub since: Instant,
}

/// What an entry knows of the cluster.
///
/// ```
/// use std::time::Instant;
///
/// use greengagearch::connection::cluster_map::ClusterMap;
/// use greengagearch::connection::cluster_map::EntryMember;
/// use greengagearch::connection::cluster_view::ClusterView;
///
/// let own = EntryMember { id: "e1".into(), incarnation: 1, address: "127.0.0.1:1".into() };
/// let now = Instant::now();
/// let mut view = ClusterView::new(own.clone(), now);
/// let map = ClusterMap::default().with_member(own);
/// view.on_row(map, 1, now, now);
/// assert!(view.acting_right(0, now).is_some());
/// assert!(view.plan_upkeep(now).is_none());
/// ```
#[derive(Debug)]
pub struct ClusterView {
    own: EntryMember,
    map: ClusterMap,
    row_version: Option<RowVersion>,
    holder: Option<LeaseHolder>,
    desk: GrantDesk,
    acts_from: Vec<Instant>,
    takes_workers_from: Instant,
    /// Until then leases may live on grants of members that an unaided change removed.
    unaided_until: Instant,
    heard: HashMap<IncarnationId, Instant>,
    row_read: Option<Instant>,
    pending: PendingChange,
    stopped: bool,
}

impl ClusterView {
    /// The view of an entry that knows nothing yet.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::cluster_map::EntryMember;
    /// use greengagearch::connection::cluster_view::ClusterView;
    ///
    /// let own = EntryMember { id: "e1".into(), incarnation: 1, address: "127.0.0.1:1".into() };
    /// let view = ClusterView::new(own, Instant::now());
    /// assert!(!view.is_member());
    /// ```
    pub fn new(own: EntryMember, now: Instant) -> ClusterView {
        ClusterView {
            own,
            map: ClusterMap::default(),
            row_version: None,
            holder: None,
            desk: GrantDesk::default(),
            acts_from: Vec::new(),
            takes_workers_from: now,
            unaided_until: now,
            heard: HashMap::new(),
            row_read: None,
            pending: PendingChange::default(),
            stopped: false,
        }
    }

    /// The newest map that is known.
    pub fn map(&self) -> &ClusterMap {
        &self.map
    }

    /// Whether this entry is a member of the newest map it knows.
    pub fn is_member(&self) -> bool {
        self.map.has_member(self.own.incarnation)
    }

    /// Takes in a read of the row that was sent at `sent`.
    pub fn on_row(&mut self, map: ClusterMap, version: RowVersion, sent: Instant, now: Instant) {
        if self.pending.on_row(version) {
            self.desk.end_change(map.generation);
        }
        if map.generation >= self.map.generation {
            self.row_version = Some(version);
        }
        self.row_read = self.row_read.max(Some(sent));
        let is_member = map.has_member(self.own.incarnation);
        self.adopt(map, now);
        if let Some(holder) = self.holder.as_mut().filter(|_| is_member) {
            holder.on_read(0, sent);
        }
    }

    /// Takes in a map from anywhere; an older one than is known changes nothing.
    pub fn adopt(&mut self, map: ClusterMap, now: Instant) {
        if map.generation <= self.map.generation {
            return;
        }
        let timing = map.timing;
        let was_member = self.is_member();
        let old = std::mem::replace(&mut self.map, map);
        self.desk.on_map(self.map.generation);
        if self.map.unaided_generation > old.unaided_generation {
            let waits = [timing.partition_lease(), timing.worker_lease()];
            let longest = waits.map(|lease| lease.unaided_join_wait()).into_iter().max();
            self.unaided_until = now + longest.unwrap_or_default();
        }
        if !self.is_member() {
            self.holder = None;
        } else if !was_member {
            self.holder = Some(LeaseHolder::new(timing.partition_lease(), 0));
            let is_first = old.generation == 0 && self.map.generation == 1;
            let wait = timing.worker_lease().takeover_wait();
            self.takes_workers_from = if is_first { now } else { now + wait };
        }
        // Ownership of partitions is the map's own, so that the newest map is what counts.
        if let Some(holder) = &mut self.holder {
            holder.rely_on(&self.map);
        }
        self.update_acts_from(&old, now);
        self.heard.retain(|incarnation, _| self.map.has_member(*incarnation));
        for member in &self.map.members {
            self.heard.entry(member.incarnation).or_insert(now);
        }
    }

    /// Takes in a sign of life of another entry.
    pub fn on_contact(&mut self, incarnation: IncarnationId, now: Instant) {
        if let Some(heard) = self.heard.get_mut(&incarnation) {
            *heard = now;
        }
    }

    /// Takes in a grant that `member` gave in answer to a heartbeat sent at `sent`.
    pub fn on_grant(&mut self, member: IncarnationId, sent: Instant) {
        if let Some(holder) = &mut self.holder {
            holder.on_grant(member, sent);
        }
    }

    /// This entry's right to act for a partition at `now`, if it has one.
    pub fn acting_right(&self, partition: PartitionId, now: Instant) -> Option<ActingRight> {
        self.right_by_map(partition, now).filter(|_| self.is_valid(now))
    }

    /// The partitions that this entry may act for at `now`.
    pub fn acting_partitions(&self, now: Instant) -> Vec<PartitionId> {
        if !self.is_valid(now) {
            return Vec::new();
        }
        let all = 0..self.map.owners.len() as PartitionId;
        all.filter(|partition| self.right_by_map(*partition, now).is_some()).collect()
    }

    /// Whether this entry's leases are valid at `now`.
    fn is_valid(&self, now: Instant) -> bool {
        let holder = self.holder.as_ref().filter(|_| !self.stopped);
        holder.is_some_and(|holder| holder.is_valid(now))
    }

    /// The right that the map gives to this entry, as far as its leases are valid.
    fn right_by_map(&self, partition: PartitionId, now: Instant) -> Option<ActingRight> {
        let owner = self.map.owners.get(partition as usize)?;
        let since = *self.acts_from.get(partition as usize)?;
        let since = since.max(self.unaided_until);
        let is_own = owner.incarnation == self.own.incarnation;
        (is_own && now >= since).then_some(ActingRight { epoch: owner.epoch, since })
    }

    /// Whether this entry may take the leases of workers over at `now`.
    pub fn may_take_over_workers(&self, now: Instant) -> bool {
        let from = self.takes_workers_from.max(self.unaided_until);
        self.is_member() && !self.stopped && now >= from
    }

    /// Whether the holder of a lease, who knows the map of `generation`, gets a grant.
    pub fn may_grant(&self, lease: &str, epoch: LeaseEpoch, generation: u64) -> bool {
        self.is_member() && !self.stopped && self.desk.may_grant(lease, epoch, generation)
    }

    /// Must be called before a takeover of a worker's lease is sent to the table service.
    pub fn supersede(&mut self, lease: &str, epoch: LeaseEpoch) {
        self.desk.supersede(lease, epoch);
    }

    /// The version of the row at the newest map, as a check in a worker's takeover.
    pub fn row_version(&self) -> Option<RowVersion> {
        self.row_version
    }

    /// The change that adds `member`, when this entry can write one now.
    pub fn plan_join(&self, member: EntryMember) -> Option<MapChange> {
        let version =
            self.row_version.filter(|_| self.is_member() && self.pending.change().is_none())?;
        Some(MapChange { version, map: self.map.with_member(member) })
    }

    /// The change that removes silent members, or settles a change whose outcome is not known.
    pub fn plan_upkeep(&self, now: Instant) -> Option<MapChange> {
        if let Some(change) = self.pending.change() {
            return Some(change.clone());
        }
        let version = self.row_version.filter(|_| self.is_member() && !self.stopped)?;
        let limit = self.map.timing.entry_beat() * BEATS_TO_REMOVE;
        let silent = self.heard.iter().filter(|(incarnation, heard)| {
            **incarnation != self.own.incarnation && now.saturating_duration_since(**heard) > limit
        });
        let silent: Vec<IncarnationId> = silent.map(|(incarnation, _)| *incarnation).collect();
        if silent.is_empty() {
            return None;
        }
        Some(MapChange { version, map: self.map.without_members(&silent) })
    }

    /// The change that hands this entry's partitions over; from now on it acts for none.
    pub fn plan_leave(&mut self) -> Option<MapChange> {
        self.stopped = true;
        let version = self.row_version.filter(|_| self.is_member())?;
        Some(MapChange { version, map: self.map.handed_over_by(self.own.incarnation) })
    }

    /// Must be called before a change is sent to the table service.
    pub fn begin_change(&mut self, change: &MapChange) {
        self.pending.begin(change.clone());
        self.desk.begin_change();
    }

    /// Takes in how the write of a change ended.
    pub fn end_change(&mut self, change: MapChange, result: ChangeResult, now: Instant) {
        if !self.pending.on_result(result) {
            return;
        }
        let ChangeResult::Written(version) = result else {
            self.desk.end_change(self.map.generation);
            return;
        };
        self.desk.end_change(change.map.generation);
        self.row_version = Some(version);
        self.adopt(change.map, now);
    }

    fn update_acts_from(&mut self, old: &ClusterMap, now: Instant) {
        let wait = self.map.timing.partition_lease().takeover_wait();
        self.acts_from.resize(self.map.owners.len(), now);
        for (index, owner) in self.map.owners.iter().enumerate() {
            let is_same = old.owners.get(index).is_some_and(|before| before.epoch == owner.epoch);
            if !is_same {
                self.acts_from[index] = if owner.handed_over { now } else { now + wait };
            }
        }
    }

    /// Whether an owner that does not act at `now` may soon act again: a change of owners may be
    /// under way while the row can be read, and a lease that lapsed for want of a grant may be granted
    /// anew while all members are heard of.
    pub fn may_regain_lease(&self, now: Instant) -> bool {
        let limit = self.removal_limit();
        let others = self.heard.iter().filter(|(run, _)| **run != self.own.incarnation);
        let mut heard = others.map(|(_, heard)| now.saturating_duration_since(*heard));
        self.has_recent_read(now) || heard.all(|ago| ago <= limit)
    }

    /// Whether the row was read so lately that the table service counts as answering.
    pub fn has_recent_read(&self, now: Instant) -> bool {
        let freshness = self.map.timing.partition_lease().freshness;
        self.row_read.is_some_and(|read| now.saturating_duration_since(read) <= freshness)
    }

    /// Longest time from the death of a member until its partitions are served again.
    pub fn takeover_limit(&self) -> Duration {
        self.removal_limit() + self.map.timing.partition_lease().takeover_wait() * 2
    }

    /// How long a member may be silent before it is removed.
    pub fn removal_limit(&self) -> Duration {
        self.map.timing.entry_beat() * BEATS_TO_REMOVE
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(incarnation: IncarnationId) -> EntryMember {
        EntryMember { id: format!("e{incarnation}"), incarnation, address: String::new() }
    }

    #[test]
    fn the_first_entry_acts_at_once_and_a_joiner_after_its_wait() {
        let now = Instant::now();
        let mut first = ClusterView::new(member(1), now);
        let map = ClusterMap::default().with_member(member(1));
        first.on_row(map.clone(), 1, now, now);
        assert!(first.acting_right(0, now).is_some());
        let mut second = ClusterView::new(member(2), now);
        let both = map.with_member(member(2));
        let moved = *both.owned_by(2).keys().next().unwrap();
        second.on_row(both.clone(), 2, now, now);
        assert!(second.acting_right(moved, now).is_none());
        let later = now + both.timing.partition_lease().takeover_wait();
        second.on_row(both, 2, later, later);
        assert!(second.acting_right(moved, later).is_some());
    }

    #[test]
    fn nothing_is_granted_while_a_change_may_take_effect() {
        let now = Instant::now();
        let mut view = ClusterView::new(member(1), now);
        let map = ClusterMap::default().with_member(member(1));
        view.on_row(map.clone(), 1, now, now);
        let change = view.plan_join(member(2)).unwrap();
        view.begin_change(&change);
        assert!(!view.may_grant("worker/w", 1, 9));
        view.end_change(change.clone(), ChangeResult::Ambiguous, now);
        view.on_row(map, 1, now, now);
        assert!(!view.may_grant("worker/w", 1, 9));
        assert_eq!(view.plan_upkeep(now), Some(change.clone()));
        view.on_row(change.map, 2, now, now);
        assert!(view.may_grant("worker/w", 1, 9));
    }

    #[test]
    fn in_an_outage_there_is_a_prospect_only_while_all_members_are_heard_of() {
        let now = Instant::now();
        let mut view = ClusterView::new(member(1), now);
        let map = ClusterMap::default().with_member(member(1)).with_member(member(2));
        view.on_row(map, 1, now, now);
        let later = now + Duration::from_secs(60);
        assert!(!view.may_regain_lease(later));
        view.on_contact(2, later);
        assert!(view.may_regain_lease(later));
    }

    #[test]
    fn a_member_that_was_removed_stops_at_once() {
        let now = Instant::now();
        let mut view = ClusterView::new(member(1), now);
        let map = ClusterMap::default().with_member(member(1)).with_member(member(2));
        view.on_row(map.clone(), 1, now, now);
        view.adopt(map.without_members(&[1]), now);
        assert!(view.acting_partitions(now).is_empty());
    }
}
