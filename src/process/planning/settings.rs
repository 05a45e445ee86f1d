//! Settings of a planner process and of a node agent.
//!
//! They are parsed from INI text; all findings are reported together.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::findings::FindingList;
use crate::ids::DomainName;
use crate::process::ini_reader::IniReader;
use crate::process::machine_limits::MachineLimits;
use crate::process::planning::rows::JobLayout;
use crate::workflow::admission::admission_policy::AdmissionPolicy;
use crate::workflow::fair_share::share_settings::ShareSettings;

/// Default time between the stop signal and a forced termination (`stop-grace`).
const DEFAULT_STOP_GRACE: Duration = Duration::from_secs(6);
/// Subtracted from the stop grace, so that a process whose drain takes all of its time still exits
/// before it is killed.
const STOP_RESERVE: Duration = Duration::from_millis(700);
/// Maximum number of partitions of the job table. A takeover reads each of them, and one
/// transaction of the planner names up to 100 rows.
const MAX_JOB_PARTITIONS: u32 = 64;
/// Default time after a request to evacuate a failure domain in which the last run starts there
/// (`evacuation-limit`).
const DEFAULT_EVACUATION_LIMIT: Duration = Duration::from_secs(5);
/// Shortest such time: a start order on its way to a slow host takes about a second.
const MIN_EVACUATION_LIMIT: Duration = Duration::from_secs(2);
/// Default time after the cancel of a job in which the last task of it starts (`cancel-limit`).
const DEFAULT_CANCEL_LIMIT: Duration = Duration::from_secs(3);
/// Shortest such time: the feed of jobs confirms its state every 1.5 s, and a start order on its way
/// to a slow host takes about a second.
const MIN_CANCEL_LIMIT: Duration = Duration::from_secs(2);
/// Default time for which the row of an ended job is retained, so that its state can be queried
/// (`kept-for`).
const DEFAULT_JOB_RETENTION: Duration = Duration::from_secs(120);

/// Settings of a planner process.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerSettings {
    /// Name of the host that the process runs on.
    pub id: String,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address of the listener for callers.
    pub caller_listen: SocketAddr,
    /// Address of the job interface; `None` disables it.
    pub job_listen: Option<SocketAddr>,
    /// Address at which the load balancer polls readiness.
    pub ready_listen: SocketAddr,
    /// Address of the listener for other processes of the system.
    pub internal_listen: SocketAddr,
    /// Address at which metrics are served; `None` disables them.
    pub metrics_listen: Option<SocketAddr>,
    /// Address of the store.
    pub store: String,
    /// Distribution of the job rows over partitions of the store.
    pub layout: JobLayout,
    /// Address of the advice service, if there is one.
    pub advice: Option<String>,
    /// Maximum time for draining before the process exits.
    pub drain_limit: Duration,
    /// Share of a core that the process may use. Processes with a larger share take over planning
    /// earlier.
    pub processor_share: f64,
    /// Time for which the row of an ended job is retained.
    pub ended_job_retention: Duration,
    /// Time after a request to evacuate a failure domain in which the last run starts there.
    pub evacuation_limit: Duration,
    /// Time after the cancel of a job in which the last task of it starts.
    pub cancel_limit: Duration,
    /// Rule by which jobs are refused; `None` accepts all.
    pub admission: Option<AdmissionPolicy>,
    /// Weights of queues and the bound on waiting.
    pub shares: ShareSettings,
    /// Whether the speeds of workers are learned and taken into account.
    pub learn_speed: bool,
    /// What the host grants the process.
    pub machine: MachineLimits,
}

