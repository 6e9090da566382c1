//! The owner's view of a group: what hosts have in flight there, and which slots it granted.

use std::collections::VecDeque;
use std::time::Duration;

use cuminramp_core::{HostId, RandomSource, SortedMap};
use tokio::time::Instant;

use super::message::{SlotGroup, SlotOutcome, SlotReport, SlotRequest, SlotResponse};
use crate::admission::AdmissionQueue;
use crate::heartbeat::TargetLoad;
#[cfg(test)]
use crate::placement::WorkKind;
use crate::placement::{ColdShare, GroupPlacement, GroupRequest, PlacementTable};
use crate::software::SoftwareVersion;

mod account;
mod admission;
mod items;

use account::{GroupAccount, PendingGrant};
pub use items::{ItemGrant, ItemLimit};

/// Time after which a grant that no report confirms is dropped: its response was lost or came too late, so
/// the host did not use the slot.
const GRANT_TTL: Duration = Duration::from_millis(250);
/// Time for which a response is cached, so that a repeated request gets the same one.
const RESPONSE_TTL: Duration = Duration::from_millis(250);
/// Time after the start of an ownership during which the owner grants no slots to batch items, while all
/// hosts report what they have in flight. Without it, a new owner would fill slots that callers occupy.
const SETTLE_DELAY: Duration = Duration::from_millis(150);
/// Time after which this host no longer counts as the owner of a group, if it receives no slot request or
/// report for the group and rendezvous hashing does not select it.
const OWNERSHIP_TTL: Duration = Duration::from_millis(600);
/// Window for the slots that are reserved for callers: as many as were granted to callers within it. An item
/// in a reserved slot would be preempted within about the same time, and another target would have to
/// process its prompt again.
const RESERVE_WINDOW: Duration = Duration::from_millis(100);
/// Time after the start of an ownership until the owner hands out the rate of cold targets. Hosts may send
/// slot requests to the previous owner for up to a second longer, and its grants count against the rate for
/// one more second.
const COLD_TARGET_DELAY: Duration = Duration::from_millis(2_200);

/// A group, with what this host may hand out of it to a request.
#[derive(Clone, Copy, Debug)]
pub struct GroupShare<'a> {
    /// The group.
    pub group: &'a SlotGroup,
    /// The share of the rate of cold targets.
    pub share: &'a ColdShare,
    /// Software that the target of the request must have; `None` for any.
    pub software: Option<SoftwareVersion>,
}

#[derive(Debug)]
struct CachedResponse {
    host: HostId,
    response: SlotResponse,
    cached_at: Instant,
}

/// A group that this host owns.
#[derive(Debug)]
struct OwnedGroup {
    since: Instant,
    renewed_at: Instant,
    /// Times of recent grants to callers, oldest first.
    caller_grants: VecDeque<Instant>,
    /// Requests that wait for a slot; always empty in groups whose pools have no admission queue.
    queue: AdmissionQueue,
}

impl OwnedGroup {
    /// Records a grant to a caller. Earlier ones are dropped here too: without waiting items,
    /// [`reserved_slots`](Self::reserved_slots) is not called.
    fn record_caller_grant(&mut self, now: Instant) {
        self.drop_past_grants(now);
        self.caller_grants.push_back(now);
    }

    /// Returns the number of slots to keep free of items, since callers will probably need them soon.
    fn reserved_slots(&mut self, now: Instant) -> u32 {
        self.drop_past_grants(now);
        self.caller_grants.len() as u32
    }

    fn drop_past_grants(&mut self, now: Instant) {
        while self.caller_grants.front().is_some_and(|at| now.duration_since(*at) > RESERVE_WINDOW)
        {
            self.caller_grants.pop_front();
        }
    }
}

/// Records what hosts have in flight in the groups that this host owns, and the slots granted to them.
#[derive(Debug)]
pub struct SlotLedger {
    me: HostId,
    /// What each host has in flight, by host and hash of the group.
    accounts: SortedMap<(HostId, u32), GroupAccount>,
    /// Groups that this host owns, by hash.
    owned: SortedMap<u32, OwnedGroup>,
    responses: Vec<CachedResponse>,
    /// Rejections of requests that waited, with the hash of the group, until they are sent to the hosts.
    rejections: Vec<(u32, HostId, SlotResponse)>,
    /// Item limits sent recently, with the time of sending, by host and target.
    limits_sent: SortedMap<(HostId, u32), (u16, Instant)>,
    last_grant: u64,
}

