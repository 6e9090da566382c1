//! Hosts that are declared lost, and what they still count for.

use std::time::Duration;

use cuminramp_core::HostId;
use tokio::time::{Instant, advance};

use super::{heartbeat, known, receive_all, table};
use crate::heartbeat::KnownHost;

fn id(address: &str) -> HostId {
    HostId { address: address.into(), incarnation: 1 }
}

/// Guards against hosts that were lost or replaced over weeks, and of which the few that live are no half.
#[tokio::test(start_paused = true)]
async fn lost_hosts_do_not_count_among_all_hosts() {
    let mut table = table();
    let lost = ["c", "d", "e", "f"];
    receive_all(&mut table, &["b"], "z1", 1);
    receive_all(&mut table, &lost, "z1", 1);
    advance(Duration::from_secs(7)).await;
    receive_all(&mut table, &["b"], "z1", 2);
    let before = table.has_at_least_half(Instant::now());

    let is_news = lost.map(|address| table.declare_lost(&id(address), Instant::now()));

    assert!(!before && is_news.iter().all(|is| *is));
    assert_eq!(table.count_alive(Instant::now()), (2, 2));
    assert!(table.has_at_least_half(Instant::now()) && table.has_majority_in("z1", Instant::now()));
}

/// Guards against a team that gets its rate twice, from a host that is cut off from the others and from the store, and
/// from the others that declared it lost.
#[tokio::test(start_paused = true)]
async fn a_part_of_the_rates_stays_reserved_for_a_lost_host() {
    let mut table = table();
    receive_all(&mut table, &["b", "c"], "z1", 1);
    advance(Duration::from_secs(7)).await;
    receive_all(&mut table, &["b"], "z1", 2);
    table.declare_lost(&id("c"), Instant::now());

    let reserved = table.count_rate_shares(Instant::now());
    advance(Duration::from_secs(3 * 3_600)).await;
    table.forget_lost(Instant::now());
    receive_all(&mut table, &["b"], "z1", 3);
    let later = table.count_rate_shares(Instant::now());

    assert_eq!((reserved, later), ((2, 3), (2, 2)));
    assert!(table.get("c").is_none());
}

/// Guards against a host that was paused or cut off, and counts as lost although it is heard again or has written its
/// row.
#[tokio::test(start_paused = true)]
async fn a_lost_host_that_comes_back_counts_again() {
    let mut table = table();
    receive_all(&mut table, &["b", "c"], "z1", 1);
    advance(Duration::from_secs(7)).await;
    table.declare_lost(&id("b"), Instant::now());
    table.declare_lost(&id("c"), Instant::now());

    table.receive_heartbeat(heartbeat(known("b", 1, "z1"), 2), Instant::now());
    let heard = table.count_alive(Instant::now());
    table.restore(&id("c"), Instant::now());
    let announced = table.count_alive(Instant::now());

    assert_eq!((heard, announced), ((2, 2), (2, 3)));
    assert!(!table.is_lost(&id("b"), Instant::now()));
}

/// Guards against a host that is declared lost by one that does not hear it, while others do.
#[tokio::test(start_paused = true)]
async fn a_host_that_is_heard_is_not_declared_lost() {
    let mut table = table();
    receive_all(&mut table, &["b"], "z1", 1);

    assert!(!table.declare_lost(&id("b"), Instant::now()));
    assert_eq!(table.count_alive(Instant::now()), (2, 2));
}

/// Guards against all others that seem silent for hours to a host that was paused for seconds.
#[tokio::test(start_paused = true)]
async fn after_a_pause_no_host_is_suspected_at_once() {
    let mut table = table();
    receive_all(&mut table, &["b"], "z1", 1);
    advance(Duration::from_secs(60)).await;

    table.reset_liveness();
    let at_once = table.has_suspects(Instant::now());
    advance(Duration::from_secs(4)).await;

    assert!(!at_once && table.has_suspects(Instant::now()));
}

/// Hosts delete their rows when they begin to leave, and end before they have left. Guards against hosts without a row
/// that count for ever.
#[tokio::test(start_paused = true)]
async fn silent_hosts_without_a_row_are_declared_lost() {
    let mut table = table();
    receive_all(&mut table, &["b", "c", "d"], "z1", 1);
    advance(Duration::from_secs(5)).await;
    receive_all(&mut table, &["b"], "z1", 2);

    let lists = |host: &KnownHost| &*host.address == "c";
    let early = table.declare_missing(lists, Instant::now());
    advance(Duration::from_secs(4)).await;
    receive_all(&mut table, &["b"], "z1", 3);
    let missing = table.declare_missing(lists, Instant::now());

    assert_eq!((early, missing), (vec![], vec![id("d")]));
    assert_eq!(table.count_alive(Instant::now()), (2, 3));
}
