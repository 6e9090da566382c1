//! What the owner of a group knows and decides.

use std::collections::VecDeque;
use std::time::Duration;

use cuminramp_core::{HostId, RandomSource, SortedMap};
use tokio::time::Instant;

use super::message::{SlotGroup, SlotOutcome, SlotReport, SlotRequest, SlotResponse};
use crate::heartbeat::TargetLoad;
#[cfg(test)]
use crate::placement::WorkKind;
use crate::placement::{ColdShare, GroupPlacement, GroupRequest, PlacementTable};

mod account;
mod items;

use account::{GroupAccount, PendingGrant};
pub use items::{ItemGrant, ItemLimit};

/// A grant that no report confirms after so long was not used: its answer got lost, or came late.
const GRANT_LIFE: Duration = Duration::from_millis(250);
/// How long an answer is kept for a question that comes again.
const ANSWER_LIFE: Duration = Duration::from_millis(250);
/// Time from the start of an ownership until the owner starts batch items: all hosts report what they have
/// in flight meanwhile. Without it a new owner would fill slots that callers have.
const SETTLE: Duration = Duration::from_millis(150);
/// A group for which no host asks or reports, and which rendezvous does not give to this host, is another
/// host's after so long.
const OWNED_FOR: Duration = Duration::from_millis(600);
/// As many slots stay free of items as callers took in the time before. An item in such a slot would be
/// broken off within that time, and its prompt read again elsewhere.
const RESERVE_FOR: Duration = Duration::from_millis(100);
/// Time from the start of an ownership until the owner hands out the rate of cold targets: the host before
/// it is asked for up to a second more, and what that hands out is counted for another one.
const WARM_AFTER: Duration = Duration::from_millis(2_200);

/// A group, and what this host may hand out of the rate of its cold targets.
#[derive(Clone, Copy, Debug)]
pub struct GroupShare<'a> {
    /// The group.
    pub group: &'a SlotGroup,
    /// The share.
    pub share: &'a ColdShare,
}

#[derive(Debug)]
struct KeptResponse {
    host: HostId,
    response: SlotResponse,
    at: Instant,
}

/// A group that this host owns.
#[derive(Debug)]
struct OwnedGroup {
    since: Instant,
    noted: Instant,
    /// When callers got slots lately.
    callers: VecDeque<Instant>,
}

impl OwnedGroup {
    /// Slots that callers will take soon, as far as the last ones tell.
    fn reserve(&mut self, now: Instant) -> u32 {
        while self.callers.front().is_some_and(|at| now.duration_since(*at) > RESERVE_FOR) {
            self.callers.pop_front();
        }
        self.callers.len() as u32
    }
}

/// What hosts have in flight at the groups that this host owns, and what it granted them.
#[derive(Debug)]
pub struct SlotLedger {
    me: HostId,
    accounts: SortedMap<(HostId, u32), GroupAccount>,
    owned: SortedMap<u32, OwnedGroup>,
    responses: Vec<KeptResponse>,
    /// What hosts were asked lately to keep at targets.
    limits_sent: SortedMap<(HostId, u32), (u16, Instant)>,
    last_grant: u64,
}

impl SlotLedger {
    /// Knows nothing yet. Grants are numbered from the run's number on, so that those of a later run
    /// of this host have higher ones.
    pub fn new(me: HostId) -> Self {
        let last_grant = me.incarnation;
        SlotLedger {
            me,
            accounts: SortedMap::new(),
            owned: SortedMap::new(),
            responses: Vec::new(),
            limits_sent: SortedMap::new(),
            last_grant,
        }
    }

    /// Forgets everything, as after a pause in which other hosts had another owner.
    pub fn reset(&mut self, placement: &mut PlacementTable) {
        let accounts = std::mem::take(&mut self.accounts);
        accounts.keys().for_each(|(host, _)| placement.forget_host(host));
        self.owned = SortedMap::new();
        self.responses.clear();
    }

    /// Takes note that this host owns a group, or answers for it.
    pub fn record_ownership(&mut self, group: u32, now: Instant) {
        let fresh = || OwnedGroup { since: now, noted: now, callers: VecDeque::new() };
        self.owned.get_or_insert_with(group, fresh).noted = now;
    }

    /// Groups that this host owns, or answers for.
    pub fn owned(&self) -> Vec<u32> {
        self.owned.keys().copied().collect()
    }

