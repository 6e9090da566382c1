//! Responses that carry refusals.

use std::sync::Arc;

use axum::extract::State;
use axum::http::{HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use cuminramp_core::{Refusal, ResultCode};
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use serde_json::{Value, json};

use crate::state::DaemonState;

/// Returns the body of a refusal, in the format that OpenAI clients parse.
pub(crate) fn error_body(refusal: &Refusal) -> Value {
    json!({
        "error": {
            "message": refusal.message,
            "type": refusal.code.error_type(),
            "code": refusal.code.name(),
            "param": null,
            "cuminramp_code": refusal.code.number(),
            "execution": refusal.execution.as_str(),
        }
    })
}

/// Returns the response for a refusal, and counts the refusal.
pub(crate) fn refusal_response(state: &DaemonState, refusal: &Refusal) -> Response {
    state.metrics.count_refusal(refusal.code.number());
    let status = StatusCode::from_u16(refusal.code.http_status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = (status, error_body(refusal).to_string()).into_response();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert("cuminramp-code", refusal.code.number().into());
    headers.insert("cuminramp-execution", HeaderValue::from_static(refusal.execution.as_str()));
    // The rest of the body is never read in these cases, so the connection is closed. Without the header
    // the caller would send its next request on the connection and get no response.
    if matches!(refusal.code, ResultCode::BodyTooLarge | ResultCode::BodyTimeout) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(wait) = refusal.retry_after {
        // `Retry-After` has whole seconds, at least 1. Callers that support `retry-after-ms` get the exact
        // time.
        let millis = wait.as_millis() as u64;
        headers.insert(RETRY_AFTER, millis.div_ceil(1_000).max(1).into());
        headers.insert("retry-after-ms", millis.into());
    }
    response
}

/// Converts an outcome into a response.
pub(crate) fn respond<R: IntoResponse>(
    state: &DaemonState,
    outcome: Result<R, Refusal>,
) -> Response {
    match outcome {
        Ok(value) => value.into_response(),
        Err(refusal) => refusal_response(state, &refusal),
    }
}

/// Responds to a path or method that has no handler.
pub(crate) async fn unknown_endpoint(State(state): State<Arc<DaemonState>>) -> Response {
    let refusal =
        Refusal::not_run(ResultCode::EndpointUnknown, "no endpoint has this path and method");
    refusal_response(&state, &refusal)
}
