//! HTTP interface of an engine: chat completions, load, commands, faults and a generic service.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::mpsc;

use crate::engine::EngineShared;
use crate::engine_core::{SequenceEvent, SequenceRequest};

/// Number of tokens generated if the request doesn't set `max_tokens`.
const DEFAULT_TOKENS: usize = 16;
/// Request header with the position of the first token to generate, for resuming a stream.
const RESUME_HEADER: &str = "x-resume-position";
/// Maximum size of the body of a service call, in bytes.
const MAX_SERVICE_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<usize>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatMessage {
    content: String,
}

/// Body of a command, such as loading a model or changing the role of the engine.
#[derive(Deserialize)]
struct CommandBody {
    fence: u64,
}

/// Faults to inject while the engine runs.
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
#[derive(Default)]
struct FaultBody {
    silent: Option<bool>,
    failing: Option<bool>,
    crash: bool,
}

type Shared = State<Arc<EngineShared>>;

pub(crate) fn build_router(shared: Arc<EngineShared>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(complete_chat))
        .route("/load", get(show_load))
        .route("/orders", post(apply_command))
        .route("/faults", post(set_faults))
        .route("/stats", get(show_stats))
        .route("/runs", get(show_runs))
        .fallback(echo_call)
        .with_state(shared)
}

/// Waits until the engine is no longer silent. Never returns if it is set to be unresponsive.
async fn wait_until_responsive(shared: &EngineShared) {
    if shared.control.unresponsive.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    shared.core.wait_out_silence().await;
}

async fn complete_chat(
    State(shared): Shared,
    headers: HeaderMap,
    Json(body): Json<ChatBody>,
) -> Response {
    wait_until_responsive(&shared).await;
    if shared.control.failing.load(Ordering::Relaxed) {
        return (StatusCode::INTERNAL_SERVER_ERROR, "the engine is failing").into_response();
    }
    let prompt = body.messages.iter().map(|message| message.content.as_str()).collect::<String>();
    shared.core.count_run(&prompt);
    let marker = &shared.settings.crash_marker;
    if !marker.is_empty() && prompt.contains(marker.as_str()) {
        shared.crash.notify_one();
        std::future::pending::<()>().await;
    }
    let start = headers.get(RESUME_HEADER).and_then(|value| value.to_str().ok());
    let start = start.and_then(|text| text.parse().ok()).unwrap_or(0);
    let tokens = body.max_tokens.unwrap_or(DEFAULT_TOKENS);
    let receiver = shared.core.submit(SequenceRequest { prompt, start, tokens });
    if body.stream {
        stream_answer(&body.model, receiver)
    } else {
        complete_response(&body.model, receiver, tokens).await
    }
}

/// Encodes a part of a chat completion as a server-sent event.
fn chunk_event(model: &str, content: &str, finish: Option<&str>) -> Bytes {
    let chunk = json!({
        "id": "chatcmpl-standin",
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": {"content": content}, "finish_reason": finish}],
    });
    Bytes::from(format!("data: {chunk}\n\n"))
}

/// Server-sent events of a streamed answer.
struct EventStream {
    model: String,
    receiver: mpsc::UnboundedReceiver<SequenceEvent>,
    ended: bool,
}

impl EventStream {
    /// Returns the next event, or `None` after the last one.
    ///
    /// After a crash it never returns: the connection is closed before the stream ends, so that a
    /// truncated answer doesn't look complete.
    async fn next_event(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        match self.receiver.recv().await {
            Some(SequenceEvent::Token(token)) => Some(chunk_event(&self.model, &token, None)),
            Some(SequenceEvent::End) => {
                self.ended = true;
                let mut event = chunk_event(&self.model, "", Some("stop")).to_vec();
                event.extend_from_slice(b"data: [DONE]\n\n");
                Some(event.into())
            }
            None => std::future::pending().await,
        }
    }
}

fn stream_answer(model: &str, receiver: mpsc::UnboundedReceiver<SequenceEvent>) -> Response {
    let state = EventStream { model: model.to_owned(), receiver, ended: false };
    let events = futures_util::stream::unfold(state, |mut state| async move {
        let event = state.next_event().await?;
        Some((Ok::<Bytes, Infallible>(event), state))
    });
    let body = Body::from_stream(events);
    ([("content-type", "text/event-stream")], body).into_response()
}

async fn complete_response(
    model: &str,
    mut receiver: mpsc::UnboundedReceiver<SequenceEvent>,
    tokens: usize,
) -> Response {
    let mut content = String::new();
    loop {
        match receiver.recv().await {
            Some(SequenceEvent::Token(token)) => content.push_str(&token),
            Some(SequenceEvent::End) => break,
            None => std::future::pending().await,
        }
    }
    Json(json!({
        "id": "chatcmpl-standin",
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": "stop",
        }],
        "usage": {"prompt_tokens": 0, "completion_tokens": tokens, "total_tokens": tokens},
    }))
    .into_response()
}

async fn show_load(State(shared): Shared) -> Response {
    wait_until_responsive(&shared).await;
    if !shared.settings.reports_load {
        return StatusCode::NOT_FOUND.into_response();
    }
    Json(shared.core.delayed_report()).into_response()
}

async fn apply_command(State(shared): Shared, Json(command): Json<CommandBody>) -> Response {
    let highest = shared.control.fence.fetch_max(command.fence, Ordering::Relaxed);
    if command.fence < highest {
        shared.control.stale_commands.fetch_add(1, Ordering::Relaxed);
        if shared.settings.checks_fencing {
            return (StatusCode::CONFLICT, Json(json!({"fence": highest}))).into_response();
        }
    }
    Json(json!({"fence": command.fence})).into_response()
}

async fn set_faults(State(shared): Shared, Json(faults): Json<FaultBody>) -> StatusCode {
    if let Some(silent) = faults.silent {
        shared.control.unresponsive.store(silent, Ordering::Relaxed);
    }
    if let Some(failing) = faults.failing {
        shared.control.failing.store(failing, Ordering::Relaxed);
    }
    if faults.crash {
        shared.crash.notify_one();
    }
    StatusCode::OK
}

async fn show_stats(State(shared): Shared) -> Response {
    let stale_commands = shared.control.stale_commands.load(Ordering::Relaxed);
    Json(json!({"engine": shared.core.stats(), "late-orders": stale_commands})).into_response()
}

async fn show_runs(State(shared): Shared) -> Response {
    Json(shared.core.runs()).into_response()
}

/// Handles calls to the generic service: returns the call and how often the same call has run.
async fn echo_call(State(shared): Shared, request: Request) -> Response {
    wait_until_responsive(&shared).await;
    let (head, body) = request.into_parts();
    let Ok(body) = axum::body::to_bytes(body, MAX_SERVICE_BYTES).await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    let runs = shared.core.count_run(&format!("{} {} {body}", head.method, head.uri));
    let has_key = head.headers.contains_key("authorization");
    let response = json!({
        "method": head.method.as_str(),
        "path": head.uri.to_string(),
        "body": body,
        "runs": runs,
        "saw-key": has_key,
    });
    ([("x-service", "stand-in")], Json(response)).into_response()
}
