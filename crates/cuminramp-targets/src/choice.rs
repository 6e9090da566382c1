//! Which target gets a request.

use std::time::Duration;

use cuminramp_core::{Name, RandomSource, SortedMap, rendezvous_score};
use tokio::time::Instant;

/// Weight of the newest time in the average.
const LATENCY_GAIN: f64 = 0.2;
/// What is assumed of a target that has not answered yet, in seconds.
const FIRST_LATENCY: f64 = 0.05;
/// A preferred target may be so much worse than the average before it is passed over.
const AFFINITY_BOUND: f64 = 1.25;
/// Of the slots of a target that is new or was set aside, this part is used at first.
const WARM_START: f64 = 0.1;
/// After this time all of its slots are used.
const WARM_TIME: Duration = Duration::from_secs(10);
/// The longest time a target is set aside, as a multiple of the first.
const MOST_EJECTIONS: u32 = 3;
/// What a report says loses half its weight in this time.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// How targets are chosen and set aside.
#[derive(Clone, Debug)]
pub struct TargetPolicy {
    /// Failures in a row after which a target is set aside.
    pub eject_after: u32,
    /// How long at first.
    pub eject: Duration,
    /// The largest share of a pool that may be set aside.
    pub eject_share: f64,
    /// Requests on a target as a multiple of its slots.
    pub slot_factor: f64,
}

impl Default for TargetPolicy {
    fn default() -> Self {
        TargetPolicy {
            eject_after: 3,
            eject: Duration::from_secs(1),
            eject_share: 0.5,
            slot_factor: 1.0,
        }
    }
}

/// A target as the pool's row has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetSpec {
    /// Its name.
    pub name: Name,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it is to get no new work.
    pub leaving: bool,
}

/// Load as a target reported it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadSnapshot {
    /// Requests running or waiting there, of all hosts.
    pub requests: u32,
    /// When it was true.
    pub at: Instant,
}

/// Whom the work is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// A caller waits.
    Online,
    /// Nobody waits.
    Batch,
}

/// How an attempt on a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// It answered; the time to its first byte.
    Answered(Duration),
    /// It refused, failed or broke off.
    Failed,
    /// It said nothing in time: set aside at once.
    Silent,
    /// This side gave the attempt up; nothing is learnt.
    Abandoned,
}

/// What a target is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// A hash of the prompt's beginning, where the target caches prefixes.
    pub prefix: Option<u64>,
    /// Targets that already failed this request.
    pub tried: &'a [Name],
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoiceReason {
    /// It probably has the prefix and is not much busier than others.
    Prefix,
    /// The better of two drawn at random.
    Wait,
    /// All others are set aside, full or tried.
    Last,
}

impl ChoiceReason {
    /// The word in a log line.
    pub fn as_str(self) -> &'static str {
        match self {
            ChoiceReason::Prefix => "prefix",
            ChoiceReason::Wait => "wait",
            ChoiceReason::Last => "last",
        }
    }
}

/// A chosen target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetChoice {
    /// Its place in the list that was given.
    pub index: usize,
    /// Why.
    pub reason: ChoiceReason,
}

/// What this host knows of one target.
#[derive(Debug)]
struct TargetRecord {
    online: u32,
    batch: u32,
    /// The last report, and how many of the requests in it were this host's own.
    report: Option<(LoadSnapshot, u32)>,
    latency: f64,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    warm_since: Instant,
    known_good: bool,
}

impl TargetRecord {
    fn new(now: Instant) -> Self {
        TargetRecord {
            online: 0,
            batch: 0,
            report: None,
            latency: FIRST_LATENCY,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            warm_since: now,
            known_good: false,
        }
    }

    fn own(&self) -> u32 {
        self.online + self.batch
    }

    /// Requests there now: own ones, which are known, and others', which the last report tells less
    /// and less of as it ages.
    fn estimate(&self, now: Instant) -> f64 {
        let others = self.report.map_or(0.0, |(report, own)| {
            let age = now.saturating_duration_since(report.at).as_secs_f64();
            let weight = 0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
            f64::from(report.requests.saturating_sub(own)) * weight
        });
        f64::from(self.own()) + others
    }

