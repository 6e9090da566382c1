use std::time::Duration;

use test_case::test_case;
use tokio::time::{Instant, advance};

use super::{Owner, load, report};
use crate::heartbeat::{ReportedLoad, name_hash};
use crate::slots::{SlotOutcome, SlotReport};

fn told(id: &str, busy: u16) -> Vec<ReportedLoad> {
    vec![ReportedLoad { target: name_hash(id), busy }]
}

/// All hosts lost power, and a target works on items that nobody waits for. A caller who was sent there
/// would wait for seconds while another target stands empty.
#[tokio::test(start_paused = true)]
async fn a_target_that_works_for_hosts_that_are_gone_gets_no_callers() {
    let mut owner = Owner::new(&["e1", "e2"]);
    owner.hear("a", SlotReport { reported_loads: told("e1", 8), ..report(1, vec![]) });

    let chosen: Vec<u32> = (0..8).map(|_| owner.granted("b").0).collect();
    let beyond = owner.ask("b", false);

    assert_eq!(chosen, [name_hash("e2"); 8]);
    assert!(matches!(beyond, SlotOutcome::Busy { .. }), "{beyond:?}");
}

/// Items take seconds where callers' requests take less than one. A caller who was told to wait as for
/// those would hear late; the wait that is told is too long for an objective of 300 ms.
#[tokio::test(start_paused = true)]
async fn the_wait_behind_work_of_hosts_that_are_gone_is_told_as_long_as_it_is() {
    let mut owner = Owner::new(&["e1"]);
    owner.hear("a", SlotReport { reported_loads: told("e1", 8), ..report(1, vec![]) });

    let SlotOutcome::Busy { wait_ms } = owner.ask("b", false) else { panic!("a slot was granted") };

    assert!(wait_ms > 180, "{wait_ms}");
}

/// A target tells its load, and what it tells of ends while the answer is on its way. Taken for work of
/// hosts that are gone, it would leave slots empty at every crest.
#[test_case(8, 0; "as much as was in flight")]
#[test_case(9, 0; "one more, which is not reported yet")]
#[tokio::test(start_paused = true)]
async fn what_was_in_flight_a_moment_ago_is_not_foreign(busy: u16, taken: u32) {
    let mut owner = Owner::new(&["e1"]);
    owner.hear("a", report(1, vec![load("e1", 8, 0)]));
    advance(Duration::from_millis(100)).await;

    owner.hear("a", SlotReport { reported_loads: told("e1", busy), ..report(2, vec![]) });

    assert_eq!(owner.placement.occupancy("p"), (taken, 8));
}

/// The target ends the work and nobody tells, since nothing is sent there. It has to come back by itself.
#[tokio::test(start_paused = true)]
async fn work_of_hosts_that_are_gone_is_forgotten_slot_by_slot() {
    let mut owner = Owner::new(&["e1"]);
    owner.hear("a", SlotReport { reported_loads: told("e1", 8), ..report(1, vec![]) });

    advance(Duration::from_millis(1_010)).await;
    owner.ledger.expire(&mut owner.placement, Instant::now());
    let later = owner.placement.occupancy("p");
    advance(Duration::from_millis(1_010)).await;
    owner.ledger.expire(&mut owner.placement, Instant::now());

    assert_eq!((later, owner.placement.occupancy("p")), ((4, 8), (0, 8)));
}