impl SlotLedger {
    /// Creates an empty ledger. Grant numbers start from the host's incarnation, so that a later run of
    /// the host issues higher ones.
    pub fn new(me: HostId) -> Self {
        let last_grant = me.incarnation;
        SlotLedger {
            me,
            accounts: SortedMap::new(),
            owned: SortedMap::new(),
            responses: Vec::new(),
            rejections: Vec::new(),
            limits_sent: SortedMap::new(),
            last_grant,
        }
    }

    /// Clears all accounts, queues, ownerships and cached responses after a pause of this process, during
    /// which other hosts may have used another owner.
    pub fn reset(&mut self, placement: &mut PlacementTable) {
        let accounts = std::mem::take(&mut self.accounts);
        accounts.keys().for_each(|(host, _)| placement.forget_host(host));
        self.owned = SortedMap::new();
        self.responses.clear();
        self.rejections.clear();
    }

    /// Continues under another incarnation of this host, as after a pause: other hosts took its messages for those of an
    /// earlier run.
    pub fn renew(&mut self, me: HostId, placement: &mut PlacementTable) {
        self.reset(placement);
        self.last_grant = self.last_grant.max(me.incarnation);
        self.me = me;
    }

    /// Records that this host owns the group with this hash or responds to requests for it, and renews the
    /// ownership.
    pub fn record_ownership(&mut self, group: u32, now: Instant) {
        let new = || OwnedGroup {
            since: now,
            renewed_at: now,
            caller_grants: VecDeque::new(),
            queue: AdmissionQueue::default(),
        };
        self.owned.get_or_insert_with(group, new).renewed_at = now;
    }

    /// Returns the hashes of the groups that this host owns or responds for.
    pub fn owned(&self) -> Vec<u32> {
        self.owned.keys().copied().collect()
    }

    /// Returns whether this host has owned the group with this hash for long enough to hand out the rate of
    /// its cold targets. By then, the grants of the previous owner no longer count against the rate.
    pub fn may_use_cold_targets(&self, group: u32, now: Instant) -> bool {
        self.owned
            .get(&group)
            .is_some_and(|owned| now.duration_since(owned.since) >= COLD_TARGET_DELAY)
    }

    fn is_settled(&self, group: u32, now: Instant) -> bool {
        self.owned.get(&group).is_some_and(|owned| now.duration_since(owned.since) >= SETTLE_DELAY)
    }

    /// Applies a host's report. Returns `false` if a report with the same or a higher sequence number was
    /// applied before.
    pub fn receive_report(
        &mut self,
        placement: &mut PlacementTable,
        host: &HostId,
        report: SlotReport,
        now: Instant,
    ) -> bool {
        self.record_ownership(report.group, now);
        let group = report.group;
        let account = self.accounts.get_or_insert_with((host.clone(), group), Default::default);
        if account.sequence >= report.sequence {
            return false;
        }
        account.sequence = report.sequence;
        account.last_report_at = Some(now);
        account.pending.retain(|grant| grant.number > report.acknowledged_grant);
        let reported_loads = report.reported_loads.clone();
        account.report = Some(report);
        self.update_placement(placement, host, now);
        placement.receive_reported_loads(&reported_loads, now);
        true
    }

    /// Replaces a host's loads in the placement table by their sums over all its groups, and its outcomes
    /// by those of all its groups.
    fn update_placement(&self, placement: &mut PlacementTable, host: &HostId, now: Instant) {
        let mut loads: SortedMap<u32, TargetLoad> = SortedMap::new();
        let mut outcomes = Vec::new();
        for (_, account) in self.accounts.iter().filter(|((reporter, _), _)| reporter == host) {
            for load in account.loads() {
                let none = TargetLoad { online: 0, batch: 0, ..*load };
                let sum = loads.get_or_insert_with(load.target, || none);
                sum.online = sum.online.saturating_add(load.online);
                sum.batch = sum.batch.saturating_add(load.batch);
            }
            outcomes.extend(account.report.iter().flat_map(|report| report.outcomes.clone()));
        }
        placement.receive_loads(host, loads.values().copied().collect());
        placement.receive_outcomes(host, outcomes, now);
    }

