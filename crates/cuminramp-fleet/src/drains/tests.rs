use std::time::Duration;

use tokio::time::{Instant, advance};

use super::{DrainTable, ZoneDrain};

fn drain(zone: &str, version: u64, is_drained: bool) -> ZoneDrain {
    ZoneDrain { zone: zone.into(), version, is_drained }
}

fn table(drains: &[ZoneDrain]) -> DrainTable {
    let mut table = DrainTable::default();
    for drain in drains {
        table.offer(drain.clone(), Instant::now());
    }
    table
}

/// Guards against a drain that comes back: a host that was cut off tells what it knew before.
#[tokio::test(start_paused = true)]
async fn an_older_order_never_replaces_a_newer_one() {
    let mut table = table(&[drain("z1", 5, true), drain("z1", 9, false)]);

    let is_news = table.offer(drain("z1", 5, true), Instant::now());

    assert!(!is_news);
    assert!(table.drained().is_empty());
}

/// Guards against a read of the store that was answered late and ends a drain ordered since.
#[tokio::test(start_paused = true)]
async fn a_whole_read_ends_only_drains_that_are_older() {
    let mut table = table(&[drain("z1", 5, true), drain("z2", 20, true)]);

    let news = table.apply_snapshot(vec![drain("z3", 8, true)], 10, Instant::now());

    assert_eq!(news, [drain("z1", 10, false), drain("z3", 8, true)]);
    assert_eq!(table.drained(), ["z2".into(), "z3".into()]);
}

/// Guards against a host that misses the store and hears of a drain in none of the heartbeats.
#[tokio::test(start_paused = true)]
async fn every_heartbeat_tells_drains_in_force_and_late_ones_leave_ends_out() {
    let table = table(&[drain("z1", 5, true), drain("z2", 6, false)]);

    let at_once = table.advertised(false, Instant::now());
    advance(Duration::from_secs(60)).await;
    let late = table.advertised(false, Instant::now());
    let whole = table.advertised(true, Instant::now());

    assert_eq!(at_once.len(), 2);
    assert_eq!(late, [drain("z1", 5, true)]);
    assert_eq!(whole.len(), 2);
}
