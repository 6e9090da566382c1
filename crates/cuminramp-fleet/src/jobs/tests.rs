use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, advance};

use crate::demand::MAX_DEMAND_GROUPS;

use super::{
    FinishedItem, ItemFailure, ItemOutcome, ItemProgress, ItemSpec, JobPolicy, JobSpec, JobTable,
};

fn item(id: &str) -> Arc<ItemSpec> {
    Arc::new(ItemSpec {
        id: id.into(),
        path: "/x/1".into(),
        headers: vec![],
        body: "b".into(),
        tokens: 10,
    })
}

fn job(id: &str, due: u64, items: &[&str]) -> JobSpec {
    let now = Instant::now();
    JobSpec {
        id: id.into(),
        team: "t".into(),
        route: "r".into(),
        host: "a.example".into(),
        due: now + Duration::from_secs(due),
        give_up: now + Duration::from_secs(60),
        max_attempts: 3,
        items: items.iter().map(|id| item(id)).collect(),
    }
}

fn table(jobs: Vec<JobSpec>) -> JobTable {
    let mut table = JobTable::new(JobPolicy::default());
    for job in jobs {
        table.add(job, &[], vec![]);
    }
    table
}

fn take(table: &mut JobTable) -> Option<(String, usize, ItemProgress)> {
    let start = table.next(|_| true, Instant::now())?;
    Some((start.job.to_string(), start.index, start.progress))
}

fn progress(last: u64) -> ItemProgress {
    ItemProgress { last_event: Some(last), text: "x".into(), ran: Duration::from_secs(1) }
}

/// Many jobs wait and some can't be done in time any more. Were they served first, those that still
/// can would be late as well, and every caller would be disappointed.
#[tokio::test(start_paused = true)]
async fn items_that_cannot_be_in_time_wait_behind_those_that_can() {
    let mut table =
        table(vec![job("late", 3, &["l"]), job("soon", 10, &["s"]), job("far", 20, &["f"])]);

    let order: Vec<String> = std::iter::from_fn(|| take(&mut table)).map(|taken| taken.0).collect();

    assert_eq!(order, ["soon", "far", "late"]);
}

#[tokio::test(start_paused = true)]
async fn an_item_that_gave_way_goes_on_from_its_last_event() {
    let mut table = table(vec![job("j", 10, &["a"])]);
    let first = take(&mut table);

    let given_up = table.fail("j", 0, ItemFailure::GaveWay, progress(7), Instant::now());
    let second = take(&mut table);

    assert_eq!(first.map(|taken| taken.2.last_event), Some(None));
    assert_eq!(given_up, None);
    assert_eq!(second.map(|taken| taken.2), Some(progress(7)));
}

/// A scanned page can't be read, whichever target tries. The rest of the job must not wait for it.
#[tokio::test(start_paused = true)]
async fn an_item_that_can_never_be_done_ends_with_an_error_of_its_own() {
    let mut table = table(vec![job("j", 10, &["a", "b"])]);
    take(&mut table);

    let given_up =
        table.fail("j", 0, ItemFailure::Impossible, ItemProgress::default(), Instant::now());

    let outcome = ItemOutcome::GivenUp;
    assert_eq!(given_up, Some(FinishedItem { index: 0, outcome, is_saved: false }));
    assert_eq!(take(&mut table).map(|taken| taken.1), Some(1));
}

#[tokio::test(start_paused = true)]
async fn an_item_is_given_up_after_as_many_failures_as_its_route_allows() {
    let mut table = table(vec![job("j", 10, &["a"])]);

    let mut outcomes = Vec::new();
    for _ in 0..3 {
        take(&mut table);
        let end = table.fail("j", 0, ItemFailure::Failed, ItemProgress::default(), Instant::now());
        outcomes.push(end.is_some());
        advance(Duration::from_secs(1)).await;
    }

    assert_eq!(outcomes, [false, false, true]);
}

/// One item crashes each target that begins to run it. Sent on at once it would take target after
/// target down, and online callers with them.
#[tokio::test(start_paused = true)]
async fn an_item_at_which_targets_break_is_held_back() {
    let mut table = table(vec![job("j", 10, &["a"])]);
    for _ in 0..3 {
        take(&mut table);
        table.fail("j", 0, ItemFailure::Broken, ItemProgress::default(), Instant::now());
        advance(Duration::from_millis(200)).await;
    }

    let soon = take(&mut table);
    advance(Duration::from_secs(20)).await;
    let later = take(&mut table);

    assert!(soon.is_none());
    assert!(later.is_some());
}

