//! The operators' listener: documents, what is in force where, metrics.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::connection::protocol::ProcessReport;
use crate::connection::worker_row::WORKER_PREFIX;
use crate::connection::worker_row::WorkerRow;
use crate::ids::GenerationNumber;
use crate::ids::RevisionNumber;
use crate::ids::TeamName;
use crate::process::burn_ledger::ServiceBurn;
use crate::process::entry::burn_desk::read_burns;
use crate::process::entry::document_desk::ApplyError;
use crate::process::entry::document_desk::DocumentApply;
use crate::process::entry::document_desk::apply;
use crate::process::entry::shared::EntryShared;
use crate::process::entry::status_desk::handle_status;
use crate::process::http_server::closing_after_unread;
use crate::version::catalog::DocumentCatalog;
use crate::version::catalog::DocumentRow;

/// Header that names the team that signs in.
pub const TEAM_HEADER: &str = "x-team";
/// Header that carries the team's key.
pub const KEY_HEADER: &str = "x-team-key";

/// Query of an apply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyQuery {
    /// Revision that the operator saw; zero for a new document.
    pub base: RevisionNumber,
    /// Token of the change.
    pub token: String,
}

/// Answer to an apply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// Revision of the document: the accepted one, or the one that won the race.
    pub revision: RevisionNumber,
    /// Generation that the change comes into force with; zero when it was refused.
    pub generation: GenerationNumber,
    /// Why it was refused; empty when it was accepted.
    pub error: String,
}

/// What is in force where.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClusterReport {
    /// Generation in force at the answering entry.
    pub generation: GenerationNumber,
    /// Generation of the cluster map.
    pub map_generation: u64,
    /// Processes that were heard of lately.
    pub processes: Vec<ProcessReport>,
}

/// The routes of the operators' listener.
pub fn router(shared: Arc<EntryShared>) -> Router {
    let router = Router::new()
        .route("/v1/documents/{service}", get(handle_show).put(handle_apply))
        .route("/v1/cluster", get(handle_cluster))
        .route("/v1/status", get(handle_status))
        .route("/v1/workers", get(handle_workers))
        .route("/v1/interference", get(handle_interference))
        .route("/v1/burn", get(handle_burn))
        .route("/metrics", get(handle_metrics))
        .with_state(shared);
    closing_after_unread(router)
}

async fn handle_show(
    State(shared): State<Arc<EntryShared>>,
    Path(service): Path<String>,
) -> Result<Json<DocumentRow>, StatusCode> {
    let row = shared.with_catalog(|catalog| catalog.row(&service).cloned());
    row.map(Json).ok_or(StatusCode::NOT_FOUND)
}

async fn handle_apply(
    State(shared): State<Arc<EntryShared>>,
    Path(service): Path<String>,
    Query(query): Query<ApplyQuery>,
    headers: HeaderMap,
    text: String,
) -> Response {
    let Some(team) = signed_in_team(&shared, &headers) else {
        return (StatusCode::UNAUTHORIZED, answer("team or key is wrong")).into_response();
    };
    let ApplyQuery { base, token } = query;
    let change = DocumentApply { service, text, base, token, team };
    match apply(&shared, &change).await {
        Ok(accepted) => {
            let revision = accepted.revision;
            let generation = accepted.generation;
            Json(ApplyAnswer { revision, generation, error: String::new() }).into_response()
        }
        Err(error) => refusal(&error),
    }
}

fn refusal(error: &ApplyError) -> Response {
    let status = match error {
        ApplyError::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ApplyError::NotOwner { .. } => StatusCode::FORBIDDEN,
        ApplyError::Conflict { .. } => StatusCode::CONFLICT,
        ApplyError::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        ApplyError::Ambiguous => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut body = answer(&error.to_string());
    if let ApplyError::Conflict { winner, .. } = error {
        body.0.revision = *winner;
    }
    (status, body).into_response()
}

fn answer(error: &str) -> Json<ApplyAnswer> {
    Json(ApplyAnswer { revision: 0, generation: 0, error: error.to_string() })
}

/// The team whose key was given, compared in constant time.
fn signed_in_team(shared: &EntryShared, headers: &HeaderMap) -> Option<TeamName> {
    let team = headers.get(TEAM_HEADER)?.to_str().ok()?;
    let key = headers.get(KEY_HEADER)?.as_bytes();
    let known = shared.settings.key_hashes.get(team)?;
    let is_right: bool = key_hash(key).as_bytes().ct_eq(known.as_bytes()).into();
    is_right.then(|| team.to_string())
}

/// SHA-256 of a key in hexadecimal digits, as the settings keep it.
///
/// ```
/// let hash = greengagearch::process::entry::operator_http::key_hash(b"abc");
/// assert!(hash.starts_with("ba7816bf"));
/// ```
pub fn key_hash(key: &[u8]) -> String {
    Sha256::digest(key).iter().map(|byte| format!("{byte:02x}")).collect()
}

async fn handle_cluster(State(shared): State<Arc<EntryShared>>) -> Json<ClusterReport> {
    let map_generation = shared.view().map().generation;
    Json(ClusterReport {
        generation: shared.with_catalog(DocumentCatalog::generation),
        map_generation,
        processes: shared.process_reports(),
    })
}

async fn handle_workers(
    State(shared): State<Arc<EntryShared>>,
) -> Result<Json<Vec<WorkerRow>>, StatusCode> {
    let rows = shared.table.list(WORKER_PREFIX).await;
    let rows = rows.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    Ok(Json(rows.iter().filter_map(|row| row.decode().ok()).collect()))
}

/// What is known of one pair.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PairReport {
    /// The service.
    pub service: String,
    /// Kind of the tasks beside it.
    pub kind: String,
    /// Expected slowdown by one task: 0.2 means a fifth longer.
    pub slowdown: f64,
    /// Standard deviation of the slowdown.
    pub deviation: f64,
}

async fn handle_interference(State(shared): State<Arc<EntryShared>>) -> Json<Vec<PairReport>> {
    let model = shared.interference();
    let pairs = model.pairs().map(|(service, kind, estimate)| PairReport {
        service: service.clone(),
        kind: kind.clone(),
        slowdown: estimate.slowdown,
        deviation: estimate.variance.sqrt(),
    });
    Json(pairs.collect())
}

async fn handle_burn(
    State(shared): State<Arc<EntryShared>>,
) -> Result<Json<Vec<ServiceBurn>>, StatusCode> {
    let burns = read_burns(&shared).await;
    burns.map(Json).map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
}

async fn handle_metrics(State(shared): State<Arc<EntryShared>>) -> String {
    shared.metrics.render()
}
