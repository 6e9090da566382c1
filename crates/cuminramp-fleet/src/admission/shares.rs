//! Use of a group's slots by team, by which competing teams share the slots.

use std::time::Duration;

use cuminramp_core::SortedMap;
use tokio::time::Instant;

/// Time constant with which a grant stops counting, about the time for which a request holds its slot.
const USAGE_DECAY: Duration = Duration::from_secs(1);
/// Usage that doesn't count against a second attempt. In small groups, one slot is more than the share of a
/// small team, so that its second attempt would be late for the benefit of first attempts of teams far above
/// their shares.
const FREE_RETRY_USAGE: f64 = 2.0;
/// Number of intervals in which levels are counted. They reach from a sixteenth of the mean level to 16
/// times.
const LEVEL_BUCKETS: usize = 32;
/// Octaves of the range below the mean level; it has as many above.
const LEVEL_OCTAVES: f64 = 4.0;
/// Number of intervals in each octave: twice the octaves times this number is [`LEVEL_BUCKETS`].
const BUCKETS_PER_OCTAVE: f64 = 4.0;
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
    /// Returns the usage relative to the weight after `grants` more grants, as it counts for a second attempt
    /// or a first one.
    pub(super) fn level_after(&self, grants: usize, is_retry: bool) -> f64 {
        let counted = self.usage + grants as f64 - free_usage(is_retry);
        counted.max(0.0) / f64::from(self.weight_milli)
    }

    /// Returns the number of grants after which the level reaches `level`; negative if it is higher already.
    pub(super) fn grants_until(&self, level: f64, is_retry: bool) -> f64 {
        level * f64::from(self.weight_milli) - self.usage + free_usage(is_retry)
    }
}

fn free_usage(is_retry: bool) -> f64 {
    if is_retry { FREE_RETRY_USAGE } else { 0.0 }
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
    /// Requests that were granted a slot or queued, by the level of their team relative to the mean level;
    /// decays like usage.
    based_arrivals: [f64; LEVEL_BUCKETS],
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
        self.based_arrivals.iter_mut().for_each(|arrivals| *arrivals *= remaining);
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

    /// Records that a request was granted a slot or queued, with the level of its team when its turn comes.
    pub(super) fn record_arrival(&mut self, level: f64, now: Instant) {
        self.expire(now);
        let bucket = self.level_bucket(level, now);
        self.based_arrivals[bucket] += 1.0 / self.remaining_part(now);
    }

    /// Returns the rate per second of arrivals whose level was lower than `level`.
    pub(super) fn arrivals_below(&self, level: f64, now: Instant) -> f64 {
        let lower = &self.based_arrivals[..self.level_bucket(level, now)];
        lower.iter().sum::<f64>() * self.remaining_part(now) / USAGE_DECAY.as_secs_f64()
    }

    fn level_bucket(&self, level: f64, now: Instant) -> usize {
        let relative = level / self.mean_level(now).max(f64::MIN_POSITIVE);
        let bucket = (relative.log2() + LEVEL_OCTAVES) * BUCKETS_PER_OCTAVE;
        // The logarithm of a level of 0 is minus infinity, which is converted to 0.
        (bucket as usize).min(LEVEL_BUCKETS - 1)
    }

    /// Returns the usage of all teams relative to the sum of their weights.
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
