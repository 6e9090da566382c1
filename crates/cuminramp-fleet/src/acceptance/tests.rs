use test_case::test_case;

use super::{AcceptanceStep, AcceptanceView, FoundJob};

fn view() -> AcceptanceView {
    AcceptanceView {
        found: FoundJob::Missing,
        waiting: 0,
        tokens: 500,
        limit: 1_000,
        is_fresh: false,
        is_unsettled: false,
        is_time_up: false,
    }
}

#[test_case(AcceptanceView { ..view() }, AcceptanceStep::Write; "below the limit")]
#[test_case(AcceptanceView { waiting: 9_000, limit: 0, ..view() }, AcceptanceStep::Write; "no limit")]
#[test_case(AcceptanceView { waiting: 600, ..view() }, AcceptanceStep::Refresh; "above the limit by an old read")]
#[test_case(AcceptanceView { waiting: 600, is_fresh: true, ..view() }, AcceptanceStep::RefuseFull; "above the limit")]
#[test_case(AcceptanceView { is_time_up: true, ..view() }, AcceptanceStep::RefuseUnavailable; "no time left")]
#[test_case(AcceptanceView { found: FoundJob::Others, ..view() }, AcceptanceStep::Repeated; "accepted by another call")]
fn a_view_without_pending_writes_decides_the_next_step(
    view: AcceptanceView,
    expected: AcceptanceStep,
) {
    let step = view.next_step();

    assert_eq!(step, expected);
}

/// The response to a write is lost, and the write is applied after the host read the table. The job's own
/// row then uses up the capacity that the job needs, or is read only when no time is left.
#[test_case(AcceptanceView { waiting: 600, is_fresh: true, ..view() }; "above the limit with its own row")]
#[test_case(AcceptanceView { is_time_up: true, ..view() }; "no time left")]
fn a_job_whose_own_row_is_read_is_accepted(view: AcceptanceView) {
    let view = AcceptanceView { found: FoundJob::Own, is_unsettled: true, ..view };

    let step = view.next_step();

    assert_eq!(step, AcceptanceStep::Accepted);
}

/// A write may still be applied after the host gave up, for any reason. A refusal promises that no item of
/// the job ever runs.
#[test_case(AcceptanceView { waiting: 600, is_fresh: true, ..view() }; "above the limit")]
#[test_case(AcceptanceView { is_time_up: true, ..view() }; "no time left")]
fn no_refusal_is_sent_while_a_write_may_be_applied(view: AcceptanceView) {
    let view = AcceptanceView { is_unsettled: true, ..view };

    let steps = [view.next_step(), view.after_failed_read()];

    assert_eq!(steps, [AcceptanceStep::LeaveOpen; 2]);
}
