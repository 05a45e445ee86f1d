//! Starts of tasks on several workers that are committed in one transaction.
//!
//! Each worker's part stands for itself: when a row of one part has changed, the part is taken out and
//! the rest is committed without it.

use std::collections::BTreeMap;

use crate::connection::worker_row::CommittedTask;
use crate::connection::worker_row::WorkerRow;
use crate::connection::worker_row::task_name;
use crate::connection::worker_row::worker_key;
use crate::external::table::TableTransaction;
use crate::external::write_budget::WritePriority;
use crate::ids::RowVersion;
use crate::ids::WorkerId;
use crate::process::entry::fleet_board::FleetBoard;
use crate::process::entry::task_board::TaskBoard;
use crate::request::job::TaskRow;
use crate::request::job::TaskState;
use crate::request::task_plan::PlannedStart;

/// Starts on one worker in one transaction; the rest is planned anew at the next step.
const STARTS_PER_WORKER: usize = 8;
/// Workers in one transaction: more save writes, and make it likelier that a row has changed.
const WORKERS_PER_WRITE: usize = 8;

/// A task's row as it will stand.
#[derive(Clone, Debug)]
pub struct StartedTask {
    /// Key of the row.
    pub key: String,
    /// Version that the row must still have.
    pub version: RowVersion,
    /// The new row.
    pub row: TaskRow,
}

/// The starts on one worker.
#[derive(Clone, Debug)]
pub struct WorkerStarts {
    /// Version that the worker's row must still have.
    pub version: RowVersion,
    /// The worker's new row.
    pub row: WorkerRow,
    /// The tasks.
    pub tasks: Vec<StartedTask>,
}

/// Starts that are committed together.
#[derive(Clone, Debug, Default)]
pub struct StartBatch {
    /// The starts by worker.
    pub parts: Vec<WorkerStarts>,
}

impl StartBatch {
    /// The batches for a plan, by the rows as they are known.
    ///
    /// ```
    /// use greengagearch::process::entry::fleet_board::FleetBoard;
    /// use greengagearch::process::entry::start_batch::StartBatch;
    /// use greengagearch::process::entry::task_board::TaskBoard;
    ///
    /// let batches = StartBatch::of_plan(vec![], &FleetBoard::default(), &TaskBoard::default());
    /// assert!(batches.is_empty());
    /// ```
    pub fn of_plan(
        starts: Vec<PlannedStart>,
        fleet: &FleetBoard,
        board: &TaskBoard,
    ) -> Vec<StartBatch> {
        let mut by_worker: BTreeMap<WorkerId, Vec<PlannedStart>> = BTreeMap::new();
        for start in starts {
            by_worker.entry(start.worker.clone()).or_default().push(start);
        }
        let parts = by_worker.iter();
        let parts =
            parts.filter_map(|(worker, starts)| worker_starts(worker, starts, fleet, board));
        let parts: Vec<WorkerStarts> = parts.collect();
        let groups = parts.chunks(WORKERS_PER_WRITE);
        groups.map(|group| StartBatch { parts: group.to_vec() }).collect()
    }

    /// The transaction that commits all parts.
    ///
    /// ```
    /// use greengagearch::process::entry::start_batch::StartBatch;
    ///
    /// assert!(StartBatch::default().transaction().writes.is_empty());
    /// ```
    pub fn transaction(&self) -> TableTransaction {
        let mut transaction = TableTransaction::of(WritePriority::Start);
        for part in &self.parts {
            for task in &part.tasks {
                transaction.put(&task.key, task.version, &task.row);
            }
            transaction.put(&worker_key(&part.row.worker), part.version, &part.row);
        }
        transaction
    }

    /// Takes out the part to which a row belongs; gives whether there was one.
    ///
    /// ```
    /// use greengagearch::process::entry::start_batch::StartBatch;
    ///
    /// assert!(!StartBatch::default().drop_part_of("worker/w1"));
    /// ```
    pub fn drop_part_of(&mut self, key: &str) -> bool {
        let before = self.parts.len();
        self.parts.retain(|part| {
            let is_task = part.tasks.iter().any(|task| task.key == key);
            !is_task && worker_key(&part.row.worker) != key
        });
        self.parts.len() < before
    }
}

