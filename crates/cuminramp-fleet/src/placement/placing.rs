//! Choice of the target for a request, or of the time after which its caller should retry.

use std::cmp::Reverse;
use std::time::Duration;

use cuminramp_core::RandomSource;
use tokio::time::Instant;

use super::pace::USUAL_PACE;
use super::{ColdShare, PlacementDecision, PlacementEntry, PlacementRequest, PlacementTable};
use crate::slots::retry_after;

/// Maximum number of random targets that a request chooses among where no owner decides: enough to find
/// one in the caller's zone with a free slot, few enough that hosts choose differently.
const MAX_CHOICES: usize = 4;

/// Average time in seconds for which orphaned work still occupies a slot; most of it is batch items.
const ORPHANED_HOLD_S: f64 = 2.0;
/// Minimum time in seconds for which a request is assumed to hold a slot.
const MIN_HOLD_S: f64 = 0.001;

impl PlacementTable {
    /// Places a request by what this host itself has recorded, where no owner of slots can be reached.
    /// `share` is what this host may send to cold targets without an owner.
    pub fn place(
        &self,
        request: &PlacementRequest<'_>,
        share: &ColdShare,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> PlacementDecision {
        let of_pool = |entry: &&PlacementEntry| {
            &*entry.target.pool == request.pool
                && !request.tried.contains(&entry.target.id)
                && request.zones.allows(&entry.target.zone)
                && entry.has_software(request.software)
        };
        let usable = self.usable_targets(of_pool, now);
        let has_rate = |entry: &&PlacementEntry| self.remaining_sends(entry, share, now) > 0;
        let available: Vec<&PlacementEntry> = usable.iter().copied().filter(has_rate).collect();
        if available.is_empty()
            && let Some(wait) = self.cold_wait(&usable, now)
        {
            return PlacementDecision::Full(retry_after(wait, random));
        }
        if let Some(entry) = self.pick_free_slot(&available, MAX_CHOICES, random, now) {
            return PlacementDecision::Send(entry.target.clone());
        }
        if let Some(entry) = self.pick_preemptible(&available, random, now) {
            return PlacementDecision::Send(entry.target.clone());
        }
        self.queue_or_refuse(&available, request, random, now)
    }

    /// Sends a request to the target with the shortest queue, or refuses it if it would wait longer than
    /// its share of the objective: a retry that arrives when slots are free is worth more than a late
    /// answer. A retry itself is never refused for its wait.
    fn queue_or_refuse(
        &self,
        available: &[&PlacementEntry],
        request: &PlacementRequest<'_>,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> PlacementDecision {
        let Some((wait, entry)) = self.shortest_queue(available, random, now) else {
            return PlacementDecision::NoTarget;
        };
        if wait <= request.objective.mul_f64(self.policy.wait_share) || request.is_retry {
            return PlacementDecision::Send(entry.target.clone());
        }
        PlacementDecision::Full(retry_after(wait, random))
    }

    /// Returns the targets that are available and not outliers. Where more than half of those available
    /// are outliers, the detection no longer separates good targets from bad ones and all of them are
    /// returned; where none is available, all that accept work are returned, since a target that failed
    /// recently is better than none.
    pub(super) fn usable_targets<'a>(
        &'a self,
        of_pool: impl Fn(&&'a PlacementEntry) -> bool,
        now: Instant,
    ) -> Vec<&'a PlacementEntry> {
        let available: Vec<&PlacementEntry> = self
            .entries
            .values()
            .filter(&of_pool)
            .filter(|entry| entry.is_available(now))
            .collect();
        if available.is_empty() {
            let serving = self.entries.values().filter(|entry| entry.accepts_work());
            return serving.filter(&of_pool).collect();
        }
        self.without_outliers(available)
    }

