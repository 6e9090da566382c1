//! Statuses of hosts, which the hosts of a large fleet pass on to each other.
//!
//! A change travels with the next messages of each host that learns of it. Digests show what was missed: hosts
//! compare them with each message and request only the statuses in the parts that differ.

use std::collections::VecDeque;
use std::time::Duration;

use cuminramp_core::{HostId, Name, RandomSource, hash_parts};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{LocalReadiness, PeerRecord, PeerTable};
use crate::heartbeat::{HostHeartbeat, HostStatus, KnownHost};

/// Number of parts into which the statuses are divided by the hash of the host's address.
const DIGEST_PARTS: usize = 64;
/// Time for which messages carry a changed status, long enough for it to reach all hosts by others.
const STATUS_REPORT_TTL: Duration = Duration::from_secs(2);
/// Maximum number of statuses in a heartbeat, about 1 KB.
const MAX_REPORTED_STATUSES: usize = 16;
/// Maximum number of statuses in a response, about 13 KB.
const MAX_RESPONSE_STATUSES: usize = 200;
/// Multiplier that spreads the bits of a status over its hash: an odd number, 2^64 divided by the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Mixed into the hash of a host that was declared lost.
const LOST_HASH: u64 = 0xd6e8_feb8_6659_fd93;
/// Minimum interval between two requests for statuses to hosts of the local zone, and of other zones.
const REQUEST_INTERVALS: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_millis(3_000));

/// Request for the statuses of hosts, with the digests of those that the sender has.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusRequest {
    /// One digest for each part of the hosts.
    pub digests: Vec<u64>,
}

/// Statuses of the hosts in those parts whose digests differ, or some of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusResponse {
    /// The statuses.
    pub statuses: Vec<HostStatus>,
    /// Whether there are more than fit into one response.
    pub has_more: bool,
}

/// What the local host knows and says of its own status, and when it last requested those of others.
#[derive(Debug, Default)]
pub(super) struct StatusState {
    revision: u32,
    is_ready: bool,
    is_settled: bool,
    has_left: bool,
    reaches_store: bool,
    /// Digest of each part of the statuses: the hashes of its statuses, combined by exclusive or.
    digests: Vec<u64>,
    /// Hash of the local status in these digests; 0 before the first.
    local_hash: u64,
    /// Hosts whose statuses changed, with the time, in order.
    changes: VecDeque<(Instant, Name)>,
    near_requested_at: Option<Instant>,
    far_requested_at: Option<Instant>,
}

impl StatusState {
    /// Replaces the hash of a status in the digest of its part.
    fn replace_hash(&mut self, part: usize, old: u64, new: u64) {
        self.digests.resize(DIGEST_PARTS, 0);
        self.digests[part] ^= old ^ new;
    }

    fn forget_old_changes(&mut self, now: Instant) {
        let is_old = |(at, _): &(Instant, Name)| now.duration_since(*at) >= STATUS_REPORT_TTL;
        while self.changes.front().is_some_and(is_old) {
            self.changes.pop_front();
        }
    }
}

impl PeerRecord {
    /// Returns the hash of the status; 0 if none is known.
    fn compute_hash(&self) -> u64 {
        let is_known = self.heartbeat.is_some();
        let hash = hash_status(&self.host, self.revision, self.silent_since.is_some());
        let lost = if self.declared_lost_at.is_some() { LOST_HASH } else { 0 };
        if is_known { hash ^ lost } else { 0 }
    }
}

/// Returns the part to which a host belongs.
pub(super) fn part_of(address: &str) -> usize {
    (hash_parts(&[address]) % DIGEST_PARTS as u64) as usize
}

fn hash_status(host: &KnownHost, revision: u32, is_silent: bool) -> u64 {
    let state = u64::from(revision) << 1 | u64::from(is_silent);
    [host.incarnation, state].into_iter().fold(hash_parts(&[&host.address]), |hash, value| {
        let mixed = (hash ^ value).wrapping_mul(HASH_MULTIPLIER);
        mixed ^ (mixed >> 31)
    })
}

impl PeerTable {
    /// Sets the status of the local host, and raises its revision if the status has changed.
    pub fn set_local_status(
        &mut self,
        readiness: LocalReadiness,
        has_left: bool,
        reaches_store: bool,
    ) {
        let LocalReadiness { is_ready, is_settled } = readiness;
        let status = &mut self.statuses;
        let is_same = (status.is_ready, status.is_settled, status.has_left, status.reaches_store)
            == (is_ready, is_settled, has_left, reaches_store);
        if is_same {
            return;
        }
        (status.is_ready, status.is_settled) = (is_ready, is_settled);
        (status.has_left, status.reaches_store) = (has_left, reaches_store);
        status.revision += 1;
        self.update_local_hash();
    }

