//! Pace of targets: how long work takes at a target compared with the usual time.
//!
//! Targets have different speeds and share their machines, so a free slot of some targets is worth less than
//! one of others, all the time or for a while. Some targets report their pace in each response. A report
//! describes a moment: as it ages, the expected pace returns to the average of the target's reports, and
//! without further reports to the usual pace, so that a target that was slow is tried again.
//!
//! A report may be wrong, or missing although work at the target is slow. Therefore the time that this host's
//! requests took there replaces it if it is much longer.
//!
//! A target that never reported a pace, and one in a pool without recent reports, has none.

use std::ops::RangeInclusive;
use std::time::Duration;

use cuminramp_core::{Name, SortedMap};
use tokio::time::Instant;

use super::{HOLD_TIME_WEIGHT, PlacementEntry, PlacementTable};
use crate::admission::GroupCapacity;
use crate::slots::{SlotGroup, TargetPaceReport};

/// Paces that are valid in reports, in percent of the usual time. A target that reports another one is
/// treated as if it had reported none.
pub const TARGET_PACE_RANGE: RangeInclusive<u16> = 10..=10_000;

/// Pace of a target whose work takes the usual time, as a factor.
pub(super) const USUAL_PACE: f64 = 1.0;
/// Minimum expected pace. A target that always reports the lowest pace would otherwise attract ten times its
/// share of the requests.
const MIN_EXPECTED_PACE: f64 = 0.5;
/// Time after the last report of a target in a pool during which the pool counts as paced.
const PACED_TTL: Duration = Duration::from_secs(10);
/// Time constant of the fast average, and of the return from the last report to the slow average. Shorter
/// than the periods of about 600 ms in which a machine that targets share is busy.
const FAST_TIME_CONSTANT: Duration = Duration::from_millis(300);
/// Time constant of the slow average, and of its return to the usual pace while there are no reports.
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Slow average above which a target counts as slow.
const SLOW_PACE: f64 = 2.0;
/// Slow average below which a target no longer counts as slow.
const USUAL_AGAIN_PACE: f64 = 1.5;
/// Minimum interval between two changes of the same target that are reported for logs.
const CHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Weight of a new sample in the moving average of the observed pace.
const OBSERVED_WEIGHT: f64 = 0.1;
/// Maximum of one sample of the observed pace: with [`OBSERVED_WEIGHT`], a single request, however long, does
/// not reach [`OBSERVED_EXCESS`].
const MAX_OBSERVED_SAMPLE: f64 = 10.0;
/// Factor by which the observed pace must exceed the reported one to replace it: the duration of requests
/// varies, since some have longer answers.
const OBSERVED_EXCESS: f64 = 2.0;
/// Maximum factor by which the time that a request held its slot is corrected for the pace of its target.
/// Without a limit, a target that wrongly reports a high pace would make the usual time very short.
const MAX_HOLD_CORRECTION: f64 = 10.0;

