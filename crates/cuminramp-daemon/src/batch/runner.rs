//! Runs items on engines, within each engine's batch window.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cuminramp_batch::ItemOutcome;
use cuminramp_core::{Execution, Refusal, ResultCode};
use cuminramp_routes::{Pool, PoolKind, Target};
use cuminramp_targets::{AttemptEnd, FailureStage, WorkKind};
use futures_util::StreamExt;
use serde_json::Value;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::batch::chunks::{finish_chunk, write_crash_counts};
use crate::batch::claims::queue_item;
use crate::batch::leased::ItemRef;
use crate::batch::windows::{RunningItem, batch_owner_of, owns_any_batch};
use crate::dispatch::{AttemptResult, TargetLease, start_attempt};
use crate::entry::chat::chat_request;
use crate::interfaces::TargetResponse;
use crate::state::{DaemonState, lock};

/// Maximum interval between two updates of the windows while there is batch work.
const UPDATE_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum interval between two checks for batch work while there is none.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of items at once on an engine that this host is not the batch owner of.
const MAX_UNOWNED_ITEMS: u32 = 1;
/// Delay before an item that its target did not accept is queued again.
const REQUEUE_DELAY: Duration = Duration::from_millis(100);
/// Delay before an item that ran alone on a target that crashed is queued again.
const CRASH_DELAY: Duration = Duration::from_secs(1);

/// Updates the windows and starts items in them, until the task is stopped.
pub(crate) async fn run_items(state: Arc<DaemonState>) {
    loop {
        if !state.batch.has_work() {
            // Otherwise an idle host would spend most of its time on updating windows for nothing.
            let _ = tokio::time::timeout(IDLE_INTERVAL, state.batch.runner_wakeup.notified()).await;
            continue;
        }
        let mut slots = 0;
        for pool in engine_pools(&state) {
            let unowned_allowed = needs_unowned_engines(&state, &pool);
            for target in &pool.targets {
                slots += fill_window(&state, &pool, target, unowned_allowed);
            }
        }
        if lock(&state.batch.waiting).len() < slots as usize {
            state.batch.claim_wakeup.notify_one();
        }
        let _ = tokio::time::timeout(UPDATE_INTERVAL, state.batch.runner_wakeup.notified()).await;
    }
}

/// Returns the pools whose targets are engines; batch items run on no others.
fn engine_pools(state: &DaemonState) -> Vec<Pool> {
    let in_force = state.configuration.in_force();
    let pools = in_force.configuration.pools.values();
    pools.filter(|pool| pool.kind == PoolKind::Engines).cloned().collect()
}

/// Returns whether items wait or run here for a pool although this host is the batch owner of none of its
/// engines.
///
/// This happens if the batch owner changed after the items were leased, or if a job has items for
/// several models. These items would wait forever, so this host runs them beside the batch owners'
/// items, at most [`MAX_UNOWNED_ITEMS`] at once on each engine. If running items didn't count, the last
/// ones would be preempted as soon as none waits, and started again, without end.
fn needs_unowned_engines(state: &DaemonState, pool: &Pool) -> bool {
    let is_waiting = lock(&state.batch.waiting).has_items_for(&pool.name);
    let has_items = is_waiting || state.batch.runs_items_on(&pool.targets);
    has_items && !owns_any_batch(state, pool)
}

/// Updates an engine's window, cancels the items beyond its size and starts items in its free part.
/// Returns the window's size in items.
fn fill_window(
    state: &Arc<DaemonState>,
    pool: &Pool,
    target: &Target,
    unowned_allowed: bool,
) -> u32 {
    let now = Instant::now();
    let is_owner =
        batch_owner_of(state, &target.name).is_some_and(|host| host == state.me.id.address);
    let (online, batch, report, ejected) = {
        let targets = lock(&state.targets);
        let (online, batch) = targets.in_flight(&target.name);
        let report = targets.report(&target.name);
        (online, batch, report, targets.is_ejected(&target.name, now))
    };
    let is_open =
        (is_owner || unowned_allowed) && !target.leaving && !ejected && !state.drain.is_cancelled();
    let capacity = state.batch.with_engine(&target.name, target.slots, |engine| {
        let size = if is_open { engine.window.update(online, report, batch, now) } else { 0 };
        let size = if is_owner { size } else { size.min(MAX_UNOWNED_ITEMS) };
        let running = engine.running.len() as u32;
        // The newest items are cancelled first, because they lose the least work.
        for extra in engine.running.iter().rev().take(running.saturating_sub(size) as usize) {
            extra.cancel.cancel();
        }
        WindowCapacity {
            size,
            free: size.saturating_sub(running),
            is_empty: running == 0,
            has_isolated: engine.running.iter().any(|item| item.isolated),
        }
    });
    start_items(state, pool, target, &capacity);
    capacity.size
}

