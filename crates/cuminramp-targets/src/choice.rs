//! Chooses the target for a request and ejects failing targets.

use std::time::Duration;

use cuminramp_core::{Name, RandomSource, SortedMap, rendezvous_score};
use tokio::time::Instant;

/// Weight of the newest latency in the moving average of a target.
const LATENCY_GAIN: f64 = 0.2;
/// Latency assumed for a target that has not answered yet, in seconds.
const INITIAL_LATENCY: f64 = 0.05;
/// Maximum expected wait of the target that a prefix prefers, relative to the mean of all candidates.
/// Above it, the prefix is ignored.
const MAX_PREFIX_WAIT_RATIO: f64 = 1.25;
/// Share of its slots that a new or reinstated target may use at first.
const SLOW_START_SHARE: f64 = 0.1;
/// Time in which the share of slots that a new or reinstated target may use grows by 1. As the share starts
/// at [`SLOW_START_SHARE`], the target may use all of its slots a little earlier.
const SLOW_START_WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of times that the duration of an ejection doubles: to 8 times the first.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Time after which the weight of a load report has halved.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Limits for choosing and ejecting targets.
#[derive(Clone, Debug)]
pub struct TargetPolicy {
    /// Number of consecutive failures after which a target is ejected.
    pub max_failures: u32,
    /// Duration of the first ejection. Each further one lasts twice as long, up to 8 times the first.
    pub ejection_duration: Duration,
    /// Maximum share of a pool's targets that are kept out at once by ejection.
    pub max_ejected_share: f64,
    /// Maximum number of requests on a target, as a multiple of its slots.
    pub slot_factor: f64,
}

impl Default for TargetPolicy {
    fn default() -> Self {
        TargetPolicy {
            max_failures: 3,
            ejection_duration: Duration::from_secs(1),
            max_ejected_share: 0.5,
            slot_factor: 1.0,
        }
    }
}

/// A target as defined in its pool's row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetSpec {
    /// Its name.
    pub name: Name,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is being removed and gets no new work.
    pub is_leaving: bool,
}

/// The load that a target reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadSnapshot {
    /// Number of requests running or waiting on the target, from all hosts.
    pub requests: u32,
    /// Time at which the target had this load.
    pub at: Instant,
}

/// Class of the work that a request belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// A caller waits for the answer.
    Online,
    /// Belongs to a batch job; no caller waits for the answer.
    Batch,
}

/// How an attempt on a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The target answered; holds the time to the first byte.
    Answered(Duration),
    /// The target refused the request, failed, or closed the connection.
    Failed,
    /// The target sent nothing for the timeout. It is ejected at once.
    Silent,
    /// The target was silent and has sent something since; the attempt goes on.
    Resumed,
    /// This host ended the attempt, as at the request's deadline, which shows nothing about the target.
    Cancelled,
}

/// Properties of a request that affect the choice of its target.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// Hash of the start of the prompt, if the targets cache prefixes.
    pub prefix: Option<u64>,
    /// Targets to avoid: those of earlier attempts and those that the caller excludes. They are chosen
    /// only if no other target is eligible.
    pub avoided: &'a [Name],
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoiceReason {
    /// The target probably has the prefix cached and is not much busier than the others.
    Prefix,
    /// The target has the shorter expected wait of two drawn at random.
    Wait,
    /// The target is the only candidate: all others are leaving, ejected, full or avoided.
    OnlyCandidate,
}

impl ChoiceReason {
    /// Returns the value used in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            ChoiceReason::Prefix => "prefix",
            ChoiceReason::Wait => "wait",
            ChoiceReason::OnlyCandidate => "last",
        }
    }
}

/// A chosen target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetChoice {
    /// Index of the target in the list passed to [`TargetTable::choose`].
    pub index: usize,
    /// Reason for the choice.
    pub reason: ChoiceReason,
}