    fn room(&self, spec: &TargetSpec, policy: &TargetPolicy, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.warm_since).as_secs_f64();
        let warmth = (WARM_START + age / WARM_TIME.as_secs_f64()).min(1.0);
        (f64::from(spec.slots) * policy.slot_factor * warmth).max(1.0) - self.estimate(now)
    }

    fn expected_wait(&self, spec: &TargetSpec, now: Instant) -> f64 {
        self.latency * (1.0 + self.estimate(now) / f64::from(spec.slots.max(1)))
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Whether it comes back from being set aside and has not proved itself: one request at a time.
    fn is_on_trial(&self) -> bool {
        self.ejected_until.is_some()
    }
}

/// What this host knows of all targets.
#[derive(Debug)]
pub struct TargetTable {
    policy: TargetPolicy,
    records: SortedMap<Name, TargetRecord>,
}

impl TargetTable {
    /// A table that knows no target yet.
    ///
    /// ```
    /// use cuminramp_targets::{TargetPolicy, TargetTable};
    /// let table = TargetTable::new(TargetPolicy::default());
    /// assert_eq!(table.in_flight("e1"), (0, 0));
    /// ```
    pub fn new(policy: TargetPolicy) -> Self {
        TargetTable { policy, records: SortedMap::new() }
    }

    /// Takes in the targets of the generation in force. Targets known at the first call are taken
    /// for warm; those that come later are given work little by little.
    pub fn set_targets(&mut self, specs: &[TargetSpec], now: Instant) {
        let first = self.records.is_empty();
        for spec in specs {
            let record =
                self.records.get_or_insert_with(spec.name.clone(), || TargetRecord::new(now));
            if first {
                record.warm_since = now.checked_sub(WARM_TIME).unwrap_or(now);
                record.known_good = true;
            }
        }
        let mut names: Vec<&Name> = specs.iter().map(|spec| &spec.name).collect();
        names.sort();
        self.records.retain(|name, record| names.binary_search(&name).is_ok() || record.own() > 0);
    }

    /// Own requests in flight: online and batch.
    pub fn in_flight(&self, target: &str) -> (u32, u32) {
        self.records.get(target).map_or((0, 0), |record| (record.online, record.batch))
    }

    /// Requests on a target as far as this host can tell.
    pub fn estimate(&self, target: &str, now: Instant) -> f64 {
        self.records.get(target).map_or(0.0, |record| record.estimate(now))
    }

    /// The last report of a target.
    pub fn report(&self, target: &str) -> Option<LoadSnapshot> {
        Some(self.records.get(target)?.report?.0)
    }

    /// Whether a target is set aside.
    pub fn is_ejected(&self, target: &str, now: Instant) -> bool {
        self.records.get(target).is_some_and(|record| record.is_ejected(now))
    }

    /// A target's word on its load. A report that is older than the one at hand is dropped.
    pub fn on_report(&mut self, target: &str, report: LoadSnapshot) {
        let Some(record) = self.records.get_mut(target) else {
            return;
        };
        if record.report.is_none_or(|(known, _)| known.at < report.at) {
            record.report = Some((report, record.own()));
        }
    }

    /// An attempt begins.
    pub fn on_start(&mut self, target: &str, kind: WorkKind, now: Instant) {
        let record = self.records.get_or_insert_with(target.into(), || TargetRecord::new(now));
        match kind {
            WorkKind::Online => record.online += 1,
            WorkKind::Batch => record.batch += 1,
        }
    }

    /// The head of an answer came, or the attempt failed. Returns whether the target is set aside
    /// by this.
    pub fn on_outcome(&mut self, target: &str, end: AttemptEnd, now: Instant) -> bool {
        let policy = self.policy.clone();
        let Some(record) = self.records.get_mut(target) else {
            return false;
        };
        match end {
            AttemptEnd::Answered(latency) => {
                let newest = latency.as_secs_f64();
                record.latency += (newest - record.latency) * LATENCY_GAIN;
                record.failures = 0;
                if record.is_on_trial() {
                    record.ejected_until = None;
                    record.ejections = 0;
                    record.warm_since = now;
                }
                false
            }
            AttemptEnd::Failed => {
                record.failures += 1;
                let trial_failed = record.is_on_trial();
                let eject = trial_failed || record.failures >= policy.eject_after;
                eject && eject_target(record, &policy, now)
            }
            AttemptEnd::Silent => eject_target(record, &policy, now),
            AttemptEnd::Abandoned => false,
        }
    }

