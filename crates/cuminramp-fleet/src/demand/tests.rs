use cuminramp_core::HostId;

use super::{ItemDemand, allocate_slots};

fn host(name: &str) -> HostId {
    HostId { address: name.into(), incarnation: 1 }
}

fn demand(due_in_ms: i32, items: u32) -> ItemDemand {
    ItemDemand { is_late: false, due_in_ms, items }
}

fn late(due_in_ms: i32, items: u32) -> ItemDemand {
    ItemDemand { is_late: true, ..demand(due_in_ms, items) }
}

/// After an outage every job waits, and one host has a large one that has time. Shared by number, its
/// items would keep the job that is due next from being done in time.
#[test]
fn a_large_job_that_has_time_leaves_room_to_one_that_has_not() {
    let demands = [(host("a"), vec![demand(16_000, 100)]), (host("b"), vec![demand(6_000, 10)])];

    let shares = allocate_slots(12, &demands);

    assert_eq!(shares, [(host("a"), 2), (host("b"), 10)]);
}

/// More work came than fits. Items that are late already would take the room of those that can still
/// be in time, until every caller got its job late.
#[test]
fn late_items_wait_behind_all_that_can_be_in_time() {
    let demands = [
        (host("a"), vec![demand(9_000, 4), late(-3_000, 8)]),
        (host("b"), vec![late(1_000, 8), demand(12_000, 4)]),
    ];

    let shares = allocate_slots(10, &demands);

    assert_eq!(shares, [(host("a"), 6), (host("b"), 4)]);
}

#[test]
fn all_waiting_items_have_a_share_where_there_is_room() {
    let demands =
        [(host("a"), vec![demand(1, 3)]), (host("b"), vec![]), (host("c"), vec![late(1, 2)])];

    let shares: Vec<u32> = allocate_slots(96, &demands).into_iter().map(|share| share.1).collect();

    assert_eq!(shares, [3, 0, 2]);
}
