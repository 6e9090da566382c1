//! What this host tells owners of slots, and what they tell it to do with batch items.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use cuminramp_core::{HostId, Name};
use cuminramp_fleet::{HostMessage, SlotCommand, SlotGroup, SlotReport};
use tokio::time::{Instant, sleep_until};

use super::owner::run_group;
use super::{item_demand, owner_of};
use crate::jobs::{fill_slots, waiting_pools};
use crate::peers::send_to_host;
use crate::state::{GatewayState, lock};

/// Sends reports until the gateway stops: soon after changes, and at intervals while anything is in
/// flight or waits.
pub(crate) async fn send_reports(state: Arc<GatewayState>) {
    loop {
        let next = lock(&state.slots.reports).next();
        let due = async {
            match next {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => {}
            () = state.slots.report_wanted.notified() => continue,
        }
        let groups = {
            let placement = lock(&state.placement);
            let pools = waiting_pools(&state);
            let is_busy =
                |group: &SlotGroup| placement.is_busy_in(group) || pools.contains(&group.pool);
            lock(&state.slots.reports).take_due(is_busy, Instant::now())
        };
        for group in groups {
            report_group(&state, &group).await;
        }
    }
}

async fn report_group(state: &Arc<GatewayState>, group: &SlotGroup) {
    match owner_of(state, group) {
        None => {}
        Some(owner) if owner == state.id() => run_group(state, group).await,
        Some(owner) => {
            let report = make_report(state, group, &owner);
            send_to_host(state, HostMessage::Report(report), &owner.address).await;
        }
    }
}

fn make_report(state: &GatewayState, group: &SlotGroup, owner: &HostId) -> SlotReport {
    let now = Instant::now();
    let demand = item_demand(state, group);
    let acknowledged_grant = state.slots.tell_grants(&owner.address);
    let mut placement = lock(&state.placement);
    SlotReport {
        incarnation: state.me.incarnation,
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

/// Tells owners that items wait: that of the own zone at once, those of others with the next report.
/// Did all learn it at once, each would hand out slots for the same items.
pub(crate) fn ask_for_item_slots(state: &GatewayState) {
    for pool in waiting_pools(state) {
        let groups = lock(&state.placement).groups(&pool);
        for group in groups {
            if group.zone == state.me.zone {
                state.slots.bring_forward(&group);
            } else {
                state.slots.schedule(&group);
            }
        }
    }
}

/// Takes an order of an owner.
pub(crate) fn take_command(state: &Arc<GatewayState>, from: &Name, command: SlotCommand) {
    match command {
        SlotCommand::Limit { target, items } => keep_items(state, target, items),
        SlotCommand::Start { group, grant, target, items } => {
            let is_usable = state.slots.take_grant(from, grant);
            let group = lock(&state.placement).group_of(group).cloned();
            if let Some(group) = group.filter(|_| is_usable) {
                start_granted(state, &group, target, items);
            }
        }
    }
}

/// Lets items leave a target until only so many stay.
pub(super) fn keep_items(state: &GatewayState, target: u32, items: u16) {
    let Some(id) = lock(&state.placement).by_hash(target).map(|target| target.id.clone()) else {
        return;
    };
    let stopped = state.running.keep(&id, u32::from(items));
    if stopped > 0 {
        log::info!(target_id = &*id, kept = items, stopped = stopped; "items-give-way");
    }
}

/// Starts items in slots that were handed to this host. Slots that it has no use for go back with the
/// next report.
pub(super) fn start_granted(state: &Arc<GatewayState>, group: &SlotGroup, target: u32, items: u16) {
    let found = {
        let placement = lock(&state.placement);
        let is_avoided = placement.avoided(group, Instant::now()).contains(&target);
        placement.by_hash(target).filter(|_| !is_avoided).cloned()
    };
    let started = found.map_or(0, |target| fill_slots(state, &group.pool, &target, items));
    if started < items {
        state.slots.bring_forward(group);
    } else {
        state.slots.schedule(group);
    }
}
