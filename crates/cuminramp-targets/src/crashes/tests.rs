use std::time::Duration;

use tokio::time::{Instant, advance};

use super::{CrashTable, MAX_RECORDS};

const QUARANTINE: Duration = Duration::from_secs(60);

fn table() -> CrashTable {
    CrashTable::new(3, QUARANTINE)
}

/// A poison request crashes three targets and its caller keeps sending it. Each further run would crash
/// a target that other callers use.
#[tokio::test(start_paused = true)]
async fn a_request_that_crashed_three_targets_is_quarantined_for_a_limited_time() {
    let mut table = table();

    let mut quarantined = Vec::new();
    for _ in 0..3 {
        table.record_crash(7, Instant::now());
        quarantined.push(table.remaining_quarantine(7, Instant::now()).is_some());
    }
    advance(QUARANTINE + Duration::from_secs(1)).await;
    quarantined.push(table.remaining_quarantine(7, Instant::now()).is_some());

    assert_eq!(quarantined, [false, false, true, false]);
    assert!(table.remaining_quarantine(8, Instant::now()).is_none());
}

/// A request loses its connection to the target because of unrelated faults, three times in all, and
/// completes before the third. It must not be quarantined.
#[tokio::test(start_paused = true)]
async fn a_completed_run_clears_a_request() {
    let mut table = table();
    table.record_crash(7, Instant::now());
    table.record_crash(7, Instant::now());

    table.record_success(7);
    table.record_crash(7, Instant::now());

    assert!(table.remaining_quarantine(7, Instant::now()).is_none());
}

/// A caller sends each retry to another host. Three hosts that each counted only the crashes they
/// observed themselves would let the request crash nine targets.
#[tokio::test(start_paused = true)]
async fn crashes_observed_by_others_count_and_are_not_reported_again() {
    let (mut here, mut there) = (table(), table());
    here.record_crash(7, Instant::now());
    here.record_crash(7, Instant::now());

    for (fingerprint, crashes) in
        here.recent_local_crashes(Duration::from_secs(2), 64, Instant::now())
    {
        there.merge(fingerprint, crashes, Instant::now());
    }
    let reported_again = there.recent_local_crashes(Duration::from_secs(2), 64, Instant::now());
    there.record_crash(7, Instant::now());

    assert!(reported_again.is_empty());
    assert!(there.remaining_quarantine(7, Instant::now()).is_some());
    advance(Duration::from_secs(3)).await;
    assert!(here.recent_local_crashes(Duration::from_secs(2), 64, Instant::now()).is_empty());
}

/// A third of the targets crashes while running hundreds of requests. All their fingerprints in one
/// heartbeat would exceed what receivers read, so the requests closest to quarantine come first.
#[tokio::test(start_paused = true)]
async fn reported_crashes_are_bounded_and_the_highest_counts_come_first() {
    let mut table = table();
    (0..500).for_each(|fingerprint| {
        table.record_crash(fingerprint, Instant::now());
    });
    table.record_crash(321, Instant::now());

    let reported = table.recent_local_crashes(Duration::from_secs(2), 64, Instant::now());

    assert_eq!((reported.len(), reported[0]), (64, (321, 2)));
}

/// Guards against a table that grows without bound: other hosts report crashes of different requests while a
/// rack of targets fails, or one host reports made-up counts.
#[tokio::test(start_paused = true)]
async fn the_table_is_bounded_whoever_observed_the_crashes() {
    let mut table = table();

    for fingerprint in 0..2 * MAX_RECORDS as u64 {
        table.merge(fingerprint, 3, Instant::now());
    }

    assert!(table.records.len() <= MAX_RECORDS, "{}", table.records.len());
    let last = 2 * MAX_RECORDS as u64 - 1;
    assert!(table.remaining_quarantine(last, Instant::now()).is_some());
}
