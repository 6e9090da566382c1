//! Finds open jobs, leases their chunks and closes jobs that are done.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminramp_batch::{
    ChunkLayout, ChunkPlace, JobPicker, LeaseHolder, OpenJob, chunk_key, is_claimable, job_key,
    lease_chunk, open_key, parse_input,
};
use cuminramp_core::{HostId, Name, rendezvous_score};
use cuminramp_platform::{CommitOutcome, StoreError, Transaction};
use cuminramp_routes::RouteQuery;
use cuminramp_wire::rows::{ChunkRow, ChunkState, JobRow, JobState};
use cuminramp_wire::{decode_row, encode_row};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::batch::chunks::{drop_chunk, finish_chunk, give_back};
use crate::batch::held::{HeldChunk, HeldItem, HeldRow, ItemRef, KnownJob};
use crate::batch::jobs::{VersionedChunk, read_chunks};
use crate::batch::layout_name;
use crate::batch::results::write_manifest;
use crate::batch::windows::owns_any_batch;
use crate::entry::files::{file_object, unix_now};
use crate::state::{DaemonState, lock};

/// Claims follow each other no faster, however hungry this host is.
const LEAST_PAUSE: Duration = Duration::from_millis(100);
/// Jobs looked at in one step.
const OPEN_LIMIT: usize = 1_000;
/// Jobs whose chunks are read in one step: with thousands open, reading all would take all that the
/// table gives.
const JOBS_PER_STEP: usize = 8;
/// Chunks of one job leased in one write.
const CLAIMS_PER_JOB: usize = 4;

/// Looks for work, again and again.
pub(crate) async fn run_claims(state: Arc<DaemonState>) {
    let mut known: Vec<Arc<KnownJob>> = Vec::new();
    let mut picker = JobPicker::new();
    loop {
        if let Err(error) = step(&state, &mut known, &mut picker).await {
            log::warn!(reason = error.to_string().as_str(); "claims-wait");
        }
        tokio::time::sleep(LEAST_PAUSE).await;
        let poll = state.settings.batch.poll();
        let _ = tokio::time::timeout(poll, state.batch.hungry.notified()).await;
    }
}

async fn step(
    state: &Arc<DaemonState>,
    known: &mut Vec<Arc<KnownJob>>,
    picker: &mut JobPicker,
) -> Result<(), StoreError> {
    read_open_jobs(state, known).await?;
    state.batch.has_jobs.store(!known.is_empty(), Ordering::Relaxed);
    drop_closed_chunks(state);
    let open: Vec<OpenJob> = known.iter().map(|job| open_job(state, job)).collect();
    let order: Vec<Name> = picker.order(&open).into_iter().map(|job| job.id.clone()).collect();
    for id in order.into_iter().take(JOBS_PER_STEP) {
        let Some(job) = known.iter().find(|job| job.id == id) else {
            continue;
        };
        let room = free_room(state);
        let items = work_on(state, job, room).await?;
        if let Some(open) = open.iter().find(|open| open.id == id) {
            // Looking counts a little, so that jobs without a free chunk don't stand before others.
            picker.note(open, items.max(1));
        }
    }
    Ok(())
}

fn open_job(state: &DaemonState, job: &KnownJob) -> OpenJob {
    let in_force = state.configuration.in_force();
    let weight = in_force.configuration.teams.get(&*job.team).map_or(1, |team| team.weight);
    OpenJob { id: job.id.clone(), team: job.team.clone(), weight }
}

/// How many more chunks this host may hold.
fn free_room(state: &DaemonState) -> usize {
    if state.drain.is_cancelled() || lock(&state.members).is_leaving() {
        return 0;
    }
    let most = state.settings.batch.chunks_per_host;
    most.saturating_sub(lock(&state.batch.held).len())
}

/// Follows the rows that list jobs as open; a job whose row is gone is closed here.
async fn read_open_jobs(
    state: &DaemonState,
    known: &mut Vec<Arc<KnownJob>>,
) -> Result<(), StoreError> {
    let rows = state.platform.table.scan("open/", "", OPEN_LIMIT).await?;
    state.note_table(Instant::now());
    let is_open = |job: &KnownJob| {
        let key = open_key(&job.id);
        rows.iter().any(|row| row.key == key && row.version == job.open_version)
    };
    known.retain(|job| {
        let open = is_open(job);
        if !open {
            job.closed.cancel();
        }
        open
    });
    for row in &rows {
        if known.iter().any(|job| open_key(&job.id) == row.key) {
            continue;
        }
        let Ok(job_row) = decode_row::<JobRow>(&row.value) else {
            continue;
        };
        let Some(layout) = read_layout(state, &job_row.id).await? else {
            continue;
        };
        known.push(Arc::new(KnownJob {
            id: job_row.id.as_str().into(),
            team: job_row.team.as_str().into(),
            row: job_row,
            open_version: row.version,
            layout,
            closed: CancellationToken::new(),
        }));
    }
    Ok(())
}

