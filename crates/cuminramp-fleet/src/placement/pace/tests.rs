use std::collections::BTreeMap;
use std::time::Duration;

use cuminramp_core::{Name, RandomSource, SeededRandom};
use test_case::test_case;
use tokio::time::{Instant, advance};

use super::{PaceChange, PlacementTable};
use crate::heartbeat::name_hash;
use crate::placement::tests::{host, load, place, placement, request, target};
use crate::placement::{ColdShare, GroupPlacement, GroupRequest, PlacementPolicy, WorkKind};
use crate::slots::TargetPaceReport;

/// Time from the first event of a response until the owner has the pace of the target.
const REPORT_DELAY: Duration = Duration::from_millis(50);
const HOLD: Duration = Duration::from_millis(700);

fn two_targets(free: (u16, u16)) -> PlacementTable {
    let mut table = placement(&[("e1", "z1"), ("e2", "z1")]);
    let loads = vec![load("e1", 8 - free.0, 0), load("e2", 8 - free.1, 0)];
    table.receive_loads(&host("b"), loads);
    table
}

fn chosen(table: &PlacementTable) -> Option<Name> {
    place(table, &request(false, &[]))
}

/// Lets `e1` report a pace ten times a second, and returns the changes for logs.
async fn report_for(table: &mut PlacementTable, pace: u16, seconds: f64) -> Vec<PaceChange> {
    let mut changes = Vec::new();
    for _ in 0..(seconds * 10.0) as u32 {
        table.record_pace("e1", pace, Instant::now());
        table.record_success("e1", Instant::now());
        changes.extend(table.take_pace_changes(Instant::now()));
        advance(Duration::from_millis(100)).await;
    }
    changes
}

/// Guards against targets of two speeds that get the same number of requests, and against a fast target that
/// gets all of them.
#[test_case((5, 3), "e2"; "five slots at two and a half times are worth less than three")]
#[test_case((5, 1), "e1"; "five slots at two and a half times are worth more than one")]
#[tokio::test(start_paused = true)]
async fn free_slots_count_by_the_pace_of_their_target(free: (u16, u16), expected: &str) {
    let mut table = two_targets(free);

    table.record_pace("e1", 250, Instant::now());
    table.record_pace("e2", 100, Instant::now());

    assert_eq!(chosen(&table).as_deref(), Some(expected));
}

/// Guards against a target that attracts all requests by reporting an absurdly low pace, and against figures
/// out of bounds, for example from a host of another version, that take effect.
#[test_case(10, true; "lowest pace")]
#[test_case(9, false; "too low")]
#[test_case(10_001, false; "too high")]
#[tokio::test(start_paused = true)]
async fn a_hostile_pace_does_no_harm(pace: u16, is_paced: bool) {
    let mut table = two_targets((2, 5));

    let report = TargetPaceReport { target: name_hash("e1"), pace, age_ms: 0 };
    table.receive_paces(&[report, TargetPaceReport { target: 7, ..report }], Instant::now());

    assert_eq!(chosen(&table).as_deref(), Some("e2"));
    assert_eq!(table.is_paced("p", Instant::now()), is_paced);
}

/// Guards against decisions about targets without a pace that change because others in the pool report one.
#[tokio::test(start_paused = true)]
async fn a_target_without_pace_is_treated_as_before() {
    let mut table = two_targets((5, 5));
    let group = target("e1", "z1").group();
    let before = table.group_capacity(&group, Instant::now());
    (0..50).for_each(|_| table.record_target_hold("e2", HOLD * 6, Instant::now()));

    let after_holds = table.group_capacity(&group, Instant::now());
    table.record_pace("e1", 200, Instant::now());
    let paced = table.group_capacity(&group, Instant::now());

    assert_eq!(before, after_holds);
    assert!((paced.freed_per_s - before.freed_per_s * 0.75).abs() < 0.01, "{paced:?}");
}

