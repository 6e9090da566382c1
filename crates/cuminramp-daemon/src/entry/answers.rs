//! Refusals as callers read them.

use std::sync::Arc;

use axum::extract::State;
use axum::http::{HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use cuminramp_core::{Refusal, ResultCode};
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use serde_json::{Value, json};

use crate::state::DaemonState;

/// The body of a refusal, in the shape that OpenAI clients parse.
pub(crate) fn error_body(refusal: &Refusal) -> Value {
    json!({
        "error": {
            "message": refusal.message,
            "type": refusal.code.kind(),
            "code": refusal.code.name(),
            "param": null,
            "cuminramp_code": refusal.code.number(),
            "execution": refusal.execution.as_str(),
        }
    })
}

/// The answer that carries a refusal.
pub(crate) fn refusal_response(state: &DaemonState, refusal: &Refusal) -> Response {
    state.metrics.count_refusal(refusal.code.number());
    let status = StatusCode::from_u16(refusal.code.http_status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = (status, error_body(refusal).to_string()).into_response();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert("cuminramp-code", refusal.code.number().into());
    headers.insert("cuminramp-execution", HeaderValue::from_static(refusal.execution.as_str()));
    // The rest of such a body is never read, so the connection ends. A caller who does not know would
    // send its next request on it and get no answer.
    if matches!(refusal.code, ResultCode::BodyTooLarge | ResultCode::BodyTimeout) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(wait) = refusal.retry_after {
        // The header counts whole seconds; a caller who can do better reads the milliseconds.
        let millis = wait.as_millis() as u64;
        headers.insert(RETRY_AFTER, millis.div_ceil(1_000).max(1).into());
        headers.insert("retry-after-ms", millis.into());
    }
    response
}

/// Turns an outcome into an answer.
pub(crate) fn answer<R: IntoResponse>(
    state: &DaemonState,
    outcome: Result<R, Refusal>,
) -> Response {
    match outcome {
        Ok(answer) => answer.into_response(),
        Err(refusal) => refusal_response(state, &refusal),
    }
}

/// Answers a path or method that nobody serves.
pub(crate) async fn unknown_endpoint(State(state): State<Arc<DaemonState>>) -> Response {
    let refusal = Refusal::not_run(ResultCode::EndpointUnknown, "there is no such endpoint");
    refusal_response(&state, &refusal)
}
