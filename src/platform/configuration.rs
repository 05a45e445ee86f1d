//! The operator's configuration, decoded into the product's queues.

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
/// Largest body where the configuration names none.
const DEFAULT_BODY_BYTES: usize = 262_144;

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
    let max_body_bytes = wire.limits.max_body_bytes.unwrap_or(DEFAULT_BODY_BYTES);
    let routes = wire.routes.into_iter().map(decode_route).collect();
    Ok(QueueTable::new(wire.version, RequestLimits { max_body_bytes }, routes))
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
