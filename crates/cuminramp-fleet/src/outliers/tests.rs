use std::time::Duration;

use cuminramp_core::{HostId, Name, RandomSource, SeededRandom};
use tokio::time::{Instant, advance};

use super::{MIN_FAILURES, OutlierDetector, TargetOutcomes};
use crate::homes::ZoneLimit;
use crate::placement::{
    ColdShare, FleetTarget, PlacementDecision, PlacementPolicy, PlacementRequest, PlacementTable,
    TargetPhase, WorkKind,
};

const TARGET: u32 = 7;

fn host(name: &str) -> HostId {
    HostId { address: name.into(), incarnation: 1 }
}

fn outcomes_of(failures: u16, successes: u16) -> Vec<TargetOutcomes> {
    vec![TargetOutcomes { target: TARGET, failures: failures * 16, successes: successes * 16 }]
}

fn is_ejected(mut detector: OutlierDetector) -> bool {
    detector.evaluate(Instant::now());
    detector.is_outlier(TARGET)
}

/// Guards against ejecting targets that lose one answer in twenty on the way: half of the targets would
/// stand idle while callers wait.
#[tokio::test(start_paused = true)]
async fn a_target_that_loses_few_answers_stays_in_use() {
    let mut detector = OutlierDetector::new();
    for request in 0..60 {
        detector.record(TARGET, request % 20 == 0, Instant::now());
    }

    assert!(!is_ejected(detector));
}

/// Guards against one host ejecting a target for the whole fleet: the network between the two is broken,
/// and every other host can use the target.
#[tokio::test(start_paused = true)]
async fn one_host_alone_does_not_eject_a_target_for_others() {
    let mut detector = OutlierDetector::new();
    detector.receive(&host("a"), outcomes_of(8, 0), Instant::now());

    assert!(!is_ejected(detector));
}

#[tokio::test(start_paused = true)]
async fn failures_on_two_hosts_eject_a_target_until_they_decay() {
    let mut detector = OutlierDetector::new();
    detector.receive(&host("a"), outcomes_of(1, 0), Instant::now());
    detector.receive(&host("b"), outcomes_of(1, 0), Instant::now());

    detector.evaluate(Instant::now());
    let at_once = detector.is_outlier(TARGET);
    advance(Duration::from_secs(4)).await;
    detector.evaluate(Instant::now());

    assert!(at_once);
    assert!(!detector.is_outlier(TARGET));
}

/// Guards against a recovered target that stays ejected because it failed many requests before: it must
/// be reinstated within seconds.
#[tokio::test(start_paused = true)]
async fn a_target_that_failed_hundreds_is_reinstated_within_seconds() {
    let mut detector = OutlierDetector::new();
    for _ in 0..300 {
        detector.record(TARGET, true, Instant::now());
    }

    advance(Duration::from_secs(6)).await;
    let failures = detector.advertised(Instant::now())[0].failures;

    assert!(f64::from(failures) / 16.0 < MIN_FAILURES);
}

const HOSTS: usize = 24;
const TARGETS: usize = 30;
/// Number of targets that break every connection although they are registered as serving.
const BROKEN: usize = 3;
/// Interval between two requests to the whole fleet.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(3);
/// Time for which a request occupies its slot.
const HOLD_TIME: Duration = Duration::from_millis(300);
/// Interval at which hosts report to each other.
const UPDATE_INTERVAL: Duration = Duration::from_millis(30);
const LOAD_DURATION: Duration = Duration::from_secs(6);

fn target(index: usize) -> FleetTarget {
    FleetTarget {
        id: format!("t{index}").into(),
        pool: "p".into(),
        address: "127.0.0.1:1".into(),
        zone: "z".into(),
        slots: 8,
        phase: TargetPhase::Serving,
        started_at_ms: 1,
        version: "v1".into(),
        cold_remaining: Duration::ZERO,
    }
}

fn is_broken(id: &str) -> bool {
    (0..BROKEN).any(|index| id == format!("t{index}"))
}

fn make_placements() -> Vec<PlacementTable> {
    let make = |_| {
        let mut placement = PlacementTable::new("z".into(), PlacementPolicy::default());
        (0..TARGETS).for_each(|index| placement.put(target(index)));
        placement
    };
    (0..HOSTS).map(make).collect()
}

fn exchange_updates(placements: &mut [PlacementTable]) {
    let (now, group) = (Instant::now(), target(0).group());
    let updates: Vec<_> = placements
        .iter()
        .map(|placement| (placement.own_loads(&group), placement.own_outcomes(&group, now)))
        .collect();
    for (to, placement) in placements.iter_mut().enumerate() {
        for (from, (loads, outcomes)) in updates.iter().enumerate().filter(|(from, _)| *from != to)
        {
            let id = host(&format!("h{from}"));
            placement.receive_loads(&id, loads.clone());
            placement.receive_outcomes(&id, outcomes.clone(), now);
        }
    }
}

fn send(placement: &mut PlacementTable, random: &mut SeededRandom) -> Option<Name> {
    let objective = Duration::from_millis(300);
    let zones = &ZoneLimit::none();
    let request = PlacementRequest {
        pool: "p",
        objective,
        is_retry: false,
        tried: &[],
        zones,
        software: None,
    };
    match placement.place(&request, &ColdShare::Owner, random, Instant::now()) {
        PlacementDecision::Send(target) => Some(target.id),
        _ => None,
    }
}

/// Guards against each host finding a failing target by itself. A tenth of the targets break every
/// connection while they are registered as serving, and requests may run only once, so each one sent
/// there is lost to its caller. The failures of one host must spare the others: at most three in a
/// hundred sends may fail.
#[tokio::test(start_paused = true)]
async fn a_fleet_with_failing_targets_loses_few_requests() {
    let mut placements = make_placements();
    let mut random = SeededRandom::new(11);
    let mut held: Vec<(Instant, usize, Name)> = Vec::new();
    let (mut sends, mut failures) = (0_u32, 0_u32);
    let (started_at, mut next_updates) = (Instant::now(), Instant::now());

    while started_at.elapsed() < LOAD_DURATION {
        advance(ARRIVAL_INTERVAL).await;
        let now = Instant::now();
        held.retain(|(until, host, id)| {
            let is_held = *until > now;
            if !is_held {
                placements[*host].end(id, WorkKind::Online);
                placements[*host].record_success(id, now);
            }
            is_held
        });
        if now >= next_updates {
            exchange_updates(&mut placements);
            next_updates = now + UPDATE_INTERVAL;
        }
        let host = random.below(HOSTS);
        let Some(id) = send(&mut placements[host], &mut random) else { continue };
        sends += 1;
        if is_broken(&id) {
            failures += 1;
            placements[host].record_failure(&id, now);
        } else {
            placements[host].begin(&id, WorkKind::Online);
            held.push((now + HOLD_TIME, host, id));
        }
    }

    assert!(sends > 1_900, "{sends}");
    assert!(failures * 100 <= sends * 3, "{failures} of {sends} sends failed");
}
