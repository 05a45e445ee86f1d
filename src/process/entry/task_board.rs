//! The tasks of an entry's partitions, as they were last read or written.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::protocol::TeamQueue;
use crate::external::table::TableError;
use crate::external::table::TableRow;
use crate::external::worker::ResourceAmount;
use crate::ids::JobId;
use crate::ids::PartitionId;
use crate::ids::RowVersion;
use crate::ids::TeamName;
use crate::ids::WorkerId;
use crate::process::interference::KindName;
use crate::request::job::TaskEnd;
use crate::request::job::TaskRow;
use crate::request::job::TaskState;
use crate::request::job::job_of_cancel_key;
use crate::request::job::job_partition;
use crate::request::job::job_tasks_prefix;
use crate::request::job::task_key;

/// A row with its version.
#[derive(Clone, Debug)]
pub struct VersionedRow<T> {
    /// Version of the row.
    pub version: RowVersion,
    /// The row.
    pub row: T,
}

/// How a task that ran on a worker ended there.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskNews {
    /// It was done, and used this much.
    Done {
        /// The worker.
        worker: WorkerId,
        /// Kind of the task.
        kind: KindName,
        /// The most it was seen to use.
        used: Option<ResourceAmount>,
    },
    /// It failed.
    Failed {
        /// The worker.
        worker: WorkerId,
        /// Key of the task's row.
        key: String,
    },
}

/// A job whose tasks have all ended, or wait and shall not run any more.
#[derive(Clone, Debug)]
pub struct FinishedJob {
    /// Full name of the job.
    pub job: JobId,
    /// Its tasks in their order.
    pub tasks: Vec<VersionedRow<TaskRow>>,
}

#[derive(Debug, Default)]
struct PartitionTasks {
    tasks: BTreeMap<String, VersionedRow<TaskRow>>,
    cancelled: BTreeSet<JobId>,
    read_at: Option<Instant>,
}

/// The tasks of an entry's partitions.
#[derive(Debug, Default)]
pub struct TaskBoard {
    partitions: HashMap<PartitionId, PartitionTasks>,
    news: Vec<TaskNews>,
}

impl TaskBoard {
    /// Drops partitions that the entry no longer acts for, and gives those whose last full read is
    /// older than `limit`.
    pub fn due_partitions(
        &mut self,
        acting: &BTreeSet<PartitionId>,
        limit: Duration,
        now: Instant,
    ) -> Vec<PartitionId> {
        self.partitions.retain(|partition, _| acting.contains(partition));
        let is_due = |partition: &&PartitionId| {
            let read_at = self.partitions.get(partition).and_then(|tasks| tasks.read_at);
            read_at.is_none_or(|at| now.saturating_duration_since(at) >= limit)
        };
        acting.iter().filter(is_due).copied().collect()
    }

    /// Has every partition read in full at the next step.
    pub fn distrust(&mut self) {
        self.partitions.values_mut().for_each(|tasks| tasks.read_at = None);
    }

    /// Takes in all rows of a partition, read at `now`.
    ///
    /// # Errors
    ///
    /// [`TableError::Malformed`] when a row is not a task.
    pub fn replace_partition(
        &mut self,
        partition: PartitionId,
        rows: Vec<TableRow>,
        now: Instant,
    ) -> Result<(), TableError> {
        let mut read = read_rows(rows)?;
        read.read_at = Some(now);
        if let Some(before) = self.partitions.insert(partition, read) {
            self.note_ends(partition, before.tasks);
        }
        Ok(())
    }

    /// Takes in all rows of one job; nothing when its partition was never read in full.
    ///
    /// # Errors
    ///
    /// [`TableError::Malformed`] when a row is not a task.
    pub fn replace_job(&mut self, job: &str, rows: Vec<TableRow>) -> Result<(), TableError> {
        let partition = job_partition(job);
        let read = read_rows(rows)?;
        let Some(known) = self.partitions.get_mut(&partition) else {
            return Ok(());
        };
        let prefix = job_tasks_prefix(job);
        let is_of_job = |key: &String| key.starts_with(&prefix);
        let before = known.tasks.extract_if(.., |key, _| is_of_job(key)).collect();
        known.tasks.extend(read.tasks);
        known.cancelled.extend(read.cancelled);
        self.note_ends(partition, before);
        Ok(())
    }

    /// Takes in a task that was just written under this version.
    pub fn keep_task(&mut self, key: String, task: VersionedRow<TaskRow>) {
        if let Some(known) = self.partitions.get_mut(&job_partition(&task.row.job)) {
            known.tasks.insert(key, task);
        }
    }

