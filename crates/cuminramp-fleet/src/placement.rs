//! Placement of requests and batch items on targets, and preemption of items by requests.
//!
//! Targets admit work in order of arrival and have no priorities, so an online request is served in time
//! only if batch items don't occupy the slots when it arrives. The owner of a group of targets records
//! what all hosts have in flight there. It places a request on the target with the most free slots or, if
//! no slot is free, on a target with batch items, and commands a host that sent items there to preempt one.
//! Batch items may occupy every free slot: an item is preempted within milliseconds, whereas slots
//! reserved for callers stood empty for seconds.
//!
//! A host that reaches no owner places its requests by what it has in flight itself.
//!
//! Where targets report their pace, free slots and waits are weighted by it.

use std::collections::VecDeque;
use std::time::Duration;

use cuminramp_core::{AvailabilityZone, HostId, Name, SortedMap};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::heartbeat::{TargetLoad, name_hash};
use crate::homes::ZoneLimit;
use crate::outliers::{OutlierChange, OutlierDetector, TargetOutcomes};
use crate::slots::SlotGroup;
use crate::software::SoftwareVersion;

mod cold;
mod group;
mod orphans;
mod pace;
mod placing;
mod reachability;
mod versions;

pub use cold::{ColdRule, ColdShare, ColdTolerance};
pub(crate) use group::{GroupPlacement, GroupRequest};
use orphans::{OrphanedWork, RecentPeak};
pub use pace::{PaceChange, TARGET_PACE_RANGE};
use pace::{PaceState, TargetPace};
use reachability::ReachabilityTable;
use versions::VersionHistory;

/// Whether a target accepts new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetPhase {
    /// The target accepts new work.
    Serving,
    /// The target is about to leave and receives no new work.
    Draining,
}

/// A target as it registered itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetTarget {
    /// Identity of the target; a new run usually has a new one.
    pub id: Name,
    /// Pool to which the target belongs.
    pub pool: Name,
    /// Address on which the target listens, `ip:port`.
    pub address: Name,
    /// Availability zone of the target.
    pub zone: AvailabilityZone,
    /// Number of requests that the target processes at once.
    pub slots: u32,
    /// Whether the target accepts new work.
    pub phase: TargetPhase,
    /// Start of this run in milliseconds of Unix time; 0 if the target doesn't report it.
    pub started_at_ms: u64,
    /// Version of the target's software; empty if the target doesn't report it.
    pub version: Name,
    /// Remaining time for which the target is cold, as it last reported it.
    pub cold_remaining: Duration,
}

impl FleetTarget {
    /// Returns the group whose owner grants the target's slots.
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
    ///     version: "v1".into(),
    ///     cold_remaining: std::time::Duration::ZERO,
    /// };
    /// assert_eq!(&*target.group().zone, "z");
    /// ```
    pub fn group(&self) -> SlotGroup {
        SlotGroup { pool: self.pool.clone(), zone: self.zone.clone() }
    }
}

/// Kind of work that occupies a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// A request for which a caller waits.
    Online,
    /// An item of a batch job.
    Batch,
}

/// Limits and weights of placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy {
    /// Time for which a target that refused a request for lack of capacity receives no new work.
    pub full_backoff: Duration,
    /// Time for which a target receives no new work after a failure; doubled with each further failure.
    pub failure_backoff: Duration,
    /// Maximum backoff after failures.
    pub max_failure_backoff: Duration,
    /// Share of a request's objective that may be spent waiting at a target; the rest is left for the
    /// first event.
    pub wait_share: f64,
    /// Time for which a request is assumed to hold a slot until requests have been observed.
    pub initial_hold: Duration,
    /// Number of slots that a target in another zone must have free beyond one in this host's zone.
    /// Traffic between zones costs money and adds latency, but waiting in a queue costs more.
    pub zone_bonus: u32,
    /// Tolerated excess over the declared rate of cold targets, as set by operators.
    pub cold_tolerance: ColdTolerance,
    /// Whether the paces that targets report are used.
    pub uses_pace: bool,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        PlacementPolicy {
            full_backoff: Duration::from_millis(60),
            failure_backoff: Duration::from_millis(500),
            max_failure_backoff: Duration::from_secs(4),
            wait_share: 0.6,
            initial_hold: Duration::from_millis(700),
            zone_bonus: 2,
            cold_tolerance: ColdTolerance { factor: 1.0, requests: 0.0 },
            uses_pace: true,
        }
    }
}