/// Three targets break under an item for reasons of their own, and the fourth and fifth do as well.
/// With the same long pause each time the job's last item comes after its caller stopped reading;
/// without any, an item that does crash targets takes down one after another.
#[tokio::test(start_paused = true)]
async fn pauses_of_an_item_at_which_targets_break_begin_short_and_grow() {
    let mut table = table(vec![job("j", 10, &["a"])]);
    let began = Instant::now();
    let mut starts = Vec::new();

    while starts.len() < 7 {
        if take(&mut table).is_some() {
            starts.push(began.elapsed().as_millis() / 100);
            table.fail("j", 0, ItemFailure::Broken, ItemProgress::default(), Instant::now());
        }
        advance(Duration::from_millis(50)).await;
    }

    assert_eq!(starts, [0, 1, 3, 28, 103, 328, 928]);
}

#[tokio::test(start_paused = true)]
async fn old_items_are_given_up_and_their_tokens_no_longer_wait() {
    let mut table = table(vec![job("j", 10, &["a", "b"])]);
    assert_eq!(table.get("j").map(|job| job.unfinished_tokens()), Some(20));

    advance(Duration::from_secs(61)).await;
    let given_up = table.drop_expired(Instant::now());

    assert_eq!(given_up.len(), 2);
    assert_eq!(
        table.get("j").map(|job| (job.unfinished_tokens(), job.is_finished())),
        Some((0, true))
    );
}

#[tokio::test(start_paused = true)]
async fn a_job_taken_over_leaves_out_what_is_finished() {
    let mut table = JobTable::new(JobPolicy::default());
    let known = vec![("b".into(), progress(4))];

    table.add(job("j", 10, &["a", "b"]), &["a".into()], known);

    assert_eq!(take(&mut table), Some(("j".into(), 1, progress(4))));
    assert!(take(&mut table).is_none());
}

/// A host is killed while its items run. What the store has goes on elsewhere; a write for each event
/// would take the store's room from results, so only progress worth one is named, and once.
#[tokio::test(start_paused = true)]
async fn progress_is_named_for_saving_once_it_is_worth_a_write() {
    let least = Duration::from_millis(600);
    let mut table = table(vec![job("j", 20, &["a", "b"])]);
    take(&mut table);
    take(&mut table);
    let little = ItemProgress { ran: Duration::from_millis(100), ..progress(5) };
    table.record_progress("j", 0, &progress(40));
    table.record_progress("j", 1, &little);

    let first = table.unsaved(least);
    table.mark_saved("j", 0, &progress(40));
    let second = table.unsaved(least);

    let named: Vec<usize> = first[0].items.iter().map(|item| item.0).collect();
    assert_eq!(named, [0]);
    assert!(second.is_empty(), "{second:?}");
}

/// The row with an item's progress is of no use once the item is listed. Left there it would cost the
/// store's room for good.
#[tokio::test(start_paused = true)]
async fn a_finished_item_says_whether_its_progress_was_saved() {
    let mut table = table(vec![job("j", 20, &["a", "b"])]);
    take(&mut table);
    take(&mut table);
    table.mark_saved("j", 0, &progress(40));

    let saved = table.complete("j", 0, progress(50), Instant::now()).unwrap();
    let unsaved = table.complete("j", 1, progress(50), Instant::now()).unwrap();

    assert!(saved.is_saved && !unsaved.is_saved);
}

/// Items give way to callers at each crest, so one that a target works on for a second is there for
/// two. One with just too little time for that would go first and be late all the same, and so would
/// the one behind it.
#[tokio::test(start_paused = true)]
async fn an_item_without_time_for_giving_way_waits_behind_one_that_has_it() {
    let mut table = table(vec![job("seen", 60, &["a", "b", "c", "d", "e", "f", "g", "h"])]);
    for index in 0..8 {
        take(&mut table);
        advance(Duration::from_secs(10)).await;
        let ran = ItemProgress { ran: Duration::from_secs(5), ..progress(9) };
        table.complete("seen", index, ran, Instant::now());
    }
    table.add(job("brink", 6, &["x"]), &[], vec![]);
    table.add(job("time", 15, &["y"]), &[], vec![]);

    let demand = table.demand(|_| true, Instant::now());
    let first = take(&mut table).map(|taken| taken.0);

    assert_eq!(first.as_deref(), Some("time"));
    assert_eq!(demand.iter().map(|group| group.is_late).collect::<Vec<_>>(), [false, true]);
}

/// A host that holds hundreds of jobs tells of the most urgent ones. A heartbeat with all of them would be
/// larger than receivers take, and its host would seem silent.
#[tokio::test(start_paused = true)]
async fn demand_stays_short_however_many_jobs_wait() {
    let jobs = (0..50).map(|index| job(&format!("j{index}"), 20 + index, &["a", "b"])).collect();
    let table = table(jobs);

    let demand = table.demand(|_| true, Instant::now());

    assert_eq!(demand.len(), MAX_DEMAND_GROUPS);
    assert_eq!(demand.iter().map(|group| group.items).sum::<u32>(), 100);
    assert_eq!(demand.last().map(|group| group.due_in_ms), Some(69_000));
}
