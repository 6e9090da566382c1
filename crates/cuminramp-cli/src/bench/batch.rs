//! `cuminramp bench batch`.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::bench::caller::{BenchCaller, CallFailure, chat_body};
use crate::bench::record::record;
use crate::cmd::new_progress_bar;
use crate::connection::CommandError;
use crate::flags::Batch;

/// Number of items if `--items` is not given.
const DEFAULT_ITEMS: usize = 1_000;
/// Tokens of each response if `--tokens` is not given.
const DEFAULT_TOKENS: usize = 8;
/// Interval at which the job is polled, and delay before a failed call is retried.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout after which the run fails if the job has not ended.
const RUN_TIMEOUT: Duration = Duration::from_secs(600);
/// Maximum number of attempts of a call; hosts may stop and start during the run.
const MAX_ATTEMPTS: usize = 40;
/// Boundary between the parts of the multipart form.
const FORM_BOUNDARY: &str = "cuminramp-bench-boundary";

/// Submits a job, waits until it ends, and counts missing and repeated results by item.
pub(crate) async fn execute(flags: Batch) -> Result<(), CommandError> {
    let items = flags.items.unwrap_or(DEFAULT_ITEMS);
    let tokens = flags.tokens.unwrap_or(DEFAULT_TOKENS);
    let caller = BenchCaller::new(&flags.callers, &flags.key);
    let started = Instant::now();
    let form = upload_form(&flags.model, items, tokens);
    let content_type = format!("multipart/form-data; boundary={FORM_BOUNDARY}");
    let file = call_json(&caller, Method::POST, "/v1/files", &content_type, form).await?;
    let create = json!({
        "input_file_id": file["id"], "endpoint": "/v1/chat/completions", "completion_window": "24h",
        "metadata": {"run": started.elapsed().as_nanos().to_string()},
    });
    let body = create.to_string().into();
    let job = call_json(&caller, Method::POST, "/v1/batches", "application/json", body).await?;
    let id = job["id"].as_str().unwrap_or_default().to_owned();
    let job = wait_until_ended(&caller, &id, started).await?;
    let elapsed = started.elapsed();
    let output = read_item_ids(&caller, &job["output_file_id"]).await?;
    let errors = read_item_ids(&caller, &job["error_file_id"]).await?;
    let mut item_ids: Vec<String> = output.iter().chain(&errors).cloned().collect();
    let results = item_ids.len();
    item_ids.sort();
    item_ids.dedup();
    record(
        flags.out.as_deref(),
        &json!({
            "bench": "batch", "job": id, "status": job["status"], "items": items, "tokens": tokens,
            "results": results, "errors": errors.len(), "repeated": results - item_ids.len(),
            "missing": items - item_ids.len().min(items), "seconds": elapsed.as_secs_f64(),
            "items-per-second": items as f64 / elapsed.as_secs_f64(),
        }),
    )
}

/// Builds the multipart body that uploads the input file of a job with `items` items.
fn upload_form(model: &str, items: usize, tokens: usize) -> Bytes {
    let mut form = format!(
        "--{FORM_BOUNDARY}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{FORM_BOUNDARY}\r\nContent-Disposition: form-data; name=\"file\"; filename=\"items.jsonl\"\r\n\r\n"
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
    form.push_str(&format!("\r\n--{FORM_BOUNDARY}--\r\n"));
    form.into()
}

/// Calls one host after another until one responds, as a caller does when its host fails.
async fn call_json(
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
    let mut last_failure = String::new();
    for attempt in 0..MAX_ATTEMPTS {
        match caller.call(attempt, method.clone(), path, content_type, body.clone()).await {
            Ok(bytes) => return Ok(bytes),
            Err(CallFailure::Refused(code)) => last_failure = format!("refused with {code}"),
            Err(CallFailure::ConnectionFailed(reason)) => last_failure = reason,
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(CommandError::Failed(format!("{path}: {last_failure}")))
}

async fn wait_until_ended(
    caller: &BenchCaller,
    id: &str,
    started: Instant,
) -> Result<Value, CommandError> {
    let bar = new_progress_bar();
    while started.elapsed() < RUN_TIMEOUT {
        let path = format!("/v1/batches/{id}");
        let job = call_json(caller, Method::GET, &path, "application/json", Bytes::new()).await?;
        let count = |name: &str| job["request_counts"][name].as_u64().unwrap_or_default();
        bar.set_length(count("total"));
        bar.set_position(count("completed") + count("failed"));
        if job["status"] != "in_progress" {
            bar.finish_and_clear();
            return Ok(job);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(CommandError::Failed(format!("{id} did not end within {} s", RUN_TIMEOUT.as_secs())))
}

/// Returns the `custom_id` of each line of an output or error file; an absent file has none.
async fn read_item_ids(caller: &BenchCaller, file: &Value) -> Result<Vec<String>, CommandError> {
    let Some(id) = file.as_str() else { return Ok(Vec::new()) };
    let path = format!("/v1/files/{id}/content");
    let bytes = call_bytes(caller, Method::GET, &path, "application/json", Bytes::new()).await?;
    let text = String::from_utf8_lossy(&bytes);
    let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    Ok(lines.map(|line| line["custom_id"].as_str().unwrap_or_default().to_owned()).collect())
}