/// Requirements of a request that is to be placed.
#[derive(Debug)]
pub struct PlacementRequest<'a> {
    /// Pool whose targets serve the request.
    pub pool: &'a str,
    /// Time within which the first event of the answer should arrive.
    pub objective: Duration,
    /// Whether the request was refused before or has already run at a target. It then isn't refused while
    /// any target can answer it, however long it waits.
    pub is_retry: bool,
    /// Targets to which the request was already sent.
    pub tried: &'a [Name],
    /// Zones in which the request may run.
    pub zones: &'a ZoneLimit,
    /// Software that the target must have; `None` for any.
    pub software: Option<SoftwareVersion>,
}

/// Result of placing a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementDecision {
    /// The request goes to this target: it has a free slot, a batch item that can be preempted, or a
    /// queue with an acceptable wait.
    Send(FleetTarget),
    /// The request is refused, since it would wait too long everywhere; slots may be free after this
    /// time.
    Full(Duration),
    /// The request is refused, since this host reaches neither an owner of slots nor a target by itself; another
    /// host may serve it after this time.
    Unreachable(Duration),
    /// The pool has no target that accepts work.
    NoTarget,
}

#[derive(Debug)]
struct PlacementEntry {
    target: FleetTarget,
    /// Hash of the target's identity, which stands for it in messages.
    hash: u32,
    /// Hash of the target's group.
    group_hash: u32,
    software: SoftwareVersion,
    /// Online requests that this host has in flight at the target.
    own_online: u32,
    /// Batch items that this host has in flight at the target.
    own_batch: u32,
    /// Online requests that other hosts have in flight there, as far as reported or granted.
    others_online: u32,
    /// Batch items that other hosts have in flight there, as far as reported or granted.
    others_batch: u32,
    peak: RecentPeak,
    orphaned: OrphanedWork,
    /// Load that the target reported last, until it is sent on to the owner of the group.
    unreported_load: Option<u16>,
    /// Pace of the target; `None` until it reports one.
    pace: Option<TargetPace>,
    /// End of the backoff after a refusal for lack of capacity.
    full_until: Option<Instant>,
    /// End of the backoff after failures.
    backoff_until: Option<Instant>,
    /// Failures since the last correct answer.
    failures: u32,
    /// Whether the target's zone is drained.
    is_drained: bool,
    cold_until: Option<Instant>,
    /// Times of recent requests to the target, as far as this host granted or sent them.
    sends: VecDeque<Instant>,
}

impl PlacementEntry {
    fn online(&self) -> u32 {
        self.own_online + self.others_online
    }

    fn batch(&self) -> u32 {
        self.own_batch + self.others_batch
    }

    /// Returns the amount of work that alive hosts have in flight.
    fn in_flight(&self) -> u32 {
        self.online() + self.batch()
    }

    /// Returns the amount of work that can't be preempted: online requests, and orphaned work of hosts
    /// that are gone.
    fn non_preemptible(&self) -> u32 {
        self.online() + self.orphaned.remaining()
    }

    fn total(&self) -> u32 {
        self.non_preemptible() + self.batch()
    }

    fn own_in_flight(&self) -> u32 {
        self.own_online + self.own_batch
    }

    fn has_software(&self, software: Option<SoftwareVersion>) -> bool {
        software.is_none_or(|software| self.software == software)
    }

    fn accepts_work(&self) -> bool {
        self.target.phase == TargetPhase::Serving && !self.is_drained
    }

