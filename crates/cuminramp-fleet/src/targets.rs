//! Where requests and batch items go, and which items give way.
//!
//! Targets admit in order of arrival and know no priorities, so online work keeps its place only if
//! batch work is not there when it comes. Each host knows what all hosts have in flight, from beats
//! that are a few milliseconds old. It places a request where most slots are free; where none is, on
//! a target with batch items, and the host that has them breaks one off as soon as it hears of it.
//! Batch items enter through one host for each target at a time, into every slot that is free: an
//! item gives way within milliseconds, and slots kept free for callers stood empty for seconds.

use std::time::Duration;

use cuminramp_core::{AvailabilityZone, HostId, Name, RandomSource, SortedMap};
use tokio::time::Instant;

use crate::beat::{TargetLoad, name_hash};
use crate::demand::{ItemDemand, share_room};
use crate::health::{HealthBook, TargetOutcomes};

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
    pub born_ms: u64,
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
    pub longest_pause: Duration,
    /// Part of the objective that waiting at a target may use up; the rest is for the first event.
    pub wait_share: f64,
    /// Time that a request holds a slot, assumed until requests have been seen.
    pub first_hold: Duration,
    /// Slots that a target in another zone must have free beyond one in the caller's zone. Bytes
    /// between zones cost and take longer, a queue costs more.
    pub zone_bonus: u32,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        PlacementPolicy {
            full_pause: Duration::from_millis(60),
            failure_pause: Duration::from_millis(500),
            longest_pause: Duration::from_secs(4),
            wait_share: 0.6,
            first_hold: Duration::from_millis(700),
            zone_bonus: 2,
        }
    }
}

/// What a request needs of a place.
#[derive(Debug)]
pub struct OnlineNeed<'a> {
    /// Its pool.
    pub pool: &'a str,
    /// Time to the first event that it should keep.
    pub objective: Duration,
    /// Whether it was turned away before: it goes before newcomers, and is not turned away twice
    /// while it can be answered at all.
    pub is_again: bool,
    /// Targets that it was sent to already.
    pub tried: &'a [Name],
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

/// Room that a host has for batch items now.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BatchRoom {
    /// Targets with the slots that are free there, fullest last.
    pub places: Vec<(FleetTarget, u32)>,
    /// How many items it may start: those that are among the most urgent of all hosts.
    pub items: u32,
}

#[derive(Debug)]
struct BoardEntry {
    target: FleetTarget,
    /// The short form of its identity.
    hash: u32,
    own_online: u32,
    own_batch: u32,
    others_online: u32,
    others_batch: u32,
    full_until: Option<Instant>,
    paused_until: Option<Instant>,
    failures: u32,
}

impl BoardEntry {
    fn online(&self) -> u32 {
        self.own_online + self.others_online
    }

    fn batch(&self) -> u32 {
        self.own_batch + self.others_batch
    }

    fn total(&self) -> u32 {
        self.online() + self.batch()
    }

    fn is_open(&self, now: Instant) -> bool {
        self.target.phase == TargetPhase::Serving
            && self.full_until.is_none_or(|until| until <= now)
            && self.paused_until.is_none_or(|until| until <= now)
    }
}

/// All targets, with what is in flight at each.
#[derive(Debug)]
pub struct TargetBoard {
    zone: AvailabilityZone,
    me: HostId,
    policy: PlacementPolicy,
    entries: SortedMap<Name, BoardEntry>,
    hashes: SortedMap<u32, Name>,
    peer_loads: SortedMap<HostId, Vec<TargetLoad>>,
    health: HealthBook,
    hold: Duration,
}

/// How much a new sample weighs in the average time that a request holds a slot.
const HOLD_WEIGHT: f64 = 0.05;
/// The shortest and longest time after which a refused request is asked back.
const RETURN_BOUNDS: (f64, f64) = (0.25, 1.6);

