//! How a team's limit is cut into slices, and how a change of limit takes effect.

use std::time::Duration;

use cuminramp_core::hash_parts;
use tokio::time::Instant;

use crate::{LedgerPolicy, Millitokens, TOKEN};

/// A team's rate and burst in millitokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamLimits {
    /// A second.
    pub rate: Millitokens,
    /// At once.
    pub burst: Millitokens,
}

impl TeamLimits {
    /// Limits from tokens a second and tokens at once.
    ///
    /// ```
    /// assert_eq!(cuminramp_quota::TeamLimits::from_tokens(0.5, 2.0).rate, 500);
    /// ```
    pub fn from_tokens(rate: f64, burst: f64) -> Self {
        let milli = |tokens: f64| (tokens * TOKEN as f64).floor() as Millitokens;
        TeamLimits { rate: milli(rate), burst: milli(burst) }
    }
}

/// Into how many slices a limit is cut.
///
/// More for a large rate, so that its requests spread over more hosts, and never so many that a
/// slice can't hold one token: then no single host could ever admit a request by itself.
pub fn slice_count(limits: TeamLimits, policy: &LedgerPolicy) -> u32 {
    let by_rate = limits.rate / policy.slice_rate.max(1);
    let wanted = u64::from(policy.slices) + by_rate;
    let by_burst = (limits.burst / TOKEN).max(1);
    let most = u64::from(policy.max_slices.min(policy.shards)).max(1);
    wanted.min(by_burst).min(most).max(1) as u32
}

/// The shards that hold a team's slices: neighbours, since neighbours lie in different zones.
///
/// ```
/// let shards: Vec<u32> = cuminramp_quota::slice_shards("team", 3, 64).collect();
/// assert_eq!(shards[1], (shards[0] + 1) % 64);
/// ```
pub fn slice_shards(team: &str, count: u32, shards: u32) -> impl Iterator<Item = u32> + use<> {
    let first = (hash_parts(&["slice", team]) % u64::from(shards)) as u32;
    (0..count).map(move |index| (first + index) % shards)
}

/// What one slice may have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SliceLimits {
    pub(crate) rate: Millitokens,
    pub(crate) burst: Millitokens,
}

impl SliceLimits {
    const NOTHING: SliceLimits = SliceLimits { rate: 0, burst: 0 };

    /// What slice number `index` of `limits` may have; nothing where there are fewer slices.
    fn cut(limits: TeamLimits, index: u32, policy: &LedgerPolicy) -> Self {
        let count = slice_count(limits, policy);
        if index >= count {
            return SliceLimits::NOTHING;
        }
        let count = u64::from(count);
        SliceLimits { rate: limits.rate / count, burst: limits.burst / count }
    }

    fn least(self, other: Self) -> Self {
        SliceLimits { rate: self.rate.min(other.rate), burst: self.burst.min(other.burst) }
    }
}

/// A team's limits in force on this host, and those that other hosts may still go by.
///
/// Hosts take a generation at different moments. Were each to raise its slices at once while others
/// still hold the old, larger number of slices or the old cut, the sum could exceed both the old and
/// the new limit for some seconds. So a slice is lowered at once and raised only when the generation
/// is surely in force everywhere: before that moment the sum is under the old limit, after it under
/// the new.
#[derive(Clone, Debug)]
pub(crate) struct Allotment {
    newest: TeamLimits,
    older: Vec<OlderLimits>,
}

/// Limits of an earlier generation, and until when another host may go by them.
#[derive(Clone, Copy, Debug)]
struct OlderLimits {
    until: Instant,
    limits: TeamLimits,
}

impl Allotment {
    pub(crate) fn new(limits: TeamLimits) -> Self {
        Allotment { newest: limits, older: Vec::new() }
    }

    /// Notes the limits of the generation in force; says whether slices may have changed.
    pub(crate) fn update(&mut self, limits: TeamLimits, settle: Duration, now: Instant) -> bool {
        let before = self.older.len();
        self.older.retain(|older| older.until > now);
        let expired = self.older.len() != before;
        if self.newest == limits {
            return expired;
        }
        self.older.push(OlderLimits { until: now + settle, limits: self.newest });
        self.newest = limits;
        true
    }

    fn all(&self) -> impl Iterator<Item = TeamLimits> {
        let older = self.older.iter().map(|older| older.limits);
        older.chain(std::iter::once(self.newest))
    }

    /// How many slices to look at: all that any of the limits has.
    pub(crate) fn slices(&self, policy: &LedgerPolicy) -> u32 {
        self.all().map(|limits| slice_count(limits, policy)).max().unwrap_or(1)
    }

    /// What slice number `index` may have now.
    pub(crate) fn slice(&self, index: u32, policy: &LedgerPolicy) -> SliceLimits {
        let newest = SliceLimits::cut(self.newest, index, policy);
        self.older
            .iter()
            .fold(newest, |least, older| least.least(SliceLimits::cut(older.limits, index, policy)))
    }

    /// The most that one request can cost.
    pub(crate) fn burst(&self) -> Millitokens {
        self.all().map(|limits| limits.burst).min().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
