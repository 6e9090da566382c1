//! `cuminramp bench batch`.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::bench::caller::{BenchCaller, CallFailure, chat_body};
use crate::bench::record::record;
use crate::cmd::make_bar;
use crate::connection::CommandError;
use crate::flags::Batch;

/// Items where none are named.
const DEFAULT_ITEMS: usize = 1_000;
/// Tokens where none are named.
const DEFAULT_TOKENS: usize = 8;
/// Waits between looks at the job.
const LOOK_PAUSE: Duration = Duration::from_millis(250);
/// The longest run.
const RUN_LIMIT: Duration = Duration::from_secs(600);
/// Tries of a call while hosts come and go.
const CALL_TRIES: usize = 40;
/// What separates the parts of the form.
const BOUNDARY: &str = "cuminramp-bench-boundary";

/// Sends a job, waits for it, and counts its results by item.
pub(crate) async fn execute(flags: Batch) -> Result<(), CommandError> {
    let items = flags.items.unwrap_or(DEFAULT_ITEMS);
    let tokens = flags.tokens.unwrap_or(DEFAULT_TOKENS);
    let caller = BenchCaller::new(&flags.callers, &flags.key);
    let started = Instant::now();
    let form = upload_form(&flags.model, items, tokens);
    let content_type = format!("multipart/form-data; boundary={BOUNDARY}");
    let file = call(&caller, Method::POST, "/v1/files", &content_type, form).await?;
    let create = json!({
        "input_file_id": file["id"], "endpoint": "/v1/chat/completions", "completion_window": "24h",
        "metadata": {"run": started.elapsed().as_nanos().to_string()},
    });
    let body = create.to_string().into();
    let job = call(&caller, Method::POST, "/v1/batches", "application/json", body).await?;
    let id = job["id"].as_str().unwrap_or_default().to_owned();
    let job = wait_for(&caller, &id, started).await?;
    let took = started.elapsed();
    let output = read_lines(&caller, &job["output_file_id"]).await?;
    let errors = read_lines(&caller, &job["error_file_id"]).await?;
    let mut names: Vec<String> = output.iter().chain(&errors).cloned().collect();
    let results = names.len();
    names.sort();
    names.dedup();
    record(
        flags.out.as_deref(),
        &json!({
            "bench": "batch", "job": id, "status": job["status"], "items": items, "tokens": tokens,
            "results": results, "errors": errors.len(), "repeated": results - names.len(),
            "missing": items - names.len().min(items), "seconds": took.as_secs_f64(),
            "items-per-second": items as f64 / took.as_secs_f64(),
        }),
    )
}

fn upload_form(model: &str, items: usize, tokens: usize) -> Bytes {
    let mut form = format!(
        "--{BOUNDARY}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{BOUNDARY}\r\nContent-Disposition: form-data; name=\"file\"; filename=\"items.jsonl\"\r\n\r\n"
    );
    for number in 0..items {
        let line = json!({
            "custom_id": format!("item-{number}"),
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": chat_body(model, &format!("item {number}"), tokens, false),
        });
        form.push_str(&format!("{line}\n"));
    }
    form.push_str(&format!("\r\n--{BOUNDARY}--\r\n"));
    form.into()
}

/// Calls one host after another until one answers, as a caller does whose host dies.
async fn call(
    caller: &BenchCaller,
    method: Method,
    path: &str,
    content_type: &str,
    body: Bytes,
) -> Result<Value, CommandError> {
    let bytes = call_bytes(caller, method, path, content_type, body).await?;
    serde_json::from_slice(&bytes).map_err(|error| CommandError::Failed(error.to_string()))
}

async fn call_bytes(
    caller: &BenchCaller,
    method: Method,
    path: &str,
    content_type: &str,
    body: Bytes,
) -> Result<Bytes, CommandError> {
    let mut last = String::new();
    for attempt in 0..CALL_TRIES {
        match caller.call(attempt, method.clone(), path, content_type, body.clone()).await {
            Ok(bytes) => return Ok(bytes),
            Err(CallFailure::Refused(code)) => last = format!("refused with {code}"),
            Err(CallFailure::Broken(reason)) => last = reason,
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    Err(CommandError::Failed(format!("{path}: {last}")))
}

async fn wait_for(caller: &BenchCaller, id: &str, started: Instant) -> Result<Value, CommandError> {
    let bar = make_bar();
    while started.elapsed() < RUN_LIMIT {
        let path = format!("/v1/batches/{id}");
        let job = call(caller, Method::GET, &path, "application/json", Bytes::new()).await?;
        let count = |name: &str| job["request_counts"][name].as_u64().unwrap_or_default();
        bar.set_length(count("total"));
        bar.set_position(count("completed") + count("failed"));
        if job["status"] != "in_progress" {
            bar.finish_and_clear();
            return Ok(job);
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    Err(CommandError::Failed(format!("{id} did not end within {} s", RUN_LIMIT.as_secs())))
}

/// The names of the items in an output or error file.
async fn read_lines(caller: &BenchCaller, file: &Value) -> Result<Vec<String>, CommandError> {
    let Some(id) = file.as_str() else { return Ok(Vec::new()) };
    let path = format!("/v1/files/{id}/content");
    let bytes = call_bytes(caller, Method::GET, &path, "application/json", Bytes::new()).await?;
    let text = String::from_utf8_lossy(&bytes);
    let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    Ok(lines.map(|line| line["custom_id"].as_str().unwrap_or_default().to_owned()).collect())
}
