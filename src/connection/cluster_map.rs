//! The cluster map: the member entries and the owner of each partition, stored as one row of the
//! table service.
//!
//! Members and owners share one row so that a single compare-and-swap both removes a dead entry
//! and reassigns its partitions, and a single read renews all partition leases of an entry. The
//! size of the row depends on the number of entries and partitions, not on the number of workers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::connection::lease::LeaseTiming;
use crate::ids::EntryId;
use crate::ids::IncarnationId;
use crate::ids::LeaseEpoch;
use crate::ids::PartitionId;

/// Key of the cluster map's row in the table service.
pub const CLUSTER_KEY: &str = "cluster";
/// Number of partitions of request ids, jobs and workers. Partitions are computed from hashes
/// modulo this number, so it cannot change during the lifetime of a cluster.
pub const PARTITION_COUNT: PartitionId = 64;

/// An entry process that is a member of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryMember {
    /// Name of the entry.
    pub id: EntryId,
    /// Incarnation (process run) of the entry that is the member.
    pub incarnation: IncarnationId,
    /// Address of the entry's internal listener.
    pub address: String,
}

/// Ownership of one partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionOwner {
    /// Incarnation of the owner; zero if the partition has no owner.
    pub incarnation: IncarnationId,
    /// Epoch of the ownership; incremented each time the owner changes.
    pub epoch: LeaseEpoch,
    /// Whether the previous owner had stopped acting for the partition when the ownership changed,
    /// so that the new owner can act without waiting for its lease to expire.
    pub handed_over: bool,
}

impl Default for PartitionOwner {
    /// A partition without an owner, which its first owner can act for at once.
    fn default() -> PartitionOwner {
        PartitionOwner { incarnation: 0, epoch: 0, handed_over: true }
    }
}

/// Durations in milliseconds that all processes must agree on. The first entry of the cluster
/// writes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterTiming {
    /// Heartbeat interval of entries.
    pub entry_beat_millis: u64,
    /// Heartbeat interval of agents.
    pub agent_beat_millis: u64,
    /// How long grants alone, without a read of the lease's row, may keep a lease valid.
    pub longest_grant_only_millis: u64,
}

/// Validity of a lease after a read or a grant, in heartbeat intervals.
const HEARTBEATS_PER_LEASE: u32 = 4;
/// Maximum difference in rate between two monotonic clocks, in parts per thousand.
const MAX_CLOCK_DRIFT_PER_MILLE: u32 = 10;

impl Default for ClusterTiming {
    fn default() -> ClusterTiming {
        ClusterTiming {
            entry_beat_millis: 500,
            agent_beat_millis: 2_000,
            longest_grant_only_millis: 900_000,
        }
    }
}

impl ClusterTiming {
    /// Heartbeat interval of entries.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterTiming;
    ///
    /// assert_eq!(ClusterTiming::default().entry_beat().as_millis(), 500);
    /// ```
    pub fn entry_beat(&self) -> Duration {
        Duration::from_millis(self.entry_beat_millis)
    }

    /// Heartbeat interval of agents.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterTiming;
    ///
    /// assert_eq!(ClusterTiming::default().agent_beat().as_millis(), 2_000);
    /// ```
    pub fn agent_beat(&self) -> Duration {
        Duration::from_millis(self.agent_beat_millis)
    }

    /// Timing of partition leases, which entries hold.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterTiming;
    ///
    /// assert_eq!(ClusterTiming::default().partition_lease().grant.as_secs(), 2);
    /// ```
    pub fn partition_lease(&self) -> LeaseTiming {
        self.lease(self.entry_beat())
    }

    /// Timing of worker leases, which agents hold.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterTiming;
    ///
    /// assert_eq!(ClusterTiming::default().worker_lease().grant.as_secs(), 8);
    /// ```
    pub fn worker_lease(&self) -> LeaseTiming {
        self.lease(self.agent_beat())
    }

    fn lease(&self, heartbeat: Duration) -> LeaseTiming {
        LeaseTiming {
            freshness: heartbeat * HEARTBEATS_PER_LEASE,
            grant: heartbeat * HEARTBEATS_PER_LEASE,
            longest_grant_only: Duration::from_millis(self.longest_grant_only_millis),
            drift_per_mille: MAX_CLOCK_DRIFT_PER_MILLE,
        }
    }
}

/// Members of the cluster and owners of its partitions, as of one generation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterMap {
    /// Number of the map's version; each change increments it.
    pub generation: u64,
    /// Generation of the newest change that an entry wrote without the cooperation of any member
    /// (see [`ClusterMap::with_sole_member`]); zero if there was none.
    pub unaided_generation: u64,
    /// Heartbeat and lease durations that all processes use.
    pub timing: ClusterTiming,
    /// All entries that may own partitions and take over leases.
    pub members: Vec<EntryMember>,
    /// Owner of each partition, indexed by partition.
    pub owners: Vec<PartitionOwner>,
}

