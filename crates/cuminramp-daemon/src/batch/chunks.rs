//! Writes what becomes of a chunk.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_batch::{chunk_key, commit_chunk, open_key, record_crashes, release_chunk};
use cuminramp_platform::{CommitOutcome, StoreError, Transaction};
use cuminramp_wire::rows::{ChunkRow, ChunkState};
use cuminramp_wire::{decode_row, encode_row};

use crate::batch::held::{HeldChunk, HeldRow};
use crate::batch::results::{segment_name, segment_object};
use crate::state::{DaemonState, lock};

/// Waits between tries while the platform is away.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// What became of a step of a chunk's row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StepEnd {
    /// It is written.
    Written,
    /// The lease is another's, or the job is open no more.
    Lost,
    /// The platform did not take it; it may be tried again.
    Again,
}

/// Writes the results of a chunk whose items all have an outcome, and commits them.
///
/// The results are objects under the fencing number; the commit makes them the chunk's results. While
/// the platform is away it is tried again and again: the items are not run again for that.
pub(crate) async fn finish_chunk(state: &Arc<DaemonState>, chunk: &Arc<HeldChunk>) {
    let segment = segment_name(&chunk.job.id, chunk.index, chunk.lease.fence);
    let tally = chunk.tally();
    while !chunk.dropped.is_cancelled() {
        if write_segment(state, chunk, &segment).await.is_err() {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        let step = |row: &ChunkRow| commit_chunk(row, &chunk.lease, &segment, tally).ok();
        match write_step(state, chunk, step).await {
            StepEnd::Again => tokio::time::sleep(RETRY_PAUSE).await,
            end => {
                let decision = if end == StepEnd::Written { "committed" } else { "lost" };
                log::info!(
                    job = &*chunk.job.id, chunk = chunk.index, fence = chunk.lease.fence,
                    completed = tally.completed, failed = tally.failed, decision = decision;
                    "chunk"
                );
                break;
            }
        }
    }
    drop_chunk(state, chunk);
}

async fn write_segment(
    state: &DaemonState,
    chunk: &HeldChunk,
    segment: &str,
) -> Result<(), StoreError> {
    for success in [true, false] {
        let lines = chunk.lines(success);
        if !lines.is_empty() {
            let object = segment_object(segment, success);
            state.platform.objects.put(&object, lines.into()).await?;
        }
    }
    Ok(())
}

/// Keeps the crashes under items in the row, before any of them runs again.
pub(crate) async fn keep_suspects(state: &Arc<DaemonState>, chunk: &Arc<HeldChunk>) {
    while !chunk.dropped.is_cancelled() {
        let suspects = chunk.suspects();
        let step = |row: &ChunkRow| record_crashes(row, &chunk.lease, &suspects).ok();
        match write_step(state, chunk, step).await {
            StepEnd::Written => return,
            StepEnd::Lost => return drop_chunk(state, chunk),
            StepEnd::Again => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Gives a chunk back undone.
pub(crate) async fn give_back(state: &Arc<DaemonState>, chunk: &Arc<HeldChunk>) {
    drop_chunk(state, chunk);
    let step = |row: &ChunkRow| release_chunk(row, &chunk.lease).ok();
    let end = write_step(state, chunk, step).await;
    log::info!(
        job = &*chunk.job.id, chunk = chunk.index, written = end == StepEnd::Written,
        decision = "given-back";
        "chunk"
    );
}

/// Stops work on a chunk.
pub(crate) fn drop_chunk(state: &DaemonState, chunk: &Arc<HeldChunk>) {
    chunk.dropped.cancel();
    lock(&state.batch.held).retain(|held| !Arc::ptr_eq(held, chunk));
    state.batch.hungry.notify_one();
}

/// Writes one step of a chunk's row, on the condition that the row is as this host knows it and the
/// job is still open. A lost answer is settled by reading the row.
async fn write_step(
    state: &DaemonState,
    chunk: &HeldChunk,
    step: impl Fn(&ChunkRow) -> Option<ChunkRow>,
) -> StepEnd {
    let key = chunk_key(&chunk.job.id, chunk.index);
    let mut held = chunk.row.lock().await;
    let Some(next) = step(&held.row) else {
        return StepEnd::Lost;
    };
    let mut transaction =
        Transaction::default().put_at(key.clone(), held.version, encode_row(&next));
    transaction.conditions.push(cuminramp_platform::Condition {
        key: open_key(&chunk.job.id),
        version: chunk.job.open_version,
    });
    match state.platform.table.commit(transaction).await {
        Ok(CommitOutcome::Committed(version)) => {
            *held = HeldRow { row: next, version };
            StepEnd::Written
        }
        Ok(CommitOutcome::Conflict(_)) => reread_row(state, &key, &mut held, &next, true).await,
        Err(StoreError::Unavailable(_)) => StepEnd::Again,
        Err(StoreError::Unknown(_)) => reread_row(state, &key, &mut held, &next, false).await,
    }
}

/// Finds out where the row stands. After a conflict it is written by this host (an earlier try whose
/// answer was lost) or the step is lost for good.
async fn reread_row(
    state: &DaemonState,
    key: &str,
    held: &mut HeldRow,
    wanted: &ChunkRow,
    conflicted: bool,
) -> StepEnd {
    let Ok(rows) = state.platform.table.read(&[key.to_owned()]).await else {
        return StepEnd::Again;
    };
    let Some(found) = rows.into_iter().next().flatten() else {
        return StepEnd::Lost;
    };
    let Ok(row) = decode_row::<ChunkRow>(&found.value) else {
        return StepEnd::Lost;
    };
    if row == *wanted {
        *held = HeldRow { row, version: found.version };
        return StepEnd::Written;
    }
    if conflicted || row.fence != wanted.fence || row.state() == ChunkState::Done {
        return StepEnd::Lost;
    }
    StepEnd::Again
}
