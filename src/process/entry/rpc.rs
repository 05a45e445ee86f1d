//! The calls that an entry serves for other processes of the system.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;

use crate::connection::cluster_map::ClusterMap;
use crate::connection::cluster_map::EntryMember;
use crate::connection::protocol::AgentHeartbeat;
use crate::connection::protocol::ClaimReply;
use crate::connection::protocol::EntryHeartbeat;
use crate::connection::protocol::EntryRpc;
use crate::connection::protocol::HeartbeatReply;
use crate::connection::protocol::JoinReply;
use crate::connection::protocol::ServiceRequest;
use crate::connection::protocol::TeamQueue;
use crate::connection::protocol::TracedOutcome;
use crate::connection::protocol::WorkerClaim;
use crate::connection::rpc_client::framed;
use crate::connection::worker_row::worker_key;
use crate::ids::GenerationNumber;
use crate::ids::IncarnationId;
use crate::ids::JobId;
use crate::ids::LeaseEpoch;
use crate::ids::WorkerId;
use crate::process::clock;
use crate::process::entry::broker;
use crate::process::entry::membership::AddMember;
use crate::process::entry::membership::MembershipActor;
use crate::process::entry::membership::entry_lease;
use crate::process::entry::process_news::AgentNews;
use crate::process::entry::scheduler::SchedulerActor;
use crate::process::entry::scheduler::SchedulerNews;
use crate::process::entry::shared::EntryShared;
use crate::process::rpc_server::spawn_rpc_server;
use crate::request::outcome::RequestOutcome;
use crate::request::outcome::UnknownReason;
use crate::request::pool_endpoint::AgentLocation;
use crate::version::catalog::DocumentCatalog;
use crate::version::catalog::DocumentSet;

#[derive(Clone)]
struct EntryServer {
    shared: Arc<EntryShared>,
    membership: ActorRef<MembershipActor>,
    scheduler: ActorRef<SchedulerActor>,
}

/// What a heartbeat asks a grant for.
struct GrantRequest<'a> {
    /// Name of the lease.
    lease: &'a str,
    /// Epoch of the lease.
    epoch: LeaseEpoch,
    /// Generation of the cluster map that the lease relies on.
    generation: u64,
}

/// Serves calls on `listener` until the process ends.
pub fn spawn_entry_rpc(
    listener: TcpListener,
    shared: Arc<EntryShared>,
    membership: ActorRef<MembershipActor>,
    scheduler: ActorRef<SchedulerActor>,
) {
    let server = EntryServer { shared, membership, scheduler };
    spawn_rpc_server(listener, move |stream| {
        BaseChannel::with_defaults(framed(stream)).execute(server.clone().serve())
    });
}

impl EntryServer {
    fn reply(
        &self,
        request: &GrantRequest<'_>,
        map_generation: u64,
        generation: GenerationNumber,
    ) -> HeartbeatReply {
        let own_generation = self.shared.with_catalog(DocumentCatalog::generation);
        if generation > own_generation {
            self.shared.catalog_news.notify_one();
        }
        let view = self.shared.view();
        let is_behind = map_generation < view.map().generation;
        HeartbeatReply {
            incarnation: self.shared.member.incarnation,
            granted: view.may_grant(request.lease, request.epoch, request.generation),
            generation: own_generation,
            map: is_behind.then(|| view.map().clone()),
            slowdowns: Vec::new(),
        }
    }

    /// Records what a heartbeat tells of its agent; gives whether it is the newest of the
    /// agent's newest run.
    fn take_news(&self, beat: &AgentHeartbeat, place: &AgentLocation) -> bool {
        let mut news = AgentNews {
            place: place.clone(),
            number: beat.number,
            address: beat.address.clone(),
            epoch: beat.epoch,
            generation: beat.generation,
            registered: beat.registered,
            kinds: beat.samples.last().map(|sample| sample.kinds.clone()).unwrap_or_default(),
            services: beat.endpoints.iter().map(|one| one.service.clone()).collect(),
            heard: clock::now(),
        };
        let mut agents = self.shared.agents();
        if let Some(known) = agents.get(&beat.worker) {
            if !news.replaces(known) {
                return false;
            }
            if beat.samples.is_empty() {
                news.kinds.clone_from(&known.kinds);
            }
            if known.place.incarnation != beat.incarnation {
                self.shared.agent_connections.drop_client(&known.address);
            }
        }
        agents.insert(beat.worker.clone(), news);
        true
    }
}

impl EntryRpc for EntryServer {
    async fn agent_beat(self, _: Context, beat: AgentHeartbeat) -> HeartbeatReply {
        let place = AgentLocation {
            worker: beat.worker.clone(),
            incarnation: beat.incarnation,
            domain: beat.domain.clone(),
        };
        if self.take_news(&beat, &place) {
            self.shared.pools.on_report(&place, &beat.endpoints);
        }
        let lease = worker_key(&beat.worker);
        let request =
            GrantRequest { lease: &lease, epoch: beat.epoch, generation: beat.lease_generation };
        let mut reply = self.reply(&request, beat.map_generation, beat.generation);
        reply.slowdowns = self.shared.learn(&beat.samples);
        reply
    }

    async fn entry_beat(self, _: Context, beat: EntryHeartbeat) -> HeartbeatReply {
        let now = clock::now();
        self.shared.on_peer_beat(&beat, now);
        self.shared.view().on_contact(beat.member.incarnation, now);
        let lease = entry_lease(&beat.member);
        let request = GrantRequest { lease: &lease, epoch: 0, generation: beat.map_generation };
        self.reply(&request, beat.map_generation, beat.generation)
    }

    async fn identity(self, _: Context) -> IncarnationId {
        self.shared.member.incarnation
    }

    async fn join(self, _: Context, member: EntryMember) -> JoinReply {
        match self.membership.ask(AddMember(member)).await {
            Ok(Some(map)) => JoinReply::Joined(map),
            _ => JoinReply::Later,
        }
    }

    async fn claim_worker(self, _: Context, claim: WorkerClaim) -> ClaimReply {
        self.shared.claim_worker(claim).await
    }

    async fn forward(self, _: Context, request: ServiceRequest) -> TracedOutcome {
        // A task of its own: the call ends with the sender's patience, the request must not.
        let run = tokio::spawn(broker::run_as_owner(self.shared, request));
        run.await.unwrap_or(RequestOutcome::Unknown(UnknownReason::AnswerLost).into())
    }

    async fn cluster(self, _: Context) -> ClusterMap {
        self.shared.view().map().clone()
    }

    async fn documents(self, _: Context, since: GenerationNumber) -> DocumentSet {
        self.shared.with_catalog(|catalog| catalog.changed_since(since))
    }

    async fn time_since_contact(self, _: Context, worker: WorkerId) -> Option<Duration> {
        self.shared.agents().get(&worker).map(|agent| clock::elapsed(agent.heard))
    }

    async fn team_queues(self, _: Context) -> Vec<TeamQueue> {
        self.shared.queues()
    }

    async fn job_changed(self, _: Context, job: JobId) {
        // A full mailbox means that a look is due anyway.
        let _ = self.scheduler.tell(SchedulerNews::JobChanged(job)).await;
    }

    async fn tasks_ended(self, _: Context, worker: WorkerId, jobs: Vec<JobId>) {
        // A full mailbox means that a look is due anyway.
        let _ = self.scheduler.tell(SchedulerNews::TasksEnded { worker, jobs }).await;
    }
}
