//! Section `steering` of the settings.

use serde::{Deserialize, Serialize};

/// Steering answers, which name the hosts that a caller should use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct SteeringSettings {
    /// Number of hosts that a steering answer names.
    pub homes: usize,
    /// Time, in milliseconds, for which a caller may cache a steering answer.
    pub keep_ms: u64,
}

impl Default for SteeringSettings {
    fn default() -> Self {
        SteeringSettings { homes: 3, keep_ms: 30_000 }
    }
}

duration_getters!(SteeringSettings {
    /// Time for which a caller may cache a steering answer.
    answer_ttl = keep_ms;
});
