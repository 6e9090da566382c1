//! Reads job results and item bodies for callers. Any host can serve them, whichever holds the job.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{Refusal, ResultCode};
use cuminramp_platform::StoreError;
use cuminramp_wire::decode_row;
use cuminramp_wire::fleet::{JobPhase, JobRow, ResultRow};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};

use super::JobCaller;
use super::directory::KnownJob;
use super::input::read_input;
use super::names::{job_key, result_key, results_prefix};
use crate::entry::{ResponseBody, complete_response};
use crate::interfaces::{ListedResult, ResultPage};
use crate::state::{GatewayState, lock};

/// Maximum number of results in one response.
const MAX_PAGE_RESULTS: usize = 60;
/// Maximum number of bytes of results in one response. A response holds at most 1 MB.
const MAX_PAGE_BYTES: usize = 900 << 10;
/// Maximum time that a read waits for a result.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Time reserved for the last read of the table after the wait. Callers wait only a little longer than the
/// time that they request.
const WAIT_MARGIN: Duration = Duration::from_millis(60);
/// Time reserved for that read before a draining host exits, which breaks the call off.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Returns the refusal for a failed call to the store.
fn store_refusal(error: &StoreError) -> Refusal {
    Refusal::not_run(ResultCode::StoreUnavailable, error.to_string())
        .with_retry_after(Duration::from_millis(300))
}

fn unknown_job() -> Refusal {
    Refusal::not_run(ResultCode::ResourceUnknown, "the job does not exist")
}

/// Returns a job of the caller's team. Reads a job that the directory lacks from the store, so that only a
/// job without a row is reported as unknown.
pub(super) async fn find_job(
    state: &Arc<GatewayState>,
    caller: &JobCaller,
    job: &str,
) -> Result<KnownJob, Refusal> {
    if let Some(known) = state.directory.get(job) {
        return if known.row.team == *caller.team { Ok(known) } else { Err(unknown_job()) };
    }
    let rows = state.store.read(&[job_key(&caller.team, job)]).await;
    let row = rows.map_err(|error| store_refusal(&error))?.into_iter().next().flatten();
    let row = row.ok_or_else(unknown_job)?;
    let decoded = decode_row::<JobRow>(&row.value)
        .map_err(|error| store_refusal(&StoreError::Unknown(error.to_string())))?;
    state.directory.put(decoded.clone(), row.version);
    Ok(KnownJob { row: decoded, version: row.version })
}

/// Responds with a job's results from position `from` on. Waits up to `wait` for the first one if none is
/// listed yet.
pub(crate) async fn read_results(
    state: &Arc<GatewayState>,
    caller: &JobCaller,
    job: &str,
    from: u32,
    wait: Duration,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut changes = state.directory.subscribe();
    let known = find_job(state, caller, job).await?;
    let total = known.row.total;
    let until_exit =
        state.time_until_exit().map_or(MAX_WAIT, |time| time.saturating_sub(EXIT_MARGIN));
    let wait = wait.min(MAX_WAIT).saturating_sub(WAIT_MARGIN).min(until_exit);
    if known.row.listed <= from && from < total && !wait.is_zero() {
        let result_listed = async {
            while changes.changed().await.is_ok() {
                if state.directory.get(job).is_some_and(|known| known.row.listed > from) {
                    return;
                }
            }
        };
        // The table is read below whether or not the wait timed out.
        let _ = tokio::time::timeout(wait, result_listed).await;
    }
    let results = if from < total {
        read_page(state, caller, job, from).await.map_err(|error| store_refusal(&error))?
    } else {
        vec![]
    };
    let page = ResultPage { total, next: from + results.len() as u32, results };
    Ok(complete_response(StatusCode::OK, state.call_format.write_results(&page)))
}

/// Reads listed results from position `from` on, as many as fit into one response.
async fn read_page(
    state: &GatewayState,
    caller: &JobCaller,
    job: &str,
    from: u32,
) -> Result<Vec<ListedResult>, StoreError> {
    let prefix = results_prefix(&caller.team, job);
    let before = match from.checked_sub(1) {
        Some(position) => result_key(&caller.team, job, position),
        None => String::new(),
    };
    let rows = state.store.scan(&prefix, &before, MAX_PAGE_RESULTS).await?;
    let mut results = Vec::with_capacity(rows.len());
    let mut bytes = 0;
    for row in rows {
        let result = decode_row::<ResultRow>(&row.value)
            .map_err(|error| StoreError::Unknown(error.to_string()))?;
        let output = if result.object.is_empty() {
            result.text
        } else {
            let object = state.store.get(&result.object).await?.unwrap_or_default();
            String::from_utf8_lossy(&object).into_owned()
        };
        bytes += output.len();
        if bytes > MAX_PAGE_BYTES && !results.is_empty() {
            break;
        }
        results.push(ListedResult {
            item: result.item.into(),
            is_complete: result.is_complete,
            output,
        });
    }
    Ok(results)
}

/// Responds with the body of an item: from memory if this host holds the job, otherwise from the store.
pub(crate) async fn read_item(
    state: &Arc<GatewayState>,
    caller: &JobCaller,
    job: &str,
    item: &str,
) -> Result<Response<ResponseBody>, Refusal> {
    let known = find_job(state, caller, job).await?;
    let held = {
        let jobs = lock(&state.jobs);
        let items = jobs.get(job).map(|job| &job.spec().items);
        items.and_then(|items| items.iter().find(|held| *held.id == *item).cloned())
    };
    let body = match held {
        Some(held) => held.body.clone(),
        None => read_stored_body(state, &known.row, item).await?,
    };
    let mut response = complete_response(StatusCode::OK, body);
    let kind = HeaderValue::from_static("application/octet-stream");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    Ok(response)
}

/// Reads the body of an item from the job's stored input.
async fn read_stored_body(
    state: &GatewayState,
    job: &JobRow,
    item: &str,
) -> Result<Bytes, Refusal> {
    if job.phase() != JobPhase::Open {
        // Each item is listed, or the job has ended: the input is deleted.
        return Err(Refusal::not_run(ResultCode::ResourceUnknown, "the job is done"));
    }
    let input = read_input(state, job).await.map_err(|error| store_refusal(&error))?;
    let found = input.items.into_iter().find(|stored| stored.id == item);
    let found = found
        .ok_or_else(|| Refusal::not_run(ResultCode::ResourceUnknown, "the item does not exist"))?;
    Ok(Bytes::from(found.body))
}
