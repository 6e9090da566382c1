//! What a host believes of the others.

use std::time::Duration;

use cuminramp_core::{AvailabilityZone, HostId, Name, RandomSource, SortedMap, rendezvous_score};
use tokio::time::Instant;

use crate::heartbeat::{HostHeartbeat, KnownHost};
use crate::schedule::HeartbeatSchedule;
use crate::steering::{SteeringArea, SteeringBounds};

/// How long a host that is not heard is still named to callers where hardly any other is: longer, and
/// callers would be sent to hosts that are gone.
const NAME_UNHEARD_FOR: Duration = Duration::from_secs(5);

/// When a host is no longer believed to be there.
#[derive(Clone, Copy, Debug)]
pub struct PeerPolicy {
    /// Silence after which a host's jobs are taken over; at least twice that after which it counts
    /// as silent.
    pub lost: Duration,
}

/// What is known of one host.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    /// Where it is.
    pub host: KnownHost,
    /// When a heartbeat came last; `None` if none has come from this run.
    pub last_heartbeat_at: Option<Instant>,
    /// When this run became known.
    pub known_at: Instant,
    /// The newest heartbeat.
    pub heartbeat: Option<HostHeartbeat>,
    /// It has said that it admits nothing any more.
    pub has_left: bool,
}

impl PeerRecord {
    /// Its identity.
    pub fn id(&self) -> HostId {
        HostId { address: self.host.address.clone(), incarnation: self.host.incarnation }
    }
}

/// All other hosts that this host knows.
#[derive(Debug)]
pub struct PeerTable {
    me: KnownHost,
    policy: PeerPolicy,
    schedule: HeartbeatSchedule,
    peers: SortedMap<Name, PeerRecord>,
}

impl PeerTable {
    /// Knows nobody yet.
    pub fn new(me: KnownHost, policy: PeerPolicy) -> Self {
        PeerTable { me, policy, schedule: HeartbeatSchedule::new(1, 1), peers: SortedMap::new() }
    }

    /// This host.
    pub fn me(&self) -> &KnownHost {
        &self.me
    }

    /// Takes note of a host that a row or another host names; says whether this run was unknown.
    pub fn discover(&mut self, host: &KnownHost, now: Instant) -> bool {
        if host.address == self.me.address {
            return false;
        }
        let held = self.peers.get(&host.address);
        if held.is_some_and(|record| record.host.incarnation >= host.incarnation) {
            return false;
        }
        let record = PeerRecord {
            host: host.clone(),
            last_heartbeat_at: None,
            known_at: now,
            heartbeat: None,
            has_left: false,
        };
        self.peers.insert(host.address.clone(), record);
        self.schedule = self.make_schedule();
        true
    }

    /// Takes a heartbeat; `false` if it is older than what is known.
    pub fn receive_heartbeat(&mut self, heartbeat: HostHeartbeat, now: Instant) -> bool {
        if heartbeat.host.address == self.me.address {
            return false;
        }
        self.discover(&heartbeat.host, now);
        let Some(record) = self.peers.get_mut(&heartbeat.host.address) else {
            return false;
        };
        let is_old = record.host.incarnation > heartbeat.host.incarnation
            || record.heartbeat.as_ref().is_some_and(|held| held.sequence >= heartbeat.sequence);
        if is_old {
            return false;
        }
        record.last_heartbeat_at = Some(now);
        record.has_left = heartbeat.has_left;
        record.heartbeat = Some(heartbeat);
        true
    }

    /// Forgets when every host was last heard, as after a pause of this host: what it believes is
    /// as old as the pause was long.
    pub fn reset_liveness(&mut self) {
        for (_, record) in self.peers.iter_mut() {
            record.last_heartbeat_at = None;
        }
    }

    /// Takes a host out that the table no longer lists.
    pub fn forget(&mut self, address: &str) {
        self.peers.remove(address);
        self.schedule = self.make_schedule();
    }

    /// Every other host.
    pub fn iter(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values()
    }

    /// One host.
    pub fn get(&self, address: &str) -> Option<&PeerRecord> {
        self.peers.get(address)
    }

    /// How often hosts send heartbeats now.
    pub fn schedule(&self) -> HeartbeatSchedule {
        self.schedule
    }

    fn make_schedule(&self) -> HeartbeatSchedule {
        let others = self.peers.values().filter(|record| !record.has_left);
        let (all, near) = others.fold((1, 1), |(all, near), record| {
            (all + 1, near + usize::from(record.host.zone == self.me.zone))
        });
        HeartbeatSchedule::new(all, near)
    }

    fn timeout(&self, record: &PeerRecord) -> Duration {
        self.schedule.timeout(record.host.zone == self.me.zone)
    }

    /// Whether a host was heard lately. Until then callers are sent to it, and its share of rates
    /// need not be kept for it.
    pub fn is_alive(&self, record: &PeerRecord, now: Instant) -> bool {
        record.last_heartbeat_at.is_some_and(|at| now.duration_since(at) < self.timeout(record))
    }

    /// Hosts that were heard lately, and all that may be admitting requests, this one included.
    pub fn count_alive(&self, now: Instant) -> (usize, usize) {
        let others = self.peers.values().filter(|record| !record.has_left);
        let (mut heard, mut all) = (1, 1);
        for record in others {
            all += 1;
            heard += usize::from(self.is_alive(record, now));
        }
        (heard, all)
    }

