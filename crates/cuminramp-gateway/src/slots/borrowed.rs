//! Targets that a host gets with the grants of their slots, since it does not know all targets of a large fleet.

use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminramp_core::{HostId, Name};
use cuminramp_fleet::{FleetTarget, HostMessage, SlotOutcome};
use tokio::time::{Instant, sleep};

use crate::peers::send_to_host;
use crate::state::{GatewayState, lock};

/// Wait for a target whose message was overtaken by the grant.
const TARGET_WAIT: Duration = Duration::from_millis(2);

/// Sends the target of a grant to the host that gets the grant, which may not know it. Sent before the grant.
pub(super) async fn send_granted_target(state: &GatewayState, host: &HostId, hash: u32) {
    if !lock(&state.peers).uses_probes() {
        return;
    }
    let target = lock(&state.placement).target_by_hash(hash).cloned();
    if let Some(target) = target {
        send_to_host(state, HostMessage::Target(target), &host.address).await;
    }
}

/// Returns the target of an outcome that grants a slot.
pub(super) fn granted_hash(outcome: SlotOutcome) -> Option<u32> {
    match outcome {
        SlotOutcome::Granted { target, .. } | SlotOutcome::GrantedAfterWait { target, .. } => {
            Some(target)
        }
        _ => None,
    }
}

/// Waits a moment for the target of a grant if it is not known yet.
pub(super) async fn await_target(state: &GatewayState, hash: u32) {
    let is_known = || lock(&state.placement).target_by_hash(hash).is_some();
    if state.borrows_targets() && !is_known() {
        sleep(TARGET_WAIT).await;
    }
}

/// Handles a target that comes with a grant.
pub(crate) fn handle_target(state: &GatewayState, target: FleetTarget) {
    // The lock keeps this host from reading the table of targets in between.
    let mut borrowed = lock(&state.slots.borrowed);
    if state.borrows_targets() {
        borrowed.record(target.id.clone(), Instant::now());
        lock(&state.placement).put(target);
    }
}

/// Forgets targets of which this host got no slot for a while.
pub(crate) fn return_targets(state: &GatewayState, now: Instant) {
    let mut borrowed = lock(&state.slots.borrowed);
    for id in borrowed.expired(now) {
        if lock(&state.placement).remove_if_idle(&id) {
            borrowed.forget(&id);
        }
    }
}

/// Records that this host has read the table of targets, whose identities are `listed`, and removes those that it
/// knew by grants only and that the table lacks.
pub(crate) fn stop_borrowing(state: &GatewayState, listed: Vec<Name>) {
    let mut borrowed = lock(&state.slots.borrowed);
    state.holds_targets.store(true, Ordering::Relaxed);
    lock(&state.placement).begin_watch(Instant::now());
    for id in borrowed.end(listed) {
        lock(&state.placement).remove(&id);
    }
}