    pub(super) fn update_local_hash(&mut self) {
        let new = hash_status(&self.local, self.statuses.revision, false);
        let old = std::mem::replace(&mut self.statuses.local_hash, new);
        self.statuses.replace_hash(part_of(&self.local.address), old, new);
    }

    /// Updates the digests after a host's status has changed. With `is_change`, the next heartbeats carry it.
    pub(super) fn record_change(&mut self, address: &str, is_change: bool, now: Instant) {
        let Some(record) = self.peers.get_mut(address) else { return };
        let new = record.compute_hash();
        let old = std::mem::replace(&mut record.status_hash, new);
        let (part, address) = (record.part, record.host.address.clone());
        self.statuses.replace_hash(part, old, new);
        if is_change {
            self.statuses.forget_old_changes(now);
            self.statuses.changes.push_back((now, address));
        }
    }

    /// Returns the revision of the local host's status.
    pub fn local_revision(&self) -> u32 {
        self.statuses.revision
    }

    /// Returns the status of the local host.
    fn local_status(&self) -> HostStatus {
        let status = &self.statuses;
        HostStatus {
            host: self.local.clone(),
            revision: status.revision,
            is_ready: status.is_ready,
            has_left: status.has_left,
            is_settled: status.is_settled,
            reaches_store: status.reaches_store,
            is_silent: false,
        }
    }

    /// Returns the status of another host; `None` if nothing is known but its address.
    pub fn status_of(&self, address: &str) -> Option<HostStatus> {
        let record = self.peers.get(address)?;
        let heartbeat = record.heartbeat.as_ref()?;
        Some(HostStatus {
            host: record.host.clone(),
            revision: record.revision,
            is_ready: heartbeat.is_ready,
            has_left: record.has_left,
            is_settled: heartbeat.is_settled,
            reaches_store: heartbeat.reaches_store,
            is_silent: record.silent_since.is_some(),
        })
    }

    /// Returns the statuses that changed recently, the newest first, for the next heartbeat.
    pub fn recent_statuses(&mut self, now: Instant) -> Vec<HostStatus> {
        self.statuses.forget_old_changes(now);
        let mut reported: Vec<&Name> = Vec::new();
        for (_, address) in self.statuses.changes.iter().rev() {
            if reported.len() == MAX_REPORTED_STATUSES {
                break;
            }
            if !reported.contains(&address) {
                reported.push(address);
            }
        }
        reported.into_iter().filter_map(|address| self.status_of(address)).collect()
    }

    /// Returns the digest of all statuses, which is equal at hosts that know the same.
    pub fn status_digest(&self) -> u64 {
        self.statuses.digests.iter().fold(0, |all, part| all ^ part)
    }

    /// Returns the request to send to a host whose message had this digest; `None` if both know the same, or
    /// if statuses were requested a moment ago.
    pub fn request_statuses(
        &mut self,
        zone: &str,
        digest: u64,
        now: Instant,
    ) -> Option<StatusRequest> {
        if digest == 0 || !self.uses_probes() || digest == self.status_digest() {
            return None;
        }
        let is_near = *self.local.zone == *zone;
        let (last, interval) = match is_near {
            true => (&mut self.statuses.near_requested_at, REQUEST_INTERVALS.0),
            false => (&mut self.statuses.far_requested_at, REQUEST_INTERVALS.1),
        };
        if last.is_some_and(|at| now.duration_since(at) < interval) {
            return None;
        }
        *last = Some(now);
        Some(self.status_request())
    }

    /// Returns a request for all statuses that differ from those of this host.
    pub fn status_request(&self) -> StatusRequest {
        StatusRequest { digests: self.statuses.digests.clone() }
    }

    /// Returns the statuses in the parts that differ. Starts with a random one of these parts, since not all
    /// of them may fit.
    pub fn answer_status_request(
        &self,
        request: &StatusRequest,
        random: &mut dyn RandomSource,
    ) -> StatusResponse {
        let own = &self.statuses.digests;
        let first = random.below(DIGEST_PARTS);
        let parts = (first..DIGEST_PARTS).chain(0..first);
        let differing = parts.filter(|part| request.digests.get(*part) != own.get(*part));
        let mut statuses = Vec::new();
        for part in differing {
            let before = statuses.len();
            let others = self.peers.iter().filter(|(_, record)| record.part == part);
            statuses.extend(others.filter_map(|(address, _)| self.status_of(address)));
            if part == part_of(&self.local.address) {
                statuses.push(self.local_status());
            }
            if statuses.len() > MAX_RESPONSE_STATUSES && before > 0 {
                statuses.truncate(before);
                return StatusResponse { statuses, has_more: true };
            }
        }
        StatusResponse { statuses, has_more: false }
    }

