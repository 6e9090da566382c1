//! Which targets fail what they are sent, as all hosts see it together.
//!
//! A target may break every connection, or a part of its requests, while its registration and its
//! health check are good. Did each host learn that by itself, a fleet of seventy would lose seventy
//! requests to every such target, again after each pause, and callers whose requests may not run twice
//! would get no answer. So hosts tell each other what came of their sends to targets that failed any.
//!
//! Counts fade with a half-life. One host alone can't set a target aside for others: the fault may lie
//! between the two of them.

use std::time::Duration;

use cuminramp_core::{HostId, SortedMap};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// After so long a count weighs half.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Counts below this are forgotten.
const LEAST_COUNT: f64 = 0.1;
/// Failures, faded, before a target is set aside.
const LEAST_FAILURES: f64 = 2.0;
/// Part of the sends that failed from which a target is set aside. Targets that lose one answer in
/// twenty stay in use.
const DOUBT_SHARE: f64 = 0.25;
/// What the failures that one other host tells of count at the most.
const MOST_OF_ONE_HOST: f64 = 1.5;
/// What a target's failures count at the most, so that one that has recovered is back in seconds.
const MOST_FAILURES: f64 = 8.0;
/// Whole answers that a target is given credit for beside those seen: one failure alone says little.
const PRIOR_SUCCESSES: f64 = 4.0;
/// Counts travel in sixteenths.
const SCALE: f64 = 16.0;
/// Targets in one heartbeat: some 400 bytes.
const MOST_TOLD: usize = 64;
/// The set of doubtful targets is made anew at most this often: hosts hear hundreds of heartbeats a second.
const REVIEW_EVERY: Duration = Duration::from_millis(20);

/// What came of one host's sends to a target lately.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetOutcomes {
    /// The target, as [`name_hash`](crate::name_hash) gives it.
    pub target: u32,
    /// Failures, faded, in sixteenths.
    pub failures: u16,
    /// Whole answers, faded, in sixteenths.
    pub successes: u16,
}

#[derive(Clone, Copy, Debug, Default)]
struct FadedCounts {
    failures: f64,
    successes: f64,
}

impl FadedCounts {
    fn faded(self, passed: Duration) -> Self {
        let factor = 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        FadedCounts { failures: self.failures * factor, successes: self.successes * factor }
    }

    fn of(told: &TargetOutcomes) -> Self {
        FadedCounts {
            failures: f64::from(told.failures) / SCALE,
            successes: f64::from(told.successes) / SCALE,
        }
    }

    fn is_outlier(&self) -> bool {
        let all = self.failures + self.successes;
        self.failures >= LEAST_FAILURES && self.failures >= DOUBT_SHARE * all
    }
}

#[derive(Debug)]
struct ReceivedOutcomes {
    outcomes: Vec<TargetOutcomes>,
    received_at: Instant,
}

/// What came of sends, by target.
#[derive(Debug)]
pub(crate) struct OutlierDetector {
    own: SortedMap<u32, (FadedCounts, Instant)>,
    told: SortedMap<HostId, ReceivedOutcomes>,
    /// Faded counts of targets that have failures, of all hosts together.
    reviewed: SortedMap<u32, FadedCounts>,
    next_review: Option<Instant>,
    /// Targets that were doubtful when [`OutlierDetector::take_changes`] was last asked.
    reported: Vec<u32>,
}

/// A target was set aside, or is used again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierChange {
    /// The target, as [`name_hash`](crate::name_hash) gives it.
    pub target: u32,
    /// Whether it is set aside now.
    pub is_outlier: bool,
    /// Failures of all hosts lately, faded.
    pub failures: f64,
    /// Whole answers to all hosts lately, faded.
    pub successes: f64,
}

impl OutlierDetector {
    pub(crate) fn new() -> Self {
        OutlierDetector {
            own: SortedMap::new(),
            told: SortedMap::new(),
            reviewed: SortedMap::new(),
            next_review: None,
            reported: Vec::new(),
        }
    }

    /// Targets that were set aside or are used again since this was last asked.
    pub(crate) fn take_changes(&mut self, now: Instant) -> Vec<OutlierChange> {
        self.review(now);
        let doubtful: Vec<u32> = self
            .reviewed
            .iter()
            .filter(|(_, counts)| counts.is_outlier())
            .map(|(target, _)| *target)
            .collect();
        let before = std::mem::replace(&mut self.reported, doubtful);
        let change = |target: u32, is_outlier: bool| {
            let counts = self.reviewed.get(&target).copied().unwrap_or_default();
            let FadedCounts { failures, successes } = counts;
            OutlierChange { target, is_outlier, failures, successes }
        };
        let gone = before.iter().filter(|target| !self.reported.contains(target));
        let new = self.reported.iter().filter(|target| !before.contains(target));
        let gone = gone.map(|target| change(*target, false));
        gone.chain(new.map(|target| change(*target, true))).collect()
    }

