//! Joins the cluster, keeps its map, and sends heartbeats to the other entries.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Context;
use kameo::message::Message;
use log::Level;
use tokio::time::timeout;

use crate::connection::cluster_map::CLUSTER_KEY;
use crate::connection::cluster_map::ClusterMap;
use crate::connection::cluster_map::EntryMember;
use crate::connection::map_change::ChangeResult;
use crate::connection::map_change::MapChange;
use crate::connection::protocol::EntryHeartbeat;
use crate::connection::protocol::JoinReply;
use crate::connection::rpc_client::call_within;
use crate::external::table::TableError;
use crate::external::table::TableTransaction;
use crate::external::write_budget::WritePriority;
use crate::process::clock;
use crate::process::entry::shared::EntryShared;
use crate::process::logging::log_event;
use crate::version::catalog::DocumentCatalog;

/// Longest wait for another entry's answer to a question about membership.
const MEMBER_CALL: Duration = Duration::from_millis(500);
/// Heartbeats for which no member answers before an entry joins without help.
const BEATS_ALONE: u32 = 10;
/// Longest time that leaving may take; after it the others remove this entry by themselves.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// Changes the cluster map on behalf of this entry, one change at a time.
#[derive(Actor)]
pub struct MembershipActor {
    shared: Arc<EntryShared>,
    /// Since when no member answers.
    alone_since: Option<Instant>,
}

/// Time for a look at the row.
pub struct MembershipTick;
/// Another entry asks to join.
pub struct AddMember(pub EntryMember);
/// This entry stops and hands its partitions over.
pub struct LeaveCluster;

impl MembershipActor {
    /// An actor for the entry of `shared`.
    pub fn new(shared: Arc<EntryShared>) -> MembershipActor {
        MembershipActor { shared, alone_since: None }
    }

    async fn tick(&mut self) {
        if !self.read_row().await {
            return;
        }
        self.shared.share_writes();
        if self.shared.is_draining() {
            return;
        }
        if self.shared.view().is_member() {
            let change = self.shared.view().plan_upkeep(clock::now());
            if let Some(change) = change {
                self.write(change, "map_upkeep").await;
            }
        } else {
            self.join().await;
            // A lease is valid only once a read of one's own names its holder.
            self.read_row().await;
        }
    }

    /// Reads the row; gives whether the table service answered.
    async fn read_row(&self) -> bool {
        let sent = clock::now();
        let row = match self.shared.table.get(CLUSTER_KEY).await {
            Ok(row) => row,
            Err(_) => return false,
        };
        let Some(row) = row else { return true };
        match row.decode::<ClusterMap>() {
            Ok(map) => self.shared.view().on_row(map, row.version, sent, clock::now()),
            Err(error) => {
                log_event(Level::Error, "row_malformed", &[("error", &error)]);
                return false;
            }
        }
        true
    }

    async fn join(&mut self) {
        let map = self.shared.view().map().clone();
        if self.join_through_member(&map).await {
            self.alone_since = None;
            return;
        }
        let own = self.shared.member.clone();
        let version = self.shared.view().row_version().unwrap_or(0);
        if self.are_gone(&map).await {
            // Grants of members that ended lapse within the wait that every takeover has.
            let mut base = ClusterMap { members: Vec::new(), ..map };
            if base.generation == 0 {
                base.timing = self.shared.settings.timing;
            }
            self.write(MapChange { version, map: base.with_member(own) }, "joined").await;
            return;
        }
        let alone_since = *self.alone_since.get_or_insert_with(clock::now);
        if clock::elapsed(alone_since) >= self.shared.beat_interval() * BEATS_ALONE {
            self.write(MapChange { version, map: map.with_sole_member(own) }, "joined_unaided")
                .await;
        }
    }

    async fn join_through_member(&self, map: &ClusterMap) -> bool {
        for member in &map.members {
            let Ok(client) = self.shared.entry_connections.client(&member.address).await else {
                continue;
            };
            let own = self.shared.member.clone();
            let reply = client.join(call_within(MEMBER_CALL), own).await;
            if let Ok(JoinReply::Joined(map)) = reply {
                log_event(Level::Info, "joined", &[("generation", &map.generation)]);
                self.shared.view().adopt(map, clock::now());
                return true;
            }
        }
        false
    }

    /// Whether all members have ended for certain.
    async fn are_gone(&self, map: &ClusterMap) -> bool {
        let gone = join_all(map.members.iter().map(|member| self.is_gone(member))).await;
        gone.into_iter().all(|is_gone| is_gone)
    }

    /// Whether another run of the entry answers at the member's address.
    async fn is_gone(&self, member: &EntryMember) -> bool {
        if member.address == self.shared.member.address {
            return true;
        }
        let Ok(client) = self.shared.entry_connections.client(&member.address).await else {
            return false;
        };
        let identity = client.identity(call_within(MEMBER_CALL)).await;
        identity.is_ok_and(|incarnation| incarnation != member.incarnation)
    }

