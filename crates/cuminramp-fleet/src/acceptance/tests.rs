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

#[test_case(AcceptanceView { ..view() }, AcceptanceStep::Write; "there is room")]
#[test_case(AcceptanceView { waiting: 9_000, limit: 0, ..view() }, AcceptanceStep::Write; "no limit")]
#[test_case(AcceptanceView { waiting: 600, ..view() }, AcceptanceStep::Refresh; "no room by old news")]
#[test_case(AcceptanceView { waiting: 600, is_fresh: true, ..view() }, AcceptanceStep::RefuseFull; "no room")]
#[test_case(AcceptanceView { is_time_up: true, ..view() }, AcceptanceStep::RefuseUnavailable; "time is up")]
#[test_case(AcceptanceView { found: FoundJob::Others, ..view() }, AcceptanceStep::Repeated; "another call was first")]
fn settled_views(view: AcceptanceView, expected: AcceptanceStep) {
    let step = view.next_step();

    assert_eq!(step, expected);
}

/// The answer to a write is lost, and the write takes effect after the host looked for it. Its own
/// row then fills the room that it asks for, or is seen only when the time is up.
#[test_case(AcceptanceView { waiting: 600, is_fresh: true, ..view() }; "there is no room beside itself")]
#[test_case(AcceptanceView { is_time_up: true, ..view() }; "the time is up")]
fn a_job_whose_row_is_seen_is_accepted(view: AcceptanceView) {
    let view = AcceptanceView { found: FoundJob::Own, is_unsettled: true, ..view };

    let step = view.next_step();

    assert_eq!(step, AcceptanceStep::Accepted);
}

/// A write may still take effect when the host gives up, whichever reason it has. A refusal promises
/// that nothing of the job ever runs.
#[test_case(AcceptanceView { waiting: 600, is_fresh: true, ..view() }; "there is no room")]
#[test_case(AcceptanceView { is_time_up: true, ..view() }; "the time is up")]
fn nothing_is_promised_while_a_write_may_take_effect(view: AcceptanceView) {
    let view = AcceptanceView { is_unsettled: true, ..view };

    let steps = [view.next_step(), view.after_failed_read()];

    assert_eq!(steps, [AcceptanceStep::LeaveOpen; 2]);
}
