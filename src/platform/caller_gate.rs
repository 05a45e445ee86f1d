//! The listener for the platform's clients: decodes their calls into those of the product's job desk.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::to_bytes;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::StatusCode;
use axum::http::header::HOST;
use axum::http::header::RETRY_AFTER;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use serde::Deserialize;
use serde_json::json;

use crate::process::gate::CallDeadline;
use crate::process::gate::JobGate;
use crate::process::gate::JobRefusal;
use crate::process::http_server::HttpLimits;
use crate::process::http_server::ListenerSettings;
use crate::process::http_server::closing_after_unread;
use crate::process::http_server::with_close;
use crate::process::inbound::bounded_list::bounded_list;
use crate::process::inbound::connection_guard::CloseReason;
use crate::process::inbound::connection_guard::ConnectionGuard;
use crate::process::inbound::error_text::bounded_text;
use crate::version::queue_table::QueueRoute;
use crate::version::queue_table::QueueTable;
use crate::version::queue_table::RequestLimits;
use crate::workflow::progress::JobEnd;
use crate::workflow::progress::JobStatus;
use crate::workflow::spec::MAX_WORKFLOW_TASKS;
use crate::workflow::spec::QueuePolicy;
use crate::workflow::spec::ResourceVector;
use crate::workflow::spec::StepSpec;
use crate::workflow::spec::WorkflowSpec;