/// Returns the share of a deviation that is left after `elapsed`.
fn decay(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Returns a moving average after `value` was observed for `elapsed`.
fn averaged(average: f64, value: f64, elapsed: Duration, time_constant: Duration) -> f64 {
    value + (average - value) * decay(elapsed, time_constant)
}

/// What hosts have received and observed about the pace of one target. Paces are factors, 1.0 for the usual
/// time.
#[derive(Clone, Debug)]
pub(super) struct TargetPace {
    last: f64,
    last_at: Instant,
    fast_average: f64,
    slow_average: f64,
    /// Moving average of the time that this host's requests held a slot, divided by the usual time.
    observed: f64,
    observed_at: Instant,
    /// Whether the last report came to this host and was not sent on to the owner of the group.
    is_unreported: bool,
    is_slow: bool,
    /// Time at which `is_slow` changed, or of the first report.
    since: Instant,
    /// Value of `is_slow` in the last change that was returned for logs.
    logged_as_slow: bool,
    next_change_at: Instant,
}

impl TargetPace {
    /// Creates the state from the first report. It sets both averages, so it takes reports over the time
    /// constant of the slow average until a change is returned for logs.
    fn new(pace: f64, at: Instant) -> Self {
        TargetPace {
            last: pace,
            last_at: at,
            fast_average: pace,
            slow_average: pace,
            observed: USUAL_PACE,
            observed_at: at,
            is_unreported: false,
            is_slow: pace > SLOW_PACE,
            since: at,
            logged_as_slow: false,
            next_change_at: at + CHANGE_INTERVAL,
        }
    }

    /// Applies a report, unless a younger one is known.
    fn record(&mut self, pace: f64, at: Instant) {
        if at <= self.last_at {
            return;
        }
        let elapsed = at.duration_since(self.last_at);
        self.fast_average = averaged(self.fast_average, pace, elapsed, FAST_TIME_CONSTANT);
        self.slow_average = averaged(self.slow_average, pace, elapsed, SLOW_TIME_CONSTANT);
        (self.last, self.last_at) = (pace, at);
        self.is_unreported = false;
        let threshold = if self.is_slow { USUAL_AGAIN_PACE } else { SLOW_PACE };
        let is_slow = self.slow_average > threshold;
        if is_slow != self.is_slow {
            (self.is_slow, self.since) = (is_slow, at);
        }
    }

    fn observed(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.observed_at);
        averaged(self.observed, USUAL_PACE, elapsed, SLOW_TIME_CONSTANT)
    }

    fn observe(&mut self, sample: f64, now: Instant) {
        let sample = sample.min(MAX_OBSERVED_SAMPLE);
        self.observed = self.observed(now) * (1.0 - OBSERVED_WEIGHT) + sample * OBSERVED_WEIGHT;
        self.observed_at = now;
    }

    /// Returns the pace that is expected of work that starts now.
    fn expected(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.last_at);
        let average = averaged(self.slow_average, USUAL_PACE, age, SLOW_TIME_CONSTANT);
        let reported = averaged(self.last, average, age, FAST_TIME_CONSTANT);
        let observed = self.observed(now);
        let is_slower = observed > average.max(MIN_EXPECTED_PACE) * OBSERVED_EXCESS;
        let expected = if is_slower { reported.max(observed) } else { reported };
        expected.max(MIN_EXPECTED_PACE)
    }
}

/// What the paces of all targets have in common.
#[derive(Debug, Default)]
pub(super) struct PaceState {
    /// Time of the last report of any target, by pool.
    pools: SortedMap<Name, Instant>,
    /// Moving average of the time for which a request holds a slot at targets with a pace, converted to the
    /// usual pace; `None` until one has ended.
    usual_hold: Option<Duration>,
}

/// Change of a target between a usual and a slow pace.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// Identity of the target.
    pub target: Name,
    /// Whether the target is slow now.
    pub is_slow: bool,
    /// Slow average of the target's pace, in percent of the usual time.
    pub pace: u16,
    /// Time at which the average crossed the threshold.
    pub since: Instant,
}

impl PlacementTable {
    /// Records the pace that a target reported to this host, in percent of the usual time. Ignored if it is
    /// not in [`TARGET_PACE_RANGE`] or the policy doesn't use paces.
    ///
    /// ```
    /// use cuminramp_fleet::{FleetTarget, PlacementPolicy, PlacementTable, TargetPhase};
    /// use tokio::time::Instant;
    /// let target = FleetTarget {
    ///     id: "t".into(),
    ///     pool: "p".into(),
    ///     address: "127.0.0.1:1".into(),
    ///     zone: "z".into(),
    ///     slots: 8,
    ///     phase: TargetPhase::Serving,
    ///     started_at_ms: 1,
    ///     version: "v1".into(),
    ///     cold_remaining: std::time::Duration::ZERO,
    /// };
    /// let mut host = PlacementTable::new("z".into(), PlacementPolicy::default());
    /// let mut owner = PlacementTable::new("z".into(), PlacementPolicy::default());
    /// host.put(target.clone());
    /// owner.put(target.clone());
    /// let now = Instant::now();
    /// host.record_pace("t", 250, now);
    /// owner.receive_paces(&host.take_reported_paces(&target.group(), now), now);
    /// assert!(owner.is_paced("p", now));
    /// assert_eq!(owner.slow_targets(), 1);
    /// ```
    pub fn record_pace(&mut self, id: &str, pace: u16, now: Instant) {
        if let Some(pace) = self.apply_pace(id, pace, now) {
            pace.is_unreported = true;
        }
    }

