//! The callers' listener: requests to services, and jobs.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::to_bytes;
use axum::extract::Path;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::http::header::RETRY_AFTER;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use kameo::actor::ActorRef;
use serde::Serialize;
use tokio::time::timeout;

use crate::connection::protocol::ServiceRequest;
use crate::connection::protocol::TracedOutcome;
use crate::ids::RequestId;
use crate::process::burn_cause::EndedRequest;
use crate::process::burn_cause::judge;
use crate::process::clock;
use crate::process::entry::broker;
use crate::process::entry::job_http;
use crate::process::entry::scheduler::SchedulerActor;
use crate::process::entry::shared::EntryShared;
use crate::process::http_server::ListenerSettings;
use crate::process::http_server::closing_after_unread;
use crate::process::http_server::with_close;
use crate::process::inbound::connection_guard::CloseReason;
use crate::process::inbound::connection_guard::ConnectionGuard;
use crate::request::outcome::NotRunReason;
use crate::request::outcome::RequestOutcome;
use crate::request::outcome::UnknownReason;
use crate::request::outcome::body_digest;
use crate::request::request_id::id_time;
use crate::version::document::ServiceDocument;

/// Header that carries a request's id, on requests and answers.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that carries a request's deadline in milliseconds from its receipt.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header by which a caller says whether the request may run more than once.
pub const IDEMPOTENT_HEADER: &str = "x-idempotent";
/// Header that names the caller, for fairness between callers.
pub const CALLER_HEADER: &str = "x-caller";
/// Header of an answer that tells the outcome: answered, not_run or unknown.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// Longest time for which a caller may take to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Copies of a body while its request is served: as received, in the request, in the message to the
/// agent and in the buffer of its connection.
const BODY_COPIES: u64 = 4;
/// When to come back after a refusal that is expected to pass.
const RETRY_HINT: Duration = Duration::from_secs(1);

/// State of the callers' listener.
#[derive(Clone)]
pub struct CallerState {
    /// What the parts of the entry share.
    pub shared: Arc<EntryShared>,
    /// The entry's scheduler.
    pub scheduler: ActorRef<SchedulerActor>,
}

/// Body of an answer that is not an endpoint's.
#[derive(Clone, Debug, Serialize)]
pub struct OutcomeBody {
    /// `not_run` or `unknown`.
    pub outcome: &'static str,
    /// Machine-readable reason.
    pub reason: String,
    /// When it is worth coming back, in milliseconds.
    pub retry_after_millis: u64,
}

/// Settings of the callers' listener.
pub fn listener_settings(guard: Arc<ConnectionGuard>) -> ListenerSettings {
    let settings = ListenerSettings::new("callers", guard);
    ListenerSettings { refusal: refuse_unread, body_copies: BODY_COPIES, ..settings }
}

/// The response to a request that was refused while its body was received, so that this try of it
/// has not run.
fn refuse_unread(headers: &HeaderMap, reason: CloseReason) -> Response {
    if reason == CloseReason::BodyTimeout {
        return bad_request(StatusCode::REQUEST_TIMEOUT, "body: not sent in time");
    }
    if headers.contains_key(REQUEST_ID_HEADER) {
        // An earlier try with this id may have run, which only the owner of the id knows.
        return respond(RequestOutcome::Unknown(UnknownReason::NoOwner));
    }
    refuse(NotRunReason::Overloaded)
}

/// The routes of the callers' listener.
pub fn router(shared: Arc<EntryShared>, scheduler: ActorRef<SchedulerActor>) -> Router {
    let jobs = Router::new().route("/v1/jobs", post(job_http::handle_submit)).route(
        "/v1/jobs/{team}/{job}",
        get(job_http::handle_status).delete(job_http::handle_cancel),
    );
    closing_after_unread(jobs)
        .route("/v1/services/{service}/requests", post(handle_request))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(handle_ready))
        .with_state(CallerState { shared, scheduler })
}

