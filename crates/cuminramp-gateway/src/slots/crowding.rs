//! Log lines about groups whose requests wait in the owner's queue.

use std::time::Duration;

use cuminramp_core::SortedMap;
use tokio::time::Instant;

/// Time for which the queue of a group is not empty before the group counts as crowded.
const MIN_CROWDED: Duration = Duration::from_millis(100);
/// Minimum interval between two equal changes of one group.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Change of a group that is to be logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CrowdChange {
    /// Requests have waited in the group for some time.
    Crowded,
    /// No request waits in the group any more.
    Relieved,
}

#[derive(Debug, Default)]
struct CrowdState {
    /// Time since which the queue is not empty.
    waiting_since: Option<Instant>,
    is_crowded: bool,
    crowded_at: Option<Instant>,
    relieved_at: Option<Instant>,
}

impl CrowdState {
    fn update(&mut self, waiting: usize, now: Instant) -> Option<CrowdChange> {
        if waiting == 0 {
            self.waiting_since = None;
            if self.is_crowded && is_due(self.relieved_at, now) {
                self.is_crowded = false;
                self.relieved_at = Some(now);
                return Some(CrowdChange::Relieved);
            }
            return None;
        }
        let since = *self.waiting_since.get_or_insert(now);
        if !self.is_crowded
            && now.duration_since(since) > MIN_CROWDED
            && is_due(self.crowded_at, now)
        {
            self.is_crowded = true;
            self.crowded_at = Some(now);
            return Some(CrowdChange::Crowded);
        }
        None
    }

    /// Returns whether an empty state would give the same changes from now on.
    fn is_idle(&self, now: Instant) -> bool {
        self.waiting_since.is_none()
            && !self.is_crowded
            && is_due(self.crowded_at, now)
            && is_due(self.relieved_at, now)
    }
}

/// Returns whether an equal change of the group, last logged at `last`, may be logged again.
fn is_due(last: Option<Instant>, now: Instant) -> bool {
    last.is_none_or(|last| now.duration_since(last) >= CHANGE_INTERVAL)
}

/// Detects which groups become crowded or relieved.
#[derive(Debug, Default)]
pub(super) struct CrowdDetector {
    groups: SortedMap<u32, CrowdState>,
}

impl CrowdDetector {
    /// Applies the numbers of waiting requests by group, and returns the changes. Groups that are not listed
    /// have none.
    pub(super) fn update(
        &mut self,
        waiting: &[(u32, usize)],
        now: Instant,
    ) -> Vec<(u32, CrowdChange)> {
        for (group, _) in waiting.iter().filter(|(_, requests)| *requests > 0) {
            self.groups.get_or_insert_with(*group, CrowdState::default);
        }
        let mut changes = Vec::new();
        self.groups.retain(|group, state| {
            let listed = waiting.iter().find(|(listed, _)| listed == group);
            let requests = listed.map_or(0, |(_, requests)| *requests);
            changes.extend(state.update(requests, now).map(|change| (*group, change)));
            !state.is_idle(now)
        });
        changes
    }
}

#[cfg(test)]
mod tests;
