//! Decides which parts of prompts are quarantined.

use std::time::Duration;

use cuminramp_core::SortedMap;
use tokio::time::Instant;

use super::record::{PartRecord, Quarantine, count_separate};
use super::{PartPolicy, PartReport, PoolPart};

/// Maximum number of parts with crashes that a host remembers, about 400 bytes each.
const MAX_RECORDS: usize = 256;
/// Maximum number of sound parts that a host remembers.
const MAX_SOUND_PARTS: usize = 2_048;
/// Part of the sound parts that is forgotten if there are too many, as a divisor.
const FORGOTTEN_SHARE: usize = 10;
/// Maximum number of reports in one message, about 3 KB.
const MAX_REPORTS: usize = 16;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartDecision {
    /// No part of its prompt is quarantined.
    Admit,
    /// It may be sent as the trial of this part.
    Trial(PoolPart),
    /// This part is quarantined.
    Hold(PoolPart),
}

/// A quarantined part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldPart {
    /// The part.
    pub part: PoolPart,
    /// Part beside which only it is held back.
    pub beside: Option<PoolPart>,
}

/// What a sound response changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SoundParts {
    /// Whether other hosts should learn of it: a part of the prompt was suspected.
    pub has_news: bool,
    /// Parts whose quarantine ended.
    pub released: Vec<PoolPart>,
}

/// Numbers of parts that a host remembers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PartCounts {
    /// Parts with crashes.
    pub suspected: usize,
    /// Parts of these that are quarantined.
    pub quarantined: usize,
}

/// Crashes of targets by the parts of the prompts that they ran, over all hosts.
///
/// The guilty part is in each request that crashes targets, and never in a response that goes beyond its begin.
/// Parts that sound requests share are cleared by the next response to one of these, in the pool that it came from.
/// Crashes under one part count together over all pools, and so do its trials. Of two parts that were in the same
/// requests, neither is held alone: only requests with both are, until one of them is cleared.
#[derive(Debug, Default)]
pub struct PartTable {
    policy: PartPolicy,
    records: SortedMap<PoolPart, PartRecord>,
    /// Parts with a sound response, with the time of the last one.
    sound: SortedMap<PoolPart, Instant>,
}

impl PartTable {
    /// Creates an empty table.
    pub fn new(policy: PartPolicy) -> Self {
        PartTable { policy, ..PartTable::default() }
    }

    /// Returns whether a request with these parts may be sent. `trial_delay` returns how long after
    /// a trial of a part is due this host may begin it, which is at once on the host that ranks first for it.
    ///
    /// ```
    /// use cuminramp_fleet::{PartDecision, PartTable, PromptPart};
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// let table = PartTable::default();
    /// let part = PromptPart::new("5c1e07a2").in_pool("pool-1");
    /// assert_eq!(table.decide(&[part], Instant::now(), |_| Duration::ZERO), PartDecision::Admit);
    /// ```
    pub fn decide(
        &self,
        parts: &[PoolPart],
        now: Instant,
        trial_delay: impl Fn(PoolPart) -> Duration,
    ) -> PartDecision {
        if self.records.is_empty() {
            return PartDecision::Admit;
        }
        let is_held = |part: &&PoolPart| self.is_held(**part, parts);
        let Some(part) = parts.iter().find(is_held) else { return PartDecision::Admit };
        let is_only = parts.iter().filter(is_held).all(|other| other == part);
        match self.trial_due_at(*part, now) {
            Some(due_at) if is_only && now >= due_at => {
                let delay = trial_delay(*part).min(self.policy.any_host_delay);
                if now >= due_at + delay {
                    PartDecision::Trial(*part)
                } else {
                    PartDecision::Hold(*part)
                }
            }
            _ => PartDecision::Hold(*part),
        }
    }

    /// Like [`Self::decide`], for a request that is sent at once if it may be. Begins a trial if it is one.
    pub fn admit(
        &mut self,
        parts: &[PoolPart],
        now: Instant,
        trial_delay: impl Fn(PoolPart) -> Duration,
    ) -> PartDecision {
        let decision = self.decide(parts, now, trial_delay);
        if let PartDecision::Trial(part) = decision {
            self.begin_trial(part, now);
        }
        decision
    }