async fn read_layout(state: &DaemonState, job: &str) -> Result<Option<ChunkLayout>, StoreError> {
    let body = state.platform.objects.get(&layout_name(job)).await?;
    Ok(body.and_then(|body| serde_json::from_slice(&body).ok()))
}

fn drop_closed_chunks(state: &Arc<DaemonState>) {
    let held: Vec<Arc<HeldChunk>> = lock(&state.batch.held).clone();
    for chunk in held.iter().filter(|chunk| chunk.job.closed.is_cancelled()) {
        log::info!(job = &*chunk.job.id, chunk = chunk.index, decision = "stopped"; "chunk");
        drop_chunk(state, chunk);
    }
}

/// Leases up to `room` chunks of a job, or closes it where all are done; returns how many items were
/// taken on.
async fn work_on(
    state: &Arc<DaemonState>,
    job: &Arc<KnownJob>,
    room: usize,
) -> Result<u32, StoreError> {
    let rows = read_chunks(state, &job.id).await?;
    let done = rows.iter().filter(|chunk| chunk.row.state() == ChunkState::Done).count();
    if done == job.layout.chunks.len() {
        close_job(state, job, &rows).await?;
        return Ok(0);
    }
    if !serves_model(state, &job.row.model) {
        return Ok(0);
    }
    let candidates = pick_chunks(state, job, &rows, room.min(CLAIMS_PER_JOB));
    if candidates.is_empty() {
        return Ok(0);
    }
    let leased = lease_all(state, job, candidates).await?;
    let mut items = 0;
    for held in leased {
        let place = job.layout.chunks[held.row.index as usize];
        items += place.items;
        take_on(state, job, held, place).await?;
    }
    state.batch.work.notify_one();
    Ok(items)
}

/// Whether this host is steward of an engine that serves the model.
///
/// A host that is steward of none can run next to nothing: chunks that it leased would wait while
/// engines are idle. A job whose model has no route is taken by anyone, to end with errors.
fn serves_model(state: &DaemonState, model: &str) -> bool {
    let in_force = state.configuration.in_force();
    let configuration = &in_force.configuration;
    let route = in_force.planner.plan(configuration, RouteQuery::Model(model));
    match route.and_then(|route| configuration.pools.get(&*route.pool)) {
        Some(pool) => owns_any_batch(state, pool),
        None => true,
    }
}

/// Chunks that may be leased, in an order of this host's own, so that hosts seldom want the same.
fn pick_chunks(
    state: &DaemonState,
    job: &KnownJob,
    rows: &[VersionedChunk],
    most: usize,
) -> Vec<VersionedChunk> {
    let now = Instant::now();
    let after = state.settings.batch.takeover_after();
    let is_gone = |id: &HostId| lock(&state.members).is_gone(id, after, now);
    let held: Vec<u32> = lock(&state.batch.held)
        .iter()
        .filter(|chunk| chunk.job.id == job.id)
        .map(|chunk| chunk.index)
        .collect();
    let mut free = Vec::new();
    for index in 0..job.layout.chunks.len() as u32 {
        if held.contains(&index) {
            continue;
        }
        let known = rows.iter().find(|chunk| chunk.row.index == index);
        let fresh = || ChunkRow { job: job.id.to_string(), index, ..ChunkRow::default() };
        let row = known.map_or_else(fresh, |chunk| chunk.row.clone());
        // A lease of this very run that it does not hold is one whose write lost its answer.
        let own =
            row.holder == *state.me.id.address && row.holder_incarnation == state.me.id.incarnation;
        let leased = row.state() == ChunkState::Leased;
        if is_claimable(&row, is_gone) || (leased && own) {
            free.push(VersionedChunk { row, version: known.map_or(0, |chunk| chunk.version) });
        }
    }
    let me = &*state.me.id.address;
    free.sort_by_cached_key(|chunk| {
        rendezvous_score(me, &format!("{}/{}", job.id, chunk.row.index))
    });
    free.truncate(most);
    free
}

/// Leases chunks in one write; where another host was faster with some, the others are tried again.
async fn lease_all(
    state: &DaemonState,
    job: &KnownJob,
    mut wanted: Vec<VersionedChunk>,
) -> Result<Vec<HeldRow>, StoreError> {
    while !wanted.is_empty() {
        let mut leased = Vec::new();
        let mut transaction = Transaction::default();
        for chunk in &wanted {
            let Ok(next) = lease_chunk(&chunk.row, &state.me.id) else {
                continue;
            };
            let key = chunk_key(&job.id, next.index);
            transaction = transaction.put_at(key, chunk.version, encode_row(&next));
            leased.push(next);
        }
        match state.platform.table.commit(transaction).await? {
            CommitOutcome::Committed(version) => {
                return Ok(leased.into_iter().map(|row| HeldRow { row, version }).collect());
            }
            CommitOutcome::Conflict(keys) => {
                wanted.retain(|chunk| !keys.contains(&chunk_key(&job.id, chunk.row.index)));
            }
        }
    }
    Ok(Vec::new())
}

