//! RPC services and messages between entries and agents.
//!
//! The size of a message does not depend on the size of the cluster, except for the cluster map,
//! which grows with the number of entries and partitions, and the documents, of which only changed
//! ones are sent.

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

/// Heartbeat of an agent to an entry, which is also a request for a grant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// Worker of the agent.
    pub worker: WorkerId,
    /// Incarnation of the agent.
    pub incarnation: IncarnationId,
    /// Sequence number within the incarnation. Heartbeats may arrive out of order; one with a
    /// higher number never has older state than one with a lower number.
    pub number: u64,
    /// Epoch of the worker's lease as known to the agent; zero before it has a lease.
    pub epoch: LeaseEpoch,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Group of workers that the heartbeat belongs to: currently the failure domain of the worker.
    /// Each agent reports only on its own worker.
    pub group: DomainName,
    /// Address of the agent's internal listener.
    pub address: String,
    /// Generation of the cluster map known to the agent.
    pub map_generation: u64,
    /// Generation of the cluster map that the worker's lease relies on.
    pub lease_generation: u64,
    /// Generation of the documents in effect at the agent.
    pub generation: GenerationNumber,
    /// Whether the agent may accept non-idempotent requests.
    pub registered: bool,
    /// Reports on the endpoints that are announced to the agent.
    pub endpoints: Vec<EndpointReport>,
    /// New samples of response times with the tasks that ran on the worker at the time. Their
    /// number is bounded.
    pub samples: Vec<InterferenceSample>,
}

/// Learned slowdown of a service by tasks of one kind, which an entry sends to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindSlowdown {
    /// Service that is slowed down.
    pub service: ServiceName,
    /// Kind of the tasks that run on the same worker.
    pub kind: KindName,
    /// Expected slowdown caused by one task.
    pub slowdown: f64,
}

/// Heartbeat of an entry to another entry, which is also a request for a grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// Entry that sends the heartbeat.
    pub member: EntryMember,
    /// Generation of the cluster map known to the sender.
    pub map_generation: u64,
    /// Generation of the documents in effect at the sender.
    pub generation: GenerationNumber,
}

/// Reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Incarnation of the entry that replies.
    pub incarnation: IncarnationId,
    /// Whether the entry gives a grant: a promise not to take over the sender's leases until the
    /// grant has expired.
    pub granted: bool,
    /// Generation of the documents in effect at the entry.
    pub generation: GenerationNumber,
    /// Cluster map, if the sender has an older one.
    pub map: Option<ClusterMap>,
    /// Learned slowdowns for the pairs of service and task kind in the sender's samples.
    pub slowdowns: Vec<KindSlowdown>,
}

/// Request of a newly started agent for the lease of its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerClaim {
    /// Worker of the agent.
    pub worker: WorkerId,
    /// Incarnation of the agent.
    pub incarnation: IncarnationId,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Rack of the worker.
    pub rack: String,
    /// Address of the agent's internal listener.
    pub address: String,
    /// Total resources of the worker.
    pub capacity: ResourceAmount,
}

/// Reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The agent holds the lease and may act under it after the wait.
    Claimed {
        /// Epoch of the lease.
        epoch: LeaseEpoch,
        /// Time to wait, counted from the receipt of this reply.
        wait: Duration,
    },
    /// The entry cannot give the lease now. The agent should retry with this or another entry.
    Later,
}

/// Reply to an entry's request to join the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinReply {
    /// The requesting entry is a member of this map.
    Joined(ClusterMap),
    /// The entry cannot change the map now. The request should be retried.
    Later,
}

/// Request of a caller, as forwarded between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Caller that sent the request.
    pub caller: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time until the deadline, as of the sending of this message.
    pub time_left: Duration,
    /// Media type of the body.
    pub content_type: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Digest of the body, computed by the entry that received it from the caller.
    pub digest: BodyDigest,
}

/// Trace of a request's path through the system, used to attribute the burn of error budgets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestTrace {
    /// Time that the request waited for a slot.
    pub queued: Duration,
    /// Worker of the endpoint to which the request was last sent.
    pub worker: Option<WorkerId>,
}

/// Outcome of a request, with its trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TracedOutcome {
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Trace of the request.
    pub trace: RequestTrace,
}

