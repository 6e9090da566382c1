//! What one host has in flight in one group, as its owner counts it.

use std::time::Duration;

use tokio::time::Instant;

use crate::demand::ItemDemand;
use crate::heartbeat::TargetLoad;
use crate::slots::SlotReport;

/// A host whose reports stay away for so long has nothing in flight any more, or reports to another
/// owner. Busy hosts report ten times a second.
const REPORT_LIFE: Duration = Duration::from_millis(450);
/// A slot, or slots for items, that a host was granted.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingGrant {
    pub(super) number: u64,
    pub(super) load: TargetLoad,
    pub(super) at: Instant,
}

/// What one host reported of one group.
#[derive(Debug, Default)]
pub(super) struct GroupAccount {
    pub(super) sequence: u64,
    pub(super) last_report_at: Option<Instant>,
    pub(super) report: Option<SlotReport>,
    /// Grants that no report confirms yet.
    pub(super) pending: Vec<PendingGrant>,
}

impl GroupAccount {
    pub(super) fn is_alive(&self, now: Instant) -> bool {
        let is_alive = self.last_report_at.is_some_and(|at| now.duration_since(at) < REPORT_LIFE);
        is_alive || !self.pending.is_empty()
    }

    pub(super) fn loads(&self) -> impl Iterator<Item = &TargetLoad> {
        let told = self.report.iter().flat_map(|report| &report.loads);
        told.chain(self.pending.iter().map(|grant| &grant.load))
    }

    pub(super) fn items_at(&self, target: u32) -> u32 {
        let here = self.loads().filter(|load| load.target == target);
        here.map(|load| u32::from(load.batch)).sum()
    }

    /// Items that wait, less those that were granted a slot since.
    pub(super) fn demand(&self) -> Vec<ItemDemand> {
        let mut granted: u32 = self.pending.iter().map(|grant| u32::from(grant.load.batch)).sum();
        let told = self.report.iter().flat_map(|report| &report.demand);
        let mut left: Vec<ItemDemand> = Vec::new();
        for demand in told {
            let taken = granted.min(demand.items);
            granted -= taken;
            if demand.items > taken {
                left.push(ItemDemand { items: demand.items - taken, ..*demand });
            }
        }
        left
    }

    pub(super) fn avoids(&self, target: u32) -> bool {
        self.report.as_ref().is_some_and(|report| report.avoided.contains(&target))
    }
}
