//! Rows of watched tables as this process last read them, and the age of that knowledge.
//!
//! A process that follows this one is served from here. It gets the same as from a feed of the
//! store: the rows that have changed after a version. The age tells it whether this process is
//! itself still in touch with the store.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::external::row_store::RowError;
use crate::external::row_store::RowName;
use crate::external::row_store::StoredRow;
use crate::ids::RowVersion;

/// Size in bytes above which the value of a row is left out: above that of a heartbeat, and so small
/// that a link of 2 Mbit/s carries it to sixteen followers in 0.3 s.
const MAX_RELAYED_BYTES: usize = 4_096;

/// Changes of a table as one process passes them on to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedPage {
    /// The rows that have changed, each in its newest version.
    pub rows: Vec<StoredRow>,
    /// Names of changed rows that are too large to pass on; they have to be read from the store.
    pub omitted: Vec<RowName>,
    /// Version up to which changes are included.
    pub version: RowVersion,
    /// Time since the store has confirmed this state.
    pub age: Duration,
    /// Mean time that the store takes to respond to the process that watches it.
    pub store_latency: Duration,
}

/// The rows of one table.
#[derive(Clone, Debug)]
struct CachedTable {
    rows: BTreeMap<RowName, StoredRow>,
    /// Version since which all changes are included.
    complete_since: RowVersion,
    /// Version up to which changes are included.
    version: RowVersion,
    confirmed_at: Instant,
}

/// The watched tables, by name.
#[derive(Clone, Debug, Default)]
pub struct FeedCache {
    tables: BTreeMap<String, CachedTable>,
}

impl FeedCache {
    /// Replaces what is known of a table by the rows that were read at a version.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::feed_cache::FeedCache;
    ///
    /// let mut cache = FeedCache::default();
    /// cache.reset("ownership", &[], 4, Instant::now());
    /// assert!(cache.changes_after("ownership", 4, Instant::now()).is_ok());
    /// ```
    pub fn reset(
        &mut self,
        table: &str,
        rows: &[StoredRow],
        version: RowVersion,
        confirmed_at: Instant,
    ) {
        let rows = rows.iter().map(|row| (row.name.clone(), row.clone())).collect();
        let read = CachedTable { rows, complete_since: version, version, confirmed_at };
        self.tables.insert(table.to_string(), read);
    }

    /// Adds changes of a table up to a version. A table that was not read before stays unknown.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::feed_cache::FeedCache;
    ///
    /// let mut cache = FeedCache::default();
    /// cache.apply("ownership", &[], 4, Instant::now());
    /// assert!(cache.changes_after("ownership", 4, Instant::now()).is_err());
    /// ```
    pub fn apply(
        &mut self,
        table: &str,
        rows: &[StoredRow],
        version: RowVersion,
        confirmed_at: Instant,
    ) {
        let Some(known) = self.tables.get_mut(table) else {
            return;
        };
        for row in rows {
            let is_newer = |known: &StoredRow| known.version < row.version;
            if known.rows.get(&row.name).is_none_or(is_newer) {
                known.rows.insert(row.name.clone(), row.clone());
            }
        }
        known.version = known.version.max(version);
        known.confirmed_at = known.confirmed_at.max(confirmed_at);
    }

    /// Returns when the store last confirmed what is known of a table.
    ///
    /// ```
    /// use greengagearch::connection::feed_cache::FeedCache;
    ///
    /// assert_eq!(FeedCache::default().confirmed_at("ownership"), None);
    /// ```
    pub fn confirmed_at(&self, table: &str) -> Option<Instant> {
        self.tables.get(table).map(|known| known.confirmed_at)
    }

    /// Returns the changes of a table after a version.
    ///
    /// # Errors
    ///
    /// [`RowError::HistoryGone`] if changes after that version may be missing here.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::feed_cache::FeedCache;
    ///
    /// assert!(FeedCache::default().changes_after("ownership", 0, Instant::now()).is_err());
    /// ```
    pub fn changes_after(
        &self,
        table: &str,
        after: RowVersion,
        now: Instant,
    ) -> Result<RelayedPage, RowError> {
        let known = self.tables.get(table).filter(|known| known.complete_since <= after);
        let known = known.ok_or(RowError::HistoryGone)?;
        let mut page = RelayedPage {
            version: known.version,
            age: now.saturating_duration_since(known.confirmed_at),
            ..RelayedPage::default()
        };
        for row in known.rows.values().filter(|row| row.version > after) {
            if row.value.as_ref().is_some_and(|value| value.len() > MAX_RELAYED_BYTES) {
                page.omitted.push(row.name.clone());
            } else {
                page.rows.push(row.clone());
            }
        }
        page.rows.sort_by_key(|row| row.version);
        Ok(page)
    }
}
