//! Bodies of calls to the platform's runners, and of the responses.

use std::fmt::Display;

use reqwest::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::connection::node_protocol::EndedRun;
use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::RejectReason;
use crate::external::runner_control::PollRequest;
use crate::external::runner_control::PollResponse;
use crate::external::runner_control::RunnerError;
use crate::external::runner_control::RunnerMillis;
use crate::ids::FencingToken;
use crate::ids::RunNumber;
use crate::ids::StartMillis;
use crate::process::malformed_entries::report_malformed;
use crate::workflow::progress::RunEnd;
use crate::workflow::task_name::InvalidTaskName;
use crate::workflow::task_name::TaskName;

/// Maximum number of ends in one response.
const MAX_LISTED_ENDS: usize = 500;
/// Greatest number of an end. Numbers begin at 1 with each instance, and the acknowledgement of an
/// end covers all up to its number.
const MAX_END_NUMBER: u64 = 1 << 53;
/// Pace at which runs start, in percent; runners do not tell the pace that was ordered since.
const FULL_PACE: u32 = 100;

#[derive(Debug, Serialize)]
pub(super) struct WireStart<'a> {
    #[serde(rename = "Task")]
    pub(super) task: String,
    #[serde(rename = "Run")]
    pub(super) run: RunNumber,
    #[serde(rename = "Spec")]
    pub(super) payload: &'a str,
    #[serde(rename = "UntilMs")]
    pub(super) lease_end: RunnerMillis,
    #[serde(rename = "Fence")]
    pub(super) fence: FencingToken,
    #[serde(rename = "LastCheckpoint", skip_serializing_if = "str::is_empty")]
    pub(super) checkpoint: &'a str,
    #[serde(rename = "Ticket", skip_serializing_if = "Option::is_none")]
    pub(super) ticket: Option<&'a str>,
}

#[derive(Debug, Serialize)]
pub(super) struct WireStop {
    #[serde(rename = "Task")]
    pub(super) task: String,
    #[serde(rename = "Run")]
    pub(super) run: RunNumber,
    #[serde(rename = "Percent", skip_serializing_if = "Option::is_none")]
    pub(super) percent: Option<u32>,
    #[serde(rename = "Fence")]
    pub(super) fence: FencingToken,
}

#[derive(Debug, Serialize)]
pub(super) struct WireHold {
    #[serde(rename = "UntilMs", skip_serializing_if = "Option::is_none")]
    pub(super) lease_end: Option<RunnerMillis>,
    #[serde(rename = "Fence")]
    pub(super) fence: FencingToken,
    #[serde(rename = "LastSeen")]
    pub(super) seen: u64,
    #[serde(rename = "WaitMs")]
    pub(super) wait_ms: u64,
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct WireRefusal {
    #[serde(rename = "Reason", default)]
    reason: String,
    #[serde(rename = "born", default)]
    started_at: Option<StartMillis>,
}

/// An entry of a list. Each is decoded by itself, so that a malformed one leaves the others.
type WireEntry = Box<RawValue>;

#[derive(Debug, Deserialize)]
pub(super) struct WireLists {
    #[serde(rename = "ClockMs")]
    clock: RunnerMillis,
    #[serde(rename = "Running", default)]
    running: Vec<WireEntry>,
    #[serde(rename = "Ended", default)]
    ended: Vec<WireEntry>,
    #[serde(rename = "born", default)]
    started_at: Option<StartMillis>,
}

/// Why an entry of a list is skipped.
#[derive(Debug, Snafu)]
enum MalformedEntry {
    #[snafu(display("{source}"))]
    Json { source: serde_json::Error },
    #[snafu(display("field {index} is missing"))]
    Missing { index: usize },
    #[snafu(display("the number {number} is too large"))]
    Number { number: u64 },
    #[snafu(display("{source}"))]
    Task { source: InvalidTaskName },
}

/// Any answer that says no more than that an order was carried out.
#[derive(Debug, Deserialize)]
pub(super) struct WireDone {
    #[serde(rename = "born", default)]
    started_at: Option<StartMillis>,
}

/// A response that may tell the start time of its instance.
pub(super) trait RunnerAnswer: DeserializeOwned {
    fn started_at(&self) -> Option<StartMillis>;
}

impl RunnerAnswer for WireLists {
    fn started_at(&self) -> Option<StartMillis> {
        self.started_at
    }
}

impl RunnerAnswer for WireDone {
    fn started_at(&self) -> Option<StartMillis> {
        self.started_at
    }
}

/// A response, with the start time of its instance if it tells one.
pub(super) struct DecodedResponse<T> {
    pub(super) outcome: Result<T, RunnerError>,
    pub(super) started_at: Option<StartMillis>,
}

pub(super) fn decode_response<T: RunnerAnswer>(
    status: StatusCode,
    body: &[u8],
) -> DecodedResponse<T> {
    let rejected = |reason| Err(RunnerError::Rejected { reason });
    let outcome = match status {
        StatusCode::OK => match serde_json::from_slice::<T>(body) {
            Ok(answer) => {
                let started_at = answer.started_at();
                return DecodedResponse { outcome: Ok(answer), started_at };
            }
            Err(error) => Err(unreadable(&error)),
        },
        StatusCode::CONFLICT => {
            // A refusal without a reason that is known counts as one for a malformed order.
            let refusal: WireRefusal = serde_json::from_slice(body).unwrap_or_default();
            let (outcome, started_at) = (Err(refusal.error()), refusal.started_at);
            return DecodedResponse { outcome, started_at };
        }
        StatusCode::MISDIRECTED_REQUEST => Err(RunnerError::OtherInstance),
        StatusCode::BAD_REQUEST => rejected(RejectReason::Malformed),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            rejected(RejectReason::Unwell)
        }
        other => Err(unreadable(&format!("status {}", other.as_u16()))),
    };
    DecodedResponse { outcome, started_at: None }
}

