//! What follows a failed attempt: the one place that decides it.

use std::time::Duration;

use cuminramp_core::{Execution, ResultCode};
use tokio::time::Instant;

/// How far an attempt had come when it failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureStage {
    /// No byte had reached the target.
    NotSent,
    /// The target refused it with a status that says it did not run it.
    Refused,
    /// It was sent and no answer came.
    Sent,
    /// The target answered that it failed.
    Failed,
    /// Part of the answer had come; for a stream, so many events were passed on.
    Partial {
        /// Events that the caller has.
        events: usize,
    },
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptFailure {
    /// How far it had come.
    pub stage: FailureStage,
    /// Whether the connection broke or was refused, as it is when a target dies.
    pub is_crash: bool,
}

/// What matters of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestTraits {
    /// Whether it may run twice.
    pub is_repeatable: bool,
    /// Whether a target can go on with its answer from a position.
    pub is_resumable: bool,
    /// Until when it makes sense.
    pub deadline: Instant,
    /// Attempts in all.
    pub max_attempts: u32,
    /// What earlier attempts left: a request that one target may have run is not made "not run" by
    /// another that could not be reached.
    pub earlier: Execution,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Send it again, to another target first.
    Resend,
    /// Ask another target to go on after this many events.
    Resume {
        /// Events that the caller has.
        events: usize,
    },
    /// Give up and say so.
    GiveUp {
        /// The code.
        code: ResultCode,
        /// Whether it ran.
        execution: Execution,
    },
}

/// Decides what follows a failure of attempt number `attempt` (from 1).
///
/// `may_retry` asks the budget, and only when a retry would follow.
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
///     earlier: Execution::NotRun,
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
    let execution = execution_after(failure.stage).max(traits.earlier);
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

/// What one attempt that came so far leaves.
pub fn execution_after(stage: FailureStage) -> Execution {
    match stage {
        FailureStage::NotSent | FailureStage::Refused => Execution::NotRun,
        FailureStage::Sent => Execution::MayHaveRun,
        FailureStage::Failed | FailureStage::Partial { .. } => Execution::Ran,
    }
}

/// A bound on retries as a share of requests.
///
/// When a pool fails as a whole, each request failing over to the next target multiplies the load on
/// what is left until that fails too. Each request earns a part of a retry, and no more are made.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    burst: f64,
    level: f64,
}

impl RetryBudget {
    /// A full budget of `burst` retries that earns `share` of a retry with each request.
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

    /// A request came.
    pub fn earn(&mut self) {
        self.level = (self.level + self.share).min(self.burst);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        let enough = self.level >= 1.0;
        if enough {
            self.level -= 1.0;
        }
        enough
    }

    /// How long a caller should wait before it tries again itself.
    pub fn pause(&self) -> Duration {
        if self.level >= 1.0 { Duration::from_millis(200) } else { Duration::from_secs(1) }
    }
}

#[cfg(test)]
mod tests;
