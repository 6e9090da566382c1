use std::time::Duration;

use test_case::test_case;

use super::{PresenceStep, PresenceView, RowPresence};

fn view(presence: RowPresence, unchanged_s: u64, silence_s: Option<u64>) -> PresenceView {
    PresenceView {
        presence,
        unchanged_for: Duration::from_secs(unchanged_s),
        silence: silence_s.map(Duration::from_secs),
        is_judge: true,
        is_large_fleet: false,
        read_interval: Duration::from_secs(1),
    }
}

const HOUR_S: u64 = 3_600;

fn lost(hours: u64) -> RowPresence {
    RowPresence::Lost(Duration::from_secs(hours * HOUR_S))
}

/// Guards against hosts that are declared lost while they run, and against rows that stay for ever.
#[test_case(RowPresence::Present, 60, Some(4), PresenceStep::Suspect; "silent")]
#[test_case(RowPresence::Present, 60, None, PresenceStep::Keep; "heard")]
#[test_case(RowPresence::Present, 60, Some(1), PresenceStep::Keep; "starting again")]
#[test_case(RowPresence::Present, 1, Some(60), PresenceStep::Keep; "refuted a moment ago")]
#[test_case(RowPresence::Suspected, 1, Some(60), PresenceStep::Keep; "may still refute")]
#[test_case(RowPresence::Suspected, 4, Some(60), PresenceStep::DeclareLost; "did not refute")]
#[test_case(RowPresence::Suspected, 4, None, PresenceStep::Keep; "heard again")]
#[test_case(lost(1), 60, Some(HOUR_S), PresenceStep::Keep; "may still admit its part of the rates")]
#[test_case(lost(2), 60, None, PresenceStep::Delete; "lost long ago")]
fn a_row_is_changed_only_after_its_host_could_refute_it(
    presence: RowPresence,
    unchanged_s: u64,
    silence_s: Option<u64>,
    expected: PresenceStep,
) {
    assert_eq!(view(presence, unchanged_s, silence_s).next_step(), expected);
}

/// Guards against all hosts of a fleet that write the same row.
#[test_case(RowPresence::Present; "suspect")]
#[test_case(RowPresence::Suspected; "declare lost")]
#[test_case(lost(3); "delete")]
fn only_the_judge_changes_a_row(presence: RowPresence) {
    let view = PresenceView { is_judge: false, ..view(presence, 600, Some(600)) };

    assert_eq!(view.next_step(), PresenceStep::Keep);
}

/// Guards against a host of a large fleet that runs, and is declared lost because it does not read its row.
#[test]
fn hosts_of_a_large_fleet_answer_for_those_that_they_hear() {
    let read_interval = Duration::from_secs(30);
    let suspected = view(RowPresence::Suspected, 60, None);
    let heard = PresenceView { is_large_fleet: true, read_interval, ..suspected };
    let silent = PresenceView { silence: Some(Duration::from_secs(60)), ..heard };
    let for_long = PresenceView { unchanged_for: read_interval * 3, ..silent };

    let steps = [heard, silent, for_long].map(|view| view.next_step());

    let expected = [PresenceStep::Confirm, PresenceStep::Keep, PresenceStep::DeclareLost];
    assert_eq!(steps, expected);
}
