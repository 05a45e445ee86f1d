//! Entries of other writers that cannot be read, or name nothing that can be used. They are counted
//! and logged; the log is bounded, since such an entry may be read again with each change of a list.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::Mutex;
use std::sync::PoisonError;

use log::Level;

use crate::process::inbound::error_text::bounded_text;
use crate::process::logging::log_event;

/// Number of entries of a source that are logged, before only each power of two is.
const LOGGED_FIRST: u64 = 3;
/// Maximum number of sources. The names of tables come from the store's responses.
const MAX_SOURCES: usize = 32;

/// Numbers of entries by source.
static COUNTS: Mutex<BTreeMap<String, u64>> = Mutex::new(BTreeMap::new());

/// Counts an entry that is skipped, and logs some of them. The source is the name of a table or of
/// another list, and the entry its key there.
///
/// ```
/// use greengagearch::process::malformed_entries::malformed_counts;
/// use greengagearch::process::malformed_entries::report_malformed;
///
/// report_malformed("nodes", "10.0.0.1:7000", &"the port is out of range");
/// assert!(malformed_counts().iter().any(|(source, _)| source == "nodes"));
/// ```
pub fn report_malformed(source: &str, entry: &str, error: &dyn Display) {
    let count = count_entry(source);
    if count <= LOGGED_FIRST || count.is_power_of_two() {
        let entry = bounded_text(entry.to_string());
        let error = bounded_text(error.to_string());
        log_event(
            Level::Error,
            "entry_malformed",
            &[("source", &source), ("entry", &entry), ("error", &error), ("count", &count)],
        );
    }
}

/// Returns the number of entries that were skipped, by source.
///
/// ```
/// assert!(greengagearch::process::malformed_entries::malformed_counts().len() <= 32);
/// ```
pub fn malformed_counts() -> Vec<(String, u64)> {
    let counts = COUNTS.lock().unwrap_or_else(PoisonError::into_inner);
    counts.iter().map(|(source, count)| (source.clone(), *count)).collect()
}

fn count_entry(source: &str) -> u64 {
    let mut counts = COUNTS.lock().unwrap_or_else(PoisonError::into_inner);
    if !counts.contains_key(source) && counts.len() >= MAX_SOURCES {
        return u64::MAX;
    }
    let count = counts.entry(source.to_string()).or_default();
    *count += 1;
    *count
}
