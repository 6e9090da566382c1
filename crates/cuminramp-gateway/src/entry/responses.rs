//! HTTP responses to callers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use cuminramp_core::{Execution, Refusal};
use futures_util::stream::BoxStream;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use serde_json::json;

use crate::state::GatewayState;

/// HTTP statuses that guarantee that a request was not run and never will be, so that callers may repeat it.
pub(crate) const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Body of a response.
pub(crate) enum ResponseBody {
    /// The complete body is in memory.
    Complete(Full<Bytes>),
    /// The body is streamed event by event.
    Stream(BoxStream<'static, Result<Frame<Bytes>, io::Error>>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            ResponseBody::Complete(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            ResponseBody::Stream(frames) => frames.as_mut().poll_next(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Complete(body) => body.is_end_stream(),
            ResponseBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(body) => body.size_hint(),
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}

/// Returns a JSON response with a complete body that this host has generated.
pub(crate) fn complete_response(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Complete(Full::new(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns the HTTP status of a refusal. For a request that may have run, each status in [`NOT_RUN_STATUSES`]
/// is replaced by 502, so that its caller doesn't repeat it.
fn refusal_status(refusal: &Refusal) -> StatusCode {
    let status = refusal.code.http_status();
    let means_not_run = NOT_RUN_STATUSES.contains(&status);
    if means_not_run && refusal.execution != Execution::NotRun {
        return StatusCode::BAD_GATEWAY;
    }
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Returns the response for a refusal and counts it in the metrics.
pub(crate) fn refusal_response(state: &GatewayState, refusal: &Refusal) -> Response<ResponseBody> {
    state.metrics.count_refusal(refusal.code.number());
    let body = json!({
        "error": {
            "message": refusal.message,
            "type": refusal.code.error_type(),
            "code": refusal.code.name(),
            "cuminramp_code": refusal.code.number(),
            "execution": refusal.execution.as_str(),
        }
    });
    let mut response = complete_response(refusal_status(refusal), Bytes::from(body.to_string()));
    let headers = response.headers_mut();
    headers.insert("cuminramp-code", refusal.code.number().into());
    headers.insert("cuminramp-execution", HeaderValue::from_static(refusal.execution.as_str()));
    if let Some(retry_after) = refusal.retry_after {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}

#[cfg(test)]
mod tests;
