//! The targets of one group, as their owner sees them.

use std::time::Duration;

use cuminramp_core::{AvailabilityZone, Name, RandomSource};
use tokio::time::Instant;

use super::{ColdShare, FleetTarget, PlacementEntry, PlacementTable};
use crate::heartbeat::TargetLoad;
use crate::outliers::TargetOutcomes;
use crate::slots::SlotGroup;

/// What a request needs of a place in a group.
#[derive(Debug)]
pub(crate) struct GroupRequest<'a> {
    /// The group.
    pub(crate) group: &'a SlotGroup,
    /// Targets that are no use to it.
    pub(crate) avoided: &'a [u32],
    /// Whether a place in a queue will do.
    pub(crate) may_queue: bool,
    /// What may be handed out of the rate of cold targets.
    pub(crate) share: &'a ColdShare,
}

/// Where a request goes in a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum GroupPlacement {
    /// To this target.
    Slot(u32),
    /// It would wait so long for a slot.
    Busy(Duration),
    /// The group has no target that takes work.
    Empty,
}

impl PlacementTable {
    /// Places a request in a group.
    ///
    /// The owner sees every slot that is taken, so the emptiest target of all is the best one.
    pub(crate) fn place_in_group(
        &self,
        request: &GroupRequest<'_>,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> GroupPlacement {
        let hash = request.group.hash();
        let usable =
            self.usable(|entry| entry.group == hash && !request.avoided.contains(&entry.hash), now);
        let has_rate = |entry: &&PlacementEntry| self.sends_left(entry, request.share, now) > 0;
        let open: Vec<&PlacementEntry> = usable.iter().copied().filter(has_rate).collect();
        if let Some(entry) = self.with_free_slot(&open, usize::MAX, random) {
            return GroupPlacement::Slot(entry.hash);
        }
        if let Some(entry) = self.with_batch(&open, random) {
            return GroupPlacement::Slot(entry.hash);
        }
        match self.shortest_queue(&open, random) {
            None => {
                self.cold_wait(&usable, now).map_or(GroupPlacement::Empty, GroupPlacement::Busy)
            }
            Some((_, entry)) if request.may_queue => GroupPlacement::Slot(entry.hash),
            Some((wait, _)) => GroupPlacement::Busy(wait),
        }
    }

    /// Targets of a group with slots that batch items may enter, and how many.
    pub(crate) fn free_for_items(
        &self,
        group: &SlotGroup,
        share: &ColdShare,
        now: Instant,
    ) -> Vec<(u32, u32)> {
        let hash = group.hash();
        let open = self.entries.values().filter(|entry| entry.group == hash && entry.is_open(now));
        let free = open.map(|entry| {
            let slots = self.batch_slots(entry).saturating_sub(entry.total());
            let rate = self.items_left(entry, share, now);
            (entry.hash, slots.min(u32::try_from(rate).unwrap_or(u32::MAX)))
        });
        free.filter(|(_, slots)| *slots > 0).collect()
    }

    /// Slots of a target that batch items may enter. A doubtful one gets a single item, which can run
    /// again elsewhere: without it nobody would see that the target has recovered.
    fn batch_slots(&self, entry: &PlacementEntry) -> u32 {
        if self.is_outlier(entry) { entry.target.slots.min(1) } else { entry.target.slots }
    }

    /// Targets of a group with more work than slots: by how much, and this host's items there.
    pub(crate) fn overfull(&self, group: &SlotGroup) -> Vec<(u32, u32, u32)> {
        let hash = group.hash();
        let entries = self.entries.values().filter(|entry| entry.group == hash);
        let over = entries.map(|entry| {
            let over = entry.in_flight().saturating_sub(entry.target.slots).min(entry.batch());
            (entry.hash, over, entry.own_batch)
        });
        over.filter(|(_, over, _)| *over > 0).collect()
    }

    /// The groups of a pool with targets that take work.
    pub fn groups(&self, pool: &str) -> Vec<SlotGroup> {
        let serving = |group: u32| {
            self.entries.values().any(|entry| entry.group == group && entry.takes_work())
        };
        let of_pool = self.groups.iter().filter(|(_, group)| &*group.pool == pool);
        of_pool.filter(|(hash, _)| serving(**hash)).map(|(_, group)| group.clone()).collect()
    }

    /// All groups that had a target.
    pub fn all_groups(&self) -> Vec<SlotGroup> {
        self.groups.values().cloned().collect()
    }

    /// A group by its short form.
    pub fn group_of(&self, hash: u32) -> Option<&SlotGroup> {
        self.groups.get(&hash)
    }

    /// A target by its short form.
    pub fn by_hash(&self, hash: u32) -> Option<&FleetTarget> {
        self.hashes.get(&hash).and_then(|id| self.get(id))
    }

    /// The target of a grant, if it still takes work here.
    pub fn granted(&self, hash: u32) -> Option<&FleetTarget> {
        let entry = self.hashes.get(&hash).and_then(|id| self.entries.get(id));
        entry.filter(|entry| entry.takes_work()).map(|entry| &entry.target)
    }

    /// Whether this host has anything in flight in a group.
    pub fn is_busy_in(&self, group: &SlotGroup) -> bool {
        let hash = group.hash();
        self.entries.values().any(|entry| entry.group == hash && entry.own() > 0)
    }

    /// What this host has in flight in a group.
    pub fn own_loads(&self, group: &SlotGroup) -> Vec<TargetLoad> {
        let hash = group.hash();
        let busy = self.entries.values().filter(|entry| entry.group == hash && entry.own() > 0);
        busy.map(|entry| TargetLoad {
            target: entry.hash,
            online: entry.own_online.min(u32::from(u16::MAX)) as u16,
            batch: entry.own_batch.min(u32::from(u16::MAX)) as u16,
        })
        .collect()
    }

    /// What came of this host's sends to failing targets of a group.
    pub fn own_outcomes(&self, group: &SlotGroup, now: Instant) -> Vec<TargetOutcomes> {
        let hash = group.hash();
        let in_group = |told: &TargetOutcomes| {
            let id = self.hashes.get(&told.target);
            id.and_then(|id| self.entries.get(id)).is_some_and(|entry| entry.group == hash)
        };
        self.outliers.advertised(now).into_iter().filter(in_group).collect()
    }

    /// Targets of a group that this host sends nothing now: they refused it or broke off.
    pub fn avoided(&self, group: &SlotGroup, now: Instant) -> Vec<u32> {
        let hash = group.hash();
        let closed =
            self.entries.values().filter(|entry| entry.group == hash && !entry.is_open(now));
        closed.map(|entry| entry.hash).collect()
    }

    /// The zones of targets.
    pub fn zones_of(&self, ids: &[Name]) -> Vec<AvailabilityZone> {
        ids.iter().filter_map(|id| self.get(id)).map(|target| target.zone.clone()).collect()
    }

    /// The short forms of targets.
    pub fn hashes_of(&self, ids: &[Name]) -> Vec<u32> {
        ids.iter().filter_map(|id| self.entries.get(id)).map(|entry| entry.hash).collect()
    }
}
