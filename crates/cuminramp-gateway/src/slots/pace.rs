//! Paces that targets reported, passed on to the owners of slot groups and logged.

use cuminramp_core::HostId;
use cuminramp_fleet::{HostMessage, PaceReport, SlotGroup};
use tokio::time::Instant;

use crate::peers::send_to_host;
use crate::state::{GatewayState, lock};

/// Sends the paces that targets of a group reported to this host since the last call to the owner of the
/// group, if there are any.
pub(super) async fn send_paces(state: &GatewayState, group: &SlotGroup, owner: &HostId) {
    let paces = lock(&state.placement).take_reported_paces(group, Instant::now());
    if paces.is_empty() {
        return;
    }
    let incarnation = state.incarnation();
    let report = PaceReport { incarnation, group: group.hash(), paces };
    send_to_host(state, HostMessage::PaceReport(report), &owner.address).await;
}

/// Handles a report from another host of the paces of targets.
pub(crate) fn handle_pace_report(state: &GatewayState, report: &PaceReport) {
    lock(&state.placement).receive_paces(&report.paces, Instant::now());
}

/// Logs each target that became slow, or whose pace is usual again. `since_ms` is the time since its average
/// crossed the threshold.
pub(crate) fn log_pace_changes(state: &GatewayState) {
    let now = Instant::now();
    let changes = lock(&state.placement).take_pace_changes(now);
    for change in changes {
        let message = if change.is_slow { "target-slow" } else { "target-pace-usual" };
        log::warn!(
            target_id = &*change.target, pace = change.pace,
            since_ms = now.saturating_duration_since(change.since).as_millis() as u64;
            "{message}"
        );
    }
}
