//! Recent use of a group's slots by each team, by which competing teams share the slots.
//!
//! Each granted slot counts as 1 and decays exponentially. Teams are compared by their relative usage, which
//! is their usage divided by their weight: the team with the lowest one gets the next slot.

use std::time::Duration;

use cuminramp_core::SortedMap;
use tokio::time::Instant;

/// Time constant of the exponential decay of usage, about the time for which a request holds its slot.
const USAGE_DECAY: Duration = Duration::from_secs(1);
/// Usage, in slots, that doesn't count against a retry. In small groups, one slot is more than the share of a
/// small team, so that its retry would be late for the benefit of first attempts of teams far above their
/// shares.
const RETRY_FREE_SLOTS: f64 = 2.0;
/// Number of buckets of the histogram of arrivals by relative usage. The buckets are of equal width on a
/// logarithmic scale, from a sixteenth of the mean relative usage to 16 times the mean.
const USAGE_BUCKETS: usize = 32;
/// Number of octaves that the histogram covers below the mean relative usage, and as many above.
const OCTAVES_EACH_SIDE: f64 = 4.0;
/// Number of buckets in each octave: [`USAGE_BUCKETS`] divided by the octaves on both sides.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Usage, in slots, below which a team counts as not using the group.
const MIN_USAGE_SLOTS: f64 = 0.01;
/// Interval at which usages are converted to the current time and idle teams are dropped. The hosts of
/// waiting requests repeat them more often, so that their teams are not dropped.
const REBASE_INTERVAL: Duration = Duration::from_secs(1);

/// Use of a group's slots by one team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamShare {
    /// Hash of the team's name.
    pub team: u32,
    /// Number of slots that were granted to the team, each of which decays with a time constant of 1 s.
    pub usage: f64,
    /// Weight of the team's share, in thousandths.
    pub weight_milli: u32,
}

impl TeamShare {
    /// Returns the team's usage divided by its weight after `grants` more grants, as it counts for a retry or
    /// for a first attempt.
    pub(super) fn relative_usage_after(&self, grants: usize, is_retry: bool) -> f64 {
        let counted = self.usage + grants as f64 - uncounted_usage(is_retry);
        counted.max(0.0) / f64::from(self.weight_milli)
    }

    /// Returns the number of grants after which the team's relative usage reaches `relative_usage`; negative
    /// if it is higher already.
    pub(super) fn grants_until(&self, relative_usage: f64, is_retry: bool) -> f64 {
        relative_usage * f64::from(self.weight_milli) - self.usage + uncounted_usage(is_retry)
    }
}

fn uncounted_usage(is_retry: bool) -> f64 {
    if is_retry { RETRY_FREE_SLOTS } else { 0.0 }
}

#[derive(Clone, Copy, Debug)]
struct ShareEntry {
    /// Usage as of `ShareTable::base_time`. A later grant adds more than 1, so that 1 is left of it at the
    /// time of the grant. Usages of different teams can therefore be compared without converting each to the
    /// current time.
    usage_at_base: f64,
    weight_milli: u32,
    last_request_at: Instant,
}

/// Usage and weight of the teams that requested slots of a group lately.
#[derive(Debug, Default)]
pub(super) struct ShareTable {
    teams: SortedMap<u32, ShareEntry>,
    /// Time for which usages and arrivals are stored; `None` before the first record.
    base_time: Option<Instant>,
    /// Sum of the usages of all teams, as of `base_time`.
    total_usage_at_base: f64,
    /// Sum of the weights of all teams, in thousandths.
    total_weight_milli: f64,
    /// Histogram of the requests that were granted a slot or queued, by the relative usage of their team
    /// divided by the mean relative usage. Decays like usage, as of `base_time`.
    arrivals_at_base: [f64; USAGE_BUCKETS],
}

impl ShareTable {
    /// Returns the factor by which usages have decayed since `base_time`.
    fn decay_factor(&self, now: Instant) -> f64 {
        let elapsed =
            self.base_time.map_or(Duration::ZERO, |base| now.saturating_duration_since(base));
        (-elapsed.as_secs_f64() / USAGE_DECAY.as_secs_f64()).exp()
    }

    /// Converts all usages to the current time and drops teams that neither have usage nor requested a slot
    /// lately. Does so at most once in [`REBASE_INTERVAL`].
    pub(super) fn expire(&mut self, now: Instant) {
        let base = *self.base_time.get_or_insert(now);
        if now.saturating_duration_since(base) < REBASE_INTERVAL {
            return;
        }
        let decay = self.decay_factor(now);
        self.base_time = Some(now);
        self.arrivals_at_base.iter_mut().for_each(|arrivals| *arrivals *= decay);
        self.teams.retain(|_, entry| {
            entry.usage_at_base *= decay;
            let idle = now.saturating_duration_since(entry.last_request_at);
            entry.usage_at_base >= MIN_USAGE_SLOTS || idle < REBASE_INTERVAL
        });
        let entries = self.teams.values();
        self.total_usage_at_base = entries.map(|entry| entry.usage_at_base).sum();
        let weights = self.teams.values().map(|entry| f64::from(entry.weight_milli));
        self.total_weight_milli = weights.sum();
    }

