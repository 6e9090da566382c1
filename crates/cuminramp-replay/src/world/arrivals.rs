//! Arrivals of requests and jobs, and retries of requests.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::{Name, RandomSource};
use cuminramp_fleet::{ItemSpec, JobSpec, PlacementDecision, PlacementRequest, ZoneLimit};
use tokio::time::Instant;

use super::{AttemptKind, FAULT_AT, OBJECTIVE, POOL, STEP, World};
use crate::plan::LoadPattern;

/// Mean time for which a request occupies a slot.
const REQUEST_RUN: Duration = Duration::from_millis(750);
/// Mean time for which an item occupies a slot.
const ITEM_RUN: Duration = Duration::from_millis(4_700);
/// Maximum fraction by which run times differ from their mean.
const JITTER: f64 = 0.4;
/// Number of items in a job.
const ITEMS: usize = 10;
/// Time from its arrival at which a job is due.
const DUE_DELAY: Duration = Duration::from_secs(18);
/// Trough and peak, which alternate: length in seconds, factor of the mean rate of requests.
const TROUGH: (f64, f64) = (3.6, 0.39);
const PEAK: (f64, f64) = (2.4, 1.91);
/// Burst of jobs: length, factor of the usual rate.
const BURST: (Duration, f64) = (Duration::from_secs(3), 6.0);
/// Maximum number of sends for one request that targets refuse before the request itself is refused.
const MAX_REFUSED_SENDS: usize = 5;

impl World {
    pub(super) fn process_arrivals(&mut self) {
        if self.elapsed() < self.plan.length {
            self.generate_requests();
            self.generate_jobs();
        }
        let now = self.now;
        let due: Vec<(Instant, Instant)> =
            self.retries.iter().copied().filter(|(at, _)| *at <= now).collect();
        self.retries.retain(|(at, _)| *at > now);
        due.into_iter().for_each(|(_, arrived_at)| self.place_request(arrived_at, false));
    }

    fn generate_requests(&mut self) {
        let second = self.elapsed().as_secs_f64() % (TROUGH.0 + PEAK.0);
        let factor = if second < TROUGH.0 { TROUGH.1 } else { PEAK.1 };
        let per_s = self.plan.requests_per_s * self.plan.targets as f64 * factor;
        // In a large fleet, more than one request may arrive in a step.
        let mut expected = per_s * STEP.as_secs_f64();
        while expected > 0.0 {
            if self.random.unit_interval() < expected {
                self.report.requests += 1;
                self.place_request(self.now, true);
            }
            expected -= 1.0;
        }
    }

    fn generate_jobs(&mut self) {
        let in_burst = self.plan.pattern == LoadPattern::JobBurst
            && self.elapsed() >= FAULT_AT
            && self.elapsed() < FAULT_AT + BURST.0;
        let factor = if in_burst { BURST.1 } else { 1.0 };
        let per_s = self.plan.jobs_per_s * self.plan.targets as f64 * factor;
        if self.hosts_are_down || self.random.unit_interval() >= per_s * STEP.as_secs_f64() {
            return;
        }
        let job: Name = format!("j{}", self.jobs.len()).into();
        let make_item = |index| {
            Arc::new(ItemSpec {
                id: format!("{job}-{index}").into(),
                path: "/".into(),
                headers: vec![],
                body: Default::default(),
                // Holds the run time in milliseconds, since no decision depends on the tokens of an item.
                tokens: self.add_jitter(ITEM_RUN).as_millis() as u64,
            })
        };
        let items: Vec<Arc<ItemSpec>> = (0..ITEMS).map(make_item).collect();
        let spec = JobSpec {
            id: job.clone(),
            team: "team".into(),
            route: "route".into(),
            declarations_version: None,
            host: "host".into(),
            due: self.now + DUE_DELAY,
            expires: self.now + DUE_DELAY * 10,
            max_failures: 3,
            items,
        };
        self.report.items += ITEMS as u32;
        let host = self.random.below(self.hosts.len());
        self.hosts[host].jobs.add(spec.clone(), &[], vec![]);
        self.jobs.push(spec);
    }

    fn add_jitter(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(1.0 + JITTER * (2.0 * self.random.unit_interval() - 1.0))
    }

    /// Places a request through a random host, and schedules a retry if the fleet is full and `may_retry` is
    /// set.
    fn place_request(&mut self, arrived_at: Instant, may_retry: bool) {
        if self.hosts_are_down {
            self.report.failed += 1;
            return;
        }
        let host = self.random.below(self.hosts.len());
        let duration = self.add_jitter(REQUEST_RUN);
        let mut tried: Vec<Name> = Vec::new();
        while tried.len() < MAX_REFUSED_SENDS {
            let zones = ZoneLimit::none();
            let request = PlacementRequest {
                zones: &zones,
                pool: POOL,
                objective: OBJECTIVE,
                is_retry: !may_retry,
                tried: &tried,
                software: None,
            };
            match self.find_slot(host, &request) {
                PlacementDecision::Send(target) => {
                    self.report.sends += 1;
                    let kind = AttemptKind::Request { arrived_at, may_retry };
                    let is_admitted = self.send(host, target.id.clone(), kind, duration);
                    if is_admitted {
                        return;
                    }
                    tried.push(target.id);
                }
                PlacementDecision::Full(retry_after)
                | PlacementDecision::Unreachable(retry_after)
                    if may_retry =>
                {
                    self.retries.push((self.now + retry_after, arrived_at));
                    return;
                }
                PlacementDecision::Full(_)
                | PlacementDecision::Unreachable(_)
                | PlacementDecision::NoTarget => break,
            }
        }
        self.report.refused += 1;
    }
}
