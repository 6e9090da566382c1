//! Which target a request goes to, or when it should come back.

use std::time::Duration;

use cuminramp_core::RandomSource;
use tokio::time::Instant;

use super::{BoardEntry, OnlineNeed, PlacementDecision, TargetBoard, TargetPhase};

/// The shortest and longest time after which a refused request is asked back.
const RETURN_BOUNDS: (f64, f64) = (0.25, 1.6);
/// Targets that a request chooses among: enough to find one of the caller's zone with room, few enough
/// that hosts with the same news choose differently.
const CHOICES: usize = 4;

impl TargetBoard {
    /// Places a request.
    pub fn place(
        &self,
        need: &OnlineNeed<'_>,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> PlacementDecision {
        let of_pool = |entry: &&BoardEntry| {
            &*entry.target.pool == need.pool && !need.tried.contains(&entry.target.id)
        };
        let open = self.usable(of_pool, now);
        if open.is_empty() {
            return PlacementDecision::Nowhere;
        }
        if let Some(entry) = self.with_free_slot(&open, random) {
            return PlacementDecision::Send(entry.target.clone());
        }
        if let Some(entry) = self.with_batch(&open, random) {
            return PlacementDecision::Send(entry.target.clone());
        }
        self.shortest_queue(&open, need, random)
    }

    /// Targets that take work and don't fail too much of it. Where more than half are doubtful, doubt is
    /// no guide any more; where all are paused, one that failed lately is better than none.
    fn usable<'a>(
        &'a self,
        of_pool: impl Fn(&&'a BoardEntry) -> bool,
        now: Instant,
    ) -> Vec<&'a BoardEntry> {
        let open: Vec<&BoardEntry> =
            self.entries.values().filter(&of_pool).filter(|entry| entry.is_open(now)).collect();
        if open.is_empty() {
            let serving = |entry: &&BoardEntry| entry.target.phase == TargetPhase::Serving;
            return self.entries.values().filter(&of_pool).filter(serving).collect();
        }
        let sound: Vec<&BoardEntry> =
            open.iter().copied().filter(|entry| !self.is_doubtful(entry)).collect();
        if sound.len() * 2 < open.len() { open } else { sound }
    }

    /// The best of a few targets with a free slot, drawn by chance.
    ///
    /// What others have in flight is known as of their last news. Did every host take the emptiest of
    /// all, all would send there until the next news, and a queue would form before it while others
    /// stand empty: callers would hear late at every crest, the more so the more hosts there are.
    fn with_free_slot<'a>(
        &self,
        open: &[&'a BoardEntry],
        random: &mut dyn RandomSource,
    ) -> Option<&'a BoardEntry> {
        let free = open.iter().filter(|entry| entry.total() < entry.target.slots);
        let mut drawn: Vec<(usize, &BoardEntry)> =
            free.map(|entry| (random.below(1 << 16), *entry)).collect();
        drawn.sort_by_key(|drawn| drawn.0);
        drawn.truncate(CHOICES);
        let rated = drawn.into_iter().map(|(_, entry)| (self.rate_free(entry), entry));
        rated.max_by(|left, right| left.0.total_cmp(&right.0)).map(|rated| rated.1)
    }

    /// How much a target with free slots is preferred.
    fn rate_free(&self, entry: &BoardEntry) -> f64 {
        let is_near = entry.target.zone == self.zone;
        let bonus = if is_near { self.policy.zone_bonus } else { 0 };
        let failing = self.health.failure_share(entry.hash) * f64::from(entry.target.slots);
        f64::from(entry.target.slots - entry.total() + bonus) - failing
    }

    /// A target where batch items give way: one where this host holds an item goes first, since it
    /// breaks that off before the request is sent.
    fn with_batch<'a>(
        &self,
        open: &[&'a BoardEntry],
        random: &mut dyn RandomSource,
    ) -> Option<&'a BoardEntry> {
        let yielding = open.iter().filter(|entry| entry.online() < entry.target.slots);
        let rated = yielding.map(|entry| {
            let is_near = entry.target.zone == self.zone;
            let over = entry.total() - entry.target.slots;
            let is_own = entry.own_batch > 0;
            ((std::cmp::Reverse(over), is_own, is_near, random.below(1 << 16)), *entry)
        });
        rated.max_by_key(|rated| rated.0).map(|rated| rated.1)
    }

    /// The target whose queue is shortest, if the request would still be in time there.
    ///
    /// A slot comes free about every `hold / slots`; a request that would wait longer than its part
    /// of the objective is worth more when it comes back while there is room.
    fn shortest_queue(
        &self,
        open: &[&BoardEntry],
        need: &OnlineNeed<'_>,
        random: &mut dyn RandomSource,
    ) -> PlacementDecision {
        let waiting = |entry: &BoardEntry| {
            let over = entry.online().saturating_sub(entry.target.slots) + 1;
            self.hold.as_secs_f64() * f64::from(over) / f64::from(entry.target.slots.max(1))
        };
        let rated = open.iter().map(|entry| (waiting(entry), random.below(1 << 16), *entry));
        let best =
            rated.min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        let Some((wait, _, entry)) = best else {
            return PlacementDecision::Nowhere;
        };
        let allowed = need.objective.as_secs_f64() * self.policy.wait_share;
        if wait <= allowed || need.is_again {
            return PlacementDecision::Send(entry.target.clone());
        }
        let (soonest, latest) = RETURN_BOUNDS;
        let after = soonest + (latest - soonest) * random.fraction();
        PlacementDecision::Full(Duration::from_secs_f64(after.max(wait.min(latest))))
    }
}