    /// Applies statuses that another host passed on. Returns whether one of them was news.
    ///
    /// `is_change` is set for statuses that changed recently, which this host passes on in turn. If a status
    /// says that the local host is silent, its revision is raised, which refutes that.
    pub fn merge_statuses(
        &mut self,
        statuses: &[HostStatus],
        is_change: bool,
        now: Instant,
    ) -> bool {
        let mut has_news = false;
        for status in statuses {
            if status.host.address == self.local.address {
                self.record_own_run(status.host.incarnation);
                has_news |= self.refute(status);
            } else {
                has_news |= self.merge_status(status, is_change, now);
            }
        }
        has_news
    }

    fn refute(&mut self, status: &HostStatus) -> bool {
        let is_wrong = status.host.incarnation == self.local.incarnation
            && status.is_silent
            && status.revision >= self.statuses.revision;
        if is_wrong {
            self.statuses.revision = status.revision + 1;
            self.update_local_hash();
        }
        is_wrong
    }

    fn merge_status(&mut self, status: &HostStatus, is_change: bool, now: Instant) -> bool {
        self.discover(&status.host, now);
        let started_at = self.started_at;
        let is_cut_off = self.probes.is_cut_off();
        let Some(record) = self.peers.get_mut(&status.host.address) else { return false };
        let is_known = record.heartbeat.is_some()
            && (record.revision, record.silent_since.is_some(), record.has_left)
                >= (status.revision, status.is_silent, status.has_left);
        // While this host seems cut off, those that are with it find the others silent too.
        let is_doubtful = status.is_silent && is_cut_off;
        if record.host.incarnation != status.host.incarnation || is_known || is_doubtful {
            return false;
        }
        record.note_candidate(now);
        if record.heartbeat.is_none() {
            record.note_first_status(status.is_settled, started_at, now);
        }
        record.revision = status.revision;
        let has_changed_size = record.has_left != status.has_left;
        record.has_left = status.has_left;
        // A host that left by itself is not recorded as silent.
        let is_lost = status.has_left && status.is_silent;
        record.declared_lost_at = is_lost.then(|| record.declared_lost_at.unwrap_or(now));
        record.silent_since = status.is_silent.then(|| record.silent_since.unwrap_or(now));
        match &mut record.heartbeat {
            Some(heartbeat) => {
                heartbeat.is_ready = status.is_ready;
                heartbeat.is_settled = status.is_settled;
                heartbeat.reaches_store = status.reaches_store;
            }
            None => record.heartbeat = Some(heartbeat_of(status)),
        }
        record.note_candidate(now);
        self.record_change(&status.host.address, is_change, now);
        if has_changed_size {
            self.schedule = self.compute_schedule();
        }
        true
    }

    /// Takes back that hosts were found silent in the last `window`.
    pub(super) fn withdraw_silences(&mut self, window: Duration, now: Instant) {
        let is_recent = |at: Instant| now.duration_since(at) < window;
        let silent =
            self.peers.iter().filter(|(_, record)| record.silent_since.is_some_and(is_recent));
        let withdrawn: Vec<Name> = silent.map(|(address, _)| address.clone()).collect();
        for address in withdrawn {
            if let Some(record) = self.peers.get_mut(&address) {
                record.silent_since = None;
            }
            self.record_change(&address, false, now);
        }
    }

    /// Records that a host does not answer, and returns which incarnation.
    pub(super) fn mark_silent(&mut self, address: &str, now: Instant) -> Option<HostId> {
        let record = self.peers.get_mut(address)?;
        record.note_candidate(now);
        record.silent_since.get_or_insert(now);
        let id = record.id();
        self.record_change(address, true, now);
        Some(id)
    }
}

/// Returns a heartbeat that says what a status does, with a sequence number below that of each real one.
fn heartbeat_of(status: &HostStatus) -> HostHeartbeat {
    HostHeartbeat {
        host: status.host.clone(),
        sequence: 0,
        is_ready: status.is_ready,
        has_left: status.has_left,
        is_join_request: false,
        wants_hosts: false,
        is_probe: false,
        revision: status.revision,
        statuses: vec![],
        status_digest: 0,
        reaches_store: status.reaches_store,
        declarations_version: 0,
        targets_version: 0,
        usage: vec![],
        is_full: false,
        is_settled: status.is_settled,
        known_hosts: vec![],
        crash_counts: vec![],
        ended: vec![],
        drains: vec![],
    }
}