/// State that this host keeps for one target.
#[derive(Debug)]
struct TargetRecord {
    /// Online requests that this host has in flight on the target.
    online: u32,
    /// Batch requests that this host has in flight on the target.
    batch: u32,
    /// The newest report, and how many requests this host had in flight when it arrived.
    report: Option<(LoadSnapshot, u32)>,
    /// Moving average of the time to the first byte, in seconds.
    latency: f64,
    /// Consecutive failures.
    failures: u32,
    /// Number of ejections since the target last left probation.
    ejections: u32,
    /// End of the current or last ejection; `None` once the target has answered after it.
    ejected_until: Option<Instant>,
    /// Number of requests in flight at the last ejection that may still be in flight. They are not probes:
    /// an attempt on a dead connection may last until its deadline, although the target responds again.
    in_flight_at_ejection: u32,
    /// Time at which the slow start began.
    slow_start_at: Instant,
}

impl TargetRecord {
    fn new(now: Instant) -> Self {
        TargetRecord {
            online: 0,
            batch: 0,
            report: None,
            latency: INITIAL_LATENCY,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            in_flight_at_ejection: 0,
            slow_start_at: now,
        }
    }

    fn own(&self) -> u32 {
        self.online + self.batch
    }

    /// Estimates the number of requests on the target now. This host's own requests count in full;
    /// those of other hosts come from the last report, whose weight decays with its age.
    fn estimate(&self, now: Instant) -> f64 {
        let others = self.report.map_or(0.0, |(report, own)| {
            let age = now.saturating_duration_since(report.at).as_secs_f64();
            let weight = 0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
            f64::from(report.requests.saturating_sub(own)) * weight
        });
        f64::from(self.own()) + others
    }