/// Header that tells how long the client waits for the answer, in milliseconds.
const DEADLINE: &str = "X-Greengagearch-Deadline-Ms";
/// How long a client waits that does not say.
const DEFAULT_WAIT: Duration = Duration::from_millis(3_000);
/// Added to the times that the configuration gives callers: what was sent in time may arrive later.
const NETWORK_RESERVE: Duration = Duration::from_secs(1);
/// Most steps of a job; each has a task at least.
const MAX_STEPS: usize = MAX_WORKFLOW_TASKS as usize;
/// Length of a job's name, in hexadecimal digits.
const NAME_DIGITS: usize = 16;

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WireStep {
    #[serde(rename = "Count")]
    count: u32,
    #[serde(rename = "Cpu")]
    millicores: u64,
    #[serde(rename = "MemMb")]
    memory_mib: u64,
    #[serde(rename = "Gpu")]
    accelerators: u64,
    #[serde(rename = "EstimateMs")]
    estimate_ms: u64,
    #[serde(rename = "After")]
    after: Vec<usize>,
    #[serde(rename = "Checkpoints")]
    checkpoints: bool,
    #[serde(rename = "Gang")]
    gang: bool,
    #[serde(rename = "Colocated")]
    colocated: bool,
    #[serde(rename = "RequiredLabel")]
    required_label: String,
    #[serde(rename = "PreferredRack")]
    preferred_rack: String,
    /// Per worker, not per server of the system.
    #[serde(rename = "MaxPerServer")]
    max_per_worker: u32,
    #[serde(rename = "Speculative")]
    speculative: bool,
    #[serde(rename = "LongRunning")]
    long_running: bool,
    #[serde(rename = "Image")]
    image: String,
    /// Bound on the tail latency of a task that serves.
    #[serde(rename = "TargetMs")]
    target_ms: u64,
    #[serde(rename = "Fills")]
    fills: bool,
    #[serde(rename = "MayMiss")]
    may_miss: u32,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WireJob {
    /// Text for the tasks; the specification of the work is in the steps.
    #[serde(rename = "Spec")]
    payload: String,
    #[serde(rename = "Steps", deserialize_with = "bounded_list::<_, _, MAX_STEPS>")]
    steps: Vec<WireStep>,
    #[serde(rename = "Times")]
    times: u32,
    #[serde(rename = "FirstMs")]
    first_due_ms: u64,
    #[serde(rename = "IntervalMs")]
    interval_ms: u64,
}

type SharedGate = Arc<dyn JobGate>;

/// The routes of the callers' listener.
///
/// ```no_run
/// # use std::sync::Arc;
/// # fn f(gate: Arc<dyn greengagearch::process::gate::JobGate>) {
/// let router = greengagearch::platform::caller_gate::router(gate);
/// # }
/// ```
pub fn router(gate: SharedGate) -> Router {
    closing_after_unread(Router::new().fallback(take_call)).with_state(gate)
}

/// Settings of the callers' listener.
///
/// ```no_run
/// # use std::sync::Arc;
/// # fn f(gate: Arc<dyn greengagearch::process::gate::JobGate>) {
/// let settings = greengagearch::platform::caller_gate::listener_settings(gate, Arc::default());
/// # }
/// ```
pub fn listener_settings(gate: SharedGate, guard: Arc<ConnectionGuard>) -> ListenerSettings {
    let limits = move || gate.queues().map(|table| http_limits(&table.limits)).unwrap_or_default();
    let settings = ListenerSettings::new("callers", guard);
    ListenerSettings { limits: Arc::new(limits), refusal: refuse_unread, ..settings }
}

fn http_limits(limits: &RequestLimits) -> HttpLimits {
    HttpLimits {
        header_timeout: limits.head_timeout + NETWORK_RESERVE,
        idle_timeout: limits.idle_timeout + NETWORK_RESERVE,
        body_timeout: limits.idle_timeout + NETWORK_RESERVE,
        head_bytes: limits.max_head_bytes,
        ..HttpLimits::default()
    }
}

/// The response to a request that was refused while its body was received, so that it has not run.
fn refuse_unread(_: &HeaderMap, reason: CloseReason) -> Response {
    refusal(&JobRefusal::NotRun { reason: reason.as_str().to_string() })
}

/// The routes of the listener at which the platform asks whether the process is ready.
///
/// ```no_run
/// # use std::sync::Arc;
/// # fn f(gate: Arc<dyn greengagearch::process::gate::JobGate>) {
/// let router = greengagearch::platform::caller_gate::ready_router(gate);
/// # }
/// ```
pub fn ready_router(gate: SharedGate) -> Router {
    Router::new().route("/-/ready", get(tell_ready)).with_state(gate)
}

async fn tell_ready(State(gate): State<SharedGate>) -> StatusCode {
    if gate.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

async fn take_call(State(gate): State<SharedGate>, request: Request) -> Response {
    let Some(table) = gate.queues() else {
        return refusal(&JobRefusal::NotRun { reason: "no_configuration".to_string() });
    };
    let deadline = CallDeadline::after(wait_of(request.headers()));
    let host = host_of(&request);
    let path = request.uri().path().to_string();
    let Some((route, name)) = table.find_route(&host, &path) else {
        return error(StatusCode::NOT_FOUND, "no such queue");
    };
    if name.is_empty() && request.method() == Method::GET {
        let pending = gate.pending(&route.policy.queue);
        return Json(json!({ "Pending": pending })).into_response();
    }
    if name.len() != NAME_DIGITS || !name.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return error(StatusCode::BAD_REQUEST, "a job's name has 16 hexadecimal digits");
    }
    match *request.method() {
        Method::POST => submit(&gate, &table, route, name, request, deadline).await,
        Method::GET => match gate.status(name, deadline).await {
            Ok(Some(status)) => Json(json!({ "State": status_word(status) })).into_response(),
            Ok(None) => error(StatusCode::GONE, "no such job"),
            Err(refused) => refusal(&refused),
        },
        Method::DELETE => match gate.cancel(name, deadline).await {
            Ok(true) => Json(json!({})).into_response(),
            Ok(false) => error(StatusCode::GONE, "no such job"),
            Err(refused) => refusal(&refused),
        },
        _ => error(StatusCode::METHOD_NOT_ALLOWED, "use GET, POST or DELETE"),
    }
}

async fn submit(
    gate: &SharedGate,
    table: &QueueTable,
    route: &QueueRoute,
    name: &str,
    request: Request,
    deadline: CallDeadline,
) -> Response {
    let limit = table.limits.max_body_bytes;
    let Ok(body) = to_bytes(request.into_body(), limit).await else {
        return with_close(error(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
    };
    let wire: WireJob = match serde_json::from_slice(&body) {
        Ok(wire) => wire,
        Err(cause) => return error(StatusCode::BAD_REQUEST, &cause.to_string()),
    };
    let spec = decode_job(wire, route.policy.clone(), gate.wall_millis());
    let findings = spec.findings();
    if !findings.is_empty() {
        return error(StatusCode::BAD_REQUEST, &findings.join("; "));
    }
    match gate.submit(name, spec, deadline).await {
        Ok(()) => Json(json!({})).into_response(),
        Err(refused) => refusal(&refused),
    }
}

fn decode_job(wire: WireJob, policy: QueuePolicy, accepted_ms: u64) -> WorkflowSpec {
    WorkflowSpec {
        policy,
        payload: wire.payload,
        steps: wire.steps.into_iter().map(decode_step).collect(),
        times: wire.times,
        first_due_ms: wire.first_due_ms,
        interval_ms: wire.interval_ms,
        accepted_ms,
    }
}

fn decode_step(wire: WireStep) -> StepSpec {
    StepSpec {
        count: wire.count,
        resources: ResourceVector {
            millicores: wire.millicores,
            memory_mib: wire.memory_mib,
            accelerators: wire.accelerators,
        },
        estimate_ms: wire.estimate_ms,
        after: wire.after,
        checkpoints: wire.checkpoints,
        gang: wire.gang,
        colocated: wire.colocated,
        required_label: wire.required_label,
        preferred_rack: wire.preferred_rack,
        max_per_worker: wire.max_per_worker,
        speculative: wire.speculative,
        long_running: wire.long_running,
        image: wire.image,
        target_ms: wire.target_ms,
        best_effort: wire.fills,
        max_unavailable: wire.may_miss,
    }
}

fn wait_of(headers: &HeaderMap) -> Duration {
    let text = headers.get(DEADLINE).and_then(|value| value.to_str().ok());
    let millis = text.and_then(|text| text.parse().ok());
    millis.map_or(DEFAULT_WAIT, Duration::from_millis)
}

/// The host that a request names, without a port.
fn host_of(request: &Request) -> String {
    let header = request.headers().get(HOST).and_then(|value| value.to_str().ok());
    let host = header.or_else(|| request.uri().host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default().to_ascii_lowercase()
}

fn status_word(status: JobStatus) -> &'static str {
    match status {
        JobStatus::Queued => "queued",
        JobStatus::Running => "running",
        JobStatus::Ended(JobEnd::Completed) => "completed",
        JobStatus::Ended(JobEnd::Failed) => "failed",
        JobStatus::Ended(JobEnd::Cancelled | JobEnd::Withdrawn) => "canceled",
    }
}

fn refusal(refused: &JobRefusal) -> Response {
    match refused {
        JobRefusal::NotRun { reason } => {
            let body = Json(json!({ "Error": reason, "RetryMs": 1_000 }));
            (StatusCode::SERVICE_UNAVAILABLE, [(RETRY_AFTER, "1")], body).into_response()
        }
        JobRefusal::NotAdmitted { retry_after, .. } => {
            let seconds = retry_after.as_secs();
            let error = refused.to_string();
            let body = Json(json!({ "Error": error, "RetryMs": seconds * 1_000 }));
            let headers = [(RETRY_AFTER, seconds.to_string())];
            (StatusCode::TOO_MANY_REQUESTS, headers, body).into_response()
        }
        JobRefusal::OtherJob => {
            error(StatusCode::CONFLICT, "the name belongs to a job with another body")
        }
        JobRefusal::Unknown { reason } => error(StatusCode::GATEWAY_TIMEOUT, reason),
    }
}

fn error(status: StatusCode, message: &str) -> Response {
    let message = bounded_text(message.to_string());
    (status, Json(json!({ "Error": message }))).into_response()
}
