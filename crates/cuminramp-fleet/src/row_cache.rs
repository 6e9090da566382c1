//! Rows of a watched table, from the store and from other hosts, never going back.
//!
//! The same row may come from a watch, from a whole read that was answered late, and from another host
//! that knew less. Only versions tell which is newer, and a row that was deleted must not come back
//! because somebody had not heard of it yet.

use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::SortedMap;
use tokio::time::Instant;

/// What to do about a row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowAction {
    /// It is new or has changed.
    Put(KnownRow),
    /// It is gone.
    Remove {
        /// Its key.
        key: String,
        /// The version of its end.
        version: u64,
    },
}

/// A row as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownRow {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Bytes,
    /// The version of the write that made it.
    pub version: u64,
}

/// A row that was written or deleted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangedRow {
    /// The row; its value is empty where it was deleted.
    pub row: KnownRow,
    /// Whether it is gone.
    pub is_deleted: bool,
}

/// How long rows that seem gone are kept.
#[derive(Clone, Copy, Debug)]
pub struct RowCachePolicy {
    /// While the store was away, entries of targets that live ran out. Most are back so long after
    /// its return, and all within two seconds; until then their targets are used on. A target that
    /// really left must get no new work after two seconds, so it can't be longer.
    pub return_limit: Duration,
    /// Rows deleted in one answer from which on the store is taken to have been away, as a part of
    /// all rows.
    pub mass_share: f64,
    /// And their least number.
    pub mass_least: usize,
}

impl Default for RowCachePolicy {
    fn default() -> Self {
        RowCachePolicy {
            return_limit: Duration::from_millis(1_700),
            mass_share: 0.3,
            mass_least: 3,
        }
    }
}

/// The rows of one table.
#[derive(Debug, Default)]
pub struct RowCache {
    policy: RowCachePolicy,
    rows: SortedMap<String, KnownRow>,
    /// Versions at which rows ended.
    ends: SortedMap<String, u64>,
    /// Rows that seem gone, with the moment from which on they are.
    doubted: SortedMap<String, (Instant, u64)>,
    version: u64,
}

impl RowCache {
    /// The version up to which the rows are complete.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All rows.
    pub fn rows(&self) -> impl Iterator<Item = &KnownRow> {
        self.rows.values()
    }

    fn put(&mut self, row: KnownRow) -> Option<RowAction> {
        let is_ended = self.ends.get(&row.key).is_some_and(|end| *end >= row.version);
        if is_ended || self.rows.get(&row.key).is_some_and(|held| held.version >= row.version) {
            return None;
        }
        self.doubted.remove(&row.key);
        self.rows.insert(row.key.clone(), row.clone());
        Some(RowAction::Put(row))
    }

    fn remove(&mut self, key: &str, version: u64) -> Option<RowAction> {
        if self.rows.get(key).is_some_and(|held| held.version > version) {
            return None;
        }
        let end = self.ends.get_or_insert_with(key.to_owned(), || 0);
        *end = (*end).max(version);
        self.doubted.remove(key);
        self.rows.remove(key)?;
        Some(RowAction::Remove { key: key.to_owned(), version })
    }

    fn doubt(&mut self, key: &str, version: u64, now: Instant) {
        let until = now + self.policy.return_limit;
        if self.rows.get(key).is_some_and(|held| held.version <= version) {
            self.doubted.get_or_insert_with(key.to_owned(), || (until, version));
        }
    }

    /// Takes a whole read of the table. What it lacks is doubted, unless the read is older than
    /// what is known.
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
            let lacking: Vec<String> = self
                .rows
                .keys()
                .filter(|key| present.binary_search(key).is_err())
                .cloned()
                .collect();
            for key in lacking {
                self.doubt(&key, version, now);
            }
        }
        actions
    }

    /// Takes changes up to `version`. `is_store_shaky` says that the store was away just before.
    pub fn apply_changes(
        &mut self,
        changes: Vec<ChangedRow>,
        version: u64,
        is_store_shaky: bool,
        now: Instant,
    ) -> Vec<RowAction> {
        let deleted = changes.iter().filter(|change| change.is_deleted).count();
        let is_mass = deleted >= self.policy.mass_least
            && deleted as f64 >= self.rows.len() as f64 * self.policy.mass_share;
        let mut actions = Vec::new();
        for change in changes {
            let ChangedRow { row, is_deleted } = change;
            let action = match (is_deleted, is_store_shaky || is_mass) {
                (false, _) => self.put(row),
                (true, false) => self.remove(&row.key, row.version),
                (true, true) => {
                    self.doubt(&row.key, row.version, now);
                    None
                }
            };
            actions.extend(action);
        }
        self.version = self.version.max(version);
        actions
    }

    /// Takes another host's rows, complete up to `version`; nothing if that is no more than what is
    /// known by now.
    pub fn apply_updates(&mut self, rows: Vec<KnownRow>, version: u64) -> Vec<RowAction> {
        if version <= self.version {
            return vec![];
        }
        let mut present: Vec<String> = rows.iter().map(|row| row.key.clone()).collect();
        present.sort_unstable();
        let mut actions: Vec<RowAction> =
            rows.into_iter().filter_map(|row| self.put(row)).collect();
        let lacking: Vec<String> =
            self.rows.keys().filter(|key| present.binary_search(key).is_err()).cloned().collect();
        actions.extend(lacking.iter().filter_map(|key| self.remove(key, version)));
        self.version = version;
        actions
    }

    /// What was doubted and did not come back in time.
    pub fn take_due(&mut self, now: Instant) -> Vec<RowAction> {
        let due = self.doubted.iter().filter(|(_, (until, _))| *until <= now);
        let gone: Vec<(String, u64)> =
            due.map(|(key, (_, version))| (key.clone(), *version)).collect();
        gone.iter().filter_map(|(key, version)| self.remove(key, *version)).collect()
    }
}

#[cfg(test)]
mod tests;