    /// Forgets a job that was closed.
    pub fn remove_job(&mut self, job: &str) {
        if let Some(known) = self.partitions.get_mut(&job_partition(job)) {
            known.tasks.retain(|_, task| task.row.job != job);
            known.cancelled.remove(job);
        }
    }

    /// A task by the key of its row.
    pub fn task(&self, key: &str) -> Option<&VersionedRow<TaskRow>> {
        self.partitions.values().find_map(|known| known.tasks.get(key))
    }

    /// Whether a task waits for a worker.
    pub fn has_queued(&self) -> bool {
        self.queued().next().is_some()
    }

    /// Tasks that wait for a worker, by the keys of their rows.
    pub fn queued(&self) -> impl Iterator<Item = (&String, &TaskRow)> {
        self.partitions.values().flat_map(|known| {
            let queued = known.tasks.iter().map(|(key, task)| (key, &task.row));
            queued.filter(|(_, task)| {
                task.state == TaskState::Queued && !known.cancelled.contains(&task.job)
            })
        })
    }

    /// The queues of all teams that have tasks here, at a time of the wall clock.
    pub fn team_queues(&self, now_millis: u64) -> Vec<TeamQueue> {
        let mut queues: BTreeMap<TeamName, TeamQueue> = BTreeMap::new();
        for task in self.tasks() {
            let queue = queues
                .entry(task.team.clone())
                .or_insert_with(|| TeamQueue { team: task.team.clone(), ..TeamQueue::default() });
            queue.running += u32::from(matches!(task.state, TaskState::Committed { .. }));
        }
        for (_, task) in self.queued() {
            let Some(queue) = queues.get_mut(&task.team) else {
                continue;
            };
            let waited = now_millis.saturating_sub(task.submitted_millis);
            queue.queued += 1;
            queue.urgent += u32::from(task.urgent);
            queue.longest_wait = queue.longest_wait.max(Duration::from_millis(waited));
        }
        queues.into_values().collect()
    }

    fn tasks(&self) -> impl Iterator<Item = &TaskRow> {
        self.partitions.values().flat_map(|known| known.tasks.values().map(|task| &task.row))
    }

    /// Running tasks of cancelled jobs, by worker.
    pub fn cancelled_running(&self) -> BTreeMap<WorkerId, Vec<(JobId, u32)>> {
        let mut by_worker: BTreeMap<WorkerId, Vec<(JobId, u32)>> = BTreeMap::new();
        for known in self.partitions.values() {
            for task in known.tasks.values().map(|task| &task.row) {
                if let TaskState::Committed { worker } = &task.state
                    && known.cancelled.contains(&task.job)
                {
                    by_worker
                        .entry(worker.clone())
                        .or_default()
                        .push((task.job.clone(), task.index));
                }
            }
        }
        by_worker
    }

    /// Jobs that are over and can be closed.
    pub fn finished_jobs(&self) -> Vec<FinishedJob> {
        self.partitions.values().flat_map(finished_jobs).collect()
    }

    /// Takes what was learned of tasks that ended.
    pub fn take_news(&mut self) -> Vec<TaskNews> {
        std::mem::take(&mut self.news)
    }

    /// Notes which of the tasks that ran before have ended since.
    fn note_ends(
        &mut self,
        partition: PartitionId,
        before: BTreeMap<String, VersionedRow<TaskRow>>,
    ) {
        let Some(known) = self.partitions.get(&partition) else {
            return;
        };
        for (key, before) in before {
            let TaskState::Committed { worker } = before.row.state else {
                continue;
            };
            let Some(task) = known.tasks.get(&key).map(|task| &task.row) else {
                continue;
            };
            if matches!(task.state, TaskState::Ended(TaskEnd::Done { .. })) {
                let (kind, used) = (task.kind.clone(), task.used);
                self.news.push(TaskNews::Done { worker, kind, used });
            } else if task.failed_on.len() > before.row.failed_on.len() {
                self.news.push(TaskNews::Failed { worker, key });
            }
        }
    }
}

fn read_rows(rows: Vec<TableRow>) -> Result<PartitionTasks, TableError> {
    let mut read = PartitionTasks::default();
    for row in rows {
        if let Some(job) = job_of_cancel_key(&row.key) {
            read.cancelled.insert(job);
        } else {
            let task = VersionedRow { version: row.version, row: row.decode()? };
            read.tasks.insert(row.key, task);
        }
    }
    Ok(read)
}

