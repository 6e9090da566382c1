//! Copy of a followed table, from which other hosts follow it in turn.

use std::collections::VecDeque;

use bytes::Bytes;
use cuminramp_core::SortedMap;

use crate::row_cache::{ChangedRow, KnownRow};

/// Maximum number of changes kept. A host that is further behind reads the whole table again.
const MAX_CHANGES: usize = 4_096;

/// Rows of a table up to a version, with the latest changes.
#[derive(Debug, Default)]
pub struct TableMirror {
    rows: SortedMap<String, KnownRow>,
    changes: VecDeque<ChangedRow>,
    /// Version up to which the rows are complete.
    version: u64,
    /// Version after which all changes are kept.
    changes_since: u64,
}

impl TableMirror {
    /// Returns the version up to which the rows are complete; 0 if none have been read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all rows.
    pub fn rows(&self) -> impl Iterator<Item = &KnownRow> {
        self.rows.values()
    }

    /// Applies a full snapshot. What it changes is kept like other changes, so that the hosts that follow this
    /// one need no snapshot when the store has lost its history.
    pub fn apply_snapshot(&mut self, mut rows: Vec<KnownRow>, version: u64) {
        if version < self.version {
            return;
        }
        rows.sort_by(|one, other| one.key.cmp(&other.key));
        let is_first = self.version == 0;
        let is_listed = |key: &String| rows.binary_search_by(|row| row.key.cmp(key)).is_ok();
        let missing: Vec<String> =
            self.rows.keys().filter(|key| !is_listed(key)).cloned().collect();
        let deleted = missing.into_iter().map(|key| ChangedRow {
            row: KnownRow { key, value: Bytes::new(), version },
            is_deleted: true,
        });
        let mut changes: Vec<ChangedRow> = deleted.collect();
        let is_new = |row: &KnownRow| {
            self.rows.get(&row.key).is_none_or(|known| known.version < row.version)
        };
        let written = rows.into_iter().filter(is_new);
        changes.extend(written.map(|row| ChangedRow { row, is_deleted: false }));
        self.apply_changes(changes, version);
        if is_first {
            self.changes.clear();
            self.changes_since = version;
        }
    }

    /// Applies changes up to `version`.
    pub fn apply_changes(&mut self, changes: Vec<ChangedRow>, version: u64) {
        for change in changes {
            let row = change.row.clone();
            if change.is_deleted {
                self.rows.remove(&row.key);
            } else {
                self.rows.insert(row.key.clone(), row);
            }
            self.changes.push_back(change);
        }
        self.version = self.version.max(version);
        while self.changes.len() > MAX_CHANGES {
            if let Some(oldest) = self.changes.pop_front() {
                self.changes_since = self.changes_since.max(oldest.row.version);
            }
        }
    }

    /// Returns the changes after version `after`; `None` if some of them are no longer kept.
    ///
    /// A snapshot may contain a version that an earlier change has too, so the changes of one batch are not in
    /// the order of their versions.
    pub fn changes_after(&self, after: u64) -> Option<Vec<ChangedRow>> {
        if after < self.changes_since || self.version == 0 {
            return None;
        }
        let newer = self.changes.iter().filter(|change| change.row.version > after);
        Some(newer.cloned().collect())
    }
}

#[cfg(test)]
mod tests;
