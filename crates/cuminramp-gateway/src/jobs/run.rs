//! Runs items in slots that the slots' owners grant, and preempts them for online work.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cuminramp_core::{Name, hash_parts};
use cuminramp_fleet::{
    FinishedItem, FleetDeclarations, FleetTarget, ItemFailure, ItemProgress, ItemStart, JobSpec,
    RouteRule, WorkKind,
};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::item_stream::{RunEnd, send_item};
use super::writer::WriterCommand;
use crate::slots::request_item_slots;
use crate::state::{GatewayState, lock};
use crate::targets::TargetRun;

/// Maximum interval between two checks for items that expire or can be retried.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the same checks on a host that holds no job.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after each check, so that one check covers a burst of changes.
const DEBOUNCE_DELAY: Duration = Duration::from_millis(5);
/// An item in flight on a target.
#[derive(Debug)]
struct RunningItem {
    job: Name,
    index: usize,
    target: Name,
    /// When the results of its job are due.
    due: Instant,
    cancellation: CancellationToken,
}

/// Items that this host has in flight on targets.
#[derive(Debug, Default)]
pub(crate) struct RunningItems {
    items: Mutex<Vec<RunningItem>>,
}

impl RunningItems {
    fn remove(&self, job: &str, index: usize, target: &str) {
        let mut items = lock(&self.items);
        let at = items
            .iter()
            .position(|item| *item.job == *job && item.index == index && *item.target == *target);
        if let Some(at) = at {
            items.swap_remove(at);
        }
    }

    /// Cancels all items of a job.
    fn cancel_job(&self, job: &str) {
        for item in lock(&self.items).iter().filter(|item| *item.job == *job) {
            item.cancellation.cancel();
        }
    }

    /// Cancels all items.
    pub(crate) fn cancel_all(&self) {
        for item in lock(&self.items).iter() {
            item.cancellation.cancel();
        }
    }

    /// Returns whether no item is in flight.
    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.items).is_empty()
    }

    /// Preempts items on a target until at most `max_items` remain, starting with those due last. Returns
    /// the number of preempted items.
    pub(crate) fn preempt_down_to(&self, target: &str, max_items: u32) -> u32 {
        let items = lock(&self.items);
        let on_target = items.iter().filter(|item| *item.target == *target);
        let mut running: Vec<&RunningItem> =
            on_target.filter(|item| !item.cancellation.is_cancelled()).collect();
        running.sort_by_key(|item| std::cmp::Reverse(item.due));
        let excess = running.len().saturating_sub(max_items as usize);
        running.iter().take(excess).for_each(|item| item.cancellation.cancel());
        excess as u32
    }
}

/// Stops work on a job that has ended or that this host no longer holds.
pub(super) fn stop_job(state: &Arc<GatewayState>, job: &str) {
    lock(&state.jobs).remove(job);
    state.running_items.cancel_job(job);
    state.writers.remove(job);
    state.request_heartbeat();
}

/// Gives up expired items and requests slots for waiting ones until the host drains.
pub(crate) async fn run_items(state: Arc<GatewayState>) {
    loop {
        tokio::select! {
            () = state.item_slots_requested.notified() => {}
            () = tokio::time::sleep(check_interval(&state)) => {}
            () = state.drain.cancelled() => return,
        }
        give_up_items(&state);
        request_item_slots(&state);
        tokio::time::sleep(DEBOUNCE_DELAY).await;
    }
}

/// Returns the interval between two checks of waiting items. A host without jobs is notified of the first one.
fn check_interval(state: &GatewayState) -> Duration {
    let has_jobs = lock(&state.jobs).jobs().next().is_some();
    if has_jobs { CHECK_INTERVAL } else { IDLE_CHECK_INTERVAL }
}

/// Gives up items that are expired or whose route has ended, and lists them.
fn give_up_items(state: &Arc<GatewayState>) {
    let now = Instant::now();
    let expired = lock(&state.jobs).give_up_expired(now);
    list_given_up(state, expired, "expired");
    if let Some(declared) = state.current_declarations() {
        let has_route = |spec: &JobSpec| may_have_route(&declared, spec);
        let without_route = lock(&state.jobs).give_up_without_route(has_route, now);
        list_given_up(state, without_route, "route-ended");
    }
}

fn list_given_up(state: &Arc<GatewayState>, items: Vec<(Name, FinishedItem)>, reason: &str) {
    for (job, finished) in items {
        log::info!(job = &*job, index = finished.index, reason = reason; "item-given-up");
        state.writers.send(&job, WriterCommand::List(finished));
    }
}

/// Returns whether a job's route is declared, or may be declared by a version that this host does not know yet.
fn may_have_route(declared: &FleetDeclarations, spec: &JobSpec) -> bool {
    let is_known = spec.declarations_version.is_some_and(|version| version <= declared.version());
    !is_known || route_of(declared, spec).is_some()
}

/// Returns the route that a job was submitted on, as currently declared. It decides for all items, whatever their
/// paths are.
fn route_of<'a>(declared: &'a FleetDeclarations, spec: &JobSpec) -> Option<&'a RouteRule> {
    declared.route(&spec.host, &spec.route)
}