    /// Whether a run is surely or probably over, so that its jobs can be taken over; what it still
    /// writes is refused by the version of the job's row.
    pub fn is_lost(&self, id: &HostId, now: Instant) -> bool {
        if id.address == self.me.address {
            return id.incarnation != self.me.incarnation;
        }
        let Some(record) = self.peers.get(&id.address) else {
            return true;
        };
        if record.host.incarnation != id.incarnation || record.has_left {
            return record.host.incarnation > id.incarnation || record.has_left;
        }
        let since = record.last_heartbeat_at.unwrap_or(record.known_at);
        now.duration_since(since) > self.policy.lost.max(self.timeout(record) * 2)
    }

    /// Whether at least half of the others are heard: a host that hears fewer is itself the one cut
    /// off, and takes over nothing.
    pub fn has_majority(&self, now: Instant) -> bool {
        let (heard, all) = self.count_alive(now);
        heard * 2 >= all
    }

    /// Hosts that take requests and were heard lately, with their zones; this one among them if it does.
    pub fn live(&self, is_me_ready: bool, now: Instant) -> Vec<(HostId, &AvailabilityZone)> {
        let mut live = Vec::new();
        if is_me_ready {
            let address = self.me.address.clone();
            live.push((HostId { address, incarnation: self.me.incarnation }, &self.me.zone));
        }
        for record in self.peers.values() {
            let is_ready = record.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.is_ready);
            if is_ready && !record.has_left && self.is_alive(record, now) {
                live.push((record.id(), &record.host.zone));
            }
        }
        live
    }

    /// A host that the store answers, for one that it does not: of this zone if there is one, by a
    /// number that spreads the work.
    pub fn store_relay(&self, spread: usize, now: Instant) -> Option<Name> {
        let able: Vec<&PeerRecord> = self
            .peers
            .values()
            .filter(|record| !record.has_left && self.is_alive(record, now))
            .filter(|record| {
                record.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.reaches_store)
            })
            .collect();
        let is_near = |record: &&&PeerRecord| record.host.zone == self.me.zone;
        let near: Vec<&&PeerRecord> = able.iter().filter(is_near).collect();
        let chosen = match near.is_empty() {
            true if able.is_empty() => return None,
            true => able[spread % able.len()],
            false => near[spread % near.len()],
        };
        Some(chosen.host.address.clone())
    }

    /// Whether more than half of the hosts of a zone are heard, this one included; of all hosts where the
    /// zone has none. No two hosts that do not hear each other both hear most.
    pub fn has_majority_in(&self, zone: &str, now: Instant) -> bool {
        let in_zone: Vec<&PeerRecord> =
            self.peers.values().filter(|record| *record.host.zone == *zone).collect();
        let present = in_zone.iter().filter(|record| !record.has_left).count();
        let own = usize::from(*self.me.zone == *zone);
        if present + own == 0 {
            let (heard, all) = self.count_alive(now);
            return heard * 2 > all;
        }
        let is_alive = |record: &&&PeerRecord| !record.has_left && self.is_alive(record, now);
        (in_zone.iter().filter(is_alive).count() + own) * 2 > present + own
    }

    /// Whether a zone has hosts and none of them is heard: it is lost, or cut off from this one.
    pub fn is_zone_silent(&self, zone: &str, now: Instant) -> bool {
        if *self.me.zone == *zone {
            return false;
        }
        let present = |record: &&PeerRecord| *record.host.zone == *zone && !record.has_left;
        let mut known = self.peers.values().filter(present).peekable();
        known.peek().is_some() && known.all(|record| !self.is_alive(record, now))
    }

    /// How many hosts come before this one in the order that rendezvous gives them for a key.
    pub fn rank(&self, key: &str) -> usize {
        let own = rendezvous_score(key, &self.me.address);
        let others = self.peers.values().filter(|record| !record.has_left);
        others.filter(|record| rendezvous_score(key, &record.host.address) > own).count()
    }

    /// Live hosts for callers of an area, as it chooses them. Where hardly any other is heard, those that
    /// were heard or became known a moment ago; a host that hears less than half of all names those of zones
    /// that fell silent as a whole, which callers may still reach.
    pub fn steer(
        &self,
        area: &SteeringArea,
        is_me_ready: bool,
        bounds: SteeringBounds,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Vec<Name> {
        let mut live: Vec<&KnownHost> = Vec::new();
        if is_me_ready {
            live.push(&self.me);
        }
        for record in self.peers.values() {
            let is_ready = record.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.is_ready);
            if is_ready && !record.has_left && self.is_alive(record, now) {
                live.push(&record.host);
            }
        }
        let is_alone = live.len() <= 1;
        if is_alone || !self.has_majority(now) {
            let unheard = self.peers.values().filter(|record| !record.has_left);
            let recent = unheard.filter(|record| {
                let since = record.last_heartbeat_at.unwrap_or(record.known_at);
                !self.is_alive(record, now) && now.duration_since(since) < NAME_UNHEARD_FOR
            });
            // A zone that is silent as a whole is more likely cut off from this host than lost.
            let named =
                recent.filter(|record| is_alone || self.is_zone_silent(&record.host.zone, now));
            live.extend(named.map(|record| &record.host));
        }
        area.choose(&live, bounds, random)
    }
}

#[cfg(test)]
mod tests;