    /// Whether this host has owned a group for long enough to hand out the rate of cold targets: what the
    /// owner before handed out is over by then.
    pub fn may_use_cold_targets(&self, group: u32, now: Instant) -> bool {
        self.owned.get(&group).is_some_and(|owned| now.duration_since(owned.since) >= WARM_AFTER)
    }

    fn is_settled(&self, group: u32, now: Instant) -> bool {
        self.owned.get(&group).is_some_and(|times| now.duration_since(times.since) >= SETTLE)
    }

    /// Takes a report; `false` if it is older than what is known.
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
        let told = report.reported_loads.clone();
        account.report = Some(report);
        self.update_placement(placement, host, now);
        placement.receive_reported_loads(&told, now);
        true
    }

    /// Counts what a host has in flight anew, over all its groups.
    fn update_placement(&self, placement: &mut PlacementTable, host: &HostId, now: Instant) {
        let mut loads: SortedMap<u32, TargetLoad> = SortedMap::new();
        let mut outcomes = Vec::new();
        for (_, account) in self.accounts.iter().filter(|((of, _), _)| of == host) {
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
        self.last_grant += 1;
        let number = self.last_grant;
        if *host == self.me {
            // The board counts this host's own work as it begins.
            return number;
        }
        let account = self.accounts.get_or_insert_with((host.clone(), group), Default::default);
        account.pending.push(PendingGrant { number, load, at: now });
        self.update_placement(placement, host, now);
        number
    }

    /// Answers a question. The same question again gets the same answer: its first answer got lost, and
    /// a second slot would stand empty.
    pub fn answer(
        &mut self,
        placement: &mut PlacementTable,
        host: &HostId,
        owned: GroupShare<'_>,
        request: &SlotRequest,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> SlotResponse {
        self.record_ownership(request.group, now);
        self.responses.retain(|kept| now.duration_since(kept.at) < ANSWER_LIFE);
        let before = self
            .responses
            .iter()
            .find(|kept| kept.response.request == request.request && kept.host == *host);
        if let Some(before) = before {
            return before.response;
        }
        let GroupShare { group, share } = owned;
        let group_request =
            GroupRequest { group, avoided: &request.avoided, may_queue: request.may_queue, share };
        let outcome = match placement.place_in_group(&group_request, random, now) {
            GroupPlacement::Slot(target) => {
                let load = TargetLoad { target, online: 1, batch: 0 };
                if let Some(owned) = self.owned.get_mut(&request.group) {
                    owned.callers.push_back(now);
                }
                placement.record_sends(target, 1, now);
                let grant = self.grant(placement, host, request.group, load, now);
                SlotOutcome::Granted { target, grant }
            }
            GroupPlacement::Busy(wait) => SlotOutcome::Busy { wait_ms: wait.as_millis() as u32 },
            GroupPlacement::Empty => SlotOutcome::Empty,
        };
        let response = SlotResponse { request: request.request, outcome };
        self.responses.push(KeptResponse { host: host.clone(), response, at: now });
        response
    }

    /// Drops grants that were not used and hosts that fell silent.
    pub fn expire(&mut self, placement: &mut PlacementTable, now: Instant) {
        placement.fade_orphaned(now);
        let mut changed: Vec<HostId> = Vec::new();
        self.accounts.retain(|(host, _), account| {
            let pending = account.pending.len();
            account.pending.retain(|grant| now.duration_since(grant.at) < GRANT_LIFE);
            let is_alive = account.is_alive(now);
            if !is_alive || account.pending.len() != pending {
                changed.push(host.clone());
            }
            is_alive
        });
        self.owned.retain(|_, times| now.duration_since(times.noted) < OWNED_FOR);
        changed.dedup();
        for host in changed {
            if self.accounts.keys().any(|(of, _)| *of == host) {
                self.update_placement(placement, &host, now);
            } else {
                placement.forget_host(&host);
            }
        }
    }

    /// What a host holds at a target in this ledger.
    #[cfg(test)]
    pub(super) fn held(&self, host: &HostId, group: u32, target: u32, kind: WorkKind) -> u32 {
        let Some(account) = self.accounts.get(&(host.clone(), group)) else { return 0 };
        let here = account.loads().filter(|load| load.target == target);
        here.map(|load| match kind {
            WorkKind::Online => u32::from(load.online),
            WorkKind::Batch => u32::from(load.batch),
        })
        .sum()
    }
}
