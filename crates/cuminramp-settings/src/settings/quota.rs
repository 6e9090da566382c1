//! Section `quota` of the settings.

use serde::{Deserialize, Serialize};

/// Policy by which teams' rates and bursts are distributed over hosts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaPolicy {
    /// Each shard has an owner until the owner releases it or is confirmed dead.
    #[default]
    Shards,
    /// Baseline for comparisons: the lease of an owner expires after a fixed time.
    ExpiringLease,
    /// Baseline for comparisons: each host has an equal, fixed part.
    StaticSplit,
}

/// Distribution of teams' rates and bursts over hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct QuotaSettings {
    /// Policy by which rates and bursts are distributed.
    pub policy: QuotaPolicy,
    /// Number of shards; the same on every host and fixed for the lifetime of the table.
    pub shards: u32,
    /// Number of slices into which a team's rate is split, each on a shard of its own, before
    /// `slice-rate` adds more.
    pub slices: u32,
    /// Rate, in requests a second, for each multiple of which a team gets one further slice, up to
    /// `max-slices`.
    pub slice_rate: f64,
    /// Maximum number of slices of a team.
    pub max_slices: u32,
    /// Maximum time, in milliseconds, for which tokens borrowed from another host stay valid.
    pub borrow_valid_ms: u64,
    /// Maximum number of owners from which tokens are requested, one after the other, before a request
    /// is refused.
    pub borrow_attempts: usize,
    /// Interval, in milliseconds, at which shards are claimed, released and read.
    pub shard_poll_ms: u64,
    /// Maximum number of shards that a host hands over in one poll.
    pub moves_per_poll: usize,
    /// Duration of a lease under the baseline `expiring-lease`, in milliseconds.
    pub lease_ms: u64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings {
            policy: QuotaPolicy::Shards,
            shards: 128,
            slices: 3,
            slice_rate: 10.0,
            max_slices: 32,
            borrow_valid_ms: 1_000,
            borrow_attempts: 5,
            shard_poll_ms: 2_000,
            moves_per_poll: 16,
            lease_ms: 5_000,
        }
    }
}

duration_getters!(QuotaSettings {
    /// Maximum time for which tokens borrowed from another host stay valid.
    loan_validity = borrow_valid_ms;
    /// Interval at which shards are claimed, released and read.
    shard_poll_interval = shard_poll_ms;
    /// Duration of a lease under the baseline `expiring-lease`.
    lease_duration = lease_ms;
});
