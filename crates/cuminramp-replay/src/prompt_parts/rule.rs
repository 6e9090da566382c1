//! The ways in which a host decides which part crashes targets.

use std::time::Duration;

use cuminramp_fleet::{HostMessage, PartDecision, PartReport, PartTable, PoolPart};
use tokio::time::Instant;

/// What a host knows and decides.
pub(super) trait PartDecider {
    type Report: Clone;

    fn new(host: u32) -> Self;
    fn decide(&self, parts: &[PoolPart], now: Instant, is_trial_host: bool) -> PartDecision;
    fn begin_trial(&mut self, part: PoolPart, now: Instant);
    fn record_crash(&mut self, parts: &[PoolPart], target: u32, now: Instant);
    /// Returns whether other hosts should be told.
    fn record_sound(&mut self, parts: &[PoolPart], now: Instant) -> bool;
    /// Returns whether other hosts should be told.
    fn merge(&mut self, report: &Self::Report, now: Instant) -> bool;
    fn reports(&self, now: Instant) -> Vec<Self::Report>;
    /// Returns the size of a message in bytes.
    fn size(reports: &[Self::Report]) -> usize;
}

impl PartDecider for PartTable {
    type Report = PartReport;

    fn new(_host: u32) -> Self {
        PartTable::default()
    }

    fn decide(&self, parts: &[PoolPart], now: Instant, is_trial_host: bool) -> PartDecision {
        let delay = if is_trial_host { Duration::ZERO } else { Duration::MAX };
        PartTable::decide(self, parts, now, |_| delay)
    }

    fn begin_trial(&mut self, part: PoolPart, now: Instant) {
        PartTable::begin_trial(self, part, now);
    }

    fn record_crash(&mut self, parts: &[PoolPart], target: u32, now: Instant) {
        PartTable::record_crash(self, parts, target, now);
    }

    fn record_sound(&mut self, parts: &[PoolPart], now: Instant) -> bool {
        PartTable::record_sound(self, parts, now).has_news
    }

    fn merge(&mut self, report: &PartReport, now: Instant) -> bool {
        PartTable::merge(self, report, now)
    }

    fn reports(&self, now: Instant) -> Vec<PartReport> {
        PartTable::reports(self, now)
    }

    fn size(reports: &[PartReport]) -> usize {
        let message = HostMessage::PartReports(reports.to_vec());
        postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len())
    }
}
