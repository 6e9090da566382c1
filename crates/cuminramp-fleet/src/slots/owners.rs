//! Selection of the hosts that own groups of targets and the tokens of teams.

use std::time::Duration;

use cuminramp_core::{HostId, Name, SortedMap, rendezvous_score};
use tokio::time::Instant;

use super::message::SlotGroup;
use crate::heartbeat::KnownHost;
use crate::peers::{LocalReadiness, PeerTable};

/// Number of hosts of a zone that know the targets of a pool in a large fleet: the owner of the group, and those
/// that would own it if hosts before them failed.
const OWNER_CANDIDATES: usize = 4;

/// Time for which an owner that did not respond is excluded at first. It doubles with each further
/// exclusion: a host that is slow again and again would otherwise delay requests twice a second.
const MIN_EXCLUSION: Duration = Duration::from_millis(700);
/// Maximum time for which an owner is excluded.
const MAX_EXCLUSION: Duration = Duration::from_secs(8);
/// Time without a new exclusion, counted from the end of the last one, after which a host's next exclusion
/// lasts [`MIN_EXCLUSION`] again.
const EXCLUSION_RESET_DELAY: Duration = Duration::from_secs(10);

/// Time for which an owner failure report counts: reports about the same owner that are further apart do not
/// add up.
const FAILURE_REPORT_TTL: Duration = Duration::from_millis(500);
/// Time for which the selected owner of a group is cached: hosts look it up a hundred times a second.
const SELECTION_TTL: Duration = Duration::from_millis(10);

impl PeerTable {
    /// Returns whether the local host has to know the targets of a pool in its zone: it owns them, or would if a
    /// few hosts failed. Where hosts send heartbeats to each other, each host does.
    pub fn is_owner_candidate(&self, pool: &Name, now: Instant) -> bool {
        if !self.uses_probes() {
            return true;
        }
        let local = self.local_host();
        let key = SlotGroup { pool: pool.clone(), zone: local.zone.clone() }.key();
        let min_core_percent = self.min_core_percent(&local.zone, now);
        let rank = |host: &KnownHost| {
            (host.core_percent >= min_core_percent, rendezvous_score(&key, &host.address))
        };
        let own = rank(local);
        let alive = self
            .iter()
            .filter(|record| record.host.zone == local.zone && !record.has_left)
            .filter(|record| self.is_alive(record, now));
        alive.filter(|record| rank(&record.host) > own).count() < OWNER_CANDIDATES
    }
}

#[derive(Clone, Copy, Debug)]
struct Exclusion {
    until: Instant,
    count: u32,
}

/// Selects the owner of each group and each team, and excludes owners that this host or others found silent recently.
#[derive(Debug, Default)]
pub struct OwnerTable {
    exclusions: SortedMap<HostId, Exclusion>,
    /// Latest uncorroborated failure report about each owner: the reporting host's address, and the time.
    failure_reports: SortedMap<HostId, (Name, Instant)>,
    /// Cached owner of each group, with the time of its selection.
    selections: SortedMap<SlotGroup, (Option<HostId>, Instant)>,
}

impl OwnerTable {
    /// Excludes a host from ownership for a while. Returns `false` if it is excluded already.
    pub fn exclude(&mut self, host: &HostId, now: Instant) -> bool {
        self.exclusions.retain(|_, exclusion| exclusion.until + EXCLUSION_RESET_DELAY > now);
        let new = Exclusion { until: now, count: 0 };
        let exclusion = self.exclusions.get_or_insert_with(host.clone(), || new);
        if exclusion.until > now {
            return false;
        }
        let duration = MIN_EXCLUSION * (1 << exclusion.count.min(4));
        exclusion.count += 1;
        exclusion.until = now + duration.min(MAX_EXCLUSION);
        self.selections = SortedMap::new();
        true
    }

    /// Processes an owner failure report from another host. Returns whether it newly excludes the owner.
    ///
    /// An owner is excluded once two hosts have reported it: a single one may itself be slow or cut off.
    pub fn receive_failure(&mut self, from: &Name, failed: &HostId, now: Instant) -> bool {
        self.failure_reports.retain(|_, (_, at)| now.duration_since(*at) < FAILURE_REPORT_TTL);
        let is_only_reporter =
            self.failure_reports.get(failed).is_none_or(|(reporter, _)| reporter == from);
        if is_only_reporter {
            self.failure_reports.insert(failed.clone(), (from.clone(), now));
            return false;
        }
        self.exclude(failed, now)
    }

    fn is_excluded(&self, host: &HostId, now: Instant) -> bool {
        self.exclusions.get(host).is_some_and(|exclusion| exclusion.until > now)
    }

    /// Returns the owner of a group, selected by rendezvous hashing among the alive hosts of the group's zone
    /// that accept requests and are not excluded, the larger ones first, or among the hosts of all zones that meet these conditions
    /// if the group's zone has none. Returns `None` if no host may own the group, not even this one.
    ///
    /// `is_local_ready` is set if this host accepts requests, so that it may own groups itself.
    pub fn owner(
        &mut self,
        group: &SlotGroup,
        peers: &PeerTable,
        is_local_ready: bool,
        now: Instant,
    ) -> Option<HostId> {
        if let Some((owner, at)) = self.selections.get(group)
            && now.duration_since(*at) < SELECTION_TTL
        {
            return owner.clone();
        }
        let owner = self.select(group, peers, is_local_ready, now);
        self.selections.insert(group.clone(), (owner.clone(), now));
        owner
    }

    /// Returns the owner of a team's tokens, selected by rendezvous hashing among the hosts that may own teams
    /// and are not excluded. Hosts that have just started come last: they don't know yet which tokens
    /// are spent. Returns `None` if no host may own the team, not even the local one.
    pub fn team_owner(
        &self,
        team: &Name,
        peers: &PeerTable,
        local: LocalReadiness,
        now: Instant,
    ) -> Option<HostId> {
        let all = peers.owner_candidates(local, now);
        let candidates = all.filter(|(id, _)| !self.is_excluded(id, now));
        let ranked = candidates
            .map(|(id, is_settled)| ((is_settled, rendezvous_score(team, &id.address)), id));
        ranked.max_by_key(|(rank, _)| *rank).map(|(_, id)| id)
    }

    /// Returns up to `count` hosts that own a team's tokens now or would if those before them failed, the owner
    /// first.
    pub fn team_owners(
        &self,
        team: &Name,
        peers: &PeerTable,
        local: LocalReadiness,
        count: usize,
        now: Instant,
    ) -> Vec<HostId> {
        let all = peers.owner_candidates(local, now);
        let mut ranked: Vec<((bool, u64), HostId)> = all
            .map(|(id, is_settled)| ((is_settled, rendezvous_score(team, &id.address)), id))
            .collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.into_iter().take(count).map(|(_, id)| id).collect()
    }

    fn select(
        &self,
        group: &SlotGroup,
        peers: &PeerTable,
        is_local_ready: bool,
        now: Instant,
    ) -> Option<HostId> {
        let ready = peers.ready_hosts(is_local_ready, now);
        let candidates = ready.iter().filter(|(id, _)| !self.is_excluded(id, now));
        let key = group.key();
        let min_core_percent = peers.min_core_percent(&group.zone, now);
        let ranked = candidates.map(|(id, host)| {
            let is_in_zone = host.zone == group.zone;
            let is_large = host.core_percent >= min_core_percent;
            ((is_in_zone, is_large, rendezvous_score(&key, &id.address)), id)
        });
        ranked.max_by_key(|(rank, _)| *rank).map(|(_, id)| id.clone())
    }
}
