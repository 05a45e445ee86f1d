//! Rows that planner processes and node agents keep in the store, and their JSON encoding.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::xxh3_64;

use crate::external::row_store::RowName;
use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::ids::DomainName;
use crate::ids::InstanceId;
use crate::ids::JobId;
use crate::ids::PlannerEpoch;
use crate::ids::QueueName;
use crate::ids::RowVersion;
use crate::ids::ServiceName;
use crate::process::malformed_entries::report_malformed;
use crate::workflow::admission::backlog_forecast::BacklogForecast;
use crate::workflow::evacuation_summary::EvacuationSummary;
use crate::workflow::planner_batch::PlanBatch;
use crate::workflow::planner_batch::PlanWrite;
use crate::workflow::progress::JobRecord;

/// Partition of the rows that the planner writes. The owner's row and the progress rows share it,
/// so that one transaction can write progress on condition that the ownership has not changed.
pub const PARTITION: &str = "main";
/// Partition of the rows that planner processes write about themselves, and in earlier versions node
/// agents as well. It is separate from [`PARTITION`], so that the planner's writes do not queue behind
/// those of hundreds of hosts that start at the same time.
pub const HOST_PARTITION: &str = "hosts";
/// Number of partitions of the rows that node agents write about themselves. The store serializes
/// the transactions of a partition and refuses them when those of a second are waiting. When a fleet
/// of 2,000 agents starts, each of these partitions gets about 250 writes, less than a second's worth.
const AGENT_PARTITIONS: u64 = 16;
/// Table of jobs: the submitted specification, or how the job ended.
pub const JOB_TABLE: &str = "jobs";
/// Table of the progress of jobs, which only the planner writes.
pub const PROGRESS_TABLE: &str = "progress";
/// Table of the owner's row and its heartbeat.
pub const OWNER_TABLE: &str = "ownership";
/// Key of the owner's row.
pub const OWNER_KEY: &str = "planner";
/// Key of the owner's heartbeat.
pub const PULSE_KEY: &str = "pulse";
/// Table of the interference that planners have learned.
pub const LEARNED_TABLE: &str = "learned";
/// Key of the learned interference between images.
pub const IMAGES_KEY: &str = "images";
/// Table of the addresses of node agents.
pub const NODE_TABLE: &str = "nodes";
/// Table of the recent instances of each host's runner.
pub const LIFE_TABLE: &str = "lives";
/// Table of the addresses of planner processes.
pub const PEER_TABLE: &str = "peers";

/// The owner of planning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// Epoch of the ownership; each takeover increases it by one.
    pub epoch: PlannerEpoch,
    /// Random identifier of the owner's process run.
    pub holder: String,
    /// The owner's address for other processes of the system.
    pub address: String,
    /// Whether the owner has released the ownership in a graceful stop.
    pub released: bool,
    /// Number of takeovers in a row, this one included, from owners that fell silent before they
    /// had contacted all node agents.
    #[serde(default)]
    pub unsettled_takeovers: u32,
}

/// The owner's heartbeat, which it writes about twice a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatRow {
    /// Epoch of the owner that wrote it.
    pub epoch: PlannerEpoch,
    /// Number of jobs of each queue of which no task has started.
    pub pending: BTreeMap<QueueName, u64>,
    /// Services all of whose failure domains are being evacuated.
    #[serde(default)]
    pub evacuated_services: BTreeSet<ServiceName>,
    /// Forecast from which jobs are admitted; `None` if admission control is disabled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admission: Option<BacklogForecast>,
    /// The evacuations in force.
    #[serde(default)]
    pub evacuations: EvacuationSummary,
    /// Whether the owner has contacted all node agents that it found at its takeover, or failed to.
    #[serde(default)]
    pub has_settled: bool,
}

/// A planner process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerRow {
    /// Name of the host.
    pub id: String,
    /// Address for other processes of the system.
    pub address: String,
    /// Failure domain of the host.
    #[serde(default)]
    pub domain: DomainName,
    /// Share of a core that the process may use.
    #[serde(default)]
    pub share: f64,
}

/// The address of a node agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Name of the host.
    pub id: String,
    /// Address for other processes of the system.
    pub address: String,
}

/// Recent instances of the runner on a host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerInstancesRow {
    /// The instances, the newest last.
    #[serde(rename = "lives")]
    pub instances: Vec<InstanceId>,
}

/// Distribution of the job rows over partitions. The store serializes the transactions of a
/// partition, so that with a single one submissions queue behind each other and behind the
/// planner's writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLayout {
    /// Number of partitions. With one, the job rows are in [`PARTITION`], beside the planner's
    /// rows.
    pub partitions: u32,
}

impl Default for JobLayout {
    fn default() -> JobLayout {
        JobLayout { partitions: 1 }
    }
}

impl JobLayout {
    /// Name of the row of a job, whose partition is chosen by a hash of the job's name.
    ///
    /// ```
    /// use greengagearch::process::planning::rows::JobLayout;
    ///
    /// assert_eq!(JobLayout::default().row("a").partition, "main");
    /// assert!(JobLayout { partitions: 16 }.row("a").partition.starts_with("jobs-"));
    /// ```
    pub fn row(self, job: &str) -> RowName {
        if self.partitions <= 1 {
            return RowName::new(JOB_TABLE, PARTITION, job);
        }
        let number = xxh3_64(job.as_bytes()) % u64::from(self.partitions);
        RowName::new(JOB_TABLE, &partition_name(number), job)
    }

