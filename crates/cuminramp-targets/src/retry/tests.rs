use std::time::Duration;

use cuminramp_core::{Execution, ResultCode};
use test_case::test_case;
use tokio::time::Instant;

use super::*;

fn traits(is_repeatable: bool, is_resumable: bool, now: Instant) -> RequestTraits {
    let deadline = now + Duration::from_secs(1);
    RequestTraits {
        is_repeatable,
        is_resumable,
        deadline,
        max_attempts: 3,
        earlier_execution: Execution::NotRun,
    }
}

const PARTIAL: FailureStage = FailureStage::Partial { events: 5 };

// A booking is sent and the connection is lost. If it is sent again, it may be confirmed twice.
#[test_case(FailureStage::NotSent, None; "not sent is sent again")]
#[test_case(FailureStage::Refused, None; "refused is sent again")]
#[test_case(FailureStage::Sent, Some(Execution::MayHaveRun); "sent may have run")]
#[test_case(FailureStage::Failed, Some(Execution::Ran); "failed ran")]
#[test_case(PARTIAL, Some(Execution::Ran); "partial ran")]
fn a_non_repeatable_request_is_sent_again_only_if_it_certainly_did_not_run(
    stage: FailureStage,
    expected: Option<Execution>,
) {
    let now = Instant::now();
    let failure = AttemptFailure { stage, is_crash: true };

    let decision = decide_retry(&traits(false, false, now), failure, 1, now, || true);

    match expected {
        None => assert_eq!(decision, RetryDecision::Resend),
        Some(expected) => {
            let RetryDecision::GiveUp { execution, .. } = decision else { panic!("{decision:?}") };
            assert_eq!(execution, expected);
        }
    }
}

// A stream fails after some events were forwarded. If it restarted from the beginning, the caller would
// receive those events twice.
#[test_case(true, RetryDecision::Resume { events: 5 }; "resumable")]
#[test_case(false, RetryDecision::GiveUp { code: ResultCode::StreamBroken, execution: Execution::Ran }; "not resumable")]
fn a_broken_stream_is_resumed_or_ends_with_an_error(resumable: bool, expected: RetryDecision) {
    let now = Instant::now();
    let failure = AttemptFailure { stage: PARTIAL, is_crash: true };

    let decision = decide_retry(&traits(true, resumable, now), failure, 1, now, || true);

    assert_eq!(decision, expected);
}

#[test_case(3, true, 0, ResultCode::TargetsUnavailable; "no attempts left")]
#[test_case(1, false, 0, ResultCode::TargetsUnavailable; "budget exhausted")]
#[test_case(1, true, 2, ResultCode::DeadlineExceeded; "deadline passed")]
fn retries_are_limited(attempt: u32, may_retry: bool, late_s: u64, expected: ResultCode) {
    let now = Instant::now();
    let failure = AttemptFailure { stage: FailureStage::NotSent, is_crash: true };
    let at = now + Duration::from_secs(late_s);

    let decision = decide_retry(&traits(true, true, now), failure, attempt, at, || may_retry);

    assert_eq!(decision, RetryDecision::GiveUp { code: expected, execution: Execution::NotRun });
}

// The first target receives a request and sends no answer; the second is unreachable. If the result were
// "not run", the caller would send a request again that the first target may have run.
#[test]
fn a_second_attempt_does_not_hide_that_the_first_may_have_run() {
    let now = Instant::now();
    let traits =
        RequestTraits { earlier_execution: Execution::MayHaveRun, ..traits(true, true, now) };
    let failure = AttemptFailure { stage: FailureStage::NotSent, is_crash: false };

    let decision = decide_retry(&traits, failure, 3, now, || true);

    let expected = RetryDecision::GiveUp {
        code: ResultCode::TargetsUnavailable,
        execution: Execution::MayHaveRun,
    };
    assert_eq!(decision, expected);
}
