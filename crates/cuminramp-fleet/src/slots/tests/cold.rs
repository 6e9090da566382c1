//! The rate of targets that have just started.

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

/// Requests a second that a cold target of the test's pool bears.
const BORNE_PER_S: f64 = 20.0;
/// What it may get in a second at the most, with what operators tolerate beyond: 20 x 1.5 + 5.
const MOST_PER_S: usize = 35;
const TOLERANCE: ColdTolerance = ColdTolerance { factor: 1.5, requests: 5.0 };
const COLD_FOR: Duration = Duration::from_secs(3);
/// Hosts of the fleet that might all be cut off from each other.
const HOSTS: usize = 80;

fn cold_target(id: &str) -> FleetTarget {
    FleetTarget { cold_for: COLD_FOR, ..target(id) }
}

fn owner(targets: &[FleetTarget]) -> Owner {
    let policy = PlacementPolicy { cold_tolerance: TOLERANCE, ..PlacementPolicy::default() };
    let mut owner = Owner::new(&[]);
    owner.placement = PlacementTable::new("z1".into(), policy);
    let rule = ColdRule { requests_per_s: BORNE_PER_S, lasts: COLD_FOR };
    owner.placement.set_cold_rules([("p".into(), rule)].into_iter().collect());
    targets.iter().for_each(|target| owner.placement.put(target.clone()));
    owner
}

/// Asks for so many slots, each of which is given back at once; says how many were granted.
fn ask_many(owner: &mut Owner, share: &ColdShare, asks: u64) -> usize {
    let mut granted = 0;
    for _ in 0..asks {
        owner.asks += 1;
        let slot_request = make_request(owner.asks, true);
        let (placement, random) = (&mut owner.placement, &mut owner.random);
        let now = Instant::now();
        let owned = GroupShare { group: &group(), share };
        let answer = owner.ledger.answer(placement, &host("a"), owned, &slot_request, random, now);
        if let SlotOutcome::Granted { grant, .. } = answer.outcome {
            granted += 1;
            let given_back = SlotReport { acknowledged_grant: grant, ..report(owner.asks, vec![]) };
            owner.hear("a", given_back);
        }
    }
    granted
}

/// Guards against a target that breaks under a rush as soon as it starts.
#[tokio::test(start_paused = true)]
async fn two_owners_and_hosts_alone_stay_below_what_a_cold_target_bears() {
    let mut owners = [owner(&[cold_target("t1")]), owner(&[cold_target("t1")])];
    let lone = owners[0].placement.cold_targets("p", None, Instant::now());
    let alone = ColdShare::Alone(vec![name_hash("t1")]);
    let mut hosts: Vec<Owner> = (0..HOSTS).map(|_| owner(&[cold_target("t1")])).collect();

    let mut by_quarter = Vec::new();
    for _ in 0..12 {
        let by_owners: usize =
            owners.iter_mut().map(|owner| ask_many(owner, &ColdShare::Owner, 100)).sum();
        let lone_hosts = lone[0].1;
        let by_hosts: usize =
            hosts.iter_mut().take(lone_hosts).map(|host| ask_many(host, &alone, 100)).sum();
        by_quarter.push(by_owners + by_hosts);
        advance(Duration::from_millis(250)).await;
    }

    let in_a_second = by_quarter.windows(4).map(|second| second.iter().sum::<usize>());
    assert!(by_quarter[0] > 0);
    assert!(in_a_second.max() <= Some(MOST_PER_S), "{by_quarter:?}");
}

/// Guards against hosts that all send to a cold target because each of them reaches no owner.
#[tokio::test(start_paused = true)]
async fn a_host_alone_sends_nothing_to_a_cold_target_that_is_not_its_own() {
    let mut host = owner(&[cold_target("t1")]);

    let granted = ask_many(&mut host, &ColdShare::Alone(vec![]), 10);

    assert_eq!(granted, 0);
}

/// Guards against callers who queue at a cold target although a warm one has room.
#[tokio::test(start_paused = true)]
async fn a_cold_target_that_got_its_share_leaves_requests_to_warm_ones() {
    let mut owner = owner(&[cold_target("t1"), target("t2")]);

    let granted = ask_many(&mut owner, &ColdShare::Owner, 200);

    assert_eq!(granted, 200);
    assert!(owner.placement.by_hash(name_hash("t2")).is_some());
}

/// Guards against a target that is never used again: after its time it takes what a warm one takes.
#[tokio::test(start_paused = true)]
async fn a_target_is_warm_after_its_time() {
    let mut owner = owner(&[cold_target("t1")]);

    let cold = ask_many(&mut owner, &ColdShare::Owner, 100);
    advance(COLD_FOR).await;
    let warm = ask_many(&mut owner, &ColdShare::Owner, 100);

    assert!(cold < MOST_PER_S);
    assert_eq!(warm, 100);
}

/// Guards against three owners in turn that all hand out their share within one second.
#[tokio::test(start_paused = true)]
async fn a_new_owner_waits_until_what_the_one_before_handed_out_is_over() {
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
    let callers = ask_many(&mut owner, &ColdShare::Owner, 100);

    assert!(items > 0);
    assert!(callers >= items, "{callers} callers beside {items} items");
}

/// Guards against a rush on a zone that is taken back: its targets may be cold and not have said so.
#[tokio::test(start_paused = true)]
async fn targets_of_a_zone_that_is_taken_back_count_as_cold() {
    let mut owner = owner(&[target("t1")]);

    owner.placement.set_drained(vec!["z1".into()], Instant::now());
    let drained = ask_many(&mut owner, &ColdShare::Owner, 10);
    owner.placement.set_drained(vec![], Instant::now());
    let taken_back = ask_many(&mut owner, &ColdShare::Owner, 100);

    assert_eq!(drained, 0);
    assert!((1..MOST_PER_S).contains(&taken_back), "{taken_back}");
}

/// Guards against work that reaches a drained zone because nothing else is left.
#[tokio::test(start_paused = true)]
async fn a_drained_zone_gets_nothing_even_where_all_else_fails() {
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
    };
    let random = &mut SeededRandom::new(1);
    let alone = owner.placement.place(&request, &ColdShare::Owner, random, Instant::now());

    assert_eq!(items, []);
    assert_eq!(alone, PlacementDecision::Nowhere);
    assert!(owner.placement.groups("p").is_empty());
    assert!(owner.placement.granted(name_hash("t1")).is_none());
}