async fn handle_ready(State(state): State<CallerState>) -> (StatusCode, &'static str) {
    if state.shared.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// What the headers of a request say.
struct RequestHeaders {
    id: Option<RequestId>,
    deadline: Duration,
    idempotent: bool,
    caller: String,
    content_type: String,
}

async fn handle_request(
    State(state): State<CallerState>,
    Path(service): Path<String>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let started = clock::now();
    let shared = state.shared;
    if !shared.is_catalog_ready() || shared.is_draining() {
        let is_repeatable = headers.contains_key(REQUEST_ID_HEADER);
        let refusal = refusal(NotRunReason::Draining);
        return with_close(respond(if is_repeatable { vouched(refusal) } else { refusal }));
    }
    let document = shared.with_catalog(|catalog| catalog.document(&service));
    let Some(document) = document else {
        return with_close(refuse(NotRunReason::UnknownService));
    };
    let parsed = match parse_headers(&headers, &document) {
        Ok(parsed) => parsed,
        Err(message) => return with_close(bad_request(StatusCode::BAD_REQUEST, &message)),
    };
    let body = match read_body(body, &headers, document.requests.largest_body).await {
        Ok(body) => body,
        Err(answer) => return with_close(answer),
    };
    let request = ServiceRequest {
        id: parsed.id.unwrap_or_else(RequestId::now_v7),
        service,
        caller: parsed.caller,
        idempotent: parsed.idempotent,
        time_left: parsed.deadline.saturating_sub(clock::elapsed(started)),
        content_type: parsed.content_type,
        digest: body_digest(&body),
        body,
    };
    serve(shared, request, parsed.id.is_none(), started).await
}

async fn serve(
    shared: Arc<EntryShared>,
    mut request: ServiceRequest,
    make_id: bool,
    started: Instant,
) -> Response {
    if make_id && !request.idempotent {
        // Without a partition of its own the entry forwards, like with an id of the caller's.
        request.id = broker::own_id(&shared).unwrap_or_else(RequestId::now_v7);
    }
    let id = request.id;
    let is_repeatable = !make_id && !request.idempotent;
    let service = request.service.clone();
    let flight = shared.begin_flight();
    // A task of its own: a caller that hangs up must not cut the request off half-way.
    let run = tokio::spawn(broker::run(shared.clone(), request));
    let lost = RequestOutcome::Unknown(UnknownReason::AnswerLost);
    let ended = run.await.unwrap_or(lost.into());
    drop(flight);
    count(&shared, &service, &ended, clock::elapsed(started));
    let outcome = if is_repeatable { vouched(ended.outcome) } else { ended.outcome };
    let mut response = respond(outcome);
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
    }
    response
}

/// What may be said of an id that the caller made: it may have been tried before, so that "not run"
/// is said only by who knows of earlier tries.
fn vouched(outcome: RequestOutcome) -> RequestOutcome {
    match outcome {
        RequestOutcome::NotRun { reason, .. } if reason.applies_to_this_attempt_only() => {
            RequestOutcome::Unknown(UnknownReason::NoOwner)
        }
        outcome => outcome,
    }
}

fn count(shared: &EntryShared, service: &str, ended: &TracedOutcome, time: Duration) {
    let text = ended.outcome.to_string();
    let (kind, reason) = text.split_once('/').unwrap_or((&text, ""));
    shared.metrics.outcomes.with_label_values(&[service, kind, reason]).inc();
    shared.metrics.latency.observe(time.as_secs_f64());
    let objective = shared.with_catalog(|catalog| {
        catalog.document(service).map(|document| document.objective.latency)
    });
    let Some(objective) = objective else { return };
    let is_late = time > objective;
    let worker = ended.trace.worker.as_ref().filter(|_| is_late);
    let is_answered = matches!(ended.outcome, RequestOutcome::Answered(_));
    let event = EndedRequest {
        // Of no account for answers, and the view is shared by all requests.
        store_silent: !is_answered && !shared.view().has_recent_read(clock::now()),
        outcome: &ended.outcome,
        time,
        queued: ended.trace.queued,
        neighbour: worker.and_then(|worker| shared.worst_neighbour(service, worker)),
    };
    if let Some(event) = judge(&event, objective) {
        shared.burn().count(service, event, shared.clock.wall_millis());
    }
}

fn parse_headers(
    headers: &HeaderMap,
    document: &ServiceDocument,
) -> Result<RequestHeaders, String> {
    let rules = &document.requests;
    let deadline = match text_of(headers, DEADLINE_HEADER)? {
        None => rules.default_deadline,
        Some(text) => parse_deadline(&text, rules.largest_deadline)?,
    };
    let idempotent = match text_of(headers, IDEMPOTENT_HEADER)?.as_deref() {
        None => rules.idempotent,
        Some("true") => true,
        Some("false") => false,
        Some(other) => {
            return Err(format!("{IDEMPOTENT_HEADER}: '{other}' is neither true nor false"));
        }
    };
    let id = match text_of(headers, REQUEST_ID_HEADER)? {
        None => None,
        Some(text) => Some(parse_id(&text)?),
    };
    Ok(RequestHeaders {
        id,
        deadline,
        idempotent,
        caller: text_of(headers, CALLER_HEADER)?.unwrap_or_default(),
        content_type: text_of(headers, CONTENT_TYPE.as_str())?.unwrap_or_default(),
    })
}

