//! Tests of the rate limit of cold targets, which have just started.

use std::time::Duration;

use cuminramp_core::SeededRandom;
use tokio::time::{Instant, advance};

use super::{Owner, group, host, make_request, report, target, waiting};
use crate::heartbeat::name_hash;
use crate::homes::ZoneLimit;
use crate::placement::{
    ColdRule, ColdShare, ColdTolerance, FleetTarget, PlacementDecision, PlacementPolicy,
    PlacementRequest, PlacementTable,
};
use crate::slots::{GroupShare, SlotOutcome, SlotReport};

/// Requests per second that a cold target of the test's pool can sustain.
const SUSTAINED_PER_S: f64 = 20.0;
/// Maximum number of requests that a cold target may get in a second, with the operators' tolerance:
/// 20 x 1.5 + 5.
const MAX_PER_S: usize = 35;
const TOLERANCE: ColdTolerance = ColdTolerance { factor: 1.5, requests: 5.0 };
/// Time for which a target is cold after its start.
const COLD_DURATION: Duration = Duration::from_secs(3);
/// Number of hosts of the fleet, each of which may be cut off from all others.
const HOSTS: usize = 80;

fn cold_target(id: &str) -> FleetTarget {
    FleetTarget { cold_remaining: COLD_DURATION, ..target(id) }
}

fn owner(targets: &[FleetTarget]) -> Owner {
    let policy = PlacementPolicy { cold_tolerance: TOLERANCE, ..PlacementPolicy::default() };
    let mut owner = Owner::new(&[]);
    owner.placement = PlacementTable::new("z1".into(), policy);
    let rule = ColdRule { requests_per_s: SUSTAINED_PER_S, duration: COLD_DURATION };
    owner.placement.set_cold_rules([("p".into(), rule)].into_iter().collect());
    targets.iter().for_each(|target| owner.placement.put(target.clone()));
    owner
}

/// Requests `count` slots, each of which is freed at once. Returns how many were granted.
fn request_slots(owner: &mut Owner, share: &ColdShare, count: u64) -> usize {
    let mut granted = 0;
    for _ in 0..count {
        owner.requests += 1;
        let slot_request = make_request(owner.requests, true);
        let (placement, random) = (&mut owner.placement, &mut owner.random);
        let now = Instant::now();
        let owned = GroupShare { group: &group(), share, software: None };
        let response =
            owner.ledger.respond(placement, &host("a"), owned, &slot_request, random, now);
        if let SlotOutcome::Granted { grant, .. } = response.outcome {
            granted += 1;
            let without_load =
                SlotReport { acknowledged_grant: grant, ..report(owner.requests, vec![]) };
            owner.receive("a", without_load);
        }
    }
    granted
}

/// Guards against a target that crashes under a burst as soon as it starts. Two hosts may count as owner at
/// once, and hosts that reach no owner send on their own; all together stay below the limit.
#[tokio::test(start_paused = true)]
async fn two_owners_and_hosts_without_owner_stay_below_the_limit_of_a_cold_target() {
    let mut owners = [owner(&[cold_target("t1")]), owner(&[cold_target("t1")])];
    let cold_targets = owners[0].placement.cold_targets("p", None, Instant::now());
    let without_owner = ColdShare::WithoutOwner(vec![name_hash("t1")]);
    let mut hosts: Vec<Owner> = (0..HOSTS).map(|_| owner(&[cold_target("t1")])).collect();

    let mut by_quarter = Vec::new();
    for _ in 0..12 {
        let by_owners: usize =
            owners.iter_mut().map(|owner| request_slots(owner, &ColdShare::Owner, 100)).sum();
        let hosts_without_owner = cold_targets[0].1;
        let by_hosts: usize = hosts
            .iter_mut()
            .take(hosts_without_owner)
            .map(|host| request_slots(host, &without_owner, 100))
            .sum();
        by_quarter.push(by_owners + by_hosts);
        advance(Duration::from_millis(250)).await;
    }

    let in_a_second = by_quarter.windows(4).map(|second| second.iter().sum::<usize>());
    assert!(by_quarter[0] > 0);
    assert!(in_a_second.max() <= Some(MAX_PER_S), "{by_quarter:?}");
}

/// Guards against hosts that all send to a cold target because none of them reaches its owner.
#[tokio::test(start_paused = true)]
async fn a_host_without_owner_sends_nothing_to_a_cold_target_that_it_was_not_drawn_for() {
    let mut host = owner(&[cold_target("t1")]);

    let granted = request_slots(&mut host, &ColdShare::WithoutOwner(vec![]), 10);

    assert_eq!(granted, 0);
}

