//! What a host knows of one part of prompts.

use std::time::Duration;

use tokio::time::Instant;

use super::report::{age_ms, moment};
use super::{PartPolicy, PartReport, PoolPart, ReportedCrash};

/// Maximum number of crashes that are kept, the last ones.
const MAX_CRASHES: usize = 12;
/// Time within which several requests report one crash of a target, also in reports that are late.
const SAME_CRASH_WINDOW: Duration = Duration::from_millis(1_200);

/// A target that crashed under a request with the part.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetCrash {
    target: u32,
    at: Instant,
}

/// Returns the number of crashes, where those within `window` count as one: targets that crash in a wave have
/// a cause in common that is no request.
pub(super) fn count_separate<'a>(
    crashes: impl Iterator<Item = &'a TargetCrash>,
    window: Duration,
) -> u32 {
    let mut times: Vec<Instant> = crashes.map(|crash| crash.at).collect();
    times.sort_unstable();
    let mut count = 0;
    let mut counted_at: Option<Instant> = None;
    for at in times {
        if counted_at.is_none_or(|counted| at.duration_since(counted) >= window) {
            count += 1;
            counted_at = Some(at);
        }
    }
    count
}

impl TargetCrash {
    pub(super) fn is_same(&self, target: u32, at: Instant) -> bool {
        let (first, second) = (self.at.min(at), self.at.max(at));
        self.target == target && second.duration_since(first) < SAME_CRASH_WINDOW
    }
}

/// Quarantine of a part.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quarantine {
    pub(super) began_at: Instant,
    /// Part that was in all of the crashed requests as well: only requests with both are held back.
    pub(super) beside: Option<PoolPart>,
    /// Number of trials that crashed a target, or whose outcome is open.
    pub(super) trials: u8,
    /// Number of trials that this host began.
    pub(super) begun_trials: u8,
    /// When the last trial of this host began, if its outcome is open.
    pub(super) trial_at: Option<Instant>,
    /// When this host last sent an item with the part.
    pub(super) item_sent_at: Option<Instant>,
}

#[derive(Clone, Debug)]
pub(super) struct PartRecord {
    /// Crashes since `sound_at`, in the order of time.
    crashes: Vec<TargetCrash>,
    /// When a response to a prompt with the part last went beyond its begin.
    pub(super) sound_at: Option<Instant>,
    pub(super) quarantine: Option<Quarantine>,
    /// When this host last learned something that others may not know.
    pub(super) changed_at: Instant,
}

impl PartRecord {
    pub(super) fn new(sound_at: Option<Instant>, now: Instant) -> Self {
        PartRecord { crashes: vec![], sound_at, quarantine: None, changed_at: now }
    }

    /// Adds a crash, unless it is known or older than a sound response. Returns whether it was added.
    pub(super) fn add_crash(&mut self, target: u32, at: Instant, wave_window: Duration) -> bool {
        if self.sound_at.is_some_and(|sound_at| at <= sound_at) {
            return false;
        }
        if self.has_crash(target, at) {
            return false;
        }
        if let Some(quarantine) = &mut self.quarantine {
            quarantine.trial_at = None;
        }
        let index = self.crashes.partition_point(|crash| crash.at <= at);
        self.crashes.insert(index, TargetCrash { target, at });
        if self.crashes.len() > MAX_CRASHES {
            // Of many crashes in a short time, those that count as one with an earlier one are dropped first.
            let is_counted_before =
                |pair: &[TargetCrash]| pair[1].at.duration_since(pair[0].at) < wave_window;
            let index = self.crashes.windows(2).position(is_counted_before);
            self.crashes.remove(index.map_or(0, |index| index + 1));
        }
        true
    }

    /// Returns whether a crash is known.
    pub(super) fn has_crash(&self, target: u32, at: Instant) -> bool {
        self.crashes.iter().any(|crash| crash.is_same(target, at))
    }

    /// Removes the crashes that a quarantined part explains.
    pub(super) fn forget_crashes(&mut self, explained: &[TargetCrash]) {
        if self.quarantine.is_none() {
            let is_explained = |crash: &TargetCrash| {
                explained.iter().any(|other| other.is_same(crash.target, crash.at))
            };
            self.crashes.retain(|crash| !is_explained(crash));
        }
    }

