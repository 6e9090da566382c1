//! Placement within one group of targets by the group's owner, and look-ups by group and by hash.

use std::time::Duration;

use cuminramp_core::{AvailabilityZone, Name, RandomSource};
use tokio::time::Instant;

use super::{ColdShare, FleetTarget, PlacementEntry, PlacementTable};
use crate::heartbeat::TargetLoad;
use crate::outliers::TargetOutcomes;
use crate::slots::SlotGroup;
use crate::software::SoftwareVersion;

/// Maximum number of targets that are compared for a request while some of them have free slots. The best of so
/// many is hardly worse than the best of all.
const MAX_COMPARED_TARGETS: usize = 128;

/// Requirements of a request that is to be placed in a group.
#[derive(Debug)]
pub(crate) struct GroupRequest<'a> {
    /// Group in which the request is to be placed.
    pub(crate) group: &'a SlotGroup,
    /// Hashes of the targets that the request must not be sent to.
    pub(crate) avoided: &'a [u32],
    /// Whether the request may wait in the queue of a target.
    pub(crate) may_queue: bool,
    /// Share of the rate of cold targets that may be granted.
    pub(crate) share: &'a ColdShare,
    /// Software that the target must have; `None` for any.
    pub(crate) software: Option<SoftwareVersion>,
}

impl GroupRequest<'_> {
    /// Returns whether the request may be sent to a target, as far as it is about the target itself.
    fn allows(&self, entry: &PlacementEntry) -> bool {
        !self.avoided.contains(&entry.hash) && entry.has_software(self.software)
    }
}

/// Result of placing a request in a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum GroupPlacement {
    /// The request goes to the target with this hash.
    Slot(u32),
    /// No slot is free; the request would have to wait this long for one.
    Busy(Duration),
    /// The group has no target that accepts work.
    NoTarget,
}

impl PlacementTable {
    /// Places a request in a group.
    ///
    /// The owner has a record of every occupied slot, so the target with the most free slots is the best
    /// one.
    pub(crate) fn place_in_group(
        &self,
        request: &GroupRequest<'_>,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> GroupPlacement {
        let hash = request.group.hash();
        if let Some(target) = self.pick_from_sample(request, hash, random, now) {
            return GroupPlacement::Slot(target);
        }
        let usable =
            self.usable_targets(|entry| entry.group_hash == hash && request.allows(entry), now);
        let has_rate =
            |entry: &&PlacementEntry| self.remaining_sends(entry, request.share, now) > 0;
        let available: Vec<&PlacementEntry> = usable.iter().copied().filter(has_rate).collect();
        if let Some(entry) = self.pick_free_slot(&available, usize::MAX, random, now) {
            return GroupPlacement::Slot(entry.hash);
        }
        if let Some(entry) = self.pick_preemptible(&available, random, now) {
            return GroupPlacement::Slot(entry.hash);
        }
        match self.shortest_queue(&available, random, now) {
            None => {
                self.cold_wait(&usable, now).map_or(GroupPlacement::NoTarget, GroupPlacement::Busy)
            }
            Some((_, entry)) if request.may_queue => GroupPlacement::Slot(entry.hash),
            Some((wait, _)) => GroupPlacement::Busy(wait),
        }
    }

