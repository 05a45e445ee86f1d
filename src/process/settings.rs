//! Settings of the programs, read from INI text and checked as a whole.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::connection::cluster_map::ClusterTiming;
use crate::findings::FindingList;
use crate::ids::DomainName;
use crate::ids::EntryId;
use crate::ids::TeamName;
use crate::ids::WorkerId;
use crate::process::http_server::HttpLimits;
use crate::process::ini_reader::IniReader;
use crate::process::machine_limits::MachineLimits;
use crate::request::placement_policy::PlacementPolicyKind;

/// Length of a SHA-256 digest in hexadecimal digits.
const KEY_HASH_DIGITS: usize = 64;
/// Shortest and longest time between two heartbeats that are allowed.
const BEAT_RANGE: std::ops::RangeInclusive<u64> = 20..=10_000;
/// Writes a second that entries together may send, without a setting: half of what the platform's
/// service is assumed to bear, since agents write the ends of tasks besides.
const WRITE_RATE: u64 = 200;
/// Most connections of callers that a setting may allow.
const LARGEST_CONNECTIONS: u64 = 1_000_000;
/// Rates of writes that are allowed.
const WRITE_RANGE: std::ops::RangeInclusive<u64> = 10..=1_000_000;

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Name of the entry.
    pub id: EntryId,
    /// Failure domain of its host.
    pub domain: DomainName,
    /// Address for callers.
    pub caller_listen: SocketAddr,
    /// Address for operators.
    pub operator_listen: SocketAddr,
    /// Address for other processes of the system.
    pub internal_listen: SocketAddr,
    /// Address under which others reach the internal listener, when it is not the listener's own.
    pub internal_advertise: Option<SocketAddr>,
    /// Address of the platform's balancer for internal listeners, if there is one.
    pub balancer: Option<SocketAddr>,
    /// Address of the table service.
    pub table: String,
    /// SHA-256 of each team's key, in hexadecimal digits.
    pub key_hashes: BTreeMap<TeamName, String>,
    /// Timing for a new cluster; an existing cluster keeps its own.
    pub timing: ClusterTiming,
    /// Writes a second that all entries together may send to the table service.
    pub write_rate: u64,
    /// Way of choosing a worker for a task.
    pub placement: PlacementPolicyKind,
    /// What the callers' listener bears.
    pub caller_limits: HttpLimits,
    /// Longest wait for requests in flight when stopping.
    pub drain_limit: Duration,
    /// What the host grants the process.
    pub machine: MachineLimits,
}

impl EntrySettings {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// All findings, each with its line.
    ///
    /// ```
    /// use greengagearch::process::settings::EntrySettings;
    ///
    /// let findings = EntrySettings::parse("entry.ini", "").unwrap_err();
    /// assert_eq!(findings.0.len(), 3);
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<EntrySettings, FindingList> {
        let mut reader = IniReader::open(file, text);
        let settings = EntrySettings {
            id: reader.required("entry", "id"),
            domain: reader.required("entry", "domain"),
            caller_listen: read_address(&mut reader, "entry", "caller-listen"),
            operator_listen: read_address(&mut reader, "entry", "operator-listen"),
            internal_listen: read_address(&mut reader, "entry", "internal-listen"),
            internal_advertise: read_optional_address(&mut reader, "entry", "internal-advertise"),
            balancer: read_optional_address(&mut reader, "entry", "balancer"),
            table: read_target(&mut reader, "platform", "table"),
            key_hashes: read_key_hashes(&mut reader),
            timing: read_timing(&mut reader),
            write_rate: reader.number("platform", "writes-per-second", WRITE_RATE, WRITE_RANGE),
            placement: reader.value("batch", "placement", PlacementPolicyKind::default()),
            caller_limits: read_limits(&mut reader),
            drain_limit: reader.span("entry", "drain-limit", Duration::from_secs(30)),
            machine: MachineLimits::read(&mut reader),
        };
        reader.finish().or_value(settings)
    }
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// The worker on whose host it runs.
    pub worker: WorkerId,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Rack of the host.
    pub rack: String,
    /// Address for announcements of endpoints.
    pub endpoint_listen: SocketAddr,
    /// Address for other processes of the system.
    pub internal_listen: SocketAddr,
    /// Address of the platform's balancer for the entries' internal listeners.
    pub balancer: SocketAddr,
    /// Address of the table service.
    pub table: String,
    /// Address of the worker's own interface; none where no tasks run.
    pub worker_control: Option<SocketAddr>,
    /// Longest wait for requests in flight when stopping.
    pub drain_limit: Duration,
    /// What the host grants the process.
    pub machine: MachineLimits,
}

