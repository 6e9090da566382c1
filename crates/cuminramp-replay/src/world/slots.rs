//! What hosts and the owner of slots tell each other.

use cuminramp_core::Name;
use cuminramp_fleet::{
    ColdShare, GroupShare, ItemLimit, PlacementDecision, PlacementRequest, SearchLimits,
    SearchStep, SlotOutcome, SlotReport, SlotRequest, SlotSearch,
};
use tokio::time::Instant;

use super::{Owner, World, ZONE, group, target_index};

impl World {
    /// Every host reports what it has in flight.
    pub(super) fn report_all(&mut self) {
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
        self.give_way();
    }

    /// Hands free slots to items.
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

    /// Asks the owner for a slot as a host does for a request.
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
                    let outcome = self.ask(host, may_queue, request.tried);
                    if let SlotOutcome::Granted { target, grant } = outcome {
                        let held = &mut self.hosts[host];
                        held.acknowledged_grant = grant;
                        if let Some(target) = held.placement.target_by_hash(target).cloned() {
                            return PlacementDecision::Send(target);
                        }
                    }
                    search.receive(outcome);
                }
                SearchStep::Refuse(after) => return PlacementDecision::Full(after),
                SearchStep::NoTarget => {
                    let placement = &self.hosts[host].placement;
                    return placement.place(request, &ColdShare::Owner, &mut self.random, self.now);
                }
            }
        }
    }

    fn ask(&mut self, host: usize, may_queue: bool, tried: &[Name]) -> SlotOutcome {
        let (now, group) = (self.now, group());
        let asking = &self.hosts[host];
        let mut avoided = asking.placement.avoided(&group, now);
        avoided.extend(asking.placement.hashes_of(tried));
        self.owner.asks += 1;
        let slot_request = SlotRequest {
            incarnation: asking.id.incarnation,
            request_id: self.owner.asks,
            group: group.hash(),
            avoided,
            may_queue,
        };
        let owner = &mut self.owner;
        let random = &mut self.random;
        let owned = GroupShare { group: &group, share: &ColdShare::Owner };
        let answer = owner.ledger.respond(
            &mut owner.placement,
            &asking.id,
            owned,
            &slot_request,
            random,
            now,
        );
        self.give_way();
        answer.outcome
    }

    /// Breaks off items where more work is than slots, those that are due last first.
    fn give_way(&mut self) {
        let now = self.now;
        let limits = self.owner.ledger.item_limits(&self.owner.placement, &group(), now);
        for ItemLimit { host, target, items } in limits {
            let Some(host) = self.hosts.iter().position(|held| held.id == host) else { continue };
            let target =
                self.hosts[host].placement.target_by_hash(target).map(|target| target.id.clone());
            let Some(target) = target else { continue };
            let here = self.targets[target_index(&target)].works();
            let mut running: Vec<(Instant, usize)> = here
                .map(|at| (at, &self.works[at]))
                .filter(|(_, work)| work.is_wanted && work.host == host)
                .filter_map(|(at, work)| match work.owner {
                    Owner::Item { due, .. } => Some((due, at)),
                    Owner::Caller { .. } => None,
                })
                .collect();
            running.sort();
            for (_, work) in running.into_iter().skip(items as usize).rev() {
                self.stop_item(work);
            }
        }
    }
}
