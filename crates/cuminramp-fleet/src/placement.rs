//! Where requests and batch items go, and which items give way.
//!
//! Targets admit in order of arrival and know no priorities, so online work keeps its place only if
//! batch work is not there when it comes. The owner of a group of targets knows what all hosts have in
//! flight there. It places a request where most slots are free; where none is, on a target with batch
//! items, and tells the host that has them to break one off. Batch items enter every slot that is free:
//! an item gives way within milliseconds, and slots kept free for callers stood empty for seconds.
//!
//! A host that can ask no owner places its requests by what it has in flight itself.

use std::collections::VecDeque;
use std::time::Duration;

use cuminramp_core::{AvailabilityZone, HostId, Name, SortedMap};
use tokio::time::Instant;

use crate::heartbeat::{TargetLoad, name_hash};
use crate::homes::ZoneLimit;
use crate::outliers::{OutlierChange, OutlierDetector, TargetOutcomes};
use crate::slots::SlotGroup;

mod cold;
mod group;
mod orphans;
mod placing;
mod reachability;

pub use cold::{ColdRule, ColdShare, ColdTolerance};
pub(crate) use group::{GroupPlacement, GroupRequest};
use orphans::{OrphanedWork, RecentPeak};
use reachability::ReachabilityTable;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetPhase {
    /// It takes work.
    Serving,
    /// It is about to leave and gets nothing new.
    Draining,
}

/// One target as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetTarget {
    /// Its identity; a new run mostly has another.
    pub id: Name,
    /// The pool that it stands in.
    pub pool: Name,
    /// Where it listens, `ip:port`.
    pub address: Name,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: TargetPhase,
    /// When this run began, in milliseconds of Unix time; 0 where it does not say.
    pub started_at_ms: u64,
    /// How much longer it is cold, as it said last.
    pub cold_for: Duration,
}

impl FleetTarget {
    /// The group whose owner hands out its slots.
    ///
    /// ```
    /// use cuminramp_fleet::{FleetTarget, TargetPhase};
    /// let target = FleetTarget {
    ///     id: "t".into(),
    ///     pool: "p".into(),
    ///     address: "127.0.0.1:1".into(),
    ///     zone: "z".into(),
    ///     slots: 8,
    ///     phase: TargetPhase::Serving,
    ///     started_at_ms: 1,
    ///     cold_for: std::time::Duration::ZERO,
    /// };
    /// assert_eq!(&*target.group().zone, "z");
    /// ```
    pub fn group(&self) -> SlotGroup {
        SlotGroup { pool: self.pool.clone(), zone: self.zone.clone() }
    }
}

/// What kind of work occupies a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// A caller waits for it.
    Online,
    /// An item of a job.
    Batch,
}

/// Limits and weights of placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy {
    /// How long a target that refused for want of room gets no new work.
    pub full_pause: Duration,
    /// How long a target gets no new work after a failure; doubled with each further one.
    pub failure_pause: Duration,
    /// The longest such pause.
    pub max_pause: Duration,
    /// Part of the objective that waiting at a target may use up; the rest is for the first event.
    pub wait_share: f64,
    /// Time that a request holds a slot, assumed until requests have been seen.
    pub first_hold: Duration,
    /// Slots that a target in another zone must have free beyond one in the caller's zone. Bytes
    /// between zones cost and take longer, a queue costs more.
    pub zone_bonus: u32,
    /// What operators tolerate beyond the declared rate of cold targets.
    pub cold_tolerance: ColdTolerance,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        PlacementPolicy {
            full_pause: Duration::from_millis(60),
            failure_pause: Duration::from_millis(500),
            max_pause: Duration::from_secs(4),
            wait_share: 0.6,
            first_hold: Duration::from_millis(700),
            zone_bonus: 2,
            cold_tolerance: ColdTolerance { factor: 1.0, requests: 0.0 },
        }
    }
}

/// What a request needs of a place.
#[derive(Debug)]
pub struct PlacementRequest<'a> {
    /// Its pool.
    pub pool: &'a str,
    /// Time to the first event that it should keep.
    pub objective: Duration,
    /// Whether it was turned away before: it goes before newcomers, and is not turned away twice
    /// while it can be answered at all.
    pub is_retry: bool,
    /// Targets that it was sent to already.
    pub tried: &'a [Name],
    /// Where it may run.
    pub zones: &'a ZoneLimit,
}

