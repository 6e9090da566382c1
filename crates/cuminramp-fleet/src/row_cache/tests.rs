use std::time::Duration;

use tokio::time::{Instant, advance};

use super::{ChangedRow, KnownRow, RowAction, RowCache};

fn row(key: &str, version: u64) -> KnownRow {
    KnownRow { key: key.into(), value: "x".into(), version }
}

fn changed(key: &str, version: u64, is_deleted: bool) -> ChangedRow {
    ChangedRow { row: row(key, version), is_deleted }
}

fn cache(keys: &[&str]) -> RowCache {
    let mut cache = RowCache::default();
    let rows = keys.iter().enumerate().map(|(index, key)| row(key, index as u64 + 1)).collect();
    cache.apply_snapshot(rows, 10, Instant::now());
    cache
}

fn keys(cache: &RowCache) -> Vec<&str> {
    cache.rows().map(|row| row.key.as_str()).collect()
}

/// A host requests updates from another host and then receives the deletion of a target's row from the
/// store, which the other host has not received yet. If the row reappeared, requests would go to a
/// leaving target until the deletion is reported again.
#[tokio::test(start_paused = true)]
async fn a_deleted_row_does_not_reappear_through_late_updates() {
    let mut cache = cache(&["a", "b"]);
    cache.apply_changes(vec![changed("a", 12, true)], 12, false, Instant::now());

    let late = cache.apply_updates(vec![row("a", 1), row("b", 2)], 11);
    let snapshot = cache.apply_snapshot(vec![row("a", 1), row("b", 2)], 11, Instant::now());
    let newer = cache.apply_updates(vec![row("a", 1), row("b", 2)], 13);

    assert_eq!((late, snapshot, newer), (vec![], vec![], vec![]));
    assert_eq!(keys(&cache), ["b"]);
}

/// The store was unavailable, and the entries of all targets expired. If they were removed at once, every
/// caller would be refused for two seconds although all targets are running.
#[tokio::test(start_paused = true)]
async fn entries_that_expired_during_an_outage_have_time_to_be_renewed() {
    let mut cache = cache(&["a", "b", "c", "d"]);
    let deletions = ["a", "b", "c", "d"].map(|key| changed(key, 12, true)).to_vec();

    let immediate = cache.apply_changes(deletions, 12, false, Instant::now());
    advance(Duration::from_millis(1_000)).await;
    cache.apply_changes(vec![changed("a", 13, false)], 13, false, Instant::now());
    let early = cache.remove_due(Instant::now());
    advance(Duration::from_millis(1_500)).await;
    let due = cache.remove_due(Instant::now());

    assert_eq!((immediate, early), (vec![], vec![]));
    assert_eq!(due.len(), 3);
    assert_eq!(keys(&cache), ["a"]);
}

/// The store is briefly unavailable to this host, and then the host receives the deletion of a target's
/// row. Whether the entry expired or the target left, no request must go there two seconds later.
#[tokio::test(start_paused = true)]
async fn a_target_that_left_during_an_outage_is_removed_within_two_seconds() {
    let mut cache = cache(&["a", "b"]);

    cache.apply_changes(vec![changed("a", 12, true)], 12, true, Instant::now());
    advance(Duration::from_millis(1_800)).await;
    cache.remove_due(Instant::now());

    assert_eq!(keys(&cache), ["b"]);
}

/// Two hosts receive the deletion of a target's row at the same time, both delay the removal, and one
/// requests updates from the other. The row in the other host's cache doesn't prove that the target is
/// running. If it did, both hosts would go on sending requests to a target that has left.
#[tokio::test(start_paused = true)]
async fn a_row_with_pending_removal_on_another_host_does_not_cancel_the_removal() {
    let mut cache = cache(&["a", "b"]);
    cache.apply_changes(vec![changed("a", 12, true)], 12, true, Instant::now());

    cache.apply_updates(vec![row("a", 1), row("b", 2)], 13);
    advance(Duration::from_millis(1_800)).await;
    let due = cache.remove_due(Instant::now());

    assert_eq!(due, [RowAction::Remove { key: "a".into(), version: 12 }]);
}

#[tokio::test(start_paused = true)]
async fn a_single_target_that_leaves_is_removed_at_once() {
    let mut cache = cache(&["a", "b"]);

    let actions = cache.apply_changes(vec![changed("a", 12, true)], 12, false, Instant::now());

    assert_eq!(actions, [RowAction::Remove { key: "a".into(), version: 12 }]);
}

/// A full snapshot from before a target joined is answered late. It lacks the target's row, which must not
/// be removed for that.
#[tokio::test(start_paused = true)]
async fn an_old_snapshot_does_not_remove_a_new_row() {
    let mut cache = cache(&["a"]);
    cache.apply_changes(vec![changed("b", 12, false)], 12, false, Instant::now());

    cache.apply_snapshot(vec![row("a", 1)], 11, Instant::now());
    advance(Duration::from_secs(5)).await;

    assert_eq!(cache.remove_due(Instant::now()), []);
    assert_eq!(keys(&cache), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn rows_missing_from_a_newer_snapshot_are_removed_after_the_delay() {
    let mut cache = cache(&["a", "b"]);

    cache.apply_snapshot(vec![row("a", 1)], 12, Instant::now());
    let early = cache.remove_due(Instant::now());
    advance(Duration::from_millis(2_300)).await;
    let due = cache.remove_due(Instant::now());

    assert_eq!(early, []);
    assert_eq!(due, [RowAction::Remove { key: "b".into(), version: 12 }]);
}
