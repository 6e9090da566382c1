//! Zones whose targets this host can't connect to.

use std::time::Duration;

use cuminramp_core::{AvailabilityZone, SortedMap};
use tokio::time::Instant;

/// Connections in a row that did not stand before a zone counts as out of reach.
const MOST_UNREACHED: u32 = 3;
/// After so long without a try the zone is tried again.
const TRY_AGAIN_AFTER: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct UnreachableCount {
    in_row: u32,
    last: Instant,
}

/// Connections to targets of each zone that did not stand, since the last that did.
#[derive(Debug, Default)]
pub(super) struct ReachabilityTable {
    zones: SortedMap<AvailabilityZone, UnreachableCount>,
}

impl ReachabilityTable {
    pub(super) fn record_unreachable(&mut self, zone: &AvailabilityZone, now: Instant) {
        let none = || UnreachableCount { in_row: 0, last: now };
        let count = self.zones.get_or_insert_with(zone.clone(), none);
        count.in_row = count.in_row.saturating_add(1);
        count.last = now;
    }

    pub(super) fn record_reachable(&mut self, zone: &str) {
        if !self.zones.is_empty() {
            self.zones.remove(zone);
        }
    }

    pub(super) fn is_unreachable(&self, zone: &str, now: Instant) -> bool {
        self.zones.get(zone).is_some_and(|count| {
            count.in_row >= MOST_UNREACHED && now.duration_since(count.last) < TRY_AGAIN_AFTER
        })
    }
}
