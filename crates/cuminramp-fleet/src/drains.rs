//! Availability zones that operators drained: their targets get nothing new.
//!
//! A drain is a row that an operator writes, and deletes when the zone is to be used again. Hosts follow
//! the table, and tell each other in heartbeats, so that one that the store does not reach knows it too.
//! For each zone the newest version wins, whoever tells it.

use std::time::Duration;

use cuminramp_core::{AvailabilityZone, SortedMap};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// How long every heartbeat carries the end of a drain; whole ones always do.
const TELL_ENDS_FOR: Duration = Duration::from_secs(10);

/// What an operator ordered for one zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneDrain {
    /// The zone.
    pub zone: AvailabilityZone,
    /// The store's version of the write that ordered or ended it.
    pub version: u64,
    /// Whether its targets get nothing new; otherwise the drain has ended.
    pub is_drained: bool,
}

#[derive(Debug)]
struct DrainRecord {
    drain: ZoneDrain,
    known_at: Instant,
}

/// The newest order for each zone.
///
/// ```
/// use cuminramp_fleet::{DrainTable, ZoneDrain};
/// use tokio::time::Instant;
/// let mut table = DrainTable::default();
/// let drain = ZoneDrain { zone: "z1".into(), version: 7, is_drained: true };
/// assert!(table.offer(drain.clone(), Instant::now()));
/// assert!(!table.offer(ZoneDrain { version: 6, is_drained: false, ..drain }, Instant::now()));
/// assert_eq!(table.drained(), ["z1".into()]);
/// ```
#[derive(Debug, Default)]
pub struct DrainTable {
    records: SortedMap<AvailabilityZone, DrainRecord>,
}

impl DrainTable {
    /// Takes an order if it is newer than what is known of its zone; says whether it was.
    pub fn offer(&mut self, drain: ZoneDrain, now: Instant) -> bool {
        let held = self.records.get(&drain.zone);
        if held.is_some_and(|record| record.drain.version >= drain.version) {
            return false;
        }
        self.records.insert(drain.zone.clone(), DrainRecord { drain, known_at: now });
        true
    }

    /// Takes all orders that the store holds at `version`; says which are news. A zone that is drained
    /// here and not listed there was taken back, unless the read is older than the drain.
    pub fn apply_snapshot(
        &mut self,
        listed: Vec<ZoneDrain>,
        version: u64,
        now: Instant,
    ) -> Vec<ZoneDrain> {
        let is_listed = |zone: &AvailabilityZone| listed.iter().any(|drain| drain.zone == *zone);
        let lacking = self.drained().into_iter().filter(|zone| !is_listed(zone));
        let ended = lacking.map(|zone| ZoneDrain { zone, version, is_drained: false });
        let offered: Vec<ZoneDrain> = ended.chain(listed.iter().cloned()).collect();
        offered.into_iter().filter(|drain| self.offer(drain.clone(), now)).collect()
    }

    /// The zones whose targets get nothing new, in the order of their names.
    pub fn drained(&self) -> Vec<AvailabilityZone> {
        let drained = self.records.iter().filter(|(_, record)| record.drain.is_drained);
        drained.map(|(zone, _)| zone.clone()).collect()
    }

    /// What a heartbeat tells: every drain in force, and ends of drains, all of them where it is whole.
    pub fn advertised(&self, is_whole: bool, now: Instant) -> Vec<ZoneDrain> {
        let is_told = |record: &&DrainRecord| {
            let is_recent = now.duration_since(record.known_at) < TELL_ENDS_FOR;
            is_whole || record.drain.is_drained || is_recent
        };
        self.records.values().filter(is_told).map(|record| record.drain.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
