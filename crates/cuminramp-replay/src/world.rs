//! Callers, hosts, targets and the news between hosts.

use std::time::Duration;

use cuminramp_core::{HostId, Name, SeededRandom};
use cuminramp_fleet::{
    FleetTarget, ItemFailure, ItemProgress, JobPolicy, JobSpec, JobTable, PlacementPolicy,
    PlacementTable, SlotGroup, SlotLedger, TargetPhase, WorkKind,
};
use tokio::time::Instant;

use crate::plan::ReplayPlan;
use crate::report::ReplayReport;
use crate::target::{EmulatedTarget, TargetHealth};

/// Time of one step.
const STEP: Duration = Duration::from_millis(5);
/// First event that a caller wants, and what a target needs for it.
const OBJECTIVE: Duration = Duration::from_millis(300);
const FIRST_EVENT: Duration = Duration::from_millis(60);
/// Time after the load in which jobs may still end.
const AFTER: Duration = Duration::from_secs(20);
/// When the fault begins, in a crest.
const FAULT_AT: Duration = Duration::from_millis(10_200);
/// Progress that hosts which lost power find again is this old at the most.
const SAVED_EVERY: Duration = Duration::from_millis(1_100);
const POOL: &str = "pool";
const ZONE: &str = "z";

mod arrivals;
mod faults;
mod slots;

/// What a piece of work is.
#[derive(Clone, Debug)]
enum Owner {
    Caller { since: Instant, may_return: bool },
    Item { job: Name, index: usize, due: Instant, ran: Duration },
}

#[derive(Clone, Debug)]
struct Work {
    owner: Owner,
    host: usize,
    target: Name,
    began: Option<Instant>,
    /// Whether anybody still waits for it.
    is_wanted: bool,
}

struct EmulatedHost {
    id: HostId,
    placement: PlacementTable,
    jobs: JobTable,
    /// The last grant that it got, and the number of its last report.
    acknowledged_grant: u64,
    reports: u64,
}

/// The host that owns the slots of all targets; it serves no callers here.
struct EmulatedOwner {
    placement: PlacementTable,
    ledger: SlotLedger,
    asks: u64,
}

struct World {
    plan: ReplayPlan,
    start: Instant,
    now: Instant,
    random: SeededRandom,
    hosts: Vec<EmulatedHost>,
    owner: EmulatedOwner,
    targets: Vec<EmulatedTarget>,
    works: Vec<Work>,
    returns: Vec<(Instant, Instant)>,
    jobs: Vec<JobSpec>,
    finished: Vec<(Name, usize)>,
    saved: Vec<(Name, usize, ItemProgress)>,
    next_updates: Instant,
    is_away: bool,
    report: ReplayReport,
}

fn target_name(index: usize) -> Name {
    format!("t{index}").into()
}

fn target_index(name: &str) -> usize {
    name[1..].parse().unwrap_or(0)
}

fn new_placement(plan: &ReplayPlan) -> PlacementTable {
    let mut placement = PlacementTable::new(ZONE.into(), PlacementPolicy::default());
    for target in 0..plan.targets {
        placement.put(FleetTarget {
            id: target_name(target),
            pool: POOL.into(),
            address: "127.0.0.1:1".into(),
            zone: ZONE.into(),
            slots: plan.slots,
            phase: TargetPhase::Serving,
            started_at_ms: 1,
            cold_remaining: Duration::ZERO,
        });
    }
    placement
}

fn new_host(index: usize, incarnation: u64, plan: &ReplayPlan) -> EmulatedHost {
    EmulatedHost {
        id: HostId { address: format!("h{index:03}").into(), incarnation },
        placement: new_placement(plan),
        jobs: JobTable::new(JobPolicy::default()),
        acknowledged_grant: 0,
        reports: 0,
    }
}

fn new_owner(plan: &ReplayPlan) -> EmulatedOwner {
    let id = HostId { address: "owner".into(), incarnation: 1 };
    EmulatedOwner { placement: new_placement(plan), ledger: SlotLedger::new(id), asks: 0 }
}

fn group() -> SlotGroup {
    SlotGroup { pool: POOL.into(), zone: ZONE.into() }
}

