//! The messages between the system's own processes, and their services.
//!
//! Sizes do not depend on the cluster's size, but for the cluster map (entries only) and the
//! documents, which are sent when they changed. `group` names the group of workers a heartbeat
//! speaks for; today's groups are the failure domains and each agent speaks for itself.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::connection::cluster_map::ClusterMap;
use crate::connection::cluster_map::EntryMember;
use crate::external::worker::ResourceAmount;
use crate::ids::BodyDigest;
use crate::ids::DomainName;
use crate::ids::EndpointId;
use crate::ids::GenerationNumber;
use crate::ids::IncarnationId;
use crate::ids::JobId;
use crate::ids::LeaseEpoch;
use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::ids::WorkerId;
use crate::process::interference::InterferenceSample;
use crate::process::interference::KindName;
use crate::request::outcome::RequestOutcome;
use crate::request::pool_endpoint::EndpointLoad;
use crate::request::pool_endpoint::EndpointReport;
use crate::request::request_journal::SettleAnswer;
use crate::version::catalog::DocumentSet;

/// A heartbeat of an agent, which asks for a grant too.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// The worker.
    pub worker: WorkerId,
    /// The run of its agent.
    pub incarnation: IncarnationId,
    /// Position among the heartbeats of this run. The state in a heartbeat is no older than that in any
    /// with a smaller number; heartbeats may overtake each other.
    pub number: u64,
    /// Epoch of the worker's lease as the agent knows it; zero before it has one.
    pub epoch: LeaseEpoch,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Group that the heartbeat speaks for.
    pub group: DomainName,
    /// Address of the agent's internal listener.
    pub address: String,
    /// Generation of the cluster map that the agent knows.
    pub map_generation: u64,
    /// Generation of the cluster map that the worker's lease relies on.
    pub lease_generation: u64,
    /// Generation of the documents in force at the agent.
    pub generation: GenerationNumber,
    /// Whether the agent may take non-idempotent requests.
    pub registered: bool,
    /// Its endpoints.
    pub endpoints: Vec<EndpointReport>,
    /// New samples of how long requests took beside which tasks; a bounded number.
    pub samples: Vec<InterferenceSample>,
}

/// A learned slowdown that an entry tells an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindSlowdown {
    /// The service.
    pub service: ServiceName,
    /// Kind of the tasks beside it.
    pub kind: KindName,
    /// Expected slowdown by one task.
    pub slowdown: f64,
}

/// A heartbeat of an entry to another, which asks for a grant too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// The sender.
    pub member: EntryMember,
    /// Generation of the cluster map that the sender knows.
    pub map_generation: u64,
    /// Generation of the documents in force at the sender.
    pub generation: GenerationNumber,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The answering entry's incarnation.
    pub incarnation: IncarnationId,
    /// Whether it promises to take the sender's leases over not before the grant has passed.
    pub granted: bool,
    /// Generation of the documents in force at the entry.
    pub generation: GenerationNumber,
    /// The cluster map, when the sender knows an older one.
    pub map: Option<ClusterMap>,
    /// What is known of the pairs in the sender's samples.
    pub slowdowns: Vec<KindSlowdown>,
}

/// A new agent's request for its worker's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerClaim {
    /// The worker.
    pub worker: WorkerId,
    /// The run of the agent.
    pub incarnation: IncarnationId,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Rack of the worker.
    pub rack: String,
    /// Address of the agent's internal listener.
    pub address: String,
    /// What the worker has.
    pub capacity: ResourceAmount,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The lease is the agent's, which acts after the wait.
    Claimed {
        /// Epoch of the lease.
        epoch: LeaseEpoch,
        /// Time to wait from the receipt of this answer.
        wait: Duration,
    },
    /// Not now; ask again, or ask another entry.
    Later,
}

/// The answer to a request to join.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinReply {
    /// The sender is a member of this map.
    Joined(ClusterMap),
    /// Not now; this entry cannot change the map.
    Later,
}

/// A request on its way through the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRequest {
    /// Its id.
    pub id: RequestId,
    /// The service.
    pub service: ServiceName,
    /// Who sent it.
    pub caller: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time left until its deadline when this message was sent.
    pub time_left: Duration,
    /// Media type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Digest of the body, taken where it was received from the caller.
    pub digest: BodyDigest,
}

