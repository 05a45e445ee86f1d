//! The set of entries and the owners of partitions: one row of the table service.
//!
//! Members and owners stand in one row, so that one compare-and-swap removes a dead entry and
//! gives its partitions away, and one read keeps all leases of an entry fresh. The row's size
//! depends on the number of entries and partitions, never on that of workers.

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

/// Key of the row.
pub const CLUSTER_KEY: &str = "cluster";
/// Number of partitions of request ids and jobs; fixed for the life of a cluster.
pub const PARTITION_COUNT: PartitionId = 64;

/// One entry that takes part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryMember {
    /// Its name.
    pub id: EntryId,
    /// The run of the process that takes part.
    pub incarnation: IncarnationId,
    /// Address of its internal listener.
    pub address: String,
}

/// Who owns one partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionOwner {
    /// The owner's incarnation; zero when there is none.
    pub incarnation: IncarnationId,
    /// Epoch of the ownership; each change raises it.
    pub epoch: LeaseEpoch,
    /// Whether the owner before had stopped acting when it gave the partition away.
    pub handed_over: bool,
}

impl Default for PartitionOwner {
    /// A partition that nobody acts for.
    fn default() -> PartitionOwner {
        PartitionOwner { incarnation: 0, epoch: 0, handed_over: true }
    }
}

/// Time spans that all processes must agree on, in milliseconds; written by the first entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterTiming {
    /// Time between two heartbeats of an entry.
    pub entry_beat_millis: u64,
    /// Time between two heartbeats of an agent.
    pub agent_beat_millis: u64,
    /// How long leases may live on grants alone.
    pub longest_grant_only_millis: u64,
}

/// Heartbeats that may be lost before a lease lapses.
const BEATS_PER_LEASE: u32 = 4;
/// Highest difference in speed of two monotonic clocks, in parts per thousand.
const CLOCK_DRIFT_PER_MILLE: u32 = 10;

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
    /// Time between two heartbeats of an entry.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterTiming;
    ///
    /// assert_eq!(ClusterTiming::default().entry_beat().as_millis(), 500);
    /// ```
    pub fn entry_beat(&self) -> Duration {
        Duration::from_millis(self.entry_beat_millis)
    }

    /// Time between two heartbeats of an agent.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterTiming;
    ///
    /// assert_eq!(ClusterTiming::default().agent_beat().as_millis(), 2_000);
    /// ```
    pub fn agent_beat(&self) -> Duration {
        Duration::from_millis(self.agent_beat_millis)
    }

    /// Timing of the leases of partitions, held by entries.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterTiming;
    ///
    /// assert_eq!(ClusterTiming::default().partition_lease().grant.as_secs(), 2);
    /// ```
    pub fn partition_lease(&self) -> LeaseTiming {
        self.lease(self.entry_beat())
    }

    /// Timing of the leases of workers, held by agents.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterTiming;
    ///
    /// assert_eq!(ClusterTiming::default().worker_lease().grant.as_secs(), 8);
    /// ```
    pub fn worker_lease(&self) -> LeaseTiming {
        self.lease(self.agent_beat())
    }

    fn lease(&self, beat: Duration) -> LeaseTiming {
        LeaseTiming {
            freshness: beat * BEATS_PER_LEASE,
            grant: beat * BEATS_PER_LEASE,
            longest_grant_only: Duration::from_millis(self.longest_grant_only_millis),
            drift_per_mille: CLOCK_DRIFT_PER_MILLE,
        }
    }
}

/// Members and owners under one generation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterMap {
    /// Raised by each change of the map.
    pub generation: u64,
    /// Generation of the newest change that was made without any member's help; zero for none.
    pub unaided_generation: u64,
    /// Time spans that all processes go by.
    pub timing: ClusterTiming,
    /// All entries that may take a lease over.
    pub members: Vec<EntryMember>,
    /// Owner of each partition.
    pub owners: Vec<PartitionOwner>,
}

impl ClusterMap {
    /// The map with `member` added, in place of an earlier run of the same entry, and with the
    /// partitions spread evenly.
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

