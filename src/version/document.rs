//! Document in which the owner of a service declares its objective, request rules and batch quota.

use std::time::Duration;

use crate::external::worker::ResourceAmount;
use crate::findings::FindingList;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::process::ini_reader::IniReader;
use crate::request::routing::RoutingPolicy;

/// Greatest value of `largest-deadline`.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// Greatest value of `largest-body`.
const MAX_BODY_BYTES: u64 = 4 << 20;
/// Greatest number of cores, gibibytes or accelerators in a quota.
const MAX_QUOTA: u64 = 1_000_000;

/// Service level objective; the burn report shows how much of its error budget is used.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceObjective {
    /// Time within which a request has to be answered to count as good.
    pub latency: Duration,
    /// Percentage of the requests that have to be good.
    pub percent: f64,
    /// Time window over which the error budget is counted.
    pub window: Duration,
}

/// Rules for the requests of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRules {
    /// Whether a request may be run more than once.
    pub idempotent: bool,
    /// Deadline of a request that does not set one.
    pub default_deadline: Duration,
    /// Greatest deadline that a request may set.
    pub largest_deadline: Duration,
    /// Greatest size of a request body in bytes.
    pub largest_body: usize,
    /// Policy for choosing an endpoint.
    pub routing: RoutingPolicy,
    /// Whether the requests in flight at an endpoint are limited by a learned concurrency limit.
    pub adaptive_limit: bool,
    /// Retries after lost responses, as a share of the requests.
    pub retry_share: f64,
}

/// The parsed document of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceDocument {
    /// Name of the service.
    pub name: ServiceName,
    /// Team that owns the service and may change the document with its key.
    pub owner: TeamName,
    /// Service level objective.
    pub objective: ServiceObjective,
    /// Rules for requests.
    pub requests: RequestRules,
    /// Resources that the owner's batch tasks may use at most.
    pub quota: ResourceAmount,
}

impl ServiceDocument {
    /// Parses and validates the text of a document; `file` is the name used in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its line.
    ///
    /// ```
    /// use greengagearch::version::document::ServiceDocument;
    ///
    /// let text = "[service]\nname = spots\nowner = sendeplan\n";
    /// assert_eq!(ServiceDocument::parse("spots.ini", text).unwrap().name, "spots");
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<ServiceDocument, FindingList> {
        let mut reader = IniReader::open(file, text);
        let document = ServiceDocument {
            name: read_name(&mut reader, "name"),
            owner: read_name(&mut reader, "owner"),
            objective: read_objective(&mut reader),
            requests: read_rules(&mut reader),
            quota: read_quota(&mut reader),
        };
        if document.requests.default_deadline > document.requests.largest_deadline {
            let message = "must not be greater than largest-deadline";
            reader.report("requests", "default-deadline", message);
        }
        reader.finish().or_value(document)
    }
}

fn read_name(reader: &mut IniReader, key: &str) -> String {
    let name = reader.required("service", key);
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if !name.chars().all(is_allowed) {
        reader.report("service", key, "must contain only the characters a-z, 0-9 and '-'");
    }
    name
}

fn read_objective(reader: &mut IniReader) -> ServiceObjective {
    let percent = reader.value("objective", "percent", 99.0);
    if !(50.0..=99.999).contains(&percent) {
        reader.report("objective", "percent", "must be between 50 and 99.999");
    }
    ServiceObjective {
        latency: reader.span("objective", "latency", Duration::from_millis(250)),
        percent,
        window: reader.span("objective", "window", Duration::from_secs(24 * 3_600)),
    }
}

fn read_rules(reader: &mut IniReader) -> RequestRules {
    let largest_deadline = reader.span("requests", "largest-deadline", Duration::from_secs(30));
    if largest_deadline.is_zero() || largest_deadline > MAX_DEADLINE {
        reader.report("requests", "largest-deadline", "must be between 1ms and 10m");
    }
    let retry_share = reader.value("guards", "retry-share", 0.1);
    if !(0.0..=1.0).contains(&retry_share) {
        reader.report("guards", "retry-share", "must be between 0 and 1");
    }
    RequestRules {
        idempotent: reader.flag("requests", "idempotent", false),
        default_deadline: reader.span("requests", "default-deadline", largest_deadline),
        largest_deadline,
        largest_body: reader.number("requests", "largest-body", 65_536, 1..=MAX_BODY_BYTES)
            as usize,
        routing: reader.value("guards", "routing", RoutingPolicy::default()),
        adaptive_limit: reader.flag("guards", "adaptive-limit", false),
        retry_share,
    }
}

fn read_quota(reader: &mut IniReader) -> ResourceAmount {
    let mut number = |key: &str| reader.number("batch-quota", key, 0, 0..=MAX_QUOTA);
    ResourceAmount {
        millicores: number("cores") * 1_000,
        memory_mib: number("memory-gib") * 1_024,
        accelerators: number("accelerators") as u32,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_findings_are_reported_with_their_lines() {
        let text = "[service]\nname = Spots\nowner = sendeplan\n[objective]\npercent = 101\n\
                    [requests]\nidempotent = maybe\nretries = 3\n";
        let findings = ServiceDocument::parse("spots.ini", text).unwrap_err();
        let places: Vec<String> =
            findings.0.iter().map(|finding| format!("{}:{}", finding.line, finding.key)).collect();
        let expected = [
            "2:service.name",
            "5:objective.percent",
            "7:requests.idempotent",
            "8:requests.retries",
        ];
        assert_eq!(places, expected);
    }

    #[test]
    fn a_default_deadline_above_the_largest_is_rejected() {
        let text = "[service]\nname = s\nowner = o\n[requests]\ndefault-deadline = 9s\n\
                    largest-deadline = 3s\n";
        let findings = ServiceDocument::parse("s.ini", text).unwrap_err();
        assert_eq!(findings.0[0].key, "requests.default-deadline");
    }
}