/// Reads a leased chunk's items and queues them.
async fn take_on(
    state: &Arc<DaemonState>,
    job: &Arc<KnownJob>,
    held: HeldRow,
    place: ChunkPlace,
) -> Result<(), StoreError> {
    let object = file_object(&job.team, &job.row.input_file);
    let part = state.platform.objects.get_range(&object, place.start, place.end).await?;
    let Some(part) = part else {
        return Err(StoreError::Unavailable(format!("{object} is missing")));
    };
    let text = String::from_utf8_lossy(&part);
    let mut items: Vec<HeldItem> =
        parse_input(&text, place.first_line as usize).into_iter().map(held_item).collect();
    for suspect in &held.row.suspects {
        if let Some(item) = items.get_mut(suspect.index as usize) {
            item.crashes = Some(suspect.crashes);
        }
    }
    let chunk = Arc::new(HeldChunk {
        job: job.clone(),
        index: held.row.index,
        lease: LeaseHolder { host: state.me.id.clone(), fence: held.row.fence },
        items: std::sync::Mutex::new(items),
        row: tokio::sync::Mutex::new(held),
        dropped: job.closed.child_token(),
    });
    log::info!(
        job = &*job.id, team = &*job.team, chunk = chunk.index, fence = chunk.lease.fence,
        items = place.items, decision = "leased";
        "chunk"
    );
    lock(&state.batch.held).push(chunk.clone());
    queue_chunk(state, &chunk);
    Ok(())
}

fn held_item(parsed: Result<cuminramp_batch::BatchItem, cuminramp_batch::ItemError>) -> HeldItem {
    match parsed {
        Ok(item) => HeldItem {
            custom_id: item.custom_id.clone(),
            item: Some(item),
            outcome: None,
            failures: 0,
            crashes: None,
        },
        Err(fault) => HeldItem {
            custom_id: fault.custom_id,
            item: None,
            outcome: Some(cuminramp_batch::ItemOutcome::Failed(fault.refusal)),
            failures: 0,
            crashes: None,
        },
    }
}

/// Queues a chunk's open items; one without any is finished at once.
fn queue_chunk(state: &Arc<DaemonState>, chunk: &Arc<HeldChunk>) {
    let open = chunk.open_slots();
    if open.is_empty() {
        let (state, chunk) = (state.clone(), chunk.clone());
        state.tasks.clone().spawn(async move { finish_chunk(&state, &chunk).await });
        return;
    }
    for slot in open {
        queue_item(state, ItemRef { chunk: chunk.clone(), slot });
    }
}

/// Queues an item at the pool of its model; one whose model has no route ends with an error.
pub(crate) fn queue_item(state: &Arc<DaemonState>, item: ItemRef) {
    let in_force = state.configuration.in_force();
    let (model, is_suspect) = {
        let items = lock(&item.chunk.items);
        let held = &items[item.slot];
        let model = held.item.as_ref().map(|item| item.model.clone()).unwrap_or_default();
        (model, held.crashes.is_some())
    };
    let route = in_force.planner.plan(&in_force.configuration, RouteQuery::Model(&model));
    let Some(pool) = route.map(|route| route.pool.clone()) else {
        return crate::batch::runner::end_without_route(state, &item, &model);
    };
    let team = item.chunk.job.team.clone();
    let weight = in_force.configuration.teams.get(&*team).map_or(1, |team| team.weight);
    let mut waiting = lock(&state.batch.waiting);
    if is_suspect {
        waiting.suspects.get_or_insert_with(pool, Default::default).push_back(item);
    } else {
        waiting.ready.get_or_insert_with(pool, Default::default).push(&team, weight, 1, item);
    }
}

/// Closes a job whose chunks are all done: its results are listed first, then its row says so.
async fn close_job(
    state: &DaemonState,
    job: &KnownJob,
    chunks: &[VersionedChunk],
) -> Result<(), StoreError> {
    write_manifest(state, &job.row).await?;
    let rows = state.platform.table.read(&[job_key(&job.id)]).await?;
    let Some(found) = rows.into_iter().next().flatten() else {
        return Ok(());
    };
    let Ok(row) = decode_row::<JobRow>(&found.value) else {
        return Ok(());
    };
    if row.state() != JobState::Running {
        return Ok(());
    }
    let next = JobRow {
        state: JobState::Completed.into(),
        finished_unix: unix_now(),
        completed: chunks.iter().map(|chunk| chunk.row.completed).sum(),
        failed: chunks.iter().map(|chunk| chunk.row.failed).sum(),
        ..row
    };
    let mut transaction =
        Transaction::default().put_at(job_key(&job.id), found.version, encode_row(&next));
    transaction.deletes.push(open_key(&job.id));
    if let CommitOutcome::Committed(_) = state.platform.table.commit(transaction).await? {
        log::info!(
            job = &*job.id, completed = next.completed, failed = next.failed,
            decision = "completed";
            "job"
        );
    }
    Ok(())
}

/// Gives all chunks back, as a host that leaves does.
pub(crate) async fn release_chunks(state: &Arc<DaemonState>) {
    let held: Vec<Arc<HeldChunk>> = lock(&state.batch.held).clone();
    for chunk in held {
        give_back(state, &chunk).await;
    }
}
