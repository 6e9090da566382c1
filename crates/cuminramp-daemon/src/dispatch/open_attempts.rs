//! Attempts of one request, which may overlap while a target is silent.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::{Execution, Refusal, ResultCode};
use cuminramp_targets::AttemptFailure;
use futures_util::StreamExt;
use futures_util::future::{BoxFuture, FutureExt};
use futures_util::stream::FuturesUnordered;

use crate::dispatch::attempt::{AttemptResult, TargetLease, start_attempt};
use crate::dispatch::forward::ActiveRequest;
use crate::dispatch::online::{acquire_target, decide_beside_silence, handle_failure};
use crate::dispatch::silence::SilenceWatch;
use crate::interfaces::TargetResponse;
use crate::state::DaemonState;

/// Interval at which a request that waits for a silent target looks for another one, if it is refused a
/// place in the queue.
const ACQUIRE_INTERVAL: Duration = Duration::from_millis(100);

/// Attempts whose targets have not answered yet. Dropping them closes their connections.
#[derive(Default)]
pub(crate) struct OpenAttempts {
    attempts: FuturesUnordered<BoxFuture<'static, (TargetLease, AttemptResult)>>,
    /// Watches the target of the latest attempt.
    watch: Option<SilenceWatch>,
}

impl OpenAttempts {
    /// Starts an attempt, which lasts until the request's deadline at most.
    fn start(&mut self, state: &Arc<DaemonState>, active: &ActiveRequest, lease: TargetLease) {
        let timeout = active.online.first_byte_timeout(state);
        self.watch = Some(SilenceWatch::new(state, &lease.target, timeout));
        let (request, deadline) = (active.next_request(state), active.online.deadline);
        let state = state.clone();
        let attempt = async move {
            let result = start_attempt(&state, &lease, request, deadline).await;
            (lease, result)
        };
        self.attempts.push(attempt.boxed());
    }

    /// Ends all attempts, since another target has sent something.
    pub(crate) fn clear(&mut self) {
        *self = OpenAttempts::default();
    }

    /// Stops watching the target of an attempt that ended.
    fn end(&mut self, lease: TargetLease) {
        self.watch.take_if(|watch| watch.target().name == lease.target.name);
    }
}

/// What happens next to a request that waits for the head of an answer.
enum AttemptStep {
    /// An attempt ended.
    Ended(TargetLease, AttemptResult),
    /// A target for the next attempt was acquired, or none can be.
    Acquired(Result<TargetLease, Refusal>),
    /// The target of the latest attempt is silent.
    Silent,
}

/// Makes attempts until the head of an answer arrives or the retry policy gives up.
///
/// An attempt on a silent target stays open while others are made: that target may be the only one that
/// can still answer. `is_beside` tells that the request also waits for the rest of a silent target's
/// answer.
pub(crate) async fn next_response(
    state: &Arc<DaemonState>,
    active: &mut ActiveRequest,
    open: &mut OpenAttempts,
    is_beside: bool,
) -> Result<(TargetLease, TargetResponse), Refusal> {
    loop {
        let is_alone = !is_beside && open.attempts.is_empty();
        match next_step(state, active, open, is_alone).await {
            AttemptStep::Ended(lease, AttemptResult::Answered(response)) => {
                open.clear();
                return Ok((lease, response));
            }
            AttemptStep::Ended(lease, AttemptResult::Failed(failure)) => {
                open.end(lease);
                end_attempt(state, active, open, failure, is_beside).await?;
            }
            AttemptStep::Acquired(lease) => open.start(state, active, lease?),
            AttemptStep::Silent => {
                if let Some(watch) = &mut open.watch {
                    watch.record_silence(state);
                }
                decide_beside_silence(state, active);
            }
        }
    }
}

/// Makes attempts after the answer of a target failed, or goes on with those that are open beside it.
pub(crate) async fn next_response_after(
    state: &Arc<DaemonState>,
    active: &mut ActiveRequest,
    open: &mut OpenAttempts,
    failure: AttemptFailure,
) -> Result<(TargetLease, TargetResponse), Refusal> {
    end_attempt(state, active, open, failure, false).await?;
    next_response(state, active, open, false).await
}

/// Waits for the next step. Another attempt starts only if the retry policy allowed it.
async fn next_step(
    state: &Arc<DaemonState>,
    active: &mut ActiveRequest,
    open: &mut OpenAttempts,
    is_alone: bool,
) -> AttemptStep {
    let may_start = active.may_start;
    tokio::select! {
        biased;
        Some((lease, result)) = open.attempts.next() => AttemptStep::Ended(lease, result),
        lease = acquire_next(state, active, is_alone), if may_start => AttemptStep::Acquired(lease),
        () = wait_for_silence(open.watch.as_ref()), if !may_start => AttemptStep::Silent,
    }
}

/// Acquires a target for the next attempt. While the request waits for another target too, a refusal is not
/// final.
async fn acquire_next(
    state: &Arc<DaemonState>,
    active: &mut ActiveRequest,
    is_alone: bool,
) -> Result<TargetLease, Refusal> {
    loop {
        match acquire_target(state, active).await {
            Err(_) if !is_alone => tokio::time::sleep(ACQUIRE_INTERVAL).await,
            Err(refusal) => {
                let execution = refusal.execution.max(active.earlier_execution);
                return Err(refusal.with_execution(execution));
            }
            Ok(lease) => return Ok(lease),
        }
    }
}

async fn wait_for_silence(watch: Option<&SilenceWatch>) {
    match watch {
        Some(watch) => watch.wait().await,
        None => std::future::pending().await,
    }
}

/// Applies the retry policy to a failed attempt. Returns the refusal for the caller if no attempt follows and
/// none is open, or if the request is quarantined.
///
/// A request that crashed a target runs on one target at a time, so nothing follows while another target may
/// still run it.
async fn end_attempt(
    state: &DaemonState,
    active: &mut ActiveRequest,
    open: &mut OpenAttempts,
    failure: AttemptFailure,
    is_beside: bool,
) -> Result<(), Refusal> {
    let mut decision = handle_failure(state, active, failure).await;
    let is_alone = !is_beside && open.attempts.is_empty();
    if decision.is_ok() && !is_alone && active.crash_tracker.has_crashed() {
        active.may_start = false;
        let message = "the request crashed a target while another one may have run it";
        let refusal = Refusal::not_run(ResultCode::TargetFailed, message);
        decision = Err(refusal.with_execution(Execution::Ran));
    }
    if open.attempts.is_empty() || active.crash_tracker.is_quarantined() {
        open.clear();
        return decision;
    }
    Ok(())
}
