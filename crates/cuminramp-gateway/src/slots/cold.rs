//! Limits what this host sends to cold targets, which have just started.

use cuminramp_core::Name;
use cuminramp_fleet::{ColdShare, SlotGroup};
use tokio::time::Instant;

use super::owner_of;
use crate::state::{GatewayState, lock};

/// Returns the share of the rate of a group's cold targets that this host may grant when it acts as the
/// owner of the group.
///
/// Hosts that are cut off from each other each consider themselves the owner. Only one part of the fleet
/// can receive heartbeats from most hosts of the zone, so only the owner in that part gets the owner's
/// share. Otherwise the owners of all parts together would exceed the rate of a cold target.
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
    share_without_owner(state, &group.pool, Some(group), now)
}

/// Returns the cold targets to which this host may send without an owner's grant.
///
/// For each target, rendezvous hashing selects a few hosts that may send to it. The requests of all of them
/// together stay below what the cold target can handle.
pub(super) fn share_without_owner(
    state: &GatewayState,
    pool: &str,
    group: Option<&SlotGroup>,
    now: Instant,
) -> ColdShare {
    let placement = lock(&state.placement);
    let cold: Vec<(Name, u32, usize)> = placement
        .cold_targets(pool, group, now)
        .into_iter()
        .filter_map(|(hash, hosts)| Some((placement.target_by_hash(hash)?.id.clone(), hash, hosts)))
        .collect();
    drop(placement);
    let peers = lock(&state.peers);
    let permitted = cold.into_iter().filter(|(id, _, hosts)| peers.rank(id) < *hosts);
    ColdShare::WithoutOwner(permitted.map(|(_, hash, _)| hash).collect())
}
