//! HTTP interface for jobs that consist of steps, served by planner processes.

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
use crate::process::inbound::error_text::bounded_text;
use crate::workflow::progress::JobStatus;
use crate::workflow::spec::StepSpec;
use crate::workflow::spec::WorkflowSpec;

/// Time within which a caller gets a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a submission. The row of a job in the store is limited to 64 KiB.
const MAX_BODY_BYTES: usize = 60_000;
/// Maximum length of a job's name.
const MAX_JOB_ID_BYTES: usize = 100;
/// Value of the `Retry-After` header for a submission that could not be executed.
const RETRY_AFTER_SECONDS: &str = "1";

/// Body of a submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    /// Name of the job, chosen by the caller. Submitting the same job again has no effect.
    pub id: JobId,
    /// Queue of the job.
    pub queue: QueueName,
    /// Payload that is passed to every task of the job.
    #[serde(default)]
    pub payload: String,
    /// Steps of the job.
    pub steps: Vec<StepSpec>,
    /// Number of occurrences of a recurring job; zero for a job that runs once, immediately.
    #[serde(default)]
    pub times: u32,
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub first_due_ms: u64,
    /// Time between two occurrences, in milliseconds.
    #[serde(default)]
    pub interval_ms: u64,
}

/// Body of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResponse {
    /// State of the job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub state: Option<String>,
    /// Number of jobs of the queue of which no task has started.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pending: Option<u64>,
    /// Error message of a failed call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

type SharedGate = Arc<dyn JobGate>;

/// Creates the router of the job interface.
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
        .route("/v1/evacuations", get(evacuations))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES));
    closing_after_unread(router).with_state(gate)
}

async fn submit(
    State(gate): State<SharedGate>,
    body: Result<Json<Value>, JsonRejection>,
) -> Response {
    let body = match body {
        Ok(Json(body)) => body,
        Err(rejection) => return error_response(rejection.status(), rejection.body_text()),
    };
    let request = match decode_request(body) {
        Ok(request) => request,
        Err(text) => return error_response(StatusCode::UNPROCESSABLE_ENTITY, text),
    };
    if request.id.is_empty() || request.id.len() > MAX_JOB_ID_BYTES {
        let text = format!("id: must have 1 to {MAX_JOB_ID_BYTES} bytes");
        return error_response(StatusCode::BAD_REQUEST, text);
    }
    let Some(table) = gate.queues() else {
        return refusal_response(&JobRefusal::NotRun { reason: "no_configuration".to_string() });
    };
    let Some(policy) = table.find_queue(&request.queue) else {
        return error_response(StatusCode::NOT_FOUND, format!("no queue '{}'", request.queue));
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
        return error_response(StatusCode::BAD_REQUEST, findings.join("; "));
    }
    match gate.submit(&request.id, spec, CallDeadline::after(CALL_TIMEOUT)).await {
        Ok(()) => Json(JobResponse::default()).into_response(),
        Err(refused) => refusal_response(&refused),
    }
}

/// Decodes a submission. The error lists the paths of all unknown fields.
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
    match gate.status(&job, CallDeadline::after(CALL_TIMEOUT)).await {
        Ok(Some(status)) => {
            let state = Some(state_name(status).to_string());
            Json(JobResponse { state, ..JobResponse::default() }).into_response()
        }
        Ok(None) => error_response(StatusCode::NOT_FOUND, format!("no job '{job}'")),
        Err(refused) => refusal_response(&refused),
    }
}

async fn cancel(State(gate): State<SharedGate>, Path(job): Path<JobId>) -> Response {
    match gate.cancel(&job, CallDeadline::after(CALL_TIMEOUT)).await {
        Ok(true) => Json(JobResponse::default()).into_response(),
        Ok(false) => error_response(StatusCode::NOT_FOUND, format!("no job '{job}'")),
        Err(refused) => refusal_response(&refused),
    }
}

async fn pending(State(gate): State<SharedGate>, Path(queue): Path<QueueName>) -> Response {
    let is_known = gate.queues().is_some_and(|table| table.find_queue(&queue).is_some());
    if !is_known {
        return error_response(StatusCode::NOT_FOUND, format!("no queue '{queue}'"));
    }
    let pending = Some(gate.pending(&queue));
    Json(JobResponse { pending, ..JobResponse::default() }).into_response()
}

async fn evacuations(State(gate): State<SharedGate>) -> Response {
    match gate.evacuations() {
        Some(status) => Json(status).into_response(),
        None => {
            let reason = "no planner has published its state yet".to_string();
            refusal_response(&JobRefusal::NotRun { reason })
        }
    }
}

fn state_name(status: JobStatus) -> &'static str {
    match status {
        JobStatus::Queued => "queued",
        JobStatus::Running => "running",
        JobStatus::Ended(end) => end.as_str(),
    }
}

fn refusal_response(refused: &JobRefusal) -> Response {
    let text = refused.to_string();
    match refused {
        JobRefusal::NotRun { .. } => {
            let answer = error_response(StatusCode::SERVICE_UNAVAILABLE, text);
            ([(RETRY_AFTER, RETRY_AFTER_SECONDS)], answer).into_response()
        }
        JobRefusal::NotAdmitted { retry_after, .. } => {
            let answer = error_response(StatusCode::TOO_MANY_REQUESTS, text);
            ([(RETRY_AFTER, retry_after.as_secs().to_string())], answer).into_response()
        }
        JobRefusal::OtherJob => error_response(StatusCode::CONFLICT, text),
        JobRefusal::Unknown { .. } => error_response(StatusCode::GATEWAY_TIMEOUT, text),
    }
}

fn error_response(status: StatusCode, text: String) -> Response {
    let text = bounded_text(text);
    (status, Json(JobResponse { error: Some(text), ..JobResponse::default() })).into_response()
}