impl TargetBoard {
    /// Knows no target yet. `zone` is where this host stands.
    pub fn new(me: HostId, zone: AvailabilityZone, policy: PlacementPolicy) -> Self {
        TargetBoard {
            zone,
            me,
            policy,
            entries: SortedMap::new(),
            hashes: SortedMap::new(),
            peer_loads: SortedMap::new(),
            health: HealthBook::new(),
            hold: policy.first_hold,
        }
    }

    /// Takes a target's present state; an earlier run at the same identity never replaces a later.
    pub fn put(&mut self, target: FleetTarget) {
        if let Some(entry) = self.entries.get_mut(&target.id) {
            if entry.target.born_ms > target.born_ms {
                return;
            }
            if entry.target.born_ms != target.born_ms {
                entry.paused_until = None;
                entry.failures = 0;
                self.health.forget(name_hash(&target.id));
            }
            entry.target = target;
            return;
        }
        let hash = name_hash(&target.id);
        self.hashes.insert(hash, target.id.clone());
        let (others_online, others_batch) = self.told_of(hash);
        let entry = BoardEntry {
            hash,
            own_online: 0,
            own_batch: 0,
            others_online,
            others_batch,
            full_until: None,
            paused_until: None,
            failures: 0,
            target,
        };
        self.entries.insert(entry.target.id.clone(), entry);
    }