    fn is_available(&self, now: Instant) -> bool {
        self.accepts_work()
            && self.full_until.is_none_or(|until| until <= now)
            && self.backoff_until.is_none_or(|until| until <= now)
    }
}

/// All known targets, with the work in flight at each.
#[derive(Debug)]
pub struct PlacementTable {
    zone: AvailabilityZone,
    policy: PlacementPolicy,
    entries: SortedMap<Name, PlacementEntry>,
    /// Identities of the targets, by hash.
    hashes: SortedMap<u32, Name>,
    /// Groups that ever had a target, by hash.
    groups: SortedMap<u32, SlotGroup>,
    /// Number of targets of each group.
    group_sizes: SortedMap<u32, usize>,
    /// What other hosts have in flight, as last reported or granted.
    peer_loads: SortedMap<HostId, Vec<TargetLoad>>,
    outliers: OutlierDetector,
    /// Moving average of the time for which a request holds a slot.
    average_hold: Duration,
    pace: PaceState,
    /// Zones whose targets receive no new work, sorted by name.
    drained: Vec<AvailabilityZone>,
    cold_rules: SortedMap<Name, ColdRule>,
    reachability: ReachabilityTable,
    versions: VersionHistory,
}

/// Weight of a new sample in the moving average of the time for which a request holds a slot.
const HOLD_TIME_WEIGHT: f64 = 0.05;

impl PlacementTable {
    /// Creates a table without targets. `zone` is the availability zone of this host.
    pub fn new(zone: AvailabilityZone, policy: PlacementPolicy) -> Self {
        PlacementTable {
            zone,
            policy,
            entries: SortedMap::new(),
            hashes: SortedMap::new(),
            groups: SortedMap::new(),
            group_sizes: SortedMap::new(),
            peer_loads: SortedMap::new(),
            outliers: OutlierDetector::new(),
            average_hold: policy.initial_hold,
            pace: PaceState::default(),
            drained: Vec::new(),
            cold_rules: SortedMap::new(),
            reachability: ReachabilityTable::default(),
            versions: VersionHistory::default(),
        }
    }

