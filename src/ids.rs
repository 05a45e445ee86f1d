//! Type aliases for the identifiers that cross module borders.

/// Name of an entry process, unique in the cluster, from its settings.
pub type EntryId = String;
/// Name of a worker: a host that runs endpoints and tasks.
pub type WorkerId = String;
/// Name of an endpoint, unique on its worker.
pub type EndpointId = String;
/// Name of a service, the same as that of its document.
pub type ServiceName = String;
/// Name of a team that owns documents and quotas.
pub type TeamName = String;
/// Name of a failure domain, such as `wien-a`.
pub type DomainName = String;
/// Identifier of one run of a process; a restart makes a new one.
pub type IncarnationId = u64;
/// Identifier of a request, a UUID of version 7.
pub type RequestId = uuid::Uuid;
/// Identifier of a job, chosen by its caller.
pub type JobId = String;
/// Position of a task in its job.
pub type TaskIndex = u32;
/// Number of the attempt of a task: the fencing token of everything said about it.
pub type AttemptNumber = u32;
/// Number of a partition of the request ids.
pub type PartitionId = u32;
/// Number of the configuration in force; it only rises.
pub type GenerationNumber = u64;
/// Number of a document's edition; it only rises.
pub type RevisionNumber = u64;
/// Epoch of an exclusive lease; each takeover raises it by one.
pub type LeaseEpoch = u64;
/// Version of a row of the table service; zero means that there is no row.
pub type RowVersion = u64;
/// Digest of a request's or an answer's body.
pub type BodyDigest = u64;
/// Name of a queue of jobs, as the operator's configuration gives it.
pub type QueueName = String;
/// Identifier of a runner, which may be back under it after a crash.
pub type RunnerId = String;
/// Identifier of one life of a runner; a restart makes a new one.
pub type InstanceId = String;
/// When a runner started, as Unix time in milliseconds by the clock of its host.
pub type StartMillis = u64;
/// Number of a poll of a runner; rises in the order in which polls are sent.
pub type PollNumber = u64;
/// Number of a start of a task; it only rises, and fences earlier starts.
pub type RunNumber = u32;
/// Epoch of the planner's ownership; each takeover raises it by one.
pub type PlannerEpoch = u64;
/// Token of calls to a runner, which refuses those that are lower than the highest it has seen.
pub type FencingToken = u64;
/// Reference to saved work of a task, opaque to the product; empty when there is none.
pub type CheckpointRef = String;
/// Name of a rack.
pub type RackName = String;
/// Name of what a task runs.
pub type ImageName = String;
