use std::time::Duration;

use tokio::time::{Instant, advance};

use super::{DrainTable, ZoneDrain};

fn drain(zone: &str, version: u64, is_drained: bool) -> ZoneDrain {
    ZoneDrain { zone: zone.into(), version, is_drained }
}

fn table(drains: &[ZoneDrain]) -> DrainTable {
    let mut table = DrainTable::default();
    for drain in drains {
        table.record(drain.clone(), Instant::now());
    }
    table
}

/// Guards against a drain that comes back after it was ended: a host that was cut off reports the state
/// from before.
#[tokio::test(start_paused = true)]
async fn an_older_drain_never_replaces_a_newer_one() {
    let mut table = table(&[drain("z1", 5, true), drain("z1", 9, false)]);

    let is_newer = table.record(drain("z1", 5, true), Instant::now());

    assert!(!is_newer);
    assert!(table.drained().is_empty());
}

/// Guards against a snapshot of the store that arrives late and ends a drain ordered since.
#[tokio::test(start_paused = true)]
async fn a_snapshot_ends_only_older_drains() {
    let mut table = table(&[drain("z1", 5, true), drain("z2", 20, true)]);

    let updates = table.apply_snapshot(vec![drain("z3", 8, true)], 10, Instant::now());

    assert_eq!(updates, [drain("z1", 10, false), drain("z3", 8, true)]);
    assert_eq!(table.drained(), ["z2".into(), "z3".into()]);
}

/// Guards against a host that can't reach the store and receives a drain in none of the heartbeats.
#[tokio::test(start_paused = true)]
async fn every_heartbeat_advertises_drains_in_force_and_omits_ends_after_a_while() {
    let table = table(&[drain("z1", 5, true), drain("z2", 6, false)]);

    let at_once = table.advertised(false, Instant::now());
    advance(Duration::from_secs(60)).await;
    let late = table.advertised(false, Instant::now());
    let full = table.advertised(true, Instant::now());

    assert_eq!(at_once.len(), 2);
    assert_eq!(late, [drain("z1", 5, true)]);
    assert_eq!(full.len(), 2);
}
