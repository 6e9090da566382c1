//! Section `peers` of the settings.

use serde::{Deserialize, Serialize};

/// Membership (SWIM) and calls between daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PeerSettings {
    /// Interval between probes of other hosts, in milliseconds.
    pub probe_interval_ms: u64,
    /// Timeout of a probe, in milliseconds, after which other hosts are asked to probe the host.
    pub probe_timeout_ms: u64,
    /// Number of other hosts that are asked to probe a host after a probe timed out.
    pub indirect_probes: usize,
    /// Time, in milliseconds, in which a suspect member must show that it is alive before it counts as
    /// dead.
    pub suspicion_ms: u64,
    /// Timeout of calls other than probes, in milliseconds.
    pub call_timeout_ms: u64,
    /// Interval, in milliseconds, at which the platform's host list is read.
    pub list_poll_ms: u64,
    /// Maximum number of membership updates carried by one probe.
    pub updates_per_probe: usize,
    /// Time, in milliseconds, after which a host that is dead or has left is removed from the member
    /// table.
    pub forget_after_ms: u64,
}

impl Default for PeerSettings {
    fn default() -> Self {
        PeerSettings {
            probe_interval_ms: 250,
            probe_timeout_ms: 150,
            indirect_probes: 2,
            suspicion_ms: 3_000,
            call_timeout_ms: 500,
            list_poll_ms: 2_000,
            updates_per_probe: 8,
            forget_after_ms: 60_000,
        }
    }
}

duration_getters!(PeerSettings {
    /// Interval between probes of other hosts.
    probe_interval = probe_interval_ms;
    /// Timeout of a probe.
    probe_timeout = probe_timeout_ms;
    /// Time in which a suspect member must show that it is alive.
    suspicion_timeout = suspicion_ms;
    /// Timeout of calls other than probes.
    call_timeout = call_timeout_ms;
    /// Interval at which the platform's host list is read.
    list_poll_interval = list_poll_ms;
    /// Time after which a host that is dead or has left is removed from the member table.
    dead_host_ttl = forget_after_ms;
});