impl PlannerSettings {
    /// Parses and validates settings; `file` is the file name shown in findings.
    ///
    /// # Errors
    ///
    /// All findings, each with its line.
    ///
    /// ```
    /// use greengagearch::process::planning::settings::PlannerSettings;
    ///
    /// assert!(PlannerSettings::parse("planner.ini", "").is_err());
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<PlannerSettings, FindingList> {
        let mut reader = IniReader::open(file, text);
        let settings = PlannerSettings {
            id: reader.required("planner", "id"),
            domain: reader.required("planner", "domain"),
            caller_listen: read_address(&mut reader, "planner", "caller-listen"),
            job_listen: read_optional_address(&mut reader, "planner", "job-listen"),
            ready_listen: read_address(&mut reader, "planner", "ready-listen"),
            internal_listen: read_address(&mut reader, "planner", "internal-listen"),
            metrics_listen: read_optional_address(&mut reader, "planner", "metrics-listen"),
            store: reader.required("store", "address"),
            layout: read_layout(&mut reader),
            advice: reader.text("advice", "address").filter(|text| !text.is_empty()),
            drain_limit: reader
                .span("planner", "stop-grace", DEFAULT_STOP_GRACE)
                .saturating_sub(STOP_RESERVE),
            processor_share: reader.value("planner", "processor-share", 1.0),
            ended_job_retention: reader.span("jobs", "kept-for", DEFAULT_JOB_RETENTION),
            evacuation_limit: read_limit(
                &mut reader,
                "evacuation-limit",
                DEFAULT_EVACUATION_LIMIT,
                MIN_EVACUATION_LIMIT,
            ),
            cancel_limit: read_limit(
                &mut reader,
                "cancel-limit",
                DEFAULT_CANCEL_LIMIT,
                MIN_CANCEL_LIMIT,
            ),
            admission: read_admission(&mut reader),
            shares: read_shares(&mut reader),
            learn_speed: reader.flag("workers", "learn-speed", false),
            machine: MachineLimits::read(&mut reader),
        };
        reader.finish().or_value(settings)
    }
}

/// Settings of a node agent.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the host.
    pub id: String,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address at which the runner of the host registers.
    pub registry_listen: SocketAddr,
    /// Address of the listener for the planner.
    pub internal_listen: SocketAddr,
    /// Address at which the planner reaches `internal_listen`, if it differs from it.
    pub internal_advertise: Option<SocketAddr>,
    /// Address at which metrics are served; `None` disables them.
    pub metrics_listen: Option<SocketAddr>,
    /// Address of the store.
    pub store: String,
    /// What the host grants the process.
    pub machine: MachineLimits,
}

impl NodeSettings {
    /// Parses and validates settings; `file` is the file name shown in findings.
    ///
    /// # Errors
    ///
    /// All findings, each with its line.
    ///
    /// ```
    /// use greengagearch::process::planning::settings::NodeSettings;
    ///
    /// assert!(NodeSettings::parse("node.ini", "").is_err());
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<NodeSettings, FindingList> {
        let mut reader = IniReader::open(file, text);
        let settings = NodeSettings {
            id: reader.required("node", "id"),
            domain: reader.required("node", "domain"),
            registry_listen: read_address(&mut reader, "node", "registry-listen"),
            internal_listen: read_address(&mut reader, "node", "internal-listen"),
            internal_advertise: read_optional_address(&mut reader, "node", "internal-advertise"),
            metrics_listen: read_optional_address(&mut reader, "node", "metrics-listen"),
            store: reader.required("store", "address"),
            machine: MachineLimits::read(&mut reader),
        };
        reader.finish().or_value(settings)
    }
}

/// Reads the number of job partitions, and reports one that is out of range.
fn read_layout(reader: &mut IniReader) -> JobLayout {
    let partitions = reader.value("store", "job-partitions", JobLayout::default().partitions);
    if !(1..=MAX_JOB_PARTITIONS).contains(&partitions) {
        reader.report("store", "job-partitions", &format!("must be 1 to {MAX_JOB_PARTITIONS}"));
    }
    JobLayout { partitions }
}

/// Reads a time of the section `planner`, and reports one that is shorter than `shortest`.
fn read_limit(
    reader: &mut IniReader,
    key: &str,
    default: Duration,
    shortest: Duration,
) -> Duration {
    let limit = reader.span("planner", key, default);
    if limit < shortest {
        reader.report("planner", key, &format!("must be at least {}s", shortest.as_secs()));
    }
    limit
}

/// Reads the rule by which jobs are refused. A job that is refused before it exceeds its objective
/// would still have its full value, so that a multiple below 1 is a mistake.
fn read_admission(reader: &mut IniReader) -> Option<AdmissionPolicy> {
    reader.text("admission", "worthless-after")?;
    let worthless_after = reader.value("admission", "worthless-after", 1.0);
    if !(1.0..=1_000.0).contains(&worthless_after) {
        reader.report("admission", "worthless-after", "must be 1 to 1000");
    }
    Some(AdmissionPolicy { worthless_after })
}

