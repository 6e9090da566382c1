//! Tracks zones whose targets this host can't connect to.

use std::time::Duration;

use cuminramp_core::{AvailabilityZone, SortedMap};
use tokio::time::Instant;

/// Minimum number of consecutive failed connections before a zone counts as unreachable.
const MIN_CONNECTION_FAILURES: u32 = 3;
/// Time since the last failed connection after which the zone is tried again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct UnreachableCount {
    failures: u32,
    last_failure_at: Instant,
}

/// Failed connections to the targets of each zone since the last successful one.
#[derive(Debug, Default)]
pub(super) struct ReachabilityTable {
    zones: SortedMap<AvailabilityZone, UnreachableCount>,
}

impl ReachabilityTable {
    pub(super) fn record_unreachable(&mut self, zone: &AvailabilityZone, now: Instant) {
        let no_failures = || UnreachableCount { failures: 0, last_failure_at: now };
        let count = self.zones.get_or_insert_with(zone.clone(), no_failures);
        count.failures = count.failures.saturating_add(1);
        count.last_failure_at = now;
    }

    pub(super) fn record_reachable(&mut self, zone: &str) {
        if !self.zones.is_empty() {
            self.zones.remove(zone);
        }
    }

    pub(super) fn is_unreachable(&self, zone: &str, now: Instant) -> bool {
        self.zones.get(zone).is_some_and(|count| {
            count.failures >= MIN_CONNECTION_FAILURES
                && now.duration_since(count.last_failure_at) < RETRY_INTERVAL
        })
    }
}
