//! Table of the other hosts: their latest heartbeats, and which of them are alive, silent or lost.
//!
//! A host is alive while its heartbeats arrive within the timeout of [`HeartbeatSchedule`], and silent
//! otherwise. In a fleet that is too large for heartbeats from each host to each other one, hosts probe a few
//! others, and pass on which of them are silent (see [`HeartbeatSchedule::uses_probes`]).

use std::time::Duration;

use cuminramp_core::{HostId, Incarnation, Name, SortedMap, rendezvous_score};
use tokio::time::Instant;

use crate::heartbeat::{HostHeartbeat, KnownHost};
use crate::schedule::HeartbeatSchedule;

mod candidates;
mod presence;
mod probes;
mod renewal;
mod routing;
mod statuses;
mod zones;

use probes::ProbeState;
pub use probes::{PROBE_INTERVAL, ProbeStep};
pub use renewal::incarnation_after;
pub use statuses::{StatusRequest, StatusResponse};
use statuses::{StatusState, part_of};

/// Time without a message from any host of a zone after which its hosts count as silent, where hosts probe each
/// other. Each zone is probed at least once in [`PROBE_INTERVAL`] times the number of zones.
const ZONE_TIMEOUT: Duration = Duration::from_secs(4);

/// Settings that determine when a host is lost.
#[derive(Clone, Copy, Debug)]
pub struct PeerPolicy {
    /// Time without a heartbeat after which a host's jobs are taken over. If it is less than twice the
    /// timeout after which the host is silent, twice that timeout applies.
    pub lost_timeout: Duration,
}

/// State of one other host.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    /// Addresses, incarnation and zone of the host.
    pub host: KnownHost,
    /// Time of the last heartbeat from this incarnation; `None` if none has arrived, or none since
    /// [`PeerTable::reset_liveness`].
    pub last_heartbeat_at: Option<Instant>,
    /// Time at which this incarnation became known.
    pub discovered_at: Instant,
    /// Latest heartbeat.
    pub heartbeat: Option<HostHeartbeat>,
    /// Whether the host has reported that it no longer admits requests, or was declared lost.
    pub has_left: bool,
    /// Time at which the host was declared lost; `None` if it was not, or was heard since.
    pub declared_lost_at: Option<Instant>,
    /// Time of the last heartbeat from the host's address that allowed it to own teams.
    pub owner_candidate_at: Option<Instant>,
    /// Whether this incarnation started at about the same time as the local host: its first heartbeat arrived
    /// soon after the local start, and the host was not settled then.
    pub has_joint_start: bool,
    /// Latest known revision of the host's status.
    pub revision: u32,
    /// Time at which the host was found silent by probes; `None` if it was not.
    pub silent_since: Option<Instant>,
    /// Hash of the host's status in the digests; 0 while none is known.
    status_hash: u64,
    /// Part of the statuses to which the host belongs.
    part: usize,
}

impl PeerRecord {
    /// Returns the host's address and incarnation.
    pub fn id(&self) -> HostId {
        HostId { address: self.host.address.clone(), incarnation: self.host.incarnation }
    }
}

/// Whether the local host accepts requests and has been up for long enough to know the token levels of
/// teams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LocalReadiness {
    /// Whether it accepts requests.
    pub is_ready: bool,
    /// Whether others can adopt its token levels.
    pub is_settled: bool,
}

/// All other hosts that the local host knows.
#[derive(Debug)]
pub struct PeerTable {
    local: KnownHost,
    /// Highest incarnation of the local host that the store or another host has named.
    latest_own_run: Incarnation,
    policy: PeerPolicy,
    schedule: HeartbeatSchedule,
    peers: SortedMap<Name, PeerRecord>,
    started_at: Instant,
    /// When what was heard of all hosts was cleared last, or the start.
    liveness_reset_at: Instant,
    probes: ProbeState,
    statuses: StatusState,
}

impl PeerTable {
    /// Creates a table without other hosts.
    pub fn new(local: KnownHost, policy: PeerPolicy) -> Self {
        PeerTable {
            latest_own_run: local.incarnation,
            local,
            policy,
            schedule: HeartbeatSchedule::new(1, 1),
            peers: SortedMap::new(),
            started_at: Instant::now(),
            liveness_reset_at: Instant::now(),
            probes: ProbeState::default(),
            statuses: StatusState::default(),
        }
    }

    /// Returns this host.
    pub(crate) fn local(&self) -> &KnownHost {
        &self.local
    }

    /// Returns the local host.
    pub fn local_host(&self) -> &KnownHost {
        &self.local
    }

