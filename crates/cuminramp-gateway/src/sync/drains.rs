//! Applies operators' zone drains that come from the store or from other hosts.

use std::sync::Arc;

use cuminramp_fleet::ZoneDrain;
use cuminramp_platform::{RowChange, TableSnapshot};
use tokio::time::Instant;

use crate::state::{GatewayState, lock};

/// Applies the drains in a full snapshot of the declarations table, which also holds a row for each
/// zone that operators drain.
pub(super) fn apply_drain_snapshot(state: &Arc<GatewayState>, snapshot: &TableSnapshot) {
    let listed = snapshot.rows.iter().filter_map(|row| {
        let zone = state.fleet_format.drained_zone(&row.key)?;
        Some(ZoneDrain { zone, version: row.version, is_drained: true })
    });
    let now = Instant::now();
    let updates = lock(&state.drains).apply_snapshot(listed.collect(), snapshot.version, now);
    enforce(state, &updates, "store");
}

/// Applies the drains among changed rows of the declarations table.
pub(super) fn apply_drain_changes(state: &Arc<GatewayState>, changes: &[RowChange]) {
    let changed = changes.iter().filter_map(|change| {
        let zone = state.fleet_format.drained_zone(&change.row.key)?;
        Some(ZoneDrain { zone, version: change.row.version, is_drained: !change.is_deleted })
    });
    apply_drains(state, changed.collect(), "store");
}

/// Applies drains from the store or another host, named by `source` in the log.
pub(crate) fn apply_drains(state: &Arc<GatewayState>, offered: Vec<ZoneDrain>, source: &str) {
    if offered.is_empty() {
        return;
    }
    let now = Instant::now();
    let mut table = lock(&state.drains);
    let updates: Vec<ZoneDrain> =
        offered.into_iter().filter(|drain| table.record(drain.clone(), now)).collect();
    drop(table);
    enforce(state, &updates, source);
}

/// Puts new drains into force on this host and advertises them to other hosts with the next heartbeat.
fn enforce(state: &Arc<GatewayState>, updates: &[ZoneDrain], source: &str) {
    if updates.is_empty() {
        return;
    }
    let drained = lock(&state.drains).drained();
    lock(&state.placement).set_drained(drained, Instant::now());
    for drain in updates {
        let message = if drain.is_drained { "zone-drained" } else { "zone-in-use" };
        log::warn!(
            zone = &*drain.zone, row_version = drain.version, source = source;
            "{message}"
        );
    }
    state.request_heartbeat();
    state.item_slots_requested.notify_one();
}