    /// Names of all partitions that hold job rows.
    pub fn partition_names(self) -> Vec<String> {
        if self.partitions <= 1 {
            return vec![PARTITION.to_string()];
        }
        (0..u64::from(self.partitions)).map(partition_name).collect()
    }
}

fn partition_name(number: u64) -> String {
    format!("jobs-{number}")
}

/// Name of the row in `table` that the node agent at `address` writes about itself.
///
/// ```
/// use greengagearch::process::planning::rows::NODE_TABLE;
/// use greengagearch::process::planning::rows::agent_partitions;
/// use greengagearch::process::planning::rows::agent_row;
///
/// let name = agent_row(NODE_TABLE, "10.0.0.1:7000");
/// assert!(agent_partitions().contains(&name.partition));
/// ```
pub fn agent_row(table: &str, address: &str) -> RowName {
    let number = xxh3_64(address.as_bytes()) % AGENT_PARTITIONS;
    RowName::new(table, &agent_partition(number), address)
}

/// Names of all partitions that hold rows of node agents, including rows of earlier versions.
pub fn agent_partitions() -> Vec<String> {
    let numbered = (0..AGENT_PARTITIONS).map(agent_partition);
    numbered.chain([HOST_PARTITION.to_string()]).collect()
}

fn agent_partition(number: u64) -> String {
    format!("{HOST_PARTITION}-{number}")
}

/// Name of the owner's row.
pub fn owner_row() -> RowName {
    RowName::new(OWNER_TABLE, PARTITION, OWNER_KEY)
}

/// Encodes the value of a row as JSON.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Cannot fail: all map keys of the row types are strings or numbers.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Decodes the value of a row. Returns `None` for a removed row and for a malformed one, which is
/// reported.
pub fn decode<T: DeserializeOwned>(row: &StoredRow) -> Option<T> {
    let value = row.value.as_ref()?;
    match serde_json::from_slice(value) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            report_malformed(&row.name.table, &row.name.key, &error);
            None
        }
    }
}

/// Returns whether a process can be reached at the address that its row names. Another address is
/// reported as malformed.
///
/// ```
/// use greengagearch::external::row_store::RowName;
/// use greengagearch::external::row_store::StoredRow;
/// use greengagearch::process::planning::rows::NODE_TABLE;
/// use greengagearch::process::planning::rows::is_usable;
///
/// let name = RowName::new(NODE_TABLE, "hosts", "10.0.0.1:7000");
/// let row = StoredRow { name, value: Some(b"{}".to_vec()), version: 7 };
/// assert!(is_usable(&row, "10.0.0.1:7000"));
/// assert!(!is_usable(&row, "10.0.0.1:99999"));
/// ```
pub fn is_usable(row: &StoredRow, address: &str) -> bool {
    let is_usable = address.parse().is_ok_and(|address: SocketAddr| address.port() != 0);
    if !is_usable {
        report_malformed(&row.name.table, &row.name.key, &"not an address with a port");
    }
    is_usable
}

/// Builds the transaction that stores a batch on condition that the owner's row still has the
/// version `owner_version`, and that the rows of the jobs in its conditions have not changed.
pub fn batch_transaction(
    batch: &PlanBatch,
    owner_version: RowVersion,
    layout: JobLayout,
) -> RowTransaction {
    let mut transaction = RowTransaction::default();
    transaction.expected.push((owner_row(), owner_version));
    for (job, version) in &batch.conditions {
        transaction.expected.push((layout.row(job), *version));
    }
    for write in &batch.writes {
        match write {
            PlanWrite::Progress(job, version, progress) => {
                let name = RowName::new(PROGRESS_TABLE, PARTITION, job);
                transaction.expected.push((name.clone(), *version));
                match progress {
                    Some(progress) => transaction.puts.push((name, encode(progress))),
                    None => transaction.removes.push(name),
                }
            }
            PlanWrite::End(job, version, record) => {
                let name = layout.row(job);
                transaction.expected.push((name.clone(), *version));
                transaction.puts.push((name, encode(record)));
            }
        }
    }
    transaction
}

/// Determines from the rows of a conflict whether a transaction was applied although its response
/// was lost. This is so if the owner's row has not changed, and all rows that it writes on condition
/// are as it leaves them; only the owner writes those. A job's row that it does not write may have
/// changed since. Returns the version under which it was applied, or 0 if it only removes rows.
///
/// Rows that it writes without a condition, such as the heartbeat, are not considered: a conflict
/// returns only the rows that conditions name.
pub fn applied_version(transaction: &RowTransaction, rows: &[StoredRow]) -> Option<RowVersion> {
    let mut applied = None;
    for (name, version) in &transaction.expected {
        let row = rows.iter().find(|row| row.name == *name);
        let value = row.and_then(|row| row.value.as_ref());
        let put = transaction.puts.iter().find(|(put, _)| put == name);
        if let Some((_, written)) = put {
            let row = row.filter(|row| value == Some(written) && row.version != *version)?;
            applied = Some(row.version);
        } else if transaction.removes.contains(name) {
            if value.is_some() {
                return None;
            }
            applied = applied.or(Some(0));
        } else if name.table != JOB_TABLE && row.map_or(0, |row| row.version) != *version {
            return None;
        }
    }
    applied
}

/// Decodes the job records among `rows`, each with the job's name and the row's version.
pub fn job_records(rows: &[StoredRow]) -> Vec<(JobId, RowVersion, JobRecord)> {
    let jobs = rows.iter().filter(|row| row.name.table == JOB_TABLE);
    jobs.filter_map(|row| Some((row.name.key.clone(), row.version, decode(row)?))).collect()
}
