//! Runs items in the windows of engines.

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

use crate::batch::chunks::{finish_chunk, keep_suspects};
use crate::batch::claims::queue_item;
use crate::batch::held::ItemRef;
use crate::batch::windows::{RunningItem, batch_owner_of, owns_any_batch};
use crate::dispatch::{AttemptResult, TargetLease, start_attempt};
use crate::entry::chat::chat_request;
use crate::interfaces::TargetAnswer;
use crate::state::{DaemonState, lock};

/// How often windows are looked at.
const STEP: Duration = Duration::from_millis(20);
/// How often it is looked whether there is work, while there is none.
const IDLE_STEP: Duration = Duration::from_millis(200);
/// Items at once on an engine that this host is not steward of.
const STRANDED_WINDOW: u32 = 1;
/// Waits before an item that no target took is queued again.
const REQUEUE_PAUSE: Duration = Duration::from_millis(100);

/// Fills windows with items, again and again.
pub(crate) async fn run_items(state: Arc<DaemonState>) {
    loop {
        if !state.batch.has_work() {
            // Looking at all engines for nothing is most of what an idle host does.
            let _ = tokio::time::timeout(IDLE_STEP, state.batch.work.notified()).await;
            continue;
        }
        let mut slots = 0;
        for pool in engine_pools(&state) {
            let stranded = is_stranded(&state, &pool);
            for target in &pool.targets {
                slots += fill_window(&state, &pool, target, stranded);
            }
        }
        if lock(&state.batch.waiting).len() < slots as usize {
            state.batch.hungry.notify_one();
        }
        let _ = tokio::time::timeout(STEP, state.batch.work.notified()).await;
    }
}

fn engine_pools(state: &DaemonState) -> Vec<Pool> {
    let in_force = state.configuration.in_force();
    let pools = in_force.configuration.pools.values();
    pools.filter(|pool| pool.kind == PoolKind::Engines).cloned().collect()
}

/// Whether items wait here for a pool none of whose engines this host is steward of, as when the
/// steward changed after they were leased, or a job asks for several models. They would wait for
/// ever; so this host runs them one by one beside the stewards.
fn is_stranded(state: &DaemonState, pool: &Pool) -> bool {
    let waits = lock(&state.batch.waiting).waits_for(&pool.name);
    waits && !owns_any_batch(state, pool)
}

/// Brings an engine's window up to date and starts what fits; returns the window's size.
fn fill_window(state: &Arc<DaemonState>, pool: &Pool, target: &Target, stranded: bool) -> u32 {
    let now = Instant::now();
    let mine = batch_owner_of(state, &target.name).is_some_and(|host| host == state.me.id.address);
    let (online, batch, report, ejected) = {
        let targets = lock(&state.targets);
        let (online, batch) = targets.in_flight(&target.name);
        let report = targets.report(&target.name);
        (online, batch, report, targets.is_ejected(&target.name, now))
    };
    let open = (mine || stranded) && !target.leaving && !ejected && !state.drain.is_cancelled();
    let free = state.batch.with_engine(&target.name, target.slots, |engine| {
        let size = if open { engine.window.update(online, report, batch, now) } else { 0 };
        let size = if mine { size } else { size.min(STRANDED_WINDOW) };
        let running = engine.running.len() as u32;
        // The newest go first: they have the least to lose.
        for extra in engine.running.iter().rev().take(running.saturating_sub(size) as usize) {
            extra.cancel.cancel();
        }
        WindowRoom {
            size,
            free: size.saturating_sub(running),
            is_empty: running == 0,
            is_alone: engine.running.iter().any(|item| item.alone),
        }
    });
    start_items(state, pool, target, &free);
    free.size
}

struct WindowRoom {
    size: u32,
    free: u32,
    is_empty: bool,
    is_alone: bool,
}

fn start_items(state: &Arc<DaemonState>, pool: &Pool, target: &Target, room: &WindowRoom) {
    if room.is_alone || room.free == 0 {
        return;
    }
    if room.is_empty
        && let Some(suspect) = next_suspect(state, &pool.name)
    {
        return start_item(state, pool, target, suspect, true);
    }
    for _ in 0..room.free {
        let Some(item) = next_ready(state, &pool.name) else {
            return;
        };
        start_item(state, pool, target, item, false);
    }
}

fn is_dropped(item: &ItemRef) -> bool {
    item.chunk.dropped.is_cancelled()
}

fn next_suspect(state: &DaemonState, pool: &str) -> Option<ItemRef> {
    let mut waiting = lock(&state.batch.waiting);
    let suspects = waiting.suspects.get_mut(pool)?;
    loop {
        let item = suspects.pop_front()?;
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

fn start_item(state: &Arc<DaemonState>, pool: &Pool, target: &Target, item: ItemRef, alone: bool) {
    let number = state.next_number();
    let cancel = CancellationToken::new();
    let running = RunningItem { number, cancel: cancel.clone(), alone };
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
        settle_item(&state, item, end, alone).await;
        state.batch.work.notify_one();
    });
}

