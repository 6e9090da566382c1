use std::sync::Arc;
use std::time::Duration;

use test_case::test_case;
use tokio::time::{Instant, advance};

use crate::demand::MAX_DEMAND_GROUPS;
use crate::software::SoftwareVersion;

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
        declarations_version: Some(1),
        host: "a.example".into(),
        due: now + Duration::from_secs(due),
        expires: now + Duration::from_secs(60),
        max_failures: 3,
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

fn software(version: &str) -> SoftwareVersion {
    SoftwareVersion::new("p", version)
}

fn start_next(table: &mut JobTable) -> Option<(String, usize, ItemProgress)> {
    let start = table.start_next(|_| true, software("v1"), Instant::now())?;
    Some((start.job.to_string(), start.index, start.progress))
}

fn progress(last: u64) -> ItemProgress {
    ItemProgress {
        last_event: Some(last),
        text: "x".into(),
        run_time: Duration::from_secs(1),
        software: Some(software("v1")),
    }
}

/// The text of an item must not join what two versions wrote. Items that can go on at a target run there
/// before those that would lose their text.
#[tokio::test(start_paused = true)]
async fn an_item_begun_by_other_software_starts_anew_after_the_others() {
    let mut table = JobTable::new(JobPolicy::default());
    let unknown = ItemProgress { software: None, ..progress(3) };
    let partial = vec![("a".into(), progress(5)), ("b".into(), unknown)];
    table.add(job("j", 10, &["a", "b", "c"]), &[], partial);

    let starts: Vec<(usize, Option<u64>)> = std::iter::from_fn(|| {
        let start = table.start_next(|_| true, software("v2"), Instant::now())?;
        Some((start.index, start.progress.last_event))
    })
    .collect();

    assert_eq!(starts, [(2, None), (0, None), (1, None)]);
}

/// Many jobs wait and some can no longer finish in time. If their items ran first, the jobs that still
/// can would be late as well, and every caller would get late results.
#[tokio::test(start_paused = true)]
async fn late_items_wait_behind_items_that_can_be_in_time() {
    let mut table =
        table(vec![job("late", 3, &["l"]), job("soon", 10, &["s"]), job("far", 20, &["f"])]);

    let order: Vec<String> =
        std::iter::from_fn(|| start_next(&mut table)).map(|started| started.0).collect();

    assert_eq!(order, ["soon", "far", "late"]);
}

#[tokio::test(start_paused = true)]
async fn a_preempted_item_resumes_from_its_last_event() {
    let mut table = table(vec![job("j", 10, &["a"])]);
    let first = start_next(&mut table);

    let given_up = table.fail("j", 0, ItemFailure::Preempted, progress(7), Instant::now());
    let second = start_next(&mut table);

    assert_eq!(first.map(|started| started.2.last_event), Some(None));
    assert_eq!(given_up, None);
    assert_eq!(second.map(|started| started.2), Some(progress(7)));
}

/// An item that no target can process, such as an unreadable scanned page, must not delay the rest of
/// its job.
#[tokio::test(start_paused = true)]
async fn an_impossible_item_is_given_up_without_stopping_its_job() {
    let mut table = table(vec![job("j", 10, &["a", "b"])]);
    start_next(&mut table);

    let given_up =
        table.fail("j", 0, ItemFailure::Impossible, ItemProgress::default(), Instant::now());

    let outcome = ItemOutcome::GivenUp;
    assert_eq!(given_up, Some(FinishedItem { index: 0, outcome, is_saved: false }));
    assert_eq!(start_next(&mut table).map(|started| started.1), Some(1));
}

#[tokio::test(start_paused = true)]
async fn an_item_is_given_up_after_max_failures() {
    let mut table = table(vec![job("j", 10, &["a"])]);

    let mut outcomes = Vec::new();
    for _ in 0..3 {
        start_next(&mut table);
        let end = table.fail("j", 0, ItemFailure::Failed, ItemProgress::default(), Instant::now());
        outcomes.push(end.is_some());
        advance(Duration::from_secs(1)).await;
    }

    assert_eq!(outcomes, [false, false, true]);
}

