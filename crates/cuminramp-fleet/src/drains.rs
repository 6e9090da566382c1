//! Availability zones that operators drained, whose targets receive no new work.
//!
//! A drain is a row that an operator writes, and deletes when the zone is to be used again. Hosts watch
//! the table, and advertise drains in heartbeats, so that a host that doesn't reach the store applies
//! them too. For each zone the newest version takes effect, whichever source reports it.

use std::time::Duration;

use cuminramp_core::{AvailabilityZone, SortedMap};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Time after the end of a drain was recorded during which every heartbeat advertises it; full heartbeats
/// always do.
const ENDED_DRAIN_WINDOW: Duration = Duration::from_secs(10);

/// State of the drain of one zone, as ordered by an operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneDrain {
    /// Zone to which the drain applies.
    pub zone: AvailabilityZone,
    /// Version in the store of the write that ordered or ended the drain.
    pub version: u64,
    /// Whether the drain is in force and the zone's targets receive no new work; `false` once it has
    /// ended.
    pub is_drained: bool,
}

#[derive(Debug)]
struct DrainRecord {
    drain: ZoneDrain,
    recorded_at: Instant,
}

/// Newest known state of the drain of each zone.
///
/// ```
/// use cuminramp_fleet::{DrainTable, ZoneDrain};
/// use tokio::time::Instant;
/// let mut table = DrainTable::default();
/// let drain = ZoneDrain { zone: "z1".into(), version: 7, is_drained: true };
/// assert!(table.record(drain.clone(), Instant::now()));
/// assert!(!table.record(ZoneDrain { version: 6, is_drained: false, ..drain }, Instant::now()));
/// assert_eq!(table.drained(), ["z1".into()]);
/// ```
#[derive(Debug, Default)]
pub struct DrainTable {
    records: SortedMap<AvailabilityZone, DrainRecord>,
}

impl DrainTable {
    /// Records a drain if it is newer than the recorded one of its zone, and returns whether it was.
    pub fn record(&mut self, drain: ZoneDrain, now: Instant) -> bool {
        let recorded = self.records.get(&drain.zone);
        if recorded.is_some_and(|record| record.drain.version >= drain.version) {
            return false;
        }
        self.records.insert(drain.zone.clone(), DrainRecord { drain, recorded_at: now });
        true
    }

    /// Applies a full snapshot of the store at `version`, and returns the drains that changed. A zone
    /// that is drained in this table and not listed in the snapshot is no longer drained, unless the
    /// snapshot is older than its drain.
    pub fn apply_snapshot(
        &mut self,
        listed: Vec<ZoneDrain>,
        version: u64,
        now: Instant,
    ) -> Vec<ZoneDrain> {
        let is_listed = |zone: &AvailabilityZone| listed.iter().any(|drain| drain.zone == *zone);
        let unlisted = self.drained().into_iter().filter(|zone| !is_listed(zone));
        let ended = unlisted.map(|zone| ZoneDrain { zone, version, is_drained: false });
        let candidates: Vec<ZoneDrain> = ended.chain(listed.iter().cloned()).collect();
        candidates.into_iter().filter(|drain| self.record(drain.clone(), now)).collect()
    }

    /// Returns the zones whose targets receive no new work, sorted by name.
    pub fn drained(&self) -> Vec<AvailabilityZone> {
        let drained = self.records.iter().filter(|(_, record)| record.drain.is_drained);
        drained.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns the drains that a heartbeat advertises: every drain in force, and the ends of drains, all
    /// of them in a full heartbeat and recent ones in others.
    pub fn advertised(&self, is_full: bool, now: Instant) -> Vec<ZoneDrain> {
        let is_advertised = |record: &&DrainRecord| {
            let is_recent = now.duration_since(record.recorded_at) < ENDED_DRAIN_WINDOW;
            is_full || record.drain.is_drained || is_recent
        };
        self.records.values().filter(is_advertised).map(|record| record.drain.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
