//! Explains from log files what became of a job, and why.

use std::collections::BTreeMap;
use std::fmt::Write;

/// Events that affect all jobs. Those between the first and the last line of the job are shown with it.
const BELIEFS: [&str; 20] = [
    "admission_view",
    "planning_started",
    "planning_ended",
    "evacuation_started",
    "evacuation_ended",
    "worker_lost",
    "runner_lost",
    "runner_regained",
    "runner_ended",
    "planner_link",
    "lease_lapsed",
    "lease_renewed",
    "node_link_lost",
    "node_link_regained",
    "feed_lost",
    "commit_failed",
    "ownership_watch_lost",
    "worker_slow",
    "worker_ejected",
    "worker_readmitted",
];

/// One line of a log: its time in seconds and its pairs.
#[derive(Clone, Debug, PartialEq)]
struct LogLine {
    seconds: f64,
    pairs: BTreeMap<String, String>,
    text: String,
}

impl LogLine {
    /// Reads a line; what stands before its time, such as a host's name, is kept as part of the text.
    fn parse(text: &str) -> Option<LogLine> {
        let begin = text.find("time=")?;
        let pairs: BTreeMap<String, String> = split_pairs(&text[begin..]).into_iter().collect();
        let seconds = pairs.get("time")?.parse().ok()?;
        let shown = text[begin..].split_once(" event=").map_or("", |(_, rest)| rest);
        let host = text[..begin].split_whitespace().last().unwrap_or_default();
        let text = format!("{host} {shown}").trim().to_string();
        Some(LogLine { seconds, pairs, text })
    }

    fn get(&self, key: &str) -> &str {
        self.pairs.get(key).map_or("", String::as_str)
    }

    fn number(&self, key: &str) -> u64 {
        self.get(key).parse().unwrap_or(0)
    }

    fn is_of(&self, job: &str) -> bool {
        self.get("job") == job || self.get("task").split('.').next() == Some(job)
    }
}

/// Splits a line into its pairs; values in quotes may hold blanks.
fn split_pairs(text: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = text.trim();
    while let Some((key, value)) = rest.split_once('=') {
        let (value, after) = match value.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => value.split_once(' ').unwrap_or((value, "")),
        };
        pairs.push((key.trim().to_string(), value.to_string()));
        rest = after.trim_start();
    }
    pairs
}

/// Returns the log lines of a job in order of time, and the likely cause of its end.
///
/// ```
/// use greengagearch::ctl::explain::explain;
///
/// let log = "time=5.000 level=info event=job_submitted job=a1 outcome=\"not run: status 503\"";
/// let told = explain("a1", &[log.to_string()]);
/// assert!(told.contains("refused"), "{told}");
/// ```
pub fn explain(job: &str, logs: &[String]) -> String {
    let lines = logs.iter().flat_map(|log| log.lines());
    let mut lines: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
    lines.sort_by(|a, b| a.seconds.total_cmp(&b.seconds));
    let own = || lines.iter().filter(|line| line.is_of(job));
    let (Some(first), Some(last)) = (own().next(), own().next_back()) else {
        return format!("{job}: no line names it; was every host's log given?\n");
    };
    let is_belief = |line: &LogLine| BELIEFS.contains(&line.get("event"));
    let is_within = |line: &LogLine| (first.seconds..=last.seconds).contains(&line.seconds);
    let mut told = String::new();
    let shown = lines.iter().filter(|line| line.is_of(job) || is_belief(line) && is_within(line));
    for line in shown {
        // Writing to a string cannot fail.
        let _ = writeln!(told, "{:+9.3} s  {}", line.seconds - first.seconds, line.text);
    }
    let own: Vec<&LogLine> = own().collect();
    let _ = writeln!(told, "cause: {}", cause(&own));
    told
}

/// The likely cause of a job's end, and how often it was refused before it was admitted.
fn cause(lines: &[&LogLine]) -> String {
    let end = end_cause(lines);
    let refused: Vec<&LogLine> =
        lines.iter().copied().filter(|line| line.get("event") == "job_refused").collect();
    let (Some(first), Some(last)) = (refused.first(), refused.last()) else {
        return end;
    };
    let count = refused.len();
    let admitted = lines.iter().find(|line| line.get("outcome") == "accepted");
    match admitted {
        Some(admitted) => {
            let waited = admitted.seconds - first.seconds;
            format!("{end}; admitted {waited:.1} s after the first of {count} refusals")
        }
        None => format!(
            "refused by admission control {count} times, the last time for {}: expected end after \
             {} ms, worthless after {} ms, asked to return after {} s",
            last.get("reason"),
            last.get("expected_end_ms"),
            last.get("limit_ms"),
            last.get("retry_after_s")
        ),
    }
}

fn end_cause(lines: &[&LogLine]) -> String {
    let of_event =
        |event: &'static str| lines.iter().copied().filter(move |line| line.get("event") == event);
    let accepted = of_event("job_submitted").any(|line| line.get("outcome") == "accepted");
    if !accepted && let Some(refused) = of_event("job_submitted").next_back() {
        return format!("refused at every try, the last time: {}", refused.get("outcome"));
    }
    let ended_as =
        |end: &'static str| of_event("run_ended").filter(move |line| line.get("end") == end);
    let Some(end) = of_event("job_ended").next_back() else {
        return unfinished(lines);
    };
    if let Some(given_up) = of_event("task_given_up").next_back() {
        let task = given_up.get("task");
        let lost = ended_as("Lost").filter(|line| line.get("task") == task);
        let workers: Vec<&str> = lost.map(|line| line.get("worker")).collect();
        return format!("failed: its task {task} crashed its workers {}", workers.join(", "));
    }
    if end.get("end") == "Failed" {
        let workers: Vec<&str> = ended_as("Failed").map(|line| line.get("worker")).collect();
        return format!("failed: its attempts ended as failed on {}", workers.join(", "));
    }
    let (age, objective) = (end.number("age_ms"), end.number("objective_ms"));
    if age <= objective || end.get("end") == "Cancelled" {
        return format!("{} after {age} ms, within its {objective} ms", end.get("end"));
    }
    let lost = ended_as("Lost").count() + ended_as("Lapsed").count();
    let moved = of_event("task_moved").count();
    let wait = of_event("task_assigned").map(|line| line.number("age_ms")).min().unwrap_or(0);
    let longest = of_event("run_ended").map(|line| line.number("ran_ms")).max().unwrap_or(0);
    format!(
        "late: {age} ms of {objective} ms; first start after {wait} ms, longest run {longest} ms, \
         {lost} runs lost with their worker or lease, {moved} moved"
    )
}

fn unfinished(lines: &[&LogLine]) -> String {
    let started = lines.iter().filter(|line| line.get("event") == "task_assigned").count();
    let ended = lines.iter().filter(|line| line.get("event") == "run_ended").count();
    format!("not ended by the end of the logs: {started} runs given to workers, {ended} over")
}