impl AgentSettings {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// All findings, each with its line.
    ///
    /// ```
    /// use greengagearch::process::settings::AgentSettings;
    ///
    /// let text = "[agent]\nworker = w1\ndomain = wien-a\nrack = r1\nbalancer = x\n\
    ///             [platform]\ntable = 127.0.0.1:7000\n";
    /// let findings = AgentSettings::parse("agent.ini", text).unwrap_err();
    /// assert_eq!(findings.0[0].line, 5);
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<AgentSettings, FindingList> {
        let mut reader = IniReader::open(file, text);
        let balancer = read_optional_address(&mut reader, "agent", "balancer");
        if balancer.is_none() && reader.text("agent", "balancer").is_none() {
            reader.report("agent", "balancer", "missing, and has no default");
        }
        let settings = AgentSettings {
            worker: reader.required("agent", "worker"),
            domain: reader.required("agent", "domain"),
            rack: reader.required("agent", "rack"),
            endpoint_listen: read_address(&mut reader, "agent", "endpoint-listen"),
            internal_listen: read_address(&mut reader, "agent", "internal-listen"),
            balancer: balancer.unwrap_or_else(any_port),
            table: read_target(&mut reader, "platform", "table"),
            worker_control: read_optional_address(&mut reader, "platform", "worker"),
            drain_limit: reader.span("agent", "drain-limit", Duration::from_secs(30)),
            machine: MachineLimits::read(&mut reader),
        };
        reader.finish().or_value(settings)
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An address to listen on; without one, any free port of the loopback address.
fn read_address(reader: &mut IniReader, section: &str, key: &str) -> SocketAddr {
    read_optional_address(reader, section, key).unwrap_or_else(any_port)
}

fn read_optional_address(reader: &mut IniReader, section: &str, key: &str) -> Option<SocketAddr> {
    let text = reader.text(section, key)?;
    let parsed = text.parse();
    if parsed.is_err() {
        let message = format!("'{text}' is no IP address with a port, such as 10.0.0.1:7000");
        reader.report(section, key, &message);
    }
    parsed.ok()
}

/// An address to connect to, which must be there.
fn read_target(reader: &mut IniReader, section: &str, key: &str) -> String {
    if reader.required(section, key).is_empty() {
        return String::new();
    }
    read_optional_address(reader, section, key)
        .map(|address| address.to_string())
        .unwrap_or_default()
}

fn read_limits(reader: &mut IniReader) -> HttpLimits {
    let default = HttpLimits::default();
    let header_timeout = reader.span("entry", "header-timeout", default.header_timeout);
    if header_timeout.is_zero() {
        reader.report("entry", "header-timeout", "must be longer than 0s");
    }
    let most = default.connections as u64;
    let connections = reader.number("entry", "connections", most, 1..=LARGEST_CONNECTIONS);
    let idle_timeout = reader.span("entry", "idle-timeout", default.idle_timeout);
    if idle_timeout.is_zero() {
        reader.report("entry", "idle-timeout", "must be longer than 0s");
    }
    HttpLimits { header_timeout, idle_timeout, connections: connections as usize, ..default }
}

fn read_key_hashes(reader: &mut IniReader) -> BTreeMap<TeamName, String> {
    let mut hashes = BTreeMap::new();
    for team in reader.keys("team-keys") {
        let hash = reader.required("team-keys", &team).to_ascii_lowercase();
        let is_hash = hash.len() == KEY_HASH_DIGITS && hash.bytes().all(|b| b.is_ascii_hexdigit());
        if is_hash {
            hashes.insert(team, hash);
        } else {
            // The value itself is not repeated: it may be a key in clear.
            reader.report("team-keys", &team, "must be a SHA-256 in 64 hexadecimal digits");
        }
    }
    hashes
}

fn read_timing(reader: &mut IniReader) -> ClusterTiming {
    let default = ClusterTiming::default();
    let mut beat = |key: &str, default: Duration| {
        let span = reader.span("timing", key, default);
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        if !BEAT_RANGE.contains(&millis) {
            reader.report("timing", key, "must be between 20ms and 10s");
        }
        millis
    };
    let entry_beat_millis = beat("entry-beat", default.entry_beat());
    let agent_beat_millis = beat("agent-beat", default.agent_beat());
    let longest = Duration::from_millis(default.longest_grant_only_millis);
    let longest = reader.span("timing", "longest-grant-only", longest);
    ClusterTiming {
        entry_beat_millis,
        agent_beat_millis,
        longest_grant_only_millis: u64::try_from(longest.as_millis()).unwrap_or(u64::MAX),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "[entry]\nid = e1\ndomain = wien-a\n[platform]\ntable = 127.0.0.1:7000\n";

    #[test]
    fn defaults_fill_what_is_not_set() {
        let settings = EntrySettings::parse("e.ini", GOOD).unwrap();
        assert_eq!(settings.timing, ClusterTiming::default());
        assert_eq!(settings.caller_listen.port(), 0);
    }

    #[test]
    fn a_key_in_clear_is_refused_and_not_repeated() {
        let text = format!("{GOOD}[team-keys]\nsendeplan = hunter2\n");
        let findings = EntrySettings::parse("e.ini", &text).unwrap_err();
        assert_eq!(findings.0[0].line, 7);
        assert!(!findings.to_string().contains("hunter2"));
    }

    #[test]
    fn an_unknown_key_is_a_finding() {
        let text = format!("{GOOD}tabel = 127.0.0.1:1\n");
        let findings = EntrySettings::parse("e.ini", &text).unwrap_err();
        assert_eq!(findings.to_string(), "e.ini:6: platform.tabel: unknown key");
    }
}