/// What a request's way through the system was like, for the burn report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestTrace {
    /// Time that it waited for slots.
    pub queued: Duration,
    /// Worker of the endpoint that it was last sent to.
    pub worker: Option<WorkerId>,
}

/// How a request ended, and its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TracedOutcome {
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Its way.
    pub trace: RequestTrace,
}

impl From<RequestOutcome> for TracedOutcome {
    fn from(outcome: RequestOutcome) -> TracedOutcome {
        TracedOutcome { outcome, trace: RequestTrace::default() }
    }
}

/// An entry's order to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchOrder {
    /// The request.
    pub request: ServiceRequest,
    /// The endpoint that shall run it.
    pub endpoint: EndpointId,
    /// The run of the agent that the order is meant for.
    pub incarnation: IncarnationId,
    /// Epoch at which the sender owns the id's partition; zero for idempotent requests.
    pub epoch: LeaseEpoch,
    /// Time for which the agent remembers ids of the service.
    pub window: Duration,
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchReply {
    /// How the request ended.
    pub outcome: RequestOutcome,
    /// What the endpoint runs and may run; nothing when the agent does not know it.
    pub load: Option<EndpointLoad>,
}

/// A question about an id that an earlier owner may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleQuery {
    /// The id.
    pub id: RequestId,
    /// Epoch at which the asking entry owns the id's partition.
    pub epoch: LeaseEpoch,
    /// Time for which ids of the service are remembered.
    pub window: Duration,
}

/// The queue of one team, as the entry that schedules it knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamQueue {
    /// The team.
    pub team: TeamName,
    /// Tasks that wait for a worker.
    pub queued: u32,
    /// Those of them that are urgent.
    pub urgent: u32,
    /// Tasks that are committed on a worker.
    pub running: u32,
    /// How long the oldest waiting task has waited.
    pub longest_wait: Duration,
}

/// What an entry tells of itself and of the processes it hears from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessReport {
    /// Name of the process.
    pub id: String,
    /// Whether it is an entry, else an agent.
    pub is_entry: bool,
    /// Generation in force there when it was last heard of.
    pub generation: GenerationNumber,
    /// Failure domain, as far as known.
    pub domain: DomainName,
}

/// Services that entries offer to other processes of the system.
#[tarpc::service]
pub trait EntryRpc {
    /// Takes in an agent's heartbeat.
    async fn agent_beat(beat: AgentHeartbeat) -> HeartbeatReply;
    /// Takes in another entry's heartbeat.
    async fn entry_beat(beat: EntryHeartbeat) -> HeartbeatReply;
    /// The incarnation of the process at this address.
    async fn identity() -> IncarnationId;
    /// Adds an entry to the cluster map.
    async fn join(member: EntryMember) -> JoinReply;
    /// Gives a worker's lease to a new agent.
    async fn claim_worker(claim: WorkerClaim) -> ClaimReply;
    /// Runs a request as the owner of its partition.
    async fn forward(request: ServiceRequest) -> TracedOutcome;
    /// The cluster map as this entry knows it.
    async fn cluster() -> ClusterMap;
    /// The documents that changed after a generation, under the generation in force.
    async fn documents(since: GenerationNumber) -> DocumentSet;
    /// How long ago the entry heard of a worker's agent; nothing when it never did.
    async fn time_since_contact(worker: WorkerId) -> Option<Duration>;
    /// The queues of the teams whose partitions this entry acts for.
    async fn team_queues() -> Vec<TeamQueue>;
    /// Says that a job was submitted or cancelled.
    async fn job_changed(job: JobId);
    /// Says that tasks of these jobs ended on a worker.
    async fn tasks_ended(worker: WorkerId, jobs: Vec<JobId>);
}

/// Services that agents offer to entries.
#[tarpc::service]
pub trait AgentRpc {
    /// Runs a request on an endpoint.
    async fn dispatch(order: DispatchOrder) -> DispatchReply;
    /// Tells what became of an id, and refuses it from now on when it never came.
    async fn settle(question: SettleQuery) -> SettleAnswer;
    /// Says that the worker's row has changed.
    async fn row_changed();
    /// Says that documents of this generation are in force at the caller.
    async fn documents_changed(generation: GenerationNumber);
}
