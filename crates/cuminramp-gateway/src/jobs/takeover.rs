//! Takes over jobs whose holder is lost or has handed them over.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{HostId, Name, rank_by_score};
use cuminramp_fleet::{ItemProgress, ItemSpec, SoftwareVersion};
use cuminramp_platform::{CommitOutcome, StoreError, Transaction};
use cuminramp_wire::fleet::{JobInput, JobRow, ProgressRow, ResultRow};
use cuminramp_wire::{decode_row, encode_row};
use tokio::time::Instant;

use super::accept::{held_count, job_spec};
use super::directory::KnownJob;
use super::input::read_input;
use super::names::{job_key, progress_prefix, results_prefix};
use super::writer::hold_job;
use crate::state::{GatewayState, lock};

/// Interval between two scans for orphaned jobs.
const SCAN_INTERVAL: Duration = Duration::from_millis(400);
/// Delay after the host's start before the first scan. Until heartbeats of other hosts arrive, all their jobs
/// would appear orphaned.
const STARTUP_DELAY: Duration = Duration::from_millis(1_200);
/// Maximum number of result rows, and of progress rows, that are read of a job.
const MAX_ROWS: usize = 500;

/// Scans for orphaned jobs and takes them over until the host drains.
pub(crate) async fn take_over_jobs(state: Arc<GatewayState>) {
    let mut last_orphans = OrphanCounts::default();
    loop {
        tokio::select! {
            () = tokio::time::sleep(SCAN_INTERVAL) => {}
            () = state.drain.cancelled() => return,
        }
        if state.started_at.elapsed() < STARTUP_DELAY {
            continue;
        }
        let open = state.directory.open_jobs();
        log_orphans(&state, &open, &mut last_orphans);
        for listed in open {
            if state.drain.is_cancelled() {
                return;
            }
            // Loading the jobs before this one may have taken seconds, in which this one may have ended.
            let known = state.directory.get(&listed.row.id).filter(KnownJob::is_open);
            let Some(known) = known else { continue };
            if let Err(error) = take_over_if_orphaned(&state, known.clone()).await {
                state.metrics.count_store_failure("take-over");
                let reason = error.to_string();
                log::warn!(
                    job = known.row.id.as_str(), row_version = known.version,
                    reason = reason.as_str();
                    "job-not-taken-over"
                );
                break;
            }
        }
    }
}

/// Numbers of open jobs without a live holder, by whether this host is to take them over.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct OrphanCounts {
    orphaned: usize,
    taken_by_this_host: usize,
}

/// Logs how many open jobs have no live holder, and whether this host takes them over, when that changes.
fn log_orphans(state: &GatewayState, open: &[KnownJob], last: &mut OrphanCounts) {
    let now = Instant::now();
    let mut counts = OrphanCounts::default();
    for known in open {
        let holder = holder_of(&known.row);
        let is_orphaned =
            known.row.holder_address.is_empty() || lock(&state.peers).is_lost(&holder, now);
        if is_orphaned && holder != state.id() {
            counts.orphaned += 1;
            let is_own = should_take_over(state, &known.row, &holder);
            counts.taken_by_this_host += usize::from(is_own);
        }
    }
    if counts == std::mem::replace(last, counts) {
        return;
    }
    let (alive_hosts, known_hosts) = lock(&state.peers).count_alive(now);
    log::info!(
        jobs = counts.orphaned, taken_by_this_host = counts.taken_by_this_host,
        heard_hosts = alive_hosts, known_hosts = known_hosts;
        "orphaned-jobs"
    );
}

/// Returns the host that a job's row names as its holder.
fn holder_of(row: &JobRow) -> HostId {
    HostId { address: row.holder_address.as_str().into(), incarnation: row.holder_incarnation }
}

/// Takes over a job whose holder is lost or has handed it over. Loads a job that this host should hold but
/// doesn't.
async fn take_over_if_orphaned(
    state: &Arc<GatewayState>,
    known: KnownJob,
) -> Result<(), StoreError> {
    let holder = holder_of(&known.row);
    let is_holder = holder == state.id();
    if is_holder {
        // A job that isn't held here was accepted by this host although the store's response was lost.
        let is_held = lock(&state.jobs).get(&known.row.id).is_some();
        return if is_held { Ok(()) } else { load_job(state, known).await };
    }
    if !should_take_over(state, &known.row, &holder) {
        return Ok(());
    }
    let mut row = known.row.clone();
    row.holder_address = state.local_host.address.to_string();
    row.holder_incarnation = state.incarnation();
    row.fence += 1;
    let key = job_key(&row.team, &row.id);
    let transaction = Transaction::default().put_if_version(key, known.version, encode_row(&row));
    match state.store.commit(transaction).await? {
        CommitOutcome::Committed(version) => {
            log::info!(
                job = row.id.as_str(), from = &*holder.address, from_run = holder.incarnation,
                fence = row.fence, row_version = version;
                "job-taken-over"
            );
            state.directory.put(row.clone(), version);
            load_job(state, KnownJob { row, version }).await
        }
        CommitOutcome::Conflict(_) => Ok(()),
    }
}