    /// Takes a target out that has gone.
    pub fn remove(&mut self, id: &str) {
        if self.entries.remove(id).is_some() {
            self.hashes.remove(&name_hash(id));
            self.health.forget(name_hash(id));
        }
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
            } else {
                entry.others_online = entry.others_online.saturating_sub(online);
                entry.others_batch = entry.others_batch.saturating_sub(batch);
            }
        }
    }

    /// Replaces what a host has in flight by what it tells now.
    pub fn hear(&mut self, host: &HostId, loads: Vec<TargetLoad>) {
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
        self.health.forget_host(host);
    }

    /// Takes what a host tells of failing targets in place of what it told before.
    pub fn hear_outcomes(&mut self, host: &HostId, outcomes: Vec<TargetOutcomes>, now: Instant) {
        self.health.hear(host, outcomes, now);
        self.health.review(now);
    }

    /// What this host tells others of failing targets.
    pub fn own_outcomes(&self, now: Instant) -> Vec<TargetOutcomes> {
        self.health.tell(now)
    }

    /// What this host has in flight.
    pub fn own_loads(&self) -> Vec<TargetLoad> {
        let busy = self.entries.values().filter(|entry| entry.own_online + entry.own_batch > 0);
        busy.map(|entry| TargetLoad {
            target: name_hash(&entry.target.id),
            online: entry.own_online.min(u32::from(u16::MAX)) as u16,
            batch: entry.own_batch.min(u32::from(u16::MAX)) as u16,
        })
        .collect()
    }

    /// Counts work that was just sent to a target.
    pub fn begin(&mut self, id: &str, kind: WorkKind) {
        if let Some(entry) = self.entries.get_mut(id) {
            match kind {
                WorkKind::Online => entry.own_online += 1,
                WorkKind::Batch => entry.own_batch += 1,
            }
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
    pub fn saw_hold(&mut self, held: Duration) {
        let average =
            self.hold.as_secs_f64() * (1.0 - HOLD_WEIGHT) + held.as_secs_f64() * HOLD_WEIGHT;
        self.hold = Duration::from_secs_f64(average);
    }

    /// A target answered as it should.
    pub fn saw_success(&mut self, id: &str, now: Instant) {
        self.health.saw(name_hash(id), false, now);
        if let Some(entry) = self.entries.get_mut(id) {
            entry.failures = 0;
            entry.paused_until = None;
        }
    }

    /// A target had no room.
    pub fn saw_full(&mut self, id: &str, now: Instant) {
        let pause = self.policy.full_pause;
        if let Some(entry) = self.entries.get_mut(id) {
            entry.full_until = Some(now + pause);
        }
    }

    /// A target failed, broke off or fell silent: it gets no new work for a while, unless more than
    /// half of its pool would then get none.
    pub fn saw_failure(&mut self, id: &str, now: Instant) {
        self.health.saw(name_hash(id), true, now);
        self.health.review(now);
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
            let pause = (policy.failure_pause * factor).min(policy.longest_pause);
            entry.paused_until = Some(now + pause);
        }
    }

    /// Places a request.
    pub fn place(
        &self,
        need: &OnlineNeed<'_>,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> PlacementDecision {
        let of_pool = |entry: &&BoardEntry| {
            &*entry.target.pool == need.pool && !need.tried.contains(&entry.target.id)
        };
        let open = self.usable(of_pool, now);
        if open.is_empty() {
            return PlacementDecision::Nowhere;
        }
        if let Some(entry) = self.with_free_slot(&open, random) {
            return PlacementDecision::Send(entry.target.clone());
        }
        if let Some(entry) = self.with_batch(&open, random) {
            return PlacementDecision::Send(entry.target.clone());
        }
        self.shortest_queue(&open, need, random)
    }

    /// Targets that take work and don't fail too much of it. Where more than half are doubtful, doubt is
    /// no guide any more; where all are paused, one that failed lately is better than none.
    fn usable<'a>(
        &'a self,
        of_pool: impl Fn(&&'a BoardEntry) -> bool,
        now: Instant,
    ) -> Vec<&'a BoardEntry> {
        let open: Vec<&BoardEntry> =
            self.entries.values().filter(&of_pool).filter(|entry| entry.is_open(now)).collect();
        if open.is_empty() {
            let serving = |entry: &&BoardEntry| entry.target.phase == TargetPhase::Serving;
            return self.entries.values().filter(&of_pool).filter(serving).collect();
        }
        let sound: Vec<&BoardEntry> =
            open.iter().copied().filter(|entry| !self.is_doubtful(entry)).collect();
        if sound.len() * 2 < open.len() { open } else { sound }
    }

    fn is_doubtful(&self, entry: &BoardEntry) -> bool {
        self.health.is_doubtful(entry.hash)
    }

    fn with_free_slot<'a>(
        &self,
        open: &[&'a BoardEntry],
        random: &mut dyn RandomSource,
    ) -> Option<&'a BoardEntry> {
        let free = open.iter().filter(|entry| entry.total() < entry.target.slots);
        let rated = free.map(|entry| {
            let is_near = entry.target.zone == self.zone;
            let bonus = if is_near { self.policy.zone_bonus } else { 0 };
            (entry.target.slots - entry.total() + bonus, random.below(1 << 16), *entry)
        });
        rated.max_by_key(|rated| (rated.0, rated.1)).map(|rated| rated.2)
    }

    /// A target where batch items give way: one where this host holds an item goes first, since it
    /// breaks that off before the request is sent.
    fn with_batch<'a>(
        &self,
        open: &[&'a BoardEntry],
        random: &mut dyn RandomSource,
    ) -> Option<&'a BoardEntry> {
        let yielding = open.iter().filter(|entry| entry.online() < entry.target.slots);
        let rated = yielding.map(|entry| {
            let is_near = entry.target.zone == self.zone;
            let over = entry.total() - entry.target.slots;
            let is_own = entry.own_batch > 0;
            ((std::cmp::Reverse(over), is_own, is_near, random.below(1 << 16)), *entry)
        });
        rated.max_by_key(|rated| rated.0).map(|rated| rated.1)
    }

    /// The target whose queue is shortest, if the request would still be in time there.
    ///
    /// A slot comes free about every `hold / slots`; a request that would wait longer than its part
    /// of the objective is worth more when it comes back while there is room.
    fn shortest_queue(
        &self,
        open: &[&BoardEntry],
        need: &OnlineNeed<'_>,
        random: &mut dyn RandomSource,
    ) -> PlacementDecision {
        let waiting = |entry: &BoardEntry| {
            let over = entry.online().saturating_sub(entry.target.slots) + 1;
            self.hold.as_secs_f64() * f64::from(over) / f64::from(entry.target.slots.max(1))
        };
        let rated = open.iter().map(|entry| (waiting(entry), random.below(1 << 16), *entry));
        let best =
            rated.min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        let Some((wait, _, entry)) = best else {
            return PlacementDecision::Nowhere;
        };
        let allowed = need.objective.as_secs_f64() * self.policy.wait_share;
        if wait <= allowed || need.is_again {
            return PlacementDecision::Send(entry.target.clone());
        }
        let (soonest, latest) = RETURN_BOUNDS;
        let after = soonest + (latest - soonest) * random.fraction();
        PlacementDecision::Full(Duration::from_secs_f64(after.max(wait.min(latest))))
    }

    /// Where this host may send batch items, and how many.
    ///
    /// `demands` names each live host with waiting items, this one included. Each target goes to one
    /// of the hosts with the most urgent items, drawn by how many of them it has: two hosts that saw
    /// the same free slot at once would both fill it and stand in the way of the next request.
    pub fn batch_places(
        &self,
        pool: &str,
        demands: &[(HostId, Vec<ItemDemand>)],
        now: Instant,
    ) -> BatchRoom {
        let open = self.entries.values().filter(|entry| {
            let is_free = entry.total() < self.batch_slots(entry);
            &*entry.target.pool == pool && entry.is_open(now) && is_free
        });
        let free: Vec<(&FleetTarget, u32)> =
            open.map(|entry| (&entry.target, self.batch_slots(entry) - entry.total())).collect();
        let shares = share_room(free.iter().map(|(_, room)| room).sum(), demands);
        let mut places = Vec::new();
        for (target, room) in free {
            if draw_steward(&target.id, &shares).is_some_and(|steward| *steward == self.me) {
                places.push((target.clone(), room));
            }
        }
        places.sort_by_key(|(target, room)| {
            (target.zone != self.zone, std::cmp::Reverse(*room), target.id.clone())
        });
        let items = shares.iter().find(|(host, _)| *host == self.me).map_or(0, |share| share.1);
        BatchRoom { places, items }
    }

    /// Slots of a target that batch items may enter. A doubtful one gets a single item, which can run
    /// again elsewhere: without it nobody would see that the target has recovered.
    fn batch_slots(&self, entry: &BoardEntry) -> u32 {
        if self.is_doubtful(entry) { entry.target.slots.min(1) } else { entry.target.slots }
    }

    /// How many of this host's batch items must leave each target.
    ///
    /// Every host comes to the same order of the hosts that have items there, so that one of them
    /// breaks an item off and not all. A target that drains keeps what it has.
    pub fn batch_excess(&self) -> Vec<(Name, u32)> {
        let mut excess = Vec::new();
        for entry in self.entries.values() {
            let over = entry.total().saturating_sub(entry.target.slots);
            if over == 0 || entry.own_batch == 0 {
                continue;
            }
            let hash = name_hash(&entry.target.id);
            let before: u32 = self
                .peer_loads
                .iter()
                .filter(|(host, _)| **host < self.me)
                .flat_map(|(_, loads)| loads.iter().filter(|load| load.target == hash))
                .map(|load| u32::from(load.batch))
                .sum();
            let mine = over.saturating_sub(before).min(entry.own_batch);
            if mine > 0 {
                excess.push((entry.target.id.clone(), mine));
            }
        }
        excess
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
        let of_pool = self.entries.values().filter(|entry| {
            &*entry.target.pool == pool && entry.target.phase == TargetPhase::Serving
        });
        of_pool.fold((0, 0), |sum, entry| (sum.0 + entry.total(), sum.1 + entry.target.slots))
    }
}

/// Draws the host that may send batch items to a target: each host's chance is its weight.
fn draw_steward<'a>(target: &str, waiting: &'a [(HostId, u32)]) -> Option<&'a HostId> {
    let rated = waiting.iter().filter(|(_, weight)| *weight > 0).map(|(host, weight)| {
        let hash = cuminramp_core::rendezvous_score(target, &host.address);
        let fraction = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        (-fraction.ln() / f64::from(*weight), host)
    });
    rated.min_by(|left, right| left.0.total_cmp(&right.0)).map(|rated| rated.1)
}

#[cfg(test)]
mod tests;