    /// An attempt is over and its place on the target is free.
    pub fn on_finish(&mut self, target: &str, kind: WorkKind) {
        let Some(record) = self.records.get_mut(target) else {
            return;
        };
        match kind {
            WorkKind::Online => record.online = record.online.saturating_sub(1),
            WorkKind::Batch => record.batch = record.batch.saturating_sub(1),
        }
    }

    /// Chooses a target with room, or none: then the request waits.
    pub fn choose(
        &self,
        specs: &[TargetSpec],
        query: ChoiceQuery<'_>,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Option<TargetChoice> {
        let usable = self.usable(specs, query.tried, now);
        let roomy: Vec<usize> =
            usable.iter().copied().filter(|index| self.has_room(&specs[*index], now)).collect();
        match roomy.as_slice() {
            [] => None,
            [index] => Some(TargetChoice { index: *index, reason: ChoiceReason::Last }),
            _ => Some(self.choose_among(specs, &roomy, query.prefix, random, now)),
        }
    }

    /// Whether any target could ever take the request: one that is not leaving.
    pub fn has_targets(&self, specs: &[TargetSpec]) -> bool {
        specs.iter().any(|spec| !spec.leaving)
    }

    fn record_of(&self, spec: &TargetSpec) -> Option<&TargetRecord> {
        self.records.get(&*spec.name)
    }

    fn has_room(&self, spec: &TargetSpec, now: Instant) -> bool {
        self.record_of(spec).is_none_or(|record| {
            let free = record.room(spec, &self.policy, now) > 0.0;
            free && !(record.is_on_trial() && record.own() > 0)
        })
    }

    /// Targets that may get work: none that leaves; none set aside, unless too large a share is;
    /// none that failed this request before, unless all others did too.
    fn usable(&self, specs: &[TargetSpec], tried: &[Name], now: Instant) -> Vec<usize> {
        let staying: Vec<usize> = (0..specs.len()).filter(|index| !specs[*index].leaving).collect();
        let mut ejected: Vec<(Instant, usize)> = staying
            .iter()
            .filter_map(|index| {
                let record = self.record_of(&specs[*index])?;
                record.is_ejected(now).then_some((record.ejected_until?, *index))
            })
            .collect();
        // Those that come back last stay out. Were all set aside at once, as when something between
        // hosts and targets fails for a moment, callers would be refused while targets are idle.
        ejected.sort_by_key(|(until, _)| std::cmp::Reverse(*until));
        ejected.truncate((staying.len() as f64 * self.policy.eject_share) as usize);
        let kept = staying.iter().filter(|index| !ejected.iter().any(|(_, out)| out == *index));
        let kept: Vec<usize> = kept.copied().collect();
        let fresh: Vec<usize> =
            kept.iter().copied().filter(|index| !tried.contains(&specs[*index].name)).collect();
        if fresh.is_empty() { kept } else { fresh }
    }

    fn choose_among(
        &self,
        specs: &[TargetSpec],
        roomy: &[usize],
        prefix: Option<u64>,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> TargetChoice {
        let wait = |index: usize| {
            let spec = &specs[index];
            self.record_of(spec).map_or(FIRST_LATENCY, |record| record.expected_wait(spec, now))
        };
        if let Some(prefix) = prefix {
            let key = prefix.to_string();
            let preferred = roomy
                .iter()
                .copied()
                .max_by_key(|index| rendezvous_score(&key, &specs[*index].name))
                .unwrap_or(roomy[0]);
            let mean = roomy.iter().map(|index| wait(*index)).sum::<f64>() / roomy.len() as f64;
            if wait(preferred) <= mean * AFFINITY_BOUND {
                return TargetChoice { index: preferred, reason: ChoiceReason::Prefix };
            }
        }
        let first = random.below(roomy.len());
        let second = (first + 1 + random.below(roomy.len() - 1)) % roomy.len();
        let (first, second) = (roomy[first], roomy[second]);
        let index = if wait(second) < wait(first) { second } else { first };
        TargetChoice { index, reason: ChoiceReason::Wait }
    }
}

/// Sets a target aside, for twice as long as the last time; says whether it was in before.
fn eject_target(record: &mut TargetRecord, policy: &TargetPolicy, now: Instant) -> bool {
    if record.is_ejected(now) {
        return false;
    }
    let wait = policy.eject * 2u32.pow(record.ejections.min(MOST_EJECTIONS));
    record.ejected_until = Some(now + wait);
    record.ejections += 1;
    record.failures = 0;
    true
}

#[cfg(test)]
mod tests;