/// Replays a plan.
///
/// ```
/// use cuminramp_replay::{LoadPattern, ReplayPlan, run_replay};
/// use std::time::Duration;
/// let plan = ReplayPlan { length: Duration::from_secs(2), ..ReplayPlan::new(LoadPattern::Waves, 1) };
/// assert_eq!(run_replay(&plan), run_replay(&plan));
/// ```
pub fn run_replay(plan: &ReplayPlan) -> ReplayReport {
    let mut world = World::new(*plan);
    while world.now < world.start + plan.length + AFTER {
        world.step();
    }
    world.finish()
}

impl World {
    fn new(plan: ReplayPlan) -> Self {
        let start = Instant::now();
        World {
            plan,
            start,
            now: start,
            random: SeededRandom::new(plan.seed),
            hosts: (0..plan.hosts).map(|index| new_host(index, 1, &plan)).collect(),
            owner: new_owner(&plan),
            targets: (0..plan.targets).map(|_| EmulatedTarget::new(plan.slots)).collect(),
            works: vec![],
            returns: vec![],
            jobs: vec![],
            finished: vec![],
            saved: vec![],
            next_updates: start,
            is_away: false,
            report: ReplayReport::default(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.strike();
        self.advance_targets();
        if !self.is_away {
            if self.now >= self.next_updates {
                self.report_all();
                self.save_progress();
                self.next_updates = self.now + self.plan.report_interval;
            }
            self.start_items();
        }
        let now = self.now;
        self.owner.ledger.expire(&mut self.owner.placement, now);
        self.arrive();
    }

    fn passed(&self) -> Duration {
        self.now - self.start
    }

    /// Whether `at` from the start falls into this step.
    fn is_at(&self, at: Duration) -> bool {
        self.passed() >= at && self.passed() < at + STEP
    }

    fn advance_targets(&mut self) {
        for target in 0..self.targets.len() {
            let (begun, ended) = self.targets[target].advance(self.now);
            let busy = self.targets[target].works().count() as u32;
            for work in begun {
                self.works[work].began = Some(self.now);
                self.tell_load(work, busy);
            }
            ended.into_iter().for_each(|work| self.end_work(work));
        }
    }

    /// The first event of an answer says how much the target has to do.
    fn tell_load(&mut self, work: usize, busy: u32) {
        let begun = &self.works[work];
        if begun.is_wanted && self.plan.tells_load {
            let placement = &mut self.hosts[begun.host].placement;
            placement.record_load(&begun.target, busy, self.now);
        }
    }

    fn ran(&self, work: usize) -> Duration {
        self.works[work].began.map_or(Duration::ZERO, |began| self.now - began)
    }

    fn end_work(&mut self, work: usize) {
        let ran = self.ran(work);
        let done = self.works[work].clone();
        if !done.is_wanted {
            self.report.slot_s_wasted += ran.as_secs_f64();
            return;
        }
        self.report.slot_s_used += ran.as_secs_f64();
        self.works[work].is_wanted = false;
        let host = &mut self.hosts[done.host];
        match &done.owner {
            Owner::Caller { since, may_return } => {
                host.placement.end(&done.target, WorkKind::Online);
                host.placement.record_hold_time(ran);
                let first = done.began.unwrap_or(self.now) + FIRST_EVENT;
                let is_in_time = first - *since <= OBJECTIVE;
                self.report.in_time += u32::from(is_in_time);
                self.report.late += u32::from(!is_in_time);
                self.report.returned += u32::from(!may_return);
            }
            Owner::Item { job, index, due, ran: before } => {
                host.placement.end(&done.target, WorkKind::Batch);
                let progress = ItemProgress { run_time: *before + ran, ..ItemProgress::default() };
                host.jobs.complete(job, *index, progress, self.now);
                self.finished.push((job.clone(), *index));
                self.report.items_in_time += u32::from(self.now <= *due);
            }
        }
        host.placement.record_success(&done.target, self.now);
    }

    /// The target broke under it.
    fn break_work(&mut self, work: usize) {
        let broken = self.works[work].clone();
        if !std::mem::take(&mut self.works[work].is_wanted) {
            return;
        }
        self.report.slot_s_wasted += self.ran(work).as_secs_f64();
        let host = &mut self.hosts[broken.host];
        match &broken.owner {
            Owner::Caller { .. } => {
                host.placement.end(&broken.target, WorkKind::Online);
                self.report.failed += 1;
            }
            Owner::Item { job, index, ran, .. } => {
                host.placement.end(&broken.target, WorkKind::Batch);
                let progress = progress_of(*ran);
                host.jobs.fail(job, *index, ItemFailure::Crashed, progress, self.now);
            }
        }
    }

    fn stop_item(&mut self, work: usize) {
        let stopped = self.works[work].clone();
        let Owner::Item { job, index, ran: before, .. } = &stopped.owner else { return };
        let ran = self.ran(work);
        self.report.cut_runs += 1;
        self.targets[target_index(&stopped.target)].drop_work(work);
        self.works[work].is_wanted = false;
        self.report.slot_s_used += ran.as_secs_f64();
        let host = &mut self.hosts[stopped.host];
        host.placement.end(&stopped.target, WorkKind::Batch);
        let progress = progress_of(*before + ran);
        host.jobs.fail(job, *index, ItemFailure::Preempted, progress, self.now);
    }

    /// Keeps what hosts that lose power find again.
    fn save_progress(&mut self) {
        if !self.passed().as_millis().is_multiple_of(SAVED_EVERY.as_millis()) {
            return;
        }
        let mut saved = Vec::new();
        let on_targets = self.targets.iter().flat_map(EmulatedTarget::works);
        for work in on_targets.map(|at| &self.works[at]).filter(|work| work.is_wanted) {
            if let Owner::Item { job, index, ran, .. } = &work.owner {
                let now = work.began.map_or(Duration::ZERO, |began| self.now - began);
                saved.push((job.clone(), *index, progress_of(*ran + now)));
            }
        }
        for (job, index, progress) in saved {
            self.saved.retain(|(id, at, _)| *id != job || *at != index);
            self.saved.push((job, index, progress));
        }
    }

    fn start_item(&mut self, host: usize, target: Name) {
        let now = self.now;
        let Some(start) = self.hosts[host].jobs.start_next(|_| true, now) else { return };
        let Some(due) = self.hosts[host].jobs.get(&start.job).map(|job| job.spec().due) else {
            return;
        };
        let whole = Duration::from_millis(start.item.tokens);
        let ran = start.progress.run_time;
        let owner = Owner::Item { job: start.job, index: start.index, due, ran };
        self.send(host, target, owner, whole.saturating_sub(ran).max(STEP));
    }

    /// Sends work; `false` where the target had no room.
    fn send(&mut self, host: usize, target: Name, owner: Owner, takes: Duration) -> bool {
        let kind = match owner {
            Owner::Caller { .. } => WorkKind::Online,
            Owner::Item { .. } => WorkKind::Batch,
        };
        let work = self.works.len();
        self.hosts[host].placement.begin(&target, kind);
        self.works.push(Work { owner, host, target: target.clone(), began: None, is_wanted: true });
        let emulated = &mut self.targets[target_index(&target)];
        if emulated.health != TargetHealth::Sound {
            self.report.broken_sends += u32::from(kind == WorkKind::Online);
            self.hosts[host].placement.record_failure(&target, self.now);
            self.break_work(work);
            return true;
        }
        if emulated.admit(work, takes) {
            return true;
        }
        self.refuse_work(work);
        false
    }

    /// The target had no room and did not run it.
    fn refuse_work(&mut self, work: usize) {
        let refused = self.works[work].clone();
        self.works[work].is_wanted = false;
        self.report.refused_sends += 1;
        let host = &mut self.hosts[refused.host];
        host.placement.record_full(&refused.target, self.now);
        match &refused.owner {
            Owner::Caller { .. } => host.placement.end(&refused.target, WorkKind::Online),
            Owner::Item { job, index, ran, .. } => {
                host.placement.end(&refused.target, WorkKind::Batch);
                host.jobs.fail(job, *index, ItemFailure::Preempted, progress_of(*ran), self.now);
            }
        }
    }

    fn finish(mut self) -> ReplayReport {
        self.report.items_late = self.report.items - self.report.items_in_time;
        let begun: Vec<u32> = self.targets.iter().map(|target| target.begun).collect();
        let mean = f64::from(begun.iter().sum::<u32>()) / begun.len().max(1) as f64;
        let most = begun.into_iter().max().unwrap_or(0);
        self.report.busiest_over_mean = f64::from(most) / mean.max(1.0);
        self.report
    }
}

fn progress_of(ran: Duration) -> ItemProgress {
    // One event a millisecond: the board only asks whether the run moved.
    ItemProgress { last_event: Some(ran.as_millis() as u64), text: String::new(), run_time: ran }
}
