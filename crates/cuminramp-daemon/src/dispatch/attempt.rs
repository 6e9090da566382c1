//! One attempt on one target.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cuminramp_core::{Name, SortedMap};
use cuminramp_http::CallError;
use cuminramp_routes::Target;
use cuminramp_targets::{AttemptEnd, AttemptFailure, FailureStage, WorkKind};
use http::StatusCode;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::interfaces::{TargetAnswer, TargetRequest};
use crate::state::{DaemonState, lock};

/// Tells attempts that wait for an answer that their target has fallen silent.
///
/// An answer that is not a stream comes at once at its end, so an attempt can't tell a slow target
/// from a silent one; the load reports can. Without this a caller would wait until its deadline.
#[derive(Default)]
pub(crate) struct SilenceBoard {
    tokens: Mutex<SortedMap<Name, CancellationToken>>,
}

impl SilenceBoard {
    fn token(&self, target: &Name) -> CancellationToken {
        lock(&self.tokens).get_or_insert_with(target.clone(), CancellationToken::new).clone()
    }

    /// Ends the attempts that run on a target now.
    pub(crate) fn note_silent(&self, target: &str) {
        if let Some(token) = lock(&self.tokens).remove(target) {
            token.cancel();
        }
    }
}

/// Holds a place on a target and gives it back when dropped, also when the caller goes away.
pub(crate) struct TargetLease {
    state: Arc<DaemonState>,
    pub(crate) target: Target,
    pool: Name,
    kind: WorkKind,
    /// Cancelled when the target is found to be silent.
    pub(crate) silenced: CancellationToken,
}

impl TargetLease {
    pub(crate) fn new(
        state: &Arc<DaemonState>,
        pool: &Name,
        target: Target,
        kind: WorkKind,
    ) -> Self {
        lock(&state.targets).on_start(&target.name, kind, Instant::now());
        let silenced = state.silence.token(&target.name);
        TargetLease { state: state.clone(), target, pool: pool.clone(), kind, silenced }
    }

    /// Notes how the attempt ended as far as the target is concerned.
    pub(crate) fn note(&self, end: AttemptEnd) {
        let ejected = lock(&self.state.targets).on_outcome(&self.target.name, end, Instant::now());
        if ejected {
            log::info!(target_name = &*self.target.name, decision = "set-aside"; "target");
        }
        if end == AttemptEnd::Silent {
            self.state.caller.drop_connections(&self.target.address);
        }
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

/// What became of the first part of an attempt.
pub(crate) enum AttemptResult {
    /// The head of an answer that may be passed on.
    Answered(TargetAnswer),
    /// A failure to decide on.
    Failed(AttemptFailure),
}

/// Sends the request and waits for the head of its answer, no longer than `wait` and `deadline`.
pub(crate) async fn start_attempt(
    state: &DaemonState,
    lease: &TargetLease,
    request: TargetRequest,
    wait: Duration,
    deadline: Instant,
) -> AttemptResult {
    let started = Instant::now();
    let left = deadline.saturating_duration_since(started);
    let called = tokio::select! {
        called = state.caller.call(&lease.target.address, request, wait.min(left)) => called,
        () = lease.silenced.cancelled() => Err(CallError::Silent("no load report".into())),
    };
    match called {
        Ok(answer) => {
            let result = classify_answer(answer);
            match &result {
                AttemptResult::Answered(_) => lease.note(AttemptEnd::Answered(started.elapsed())),
                AttemptResult::Failed(_) => lease.note(AttemptEnd::Failed),
            }
            result
        }
        Err(error) => {
            // A request whose own deadline came first says nothing about the target.
            let cut_short = left < wait && !lease.silenced.is_cancelled();
            lease.note(match error {
                CallError::Silent(_) if cut_short => AttemptEnd::Abandoned,
                CallError::Silent(_) => AttemptEnd::Silent,
                _ => AttemptEnd::Failed,
            });
            let reason = error.to_string();
            log::info!(target_name = &*lease.target.name, reason = reason.as_str(); "attempt-failed");
            AttemptResult::Failed(failure_of(&error))
        }
    }
}

/// How far an attempt had come that ended with this error before the head of an answer.
fn failure_of(error: &CallError) -> AttemptFailure {
    match error {
        CallError::NotSent(_) => AttemptFailure { stage: FailureStage::NotSent, is_crash: false },
        CallError::Broken(_) => AttemptFailure { stage: FailureStage::Sent, is_crash: true },
        CallError::Silent(_) => AttemptFailure { stage: FailureStage::Sent, is_crash: false },
    }
}

/// Tells answers from failures: 429 and 503 say that the target did not begin, other 5xx that it
/// failed; everything else is the caller's answer.
fn classify_answer(answer: TargetAnswer) -> AttemptResult {
    let stage = match answer.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => FailureStage::Refused,
        status if status.is_server_error() => FailureStage::Failed,
        _ => return AttemptResult::Answered(answer),
    };
    AttemptResult::Failed(AttemptFailure { stage, is_crash: false })
}