    fn grant(
        &mut self,
        placement: &mut PlacementTable,
        host: &HostId,
        group: u32,
        load: TargetLoad,
        now: Instant,
    ) -> u64 {
        let number = self.next_grant();
        if *host == self.me {
            // The placement table counts this host's own work when it begins.
            return number;
        }
        let pending = PendingGrant { number, load, granted_at: now };
        self.add_pending(placement, host, group, pending, now);
        number
    }

    fn next_grant(&mut self) -> u64 {
        self.last_grant += 1;
        self.last_grant
    }

    /// Counts a grant as work of the host until it expires or a report confirms it.
    fn add_pending(
        &mut self,
        placement: &mut PlacementTable,
        host: &HostId,
        group: u32,
        pending: PendingGrant,
        now: Instant,
    ) {
        let account = self.accounts.get_or_insert_with((host.clone(), group), Default::default);
        account.pending.push(pending);
        self.update_placement(placement, host, now);
    }

    /// Records that a slot was granted to a caller, for the slots reserved for callers and the rate of cold
    /// targets.
    fn record_caller_grant(
        &mut self,
        placement: &mut PlacementTable,
        group: u32,
        target: u32,
        now: Instant,
    ) {
        if let Some(owned) = self.owned.get_mut(&group) {
            owned.record_caller_grant(now);
        }
        placement.record_sends(target, 1, now);
    }

    /// Responds to a slot request. A repeated request gets the same response: the first one was lost, and a
    /// second granted slot would stay unused.
    pub fn respond(
        &mut self,
        placement: &mut PlacementTable,
        host: &HostId,
        owned: GroupShare<'_>,
        request: &SlotRequest,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> SlotResponse {
        self.record_ownership(request.group, now);
        if let Some(response) = self.cached_response(host, request.request_id, now) {
            return response;
        }
        let GroupShare { group, share, software } = owned;
        let SlotRequest { avoided, may_queue, .. } = request;
        let group_request = GroupRequest { group, avoided, may_queue: *may_queue, share, software };
        let outcome = match placement.place_in_group(&group_request, random, now) {
            GroupPlacement::Slot(target) => {
                let load = TargetLoad { target, online: 1, batch: 0 };
                self.record_caller_grant(placement, request.group, target, now);
                let grant = self.grant(placement, host, request.group, load, now);
                SlotOutcome::Granted { target, grant }
            }
            GroupPlacement::Busy(wait) => SlotOutcome::Busy { wait_ms: wait.as_millis() as u32 },
            GroupPlacement::NoTarget => SlotOutcome::NoTarget,
        };
        let response = SlotResponse { request_id: request.request_id, outcome };
        self.cache_response(host, response, now);
        response
    }

    /// Drops unused grants, accounts of silent hosts, waiting requests that their hosts no longer repeat, and
    /// ownerships that were not renewed, with their queues. Lets orphaned work decay.
    pub fn expire(&mut self, placement: &mut PlacementTable, now: Instant) {
        placement.decay_orphaned(now);
        let mut changed: Vec<HostId> = Vec::new();
        self.accounts.retain(|(host, _), account| {
            let pending_before = account.pending.len();
            account.pending.retain(|grant| now.duration_since(grant.granted_at) < GRANT_TTL);
            let is_alive = account.is_alive(now);
            if !is_alive || account.pending.len() != pending_before {
                changed.push(host.clone());
            }
            is_alive
        });
        self.owned.retain(|_, owned| now.duration_since(owned.renewed_at) < OWNERSHIP_TTL);
        self.expire_queues(placement, now);
        changed.dedup();
        for host in changed {
            if self.accounts.keys().any(|(reporter, _)| *reporter == host) {
                self.update_placement(placement, &host, now);
            } else {
                placement.forget_host(&host);
            }
        }
    }

    /// Returns the number of grants to callers that are recorded for a group.
    #[cfg(test)]
    pub(super) fn recorded_caller_grants(&self, group: u32) -> usize {
        self.owned.get(&group).map_or(0, |owned| owned.caller_grants.len())
    }

    /// Returns how much work a host has in flight at a target according to this ledger, pending grants
    /// included.
    #[cfg(test)]
    pub(super) fn in_flight(&self, host: &HostId, group: u32, target: u32, kind: WorkKind) -> u32 {
        let Some(account) = self.accounts.get(&(host.clone(), group)) else { return 0 };
        let here = account.loads().filter(|load| load.target == target);
        here.map(|load| match kind {
            WorkKind::Online => u32::from(load.online),
            WorkKind::Batch => u32::from(load.batch),
        })
        .sum()
    }
}
