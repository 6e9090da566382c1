//! Finds open jobs, leases their chunks and closes jobs whose chunks are all done.
//!
//! - `open_jobs` reads the open jobs and completes those whose chunks are all done;
//! - `leasing` selects chunks that this host may lease, and leases them;
//! - `items` reads the items of leased chunks and queues them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminramp_batch::{JobPicker, OpenJob};
use cuminramp_core::Name;
use cuminramp_platform::StoreError;
use cuminramp_wire::rows::ChunkState;

use self::items::{load_chunk, queue_chunk};
use self::leasing::{knows_routes_of, lease_chunks, may_lease_for, select_chunks};
use self::open_jobs::{complete_job, read_open_jobs};
use crate::batch::chunks::{drop_chunk, release_leased_chunk};
use crate::batch::jobs::{VersionedChunk, read_chunks};
use crate::batch::leased::{LeasedChunk, TrackedJob};
use crate::state::{DaemonState, lock};

mod items;
mod leasing;
mod open_jobs;

pub(crate) use self::items::queue_item;

/// Minimum delay between two claim rounds, however often the runner asks for more items.
const MIN_CLAIM_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of jobs whose chunks are read in one claim round. With thousands of open jobs,
/// reading the chunks of all of them would use up the table's read capacity.
const MAX_JOBS_PER_ROUND: usize = 8;
/// Maximum number of chunks of one job that are leased in one write.
const MAX_CLAIMS_PER_JOB: usize = 4;

/// Runs claim rounds, each after the poll interval or when the runner has too few items, until the
/// task is stopped.
pub(crate) async fn run_claims(state: Arc<DaemonState>) {
    let mut tracked: Vec<Arc<TrackedJob>> = Vec::new();
    let mut picker = JobPicker::new();
    loop {
        if let Err(error) = claim_round(&state, &mut tracked, &mut picker).await {
            log::warn!(reason = error.to_string().as_str(); "claims-wait");
        }
        tokio::time::sleep(MIN_CLAIM_INTERVAL).await;
        let interval = state.settings.batch.poll_interval();
        let _ = tokio::time::timeout(interval, state.batch.claim_wakeup.notified()).await;
    }
}

/// Updates the list of open jobs, stops work on closed jobs and leases chunks of the jobs whose turn it
/// is.
async fn claim_round(
    state: &Arc<DaemonState>,
    tracked: &mut Vec<Arc<TrackedJob>>,
    picker: &mut JobPicker,
) -> Result<(), StoreError> {
    read_open_jobs(state, tracked).await?;
    state.batch.has_open_jobs.store(!tracked.is_empty(), Ordering::Relaxed);
    drop_closed_chunks(state);
    let open_jobs: Vec<OpenJob> = tracked.iter().map(|job| open_job(state, job)).collect();
    let order: Vec<Name> = picker.order(&open_jobs).into_iter().map(|job| job.id.clone()).collect();
    for id in order.into_iter().take(MAX_JOBS_PER_ROUND) {
        let Some(job) = tracked.iter().find(|job| job.id == id) else {
            continue;
        };
        let max_chunks = remaining_chunk_capacity(state);
        let items = claim_from_job(state, job, max_chunks).await?;
        if let Some(open_job) = open_jobs.iter().find(|open_job| open_job.id == id) {
            // A job without a free chunk counts as one item, so that it doesn't stay ahead of others.
            picker.record_claimed(open_job, items.max(1));
        }
    }
    Ok(())
}

fn open_job(state: &DaemonState, job: &TrackedJob) -> OpenJob {
    let in_force = state.configuration.in_force();
    let weight = in_force.configuration.teams.get(&*job.team).map_or(1, |team| team.weight);
    OpenJob { id: job.id.clone(), team: job.team.clone(), weight }
}

/// Returns how many more chunks this host may lease; none while it is draining or leaving.
fn remaining_chunk_capacity(state: &DaemonState) -> usize {
    if state.drain.is_cancelled() || lock(&state.members).is_leaving() {
        return 0;
    }
    let max_chunks = state.settings.batch.chunks_per_host;
    max_chunks.saturating_sub(lock(&state.batch.leased).len())
}

/// Drops the leased chunks of jobs that are no longer open.
fn drop_closed_chunks(state: &Arc<DaemonState>) {
    let leased: Vec<Arc<LeasedChunk>> = lock(&state.batch.leased).clone();
    for chunk in leased.iter().filter(|chunk| chunk.job.closed.is_cancelled()) {
        log::info!(job = &*chunk.job.id, chunk = chunk.index, decision = "stopped"; "chunk");
        drop_chunk(state, chunk);
    }
}

/// Leases up to `max_chunks` chunks of a job and queues their items, or closes the job if all its chunks
/// are done. Returns the number of items that the leased chunks have.
async fn claim_from_job(
    state: &Arc<DaemonState>,
    job: &Arc<TrackedJob>,
    max_chunks: usize,
) -> Result<u32, StoreError> {
    let rows = read_chunks(state, &job.id).await?;
    let done = rows.iter().filter(|chunk| chunk.row.state() == ChunkState::Done).count();
    if done == job.layout.chunks.len() {
        close_job(state, job, &rows).await?;
        return Ok(0);
    }
    if !knows_routes_of(state, &job.row) || !may_lease_for(state, &job.row.model) {
        return Ok(0);
    }
    let candidates = select_chunks(state, job, &rows, max_chunks.min(MAX_CLAIMS_PER_JOB));
    if candidates.is_empty() {
        return Ok(0);
    }
    let leased = lease_chunks(state, job, candidates).await?;
    let mut items = 0;
    for row in leased {
        let range = job.layout.chunks[row.row.index as usize];
        items += range.items;
        let chunk = load_chunk(state, job, row, range).await?;
        add_chunk(state, chunk, range.items);
    }
    state.batch.runner_wakeup.notify_one();
    Ok(items)
}

/// Adds a leased chunk with this number of items to those of this host, and queues its items.
fn add_chunk(state: &Arc<DaemonState>, chunk: Arc<LeasedChunk>, items: u32) {
    let job = &chunk.job;
    log::info!(
        job = &*job.id, team = &*job.team, chunk = chunk.index, fence = chunk.lease.fence,
        items = items, decision = "leased";
        "chunk"
    );
    lock(&state.batch.leased).push(chunk.clone());
    queue_chunk(state, &chunk);
}

/// Completes a job whose chunks are all done, so that it is no longer open.
async fn close_job(
    state: &DaemonState,
    job: &TrackedJob,
    chunks: &[VersionedChunk],
) -> Result<(), StoreError> {
    if let Some(row) = complete_job(state, job, chunks).await? {
        log::info!(
            job = &*job.id, completed = row.completed, failed = row.failed,
            decision = "completed";
            "job"
        );
    }
    Ok(())
}

/// Releases all leased chunks when this host leaves, so that other hosts can lease them at once.
pub(crate) async fn release_chunks(state: &Arc<DaemonState>) {
    let leased: Vec<Arc<LeasedChunk>> = lock(&state.batch.leased).clone();
    for chunk in leased {
        release_leased_chunk(state, &chunk).await;
    }
}