/// Guards against callers that queue at a cold target although a warm one has free slots.
#[tokio::test(start_paused = true)]
async fn requests_beyond_the_limit_of_a_cold_target_go_to_warm_ones() {
    let mut owner = owner(&[cold_target("t1"), target("t2")]);

    let granted = request_slots(&mut owner, &ColdShare::Owner, 200);

    assert_eq!(granted, 200);
    assert!(owner.placement.target_by_hash(name_hash("t2")).is_some());
}

/// Guards against a target that stays limited for good: after its cold time it gets as much as a warm one.
#[tokio::test(start_paused = true)]
async fn a_target_is_warm_after_its_cold_time() {
    let mut owner = owner(&[cold_target("t1")]);

    let cold = request_slots(&mut owner, &ColdShare::Owner, 100);
    advance(COLD_DURATION).await;
    let warm = request_slots(&mut owner, &ColdShare::Owner, 100);

    assert!(cold < MAX_PER_S);
    assert_eq!(warm, 100);
}

/// Guards against three successive owners that all hand out their share within one second.
#[tokio::test(start_paused = true)]
async fn a_new_owner_waits_until_the_grants_of_the_previous_one_no_longer_count() {
    let mut owner = owner(&[cold_target("t1")]);
    owner.ledger.record_ownership(group().hash(), Instant::now());

    let mut may_use_cold_targets = Vec::new();
    for _ in 0..5 {
        advance(Duration::from_millis(500)).await;
        owner.ledger.record_ownership(group().hash(), Instant::now());
        may_use_cold_targets
            .push(owner.ledger.may_use_cold_targets(group().hash(), Instant::now()));
    }

    assert_eq!(may_use_cold_targets, [false, false, false, false, true]);
}

/// Guards against items that use up the rate of a cold target while callers wait.
#[tokio::test(start_paused = true)]
async fn items_leave_callers_half_of_the_rate() {
    let mut owner = owner(&[cold_target("t1")]);
    owner.ledger.record_ownership(group().hash(), Instant::now());
    advance(Duration::from_millis(200)).await;

    let mut items = 0;
    for _ in 0..10 {
        let grants = owner.grant_items(waiting(500, 100));
        items += grants.iter().map(|grant| usize::from(grant.items)).sum::<usize>();
    }
    let callers = request_slots(&mut owner, &ColdShare::Owner, 100);

    assert!(items > 0);
    assert!(callers >= items, "{callers} callers beside {items} items");
}

/// Guards against a burst at a zone whose drain ends: its targets may be cold and not have reported it.
#[tokio::test(start_paused = true)]
async fn targets_of_a_zone_count_as_cold_after_its_drain() {
    let mut owner = owner(&[target("t1")]);

    owner.placement.set_drained(vec!["z1".into()], Instant::now());
    let during_drain = request_slots(&mut owner, &ColdShare::Owner, 10);
    owner.placement.set_drained(vec![], Instant::now());
    let after_drain = request_slots(&mut owner, &ColdShare::Owner, 100);

    assert_eq!(during_drain, 0);
    assert!((1..MAX_PER_S).contains(&after_drain), "{after_drain}");
}

/// Guards against work that is sent to a drained zone because no other target is left.
#[tokio::test(start_paused = true)]
async fn a_drained_zone_gets_no_work_even_if_no_other_target_is_left() {
    let mut owner = owner(&[target("t1")]);
    owner.placement.set_drained(vec!["z1".into()], Instant::now());
    owner.placement.record_failure("t1", Instant::now());
    owner.ledger.record_ownership(group().hash(), Instant::now());
    advance(Duration::from_millis(200)).await;

    let items = owner.grant_items(waiting(500, 8));
    let zones = ZoneLimit::none();
    let request = PlacementRequest {
        pool: "p",
        objective: Duration::from_millis(300),
        is_retry: true,
        tried: &[],
        zones: &zones,
        software: None,
    };
    let random = &mut SeededRandom::new(1);
    let decision = owner.placement.place(&request, &ColdShare::Owner, random, Instant::now());

    assert_eq!(items, []);
    assert_eq!(decision, PlacementDecision::NoTarget);
    assert!(owner.placement.groups("p").is_empty());
    assert!(owner.placement.granted_target(name_hash("t1")).is_none());
}
