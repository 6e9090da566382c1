use std::time::Duration;

use tokio::time::{Instant, advance};

use super::CrashTable;

const QUARANTINE: Duration = Duration::from_secs(60);

fn table() -> CrashTable {
    CrashTable::new(3, QUARANTINE)
}

/// A request breaks three targets, and its caller sends it again and again. Each further run would
/// take a target from everybody else.
#[tokio::test(start_paused = true)]
async fn a_request_that_took_three_targets_is_held_back_for_a_while() {
    let mut table = table();

    let mut quarantine_left = Vec::new();
    for _ in 0..3 {
        table.on_crash(7, Instant::now());
        quarantine_left.push(table.quarantine_left(7, Instant::now()).is_some());
    }
    advance(QUARANTINE + Duration::from_secs(1)).await;
    quarantine_left.push(table.quarantine_left(7, Instant::now()).is_some());

    assert_eq!(quarantine_left, [false, false, true, false]);
    assert!(table.quarantine_left(8, Instant::now()).is_none());
}

/// A request is cut off twice by faults that have nothing to do with it, and runs whole in between.
#[tokio::test(start_paused = true)]
async fn a_run_to_the_end_clears_a_request() {
    let mut table = table();
    table.on_crash(7, Instant::now());
    table.on_crash(7, Instant::now());

    table.on_success(7);
    table.on_crash(7, Instant::now());

    assert!(table.quarantine_left(7, Instant::now()).is_none());
}

/// The caller goes to another host with each try. Hosts that knew only their own third of it would
/// let it take nine targets.
#[tokio::test(start_paused = true)]
async fn what_others_saw_counts_and_is_not_told_on() {
    let (mut here, mut there) = (table(), table());
    here.on_crash(7, Instant::now());
    here.on_crash(7, Instant::now());

    for (fingerprint, crashes) in here.seen_lately(Duration::from_secs(2), 64, Instant::now()) {
        there.merge(fingerprint, crashes, Instant::now());
    }
    let told_on = there.seen_lately(Duration::from_secs(2), 64, Instant::now());
    there.on_crash(7, Instant::now());

    assert!(told_on.is_empty());
    assert!(there.quarantine_left(7, Instant::now()).is_some());
    advance(Duration::from_secs(3)).await;
    assert!(here.seen_lately(Duration::from_secs(2), 64, Instant::now()).is_empty());
}

/// A third of the targets goes down under hundreds of requests. All of them in one heartbeat would be more
/// than receivers read; those nearest to being held back matter most.
#[tokio::test(start_paused = true)]
async fn what_is_told_is_bounded_and_the_worst_goes_first() {
    let mut table = table();
    (0..500).for_each(|fingerprint| {
        table.on_crash(fingerprint, Instant::now());
    });
    table.on_crash(321, Instant::now());

    let told = table.seen_lately(Duration::from_secs(2), 64, Instant::now());

    assert_eq!((told.len(), told[0]), (64, (321, 2)));
}