/// One item crashes each target that starts it. Retried without a delay, it would crash one target
/// after another and fail the requests of online callers there.
#[tokio::test(start_paused = true)]
async fn an_item_that_crashes_targets_is_delayed() {
    let mut table = table(vec![job("j", 10, &["a"])]);
    for _ in 0..3 {
        start_next(&mut table);
        table.fail("j", 0, ItemFailure::Crashed, ItemProgress::default(), Instant::now());
        advance(Duration::from_millis(200)).await;
    }

    let soon = start_next(&mut table);
    advance(Duration::from_secs(20)).await;
    let later = start_next(&mut table);

    assert!(soon.is_none());
    assert!(later.is_some());
}

/// Targets crash under a sound item, and then all is calm. Guards against an item that is hardly ever placed again, because it
/// waits longer after each crash.
#[test_case(2)]
#[test_case(3)]
#[test_case(5)]
#[test_case(20)]
#[tokio::test(start_paused = true)]
async fn an_item_under_which_targets_crashed_starts_again_soon(crashes: usize) {
    let mut table = table(vec![job("j", 10, &["a"])]);
    let mut crashed = 0;
    while crashed < crashes {
        if start_next(&mut table).is_some() {
            table.fail("j", 0, ItemFailure::Crashed, ItemProgress::default(), Instant::now());
            crashed += 1;
        }
        advance(Duration::from_millis(50)).await;
    }

    advance(Duration::from_millis(1_500)).await;

    assert!(start_next(&mut table).is_some());
}

/// Guards against an item that waits as long as one that crashes targets, after its targets were silent or cut off.
#[tokio::test(start_paused = true)]
async fn an_item_whose_targets_were_lost_is_not_delayed_like_one_that_crashes_them() {
    let mut table = table(vec![job("j", 10, &["a"])]);
    for _ in 0..5 {
        assert!(start_next(&mut table).is_some());
        table.fail("j", 0, ItemFailure::Lost, ItemProgress::default(), Instant::now());
        advance(Duration::from_millis(500)).await;
    }

    assert!(start_next(&mut table).is_some());
}

