//! Interface to the platform's transactional table.

use async_trait::async_trait;
use bytes::Bytes;

use crate::StoreError;

/// Version of a commit, and of the rows that it wrote. It increases with each commit; 0 means that no row
/// exists.
pub type Version = u64;

/// A row of the table at the time of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value of the row.
    pub value: Bytes,
    /// Version of the commit that wrote the row last.
    pub version: Version,
}

/// Precondition of a transaction: the version that a row must have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Expected version of the row, or 0 if the row must not exist.
    pub version: Version,
}

/// Writes that are applied atomically, if all conditions hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Conditions that must all hold for the transaction to be committed.
    pub conditions: Vec<Condition>,
    /// Keys and values of the rows to write.
    pub puts: Vec<(String, Bytes)>,
    /// Keys of the rows to delete.
    pub deletes: Vec<String>,
}

impl Transaction {
    /// Adds a write of `key` and the condition that the row has `version` (0: does not exist).
    ///
    /// ```
    /// use cuminramp_platform::Transaction;
    /// let transaction = Transaction::default().put_if_version("a", 0, "x").put_if_version("b", 7, "y");
    /// assert_eq!(transaction.conditions.len(), 2);
    /// ```
    pub fn put_if_version(
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

    /// Adds an unconditional write of `key`.
    pub fn put(mut self, key: impl Into<String>, value: impl Into<Bytes>) -> Self {
        self.puts.push((key.into(), value.into()));
        self
    }
}

/// Outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The transaction took effect at this version.
    Committed(Version),
    /// The transaction had no effect, because the rows with these keys had other versions.
    Conflict(Vec<String>),
}

/// The platform's transactional table.
#[async_trait]
pub trait TableStore: Send + Sync {
    /// Reads rows at a single point in time; the result is in the order of `keys`, with `None` for each
    /// row that does not exist.
    async fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, StoreError>;

    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`.
    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError>;

    /// Commits a transaction.
    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, StoreError>;
}

/// A row that was written or deleted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowChange {
    /// The row after the change; its value is empty if the row was deleted.
    pub row: Row,
    /// Whether the row was deleted.
    pub is_deleted: bool,
}

/// Rows of one table, and the version up to which they are complete.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TableSnapshot {
    /// Rows of the table.
    pub rows: Vec<Row>,
    /// Version up to which all changes are included in `rows`.
    pub version: Version,
}

/// Result of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchResponse {
    /// Changes since the requested version; none if the wait timed out.
    Changes {
        /// Changes in commit order.
        changes: Vec<RowChange>,
        /// Version to pass as `after` in the next watch.
        version: Version,
    },
    /// The changes since the requested version are no longer available: the caller must read a new
    /// snapshot of the table.
    HistoryLost,
}

/// A table store that can be watched for changes. The keys of a table start with its name and a slash.
#[async_trait]
pub trait WatchedTable: TableStore {
    /// Reads all rows of a table.
    async fn snapshot(&self, table: &str) -> Result<TableSnapshot, StoreError>;

    /// Returns the changes to a table after version `after`; waits up to `wait` for the first one.
    async fn watch(
        &self,
        table: &str,
        after: Version,
        wait: std::time::Duration,
    ) -> Result<WatchResponse, StoreError>;
}
