//! Messages between hosts and the owner of the slots: load reports, grants, slot requests and limits.

use cuminramp_core::Name;
use cuminramp_fleet::{
    ColdShare, GroupShare, ItemLimit, PlacementDecision, PlacementRequest, SearchLimits,
    SearchStep, SlotOutcome, SlotReport, SlotRequest, SlotSearch,
};
use tokio::time::Instant;

use super::{AttemptKind, World, ZONE, group, target_index};

impl World {
    /// Sends the report of each host to the owner: its requests and items in flight, and its demand.
    pub(super) fn send_reports(&mut self) {
        let (now, group) = (self.now, group());
        for host in &mut self.hosts {
            host.reports += 1;
            let report = SlotReport {
                incarnation: host.id.incarnation,
                sequence: host.reports,
                group: group.hash(),
                acknowledged_grant: host.acknowledged_grant,
                loads: host.placement.own_loads(&group),
                reported_loads: host.placement.take_reported_loads(&group),
                outcomes: host.placement.own_outcomes(&group, now),
                avoided: host.placement.avoided(&group, now),
                demand: host.jobs.demand(|_| true, now),
            };
            self.owner.ledger.receive_report(&mut self.owner.placement, &host.id, report, now);
        }
        self.preempt_items();
    }

    /// Grants free slots to waiting items and starts these.
    pub(super) fn start_items(&mut self) {
        let now = self.now;
        let owner = &mut self.owner;
        let grants = owner.ledger.grant_items(
            &mut owner.placement,
            &group(),
            vec![],
            &ColdShare::Owner,
            now,
        );
        for grant in grants {
            let Some(host) = self.hosts.iter().position(|host| host.id == grant.host) else {
                continue;
            };
            self.hosts[host].acknowledged_grant = grant.grant;
            let target = self.hosts[host].placement.target_by_hash(grant.target).cloned();
            let Some(target) = target else { continue };
            for _ in 0..grant.items {
                self.start_item(host, target.id.clone());
            }
        }
    }

    /// Searches for a slot for a request, with the same slot requests as a gateway.
    pub(super) fn find_slot(
        &mut self,
        host: usize,
        request: &PlacementRequest<'_>,
    ) -> PlacementDecision {
        let wait_share = self.owner.placement.wait_share();
        let search_limits = SearchLimits {
            max_wait: request.objective.mul_f64(wait_share),
            is_retry: request.is_retry,
        };
        let mut search = SlotSearch::new(vec![group()], ZONE, &mut self.random);
        loop {
            match search.next(search_limits, &mut self.random) {
                SearchStep::Request { may_queue, .. } => {
                    let outcome = self.request_slot(host, may_queue, request.tried);
                    if let SlotOutcome::Granted { target, grant } = outcome {
                        let host = &mut self.hosts[host];
                        host.acknowledged_grant = grant;
                        if let Some(target) = host.placement.target_by_hash(target).cloned() {
                            return PlacementDecision::Send(target);
                        }
                    }
                    search.receive(outcome);
                }
                SearchStep::Refuse(retry_after) => return PlacementDecision::Full(retry_after),
                SearchStep::NoTarget => {
                    let placement = &self.hosts[host].placement;
                    return placement.place(request, &ColdShare::Owner, &mut self.random, self.now);
                }
            }
        }
    }

    fn request_slot(&mut self, host: usize, may_queue: bool, tried: &[Name]) -> SlotOutcome {
        let (now, group) = (self.now, group());
        let requester = &self.hosts[host];
        let mut avoided = requester.placement.avoided(&group, now);
        avoided.extend(requester.placement.hashes_of(tried));
        self.owner.requests += 1;
        let slot_request = SlotRequest {
            incarnation: requester.id.incarnation,
            request_id: self.owner.requests,
            group: group.hash(),
            avoided,
            may_queue,
        };
        let owner = &mut self.owner;
        let random = &mut self.random;
        let owned = GroupShare { group: &group, share: &ColdShare::Owner, software: None };
        let response = owner.ledger.respond(
            &mut owner.placement,
            &requester.id,
            owned,
            &slot_request,
            random,
            now,
        );
        self.preempt_items();
        response.outcome
    }

    /// Preempts items on targets that have more requests and items than slots, in descending order of the
    /// items' due times.
    fn preempt_items(&mut self) {
        let now = self.now;
        let limits = self.owner.ledger.item_limits(&self.owner.placement, &group(), now);
        for ItemLimit { host, target, items } in limits {
            let Some(host) = self.hosts.iter().position(|peer| peer.id == host) else { continue };
            let target =
                self.hosts[host].placement.target_by_hash(target).map(|target| target.id.clone());
            let Some(target) = target else { continue };
            let at_target = self.targets[target_index(&target)].attempts();
            let mut running: Vec<(Instant, usize)> = at_target
                .map(|index| (index, &self.attempts[index]))
                .filter(|(_, attempt)| attempt.is_wanted && attempt.host == host)
                .filter_map(|(index, attempt)| match attempt.kind {
                    AttemptKind::Item { due, .. } => Some((due, index)),
                    AttemptKind::Request { .. } => None,
                })
                .collect();
            running.sort();
            for (_, attempt) in running.into_iter().skip(items as usize).rev() {
                self.preempt_item(attempt);
            }
        }
    }
}
