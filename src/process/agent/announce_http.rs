//! The endpoints' listener: announcements, renewals, leaving.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::extract::rejection::JsonRejection;
use axum::http::StatusCode;
use axum::routing::delete;
use axum::routing::get;
use axum::routing::post;

use crate::connection::announcement::EndpointAnnouncement;
use crate::connection::announcement::LeaveReceipt;
use crate::process::agent::shared::AgentShared;
use crate::process::clock;
use crate::process::http_server::closing_after_unread;
use crate::process::inbound::error_text::bounded_text;

/// Most slots that one endpoint may announce.
const LARGEST_SLOTS: u32 = 4_096;
/// Longest life of an announcement in milliseconds.
const LONGEST_TTL_MILLIS: u64 = 60_000;

/// The routes of the endpoints' listener.
pub fn router(shared: Arc<AgentShared>) -> Router {
    let router = Router::new()
        .route("/v1/endpoints", post(handle_announce))
        .route("/v1/endpoints/{endpoint}", delete(handle_leave))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(handle_ready))
        .route("/metrics", get(handle_metrics))
        .with_state(shared);
    closing_after_unread(router)
}

async fn handle_announce(
    State(shared): State<Arc<AgentShared>>,
    announcement: Result<Json<EndpointAnnouncement>, JsonRejection>,
) -> Result<StatusCode, (StatusCode, String)> {
    let Json(announcement) =
        announcement.map_err(|error| (StatusCode::BAD_REQUEST, bounded_text(error.body_text())))?;
    if let Some(finding) = check(&announcement) {
        return Err((StatusCode::BAD_REQUEST, bounded_text(finding)));
    }
    let is_known = {
        let mut table = shared.endpoints();
        let now = clock::now();
        let is_known = table.reports(now).iter().any(|one| one.endpoint == announcement.endpoint);
        table.announce(announcement, now);
        is_known
    };
    if !is_known {
        shared.beat_now.notify_one();
    }
    Ok(StatusCode::NO_CONTENT)
}

fn check(announcement: &EndpointAnnouncement) -> Option<String> {
    if announcement.endpoint.is_empty() || announcement.service.is_empty() {
        return Some("endpoint and service must not be empty".to_string());
    }
    if announcement.address.parse::<std::net::SocketAddr>().is_err() {
        return Some(format!("address: '{}' is no IP address with a port", announcement.address));
    }
    if !(1..=LARGEST_SLOTS).contains(&announcement.slots) || announcement.connections == 0 {
        return Some(format!("slots: allowed are 1 to {LARGEST_SLOTS}; connections: at least 1"));
    }
    if !(1..=LONGEST_TTL_MILLIS).contains(&announcement.ttl_millis) {
        return Some(format!("ttl_millis: allowed are 1 to {LONGEST_TTL_MILLIS}"));
    }
    None
}

async fn handle_leave(
    State(shared): State<Arc<AgentShared>>,
    Path(endpoint): Path<String>,
) -> Result<Json<LeaveReceipt>, StatusCode> {
    let receipt = shared.endpoints().leave(&endpoint).ok_or(StatusCode::NOT_FOUND)?;
    shared.beat_now.notify_one();
    Ok(Json(receipt))
}

async fn handle_ready(State(shared): State<Arc<AgentShared>>) -> (StatusCode, &'static str) {
    if shared.is_registered() && !shared.is_draining() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn handle_metrics(State(shared): State<Arc<AgentShared>>) -> String {
    shared.metrics.render()
}
