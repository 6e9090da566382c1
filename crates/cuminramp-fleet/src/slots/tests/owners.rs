use std::time::Duration;

use cuminramp_core::HostId;
use tokio::time::{Instant, advance};

use super::{group, host};
use crate::fixtures::{host_heartbeat, known_host};
use crate::peers::{PeerPolicy, PeerTable};
use crate::slots::OwnerTable;

fn table(me: &str, others: &[(&str, &str)]) -> PeerTable {
    let policy = PeerPolicy { lost: Duration::from_millis(1_500) };
    let mut table = PeerTable::new(known_host(me, 1, "z1"), policy);
    for (address, zone) in others {
        table.receive_heartbeat(host_heartbeat(known_host(address, 1, zone), 1), Instant::now());
    }
    table
}

fn owner(owners: &mut OwnerTable, peers: &PeerTable) -> Option<HostId> {
    owners.owner(&group(), peers, true, Instant::now())
}

/// Two hosts that disagree on the owner would each hand out all slots.
#[tokio::test(start_paused = true)]
async fn hosts_that_hear_each_other_agree_on_the_owner() {
    let seen_by_a = table("a", &[("b", "z1"), ("c", "z1")]);
    let seen_by_b = table("b", &[("a", "z1"), ("c", "z1")]);

    let owners = [&seen_by_a, &seen_by_b].map(|peers| owner(&mut OwnerTable::default(), peers));

    assert!(owners[0].is_some());
    assert_eq!(owners[0], owners[1]);
}

/// Every message about slots between zones costs time and bytes; a zone that lost all hosts has to be
/// served all the same.
#[tokio::test(start_paused = true)]
async fn a_host_of_another_zone_owns_a_group_only_where_its_zone_has_none() {
    let mut peers = table("d", &[("b", "z2")]);
    peers.receive_heartbeat(host_heartbeat(known_host("a", 1, "z1"), 1), Instant::now());
    let near = owner(&mut OwnerTable::default(), &peers);

    let far = table("e", &[]);
    let only = owner(&mut OwnerTable::default(), &far);

    assert!(near.as_ref().is_some_and(|near| &*near.address != "b"), "{near:?}");
    assert_eq!(only.map(|id| id.address), Some("e".into()));
}

/// The owner was killed. Until the silence is long enough for it to count as gone, every request would
/// wait for an answer that does not come.
#[tokio::test(start_paused = true)]
async fn a_silent_owner_is_passed_over_and_comes_back() {
    let peers = table("a", &[("b", "z1"), ("c", "z1")]);
    let mut owners = OwnerTable::default();
    let first = owner(&mut owners, &peers).unwrap();

    owners.exclude(&first, Instant::now());
    let second = owner(&mut owners, &peers).unwrap();
    advance(Duration::from_secs(9)).await;
    let peers = table("a", &[("b", "z1"), ("c", "z1")]);

    assert_ne!(first, second);
    assert_eq!(owner(&mut owners, &peers), Some(first));
}

/// A host that is itself slow finds every owner silent. Believed by all, it would move ownership about
/// and no owner would ever know what is in flight.
#[tokio::test(start_paused = true)]
async fn the_claim_of_one_host_alone_moves_no_owner() {
    let mut owners = OwnerTable::default();
    let silent = host("c");

    let believed = [
        owners.receive_failure(&"a".into(), &silent, Instant::now()),
        owners.receive_failure(&"a".into(), &silent, Instant::now()),
        owners.receive_failure(&"b".into(), &silent, Instant::now()),
    ];

    assert_eq!(believed, [false, false, true]);
}