/// Where a request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementDecision {
    /// To this target, which has a slot free or one that batch work gives up.
    Send(FleetTarget),
    /// It would wait too long everywhere; there may be room after this time.
    Full(Duration),
    /// The pool has no target that takes work.
    Nowhere,
}

#[derive(Debug)]
struct PlacementEntry {
    target: FleetTarget,
    /// The short form of its identity.
    hash: u32,
    /// The short form of its group.
    group: u32,
    own_online: u32,
    own_batch: u32,
    others_online: u32,
    others_batch: u32,
    peak: RecentPeak,
    orphaned: OrphanedWork,
    /// What the target told last, until a report passes it on.
    unreported_load: Option<u16>,
    full_until: Option<Instant>,
    paused_until: Option<Instant>,
    failures: u32,
    /// Whether its zone is drained.
    is_drained: bool,
    cold_until: Option<Instant>,
    /// When it got requests lately, as far as this host handed them out.
    sends: VecDeque<Instant>,
}

impl PlacementEntry {
    fn online(&self) -> u32 {
        self.own_online + self.others_online
    }

    fn batch(&self) -> u32 {
        self.own_batch + self.others_batch
    }

    /// What hosts have in flight.
    fn in_flight(&self) -> u32 {
        self.online() + self.batch()
    }

    /// Work that does not give way: that of callers, and of hosts that are gone.
    fn firm(&self) -> u32 {
        self.online() + self.orphaned.left()
    }

    fn total(&self) -> u32 {
        self.firm() + self.batch()
    }

    fn own(&self) -> u32 {
        self.own_online + self.own_batch
    }

    fn takes_work(&self) -> bool {
        self.target.phase == TargetPhase::Serving && !self.is_drained
    }

    fn is_open(&self, now: Instant) -> bool {
        self.takes_work()
            && self.full_until.is_none_or(|until| until <= now)
            && self.paused_until.is_none_or(|until| until <= now)
    }
}

/// All targets, with what is in flight at each.
#[derive(Debug)]
pub struct PlacementTable {
    zone: AvailabilityZone,
    policy: PlacementPolicy,
    entries: SortedMap<Name, PlacementEntry>,
    hashes: SortedMap<u32, Name>,
    groups: SortedMap<u32, SlotGroup>,
    peer_loads: SortedMap<HostId, Vec<TargetLoad>>,
    outliers: OutlierDetector,
    hold: Duration,
    /// Zones whose targets get nothing new, in the order of their names.
    drained: Vec<AvailabilityZone>,
    cold_rules: SortedMap<Name, ColdRule>,
    reachability: ReachabilityTable,
}

/// How much a new sample weighs in the average time that a request holds a slot.
const HOLD_WEIGHT: f64 = 0.05;

impl PlacementTable {
    /// Knows no target yet. `zone` is where this host stands.
    pub fn new(zone: AvailabilityZone, policy: PlacementPolicy) -> Self {
        PlacementTable {
            zone,
            policy,
            entries: SortedMap::new(),
            hashes: SortedMap::new(),
            groups: SortedMap::new(),
            peer_loads: SortedMap::new(),
            outliers: OutlierDetector::new(),
            hold: policy.first_hold,
            drained: Vec::new(),
            cold_rules: SortedMap::new(),
            reachability: ReachabilityTable::default(),
        }
    }

