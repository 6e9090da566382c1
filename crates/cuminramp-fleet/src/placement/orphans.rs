//! Work on targets that no host has in flight: that of hosts that are gone.
//!
//! A host that loses power closes no connection, so its targets work on for nobody, items for seconds.
//! Hosts that start after it would take those slots for free, and callers would queue behind that work.
//! Targets tell their load in answers; what is beyond all that hosts had in flight of late is foreign.

use std::time::Duration;

use tokio::time::Instant;

use super::{PlacementEntry, PlacementTable};
use crate::heartbeat::ReportedLoad;
use crate::slots::SlotGroup;

/// Foreign work is forgotten at a slot for each such time, unless the target tells of it anew: the items
/// of a full target end within about two seconds.
const FADE_PER_SLOT: Duration = Duration::from_millis(250);
/// Less than this many may be work that just ended or is just being reported.
const LEAST_FOREIGN: u32 = 2;
/// What a target tells is compared with the most that was in flight there in this time or twice as long:
/// an answer takes up to a tenth of a second to the owner.
const PEAK_SPAN: Duration = Duration::from_millis(150);

/// The most that was in flight at a target lately.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentPeak {
    before: u32,
    present: u32,
    since: Instant,
}

impl RecentPeak {
    pub(super) fn new(now: Instant) -> Self {
        RecentPeak { before: 0, present: 0, since: now }
    }

    fn note(&mut self, in_flight: u32, now: Instant) {
        let passed = now.saturating_duration_since(self.since);
        if passed >= PEAK_SPAN {
            self.before = if passed < PEAK_SPAN * 2 { self.present } else { in_flight };
            self.present = in_flight;
            self.since = now;
        }
        self.present = self.present.max(in_flight);
    }

    fn get(&self) -> u32 {
        self.before.max(self.present)
    }
}

/// Foreign work as a target told of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrphanedWork {
    told: u32,
    at: Instant,
    left: u32,
}

impl OrphanedWork {
    pub(super) fn none(now: Instant) -> Self {
        OrphanedWork { told: 0, at: now, left: 0 }
    }

    /// Slots that it still takes.
    pub(super) fn left(&self) -> u32 {
        self.left
    }

    fn fade(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at);
        let ended = passed.as_millis() / FADE_PER_SLOT.as_millis();
        self.left = self.told.saturating_sub(u32::try_from(ended).unwrap_or(u32::MAX));
    }
}

impl PlacementEntry {
    /// Takes note of what is in flight after a change.
    pub(super) fn note_peak(&mut self, now: Instant) {
        let in_flight = self.in_flight();
        self.peak.note(in_flight, now);
    }

    fn hear_load(&mut self, busy: u32, now: Instant) {
        self.note_peak(now);
        let beyond = busy.saturating_sub(self.peak.get());
        let told = if beyond < LEAST_FOREIGN { 0 } else { beyond };
        self.orphaned = OrphanedWork { told, at: now, left: told };
    }
}

impl PlacementTable {
    /// A target told this host its load in an answer: requests that it runs or lets wait.
    pub fn record_load(&mut self, id: &str, busy: u32, now: Instant) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.hear_load(busy, now);
        entry.unreported_load = Some(busy.min(u32::from(u16::MAX)) as u16);
    }

    /// Takes what targets told another host.
    pub fn receive_reported_loads(&mut self, told: &[ReportedLoad], now: Instant) {
        for load in told {
            let id = self.hashes.get(&load.target);
            let entry = id.and_then(|id| self.entries.get_mut(id));
            if let Some(entry) = entry {
                entry.hear_load(u32::from(load.busy), now);
            }
        }
    }

    /// What targets of a group told this host since this was last asked.
    pub fn take_reported_loads(&mut self, group: &SlotGroup) -> Vec<ReportedLoad> {
        let hash = group.hash();
        let entries = self.entries.iter_mut().map(|(_, entry)| entry);
        let told = entries.filter(|entry| entry.group == hash).filter_map(|entry| {
            let busy = entry.unreported_load.take()?;
            Some(ReportedLoad { target: entry.hash, busy })
        });
        told.collect()
    }

    /// Lets foreign work end with time.
    pub fn fade_orphaned(&mut self, now: Instant) {
        for (_, entry) in self.entries.iter_mut() {
            entry.orphaned.fade(now);
        }
    }
}
