//! The transactional table service: rows under keys, changed by compare-and-swap.

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::external::write_budget::WritePriority;
use crate::ids::RowVersion;

/// One row as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Version of the row; it rises with every change of the key, also over a removal.
    pub version: RowVersion,
    /// Value, JSON text.
    pub value: String,
}

impl TableRow {
    /// The row's value as a typed one.
    ///
    /// # Errors
    ///
    /// [`TableError::Malformed`] when the value is not of that type.
    ///
    /// ```
    /// use greengagearch::external::table::TableRow;
    ///
    /// let row = TableRow { key: "n".into(), version: 1, value: "7".into() };
    /// assert_eq!(row.decode::<u32>().unwrap(), 7);
    /// ```
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, TableError> {
        serde_json::from_str(&self.value).map_err(|error| TableError::Malformed {
            key: self.key.clone(),
            message: error.to_string(),
        })
    }
}

/// A row's version that must still hold when a transaction commits; zero asks for no row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCheck {
    /// Key of the row.
    pub key: String,
    /// Version that was read.
    pub version: RowVersion,
}

/// The new value of a row, or its removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// JSON text, or nothing to remove the row.
    pub value: Option<String>,
}

/// Checks and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Versions that must still hold.
    pub checks: Vec<RowCheck>,
    /// Writes to carry out.
    pub writes: Vec<RowWrite>,
    /// What the transaction is for; stays in this process.
    #[serde(skip)]
    pub priority: WritePriority,
}

impl TableTransaction {
    /// An empty transaction of this priority.
    ///
    /// ```
    /// use greengagearch::external::table::TableTransaction;
    /// use greengagearch::external::write_budget::WritePriority;
    ///
    /// let transaction = TableTransaction::of(WritePriority::Start);
    /// assert!(transaction.writes.is_empty());
    /// ```
    pub fn of(priority: WritePriority) -> TableTransaction {
        TableTransaction { priority, ..TableTransaction::default() }
    }

    /// Adds a check without a write.
    ///
    /// ```
    /// use greengagearch::external::table::TableTransaction;
    ///
    /// let mut transaction = TableTransaction::default();
    /// transaction.check("a", 3);
    /// assert_eq!(transaction.checks.len(), 1);
    /// ```
    pub fn check(&mut self, key: &str, version: RowVersion) {
        self.checks.push(RowCheck { key: key.to_string(), version });
    }

    /// Adds a write that needs the row to be at `version`.
    ///
    /// ```
    /// use greengagearch::external::table::TableTransaction;
    ///
    /// let mut transaction = TableTransaction::default();
    /// transaction.put("a", 0, &"first");
    /// assert_eq!(transaction.writes[0].value.as_deref(), Some("\"first\""));
    /// ```
    pub fn put<T: Serialize>(&mut self, key: &str, version: RowVersion, value: &T) {
        self.check(key, version);
        let value = serde_json::to_string(value).unwrap_or_default();
        self.writes.push(RowWrite { key: key.to_string(), value: Some(value) });
    }

    /// Adds the removal of a row that must be at `version`.
    ///
    /// ```
    /// use greengagearch::external::table::TableTransaction;
    ///
    /// let mut transaction = TableTransaction::default();
    /// transaction.remove("a", 3);
    /// assert_eq!(transaction.writes[0].value, None);
    /// ```
    pub fn remove(&mut self, key: &str, version: RowVersion) {
        self.check(key, version);
        self.writes.push(RowWrite { key: key.to_string(), value: None });
    }
}

/// Why the table service gave no answer, or not the one asked for.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TableError {
    /// The service was not reached; nothing took effect.
    #[snafu(display("the table service is unavailable"))]
    Unavailable,
    /// The answer was lost; a commit may or may not have taken effect.
    #[snafu(display("the table service's answer was lost"))]
    Ambiguous,
    /// A check failed; nothing took effect.
    #[snafu(display("row '{key}' has changed"))]
    Conflict {
        /// Key of the first row whose check failed.
        key: String,
    },
    /// A row holds something else than expected.
    #[snafu(display("row '{key}' cannot be read: {message}"))]
    Malformed {
        /// Key of the row.
        key: String,
        /// What the decoder said.
        message: String,
    },
}

/// Access to the table service.
#[async_trait]
pub trait TableStore: Send + Sync {
    /// Reads one row.
    ///
    /// # Errors
    ///
    /// [`TableError::Unavailable`] when no answer came.
    async fn get(&self, key: &str) -> Result<Option<TableRow>, TableError>;

    /// Reads all rows whose key starts with `prefix`, in order of their keys.
    ///
    /// # Errors
    ///
    /// [`TableError::Unavailable`] when no answer came.
    async fn list(&self, prefix: &str) -> Result<Vec<TableRow>, TableError>;

    /// Commits a transaction and gives the version that all rows written by it have.
    ///
    /// # Errors
    ///
    /// [`TableError::Conflict`] or [`TableError::Unavailable`] when it took no effect,
    /// [`TableError::Ambiguous`] when that is not known.
    async fn commit(&self, transaction: TableTransaction) -> Result<RowVersion, TableError>;
}