/// A target shares its machine and is slow for 600 ms in 3.6 s. Guards against a target that is avoided for
/// long after such a spell, and against log lines about each of them.
#[tokio::test(start_paused = true)]
async fn a_spell_is_avoided_only_while_it_lasts() {
    let mut table = two_targets((8, 5));
    let (mut changes, mut choices) = (Vec::new(), Vec::new());

    for _ in 0..5 {
        changes.extend(report_for(&mut table, 100, 3.0).await);
        changes.extend(report_for(&mut table, 250, 0.6).await);
        let during = chosen(&table);
        advance(Duration::from_millis(600)).await;
        choices.push((during.unwrap(), chosen(&table).unwrap()));
    }

    assert_eq!(choices, vec![("e2".into(), "e1".into()); 5]);
    assert_eq!(changes, []);
}

/// A target runs six times slower, answers correctly and passes its health checks. Guards against one that
/// goes on getting its share, and against one that gets nothing any more after it has recovered.
#[tokio::test(start_paused = true)]
async fn a_slow_target_is_avoided_and_tried_again() {
    let mut table = two_targets((8, 5));

    let slow = report_for(&mut table, 600, 12.0).await;
    let (while_slow, slow_targets) = (chosen(&table), table.slow_targets());
    table.receive_loads(&host("b"), vec![load("e1", 0, 7), load("e2", 0, 8)]);
    table.begin("e1", WorkKind::Batch);
    let while_items_run = chosen(&table);
    table.end("e1", WorkKind::Batch);
    table.receive_loads(&host("b"), vec![load("e1", 0, 0), load("e2", 3, 0)]);
    advance(Duration::from_secs(15)).await;
    table.record_pace("e2", 100, Instant::now());
    let tried_again = chosen(&table);
    let usual = report_for(&mut table, 100, 15.0).await;

    assert_eq!((while_slow, while_items_run), (Some("e2".into()), Some("e2".into())));
    assert_eq!(tried_again.as_deref(), Some("e1"));
    assert_eq!((slow_targets, table.slow_targets()), (1, 0));
    let logged: Vec<bool> = slow.iter().chain(&usual).map(|change| change.is_slow).collect();
    assert_eq!(logged, [true, false]);
    assert_eq!(table.take_outlier_changes(Instant::now()), []);
}

/// Guards against a target that gets its full share although its work takes six times as long: it reports the
/// usual pace, or stopped to report.
#[test_case("e1"; "reports the usual pace")]
#[test_case("e2"; "stopped to report, unlike others")]
#[tokio::test(start_paused = true)]
async fn a_target_slower_than_it_reports_is_ranked_by_its_holds(reporting: &str) {
    let mut table = two_targets((8, 5));
    table.record_pace("e1", 100, Instant::now());

    for _ in 0..8 {
        advance(Duration::from_millis(200)).await;
        table.record_pace(reporting, 100, Instant::now());
        table.record_target_hold("e1", HOLD * 6, Instant::now());
        (0..8).for_each(|_| table.record_target_hold("e2", HOLD, Instant::now()));
    }

    assert_eq!(chosen(&table).as_deref(), Some("e2"));
}

/// Guards against a late report that replaces a younger one, and against a host that reports again what
/// another host told it.
#[tokio::test(start_paused = true)]
async fn the_youngest_report_counts_and_is_passed_on_once() {
    let mut table = two_targets((5, 3));
    let group = target("e1", "z1").group();
    table.record_pace("e1", 250, Instant::now());
    advance(Duration::from_millis(40)).await;
    let late = TargetPaceReport { target: name_hash("e1"), pace: 100, age_ms: 60 };

    table.receive_paces(&[late], Instant::now());
    let passed_on = table.take_reported_paces(&group, Instant::now());
    table.receive_paces(&[TargetPaceReport { age_ms: 10, ..late }], Instant::now());

    assert_eq!(passed_on, [TargetPaceReport { pace: 250, age_ms: 40, ..late }]);
    assert_eq!(chosen(&table).as_deref(), Some("e1"));
    assert_eq!(table.take_reported_paces(&group, Instant::now()), []);
}

