//! Submission, status and cancellation of jobs.

use axum::Json;
use axum::extract::Path;
use axum::extract::State;
use axum::extract::rejection::JsonRejection;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use serde::Serialize;
use snafu::Snafu;

use crate::connection::rpc_client::call_within;
use crate::external::table::TableError;
use crate::external::table::TableTransaction;
use crate::external::write_budget::WritePriority;
use crate::process::clock;
use crate::process::entry::caller_http::CallerState;
use crate::process::entry::scheduler::SchedulerNews;
use crate::process::entry::shared::EntryShared;
use crate::process::inbound::error_text::bounded_text;
use crate::request::job::JobRow;
use crate::request::job::JobSpec;
use crate::request::job::JobState;
use crate::request::job::TaskRow;
use crate::request::job::cancel_key;
use crate::request::job::job_key;
use crate::request::job::job_name;
use crate::request::job::job_partition;
use crate::request::job::job_tasks_prefix;
use crate::request::job::task_key;
use crate::request::job::task_rows;
use crate::request::job::validate_spec;

/// Tries to commit before a submission's outcome is called unknown.
const COMMIT_TRIES: usize = 4;
/// Longest wait for the owner of the partition to take a note of changed tasks.
const NUDGE_CALL: std::time::Duration = std::time::Duration::from_millis(500);

/// Why a job was not taken, found or cancelled.
#[derive(Debug, Snafu)]
pub enum JobError {
    /// The submission is malformed.
    #[snafu(display("{}", findings.join("; ")))]
    Malformed {
        /// What is wrong with it.
        findings: Vec<String>,
    },
    /// The team owns no document that is in force.
    #[snafu(display("team '{team}' owns no document in force"))]
    UnknownTeam {
        /// The team.
        team: String,
    },
    /// A task can never run.
    #[snafu(display("tasks[{index}]: can never run: larger than {bound}"))]
    NeverRuns {
        /// Position of the first such task.
        index: usize,
        /// What it is larger than.
        bound: &'static str,
    },
    /// The id came before with another body.
    #[snafu(display("job '{job}' was submitted before with another body"))]
    Conflict {
        /// The job.
        job: String,
    },
    /// There is no such job.
    #[snafu(display("job '{job}' is not known"))]
    NotFound {
        /// The job.
        job: String,
    },
    /// The table service did not take the change.
    #[snafu(display("the table service is unavailable; nothing was changed"))]
    Unavailable,
    /// The table service's answer was lost.
    #[snafu(display("the table service's answer was lost; repeat the call to find out"))]
    Ambiguous,
}

