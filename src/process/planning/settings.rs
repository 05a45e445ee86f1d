//! Settings of a planner process and of a node agent.
//!
//! They are parsed from INI text; all findings are reported together.

use std::net::SocketAddr;
use std::time::Duration;

use crate::findings::FindingList;
use crate::ids::DomainName;
use crate::process::ini_reader::IniReader;
use crate::process::planning::rows::JobLayout;

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
    /// Whether the speeds of workers are learned and taken into account.
    pub learn_speed: bool,
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
            evacuation_limit: read_evacuation_limit(&mut reader),
            learn_speed: reader.flag("workers", "learn-speed", false),
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

fn read_evacuation_limit(reader: &mut IniReader) -> Duration {
    let limit = reader.span("planner", "evacuation-limit", DEFAULT_EVACUATION_LIMIT);
    if limit < MIN_EVACUATION_LIMIT {
        let message = format!("must be at least {}s", MIN_EVACUATION_LIMIT.as_secs());
        reader.report("planner", "evacuation-limit", &message);
    }
    limit
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
