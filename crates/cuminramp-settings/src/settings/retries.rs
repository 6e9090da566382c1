//! Section `retries` of the settings.

use serde::{Deserialize, Serialize};

/// Retries of requests and quarantine of poison requests, which crash the targets that run them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct RetrySettings {
    /// Maximum number of attempts of one request, including the first.
    pub attempts: u32,
    /// Maximum rate of retries, as a share of the rate of requests.
    pub budget_share: f64,
    /// Maximum number of retries at once.
    pub budget_burst: f64,
    /// Time, in milliseconds, for which the fingerprint of a poison request stays quarantined.
    pub quarantine_ms: u64,
    /// Number of target crashes after which a fingerprint is quarantined.
    pub quarantine_after: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings {
            attempts: 3,
            budget_share: 0.1,
            budget_burst: 20.0,
            quarantine_ms: 600_000,
            quarantine_after: 2,
        }
    }
}

duration_getters!(RetrySettings {
    /// Time for which the fingerprint of a poison request stays quarantined.
    quarantine_duration = quarantine_ms;
});