impl IntoResponse for JobError {
    fn into_response(self) -> Response {
        let status = match self {
            JobError::Malformed { .. } => StatusCode::BAD_REQUEST,
            JobError::UnknownTeam { .. } => StatusCode::FORBIDDEN,
            JobError::NeverRuns { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            JobError::Conflict { .. } => StatusCode::CONFLICT,
            JobError::NotFound { .. } => StatusCode::NOT_FOUND,
            JobError::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            JobError::Ambiguous => StatusCode::GATEWAY_TIMEOUT,
        };
        (status, Json(serde_json::json!({ "error": bounded_text(self.to_string()) })))
            .into_response()
    }
}

impl From<TableError> for JobError {
    fn from(error: TableError) -> JobError {
        match error {
            TableError::Ambiguous | TableError::Conflict { .. } => JobError::Ambiguous,
            TableError::Unavailable | TableError::Malformed { .. } => JobError::Unavailable,
        }
    }
}

/// A job with its tasks, as it is told to callers.
#[derive(Clone, Debug, Serialize)]
pub struct JobReport {
    /// The job's row.
    #[serde(flatten)]
    pub row: JobRow,
    /// Rows of its tasks, until the job has ended.
    pub tasks: Vec<TaskRow>,
}

/// Takes a job; answers after the commit.
pub async fn handle_submit(
    State(state): State<CallerState>,
    spec: Result<Json<JobSpec>, JsonRejection>,
) -> Result<Response, JobError> {
    let Json(spec) =
        spec.map_err(|rejection| JobError::Malformed { findings: vec![rejection.body_text()] })?;
    let (is_new, row) = submit(&state.shared, spec).await?;
    nudge(&state, &job_name(&row.spec.team, &row.spec.id)).await;
    let status = if is_new { StatusCode::CREATED } else { StatusCode::OK };
    Ok((status, Json(JobReport { row, tasks: Vec::new() })).into_response())
}

/// Tells of a job.
pub async fn handle_status(
    State(state): State<CallerState>,
    Path((team, id)): Path<(String, String)>,
) -> Result<Json<JobReport>, JobError> {
    let job = job_name(&team, &id);
    let found = read_job(&state.shared, &job).await?;
    let (row, _) = found.ok_or(JobError::NotFound { job: job.clone() })?;
    let mut tasks = Vec::new();
    if row.state != JobState::Ended {
        let rows = state.shared.table.list(&job_tasks_prefix(&job)).await?;
        tasks = rows.iter().filter_map(|row| row.decode::<TaskRow>().ok()).collect();
    }
    Ok(Json(JobReport { row, tasks }))
}

/// Cancels a job; one write, whatever the number of its tasks.
pub async fn handle_cancel(
    State(state): State<CallerState>,
    Path((team, id)): Path<(String, String)>,
) -> Result<Json<JobReport>, JobError> {
    let job = job_name(&team, &id);
    let mut is_ambiguous = false;
    for _ in 0..COMMIT_TRIES {
        let found = read_job(&state.shared, &job).await;
        let found = found.map_err(|error| after_write(error, is_ambiguous))?;
        let (mut row, version) = found.ok_or(JobError::NotFound { job: job.clone() })?;
        if row.state != JobState::Active {
            nudge(&state, &job).await;
            return Ok(Json(JobReport { row, tasks: Vec::new() }));
        }
        row.state = JobState::Cancelled;
        let mut transaction = TableTransaction::of(WritePriority::Caller);
        transaction.put(&job_key(&job), version, &row);
        transaction.put(&cancel_key(&job), 0, &true);
        match state.shared.table.commit(transaction).await {
            // The next round reads what came of it.
            Ok(_) | Err(TableError::Conflict { .. }) => {}
            Err(TableError::Ambiguous) => is_ambiguous = true,
            Err(error) => return Err(after_write(error.into(), is_ambiguous)),
        }
    }
    Err(JobError::Ambiguous)
}

/// Commits a submission, or finds that it was committed before. Gives whether it is new.
async fn submit(shared: &EntryShared, spec: JobSpec) -> Result<(bool, JobRow), JobError> {
    check(shared, &spec).await?;
    let job = job_name(&spec.team, &spec.id);
    let submitted_millis = shared.clock.wall_millis();
    let row = JobRow { spec, state: JobState::Active, submitted_millis, ends: Vec::new() };
    let mut transaction = TableTransaction::of(WritePriority::Caller);
    transaction.put(&job_key(&job), 0, &row);
    for task in task_rows(&row.spec, submitted_millis) {
        transaction.put(&task_key(&job, task.index), 0, &task);
    }
    let mut is_ambiguous = false;
    for _ in 0..COMMIT_TRIES {
        match shared.table.commit(transaction.clone()).await {
            Ok(_) => return Ok((true, row)),
            Err(TableError::Conflict { .. }) => {
                let found = read_job(shared, &job).await;
                let found = found.map_err(|error| after_write(error, is_ambiguous))?;
                let (known, _) = found.ok_or(JobError::Ambiguous)?;
                let is_same = known.spec == row.spec;
                // An answer that was lost looks the same as a repeat, and is as good.
                return is_same.then_some((false, known)).ok_or(JobError::Conflict { job });
            }
            // The same transaction can take effect only once, so it may be sent again.
            Err(TableError::Ambiguous) => is_ambiguous = true,
            Err(error) => return Err(after_write(error.into(), is_ambiguous)),
        }
    }
    Err(JobError::Ambiguous)
}

/// What a failure comes to after a write: if that write's answer was lost, the failure tells nothing of it.
fn after_write(error: JobError, is_ambiguous: bool) -> JobError {
    match error {
        JobError::Unavailable if is_ambiguous => JobError::Ambiguous,
        error => error,
    }
}

async fn check(shared: &EntryShared, spec: &JobSpec) -> Result<(), JobError> {
    let findings = validate_spec(spec);
    if !findings.is_empty() {
        return Err(JobError::Malformed { findings });
    }
    let quota = shared.with_catalog(|catalog| catalog.quota(&spec.team));
    let Some(quota) = quota else {
        return Err(JobError::UnknownTeam { team: spec.team.clone() });
    };
    let recently = clock::now().checked_sub(WORKER_ROWS_AGE).unwrap_or_else(clock::now);
    let workers = shared.worker_rows_since(recently).await?;
    for (index, task) in spec.tasks.iter().enumerate() {
        if !quota.contains(&task.resources) {
            return Err(JobError::NeverRuns { index, bound: "the team's quota" });
        }
        let fits = workers.iter().any(|row| row.capacity.contains(&task.resources));
        if !fits && !workers.is_empty() {
            return Err(JobError::NeverRuns { index, bound: "every worker" });
        }
    }
    Ok(())
}

/// Age up to which the workers' capacities are good enough for a check.
const WORKER_ROWS_AGE: std::time::Duration = std::time::Duration::from_secs(5);

async fn read_job(shared: &EntryShared, job: &str) -> Result<Option<(JobRow, u64)>, JobError> {
    match shared.table.get(&job_key(job)).await? {
        Some(row) => Ok(Some((row.decode()?, row.version))),
        None => Ok(None),
    }
}

/// Tells the owner of the job's partition that there is something to do.
async fn nudge(state: &CallerState, job: &str) {
    let partition = job_partition(job);
    let owner = {
        let view = state.shared.view();
        view.map().owner_of(partition).cloned()
    };
    let Some(owner) = owner else { return };
    if owner.incarnation == state.shared.member.incarnation {
        // A full mailbox means that a look is due anyway.
        let _ = state.scheduler.tell(SchedulerNews::JobChanged(job.to_string())).await;
        return;
    }
    if let Ok(client) = state.shared.entry_connections.client(&owner.address).await {
        // The owner looks by itself after a while when this is lost.
        let _ = client.job_changed(call_within(NUDGE_CALL), job.to_string()).await;
    }
}
