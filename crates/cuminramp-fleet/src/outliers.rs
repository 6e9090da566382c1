//! Outlier detection: ejects targets that fail too much of what is sent to them, by the counts of all
//! hosts.
//!
//! A target may break every connection, or fail a part of its requests, while its registration and its
//! health check are good. If each host had to find that out by itself, a fleet of seventy hosts would
//! lose seventy requests to every such target, and as many after each backoff, and callers whose requests
//! must not run twice would get no answer. Hosts therefore report the outcomes of their sends to targets
//! with failures, in their slot reports to the owner of the targets' group.
//!
//! Counts decay with a half-life. The failures of one host alone never eject a target on other hosts: the
//! cause may be the network between that host and the target.

use std::time::Duration;

use cuminramp_core::{HostId, SortedMap};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Time after which a count has decayed to half.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Minimum count that is kept; a lower one is dropped.
const MIN_COUNT: f64 = 0.1;
/// Minimum number of decayed failures before a target is ejected.
const MIN_FAILURES: f64 = 2.0;
/// Minimum share of failed sends before a target is ejected. Targets that lose one answer in twenty stay
/// in use.
const MIN_FAILURE_SHARE: f64 = 0.25;
/// Maximum number of failures counted from the reports of one other host.
const MAX_FAILURES_PER_HOST: f64 = 1.5;
/// Maximum number of own failures counted for a target, so that one that has recovered is reinstated
/// within seconds.
const MAX_FAILURES: f64 = 8.0;
/// Number of complete answers assumed for each target in addition to those seen, since a single failure
/// is weak evidence.
const PRIOR_SUCCESSES: f64 = 4.0;
/// Scale of counts in messages: they are sent in sixteenths.
const COUNT_SCALE: f64 = 16.0;
/// Maximum number of targets whose outcomes a host advertises, about 400 bytes.
const MAX_ADVERTISED_TARGETS: usize = 64;
/// Minimum interval between two evaluations of the outliers: owners receive hundreds of slot reports a
/// second, and each replaces a host's outcomes.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(20);

/// Recent outcomes of one host's sends to a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetOutcomes {
    /// The target, as returned by [`name_hash`](crate::name_hash).
    pub target: u32,
    /// Decayed number of failures, in sixteenths.
    pub failures: u16,
    /// Decayed number of complete answers, in sixteenths.
    pub successes: u16,
}

#[derive(Clone, Copy, Debug, Default)]
struct DecayedCounts {
    failures: f64,
    successes: f64,
}

impl DecayedCounts {
    fn decayed(self, passed: Duration) -> Self {
        let factor = 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        DecayedCounts { failures: self.failures * factor, successes: self.successes * factor }
    }

    fn of(outcomes: &TargetOutcomes) -> Self {
        DecayedCounts {
            failures: f64::from(outcomes.failures) / COUNT_SCALE,
            successes: f64::from(outcomes.successes) / COUNT_SCALE,
        }
    }

    fn is_outlier(&self) -> bool {
        let all = self.failures + self.successes;
        self.failures >= MIN_FAILURES && self.failures >= MIN_FAILURE_SHARE * all
    }
}

#[derive(Debug)]
struct ReceivedOutcomes {
    outcomes: Vec<TargetOutcomes>,
    received_at: Instant,
}

/// Outcomes of sends by target, from this host and from others, and the outliers among the targets.
#[derive(Debug)]
pub(crate) struct OutlierDetector {
    own: SortedMap<u32, (DecayedCounts, Instant)>,
    received: SortedMap<HostId, ReceivedOutcomes>,
    /// Decayed counts, summed over all hosts, of the targets that have failures.
    totals: SortedMap<u32, DecayedCounts>,
    next_evaluation: Option<Instant>,
    /// Targets that were outliers at the last call of [`OutlierDetector::take_changes`].
    last_outliers: Vec<u32>,
}

/// The ejection of a target, or its reinstatement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierChange {
    /// The target, as returned by [`name_hash`](crate::name_hash).
    pub target: u32,
    /// Whether the target is ejected now.
    pub is_outlier: bool,
    /// Decayed number of failures over all hosts.
    pub failures: f64,
    /// Decayed number of complete answers to all hosts.
    pub successes: f64,
}

impl OutlierDetector {
    pub(crate) fn new() -> Self {
        OutlierDetector {
            own: SortedMap::new(),
            received: SortedMap::new(),
            totals: SortedMap::new(),
            next_evaluation: None,
            last_outliers: Vec::new(),
        }
    }

