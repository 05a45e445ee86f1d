//! Passes rows of jobs to the planner, also those that another writer has removed or overwritten.

use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::process::planning::rows::JOB_TABLE;
use crate::process::planning::rows::decode;
use crate::workflow::planner::Planner;

/// Passes changed rows of jobs to the planner. Rows of other tables are ignored.
///
/// ```
/// use std::time::Instant;
///
/// use greengagearch::external::row_store::RowName;
/// use greengagearch::external::row_store::StoredRow;
/// use greengagearch::process::planning::job_rows::apply_job_rows;
/// use greengagearch::process::planning::rows::JOB_TABLE;
/// use greengagearch::workflow::planner::Planner;
///
/// let name = RowName::new(JOB_TABLE, "main", "a");
/// let removed = StoredRow { name, value: None, version: 7 };
/// apply_job_rows(&mut Planner::new(Instant::now()), &[removed]);
/// ```
pub fn apply_job_rows(planner: &mut Planner, rows: &[StoredRow]) {
    for row in rows.iter().filter(|row| row.name.table == JOB_TABLE) {
        let (job, version) = (row.name.key.as_str(), row.version);
        match decode(row) {
            Some(record) => planner.on_record(job, version, record),
            None if row.value.is_some() => planner.on_lost_record(job, version, version),
            None => planner.on_lost_record(job, version, 0),
        }
    }
}

/// Passes the rows of jobs that a conflict shows, and notes the jobs whose row the transaction has
/// named and the store does not have.
///
/// ```
/// use std::time::Instant;
///
/// use greengagearch::external::row_store::RowTransaction;
/// use greengagearch::process::planning::job_rows::apply_conflict;
/// use greengagearch::workflow::planner::Planner;
///
/// apply_conflict(&mut Planner::new(Instant::now()), &RowTransaction::default(), &[]);
/// ```
pub fn apply_conflict(planner: &mut Planner, transaction: &RowTransaction, rows: &[StoredRow]) {
    let is_stored = |row: &&StoredRow| row.value.is_some();
    let stored: Vec<StoredRow> = rows.iter().filter(is_stored).cloned().collect();
    apply_job_rows(planner, &stored);
    for (name, version) in transaction.expected.iter().filter(|(name, _)| name.table == JOB_TABLE) {
        if !stored.iter().any(|row| row.name == *name) {
            planner.on_lost_record(&name.key, *version, 0);
        }
    }
}