    /// Writes a change of the map; gives whether it took effect.
    async fn write(&self, change: MapChange, event: &str) -> bool {
        self.shared.view().begin_change(&change);
        let mut transaction = TableTransaction::of(WritePriority::Lease);
        transaction.put(CLUSTER_KEY, change.version, &change.map);
        let result = match self.shared.table.commit(transaction).await {
            Ok(version) => ChangeResult::Written(version),
            Err(TableError::Ambiguous) => ChangeResult::Ambiguous,
            Err(_) => ChangeResult::Refused,
        };
        let generation = change.map.generation;
        let members = change.map.members.len();
        self.shared.view().end_change(change, result, clock::now());
        let pairs: [(&str, &dyn std::fmt::Display); 3] =
            [("generation", &generation), ("members", &members), ("result", &result_name(result))];
        log_event(Level::Info, event, &pairs);
        matches!(result, ChangeResult::Written(_))
    }
}

fn result_name(result: ChangeResult) -> &'static str {
    match result {
        ChangeResult::Written(_) => "written",
        ChangeResult::Refused => "refused",
        ChangeResult::Ambiguous => "ambiguous",
    }
}

impl Message<MembershipTick> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: MembershipTick, _: &mut Context<Self, ()>) {
        self.tick().await;
    }
}

impl Message<AddMember> for MembershipActor {
    type Reply = Option<ClusterMap>;

    async fn handle(
        &mut self,
        message: AddMember,
        _: &mut Context<Self, Option<ClusterMap>>,
    ) -> Option<ClusterMap> {
        if !self.read_row().await {
            return None;
        }
        let map = self.shared.view().map().clone();
        if map.has_member(message.0.incarnation) {
            return Some(map);
        }
        let change = self.shared.view().plan_join(message.0)?;
        let map = change.map.clone();
        self.write(change, "member_added").await.then_some(map)
    }
}

impl Message<LeaveCluster> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: LeaveCluster, _: &mut Context<Self, ()>) {
        let leave = async {
            loop {
                self.read_row().await;
                let Some(change) = self.shared.view().plan_leave() else {
                    return;
                };
                if self.write(change, "left").await {
                    return;
                }
                tokio::time::sleep(MEMBER_CALL / 4).await;
            }
        };
        if timeout(LEAVE_LIMIT, leave).await.is_err() {
            log_event(Level::Warn, "leave_timed_out", &[]);
        }
    }
}

/// Sends heartbeats and asks the actor for a look at the row, until the process ends.
pub fn spawn_beats(shared: Arc<EntryShared>, membership: ActorRef<MembershipActor>) {
    let beat_shared = shared.clone();
    tokio::spawn(async move {
        loop {
            beat_shared.beat_members();
            tokio::time::sleep(beat_shared.beat_interval()).await;
        }
    });
    tokio::spawn(async move {
        loop {
            // A full mailbox means that a look is due anyway.
            let _ = membership.tell(MembershipTick).await;
            tokio::time::sleep(shared.beat_interval()).await;
        }
    });
}

fn beat_of(shared: &EntryShared) -> EntryHeartbeat {
    let map_generation = shared.view().map().generation;
    EntryHeartbeat {
        member: shared.member.clone(),
        map_generation,
        generation: shared.with_catalog(DocumentCatalog::generation),
    }
}

impl EntryShared {
    /// Time between two heartbeats of this entry.
    pub fn beat_interval(&self) -> Duration {
        let view = self.view();
        if view.map().generation == 0 {
            return self.settings.timing.entry_beat();
        }
        view.map().timing.entry_beat()
    }

    /// Sends one heartbeat to each other member without waiting for the answers.
    pub fn beat_members(self: &Arc<Self>) {
        let beat = beat_of(self);
        let members = self.view().map().members.clone();
        for member in members {
            if member.incarnation != self.member.incarnation {
                let shared = self.clone();
                let beat = beat.clone();
                tokio::spawn(async move { shared.beat_member(&member, beat).await });
            } else {
                // An entry grants to itself under the same rules as to others.
                let sent = clock::now();
                let mut view = self.view();
                if view.may_grant(&entry_lease(&member), 0, beat.map_generation) {
                    view.on_grant(member.incarnation, sent);
                }
            }
        }
    }

    async fn beat_member(&self, member: &EntryMember, beat: EntryHeartbeat) {
        let sent = clock::now();
        let limit = self.view().removal_limit();
        let Ok(client) = self.entry_connections.client(&member.address).await else {
            return;
        };
        self.metrics.messages.with_label_values(&["entry_beat"]).inc();
        let Ok(reply) = client.entry_beat(call_within(limit), beat).await else {
            return;
        };
        let now = clock::now();
        if reply.generation > self.with_catalog(DocumentCatalog::generation) {
            self.catalog_news.notify_one();
        }
        let mut view = self.view();
        view.on_contact(reply.incarnation, now);
        if let Some(map) = reply.map {
            view.adopt(map, now);
        }
        if reply.granted {
            view.on_grant(reply.incarnation, sent);
        }
    }
}

/// Name of the lease by which an entry holds its partitions.
pub fn entry_lease(member: &EntryMember) -> String {
    format!("entry/{}", member.incarnation)
}