impl ClusterMap {
    /// Returns the map with `member` added and the partitions rebalanced. `member` replaces an
    /// earlier incarnation of the same entry.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterMap;
    /// use greengagearch::connection::cluster_map::EntryMember;
    ///
    /// let first = EntryMember { id: "a".into(), incarnation: 1, address: "127.0.0.1:1".into() };
    /// let map = ClusterMap::default().with_member(first);
    /// assert_eq!(map.generation, 1);
    /// assert_eq!(map.owned_by(1).len(), 64);
    /// ```
    pub fn with_member(&self, member: EntryMember) -> ClusterMap {
        let mut members = self.members.clone();
        members.retain(|known| known.id != member.id);
        members.push(member);
        self.with_members(members)
    }

    /// Returns the map with `member` as its only member, for an entry that joins while no member
    /// responds. The removed members may be alive but partitioned from the network, so no entry
    /// acts on this map until the leases that rely on their grants have expired.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterMap;
    /// use greengagearch::connection::cluster_map::EntryMember;
    ///
    /// let own = EntryMember { id: "a".into(), incarnation: 1, address: "127.0.0.1:1".into() };
    /// assert_eq!(ClusterMap::default().with_sole_member(own).unaided_generation, 1);
    /// ```
    pub fn with_sole_member(&self, member: EntryMember) -> ClusterMap {
        let mut map = self.with_members(vec![member]);
        map.unaided_generation = map.generation;
        map
    }

    /// Returns the map without the given incarnations, with their partitions reassigned.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterMap;
    ///
    /// assert_eq!(ClusterMap::default().without_members(&[1]).members.len(), 0);
    /// ```
    pub fn without_members(&self, incarnations: &[IncarnationId]) -> ClusterMap {
        let mut members = self.members.clone();
        members.retain(|known| !incarnations.contains(&known.incarnation));
        self.with_members(members)
    }

    /// Returns the map without a member that has stopped acting for its partitions, so that their
    /// new owners can act at once.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterMap;
    ///
    /// assert_eq!(ClusterMap::default().handed_over_by(1).generation, 1);
    /// ```
    pub fn handed_over_by(&self, incarnation: IncarnationId) -> ClusterMap {
        let mut map = self.without_members(&[incarnation]);
        for (before, after) in self.owners.iter().zip(&mut map.owners) {
            if before.incarnation == incarnation {
                let next = if map.members.is_empty() { 0 } else { after.incarnation };
                let epoch = after.epoch;
                *after = PartitionOwner { incarnation: next, epoch, handed_over: true };
            }
        }
        map
    }

    /// Returns whether an incarnation is a member.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterMap;
    ///
    /// assert!(!ClusterMap::default().has_member(1));
    /// ```
    pub fn has_member(&self, incarnation: IncarnationId) -> bool {
        self.members.iter().any(|member| member.incarnation == incarnation)
    }

    /// Returns the partitions that an incarnation owns, with the epoch of each ownership.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterMap;
    ///
    /// assert!(ClusterMap::default().owned_by(1).is_empty());
    /// ```
    pub fn owned_by(&self, incarnation: IncarnationId) -> BTreeMap<PartitionId, LeaseEpoch> {
        let owners = (0..).zip(&self.owners);
        let owned = owners.filter(|(_, owner)| owner.incarnation == incarnation);
        owned.map(|(partition, owner)| (partition, owner.epoch)).collect()
    }

    /// Returns the member that owns a partition.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterMap;
    ///
    /// assert!(ClusterMap::default().owner_of(0).is_none());
    /// ```
    pub fn owner_of(&self, partition: PartitionId) -> Option<&EntryMember> {
        let owner = self.owners.get(partition as usize)?;
        self.members.iter().find(|member| member.incarnation == owner.incarnation)
    }

    fn with_members(&self, members: Vec<EntryMember>) -> ClusterMap {
        let mut map = ClusterMap {
            generation: self.generation + 1,
            unaided_generation: self.unaided_generation,
            timing: self.timing,
            members,
            owners: self.owners.clone(),
        };
        map.owners.resize(PARTITION_COUNT as usize, PartitionOwner::default());
        map.rebalance_partitions();
        map
    }

