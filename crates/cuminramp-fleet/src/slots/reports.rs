//! Timing of a host's reports to the owners of groups.

use std::time::Duration;

use cuminramp_core::SortedMap;
use tokio::time::Instant;

use super::message::SlotGroup;

/// Delay of the report about a freed slot, so that changes in the meantime go into the same report.
const CHANGE_DELAY: Duration = Duration::from_millis(2);
/// Interval between reports while anything is in flight or waiting.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Number of reports sent for a group after its last change. A datagram may be lost; with a single report,
/// the owner would then go on counting work that has ended.
const FINAL_REPORTS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct GroupTimes {
    due: Instant,
    /// Number of reports still to be sent.
    remaining: u32,
}

/// Schedules the reports to the owner of each group.
#[derive(Debug, Default)]
pub struct ReportTimer {
    groups: SortedMap<SlotGroup, GroupTimes>,
}

impl ReportTimer {
    /// Brings a group's report forward after a change that the owner cannot foresee: a slot became free, or
    /// items wait.
    pub fn bring_forward(&mut self, group: &SlotGroup, now: Instant) {
        self.set_due(group, now + CHANGE_DELAY);
    }

    /// Schedules a group's report after a change that the owner itself decided, which is not urgent.
    pub fn schedule(&mut self, group: &SlotGroup, now: Instant) {
        self.set_due(group, now + REFRESH_INTERVAL / 2);
    }

    fn set_due(&mut self, group: &SlotGroup, due: Instant) {
        let new = GroupTimes { due, remaining: FINAL_REPORTS };
        let times = self.groups.get_or_insert_with(group.clone(), || new);
        times.due = times.due.min(due);
        times.remaining = FINAL_REPORTS;
    }

    /// Returns the time at which the next report is due.
    pub fn next_due(&self) -> Option<Instant> {
        self.groups.values().map(|times| times.due).min()
    }

    /// Returns the groups whose reports are due, and schedules their next ones. `is_busy` returns whether
    /// anything is in flight or waiting in a group; an idle group is reported a few more times.
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
            times.due = now + REFRESH_INTERVAL;
            times.remaining = if is_busy(group) { FINAL_REPORTS } else { times.remaining - 1 };
            times.remaining > 0
        });
        due
    }

    /// Brings the scheduled reports of all groups forward, for example after an owner changed.
    pub fn bring_all_forward(&mut self, now: Instant) {
        for (_, times) in self.groups.iter_mut() {
            times.due = times.due.min(now + CHANGE_DELAY);
        }
    }
}
