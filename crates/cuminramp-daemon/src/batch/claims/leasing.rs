//! Selects chunks that this host may lease, and leases them.

use cuminramp_batch::{chunk_key, is_claimable, lease_chunk};
use cuminramp_core::{HostId, rendezvous_score};
use cuminramp_platform::{CommitOutcome, StoreError, Transaction};
use cuminramp_routes::RouteQuery;
use cuminramp_wire::encode_row;
use cuminramp_wire::rows::{ChunkRow, ChunkState, JobRow};
use tokio::time::Instant;

use crate::batch::jobs::VersionedChunk;
use crate::batch::leased::{LeasedRow, TrackedJob};
use crate::batch::windows::owns_any_batch;
use crate::state::{DaemonState, lock};

/// Returns whether the configuration on this host is at least as new as the one that the job was accepted
/// with.
///
/// With an older one, as on a host that has just started, items would end with errors, because the host lacks
/// the route of their model.
pub(super) fn knows_routes_of(state: &DaemonState, job: &JobRow) -> bool {
    // Rows of earlier versions name no generation; no job is accepted before the first one.
    state.configuration.generation() >= job.generation.max(1)
}

/// Returns whether this host may lease chunks of jobs for a model, which it may if it is the batch owner of
/// an engine that serves the model.
///
/// A host that is batch owner of no such engine can run almost none of the items: they would wait here
/// while engines of other hosts are idle. A job whose model has no route may be leased by any host, so
/// that its items end with errors.
pub(super) fn may_lease_for(state: &DaemonState, model: &str) -> bool {
    let in_force = state.configuration.in_force();
    let configuration = &in_force.configuration;
    let route = in_force.index.find(configuration, RouteQuery::Model(model));
    match route.and_then(|route| configuration.pools.get(&*route.pool)) {
        Some(pool) => owns_any_batch(state, pool),
        None => true,
    }
}

/// Returns up to `max_chunks` chunks that may be leased. Each host tries chunks in a different order, so
/// that hosts rarely try to lease the same chunk.
pub(super) fn select_chunks(
    state: &DaemonState,
    job: &TrackedJob,
    rows: &[VersionedChunk],
    max_chunks: usize,
) -> Vec<VersionedChunk> {
    let mut chunks = claimable_chunks(state, job, rows);
    let me = &*state.me.id.address;
    chunks.sort_by_cached_key(|chunk| {
        rendezvous_score(me, &format!("{}/{}", job.id, chunk.row.index))
    });
    chunks.truncate(max_chunks);
    chunks
}

/// Returns the job's chunks that may be leased: free ones, those whose holder is dead, and those that this host
/// leased without learning of it. A chunk that was never leased has no row yet, which counts as version 0.
fn claimable_chunks(
    state: &DaemonState,
    job: &TrackedJob,
    rows: &[VersionedChunk],
) -> Vec<VersionedChunk> {
    let now = Instant::now();
    let takeover_delay = state.settings.batch.takeover_delay();
    let is_dead = |id: &HostId| lock(&state.members).is_dead_for(id, takeover_delay, now);
    let leased_here: Vec<u32> = lock(&state.batch.leased)
        .iter()
        .filter(|chunk| chunk.job.id == job.id)
        .map(|chunk| chunk.index)
        .collect();
    let mut claimable = Vec::new();
    for index in 0..job.layout.chunks.len() as u32 {
        if leased_here.contains(&index) {
            continue;
        }
        let existing = rows.iter().find(|chunk| chunk.row.index == index);
        let new_row = || ChunkRow { job: job.id.to_string(), index, ..ChunkRow::default() };
        let row = existing.map_or_else(new_row, |chunk| chunk.row.clone());
        if is_claimable(&row, is_dead) || is_leased_by(&row, &state.me.id) {
            let version = existing.map_or(0, |chunk| chunk.version);
            claimable.push(VersionedChunk { row, version });
        }
    }
    claimable
}

/// Returns whether a chunk's row names a host as holder of the lease. The row may name this host although
/// `BatchState::leased` lacks the chunk: the lease was written, but the response to the write was lost.
fn is_leased_by(row: &ChunkRow, host: &HostId) -> bool {
    let is_holder = row.holder == *host.address && row.holder_incarnation == host.incarnation;
    row.state() == ChunkState::Leased && is_holder
}

/// Leases chunks in one write. After a conflict, the chunks that another host has leased meanwhile are
/// left out and the others are tried again.
pub(super) async fn lease_chunks(
    state: &DaemonState,
    job: &TrackedJob,
    mut candidates: Vec<VersionedChunk>,
) -> Result<Vec<LeasedRow>, StoreError> {
    while !candidates.is_empty() {
        let mut leased = Vec::new();
        let mut transaction = Transaction::default();
        for chunk in &candidates {
            let Ok(next) = lease_chunk(&chunk.row, &state.me.id) else {
                continue;
            };
            let key = chunk_key(&job.id, next.index);
            transaction = transaction.put_if_version(key, chunk.version, encode_row(&next));
            leased.push(next);
        }
        match state.platform.table.commit(transaction).await? {
            CommitOutcome::Committed(version) => {
                return Ok(leased.into_iter().map(|row| LeasedRow { row, version }).collect());
            }
            CommitOutcome::Conflict(keys) => {
                candidates.retain(|chunk| !keys.contains(&chunk_key(&job.id, chunk.row.index)));
            }
        }
    }
    Ok(Vec::new())
}
