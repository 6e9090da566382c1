//! Refusals of requests that get no slot at a target.

use std::time::Duration;

use cuminramp_core::{Execution, Refusal, ResultCode};
use cuminramp_fleet::RejectionReason;

/// Retry delay while a pool has no target. Targets register within about a second after they start.
const NO_TARGET_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Returns whether a request may have run, given the number of its sends that a target may have run, and
/// whether the path to a target was cut after a send.
pub(super) fn execution_after(runs: u32, has_cut_send: bool) -> Execution {
    if runs > 0 || has_cut_send { Execution::MayHaveRun } else { Execution::NotRun }
}

/// Returns the refusal of a request that gets no slot in time. `execution` is that of its
/// earlier sends: a second attempt is rejected as well if it can't start before its deadline.
pub(super) fn refuse_full(
    rejection: Option<RejectionReason>,
    execution: Execution,
    retry_after: Duration,
) -> Refusal {
    let reason = match rejection {
        Some(rejection) => format!("no slot was available in time: {}", rejection.as_str()),
        None => "all slots are in use and the shortest queue is too long".to_owned(),
    };
    Refusal::not_run(ResultCode::TargetsUnavailable, reason)
        .with_retry_after(retry_after)
        .with_execution(execution)
}

/// Returns the refusal of a request that this host can send nowhere. `execution` is as in [`refuse_full`].
pub(super) fn refuse_unreachable(execution: Execution, retry_after: Duration) -> Refusal {
    let reason = "this host reaches no host that grants slots of the pool, and no target";
    Refusal::not_run(ResultCode::TargetsUnavailable, reason)
        .with_retry_after(retry_after)
        .with_execution(execution)
}

/// Returns the refusal of a request whose pool has no target that it may run at. `execution` is as in
/// [`refuse_full`].
pub(super) fn refuse_without_target(pool: &str, execution: Execution) -> Refusal {
    let reason = format!("pool {pool} has no target for the request");
    Refusal::not_run(ResultCode::TargetsUnavailable, reason)
        .with_retry_after(NO_TARGET_RETRY_DELAY)
        .with_execution(execution)
}

#[cfg(test)]
mod tests;
