//! Takes over jobs whose host is gone.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{HostId, Name, rank_by_score};
use cuminramp_fleet::{ItemProgress, ItemSpec};
use cuminramp_platform::{CommitOutcome, StoreError, Transaction};
use cuminramp_wire::fleet::{JobInput, JobRow, ProgressRow, ResultRow};
use cuminramp_wire::{decode_row, encode_row};
use tokio::time::Instant;

use super::accept::{held_count, job_spec};
use super::directory::KnownJob;
use super::names::{job_key, progress_prefix, results_prefix};
use super::read::read_input;
use super::writer::hold_job;
use crate::state::{GatewayState, lock};

/// Time between two looks for jobs that nobody works on.
const LOOK_EVERY: Duration = Duration::from_millis(400);
/// A host that has just started has not heard others yet; all their jobs would seem orphaned.
const SETTLE: Duration = Duration::from_millis(1_200);
/// Most rows of a job's results or progress.
const MOST_ROWS: usize = 500;

/// Looks for such jobs until the host leaves.
pub(crate) async fn take_jobs_over(state: Arc<GatewayState>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(LOOK_EVERY) => {}
            () = state.drain.cancelled() => return,
        }
        if state.started.elapsed() < SETTLE {
            continue;
        }
        for listed in state.directory.open_jobs() {
            if state.drain.is_cancelled() {
                return;
            }
            // Those before it may have taken seconds to read, in which it may have ended.
            let known = state.directory.get(&listed.row.id).filter(KnownJob::is_open);
            let Some(known) = known else { continue };
            if let Err(error) = consider(&state, known.clone()).await {
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

async fn consider(state: &Arc<GatewayState>, known: KnownJob) -> Result<(), StoreError> {
    let holder = HostId {
        address: known.row.holder_address.as_str().into(),
        incarnation: known.row.holder_incarnation,
    };
    let is_mine = holder == state.id();
    if is_mine {
        // Its acceptance took effect although the answer was lost.
        let is_held = lock(&state.jobs).get(&known.row.id).is_some();
        return if is_held { Ok(()) } else { load(state, known).await };
    }
    if !is_due(state, &known.row, &holder) {
        return Ok(());
    }
    let mut row = known.row.clone();
    row.holder_address = state.me.address.to_string();
    row.holder_incarnation = state.me.incarnation;
    row.fence += 1;
    let key = job_key(&row.team, &row.id);
    let transaction = Transaction::default().put_at(key, known.version, encode_row(&row));
    match state.store.commit(transaction).await? {
        CommitOutcome::Committed(version) => {
            log::info!(
                job = row.id.as_str(), from = &*holder.address, from_run = holder.incarnation,
                fence = row.fence, row_version = version;
                "job-taken-over"
            );
            state.directory.put(row.clone(), version);
            load(state, KnownJob { row, version }).await
        }
        CommitOutcome::Conflict(_) => Ok(()),
    }
}

/// Whether the holder is gone and this host is the one to follow it: all hosts that hear each other
/// come to the same one, and the row's version settles it where they don't.
fn is_due(state: &GatewayState, row: &JobRow, holder: &HostId) -> bool {
    let now = Instant::now();
    let peers = lock(&state.peers);
    let is_free = row.holder_address.is_empty();
    if !is_free && (!peers.is_lost(holder, now) || !peers.has_majority(now)) {
        return false;
    }
    let heard = peers.iter().filter(|record| {
        let is_ready = record.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.is_ready);
        is_ready && peers.is_alive(record, now)
    });
    let mut hosts: Vec<Name> = heard.map(|record| record.host.address.clone()).collect();
    hosts.push(state.me.address.clone());
    rank_by_score(&row.id, &mut hosts, |host| host);
    hosts[0] == state.me.address
}

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

/// Reads what a job needs and goes on with it.
async fn load(state: &Arc<GatewayState>, known: KnownJob) -> Result<(), StoreError> {
    let row = &known.row;
    let input = read_input(state, row).await?;
    let finished = read_finished(state, row).await?;
    let progress = read_progress(state, row).await?;
    log::info!(
        job = row.id.as_str(), items = row.total, finished = finished.len(),
        under_way = progress.len(), fence = row.fence, held = held_count(state);
        "job-loaded"
    );
    // While this was read, an acceptance that was answered late may have begun the job and listed
    // items that are not among those read.
    let is_current = state.directory.get(&row.id).is_some_and(|now| now.version == known.version);
    if !is_current {
        return Ok(());
    }
    let spec = job_spec(row, into_items(input));
    hold_job(state, known, spec, &finished, progress);
    Ok(())
}

async fn read_finished(state: &GatewayState, row: &JobRow) -> Result<Vec<Name>, StoreError> {
    let prefix = results_prefix(&row.team, &row.id);
    let rows = state.store.scan(&prefix, "", MOST_ROWS).await?;
    let mut finished = Vec::with_capacity(rows.len());
    for row in rows {
        let result = decode_row::<ResultRow>(&row.value)
            .map_err(|error| StoreError::Unknown(error.to_string()))?;
        finished.push(Name::from(result.item));
    }
    Ok(finished)
}

async fn read_progress(
    state: &GatewayState,
    row: &JobRow,
) -> Result<Vec<(Name, ItemProgress)>, StoreError> {
    let prefix = progress_prefix(&row.team, &row.id);
    let rows = state.store.scan(&prefix, "", MOST_ROWS).await?;
    let mut known = Vec::with_capacity(rows.len());
    for row in rows {
        let read = decode_row::<ProgressRow>(&row.value)
            .map_err(|error| StoreError::Unknown(error.to_string()))?;
        let progress = ItemProgress {
            last_event: Some(read.last_event),
            text: read.text,
            ran: Duration::from_millis(read.ran_ms),
        };
        known.push((Name::from(read.item), progress));
    }
    Ok(known)
}