    /// Records a host that the store's table of hosts or another host lists. Returns whether this
    /// incarnation is new, that is, higher than the recorded one.
    pub fn discover(&mut self, host: &KnownHost, now: Instant) -> bool {
        if host.address == self.local.address {
            self.record_own_run(host.incarnation);
            return false;
        }
        let held = self.peers.get(&host.address);
        if held.is_some_and(|record| record.host.incarnation >= host.incarnation) {
            return false;
        }
        let mut held = held.cloned();
        if let Some(record) = held.as_mut().filter(|_| self.uses_probes()) {
            record.note_candidate(now);
        }
        let status_hash = held.as_ref().map_or(0, |record| record.status_hash);
        let owner_candidate_at = held.and_then(|record| record.owner_candidate_at);
        let record = PeerRecord {
            host: host.clone(),
            last_heartbeat_at: None,
            discovered_at: now,
            heartbeat: None,
            has_left: false,
            declared_lost_at: None,
            owner_candidate_at,
            has_joint_start: false,
            revision: 0,
            silent_since: None,
            status_hash,
            part: part_of(&host.address),
        };
        self.peers.insert(host.address.clone(), record);
        self.schedule = self.compute_schedule();
        self.record_change(&host.address, false, now);
        true
    }

    /// Records a heartbeat. Returns `false` if it is older than the latest one or from the local host.
    pub fn receive_heartbeat(&mut self, heartbeat: HostHeartbeat, now: Instant) -> bool {
        if heartbeat.host.address == self.local.address {
            return false;
        }
        self.drop_run_ahead(&heartbeat.host, now);
        self.discover(&heartbeat.host, now);
        let started_at = self.started_at;
        let Some(record) = self.peers.get_mut(&heartbeat.host.address) else {
            return false;
        };
        let is_outdated = record.host.incarnation > heartbeat.host.incarnation
            || record.heartbeat.as_ref().is_some_and(|held| held.sequence >= heartbeat.sequence)
            || (record.heartbeat.is_some() && record.revision > heartbeat.revision);
        if is_outdated {
            return false;
        }
        self.probes.record_message(&record.host.address, &record.host.zone, now);
        if record.heartbeat.is_none() {
            record.note_first_status(heartbeat.is_settled, started_at, now);
        }
        let is_change = record.heartbeat.is_none() || record.revision < heartbeat.revision;
        if is_change {
            record.revision = heartbeat.revision;
            record.silent_since = None;
        }
        record.last_heartbeat_at = Some(now);
        // In a large fleet the others know that the host is lost until its next revision refutes it.
        let is_refuted = is_change || !self.schedule.uses_probes();
        let had_left = record.has_left;
        if record.declared_lost_at.is_none() || is_refuted {
            record.has_left = heartbeat.has_left;
            record.declared_lost_at = None;
        }
        let has_changed_size = record.has_left != had_left;
        if heartbeat.is_ready && heartbeat.is_settled && !heartbeat.has_left {
            record.owner_candidate_at = Some(now);
        }
        let address = heartbeat.host.address.clone();
        record.heartbeat = Some(heartbeat);
        if is_change {
            self.record_change(&address, true, now);
        }
        if has_changed_size {
            self.schedule = self.compute_schedule();
        }
        true
    }

    /// Forgets a run of a host with a higher incarnation than the one that is heard now, if that run has been silent for
    /// so long that no message of a run before it can be on its way. Its clock was ahead.
    ///
    /// In a large fleet others would name the higher incarnation again.
    fn drop_run_ahead(&mut self, heard: &KnownHost, now: Instant) {
        let Some(record) = self.peers.get(&heard.address) else { return };
        if record.host.incarnation <= heard.incarnation || self.uses_probes() {
            return;
        }
        let last_seen = self.last_seen(record).unwrap_or(record.discovered_at);
        let min_silence = self.policy.lost_timeout.max(self.timeout(record) * 2);
        if now.duration_since(last_seen) > min_silence {
            self.forget(&heard.address);
        }
    }

    /// Clears the times of all last heartbeats. Needed after a pause of this process, because the states in
    /// the table are then at least as old as the pause was long.
    pub fn reset_liveness(&mut self) {
        self.liveness_reset_at = Instant::now();
        for (_, record) in self.peers.iter_mut() {
            record.last_heartbeat_at = None;
        }
        self.probes.reset();
    }

    /// Removes a host.
    fn forget(&mut self, address: &str) {
        if let Some(record) = self.peers.get_mut(address) {
            record.heartbeat = None;
        }
        self.record_change(address, false, Instant::now());
        self.peers.remove(address);
        self.schedule = self.compute_schedule();
    }

    /// Returns the records of all other hosts.
    pub fn iter(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values()
    }

    /// Returns the record of one host.
    pub fn get(&self, address: &str) -> Option<&PeerRecord> {
        self.peers.get(address)
    }

