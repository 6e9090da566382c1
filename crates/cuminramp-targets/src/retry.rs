//! Decides what follows a failed attempt, and limits retries.

use std::time::Duration;

use cuminramp_core::{Execution, ResultCode};
use tokio::time::Instant;

/// Stage that an attempt had reached when it failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureStage {
    /// No byte reached the target.
    NotSent,
    /// The target refused the request with a status that means that it did not run it.
    Refused,
    /// The request was sent and no answer arrived.
    Sent,
    /// The target answered with an error after it ran the request.
    Failed,
    /// Part of the answer arrived. Of a stream, `events` tokens were forwarded to the caller.
    Partial {
        /// Number of events with a token that were forwarded to the caller.
        events: usize,
    },
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptFailure {
    /// Stage that the attempt had reached.
    pub stage: FailureStage,
    /// Whether the connection failed after the request may have been sent, as when a target crashes.
    pub is_crash: bool,
}

/// Properties of a request that decide whether it is retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestTraits {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether another target can resume its answer from a given position.
    pub is_resumable: bool,
    /// Time after which an answer is of no use to the caller.
    pub deadline: Instant,
    /// Maximum number of attempts, the first included.
    pub max_attempts: u32,
    /// Whether an earlier attempt ran the request. If one target may have run it, a later attempt on an
    /// unreachable target must not turn the result into "not run".
    pub earlier_execution: Execution,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Send the request again, preferably to another target.
    Resend,
    /// Ask another target to resume the stream after `events`.
    Resume {
        /// Number of events with a token that were forwarded to the caller.
        events: usize,
    },
    /// Stop and return an error to the caller.
    GiveUp {
        /// Result code for the caller.
        code: ResultCode,
        /// Whether any attempt ran the request.
        execution: Execution,
    },
}

/// Decides what follows the failure of attempt number `attempt`, counted from 1.
///
/// `may_retry` spends a retry of the budget and returns whether there was one. It is called only if a
/// retry is otherwise allowed.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")] async fn main() {
/// use cuminramp_core::Execution;
/// use cuminramp_targets::*;
/// let now = tokio::time::Instant::now();
/// let traits = RequestTraits {
///     is_repeatable: false,
///     is_resumable: false,
///     deadline: now + std::time::Duration::from_secs(1),
///     max_attempts: 3,
///     earlier_execution: Execution::NotRun,
/// };
/// let failure = AttemptFailure { stage: FailureStage::Sent, is_crash: false };
/// let decision = decide_retry(&traits, failure, 1, now, || true);
/// assert!(matches!(decision, RetryDecision::GiveUp { execution: Execution::MayHaveRun, .. }));
/// # }
/// ```
pub fn decide_retry(
    traits: &RequestTraits,
    failure: AttemptFailure,
    attempt: u32,
    now: Instant,
    may_retry: impl FnOnce() -> bool,
) -> RetryDecision {
    let execution = execution_after(failure.stage).max(traits.earlier_execution);
    let give_up = |code| RetryDecision::GiveUp { code, execution };
    if let FailureStage::Partial { events } = failure.stage
        && events > 0
        && !traits.is_resumable
    {
        return give_up(ResultCode::StreamBroken);
    }
    if execution != Execution::NotRun && !traits.is_repeatable {
        return give_up(ResultCode::TargetFailed);
    }
    if now >= traits.deadline {
        return give_up(ResultCode::DeadlineExceeded);
    }
    if attempt >= traits.max_attempts || !may_retry() {
        return give_up(match failure.stage {
            FailureStage::NotSent | FailureStage::Refused => ResultCode::TargetsUnavailable,
            FailureStage::Partial { events } if events > 0 => ResultCode::StreamBroken,
            _ => ResultCode::TargetFailed,
        });
    }
    match failure.stage {
        FailureStage::Partial { events } if events > 0 => RetryDecision::Resume { events },
        _ => RetryDecision::Resend,
    }
}

/// Returns whether an attempt that failed at `stage` ran the request.
pub fn execution_after(stage: FailureStage) -> Execution {
    match stage {
        FailureStage::NotSent | FailureStage::Refused => Execution::NotRun,
        FailureStage::Sent => Execution::MayHaveRun,
        FailureStage::Failed | FailureStage::Partial { .. } => Execution::Ran,
    }
}

/// Limits retries to a share of requests.
///
/// When many targets of a pool fail, retries multiply the load on the remaining ones until they fail
/// too. So each request earns a fraction of a retry, and each retry spends a whole one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries earned by each request.
    share: f64,
    /// Maximum number of retries saved up.
    burst: f64,
    /// Retries available now.
    level: f64,
}

impl RetryBudget {
    /// Creates a full budget of `burst` retries, to which each request adds `share` of a retry.
    ///
    /// ```
    /// let mut budget = cuminramp_targets::RetryBudget::new(0.5, 1.0);
    /// assert!(budget.spend());
    /// assert!(!budget.spend());
    /// budget.earn();
    /// budget.earn();
    /// assert!(budget.spend());
    /// ```
    pub fn new(share: f64, burst: f64) -> Self {
        RetryBudget { share, burst, level: burst }
    }

    /// Adds the share of one request.
    pub fn earn(&mut self) {
        self.level = (self.level + self.share).min(self.burst);
    }

    /// Spends one retry and returns `true`, or returns `false` if less than one is left.
    pub fn spend(&mut self) -> bool {
        let enough = self.level >= 1.0;
        if enough {
            self.level -= 1.0;
        }
        enough
    }

    /// Returns how long a caller should wait before it retries.
    pub fn retry_after(&self) -> Duration {
        if self.level >= 1.0 { Duration::from_millis(200) } else { Duration::from_secs(1) }
    }
}

#[cfg(test)]
mod tests;