    /// Returns the best target with a free slot among some of a group that has many; `None` if the group has few
    /// targets, or if none of these has a free slot.
    ///
    /// An owner that compared all targets of a group for each request would be busy with that alone.
    fn pick_from_sample(
        &self,
        request: &GroupRequest<'_>,
        hash: u32,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Option<u32> {
        if self.group_sizes.get(&hash).is_none_or(|size| *size <= MAX_COMPARED_TARGETS) {
            return None;
        }
        let start = random.below(self.entries.len());
        let after = self.entries.values().skip(start);
        let in_turn = after.chain(self.entries.values().take(start));
        let available = in_turn
            .filter(|entry| entry.group_hash == hash && entry.is_available(now))
            .filter(|entry| request.allows(entry));
        let sample = self.without_outliers(available.take(MAX_COMPARED_TARGETS).collect());
        let has_rate =
            |entry: &&PlacementEntry| self.remaining_sends(entry, request.share, now) > 0;
        let sample: Vec<&PlacementEntry> = sample.into_iter().filter(has_rate).collect();
        self.pick_free_slot(&sample, usize::MAX, random, now).map(|entry| entry.hash)
    }

    /// Returns the targets of a group with free slots for batch items: the target's hash, and the number of
    /// those slots.
    pub(crate) fn free_batch_slots(
        &self,
        group: &SlotGroup,
        share: &ColdShare,
        now: Instant,
    ) -> Vec<(u32, u32)> {
        let hash = group.hash();
        let available = self
            .entries
            .values()
            .filter(|entry| entry.group_hash == hash && entry.is_available(now));
        let free = available.map(|entry| {
            let slots = self.batch_slots(entry).saturating_sub(entry.total());
            let rate = self.remaining_items(entry, share, now);
            (entry.hash, slots.min(u32::try_from(rate).unwrap_or(u32::MAX)))
        });
        free.filter(|(_, slots)| *slots > 0).collect()
    }

    /// Returns the number of slots of a target that batch items may occupy. An outlier gets a single
    /// item, which can run again elsewhere: without it, no host would notice that the target has
    /// recovered.
    fn batch_slots(&self, entry: &PlacementEntry) -> u32 {
        if self.is_outlier(entry) { entry.target.slots.min(1) } else { entry.target.slots }
    }

    /// Returns the targets of a group with more work than slots: the target's hash, the number of items to
    /// preempt, and the number of this host's items there.
    pub(crate) fn overcommitted(&self, group: &SlotGroup) -> Vec<(u32, u32, u32)> {
        let hash = group.hash();
        let entries = self.entries.values().filter(|entry| entry.group_hash == hash);
        let over = entries.map(|entry| {
            let over = entry.in_flight().saturating_sub(entry.target.slots).min(entry.batch());
            (entry.hash, over, entry.own_batch)
        });
        over.filter(|(_, over, _)| *over > 0).collect()
    }

    /// Returns the groups of a pool with targets that accept work.
    pub fn groups(&self, pool: &str) -> Vec<SlotGroup> {
        let has_serving_target = |group: u32| {
            self.entries.values().any(|entry| entry.group_hash == group && entry.accepts_work())
        };
        let of_pool = self.groups.iter().filter(|(_, group)| &*group.pool == pool);
        of_pool
            .filter(|(hash, _)| has_serving_target(**hash))
            .map(|(_, group)| group.clone())
            .collect()
    }

    /// Returns all groups that ever had a target.
    pub fn all_groups(&self) -> Vec<SlotGroup> {
        self.groups.values().cloned().collect()
    }

    /// Returns the group with this hash.
    pub fn group_by_hash(&self, hash: u32) -> Option<&SlotGroup> {
        self.groups.get(&hash)
    }

    /// Returns the target with this hash.
    pub fn target_by_hash(&self, hash: u32) -> Option<&FleetTarget> {
        self.hashes.get(&hash).and_then(|id| self.get(id))
    }

    /// Returns the target of a grant, unless it is unknown to this host or no longer accepts work.
    pub fn granted_target(&self, hash: u32) -> Option<&FleetTarget> {
        let entry = self.hashes.get(&hash).and_then(|id| self.entries.get(id));
        entry.filter(|entry| entry.accepts_work()).map(|entry| &entry.target)
    }

    /// Returns whether this host has work in flight in a group.
    pub fn is_busy_in(&self, group: &SlotGroup) -> bool {
        let hash = group.hash();
        self.entries.values().any(|entry| entry.group_hash == hash && entry.own_in_flight() > 0)
    }

    /// Returns what this host has in flight in a group.
    pub fn own_loads(&self, group: &SlotGroup) -> Vec<TargetLoad> {
        let hash = group.hash();
        let busy = self
            .entries
            .values()
            .filter(|entry| entry.group_hash == hash && entry.own_in_flight() > 0);
        busy.map(|entry| TargetLoad {
            target: entry.hash,
            online: entry.own_online.min(u32::from(u16::MAX)) as u16,
            batch: entry.own_batch.min(u32::from(u16::MAX)) as u16,
        })
        .collect()
    }

    /// Returns the outcomes of this host's sends to failing targets of a group.
    pub fn own_outcomes(&self, group: &SlotGroup, now: Instant) -> Vec<TargetOutcomes> {
        let hash = group.hash();
        let in_group = |outcomes: &TargetOutcomes| {
            let id = self.hashes.get(&outcomes.target);
            id.and_then(|id| self.entries.get(id)).is_some_and(|entry| entry.group_hash == hash)
        };
        self.outliers.advertised(now).into_iter().filter(in_group).collect()
    }

    /// Returns the targets of a group to which this host sends nothing for now: those that recently
    /// refused a request or failed, and those that are draining or in a drained zone.
    pub fn avoided(&self, group: &SlotGroup, now: Instant) -> Vec<u32> {
        let hash = group.hash();
        let unavailable = self
            .entries
            .values()
            .filter(|entry| entry.group_hash == hash && !entry.is_available(now));
        unavailable.map(|entry| entry.hash).collect()
    }

    /// Returns the zones of targets.
    pub fn zones_of(&self, ids: &[Name]) -> Vec<AvailabilityZone> {
        ids.iter().filter_map(|id| self.get(id)).map(|target| target.zone.clone()).collect()
    }

    /// Returns the hashes of targets.
    pub fn hashes_of(&self, ids: &[Name]) -> Vec<u32> {
        ids.iter().filter_map(|id| self.entries.get(id)).map(|entry| entry.hash).collect()
    }
}
