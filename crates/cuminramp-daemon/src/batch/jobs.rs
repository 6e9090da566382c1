//! Creates, describes, lists and cancels jobs for callers and operators.

use std::sync::Arc;

use cuminramp_batch::{ChunkLayout, job_key, open_job_key, parse_line};
use cuminramp_core::{Execution, Name, Refusal, ResultCode};
use cuminramp_platform::{CommitOutcome, Row, StoreError, Transaction};
use cuminramp_wire::rows::{ChunkRow, ChunkState, JobRow, JobState};
use cuminramp_wire::{decode_row, encode_row};
use serde_json::{Map, Value, json};

use crate::batch::results::write_manifest;
use crate::batch::{layout_name, team_job_key};
use crate::entry::files::{content_id, file_object, find_file, store_refusal, unix_now};
use crate::state::DaemonState;

/// Prefix of job identifiers.
const JOB_PREFIX: &str = "batch_";
/// Maximum number of jobs in a list.
const MAX_LISTED_JOBS: usize = 1_000;
/// Maximum number of chunk rows of a job that are read.
const MAX_CHUNK_ROWS: usize = 10_000;
/// Maximum number of attempts to cancel a job. Each starts with reading the job's row, which shows
/// whether an earlier attempt whose answer was lost succeeded.
const MAX_CANCEL_ATTEMPTS: u32 = 5;

/// A caller's request to create a job.
pub(crate) struct JobRequest {
    pub(crate) team: Name,
    pub(crate) input_file: String,
    pub(crate) endpoint: String,
    pub(crate) completion_window: String,
    pub(crate) metadata: Option<Map<String, Value>>,
    pub(crate) idempotency_key: String,
}

impl JobRequest {
    /// Derives the job's identifier from the content of the request, so that a request that is sent
    /// again, possibly through another host after the first answer was lost, creates no second job.
    fn job_id(&self) -> String {
        let metadata = self.metadata_text();
        let parts: [&[u8]; 5] = [
            self.team.as_bytes(),
            self.input_file.as_bytes(),
            self.endpoint.as_bytes(),
            metadata.as_bytes(),
            self.idempotency_key.as_bytes(),
        ];
        format!("{JOB_PREFIX}{}", content_id(&parts))
    }

    fn metadata_text(&self) -> String {
        let metadata = self.metadata.clone().map_or(Value::Null, Value::Object);
        metadata.to_string()
    }
}

/// A job's row and its version in the table.
pub(crate) struct VersionedJob {
    pub(crate) row: JobRow,
    pub(crate) version: u64,
}

async fn read_job(state: &DaemonState, id: &str) -> Result<Option<VersionedJob>, Refusal> {
    let rows = state.platform.table.read(&[job_key(id)]).await.map_err(store_refusal)?;
    let row = rows.into_iter().next().flatten();
    Ok(row.and_then(|row| {
        Some(VersionedJob { row: decode_row(&row.value).ok()?, version: row.version })
    }))
}

async fn find_job(state: &DaemonState, team: &str, id: &str) -> Result<VersionedJob, Refusal> {
    let found = read_job(state, id).await?.filter(|job| job.row.team == team);
    found.ok_or_else(|| {
        Refusal::not_run(ResultCode::ResourceUnknown, format!("there is no batch {id:?}"))
    })
}

/// Creates a job, or returns the existing one if the same request was sent before. When this returns
/// `Ok`, the job is in the table and will run even if this host fails.
pub(crate) async fn create_job(
    state: &Arc<DaemonState>,
    request: JobRequest,
) -> Result<Value, Refusal> {
    let id = request.job_id();
    if let Some(job) = read_job(state, &id).await? {
        log::info!(job = id.as_str(), team = &*request.team, decision = "same"; "job");
        return Ok(job_json(&job.row));
    }
    let InputFile { layout, model } = read_input(state, &request).await?;
    let body = serde_json::to_vec(&layout)
        .map_err(|error| Refusal::not_run(ResultCode::Internal, error.to_string()))?;
    state.platform.objects.put(&layout_name(&id), body.into()).await.map_err(store_refusal)?;
    let row = JobRow {
        id: id.clone(),
        team: request.team.to_string(),
        input_file: request.input_file.clone(),
        endpoint: request.endpoint.clone(),
        items: layout.items,
        model,
        chunk_items: layout.chunks.first().map_or(0, |range| range.items),
        state: JobState::Running.into(),
        created_unix: unix_now(),
        metadata_json: request.metadata_text(),
        completion_window: request.completion_window.clone(),
        generation: state.configuration.generation(),
        ..JobRow::default()
    };
    write_job(state, &row).await?;
    log::info!(
        job = id.as_str(), team = &*request.team, items = layout.items,
        chunks = layout.chunks.len() as u64, decision = "accepted";
        "job"
    );
    state.batch.claim_wakeup.notify_one();
    match read_job(state, &id).await? {
        Some(job) => Ok(job_json(&job.row)),
        None => Ok(job_json(&row)),
    }
}

