//! Logs: one line of `key=value` pairs for each event, on standard error or standard output.

use std::fmt::Display;
use std::fmt::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::Level;
use log::LevelFilter;
use simplelog::ConfigBuilder;
use simplelog::WriteLogger;

use crate::process::line_queue::LineQueue;

/// Opens the log of this process. Later calls change nothing.
///
/// ```
/// greengagearch::process::logging::open_log(log::LevelFilter::Info);
/// ```
pub fn open_log(filter: LevelFilter) {
    open_log_on(filter, std::io::stderr());
}

/// Opens the log on standard output, behind a bounded queue, so that a slow reader of the output never
/// holds up the process. Lines that find the queue full are dropped and counted.
///
/// ```no_run
/// greengagearch::process::logging::open_queued_log(log::LevelFilter::Info);
/// ```
pub fn open_queued_log(filter: LevelFilter) {
    open_log_on(filter, LineQueue::spawn(std::io::stdout()));
}

fn open_log_on<W: std::io::Write + Send + 'static>(filter: LevelFilter, output: W) {
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("greengagearch")
        .build();
    // A second logger is refused, and the first one stays.
    let _ = WriteLogger::init(filter, config, output);
}

/// Writes one event.
///
/// ```
/// use greengagearch::process::logging::log_event;
///
/// log_event(log::Level::Info, "joined", &[("generation", &3)]);
/// ```
pub fn log_event(level: Level, event: &str, pairs: &[(&str, &dyn Display)]) {
    if !log::log_enabled!(target: "greengagearch", level) {
        return;
    }
    log::log!(target: "greengagearch", level, "{}", format_event(level, event, pairs));
}

fn format_event(level: Level, event: &str, pairs: &[(&str, &dyn Display)]) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut line = format!("time={}.{:03}", now.as_secs(), now.subsec_millis());
    // Writing to a string cannot fail.
    let _ = write!(line, " level={} event={event}", level.as_str().to_ascii_lowercase());
    for (key, value) in pairs {
        let _ = write!(line, " {key}={}", quoted(&value.to_string()));
    }
    line
}

/// Quotes a value that would break the line apart.
fn quoted(value: &str) -> String {
    let is_plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(is_plain) {
        value.to_string()
    } else {
        format!("{value:?}")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_value_cannot_forge_another_pair() {
        let line = format_event(Level::Info, "x", &[("name", &"a level=error\nb")]);
        assert!(line.ends_with("level=info event=x name=\"a level=error\\nb\""), "{line}");
    }
}
