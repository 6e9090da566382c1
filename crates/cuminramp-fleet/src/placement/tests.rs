use std::sync::OnceLock;
use std::time::Duration;

use cuminramp_core::{HostId, Name, SeededRandom};
use tokio::time::Instant;

use super::{
    ColdShare, FleetTarget, PlacementDecision, PlacementPolicy, PlacementRequest, PlacementTable,
    TargetPhase,
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
    PlacementRequest { pool: "p", objective: Duration::from_millis(300), is_retry, tried, zones }
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