    /// Records that a team requested a slot, and the weight of its share. A weight of 0 counts as 1.
    pub(super) fn record_request(&mut self, team: u32, weight_milli: u32, now: Instant) {
        self.expire(now);
        let weight_milli = weight_milli.max(1);
        let new_entry = || ShareEntry { usage_at_base: 0.0, weight_milli: 0, last_request_at: now };
        let entry = self.teams.get_or_insert_with(team, new_entry);
        self.total_weight_milli += f64::from(weight_milli) - f64::from(entry.weight_milli);
        entry.weight_milli = weight_milli;
        entry.last_request_at = entry.last_request_at.max(now);
    }

    /// Adds a slot that a team was granted to its usage.
    pub(super) fn record_grant(&mut self, team: u32, weight_milli: u32, now: Instant) {
        self.record_request(team, weight_milli, now);
        let grant_at_base = 1.0 / self.decay_factor(now);
        if let Some(entry) = self.teams.get_mut(&team) {
            entry.usage_at_base += grant_at_base;
            self.total_usage_at_base += grant_at_base;
        }
    }

    /// Returns the shares of `teams`, which must be in ascending order: both lists are then walked once.
    pub(super) fn shares_of(
        &self,
        teams: impl Iterator<Item = u32>,
        now: Instant,
    ) -> impl Iterator<Item = TeamShare> {
        let decay = self.decay_factor(now);
        let mut entries = self.teams.iter().peekable();
        teams.map(move |team| {
            while entries.next_if(|(other, _)| **other < team).is_some() {}
            match entries.peek() {
                Some((other, entry)) if **other == team => entry.share(team, decay),
                _ => TeamShare { team, usage: 0.0, weight_milli: 1 },
            }
        })
    }

    /// Returns the share of one team. For a team that is not in the table, the weight is that of its request.
    pub(super) fn share(&self, team: u32, weight_milli: u32, now: Instant) -> TeamShare {
        match self.teams.get(&team) {
            Some(entry) => entry.share(team, self.decay_factor(now)),
            None => TeamShare { team, usage: 0.0, weight_milli: weight_milli.max(1) },
        }
    }

    /// Records that a request was granted a slot or queued, and the relative usage that its team has when the
    /// request gets its slot.
    pub(super) fn record_arrival(&mut self, relative_usage: f64, now: Instant) {
        self.expire(now);
        let bucket = self.usage_bucket(relative_usage, now);
        self.arrivals_at_base[bucket] += 1.0 / self.decay_factor(now);
    }

    /// Returns the rate per second of arrivals with a lower relative usage.
    pub(super) fn arrivals_below(&self, relative_usage: f64, now: Instant) -> f64 {
        let lower = &self.arrivals_at_base[..self.usage_bucket(relative_usage, now)];
        lower.iter().sum::<f64>() * self.decay_factor(now) / USAGE_DECAY.as_secs_f64()
    }

    /// Returns the index of the bucket of `arrivals_at_base` for a relative usage.
    fn usage_bucket(&self, relative_usage: f64, now: Instant) -> usize {
        let ratio = relative_usage / self.mean_relative_usage(now).max(f64::MIN_POSITIVE);
        let bucket = (ratio.log2() + OCTAVES_EACH_SIDE) * BUCKETS_PER_OCTAVE;
        // The logarithm of 0 is minus infinity, which the cast converts to 0.
        (bucket as usize).min(USAGE_BUCKETS - 1)
    }

    /// Returns the sum of all teams' usages divided by the sum of their weights.
    pub(super) fn mean_relative_usage(&self, now: Instant) -> f64 {
        self.total_usage_at_base * self.decay_factor(now) / self.total_weight_milli.max(1.0)
    }

    /// Returns the `max` teams with the highest usage, in descending order.
    pub(super) fn highest_usage(&self, max: usize, now: Instant) -> Vec<TeamShare> {
        let decay = self.decay_factor(now);
        let mut shares: Vec<TeamShare> =
            self.teams.iter().map(|(team, entry)| entry.share(*team, decay)).collect();
        shares.sort_by(|one, other| other.usage.total_cmp(&one.usage));
        shares.truncate(max);
        shares
    }
}

impl ShareEntry {
    fn share(&self, team: u32, decay_factor: f64) -> TeamShare {
        let usage = self.usage_at_base * decay_factor;
        TeamShare { team, usage, weight_milli: self.weight_milli }
    }
}