/// A job's input file: its chunks, and the model of its first valid item.
struct InputFile {
    layout: ChunkLayout,
    model: String,
}

async fn read_input(state: &DaemonState, request: &JobRequest) -> Result<InputFile, Refusal> {
    find_file(state, &request.team, &request.input_file).await?;
    let object = file_object(&request.team, &request.input_file);
    let content = state.platform.objects.get(&object).await.map_err(store_refusal)?;
    let content = content.unwrap_or_default();
    let text = std::str::from_utf8(&content)
        .map_err(|_| Refusal::not_run(ResultCode::FieldInvalid, "the input file is not UTF-8"))?;
    let batch = &state.settings.batch;
    let layout = ChunkLayout::split(text, batch.min_chunk_items, batch.max_chunk_items);
    let max_items = state.settings.limits.max_batch_items;
    if layout.items == 0 {
        return Err(Refusal::not_run(ResultCode::FieldInvalid, "the input file has no items"));
    }
    if layout.items as usize > max_items {
        let message = format!("the input file has {} items, more than {max_items}", layout.items);
        return Err(Refusal::not_run(ResultCode::FieldInvalid, message));
    }
    let lines = text.lines().enumerate();
    let first = lines.filter_map(|(index, line)| parse_line(line, index + 1).ok()).next();
    Ok(InputFile { layout, model: first.map(|item| item.model).unwrap_or_default() })
}

/// Writes a new job's rows. A conflict is a success: another host has created the same job.
async fn write_job(state: &DaemonState, row: &JobRow) -> Result<(), Refusal> {
    let value = encode_row(row);
    let transaction = Transaction::default()
        .put_if_version(job_key(&row.id), 0, value.clone())
        .put_if_version(open_job_key(&row.id), 0, value)
        .put(team_job_key(&row.team, &row.id), Vec::new());
    match state.platform.table.commit(transaction).await {
        Ok(CommitOutcome::Committed(_) | CommitOutcome::Conflict(_)) => Ok(()),
        Err(StoreError::Unavailable(reason)) => Err(store_refusal(StoreError::Unavailable(reason))),
        Err(StoreError::Unknown(reason)) => match read_job(state, &row.id).await? {
            Some(_) => Ok(()),
            // The write may still be applied and the job may run. A retry by the caller derives the
            // same identifier, so it can't create a second job.
            None => {
                let refusal = store_refusal(StoreError::Unknown(reason));
                Err(refusal.with_execution(Execution::MayHaveRun))
            }
        },
    }
}

/// Returns a team's job as JSON, with its progress.
pub(crate) async fn describe_job(
    state: &DaemonState,
    team: &str,
    id: &str,
) -> Result<Value, Refusal> {
    let mut job = find_job(state, team, id).await?;
    add_progress(state, &mut job.row).await?;
    Ok(job_json(&job.row))
}

/// Adds the counts of committed chunks to the row of a running job. The row of a job that has ended
/// already has its final counts.
async fn add_progress(state: &DaemonState, row: &mut JobRow) -> Result<(), Refusal> {
    if row.state() != JobState::Running {
        return Ok(());
    }
    for chunk in read_chunks(state, &row.id).await.map_err(store_refusal)? {
        if chunk.row.state() == ChunkState::Done {
            row.completed += chunk.row.completed;
            row.failed += chunk.row.failed;
        }
    }
    Ok(())
}

/// A chunk's row and its version in the table.
pub(crate) struct VersionedChunk {
    pub(crate) row: ChunkRow,
    pub(crate) version: u64,
}

/// Reads the rows of a job's chunks. A chunk that was never leased has no row.
pub(crate) async fn read_chunks(
    state: &DaemonState,
    job: &str,
) -> Result<Vec<VersionedChunk>, StoreError> {
    let prefix = format!("chunk/{job}/");
    let rows = state.platform.table.scan(&prefix, "", MAX_CHUNK_ROWS).await?;
    let decode =
        |row: Row| Some(VersionedChunk { row: decode_row(&row.value).ok()?, version: row.version });
    Ok(rows.into_iter().filter_map(decode).collect())
}