/// Returns whether the job has no live holder and this host is the one to take it over.
///
/// Hosts that receive each other's heartbeats choose the same host. If hosts choose differently, the row's
/// version lets only one of their writes commit.
fn should_take_over(state: &GatewayState, row: &JobRow, holder: &HostId) -> bool {
    let now = Instant::now();
    let peers = lock(&state.peers);
    let has_no_holder = row.holder_address.is_empty();
    if !has_no_holder && (!peers.is_lost(holder, now) || !peers.has_at_least_half(now)) {
        return false;
    }
    let ready = peers.iter().filter(|record| {
        let is_ready = record.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.is_ready);
        is_ready && peers.is_alive(record, now)
    });
    let mut hosts: Vec<Name> = ready.map(|record| record.host.address.clone()).collect();
    hosts.push(state.local_host.address.clone());
    rank_by_score(&row.id, &mut hosts, |host| host);
    hosts[0] == state.local_host.address
}

/// Converts a job's stored input to its items.
fn into_items(input: JobInput) -> Vec<Arc<ItemSpec>> {
    let items = input.items.into_iter().map(|item| {
        let headers = item.headers.into_iter();
        Arc::new(ItemSpec {
            id: item.id.into(),
            path: item.path.into(),
            headers: headers.map(|header| (header.name.into(), header.value.into())).collect(),
            body: Bytes::from(item.body),
            tokens: item.tokens,
        })
    });
    items.collect()
}

/// Reads a job's input, listed results and progress, and starts work on its unfinished items.
async fn load_job(state: &Arc<GatewayState>, known: KnownJob) -> Result<(), StoreError> {
    let row = &known.row;
    let input = read_input(state, row).await?;
    let finished = read_finished(state, row).await?;
    let progress = read_progress(state, row).await?;
    log::info!(
        job = row.id.as_str(), items = row.total, finished = finished.len(),
        under_way = progress.len(), fence = row.fence, held = held_count(state);
        "job-loaded"
    );
    // While this host read the rows, an acceptance that received the store's response late may have started
    // the job and listed results that are not among those read.
    let is_current = state.directory.get(&row.id).is_some_and(|now| now.version == known.version);
    if !is_current {
        return Ok(());
    }
    let spec = job_spec(row, into_items(input));
    hold_job(state, known, spec, &finished, progress);
    Ok(())
}

/// Reads the IDs of items with a listed result.
async fn read_finished(state: &GatewayState, row: &JobRow) -> Result<Vec<Name>, StoreError> {
    let prefix = results_prefix(&row.team, &row.id);
    let rows = state.store.scan(&prefix, "", MAX_ROWS).await?;
    let mut finished = Vec::with_capacity(rows.len());
    for row in rows {
        let result = decode_row::<ResultRow>(&row.value)
            .map_err(|error| StoreError::Unknown(error.to_string()))?;
        finished.push(Name::from(result.item));
    }
    Ok(finished)
}

/// Reads the saved progress of a job's items.
async fn read_progress(
    state: &GatewayState,
    row: &JobRow,
) -> Result<Vec<(Name, ItemProgress)>, StoreError> {
    let prefix = progress_prefix(&row.team, &row.id);
    let rows = state.store.scan(&prefix, "", MAX_ROWS).await?;
    let mut saved = Vec::with_capacity(rows.len());
    for row in rows {
        let decoded = decode_row::<ProgressRow>(&row.value)
            .map_err(|error| StoreError::Unknown(error.to_string()))?;
        let progress = ItemProgress {
            last_event: Some(decoded.last_event),
            text: decoded.text,
            run_time: Duration::from_millis(decoded.ran_ms),
            software: decoded
                .software
                .map(|software| SoftwareVersion { pool: software.pool, version: software.version }),
        };
        saved.push((Name::from(decoded.item), progress));
    }
    Ok(saved)
}