    /// Returns whether an item with these parts may be sent, which it is at once then.
    ///
    /// Items never crash targets by themselves, so that no item is held back for long: this host sends one with a
    /// quarantined part at an interval. It is no trial, and its crash counts for nothing; a response that goes beyond
    /// its begin clears the part.
    pub fn admit_item(&mut self, parts: &[PoolPart], now: Instant) -> PartDecision {
        let held: Vec<PoolPart> =
            parts.iter().filter(|part| self.is_held(**part, parts)).copied().collect();
        let Some(first) = held.first() else { return PartDecision::Admit };
        let interval = self.policy.item_interval;
        let is_due = |part: &PoolPart| {
            self.quarantine_of(*part).is_none_or(|quarantine| {
                let last = quarantine.item_sent_at.unwrap_or(quarantine.began_at);
                now.saturating_duration_since(last) >= interval
            })
        };
        if !held.iter().all(is_due) {
            return PartDecision::Hold(*first);
        }
        for part in &held {
            let record = self.records.get_mut(part);
            if let Some(quarantine) = record.and_then(|record| record.quarantine.as_mut()) {
                quarantine.item_sent_at = Some(now);
            }
        }
        PartDecision::Trial(*first)
    }

    /// Returns whether the quarantine of a part holds for a request with `parts`.
    fn is_held(&self, part: PoolPart, parts: &[PoolPart]) -> bool {
        let beside = self.quarantine_of(part).map(|quarantine| quarantine.beside);
        beside.is_some_and(|beside| beside.is_none_or(|other| parts.contains(&other)))
    }

    fn quarantine_of(&self, part: PoolPart) -> Option<Quarantine> {
        self.records.get(&part)?.quarantine
    }

    /// Returns when a part may be tried; `None` while a trial is under way or if there are no more.
    fn trial_due_at(&self, part: PoolPart, now: Instant) -> Option<Instant> {
        let quarantine = self.quarantine_of(part)?;
        let is_over = |at: Instant| now.saturating_duration_since(at) >= self.policy.trial_timeout;
        let mut trials = 0;
        for other in self.same_part(part).filter_map(|record| record.quarantine) {
            let is_running = other.trial_at.is_some_and(|at| !is_over(at));
            if is_running || other.begun_trials >= self.policy.max_begun_trials {
                return None;
            }
            // A trial that came to no result is repeated.
            trials = trials.max(other.trials - u8::from(other.trial_at.is_some()));
        }
        let delay = self.policy.trial_delays.get(usize::from(trials))?;
        Some(quarantine.began_at + *delay)
    }

    /// Returns the records of a part in all pools.
    fn same_part(&self, part: PoolPart) -> impl Iterator<Item = &PartRecord> {
        let same = self.records.iter().filter(move |(other, _)| other.is_same_part(part));
        same.map(|(_, record)| record)
    }

    /// Returns the number of separate crashes under a part, in all pools.
    fn separate_crashes(&self, part: PoolPart) -> u32 {
        let crashes = self.same_part(part).flat_map(|record| record.crashes());
        count_separate(crashes, self.policy.wave_window)
    }

    /// Records that a request is sent as the trial of a part.
    pub fn begin_trial(&mut self, part: PoolPart, now: Instant) {
        if let Some(record) = self.records.get_mut(&part)
            && let Some(quarantine) = &mut record.quarantine
        {
            quarantine.trials += u8::from(quarantine.trial_at.is_none());
            quarantine.begun_trials += 1;
            quarantine.trial_at = Some(now);
            record.changed_at = now;
        }
    }

    /// Returns whether this host tries one of these parts.
    pub fn is_trying(&self, parts: &[PoolPart]) -> bool {
        let quarantines = parts.iter().filter_map(|part| self.quarantine_of(*part));
        quarantines.into_iter().any(|quarantine| quarantine.trial_at.is_some())
    }

    /// Records that this host's trials of these parts came to no result, so that they are repeated.
    pub fn withdraw_trials(&mut self, parts: &[PoolPart], now: Instant) {
        for part in parts {
            let Some(record) = self.records.get_mut(part) else { continue };
            let Some(quarantine) = &mut record.quarantine else { continue };
            if quarantine.trial_at.take().is_some() {
                quarantine.trials -= 1;
                record.changed_at = now;
            }
        }
    }

    /// Returns how long requests with a part are held back at least.
    pub fn remaining(&self, part: PoolPart, now: Instant) -> Duration {
        let due_at = self.trial_due_at(part, now);
        let remaining = due_at.map(|at| at.saturating_duration_since(now));
        remaining.unwrap_or(self.policy.quarantine_lifetime)
    }

    /// Records that a target ended under a request with these parts before its response went beyond its begin. A
    /// quarantined part explains the crash, so that the others are not suspected. Returns the part that is
    /// quarantined for it.
    pub fn record_crash(
        &mut self,
        parts: &[PoolPart],
        target: u32,
        now: Instant,
    ) -> Option<PoolPart> {
        self.expire(now);
        let held: Vec<PoolPart> =
            parts.iter().filter(|part| self.is_held(**part, parts)).copied().collect();
        if held.is_empty() && self.is_explained(target, now) {
            return None;
        }
        let beside = |part: &PoolPart| self.quarantine_of(*part).and_then(|it| it.beside);
        let mut blamed: Vec<PoolPart> = held.iter().filter_map(beside).collect();
        blamed.extend(if held.is_empty() { parts } else { &held });
        let wave_window = self.policy.wave_window;
        for part in &blamed {
            let record = self.record_of(*part, now);
            if record.add_crash(target, now, wave_window) {
                record.changed_at = now;
            }
        }
        if held.is_empty() { self.quarantine_one_of(parts, now) } else { None }
    }