/// Reads the weights of queues and the bound on waiting. Keys that are missing have no effect.
fn read_shares(reader: &mut IniReader) -> ShareSettings {
    let mut weights = BTreeMap::new();
    for key in reader.keys("shares") {
        if let Some(queue) = key.strip_prefix("weight.").filter(|queue| !queue.is_empty()) {
            weights.extend(read_positive(reader, &key).map(|weight| (queue.to_string(), weight)));
        }
    }
    ShareSettings {
        weights,
        default_weight: read_positive(reader, "default-weight"),
        longest_wait: read_positive(reader, "longest-wait"),
    }
}

/// Reads a number of the section `shares`; reports one that is not above zero.
fn read_positive(reader: &mut IniReader, key: &str) -> Option<f64> {
    let text = reader.text("shares", key)?;
    let value = text.parse().ok().filter(|value: &f64| value.is_finite() && *value > 0.0);
    if value.is_none() {
        reader.report("shares", key, &format!("'{text}' is not a number above zero"));
    }
    value
}

fn read_optional_address(reader: &mut IniReader, section: &str, key: &str) -> Option<SocketAddr> {
    let text = reader.text(section, key).filter(|text| !text.is_empty())?;
    let address = text.parse().ok();
    if address.is_none() {
        reader.report(section, key, &format!("'{text}' is not an address with a port"));
    }
    address
}

fn read_address(reader: &mut IniReader, section: &str, key: &str) -> SocketAddr {
    let text = reader.required(section, key);
    let unset = SocketAddr::from(([127, 0, 0, 1], 0));
    if text.is_empty() {
        return unset;
    }
    text.parse().unwrap_or_else(|_| {
        reader.report(section, key, &format!("'{text}' is not an address with a port"));
        unset
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const PLANNER: &str = "[planner]\nid = p\ndomain = d\ncaller-listen = 127.0.0.1:1\n\
                           ready-listen = 127.0.0.1:2\ninternal-listen = 127.0.0.1:3\n\
                           [store]\naddress = a:1\n";

    fn parse(lines: &str) -> Result<PlannerSettings, FindingList> {
        PlannerSettings::parse("planner.ini", &format!("{PLANNER}{lines}"))
    }

    /// Guards against admission control where it is not enabled, and against a limit that would
    /// refuse jobs which are still of full value.
    #[test]
    fn admission_control_is_enabled_by_a_valid_limit_only() {
        assert_eq!(parse("").unwrap().admission, None);
        assert_eq!(parse("[admission]\n").unwrap().admission, None);
        let enabled = parse("[admission]\nworthless-after = 2.5\n").unwrap().admission;
        assert_eq!(enabled, Some(AdmissionPolicy { worthless_after: 2.5 }));
        for limit in ["0.5", "NaN", "inf", "three"] {
            assert!(
                parse(&format!("[admission]\nworthless-after = {limit}\n")).is_err(),
                "{limit}"
            );
        }
    }

    fn shares_of(section: &str) -> (ShareSettings, Vec<String>) {
        let mut reader = IniReader::open("planner.ini", section);
        let shares = read_shares(&mut reader);
        let findings = reader.finish().0;
        (shares, findings.iter().map(|finding| finding.to_string()).collect())
    }

    /// Guards against a planner that shares or bounds anything without being asked to.
    #[test]
    fn without_the_section_nothing_is_shared() {
        assert_eq!(shares_of(""), (ShareSettings::default(), Vec::new()));
        let (shares, findings) = shares_of("[shares]\nlongest-wait = 3\n");
        assert_eq!((shares.has_weights(), shares.longest_wait), (false, Some(3.0)));
        assert!(findings.is_empty());
    }

    #[test]
    fn weights_are_read_by_queue() {
        let (shares, findings) = shares_of("[shares]\nweight.quick = 2.5\ndefault-weight = 4\n");
        assert!(findings.is_empty(), "{findings:?}");
        assert_eq!((shares.weight_of("quick"), shares.weight_of("other")), (2.5, 4.0));
        assert_eq!(shares.longest_wait, None);
    }

    /// Guards against a weight that would divide by zero or rank a queue by no number.
    #[test]
    fn weights_that_are_no_positive_numbers_are_reported() {
        let (shares, findings) =
            shares_of("[shares]\nweight.a = 0\nweight.b = NaN\nweight. = 1\nlongest-wait = -1\n");
        assert_eq!(shares, ShareSettings::default());
        assert_eq!(findings.len(), 4, "{findings:?}");
        assert_eq!(findings[0], "planner.ini:2: shares.weight.a: '0' is not a number above zero");
    }
}
