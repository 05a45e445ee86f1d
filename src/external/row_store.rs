//! The store that the deployment shares: rows in tables, changed under conditions, and a feed of changes.

use std::time::Duration;

use async_trait::async_trait;
use futures::future::try_join_all;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::ids::RowVersion;

/// Place of a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowName {
    /// Its table.
    pub table: String,
    /// Its partition; a transaction stays within one.
    pub partition: String,
    /// Its key.
    pub key: String,
}

impl RowName {
    /// Names a row.
    ///
    /// ```
    /// let name = greengagearch::external::row_store::RowName::new("jobs", "main", "a");
    /// assert_eq!(name.key, "a");
    /// ```
    pub fn new(table: &str, partition: &str, key: &str) -> RowName {
        RowName { table: table.to_string(), partition: partition.to_string(), key: key.to_string() }
    }
}

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRow {
    /// Its place.
    pub name: RowName,
    /// Its value; nothing when the row was removed, which only feeds and conflicts show.
    pub value: Option<Vec<u8>>,
    /// Its version.
    pub version: RowVersion,
}

/// A change of several rows at once, under conditions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowTransaction {
    /// Versions that rows must have; zero for a row that must not exist.
    pub expected: Vec<(RowName, RowVersion)>,
    /// Rows to write.
    pub puts: Vec<(RowName, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<RowName>,
}

/// Rows of a range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangePage {
    /// The rows, by key.
    pub rows: Vec<StoredRow>,
    /// Whether there are more.
    pub has_more: bool,
    /// Version of the store at which they were read.
    pub version: RowVersion,
}

/// Changes of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedPage {
    /// The changed rows, in order.
    pub rows: Vec<StoredRow>,
    /// Version up to which changes are told.
    pub version: RowVersion,
}

/// Why a call of the store did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum RowError {
    /// The store has done nothing, and never will for this call.
    #[snafu(display("the store refused the call: {reason}"))]
    Refused {
        /// Why.
        reason: String,
    },
    /// There was no answer; the call may have been carried out, or may yet be.
    #[snafu(display("the store's answer was lost: {reason}"))]
    Ambiguous {
        /// Why.
        reason: String,
    },
    /// A condition did not hold; the rows that conditions named, as they are now.
    #[snafu(display("a condition did not hold"))]
    Conflict {
        /// The rows; one that does not exist has no value.
        rows: Vec<StoredRow>,
    },
    /// The history that a feed asked for is gone; the rows have to be read anew.
    #[snafu(display("the history was dropped"))]
    HistoryGone,
    /// The answer cannot be read.
    #[snafu(display("the store's answer cannot be read: {reason}"))]
    Malformed {
        /// Why.
        reason: String,
    },
}

/// Access to the store.
#[async_trait]
pub trait RowStore: Send + Sync {
    /// Applies a transaction. Gives the version of the rows that it wrote.
    ///
    /// # Errors
    ///
    /// See [`RowError`].
    async fn commit(&self, transaction: &RowTransaction) -> Result<RowVersion, RowError>;

    /// Reads rows of a partition, with keys from `from` on.
    ///
    /// # Errors
    ///
    /// [`RowError::Refused`], [`RowError::Ambiguous`], [`RowError::Malformed`].
    async fn range(&self, table: &str, partition: &str, from: &str) -> Result<RangePage, RowError>;

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// As [`RowStore::range`].
    async fn get(&self, name: &RowName) -> Result<Option<StoredRow>, RowError>;

    /// Waits for changes of a table after a version, for `wait` at most.
    ///
    /// # Errors
    ///
    /// As [`RowStore::range`], and [`RowError::HistoryGone`].
    async fn feed(
        &self,
        table: &str,
        after: RowVersion,
        wait: Duration,
    ) -> Result<FeedPage, RowError>;
}

/// Reads all rows of partitions of a table, side by side, and the version of the store before the first was read.
///
/// # Errors
///
/// As [`RowStore::range`].
///
/// ```no_run
/// # async fn f(store: &dyn greengagearch::external::row_store::RowStore) {
/// let partitions = ["jobs-0".to_string(), "jobs-1".to_string()];
/// let (rows, version) =
///     greengagearch::external::row_store::read_partitions(store, "jobs", &partitions).await.unwrap();
/// # }
/// ```
pub async fn read_partitions(
    store: &dyn RowStore,
    table: &str,
    partitions: &[String],
) -> Result<(Vec<StoredRow>, RowVersion), RowError> {
    let reads = partitions.iter().map(|partition| read_all(store, table, partition));
    let read = try_join_all(reads).await?;
    let version = read.iter().map(|(_, version)| *version).min().unwrap_or(0);
    Ok((read.into_iter().flat_map(|(rows, _)| rows).collect(), version))
}

/// Reads all rows of a partition of a table, and the version of the store before the first was read.
///
/// # Errors
///
/// As [`RowStore::range`].
///
/// ```no_run
/// # async fn f(store: &dyn greengagearch::external::row_store::RowStore) {
/// let (rows, version) =
///     greengagearch::external::row_store::read_all(store, "jobs", "main").await.unwrap();
/// # }
/// ```
pub async fn read_all(
    store: &dyn RowStore,
    table: &str,
    partition: &str,
) -> Result<(Vec<StoredRow>, RowVersion), RowError> {
    let mut page = store.range(table, partition, "").await?;
    let version = page.version;
    let mut rows = std::mem::take(&mut page.rows);
    while page.has_more {
        let Some(last) = rows.last() else {
            break;
        };
        // The smallest key that is greater than the last one.
        let from = format!("{}\0", last.name.key);
        page = store.range(table, partition, &from).await?;
        rows.append(&mut page.rows);
    }
    Ok((rows, version))
}
