//! Cache of the rows of a watched table, which never returns to an older version of a row.
//!
//! The same row may arrive from a watch, from a full snapshot that was answered late, and from another
//! host with older data. Only the versions determine which is newest. A deleted row must not reappear
//! because another host has not received the deletion yet.

use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::SortedMap;
use tokio::time::Instant;

/// Change of a cached row that the caller must apply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowAction {
    /// The row is new or has changed.
    Put(KnownRow),
    /// The row was removed.
    Remove {
        /// Key of the row.
        key: String,
        /// Version at which it was deleted or found missing.
        version: u64,
    },
}

/// Row with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownRow {
    /// Key of the row.
    pub key: String,
    /// Value of the row.
    pub value: Bytes,
    /// Version of the write that produced it.
    pub version: u64,
}

/// Row that was written or deleted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangedRow {
    /// The row. Its value is empty if it was deleted.
    pub row: KnownRow,
    /// Whether the row was deleted.
    pub is_deleted: bool,
}

/// Policy for rows whose deletion may be due to an outage of the store.
#[derive(Clone, Copy, Debug)]
pub struct RowCachePolicy {
    /// Time for which a row stays in the cache after a deletion that may be due to an outage.
    ///
    /// During an outage of the store, entries of running targets expire. After the outage, most of them are
    /// written again within this time, and all within two seconds; their targets stay in use until then.
    /// The delay must be below two seconds, because a target that has really left must not receive new work
    /// after that time.
    pub removal_delay: Duration,
    /// Minimum fraction of all rows that must be deleted in one batch of changes for the store to be
    /// presumed to have had an outage.
    pub mass_deletion_share: f64,
    /// Minimum number of deleted rows for the same presumption; both minimums must be met.
    pub mass_deletion_min_rows: usize,
}

impl Default for RowCachePolicy {
    fn default() -> Self {
        RowCachePolicy {
            removal_delay: Duration::from_millis(1_700),
            mass_deletion_share: 0.3,
            mass_deletion_min_rows: 3,
        }
    }
}

/// Cached rows of one table.
#[derive(Debug, Default)]
pub struct RowCache {
    policy: RowCachePolicy,
    rows: SortedMap<String, KnownRow>,
    /// Latest known deletion version of each deleted row, by key.
    deletions: SortedMap<String, u64>,
    /// Rows whose removal is delayed, by key, with the time of the removal and the deletion's version.
    pending_removals: SortedMap<String, (Instant, u64)>,
    version: u64,
}

impl RowCache {
    /// Returns the version up to which the rows are complete.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all rows.
    pub fn rows(&self) -> impl Iterator<Item = &KnownRow> {
        self.rows.values()
    }

    fn put(&mut self, row: KnownRow) -> Option<RowAction> {
        let is_deleted =
            self.deletions.get(&row.key).is_some_and(|deletion| *deletion >= row.version);
        if is_deleted || self.rows.get(&row.key).is_some_and(|held| held.version >= row.version) {
            return None;
        }
        self.pending_removals.remove(&row.key);
        self.rows.insert(row.key.clone(), row.clone());
        Some(RowAction::Put(row))
    }

    fn remove(&mut self, key: &str, version: u64) -> Option<RowAction> {
        if self.rows.get(key).is_some_and(|held| held.version > version) {
            return None;
        }
        let deletion = self.deletions.get_or_insert_with(key.to_owned(), || 0);
        *deletion = (*deletion).max(version);
        self.pending_removals.remove(key);
        self.rows.remove(key)?;
        Some(RowAction::Remove { key: key.to_owned(), version })
    }

    /// Schedules the removal of a row, unless it is already scheduled or the row is newer than `version`.
    fn delay_removal(&mut self, key: &str, version: u64, now: Instant) {
        let due_at = now + self.policy.removal_delay;
        if self.rows.get(key).is_some_and(|held| held.version <= version) {
            self.pending_removals.get_or_insert_with(key.to_owned(), || (due_at, version));
        }
    }

    /// Applies a full snapshot of the table and returns the changes of the cache. Rows that the snapshot
    /// lacks are removed after a delay, unless the snapshot is older than the cache.
    pub fn apply_snapshot(
        &mut self,
        rows: Vec<KnownRow>,
        version: u64,
        now: Instant,
    ) -> Vec<RowAction> {
        let mut present: Vec<String> = rows.iter().map(|row| row.key.clone()).collect();
        present.sort_unstable();
        let actions: Vec<RowAction> = rows.into_iter().filter_map(|row| self.put(row)).collect();
        if version >= self.version {
            self.version = version;
            let missing: Vec<String> = self
                .rows
                .keys()
                .filter(|key| present.binary_search(key).is_err())
                .cloned()
                .collect();
            for key in missing {
                self.delay_removal(&key, version, now);
            }
        }
        actions
    }

    /// Applies changes up to `version` and returns the changes of the cache. Deletions take effect after a
    /// delay if `is_store_unstable`, which is set during and shortly after an outage of the store, or if the
    /// changes delete many rows at once.
    pub fn apply_changes(
        &mut self,
        changes: Vec<ChangedRow>,
        version: u64,
        is_store_unstable: bool,
        now: Instant,
    ) -> Vec<RowAction> {
        let deleted = changes.iter().filter(|change| change.is_deleted).count();
        let is_mass_deletion = deleted >= self.policy.mass_deletion_min_rows
            && deleted as f64 >= self.rows.len() as f64 * self.policy.mass_deletion_share;
        let mut actions = Vec::new();
        for change in changes {
            let ChangedRow { row, is_deleted } = change;
            let action = match (is_deleted, is_store_unstable || is_mass_deletion) {
                (false, _) => self.put(row),
                (true, false) => self.remove(&row.key, row.version),
                (true, true) => {
                    self.delay_removal(&row.key, row.version, now);
                    None
                }
            };
            actions.extend(action);
        }
        self.version = self.version.max(version);
        actions
    }

    /// Applies all rows of another host, which are complete up to `version`, and returns the changes of the
    /// cache. The rows are ignored if the cache is already complete up to that version.
    pub fn apply_updates(&mut self, rows: Vec<KnownRow>, version: u64) -> Vec<RowAction> {
        if version <= self.version {
            return vec![];
        }
        let mut present: Vec<String> = rows.iter().map(|row| row.key.clone()).collect();
        present.sort_unstable();
        let mut actions: Vec<RowAction> =
            rows.into_iter().filter_map(|row| self.put(row)).collect();
        let missing: Vec<String> =
            self.rows.keys().filter(|key| present.binary_search(key).is_err()).cloned().collect();
        actions.extend(missing.iter().filter_map(|key| self.remove(key, version)));
        self.version = version;
        actions
    }

    /// Removes the rows whose removal is due and that were not written again in the meantime. Returns these
    /// removals.
    pub fn remove_due(&mut self, now: Instant) -> Vec<RowAction> {
        let due = self.pending_removals.iter().filter(|(_, (due_at, _))| *due_at <= now);
        let expired: Vec<(String, u64)> =
            due.map(|(key, (_, version))| (key.clone(), *version)).collect();
        expired.iter().filter_map(|(key, version)| self.remove(key, *version)).collect()
    }
}

#[cfg(test)]
mod tests;
