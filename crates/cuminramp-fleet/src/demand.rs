//! Allocation of free slots to the waiting items of hosts, by urgency.
//!
//! The items of a job wait at one host, and each host sends its own items. If free slots were shared in
//! proportion to the items that wait at each host, a job that is due soon would be served no faster than
//! one with time left, and after an outage all jobs would finish late instead of most of them in time.
//! Hosts therefore report the urgency of their items to the owners of slots. Items that can still be in
//! time go first, ordered by due time; late ones follow.

use std::time::Duration;

use cuminramp_core::HostId;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Maximum number of item groups in one host's demand, usually one group per job.
pub const MAX_DEMAND_GROUPS: usize = 8;

/// A number of equally urgent items that wait at one host, as a slot report carries it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemDemand {
    /// Whether the items can no longer be finished by their due time.
    pub is_late: bool,
    /// Due time of the items, in milliseconds after the report was made; negative if it has passed.
    pub due_in_ms: i32,
    /// Number of items.
    pub items: u32,
}

impl ItemDemand {
    /// Creates the demand of `items` items that are due at `due`, as reported at `now`.
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
            Some(remaining) => millis(remaining),
            None => -millis(now.saturating_duration_since(due)),
        };
        ItemDemand { is_late, due_in_ms, items }
    }
}

/// Returns how many of `free_slots` slots each host gets, so that the most urgent items of all hosts are
/// served first.
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
pub fn allocate_slots(
    free_slots: u32,
    demands: &[(HostId, Vec<ItemDemand>)],
) -> Vec<(HostId, u32)> {
    let mut shares: Vec<(HostId, u32)> =
        demands.iter().map(|(host, _)| (host.clone(), 0)).collect();
    let by_host = demands.iter().enumerate();
    let mut order: Vec<(&ItemDemand, usize)> = by_host
        .flat_map(|(index, (_, groups))| groups.iter().map(move |demand| (demand, index)))
        .collect();
    order.sort_by_key(|(demand, index)| (demand.is_late, demand.due_in_ms, &demands[*index].0));
    let mut remaining = free_slots;
    for (demand, index) in order {
        let allocated = demand.items.min(remaining);
        shares[index].1 += allocated;
        remaining -= allocated;
    }
    shares
}

#[cfg(test)]
mod tests;
