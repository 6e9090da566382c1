//! Emulated callers, hosts and targets, and the reports that hosts send to the owner of the slots.

use std::time::Duration;

use cuminramp_core::{HostId, Name, SeededRandom};
use cuminramp_fleet::{
    FleetTarget, ItemFailure, ItemProgress, JobPolicy, JobSpec, JobTable, PlacementPolicy,
    PlacementTable, SlotGroup, SlotLedger, SoftwareVersion, TargetPhase, WorkKind,
};
use tokio::time::Instant;

use crate::plan::ReplayPlan;
use crate::report::ReplayReport;
use crate::target::{EmulatedTarget, TargetHealth};

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(5);
/// Time within which a caller expects the first event of an answer.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Time that a target needs for the first event of an attempt.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(60);
/// Time that jobs have to complete after the last arrivals.
const COMPLETION_TIME: Duration = Duration::from_secs(20);
/// Time from the start at which the fault begins, during a peak.
const FAULT_AT: Duration = Duration::from_millis(10_200);
/// Interval between checkpoints of the progress of items. Hosts that restart after a power loss resume
/// from progress that is at most this old. Checkpoints are saved with reports only, so they are less
/// frequent if this is not a multiple of the report interval.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(1_100);
const POOL: &str = "pool";
const VERSION: &str = "v1";
const ZONE: &str = "z";

mod arrivals;
mod faults;
mod slots;

/// What an attempt runs: a request of a caller or an item of a job.
#[derive(Clone, Debug)]
enum AttemptKind {
    Request {
        arrived_at: Instant,
        may_retry: bool,
    },
    Item {
        job: Name,
        index: usize,
        due: Instant,
        /// Run time of earlier attempts that this one continues.
        earlier_run_time: Duration,
    },
}

/// One send of a request or an item from a host to a target.
#[derive(Clone, Debug)]
struct Attempt {
    kind: AttemptKind,
    host: usize,
    target: Name,
    /// Time at which the target started it; `None` while it is queued.
    started_at: Option<Instant>,
    /// Whether a host still waits for its result.
    is_wanted: bool,
}

struct EmulatedHost {
    id: HostId,
    placement: PlacementTable,
    jobs: JobTable,
    /// Number of the last grant that the host received.
    acknowledged_grant: u64,
    /// Number of the host's last report.
    reports: u64,
}

/// The host that owns the slots of all targets; in a replay it serves no callers itself.
struct EmulatedOwner {
    placement: PlacementTable,
    ledger: SlotLedger,
    /// Number of the last slot request; the requests of all hosts are numbered together.
    requests: u64,
}

/// State of a replay.
struct World {
    plan: ReplayPlan,
    start: Instant,
    now: Instant,
    random: SeededRandom,
    hosts: Vec<EmulatedHost>,
    owner: EmulatedOwner,
    targets: Vec<EmulatedTarget>,
    /// All attempts so far; their indexes identify them at targets.
    attempts: Vec<Attempt>,
    /// Requests to be retried: time of the retry, and time of the first arrival.
    retries: Vec<(Instant, Instant)>,
    jobs: Vec<JobSpec>,
    /// Completed items: job, index of the item.
    finished: Vec<(Name, usize)>,
    /// Last checkpoint of each item: job, index of the item, progress.
    checkpoints: Vec<(Name, usize, ItemProgress)>,
    next_report: Instant,
    /// Whether all hosts are down.
    hosts_are_down: bool,
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
            version: VERSION.into(),
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
    EmulatedOwner { placement: new_placement(plan), ledger: SlotLedger::new(id), requests: 0 }
}

fn group() -> SlotGroup {
    SlotGroup { pool: POOL.into(), zone: ZONE.into() }
}

