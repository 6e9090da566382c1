//! HTTP handlers for files: inputs that callers upload and outputs of jobs.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use axum::Json;
use axum::body::Body;
use axum::extract::{FromRequest, Multipart, Path, Request, State};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use cuminramp_core::{Refusal, ResultCode};
use cuminramp_platform::{StoreError, Transaction};
use cuminramp_wire::rows::FileRow;
use cuminramp_wire::{decode_row, encode_row};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::admission::{admit_request, request_cost};
use crate::batch::read_output;
use crate::entry::auth::{AuthenticatedCaller, authenticate, check_not_stopping};
use crate::entry::body::read_bounded;
use crate::entry::responses::respond;
use crate::state::DaemonState;

/// Prefix of the identifiers of uploaded files.
const FILE_PREFIX: &str = "file-";
/// Number of hexadecimal digits in an identifier.
const ID_DIGITS: usize = 32;
/// Maximum number of bytes that the multipart form adds to the size of a file.
const MAX_FORM_OVERHEAD_BYTES: usize = 64 << 10;
/// Maximum number of files in one list.
const MAX_LISTED_FILES: usize = 1_000;

/// Returns the key of a file's row.
pub(crate) fn file_key(team: &str, id: &str) -> String {
    format!("file/{team}/{id}")
}

/// Returns the name of a file's object.
pub(crate) fn file_object(team: &str, id: &str) -> String {
    format!("files/{team}/{id}")
}

/// Returns the seconds since 1970.
pub(crate) fn unix_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |passed| passed.as_secs())
}

/// Returns the refusal for a caller when the table or the object store fails.
pub(crate) fn store_refusal(error: StoreError) -> Refusal {
    let refusal = Refusal::not_run(ResultCode::StoreUnavailable, error.to_string());
    refusal.with_retry_after(std::time::Duration::from_secs(2))
}

/// Returns [`ID_DIGITS`] hexadecimal digits of a hash of the parts. Equal parts give equal digits.
///
/// The length of each part is hashed too, so moving bytes from one part to the next changes the digits.
pub(crate) fn content_id(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    hex[..ID_DIGITS].to_owned()
}

/// Uploaded file.
struct Upload {
    filename: String,
    purpose: String,
    content: Bytes,
}

/// Handles the upload of a file.
pub(crate) async fn upload_file(
    State(state): State<Arc<DaemonState>>,
    request: Request,
) -> Response {
    let outcome = store_upload(&state, request).await;
    respond(&state, outcome.map(Json))
}

async fn store_upload(state: &Arc<DaemonState>, request: Request) -> Result<Value, Refusal> {
    check_not_stopping(state)?;
    let caller = authenticate(state, request.headers())?;
    admit_request(state, &caller.team, request_cost(&caller.team, None)).await?;
    let upload = read_upload(state, request).await?;
    let team = &caller.team.name;
    // The identifier is derived from the content, so uploading a file again gives the same identifier.
    let digits = content_id(&[team.as_bytes(), upload.purpose.as_bytes(), &upload.content]);
    let row = FileRow {
        id: format!("{FILE_PREFIX}{digits}"),
        team: team.to_string(),
        filename: upload.filename,
        purpose: upload.purpose,
        bytes: upload.content.len() as u64,
        created_unix: unix_now(),
    };
    let object = file_object(team, &row.id);
    state.platform.objects.put(&object, upload.content).await.map_err(store_refusal)?;
    let put = Transaction::default().put(file_key(team, &row.id), encode_row(&row));
    // Writing the row twice does no harm, so a caller whose response was lost can retry.
    state.platform.table.commit(put).await.map_err(store_refusal)?;
    log::info!(team = &**team, file = row.id.as_str(), bytes = row.bytes; "file");
    Ok(file_json(&row))
}

