use std::time::Duration;

use cuminramp_core::{HostId, Name, SeededRandom};
use tokio::time::{Instant, advance};

use super::{PeerPolicy, PeerTable};
use crate::fixtures::{host_heartbeat as heartbeat, known_host as known};
use crate::heartbeat::HostHeartbeat;
use crate::steering::{SteeringArea, SteeringBounds};

fn area(zone: &str) -> SteeringArea {
    SteeringArea { zone: zone.into(), ..SteeringArea::default() }
}

fn steer(table: &PeerTable, zone: &str, min_near: usize) -> Vec<Name> {
    let bounds = SteeringBounds { min_near, max_hosts: 64 };
    table.steer(&area(zone), true, bounds, &mut SeededRandom::new(1), Instant::now())
}

fn hear_all(table: &mut PeerTable, hosts: &[&str], zone: &str, sequence: u64) {
    for host in hosts {
        table.receive_heartbeat(heartbeat(known(host, 1, zone), sequence), Instant::now());
    }
}

/// Hosts named to callers of the first zone of a region with two.
fn steer_in_region(table: &PeerTable) -> Vec<Name> {
    let area = SteeringArea { region_zones: vec!["z1".into(), "z2".into()], ..area("z1") };
    let bounds = SteeringBounds { min_near: 2, max_hosts: 64 };
    table.steer(&area, true, bounds, &mut SeededRandom::new(1), Instant::now())
}

fn table() -> PeerTable {
    let policy = PeerPolicy { lost: Duration::from_millis(1_500) };
    PeerTable::new(known("a", 1, "z1"), policy)
}

/// A host dies without a word. Callers that were sent to it would wait a second for each
/// connection that nobody accepts.
#[tokio::test(start_paused = true)]
async fn callers_are_not_sent_to_a_host_that_fell_silent() {
    let mut table = table();
    table.receive_heartbeat(heartbeat(known("b", 1, "z1"), 1), Instant::now());

    let before = steer(&table, "z1", 1);
    advance(Duration::from_millis(400)).await;
    table.receive_heartbeat(heartbeat(known("c", 1, "z1"), 1), Instant::now());
    let after = steer(&table, "z1", 1);

    assert_eq!(before.len(), 2);
    assert_eq!(after.iter().map(|name| &**name).collect::<Vec<_>>(), ["a-callers", "c-callers"]);
}

/// A datagram overtakes a later one, or one of an earlier run arrives late. Its load would be
/// counted in place of the present one.
#[tokio::test(start_paused = true)]
async fn a_heartbeat_that_came_late_is_dropped() {
    let mut table = table();
    let now = Instant::now();

    let heard = [
        table.receive_heartbeat(heartbeat(known("b", 2, "z1"), 5), now),
        table.receive_heartbeat(heartbeat(known("b", 2, "z1"), 4), now),
        table.receive_heartbeat(heartbeat(known("b", 1, "z1"), 9), now),
        table.receive_heartbeat(heartbeat(known("b", 3, "z1"), 1), now),
    ];

    assert_eq!(heard, [true, false, false, true]);
}

#[tokio::test(start_paused = true)]
async fn jobs_of_an_earlier_run_and_of_a_silent_host_may_be_taken_over() {
    let mut table = table();
    let id = |incarnation| HostId { address: "b".into(), incarnation };
    table.receive_heartbeat(heartbeat(known("b", 2, "z1"), 1), Instant::now());

    assert!(table.is_lost(&id(1), Instant::now()));
    assert!(!table.is_lost(&id(2), Instant::now()));
    advance(Duration::from_millis(1_600)).await;
    assert!(table.is_lost(&id(2), Instant::now()));
    assert!(!table.has_majority(Instant::now()) || table.count_alive(Instant::now()) == (1, 2));
}

#[tokio::test(start_paused = true)]
async fn a_zone_with_too_few_hosts_gets_those_of_others() {
    let mut table = table();
    table.receive_heartbeat(heartbeat(known("b", 1, "z2"), 1), Instant::now());

    assert_eq!(steer(&table, "z2", 2).len(), 2);
    assert_eq!(steer(&table, "z2", 1).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_host_cut_off_from_the_store_asks_one_that_is_not() {
    let mut table = table();
    let cut_off = HostHeartbeat { reaches_store: false, ..heartbeat(known("b", 1, "z1"), 1) };
    table.receive_heartbeat(cut_off, Instant::now());
    let none = table.store_relay(0, Instant::now());

    table.receive_heartbeat(heartbeat(known("c", 1, "z2"), 1), Instant::now());
    let far = table.store_relay(0, Instant::now());
    table.receive_heartbeat(heartbeat(known("d", 1, "z1"), 1), Instant::now());
    let near = table.store_relay(0, Instant::now());

    assert_eq!((none, far.as_deref(), near.as_deref()), (None, Some("c"), Some("d")));
}

/// Guards against a zone that counts as lost while one of its hosts is heard, or since it has none.
#[tokio::test(start_paused = true)]
async fn a_zone_is_silent_only_when_all_its_hosts_are() {
    let mut table = table();
    table.receive_heartbeat(heartbeat(known("b", 1, "z2"), 1), Instant::now());
    table.receive_heartbeat(heartbeat(known("c", 1, "z2"), 1), Instant::now());
    advance(Duration::from_secs(5)).await;
    let all_silent = table.is_zone_silent("z2", Instant::now());

    table.receive_heartbeat(heartbeat(known("c", 1, "z2"), 2), Instant::now());

    let one_heard = table.is_zone_silent("z2", Instant::now());
    let others = ["z1", "z3"].map(|zone| table.is_zone_silent(zone, Instant::now()));
    assert_eq!((all_silent, one_heard, others), (true, false, [false, false]));
}

/// Guards against two parts of a fleet that both take themselves for the larger one.
#[tokio::test(start_paused = true)]
async fn a_host_that_hears_half_of_a_zone_does_not_hear_most_of_it() {
    let mut table = table();
    for address in ["b", "c", "d"] {
        table.receive_heartbeat(heartbeat(known(address, 1, "z1"), 1), Instant::now());
    }
    let all = table.has_majority_in("z1", Instant::now());
    advance(Duration::from_secs(5)).await;
    table.receive_heartbeat(heartbeat(known("b", 1, "z1"), 2), Instant::now());

    let half = table.has_majority_in("z1", Instant::now());

    assert_eq!((all, half), (true, false));
}

/// Guards against callers who learn of hosts in a cut-off zone only, while they could reach all others.
#[tokio::test(start_paused = true)]
async fn a_host_whose_zone_is_cut_off_goes_on_naming_hosts_of_others_for_a_while() {
    let mut table = table();
    hear_all(&mut table, &["b", "c"], "z1", 1);
    hear_all(&mut table, &["d", "e", "f", "g"], "z2", 1);
    let before = steer_in_region(&table).len();

    advance(Duration::from_secs(3)).await;
    hear_all(&mut table, &["b", "c"], "z1", 2);
    let while_cut = steer_in_region(&table).len();
    advance(Duration::from_secs(3)).await;
    hear_all(&mut table, &["b", "c"], "z1", 3);
    let after_long = steer_in_region(&table).len();

    assert_eq!((before, while_cut, after_long), (6, 6, 3));
}
