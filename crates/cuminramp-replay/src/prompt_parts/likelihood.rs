//! Decides by likelihood which part of prompts crashes targets.

use std::time::Duration;

use cuminramp_core::SortedMap;
use cuminramp_fleet::{PartDecision, PoolPart, ReportedCrash};
use serde::Serialize;
use tokio::time::Instant;

use super::rule::PartDecider;

/// Share of the runs with a guilty part that end.
const GUILTY_RATE: f64 = 0.95;
/// Bounds of the base rate, since the first crashes are few and runs beside a guilty one end too.
const BASE_RATES: (f64, f64) = (0.02, 0.5);
/// Logarithm of the likelihood ratio from which a part is held: odds of 1,000 to 1.
const BOUND: f64 = 6.9;
/// Number of runs from which the counts of the base rate are halved.
const MAX_RUNS: f64 = 200.0;
/// Maximum number of sound runs that a host counts for a part.
const MAX_SOUND: u32 = 64;
/// As `PartPolicy` has them: crashes within this window count once, delays of trials, and times of reports.
const WAVE_WINDOW: Duration = Duration::from_millis(50);
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(30)];
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
const MAX_REPORTS: usize = 16;
const MAX_CRASHES: usize = 12;

#[derive(Clone, Debug)]
struct Observed {
    /// Targets that ended, in the order of time.
    crashes: Vec<(u32, Instant)>,
    /// Crashed runs at this host.
    own_crashes: u32,
    /// Sound runs by host.
    sound: SortedMap<u32, u32>,
    held_at: Option<Instant>,
    trials: u8,
    changed_at: Instant,
}

/// What a host tells others of a part.
#[derive(Clone, Debug, Serialize)]
pub(super) struct LikelihoodReport {
    part: PoolPart,
    crashes: Vec<ReportedCrash>,
    host: u32,
    sound: u32,
    is_held: bool,
    trials: u8,
}

pub(super) struct LikelihoodTable {
    host: u32,
    parts: SortedMap<PoolPart, Observed>,
    /// Sound runs at this host, by part.
    sound: SortedMap<PoolPart, u32>,
    /// Runs at this host and those of them that ended.
    runs: (f64, f64),
}

impl LikelihoodTable {
    fn entry(&mut self, part: PoolPart, now: Instant) -> &mut Observed {
        let sound = self.sound.get(&part).map(|count| (self.host, *count)).into_iter().collect();
        let new = || Observed {
            crashes: vec![],
            own_crashes: 0,
            sound,
            held_at: None,
            trials: 0,
            changed_at: now,
        };
        self.parts.get_or_insert_with(part, new)
    }

    /// Returns the logarithm of the likelihood ratio of a part that crashes targets to one that doesn't.
    fn score(&self, part: PoolPart) -> f64 {
        let Some(observed) = self.parts.get(&part) else { return 0.0 };
        let (runs, ended) = self.runs;
        let own = f64::from(observed.own_crashes);
        let base = ((ended - own).max(0.0) + 1.0) / ((runs - own).max(0.0) + 20.0);
        let base = base.clamp(BASE_RATES.0, BASE_RATES.1);
        let mut crashes = 0;
        let mut counted_at: Option<Instant> = None;
        for (_, at) in &observed.crashes {
            if counted_at.is_none_or(|counted| *at >= counted + WAVE_WINDOW) {
                (crashes, counted_at) = (crashes + 1, Some(*at));
            }
        }
        let sound: u32 = observed.sound.values().sum();
        f64::from(crashes) * (GUILTY_RATE / base).ln()
            + f64::from(sound) * ((1.0 - GUILTY_RATE) / (1.0 - base)).ln()
    }

    fn count_run(&mut self, has_ended: bool) {
        let (runs, ended) = &mut self.runs;
        (*runs, *ended) = (*runs + 1.0, *ended + f64::from(u8::from(has_ended)));
        if *runs >= MAX_RUNS {
            (*runs, *ended) = (*runs / 2.0, *ended / 2.0);
        }
    }
}

impl Observed {
    fn add_crash(&mut self, target: u32, at: Instant) {
        let is_same = |(other, seen): &(u32, Instant)| {
            *other == target && at.max(*seen) - at.min(*seen) < Duration::from_secs(2)
        };
        if !self.crashes.iter().any(is_same) {
            let index = self.crashes.partition_point(|(_, seen)| *seen <= at);
            self.crashes.insert(index, (target, at));
            self.crashes.truncate(MAX_CRASHES);
        }
    }
}

impl PartDecider for LikelihoodTable {
    type Report = LikelihoodReport;