    /// Takes a target's present state; an earlier run at the same identity never replaces a later.
    pub fn put(&mut self, target: FleetTarget) {
        let now = Instant::now();
        let group = target.group();
        let group_hash = group.hash();
        self.groups.insert(group_hash, group);
        let is_drained = self.drained.binary_search(&target.zone).is_ok();
        if let Some(entry) = self.entries.get_mut(&target.id) {
            if entry.target.started_at_ms > target.started_at_ms {
                return;
            }
            if entry.target.started_at_ms != target.started_at_ms {
                entry.paused_until = None;
                entry.failures = 0;
                entry.orphaned = OrphanedWork::none(now);
                self.outliers.forget(name_hash(&target.id));
            }
            entry.note_cold(target.cold_for, now);
            entry.target = target;
            entry.group = group_hash;
            entry.is_drained = is_drained;
            return;
        }
        let hash = name_hash(&target.id);
        self.hashes.insert(hash, target.id.clone());
        let (others_online, others_batch) = self.told_of(hash);
        let mut entry = PlacementEntry {
            hash,
            group: group_hash,
            own_online: 0,
            own_batch: 0,
            others_online,
            others_batch,
            peak: RecentPeak::new(now),
            orphaned: OrphanedWork::none(now),
            unreported_load: None,
            full_until: None,
            paused_until: None,
            failures: 0,
            is_drained,
            cold_until: None,
            sends: VecDeque::new(),
            target,
        };
        entry.note_cold(entry.target.cold_for, now);
        self.entries.insert(entry.target.id.clone(), entry);
    }

    /// Takes a target out that has gone.
    pub fn remove(&mut self, id: &str) {
        if self.entries.remove(id).is_some() {
            self.hashes.remove(&name_hash(id));
            self.outliers.forget(name_hash(id));
        }
    }

    /// Takes the zones that are drained, in the order of their names. The targets of one that was taken
    /// back may be cold and not have said so yet.
    pub fn set_drained(&mut self, zones: Vec<AvailabilityZone>, now: Instant) {
        let cold_times: Vec<Duration> =
            self.entries.values().map(|entry| self.cold_time(&entry.target.pool)).collect();
        for ((_, entry), cold_time) in self.entries.iter_mut().zip(cold_times) {
            let was_drained = entry.is_drained;
            entry.is_drained = zones.binary_search(&entry.target.zone).is_ok();
            if was_drained && !entry.is_drained {
                entry.note_cold(cold_time, now);
            }
        }
        self.drained = zones;
    }

    /// Part of the objective that waiting at a target may use up.
    pub fn wait_share(&self) -> f64 {
        self.policy.wait_share
    }

    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = &FleetTarget> {
        self.entries.values().map(|entry| &entry.target)
    }

    /// One target.
    pub fn get(&self, id: &str) -> Option<&FleetTarget> {
        self.entries.get(id).map(|entry| &entry.target)
    }

    fn told_of(&self, hash: u32) -> (u32, u32) {
        let all = self.peer_loads.values().flatten().filter(|load| load.target == hash);
        all.fold((0, 0), |sum, load| {
            (sum.0 + u32::from(load.online), sum.1 + u32::from(load.batch))
        })
    }

    fn shift(&mut self, loads: &[TargetLoad], is_added: bool) {
        for load in loads {
            let Some(id) = self.hashes.get(&load.target) else { continue };
            let Some(entry) = self.entries.get_mut(id) else { continue };
            let (online, batch) = (u32::from(load.online), u32::from(load.batch));
            if is_added {
                entry.others_online += online;
                entry.others_batch += batch;
                entry.note_peak(Instant::now());
            } else {
                entry.others_online = entry.others_online.saturating_sub(online);
                entry.others_batch = entry.others_batch.saturating_sub(batch);
            }
        }
    }

    /// Replaces what a host has in flight by what it tells now.
    pub fn receive_loads(&mut self, host: &HostId, loads: Vec<TargetLoad>) {
        self.forget_host(host);
        self.shift(&loads, true);
        self.peer_loads.insert(host.clone(), loads);
    }

    /// Drops what a host had in flight, and what earlier runs at its address had.
    pub fn forget_host(&mut self, host: &HostId) {
        let runs: Vec<HostId> =
            self.peer_loads.keys().filter(|held| held.address == host.address).cloned().collect();
        for run in runs {
            if let Some(loads) = self.peer_loads.remove(&run) {
                self.shift(&loads, false);
            }
        }
        self.outliers.forget_host(host);
    }

    /// Takes what a host tells of failing targets in place of what it told before.
    pub fn receive_outcomes(&mut self, host: &HostId, outcomes: Vec<TargetOutcomes>, now: Instant) {
        self.outliers.receive(host, outcomes, now);
        self.outliers.evaluate(now);
    }

    /// Counts work that was just sent to a target.
    pub fn begin(&mut self, id: &str, kind: WorkKind) {
        if let Some(entry) = self.entries.get_mut(id) {
            match kind {
                WorkKind::Online => entry.own_online += 1,
                WorkKind::Batch => entry.own_batch += 1,
            }
            entry.note_peak(Instant::now());
        }
    }