/// Size of an engine's window in items, and how much of it is used.
struct WindowCapacity {
    size: u32,
    free: u32,
    is_empty: bool,
    /// Whether an item runs beside which this host may run no other batch item.
    has_isolated: bool,
}

/// Starts waiting items in an engine's free capacity. While no item of this host runs there, an item that
/// must run alone goes first; otherwise only other items are started.
fn start_items(state: &Arc<DaemonState>, pool: &Pool, target: &Target, capacity: &WindowCapacity) {
    if capacity.has_isolated || capacity.free == 0 {
        return;
    }
    if capacity.is_empty
        && let Some(item) = next_isolated(state, &pool.name)
    {
        return start_item(state, pool, target, item, true);
    }
    for _ in 0..capacity.free {
        let Some(item) = next_ready(state, &pool.name) else {
            return;
        };
        start_item(state, pool, target, item, false);
    }
}

fn is_dropped(item: &ItemRef) -> bool {
    item.chunk.dropped.is_cancelled()
}

fn next_isolated(state: &DaemonState, pool: &str) -> Option<ItemRef> {
    let mut waiting = lock(&state.batch.waiting);
    let isolated = waiting.isolated.get_mut(pool)?;
    loop {
        let item = isolated.pop_front()?;
        if !is_dropped(&item) {
            return Some(item);
        }
    }
}

fn next_ready(state: &DaemonState, pool: &str) -> Option<ItemRef> {
    let mut waiting = lock(&state.batch.waiting);
    let ready = waiting.ready.get_mut(pool)?;
    loop {
        let item = ready.pop()?;
        if !is_dropped(&item) {
            return Some(item);
        }
    }
}

fn start_item(
    state: &Arc<DaemonState>,
    pool: &Pool,
    target: &Target,
    item: ItemRef,
    isolated: bool,
) {
    let number = state.next_number();
    let cancel = CancellationToken::new();
    let running = RunningItem { number, cancel: cancel.clone(), isolated };
    state.batch.with_engine(&target.name, target.slots, |engine| engine.running.push(running));
    let lease = TargetLease::new(state, &pool.name, target.clone(), WorkKind::Batch);
    let state = state.clone();
    tokio::spawn(async move {
        let end = run_item(&state, &item, &lease, &cancel).await;
        let target = lease.target.clone();
        drop(lease);
        state.batch.with_engine(&target.name, target.slots, |engine| {
            engine.running.retain(|running| running.number != number);
        });
        handle_end(&state, item, end, isolated).await;
        state.batch.runner_wakeup.notify_one();
    });
}

/// Result of one run of an item.
enum ItemEnd {
    /// The target answered.
    Answered(ItemOutcome),
    /// The run was cancelled to free capacity on the engine or because the engine is ejected, as when it is
    /// silent; the item is queued again.
    Preempted,
    /// The target did not accept the item, which did not run.
    NotRun,
    /// The target failed, timed out or sent an unusable answer.
    Failed,
    /// The connection broke, which counts as a crash of the target.
    Crashed,
    /// This host no longer holds the chunk.
    Dropped,
}

async fn run_item(
    state: &DaemonState,
    item: &ItemRef,
    lease: &TargetLease,
    cancel: &CancellationToken,
) -> ItemEnd {
    tokio::select! {
        end = call_target(state, item, lease) => end,
        () = cancel.cancelled() => ItemEnd::Preempted,
        () = item.chunk.dropped.cancelled() => ItemEnd::Dropped,
    }
}

async fn call_target(state: &DaemonState, item: &ItemRef, lease: &TargetLease) -> ItemEnd {
    let body = {
        let items = lock(&item.chunk.items);
        let Some(batch_item) = items[item.index].item.as_ref() else {
            return ItemEnd::Dropped;
        };
        Bytes::from(batch_item.body.to_string())
    };
    let deadline = Instant::now() + state.settings.batch.item_timeout();
    match start_attempt(state, lease, chat_request(body), deadline).await {
        AttemptResult::Answered(response) => read_response(state, lease, response, deadline).await,
        AttemptResult::Failed(failure) => match failure.stage {
            _ if failure.is_crash => ItemEnd::Crashed,
            FailureStage::NotSent | FailureStage::Refused => ItemEnd::NotRun,
            _ => ItemEnd::Failed,
        },
    }
}

