//! Pace of targets: how long work takes at a target compared with the usual time.

use tokio::time::Instant;

use super::PlacementTable;
use crate::admission::GroupCapacity;
use crate::slots::SlotGroup;

impl PlacementTable {
    /// Returns whether a target of the pool has recently reported its pace, to this host or to another one
    /// that passed it on.
    pub fn is_paced(&self, _pool: &str, _now: Instant) -> bool {
        false
    }

    /// Returns the slots of a group's usable targets, and how many of them become free in a second while all
    /// are in use.
    pub fn group_capacity(&self, group: &SlotGroup, now: Instant) -> GroupCapacity {
        let hash = group.hash();
        let usable = self.usable_targets(|entry| entry.group_hash == hash, now);
        let slots: u32 = usable.iter().map(|entry| entry.target.slots).sum();
        let freed_per_s = f64::from(slots) / self.average_hold.as_secs_f64().max(f64::MIN_POSITIVE);
        GroupCapacity { slots, freed_per_s }
    }
}
