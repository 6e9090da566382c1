//! Sends a request to one target and checks the head of the response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::Name;
use cuminramp_fleet::{FleetTarget, WorkKind};
use http::{HeaderMap, Method, Request, StatusCode, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::{TargetConnection, describe_error, is_path_cut};
use crate::entry::NOT_RUN_STATUSES;
use crate::interfaces::ResponseHead;
use crate::state::{GatewayState, lock};

/// A request to a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetRequest {
    pub(crate) method: Method,
    pub(crate) path: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Request ID that the response has to carry.
    pub(crate) request_id: Option<Name>,
    /// Whether the request is sent over a new connection.
    pub(crate) needs_new_connection: bool,
    /// Timeout for acknowledgements of what is sent over a new connection.
    pub(crate) unacknowledged_timeout: Duration,
    /// Timeout for the head of the response.
    pub(crate) head_timeout: Duration,
}

/// Why a request got no usable response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum SendFailure {
    /// No byte of the request was sent.
    NotSent(String),
    /// The target refused the request and did not run it.
    Refused {
        /// Whether the target has another address now: the response came from a different target.
        is_misdirected: bool,
        /// Status of the response.
        status: StatusCode,
    },
    /// The connection broke after the request was sent, or the response has a status in [`NOT_RUN_STATUSES`]
    /// although the target did not state that the request was not run.
    Broken(String),
    /// The network path to the target was cut after the request was sent.
    Cut(String),
    /// No response arrived within this timeout.
    Silent(Duration),
    /// The response doesn't belong to this request or isn't signed by a target.
    Foreign,
    /// The bytes that arrived are no head of a response, or one that is too long.
    Malformed(String),
}

impl SendFailure {
    /// Returns the value for logs and metrics.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            SendFailure::NotSent(_) => "not-sent",
            SendFailure::Refused { is_misdirected: true, .. } => "misdirected",
            SendFailure::Refused { .. } => "refused",
            SendFailure::Broken(_) => "broken",
            SendFailure::Cut(_) => "cut",
            SendFailure::Silent(_) => "silent",
            SendFailure::Foreign => "foreign-answer",
            SendFailure::Malformed(_) => "malformed-answer",
        }
    }

    /// Whether it is certain that the target did not run the request.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self, SendFailure::NotSent(_) | SendFailure::Refused { .. })
    }
}

/// A request or item in flight at a target, counted in the target's load until it is dropped.
pub(crate) struct TargetRun {
    state: Arc<GatewayState>,
    pub(crate) target: FleetTarget,
    kind: WorkKind,
    connection: Option<TargetConnection>,
    started_at: Instant,
}

impl TargetRun {
    /// Counts the work, and schedules the report of it to the owner of the slot.
    pub(crate) fn begin(state: &Arc<GatewayState>, target: FleetTarget, kind: WorkKind) -> Self {
        lock(&state.placement).begin(&target.id, kind);
        state.slots.schedule_report(&target.group());
        TargetRun {
            state: state.clone(),
            target,
            kind,
            connection: None,
            started_at: Instant::now(),
        }
    }

    /// Records a complete response, and keeps the connection for reuse.
    pub(crate) fn end_complete(mut self, keep_alive: Option<Duration>) {
        if let Some(connection) = self.connection.take() {
            self.state.connections.put_back(connection, keep_alive);
        }
        let mut placement = lock(&self.state.placement);
        placement.record_success(&self.target.id, Instant::now());
        if self.kind == WorkKind::Online {
            let hold_time = self.started_at.elapsed();
            placement.record_hold_time(hold_time);
            placement.record_target_hold(&self.target.id, hold_time, Instant::now());
        }
    }

    /// Records that the target sends again after it was recorded as silent.
    pub(crate) fn record_resumed(&self) {
        lock(&self.state.placement).record_success(&self.target.id, Instant::now());
    }

    /// Records that the target broke the connection or timed out, and closes its idle connections.
    pub(crate) fn end_failed(self) {
        lock(&self.state.placement).record_failure(&self.target.id, Instant::now());
        self.state.connections.close_idle(&self.target.address);
    }
}

impl Drop for TargetRun {
    fn drop(&mut self) {
        drop(self.connection.take());
        lock(&self.state.placement).end(&self.target.id, self.kind);
        self.state.slots.bring_report_forward(&self.target.group());
    }
}

/// A response whose head was received.
pub(crate) struct TargetResponse {
    pub(crate) run: TargetRun,
    pub(crate) parts: response::Parts,
    pub(crate) head: ResponseHead,
    pub(crate) body: Incoming,
}

/// Sends a request and waits for the head of its response.
pub(crate) async fn send_request(
    mut run: TargetRun,
    request: TargetRequest,
) -> Result<TargetResponse, SendFailure> {
    let state = run.state.clone();
    let outcome = exchange(&mut run, request).await;
    match &outcome {
        Ok(_) => {
            state.metrics.count_attempt("answered");
            lock(&state.placement).record_reachable(&run.target.id);
        }
        Err(failure) => record_send_failure(&state, run.target.clone(), failure),
    }
    let (parts, head, body) = outcome?;
    Ok(TargetResponse { run, parts, head, body })
}

