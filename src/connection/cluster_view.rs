//! An entry's view of the cluster: the newest known map, the partitions that the entry may act for,
//! and the grants that it may give to other lease holders.
//!
//! The view holds state and makes decisions, without input or output: its callers read and write
//! the cluster map's row and send the heartbeats. `docs/notes/leases.md` derives why two entries
//! never act for one partition at the same time.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::cluster_map::ClusterMap;
use crate::connection::cluster_map::EntryMember;
use crate::connection::grant_arbiter::GrantArbiter;
use crate::connection::lease::LeaseHolder;
use crate::connection::map_change::ChangeResult;
use crate::connection::map_change::MapChange;
use crate::connection::map_change::PendingChange;
use crate::ids::IncarnationId;
use crate::ids::LeaseEpoch;
use crate::ids::PartitionId;
use crate::ids::RowVersion;

/// Heartbeat intervals without contact after which a member is removed.
const HEARTBEATS_TO_REMOVE: u32 = 3;

/// Right of an entry to act for a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActingRight {
    /// Epoch of the ownership.
    pub epoch: LeaseEpoch,
    /// Time from which the entry may act.
    pub since: Instant,
}

/// An entry's knowledge of the cluster map, its own leases and the other members.
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
    grant_arbiter: GrantArbiter,
    /// For each partition, the time from which its owner may act.
    acting_from: Vec<Instant>,
    worker_takeover_from: Instant,
    /// Time until which leases may be valid through grants of members that an unaided change
    /// removed.
    unaided_wait_until: Instant,
    /// Time of the last contact with each member.
    last_contacts: HashMap<IncarnationId, Instant>,
    /// Time at which the newest answered read of the row was sent.
    last_row_read: Option<Instant>,
    pending: PendingChange,
    /// Whether the entry is leaving: it no longer acts for partitions or gives grants.
    is_stopped: bool,
}

