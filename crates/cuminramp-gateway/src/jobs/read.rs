//! Reads results and bodies, at any host.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cuminramp_core::{Refusal, ResultCode};
use cuminramp_platform::StoreError;
use cuminramp_wire::decode_row;
use cuminramp_wire::fleet::{JobInput, JobRow, ResultRow};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};

use super::JobCaller;
use super::directory::KnownJob;
use super::names::{input_object, input_prefix, job_key, result_key, results_prefix};
use crate::entry::{AnswerBody, complete_response};
use crate::interfaces::{ListedResult, ResultPage};
use crate::state::{GatewayState, lock};

/// Results in one answer, and their bytes: an answer has at most a megabyte.
const MOST_RESULTS: usize = 60;
const MOST_BYTES: usize = 900 << 10;
/// The longest that a read waits for a result.
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);
/// Callers wait a little longer than they allow; the last look at the table needs this much.
const WAIT_MARGIN: Duration = Duration::from_millis(60);

fn unsure(error: &StoreError) -> Refusal {
    Refusal::not_run(ResultCode::StoreUnavailable, error.to_string())
        .with_retry_after(Duration::from_millis(300))
}

fn unknown_job() -> Refusal {
    Refusal::not_run(ResultCode::ResourceUnknown, "there is no such job")
}

/// A job of a caller's team. What is not known here is asked of the table, so that "no such job" is
/// only said where that is sure.
pub(super) async fn find_job(
    state: &Arc<GatewayState>,
    caller: &JobCaller,
    job: &str,
) -> Result<KnownJob, Refusal> {
    if let Some(known) = state.directory.get(job) {
        return if known.row.team == *caller.team { Ok(known) } else { Err(unknown_job()) };
    }
    let rows = state.store.read(&[job_key(&caller.team, job)]).await;
    let row = rows.map_err(|error| unsure(&error))?.into_iter().next().flatten();
    let row = row.ok_or_else(unknown_job)?;
    let read = decode_row::<JobRow>(&row.value)
        .map_err(|error| unsure(&StoreError::Unknown(error.to_string())))?;
    state.directory.put(read.clone(), row.version);
    Ok(KnownJob { row: read, version: row.version })
}

/// Answers with results from a position on, and waits a while for the first.
pub(crate) async fn read_results(
    state: &Arc<GatewayState>,
    caller: &JobCaller,
    job: &str,
    after: u32,
    wait: Duration,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut changes = state.directory.subscribe();
    let known = find_job(state, caller, job).await?;
    let total = known.row.total;
    let wait = wait.min(LONGEST_WAIT).saturating_sub(WAIT_MARGIN);
    if known.row.listed <= after && after < total && !wait.is_zero() {
        let listed = async {
            while changes.changed().await.is_ok() {
                if state.directory.get(job).is_some_and(|known| known.row.listed > after) {
                    return;
                }
            }
        };
        // Whether or not the wait brought news, the table has the last word below.
        let _ = tokio::time::timeout(wait, listed).await;
    }
    let results = if after < total {
        list_results(state, caller, job, after).await.map_err(|error| unsure(&error))?
    } else {
        vec![]
    };
    let page = ResultPage { total, next: after + results.len() as u32, results };
    Ok(complete_response(StatusCode::OK, state.calls.write_results(&page)))
}

async fn list_results(
    state: &GatewayState,
    caller: &JobCaller,
    job: &str,
    after: u32,
) -> Result<Vec<ListedResult>, StoreError> {
    let prefix = results_prefix(&caller.team, job);
    let before = match after.checked_sub(1) {
        Some(position) => result_key(&caller.team, job, position),
        None => String::new(),
    };
    let rows = state.store.scan(&prefix, &before, MOST_RESULTS).await?;
    let mut results = Vec::with_capacity(rows.len());
    let mut bytes = 0;
    for row in rows {
        let read = decode_row::<ResultRow>(&row.value)
            .map_err(|error| StoreError::Unknown(error.to_string()))?;
        let text = if read.object.is_empty() {
            read.text
        } else {
            let object = state.store.get(&read.object).await?.unwrap_or_default();
            String::from_utf8_lossy(&object).into_owned()
        };
        bytes += text.len();
        if bytes > MOST_BYTES && !results.is_empty() {
            break;
        }
        results.push(ListedResult { item: read.item.into(), is_complete: read.is_complete, text });
    }
    Ok(results)
}

/// Answers with the body of an item.
pub(crate) async fn read_item(
    state: &Arc<GatewayState>,
    caller: &JobCaller,
    job: &str,
    item: &str,
) -> Result<Response<AnswerBody>, Refusal> {
    let known = find_job(state, caller, job).await?;
    let held = {
        let jobs = lock(&state.jobs);
        let items = jobs.get(job).map(|job| &job.spec().items);
        items.and_then(|items| items.iter().find(|held| *held.id == *item).cloned())
    };
    let body = match held {
        Some(held) => held.body.clone(),
        None => stored_body(state, &known.row, item).await?,
    };
    let mut response = complete_response(StatusCode::OK, body);
    let kind = HeaderValue::from_static("application/octet-stream");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    Ok(response)
}

async fn stored_body(state: &GatewayState, job: &JobRow, item: &str) -> Result<Bytes, Refusal> {
    let input = read_input(state, job).await.map_err(|error| unsure(&error))?;
    let found = input.items.into_iter().find(|held| held.id == item);
    let found = found
        .ok_or_else(|| Refusal::not_run(ResultCode::ResourceUnknown, "the job has no such item"))?;
    Ok(Bytes::from(found.body))
}

/// A job's input.
pub(super) async fn read_input(state: &GatewayState, job: &JobRow) -> Result<JobInput, StoreError> {
    let bytes = match job.input_rows {
        0 => read_input_object(state, job).await?,
        rows => read_input_rows(state, job, rows as usize).await?,
    };
    decode_row::<JobInput>(&bytes).map_err(|error| StoreError::Unknown(error.to_string()))
}

async fn read_input_object(state: &GatewayState, job: &JobRow) -> Result<Bytes, StoreError> {
    let name = input_object(&job.team, &job.id);
    let object = state.store.get(&name).await?;
    object.ok_or_else(|| StoreError::Unknown(format!("no object {name}")))
}

async fn read_input_rows(
    state: &GatewayState,
    job: &JobRow,
    rows: usize,
) -> Result<Bytes, StoreError> {
    let prefix = input_prefix(&job.team, &job.id);
    let found = state.store.scan(&prefix, "", rows).await?;
    if found.len() != rows {
        return Err(StoreError::Unknown(format!("{} of {rows} rows of {prefix}", found.len())));
    }
    let mut bytes = BytesMut::new();
    found.iter().for_each(|row| bytes.extend_from_slice(&row.value));
    Ok(bytes.freeze())
}