/// Returns the pace of a target in a load test: 3 of 10 targets are six times slower, and each works 2.5
/// times slower for 600 ms in 3.6 s.
fn pace_at(index: usize, passed: Duration) -> u16 {
    let is_in_spell = (passed.as_millis() as usize + index * 997) % 3_600 < 600;
    let pace = if is_in_spell { 250 } else { 100 };
    if index % 10 < 3 { pace * 6 } else { pace }
}

/// Returns the share of requests in time that the owner of a group places, of those after the first 1.5 s.
async fn share_in_time(targets: usize, requests_per_s: usize, run: Duration) -> f64 {
    let mut table = PlacementTable::new("z1".into(), PlacementPolicy::default());
    (0..targets).for_each(|index| table.put(target(&format!("e{index}"), "z1")));
    let (group, share) = (target("e0", "z1").group(), ColdShare::Owner);
    let request = GroupRequest {
        group: &group,
        avoided: &[],
        may_queue: false,
        share: &share,
        software: None,
    };
    let mut random = SeededRandom::new(1);
    let (start, mut in_time, mut counted) = (Instant::now(), 0, 0);
    let mut events: BTreeMap<(Instant, usize), (Name, Option<u16>, Duration)> = BTreeMap::new();
    for sent in 0..(run.as_secs_f64() * requests_per_s as f64) as usize {
        let passed = Duration::from_secs_f64(sent as f64 / requests_per_s as f64);
        advance((start + passed).saturating_duration_since(Instant::now())).await;
        let now = Instant::now();
        while let Some(event) = events.first_entry().filter(|event| event.key().0 <= now) {
            let (id, pace, hold) = event.remove();
            if let Some(pace) = pace {
                table.record_pace(&id, pace, now - REPORT_DELAY);
                continue;
            }
            table.end(&id, WorkKind::Online);
            table.record_target_hold(&id, hold, now);
        }
        let is_counted = usize::from(passed > Duration::from_millis(1_500));
        counted += is_counted;
        let placed = table.place_in_group(&request, &mut random, now);
        let GroupPlacement::Slot(hash) = placed else { continue };
        let id = table.target_by_hash(hash).unwrap().id.clone();
        let pace = pace_at(id[1..].parse().unwrap(), passed);
        let first_event = Duration::from_millis(60 + random.below(60) as u64) * pace.into() / 100;
        let hold = Duration::from_millis(300 + random.below(800) as u64) * pace.into() / 100;
        in_time += is_counted * usize::from(first_event <= Duration::from_millis(300));
        table.begin(&id, WorkKind::Online);
        let report_at = now + first_event + REPORT_DELAY;
        events.insert((report_at, sent * 2), (id.clone(), Some(pace), hold));
        events.insert((now + hold, sent * 2 + 1), (id, None, hold));
    }
    in_time as f64 / counted as f64
}

/// Guards against callers that are late because 30 of 100 targets are six times slower, while the others have
/// room for all. The load is 4 requests per second and target. The ceiling is 6.4, the slots of the other
/// targets divided by their mean hold time.
#[test_case(48, 12; "4 hosts with 12 targets each")]
#[test_case(68, 12; "34 hosts with 2 targets each")]
#[test_case(89, 12; "89 hosts with 1 target each")]
#[test_case(360, 6; "360 hosts with 1 target each")]
#[tokio::test(start_paused = true)]
async fn callers_are_in_time_while_targets_are_slow(targets: usize, run_s: u64) {
    let share = share_in_time(targets, targets * 4, Duration::from_secs(run_s)).await;

    assert!(share >= 0.95, "{share:.3} of the requests are in time");
}