impl From<RequestOutcome> for TracedOutcome {
    fn from(outcome: RequestOutcome) -> TracedOutcome {
        TracedOutcome { outcome, trace: RequestTrace::default() }
    }
}

/// Order of an entry to an agent to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchOrder {
    /// Request to run.
    pub request: ServiceRequest,
    /// Endpoint that runs the request.
    pub endpoint: EndpointId,
    /// Incarnation of the agent that the order is for.
    pub incarnation: IncarnationId,
    /// Epoch under which the sender owns the partition of the request's id; zero for idempotent
    /// requests.
    pub epoch: LeaseEpoch,
    /// Time for which the agent keeps the ids of the service's requests to detect duplicates.
    pub window: Duration,
}

/// Reply to a dispatch order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchReply {
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Load of the endpoint; `None` if the agent does not know the endpoint.
    pub load: Option<EndpointLoad>,
}

/// Query of a partition's new owner whether an earlier owner has run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleQuery {
    /// Id of the request in question.
    pub id: RequestId,
    /// Epoch under which the sender owns the partition of the id.
    pub epoch: LeaseEpoch,
    /// Time for which the agent keeps the ids of the service's requests.
    pub window: Duration,
}

/// State of one team's queue, as known to the entry that schedules the team's jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamQueue {
    /// Team that the queue belongs to.
    pub team: TeamName,
    /// Number of tasks that wait for a worker.
    pub queued: u32,
    /// Number of waiting tasks that are urgent.
    pub urgent: u32,
    /// Number of tasks that are committed to a worker.
    pub running: u32,
    /// Time for which the oldest waiting task has waited.
    pub longest_wait: Duration,
}

/// Status of one process: of the reporting entry itself, or of an entry or agent in contact with
/// it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessReport {
    /// Name of the process.
    pub id: String,
    /// Whether the process is an entry; otherwise it is an agent.
    pub is_entry: bool,
    /// Generation of the documents in effect at the process at the last contact.
    pub generation: GenerationNumber,
    /// Failure domain of the process, if known.
    pub domain: DomainName,
}

/// RPC service of entries, called by agents and other entries.
#[tarpc::service]
pub trait EntryRpc {
    /// Processes the heartbeat of an agent.
    async fn agent_beat(heartbeat: AgentHeartbeat) -> HeartbeatReply;
    /// Processes the heartbeat of another entry.
    async fn entry_beat(heartbeat: EntryHeartbeat) -> HeartbeatReply;
    /// Returns the incarnation of the process that listens on this address.
    async fn identity() -> IncarnationId;
    /// Adds an entry to the cluster map.
    async fn join(member: EntryMember) -> JoinReply;
    /// Assigns the lease of a worker to its newly started agent.
    async fn claim_worker(claim: WorkerClaim) -> ClaimReply;
    /// Handles a request as the owner of the partition of its id.
    async fn forward(request: ServiceRequest) -> TracedOutcome;
    /// Returns the newest cluster map known to the entry.
    async fn cluster() -> ClusterMap;
    /// Returns the documents that changed after generation `since`, with the generation in effect.
    async fn documents(since: GenerationNumber) -> DocumentSet;
    /// Returns the time since the entry's last contact with the agent of a worker; `None` if there
    /// was none.
    async fn time_since_contact(worker: WorkerId) -> Option<Duration>;
    /// Returns the queues of all teams in the partitions that the entry acts for.
    async fn team_queues() -> Vec<TeamQueue>;
    /// Notifies the entry that a job was submitted or cancelled.
    async fn job_changed(job: JobId);
    /// Notifies the entry that tasks of these jobs ended on a worker.
    async fn tasks_ended(worker: WorkerId, jobs: Vec<JobId>);
}

/// RPC service of agents, called by entries.
#[tarpc::service]
pub trait AgentRpc {
    /// Runs a request on an endpoint.
    async fn dispatch(order: DispatchOrder) -> DispatchReply;
    /// Returns what is known about the run of a request. If it never ran, orders of earlier owners
    /// to run it are rejected from now on.
    async fn settle(query: SettleQuery) -> SettleAnswer;
    /// Notifies the agent that the row of its worker has changed.
    async fn row_changed();
    /// Notifies the agent that documents of this generation are in effect at the sender.
    async fn documents_changed(generation: GenerationNumber);
}