    /// Returns the targets that are not outliers, or all if more than half of them are.
    pub(super) fn without_outliers<'a>(
        &self,
        available: Vec<&'a PlacementEntry>,
    ) -> Vec<&'a PlacementEntry> {
        let healthy: Vec<&PlacementEntry> =
            available.iter().copied().filter(|entry| !self.is_outlier(entry)).collect();
        if healthy.len() * 2 < available.len() { available } else { healthy }
    }

    /// Returns the best of at most `choices` randomly drawn targets with a free slot.
    ///
    /// A host that decides by itself doesn't have the loads of other hosts. If every one of these hosts
    /// picked the target with the most free slots, a queue would form there while other targets stand
    /// empty.
    pub(super) fn pick_free_slot<'a>(
        &self,
        available: &[&'a PlacementEntry],
        choices: usize,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Option<&'a PlacementEntry> {
        let free = available.iter().filter(|entry| entry.total() < entry.target.slots);
        let mut candidates: Vec<(usize, &PlacementEntry)> =
            free.map(|entry| (random.below(1 << 16), *entry)).collect();
        candidates.sort_by_key(|candidate| candidate.0);
        candidates.truncate(choices);
        let scored = candidates.into_iter().map(|(_, entry)| (self.score_free(entry, now), entry));
        scored.max_by(|left, right| left.0.total_cmp(&right.0)).map(|best| best.1)
    }

    /// Returns the score of a target with free slots; the highest is preferred. A slot that work holds
    /// longer counts as a smaller part of one.
    fn score_free(&self, entry: &PlacementEntry, now: Instant) -> f64 {
        let is_near = entry.target.zone == self.zone;
        let bonus = if is_near { self.policy.zone_bonus } else { 0 };
        let penalty = self.outliers.failure_rate(entry.hash) * f64::from(entry.target.slots);
        let free = f64::from(entry.target.slots - entry.total());
        free / self.expected_pace(entry, now).unwrap_or(USUAL_PACE) + f64::from(bonus) - penalty
    }

    /// Returns the target where a batch item is best preempted: one with the least work beyond its slots,
    /// among those one that is not slow, and among those one where this host has an item in flight, since
    /// this host preempts that item before it sends the request.
    pub(super) fn pick_preemptible<'a>(
        &self,
        available: &[&'a PlacementEntry],
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Option<&'a PlacementEntry> {
        let preemptible = available
            .iter()
            .filter(|entry| entry.batch() > 0 && entry.non_preemptible() < entry.target.slots);
        let scored = preemptible.map(|entry| {
            let is_near = entry.target.zone == self.zone;
            let over = entry.total().saturating_sub(entry.target.slots);
            let is_own = entry.own_batch > 0;
            let pace = self.expected_pace(entry, now).unwrap_or(USUAL_PACE);
            let slowness = pace.round().max(USUAL_PACE) as u32;
            let rank = (Reverse(over), Reverse(slowness), is_own, is_near, random.below(1 << 16));
            (rank, *entry)
        });
        scored.max_by_key(|candidate| candidate.0).map(|best| best.1)
    }

    /// Returns the target with the shortest queue, and the time for which a request would wait there: a
    /// slot becomes free about every `hold / slots`, less often where orphaned work occupies slots.
    pub(super) fn shortest_queue<'a>(
        &self,
        available: &[&'a PlacementEntry],
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Option<(Duration, &'a PlacementEntry)> {
        let expected_wait = |entry: &PlacementEntry| {
            let over = entry.non_preemptible().saturating_sub(entry.target.slots) + 1;
            let slots = entry.target.slots.max(1);
            let orphaned = entry.orphaned.remaining().min(slots);
            let slots_freed_per_s = f64::from(slots - orphaned)
                / self.expected_hold(entry, now).as_secs_f64().max(MIN_HOLD_S)
                + f64::from(orphaned) / ORPHANED_HOLD_S;
            Duration::from_secs_f64(f64::from(over) / slots_freed_per_s)
        };
        let scored =
            available.iter().map(|entry| ((expected_wait(entry), random.below(1 << 16)), *entry));
        scored.min_by_key(|(rank, _)| *rank).map(|((wait, _), entry)| (wait, entry))
    }
}
