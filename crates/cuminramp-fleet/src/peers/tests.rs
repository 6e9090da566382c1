use std::time::Duration;

use cuminramp_core::{HostId, Name, SeededRandom, rendezvous_score};
use tokio::time::{Instant, advance};

use super::{PeerPolicy, PeerTable};
use crate::fixtures::{host_heartbeat as heartbeat, known_host as known};
use crate::heartbeat::HostHeartbeat;
use crate::steering::{SteeringArea, SteeringBounds};

mod presence;
mod probing;

fn area(zone: &str) -> SteeringArea {
    SteeringArea { zone: zone.into(), ..SteeringArea::default() }
}

fn steer(table: &PeerTable, zone: &str, min_near_hosts: usize) -> Vec<Name> {
    let bounds = SteeringBounds { min_near_hosts, max_hosts: 64 };
    table.steer(&area(zone), true, bounds, &mut SeededRandom::new(1), Instant::now())
}

fn receive_all(table: &mut PeerTable, hosts: &[&str], zone: &str, sequence: u64) {
    for host in hosts {
        table.receive_heartbeat(heartbeat(known(host, 1, zone), sequence), Instant::now());
    }
}

/// Returns the hosts for callers in zone `z1` of a region with the zones `z1` and `z2`.
fn steer_in_region(table: &PeerTable) -> Vec<Name> {
    let area = SteeringArea { region_zones: vec!["z1".into(), "z2".into()], ..area("z1") };
    let bounds = SteeringBounds { min_near_hosts: 2, max_hosts: 64 };
    table.steer(&area, true, bounds, &mut SeededRandom::new(1), Instant::now())
}

fn table() -> PeerTable {
    let policy = PeerPolicy { lost_timeout: Duration::from_millis(1_500) };
    PeerTable::new(known("a", 1, "z1"), policy)
}

/// A host crashes without reporting that it leaves. Callers steered to it would wait a second for each
/// connection, which nobody accepts.
#[tokio::test(start_paused = true)]
async fn callers_are_not_steered_to_a_silent_host() {
    let mut table = table();
    table.receive_heartbeat(heartbeat(known("b", 1, "z1"), 1), Instant::now());

    let before = steer(&table, "z1", 1);
    advance(Duration::from_millis(400)).await;
    table.receive_heartbeat(heartbeat(known("c", 1, "z1"), 1), Instant::now());
    let after = steer(&table, "z1", 1);

    assert_eq!(before.len(), 2);
    assert_eq!(after.iter().map(|name| &**name).collect::<Vec<_>>(), ["a-callers", "c-callers"]);
}

/// A heartbeat arrives after a later one, or is left over from an earlier incarnation. Its state would
/// replace the current one.
#[tokio::test(start_paused = true)]
async fn a_late_heartbeat_is_dropped() {
    let mut table = table();
    let now = Instant::now();

    let accepted = [
        table.receive_heartbeat(heartbeat(known("b", 2, "z1"), 5), now),
        table.receive_heartbeat(heartbeat(known("b", 2, "z1"), 4), now),
        table.receive_heartbeat(heartbeat(known("b", 1, "z1"), 9), now),
        table.receive_heartbeat(heartbeat(known("b", 3, "z1"), 1), now),
    ];

    assert_eq!(accepted, [true, false, false, true]);
}

