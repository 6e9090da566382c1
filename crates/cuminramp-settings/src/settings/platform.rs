//! Section `platform` of the settings.

use serde::{Deserialize, Serialize};

/// Access to the platform's services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlatformAccess {
    /// Address of the table, the objects and the host list, as `ip:port`.
    pub address: String,
    /// Timeout of one call, in milliseconds.
    pub timeout_ms: u64,
    /// Whether this host announces itself to the platform; off where the platform lists its hosts by
    /// itself.
    pub announce: bool,
    /// Maximum delay, in milliseconds, until a change of the hosts appears in the host list.
    pub list_lag_ms: u64,
}

impl Default for PlatformAccess {
    fn default() -> Self {
        PlatformAccess {
            address: "127.0.0.1:7000".into(),
            timeout_ms: 2_000,
            announce: true,
            list_lag_ms: 10_000,
        }
    }
}

duration_getters!(PlatformAccess {
    /// Timeout of one call.
    timeout = timeout_ms;
    /// Maximum delay until a change of the hosts appears in the host list.
    list_lag = list_lag_ms;
});