/// Returns the pool to which a route sends a job's items: the same at all hosts, and for all items.
fn pick_pool<'a>(route: &'a RouteRule, spec: &JobSpec) -> Option<&'a Name> {
    route.pick_pool(hash_parts(&[&spec.id]))
}

/// Returns the pool that a job's items are currently sent to.
fn pool_of(state: &GatewayState, spec: &JobSpec) -> Option<Name> {
    let declared = state.current_declarations()?;
    pick_pool(route_of(&declared, spec)?, spec).cloned()
}

/// Returns whether a job's items are currently sent to a pool and may run in a zone.
pub(crate) fn may_run_in(state: &GatewayState, spec: &JobSpec, pool: &str, zone: &str) -> bool {
    let Some(declared) = state.current_declarations() else { return false };
    let Some(route) = route_of(&declared, spec) else { return false };
    if pick_pool(route, spec).map(Name::as_ref) != Some(pool) {
        return false;
    }
    let team_home_regions = declared.team(&spec.team).map_or(&[][..], |team| &team.home_regions);
    state.regions.limit(&route.home_regions, team_home_regions).allows(zone)
}

/// Returns the pools that have waiting items of this host; none while the host drains.
pub(crate) fn waiting_pools(state: &GatewayState) -> Vec<Name> {
    if state.is_draining() {
        return vec![];
    }
    let now = Instant::now();
    let jobs = lock(&state.jobs);
    let waiting = jobs.jobs().filter(|job| job.has_waiting(now));
    let mut pools: Vec<Name> = waiting.filter_map(|job| pool_of(state, job.spec())).collect();
    drop(jobs);
    pools.sort();
    pools.dedup();
    pools
}

/// Starts up to `max_items` items of a pool on a target; returns the number started.
pub(crate) fn fill_slots(
    state: &Arc<GatewayState>,
    pool: &str,
    target: &FleetTarget,
    max_items: u16,
) -> u16 {
    if state.is_draining() {
        return 0;
    }
    let now = Instant::now();
    for started in 0..max_items {
        let accepts = |spec: &JobSpec| may_run_in(state, spec, pool, &target.zone);
        let Some(start) = lock(&state.jobs).start_next(accepts, target.software(), now) else {
            return started;
        };
        start_item(state, start, target.clone());
    }
    max_items
}

fn start_item(state: &Arc<GatewayState>, start: ItemStart, target: FleetTarget) {
    let cancellation = CancellationToken::new();
    let due = lock(&state.jobs).get(&start.job).map_or_else(Instant::now, |job| job.spec().due);
    lock(&state.running_items.items).push(RunningItem {
        job: start.job.clone(),
        index: start.index,
        target: target.id.clone(),
        due,
        cancellation: cancellation.clone(),
    });
    let run = TargetRun::begin(state, target, WorkKind::Batch);
    tokio::spawn(run_item(state.clone(), start, run, cancellation));
}

async fn run_item(
    state: Arc<GatewayState>,
    start: ItemStart,
    run: TargetRun,
    cancellation: CancellationToken,
) {
    let target = run.target.id.clone();
    let started_at = Instant::now();
    let resumed_after = start.progress.last_event;
    let mut progress = start.progress.clone();
    let end = tokio::select! {
        biased;
        () = cancellation.cancelled() => RunEnd::Failed(ItemFailure::Preempted, "cancelled".into()),
        () = state.stop.cancelled() => return,
        end = send_item(&state, &start, run, &mut progress) => end,
    };
    progress.run_time += started_at.elapsed();
    state.running_items.remove(&start.job, start.index, &target);
    let events = progress.last_event;
    let (label, reason) = match &end {
        RunEnd::Complete => ("whole", String::new()),
        RunEnd::Failed(failure, reason) => (failure_label(*failure), reason.clone()),
    };
    state.metrics.count_item(label);
    log::info!(
        job = &*start.job, item = &*start.item.id, target_id = &*target, outcome = label,
        reason = reason.as_str(), resumed_after = resumed_after.map_or(-1, |id| id as i64),
        last_event = events.map_or(-1, |id| id as i64),
        took_ms = started_at.elapsed().as_millis() as u64;
        "item-run"
    );
    finish_run(&state, &start, end, progress);
}

/// Returns the label of a failure in metrics and logs.
fn failure_label(failure: ItemFailure) -> &'static str {
    match failure {
        ItemFailure::Preempted => "gave-way",
        ItemFailure::Held => "held-back",
        ItemFailure::Lost => "lost",
        ItemFailure::Crashed => "broken",
        ItemFailure::Failed => "failed",
        ItemFailure::Impossible => "impossible",
    }
}

/// Records how a run ended, and lists the item if it is finished.
fn finish_run(state: &Arc<GatewayState>, start: &ItemStart, end: RunEnd, progress: ItemProgress) {
    let now = Instant::now();
    let finished: Option<FinishedItem> = match end {
        RunEnd::Complete => lock(&state.jobs).complete(&start.job, start.index, progress, now),
        RunEnd::Failed(failure, _) => {
            lock(&state.jobs).fail(&start.job, start.index, failure, progress, now)
        }
    };
    if let Some(finished) = finished {
        state.writers.send(&start.job, WriterCommand::List(finished));
    }
    state.item_slots_requested.notify_one();
    state.request_heartbeat();
}
