//! Which batch items get free slots, and which leave for callers.

use std::time::Duration;

use cuminramp_core::HostId;
use tokio::time::Instant;

use super::SlotLedger;
use crate::demand::{ItemDemand, allocate_slots};
use crate::heartbeat::TargetLoad;
use crate::placement::{ColdShare, PlacementTable};
use crate::slots::SlotGroup;

/// An item leaves a target within a few milliseconds of being asked to, and its host reports it.
const REPEAT_LIMIT: Duration = Duration::from_millis(15);
/// Grants of items in one round, so that an owner does not stop for a burst of jobs.
const MOST_ITEM_GRANTS: usize = 64;

/// Slots for batch items of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemGrant {
    /// The host that may start them.
    pub host: HostId,
    /// The target.
    pub target: u32,
    /// How many.
    pub items: u16,
    /// The number of the grant.
    pub grant: u64,
}

/// How many batch items a host may keep at a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemLimit {
    /// The host that has items there.
    pub host: HostId,
    /// The target.
    pub target: u32,
    /// How many may stay.
    pub items: u16,
}

impl SlotLedger {
    /// Hands free slots of a group to waiting items, the most urgent of all hosts first. `own` are the
    /// items that wait at this host.
    pub fn grant_items(
        &mut self,
        placement: &mut PlacementTable,
        group: &SlotGroup,
        own: Vec<ItemDemand>,
        share: &ColdShare,
        now: Instant,
    ) -> Vec<ItemGrant> {
        let hash = group.hash();
        let mut grants: Vec<ItemGrant> = Vec::new();
        if !self.is_settled(hash, now) {
            return grants;
        }
        let mut demands = vec![(self.me.clone(), own)];
        let told =
            self.accounts.iter().filter(|((_, of), account)| *of == hash && account.is_alive(now));
        demands.extend(told.map(|((host, _), account)| (host.clone(), account.demand())));
        demands.retain(|(_, waiting)| !waiting.is_empty());
        if demands.is_empty() {
            return grants;
        }
        let mut free = placement.free_for_items(group, share, now);
        let reserve = self.owned.get_mut(&hash).map_or(0, |owned| owned.reserve(now));
        let room = free.iter().map(|(_, slots)| slots).sum::<u32>().saturating_sub(reserve);
        let mut shares = allocate_slots(room, &demands);
        for (host, share) in &mut shares {
            while *share > 0 && grants.len() < MOST_ITEM_GRANTS {
                let account = self.accounts.get(&(host.clone(), hash));
                let turn = self.last_grant as u32 ^ grants.len() as u32;
                let best = free
                    .iter_mut()
                    .filter(|(target, slots)| {
                        *slots > 0 && !account.is_some_and(|account| account.avoids(*target))
                    })
                    .max_by_key(|(target, slots)| (*slots, mix(*target, turn)));
                let Some((target, slots)) = best else { break };
                *slots -= 1;
                *share -= 1;
                add_item(&mut grants, host, *target);
            }
        }
        for grant in &mut grants {
            let load = TargetLoad { target: grant.target, online: 0, batch: grant.items };
            placement.record_sends(grant.target, grant.items, now);
            grant.grant = self.grant(placement, &grant.host, hash, load, now);
        }
        grants
    }

    /// Batch items that have to leave targets of a group which hold more work than slots. An item that
    /// this host has goes first: it is gone before any message. What was asked of a host is asked again
    /// only after a moment, in case the message got lost.
    pub fn item_limits(
        &mut self,
        placement: &PlacementTable,
        group: &SlotGroup,
        now: Instant,
    ) -> Vec<ItemLimit> {
        let mut limits = self.find_limits(placement, group);
        self.limits_sent.retain(|_, (_, at)| now.duration_since(*at) < REPEAT_LIMIT);
        limits.retain(|limit| {
            let key = (limit.host.clone(), limit.target);
            let sent = self.limits_sent.get(&key);
            let is_new = sent.is_none_or(|(items, _)| *items != limit.items);
            if is_new {
                self.limits_sent.insert(key, (limit.items, now));
            }
            is_new || limit.host == self.me
        });
        limits
    }

    fn find_limits(&self, placement: &PlacementTable, group: &SlotGroup) -> Vec<ItemLimit> {
        let hash = group.hash();
        let mut limits = Vec::new();
        for (target, over, own_items) in placement.overfull(group) {
            let mut over = over;
            let own = (own_items > 0).then(|| (self.me.clone(), own_items));
            let others = self.accounts.iter().filter(|((_, of), _)| *of == hash);
            let others =
                others.map(|((host, _), account)| (host.clone(), account.items_at(target)));
            for (host, items) in own.into_iter().chain(others) {
                let leaving = items.min(over);
                if leaving > 0 {
                    over -= leaving;
                    let items = (items - leaving) as u16;
                    limits.push(ItemLimit { host, target, items });
                }
            }
        }
        limits
    }
}

/// An order of targets that differs from turn to turn: where all are equally free, the last by name would
/// get most items.
fn mix(target: u32, turn: u32) -> u32 {
    /// Odd, with its bits spread, so that each turn gives another order.
    const SPREAD: u32 = 0x9E37_79B1;
    (target ^ turn.wrapping_mul(SPREAD)).wrapping_mul(SPREAD)
}

fn add_item(grants: &mut Vec<ItemGrant>, host: &HostId, target: u32) {
    let same = grants.iter_mut().find(|grant| grant.host == *host && grant.target == target);
    match same {
        Some(grant) => grant.items += 1,
        None => grants.push(ItemGrant { host: host.clone(), target, items: 1, grant: 0 }),
    }
}
