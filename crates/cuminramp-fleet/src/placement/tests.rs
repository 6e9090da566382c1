use std::sync::OnceLock;
use std::time::Duration;

use cuminramp_core::{HostId, Name, RandomSource, SeededRandom};
use tokio::time::Instant;

use super::{
    ColdShare, FleetTarget, GroupPlacement, GroupRequest, PlacementDecision, PlacementPolicy,
    PlacementRequest, PlacementTable, TargetPhase,
};
use crate::heartbeat::{TargetLoad, name_hash};
use crate::homes::ZoneLimit;

static ANYWHERE: OnceLock<ZoneLimit> = OnceLock::new();

pub(super) fn host(address: &str) -> HostId {
    HostId { address: address.into(), incarnation: 1 }
}

pub(super) fn target(id: &str, zone: &str) -> FleetTarget {
    FleetTarget {
        id: id.into(),
        pool: "p".into(),
        address: "127.0.0.1:1".into(),
        zone: zone.into(),
        slots: 8,
        phase: TargetPhase::Serving,
        started_at_ms: 1,
        version: "v1".into(),
        cold_remaining: Duration::ZERO,
    }
}

pub(super) fn placement(targets: &[(&str, &str)]) -> PlacementTable {
    let mut placement = PlacementTable::new("z1".into(), PlacementPolicy::default());
    for (id, zone) in targets {
        placement.put(target(id, zone));
    }
    placement
}

pub(super) fn load(id: &str, online: u16, batch: u16) -> TargetLoad {
    TargetLoad { target: name_hash(id), online, batch }
}

pub(super) fn request<'a>(is_retry: bool, tried: &'a [Name]) -> PlacementRequest<'a> {
    let zones = ANYWHERE.get_or_init(ZoneLimit::none);
    PlacementRequest {
        pool: "p",
        objective: Duration::from_millis(300),
        is_retry,
        tried,
        zones,
        software: None,
    }
}

fn try_place(placement: &PlacementTable) -> PlacementDecision {
    let request = request(false, &[]);
    placement.place(&request, &ColdShare::Owner, &mut SeededRandom::new(1), Instant::now())
}

