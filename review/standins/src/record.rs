//! The record of a case: one line for each event, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// A shared record, which is written to a file as it grows.
#[derive(Clone)]
pub struct EventRecord {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl EventRecord {
    pub fn create(path: &Path) -> EventRecord {
        let file = File::create(path).expect("the record can be created");
        EventRecord { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn write(&self, line: &str) {
        let line = format!("{:9.3} {line}\n", self.elapsed().as_secs_f64());
        let mut file = self.file.lock().expect("the record is not poisoned");
        file.write_all(line.as_bytes()).expect("the record can be written");
    }
}
