//! The owner's record of what one host has in flight in one group.

use std::time::Duration;

use tokio::time::Instant;

use crate::demand::ItemDemand;
use crate::heartbeat::TargetLoad;
use crate::slots::SlotReport;

/// Time after the last report from which a host counts as having nothing in flight: it is idle, gone, or
/// reports to another owner. Busy hosts report ten times a second.
const REPORT_TTL: Duration = Duration::from_millis(450);

/// A grant of one slot to a caller, or of slots to batch items, that no report confirms yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingGrant {
    pub(super) number: u64,
    pub(super) load: TargetLoad,
    pub(super) granted_at: Instant,
}

/// Latest report of one host about one group, and the grants made to the host since.
#[derive(Debug, Default)]
pub(super) struct GroupAccount {
    pub(super) sequence: u64,
    pub(super) last_report_at: Option<Instant>,
    pub(super) report: Option<SlotReport>,
    /// Grants that no report confirms yet; their loads count as in flight.
    pub(super) pending: Vec<PendingGrant>,
}

impl GroupAccount {
    /// Returns whether the host reported within [`REPORT_TTL`] or has pending grants.
    pub(super) fn is_alive(&self, now: Instant) -> bool {
        let is_alive = self.last_report_at.is_some_and(|at| now.duration_since(at) < REPORT_TTL);
        is_alive || !self.pending.is_empty()
    }

    /// Returns the reported loads and those of pending grants; a target may occur more than once.
    pub(super) fn loads(&self) -> impl Iterator<Item = &TargetLoad> {
        let reported = self.report.iter().flat_map(|report| &report.loads);
        reported.chain(self.pending.iter().map(|grant| &grant.load))
    }

    /// Returns the number of the host's batch items at a target.
    pub(super) fn items_at(&self, target: u32) -> u32 {
        let here = self.loads().filter(|load| load.target == target);
        here.map(|load| u32::from(load.batch)).sum()
    }

    /// Returns the reported waiting items, less the items of pending grants.
    pub(super) fn unmet_demand(&self) -> Vec<ItemDemand> {
        let mut granted: u32 = self.pending.iter().map(|grant| u32::from(grant.load.batch)).sum();
        let reported = self.report.iter().flat_map(|report| &report.demand);
        let mut unmet: Vec<ItemDemand> = Vec::new();
        for demand in reported {
            let covered = granted.min(demand.items);
            granted -= covered;
            if demand.items > covered {
                unmet.push(ItemDemand { items: demand.items - covered, ..*demand });
            }
        }
        unmet
    }

    /// Returns whether the host reported that it sends nothing to a target for now.
    pub(super) fn avoids(&self, target: u32) -> bool {
        self.report.as_ref().is_some_and(|report| report.avoided.contains(&target))
    }
}