    /// Returns whether a quarantined part crashed the target.
    fn is_explained(&self, target: u32, at: Instant) -> bool {
        let is_alone = |record: &&PartRecord| {
            record.quarantine.is_some_and(|quarantine| quarantine.beside.is_none())
        };
        let mut quarantined = self.records.values().filter(is_alone);
        quarantined.any(|record| record.has_crash(target, at))
    }

    /// Returns the record of a part, a new one if there is none.
    fn record_of(&mut self, part: PoolPart, now: Instant) -> &mut PartRecord {
        if !self.records.contains_key(&part) {
            self.make_room();
        }
        let sound_at = self.sound.get(&part).copied();
        self.records.get_or_insert_with(part, || PartRecord::new(sound_at, now))
    }

    /// Quarantines the last part of a request that has enough crashes.
    fn quarantine_one_of(&mut self, parts: &[PoolPart], now: Instant) -> Option<PoolPart> {
        let mut highest_after = 0;
        for part in parts.iter().rev() {
            let Some(record) = self.records.get(part) else { continue };
            let crashes = self.separate_crashes(*part);
            if crashes >= record.limit(&self.policy, highest_after < crashes) {
                let beside = self.equal_suspect(*part, parts, crashes);
                self.quarantine(*part, beside, now);
                return Some(*part);
            }
            highest_after = highest_after.max(crashes);
        }
        None
    }

    /// Returns another part of a request that no sound response has cleared and that has as many crashes.
    fn equal_suspect(&self, part: PoolPart, parts: &[PoolPart], crashes: u32) -> Option<PoolPart> {
        let is_equal = |other: &&PoolPart| {
            let record = self.records.get(*other).filter(|_| **other != part);
            record.is_some_and(|record| record.sound_at.is_none())
                && self.separate_crashes(**other) >= crashes
        };
        parts.iter().find(is_equal).copied()
    }

    /// Begins the quarantine of a part, which explains its crashes for all others if it is held alone. It is held in
    /// all pools then in which it has crashed targets.
    fn quarantine(&mut self, part: PoolPart, beside: Option<PoolPart>, now: Instant) {
        self.quarantine_in_pool(part, beside, now);
        if self.quarantine_of(part).is_none_or(|quarantine| quarantine.beside.is_some()) {
            return;
        }
        let others: Vec<PoolPart> = self
            .records
            .iter()
            .filter(|(other, record)| {
                other.is_same_part(part)
                    && record.quarantine.is_none()
                    && record.sound_at.is_none()
                    && !record.crashes().is_empty()
            })
            .map(|(other, _)| *other)
            .collect();
        for other in others {
            self.quarantine_in_pool(other, None, now);
        }
    }

    fn quarantine_in_pool(&mut self, part: PoolPart, beside: Option<PoolPart>, now: Instant) {
        let Some(record) = self.records.get_mut(&part) else { return };
        record.quarantine(0, beside, now);
        record.changed_at = now;
        if record.quarantine.is_some_and(|quarantine| quarantine.beside.is_some()) {
            return;
        }
        let explained = record.crashes().to_vec();
        for (_, other) in self.records.iter_mut() {
            other.forget_crashes(&explained);
        }
    }

    /// Records a response to a request with these parts that went beyond its begin.
    pub fn record_sound(&mut self, parts: &[PoolPart], now: Instant) -> SoundParts {
        let mut found = SoundParts::default();
        for part in parts {
            if self.sound.len() >= MAX_SOUND_PARTS && !self.sound.contains_key(part) {
                self.forget_sound_parts();
            }
            self.sound.insert(*part, now);
            let Some(record) = self.records.get_mut(part) else { continue };
            let quarantine = record.quarantine;
            if record.set_sound(now) {
                record.changed_at = now;
                found.has_news = true;
            }
            let ended = quarantine.filter(|_| record.quarantine.is_none());
            if ended.is_some() {
                found.released.push(*part);
            }
            self.blame_other(*part, ended.and_then(|quarantine| quarantine.beside), now);
        }
        found
    }