async fn exchange(
    run: &mut TargetRun,
    request: TargetRequest,
) -> Result<(response::Parts, ResponseHead, Incoming), SendFailure> {
    let state = run.state.clone();
    let (address, unacknowledged) = (run.target.address.clone(), request.unacknowledged_timeout);
    let mut connection =
        state.connections.acquire(&address, request.needs_new_connection, unacknowledged).await;
    if let Err(error) = &connection {
        return Err(SendFailure::NotSent(error.to_string()));
    }
    let mut http_request = build_http_request(&request);
    let deadline = Instant::now() + request.head_timeout;
    let (response, is_reused) = loop {
        let acquired = connection.map_err(|error| SendFailure::NotSent(error.to_string()))?;
        let is_reused = acquired.is_reused;
        let head_limit = acquired.head_limit();
        head_limit.begin();
        run.connection = Some(acquired);
        let Some(sender) = run.connection.as_mut().and_then(TargetConnection::sender) else {
            return Err(SendFailure::NotSent("the connection is closed".into()));
        };
        match tokio::time::timeout_at(deadline, sender.try_send_request(http_request)).await {
            Err(_) => return Err(SendFailure::Silent(request.head_timeout)),
            Ok(Ok(response)) => {
                head_limit.end();
                break (response, is_reused);
            }
            Ok(Err(mut error)) => match error.take_message() {
                // The idle connection was closed before a byte of the request was sent.
                Some(unsent) if is_reused => {
                    http_request = unsent;
                    connection = state.connections.acquire(&address, true, unacknowledged).await;
                }
                Some(_) => return Err(SendFailure::NotSent(describe_error(error.error()))),
                None if is_path_cut(error.error()) => {
                    return Err(SendFailure::Cut(describe_error(error.error())));
                }
                None if error.error().is_parse() || head_limit.is_exceeded() => {
                    return Err(SendFailure::Malformed(describe_error(error.error())));
                }
                None => return Err(SendFailure::Broken(describe_error(error.error()))),
            },
        }
    };
    let (parts, body) = response.into_parts();
    let head = state.call_format.read_response(&parts);
    check_response(&request, &parts, &head, is_reused)?;
    if let Some(active_requests) = head.active_requests {
        lock(&state.placement).record_load(&run.target.id, active_requests, Instant::now());
    }
    if let Some(pace) = head.pace {
        lock(&state.placement).record_pace(&run.target.id, pace, Instant::now());
    }
    Ok((parts, head, body))
}

/// Checks that a response belongs to the request and that the target ran the request.
///
/// A late response to an earlier request may arrive on the connection while this one is expected. Without the
/// check, the caller would receive the response to another request, or a wrong "not run".
fn check_response(
    request: &TargetRequest,
    parts: &response::Parts,
    head: &ResponseHead,
    is_reused: bool,
) -> Result<(), SendFailure> {
    let is_for_request = head.request_id == request.request_id;
    // A refusal may lack the request ID, for example if the target could not parse the head. On a reused
    // connection it could then belong to an earlier request.
    let is_refusal = head.is_misdirected || head.is_not_run;
    if is_refusal && (is_for_request || (head.request_id.is_none() && !is_reused)) {
        let is_misdirected = head.is_misdirected;
        return Err(SendFailure::Refused { is_misdirected, status: parts.status });
    }
    if !is_for_request || !head.is_signed || is_refusal {
        return Err(SendFailure::Foreign);
    }
    // This status would guarantee to the caller that the request was not run, which the target did not state.
    if NOT_RUN_STATUSES.contains(&parts.status.as_u16()) {
        return Err(SendFailure::Broken(parts.status.to_string()));
    }
    Ok(())
}

fn build_http_request(request: &TargetRequest) -> Request<Full<Bytes>> {
    let mut http_request = Request::new(Full::new(request.body.clone()));
    *http_request.method_mut() = request.method.clone();
    *http_request.uri_mut() = request.path.clone();
    *http_request.headers_mut() = request.headers.clone();
    http_request
}

/// Records that a target is silent, so that the next request avoids it. Its idle connections are closed, since they
/// may be silent for good.
pub(crate) fn record_silent_target(state: &GatewayState, target: &FleetTarget) {
    state.metrics.count_attempt("silent");
    lock(&state.placement).record_failure(&target.id, Instant::now());
    state.connections.close_idle(&target.address);
}

/// Records a failed send in the placement table, so that the next request avoids the target.
fn record_send_failure(state: &GatewayState, target: FleetTarget, failure: &SendFailure) {
    state.metrics.count_attempt(failure.as_str());
    let now = Instant::now();
    let mut placement = lock(&state.placement);
    match failure {
        SendFailure::Refused { is_misdirected: true, .. } => placement.remove(&target.id),
        SendFailure::Refused { .. } => placement.record_full(&target.id, now),
        SendFailure::NotSent(_) => {
            placement.record_unreachable(&target.id, now);
            placement.record_failure(&target.id, now);
        }
        _ => placement.record_failure(&target.id, now),
    }
    drop(placement);
    let breaks_connections = !matches!(
        failure,
        SendFailure::NotSent(_) | SendFailure::Refused { .. } | SendFailure::Foreign
    );
    if breaks_connections {
        state.connections.close_idle(&target.address);
    }
}