/// Targets crash under several items at the same moment. Guards against a target that all of them hit in the same instant
/// when it is back, and against items of which each waits longer than the one before.
#[tokio::test(start_paused = true)]
async fn items_that_crashed_together_start_again_one_after_another_and_soon() {
    let ids: Vec<String> = (0..20).map(|index| format!("i{index}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut table = table(vec![job("j", 10, &ids)]);
    for _ in 0..3 {
        let started: Vec<usize> =
            std::iter::from_fn(|| start_next(&mut table).map(|started| started.1)).collect();
        for index in started {
            table.fail("j", index, ItemFailure::Crashed, ItemProgress::default(), Instant::now());
        }
        advance(Duration::from_millis(200)).await;
    }

    let mut starts = vec![];
    for _ in 0..12 {
        starts.push(std::iter::from_fn(|| start_next(&mut table)).count());
        advance(Duration::from_millis(100)).await;
    }

    assert_eq!(starts.iter().sum::<usize>(), 20, "{starts:?}");
    assert!(starts.iter().all(|count| *count <= 10), "{starts:?}");
}

#[tokio::test(start_paused = true)]
async fn expired_items_are_given_up_and_their_tokens_released() {
    let mut table = table(vec![job("j", 10, &["a", "b"])]);
    assert_eq!(table.get("j").map(|job| job.unfinished_tokens()), Some(20));

    advance(Duration::from_secs(61)).await;
    let given_up = table.give_up_expired(Instant::now());

    assert_eq!(given_up.len(), 2);
    assert_eq!(
        table.get("j").map(|job| (job.unfinished_tokens(), job.is_finished())),
        Some((0, true))
    );
}

/// A route is removed while jobs on it are open. Guards against items that are neither run nor listed until they
/// expire, and against ones that are given up although the route is back soon.
#[tokio::test(start_paused = true)]
async fn items_are_given_up_once_their_route_has_ended_for_good() {
    let mut table = table(vec![job("j", 10, &["a", "b"])]);
    let mut given_up = Vec::new();

    for has_route in [false, true, false] {
        given_up.push(table.give_up_without_route(|_| has_route, Instant::now()).len());
        advance(Duration::from_secs(4)).await;
    }
    given_up.push(table.give_up_without_route(|_| false, Instant::now()).len());
    advance(Duration::from_secs(1)).await;
    given_up.push(table.give_up_without_route(|_| false, Instant::now()).len());

    assert_eq!(given_up, [0, 0, 0, 0, 2]);
}

#[tokio::test(start_paused = true)]
async fn a_job_taken_over_skips_finished_items_and_resumes_others() {
    let mut table = JobTable::new(JobPolicy::default());
    let partial = vec![("b".into(), progress(4))];

    table.add(job("j", 10, &["a", "b"]), &["a".into()], partial);

    assert_eq!(start_next(&mut table), Some(("j".into(), 1, progress(4))));
    assert!(start_next(&mut table).is_none());
}

/// A host is killed while its items run, and other hosts resume from the progress in the store. A write
/// for each event would use up the store's capacity for results, so progress is listed only from a
/// minimum run time on, and once.
#[tokio::test(start_paused = true)]
async fn progress_is_listed_for_saving_once_it_reaches_the_minimum() {
    let min_run_time = Duration::from_millis(600);
    let mut table = table(vec![job("j", 20, &["a", "b"])]);
    start_next(&mut table);
    start_next(&mut table);
    let little = ItemProgress { run_time: Duration::from_millis(100), ..progress(5) };
    table.record_progress("j", 0, &progress(40));
    table.record_progress("j", 1, &little);

    let first = table.unsaved_progress(min_run_time);
    table.mark_saved("j", 0, &progress(40));
    let second = table.unsaved_progress(min_run_time);

    let listed: Vec<usize> = first[0].items.iter().map(|item| item.0).collect();
    assert_eq!(listed, [0]);
    assert!(second.is_empty(), "{second:?}");
}

/// The row with an item's progress is obsolete once the item is finished. If it weren't deleted, it would
/// occupy space in the store permanently.
#[tokio::test(start_paused = true)]
async fn a_finished_item_reports_whether_its_progress_was_saved() {
    let mut table = table(vec![job("j", 20, &["a", "b"])]);
    start_next(&mut table);
    start_next(&mut table);
    table.mark_saved("j", 0, &progress(40));

    let saved = table.complete("j", 0, progress(50), Instant::now()).unwrap();
    let unsaved = table.complete("j", 1, progress(50), Instant::now()).unwrap();

    assert!(saved.is_saved && !unsaved.is_saved);
}

/// Callers preempt items at each peak, so an item with one second of run time takes two seconds. An item
/// with slightly too little time for that would run first and still be late, and so would the one
/// behind it.
#[tokio::test(start_paused = true)]
async fn an_item_without_time_for_preemption_waits_behind_one_with_it() {
    let mut table = table(vec![job("measured", 60, &["a", "b", "c", "d", "e", "f", "g", "h"])]);
    for index in 0..8 {
        start_next(&mut table);
        advance(Duration::from_secs(10)).await;
        let finished = ItemProgress { run_time: Duration::from_secs(5), ..progress(9) };
        table.complete("measured", index, finished, Instant::now());
    }
    table.add(job("less", 6, &["x"]), &[], vec![]);
    table.add(job("more", 15, &["y"]), &[], vec![]);

    let demand = table.demand(|_| true, Instant::now());
    let first = start_next(&mut table).map(|started| started.0);

    assert_eq!(first.as_deref(), Some("more"));
    assert_eq!(demand.iter().map(|group| group.is_late).collect::<Vec<_>>(), [false, true]);
}

/// A host that holds hundreds of jobs reports their items in a few groups. A slot report with one group per
/// job would exceed the size that receivers accept, and the owner would count the host as silent.
#[tokio::test(start_paused = true)]
async fn demand_is_limited_to_max_demand_groups() {
    let jobs = (0..50).map(|index| job(&format!("j{index}"), 20 + index, &["a", "b"])).collect();
    let table = table(jobs);

    let demand = table.demand(|_| true, Instant::now());

    assert_eq!(demand.len(), MAX_DEMAND_GROUPS);
    assert_eq!(demand.iter().map(|group| group.items).sum::<u32>(), 100);
    assert_eq!(demand.last().map(|group| group.due_in_ms), Some(69_000));
}