    /// Ends what [`begin`](Self::begin) counted.
    pub fn end(&mut self, id: &str, kind: WorkKind) {
        if let Some(entry) = self.entries.get_mut(id) {
            match kind {
                WorkKind::Online => entry.own_online = entry.own_online.saturating_sub(1),
                WorkKind::Batch => entry.own_batch = entry.own_batch.saturating_sub(1),
            }
        }
    }

    /// A request held its slot for so long.
    pub fn record_hold(&mut self, held: Duration) {
        let average =
            self.hold.as_secs_f64() * (1.0 - HOLD_WEIGHT) + held.as_secs_f64() * HOLD_WEIGHT;
        self.hold = Duration::from_secs_f64(average);
    }

    /// A target answered as it should.
    pub fn record_success(&mut self, id: &str, now: Instant) {
        self.outliers.record(name_hash(id), false, now);
        if let Some(entry) = self.entries.get_mut(id) {
            entry.failures = 0;
            entry.paused_until = None;
        }
    }

    /// A connection to a target did not stand.
    pub fn record_unreachable(&mut self, id: &str, now: Instant) {
        if let Some(entry) = self.entries.get(id) {
            self.reachability.record_unreachable(&entry.target.zone, now);
        }
    }

    /// A target answered, whatever it said.
    pub fn record_reachable(&mut self, id: &str) {
        if let Some(entry) = self.entries.get(id) {
            self.reachability.record_reachable(&entry.target.zone);
        }
    }

    /// Whether this host lately failed to connect to targets of a zone several times in a row.
    pub fn is_unreachable(&self, zone: &str, now: Instant) -> bool {
        self.reachability.is_unreachable(zone, now)
    }

    /// A target had no room.
    pub fn record_full(&mut self, id: &str, now: Instant) {
        let pause = self.policy.full_pause;
        if let Some(entry) = self.entries.get_mut(id) {
            entry.full_until = Some(now + pause);
        }
    }

    /// A target failed, broke off or fell silent: it gets no new work for a while, unless more than
    /// half of its pool would then get none.
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        self.outliers.record(name_hash(id), true, now);
        self.outliers.evaluate(now);
        let Some(pool) = self.entries.get(id).map(|entry| entry.target.pool.clone()) else {
            return;
        };
        let of_pool = self.entries.values().filter(|entry| entry.target.pool == pool);
        let (all, paused) = of_pool.fold((0, 0), |(all, paused), entry| {
            let is_paused = entry.paused_until.is_some_and(|until| until > now);
            (all + 1, paused + usize::from(is_paused))
        });
        let policy = self.policy;
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.failures += 1;
        if paused * 2 < all {
            let factor = 1u32 << (entry.failures - 1).min(4);
            let pause = (policy.failure_pause * factor).min(policy.max_pause);
            entry.paused_until = Some(now + pause);
        }
    }

    /// Targets that were set aside or are used again since this was last asked.
    pub fn take_outlier_changes(&mut self, now: Instant) -> Vec<OutlierChange> {
        self.outliers.take_changes(now)
    }

    fn is_outlier(&self, entry: &PlacementEntry) -> bool {
        self.outliers.is_outlier(entry.hash)
    }

    /// Online requests and batch items at all targets, those of this host, and all slots.
    pub fn load(&self) -> (u32, u32, u32, u32, u32) {
        self.entries.values().fold((0, 0, 0, 0, 0), |sum, entry| {
            (
                sum.0 + entry.online(),
                sum.1 + entry.batch(),
                sum.2 + entry.own_online,
                sum.3 + entry.own_batch,
                sum.4 + entry.target.slots,
            )
        })
    }

    /// Slots of a pool that are taken, and all, of targets that take work.
    pub fn occupancy(&self, pool: &str) -> (u32, u32) {
        let of_pool =
            self.entries.values().filter(|entry| &*entry.target.pool == pool && entry.takes_work());
        of_pool.fold((0, 0), |sum, entry| (sum.0 + entry.total(), sum.1 + entry.target.slots))
    }
}

#[cfg(test)]
mod tests;