impl WireRefusal {
    fn error(&self) -> RunnerError {
        let reason = match self.reason.as_str() {
            "fence" => return RunnerError::Fenced,
            "old" => RejectReason::Old,
            "late" => RejectReason::Late,
            "room" => RejectReason::Room,
            "ticket" => RejectReason::Ticket,
            _ => RejectReason::Malformed,
        };
        RunnerError::Rejected { reason }
    }
}

impl WireHold {
    pub(super) fn new(fence: FencingToken, request: PollRequest) -> WireHold {
        let wait_ms = u64::try_from(request.wait.as_millis()).unwrap_or(0);
        WireHold { lease_end: request.lease_end, fence, seen: request.seen, wait_ms }
    }
}

impl WireLists {
    /// Decodes the lists. Malformed entries are skipped and reported. One of them may stand for any
    /// run, so nothing is concluded from what is not listed beside it.
    pub(super) fn decode(&self) -> PollResponse {
        let running = decode_entries(&self.running, "running", decode_running);
        let ended = decode_entries(&self.ended, "ended", decode_ended);
        let has_skipped = running.len() < self.running.len() || ended.len() < self.ended.len();
        PollResponse {
            clock: self.clock,
            may_omit_ends: has_skipped || self.ended.len() >= MAX_LISTED_ENDS,
            running,
            ended,
        }
    }
}

fn decode_entries<T>(
    entries: &[WireEntry],
    list: &str,
    decode: impl Fn(&[&RawValue]) -> Result<T, MalformedEntry>,
) -> Vec<T> {
    let decode_entry = |entry: &WireEntry| {
        let fields: Vec<&RawValue> = serde_json::from_str(entry.get()).context(JsonSnafu)?;
        decode(&fields)
    };
    let report =
        |entry: &WireEntry, error: &MalformedEntry| report_malformed(list, entry.get(), error);
    let decoded = entries.iter().map(|entry| (entry, decode_entry(entry)));
    decoded
        .filter_map(|(entry, decoded)| decoded.inspect_err(|error| report(entry, error)).ok())
        .collect()
}

/// Decodes a run at work: task, run, saved work, percent of its work that is done, and its usage.
fn decode_running(fields: &[&RawValue]) -> Result<PresentRun, MalformedEntry> {
    Ok(PresentRun {
        task: task_field(fields, 0)?,
        run: field(fields, 1)?,
        is_started: true,
        checkpoint: optional_field(fields, 2),
        progress_percent: optional_field::<f64>(fields, 3) as u32,
        pace_percent: FULL_PACE,
        mean_pace_percent: FULL_PACE,
        usage: optional_field::<f64>(fields, 4) as u64,
    })
}

/// Decodes an end: number, task, run, how, saved work.
fn decode_ended(fields: &[&RawValue]) -> Result<EndedRun, MalformedEntry> {
    let number = field(fields, 0)?;
    ensure!(number <= MAX_END_NUMBER, NumberSnafu { number });
    let how: String = field(fields, 3)?;
    let end = match how.as_str() {
        "done" => RunEnd::Done,
        "failed" => RunEnd::Failed,
        "stopped" => RunEnd::Stopped,
        "broken" => RunEnd::Broken,
        "alone" => RunEnd::Alone,
        _ => RunEnd::Lapsed,
    };
    let (task, run) = (task_field(fields, 1)?, field(fields, 2)?);
    Ok(EndedRun { number, task, run, end, checkpoint: optional_field(fields, 4) })
}

fn field<T: DeserializeOwned>(fields: &[&RawValue], index: usize) -> Result<T, MalformedEntry> {
    let value = fields.get(index).context(MissingSnafu { index })?;
    serde_json::from_str(value.get()).context(JsonSnafu)
}

/// Decodes a field without which the entry still names its run.
fn optional_field<T: DeserializeOwned + Default>(fields: &[&RawValue], index: usize) -> T {
    field::<Option<T>>(fields, index).ok().flatten().unwrap_or_default()
}

fn task_field(fields: &[&RawValue], index: usize) -> Result<TaskName, MalformedEntry> {
    let name: String = field(fields, index)?;
    name.parse().context(TaskSnafu)
}

/// An answer that nothing may be concluded from.
pub(super) fn unreadable(error: &dyn Display) -> RunnerError {
    RunnerError::NoAnswer { is_broken: false, reason: error.to_string() }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    /// Guards against ends that are taken for absent: a response lists the first 500 ends only.
    #[test]
    fn a_full_list_of_ends_may_omit_later_ones() {
        for (count, may_omit) in [(499, false), (500, true)] {
            let ends: Vec<_> =
                (1..=count).map(|number| json!([number, "a.0.0.0", 1, "done", null])).collect();
            let body = json!({ "ClockMs": 0, "Running": [], "Ended": ends }).to_string();
            let lists: WireLists = serde_json::from_str(&body).unwrap();
            assert_eq!(lists.decode().may_omit_ends, may_omit, "{count}");
        }
    }
}
