//! The groups that this host owns.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::{HostId, Name};
use cuminramp_fleet::{
    GroupShare, HostMessage, ItemGrant, ItemLimit, OwnerFailure, SlotCommand, SlotGroup,
    SlotReport, SlotRequest, SlotResponse,
};
use tokio::time::Instant;

use super::cold::group_share;
use super::report::{keep_items, start_granted};
use super::{item_demand, owner_of};
use crate::peers::send_to_host;
use crate::state::{GatewayState, lock};

/// Between two looks at grants that were not used, hosts that fell silent, and free slots.
const TEND_EVERY: Duration = Duration::from_millis(25);
/// Every so many of these the host finds out which groups are its own.
const CLAIM_EVERY: u32 = 10;

/// Answers a question of this host or another.
pub(super) async fn answer_request(
    state: &Arc<GatewayState>,
    host: &HostId,
    group: &SlotGroup,
    request: &SlotRequest,
) -> SlotResponse {
    let now = Instant::now();
    let share = group_share(state, group, now);
    let response = {
        let mut placement = lock(&state.placement);
        let mut ledger = lock(&state.slots.ledger);
        let mut random = lock(&state.random);
        let owned = GroupShare { group, share: &share };
        ledger.answer(&mut placement, host, owned, request, &mut **random, now)
    };
    if *host != state.id() {
        send_to_host(state, HostMessage::Response(response), &host.address).await;
    }
    limit_items(state, group).await;
    response
}

/// Takes a question of another host.
pub(crate) async fn take_request(state: &Arc<GatewayState>, from: &Name, request: SlotRequest) {
    let host = HostId { address: from.clone(), incarnation: request.incarnation };
    let group = lock(&state.placement).group_of(request.group).cloned();
    // The targets of the group are not known here yet: the caller finds another owner.
    let Some(group) = group else { return };
    answer_request(state, &host, &group, &request).await;
}

/// Takes what another host has in flight.
pub(crate) async fn take_report(state: &Arc<GatewayState>, from: &Name, report: SlotReport) {
    let host = HostId { address: from.clone(), incarnation: report.incarnation };
    let group = {
        let mut placement = lock(&state.placement);
        let Some(group) = placement.group_of(report.group).cloned() else { return };
        let is_new =
            lock(&state.slots.ledger).receive_report(&mut placement, &host, report, Instant::now());
        if !is_new {
            return;
        }
        group
    };
    run_group(state, &group).await;
}

/// Lets items leave where more work is than slots, and hands free slots to items.
pub(super) async fn run_group(state: &Arc<GatewayState>, group: &SlotGroup) {
    limit_items(state, group).await;
    // Two owners that both handed free slots to items would fill them twice.
    if owner_of(state, group) == Some(state.id()) {
        grant_items(state, group).await;
    }
}

async fn limit_items(state: &Arc<GatewayState>, group: &SlotGroup) {
    let limits = {
        let placement = lock(&state.placement);
        lock(&state.slots.ledger).item_limits(&placement, group, Instant::now())
    };
    for ItemLimit { host, target, items } in limits {
        if host == state.id() {
            keep_items(state, target, items);
        } else {
            let command = SlotCommand::Limit { target, items };
            send_to_host(state, HostMessage::Command(command), &host.address).await;
        }
    }
}

async fn grant_items(state: &Arc<GatewayState>, group: &SlotGroup) {
    let own = item_demand(state, group);
    let now = Instant::now();
    lock(&state.slots.ledger).record_ownership(group.hash(), now);
    let share = group_share(state, group, now);
    let grants = {
        let mut placement = lock(&state.placement);
        let mut ledger = lock(&state.slots.ledger);
        ledger.grant_items(&mut placement, group, own, &share, now)
    };
    for ItemGrant { host, target, items, grant } in grants {
        if host == state.id() {
            start_granted(state, group, target, items);
        } else {
            let command = SlotCommand::Start { group: group.hash(), grant, target, items };
            send_to_host(state, HostMessage::Command(command), &host.address).await;
        }
    }
}

/// Takes the claim of another host that an owner is silent.
pub(crate) fn take_owner_failure(state: &GatewayState, from: &Name, failure: &OwnerFailure) {
    let failed = failure.failed_host();
    let is_new = lock(&state.slots.owners).receive_failure(from, &failed, Instant::now());
    if is_new {
        log::warn!(
            peer = &*failed.address, incarnation = failed.incarnation, source = &**from;
            "owner-passed-over"
        );
        state.slots.bring_all_forward();
    }
}

/// Looks after the groups that this host owns until the gateway stops.
pub(crate) async fn tend_slots(state: Arc<GatewayState>) {
    let mut turn = 0u32;
    loop {
        tokio::time::sleep(TEND_EVERY).await;
        if turn.is_multiple_of(CLAIM_EVERY) {
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
            let group = lock(&state.placement).group_of(hash).cloned();
            if let Some(group) = group {
                run_group(&state, &group).await;
            }
        }
    }
}

/// One line for each target that is set aside for failing too much, or used again.
fn log_outliers(state: &GatewayState) {
    let mut placement = lock(&state.placement);
    for change in placement.take_outlier_changes(Instant::now()) {
        let id = placement.by_hash(change.target).map(|target| target.id.clone());
        let message = if change.is_outlier { "target-set-aside" } else { "target-used-again" };
        log::warn!(
            target_id = id.as_deref().unwrap_or("-"), failures = change.failures,
            successes = change.successes;
            "{message}"
        );
    }
}

/// Takes note of the groups that are this host's, so that it is settled when the first items come.
fn record_owned_groups(state: &GatewayState) {
    let groups = lock(&state.placement).all_groups();
    for group in groups {
        if owner_of(state, &group).is_some_and(|owner| owner == state.id()) {
            lock(&state.slots.ledger).record_ownership(group.hash(), Instant::now());
        }
    }
}