    /// The map with `member` alone, written while no other member answers. Those may be alive and
    /// cut off, so that nobody acts on this map before leases on their grants have lapsed.
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

    /// The map without the entries of the given incarnations.
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

    /// The map without a member that has stopped acting for its partitions.
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

    /// Whether an incarnation takes part.
    ///
    /// ```
    /// use greengagearch::connection::cluster_map::ClusterMap;
    ///
    /// assert!(!ClusterMap::default().has_member(1));
    /// ```
    pub fn has_member(&self, incarnation: IncarnationId) -> bool {
        self.members.iter().any(|member| member.incarnation == incarnation)
    }

    /// Partitions of an incarnation, with the epoch of each ownership.
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

    /// The member that owns a partition.
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
        map.spread_partitions();
        map
    }

    /// Moves as few partitions as needed until no member has two more than another.
    fn spread_partitions(&mut self) {
        let mut counts: BTreeMap<IncarnationId, usize> =
            self.members.iter().map(|member| (member.incarnation, 0)).collect();
        if counts.is_empty() {
            return;
        }
        let share = self.owners.len().div_ceil(counts.len());
        let mut homeless = Vec::new();
        for (index, owner) in self.owners.iter().enumerate() {
            match counts.get_mut(&owner.incarnation) {
                Some(count) if *count < share => *count += 1,
                _ => homeless.push(index),
            }
        }
        for index in homeless {
            let least = counts.iter_mut().min_by_key(|(_, count)| **count);
            let Some((incarnation, count)) = least else {
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

/// Partition of a request id.
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

/// Partition of a team's jobs: one owner sees all of a team's work, so that its quota is exact.
///
/// ```
/// use greengagearch::connection::cluster_map::partition_of_team;
///
/// assert_eq!(partition_of_team("planning"), partition_of_team("planning"));
/// ```
pub fn partition_of_team(team: &str) -> PartitionId {
    partition_of(team.as_bytes())
}

/// Partition whose owner looks after a worker.
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
    fn a_join_moves_only_what_the_joiner_gets() {
        let two = ClusterMap::default().with_member(member(1)).with_member(member(2));
        let three = two.with_member(member(3));
        let moved = two.owners.iter().zip(&three.owners).filter(|(old, new)| old != new).count();
        assert_eq!(moved, three.owned_by(3).len());
        assert!(three.owned_by(3).len() >= 20);
    }

    #[test]
    fn a_removal_raises_the_epoch_of_what_moved() {
        let two = ClusterMap::default().with_member(member(1)).with_member(member(2));
        let one = two.without_members(&[2]);
        for (partition, epoch) in two.owned_by(2) {
            assert!(one.owners[partition as usize].epoch > epoch);
        }
        assert_eq!(one.owned_by(1).len(), PARTITION_COUNT as usize);
    }

    #[test]
    fn only_what_a_stopped_owner_gave_away_is_handed_over() {
        let two = ClusterMap::default().with_member(member(1)).with_member(member(2));
        let left = two.handed_over_by(2);
        for (before, after) in two.owners.iter().zip(&left.owners) {
            assert_eq!(after.handed_over, before.incarnation == 2 || before.handed_over);
        }
        let died = left.with_member(member(3)).without_members(&[1]);
        let moved = died.owners.iter().zip(&left.owners).filter(|(now, then)| now != then);
        assert!(moved.count() > 0);
        assert!(died.owners.iter().all(|owner| !owner.handed_over || owner.epoch <= 2));
    }

    #[test]
    fn the_last_member_hands_over_to_whoever_comes() {
        let none = ClusterMap::default().with_member(member(1)).handed_over_by(1);
        assert!(none.members.is_empty());
        let next = none.with_member(member(2));
        assert!(next.owners.iter().all(|owner| owner.handed_over && owner.incarnation == 2));
    }

    #[test]
    fn a_new_run_of_an_entry_replaces_the_old_one() {
        let first = ClusterMap::default().with_member(member(1));
        let mut again = member(9);
        again.id = "e1".to_string();
        let second = first.with_member(again);
        assert!(!second.has_member(1));
        assert_eq!(second.owned_by(9).len(), PARTITION_COUNT as usize);
    }
}
