//! The product's own interface for jobs of steps, at the planner processes.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::State;
use axum::extract::rejection::JsonRejection;
use axum::http::StatusCode;
use axum::http::header::RETRY_AFTER;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::ids::JobId;
use crate::ids::QueueName;
use crate::process::gate::CallDeadline;
use crate::process::gate::JobGate;
use crate::process::gate::JobRefusal;
use crate::process::http_server::closing_after_unread;
use crate::workflow::progress::JobStatus;
use crate::workflow::spec::StepSpec;
use crate::workflow::spec::WorkflowSpec;

/// Longest wait of a caller for an answer.
const CALL_WAIT: Duration = Duration::from_secs(3);
/// Largest submission in bytes: a job's row in the store has 64 KiB at most.
const LARGEST_BODY: usize = 60_000;
/// Longest name of a job in bytes.
const LONGEST_NAME: usize = 100;
/// When a caller that was refused should come back, in seconds.
const COME_BACK: &str = "1";

/// A submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    /// The caller's name for the job; a repeat gives the same job.
    pub id: JobId,
    /// The queue that takes it.
    pub queue: QueueName,
    /// What its tasks are told.
    #[serde(default)]
    pub payload: String,
    /// Its steps.
    pub steps: Vec<StepSpec>,
    /// How often it runs; zero for once, now.
    #[serde(default)]
    pub times: u32,
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub first_due_ms: u64,
    /// Time between two occurrences in milliseconds.
    #[serde(default)]
    pub interval_ms: u64,
}

/// An answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResponse {
    /// State of the job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub state: Option<String>,
    /// Jobs of the queue of which no task has started.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pending: Option<u64>,
    /// Why there is no result.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

type SharedGate = Arc<dyn JobGate>;

/// The routes of the listener for jobs.
///
/// ```no_run
/// # use std::sync::Arc;
/// # fn f(gate: Arc<dyn greengagearch::process::gate::JobGate>) {
/// let router = greengagearch::process::planning::job_http::router(gate);
/// # }
/// ```
pub fn router(gate: SharedGate) -> Router {
    let router = Router::new()
        .route("/v1/workflows", post(submit))
        .route("/v1/workflows/{job}", get(status).delete(cancel))
        .route("/v1/queues/{queue}", get(pending))
        .layer(DefaultBodyLimit::max(LARGEST_BODY));
    closing_after_unread(router).with_state(gate)
}

async fn submit(
    State(gate): State<SharedGate>,
    body: Result<Json<Value>, JsonRejection>,
) -> Response {
    let body = match body {
        Ok(Json(body)) => body,
        Err(rejection) => return failure(rejection.status(), rejection.body_text()),
    };
    let request = match decode_request(body) {
        Ok(request) => request,
        Err(text) => return failure(StatusCode::UNPROCESSABLE_ENTITY, text),
    };
    if request.id.is_empty() || request.id.len() > LONGEST_NAME {
        let text = format!("id: give 1 to {LONGEST_NAME} bytes");
        return failure(StatusCode::BAD_REQUEST, text);
    }
    let Some(table) = gate.queues() else {
        return refusal(&JobRefusal::NotRun { reason: "no_configuration".to_string() });
    };
    let Some(policy) = table.find_queue(&request.queue) else {
        return failure(StatusCode::NOT_FOUND, format!("no queue '{}'", request.queue));
    };
    let spec = WorkflowSpec {
        policy: policy.clone(),
        payload: request.payload,
        steps: request.steps,
        times: request.times,
        first_due_ms: request.first_due_ms,
        interval_ms: request.interval_ms,
        accepted_ms: gate.wall_millis(),
    };
    let findings = spec.findings();
    if !findings.is_empty() {
        return failure(StatusCode::BAD_REQUEST, findings.join("; "));
    }
    match gate.submit(&request.id, spec, CallDeadline::after(CALL_WAIT)).await {
        Ok(()) => Json(JobResponse::default()).into_response(),
        Err(refused) => refusal(&refused),
    }
}

/// Decodes a submission. The error names all fields that are unknown, with their places.
fn decode_request(body: Value) -> Result<JobRequest, String> {
    let mut unknown = Vec::new();
    let request = serde_ignored::deserialize(body, |path| unknown.push(path.to_string()));
    match request {
        Ok(request) if unknown.is_empty() => Ok(request),
        Ok(_) => Err(format!("unknown: {}", unknown.join(", "))),
        Err(error) => Err(error.to_string()),
    }
}

async fn status(State(gate): State<SharedGate>, Path(job): Path<JobId>) -> Response {
    match gate.status(&job, CallDeadline::after(CALL_WAIT)).await {
        Ok(Some(status)) => {
            let state = Some(state_word(status).to_string());
            Json(JobResponse { state, ..JobResponse::default() }).into_response()
        }
        Ok(None) => failure(StatusCode::NOT_FOUND, format!("no job '{job}'")),
        Err(refused) => refusal(&refused),
    }
}

async fn cancel(State(gate): State<SharedGate>, Path(job): Path<JobId>) -> Response {
    match gate.cancel(&job, CallDeadline::after(CALL_WAIT)).await {
        Ok(true) => Json(JobResponse::default()).into_response(),
        Ok(false) => failure(StatusCode::NOT_FOUND, format!("no job '{job}'")),
        Err(refused) => refusal(&refused),
    }
}

async fn pending(State(gate): State<SharedGate>, Path(queue): Path<QueueName>) -> Response {
    let is_known = gate.queues().is_some_and(|table| table.find_queue(&queue).is_some());
    if !is_known {
        return failure(StatusCode::NOT_FOUND, format!("no queue '{queue}'"));
    }
    let pending = Some(gate.pending(&queue));
    Json(JobResponse { pending, ..JobResponse::default() }).into_response()
}

fn state_word(status: JobStatus) -> &'static str {
    match status {
        JobStatus::Queued => "queued",
        JobStatus::Running => "running",
        JobStatus::Ended(end) => end.word(),
    }
}

fn refusal(refused: &JobRefusal) -> Response {
    let text = refused.to_string();
    match refused {
        JobRefusal::NotRun { .. } => {
            let answer = failure(StatusCode::SERVICE_UNAVAILABLE, text);
            ([(RETRY_AFTER, COME_BACK)], answer).into_response()
        }
        JobRefusal::OtherJob => failure(StatusCode::CONFLICT, text),
        JobRefusal::Unknown { .. } => failure(StatusCode::GATEWAY_TIMEOUT, text),
    }
}

fn failure(status: StatusCode, text: String) -> Response {
    (status, Json(JobResponse { error: Some(text), ..JobResponse::default() })).into_response()
}
