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

/// Guards against a large job with time left that delays a job due sooner. After an outage, the items of all
/// jobs wait; if slots were shared by number of items, the large job would get most of them.
#[test]
fn a_large_job_with_time_left_does_not_delay_a_job_due_sooner() {
    let demands = [(host("a"), vec![demand(16_000, 100)]), (host("b"), vec![demand(6_000, 10)])];

    let shares = allocate_slots(12, &demands);

    assert_eq!(shares, [(host("a"), 2), (host("b"), 10)]);
}

/// Guards against overload in which late items use the slots of items that can still be in time, until every
/// caller gets its job late.
#[test]
fn late_items_go_after_all_items_that_can_be_in_time() {
    let demands = [
        (host("a"), vec![demand(9_000, 4), late(-3_000, 8)]),
        (host("b"), vec![late(1_000, 8), demand(12_000, 4)]),
    ];

    let shares = allocate_slots(10, &demands);

    assert_eq!(shares, [(host("a"), 6), (host("b"), 4)]);
}

#[test]
fn all_waiting_items_get_a_slot_if_enough_are_free() {
    let demands =
        [(host("a"), vec![demand(1, 3)]), (host("b"), vec![]), (host("c"), vec![late(1, 2)])];

    let shares: Vec<u32> = allocate_slots(96, &demands).into_iter().map(|share| share.1).collect();

    assert_eq!(shares, [3, 0, 2]);
}
