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

/// A host asks another for news just before it hears from the store that a target leaves, and the
/// other had not heard of it yet. Were the row taken back, requests would go to a target that
/// leaves, for as long as nobody says so again.
#[tokio::test(start_paused = true)]
async fn a_row_that_ended_does_not_come_back_by_late_news() {
    let mut cache = cache(&["a", "b"]);
    cache.apply_changes(vec![changed("a", 12, true)], 12, false, Instant::now());

    let late = cache.apply_updates(vec![row("a", 1), row("b", 2)], 11);
    let whole = cache.apply_snapshot(vec![row("a", 1), row("b", 2)], 11, Instant::now());
    let newer = cache.apply_updates(vec![row("a", 1), row("b", 2)], 13);

    assert_eq!((late, whole, newer), (vec![], vec![], vec![]));
    assert_eq!(keys(&cache), ["b"]);
}

/// The store was away, and the entries of all targets ran out meanwhile. Were they taken for gone
/// at once, every caller would be refused for two seconds although all targets live.
#[tokio::test(start_paused = true)]
async fn entries_that_ran_out_while_the_store_was_away_get_time_to_come_back() {
    let mut cache = cache(&["a", "b", "c", "d"]);
    let gone = ["a", "b", "c", "d"].map(|key| changed(key, 12, true)).to_vec();

    let at_once = cache.apply_changes(gone, 12, false, Instant::now());
    advance(Duration::from_millis(1_000)).await;
    cache.apply_changes(vec![changed("a", 13, false)], 13, false, Instant::now());
    let early = cache.take_due(Instant::now());
    advance(Duration::from_millis(1_500)).await;
    let due = cache.take_due(Instant::now());

    assert_eq!((at_once, early), (vec![], vec![]));
    assert_eq!(due.len(), 3);
    assert_eq!(keys(&cache), ["a"]);
}

/// The store turned this host away for a moment, and then it hears that a target left. Whether it
/// ran out or left, callers' requests must not go there two seconds later.
#[tokio::test(start_paused = true)]
async fn a_target_that_left_beside_trouble_of_the_store_is_gone_within_two_seconds() {
    let mut cache = cache(&["a", "b"]);

    cache.apply_changes(vec![changed("a", 12, true)], 12, true, Instant::now());
    advance(Duration::from_millis(1_800)).await;
    cache.take_due(Instant::now());

    assert_eq!(keys(&cache), ["b"]);
}

/// Two hosts hear in the same moment that a target is gone, both doubt it, and one asks the other
/// for news. That the other still keeps the row says nothing; were it taken for a sign of life,
/// both would send requests to a target that has left.
#[tokio::test(start_paused = true)]
async fn a_host_that_doubts_as_well_is_no_witness() {
    let mut cache = cache(&["a", "b"]);
    cache.apply_changes(vec![changed("a", 12, true)], 12, true, Instant::now());

    cache.apply_updates(vec![row("a", 1), row("b", 2)], 13);
    advance(Duration::from_millis(1_800)).await;
    let due = cache.take_due(Instant::now());

    assert_eq!(due, [RowAction::Remove { key: "a".into(), version: 12 }]);
}

#[tokio::test(start_paused = true)]
async fn a_single_target_that_leaves_is_gone_at_once() {
    let mut cache = cache(&["a", "b"]);

    let actions = cache.apply_changes(vec![changed("a", 12, true)], 12, false, Instant::now());

    assert_eq!(actions, [RowAction::Remove { key: "a".into(), version: 12 }]);
}

/// A whole read is answered late, from before a target came. Its silence about the target means
/// nothing.
#[tokio::test(start_paused = true)]
async fn an_old_whole_read_makes_nobody_doubt_a_new_row() {
    let mut cache = cache(&["a"]);
    cache.apply_changes(vec![changed("b", 12, false)], 12, false, Instant::now());

    cache.apply_snapshot(vec![row("a", 1)], 11, Instant::now());
    advance(Duration::from_secs(5)).await;

    assert_eq!(cache.take_due(Instant::now()), []);
    assert_eq!(keys(&cache), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn what_a_newer_whole_read_lacks_is_gone_after_a_while() {
    let mut cache = cache(&["a", "b"]);

    cache.apply_snapshot(vec![row("a", 1)], 12, Instant::now());
    let early = cache.take_due(Instant::now());
    advance(Duration::from_millis(2_300)).await;
    let due = cache.take_due(Instant::now());

    assert_eq!(early, []);
    assert_eq!(due, [RowAction::Remove { key: "b".into(), version: 12 }]);
}
