use test_case::test_case;

use super::{AcceptanceStep, AcceptanceView, JobRowWriter};

fn view() -> AcceptanceView {
    AcceptanceView {
        row_writer: JobRowWriter::Missing,
        waiting_tokens: 0,
        job_tokens: 500,
        max_waiting_tokens: 1_000,
        is_fresh: false,
        has_pending_write: false,
        is_past_deadline: false,
    }
}

#[test_case(AcceptanceView { ..view() }, AcceptanceStep::Write; "below the limit")]
#[test_case(AcceptanceView { waiting_tokens: 9_000, max_waiting_tokens: 0, ..view() }, AcceptanceStep::Write; "no limit")]
#[test_case(AcceptanceView { waiting_tokens: 600, ..view() }, AcceptanceStep::Refresh; "above the limit by an old read")]
#[test_case(AcceptanceView { waiting_tokens: 600, is_fresh: true, ..view() }, AcceptanceStep::RefuseFull; "above the limit")]
#[test_case(AcceptanceView { is_past_deadline: true, ..view() }, AcceptanceStep::RefuseUnavailable; "no time left")]
#[test_case(AcceptanceView { row_writer: JobRowWriter::Other, ..view() }, AcceptanceStep::AlreadyAccepted; "accepted by another call")]
#[test_case(AcceptanceView { row_writer: JobRowWriter::OtherTeam, ..view() }, AcceptanceStep::RefuseUsedId; "ID used by another team")]
fn a_view_without_pending_writes_decides_the_next_step(
    view: AcceptanceView,
    expected: AcceptanceStep,
) {
    let step = view.next_step();

    assert_eq!(step, expected);
}

/// The response to a write is lost, and the write is applied after the host read the table. The job's own
/// row then uses up the capacity that the job needs, or is read only when no time is left.
#[test_case(AcceptanceView { waiting_tokens: 600, is_fresh: true, ..view() }; "above the limit with its own row")]
#[test_case(AcceptanceView { is_past_deadline: true, ..view() }; "no time left")]
fn a_job_whose_own_row_is_read_is_accepted(view: AcceptanceView) {
    let view = AcceptanceView { row_writer: JobRowWriter::Own, has_pending_write: true, ..view };

    let step = view.next_step();

    assert_eq!(step, AcceptanceStep::Accepted);
}

/// A write may still be applied after the host gave up, for any reason. A refusal promises that no item of
/// the job ever runs.
#[test_case(AcceptanceView { waiting_tokens: 600, is_fresh: true, ..view() }; "above the limit")]
#[test_case(AcceptanceView { is_past_deadline: true, ..view() }; "no time left")]
#[test_case(AcceptanceView { row_writer: JobRowWriter::OtherTeam, ..view() }; "ID used by another team")]
fn no_refusal_is_sent_while_a_write_may_be_applied(view: AcceptanceView) {
    let view = AcceptanceView { has_pending_write: true, ..view };

    let steps = [view.next_step(), view.after_failed_read()];

    assert_eq!(steps, [AcceptanceStep::RefuseUnknown; 2]);
}