/// Replays a plan and returns its figures.
///
/// ```
/// use cuminramp_replay::{LoadPattern, ReplayPlan, run_replay};
/// use std::time::Duration;
/// let plan = ReplayPlan { length: Duration::from_secs(2), ..ReplayPlan::new(LoadPattern::Waves, 1) };
/// assert_eq!(run_replay(&plan), run_replay(&plan));
/// ```
pub fn run_replay(plan: &ReplayPlan) -> ReplayReport {
    let mut world = World::new(*plan);
    while world.now < world.start + plan.length + COMPLETION_TIME {
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
            attempts: vec![],
            retries: vec![],
            jobs: vec![],
            finished: vec![],
            checkpoints: vec![],
            next_report: start,
            hosts_are_down: false,
            report: ReplayReport::default(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.inject_faults();
        self.advance_targets();
        if !self.hosts_are_down {
            if self.now >= self.next_report {
                self.send_reports();
                self.save_checkpoints();
                self.next_report = self.now + self.plan.report_interval;
            }
            self.start_items();
        }
        let now = self.now;
        self.owner.ledger.expire(&mut self.owner.placement, now);
        self.process_arrivals();
    }

    fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Returns whether the time `at`, counted from the start, falls into this step.
    fn is_at(&self, at: Duration) -> bool {
        self.elapsed() >= at && self.elapsed() < at + STEP
    }

    fn advance_targets(&mut self) {
        for target in 0..self.targets.len() {
            let (started, ended) = self.targets[target].advance(self.now);
            let busy = self.targets[target].attempts().count() as u32;
            for attempt in started {
                self.attempts[attempt].started_at = Some(self.now);
                self.report_load(attempt, busy);
            }
            ended.into_iter().for_each(|attempt| self.complete_attempt(attempt));
        }
    }

    /// Records the load that the target reports with the first event of an answer.
    fn report_load(&mut self, attempt: usize, busy: u32) {
        let started = &self.attempts[attempt];
        if started.is_wanted && self.plan.targets_report_load {
            let placement = &mut self.hosts[started.host].placement;
            placement.record_load(&started.target, busy, self.now);
        }
    }

    /// Returns the time for which an attempt has run so far; zero while it is queued.
    fn run_time(&self, attempt: usize) -> Duration {
        self.attempts[attempt].started_at.map_or(Duration::ZERO, |started_at| self.now - started_at)
    }

    fn complete_attempt(&mut self, attempt: usize) {
        let ran = self.run_time(attempt);
        let done = self.attempts[attempt].clone();
        if !done.is_wanted {
            self.report.slot_s_wasted += ran.as_secs_f64();
            return;
        }
        self.report.slot_s_used += ran.as_secs_f64();
        self.attempts[attempt].is_wanted = false;
        let host = &mut self.hosts[done.host];
        match &done.kind {
            AttemptKind::Request { arrived_at, may_retry } => {
                host.placement.end(&done.target, WorkKind::Online);
                host.placement.record_hold_time(ran);
                let first_event = done.started_at.unwrap_or(self.now) + FIRST_EVENT_DELAY;
                let is_in_time = first_event - *arrived_at <= OBJECTIVE;
                self.report.in_time += u32::from(is_in_time);
                self.report.late += u32::from(!is_in_time);
                self.report.returned += u32::from(!may_retry);
            }
            AttemptKind::Item { job, index, due, earlier_run_time: earlier } => {
                host.placement.end(&done.target, WorkKind::Batch);
                let progress = ItemProgress { run_time: *earlier + ran, ..ItemProgress::default() };
                host.jobs.complete(job, *index, progress, self.now);
                self.finished.push((job.clone(), *index));
                self.report.items_in_time += u32::from(self.now <= *due);
            }
        }
        host.placement.record_success(&done.target, self.now);
    }

    /// Ends an attempt whose connection broke because its target failed.
    fn fail_attempt(&mut self, attempt: usize) {
        let failed = self.attempts[attempt].clone();
        if !std::mem::take(&mut self.attempts[attempt].is_wanted) {
            return;
        }
        self.report.slot_s_wasted += self.run_time(attempt).as_secs_f64();
        let host = &mut self.hosts[failed.host];
        match &failed.kind {
            AttemptKind::Request { .. } => {
                host.placement.end(&failed.target, WorkKind::Online);
                self.report.failed += 1;
            }
            AttemptKind::Item { job, index, earlier_run_time, .. } => {
                host.placement.end(&failed.target, WorkKind::Batch);
                let progress = progress_of(*earlier_run_time);
                host.jobs.fail(job, *index, ItemFailure::Crashed, progress, self.now);
            }
        }
    }

    /// Preempts an item and records its progress.
    fn preempt_item(&mut self, attempt: usize) {
        let preempted = self.attempts[attempt].clone();
        let AttemptKind::Item { job, index, earlier_run_time: earlier, .. } = &preempted.kind
        else {
            return;
        };
        let ran = self.run_time(attempt);
        self.report.cut_runs += 1;
        self.targets[target_index(&preempted.target)].cancel(attempt);
        self.attempts[attempt].is_wanted = false;
        self.report.slot_s_used += ran.as_secs_f64();
        let host = &mut self.hosts[preempted.host];
        host.placement.end(&preempted.target, WorkKind::Batch);
        let progress = progress_of(*earlier + ran);
        host.jobs.fail(job, *index, ItemFailure::Preempted, progress, self.now);
    }

    /// Saves the progress of items that targets run or queue; hosts resume from it after a power loss.
    fn save_checkpoints(&mut self) {
        if !self.elapsed().as_millis().is_multiple_of(CHECKPOINT_INTERVAL.as_millis()) {
            return;
        }
        let mut checkpoints = Vec::new();
        let on_targets = self.targets.iter().flat_map(EmulatedTarget::attempts);
        for attempt in
            on_targets.map(|index| &self.attempts[index]).filter(|attempt| attempt.is_wanted)
        {
            if let AttemptKind::Item { job, index, earlier_run_time, .. } = &attempt.kind {
                let current =
                    attempt.started_at.map_or(Duration::ZERO, |started_at| self.now - started_at);
                checkpoints.push((job.clone(), *index, progress_of(*earlier_run_time + current)));
            }
        }
        for (job, index, progress) in checkpoints {
            self.checkpoints.retain(|(id, item, _)| *id != job || *item != index);
            self.checkpoints.push((job, index, progress));
        }
    }

    fn start_item(&mut self, host: usize, target: Name) {
        let now = self.now;
        let Some(start) = self.hosts[host].jobs.start_next(|_| true, software(), now) else {
            return;
        };
        let Some(due) = self.hosts[host].jobs.get(&start.job).map(|job| job.spec().due) else {
            return;
        };
        let duration = Duration::from_millis(start.item.tokens);
        let earlier_run_time = start.progress.run_time;
        let kind = AttemptKind::Item { job: start.job, index: start.index, due, earlier_run_time };
        self.send(host, target, kind, duration.saturating_sub(earlier_run_time).max(STEP));
    }

    /// Sends an attempt; returns `false` if the target's queue was full.
    fn send(&mut self, host: usize, target: Name, kind: AttemptKind, duration: Duration) -> bool {
        let work_kind = match kind {
            AttemptKind::Request { .. } => WorkKind::Online,
            AttemptKind::Item { .. } => WorkKind::Batch,
        };
        let attempt = self.attempts.len();
        self.hosts[host].placement.begin(&target, work_kind);
        self.attempts.push(Attempt {
            kind,
            host,
            target: target.clone(),
            started_at: None,
            is_wanted: true,
        });
        let emulated = &mut self.targets[target_index(&target)];
        if emulated.health != TargetHealth::Healthy {
            self.report.broken_sends += u32::from(work_kind == WorkKind::Online);
            self.hosts[host].placement.record_failure(&target, self.now);
            self.fail_attempt(attempt);
            return true;
        }
        if emulated.admit(attempt, duration) {
            return true;
        }
        self.reject_attempt(attempt);
        false
    }

    /// Ends an attempt that the target refused without running it because its queue was full.
    fn reject_attempt(&mut self, attempt: usize) {
        let refused = self.attempts[attempt].clone();
        self.attempts[attempt].is_wanted = false;
        self.report.refused_sends += 1;
        let host = &mut self.hosts[refused.host];
        host.placement.record_full(&refused.target, self.now);
        match &refused.kind {
            AttemptKind::Request { .. } => host.placement.end(&refused.target, WorkKind::Online),
            AttemptKind::Item { job, index, earlier_run_time, .. } => {
                host.placement.end(&refused.target, WorkKind::Batch);
                host.jobs.fail(
                    job,
                    *index,
                    ItemFailure::Preempted,
                    progress_of(*earlier_run_time),
                    self.now,
                );
            }
        }
    }

    fn finish(mut self) -> ReplayReport {
        self.report.items_late = self.report.items - self.report.items_in_time;
        let started: Vec<u32> = self.targets.iter().map(|target| target.started).collect();
        let mean = f64::from(started.iter().sum::<u32>()) / started.len().max(1) as f64;
        let max = started.into_iter().max().unwrap_or(0);
        self.report.busiest_over_mean = f64::from(max) / mean.max(1.0);
        self.report
    }
}

/// Returns the software of all targets.
fn software() -> SoftwareVersion {
    SoftwareVersion::new(POOL, VERSION)
}

fn progress_of(ran: Duration) -> ItemProgress {
    // One event per millisecond: the job table only checks whether a run made progress.
    ItemProgress {
        last_event: Some(ran.as_millis() as u64),
        text: String::new(),
        run_time: ran,
        software: Some(software()),
    }
}
