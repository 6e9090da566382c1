//! Reads the open jobs and completes those whose chunks are all done.

use std::sync::Arc;

use cuminramp_batch::{ChunkLayout, job_key, open_job_key};
use cuminramp_platform::{CommitOutcome, Row, StoreError, Transaction};
use cuminramp_wire::rows::{JobRow, JobState};
use cuminramp_wire::{decode_row, encode_row};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::batch::jobs::VersionedChunk;
use crate::batch::layout_name;
use crate::batch::leased::TrackedJob;
use crate::batch::results::write_manifest;
use crate::entry::files::unix_now;
use crate::state::DaemonState;

/// Maximum number of open jobs that are listed in one claim round.
const MAX_OPEN_JOBS: usize = 1_000;

/// Updates the tracked jobs from the rows that list jobs as open. A job whose row was deleted or
/// rewritten is no longer tracked, and its `closed` token is cancelled.
pub(super) async fn read_open_jobs(
    state: &DaemonState,
    tracked: &mut Vec<Arc<TrackedJob>>,
) -> Result<(), StoreError> {
    let rows = state.platform.table.scan("open/", "", MAX_OPEN_JOBS).await?;
    state.record_table_contact(Instant::now());
    tracked.retain(|job| {
        let key = open_job_key(&job.id);
        let is_open = rows.iter().any(|row| row.key == key && row.version == job.open_version);
        if !is_open {
            job.closed.cancel();
        }
        is_open
    });
    for row in &rows {
        if tracked.iter().any(|job| open_job_key(&job.id) == row.key) {
            continue;
        }
        if let Some(job) = read_job(state, row).await? {
            tracked.push(Arc::new(job));
        }
    }
    Ok(())
}

/// Returns the job that a row lists as open; `None` if its row or layout can't be decoded.
async fn read_job(state: &DaemonState, open_row: &Row) -> Result<Option<TrackedJob>, StoreError> {
    let Ok(row) = decode_row::<JobRow>(&open_row.value) else { return Ok(None) };
    let Some(layout) = read_layout(state, &row.id).await? else { return Ok(None) };
    Ok(Some(TrackedJob {
        id: row.id.as_str().into(),
        team: row.team.as_str().into(),
        row,
        open_version: open_row.version,
        layout,
        closed: CancellationToken::new(),
    }))
}

async fn read_layout(state: &DaemonState, job: &str) -> Result<Option<ChunkLayout>, StoreError> {
    let body = state.platform.objects.get(&layout_name(job)).await?;
    Ok(body.and_then(|body| serde_json::from_slice(&body).ok()))
}

/// Completes a job whose chunks are all done. Returns its new row, or `None` if the job is not running or
/// another host has changed its row meanwhile.
///
/// The manifest is written before the row, so that the results of a completed job can always be read.
pub(super) async fn complete_job(
    state: &DaemonState,
    job: &TrackedJob,
    chunks: &[VersionedChunk],
) -> Result<Option<JobRow>, StoreError> {
    write_manifest(state, &job.row).await?;
    let rows = state.platform.table.read(&[job_key(&job.id)]).await?;
    let Some(found) = rows.into_iter().next().flatten() else {
        return Ok(None);
    };
    let Ok(row) = decode_row::<JobRow>(&found.value) else {
        return Ok(None);
    };
    if row.state() != JobState::Running {
        return Ok(None);
    }
    let completed = JobRow {
        state: JobState::Completed.into(),
        finished_unix: unix_now(),
        completed: chunks.iter().map(|chunk| chunk.row.completed).sum(),
        failed: chunks.iter().map(|chunk| chunk.row.failed).sum(),
        ..row
    };
    let update = encode_row(&completed);
    let mut transaction =
        Transaction::default().put_if_version(job_key(&job.id), found.version, update);
    transaction.deletes.push(open_job_key(&job.id));
    let outcome = state.platform.table.commit(transaction).await?;
    Ok(matches!(outcome, CommitOutcome::Committed(_)).then_some(completed))
}