/// Lists a team's jobs, the newest first.
pub(crate) async fn list_jobs(state: &DaemonState, team: &str) -> Result<Vec<Value>, Refusal> {
    let prefix = team_job_key(team, "");
    let rows =
        state.platform.table.scan(&prefix, "", MAX_LISTED_JOBS).await.map_err(store_refusal)?;
    let keys: Vec<String> =
        rows.iter().filter_map(|row| row.key.strip_prefix(&prefix)).map(job_key).collect();
    let jobs = state.platform.table.read(&keys).await.map_err(store_refusal)?;
    let jobs = jobs.into_iter().flatten();
    let mut jobs: Vec<JobRow> = jobs.filter_map(|row| decode_row(&row.value).ok()).collect();
    jobs.sort_by(|left, right| (right.created_unix, &right.id).cmp(&(left.created_unix, &left.id)));
    Ok(jobs.iter().map(job_json).collect())
}

/// Lists the open jobs of all teams.
pub(crate) async fn list_open_jobs(state: &DaemonState) -> Result<Vec<Value>, Refusal> {
    let rows =
        state.platform.table.scan("open/", "", MAX_LISTED_JOBS).await.map_err(store_refusal)?;
    let jobs = rows.iter().filter_map(|row| decode_row::<JobRow>(&row.value).ok());
    Ok(jobs
        .map(|row| {
            let mut job = job_json(&row);
            job["team"] = json!(row.team);
            job
        })
        .collect())
}

/// Cancels a team's job. When this returns `Ok`, no more results can be committed to the job: a commit
/// is conditional on the version of the row that lists the job as open, and that row is deleted.
pub(crate) async fn cancel_job(
    state: &Arc<DaemonState>,
    team: &str,
    id: &str,
) -> Result<Value, Refusal> {
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        let mut job = find_job(state, team, id).await?;
        if job.row.state() != JobState::Running {
            return Ok(job_json(&job.row));
        }
        add_progress(state, &mut job.row).await?;
        let row = JobRow {
            state: JobState::Cancelled.into(),
            finished_unix: unix_now(),
            cancelling_unix: unix_now(),
            ..job.row
        };
        let mut transaction =
            Transaction::default().put_if_version(job_key(id), job.version, encode_row(&row));
        transaction.deletes.push(open_job_key(id));
        match state.platform.table.commit(transaction).await {
            Ok(CommitOutcome::Committed(_)) => {
                log::info!(job = id, team = team, decision = "cancelled"; "job");
                write_manifest(state, &row).await.map_err(store_refusal)?;
                state.batch.claim_wakeup.notify_one();
                return Ok(job_json(&row));
            }
            // Another host changed the row, or the outcome is unknown: read the row again.
            Ok(CommitOutcome::Conflict(_)) | Err(StoreError::Unknown(_)) => {}
            Err(error) => return Err(store_refusal(error)),
        }
    }
    Err(store_refusal(StoreError::Unknown(
        "the job's row kept changing, or the outcome of each write is unknown".into(),
    )))
}

/// Returns the identifier of a job's output (`success`) or error file.
pub(crate) fn output_id(job: &str, success: bool) -> String {
    let digits = job.strip_prefix(JOB_PREFIX).unwrap_or(job);
    format!("file-{digits}-{}", if success { "output" } else { "error" })
}

/// Returns the job that an output or error file belongs to, and whether it is the output file; `None`
/// if `file` is neither.
pub(crate) fn output_job(file: &str) -> Option<(String, bool)> {
    let rest = file.strip_prefix("file-")?;
    let (digits, success) = match (rest.strip_suffix("-output"), rest.strip_suffix("-error")) {
        (Some(digits), _) => (digits, true),
        (_, Some(digits)) => (digits, false),
        _ => return None,
    };
    Some((format!("{JOB_PREFIX}{digits}"), success))
}

/// Returns a job in the JSON form of the batch API.
fn job_json(row: &JobRow) -> Value {
    let status = match row.state() {
        JobState::Running => "in_progress",
        JobState::Cancelling => "cancelling",
        JobState::Cancelled => "cancelled",
        JobState::Completed => "completed",
        JobState::Failed => "failed",
    };
    let finished = (row.finished_unix > 0).then_some(row.finished_unix);
    let at = |wanted: JobState| finished.filter(|_| row.state() == wanted);
    let file = |success: bool, count: u32| {
        (finished.is_some() && count > 0).then(|| output_id(&row.id, success))
    };
    json!({
        "id": row.id,
        "object": "batch",
        "endpoint": row.endpoint,
        "errors": null,
        "input_file_id": row.input_file,
        "completion_window": row.completion_window,
        "status": status,
        "output_file_id": file(true, row.completed),
        "error_file_id": file(false, row.failed),
        "created_at": row.created_unix,
        "in_progress_at": row.created_unix,
        "completed_at": at(JobState::Completed),
        "cancelled_at": at(JobState::Cancelled),
        "request_counts": {"total": row.items, "completed": row.completed, "failed": row.failed},
        "metadata": serde_json::from_str::<Value>(&row.metadata_json).unwrap_or(Value::Null),
    })
}
