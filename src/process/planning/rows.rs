//! The rows that planners and their entries keep in the store, and their encoding.

use std::collections::BTreeMap;

use log::Level;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::xxh3_64;

use crate::external::row_store::RowName;
use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::ids::InstanceId;
use crate::ids::JobId;
use crate::ids::PlannerEpoch;
use crate::ids::QueueName;
use crate::ids::RowVersion;
use crate::process::logging::log_event;
use crate::workflow::planner_batch::PlanBatch;
use crate::workflow::planner_batch::PlanWrite;
use crate::workflow::progress::JobRecord;

/// Partition of what the planner writes: a transaction binds the owner's row with those of jobs' progress.
pub const PARTITION: &str = "main";
/// Partition of what hosts write about themselves, so that planning does not wait behind hundreds of hosts that start at once.
pub const HOST_PARTITION: &str = "hosts";
/// Table of jobs: what was submitted, and how it ended.
pub const JOB_TABLE: &str = "jobs";
/// Table of jobs' progress, which the planner alone writes.
pub const PROGRESS_TABLE: &str = "progress";
/// Table of the planner's ownership and its pulse.
pub const OWNER_TABLE: &str = "ownership";
/// Key of the ownership.
pub const OWNER_KEY: &str = "planner";
/// Key of the pulse.
pub const PULSE_KEY: &str = "pulse";
/// Table of what planners have learned.
pub const LEARNED_TABLE: &str = "learned";
/// Key of what was learned of images.
pub const IMAGES_KEY: &str = "images";
/// Table of the node agents' addresses.
pub const NODE_TABLE: &str = "nodes";
/// Table of the lives that the runners of the node agents' hosts had.
pub const LIFE_TABLE: &str = "lives";
/// Table of the planner processes' addresses.
pub const PEER_TABLE: &str = "peers";

/// Who plans.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// Epoch of the ownership.
    pub epoch: PlannerEpoch,
    /// The run of the process that plans.
    pub holder: String,
    /// Its address for other processes of the system.
    pub address: String,
    /// Whether it has given the ownership back.
    pub released: bool,
}

/// What the planner shows about once a second, which also shows that it lives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PulseRow {
    /// Epoch of the planner.
    pub epoch: PlannerEpoch,
    /// Jobs of each queue of which no task has started.
    pub pending: BTreeMap<QueueName, u64>,
}

/// Where a node agent is reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Name of its host.
    pub id: String,
    /// Its address for the planner.
    pub address: String,
}

/// Which lives the runner on a host had.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerInstancesRow {
    /// The lives, the newest last.
    #[serde(rename = "lives")]
    pub instances: Vec<InstanceId>,
}

/// In how many partitions the jobs' rows are. The store carries out the transactions of one partition one after another, so that
/// submissions to a single one wait for each other and for the planner's writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLayout {
    /// Number of partitions; with one, the rows are beside what the planner writes.
    pub partitions: u32,
}

impl Default for JobLayout {
    fn default() -> JobLayout {
        JobLayout { partitions: 1 }
    }
}

impl JobLayout {
    /// The row of a job.
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

    /// All partitions that have rows of jobs.
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

/// The row of the ownership.
pub fn owner_row() -> RowName {
    RowName::new(OWNER_TABLE, PARTITION, OWNER_KEY)
}

/// Encodes a row's value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // The rows' types have text or numbers as map keys only, so that they always serialize.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Decodes a row's value. A removed row, and one that cannot be read, which is logged, give nothing.
pub fn decode<T: DeserializeOwned>(row: &StoredRow) -> Option<T> {
    let value = row.value.as_ref()?;
    match serde_json::from_slice(value) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            log_event(
                Level::Error,
                "row_malformed",
                &[("table", &row.name.table), ("key", &row.name.key), ("error", &error)],
            );
            None
        }
    }
}

/// The transaction that stores a batch under an ownership.
pub fn batch_transaction(
    batch: &PlanBatch,
    owner_version: RowVersion,
    layout: JobLayout,
) -> RowTransaction {
    let mut transaction = RowTransaction::default();
    transaction.expected.push((owner_row(), owner_version));
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

/// Whether the rows of a transaction's conditions are as it would have made them, which tells that it was applied
/// although its answer was lost. Gives the version that it had. What it writes without a condition is not among
/// the rows that a conflict shows.
pub fn applied_version(transaction: &RowTransaction, rows: &[StoredRow]) -> Option<RowVersion> {
    let mut applied = None;
    for (name, version) in &transaction.expected {
        let row = rows.iter().find(|row| row.name == *name);
        let value = row.and_then(|row| row.value.as_ref());
        let put = transaction.puts.iter().find(|(put, _)| put == name);
        if let Some((_, written)) = put {
            let row = row.filter(|_| value == Some(written))?;
            applied = Some(row.version);
        } else if transaction.removes.contains(name) {
            if value.is_some() {
                return None;
            }
            applied = applied.or(Some(0));
        } else if row.map_or(0, |row| row.version) != *version {
            return None;
        }
    }
    applied
}

/// The records of jobs among rows.
pub fn job_records(rows: &[StoredRow]) -> Vec<(JobId, RowVersion, JobRecord)> {
    let jobs = rows.iter().filter(|row| row.name.table == JOB_TABLE);
    jobs.filter_map(|row| Some((row.name.key.clone(), row.version, decode(row)?))).collect()
}
