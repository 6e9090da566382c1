//! Which software versions the targets of a pool have had lately.

use std::time::Duration;

use cuminramp_core::SortedMap;
use tokio::time::Instant;

use super::PlacementTable;
use crate::software::SoftwareVersion;
use crate::streams::KnownOrigin;

/// Time for which software is remembered after its last target left. Longer than any stream lasts.
const LEFT_SOFTWARE_TTL: Duration = Duration::from_secs(600);

/// Software whose targets have left, and since when the targets are watched.
#[derive(Debug, Default)]
pub(super) struct VersionHistory {
    watched_since: Option<Instant>,
    /// Last time at which a target with the software left, or started again with other software.
    left: SortedMap<SoftwareVersion, Instant>,
}

impl VersionHistory {
    pub(super) fn note_left(&mut self, software: SoftwareVersion, now: Instant) {
        self.left.retain(|_, left_at| now.duration_since(*left_at) < LEFT_SOFTWARE_TTL);
        self.left.insert(software, now);
    }
}

impl PlacementTable {
    /// Records that this host has read all targets and sees each change from now on.
    pub fn begin_watch(&mut self, now: Instant) {
        self.versions.watched_since.get_or_insert(now);
    }

    /// Returns the software of a pool's targets if all of them had the same within `window`, the time in
    /// which a stream may have begun. `pool` is its [`name_hash`](crate::name_hash).
    pub fn pool_software(&self, pool: u32, window: Duration, now: Instant) -> KnownOrigin {
        let present = self.entries.values().map(|entry| entry.software);
        let left = self.versions.left.iter();
        let recent = left.filter(|(_, left_at)| now.duration_since(**left_at) < window);
        let mut seen = present.chain(recent.map(|(software, _)| *software));
        let of_pool = |software: &SoftwareVersion| software.pool == pool;
        let Some(software) = seen.by_ref().find(of_pool) else { return KnownOrigin::Unknown };
        if seen.any(|other| of_pool(&other) && other != software) {
            return KnownOrigin::Several;
        }
        let since = self.versions.watched_since;
        let is_watched = since.is_some_and(|since| now.duration_since(since) >= window);
        KnownOrigin::Single { software, is_watched }
    }
}
