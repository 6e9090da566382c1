//! How a team's limit is divided into slices, and how a change of the limit takes effect.

use std::time::Duration;

use cuminramp_core::hash_parts;
use tokio::time::Instant;

use crate::{LedgerPolicy, Millitokens, TOKEN};

/// Rate and burst of a team, in millitokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamLimits {
    /// Millitokens per second.
    pub rate: Millitokens,
    /// Millitokens that may be spent at once.
    pub burst: Millitokens,
}

impl TeamLimits {
    /// Converts a rate in tokens per second and a burst in tokens. Fractions of a millitoken are
    /// dropped.
    ///
    /// ```
    /// assert_eq!(cuminramp_quota::TeamLimits::from_tokens(0.5, 2.0).rate, 500);
    /// ```
    pub fn from_tokens(rate: f64, burst: f64) -> Self {
        let milli = |tokens: f64| (tokens * TOKEN as f64).floor() as Millitokens;
        TeamLimits { rate: milli(rate), burst: milli(burst) }
    }
}

/// Returns the number of slices into which a limit is divided.
///
/// A higher rate gets more slices, so that its requests are spread over more hosts. The number is
/// capped so that a slice can hold at least one token; otherwise no host could admit a request
/// without borrowing.
pub fn slice_count(limits: TeamLimits, policy: &LedgerPolicy) -> u32 {
    let by_rate = limits.rate / policy.rate_per_slice.max(1);
    let desired = u64::from(policy.slices) + by_rate;
    let by_burst = (limits.burst / TOKEN).max(1);
    let max = u64::from(policy.max_slices.min(policy.shards)).max(1);
    desired.min(by_burst).min(max).max(1) as u32
}

/// Returns the shards that hold a team's slices. They are consecutive, since consecutive shards are
/// placed in different zones.
///
/// ```
/// let shards: Vec<u32> = cuminramp_quota::slice_shards("team", 3, 64).collect();
/// assert_eq!(shards[1], (shards[0] + 1) % 64);
/// ```
pub fn slice_shards(team: &str, count: u32, shards: u32) -> impl Iterator<Item = u32> + use<> {
    let first = (hash_parts(&["slice", team]) % u64::from(shards)) as u32;
    (0..count).map(move |index| (first + index) % shards)
}

/// Rate and burst of one slice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SliceLimits {
    pub(crate) rate: Millitokens,
    pub(crate) burst: Millitokens,
}

impl SliceLimits {
    const ZERO: SliceLimits = SliceLimits { rate: 0, burst: 0 };

    /// Returns the limits of slice `index`; zero if `limits` is divided into fewer slices.
    fn new(limits: TeamLimits, index: u32, policy: &LedgerPolicy) -> Self {
        let count = slice_count(limits, policy);
        if index >= count {
            return SliceLimits::ZERO;
        }
        let count = u64::from(count);
        SliceLimits { rate: limits.rate / count, burst: limits.burst / count }
    }

    /// Returns the lower rate and the lower burst of both.
    fn min(self, other: Self) -> Self {
        SliceLimits { rate: self.rate.min(other.rate), burst: self.burst.min(other.burst) }
    }
}

/// A team's limits in force on this host, and earlier ones that other hosts may still apply.
///
/// Hosts apply a configuration generation at different moments. If each raised its slices at once
/// while others still use the old limits or the old, larger number of slices, the sum of all slices
/// could exceed both the old and the new limit for some seconds. So a slice is lowered at once but
/// raised only when the generation is certain to be in force on every host: until then the sum is
/// at most the old limit, afterwards at most the new one.
#[derive(Clone, Debug)]
pub(crate) struct EffectiveLimits {
    current: TeamLimits,
    previous: Vec<PreviousLimits>,
}

/// Limits of an earlier generation, which other hosts may apply until `in_use_until`.
#[derive(Clone, Copy, Debug)]
struct PreviousLimits {
    in_use_until: Instant,
    limits: TeamLimits,
}

impl EffectiveLimits {
    pub(crate) fn new(limits: TeamLimits) -> Self {
        EffectiveLimits { current: limits, previous: Vec::new() }
    }

    /// Records the limits of the generation in force, which every host applies within `max_lag`.
    /// Returns whether the limits of slices may have changed.
    pub(crate) fn update(&mut self, limits: TeamLimits, max_lag: Duration, now: Instant) -> bool {
        let before = self.previous.len();
        self.previous.retain(|previous| previous.in_use_until > now);
        let expired = self.previous.len() != before;
        if self.current == limits {
            return expired;
        }
        self.previous.push(PreviousLimits { in_use_until: now + max_lag, limits: self.current });
        self.current = limits;
        true
    }

    fn all_limits(&self) -> impl Iterator<Item = TeamLimits> {
        let previous = self.previous.iter().map(|previous| previous.limits);
        previous.chain(std::iter::once(self.current))
    }

    /// Returns the number of slices to consider: the largest of all limits that may be in force on
    /// some host.
    pub(crate) fn slice_count(&self, policy: &LedgerPolicy) -> u32 {
        self.all_limits().map(|limits| slice_count(limits, policy)).max().unwrap_or(1)
    }

    /// Returns the limits of slice `index` at present: the lowest of all generations that may be in
    /// force.
    pub(crate) fn slice(&self, index: u32, policy: &LedgerPolicy) -> SliceLimits {
        let current = SliceLimits::new(self.current, index, policy);
        self.previous
            .iter()
            .fold(current, |lowest, old| lowest.min(SliceLimits::new(old.limits, index, policy)))
    }

    /// Returns the highest cost that a single request can be charged.
    pub(crate) fn max_request_cost(&self) -> Millitokens {
        self.all_limits().map(|limits| limits.burst).min().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
