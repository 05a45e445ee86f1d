//! The operator's configuration, decoded into the product's queues.

use std::time::Duration;

use serde::Deserialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::ids::GenerationNumber;
use crate::version::queue_table::QueueRoute;
use crate::version::queue_table::QueueTable;
use crate::version::queue_table::RequestLimits;
use crate::workflow::spec::AdvicePolicy;
use crate::workflow::spec::QueuePolicy;

/// Table of the store that the operator writes to.
pub const OPERATOR_TABLE: &str = "op";
/// Key of the newest configuration there.
pub const CONFIGURATION_KEY: &str = "config";

/// A configuration that cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("the configuration cannot be read: {source}"))]
pub struct ConfigurationError {
    source: serde_json::Error,
}

#[derive(Debug, Deserialize)]
struct WireRoute {
    #[serde(rename = "Name")]
    name: String,
    #[serde(rename = "Host")]
    host: String,
    #[serde(rename = "Prefix")]
    prefix: String,
    #[serde(rename = "Service", default)]
    service: String,
    #[serde(rename = "Priority", default)]
    priority: u32,
    #[serde(rename = "MaxAttempts", default = "one")]
    max_attempts: u32,
    #[serde(rename = "Stretch", default = "unstretched")]
    stretch: f64,
    /// The time that is allowed besides the stretched work, not a duration of anything.
    #[serde(rename = "TargetDurationMs", default)]
    target_ms: u64,
    #[serde(rename = "Advice")]
    advice: Option<WireAdvice>,
}

#[derive(Debug, Deserialize)]
struct WireAdvice {
    #[serde(rename = "DecideMs", default)]
    decide_ms: u64,
    #[serde(rename = "EachMs", default)]
    each_ms: u64,
    #[serde(rename = "ValidityMs", default)]
    valid_ms: u64,
}

fn one() -> u32 {
    1
}

fn unstretched() -> f64 {
    1.0
}

#[derive(Debug, Default, Deserialize)]
struct WireLimits {
    #[serde(rename = "MaxBodyBytes")]
    max_body_bytes: Option<usize>,
    #[serde(rename = "MaxHeaderBytes")]
    max_head_bytes: Option<usize>,
    #[serde(rename = "HeaderTimeoutMs")]
    head_timeout_ms: Option<u64>,
    #[serde(rename = "IdleTimeoutMs")]
    idle_timeout_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct WireConfiguration {
    #[serde(rename = "Version")]
    version: GenerationNumber,
    #[serde(rename = "Routes", default)]
    routes: Vec<WireRoute>,
    #[serde(rename = "Limits", default)]
    limits: WireLimits,
}

/// Decodes a configuration.
///
/// # Errors
///
/// [`ConfigurationError`] when it is malformed.
///
/// ```
/// let table = greengagearch::platform::configuration::decode(br#"{"Version":7}"#).unwrap();
/// assert_eq!(table.version, 7);
/// ```
pub fn decode(bytes: &[u8]) -> Result<QueueTable, ConfigurationError> {
    let wire: WireConfiguration = serde_json::from_slice(bytes).context(ConfigurationSnafu)?;
    let routes = wire.routes.into_iter().map(decode_route).collect();
    Ok(QueueTable::new(wire.version, decode_limits(&wire.limits), routes))
}

/// Limits that the configuration does not name have their defaults.
fn decode_limits(wire: &WireLimits) -> RequestLimits {
    let default = RequestLimits::default();
    let time = |millis: Option<u64>, default| millis.map_or(default, Duration::from_millis);
    RequestLimits {
        max_body_bytes: wire.max_body_bytes.unwrap_or(default.max_body_bytes),
        max_head_bytes: wire.max_head_bytes.unwrap_or(default.max_head_bytes),
        head_timeout: time(wire.head_timeout_ms, default.head_timeout),
        idle_timeout: time(wire.idle_timeout_ms, default.idle_timeout),
    }
}

fn decode_route(wire: WireRoute) -> (String, QueueRoute) {
    let policy = QueuePolicy {
        queue: wire.name,
        service: wire.service,
        priority: wire.priority,
        max_attempts: wire.max_attempts,
        stretch: wire.stretch,
        target_ms: wire.target_ms,
        advice: wire.advice.map(|advice| AdvicePolicy {
            decide_ms: advice.decide_ms,
            each_ms: advice.each_ms,
            valid_ms: advice.valid_ms,
        }),
    };
    (wire.host, QueueRoute { prefix: wire.prefix, policy })
}