/// How a run of an item ended.
enum ItemEnd {
    /// With an answer of the target.
    Answered(ItemOutcome),
    /// It was taken off the engine to make way, or no target took it.
    Yielded,
    /// No target took it just now.
    NotRun,
    /// The target failed it, or fell silent.
    Failed,
    /// The target died.
    Crashed,
    /// The chunk is no longer this host's.
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
        () = cancel.cancelled() => ItemEnd::Yielded,
        () = item.chunk.dropped.cancelled() => ItemEnd::Dropped,
    }
}

async fn call_target(state: &DaemonState, item: &ItemRef, lease: &TargetLease) -> ItemEnd {
    let body = {
        let items = lock(&item.chunk.items);
        let Some(batch_item) = items[item.slot].item.as_ref() else {
            return ItemEnd::Dropped;
        };
        Bytes::from(batch_item.body.to_string())
    };
    let wait = state.settings.batch.item_timeout();
    let deadline = Instant::now() + wait;
    match start_attempt(state, lease, chat_request(body), wait, deadline).await {
        AttemptResult::Answered(answer) => read_answer(state, lease, answer, deadline).await,
        AttemptResult::Failed(failure) => match failure.stage {
            _ if failure.is_crash => ItemEnd::Crashed,
            FailureStage::NotSent | FailureStage::Refused => ItemEnd::NotRun,
            _ => ItemEnd::Failed,
        },
    }
}

async fn read_answer(
    state: &DaemonState,
    lease: &TargetLease,
    mut answer: TargetAnswer,
    deadline: Instant,
) -> ItemEnd {
    let mut whole = BytesMut::new();
    loop {
        match tokio::time::timeout_at(deadline, answer.body.next()).await {
            Ok(Some(Ok(bytes)))
                if whole.len() + bytes.len() <= state.settings.limits.max_answer_bytes =>
            {
                whole.extend_from_slice(&bytes);
            }
            Ok(Some(Ok(_))) => return ItemEnd::Failed,
            Ok(Some(Err(_))) => {
                lease.note(AttemptEnd::Failed);
                return ItemEnd::Crashed;
            }
            Ok(None) => break,
            Err(_) => {
                lease.note(AttemptEnd::Silent);
                return ItemEnd::Failed;
            }
        }
    }
    match serde_json::from_slice::<Value>(&whole) {
        Ok(body) => {
            ItemEnd::Answered(ItemOutcome::Answered { status: answer.status.as_u16(), body })
        }
        Err(_) => ItemEnd::Failed,
    }
}

async fn settle_item(state: &Arc<DaemonState>, item: ItemRef, end: ItemEnd, alone: bool) {
    match end {
        ItemEnd::Dropped => {}
        ItemEnd::Answered(outcome) => finish_item(state, &item, outcome),
        ItemEnd::Yielded => queue_item(state, item),
        ItemEnd::NotRun => {
            tokio::time::sleep(REQUEUE_PAUSE).await;
            queue_item(state, item);
        }
        ItemEnd::Failed => settle_failure(state, item),
        ItemEnd::Crashed => settle_crash(state, item, alone).await,
    }
}

fn settle_failure(state: &Arc<DaemonState>, item: ItemRef) {
    let failures = {
        let mut items = lock(&item.chunk.items);
        items[item.slot].failures += 1;
        items[item.slot].failures
    };
    if failures < state.settings.batch.item_attempts {
        return queue_item(state, item);
    }
    let message = format!("the item failed {failures} times");
    let refusal = Refusal::not_run(ResultCode::ItemFailed, message).with_execution(Execution::Ran);
    finish_item(state, &item, ItemOutcome::Failed(refusal));
}

/// A target died under an item. Which of its items killed it is not known, so each becomes a suspect
/// that runs alone; one under which targets die while it runs alone ends with an error of its own.
async fn settle_crash(state: &Arc<DaemonState>, item: ItemRef, alone: bool) {
    let crashes = {
        let mut items = lock(&item.chunk.items);
        let held = &mut items[item.slot];
        let crashes = held.crashes.unwrap_or(0) + u32::from(alone);
        held.crashes = Some(crashes);
        crashes
    };
    log::info!(
        job = &*item.chunk.job.id, chunk = item.chunk.index, item = item.slot as u64,
        crashes = crashes, alone = alone;
        "item-crash"
    );
    keep_suspects(state, &item.chunk).await;
    if crashes < state.settings.batch.item_crashes {
        return queue_item(state, item);
    }
    let message = format!("{crashes} targets died while they ran this item alone");
    let refusal = Refusal::not_run(ResultCode::ItemFailed, message).with_execution(Execution::Ran);
    finish_item(state, &item, ItemOutcome::Failed(refusal));
}

/// Ends an item whose model has no route.
pub(crate) fn end_without_route(state: &Arc<DaemonState>, item: &ItemRef, model: &str) {
    let message = format!("no route serves the model {model:?}");
    let refusal = Refusal::not_run(ResultCode::RouteUnknown, message);
    finish_item(state, item, ItemOutcome::Failed(refusal));
}

fn finish_item(state: &Arc<DaemonState>, item: &ItemRef, outcome: ItemOutcome) {
    state.metrics.count_item(outcome.is_success());
    if item.chunk.finish_item(item.slot, outcome) {
        let (state, chunk) = (state.clone(), item.chunk.clone());
        state.tasks.clone().spawn(async move { finish_chunk(&state, &chunk).await });
    }
}
