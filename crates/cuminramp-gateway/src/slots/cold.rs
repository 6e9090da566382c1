//! What this host may send to targets that have just started.

use cuminramp_core::Name;
use cuminramp_fleet::{ColdShare, SlotGroup};
use tokio::time::Instant;

use super::owner_of;
use crate::state::{GatewayState, lock};

/// What this host may hand out as the one that answers for a group.
///
/// Hosts that are cut off from each other all believe that they own the group. Only one part of the fleet
/// can hear most hosts of the zone, so only its owner has the owner's share.
pub(super) fn group_share(state: &GatewayState, group: &SlotGroup, now: Instant) -> ColdShare {
    if lock(&state.placement).cold_targets(&group.pool, Some(group), now).is_empty() {
        return ColdShare::Owner;
    }
    let is_owner = owner_of(state, group) == Some(state.id());
    let has_majority = lock(&state.peers).has_majority_in(&group.zone, now);
    if is_owner && has_majority && lock(&state.slots.ledger).may_use_cold_targets(group.hash(), now)
    {
        return ColdShare::Owner;
    }
    lone_share(state, &group.pool, Some(group), now)
}

/// What this host may send by itself: only a few hosts may, drawn by rendezvous for each target, so that
/// what all of them send stays below what a cold target bears.
pub(super) fn lone_share(
    state: &GatewayState,
    pool: &str,
    group: Option<&SlotGroup>,
    now: Instant,
) -> ColdShare {
    let placement = lock(&state.placement);
    let cold: Vec<(Name, u32, usize)> = placement
        .cold_targets(pool, group, now)
        .into_iter()
        .filter_map(|(hash, hosts)| Some((placement.by_hash(hash)?.id.clone(), hash, hosts)))
        .collect();
    drop(placement);
    let peers = lock(&state.peers);
    let mine = cold.into_iter().filter(|(id, _, hosts)| peers.rank(id) < *hosts);
    ColdShare::Alone(mine.map(|(_, hash, _)| hash).collect())
}