    /// Reassigns the partitions whose owner is not a member or owns more than its share. Each goes
    /// to the member that owns the fewest; all other partitions keep their owner.
    fn rebalance_partitions(&mut self) {
        let mut counts: BTreeMap<IncarnationId, usize> =
            self.members.iter().map(|member| (member.incarnation, 0)).collect();
        if counts.is_empty() {
            return;
        }
        let share = self.owners.len().div_ceil(counts.len());
        let mut unassigned = Vec::new();
        for (index, owner) in self.owners.iter().enumerate() {
            match counts.get_mut(&owner.incarnation) {
                Some(count) if *count < share => *count += 1,
                _ => unassigned.push(index),
            }
        }
        for index in unassigned {
            let least_loaded = counts.iter_mut().min_by_key(|(_, count)| **count);
            let Some((incarnation, count)) = least_loaded else {
                return;
            };
            *count += 1;
            let owner = &mut self.owners[index];
            owner.handed_over &= owner.incarnation == 0;
            owner.incarnation = *incarnation;
            owner.epoch += 1;
        }
    }
}

/// Returns the partition of a request id.
///
/// ```
/// use greengagearch::connection::cluster_map::PARTITION_COUNT;
/// use greengagearch::connection::cluster_map::partition_of_request;
///
/// assert!(partition_of_request(&uuid::Uuid::now_v7()) < PARTITION_COUNT);
/// ```
pub fn partition_of_request(id: &Uuid) -> PartitionId {
    partition_of(id.as_bytes())
}

/// Returns the partition of a team's jobs. All jobs of a team are in one partition, so that its
/// owner can enforce the team's quota exactly.
///
/// ```
/// use greengagearch::connection::cluster_map::partition_of_team;
///
/// assert_eq!(partition_of_team("planning"), partition_of_team("planning"));
/// ```
pub fn partition_of_team(team: &str) -> PartitionId {
    partition_of(team.as_bytes())
}

/// Returns the partition whose owner is responsible for a worker.
///
/// ```
/// use greengagearch::connection::cluster_map::partition_of_worker;
///
/// assert_eq!(partition_of_worker("w1"), partition_of_worker("w1"));
/// ```
pub fn partition_of_worker(worker: &str) -> PartitionId {
    partition_of(worker.as_bytes())
}

fn partition_of(bytes: &[u8]) -> PartitionId {
    (xxh3_64(bytes) % u64::from(PARTITION_COUNT)) as PartitionId
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(incarnation: IncarnationId) -> EntryMember {
        EntryMember { id: format!("e{incarnation}"), incarnation, address: String::new() }
    }

    #[test]
    fn a_join_moves_only_the_partitions_of_the_new_member() {
        let two = ClusterMap::default().with_member(member(1)).with_member(member(2));
        let three = two.with_member(member(3));
        let moved = two.owners.iter().zip(&three.owners).filter(|(old, new)| old != new).count();
        assert_eq!(moved, three.owned_by(3).len());
        assert!(three.owned_by(3).len() >= 20);
    }

    #[test]
    fn a_removal_raises_the_epochs_of_the_moved_partitions() {
        let two = ClusterMap::default().with_member(member(1)).with_member(member(2));
        let one = two.without_members(&[2]);
        for (partition, epoch) in two.owned_by(2) {
            assert!(one.owners[partition as usize].epoch > epoch);
        }
        assert_eq!(one.owned_by(1).len(), PARTITION_COUNT as usize);
    }

    #[test]
    fn only_partitions_of_a_stopped_owner_are_handed_over() {
        let two = ClusterMap::default().with_member(member(1)).with_member(member(2));
        let after_leave = two.handed_over_by(2);
        for (before, after) in two.owners.iter().zip(&after_leave.owners) {
            assert_eq!(after.handed_over, before.incarnation == 2 || before.handed_over);
        }
        let after_death = after_leave.with_member(member(3)).without_members(&[1]);
        let moved =
            after_death.owners.iter().zip(&after_leave.owners).filter(|(now, then)| now != then);
        assert!(moved.count() > 0);
        assert!(after_death.owners.iter().all(|owner| !owner.handed_over || owner.epoch <= 2));
    }

    #[test]
    fn the_last_member_hands_over_to_the_next_one_that_joins() {
        let none = ClusterMap::default().with_member(member(1)).handed_over_by(1);
        assert!(none.members.is_empty());
        let next = none.with_member(member(2));
        assert!(next.owners.iter().all(|owner| owner.handed_over && owner.incarnation == 2));
    }

    #[test]
    fn a_new_incarnation_of_an_entry_replaces_the_old_one() {
        let first = ClusterMap::default().with_member(member(1));
        let mut restarted = member(9);
        restarted.id = "e1".to_string();
        let second = first.with_member(restarted);
        assert!(!second.has_member(1));
        assert_eq!(second.owned_by(9).len(), PARTITION_COUNT as usize);
    }
}
