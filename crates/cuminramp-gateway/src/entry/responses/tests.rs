use cuminramp_core::{Execution, Refusal, ResultCode};
use test_case::test_case;

use super::refusal_status;

/// Guards against a duplicate run: if a target's connection breaks during a booking, a status that guarantees
/// "not run" would make the caller book again.
#[test_case(Execution::NotRun, 503)]
#[test_case(Execution::MayHaveRun, 502)]
#[test_case(Execution::Ran, 502)]
fn a_request_that_may_have_run_gets_no_not_run_status(execution: Execution, status: u16) {
    let refusal = Refusal::not_run(ResultCode::TargetsUnavailable, "").with_execution(execution);

    assert_eq!(refusal_status(&refusal).as_u16(), status);
}