/// Reads the multipart form of an upload. Refuses a form without a file or with an empty one.
async fn read_upload(state: &DaemonState, request: Request) -> Result<Upload, Refusal> {
    let max_bytes = state.settings.limits.max_file_bytes + MAX_FORM_OVERHEAD_BYTES;
    let (head, body) = request.into_parts();
    let bytes = read_bounded(state, body, max_bytes).await?;
    let request = Request::from_parts(head, Body::from(bytes));
    let malformed = |reason: String| Refusal::not_run(ResultCode::BodyMalformed, reason);
    let mut form = Multipart::from_request(request, &())
        .await
        .map_err(|error| malformed(error.body_text()))?;
    let mut upload =
        Upload { filename: String::new(), purpose: "batch".into(), content: Bytes::new() };
    while let Some(field) = form.next_field().await.map_err(|error| malformed(error.body_text()))? {
        match field.name() {
            Some("file") => {
                upload.filename = field.file_name().unwrap_or_default().to_owned();
                upload.content =
                    field.bytes().await.map_err(|error| malformed(error.body_text()))?;
            }
            Some("purpose") => {
                upload.purpose =
                    field.text().await.map_err(|error| malformed(error.body_text()))?;
            }
            _ => {}
        }
    }
    if upload.content.is_empty() {
        return Err(Refusal::not_run(
            ResultCode::FieldInvalid,
            "the form has no file, or the file is empty",
        ));
    }
    Ok(upload)
}

fn file_json(row: &FileRow) -> Value {
    json!({
        "id": row.id,
        "object": "file",
        "bytes": row.bytes,
        "created_at": row.created_unix,
        "filename": row.filename,
        "purpose": row.purpose,
        "status": "processed",
    })
}

/// Returns the row of a team's file.
pub(crate) async fn find_file(
    state: &DaemonState,
    team: &str,
    id: &str,
) -> Result<FileRow, Refusal> {
    let rows = state.platform.table.read(&[file_key(team, id)]).await.map_err(store_refusal)?;
    let row = rows.into_iter().next().flatten();
    row.and_then(|row| decode_row(&row.value).ok()).ok_or_else(|| {
        Refusal::not_run(ResultCode::ResourceUnknown, format!("there is no file {id:?}"))
    })
}

/// Handles a request for the properties of a file.
pub(crate) async fn show_file(
    State(state): State<Arc<DaemonState>>,
    caller: AuthenticatedCaller,
    Path(id): Path<String>,
) -> Response {
    let outcome = describe_file(&state, &caller, &id).await;
    respond(&state, outcome.map(Json))
}

async fn describe_file(
    state: &DaemonState,
    caller: &AuthenticatedCaller,
    id: &str,
) -> Result<Value, Refusal> {
    if let Some(output) = read_output(state, &caller.team.name, id).await? {
        let filename = format!("{id}.jsonl");
        return Ok(json!({
            "id": id, "object": "file", "bytes": output.len(), "created_at": 0,
            "filename": filename, "purpose": "batch_output", "status": "processed",
        }));
    }
    Ok(file_json(&find_file(state, &caller.team.name, id).await?))
}

/// Handles a request for the list of files that a team uploaded.
pub(crate) async fn list_files(
    State(state): State<Arc<DaemonState>>,
    caller: AuthenticatedCaller,
) -> Response {
    let outcome = scan_files(&state, &caller).await;
    respond(&state, outcome.map(Json))
}

async fn scan_files(state: &DaemonState, caller: &AuthenticatedCaller) -> Result<Value, Refusal> {
    let prefix = file_key(&caller.team.name, "");
    let rows =
        state.platform.table.scan(&prefix, "", MAX_LISTED_FILES).await.map_err(store_refusal)?;
    let files = rows.iter().filter_map(|row| decode_row::<FileRow>(&row.value).ok());
    let data: Vec<Value> = files.map(|row| file_json(&row)).collect();
    Ok(json!({"object": "list", "data": data, "has_more": false}))
}

/// Handles a request for the content of a file.
pub(crate) async fn read_file(
    State(state): State<Arc<DaemonState>>,
    caller: AuthenticatedCaller,
    Path(id): Path<String>,
) -> Response {
    let outcome = read_content(&state, &caller, &id).await;
    let outcome =
        outcome.map(|content| ([("content-type", "application/jsonl")], content).into_response());
    respond(&state, outcome)
}

/// Returns the content of a job's output or of an uploaded file.
///
/// Neither is read through the table, so results stay readable while it is down.
async fn read_content(
    state: &DaemonState,
    caller: &AuthenticatedCaller,
    id: &str,
) -> Result<Bytes, Refusal> {
    let team = &caller.team.name;
    if let Some(output) = read_output(state, team, id).await? {
        return Ok(output);
    }
    let object = file_object(team, id);
    let content = state.platform.objects.get(&object).await.map_err(store_refusal)?;
    content.ok_or_else(|| {
        Refusal::not_run(ResultCode::ResourceUnknown, format!("there is no file {id:?}"))
    })
}