    /// Applies a report and returns the target's state if the report is the last one now.
    fn apply_pace(&mut self, id: &str, pace: u16, at: Instant) -> Option<&mut TargetPace> {
        if !self.policy.uses_pace || !TARGET_PACE_RANGE.contains(&pace) {
            return None;
        }
        let entry = self.entries.get_mut(id)?;
        let last = self.pace.pools.get_or_insert_with(entry.target.pool.clone(), || at);
        *last = at.max(*last);
        let pace = f64::from(pace) / 100.0;
        let state = entry.pace.get_or_insert_with(|| TargetPace::new(pace, at));
        state.record(pace, at);
        (state.last_at == at).then_some(state)
    }

    /// Applies the paces that targets reported to another host.
    pub fn receive_paces(&mut self, reports: &[TargetPaceReport], now: Instant) {
        for report in reports {
            let age = Duration::from_millis(u64::from(report.age_ms));
            let (Some(id), Some(at)) = (self.hashes.get(&report.target), now.checked_sub(age))
            else {
                continue;
            };
            self.apply_pace(&id.clone(), report.pace, at);
        }
    }

    /// Returns the paces that targets of a group reported to this host since the last call. Those that are
    /// too old to make their pool paced are left out.
    pub fn take_reported_paces(
        &mut self,
        group: &SlotGroup,
        now: Instant,
    ) -> Vec<TargetPaceReport> {
        let hash = group.hash();
        let entries = self.entries.iter_mut().map(|(_, entry)| entry);
        let reports = entries.filter(|entry| entry.group_hash == hash).filter_map(|entry| {
            let pace = entry.pace.as_mut().filter(|pace| pace.is_unreported)?;
            pace.is_unreported = false;
            let age = now.saturating_duration_since(pace.last_at);
            let report = TargetPaceReport {
                target: entry.hash,
                pace: (pace.last * 100.0).round() as u16,
                age_ms: age.as_millis() as u16,
            };
            (age < PACED_TTL).then_some(report)
        });
        reports.collect()
    }

    /// Records the time for which a request of this host held a slot of a target. Ignored for targets
    /// without a pace.
    pub fn record_target_hold(&mut self, id: &str, hold_time: Duration, now: Instant) {
        let usual = self.usual_hold();
        let Some(pace) = self.entries.get_mut(id).and_then(|entry| entry.pace.as_mut()) else {
            return;
        };
        if !usual.is_zero() {
            pace.observe(hold_time.as_secs_f64() / usual.as_secs_f64(), now);
        }
        let correction = pace.fast_average.clamp(MIN_EXPECTED_PACE, MAX_HOLD_CORRECTION);
        let sample = hold_time.div_f64(correction);
        let average = usual.mul_f64(1.0 - HOLD_TIME_WEIGHT) + sample.mul_f64(HOLD_TIME_WEIGHT);
        self.pace.usual_hold = Some(average);
    }

    /// Returns the time for which a request holds a slot of a target with the usual pace.
    fn usual_hold(&self) -> Duration {
        self.pace.usual_hold.unwrap_or(self.average_hold)
    }

    /// Returns the pace that is expected of work that starts now at a target, as a factor; `None` if the
    /// target doesn't report its pace.
    pub(super) fn expected_pace(&self, entry: &PlacementEntry, now: Instant) -> Option<f64> {
        let pace = entry.pace.as_ref()?;
        self.is_paced(&entry.target.pool, now).then(|| pace.expected(now))
    }

    /// Returns the time for which a request that starts now is expected to hold a slot of a target.
    pub(super) fn expected_hold(&self, entry: &PlacementEntry, now: Instant) -> Duration {
        let pace = self.expected_pace(entry, now);
        pace.map_or(self.average_hold, |pace| self.usual_hold().mul_f64(pace))
    }

    /// Returns whether a target of the pool has recently reported its pace, to this host or to another one
    /// that passed it on.
    ///
    /// ```
    /// use cuminramp_fleet::{PlacementPolicy, PlacementTable};
    /// let table = PlacementTable::new("z".into(), PlacementPolicy::default());
    /// assert!(!table.is_paced("p", tokio::time::Instant::now()));
    /// ```
    pub fn is_paced(&self, pool: &str, now: Instant) -> bool {
        let last = self.pace.pools.get(pool);
        last.is_some_and(|last| now.saturating_duration_since(*last) < PACED_TTL)
    }

