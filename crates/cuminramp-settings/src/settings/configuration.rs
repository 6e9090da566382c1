//! Section `configuration` of the settings.

use serde::{Deserialize, Serialize};

/// Distribution of declarations and keys by generation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ConfigurationSettings {
    /// Interval, in milliseconds, at which the table is polled for a newer generation.
    pub poll_ms: u64,
    /// Time, in milliseconds, for which a host continues to accept keys while it receives nothing from
    /// the table or from other daemons.
    pub unconfirmed_after_ms: u64,
    /// Maximum number of change sets kept for peers with older generations; a peer that lacks more of them
    /// gets a snapshot.
    pub log_generations: usize,
    /// Number of generations after which a snapshot is written.
    pub snapshot_every: u64,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        ConfigurationSettings {
            poll_ms: 2_000,
            unconfirmed_after_ms: 5_000,
            log_generations: 512,
            snapshot_every: 64,
        }
    }
}

duration_getters!(ConfigurationSettings {
    /// Interval at which the table is polled for a newer generation.
    poll_interval = poll_ms;
    /// Time for which a host continues to accept keys while it receives nothing from the table or from
    /// other daemons.
    unconfirmed_after = unconfirmed_after_ms;
});
