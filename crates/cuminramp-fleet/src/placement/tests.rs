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

fn host(address: &str) -> HostId {
    HostId { address: address.into(), incarnation: 1 }
}

fn target(id: &str, zone: &str) -> FleetTarget {
    FleetTarget {
        id: id.into(),
        pool: "p".into(),
        address: "127.0.0.1:1".into(),
        zone: zone.into(),
        slots: 8,
        phase: TargetPhase::Serving,
        started_at_ms: 1,
        cold_for: Duration::ZERO,
    }
}

fn placement(targets: &[(&str, &str)]) -> PlacementTable {
    let mut placement = PlacementTable::new("z1".into(), PlacementPolicy::default());
    for (id, zone) in targets {
        placement.put(target(id, zone));
    }
    placement
}

fn load(id: &str, online: u16, batch: u16) -> TargetLoad {
    TargetLoad { target: name_hash(id), online, batch }
}

fn request<'a>(is_retry: bool, tried: &'a [Name]) -> PlacementRequest<'a> {
    let zones = ANYWHERE.get_or_init(ZoneLimit::none);
    PlacementRequest { pool: "p", objective: Duration::from_millis(300), is_retry, tried, zones }
}

fn try_place(placement: &PlacementTable) -> PlacementDecision {
    let request = request(false, &[]);
    placement.place(&request, &ColdShare::Owner, &mut SeededRandom::new(1), Instant::now())
}

fn place(placement: &PlacementTable, request: &PlacementRequest<'_>) -> Option<Name> {
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
async fn a_little_more_room_is_not_worth_another_zone() {
    let mut placement = placement(&[("e1", "z1"), ("e2", "z2")]);
    placement.receive_loads(&host("b"), vec![load("e1", 3, 0), load("e2", 2, 0)]);
    assert_eq!(place(&placement, &request(false, &[])).as_deref(), Some("e1"));

    placement.receive_loads(&host("b"), vec![load("e1", 7, 0), load("e2", 2, 0)]);
    assert_eq!(place(&placement, &request(false, &[])).as_deref(), Some("e2"));
}

/// More callers come than all slots can serve in time. One that would wait too long learns so at
/// once and when to come back; one that has come back is served.
#[tokio::test(start_paused = true)]
async fn a_request_that_would_be_late_is_turned_away_at_once_but_only_once() {
    let mut placement = placement(&[("e1", "z1")]);
    placement.receive_loads(&host("b"), vec![load("e1", 9, 0)]);
    let in_time = place(&placement, &request(false, &[]));
    placement.receive_loads(&host("b"), vec![load("e1", 12, 0)]);

    let refused = try_place(&placement);
    let again = place(&placement, &request(true, &[]));

    assert_eq!(in_time.as_deref(), Some("e1"));
    assert!(
        matches!(refused, PlacementDecision::Full(after) if after >= Duration::from_millis(250))
    );
    assert_eq!(again.as_deref(), Some("e1"));
}

/// A target resets each connection. Requests that went on to it would all need a second attempt.
#[tokio::test(start_paused = true)]
async fn a_target_that_failed_gets_nothing_for_a_while() {
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
async fn a_draining_target_gets_nothing_new() {
    let mut placement = placement(&[("e1", "z1")]);

    placement.put(FleetTarget { phase: TargetPhase::Draining, ..target("e1", "z1") });

    let decision = try_place(&placement);
    assert_eq!(decision, PlacementDecision::Nowhere);
}

#[tokio::test(start_paused = true)]
async fn the_load_of_a_host_that_is_gone_no_longer_counts() {
    let mut placement = placement(&[("e1", "z1")]);
    placement.receive_loads(&host("b"), vec![load("e1", 8, 0)]);

    placement.forget_host(&host("b"));

    assert_eq!(placement.occupancy("p"), (0, 8));
}

/// Guards against a zone that is given up for one connection that failed, or for good.
#[tokio::test(start_paused = true)]
async fn a_zone_is_out_of_reach_after_failures_in_a_row_and_tried_again_later() {
    let mut placement = placement(&[("e1", "z1"), ("e2", "z2")]);
    let mut seen = Vec::new();
    for _ in 0..3 {
        placement.record_unreachable("e2", Instant::now());
        seen.push(placement.is_unreachable("z2", Instant::now()));
    }
    let other = placement.is_unreachable("z1", Instant::now());

    tokio::time::advance(Duration::from_millis(1_100)).await;
    let later = placement.is_unreachable("z2", Instant::now());
    placement.record_reachable("e2");
    placement.record_unreachable("e2", Instant::now());
    let after_success = placement.is_unreachable("z2", Instant::now());

    assert_eq!(seen, [false, false, true]);
    assert_eq!((other, later, after_success), (false, false, false));
}
