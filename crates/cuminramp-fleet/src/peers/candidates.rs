//! Which hosts may own the tokens of teams, now or until recently.

use std::time::Duration;

use cuminramp_core::{HostId, rendezvous_score};
use tokio::time::Instant;

use super::{LocalReadiness, PeerRecord, PeerTable};
use crate::heartbeat::HostHeartbeat;

/// Time after a change of a team's owner, or a start of hosts, by which heartbeats of all hosts have reported
/// what was granted before.
const OWNER_CHANGE_WINDOW: Duration = Duration::from_secs(2);

/// Time after the start of the local host in which hosts whose first heartbeat arrives unsettled count as
/// started together with it.
const JOINT_START_WINDOW: Duration = Duration::from_secs(1);
/// Time after the start of the local host for which hosts that started together with it count as settled when
/// it is. By then, heartbeats of all of them have reported that they are settled.
const JOINT_SETTLING_WINDOW: Duration = Duration::from_secs(4);

impl PeerRecord {
    /// Records the time if the host can own teams now.
    pub(super) fn note_candidate(&mut self, now: Instant) {
        let is_ready = self
            .heartbeat
            .as_ref()
            .is_some_and(|heartbeat| heartbeat.is_ready && heartbeat.is_settled);
        if is_ready && !self.has_left && self.silent_since.is_none() {
            self.owner_candidate_at = Some(now);
        }
    }

    /// Records whether the host started together with the local one, by its first known status.
    pub(super) fn note_first_status(
        &mut self,
        is_settled: bool,
        local_start: Instant,
        now: Instant,
    ) {
        let elapsed = now.saturating_duration_since(local_start);
        self.has_joint_start = !is_settled && elapsed < JOINT_START_WINDOW;
    }
}

impl PeerTable {
    /// Returns the hosts that may own teams, each with whether it has been up for long enough to know their
    /// token levels. Includes the local host if it accepts requests.
    ///
    /// These are the alive hosts that accept requests, and those that became known a moment ago. When all
    /// hosts start at once, heartbeats of the others arrive in a different order at each host. If only hosts
    /// with a heartbeat were owners, hosts would turn to many different ones at first.
    ///
    /// Hosts that started together with the local one count as settled when it is. If one of them is cut off
    /// at the moment at which all settle, the others would otherwise never learn that it is settled, and each
    /// would turn to the host whose heartbeat told it so first.
    pub(crate) fn owner_candidates(
        &self,
        local: LocalReadiness,
        now: Instant,
    ) -> impl Iterator<Item = (HostId, bool)> {
        let local_id =
            HostId { address: self.local.address.clone(), incarnation: self.local.incarnation };
        let own = local.is_ready.then_some((local_id, local.is_settled));
        let is_settling = now.saturating_duration_since(self.started_at) < JOINT_SETTLING_WINDOW;
        let others = self.peers.values().filter_map(move |record| {
            let Some(heartbeat) = &record.heartbeat else {
                let is_new = now.duration_since(record.discovered_at) < OWNER_CHANGE_WINDOW;
                return is_new.then(|| (record.id(), false));
            };
            let is_ready = heartbeat.is_ready && !record.has_left && self.is_alive(record, now);
            let is_settled = if record.has_joint_start && is_settling {
                local.is_settled
            } else {
                heartbeat.is_settled
            };
            is_ready.then(|| (record.id(), is_settled))
        });
        own.into_iter().chain(others)
    }

    /// Returns whether an alive host is known that knows the token levels of teams. If all hosts have just started,
    /// there is none.
    pub fn knows_settled_host(&self, now: Instant) -> bool {
        self.peers.values().any(|record| {
            record.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.is_settled)
                && !record.has_left
                && self.is_alive(record, now)
        })
    }

    /// Returns whether another host precedes the local one in the order of a team's owners and can own teams
    /// now, or could until recently. While it does, that host may have granted tokens of the team that no
    /// heartbeat has reported yet.
    pub fn has_recent_owner_before_local(&self, team: &str, now: Instant) -> bool {
        let own = rendezvous_score(team, &self.local.address);
        self.peers.values().any(|record| {
            let window = self.timeout(record) + OWNER_CHANGE_WINDOW;
            let candidate_at = self.last_owner_candidate_at(record);
            let is_recent = candidate_at.is_some_and(|at| now.duration_since(at) < window);
            is_recent && rendezvous_score(team, &record.host.address) > own
        })
    }

    /// Returns the last time at which a host could own teams, as far as this host knows.
    fn last_owner_candidate_at(&self, record: &PeerRecord) -> Option<Instant> {
        let can_own = |heartbeat: &HostHeartbeat| heartbeat.is_ready && heartbeat.is_settled;
        let is_candidate = record.heartbeat.as_ref().is_some_and(can_own)
            && !record.has_left
            && record.silent_since.is_none();
        if self.uses_probes() && is_candidate {
            return record.owner_candidate_at.max(self.last_seen(record));
        }
        record.owner_candidate_at
    }
}