    pub(super) fn crashes(&self) -> &[TargetCrash] {
        &self.crashes
    }

    /// Records a response that the part did not crash. Returns whether others should know.
    pub(super) fn set_sound(&mut self, at: Instant) -> bool {
        if self.sound_at.is_some_and(|sound_at| at <= sound_at) {
            return false;
        }
        let crashes = self.crashes.len();
        self.sound_at = Some(at);
        self.crashes.retain(|crash| crash.at > at);
        let ends_quarantine = self.quarantine.is_some() && self.crashes.is_empty();
        if ends_quarantine {
            self.quarantine = None;
        }
        ends_quarantine || self.crashes.len() < crashes
    }

    pub(super) fn last_crash_at(&self) -> Option<Instant> {
        self.crashes.last().map(|crash| crash.at)
    }

    /// Begins the quarantine at `began_at`, unless it is in force, and learns of trials. One beside another part
    /// becomes one of the part alone.
    pub(super) fn quarantine(&mut self, trials: u8, beside: Option<PoolPart>, began_at: Instant) {
        let new = Quarantine {
            began_at,
            beside,
            trials,
            begun_trials: 0,
            trial_at: None,
            item_sent_at: None,
        };
        let quarantine = self.quarantine.get_or_insert(new);
        quarantine.trials = quarantine.trials.max(trials);
        quarantine.beside = quarantine.beside.and(beside);
    }

    /// Returns the number of crashes from which the part is quarantined, if it is the last suspect of a request or
    /// not.
    pub(super) fn limit(&self, policy: &PartPolicy, is_last: bool) -> u32 {
        match self.sound_at {
            Some(_) => policy.sound_part_crashes,
            None if is_last => policy.last_part_crashes,
            None => policy.earlier_part_crashes,
        }
    }

    /// Returns whether the record can be dropped.
    pub(super) fn is_expired(&self, policy: &PartPolicy, now: Instant) -> bool {
        let (since, lifetime) = match self.quarantine {
            Some(quarantine) => (quarantine.began_at, policy.quarantine_lifetime),
            None => (self.changed_at, policy.suspicion_lifetime),
        };
        let last = self.last_crash_at().map_or(since, |at| at.max(since));
        now.saturating_duration_since(last) >= lifetime
    }

    pub(super) fn report(&self, part: PoolPart, now: Instant) -> PartReport {
        let reported = |crash: &TargetCrash| ReportedCrash {
            target: crash.target,
            age_ms: age_ms(crash.at, now),
        };
        PartReport {
            part,
            crashes: self.crashes.iter().map(reported).collect(),
            sound_age_ms: self.sound_at.map(|at| age_ms(at, now)),
            quarantine_age_ms: self.quarantine.map(|it| age_ms(it.began_at, now)),
            beside: self.quarantine.and_then(|quarantine| quarantine.beside),
            trials: self.quarantine.map_or(0, |quarantine| quarantine.trials),
        }
    }

    /// Merges what another host reports. `other_crashes` is the number of crashes under the same part in other pools.
    pub(super) fn merge(
        &mut self,
        report: &PartReport,
        other_crashes: usize,
        policy: &PartPolicy,
        now: Instant,
    ) {
        if let Some(at) = report.sound_age_ms.and_then(|age| moment(age, now)) {
            self.set_sound(at);
        }
        for crash in report.crashes.iter().take(MAX_CRASHES) {
            if let Some(at) = moment(crash.age_ms, now) {
                self.add_crash(crash.target, at, policy.wave_window);
            }
        }
        // A sound response that the other host does not know of overrides its quarantine.
        let began_at = report.quarantine_age_ms.and_then(|age| moment(age, now));
        let crashes = self.crashes.len() + other_crashes;
        let has_enough = !self.crashes.is_empty() && crashes >= self.limit(policy, true) as usize;
        if let Some(began_at) = began_at.filter(|_| has_enough) {
            self.quarantine(report.trials, report.beside, began_at);
        }
    }
}