pub(super) fn place(placement: &PlacementTable, request: &PlacementRequest<'_>) -> Option<Name> {
    match placement.place(request, &ColdShare::Owner, &mut SeededRandom::new(1), Instant::now()) {
        PlacementDecision::Send(target) => Some(target.id),
        _ => None,
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_goes_where_most_slots_are_free() {
    let mut placement = placement(&[("e1", "z1"), ("e2", "z1")]);
    placement.receive_loads(&host("b"), vec![load("e1", 5, 0), load("e2", 1, 0)]);

    assert_eq!(place(&placement, &request(false, &[])).as_deref(), Some("e2"));
}

#[tokio::test(start_paused = true)]
async fn one_more_free_slot_does_not_outweigh_the_zone_bonus() {
    let mut placement = placement(&[("e1", "z1"), ("e2", "z2")]);
    placement.receive_loads(&host("b"), vec![load("e1", 3, 0), load("e2", 2, 0)]);
    assert_eq!(place(&placement, &request(false, &[])).as_deref(), Some("e1"));

    placement.receive_loads(&host("b"), vec![load("e1", 7, 0), load("e2", 2, 0)]);
    assert_eq!(place(&placement, &request(false, &[])).as_deref(), Some("e2"));
}

/// Guards against requests that wait in a queue only to be answered too late. More callers arrive than
/// all slots can serve in time: one that would wait too long is refused at once with the time after which
/// to retry, and its retry is served.
#[tokio::test(start_paused = true)]
async fn a_request_that_would_be_late_is_refused_at_once_but_only_once() {
    let mut placement = placement(&[("e1", "z1")]);
    placement.receive_loads(&host("b"), vec![load("e1", 9, 0)]);
    let in_time = place(&placement, &request(false, &[]));
    placement.receive_loads(&host("b"), vec![load("e1", 12, 0)]);

    let refused = try_place(&placement);
    let retried = place(&placement, &request(true, &[]));

    assert_eq!(in_time.as_deref(), Some("e1"));
    assert!(
        matches!(refused, PlacementDecision::Full(after) if after >= Duration::from_millis(250))
    );
    assert_eq!(retried.as_deref(), Some("e1"));
}

/// Guards against requests that all need a second attempt, since they are sent to a target that resets
/// each connection.
#[tokio::test(start_paused = true)]
async fn a_failed_target_receives_no_work_during_its_backoff() {
    let mut placement = placement(&[("e1", "z1"), ("e2", "z1"), ("e3", "z1")]);
    placement.receive_loads(&host("b"), vec![load("e2", 2, 0), load("e3", 2, 0)]);

    placement.record_failure("e1", Instant::now());
    let during = place(&placement, &request(false, &[]));
    tokio::time::advance(Duration::from_millis(600)).await;
    let after = place(&placement, &request(false, &[]));

    assert_ne!(during.as_deref(), Some("e1"));
    assert_eq!(after.as_deref(), Some("e1"));
}

#[tokio::test(start_paused = true)]
async fn a_draining_target_receives_no_new_work() {
    let mut placement = placement(&[("e1", "z1")]);

    placement.put(FleetTarget { phase: TargetPhase::Draining, ..target("e1", "z1") });

    let decision = try_place(&placement);
    assert_eq!(decision, PlacementDecision::NoTarget);
}

#[tokio::test(start_paused = true)]
async fn the_load_of_a_host_that_is_gone_is_dropped() {
    let mut placement = placement(&[("e1", "z1")]);
    placement.receive_loads(&host("b"), vec![load("e1", 8, 0)]);

    placement.forget_host(&host("b"));

    assert_eq!(placement.occupancy("p"), (0, 8));
}

/// Guards against a zone that counts as unreachable after one failed connection, or for good.
#[tokio::test(start_paused = true)]
async fn a_zone_is_unreachable_after_consecutive_failures_and_retried_later() {
    let mut placement = placement(&[("e1", "z1"), ("e2", "z2")]);
    let mut after_each_failure = Vec::new();
    for _ in 0..3 {
        placement.record_unreachable("e2", Instant::now());
        after_each_failure.push(placement.is_unreachable("z2", Instant::now()));
    }
    let other_zone = placement.is_unreachable("z1", Instant::now());

    tokio::time::advance(Duration::from_millis(1_100)).await;
    let later = placement.is_unreachable("z2", Instant::now());
    placement.record_reachable("e2");
    placement.record_unreachable("e2", Instant::now());
    let after_success = placement.is_unreachable("z2", Instant::now());

    assert_eq!(after_each_failure, [false, false, true]);
    assert_eq!((other_zone, later, after_success), (false, false, false));
}

/// Random source that counts how often it is asked, which is once for each target that is compared.
struct CountingRandom {
    random: SeededRandom,
    draws: usize,
}

impl RandomSource for CountingRandom {
    fn below(&mut self, bound: usize) -> usize {
        self.draws += 1;
        self.random.below(bound)
    }

    fn unit_interval(&mut self) -> f64 {
        self.random.unit_interval()
    }
}

/// Places a request in a group of `targets` targets, and returns how often a random number was drawn.
fn count_draws(targets: usize) -> usize {
    let mut placement = placement(&[]);
    for index in 0..targets {
        placement.put(target(&format!("t{index:05}"), "z1"));
    }
    let group = target("t", "z1").group();
    let request = GroupRequest {
        group: &group,
        avoided: &[],
        may_queue: false,
        share: &ColdShare::Owner,
        software: None,
    };
    let mut random = CountingRandom { random: SeededRandom::new(1), draws: 0 };

    let placed = placement.place_in_group(&request, &mut random, Instant::now());

    assert!(matches!(placed, GroupPlacement::Slot(_)));
    random.draws
}

/// The owner of a group compared all its targets for each request. With 2,000 targets a small host was busy with
/// that alone, its responses came after more than 25 ms, and the other hosts took it for gone.
#[test]
fn the_targets_compared_for_a_request_do_not_grow_with_the_group() {
    assert_eq!(count_draws(1_000), count_draws(4_000));
    assert_eq!(count_draws(100), 100);
}

/// A group in which only few of many targets have a free slot: those that are compared at first may have none.
#[test]
fn the_last_free_slot_of_a_large_group_is_found() {
    let mut placement = placement(&[]);
    for index in 0..1_000 {
        let id = format!("t{index:05}");
        placement.put(target(&id, "z1"));
        let busy = if index == 700 { 7 } else { 8 };
        (0..busy).for_each(|_| placement.begin(&id, super::WorkKind::Online));
    }
    let group = target("t", "z1").group();
    let request = GroupRequest {
        group: &group,
        avoided: &[],
        may_queue: false,
        share: &ColdShare::Owner,
        software: None,
    };

    let placed = placement.place_in_group(&request, &mut SeededRandom::new(1), Instant::now());

    assert_eq!(placed, GroupPlacement::Slot(name_hash("t00700")));
}
