//! Reports of this host to the owners of slot groups, and commands from owners for batch items.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use cuminramp_core::{HostId, Name};
use cuminramp_fleet::{HostMessage, SlotCommand, SlotGroup, SlotReport};
use tokio::time::{Instant, sleep_until};

use super::borrowed::await_target;
use super::owner::balance_group;
use super::pace::send_paces;
use super::{groups_of, item_demand, owner_of};
use crate::jobs::{fill_slots, waiting_pools};
use crate::peers::send_to_host;
use crate::state::{GatewayState, lock};

/// Sends reports until the gateway stops: soon after a change, and at intervals while requests or items are
/// in flight or items wait.
pub(crate) async fn send_reports(state: Arc<GatewayState>) {
    loop {
        let next = lock(&state.slots.report_timer).next_due();
        let due = async {
            match next {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => {}
            () = state.slots.report_timer_changed.notified() => continue,
        }
        let groups = {
            let placement = lock(&state.placement);
            let pools = waiting_pools(&state);
            let is_busy =
                |group: &SlotGroup| placement.is_busy_in(group) || pools.contains(&group.pool);
            lock(&state.slots.report_timer).take_due(is_busy, Instant::now())
        };
        for group in groups {
            report_group(&state, &group).await;
        }
    }
}

async fn report_group(state: &Arc<GatewayState>, group: &SlotGroup) {
    match owner_of(state, group) {
        None => {}
        Some(owner) if owner == state.id() => balance_group(state, group).await,
        Some(owner) => {
            let report = build_report(state, group, &owner);
            send_to_host(state, HostMessage::Report(report), &owner.address).await;
            send_paces(state, group, &owner).await;
        }
    }
}

fn build_report(state: &GatewayState, group: &SlotGroup, owner: &HostId) -> SlotReport {
    let now = Instant::now();
    let demand = item_demand(state, group);
    let acknowledged_grant = state.slots.acknowledge_grants(&owner.address);
    let mut placement = lock(&state.placement);
    SlotReport {
        incarnation: state.incarnation(),
        sequence: state.slots.report_sequence.fetch_add(1, Ordering::Relaxed),
        group: group.hash(),
        acknowledged_grant,
        loads: placement.own_loads(group),
        reported_loads: placement.take_reported_loads(group),
        outcomes: placement.own_outcomes(group, now),
        avoided: placement.avoided(group, now),
        demand,
    }
}

/// Reports waiting items to owners: to the owner in this host's zone at once, to those of other zones with
/// the next scheduled report. If all owners received the demand at once, each would grant slots for the
/// same items.
pub(crate) fn request_item_slots(state: &GatewayState) {
    for pool in waiting_pools(state) {
        let groups = groups_of(state, &pool);
        for group in groups {
            if group.zone == state.local_host.zone {
                state.slots.bring_report_forward(&group);
            } else {
                state.slots.schedule_report(&group);
            }
        }
    }
}

/// Handles a command from an owner.
pub(crate) fn handle_command(state: &Arc<GatewayState>, from: &Name, command: SlotCommand) {
    match command {
        SlotCommand::Limit { target, items } => limit_running_items(state, target, items),
        SlotCommand::Start { group, grant, target, items } => {
            if !state.slots.accept_grant(from, grant) {
                return;
            }
            let state = state.clone();
            tokio::spawn(async move {
                await_target(&state, target).await;
                let group = lock(&state.placement).group_by_hash(group).cloned();
                if let Some(group) = group {
                    start_granted_items(&state, &group, target, items);
                }
            });
        }
    }
}

/// Preempts items of this host at a target until at most `items` are left there.
pub(super) fn limit_running_items(state: &GatewayState, target: u32, items: u16) {
    let Some(id) = lock(&state.placement).target_by_hash(target).map(|target| target.id.clone())
    else {
        return;
    };
    let stopped = state.running_items.preempt_down_to(&id, u32::from(items));
    if stopped > 0 {
        log::info!(target_id = &*id, kept = items, stopped = stopped; "items-give-way");
    }
}

/// Starts up to `items` items in slots granted to this host. Slots that it can't use return to the owner with
/// the next report, which is then sent soon.
pub(super) fn start_granted_items(
    state: &Arc<GatewayState>,
    group: &SlotGroup,
    target: u32,
    items: u16,
) {
    let usable_target = {
        let placement = lock(&state.placement);
        let is_avoided = placement.avoided(group, Instant::now()).contains(&target);
        placement.target_by_hash(target).filter(|_| !is_avoided).cloned()
    };
    let started = usable_target.map_or(0, |target| fill_slots(state, &group.pool, &target, items));
    if started < items {
        state.slots.bring_report_forward(group);
    } else {
        state.slots.schedule_report(group);
    }
}