    /// Returns the targets ejected or reinstated since the last call.
    pub(crate) fn take_changes(&mut self, now: Instant) -> Vec<OutlierChange> {
        self.evaluate(now);
        let outliers: Vec<u32> = self
            .totals
            .iter()
            .filter(|(_, counts)| counts.is_outlier())
            .map(|(target, _)| *target)
            .collect();
        let before = std::mem::replace(&mut self.last_outliers, outliers);
        let change = |target: u32, is_outlier: bool| {
            let counts = self.totals.get(&target).copied().unwrap_or_default();
            let DecayedCounts { failures, successes } = counts;
            OutlierChange { target, is_outlier, failures, successes }
        };
        let reinstated = before.iter().filter(|target| !self.last_outliers.contains(target));
        let ejected = self.last_outliers.iter().filter(|target| !before.contains(target));
        let reinstated = reinstated.map(|target| change(*target, false));
        reinstated.chain(ejected.map(|target| change(*target, true))).collect()
    }

    /// Records the outcome of a send from this host to a target.
    pub(crate) fn record(&mut self, target: u32, is_failure: bool, now: Instant) {
        let (counts, at) = self.own.get_or_insert_with(target, || (DecayedCounts::default(), now));
        *counts = counts.decayed(now.saturating_duration_since(*at));
        *at = now;
        if is_failure {
            counts.failures = (counts.failures + 1.0).min(MAX_FAILURES);
            self.next_evaluation = None;
        } else {
            counts.successes += 1.0;
        }
    }

    /// Drops the counts of a target that is gone or has restarted.
    pub(crate) fn forget(&mut self, target: u32) {
        self.own.remove(&target);
        self.totals.remove(&target);
        for (_, received) in self.received.iter_mut() {
            received.outcomes.retain(|outcome| outcome.target != target);
        }
    }

    /// Replaces what a host reported before by its new report.
    pub(crate) fn receive(&mut self, host: &HostId, outcomes: Vec<TargetOutcomes>, now: Instant) {
        if outcomes.is_empty() {
            self.received.remove(host);
        } else {
            self.received.insert(host.clone(), ReceivedOutcomes { outcomes, received_at: now });
        }
    }

    /// Drops the report of one incarnation of a host.
    pub(crate) fn forget_host(&mut self, host: &HostId) {
        self.received.remove(host);
    }

    /// Returns what this host advertises: its counts for the targets that failed on any host lately.
    /// Targets without failures are left out.
    pub(crate) fn advertised(&self, now: Instant) -> Vec<TargetOutcomes> {
        let advertised = self.own.iter().filter_map(|(target, (counts, at))| {
            let counts = counts.decayed(now.saturating_duration_since(*at));
            let is_advertised = counts.failures >= MIN_COUNT || self.totals.get(target).is_some();
            is_advertised.then(|| TargetOutcomes {
                target: *target,
                failures: (counts.failures * COUNT_SCALE) as u16,
                successes: (counts.successes * COUNT_SCALE).min(f64::from(u16::MAX)) as u16,
            })
        });
        advertised.take(MAX_ADVERTISED_TARGETS).collect()
    }

    /// Sums the counts of all hosts for targets with failures, unless that was done within the last
    /// [`EVALUATION_INTERVAL`].
    pub(crate) fn evaluate(&mut self, now: Instant) {
        if self.next_evaluation.is_some_and(|next| now < next) {
            return;
        }
        self.next_evaluation = Some(now + EVALUATION_INTERVAL);
        self.own.retain(|_, (counts, at)| {
            let counts = counts.decayed(now.saturating_duration_since(*at));
            counts.failures + counts.successes >= MIN_COUNT
        });
        let mut totals: SortedMap<u32, DecayedCounts> = SortedMap::new();
        for received in self.received.values() {
            let passed = now.saturating_duration_since(received.received_at);
            for outcome in &received.outcomes {
                let counts = DecayedCounts::of(outcome).decayed(passed);
                let total = totals.get_or_insert_with(outcome.target, DecayedCounts::default);
                total.failures += counts.failures.min(MAX_FAILURES_PER_HOST);
                total.successes += counts.successes;
            }
        }
        for (target, (counts, at)) in self.own.iter() {
            let counts = counts.decayed(now.saturating_duration_since(*at));
            let total = totals.get_or_insert_with(*target, DecayedCounts::default);
            total.failures += counts.failures;
            total.successes += counts.successes;
        }
        totals.retain(|_, total| total.failures >= MIN_COUNT);
        self.totals = totals;
    }

    /// Returns whether a target is an outlier: online requests avoid it, since one that may run only once
    /// would be lost there.
    pub(crate) fn is_outlier(&self, target: u32) -> bool {
        self.totals.get(&target).is_some_and(DecayedCounts::is_outlier)
    }

    /// Returns the share of recent sends to a target that failed.
    ///
    /// A target that breaks every connection has all its slots free. Rated by free slots alone, it would
    /// attract nearly all requests until its failures are reported to all hosts, and again once they have
    /// decayed.
    pub(crate) fn failure_rate(&self, target: u32) -> f64 {
        let counts = self.totals.get(&target).copied().unwrap_or_default();
        counts.failures / (counts.failures + counts.successes + PRIOR_SUCCESSES)
    }
}

#[cfg(test)]
mod tests;