    /// Returns how many more requests the target may get; negative if it has too many.
    /// The limit is at least one request, even at the beginning of a slow start.
    fn free_slots(&self, spec: &TargetSpec, policy: &TargetPolicy, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.slow_start_at).as_secs_f64();
        let share = (SLOW_START_SHARE + age / SLOW_START_WINDOW.as_secs_f64()).min(1.0);
        (f64::from(spec.slots) * policy.slot_factor * share).max(1.0) - self.estimate(now)
    }

    /// Returns the expected time to the first byte of another request, in seconds.
    fn expected_wait(&self, spec: &TargetSpec, now: Instant) -> f64 {
        self.latency * (1.0 + self.estimate(now) / f64::from(spec.slots.max(1)))
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Returns whether the target has been ejected and has not answered since. It then gets one request at a
    /// time, and a single failure ejects it again.
    fn is_on_probation(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records that the target responds, which ends its ejection and probation.
    ///
    /// A target that goes on with requests from before its ejection gets no slow start: they would use up
    /// the few requests that it could get then, and others would be refused.
    fn reinstate(&mut self, now: Instant) {
        if self.is_on_probation() && self.in_flight_at_ejection == 0 {
            self.slow_start_at = now;
        }
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }
}

/// Load, latency and ejection state of all targets, as recorded on this host.
#[derive(Debug)]
pub struct TargetTable {
    policy: TargetPolicy,
    records: SortedMap<Name, TargetRecord>,
}

impl TargetTable {
    /// Creates a table without targets.
    ///
    /// ```
    /// use cuminramp_targets::{TargetPolicy, TargetTable};
    /// let table = TargetTable::new(TargetPolicy::default());
    /// assert_eq!(table.in_flight("e1"), (0, 0));
    /// ```
    pub fn new(policy: TargetPolicy) -> Self {
        TargetTable { policy, records: SortedMap::new() }
    }

    /// Applies the targets of the current generation. Targets of the first call count as warm; those
    /// added later get a slow start. A removed target is kept while this host has requests on it.
    pub fn set_targets(&mut self, specs: &[TargetSpec], now: Instant) {
        let first = self.records.is_empty();
        for spec in specs {
            let record =
                self.records.get_or_insert_with(spec.name.clone(), || TargetRecord::new(now));
            if first {
                record.slow_start_at = now.checked_sub(SLOW_START_WINDOW).unwrap_or(now);
            }
        }
        let mut names: Vec<&Name> = specs.iter().map(|spec| &spec.name).collect();
        names.sort();
        self.records.retain(|name, record| names.binary_search(&name).is_ok() || record.own() > 0);
    }

    /// Returns how many online and batch requests this host has in flight on a target.
    pub fn in_flight(&self, target: &str) -> (u32, u32) {
        self.records.get(target).map_or((0, 0), |record| (record.online, record.batch))
    }

    /// Returns the estimated number of requests on a target, from all hosts.
    pub fn estimate(&self, target: &str, now: Instant) -> f64 {
        self.records.get(target).map_or(0.0, |record| record.estimate(now))
    }

    /// Returns the newest load report of a target.
    pub fn report(&self, target: &str) -> Option<LoadSnapshot> {
        Some(self.records.get(target)?.report?.0)
    }

    /// Returns whether a target is ejected.
    pub fn is_ejected(&self, target: &str, now: Instant) -> bool {
        self.records.get(target).is_some_and(|record| record.is_ejected(now))
    }

    /// Records a load report of a target, unless it is older than the recorded one.
    pub fn on_report(&mut self, target: &str, report: LoadSnapshot) {
        let Some(record) = self.records.get_mut(target) else {
            return;
        };
        if record.report.is_none_or(|(last, _)| last.at < report.at) {
            record.report = Some((report, record.own()));
        }
    }

    /// Records the start of an attempt.
    pub fn on_start(&mut self, target: &str, kind: WorkKind, now: Instant) {
        let record = self.records.get_or_insert_with(target.into(), || TargetRecord::new(now));
        match kind {
            WorkKind::Online => record.online += 1,
            WorkKind::Batch => record.batch += 1,
        }
    }

    /// Records that the head of an answer arrived or that the attempt failed. Returns whether this
    /// ejects the target.
    pub fn on_outcome(&mut self, target: &str, end: AttemptEnd, now: Instant) -> bool {
        let policy = self.policy.clone();
        let Some(record) = self.records.get_mut(target) else {
            return false;
        };
        match end {
            AttemptEnd::Answered(latency) => {
                let newest = latency.as_secs_f64();
                record.latency += (newest - record.latency) * LATENCY_GAIN;
                record.reinstate(now);
                false
            }
            AttemptEnd::Resumed => {
                record.reinstate(now);
                false
            }
            AttemptEnd::Failed => {
                record.failures += 1;
                let on_probation = record.is_on_probation();
                let eject = on_probation || record.failures >= policy.max_failures;
                eject && eject_target(record, &policy, now)
            }
            AttemptEnd::Silent => eject_target(record, &policy, now),
            AttemptEnd::Cancelled => false,
        }
    }

    /// Records the end of an attempt, which frees its slot on the target.
    pub fn on_finish(&mut self, target: &str, kind: WorkKind) {
        let Some(record) = self.records.get_mut(target) else {
            return;
        };
        match kind {
            WorkKind::Online => record.online = record.online.saturating_sub(1),
            WorkKind::Batch => record.batch = record.batch.saturating_sub(1),
        }
        record.in_flight_at_ejection = record.in_flight_at_ejection.min(record.own());
    }

    /// Chooses a target with a free slot. Returns `None` if there is none; the request then waits.
    pub fn choose(
        &self,
        specs: &[TargetSpec],
        query: ChoiceQuery<'_>,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Option<TargetChoice> {
        let eligible = self.eligible(specs, query.avoided, now);
        let candidates: Vec<usize> = eligible
            .iter()
            .copied()
            .filter(|index| self.has_free_slot(&specs[*index], now))
            .collect();
        match candidates.as_slice() {
            [] => None,
            [index] => Some(TargetChoice { index: *index, reason: ChoiceReason::OnlyCandidate }),
            _ => Some(self.choose_among(specs, &candidates, query.prefix, random, now)),
        }
    }

    /// Returns whether any target can run requests at all, that is, is not leaving.
    pub fn has_targets(&self, specs: &[TargetSpec]) -> bool {
        specs.iter().any(|spec| !spec.is_leaving)
    }

    fn record_of(&self, spec: &TargetSpec) -> Option<&TargetRecord> {
        self.records.get(&*spec.name)
    }

    fn has_free_slot(&self, spec: &TargetSpec, now: Instant) -> bool {
        self.record_of(spec).is_none_or(|record| {
            let free = record.free_slots(spec, &self.policy, now) > 0.0;
            free && !(record.is_on_probation() && record.own() > record.in_flight_at_ejection)
        })
    }

    /// Returns the targets that may get the request: not leaving, not ejected (up to the maximum share
    /// of ejected targets), and not avoided, unless all others are avoided too.
    fn eligible(&self, specs: &[TargetSpec], avoided: &[Name], now: Instant) -> Vec<usize> {
        let not_leaving: Vec<usize> =
            (0..specs.len()).filter(|index| !specs[*index].is_leaving).collect();
        let mut ejected: Vec<(Instant, usize)> = not_leaving
            .iter()
            .filter_map(|index| {
                let record = self.record_of(&specs[*index])?;
                record.is_ejected(now).then_some((record.ejected_until?, *index))
            })
            .collect();
        // Limits the ejected targets to the maximum share and keeps out the ones whose ejection ends
        // last. A brief network failure between hosts and targets can eject all targets at once;
        // without the limit, callers would be refused while the targets are idle.
        ejected.sort_by_key(|(until, _)| std::cmp::Reverse(*until));
        ejected.truncate((not_leaving.len() as f64 * self.policy.max_ejected_share) as usize);
        let not_ejected =
            not_leaving.iter().filter(|index| !ejected.iter().any(|(_, out)| out == *index));
        let allowed: Vec<usize> = not_ejected.copied().collect();
        let not_avoided: Vec<usize> = allowed
            .iter()
            .copied()
            .filter(|index| !avoided.contains(&specs[*index].name))
            .collect();
        if not_avoided.is_empty() { allowed } else { not_avoided }
    }

    /// Chooses among at least two candidates: the one that the prefix prefers, unless it is much busier
    /// than the others, else the better of two drawn at random.
    fn choose_among(
        &self,
        specs: &[TargetSpec],
        candidates: &[usize],
        prefix: Option<u64>,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> TargetChoice {
        let wait = |index: usize| {
            let spec = &specs[index];
            self.record_of(spec).map_or(INITIAL_LATENCY, |record| record.expected_wait(spec, now))
        };
        if let Some(prefix) = prefix {
            let key = prefix.to_string();
            let preferred = candidates
                .iter()
                .copied()
                .max_by_key(|index| rendezvous_score(&key, &specs[*index].name))
                .unwrap_or(candidates[0]);
            let mean =
                candidates.iter().map(|index| wait(*index)).sum::<f64>() / candidates.len() as f64;
            if wait(preferred) <= mean * MAX_PREFIX_WAIT_RATIO {
                return TargetChoice { index: preferred, reason: ChoiceReason::Prefix };
            }
        }
        let first = random.below(candidates.len());
        let second = (first + 1 + random.below(candidates.len() - 1)) % candidates.len();
        let (first, second) = (candidates[first], candidates[second]);
        let index = if wait(second) < wait(first) { second } else { first };
        TargetChoice { index, reason: ChoiceReason::Wait }
    }
}

/// Ejects a target, for twice as long as the last time up to the maximum. Returns `false` if it was
/// ejected already.
fn eject_target(record: &mut TargetRecord, policy: &TargetPolicy, now: Instant) -> bool {
    if record.is_ejected(now) {
        return false;
    }
    let duration =
        policy.ejection_duration * 2u32.pow(record.ejections.min(MAX_EJECTION_DOUBLINGS));
    record.ejected_until = Some(now + duration);
    record.ejections += 1;
    record.in_flight_at_ejection = record.own();
    record.failures = 0;
    true
}

#[cfg(test)]
mod tests;
