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
use crate::process::malformed_entries::report_malformed;
use crate::process::node::registered_runner::RegisteredRunner;
use crate::workflow::spec::ResourceVector;

/// The states of a runner that registers.
const READY: &str = "ready";
const DRAINING: &str = "draining";
/// Greatest amount of a resource. The sum over all runners stays far below what an integer holds.
const MAX_AMOUNT: u64 = 1 << 40;
/// Greatest sequence number: no later heartbeat could exceed one close to the limit of an integer.
const MAX_SEQUENCE: u64 = 1 << 62;

/// Takes what runners say.
pub trait RunnerRegistry: Send + Sync {
    /// Takes a heartbeat.
    fn on_heartbeat(&self, runner: RegisteredRunner);
    /// Takes note that a runner says that it ends. Which of its lives says so is not told, and it may have said so long ago.
    fn on_deregister(&self, runner: &str);
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
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

impl WireBeat {
    /// Returns why a heartbeat of another writer names no runner that can be used.
    fn check(&self) -> Option<&'static str> {
        let WireRoom { millicores, memory_mib, accelerators } = self.capacity;
        if self.state != READY && self.state != DRAINING {
            return Some("the state is neither ready nor draining");
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Some("the address cannot be called");
        }
        if [millicores, memory_mib, accelerators].into_iter().any(|amount| amount > MAX_AMOUNT) {
            return Some("the capacity is too large");
        }
        (self.sequence > MAX_SEQUENCE).then_some("the sequence number is too large")
    }
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
    let refuse = |status: StatusCode, reason: String| {
        report_malformed("heartbeats", &runner, &reason);
        (status, bounded_text(reason))
    };
    let Json(beat) = beat.map_err(|error| refuse(error.status(), error.body_text()))?;
    if let Some(finding) = beat.check() {
        return Err(refuse(StatusCode::UNPROCESSABLE_ENTITY, finding.to_string()));
    }
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
        draining: beat.state == DRAINING,
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
