//! A table service in memory, for trials on one machine and for tests.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_trait::async_trait;

use crate::external::table::TableError;
use crate::external::table::TableRow;
use crate::external::table::TableStore;
use crate::external::table::TableTransaction;
use crate::ids::RowVersion;

#[derive(Debug, Default)]
struct TableState {
    rows: BTreeMap<String, TableRow>,
    last_version: RowVersion,
}

/// Rows in memory, with the semantics of the platform's table service.
#[derive(Debug, Default)]
pub struct MemoryTable {
    state: Mutex<TableState>,
}

impl MemoryTable {
    /// Commits a transaction at once and gives the version of the rows that it wrote.
    ///
    /// # Errors
    ///
    /// [`TableError::Conflict`] when a check fails.
    ///
    /// ```
    /// use greengagearch::external::memory_table::MemoryTable;
    /// use greengagearch::external::table::TableTransaction;
    ///
    /// let table = MemoryTable::default();
    /// let mut transaction = TableTransaction::default();
    /// transaction.put("a", 0, &1);
    /// assert!(table.apply(&transaction).is_ok());
    /// assert!(table.apply(&transaction).is_err());
    /// ```
    pub fn apply(&self, transaction: &TableTransaction) -> Result<RowVersion, TableError> {
        let mut state = self.lock();
        for check in &transaction.checks {
            let version = state.rows.get(&check.key).map_or(0, |row| row.version);
            if version != check.version {
                return Err(TableError::Conflict { key: check.key.clone() });
            }
        }
        state.last_version += 1;
        let version = state.last_version;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => {
                    let row = TableRow { key: write.key.clone(), version, value: value.clone() };
                    state.rows.insert(write.key.clone(), row);
                }
                None => {
                    state.rows.remove(&write.key);
                }
            }
        }
        Ok(version)
    }

    /// Reads one row at once.
    ///
    /// ```
    /// use greengagearch::external::memory_table::MemoryTable;
    ///
    /// assert!(MemoryTable::default().row("a").is_none());
    /// ```
    pub fn row(&self, key: &str) -> Option<TableRow> {
        self.lock().rows.get(key).cloned()
    }

    /// Reads the rows under a prefix at once.
    ///
    /// ```
    /// use greengagearch::external::memory_table::MemoryTable;
    ///
    /// assert!(MemoryTable::default().rows("a").is_empty());
    /// ```
    pub fn rows(&self, prefix: &str) -> Vec<TableRow> {
        let state = self.lock();
        let from = state.rows.range(prefix.to_string()..);
        from.take_while(|(key, _)| key.starts_with(prefix)).map(|(_, row)| row.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl TableStore for MemoryTable {
    async fn get(&self, key: &str) -> Result<Option<TableRow>, TableError> {
        Ok(self.row(key))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<TableRow>, TableError> {
        Ok(self.rows(prefix))
    }

    async fn commit(&self, transaction: TableTransaction) -> Result<RowVersion, TableError> {
        self.apply(&transaction)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_removed_row_never_returns_under_an_old_version() {
        let table = MemoryTable::default();
        let mut first = TableTransaction::default();
        first.put("a", 0, &1);
        table.apply(&first).unwrap();
        let old = table.row("a").unwrap().version;
        let mut removal = TableTransaction::default();
        removal.remove("a", old);
        table.apply(&removal).unwrap();
        table.apply(&first).unwrap();
        assert_ne!(table.row("a").unwrap().version, old);
    }
}
