use std::time::Duration;

use test_case::test_case;

use super::{HostSight, PresenceStep, PresenceView, RowPresence};

fn silent(seconds: u64) -> HostSight {
    HostSight::Silent(Duration::from_secs(seconds))
}

fn view(presence: RowPresence, unchanged_s: u64, sight: HostSight) -> PresenceView {
    PresenceView {
        presence,
        unchanged_for: Duration::from_secs(unchanged_s),
        sight,
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
#[test_case(RowPresence::Present, 60, silent(4), PresenceStep::Suspect; "silent")]
#[test_case(RowPresence::Present, 60, HostSight::Heard, PresenceStep::Keep; "heard")]
#[test_case(RowPresence::Present, 60, silent(1), PresenceStep::Keep; "starting again")]
#[test_case(RowPresence::Present, 1, silent(60), PresenceStep::Keep; "refuted a moment ago")]
#[test_case(RowPresence::Suspected, 1, silent(60), PresenceStep::Keep; "may still refute")]
#[test_case(RowPresence::Suspected, 4, silent(60), PresenceStep::DeclareLost; "did not refute")]
#[test_case(RowPresence::Suspected, 4, HostSight::Heard, PresenceStep::Keep; "heard again")]
#[test_case(lost(1), 60, silent(HOUR_S), PresenceStep::Keep; "may still admit its part of the rates")]
#[test_case(RowPresence::Present, 4, HostSight::Left, PresenceStep::Delete; "left and could not delete it")]
#[test_case(lost(1), 60, HostSight::Lost, PresenceStep::Keep; "lost here as well")]
#[test_case(RowPresence::Present, 60, HostSight::Lost, PresenceStep::Keep; "announced again and not heard")]
#[test_case(lost(2), 60, HostSight::Heard, PresenceStep::Delete; "lost long ago")]
fn a_row_is_changed_only_after_its_host_could_refute_it(
    presence: RowPresence,
    unchanged_s: u64,
    sight: HostSight,
    expected: PresenceStep,
) {
    assert_eq!(view(presence, unchanged_s, sight).next_step(), expected);
}

/// Guards against all hosts of a fleet that write the same row.
#[test_case(RowPresence::Present; "suspect")]
#[test_case(RowPresence::Suspected; "declare lost")]
#[test_case(lost(3); "delete")]
fn only_the_judge_changes_a_row(presence: RowPresence) {
    let view = PresenceView { is_judge: false, ..view(presence, 600, silent(600)) };

    assert_eq!(view.next_step(), PresenceStep::Keep);
}

/// Guards against a host of a large fleet that runs, and is declared lost because it does not read its row.
#[test]
fn hosts_of_a_large_fleet_answer_for_those_that_they_hear() {
    let read_interval = Duration::from_secs(30);
    let suspected = view(RowPresence::Suspected, 60, HostSight::Heard);
    let heard = PresenceView { is_large_fleet: true, read_interval, ..suspected };
    let unheard = PresenceView { sight: silent(60), ..heard };
    let for_long = PresenceView { unchanged_for: read_interval * 3, ..unheard };

    let steps = [heard, unheard, for_long].map(|view| view.next_step());

    let expected = [PresenceStep::Confirm, PresenceStep::Keep, PresenceStep::DeclareLost];
    assert_eq!(steps, expected);
}
