//! Updates the rows of leased chunks: commits, crash counts and releases.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_batch::{chunk_key, commit_chunk, open_job_key, record_crashes, release_chunk};
use cuminramp_platform::{CommitOutcome, StoreError, Transaction};
use cuminramp_wire::rows::{ChunkRow, ChunkState};
use cuminramp_wire::{decode_row, encode_row};

use crate::batch::leased::{LeasedChunk, LeasedRow};
use crate::batch::results::{segment_name, segment_object};
use crate::state::{DaemonState, lock};

/// Delay between attempts while the platform is unavailable.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Result of an update of a chunk's row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum UpdateOutcome {
    /// The update is written.
    Written,
    /// Another host holds the lease, or the job is no longer open.
    Lost,
    /// The platform did not apply the update, or the outcome is unknown; the update may be retried.
    Retry,
}

/// Writes the results of a chunk whose items all have an outcome, and commits them.
///
/// The names of the result objects contain the lease's fencing number; the commit makes these objects
/// the chunk's results. While the platform is unavailable, only the writes are retried: the items are
/// not run again.
pub(crate) async fn finish_chunk(state: &Arc<DaemonState>, chunk: &Arc<LeasedChunk>) {
    let segment = segment_name(&chunk.job.id, chunk.index, chunk.lease.fence);
    let counts = chunk.counts();
    while !chunk.dropped.is_cancelled() {
        if write_segment(state, chunk, &segment).await.is_err() {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        let commit = |row: &ChunkRow| commit_chunk(row, &chunk.lease, &segment, counts).ok();
        match update_row(state, chunk, commit).await {
            UpdateOutcome::Retry => tokio::time::sleep(RETRY_DELAY).await,
            end => {
                let decision = if end == UpdateOutcome::Written { "committed" } else { "lost" };
                log::info!(
                    job = &*chunk.job.id, chunk = chunk.index, fence = chunk.lease.fence,
                    completed = counts.completed, failed = counts.failed, decision = decision;
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
    chunk: &LeasedChunk,
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

/// Writes the crash counts of items to the chunk's row, before any of these items runs again.
///
/// Without the counts, the chunk's next holder would not run these items alone and would count their
/// crashes from 0 again.
pub(crate) async fn write_crash_counts(state: &Arc<DaemonState>, chunk: &Arc<LeasedChunk>) {
    while !chunk.dropped.is_cancelled() {
        let crash_counts = chunk.crash_counts();
        let record = |row: &ChunkRow| record_crashes(row, &chunk.lease, &crash_counts).ok();
        match update_row(state, chunk, record).await {
            UpdateOutcome::Written => return,
            UpdateOutcome::Lost => return drop_chunk(state, chunk),
            UpdateOutcome::Retry => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Stops work on an unfinished chunk and releases its lease, so that another host can lease it at once.
pub(crate) async fn release_leased_chunk(state: &Arc<DaemonState>, chunk: &Arc<LeasedChunk>) {
    drop_chunk(state, chunk);
    let release = |row: &ChunkRow| release_chunk(row, &chunk.lease).ok();
    let end = update_row(state, chunk, release).await;
    log::info!(
        job = &*chunk.job.id, chunk = chunk.index, written = end == UpdateOutcome::Written,
        decision = "given-back";
        "chunk"
    );
}

/// Stops work on a chunk. Its row stays as it is.
pub(crate) fn drop_chunk(state: &DaemonState, chunk: &Arc<LeasedChunk>) {
    chunk.dropped.cancel();
    lock(&state.batch.leased).retain(|leased| !Arc::ptr_eq(leased, chunk));
    state.batch.claim_wakeup.notify_one();
}

/// Applies `transition` to a chunk's row and writes the result, on the condition that the row is
/// unchanged since this host last wrote or read it and that the job is still open.
///
/// After a conflict or an unknown outcome, the row is read back.
async fn update_row(
    state: &DaemonState,
    chunk: &LeasedChunk,
    transition: impl Fn(&ChunkRow) -> Option<ChunkRow>,
) -> UpdateOutcome {
    let key = chunk_key(&chunk.job.id, chunk.index);
    let mut leased = chunk.row.lock().await;
    let Some(next) = transition(&leased.row) else {
        return UpdateOutcome::Lost;
    };
    let mut transaction =
        Transaction::default().put_if_version(key.clone(), leased.version, encode_row(&next));
    transaction.conditions.push(cuminramp_platform::Condition {
        key: open_job_key(&chunk.job.id),
        version: chunk.job.open_version,
    });
    match state.platform.table.commit(transaction).await {
        Ok(CommitOutcome::Committed(version)) => {
            *leased = LeasedRow { row: next, version };
            UpdateOutcome::Written
        }
        Ok(CommitOutcome::Conflict(_)) => {
            read_back_row(state, &key, &mut leased, &next, true).await
        }
        Err(StoreError::Unavailable(_)) => UpdateOutcome::Retry,
        Err(StoreError::Unknown(_)) => read_back_row(state, &key, &mut leased, &next, false).await,
    }
}

/// Reads the row back and returns what became of the update that should have written `expected`.
///
/// After a conflict, either an earlier attempt of this host whose answer was lost wrote the row, or the
/// update can no longer succeed. After an unknown outcome, it may be retried under the same lease.
async fn read_back_row(
    state: &DaemonState,
    key: &str,
    leased: &mut LeasedRow,
    expected: &ChunkRow,
    conflicted: bool,
) -> UpdateOutcome {
    let Ok(rows) = state.platform.table.read(&[key.to_owned()]).await else {
        return UpdateOutcome::Retry;
    };
    let Some(found) = rows.into_iter().next().flatten() else {
        return UpdateOutcome::Lost;
    };
    let Ok(row) = decode_row::<ChunkRow>(&found.value) else {
        return UpdateOutcome::Lost;
    };
    if row == *expected {
        *leased = LeasedRow { row, version: found.version };
        return UpdateOutcome::Written;
    }
    if conflicted || row.fence != expected.fence || row.state() == ChunkState::Done {
        return UpdateOutcome::Lost;
    }
    UpdateOutcome::Retry
}