impl ClusterView {
    /// Creates the view of an entry that does not know any map yet.
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
            grant_arbiter: GrantArbiter::default(),
            acting_from: Vec::new(),
            worker_takeover_from: now,
            unaided_wait_until: now,
            last_contacts: HashMap::new(),
            last_row_read: None,
            pending: PendingChange::default(),
            is_stopped: false,
        }
    }

    /// Returns the newest known map.
    pub fn map(&self) -> &ClusterMap {
        &self.map
    }

    /// Returns whether this entry is a member according to the newest known map.
    pub fn is_member(&self) -> bool {
        self.map.has_member(self.own.incarnation)
    }

    /// Processes the result of a read of the row, which was sent at `sent`.
    pub fn on_row(&mut self, map: ClusterMap, version: RowVersion, sent: Instant, now: Instant) {
        if self.pending.on_row(version) {
            self.grant_arbiter.end_change(map.generation);
        }
        if map.generation >= self.map.generation {
            self.row_version = Some(version);
        }
        self.last_row_read = self.last_row_read.max(Some(sent));
        let is_member = map.has_member(self.own.incarnation);
        self.adopt(map, now);
        if let Some(holder) = self.holder.as_mut().filter(|_| is_member) {
            holder.on_read(0, sent);
        }
    }

    /// Adopts a map from any source. Ignored unless it is newer than the known map.
    pub fn adopt(&mut self, map: ClusterMap, now: Instant) {
        if map.generation <= self.map.generation {
            return;
        }
        let timing = map.timing;
        let was_member = self.is_member();
        let old = std::mem::replace(&mut self.map, map);
        self.grant_arbiter.on_map(self.map.generation);
        if self.map.unaided_generation > old.unaided_generation {
            let waits = [timing.partition_lease(), timing.worker_lease()];
            let longest = waits.map(|lease| lease.unaided_join_wait()).into_iter().max();
            self.unaided_wait_until = now + longest.unwrap_or_default();
        }
        if !self.is_member() {
            self.holder = None;
        } else if !was_member {
            self.holder = Some(LeaseHolder::new(timing.partition_lease(), 0));
            let is_first = old.generation == 0 && self.map.generation == 1;
            let wait = timing.worker_lease().takeover_wait();
            self.worker_takeover_from = if is_first { now } else { now + wait };
        }
        // The map itself defines who owns the partitions, so partition leases always rely on the
        // members of the newest map.
        if let Some(holder) = &mut self.holder {
            holder.rely_on(&self.map);
        }
        self.update_acting_from(&old, now);
        self.last_contacts.retain(|incarnation, _| self.map.has_member(*incarnation));
        for member in &self.map.members {
            self.last_contacts.entry(member.incarnation).or_insert(now);
        }
    }

    /// Records a contact with another entry.
    pub fn on_contact(&mut self, incarnation: IncarnationId, now: Instant) {
        if let Some(last_contact) = self.last_contacts.get_mut(&incarnation) {
            *last_contact = now;
        }
    }

    /// Records a grant that `member` gave in reply to a heartbeat sent at `sent`.
    pub fn on_grant(&mut self, member: IncarnationId, sent: Instant) {
        if let Some(holder) = &mut self.holder {
            holder.on_grant(member, sent);
        }
    }

    /// Returns this entry's right to act for a partition at `now`, if it has one.
    pub fn acting_right(&self, partition: PartitionId, now: Instant) -> Option<ActingRight> {
        self.right_by_map(partition, now).filter(|_| self.has_valid_leases(now))
    }

    /// Returns the partitions that this entry may act for at `now`.
    pub fn acting_partitions(&self, now: Instant) -> Vec<PartitionId> {
        if !self.has_valid_leases(now) {
            return Vec::new();
        }
        let all = 0..self.map.owners.len() as PartitionId;
        all.filter(|partition| self.right_by_map(*partition, now).is_some()).collect()
    }

    /// Returns whether this entry's partition leases are valid at `now`.
    fn has_valid_leases(&self, now: Instant) -> bool {
        let holder = self.holder.as_ref().filter(|_| !self.is_stopped);
        holder.is_some_and(|holder| holder.is_valid(now))
    }

    /// Returns this entry's right to act according to the map and the waits after its changes,
    /// without checking that the entry's leases are valid.
    fn right_by_map(&self, partition: PartitionId, now: Instant) -> Option<ActingRight> {
        let owner = self.map.owners.get(partition as usize)?;
        let since = *self.acting_from.get(partition as usize)?;
        let since = since.max(self.unaided_wait_until);
        let is_own = owner.incarnation == self.own.incarnation;
        (is_own && now >= since).then_some(ActingRight { epoch: owner.epoch, since })
    }

    /// Returns whether this entry may take over worker leases at `now`.
    pub fn may_take_over_workers(&self, now: Instant) -> bool {
        let from = self.worker_takeover_from.max(self.unaided_wait_until);
        self.is_member() && !self.is_stopped && now >= from
    }

    /// Returns whether to give a grant to the holder of `lease` at `epoch`, whose lease relies on
    /// the map of `generation`.
    pub fn may_grant(&self, lease: &str, epoch: LeaseEpoch, generation: u64) -> bool {
        self.is_member()
            && !self.is_stopped
            && self.grant_arbiter.may_grant(lease, epoch, generation)
    }

    /// Stops granting to holders of `lease` below `epoch`. Must be called before a takeover of a
    /// worker's lease is sent to the table service.
    pub fn supersede(&mut self, lease: &str, epoch: LeaseEpoch) {
        self.grant_arbiter.supersede(lease, epoch);
    }

    /// Returns the row's version at the newest known map. The takeover of a worker's lease is
    /// conditional on it.
    pub fn row_version(&self) -> Option<RowVersion> {
        self.row_version
    }

    /// Returns the change that adds `member`, if this entry can write a change now.
    pub fn plan_join(&self, member: EntryMember) -> Option<MapChange> {
        let version =
            self.row_version.filter(|_| self.is_member() && self.pending.change().is_none())?;
        Some(MapChange { version, map: self.map.with_member(member) })
    }

    /// Returns the pending change, to be written again until its outcome is known, or else the
    /// change that removes the members without recent contact, if there are any.
    pub fn plan_upkeep(&self, now: Instant) -> Option<MapChange> {
        if let Some(change) = self.pending.change() {
            return Some(change.clone());
        }
        let version = self.row_version.filter(|_| self.is_member() && !self.is_stopped)?;
        let limit = self.map.timing.entry_beat() * HEARTBEATS_TO_REMOVE;
        let silent = self.last_contacts.iter().filter(|(incarnation, contact)| {
            **incarnation != self.own.incarnation
                && now.saturating_duration_since(**contact) > limit
        });
        let silent: Vec<IncarnationId> = silent.map(|(incarnation, _)| *incarnation).collect();
        if silent.is_empty() {
            return None;
        }
        Some(MapChange { version, map: self.map.without_members(&silent) })
    }

    /// Stops acting for all partitions and returns the change that hands them over to the other
    /// members.
    pub fn plan_leave(&mut self) -> Option<MapChange> {
        self.is_stopped = true;
        let version = self.row_version.filter(|_| self.is_member())?;
        Some(MapChange { version, map: self.map.handed_over_by(self.own.incarnation) })
    }

    /// Records a change as pending and gives no grants until its outcome is known. Must be called
    /// before the change is sent to the table service.
    pub fn begin_change(&mut self, change: &MapChange) {
        self.pending.begin(change.clone());
        self.grant_arbiter.begin_change();
    }

    /// Processes the result of writing a change.
    pub fn end_change(&mut self, change: MapChange, result: ChangeResult, now: Instant) {
        if !self.pending.on_result(result) {
            return;
        }
        let ChangeResult::Written(version) = result else {
            self.grant_arbiter.end_change(self.map.generation);
            return;
        };
        self.grant_arbiter.end_change(change.map.generation);
        self.row_version = Some(version);
        self.adopt(change.map, now);
    }

    /// Sets the time from which the owner may act for each partition whose owner has changed.
    fn update_acting_from(&mut self, old: &ClusterMap, now: Instant) {
        let wait = self.map.timing.partition_lease().takeover_wait();
        self.acting_from.resize(self.map.owners.len(), now);
        for (index, owner) in self.map.owners.iter().enumerate() {
            let is_unchanged =
                old.owners.get(index).is_some_and(|before| before.epoch == owner.epoch);
            if !is_unchanged {
                self.acting_from[index] = if owner.handed_over { now } else { now + wait };
            }
        }
    }

    /// Returns whether a partition without an acting owner at `now` may soon have one again: either
    /// the row can be read, so that a change of owners may be in progress, or there is recent
    /// contact with all members, so that a lease that expired without a grant may be renewed.
    pub fn may_regain_lease(&self, now: Instant) -> bool {
        let limit = self.removal_limit();
        let others = self
            .last_contacts
            .iter()
            .filter(|(incarnation, _)| **incarnation != self.own.incarnation);
        let mut silences = others.map(|(_, contact)| now.saturating_duration_since(*contact));
        self.has_recent_read(now) || silences.all(|silence| silence <= limit)
    }

    /// Returns whether the row was read recently enough to treat the table service as reachable.
    pub fn has_recent_read(&self, now: Instant) -> bool {
        let freshness = self.map.timing.partition_lease().freshness;
        self.last_row_read.is_some_and(|read| now.saturating_duration_since(read) <= freshness)
    }

    /// Returns the maximum time from the crash of a member until new owners act for its partitions.
    pub fn takeover_limit(&self) -> Duration {
        self.removal_limit() + self.map.timing.partition_lease().takeover_wait() * 2
    }

    /// Returns how long a member may be without contact before it is removed.
    pub fn removal_limit(&self) -> Duration {
        self.map.timing.entry_beat() * HEARTBEATS_TO_REMOVE
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(incarnation: IncarnationId) -> EntryMember {
        EntryMember { id: format!("e{incarnation}"), incarnation, address: String::new() }
    }

    #[test]
    fn the_first_entry_acts_at_once_and_a_joining_entry_after_its_wait() {
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
    fn no_grant_is_given_while_a_change_may_take_effect() {
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
    fn in_an_outage_leases_may_be_regained_only_with_recent_contact_to_all_members() {
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
    fn a_removed_member_stops_acting_at_once() {
        let now = Instant::now();
        let mut view = ClusterView::new(member(1), now);
        let map = ClusterMap::default().with_member(member(1)).with_member(member(2));
        view.on_row(map.clone(), 1, now, now);
        view.adopt(map.without_members(&[1]), now);
        assert!(view.acting_partitions(now).is_empty());
    }
}
