//! When a host reports to the owners of groups.

use std::time::Duration;

use cuminramp_core::SortedMap;
use tokio::time::Instant;

use super::message::SlotGroup;

/// A slot that came free is reported after so long, with what else changes meanwhile.
const CHANGE_DELAY: Duration = Duration::from_millis(2);
/// Between two reports while anything is in flight or waits.
const REFRESH: Duration = Duration::from_millis(100);
/// Reports after the last change: a datagram may get lost, and the owner would count what has ended.
const FINAL_REPORTS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct GroupTimes {
    due: Instant,
    left: u32,
}

/// When the next report to each group's owner is due.
#[derive(Debug, Default)]
pub struct ReportTimer {
    groups: SortedMap<SlotGroup, GroupTimes>,
}

impl ReportTimer {
    /// Something changed that the owner does not know: a slot came free, or items wait.
    pub fn bring_forward(&mut self, group: &SlotGroup, now: Instant) {
        self.set_due(group, now + CHANGE_DELAY);
    }

    /// Something changed that the owner decided itself: the usual report will do.
    pub fn schedule(&mut self, group: &SlotGroup, now: Instant) {
        self.set_due(group, now + REFRESH / 2);
    }

    fn set_due(&mut self, group: &SlotGroup, due: Instant) {
        let fresh = GroupTimes { due, left: FINAL_REPORTS };
        let times = self.groups.get_or_insert_with(group.clone(), || fresh);
        times.due = times.due.min(due);
        times.left = FINAL_REPORTS;
    }

    /// When the next report is due.
    pub fn next(&self) -> Option<Instant> {
        self.groups.values().map(|times| times.due).min()
    }

    /// Groups whose report is due. `is_busy` says whether anything is in flight or waits there; a
    /// group with nothing is reported a few more times.
    pub fn take_due(
        &mut self,
        is_busy: impl Fn(&SlotGroup) -> bool,
        now: Instant,
    ) -> Vec<SlotGroup> {
        let mut due = Vec::new();
        self.groups.retain(|group, times| {
            if times.due > now {
                return true;
            }
            due.push(group.clone());
            times.due = now + REFRESH;
            times.left = if is_busy(group) { FINAL_REPORTS } else { times.left - 1 };
            times.left > 0
        });
        due
    }

    /// All groups with something to report, as when an owner changed.
    pub fn bring_all_forward(&mut self, now: Instant) {
        for (_, times) in self.groups.iter_mut() {
            times.due = times.due.min(now + CHANGE_DELAY);
        }
    }
}
