//! Jobs as callers and operators see them.

use std::sync::Arc;

use cuminramp_batch::{ChunkLayout, job_key, open_key, parse_line};
use cuminramp_core::{Execution, Name, Refusal, ResultCode};
use cuminramp_platform::{CommitOutcome, Row, StoreError, Transaction};
use cuminramp_wire::rows::{ChunkRow, ChunkState, JobRow, JobState};
use cuminramp_wire::{decode_row, encode_row};
use serde_json::{Map, Value, json};

use crate::batch::results::write_manifest;
use crate::batch::{layout_name, team_job_key};
use crate::entry::files::{content_digits, file_object, find_file, store_refusal, unix_now};
use crate::state::DaemonState;

/// What identifiers of jobs start with.
const JOB_PREFIX: &str = "batch_";
/// Jobs in one list.
const LIST_LIMIT: usize = 1_000;
/// Chunk rows read in one call.
const CHUNK_LIMIT: usize = 10_000;
/// A cancelled job is read back so often where the table's answer was lost.
const SETTLE_TRIES: u32 = 5;

/// A caller's wish for a job.
pub(crate) struct JobRequest {
    pub(crate) team: Name,
    pub(crate) input_file: String,
    pub(crate) endpoint: String,
    pub(crate) completion_window: String,
    pub(crate) metadata: Option<Map<String, Value>>,
    pub(crate) idempotency_key: String,
}

impl JobRequest {
    /// The identifier follows from what is asked for: a job that is sent again, perhaps through
    /// another host and after the first answer was lost, is the same job.
    fn job_id(&self) -> String {
        let metadata = self.metadata_text();
        let parts: [&[u8]; 5] = [
            self.team.as_bytes(),
            self.input_file.as_bytes(),
            self.endpoint.as_bytes(),
            metadata.as_bytes(),
            self.idempotency_key.as_bytes(),
        ];
        format!("{JOB_PREFIX}{}", content_digits(&parts))
    }

    fn metadata_text(&self) -> String {
        let metadata = self.metadata.clone().map_or(Value::Null, Value::Object);
        metadata.to_string()
    }
}

/// A job's row with its version.
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

/// Accepts a job. When this returns, the job is in the table and will be worked on whatever happens
/// to this host.
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
        chunk_items: layout.chunks.first().map_or(0, |place| place.items),
        state: JobState::Running.into(),
        created_unix: unix_now(),
        metadata_json: request.metadata_text(),
        completion_window: request.completion_window.clone(),
        ..JobRow::default()
    };
    write_job(state, &row).await?;
    log::info!(
        job = id.as_str(), team = &*request.team, items = layout.items,
        chunks = layout.chunks.len() as u64, decision = "accepted";
        "job"
    );
    state.batch.hungry.notify_one();
    match read_job(state, &id).await? {
        Some(job) => Ok(job_json(&job.row)),
        None => Ok(job_json(&row)),
    }
}

/// What a job's input file says.
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
    let layout = ChunkLayout::cut(text, batch.min_chunk_items, batch.max_chunk_items);
    let most = state.settings.limits.max_batch_items;
    if layout.items == 0 {
        return Err(Refusal::not_run(ResultCode::FieldInvalid, "the input file has no items"));
    }
    if layout.items as usize > most {
        let message = format!("the input file has {} items, more than {most}", layout.items);
        return Err(Refusal::not_run(ResultCode::FieldInvalid, message));
    }
    let lines = text.lines().enumerate();
    let first = lines.filter_map(|(index, line)| parse_line(line, index + 1).ok()).next();
    Ok(InputFile { layout, model: first.map(|item| item.model).unwrap_or_default() })
}

/// Writes a new job; another host that took the same one first has done no harm.
async fn write_job(state: &DaemonState, row: &JobRow) -> Result<(), Refusal> {
    let value = encode_row(row);
    let transaction = Transaction::default()
        .put_at(job_key(&row.id), 0, value.clone())
        .put_at(open_key(&row.id), 0, value)
        .put(team_job_key(&row.team, &row.id), Vec::new());
    match state.platform.table.commit(transaction).await {
        Ok(CommitOutcome::Committed(_) | CommitOutcome::Conflict(_)) => Ok(()),
        Err(StoreError::Unavailable(reason)) => Err(store_refusal(StoreError::Unavailable(reason))),
        Err(StoreError::Unknown(reason)) => match read_job(state, &row.id).await? {
            Some(_) => Ok(()),
            // The write may still land, and the job run; sent again it is the same job.
            None => {
                let refusal = store_refusal(StoreError::Unknown(reason));
                Err(refusal.with_execution(Execution::MayHaveRun))
            }
        },
    }
}