/// Reads an answer's body to its end, within the deadline and the size limit.
async fn read_response(
    state: &DaemonState,
    lease: &TargetLease,
    mut response: TargetResponse,
    deadline: Instant,
) -> ItemEnd {
    let mut content = BytesMut::new();
    loop {
        match tokio::time::timeout_at(deadline, response.body.next()).await {
            Ok(Some(Ok(bytes)))
                if content.len() + bytes.len() <= state.settings.limits.max_answer_bytes =>
            {
                content.extend_from_slice(&bytes);
            }
            Ok(Some(Ok(_))) => return ItemEnd::Failed,
            Ok(Some(Err(_))) => {
                lease.record_outcome(AttemptEnd::Failed);
                return ItemEnd::Crashed;
            }
            Ok(None) => break,
            Err(_) => {
                lease.record_outcome(AttemptEnd::Silent);
                return ItemEnd::Failed;
            }
        }
    }
    match serde_json::from_slice::<Value>(&content) {
        Ok(body) => {
            ItemEnd::Answered(ItemOutcome::Answered { status: response.status.as_u16(), body })
        }
        Err(_) => ItemEnd::Failed,
    }
}

/// Records the outcome of an item whose run has ended, or queues the item again.
async fn handle_end(state: &Arc<DaemonState>, item: ItemRef, end: ItemEnd, isolated: bool) {
    match end {
        ItemEnd::Dropped => {}
        ItemEnd::Answered(outcome) => finish_item(state, &item, outcome),
        ItemEnd::Preempted => {
            log::debug!(
                job = &*item.chunk.job.id, chunk = item.chunk.index, item = item.index as u64;
                "item-preempted"
            );
            queue_item(state, item);
        }
        ItemEnd::NotRun => {
            tokio::time::sleep(REQUEUE_DELAY).await;
            queue_item(state, item);
        }
        ItemEnd::Failed => handle_failure(state, item),
        ItemEnd::Crashed => handle_crash(state, item, isolated).await,
    }
}

/// Queues a failed item again, or ends it with an error after the configured number of attempts.
fn handle_failure(state: &Arc<DaemonState>, item: ItemRef) {
    let failures = {
        let mut items = lock(&item.chunk.items);
        items[item.index].failures += 1;
        items[item.index].failures
    };
    if failures < state.settings.batch.item_attempts {
        return queue_item(state, item);
    }
    let message = format!("the item failed {failures} times");
    let refusal = Refusal::not_run(ResultCode::ItemFailed, message).with_execution(Execution::Ran);
    finish_item(state, &item, ItemOutcome::Failed(refusal));
}

/// Handles an item whose target crashed.
///
/// It is not known whether one of the target's items caused the crash, so from now on each of them runs alone.
/// If the settings limit the crashes of an item that runs alone, it ends with an error after so many. The count is
/// written to the chunk's row before the item runs again.
async fn handle_crash(state: &Arc<DaemonState>, item: ItemRef, isolated: bool) {
    let crashes = {
        let mut items = lock(&item.chunk.items);
        let leased = &mut items[item.index];
        let crashes = leased.crashes.unwrap_or(0) + u32::from(isolated);
        leased.crashes = Some(crashes);
        crashes
    };
    log::info!(
        job = &*item.chunk.job.id, chunk = item.chunk.index, item = item.index as u64,
        crashes = crashes, alone = isolated;
        "item-crash"
    );
    write_crash_counts(state, &item.chunk).await;
    let limit = state.settings.batch.item_crashes;
    if limit == 0 || crashes < limit {
        if isolated {
            tokio::time::sleep(CRASH_DELAY).await;
        }
        return queue_item(state, item);
    }
    let message = format!("{crashes} targets crashed while running only this item");
    let refusal = Refusal::not_run(ResultCode::ItemFailed, message).with_execution(Execution::Ran);
    finish_item(state, &item, ItemOutcome::Failed(refusal));
}

/// Ends an item with an error because no route serves its model.
pub(crate) fn end_without_route(state: &Arc<DaemonState>, item: &ItemRef, model: &str) {
    let message = format!("no route serves the model {model:?}");
    let refusal = Refusal::not_run(ResultCode::RouteUnknown, message);
    finish_item(state, item, ItemOutcome::Failed(refusal));
}

/// Records an item's outcome, and finishes the chunk if this was the last one missing.
fn finish_item(state: &Arc<DaemonState>, item: &ItemRef, outcome: ItemOutcome) {
    state.metrics.count_item(outcome.is_success());
    if item.chunk.record_outcome(item.index, outcome) {
        let (state, chunk) = (state.clone(), item.chunk.clone());
        state.tasks.clone().spawn(async move { finish_chunk(&state, &chunk).await });
    }
}