/// A host started while its clock was ahead, and again with the clock right. Guards against others that take the
/// heartbeats of its present run for late ones, for as long as that run lives.
#[tokio::test(start_paused = true)]
async fn a_run_after_one_with_its_clock_ahead_is_heard() {
    let mut table = table();
    let id = |incarnation| HostId { address: "b".into(), incarnation };
    table.receive_heartbeat(heartbeat(known("b", 9, "z1"), 50), Instant::now());

    let at_once = table.receive_heartbeat(heartbeat(known("b", 5, "z1"), 1), Instant::now());
    advance(Duration::from_secs(2)).await;
    let later = table.receive_heartbeat(heartbeat(known("b", 5, "z1"), 20), Instant::now());

    assert_eq!((at_once, later), (false, true));
    assert!(!table.is_lost(&id(5), Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn jobs_of_an_earlier_incarnation_and_of_a_silent_host_may_be_taken_over() {
    let mut table = table();
    let id = |incarnation| HostId { address: "b".into(), incarnation };
    table.receive_heartbeat(heartbeat(known("b", 2, "z1"), 1), Instant::now());

    assert!(table.is_lost(&id(1), Instant::now()));
    assert!(!table.is_lost(&id(2), Instant::now()));
    advance(Duration::from_millis(1_600)).await;
    assert!(table.is_lost(&id(2), Instant::now()));
    assert!(
        !table.has_at_least_half(Instant::now()) || table.count_alive(Instant::now()) == (1, 2)
    );
}

#[tokio::test(start_paused = true)]
async fn callers_of_a_zone_with_too_few_hosts_receive_hosts_of_other_zones() {
    let mut table = table();
    table.receive_heartbeat(heartbeat(known("b", 1, "z2"), 1), Instant::now());

    assert_eq!(steer(&table, "z2", 2).len(), 2);
    assert_eq!(steer(&table, "z2", 1).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn the_store_relay_is_a_host_that_can_reach_the_store() {
    let mut table = table();
    let without_store = HostHeartbeat { reaches_store: false, ..heartbeat(known("b", 1, "z1"), 1) };
    table.receive_heartbeat(without_store, Instant::now());
    let none = table.store_relay(0, Instant::now());

    table.receive_heartbeat(heartbeat(known("c", 1, "z2"), 1), Instant::now());
    let far = table.store_relay(0, Instant::now());
    table.receive_heartbeat(heartbeat(known("d", 1, "z1"), 1), Instant::now());
    let near = table.store_relay(0, Instant::now());

    assert_eq!((none, far.as_deref(), near.as_deref()), (None, Some("c"), Some("d")));
}

/// Guards against a zone that counts as silent although one of its hosts is alive, or because it has none.
#[tokio::test(start_paused = true)]
async fn a_zone_is_silent_only_if_all_its_hosts_are() {
    let mut table = table();
    table.receive_heartbeat(heartbeat(known("b", 1, "z2"), 1), Instant::now());
    table.receive_heartbeat(heartbeat(known("c", 1, "z2"), 1), Instant::now());
    advance(Duration::from_secs(5)).await;
    let all_silent = table.is_zone_silent("z2", Instant::now());

    table.receive_heartbeat(heartbeat(known("c", 1, "z2"), 2), Instant::now());

    let one_alive = table.is_zone_silent("z2", Instant::now());
    let others = ["z1", "z3"].map(|zone| table.is_zone_silent(zone, Instant::now()));
    assert_eq!((all_silent, one_alive, others), (true, false, [false, false]));
}

/// Guards against two sides of a partition that both find that they have a majority.
#[tokio::test(start_paused = true)]
async fn half_of_a_zone_is_no_majority() {
    let mut table = table();
    for address in ["b", "c", "d"] {
        table.receive_heartbeat(heartbeat(known(address, 1, "z1"), 1), Instant::now());
    }
    let with_all = table.has_majority_in("z1", Instant::now());
    advance(Duration::from_secs(5)).await;
    table.receive_heartbeat(heartbeat(known("b", 1, "z1"), 2), Instant::now());

    let with_half = table.has_majority_in("z1", Instant::now());

    assert_eq!((with_all, with_half), (true, false));
}

/// Guards against callers that receive only the hosts of a cut-off zone although they could reach all
/// others.
#[tokio::test(start_paused = true)]
async fn a_host_in_a_cut_off_zone_steers_callers_to_other_zones_for_a_while() {
    let mut table = table();
    receive_all(&mut table, &["b", "c"], "z1", 1);
    receive_all(&mut table, &["d", "e", "f", "g"], "z2", 1);
    let before = steer_in_region(&table).len();

    advance(Duration::from_secs(3)).await;
    receive_all(&mut table, &["b", "c"], "z1", 2);
    let during_partition = steer_in_region(&table).len();
    advance(Duration::from_secs(3)).await;
    receive_all(&mut table, &["b", "c"], "z1", 3);
    let after_ttl = steer_in_region(&table).len();

    assert_eq!((before, during_partition, after_ttl), (6, 6, 3));
}

/// Returns a team whose owners the host at `address` precedes the local one among.
fn team_owned_by(table: &PeerTable, address: &str) -> String {
    let teams = (0..100).map(|number| format!("team-{number}"));
    let own = &table.local_host().address;
    let precedes = |team: &String| rendezvous_score(team, address) > rendezvous_score(team, own);
    teams.into_iter().find(precedes).unwrap()
}

/// Guards against a new owner that takes itself for established while heartbeats have not reported yet what
/// the killed owner granted, also if that one is back at once as a new incarnation that owns nothing yet.
#[tokio::test(start_paused = true)]
async fn the_earlier_owner_of_a_team_is_remembered_after_it_was_killed() {
    let mut table = table();
    receive_all(&mut table, &["b"], "z1", 1);
    let team = team_owned_by(&table, "b");
    let before = table.has_recent_owner_before_local(&team, Instant::now());

    let restarted = HostHeartbeat { is_settled: false, ..heartbeat(known("b", 2, "z1"), 1) };
    table.receive_heartbeat(restarted, Instant::now());
    let after_restart = table.has_recent_owner_before_local(&team, Instant::now());
    advance(Duration::from_secs(3)).await;
    let later = table.has_recent_owner_before_local(&team, Instant::now());

    assert_eq!((before, after_restart, later), (true, true, false));
}