/// The starts on a worker, when its row and those of the tasks are known and it has room for all.
fn worker_starts(
    worker: &str,
    starts: &[PlannedStart],
    fleet: &FleetBoard,
    board: &TaskBoard,
) -> Option<WorkerStarts> {
    let known = fleet.worker(worker)?;
    let mut row = known.row.clone();
    let mut tasks = Vec::new();
    for start in starts.iter().take(STARTS_PER_WORKER) {
        let Some(task) = board.task(&start.key) else {
            continue;
        };
        let mut next = task.row.clone();
        next.attempt += 1;
        next.state = TaskState::Committed { worker: worker.to_string() };
        row.tasks.insert(task_name(&next.job, next.index), committed_task(&next, start));
        tasks.push(StartedTask { key: start.key.clone(), version: task.version, row: next });
    }
    // The sums are checked once more on what is about to be written.
    let fits = !tasks.is_empty() && row.capacity.contains(&row.committed());
    fits.then_some(WorkerStarts { version: known.version, row, tasks })
}

fn committed_task(task: &TaskRow, start: &PlannedStart) -> CommittedTask {
    CommittedTask {
        attempt: task.attempt,
        resources: start.resources,
        team: task.team.clone(),
        kind: task.kind.clone(),
        urgent: task.urgent,
        stop: false,
    }
}

#[cfg(test)]
mod tests {
    use std::time::Instant;

    use super::*;
    use crate::external::table::TableRow;
    use crate::external::worker::ResourceAmount;
    use crate::request::job::JobSpec;
    use crate::request::job::TaskSpec;
    use crate::request::job::job_partition;
    use crate::request::job::task_key;
    use crate::request::job::task_rows;

    const TASK: ResourceAmount =
        ResourceAmount { millicores: 100, memory_mib: 100, accelerators: 1 };

    fn table_row(key: String, version: RowVersion, value: String) -> TableRow {
        TableRow { key, version, value }
    }

    fn fleet(workers: usize, accelerators: u32) -> FleetBoard {
        let mut fleet = FleetBoard::default();
        for number in 0..workers {
            let worker = format!("w{number:02}");
            let capacity = ResourceAmount { millicores: 10_000, memory_mib: 10_000, accelerators };
            let row = WorkerRow { worker: worker.clone(), capacity, ..WorkerRow::default() };
            let value = serde_json::to_string(&row).unwrap();
            fleet.replace(&table_row(worker_key(&worker), 1, value)).unwrap();
        }
        fleet
    }

    fn board(count: usize) -> TaskBoard {
        let task = TaskSpec { resources: TASK, run_millis: 1, input: String::new() };
        let spec = JobSpec {
            id: "j".to_string(),
            team: "t".to_string(),
            kind: "k".to_string(),
            urgent: false,
            tasks: vec![task; count],
        };
        let rows = task_rows(&spec, 0).into_iter().map(|row| {
            let value = serde_json::to_string(&row).unwrap();
            table_row(task_key(&row.job, row.index), 1, value)
        });
        let mut board = TaskBoard::default();
        board.replace_partition(job_partition("t/j"), rows.collect(), Instant::now()).unwrap();
        board
    }

    fn plan(workers: usize, each: usize) -> Vec<PlannedStart> {
        let starts = (0..workers * each).map(|number| PlannedStart {
            key: task_key("t/j", number as u32),
            worker: format!("w{:02}", number % workers),
            resources: TASK,
        });
        starts.collect()
    }

    #[test]
    fn starts_on_many_workers_are_few_writes() {
        let batches = StartBatch::of_plan(plan(18, 1), &fleet(18, 4), &board(18));
        assert_eq!(batches.len(), 3);
        let starts: usize = batches.iter().flat_map(|one| &one.parts).map(|p| p.tasks.len()).sum();
        assert_eq!(starts, 18);
    }

    #[test]
    fn the_part_of_a_changed_row_is_taken_out_and_the_rest_stays() {
        let mut batch = StartBatch::of_plan(plan(3, 2), &fleet(3, 4), &board(6)).remove(0);
        assert!(batch.drop_part_of(&worker_key("w01")));
        assert!(batch.drop_part_of(&task_key("t/j", 0)));
        assert!(!batch.drop_part_of("cluster"));
        assert_eq!(batch.parts.len(), 1);
        assert_eq!(batch.transaction().writes.len(), 3);
    }

    #[test]
    fn a_part_beyond_the_workers_accelerators_is_never_written() {
        let batches = StartBatch::of_plan(plan(2, 3), &fleet(2, 2), &board(6));
        assert!(batches.is_empty());
    }
}
