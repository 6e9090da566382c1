//! Admission of online requests in groups with an admission queue.

use std::time::Duration;

use cuminramp_core::{HostId, RandomSource};
use tokio::time::Instant;

use super::{CachedResponse, GroupShare, PendingGrant, SlotLedger};
use crate::admission::{
    AdmissionRequest, AdmissionWithdrawal, QueueDecision, QueueStatus, RejectedRequest,
    ShareReport, WaitingRequest,
};
use crate::heartbeat::TargetLoad;
use crate::placement::{GroupPlacement, GroupRequest, PlacementTable};
use crate::slots::{SlotOutcome, SlotResponse};

/// Maximum number of requests that one call of [`SlotLedger::serve_waiting`] grants a slot, so that many
/// slots that become free at once do not block the owner.
const MAX_SERVED: usize = 64;

/// Outcome for a repeat of a request that was withdrawn, which its host no longer waits for.
const WITHDRAWN: SlotOutcome = SlotOutcome::Busy { wait_ms: 0 };

impl SlotLedger {
    /// Responds to a request for a slot of a group with an admission queue.
    ///
    /// While no request waits, a free slot is granted at once. A repeated request gets its current state, or
    /// the same response if it was granted a slot, rejected or withdrawn within the last 250 ms.
    ///
    /// The slot of a request of this host stays reserved until [`take_grant`](Self::take_grant).
    ///
    /// ```
    /// use cuminramp_core::{HostId, SeededRandom};
    /// use cuminramp_fleet::{
    ///     AdmissionRequest, ColdShare, GroupShare, PlacementPolicy, PlacementTable, SlotGroup,
    ///     SlotLedger, SlotOutcome,
    /// };
    /// let group = SlotGroup { pool: "p".into(), zone: "z".into() };
    /// let host = HostId { address: "10.0.0.1:7004".into(), incarnation: 1 };
    /// let mut placement = PlacementTable::new("z".into(), PlacementPolicy::default());
    /// let mut ledger = SlotLedger::new(host.clone());
    /// let request = AdmissionRequest {
    ///     incarnation: 1,
    ///     request_id: 1,
    ///     group: group.hash(),
    ///     avoided: vec![],
    ///     team: 0,
    ///     weight_milli: 1_000,
    ///     priority: 0,
    ///     is_retry: false,
    ///     max_wait_ms: 180,
    ///     deadline_ms: 4_700,
    ///     may_wait: true,
    /// };
    /// let owned = GroupShare { group: &group, share: &ColdShare::Owner, software: None };
    /// let (mut random, now) = (SeededRandom::new(1), tokio::time::Instant::now());
    /// let response = ledger.admit(&mut placement, &host, owned, &request, &mut random, now);
    /// assert_eq!(response.outcome, SlotOutcome::NoTarget);
    /// ```
    pub fn admit(
        &mut self,
        placement: &mut PlacementTable,
        host: &HostId,
        owned: GroupShare<'_>,
        request: &AdmissionRequest,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> SlotResponse {
        self.record_ownership(request.group, now);
        // Cached first: a repeat of a request that was just rejected must not enter the queue again.
        self.cache_rejections(placement, request.group, now);
        if let Some(response) = self.cached_response(host, request.request_id, now) {
            self.renew_grant(host, request.group, response, now);
            return response;
        }
        let outcome = self.decide_admission(placement, host, owned, request, random, now);
        let response = SlotResponse { request_id: request.request_id, outcome };
        // Any other outcome changes with the load, and a repeat gets the current one.
        if outcome.grant().is_some() || matches!(outcome, SlotOutcome::Rejected { .. }) {
            self.cache_response(host, response, now);
        }
        response
    }

    fn decide_admission(
        &mut self,
        placement: &mut PlacementTable,
        host: &HostId,
        owned: GroupShare<'_>,
        request: &AdmissionRequest,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> SlotOutcome {
        let placed = place(placement, owned, &request.avoided, random, now);
        let Some(owned_group) = self.owned.get_mut(&request.group) else {
            return SlotOutcome::NoTarget;
        };
        let queue = &mut owned_group.queue;
        match placed {
            GroupPlacement::NoTarget => {
                queue.withdraw(host, request.request_id);
                SlotOutcome::NoTarget
            }
            GroupPlacement::Slot(target) if queue.is_empty() => {
                queue.record_grant(request.team, request.weight_milli, now);
                let grant = self.grant_to_caller(placement, host, request.group, target, now);
                SlotOutcome::Granted { target, grant }
            }
            _ if request.may_wait => {
                let capacity = placement.group_capacity(owned.group, now);
                match queue.submit(host, request, capacity, random, now) {
                    QueueDecision::Waiting { wait } => {
                        SlotOutcome::Waiting { wait_ms: to_millis(wait) }
                    }
                    QueueDecision::Rejected { retry_after, reason } => {
                        let pace_age = placement.oldest_pace_age(request.group, now);
                        let report = queue.report_share(request, pace_age, now);
                        SlotOutcome::Rejected {
                            retry_after_ms: to_millis(retry_after),
                            reason,
                            report,
                        }
                    }
                }
            }
            _ => {
                let capacity = placement.group_capacity(owned.group, now);
                let wait = queue.expected_wait(request, capacity, now);
                SlotOutcome::Busy { wait_ms: to_millis(wait) }
            }
        }
    }

    /// Grants the slots that are free, or from which a batch item can be preempted, to waiting requests in
    /// the order of the group's queue, a bounded number in each call. Returns the responses to their hosts,
    /// with those to requests that the queue has rejected since the last call.
    pub fn serve_waiting(
        &mut self,
        placement: &mut PlacementTable,
        owned: GroupShare<'_>,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Vec<(HostId, SlotResponse)> {
        let hash = owned.group.hash();
        self.expire_queue(placement, hash, now);
        let mut served = Vec::new();
        while served.len() < MAX_SERVED {
            let Some((waiting, target, report)) = self.place_next(placement, owned, random, now)
            else {
                break;
            };
            let grant = self.grant_to_caller(placement, &waiting.host, hash, target, now);
            let outcome = SlotOutcome::GrantedAfterWait { target, grant, report };
            let response = SlotResponse { request_id: waiting.request.request_id, outcome };
            self.cache_response(&waiting.host, response, now);
            served.push((waiting.host, response));
        }
        served.extend(self.take_rejections(hash));
        served
    }

    /// Drops requests from all queues whose hosts no longer repeat them, and those that the queues reject.
    pub(super) fn expire_queues(&mut self, placement: &PlacementTable, now: Instant) {
        for group in self.owned() {
            self.expire_queue(placement, group, now);
        }
    }

    fn expire_queue(&mut self, placement: &PlacementTable, group: u32, now: Instant) {
        let Some(owned) = self.owned.get_mut(&group) else { return };
        let rejected = owned.queue.expire(now);
        self.cache_rejected(placement, group, rejected, now);
    }

    /// Caches the rejections of requests that have left the queue of a group, and keeps them for
    /// [`serve_waiting`](Self::serve_waiting).
    fn cache_rejections(&mut self, placement: &PlacementTable, group: u32, now: Instant) {
        let Some(owned) = self.owned.get_mut(&group) else { return };
        let rejected = owned.queue.take_rejected(now);
        self.cache_rejected(placement, group, rejected, now);
    }

    fn cache_rejected(
        &mut self,
        placement: &PlacementTable,
        group: u32,
        rejected: Vec<RejectedRequest>,
        now: Instant,
    ) {
        if rejected.is_empty() {
            return;
        }
        let pace_age = placement.oldest_pace_age(group, now);
        for RejectedRequest { waiting, retry_after, reason } in rejected {
            let Some(owned) = self.owned.get(&group) else { return };
            let report = owned.queue.report_share(&waiting.request, pace_age, now);
            let retry_after_ms = to_millis(retry_after);
            let outcome = SlotOutcome::Rejected { retry_after_ms, reason, report };
            let response = SlotResponse { request_id: waiting.request.request_id, outcome };
            self.cache_response(&waiting.host, response, now);
            self.rejections.push((group, waiting.host, response));
        }
    }

    fn take_rejections(&mut self, group: u32) -> Vec<(HostId, SlotResponse)> {
        let (of_group, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.rejections).into_iter().partition(|(id, ..)| *id == group);
        self.rejections = others;
        of_group.into_iter().map(|(_, host, response)| (host, response)).collect()
    }

    /// Takes the next request that gets a slot out of the queue, and returns it with its target.
    fn place_next(
        &mut self,
        placement: &PlacementTable,
        owned: GroupShare<'_>,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Option<(WaitingRequest, u32, ShareReport)> {
        let hash = owned.group.hash();
        let queue = &mut self.owned.get_mut(&hash)?.queue;
        // With no slot free for any request, there is no need to look for one for each of them.
        if queue.is_empty() || !is_slot(place(placement, owned, &[], random, now)) {
            return None;
        }
        let mut place_waiting = |waiting: &WaitingRequest| match place(
            placement,
            owned,
            &waiting.request.avoided,
            random,
            now,
        ) {
            GroupPlacement::Slot(target) => Some(target),
            _ => None,
        };
        let (waiting, target) = queue.grant_next(&mut place_waiting, now)?;
        let pace_age = placement.oldest_pace_age(hash, now);
        let report = queue.report_share(&waiting.request, pace_age, now);
        Some((waiting, target, report))
    }

    /// Removes a request whose caller has left from the queue. A repeat that arrives late does not enter the
    /// queue again.
    ///
    /// If a request of this host was granted a slot and hasn't received the grant yet, its reservation ends.
    /// Other hosts return such slots with their next report.
    pub fn withdraw(
        &mut self,
        placement: &mut PlacementTable,
        host: &HostId,
        withdrawal: &AdmissionWithdrawal,
        now: Instant,
    ) {
        let AdmissionWithdrawal { group, request_id, .. } = *withdrawal;
        if let Some(owned) = self.owned.get_mut(&group) {
            owned.queue.withdraw(host, request_id);
        }
        let Some(response) = self.cached_response(host, request_id, now) else {
            self.cache_response(host, SlotResponse { request_id, outcome: WITHDRAWN }, now);
            return;
        };
        if let Some(grant) = response.outcome.grant().filter(|_| *host == self.me) {
            self.take_grant(placement, group, grant, now);
        }
    }

    /// Ends the reservation of a slot that was granted to a request of this host: the placement table counts
    /// the request from now on, or the slot stays unused. Returns `false` if the reservation has expired, so
    /// that the slot may be granted to another request.
    pub fn take_grant(
        &mut self,
        placement: &mut PlacementTable,
        group: u32,
        grant: u64,
        now: Instant,
    ) -> bool {
        let me = self.me.clone();
        let Some(account) = self.accounts.get_mut(&(me.clone(), group)) else { return false };
        let before = account.pending.len();
        account.pending.retain(|pending| pending.number != grant);
        let is_reserved = account.pending.len() < before;
        if is_reserved {
            self.update_placement(placement, &me, now);
        }
        is_reserved
    }

    /// Returns whether a call of [`serve_waiting`](Self::serve_waiting) may return responses.
    pub fn has_waiting(&self, group: u32) -> bool {
        self.waiting(group) > 0 || self.rejections.iter().any(|(id, ..)| *id == group)
    }

    /// Returns the number of requests that wait for a slot of the group with this hash.
    pub fn waiting(&self, group: u32) -> usize {
        self.owned.get(&group).map_or(0, |owned| owned.queue.len())
    }

    /// Returns the state of a group's queue for logs; `None` if this host doesn't own the group.
    pub fn queue_status(&self, group: u32, now: Instant) -> Option<QueueStatus> {
        self.owned.get(&group).map(|owned| owned.queue.status(now))
    }

    /// Grants a slot to an online request and returns the number of the grant. Unlike the slots of
    /// [`respond`](Self::respond), that of a request of this host is reserved as well: otherwise, all waiting
    /// requests of this host would get the same slot before the first of them begins.
    fn grant_to_caller(
        &mut self,
        placement: &mut PlacementTable,
        host: &HostId,
        group: u32,
        target: u32,
        now: Instant,
    ) -> u64 {
        self.record_caller_grant(placement, group, target, now);
        let load = TargetLoad { target, online: 1, batch: 0 };
        let grant = self.next_grant();
        let pending = PendingGrant { number: grant, load, granted_at: now };
        self.add_pending(placement, host, group, pending, now);
        grant
    }

    /// Keeps the slot of a grant that is sent again reserved for as long as that of a new one: its host may
    /// use it when the response arrives. A grant that a report has confirmed stays so.
    fn renew_grant(&mut self, host: &HostId, group: u32, response: SlotResponse, now: Instant) {
        let SlotOutcome::Granted { grant, .. } = response.outcome else { return };
        let Some(account) = self.accounts.get_mut(&(host.clone(), group)) else { return };
        let renewed = account.pending.iter_mut().filter(|pending| pending.number == grant);
        renewed.for_each(|pending| pending.granted_at = now);
    }

    /// Returns the cached response to a request, and drops expired ones.
    pub(super) fn cached_response(
        &mut self,
        host: &HostId,
        request_id: u64,
        now: Instant,
    ) -> Option<SlotResponse> {
        self.responses.retain(|cached| now.duration_since(cached.cached_at) < super::RESPONSE_TTL);
        let is_same = |cached: &&CachedResponse| {
            cached.response.request_id == request_id && cached.host == *host
        };
        self.responses.iter().find(is_same).map(|cached| cached.response)
    }

    pub(super) fn cache_response(&mut self, host: &HostId, response: SlotResponse, now: Instant) {
        self.responses.push(CachedResponse { host: host.clone(), response, cached_at: now });
    }
}

fn place(
    placement: &PlacementTable,
    owned: GroupShare<'_>,
    avoided: &[u32],
    random: &mut dyn RandomSource,
    now: Instant,
) -> GroupPlacement {
    let GroupShare { group, share, software } = owned;
    let request = GroupRequest { group, avoided, may_queue: false, share, software };
    placement.place_in_group(&request, random, now)
}

fn is_slot(placed: GroupPlacement) -> bool {
    matches!(placed, GroupPlacement::Slot(_))
}

fn to_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
