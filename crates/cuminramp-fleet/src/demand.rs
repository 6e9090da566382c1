//! Which hosts' items go first where fewer slots are free than items wait.
//!
//! Each job's items wait at one host, and every host sends its own. Were free slots shared by how many
//! items wait at each, a job that is due soon would get as little as one that has time, and after an
//! outage all jobs would be done late instead of most of them in time. So hosts tell the owners of slots
//! how urgent their items are: those that can still be in time go first, by when they are due.

use std::time::Duration;

use cuminramp_core::HostId;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Groups of waiting items that one host tells of: one for each of its jobs in the usual case.
pub const MAX_DEMAND_GROUPS: usize = 8;

/// Items of one host that are equally urgent, as a heartbeat tells it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemDemand {
    /// Whether they can't be done by when they are due any more.
    pub is_late: bool,
    /// When they are due, in milliseconds from the heartbeat; negative where that has passed.
    pub due_in_ms: i32,
    /// How many they are.
    pub items: u32,
}

impl ItemDemand {
    /// Items that are due at `due`, told at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_fleet::ItemDemand;
    /// use tokio::time::Instant;
    /// let now = Instant::now();
    /// let demand = ItemDemand::new(false, now + Duration::from_secs(2), 5, now);
    /// assert_eq!(demand.due_in_ms, 2_000);
    /// ```
    pub fn new(is_late: bool, due: Instant, items: u32, now: Instant) -> Self {
        let millis = |span: Duration| i32::try_from(span.as_millis()).unwrap_or(i32::MAX);
        let due_in_ms = match due.checked_duration_since(now) {
            Some(left) => millis(left),
            None => -millis(now.saturating_duration_since(due)),
        };
        ItemDemand { is_late, due_in_ms, items }
    }
}

/// How many of a host's waiting items are among the most urgent ones that `room` slots can take.
///
/// ```
/// use cuminramp_core::HostId;
/// use cuminramp_fleet::{ItemDemand, allocate_slots};
/// let host = |name: &str| HostId { address: name.into(), incarnation: 1 };
/// let soon = ItemDemand { is_late: false, due_in_ms: 1_000, items: 3 };
/// let later = ItemDemand { due_in_ms: 9_000, ..soon };
/// let shares = allocate_slots(4, &[(host("a"), vec![later]), (host("b"), vec![soon])]);
/// assert_eq!(shares, [(host("a"), 1), (host("b"), 3)]);
/// ```
pub fn allocate_slots(room: u32, demands: &[(HostId, Vec<ItemDemand>)]) -> Vec<(HostId, u32)> {
    let mut shares: Vec<(HostId, u32)> =
        demands.iter().map(|(host, _)| (host.clone(), 0)).collect();
    let of_hosts = demands.iter().enumerate();
    let mut order: Vec<(&ItemDemand, usize)> =
        of_hosts.flat_map(|(at, (_, told))| told.iter().map(move |demand| (demand, at))).collect();
    order.sort_by_key(|(demand, at)| (demand.is_late, demand.due_in_ms, &demands[*at].0));
    let mut left = room;
    for (demand, at) in order {
        let taken = demand.items.min(left);
        shares[at].1 += taken;
        left -= taken;
    }
    shares
}

#[cfg(test)]
mod tests;
