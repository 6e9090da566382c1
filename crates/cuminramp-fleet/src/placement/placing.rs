//! Which target a request goes to, or when it should come back.

use std::time::Duration;

use cuminramp_core::RandomSource;
use tokio::time::Instant;

use super::{ColdShare, PlacementDecision, PlacementEntry, PlacementRequest, PlacementTable};
use crate::slots::retry_after;

/// Targets that a request chooses among where no owner decides: enough to find one of the caller's zone
/// with room, few enough that hosts choose differently.
const CHOICES: usize = 4;

/// Seconds that work of a host that is gone still takes a slot, on average: most of it are items.
const ORPHANED_HOLD_S: f64 = 2.0;
/// The least time in seconds that a request is taken to hold a slot.
const LEAST_HOLD_S: f64 = 0.001;

impl PlacementTable {
    /// Places a request by what this host knows itself, where no owner of slots can be asked. `share` is
    /// what it may send to cold targets alone.
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
        };
        let usable = self.usable(of_pool, now);
        let has_rate = |entry: &&PlacementEntry| self.sends_left(entry, share, now) > 0;
        let open: Vec<&PlacementEntry> = usable.iter().copied().filter(has_rate).collect();
        if open.is_empty()
            && let Some(wait) = self.cold_wait(&usable, now)
        {
            return PlacementDecision::Full(retry_after(wait, random));
        }
        if let Some(entry) = self.with_free_slot(&open, CHOICES, random) {
            return PlacementDecision::Send(entry.target.clone());
        }
        if let Some(entry) = self.with_batch(&open, random) {
            return PlacementDecision::Send(entry.target.clone());
        }
        self.wait_or_return(&open, request, random)
    }

    /// A request that would wait longer than its part of the objective is worth more when it comes
    /// back while there is room.
    fn wait_or_return(
        &self,
        open: &[&PlacementEntry],
        request: &PlacementRequest<'_>,
        random: &mut dyn RandomSource,
    ) -> PlacementDecision {
        let Some((wait, entry)) = self.shortest_queue(open, random) else {
            return PlacementDecision::Nowhere;
        };
        if wait <= request.objective.mul_f64(self.policy.wait_share) || request.is_retry {
            return PlacementDecision::Send(entry.target.clone());
        }
        PlacementDecision::Full(retry_after(wait, random))
    }

    /// Targets that take work and don't fail too much of it. Where more than half are doubtful, doubt is
    /// no guide any more; where all are paused, one that failed lately is better than none.
    pub(super) fn usable<'a>(
        &'a self,
        of_pool: impl Fn(&&'a PlacementEntry) -> bool,
        now: Instant,
    ) -> Vec<&'a PlacementEntry> {
        let open: Vec<&PlacementEntry> =
            self.entries.values().filter(&of_pool).filter(|entry| entry.is_open(now)).collect();
        if open.is_empty() {
            let serving = self.entries.values().filter(|entry| entry.takes_work());
            return serving.filter(&of_pool).collect();
        }
        let sound: Vec<&PlacementEntry> =
            open.iter().copied().filter(|entry| !self.is_outlier(entry)).collect();
        if sound.len() * 2 < open.len() { open } else { sound }
    }

    /// The best of so many targets with a free slot, drawn by chance.
    ///
    /// A host that decides by itself does not know what others have in flight. Did every such host take
    /// the emptiest target of all, a queue would form before it while others stand empty.
    pub(super) fn with_free_slot<'a>(
        &self,
        open: &[&'a PlacementEntry],
        choices: usize,
        random: &mut dyn RandomSource,
    ) -> Option<&'a PlacementEntry> {
        let free = open.iter().filter(|entry| entry.total() < entry.target.slots);
        let mut drawn: Vec<(usize, &PlacementEntry)> =
            free.map(|entry| (random.below(1 << 16), *entry)).collect();
        drawn.sort_by_key(|drawn| drawn.0);
        drawn.truncate(choices);
        let rated = drawn.into_iter().map(|(_, entry)| (self.rate_free(entry), entry));
        rated.max_by(|left, right| left.0.total_cmp(&right.0)).map(|rated| rated.1)
    }

    /// How much a target with free slots is preferred.
    fn rate_free(&self, entry: &PlacementEntry) -> f64 {
        let is_near = entry.target.zone == self.zone;
        let bonus = if is_near { self.policy.zone_bonus } else { 0 };
        let failing = self.outliers.failure_rate(entry.hash) * f64::from(entry.target.slots);
        f64::from(entry.target.slots - entry.total() + bonus) - failing
    }

    /// A target where batch items give way: one where this host holds an item goes first, since it
    /// breaks that off before the request is sent.
    pub(super) fn with_batch<'a>(
        &self,
        open: &[&'a PlacementEntry],
        random: &mut dyn RandomSource,
    ) -> Option<&'a PlacementEntry> {
        let yielding =
            open.iter().filter(|entry| entry.batch() > 0 && entry.firm() < entry.target.slots);
        let rated = yielding.map(|entry| {
            let is_near = entry.target.zone == self.zone;
            let over = entry.total().saturating_sub(entry.target.slots);
            let is_own = entry.own_batch > 0;
            ((std::cmp::Reverse(over), is_own, is_near, random.below(1 << 16)), *entry)
        });
        rated.max_by_key(|rated| rated.0).map(|rated| rated.1)
    }

    /// The target whose queue is shortest, and how long a request would wait there: a slot comes free
    /// about every `hold / slots`, less often where work of hosts that are gone takes slots.
    pub(super) fn shortest_queue<'a>(
        &self,
        open: &[&'a PlacementEntry],
        random: &mut dyn RandomSource,
    ) -> Option<(Duration, &'a PlacementEntry)> {
        let waiting = |entry: &PlacementEntry| {
            let over = entry.firm().saturating_sub(entry.target.slots) + 1;
            let slots = entry.target.slots.max(1);
            let orphaned = entry.orphaned.left().min(slots);
            let ends_a_second = f64::from(slots - orphaned)
                / self.hold.as_secs_f64().max(LEAST_HOLD_S)
                + f64::from(orphaned) / ORPHANED_HOLD_S;
            Duration::from_secs_f64(f64::from(over) / ends_a_second)
        };
        let rated = open.iter().map(|entry| ((waiting(entry), random.below(1 << 16)), *entry));
        rated.min_by_key(|(rank, _)| *rank).map(|((wait, _), entry)| (wait, entry))
    }
}
