//! The transactional table.

use async_trait::async_trait;
use bytes::Bytes;

use crate::StoreError;

/// The commit version of a row: it rises with each write of the table; 0 stands for "no row".
pub type Version = u64;

/// A row as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Bytes,
    /// The version of the write that made it.
    pub version: Version,
}

/// What must be so for a transaction to take effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condition {
    /// The row.
    pub key: String,
    /// Its version, or 0 where it must not be there.
    pub version: Version,
}

/// Writes that take effect together or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// All of these must hold.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: Vec<(String, Bytes)>,
    /// Rows to delete.
    pub deletes: Vec<String>,
}

impl Transaction {
    /// Writes `key` where it has `version` (0: is absent).
    ///
    /// ```
    /// use cuminramp_platform::Transaction;
    /// let transaction = Transaction::default().put_at("a", 0, "x").put_at("b", 7, "y");
    /// assert_eq!(transaction.conditions.len(), 2);
    /// ```
    pub fn put_at(
        mut self,
        key: impl Into<String>,
        version: Version,
        value: impl Into<Bytes>,
    ) -> Self {
        let key = key.into();
        self.conditions.push(Condition { key: key.clone(), version });
        self.puts.push((key, value.into()));
        self
    }

    /// Writes `key` whatever stands there.
    pub fn put(mut self, key: impl Into<String>, value: impl Into<Bytes>) -> Self {
        self.puts.push((key.into(), value.into()));
        self
    }
}

/// What became of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// It took effect, at this version.
    Committed(Version),
    /// It had no effect: these rows had other versions.
    Conflict(Vec<String>),
}

/// The platform's table.
#[async_trait]
pub trait TableStore: Send + Sync {
    /// Reads rows at one point in time; the answer has the order of `keys`.
    async fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, StoreError>;

    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`.
    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError>;

    /// Carries out a transaction.
    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, StoreError>;
}

/// A row that was written or deleted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowChange {
    /// The row as it is now; its value is empty where it was deleted.
    pub row: Row,
    /// Whether it is gone.
    pub is_deleted: bool,
}

/// Rows of one table, and the version up to which they are complete.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TableSnapshot {
    /// The rows.
    pub rows: Vec<Row>,
    /// Changes up to this version are in them.
    pub version: Version,
}

/// What a watch brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchResponse {
    /// Changes in their order, none where the time ran out, and the version to go on from.
    Changes {
        /// The changes.
        changes: Vec<RowChange>,
        /// The version to go on from.
        version: Version,
    },
    /// The changes since then are no longer kept: the table has to be read anew.
    HistoryLost,
}

/// A table whose changes can be waited for. Keys begin with the table's name and a slash.
#[async_trait]
pub trait WatchedTable: TableStore {
    /// Reads a whole table.
    async fn snapshot(&self, table: &str) -> Result<TableSnapshot, StoreError>;

    /// Waits up to `wait` for changes of a table after version `after`.
    async fn watch(
        &self,
        table: &str,
        after: Version,
        wait: std::time::Duration,
    ) -> Result<WatchResponse, StoreError>;
}
