//! Cold targets, which have just started, and the rate of requests that they may receive.
//!
//! A cold target fails if it receives many more requests a second than it can sustain, whoever sends
//! them. The owner of its group therefore grants a rate along with its slots. While ownership changes,
//! two hosts may both act as the owner, and hosts that reach no owner place requests by themselves. The
//! requests of all these hosts together stay below what the target sustains:
//!
//! - an owner that has owned the group for a while, and receives heartbeats from most hosts of the zone,
//!   grants less than half of it;
//! - of the other hosts only a few, drawn by rendezvous hashing for each target, send one request a
//!   second.

use std::time::Duration;

use cuminramp_core::{Name, SortedMap};
use tokio::time::Instant;

use super::{PlacementEntry, PlacementTable};
use crate::slots::SlotGroup;

/// Window in which requests to a cold target are counted: a second, plus the difference that paths of
/// unequal latency may add.
const RATE_WINDOW: Duration = Duration::from_millis(1_100);
/// Share of the rate of a cold target that is reserved for hosts that decide without an owner.
const WITHOUT_OWNER_SHARE: f64 = 0.2;

/// Rate that the targets of a pool sustain while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Maximum number of requests a second at each target; 0 for no limit.
    pub requests_per_s: f64,
    /// Time for which a target stays cold after its start.
    pub duration: Duration,
}

/// Excess over a [`ColdRule`] that operators tolerate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor by which the declared rate is multiplied.
    pub factor: f64,
    /// Number of requests in a second by which that product may be exceeded.
    pub requests: f64,
}

/// Share of the rate of cold targets that a host may grant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ColdShare {
    /// The share of the group's owner.
    Owner,
    /// One request a second at each of these targets, given by their hashes, without an owner's grant.
    WithoutOwner(Vec<u32>),
}

/// Maximum numbers of requests at one cold target within [`RATE_WINDOW`]: those up to which its owner
/// grants slots, those up to which it grants slots to batch items, and those of hosts that decide without
/// an owner, one request each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ColdLimits {
    owner: usize,
    items: usize,
    hosts_without_owner: usize,
}

impl ColdLimits {
    fn new(rule: ColdRule, tolerance: ColdTolerance) -> Self {
        let total = (rule.requests_per_s * tolerance.factor + tolerance.requests).floor();
        let without_owner = (total * WITHOUT_OWNER_SHARE).floor();
        let owner = ((total - without_owner) / 2.0).floor() as usize;
        ColdLimits { owner, items: owner / 2, hosts_without_owner: without_owner as usize }
    }
}

impl PlacementEntry {
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }

    /// Marks the target as cold for a time from now on, unless it is already marked for longer.
    pub(super) fn extend_cold(&mut self, duration: Duration, now: Instant) {
        if !duration.is_zero() {
            self.cold_until = self.cold_until.max(Some(now + duration));
        }
    }

    fn sends_in_window(&self, now: Instant) -> usize {
        let recent = self.sends.iter().rev();
        recent.take_while(|at| now.duration_since(**at) < RATE_WINDOW).count()
    }

    fn record_send(&mut self, now: Instant) {
        while self.sends.front().is_some_and(|at| now.duration_since(*at) >= RATE_WINDOW) {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }
}

impl PlacementTable {
    /// Sets the declared rate of cold targets for each pool.
    pub fn set_cold_rules(&mut self, rules: SortedMap<Name, ColdRule>) {
        self.cold_rules = rules;
    }

    fn cold_limits(&self, entry: &PlacementEntry) -> Option<ColdLimits> {
        let rule = self.cold_rules.get(&entry.target.pool)?;
        let is_limited = rule.requests_per_s > 0.0;
        is_limited.then(|| ColdLimits::new(*rule, self.policy.cold_tolerance))
    }

    /// Returns the time for which a target of the pool is treated as cold where it may be cold without
    /// having reported it.
    pub(super) fn cold_duration(&self, pool: &str) -> Duration {
        self.cold_rules.get(pool).map_or(Duration::ZERO, |rule| rule.duration)
    }

    /// Returns the number of requests that a target may receive now.
    pub(super) fn remaining_sends(
        &self,
        entry: &PlacementEntry,
        share: &ColdShare,
        now: Instant,
    ) -> usize {
        if !entry.is_cold(now) {
            return usize::MAX;
        }
        let Some(limits) = self.cold_limits(entry) else { return usize::MAX };
        let max = match share {
            ColdShare::Owner => limits.owner,
            ColdShare::WithoutOwner(targets) => usize::from(targets.contains(&entry.hash)),
        };
        max.saturating_sub(entry.sends_in_window(now))
    }

    /// Returns the number of batch items that a target may receive now. Items leave half of the rate to
    /// callers.
    pub(super) fn remaining_items(
        &self,
        entry: &PlacementEntry,
        share: &ColdShare,
        now: Instant,
    ) -> usize {
        if !entry.is_cold(now) {
            return usize::MAX;
        }
        let Some(limits) = self.cold_limits(entry) else { return usize::MAX };
        match share {
            ColdShare::Owner => limits.items.saturating_sub(entry.sends_in_window(now)),
            ColdShare::WithoutOwner(_) => 0,
        }
    }

    /// Returns the time until the first of these targets, whose rates are used up, may receive a request
    /// again; `None` if `entries` is empty.
    pub(super) fn cold_wait(&self, entries: &[&PlacementEntry], now: Instant) -> Option<Duration> {
        let waits = entries.iter().filter_map(|entry| {
            let oldest = entry.sends.iter().find(|at| now.duration_since(**at) < RATE_WINDOW);
            let free_at = oldest.map(|at| *at + RATE_WINDOW);
            free_at.or(entry.cold_until).map(|at| at.saturating_duration_since(now))
        });
        waits.min()
    }

    /// Records that a number of requests is sent to the target with this hash. Ignored for pools without a
    /// rule for cold targets.
    pub fn record_sends(&mut self, target: u32, requests: u16, now: Instant) {
        let id = self.hashes.get(&target);
        let Some(entry) = id.and_then(|id| self.entries.get_mut(id)) else { return };
        if self.cold_rules.get(&entry.target.pool).is_none() {
            return;
        }
        (0..requests).for_each(|_| entry.record_send(now));
    }

    /// Returns the hashes of the cold targets of a pool, in one group or in all, each with the number of
    /// hosts that may send requests there without an owner.
    pub fn cold_targets(
        &self,
        pool: &str,
        group: Option<&SlotGroup>,
        now: Instant,
    ) -> Vec<(u32, usize)> {
        if self.cold_rules.get(pool).is_none_or(|rule| rule.requests_per_s <= 0.0) {
            return vec![];
        }
        let hash = group.map(SlotGroup::hash);
        let cold = self.entries.values().filter(|entry| {
            hash.is_none_or(|hash| entry.group_hash == hash)
                && *entry.target.pool == *pool
                && entry.is_cold(now)
        });
        cold.filter_map(|entry| Some((entry.hash, self.cold_limits(entry)?.hosts_without_owner)))
            .collect()
    }
}
