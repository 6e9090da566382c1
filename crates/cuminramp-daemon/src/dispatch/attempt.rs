//! Runs one attempt of a request on one target.

use std::sync::Arc;

use cuminramp_core::Name;
use cuminramp_http::CallError;
use cuminramp_routes::Target;
use cuminramp_targets::{AttemptEnd, AttemptFailure, FailureStage, WorkKind};
use http::StatusCode;
use tokio::time::Instant;

use crate::interfaces::{TargetRequest, TargetResponse};
use crate::state::{DaemonState, lock};

/// Holds a slot on a target and releases it when dropped, also when the caller disconnects.
///
/// Releasing the slot of an online request wakes the next request that waits for the pool.
pub(crate) struct TargetLease {
    state: Arc<DaemonState>,
    pub(crate) target: Target,
    pool: Name,
    kind: WorkKind,
}

impl TargetLease {
    pub(crate) fn new(
        state: &Arc<DaemonState>,
        pool: &Name,
        target: Target,
        kind: WorkKind,
    ) -> Self {
        lock(&state.targets).on_start(&target.name, kind, Instant::now());
        TargetLease { state: state.clone(), target, pool: pool.clone(), kind }
    }

    /// Records the outcome of the attempt for outlier ejection.
    pub(crate) fn record_outcome(&self, end: AttemptEnd) {
        record_outcome(&self.state, &self.target, end);
    }
}

/// Records the outcome of an attempt on a target for outlier ejection.
///
/// Connections to a silent target are dropped, since they may be dead. Those of attempts in progress stay
/// open.
pub(crate) fn record_outcome(state: &DaemonState, target: &Target, end: AttemptEnd) {
    let ejected = lock(&state.targets).on_outcome(&target.name, end, Instant::now());
    if ejected {
        log::info!(target_name = &*target.name, decision = "set-aside"; "target");
    }
    if end == AttemptEnd::Silent {
        state.target_caller.drop_connections(&target.address);
    }
}

impl Drop for TargetLease {
    fn drop(&mut self) {
        lock(&self.state.targets).on_finish(&self.target.name, self.kind);
        if self.kind == WorkKind::Online {
            self.state.queues.wake_next(&self.pool);
        }
    }
}

/// Result of an attempt up to the head of the answer.
pub(crate) enum AttemptResult {
    /// The target answered; the answer can be forwarded to the caller.
    Answered(TargetResponse),
    /// The attempt failed; the retry policy decides what follows.
    Failed(AttemptFailure),
}

/// Sends a request and waits for the head of its answer until `deadline`.
pub(crate) async fn start_attempt(
    state: &DaemonState,
    lease: &TargetLease,
    request: TargetRequest,
    deadline: Instant,
) -> AttemptResult {
    let started = Instant::now();
    let remaining = deadline.saturating_duration_since(started);
    let outcome = state.target_caller.call(&lease.target.address, request, remaining).await;
    match outcome {
        Ok(response) => {
            let result = classify_response(response);
            match &result {
                AttemptResult::Answered(_) => {
                    lease.record_outcome(AttemptEnd::Answered(started.elapsed()))
                }
                AttemptResult::Failed(_) => lease.record_outcome(AttemptEnd::Failed),
            }
            result
        }
        Err(error) => {
            // The request's deadline shows nothing about the target's health.
            lease.record_outcome(match error {
                CallError::TimedOut(_) => AttemptEnd::Cancelled,
                _ => AttemptEnd::Failed,
            });
            let reason = error.to_string();
            log::info!(target_name = &*lease.target.name, reason = reason.as_str(); "attempt-failed");
            AttemptResult::Failed(failure_from_error(&error))
        }
    }
}

/// Returns the failure for an error that occurred before the head of an answer arrived.
fn failure_from_error(error: &CallError) -> AttemptFailure {
    match error {
        CallError::NotSent(_) => AttemptFailure { stage: FailureStage::NotSent, is_crash: false },
        CallError::ConnectionFailed(_) => {
            AttemptFailure { stage: FailureStage::Sent, is_crash: true }
        }
        CallError::TimedOut(_) => AttemptFailure { stage: FailureStage::Sent, is_crash: false },
    }
}

/// Classifies an answer by its status.
///
/// With 429 and 503 the target reports that it did not start the request, with any other 5xx that it
/// failed. Every other status is the caller's answer.
fn classify_response(response: TargetResponse) -> AttemptResult {
    let stage = match response.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => FailureStage::Refused,
        status if status.is_server_error() => FailureStage::Failed,
        _ => return AttemptResult::Answered(response),
    };
    AttemptResult::Failed(AttemptFailure { stage, is_crash: false })
}