/// Shows a team's job.
pub(crate) async fn describe_job(
    state: &DaemonState,
    team: &str,
    id: &str,
) -> Result<Value, Refusal> {
    let mut job = find_job(state, team, id).await?;
    add_progress(state, &mut job.row).await?;
    Ok(job_json(&job.row))
}

/// Counts what is done of a job that is still open.
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

/// A chunk's row with its version.
pub(crate) struct VersionedChunk {
    pub(crate) row: ChunkRow,
    pub(crate) version: u64,
}

/// The rows of a job's chunks; a chunk that nobody touched has none.
pub(crate) async fn read_chunks(
    state: &DaemonState,
    job: &str,
) -> Result<Vec<VersionedChunk>, StoreError> {
    let prefix = format!("chunk/{job}/");
    let rows = state.platform.table.scan(&prefix, "", CHUNK_LIMIT).await?;
    let decode =
        |row: Row| Some(VersionedChunk { row: decode_row(&row.value).ok()?, version: row.version });
    Ok(rows.into_iter().filter_map(decode).collect())
}

/// Lists a team's jobs.
pub(crate) async fn list_jobs(state: &DaemonState, team: &str) -> Result<Vec<Value>, Refusal> {
    let prefix = team_job_key(team, "");
    let rows = state.platform.table.scan(&prefix, "", LIST_LIMIT).await.map_err(store_refusal)?;
    let keys: Vec<String> =
        rows.iter().filter_map(|row| row.key.strip_prefix(&prefix)).map(job_key).collect();
    let jobs = state.platform.table.read(&keys).await.map_err(store_refusal)?;
    let jobs = jobs.into_iter().flatten();
    let mut jobs: Vec<JobRow> = jobs.filter_map(|row| decode_row(&row.value).ok()).collect();
    jobs.sort_by(|left, right| (right.created_unix, &right.id).cmp(&(left.created_unix, &left.id)));
    Ok(jobs.iter().map(job_json).collect())
}

/// Lists the jobs of all teams that are open.
pub(crate) async fn list_open_jobs(state: &DaemonState) -> Result<Vec<Value>, Refusal> {
    let rows = state.platform.table.scan("open/", "", LIST_LIMIT).await.map_err(store_refusal)?;
    let jobs = rows.iter().filter_map(|row| decode_row::<JobRow>(&row.value).ok());
    Ok(jobs
        .map(|row| {
            let mut job = job_json(&row);
            job["team"] = json!(row.team);
            job
        })
        .collect())
}

/// Cancels a team's job. When this returns, nothing more can be committed to it: commits name the
/// version of the row that lists it as open, and that row is gone.
pub(crate) async fn cancel_job(
    state: &Arc<DaemonState>,
    team: &str,
    id: &str,
) -> Result<Value, Refusal> {
    for _ in 0..SETTLE_TRIES {
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
            Transaction::default().put_at(job_key(id), job.version, encode_row(&row));
        transaction.deletes.push(open_key(id));
        match state.platform.table.commit(transaction).await {
            Ok(CommitOutcome::Committed(_)) => {
                log::info!(job = id, team = team, decision = "cancelled"; "job");
                write_manifest(state, &row).await.map_err(store_refusal)?;
                state.batch.hungry.notify_one();
                return Ok(job_json(&row));
            }
            // Another host changed it, or the answer was lost: read it again.
            Ok(CommitOutcome::Conflict(_)) | Err(StoreError::Unknown(_)) => {}
            Err(error) => return Err(store_refusal(error)),
        }
    }
    Err(store_refusal(StoreError::Unknown("the job's row changes too often".into())))
}

/// The identifier of a job's output or error file.
pub(crate) fn output_id(job: &str, success: bool) -> String {
    let digits = job.strip_prefix(JOB_PREFIX).unwrap_or(job);
    format!("file-{digits}-{}", if success { "output" } else { "error" })
}

/// The job behind the identifier of an output file, and whether it is the output or the errors.
pub(crate) fn output_job(file: &str) -> Option<(String, bool)> {
    let rest = file.strip_prefix("file-")?;
    let (digits, success) = match (rest.strip_suffix("-output"), rest.strip_suffix("-error")) {
        (Some(digits), _) => (digits, true),
        (_, Some(digits)) => (digits, false),
        _ => return None,
    };
    Some((format!("{JOB_PREFIX}{digits}"), success))
}

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
