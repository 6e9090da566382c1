//! Slot groups that this host owns: responds to requests, grants slots to items and limits them.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::{HostId, Name, RandomSource};
use cuminramp_fleet::{
    AdmissionRequest, AdmissionWithdrawal, GroupShare, HostMessage, ItemGrant, ItemLimit,
    OwnerFailure, PlacementTable, SlotCommand, SlotGroup, SlotLedger, SlotOutcome, SlotReport,
    SlotRequest, SlotResponse, SoftwareVersion,
};
use tokio::time::Instant;

use super::borrowed::{granted_hash, send_granted_target};
use super::cold::group_share;
use super::queue_monitor::QueueMonitor;
use super::report::{limit_running_items, start_granted_items};
use super::request::handle_response;
use super::{item_demand, owner_of};
use crate::peers::send_to_host;
use crate::state::{GatewayState, lock};

/// Interval at which unused grants and silent hosts are expired and free slots are granted to items.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which a host that can't own groups checks whether it can.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of maintenance intervals between two checks of which groups this host owns.
const OWNERSHIP_CHECK_TURNS: u32 = 10;

/// Makes a decision on the slots of a group that this host owns.
fn decide<T>(
    state: &GatewayState,
    group: &SlotGroup,
    now: Instant,
    decision: impl FnOnce(
        &mut SlotLedger,
        &mut PlacementTable,
        GroupShare<'_>,
        &mut dyn RandomSource,
    ) -> T,
) -> T {
    let share = group_share(state, group, now);
    let mut placement = lock(&state.placement);
    let mut ledger = lock(&state.slots.ledger);
    let mut random = lock(&state.random);
    let owned = GroupShare { group, share: &share, software: None };
    decision(&mut ledger, &mut placement, owned, &mut **random)
}

/// Responds to a slot request of this host or another, then sends item limits: the request may have left a
/// target with more work than slots.
pub(super) async fn respond_to_request(
    state: &Arc<GatewayState>,
    host: &HostId,
    group: &SlotGroup,
    request: &SlotRequest,
    software: Option<SoftwareVersion>,
) -> SlotResponse {
    let now = Instant::now();
    let response = decide(state, group, now, |ledger, placement, owned, random| {
        let owned = GroupShare { software, ..owned };
        ledger.respond(placement, host, owned, request, random, now)
    });
    if *host != state.id() {
        send_response(state, host, response).await;
    }
    send_item_limits(state, group).await;
    response
}

/// Returns the group of a request from another host, if this host can decide on its slots.
///
/// A host that knows targets by grants only responds that it has none. After a start of all hosts, silence would exclude
/// one host after the other from owning the group, although all of them are alive: the first ones are still reading the
/// targets, and the others never do. A host of a small fleet that has not read the targets of the group yet is silent,
/// so that the requesting host turns to the next owner.
async fn group_to_serve(
    state: &GatewayState,
    host: &HostId,
    request_id: u64,
    group: u32,
) -> Option<SlotGroup> {
    if state.borrows_targets() {
        let response = SlotResponse { request_id, outcome: SlotOutcome::NoTarget };
        send_response(state, host, response).await;
        return None;
    }
    lock(&state.placement).group_by_hash(group).cloned()
}

/// Handles a slot request from another host, for a target with `software` if that is given.
pub(crate) async fn handle_request(
    state: &Arc<GatewayState>,
    from: &Name,
    request: SlotRequest,
    software: Option<SoftwareVersion>,
) {
    let host = HostId { address: from.clone(), incarnation: request.incarnation };
    let group = group_to_serve(state, &host, request.request_id, request.group).await;
    let Some(group) = group else { return };
    respond_to_request(state, &host, &group, &request, software).await;
}

/// Responds to a request of this host or another for a slot of a group with an admission queue, and serves
/// the requests that wait: a slot may have become free since.
pub(super) async fn respond_to_admission(
    state: &Arc<GatewayState>,
    host: &HostId,
    group: &SlotGroup,
    request: &AdmissionRequest,
) -> SlotResponse {
    let now = Instant::now();
    let response = decide(state, group, now, |ledger, placement, owned, random| {
        ledger.admit(placement, host, owned, request, random, now)
    });
    if *host != state.id() {
        send_response(state, host, response).await;
    }
    serve_waiting(state, group).await;
    send_item_limits(state, group).await;
    response
}

/// Grants slots of a group to the requests that wait for them, and sends the responses, also those to waiting
/// requests that were rejected.
async fn serve_waiting(state: &Arc<GatewayState>, group: &SlotGroup) {
    if !lock(&state.slots.ledger).has_waiting(group.hash()) {
        return;
    }
    let now = Instant::now();
    let served = decide(state, group, now, |ledger, placement, owned, random| {
        ledger.serve_waiting(placement, owned, random, now)
    });
    for (host, response) in served {
        if host == state.id() {
            handle_response(state, &host.address, response);
        } else {
            send_response(state, &host, response).await;
        }
    }
}

/// Sends a response, and before it the target if it grants a slot.
async fn send_response(state: &GatewayState, host: &HostId, response: SlotResponse) {
    if let Some(hash) = granted_hash(response.outcome) {
        send_granted_target(state, host, hash).await;
    }
    send_to_host(state, HostMessage::Response(response), &host.address).await;
}

/// Handles a request from another host for a slot of a group with an admission queue.
pub(crate) async fn handle_admission_request(
    state: &Arc<GatewayState>,
    from: &Name,
    request: AdmissionRequest,
) {
    let host = HostId { address: from.clone(), incarnation: request.incarnation };
    let group = group_to_serve(state, &host, request.request_id, request.group).await;
    let Some(group) = group else { return };
    respond_to_admission(state, &host, &group, &request).await;
}