    /// Holds the other one of two equal suspects alone once `cleared` is cleared: the part beside which it was held, or
    /// one that was held beside it.
    fn blame_other(&mut self, cleared: PoolPart, beside: Option<PoolPart>, now: Instant) {
        let is_other = |record: &PartRecord| {
            record.quarantine.is_some_and(|quarantine| quarantine.beside == Some(cleared))
        };
        let mut others: Vec<PoolPart> = self
            .records
            .iter()
            .filter(|(_, record)| is_other(record))
            .map(|(part, _)| *part)
            .collect();
        others.extend(beside);
        for part in others {
            let Some(record) = self.records.get(&part) else { continue };
            if self.separate_crashes(part) >= record.limit(&self.policy, true) {
                self.quarantine(part, None, now);
            }
        }
    }

    /// Forgets the parts whose last sound response is the longest ago.
    fn forget_sound_parts(&mut self) {
        let mut times: Vec<Instant> = self.sound.values().copied().collect();
        let index = times.len() / FORGOTTEN_SHARE;
        let (_, newest_forgotten, _) = times.select_nth_unstable(index);
        let newest_forgotten = *newest_forgotten;
        self.sound.retain(|_, at| *at > newest_forgotten);
    }

    /// Merges what another host reports. Returns whether other hosts should learn what this one knows of the part.
    pub fn merge(&mut self, report: &PartReport, now: Instant) -> bool {
        self.expire(now);
        let policy = self.policy.clone();
        let in_all_pools: usize = self.same_part(report.part).map(|it| it.crashes().len()).sum();
        let record = self.record_of(report.part, now);
        let other_crashes = in_all_pools - record.crashes().len();
        let was_quarantined = record.quarantine.is_some();
        record.merge(report, other_crashes, &policy, now);
        let is_quarantined = record.quarantine.is_some();
        let limit = record.limit(&policy, false);
        let has_crash = !record.crashes().is_empty();
        let changed_at = record.changed_at;
        let has_enough = has_crash && self.separate_crashes(report.part) >= limit;
        if is_quarantined || has_enough {
            // The sender tells all hosts itself, unless it has not counted as many crashes.
            let is_new = !is_quarantined;
            self.quarantine(report.part, report.beside, now);
            if !is_new && let Some(record) = self.records.get_mut(&report.part) {
                record.changed_at = changed_at;
            }
            return is_new;
        }
        let record = self.record_of(report.part, now);
        // The reporting host suspects a part that this one has seen a sound response to since.
        let is_refuted = report.quarantine_age_ms.is_some() && record.sound_at.is_some();
        if is_refuted || was_quarantined {
            record.changed_at = now;
        }
        is_refuted
    }

    /// Restores a quarantine that was saved before this host started. It may be tried once more.
    pub fn restore(&mut self, held: HeldPart, now: Instant) {
        let trials = u8::try_from(self.policy.trial_delays.len() - 1).unwrap_or(u8::MAX);
        self.record_of(held.part, now).quarantine(trials, held.beside, now);
    }

    /// Returns the quarantines that have lasted for `age`.
    pub fn quarantined_for(&self, age: Duration, now: Instant) -> Vec<HeldPart> {
        let held = self.records.iter().filter_map(|(part, record)| {
            let quarantine = record.quarantine?;
            let is_old = now.saturating_duration_since(quarantine.began_at) >= age;
            is_old.then_some(HeldPart { part: *part, beside: quarantine.beside })
        });
        held.collect()
    }

    /// Returns what other hosts should know: recent changes and all quarantines.
    pub fn reports(&self, now: Instant) -> Vec<PartReport> {
        let is_reported = |record: &PartRecord| {
            let is_recent =
                now.saturating_duration_since(record.changed_at) < self.policy.report_lifetime;
            record.quarantine.is_some() || is_recent
        };
        let mut reported: Vec<(&PoolPart, &PartRecord)> =
            self.records.iter().filter(|(_, record)| is_reported(record)).collect();
        reported.sort_by_key(|(_, record)| {
            std::cmp::Reverse((record.quarantine.is_some(), record.changed_at))
        });
        reported.truncate(MAX_REPORTS);
        reported.into_iter().map(|(part, record)| record.report(*part, now)).collect()
    }

    /// Returns the numbers of parts that this host remembers.
    pub fn counts(&self) -> PartCounts {
        let quarantined = self.records.values().filter(|record| record.quarantine.is_some());
        PartCounts { suspected: self.records.len(), quarantined: quarantined.count() }
    }

    /// Drops records that are too old.
    fn expire(&mut self, now: Instant) {
        let policy = &self.policy;
        self.records.retain(|_, record| !record.is_expired(policy, now));
    }

    /// Drops the oldest record without a quarantine if there are too many.
    fn make_room(&mut self) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let age = |record: &PartRecord| (record.quarantine.is_some(), record.changed_at);
        let oldest = self.records.iter().min_by_key(|(_, record)| age(record));
        if let Some(part) = oldest.map(|(part, _)| *part) {
            self.records.remove(&part);
        }
    }
}

#[cfg(test)]
mod limit_tests;
#[cfg(test)]
mod tests;
