//! Answers as callers read them.

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

/// Statuses that promise that a request was not run and never will be.
pub(crate) const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The body of an answer.
pub(crate) enum AnswerBody {
    /// All of it is there.
    Whole(Full<Bytes>),
    /// It comes in events.
    Stream(BoxStream<'static, Result<Frame<Bytes>, io::Error>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            AnswerBody::Whole(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            AnswerBody::Stream(frames) => frames.as_mut().poll_next(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(body) => body.is_end_stream(),
            AnswerBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(body) => body.size_hint(),
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}

/// An answer of this host's own.
pub(crate) fn complete_response(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Full::new(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// The status of a refusal. A request that may have run never gets one of the statuses that promise
/// that it has not.
fn refusal_status(refusal: &Refusal) -> StatusCode {
    let status = refusal.code.http_status();
    let is_promise = PROMISES.contains(&status);
    if is_promise && refusal.execution != Execution::NotRun {
        return StatusCode::BAD_GATEWAY;
    }
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// The answer that carries a refusal.
pub(crate) fn refusal_response(state: &GatewayState, refusal: &Refusal) -> Response<AnswerBody> {
    state.metrics.count_refusal(refusal.code.number());
    let body = json!({
        "error": {
            "message": refusal.message,
            "type": refusal.code.kind(),
            "code": refusal.code.name(),
            "cuminramp_code": refusal.code.number(),
            "execution": refusal.execution.as_str(),
        }
    });
    let mut response = complete_response(refusal_status(refusal), Bytes::from(body.to_string()));
    let headers = response.headers_mut();
    headers.insert("cuminramp-code", refusal.code.number().into());
    headers.insert("cuminramp-execution", HeaderValue::from_static(refusal.execution.as_str()));
    if let Some(after) = refusal.retry_after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}

#[cfg(test)]
mod tests;
