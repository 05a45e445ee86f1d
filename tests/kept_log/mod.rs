//! Keeps the lines that the process logs, for tests of what they tell.

use std::sync::Mutex;

use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct KeptLog;

impl Log for KeptLog {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        LINES.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Keeps all lines from now on.
pub fn keep_log() {
    // The first test of the process sets the logger; the others find it set.
    let _ = log::set_logger(&KeptLog);
    log::set_max_level(LevelFilter::Info);
}

/// Lines that contain `part`: tests of a file run beside each other.
pub fn lines_with(part: &str) -> Vec<String> {
    let lines = LINES.lock().unwrap();
    lines.iter().filter(|line| line.contains(part)).cloned().collect()
}
