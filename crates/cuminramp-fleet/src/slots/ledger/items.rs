//! Grants of free slots to batch items, and preemption of items by callers.

use std::time::Duration;

use cuminramp_core::HostId;
use tokio::time::Instant;

use super::SlotLedger;
use crate::demand::{ItemDemand, allocate_slots};
use crate::heartbeat::TargetLoad;
use crate::placement::{ColdShare, PlacementTable};
use crate::slots::SlotGroup;

/// Interval after which an unchanged item limit is sent again, in case the message was lost. Preempting an
/// item and reporting it takes its host a few milliseconds.
const RESEND_INTERVAL: Duration = Duration::from_millis(15);
/// Maximum number of item grants in one call of [`SlotLedger::grant_items`], each for one host at one target,
/// so that a burst of jobs does not block the owner.
const MAX_ITEM_GRANTS: usize = 64;

/// A grant of slots at a target to batch items of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemGrant {
    /// The host that may start items.
    pub host: HostId,
    /// The target.
    pub target: u32,
    /// Number of slots.
    pub items: u16,
    /// The number of the grant.
    pub grant: u64,
}

/// Maximum number of batch items that a host may keep at a target; the rest are preempted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemLimit {
    /// The host with items at the target.
    pub host: HostId,
    /// The target.
    pub target: u32,
    /// Number of items that may stay.
    pub items: u16,
}

impl SlotLedger {
    /// Grants free slots of a group to waiting items, the most urgent of all hosts first. `own` describes
    /// the items that wait at this host.
    ///
    /// Returns no grants while requests wait for a slot, or while this host has owned the group for less than
    /// the settle delay.
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
        if !self.is_settled(hash, now) || self.waiting(hash) > 0 {
            return grants;
        }
        let mut demands = vec![(self.me.clone(), own)];
        let reported =
            self.accounts.iter().filter(|((_, id), account)| *id == hash && account.is_alive(now));
        demands.extend(reported.map(|((host, _), account)| (host.clone(), account.unmet_demand())));
        demands.retain(|(_, waiting)| !waiting.is_empty());
        if demands.is_empty() {
            return grants;
        }
        let mut free = placement.free_batch_slots(group, share, now);
        let reserved = self.owned.get_mut(&hash).map_or(0, |owned| owned.reserved_slots(now));
        let capacity = free.iter().map(|(_, slots)| slots).sum::<u32>().saturating_sub(reserved);
        let mut shares = allocate_slots(capacity, &demands);
        for (host, share) in &mut shares {
            while *share > 0 && grants.len() < MAX_ITEM_GRANTS {
                let account = self.accounts.get(&(host.clone(), hash));
                let seed = self.last_grant as u32 ^ grants.len() as u32;
                let best = free
                    .iter_mut()
                    .filter(|(target, slots)| {
                        *slots > 0 && !account.is_some_and(|account| account.avoids(*target))
                    })
                    .max_by_key(|(target, slots)| (*slots, tie_break(*target, seed)));
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

    /// Returns limits that preempt batch items at targets of a group with more work than slots.
    ///
    /// Items of this host are preempted first, since that requires no message. An unchanged limit of another
    /// host is returned again only after a short interval, in case the message was lost.
    pub fn item_limits(
        &mut self,
        placement: &PlacementTable,
        group: &SlotGroup,
        now: Instant,
    ) -> Vec<ItemLimit> {
        let mut limits = self.compute_limits(placement, group);
        self.limits_sent.retain(|_, (_, at)| now.duration_since(*at) < RESEND_INTERVAL);
        limits.retain(|limit| {
            let key = (limit.host.clone(), limit.target);
            let sent = self.limits_sent.get(&key);
            let is_due = sent.is_none_or(|(items, _)| *items != limit.items);
            if is_due {
                self.limits_sent.insert(key, (limit.items, now));
            }
            is_due || limit.host == self.me
        });
        limits
    }

    fn compute_limits(&self, placement: &PlacementTable, group: &SlotGroup) -> Vec<ItemLimit> {
        let hash = group.hash();
        let mut limits = Vec::new();
        for (target, excess, own_items) in placement.overcommitted(group) {
            let mut excess = excess;
            let own = (own_items > 0).then(|| (self.me.clone(), own_items));
            let others = self.accounts.iter().filter(|((_, id), _)| *id == hash);
            let others =
                others.map(|((host, _), account)| (host.clone(), account.items_at(target)));
            for (host, items) in own.into_iter().chain(others) {
                let preempted = items.min(excess);
                if preempted > 0 {
                    excess -= preempted;
                    let items = (items - preempted) as u16;
                    limits.push(ItemLimit { host, target, items });
                }
            }
        }
        limits
    }
}

/// Returns the rank of a target among targets with equally many free slots. The order of targets depends on
/// `seed`; with a fixed order, the same target would always come first and get most items.
fn tie_break(target: u32, seed: u32) -> u32 {
    /// Multiplier of a multiplicative hash: a prime close to 2^32 divided by the golden ratio. It is odd, so
    /// two targets never get the same rank, and multiplying by it spreads a change of `seed` over many
    /// bits, so each seed gives another order.
    const MULTIPLIER: u32 = 0x9E37_79B1;
    (target ^ seed.wrapping_mul(MULTIPLIER)).wrapping_mul(MULTIPLIER)
}

/// Adds one item to the host's grant at a target, or adds a new grant.
fn add_item(grants: &mut Vec<ItemGrant>, host: &HostId, target: u32) {
    let existing = grants.iter_mut().find(|grant| grant.host == *host && grant.target == target);
    match existing {
        Some(grant) => grant.items += 1,
        None => grants.push(ItemGrant { host: host.clone(), target, items: 1, grant: 0 }),
    }
}