    fn new(host: u32) -> Self {
        let (parts, sound) = (SortedMap::default(), SortedMap::default());
        LikelihoodTable { host, parts, sound, runs: (0.0, 0.0) }
    }

    fn decide(&self, parts: &[PoolPart], now: Instant, is_trial_host: bool) -> PartDecision {
        let held = |part: &PoolPart| self.parts.get(part).and_then(|it| Some((it, it.held_at?)));
        let Some((part, (observed, at))) = parts.iter().find_map(|it| Some((*it, held(it)?)))
        else {
            return PartDecision::Admit;
        };
        let delay = TRIAL_DELAYS.get(usize::from(observed.trials));
        match is_trial_host && delay.is_some_and(|delay| now >= at + *delay) {
            true => PartDecision::Trial(part),
            false => PartDecision::Hold(part),
        }
    }

    fn begin_trial(&mut self, part: PoolPart, now: Instant) {
        let observed = self.entry(part, now);
        (observed.trials, observed.changed_at) = (observed.trials + 1, now);
    }

    fn record_crash(&mut self, parts: &[PoolPart], target: u32, now: Instant) {
        self.count_run(true);
        let is_held = |it: &&PoolPart| self.parts.get(*it).is_some_and(|it| it.held_at.is_some());
        if parts.iter().any(|part| is_held(&part)) {
            return;
        }
        for part in parts {
            let observed = self.entry(*part, now);
            observed.add_crash(target, now);
            observed.own_crashes += 1;
            observed.changed_at = now;
        }
        // Of equally likely parts the last one.
        let scores = parts.iter().map(|part| (self.score(*part), *part));
        let likeliest = scores.max_by(|one, other| one.0.total_cmp(&other.0));
        if let Some((_, part)) = likeliest.filter(|(score, _)| *score >= BOUND) {
            self.entry(part, now).held_at = Some(now);
        }
    }

    fn record_sound(&mut self, parts: &[PoolPart], now: Instant) -> bool {
        self.count_run(false);
        let (host, mut has_news) = (self.host, false);
        for part in parts {
            let count = self.sound.get_or_insert_with(*part, || 0);
            *count = (*count + 1).min(MAX_SOUND);
            let count = *count;
            let Some(observed) = self.parts.get_mut(part) else { continue };
            observed.sound.insert(host, count);
            let is_freed = observed.held_at.is_some() && self.score(*part) < BOUND;
            if is_freed || (count.is_power_of_two() && count < MAX_SOUND) {
                has_news = true;
                let observed = self.entry(*part, now);
                observed.changed_at = now;
                observed.held_at = observed.held_at.filter(|_| !is_freed);
            }
        }
        has_news
    }

    fn merge(&mut self, report: &LikelihoodReport, now: Instant) -> bool {
        let observed = self.entry(report.part, now);
        for crash in &report.crashes {
            let age = Duration::from_millis(crash.age_ms.into());
            observed.add_crash(crash.target, now.checked_sub(age).unwrap_or(now));
        }
        let known = observed.sound.get(&report.host).copied().unwrap_or(0);
        observed.sound.insert(report.host, known.max(report.sound));
        observed.trials = observed.trials.max(report.trials);
        let is_unlikely = self.score(report.part) < 0.0;
        let observed = self.entry(report.part, now);
        if report.is_held && !is_unlikely && observed.held_at.is_none() {
            (observed.held_at, observed.changed_at) = (Some(now), now);
        } else if is_unlikely && observed.held_at.take().is_some() {
            observed.changed_at = now;
        }
        report.is_held && is_unlikely
    }

    fn reports(&self, now: Instant) -> Vec<LikelihoodReport> {
        let is_reported =
            |it: &Observed| it.held_at.is_some() || now - it.changed_at < REPORT_LIFETIME;
        let mut reported: Vec<_> = self.parts.iter().filter(|(_, it)| is_reported(it)).collect();
        reported.sort_by_key(|(_, it)| std::cmp::Reverse((it.held_at.is_some(), it.changed_at)));
        reported.truncate(MAX_REPORTS);
        let age = |at: Instant| (now - at).as_millis() as u32;
        let crash =
            |(target, at): &(u32, Instant)| ReportedCrash { target: *target, age_ms: age(*at) };
        let report = |(part, it): (&PoolPart, &Observed)| LikelihoodReport {
            part: *part,
            crashes: it.crashes.iter().map(crash).collect(),
            host: self.host,
            sound: self.sound.get(part).copied().unwrap_or(0),
            is_held: it.held_at.is_some(),
            trials: it.trials,
        };
        reported.into_iter().map(report).collect()
    }

    fn size(reports: &[LikelihoodReport]) -> usize {
        postcard::to_allocvec(reports).map_or(0, |bytes| bytes.len())
    }
}
