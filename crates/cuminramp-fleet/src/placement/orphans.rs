//! Orphaned work: work in flight on targets for hosts that are gone.
//!
//! A host that loses power closes no connection, so its targets go on with its work, with items for
//! seconds. Hosts that start after it would treat those slots as free, and callers would queue behind
//! that work. Targets report their load in answers; what exceeds the recent peak of the work of all hosts
//! is orphaned.

use std::time::Duration;

use tokio::time::Instant;

use super::{PlacementEntry, PlacementTable};
use crate::heartbeat::ReportedLoad;
use crate::slots::SlotGroup;

/// Interval at which the orphaned work at a target is reduced by one slot, unless the target reports its
/// load again: the items of a full target end within about two seconds.
const DECAY_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum amount of orphaned work; a smaller excess may be work that just ended or is just being
/// reported.
const MIN_ORPHANED: u32 = 2;
/// Length of a window of [`RecentPeak`]. A reported load is compared with the peak of the current and the
/// previous window, one to two lengths, since the report takes up to a tenth of a second to reach the
/// owner.
const PEAK_WINDOW: Duration = Duration::from_millis(150);

/// Peak of the work in flight at a target in the current and the previous [`PEAK_WINDOW`].
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentPeak {
    previous: u32,
    current: u32,
    window_start: Instant,
}

impl RecentPeak {
    pub(super) fn new(now: Instant) -> Self {
        RecentPeak { previous: 0, current: 0, window_start: now }
    }

    fn record(&mut self, in_flight: u32, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed >= PEAK_WINDOW {
            self.previous = if elapsed < PEAK_WINDOW * 2 { self.current } else { in_flight };
            self.current = in_flight;
            self.window_start = now;
        }
        self.current = self.current.max(in_flight);
    }

    fn get(&self) -> u32 {
        self.previous.max(self.current)
    }
}

/// Orphaned work at a target, as derived from the load that the target reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrphanedWork {
    initial: u32,
    reported_at: Instant,
    remaining: u32,
}

impl OrphanedWork {
    pub(super) fn none(now: Instant) -> Self {
        OrphanedWork { initial: 0, reported_at: now, remaining: 0 }
    }

    /// Returns the number of slots that orphaned work still occupies.
    pub(super) fn remaining(&self) -> u32 {
        self.remaining
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.reported_at);
        let ended = elapsed.as_millis() / DECAY_INTERVAL.as_millis();
        self.remaining = self.initial.saturating_sub(u32::try_from(ended).unwrap_or(u32::MAX));
    }
}

impl PlacementEntry {
    /// Records the work in flight after a change.
    pub(super) fn record_peak(&mut self, now: Instant) {
        let in_flight = self.in_flight();
        self.peak.record(in_flight, now);
    }

    fn receive_load(&mut self, busy: u32, now: Instant) {
        self.record_peak(now);
        let excess = busy.saturating_sub(self.peak.get());
        let initial = if excess < MIN_ORPHANED { 0 } else { excess };
        self.orphaned = OrphanedWork { initial, reported_at: now, remaining: initial };
    }
}

impl PlacementTable {
    /// Records the load that a target reported to this host in an answer: the requests that it runs or
    /// queues.
    pub fn record_load(&mut self, id: &str, busy: u32, now: Instant) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.receive_load(busy, now);
        entry.unreported_load = Some(busy.min(u32::from(u16::MAX)) as u16);
    }

    /// Applies the loads that targets reported to another host.
    pub fn receive_reported_loads(&mut self, reported: &[ReportedLoad], now: Instant) {
        for load in reported {
            let id = self.hashes.get(&load.target);
            let entry = id.and_then(|id| self.entries.get_mut(id));
            if let Some(entry) = entry {
                entry.receive_load(u32::from(load.busy), now);
            }
        }
    }

    /// Returns the loads that targets of a group reported to this host since the last call.
    pub fn take_reported_loads(&mut self, group: &SlotGroup) -> Vec<ReportedLoad> {
        let hash = group.hash();
        let entries = self.entries.iter_mut().map(|(_, entry)| entry);
        let reported = entries.filter(|entry| entry.group_hash == hash).filter_map(|entry| {
            let busy = entry.unreported_load.take()?;
            Some(ReportedLoad { target: entry.hash, busy })
        });
        reported.collect()
    }

    /// Reduces orphaned work by what should have ended by `now`.
    pub fn decay_orphaned(&mut self, now: Instant) {
        for (_, entry) in self.entries.iter_mut() {
            entry.orphaned.decay(now);
        }
    }
}