fn finished_jobs(known: &PartitionTasks) -> Vec<FinishedJob> {
    let mut by_job: BTreeMap<&JobId, Vec<&VersionedRow<TaskRow>>> = BTreeMap::new();
    for task in known.tasks.values() {
        by_job.entry(&task.row.job).or_default().push(task);
    }
    let over = by_job.into_iter().filter(|(job, tasks)| {
        let is_cancelled = known.cancelled.contains(*job);
        tasks.iter().all(|task| is_over(&task.row, is_cancelled))
    });
    let finished = over.map(|(job, tasks)| FinishedJob {
        job: job.clone(),
        tasks: tasks.into_iter().cloned().collect(),
    });
    finished.collect()
}

/// Whether a task has ended, or waits and shall not run any more.
fn is_over(task: &TaskRow, is_cancelled: bool) -> bool {
    match &task.state {
        TaskState::Ended(_) => true,
        TaskState::Queued => is_cancelled,
        TaskState::Committed { .. } => false,
    }
}

/// The key of a task's row, by the task's job and position.
pub fn key_of(task: &TaskRow) -> String {
    task_key(&task.job, task.index)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::request::job::JobSpec;
    use crate::request::job::TaskSpec;
    use crate::request::job::cancel_key;
    use crate::request::job::task_rows;

    fn rows(count: usize) -> Vec<TaskRow> {
        let task = TaskSpec {
            resources: ResourceAmount { millicores: 1, memory_mib: 1, accelerators: 0 },
            run_millis: 1,
            input: String::new(),
        };
        let spec = JobSpec {
            id: "j".to_string(),
            team: "t".to_string(),
            kind: "k".to_string(),
            urgent: false,
            tasks: vec![task; count],
        };
        task_rows(&spec, 0)
    }

    fn table_row(task: &TaskRow) -> TableRow {
        let value = serde_json::to_string(task).unwrap();
        TableRow { key: key_of(task), version: 1, value }
    }

    fn board(tasks: &[TaskRow]) -> TaskBoard {
        let mut board = TaskBoard::default();
        let rows = tasks.iter().map(table_row).collect();
        board.replace_partition(job_partition("t/j"), rows, Instant::now()).unwrap();
        board
    }

    #[test]
    fn ends_are_noticed_between_two_reads() {
        let mut tasks = rows(2);
        for task in &mut tasks {
            task.state = TaskState::Committed { worker: "w".to_string() };
        }
        let mut board = board(&tasks);
        tasks[0].state = TaskState::Ended(TaskEnd::Done { result: String::new() });
        tasks[1].on_failure("w", "x");
        board.replace_job("t/j", tasks.iter().map(table_row).collect()).unwrap();
        let news = board.take_news();
        assert_eq!(news.len(), 2);
        assert_eq!(news[1], TaskNews::Failed { worker: "w".to_string(), key: key_of(&tasks[1]) });
    }

    #[test]
    fn a_cancelled_job_is_over_when_nothing_runs() {
        let mut tasks = rows(2);
        tasks[0].state = TaskState::Committed { worker: "w".to_string() };
        let mut board = board(&tasks);
        let marker = TableRow { key: cancel_key("t/j"), version: 1, value: "true".to_string() };
        let read = tasks.iter().map(table_row).chain([marker.clone()]).collect();
        board.replace_job("t/j", read).unwrap();
        assert!(!board.has_queued());
        assert!(board.finished_jobs().is_empty());
        assert_eq!(board.cancelled_running()["w"], [("t/j".to_string(), 0)]);
        tasks[0].state = TaskState::Queued;
        let read = tasks.iter().map(table_row).chain([marker]).collect();
        board.replace_job("t/j", read).unwrap();
        assert_eq!(board.finished_jobs().len(), 1);
        board.remove_job("t/j");
        assert!(board.finished_jobs().is_empty());
    }

    #[test]
    fn queues_count_what_waits_and_what_runs() {
        let mut tasks = rows(3);
        tasks[0].state = TaskState::Committed { worker: "w".to_string() };
        tasks[1].urgent = true;
        let queues = board(&tasks).team_queues(5_000);
        let expected = TeamQueue {
            team: "t".to_string(),
            queued: 2,
            urgent: 1,
            running: 1,
            longest_wait: Duration::from_secs(5),
        };
        assert_eq!(queues, [expected]);
    }

    #[test]
    fn a_partition_is_due_when_unknown_old_or_distrusted() {
        let now = Instant::now();
        let limit = Duration::from_secs(30);
        let partition = job_partition("t/j");
        let acting = BTreeSet::from([partition]);
        let mut board = TaskBoard::default();
        assert_eq!(board.due_partitions(&acting, limit, now), [partition]);
        board.replace_partition(partition, Vec::new(), now).unwrap();
        assert!(board.due_partitions(&acting, limit, now).is_empty());
        assert_eq!(board.due_partitions(&acting, limit, now + limit), [partition]);
        board.distrust();
        assert_eq!(board.due_partitions(&acting, limit, now), [partition]);
    }
}