    /// Adds a target or updates its state. The state of an earlier run never replaces that of a later run
    /// with the same identity.
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
                entry.backoff_until = None;
                entry.failures = 0;
                entry.orphaned = OrphanedWork::none(now);
                entry.pace = None;
                self.outliers.forget(name_hash(&target.id));
            }
            entry.extend_cold(target.cold_remaining, now);
            let earlier_software = std::mem::replace(&mut entry.software, target.software());
            if earlier_software != entry.software {
                self.versions.note_left(earlier_software, now);
            }
            entry.target = target;
            let earlier_group = std::mem::replace(&mut entry.group_hash, group_hash);
            entry.is_drained = is_drained;
            self.change_group_size(earlier_group, -1);
            self.change_group_size(group_hash, 1);
            return;
        }
        self.change_group_size(group_hash, 1);
        let hash = name_hash(&target.id);
        self.hashes.insert(hash, target.id.clone());
        let (others_online, others_batch) = self.peer_load_of(hash);
        let mut entry = PlacementEntry {
            hash,
            group_hash,
            software: target.software(),
            own_online: 0,
            own_batch: 0,
            others_online,
            others_batch,
            peak: RecentPeak::new(now),
            orphaned: OrphanedWork::none(now),
            unreported_load: None,
            pace: None,
            full_until: None,
            backoff_until: None,
            failures: 0,
            is_drained,
            cold_until: None,
            sends: VecDeque::new(),
            target,
        };
        entry.extend_cold(entry.target.cold_remaining, now);
        self.entries.insert(entry.target.id.clone(), entry);
    }

    /// Removes a target that is gone.
    pub fn remove(&mut self, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.versions.note_left(entry.software, Instant::now());
            self.change_group_size(entry.group_hash, -1);
            self.hashes.remove(&name_hash(id));
            self.outliers.forget(name_hash(id));
        }
    }

    fn change_group_size(&mut self, group: u32, change: isize) {
        let size = self.group_sizes.get_or_insert_with(group, || 0);
        *size = size.saturating_add_signed(change);
    }

    /// Removes a target unless this host has work in flight there. Returns whether it is gone.
    pub fn remove_if_idle(&mut self, id: &str) -> bool {
        let is_busy = self.entries.get(id).is_some_and(|entry| entry.own_in_flight() > 0);
        if !is_busy {
            self.remove(id);
        }
        !is_busy
    }

    /// Sets the drained zones, sorted by name. When the drain of a zone ends, its targets are treated as
    /// cold, since they may be cold and not have reported it yet.
    pub fn set_drained(&mut self, zones: Vec<AvailabilityZone>, now: Instant) {
        let cold_durations: Vec<Duration> =
            self.entries.values().map(|entry| self.cold_duration(&entry.target.pool)).collect();
        for ((_, entry), cold_duration) in self.entries.iter_mut().zip(cold_durations) {
            let was_drained = entry.is_drained;
            entry.is_drained = zones.binary_search(&entry.target.zone).is_ok();
            if was_drained && !entry.is_drained {
                entry.extend_cold(cold_duration, now);
            }
        }
        self.drained = zones;
    }

    /// Returns the share of a request's objective that may be spent waiting at a target.
    pub fn wait_share(&self) -> f64 {
        self.policy.wait_share
    }

    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = &FleetTarget> {
        self.entries.values().map(|entry| &entry.target)
    }

    /// Returns the target with this identity.
    pub fn get(&self, id: &str) -> Option<&FleetTarget> {
        self.entries.get(id).map(|entry| &entry.target)
    }

    fn peer_load_of(&self, hash: u32) -> (u32, u32) {
        let all = self.peer_loads.values().flatten().filter(|load| load.target == hash);
        all.fold((0, 0), |sum, load| {
            (sum.0 + u32::from(load.online), sum.1 + u32::from(load.batch))
        })
    }

    fn adjust_peer_loads(&mut self, loads: &[TargetLoad], is_added: bool) {
        for load in loads {
            let Some(id) = self.hashes.get(&load.target) else { continue };
            let Some(entry) = self.entries.get_mut(id) else { continue };
            let (online, batch) = (u32::from(load.online), u32::from(load.batch));
            if is_added {
                entry.others_online += online;
                entry.others_batch += batch;
                entry.record_peak(Instant::now());
            } else {
                entry.others_online = entry.others_online.saturating_sub(online);
                entry.others_batch = entry.others_batch.saturating_sub(batch);
            }
        }
    }

    /// Replaces what a host has in flight by its new report.
    pub fn receive_loads(&mut self, host: &HostId, loads: Vec<TargetLoad>) {
        self.forget_host(host);
        self.adjust_peer_loads(&loads, true);
        self.peer_loads.insert(host.clone(), loads);
    }

    /// Drops what a host reported: its work in flight, that of earlier runs at its address, and the
    /// outcomes of its sends.
    pub fn forget_host(&mut self, host: &HostId) {
        let runs: Vec<HostId> =
            self.peer_loads.keys().filter(|run| run.address == host.address).cloned().collect();
        for run in runs {
            if let Some(loads) = self.peer_loads.remove(&run) {
                self.adjust_peer_loads(&loads, false);
            }
        }
        self.outliers.forget_host(host);
    }

    /// Replaces the outcomes that a host reported for failing targets by its new report.
    pub fn receive_outcomes(&mut self, host: &HostId, outcomes: Vec<TargetOutcomes>, now: Instant) {
        self.outliers.receive(host, outcomes, now);
        self.outliers.evaluate(now);
    }

    /// Counts work that was just sent to a target as in flight.
    pub fn begin(&mut self, id: &str, kind: WorkKind) {
        if let Some(entry) = self.entries.get_mut(id) {
            match kind {
                WorkKind::Online => entry.own_online += 1,
                WorkKind::Batch => entry.own_batch += 1,
            }
            entry.record_peak(Instant::now());
        }
    }

    /// Ends work that [`begin`](Self::begin) counted as in flight.
    pub fn end(&mut self, id: &str, kind: WorkKind) {
        if let Some(entry) = self.entries.get_mut(id) {
            match kind {
                WorkKind::Online => entry.own_online = entry.own_online.saturating_sub(1),
                WorkKind::Batch => entry.own_batch = entry.own_batch.saturating_sub(1),
            }
        }
    }

    /// Records the time for which a request held its slot.
    pub fn record_hold_time(&mut self, hold_time: Duration) {
        let average = self.average_hold.as_secs_f64() * (1.0 - HOLD_TIME_WEIGHT)
            + hold_time.as_secs_f64() * HOLD_TIME_WEIGHT;
        self.average_hold = Duration::from_secs_f64(average);
    }

    /// Records that a target answered correctly, which ends its backoff after failures.
    pub fn record_success(&mut self, id: &str, now: Instant) {
        self.outliers.record(name_hash(id), false, now);
        if let Some(entry) = self.entries.get_mut(id) {
            entry.failures = 0;
            entry.backoff_until = None;
        }
    }

    /// Records that a connection to a target could not be established.
    pub fn record_unreachable(&mut self, id: &str, now: Instant) {
        if let Some(entry) = self.entries.get(id) {
            self.reachability.record_unreachable(&entry.target.zone, now);
        }
    }

    /// Records that a target answered, with whatever result.
    pub fn record_reachable(&mut self, id: &str) {
        if let Some(entry) = self.entries.get(id) {
            self.reachability.record_reachable(&entry.target.zone);
        }
    }

    /// Returns whether this host recently failed to connect to targets of a zone several times in a row.
    pub fn is_unreachable(&self, zone: &str, now: Instant) -> bool {
        self.reachability.is_unreachable(zone, now)
    }

    /// Records that a target refused a request for lack of capacity.
    pub fn record_full(&mut self, id: &str, now: Instant) {
        let backoff = self.policy.full_backoff;
        if let Some(entry) = self.entries.get_mut(id) {
            entry.full_until = Some(now + backoff);
        }
    }

    /// Records that a target failed, cut off an answer or fell silent. It receives no new work for a
    /// while, unless at least half of its pool is in backoff already.
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        self.outliers.record(name_hash(id), true, now);
        self.outliers.evaluate(now);
        let Some(pool) = self.entries.get(id).map(|entry| entry.target.pool.clone()) else {
            return;
        };
        let of_pool = self.entries.values().filter(|entry| entry.target.pool == pool);
        let (all, in_backoff) = of_pool.fold((0, 0), |(all, in_backoff), entry| {
            let is_in_backoff = entry.backoff_until.is_some_and(|until| until > now);
            (all + 1, in_backoff + usize::from(is_in_backoff))
        });
        let policy = self.policy;
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.failures += 1;
        if in_backoff * 2 < all {
            let factor = 1u32 << (entry.failures - 1).min(4);
            let backoff = (policy.failure_backoff * factor).min(policy.max_failure_backoff);
            entry.backoff_until = Some(now + backoff);
        }
    }

    /// Returns the targets ejected as outliers or reinstated since the last call.
    pub fn take_outlier_changes(&mut self, now: Instant) -> Vec<OutlierChange> {
        self.outliers.take_changes(now)
    }

    fn is_outlier(&self, entry: &PlacementEntry) -> bool {
        self.outliers.is_outlier(entry.hash)
    }

    /// Returns the online requests and batch items in flight at all targets, the online requests and
    /// batch items of this host among them, and the number of all slots.
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

    /// Returns the occupied slots and all slots of a pool, over its targets that accept work.
    pub fn occupancy(&self, pool: &str) -> (u32, u32) {
        let of_pool = self
            .entries
            .values()
            .filter(|entry| &*entry.target.pool == pool && entry.accepts_work());
        of_pool.fold((0, 0), |sum, entry| (sum.0 + entry.total(), sum.1 + entry.target.slots))
    }
}

#[cfg(test)]
mod tests;