    /// Returns whether any pool is paced.
    pub fn is_any_paced(&self, now: Instant) -> bool {
        let mut pools = self.pace.pools.values();
        pools.any(|last| now.saturating_duration_since(*last) < PACED_TTL)
    }

    /// Returns the slots of a group's usable targets, and how many of them become free in a second while all
    /// are in use.
    ///
    /// ```
    /// use cuminramp_fleet::{PlacementPolicy, PlacementTable, SlotGroup};
    /// let table = PlacementTable::new("z".into(), PlacementPolicy::default());
    /// let group = SlotGroup { pool: "p".into(), zone: "z".into() };
    /// assert_eq!(table.group_capacity(&group, tokio::time::Instant::now()).slots, 0);
    /// ```
    pub fn group_capacity(&self, group: &SlotGroup, now: Instant) -> GroupCapacity {
        let hash = group.hash();
        let usable = self.usable_targets(|entry| entry.group_hash == hash, now);
        let slots = usable.iter().map(|entry| entry.target.slots).sum();
        let freed_per_s = usable.iter().map(|entry| {
            let hold = self.expected_hold(entry, now).as_secs_f64();
            f64::from(entry.target.slots) / hold.max(f64::MIN_POSITIVE)
        });
        GroupCapacity { slots, freed_per_s: freed_per_s.sum() }
    }

    /// Returns the age of the oldest pace of a group's usable targets; `None` if none reported one.
    ///
    /// ```
    /// use cuminramp_fleet::{PlacementPolicy, PlacementTable, SlotGroup};
    /// let table = PlacementTable::new("z".into(), PlacementPolicy::default());
    /// let group = SlotGroup { pool: "p".into(), zone: "z".into() };
    /// assert_eq!(table.oldest_pace_age(group.hash(), tokio::time::Instant::now()), None);
    /// ```
    pub fn oldest_pace_age(&self, group: u32, now: Instant) -> Option<Duration> {
        let usable = self.usable_targets(|entry| entry.group_hash == group, now);
        let paces = usable.iter().filter_map(|entry| entry.pace.as_ref());
        paces.map(|pace| now.saturating_duration_since(pace.last_at)).max()
    }

    /// Returns the targets that became slow, or whose pace became usual again, since the last call, each at
    /// most once in five seconds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_fleet::{FleetTarget, PlacementPolicy, PlacementTable, TargetPhase};
    /// use tokio::time::Instant;
    /// let mut table = PlacementTable::new("z".into(), PlacementPolicy::default());
    /// table.put(FleetTarget {
    ///     id: "t".into(),
    ///     pool: "p".into(),
    ///     address: "127.0.0.1:1".into(),
    ///     zone: "z".into(),
    ///     slots: 8,
    ///     phase: TargetPhase::Serving,
    ///     started_at_ms: 1,
    ///     version: "v1".into(),
    ///     cold_remaining: Duration::ZERO,
    /// });
    /// let now = Instant::now();
    /// table.record_pace("t", 600, now);
    /// assert!(table.take_pace_changes(now).is_empty());
    /// let changes = table.take_pace_changes(now + Duration::from_secs(5));
    /// assert!(changes[0].is_slow && changes[0].pace == 600);
    /// ```
    pub fn take_pace_changes(&mut self, now: Instant) -> Vec<PaceChange> {
        let entries = self.entries.iter_mut().map(|(_, entry)| entry);
        let changes = entries.filter_map(|entry| {
            let pace = entry.pace.as_mut()?;
            if pace.is_slow == pace.logged_as_slow || now < pace.next_change_at {
                return None;
            }
            pace.logged_as_slow = pace.is_slow;
            pace.next_change_at = now + CHANGE_INTERVAL;
            Some(PaceChange {
                target: entry.target.id.clone(),
                is_slow: pace.is_slow,
                pace: (pace.slow_average * 100.0).round() as u16,
                since: pace.since,
            })
        });
        changes.collect()
    }

    /// Returns the number of targets whose reports show a slow pace on average. A target that stops to
    /// report keeps its average.
    pub fn slow_targets(&self) -> usize {
        let paces = self.entries.values().filter_map(|entry| entry.pace.as_ref());
        paces.filter(|pace| pace.slow_average > SLOW_PACE).count()
    }
}

#[cfg(test)]
mod tests;
