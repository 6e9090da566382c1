//! Ends jobs at the request of their callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{Refusal, ResultCode};
use cuminramp_platform::{CommitOutcome, StoreError, Transaction};
use cuminramp_wire::decode_row;
use cuminramp_wire::encode_row;
use cuminramp_wire::fleet::{JobPhase, JobRow};
use http::{Response, StatusCode};
use tokio::time::Instant;

use super::JobCaller;
use super::directory::{KnownJob, apply_row};
use super::input::delete_input;
use super::names::job_key;
use super::read::find_job;
use super::run::stop_job;
use crate::entry::{ResponseBody, complete_response};
use crate::state::GatewayState;

/// Timeout after which a host stops trying to make a job's end durable.
const END_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Delay after a failed call to the store, both before this host retries and before a refused caller should
/// retry.
const RETRY_DELAY: Duration = Duration::from_millis(80);

/// Ends a job: listed results stay readable, and its unfinished items are not run.
pub(crate) async fn end_job(
    state: &Arc<GatewayState>,
    caller: &JobCaller,
    job: &str,
) -> Result<Response<ResponseBody>, Refusal> {
    let started_at = Instant::now();
    let mut known = find_job(state, caller, job).await?;
    while known.is_open() {
        match try_end(state, &known).await {
            Ok(true) => break,
            Ok(false) => {}
            Err(error) if started_at.elapsed() >= END_TIMEOUT => {
                let refusal = Refusal::not_run(ResultCode::StoreUnavailable, error.to_string());
                return Err(refusal.with_retry_after(RETRY_DELAY));
            }
            Err(error) => back_off(state, &known, &error).await,
        }
        match read_row(state, &known).await {
            Ok(found) => known = found,
            Err(error) => back_off(state, &known, &error).await,
        }
    }
    if known.row.phase() == JobPhase::Ended {
        // The response to the write that ended the job was lost, or the job had ended before.
        state.directory.record_end(job, known.version, Instant::now());
    }
    log::info!(
        job = job, team = &*caller.team, took_ms = started_at.elapsed().as_millis() as u64;
        "job-ended"
    );
    Ok(complete_response(StatusCode::OK, Bytes::from_static(b"{}")))
}

/// Logs a failed call to the store and waits before the next attempt.
async fn back_off(state: &GatewayState, known: &KnownJob, error: &StoreError) {
    state.metrics.count_store_failure("end");
    let reason = error.to_string();
    log::warn!(
        job = known.row.id.as_str(), row_version = known.version, reason = reason.as_str();
        "job-not-ended"
    );
    tokio::time::sleep(RETRY_DELAY).await;
}

/// Writes that the job has ended; returns `false` if its row has changed since it was read.
async fn try_end(state: &Arc<GatewayState>, known: &KnownJob) -> Result<bool, StoreError> {
    let mut row = known.row.clone();
    row.phase = JobPhase::Ended as i32;
    row.waiting_tokens = 0;
    let key = job_key(&row.team, &row.id);
    let transaction = Transaction::default().put_if_version(key, known.version, encode_row(&row));
    match state.store.commit(transaction).await? {
        CommitOutcome::Committed(version) => {
            state.directory.put(row, version);
            state.directory.record_end(&known.row.id, version, Instant::now());
            stop_job(state, &known.row.id);
            state.request_heartbeat();
            delete_input(state, &known.row);
            Ok(true)
        }
        CommitOutcome::Conflict(_) => Ok(false),
    }
}

/// Reads the job's row from the store and applies it.
async fn read_row(state: &Arc<GatewayState>, known: &KnownJob) -> Result<KnownJob, StoreError> {
    let key = job_key(&known.row.team, &known.row.id);
    let rows = state.store.read(&[key]).await?;
    let row = rows.into_iter().next().flatten();
    let row = row.ok_or_else(|| StoreError::Unknown("the job's row no longer exists".into()))?;
    let job =
        decode_row::<JobRow>(&row.value).map_err(|error| StoreError::Unknown(error.to_string()))?;
    apply_row(state, &row);
    Ok(KnownJob { row: job, version: row.version })
}
