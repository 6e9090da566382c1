//! Targets that have just started, and how many requests they may get.
//!
//! A cold target breaks where it gets many more requests a second than it bears, whoever sends them. So
//! the owner of its group hands out a rate with its slots. At the turn of an ownership two hosts may
//! believe that they own the group, and hosts that reach no owner decide alone; all of them together
//! stay below what the target bears:
//!
//! - an owner that has been it for a while and hears most hosts of the zone hands out less than half;
//! - of the others only a few hosts, drawn by rendezvous for each target, send a request a second.

use std::time::Duration;

use cuminramp_core::{Name, SortedMap};
use tokio::time::Instant;

use super::{PlacementEntry, PlacementTable};
use crate::slots::SlotGroup;

/// Requests in any such time are counted together: a second, and what ways of unequal length may add.
const COUNTED_FOR: Duration = Duration::from_millis(1_100);
/// Part of what a cold target bears that is kept for hosts that decide alone.
const ALONE_SHARE: f64 = 0.2;

/// What the targets of a pool bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Requests a second; 0 where it does not matter.
    pub requests_per_s: f64,
    /// How long a target stays cold after its start.
    pub lasts: Duration,
}

/// What operators tolerate beyond a [`ColdRule`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// The rate may be exceeded by this factor.
    pub factor: f64,
    /// And by so many requests in a second.
    pub requests: f64,
}

/// What a host may hand out of the rate of cold targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ColdShare {
    /// The share of the group's owner.
    Owner,
    /// A request a second at each of these targets, by their short forms.
    Alone(Vec<u32>),
}

/// Requests in a second at one cold target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ColdLimits {
    owner: usize,
    items: usize,
    lone_hosts: usize,
}

impl ColdLimits {
    fn new(rule: ColdRule, tolerance: ColdTolerance) -> Self {
        let all = (rule.requests_per_s * tolerance.factor + tolerance.requests).floor();
        let alone = (all * ALONE_SHARE).floor();
        let owner = ((all - alone) / 2.0).floor() as usize;
        ColdLimits { owner, items: owner / 2, lone_hosts: alone as usize }
    }
}

impl PlacementEntry {
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }

    /// It is cold for so long from now on, unless it is known to be for longer.
    pub(super) fn note_cold(&mut self, lasts: Duration, now: Instant) {
        if !lasts.is_zero() {
            self.cold_until = self.cold_until.max(Some(now + lasts));
        }
    }

    fn sent_lately(&self, now: Instant) -> usize {
        let recent = self.sends.iter().rev();
        recent.take_while(|at| now.duration_since(**at) < COUNTED_FOR).count()
    }

    fn note_send(&mut self, now: Instant) {
        while self.sends.front().is_some_and(|at| now.duration_since(*at) >= COUNTED_FOR) {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }
}

impl PlacementTable {
    /// Takes what cold targets of each pool bear, as declared.
    pub fn set_cold_rules(&mut self, rules: SortedMap<Name, ColdRule>) {
        self.cold_rules = rules;
    }

    fn cold_limits(&self, entry: &PlacementEntry) -> Option<ColdLimits> {
        let rule = self.cold_rules.get(&entry.target.pool)?;
        let is_limited = rule.requests_per_s > 0.0;
        is_limited.then(|| ColdLimits::new(*rule, self.policy.cold_tolerance))
    }

    /// How long a target of the pool is taken to be cold when it may be so without having said it.
    pub(super) fn cold_time(&self, pool: &str) -> Duration {
        self.cold_rules.get(pool).map_or(Duration::ZERO, |rule| rule.lasts)
    }

    /// Requests that a target may get now.
    pub(super) fn sends_left(
        &self,
        entry: &PlacementEntry,
        share: &ColdShare,
        now: Instant,
    ) -> usize {
        let Some(limits) = self.cold_limits(entry).filter(|_| entry.is_cold(now)) else {
            return usize::MAX;
        };
        let most = match share {
            ColdShare::Owner => limits.owner,
            ColdShare::Alone(targets) => usize::from(targets.contains(&entry.hash)),
        };
        most.saturating_sub(entry.sent_lately(now))
    }

    /// Batch items that a target may get now: they leave callers half of the rate.
    pub(super) fn items_left(
        &self,
        entry: &PlacementEntry,
        share: &ColdShare,
        now: Instant,
    ) -> usize {
        let Some(limits) = self.cold_limits(entry).filter(|_| entry.is_cold(now)) else {
            return usize::MAX;
        };
        match share {
            ColdShare::Owner => limits.items.saturating_sub(entry.sent_lately(now)),
            ColdShare::Alone(_) => 0,
        }
    }

    /// Until the first of some targets that got all they bear may get a request again.
    pub(super) fn cold_wait(&self, entries: &[&PlacementEntry], now: Instant) -> Option<Duration> {
        let waits = entries.iter().filter_map(|entry| {
            let oldest = entry.sends.iter().find(|at| now.duration_since(**at) < COUNTED_FOR);
            let free_at = oldest.map(|at| *at + COUNTED_FOR);
            free_at.or(entry.cold_until).map(|at| at.saturating_duration_since(now))
        });
        waits.min()
    }

    /// Takes note that a target gets some requests.
    pub fn record_sends(&mut self, target: u32, requests: u16, now: Instant) {
        let id = self.hashes.get(&target);
        let Some(entry) = id.and_then(|id| self.entries.get_mut(id)) else { return };
        if self.cold_rules.get(&entry.target.pool).is_none() {
            return;
        }
        (0..requests).for_each(|_| entry.note_send(now));
    }

    /// Cold targets of a pool, in one group or in all, with the number of hosts that may each send
    /// there alone.
    pub fn cold_targets(
        &self,
        pool: &str,
        group: Option<&SlotGroup>,
        now: Instant,
    ) -> Vec<(u32, usize)> {
        let hash = group.map(SlotGroup::hash);
        let cold = self.entries.values().filter(|entry| {
            *entry.target.pool == *pool
                && hash.is_none_or(|hash| entry.group == hash)
                && entry.is_cold(now)
        });
        cold.filter_map(|entry| Some((entry.hash, self.cold_limits(entry)?.lone_hosts))).collect()
    }
}
