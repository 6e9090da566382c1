//! Bodies of requests, bounded in size and time.

use axum::body::Body;
use bytes::Bytes;
use cuminramp_core::{Refusal, ResultCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};

use crate::state::DaemonState;

/// Reads a body of at most `most` bytes within the time that settings allow.
///
/// A caller that sends half a body and goes silent holds its connection no longer than that.
pub(crate) async fn read_bounded(
    state: &DaemonState,
    body: Body,
    most: usize,
) -> Result<Bytes, Refusal> {
    let limit = state.settings.limits.body_timeout();
    match tokio::time::timeout(limit, Limited::new(body, most).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body is larger than {most} bytes");
            Err(Refusal::not_run(ResultCode::BodyTooLarge, message))
        }
        Ok(Err(error)) => Err(Refusal::not_run(ResultCode::BodyMalformed, error.to_string())),
        Err(_) => {
            let message = format!("the body was not whole within {} ms", limit.as_millis());
            Err(Refusal::not_run(ResultCode::BodyTimeout, message))
        }
    }
}