    /// Returns the heartbeat schedule for the current number of hosts.
    pub fn schedule(&self) -> HeartbeatSchedule {
        self.schedule
    }

    fn compute_schedule(&self) -> HeartbeatSchedule {
        let others = self.peers.values().filter(|record| !record.has_left);
        let (all, near) = others.fold((1, 1), |(all, near), record| {
            (all + 1, near + usize::from(record.host.zone == self.local.zone))
        });
        HeartbeatSchedule::new(all, near)
    }

    /// Returns whether the fleet is so large that hosts probe each other.
    pub fn uses_probes(&self) -> bool {
        self.schedule.uses_probes()
    }

    fn timeout(&self, record: &PeerRecord) -> Duration {
        if self.uses_probes() {
            return ZONE_TIMEOUT;
        }
        self.schedule.timeout(record.host.zone == self.local.zone)
    }

    /// Returns the time at which a host was last known to be alive; `None` if it never was.
    fn last_seen(&self, record: &PeerRecord) -> Option<Instant> {
        if !self.uses_probes() || record.heartbeat.is_none() {
            return record.last_heartbeat_at;
        }
        match record.silent_since {
            Some(at) => Some(at),
            None => record.last_heartbeat_at.max(self.probes.zone_heard_at(&record.host.zone)),
        }
    }

    /// Returns whether a heartbeat of the host arrived within the timeout. While the host is alive, callers
    /// may be steered to it, and no share of the rates is reserved for it.
    pub fn is_alive(&self, record: &PeerRecord, now: Instant) -> bool {
        let is_silent = record.silent_since.is_some() && self.uses_probes();
        !is_silent
            && self
                .last_seen(record)
                .is_some_and(|at| now.duration_since(at) < self.timeout(record))
    }

    /// Returns the number of alive hosts and the number of all hosts that may be admitting requests. Both
    /// include the local host.
    pub fn count_alive(&self, now: Instant) -> (usize, usize) {
        let others = self.peers.values().filter(|record| !record.has_left);
        let (mut alive, mut all) = (1, 1);
        for record in others {
            all += 1;
            alive += usize::from(self.is_alive(record, now));
        }
        if let Some(share) = self.probes.answered_share().filter(|_| self.uses_probes()) {
            // The hosts that don't answer are not recorded as silent.
            alive = alive.min((all as f64 * share).ceil() as usize).max(1);
        }
        (alive, all)
    }

    /// Returns whether an incarnation has ended or is presumed to have ended, so that its jobs can be taken
    /// over. If it is still running, its writes are rejected because the version of the job's row has
    /// changed.
    pub fn is_lost(&self, id: &HostId, now: Instant) -> bool {
        if id.address == self.local.address {
            return id.incarnation != self.local.incarnation;
        }
        let Some(record) = self.peers.get(&id.address) else {
            return true;
        };
        if record.host.incarnation != id.incarnation || record.has_left {
            return record.host.incarnation > id.incarnation || record.has_left;
        }
        let last_seen = self.last_seen(record).unwrap_or(record.discovered_at);
        let is_silent = self.uses_probes() && record.silent_since.is_some();
        let min_silence = if is_silent { Duration::ZERO } else { self.timeout(record) * 2 };
        now.duration_since(last_seen) > self.policy.lost_timeout.max(min_silence)
    }

    /// Returns whether at least half of all hosts are alive, the local host included. With fewer, the local
    /// host is itself presumed to be cut off and must not take over the work of others.
    pub fn has_at_least_half(&self, now: Instant) -> bool {
        let (alive, all) = self.count_alive(now);
        alive * 2 >= all
    }

    /// Returns the alive hosts that accept requests. Includes the local host if
    /// `is_local_ready`.
    pub fn ready_hosts(&self, is_local_ready: bool, now: Instant) -> Vec<(HostId, &KnownHost)> {
        let mut ready = Vec::new();
        if is_local_ready {
            let address = self.local.address.clone();
            ready.push((HostId { address, incarnation: self.local.incarnation }, &self.local));
        }
        for record in self.peers.values() {
            let is_ready = record.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.is_ready);
            if is_ready && !record.has_left && self.is_alive(record, now) {
                ready.push((record.id(), &record.host));
            }
        }
        ready
    }

    /// Returns the number of hosts that precede the local host in the rendezvous hashing order of a key.
    pub fn rank(&self, key: &str) -> usize {
        let own = rendezvous_score(key, &self.local.address);
        let others = self.peers.values().filter(|record| !record.has_left);
        others.filter(|record| rendezvous_score(key, &record.host.address) > own).count()
    }
}

#[cfg(test)]
mod tests;
