//! Reads request bodies with limits on size and time.

use axum::body::Body;
use bytes::Bytes;
use cuminramp_core::{Refusal, ResultCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};

use crate::state::DaemonState;

/// Reads a body of at most `max_bytes` bytes within the body timeout of the settings.
///
/// Without the timeout a caller that stops sending in the middle of a body would hold its connection
/// forever.
pub(crate) async fn read_bounded(
    state: &DaemonState,
    body: Body,
    max_bytes: usize,
) -> Result<Bytes, Refusal> {
    let limit = state.settings.limits.body_timeout();
    match tokio::time::timeout(limit, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body is larger than {max_bytes} bytes");
            Err(Refusal::not_run(ResultCode::BodyTooLarge, message))
        }
        Ok(Err(error)) => Err(Refusal::not_run(ResultCode::BodyMalformed, error.to_string())),
        Err(_) => {
            let message = format!("the body was not complete within {} ms", limit.as_millis());
            Err(Refusal::not_run(ResultCode::BodyTimeout, message))
        }
    }
}
