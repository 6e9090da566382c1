//! Software at which a stream began that a caller takes up.

use std::time::Duration;

use cuminramp_core::{Refusal, ResultCode};
use cuminramp_fleet::{name_hash, stream_key};

use super::serve::{AdmittedRequest, RequestDispatch};
use crate::streams::{StreamQuery, find_origin};

/// Retry delay while the host that knows the version may be out of this host's reach.
const UNKNOWN_VERSION_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Number of time-outs of a route in which a stream begins and its caller takes it up.
const STREAM_TIMEOUTS: u32 = 2;

/// Returns the key of a request's stream: that of the request which the caller says began it, or its own.
pub(super) fn stream_of(request: &AdmittedRequest) -> u64 {
    let head = &request.head;
    let first = head.first_request_id.as_ref().filter(|_| head.last_event.is_some());
    let request_id = first.or(head.request_id.as_ref());
    stream_key(request.team.as_deref().unwrap_or_default(), request_id.map_or("", |id| id))
}

/// Binds a request that resumes a stream to the software that began it. Returns a refusal if that is not
/// known, or if the route no longer leads to the pool.
pub(super) async fn bind_to_origin(dispatch: &mut RequestDispatch) -> Result<(), Refusal> {
    let request = &dispatch.request;
    if request.head.last_event.is_none() || !dispatch.is_stream() {
        return Ok(());
    }
    let is_named = request.head.first_request_id.is_some();
    let has_one_pool = request.route.pools.len() == 1;
    let query = StreamQuery {
        stream: dispatch.stream,
        is_named,
        pool: Some(&request.pool).filter(|_| has_one_pool || !is_named),
        window: request.route.timeout * STREAM_TIMEOUTS,
    };
    let Some(software) = find_origin(&dispatch.state, &query).await else {
        let reason = "no host knows the version at which the stream began; begin a new stream";
        return Err(Refusal::not_run(ResultCode::StreamVersionUnknown, reason)
            .with_retry_after(UNKNOWN_VERSION_RETRY_DELAY));
    };
    let shares = &request.route.pools;
    let share = shares.iter().find(|share| name_hash(&share.pool) == software.pool);
    let Some(share) = share else {
        let reason = "the route no longer leads to the pool at which the stream began";
        return Err(Refusal::not_run(ResultCode::TargetsUnavailable, reason)
            .with_retry_after(UNKNOWN_VERSION_RETRY_DELAY));
    };
    dispatch.request.pool = share.pool.clone();
    dispatch.software = Some(software);
    Ok(())
}
