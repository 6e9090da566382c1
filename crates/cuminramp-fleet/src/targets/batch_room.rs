//! Where batch items may go, and which have to leave.

use cuminramp_core::{HostId, Name};
use tokio::time::Instant;

use super::{BatchRoom, BoardEntry, FleetTarget, TargetBoard};
use crate::beat::name_hash;
use crate::demand::{ItemDemand, share_room};

impl TargetBoard {
    /// Where this host may send batch items, and how many.
    ///
    /// `demands` names each live host with waiting items, this one included. Each target goes to one
    /// of the hosts with the most urgent items, drawn by how many of them it has: two hosts that saw
    /// the same free slot at once would both fill it and stand in the way of the next request.
    pub fn batch_places(
        &self,
        pool: &str,
        demands: &[(HostId, Vec<ItemDemand>)],
        now: Instant,
    ) -> BatchRoom {
        let open = self.entries.values().filter(|entry| {
            let is_free = entry.total() < self.batch_slots(entry);
            &*entry.target.pool == pool && entry.is_open(now) && is_free
        });
        let free: Vec<(&FleetTarget, u32)> =
            open.map(|entry| (&entry.target, self.batch_slots(entry) - entry.total())).collect();
        let shares = share_room(free.iter().map(|(_, room)| room).sum(), demands);
        let mut places = Vec::new();
        for (target, room) in free {
            if draw_steward(&target.id, &shares).is_some_and(|steward| *steward == self.me) {
                places.push((target.clone(), room));
            }
        }
        places.sort_by_key(|(target, room)| {
            (target.zone != self.zone, std::cmp::Reverse(*room), target.id.clone())
        });
        let items = shares.iter().find(|(host, _)| *host == self.me).map_or(0, |share| share.1);
        BatchRoom { places, items }
    }

    /// Slots of a target that batch items may enter. A doubtful one gets a single item, which can run
    /// again elsewhere: without it nobody would see that the target has recovered.
    fn batch_slots(&self, entry: &BoardEntry) -> u32 {
        if self.is_doubtful(entry) { entry.target.slots.min(1) } else { entry.target.slots }
    }

    /// How many of this host's batch items must leave each target.
    ///
    /// Every host comes to the same order of the hosts that have items there, so that one of them
    /// breaks an item off and not all. A target that drains keeps what it has.
    pub fn batch_excess(&self) -> Vec<(Name, u32)> {
        let mut excess = Vec::new();
        for entry in self.entries.values() {
            let over = entry.total().saturating_sub(entry.target.slots);
            if over == 0 || entry.own_batch == 0 {
                continue;
            }
            let hash = name_hash(&entry.target.id);
            let before: u32 = self
                .peer_loads
                .iter()
                .filter(|(host, _)| **host < self.me)
                .flat_map(|(_, loads)| loads.iter().filter(|load| load.target == hash))
                .map(|load| u32::from(load.batch))
                .sum();
            let mine = over.saturating_sub(before).min(entry.own_batch);
            if mine > 0 {
                excess.push((entry.target.id.clone(), mine));
            }
        }
        excess
    }
}

/// Draws the host that may send batch items to a target: each host's chance is its weight.
fn draw_steward<'a>(target: &str, waiting: &'a [(HostId, u32)]) -> Option<&'a HostId> {
    let rated = waiting.iter().filter(|(_, weight)| *weight > 0).map(|(host, weight)| {
        let hash = cuminramp_core::rendezvous_score(target, &host.address);
        let fraction = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        (-fraction.ln() / f64::from(*weight), host)
    });
    rated.min_by(|left, right| left.0.total_cmp(&right.0)).map(|rated| rated.1)
}
