//! Passes a target's response on to the caller.

use cuminramp_core::Refusal;
use cuminramp_targets::FailureStage;
use http::Response;
use http_body_util::Full;

use super::RequestOutcome;
use super::buffer::{ReadFailure, read_complete};
use super::serve::RequestDispatch;
use super::stream::stream_body;
use crate::entry::ResponseBody;
use crate::targets::{TargetResponse, describe_error, is_path_cut};

/// Returns the head of the caller's response, made from the head of the target's response.
fn response_head(dispatch: &RequestDispatch, target_response: &TargetResponse) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = target_response.parts.status;
    *response.headers_mut() = dispatch.state.call_format.response_headers(&target_response.parts);
    response
}

/// Passes a stream on to the caller as its events arrive.
pub(crate) fn forward_stream(
    dispatch: RequestDispatch,
    response: TargetResponse,
) -> Response<ResponseBody> {
    let head = response_head(&dispatch, &response);
    head.map(|()| ResponseBody::Stream(stream_body(dispatch, response)))
}

/// Buffers a response until it is complete, then passes it on. This way an interrupted response never looks
/// complete to the caller, and the request can be sent to another target where it may run again.
pub(crate) async fn forward_complete(
    mut dispatch: RequestDispatch,
    mut response: TargetResponse,
) -> Result<Response<ResponseBody>, Refusal> {
    loop {
        let deadline = dispatch.deadline();
        let head = response_head(&dispatch, &response);
        let body = read_complete(response.body, &dispatch.state.response_budget);
        let failure = match tokio::time::timeout_at(deadline, body).await {
            Ok(Ok(_)) if response.parts.status.is_server_error() && dispatch.may_run_again() => {
                format!("the target answered {}", response.parts.status)
            }
            Ok(Ok(body)) => {
                let is_failed = response.parts.status.is_server_error();
                if !is_failed {
                    dispatch.record_success();
                }
                // A target may reject a request before it begins to write on any part.
                if response.parts.status.is_success() {
                    dispatch.record_sound_parts();
                }
                response.run.end_complete(response.head.keep_alive);
                let outcome =
                    if is_failed { RequestOutcome::TargetFailed } else { RequestOutcome::Answered };
                dispatch.record.end(outcome);
                return Ok(head.map(|()| ResponseBody::Complete(Full::new(body))));
            }
            // A body without end is the target's fault, not the request's.
            Ok(Err(ReadFailure::TooLong)) => "the response is too long".to_owned(),
            Ok(Err(ReadFailure::Broken(error))) => {
                let reason = describe_error(&error);
                if !is_path_cut(&error) {
                    dispatch.record_crash(&response.run.target, &reason);
                }
                reason
            }
            Err(_) => "response not complete before the deadline".to_owned(),
        };
        response.run.end_failed();
        let next = match dispatch.decide_next_step(FailureStage::Sent, "broken-answer", &failure) {
            Ok(()) => dispatch.send_until_answered().await,
            Err(refusal) => Err(refusal),
        };
        response = match next {
            Ok(response) if dispatch.is_stream() && response.parts.status.is_success() => {
                return Ok(forward_stream(dispatch, response));
            }
            Ok(response) => response,
            Err(refusal) => {
                dispatch.record.end_refused(&refusal);
                return Err(refusal);
            }
        };
    }
}
