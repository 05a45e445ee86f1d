//! The listener at which the runner on this host registers itself.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::extract::rejection::JsonRejection;
use axum::http::StatusCode;
use axum::routing::put;
use serde::Deserialize;
use serde_json::Value;

use crate::connection::node_protocol::RunnerStatus;
use crate::ids::RunnerId;
use crate::ids::StartMillis;
use crate::platform::instance_name::instance_name;
use crate::process::inbound::error_text::bounded_text;
use crate::process::node::registered_runner::RegisteredRunner;
use crate::workflow::spec::ResourceVector;

/// Takes what runners say.
pub trait RunnerRegistry: Send + Sync {
    /// Takes a heartbeat.
    fn on_heartbeat(&self, runner: RegisteredRunner);
    /// Takes note that a runner says that it ends. Which of its lives says so is not told, and it may have said so long ago.
    fn on_deregister(&self, runner: &str);
}

#[derive(Debug, Default, Deserialize)]
struct WireRoom {
    #[serde(rename = "Cpu", default)]
    millicores: u64,
    #[serde(rename = "MemMb", default)]
    memory_mib: u64,
    #[serde(rename = "Gpu", default)]
    accelerators: u64,
}

#[derive(Debug, Deserialize)]
struct WireBeat {
    #[serde(rename = "Service")]
    service: String,
    #[serde(rename = "Address")]
    address: SocketAddr,
    #[serde(rename = "Zone", default)]
    domain: String,
    #[serde(rename = "State", default)]
    state: String,
    #[serde(rename = "Capacity", default)]
    capacity: WireRoom,
    #[serde(rename = "Labels", default)]
    labels: Vec<String>,
    #[serde(rename = "Sequence", default)]
    sequence: u64,
    #[serde(rename = "born", default)]
    started_at: Option<StartMillis>,
}

type SharedRegistry = Arc<dyn RunnerRegistry>;

/// The routes of the listener.
///
/// ```no_run
/// # use std::sync::Arc;
/// # fn f(registry: Arc<dyn greengagearch::platform::runner_registry::RunnerRegistry>) {
/// let router = greengagearch::platform::runner_registry::router(registry);
/// # }
/// ```
pub fn router(registry: SharedRegistry) -> Router {
    Router::new()
        .route("/-/instances/{instance}", put(take_beat).delete(take_leave))
        .with_state(registry)
}

async fn take_beat(
    State(registry): State<SharedRegistry>,
    Path(runner): Path<RunnerId>,
    beat: Result<Json<WireBeat>, JsonRejection>,
) -> Result<Json<Value>, (StatusCode, String)> {
    let refuse = |error: JsonRejection| (error.status(), bounded_text(error.body_text()));
    let Json(beat) = beat.map_err(refuse)?;
    let status = RunnerStatus {
        instance: instance_name(&runner, beat.started_at),
        service: beat.service,
        domain: beat.domain,
        capacity: ResourceVector {
            millicores: beat.capacity.millicores,
            memory_mib: beat.capacity.memory_mib,
            accelerators: beat.capacity.accelerators,
        },
        labels: beat.labels,
        draining: beat.state != "ready",
    };
    let address = beat.address.to_string();
    let (sequence, started_at) = (beat.sequence, beat.started_at);
    registry.on_heartbeat(RegisteredRunner { runner, status, address, sequence, started_at });
    Ok(Json(Value::Object(serde_json::Map::new())))
}

async fn take_leave(
    State(registry): State<SharedRegistry>,
    Path(runner): Path<RunnerId>,
) -> StatusCode {
    registry.on_deregister(&runner);
    StatusCode::OK
}
