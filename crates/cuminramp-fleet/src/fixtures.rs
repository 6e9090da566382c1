//! Fixtures shared by several test modules.

use crate::heartbeat::{HostHeartbeat, KnownHost};

/// Returns a host whose address for callers is `{address}-callers`.
pub(crate) fn known_host(address: &str, incarnation: u64, zone: &str) -> KnownHost {
    KnownHost {
        address: address.into(),
        incarnation,
        caller_address: format!("{address}-callers").into(),
        zone: zone.into(),
        core_percent: 0,
    }
}

/// Returns a heartbeat of a ready host that has admitted nothing.
pub(crate) fn host_heartbeat(host: KnownHost, sequence: u64) -> HostHeartbeat {
    HostHeartbeat {
        host,
        sequence,
        is_ready: true,
        has_left: false,
        is_join_request: false,
        wants_hosts: false,
        is_probe: false,
        revision: 0,
        statuses: vec![],
        status_digest: 0,
        reaches_store: true,
        declarations_version: 1,
        targets_version: 1,
        usage: vec![],
        is_full: true,
        is_settled: true,
        known_hosts: vec![],
        crash_counts: vec![],
        ended: vec![],
        drains: vec![],
    }
}