    /// A send to a target failed, or was answered as it should be.
    pub(crate) fn record(&mut self, target: u32, is_failure: bool, now: Instant) {
        let (counts, at) = self.own.get_or_insert_with(target, || (FadedCounts::default(), now));
        *counts = counts.faded(now.saturating_duration_since(*at));
        *at = now;
        if is_failure {
            counts.failures = (counts.failures + 1.0).min(MOST_FAILURES);
            self.next_review = None;
        } else {
            counts.successes += 1.0;
        }
    }

    /// Forgets a target: it is gone, or another run of it began.
    pub(crate) fn forget(&mut self, target: u32) {
        self.own.remove(&target);
        self.reviewed.remove(&target);
        for (_, told) in self.told.iter_mut() {
            told.outcomes.retain(|outcome| outcome.target != target);
        }
    }

    /// Takes what a host tells in place of what it told before.
    pub(crate) fn receive(&mut self, host: &HostId, outcomes: Vec<TargetOutcomes>, now: Instant) {
        if outcomes.is_empty() {
            self.told.remove(host);
        } else {
            self.told.insert(host.clone(), ReceivedOutcomes { outcomes, received_at: now });
        }
    }

    /// Drops what a run of a host told.
    pub(crate) fn forget_host(&mut self, host: &HostId) {
        self.told.remove(host);
    }

    /// What this host tells others: of targets that failed anybody lately. Those that never failed
    /// are left out.
    pub(crate) fn tell(&self, now: Instant) -> Vec<TargetOutcomes> {
        let named = self.own.iter().filter_map(|(target, (counts, at))| {
            let counts = counts.faded(now.saturating_duration_since(*at));
            let is_named = counts.failures >= LEAST_COUNT || self.reviewed.get(target).is_some();
            is_named.then(|| TargetOutcomes {
                target: *target,
                failures: (counts.failures * SCALE) as u16,
                successes: (counts.successes * SCALE).min(f64::from(u16::MAX)) as u16,
            })
        });
        named.take(MOST_TOLD).collect()
    }

    /// Sums up what is known of targets that failed, if that was not done just now.
    pub(crate) fn review(&mut self, now: Instant) {
        if self.next_review.is_some_and(|next| now < next) {
            return;
        }
        self.next_review = Some(now + REVIEW_EVERY);
        self.own.retain(|_, (counts, at)| {
            let counts = counts.faded(now.saturating_duration_since(*at));
            counts.failures + counts.successes >= LEAST_COUNT
        });
        let mut sums: SortedMap<u32, FadedCounts> = SortedMap::new();
        for told in self.told.values() {
            let passed = now.saturating_duration_since(told.received_at);
            for outcome in &told.outcomes {
                let counts = FadedCounts::of(outcome).faded(passed);
                let sum = sums.get_or_insert_with(outcome.target, FadedCounts::default);
                sum.failures += counts.failures.min(MOST_OF_ONE_HOST);
                sum.successes += counts.successes;
            }
        }
        for (target, (counts, at)) in self.own.iter() {
            let counts = counts.faded(now.saturating_duration_since(*at));
            let sum = sums.get_or_insert_with(*target, FadedCounts::default);
            sum.failures += counts.failures;
            sum.successes += counts.successes;
        }
        sums.retain(|_, sum| sum.failures >= LEAST_COUNT);
        self.reviewed = sums;
    }

    /// Whether a target fails too much to be sent what may run only once.
    pub(crate) fn is_outlier(&self, target: u32) -> bool {
        self.reviewed.get(&target).is_some_and(FadedCounts::is_outlier)
    }

    /// The part of the sends to a target that failed lately.
    ///
    /// A target that breaks everything stands empty. Were it rated by its free slots alone, it would
    /// draw nearly all requests until the news of it is out, and again when its failures have faded.
    pub(crate) fn failure_share(&self, target: u32) -> f64 {
        let counts = self.reviewed.get(&target).copied().unwrap_or_default();
        counts.failures / (counts.failures + counts.successes + PRIOR_SUCCESSES)
    }
}

#[cfg(test)]
mod tests;
