//! Use of a group's slots by team, by which competing teams share the slots.

use std::time::Duration;

use cuminramp_core::SortedMap;
use tokio::time::Instant;

/// Time constant with which a grant stops counting, about the time for which a request holds its slot.
const USAGE_DECAY: Duration = Duration::from_secs(1);
/// Usage that doesn't count against a team. In small groups, one slot is more than the share of a small team,
/// and its second request within a second would be rejected for the benefit of teams far above their shares.
pub(super) const FREE_USAGE: f64 = 1.0;
/// Usage below which a team counts as not using the group, in slots.
const MIN_USAGE: f64 = 0.01;
/// Interval at which usages are brought to the current time and idle teams are dropped. A team that waits is
/// asked for more often than that.
const REBASE_INTERVAL: Duration = Duration::from_secs(1);

/// Use of a group's slots by one team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamShare {
    /// Hash of the team's name.
    pub team: u32,
    /// Slots that were granted to the team; each grant decays with a time constant of 1 s.
    pub usage: f64,
    /// Weight of the team's share, in thousandths.
    pub weight_milli: u32,
}

impl TeamShare {
    /// Returns the usage above the free one, relative to the weight, after `grants` more grants.
    pub(super) fn level_after(&self, grants: usize) -> f64 {
        (self.usage + grants as f64 - FREE_USAGE).max(0.0) / f64::from(self.weight_milli)
    }
}

#[derive(Clone, Copy, Debug)]
struct ShareEntry {
    /// Usage at the time of `ShareTable::base`, to which later grants are extrapolated backwards. Usages of
    /// different teams can therefore be compared without bringing each to the current time.
    based_usage: f64,
    weight_milli: u32,
    asked_at: Instant,
}

/// Usage and weight of the teams that asked for a group's slots lately.
#[derive(Debug, Default)]
pub(super) struct ShareTable {
    teams: SortedMap<u32, ShareEntry>,
    base: Option<Instant>,
    based_total: f64,
    total_weight: f64,
}

impl ShareTable {
    /// Returns the part of the usage at the time of `base` that is left now.
    fn remaining_part(&self, now: Instant) -> f64 {
        let elapsed = self.base.map_or(Duration::ZERO, |base| now.saturating_duration_since(base));
        (-elapsed.as_secs_f64() / USAGE_DECAY.as_secs_f64()).exp()
    }

    /// Brings all usages to the current time and drops teams without usage that no longer ask, at most once
    /// in an interval.
    pub(super) fn expire(&mut self, now: Instant) {
        let base = *self.base.get_or_insert(now);
        if now.saturating_duration_since(base) < REBASE_INTERVAL {
            return;
        }
        let remaining = self.remaining_part(now);
        self.base = Some(now);
        self.teams.retain(|_, entry| {
            entry.based_usage *= remaining;
            let idle = now.saturating_duration_since(entry.asked_at);
            entry.based_usage >= MIN_USAGE || idle < REBASE_INTERVAL
        });
        self.based_total = self.teams.values().map(|entry| entry.based_usage).sum();
        self.total_weight = self.teams.values().map(|entry| f64::from(entry.weight_milli)).sum();
    }

    /// Records that a team asked for a slot, and the weight of its share. A weight of 0 counts as 1.
    pub(super) fn record_request(&mut self, team: u32, weight_milli: u32, now: Instant) {
        self.expire(now);
        let weight_milli = weight_milli.max(1);
        let new = || ShareEntry { based_usage: 0.0, weight_milli: 0, asked_at: now };
        let entry = self.teams.get_or_insert_with(team, new);
        self.total_weight += f64::from(weight_milli) - f64::from(entry.weight_milli);
        entry.weight_milli = weight_milli;
        entry.asked_at = entry.asked_at.max(now);
    }

    /// Counts a slot that a team was granted.
    pub(super) fn record_grant(&mut self, team: u32, weight_milli: u32, now: Instant) {
        self.record_request(team, weight_milli, now);
        let based_grant = 1.0 / self.remaining_part(now);
        if let Some(entry) = self.teams.get_mut(&team) {
            entry.based_usage += based_grant;
            self.based_total += based_grant;
        }
    }

    /// Returns the shares of `teams`, which must be in ascending order.
    pub(super) fn shares_of(
        &self,
        teams: impl Iterator<Item = u32>,
        now: Instant,
    ) -> impl Iterator<Item = TeamShare> {
        let remaining = self.remaining_part(now);
        let mut entries = self.teams.iter().peekable();
        teams.map(move |team| {
            while entries.next_if(|(other, _)| **other < team).is_some() {}
            match entries.peek() {
                Some((other, entry)) if **other == team => entry.share(team, remaining),
                _ => TeamShare { team, usage: 0.0, weight_milli: 1 },
            }
        })
    }

    /// Returns the share of one team, with the weight stated by its request if the team is not known.
    pub(super) fn share(&self, team: u32, weight_milli: u32, now: Instant) -> TeamShare {
        match self.teams.get(&team) {
            Some(entry) => entry.share(team, self.remaining_part(now)),
            None => TeamShare { team, usage: 0.0, weight_milli: weight_milli.max(1) },
        }
    }

    /// Returns the part of the slots that become free which goes to requests that wait now, up to one of this
    /// team with this rank. The rest goes to later requests of teams with a lower usage relative to their
    /// weight. `competing_usage` is the usage of the team and of those that compete with it for its slots.
    pub(super) fn part_for(
        &self,
        own: TeamShare,
        rank: usize,
        competing_usage: f64,
        now: Instant,
    ) -> f64 {
        let total = self.based_total * self.remaining_part(now);
        if total <= 0.0 || own.level_after(rank) <= self.mean_level(now) {
            return 1.0;
        }
        let guaranteed = f64::from(own.weight_milli) / self.total_weight;
        (competing_usage / total).clamp(guaranteed.min(1.0), 1.0)
    }

    /// Returns the usage of all teams relative to their weight.
    pub(super) fn mean_level(&self, now: Instant) -> f64 {
        self.based_total * self.remaining_part(now) / self.total_weight.max(1.0)
    }

    /// Returns the `max` teams with the highest usage, the highest first.
    pub(super) fn highest(&self, max: usize, now: Instant) -> Vec<TeamShare> {
        let remaining = self.remaining_part(now);
        let mut shares: Vec<TeamShare> =
            self.teams.iter().map(|(team, entry)| entry.share(*team, remaining)).collect();
        shares.sort_by(|one, other| other.usage.total_cmp(&one.usage));
        shares.truncate(max);
        shares
    }
}

impl ShareEntry {
    fn share(&self, team: u32, remaining_part: f64) -> TeamShare {
        let usage = self.based_usage * remaining_part;
        TeamShare { team, usage, weight_milli: self.weight_milli }
    }
}