/// Handles the notice of another host that a request no longer waits.
pub(crate) async fn handle_admission_withdrawal(
    state: &Arc<GatewayState>,
    from: &Name,
    withdrawal: AdmissionWithdrawal,
) {
    let host = HostId { address: from.clone(), incarnation: withdrawal.incarnation };
    let group = {
        let mut placement = lock(&state.placement);
        let mut ledger = lock(&state.slots.ledger);
        ledger.withdraw(&mut placement, &host, &withdrawal, Instant::now());
        placement.group_by_hash(withdrawal.group).cloned()
    };
    if let Some(group) = group {
        serve_waiting(state, &group).await;
        send_item_limits(state, &group).await;
    }
}

/// Handles a report from another host of its work in flight and its waiting items.
pub(crate) async fn handle_report(state: &Arc<GatewayState>, from: &Name, report: SlotReport) {
    let host = HostId { address: from.clone(), incarnation: report.incarnation };
    let group = {
        let mut placement = lock(&state.placement);
        let Some(group) = placement.group_by_hash(report.group).cloned() else { return };
        let is_new =
            lock(&state.slots.ledger).receive_report(&mut placement, &host, report, Instant::now());
        if !is_new {
            return;
        }
        group
    };
    balance_group(state, &group).await;
}

/// Grants free slots to waiting requests, preempts items at targets with more work than slots, and grants
/// the remaining slots to items.
pub(super) async fn balance_group(state: &Arc<GatewayState>, group: &SlotGroup) {
    serve_waiting(state, group).await;
    send_item_limits(state, group).await;
    // Only the owner grants: two hosts that granted the same free slots to items would fill them twice.
    if owner_of(state, group) == Some(state.id()) {
        grant_items(state, group).await;
    }
}

async fn send_item_limits(state: &Arc<GatewayState>, group: &SlotGroup) {
    let limits = {
        let placement = lock(&state.placement);
        lock(&state.slots.ledger).item_limits(&placement, group, Instant::now())
    };
    for ItemLimit { host, target, items } in limits {
        if host == state.id() {
            limit_running_items(state, target, items);
        } else {
            let command = SlotCommand::Limit { target, items };
            send_to_host(state, HostMessage::Command(command), &host.address).await;
        }
    }
}

async fn grant_items(state: &Arc<GatewayState>, group: &SlotGroup) {
    let own_demand = item_demand(state, group);
    let now = Instant::now();
    lock(&state.slots.ledger).record_ownership(group.hash(), now);
    let share = group_share(state, group, now);
    let grants = {
        let mut placement = lock(&state.placement);
        let mut ledger = lock(&state.slots.ledger);
        ledger.grant_items(&mut placement, group, own_demand, &share, now)
    };
    for ItemGrant { host, target, items, grant } in grants {
        if host == state.id() {
            start_granted_items(state, group, target, items);
        } else {
            let command = SlotCommand::Start { group: group.hash(), grant, target, items };
            send_granted_target(state, &host, target).await;
            send_to_host(state, HostMessage::Command(command), &host.address).await;
        }
    }
}

/// Handles an owner failure report from another host. The owner is excluded here as well once two hosts have
/// reported it.
pub(crate) fn handle_owner_failure(state: &GatewayState, from: &Name, failure: &OwnerFailure) {
    let failed = failure.failed_host();
    let is_new = lock(&state.slots.owners).receive_failure(from, &failed, Instant::now());
    if is_new {
        log::warn!(
            peer = &*failed.address, incarnation = failed.incarnation, source = &**from;
            "owner-passed-over"
        );
        state.slots.bring_all_reports_forward();
    }
}

/// Maintains the groups that this host owns until the gateway stops.
pub(crate) async fn maintain_owned_groups(state: Arc<GatewayState>) {
    let mut turn = 0u32;
    let mut queues = QueueMonitor::default();
    loop {
        if state.borrows_targets() {
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        }
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        if turn.is_multiple_of(OWNERSHIP_CHECK_TURNS) {
            record_owned_groups(&state);
        }
        turn = turn.wrapping_add(1);
        log_outliers(&state);
        let owned = {
            let mut placement = lock(&state.placement);
            let mut ledger = lock(&state.slots.ledger);
            ledger.expire(&mut placement, Instant::now());
            ledger.owned()
        };
        for hash in owned {
            let group = lock(&state.placement).group_by_hash(hash).cloned();
            if let Some(group) = group {
                balance_group(&state, &group).await;
            }
        }
        queues.update(&state);
    }
}

/// Logs each target that was ejected as an outlier for failing too often, or reinstated.
fn log_outliers(state: &GatewayState) {
    let mut placement = lock(&state.placement);
    for change in placement.take_outlier_changes(Instant::now()) {
        let id = placement.target_by_hash(change.target).map(|target| target.id.clone());
        let message = if change.is_outlier { "target-set-aside" } else { "target-used-again" };
        log::warn!(
            target_id = id.as_deref().unwrap_or("-"), failures = change.failures,
            successes = change.successes;
            "{message}"
        );
    }
}

/// Records the groups that this host owns, so that its ownership has settled before the first items arrive.
fn record_owned_groups(state: &GatewayState) {
    let groups = lock(&state.placement).all_groups();
    for group in groups {
        if owner_of(state, &group).is_some_and(|owner| owner == state.id()) {
            lock(&state.slots.ledger).record_ownership(group.hash(), Instant::now());
        }
    }
}
