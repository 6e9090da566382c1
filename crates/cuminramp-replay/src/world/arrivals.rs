//! Requests of callers and jobs as they come.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::{Name, RandomSource};
use cuminramp_fleet::{ItemSpec, JobSpec, PlacementDecision, PlacementRequest, ZoneLimit};
use tokio::time::Instant;

use super::{FAULT_AT, OBJECTIVE, Owner, POOL, STEP, World};
use crate::plan::LoadPattern;

/// Time that a request and an item take a slot, on average.
const REQUEST_RUN: Duration = Duration::from_millis(750);
const ITEM_RUN: Duration = Duration::from_millis(4_700);
/// How much these vary, up and down.
const SPREAD: f64 = 0.4;
/// Items of a job, and when it is due.
const ITEMS: usize = 10;
const DUE: Duration = Duration::from_secs(18);
/// A wave: trough, then crest, with their parts of the mean load.
const TROUGH: (f64, f64) = (3.6, 0.39);
const CREST: (f64, f64) = (2.4, 1.91);
/// How long jobs come in a burst, and how many times as many.
const BURST: (Duration, f64) = (Duration::from_secs(3), 6.0);
/// Sends that a target refused, for one request.
const MOST_UNRUN_SENDS: usize = 5;

impl World {
    pub(super) fn arrive(&mut self) {
        if self.passed() < self.plan.length {
            self.arrive_callers();
            self.arrive_jobs();
        }
        let now = self.now;
        let due: Vec<(Instant, Instant)> =
            self.returns.iter().copied().filter(|(at, _)| *at <= now).collect();
        self.returns.retain(|(at, _)| *at > now);
        due.into_iter().for_each(|(_, since)| self.call(since, false));
    }

    fn arrive_callers(&mut self) {
        let second = self.passed().as_secs_f64() % (TROUGH.0 + CREST.0);
        let part = if second < TROUGH.0 { TROUGH.1 } else { CREST.1 };
        let per_s = self.plan.requests_per_s * self.plan.targets as f64 * part;
        // More than one may come in a step of a large fleet.
        let mut expected = per_s * STEP.as_secs_f64();
        while expected > 0.0 {
            if self.random.unit_interval() < expected {
                self.report.requests += 1;
                self.call(self.now, true);
            }
            expected -= 1.0;
        }
    }

    fn arrive_jobs(&mut self) {
        let in_burst = self.plan.pattern == LoadPattern::JobBurst
            && self.passed() >= FAULT_AT
            && self.passed() < FAULT_AT + BURST.0;
        let part = if in_burst { BURST.1 } else { 1.0 };
        let per_s = self.plan.jobs_per_s * self.plan.targets as f64 * part;
        if self.is_away || self.random.unit_interval() >= per_s * STEP.as_secs_f64() {
            return;
        }
        let job: Name = format!("j{}", self.jobs.len()).into();
        let make_item = |index| {
            Arc::new(ItemSpec {
                id: format!("{job}-{index}").into(),
                path: "/".into(),
                headers: vec![],
                body: Default::default(),
                // Stands for how long it runs, which no decision looks at.
                tokens: self.vary(ITEM_RUN).as_millis() as u64,
            })
        };
        let items: Vec<Arc<ItemSpec>> = (0..ITEMS).map(make_item).collect();
        let spec = JobSpec {
            id: job.clone(),
            team: "team".into(),
            route: "route".into(),
            host: "host".into(),
            due: self.now + DUE,
            expires: self.now + DUE * 10,
            max_attempts: 3,
            items,
        };
        self.report.items += ITEMS as u32;
        let host = self.random.below(self.hosts.len());
        self.hosts[host].jobs.add(spec.clone(), &[], vec![]);
        self.jobs.push(spec);
    }

    fn vary(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(1.0 + SPREAD * (2.0 * self.random.unit_interval() - 1.0))
    }

    fn call(&mut self, since: Instant, may_return: bool) {
        if self.is_away {
            self.report.failed += 1;
            return;
        }
        let host = self.random.below(self.hosts.len());
        let takes = self.vary(REQUEST_RUN);
        let mut tried: Vec<Name> = Vec::new();
        while tried.len() < MOST_UNRUN_SENDS {
            let zones = ZoneLimit::none();
            let request = PlacementRequest {
                zones: &zones,
                pool: POOL,
                objective: OBJECTIVE,
                is_retry: !may_return,
                tried: &tried,
            };
            match self.find_slot(host, &request) {
                PlacementDecision::Send(target) => {
                    self.report.sends += 1;
                    let owner = Owner::Caller { since, may_return };
                    let is_admitted = self.send(host, target.id.clone(), owner, takes);
                    if is_admitted {
                        return;
                    }
                    tried.push(target.id);
                }
                PlacementDecision::Full(after) if may_return => {
                    self.returns.push((self.now + after, since));
                    return;
                }
                PlacementDecision::Full(_) | PlacementDecision::NoTarget => break,
            }
        }
        self.report.refused += 1;
    }
}