fn text_of(headers: &HeaderMap, name: &str) -> Result<Option<String>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| format!("{name}: only ASCII text is allowed"))?;
    Ok(Some(text.to_string()))
}

fn parse_deadline(text: &str, largest: Duration) -> Result<Duration, String> {
    let millis: u64 = text
        .parse()
        .map_err(|_| format!("{DEADLINE_HEADER}: '{text}' is no whole number of milliseconds"))?;
    let deadline = Duration::from_millis(millis);
    if deadline.is_zero() || deadline > largest {
        let largest = largest.as_millis();
        return Err(format!("{DEADLINE_HEADER}: {millis} is not between 1 and {largest}"));
    }
    Ok(deadline)
}

fn parse_id(text: &str) -> Result<RequestId, String> {
    let id = RequestId::parse_str(text)
        .map_err(|error| format!("{REQUEST_ID_HEADER}: '{text}' is no UUID: {error}"))?;
    if id_time(&id).is_none() {
        return Err(format!("{REQUEST_ID_HEADER}: '{text}' is no UUID of version 7"));
    }
    Ok(id)
}

async fn read_body(body: Body, headers: &HeaderMap, limit: usize) -> Result<Vec<u8>, Response> {
    let too_large = || {
        let message = format!("body: more than {limit} bytes");
        bad_request(StatusCode::PAYLOAD_TOO_LARGE, &message)
    };
    let declared = headers.get("content-length").and_then(|value| value.to_str().ok());
    let declared = declared.and_then(|text| text.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    match timeout(BODY_TIMEOUT, to_bytes(body, limit + 1)).await {
        Ok(Ok(bytes)) if bytes.len() <= limit => Ok(bytes.into()),
        Ok(Ok(_)) => Err(too_large()),
        Ok(Err(_)) => Err(bad_request(StatusCode::BAD_REQUEST, "body: too large or cut short")),
        Err(_) => Err(bad_request(StatusCode::REQUEST_TIMEOUT, "body: not sent in time")),
    }
}

/// An answer to a request that was malformed and therefore not run.
pub fn bad_request(status: StatusCode, message: &str) -> Response {
    let body =
        OutcomeBody { outcome: "not_run", reason: message.to_string(), retry_after_millis: 0 };
    with_outcome((status, Json(body)).into_response(), "not_run")
}

fn refuse(reason: NotRunReason) -> Response {
    respond(refusal(reason))
}

fn refusal(reason: NotRunReason) -> RequestOutcome {
    RequestOutcome::NotRun { reason, retry_after: RETRY_HINT }
}

fn respond(outcome: RequestOutcome) -> Response {
    match outcome {
        RequestOutcome::Answered(answer) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let content_type = HeaderValue::from_str(&answer.content_type);
            let mut response = (status, answer.body).into_response();
            if let Ok(value) = content_type {
                response.headers_mut().insert(CONTENT_TYPE, value);
            }
            with_outcome(response, "answered")
        }
        RequestOutcome::NotRun { reason, retry_after } => {
            let body = OutcomeBody {
                outcome: "not_run",
                reason: reason.name().to_string(),
                retry_after_millis: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            };
            let mut response = (status_of(reason), Json(body)).into_response();
            let seconds = retry_after.as_secs_f64().ceil() as u64;
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
            with_outcome(response, "not_run")
        }
        RequestOutcome::Unknown(reason) => {
            // Repeating the same id is safe, and tells once there is an owner again.
            let is_passing = reason == UnknownReason::NoOwner;
            let retry_after = if is_passing { RETRY_HINT } else { Duration::ZERO };
            let body = OutcomeBody {
                outcome: "unknown",
                reason: reason.name().to_string(),
                retry_after_millis: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            };
            let mut response = (StatusCode::GATEWAY_TIMEOUT, Json(body)).into_response();
            if is_passing {
                let seconds = retry_after.as_secs();
                response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
            }
            with_outcome(response, "unknown")
        }
    }
}

fn status_of(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::UnknownService => StatusCode::NOT_FOUND,
        NotRunReason::BodyConflict => StatusCode::CONFLICT,
        NotRunReason::IdInFuture => StatusCode::BAD_REQUEST,
        NotRunReason::CallerShare => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn with_outcome(mut response: Response, outcome: &'static str) -> Response {
    let name = HeaderName::from_static(OUTCOME_HEADER);
    response.headers_mut().insert(name, HeaderValue::from_static(outcome));
    response
}
