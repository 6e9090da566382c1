use std::sync::Arc;
use std::time::Duration;

use test_case::test_case;

use super::{
    CallerLimits, DeclarationStore, FleetDeclarations, PoolShare, RouteKind, RouteRule, TeamRule,
};

fn route(prefix: &str) -> RouteRule {
    RouteRule {
        name: prefix.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind: RouteKind::Stream,
        pools: vec![PoolShare { pool: "p".into(), weight: 1 }],
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        max_event_gap: None,
        max_attempts: 2,
        is_public: false,
        is_resumable: true,
        due_after: Duration::ZERO,
        item_ttl: Duration::ZERO,
        max_waiting_tokens: 0,
        home_regions: vec![],
        priority: 0,
    }
}

fn declared(version: u64) -> FleetDeclarations {
    let team = TeamRule {
        name: "parish".into(),
        keys: vec!["k1".into()],
        rate: 1.0,
        burst: 1.0,
        home_regions: vec![],
    };
    let routes = vec![route("/a/"), route("/a/b/")];
    FleetDeclarations::new(version, CallerLimits::default(), routes, vec![], vec![team])
}

#[test]
fn the_route_with_the_longest_prefix_is_found() {
    let declarations = declared(1);

    let found = declarations.find_route("a.example", "/a/b/c").map(|rule| rule.prefix.clone());

    assert_eq!(found.as_deref(), Some("/a/b/"));
    assert!(declarations.find_route("b.example", "/a/b/c").is_none());
    assert!(declarations.find_route("a.example", "/ab").is_none());
}

#[test]
fn a_key_finds_its_own_team() {
    let declarations = declared(1);

    assert_eq!(declarations.find_team("k1").map(|team| &*team.name), Some("parish"));
    assert!(declarations.find_team("k2").is_none());
}

/// A host that was cut off passes on an old version, or reads of the store return out of order. If the
/// earlier version were applied, a route that callers already use would disappear.
#[test]
fn an_earlier_version_never_replaces_a_later_one() {
    let mut store = DeclarationStore::default();

    let applied: Vec<bool> =
        [5, 3, 5, 9].into_iter().map(|version| store.update(Arc::new(declared(version)))).collect();

    assert_eq!(applied, [true, false, false, true]);
    assert_eq!(store.current().map(|held| held.version()), Some(9));
}

#[test]
fn requests_are_distributed_over_pools_by_weight() {
    let mut rule = route("/a/");
    rule.pools =
        vec![PoolShare { pool: "p".into(), weight: 9 }, PoolShare { pool: "q".into(), weight: 1 }];

    let to_q = (0..100).filter(|spread| rule.pick_pool(*spread).map(|pool| &**pool) == Some("q"));

    assert_eq!(to_q.count(), 10);
}

/// Guards against requests that wait in a queue for longer than their callers do, and against streams that end as
/// unread while their callers still wait.
#[test_case(RouteKind::Stream, Some(100), 300 => 2_000; "at least two seconds")]
#[test_case(RouteKind::Stream, Some(300), 300 => 2_400; "eight event gaps")]
#[test_case(RouteKind::Stream, Some(300), 1_000 => 4_000; "four objectives")]
#[test_case(RouteKind::Stream, None, 300 => 5_000; "stream without a maximum gap")]
#[test_case(RouteKind::Idempotent, Some(300), 300 => 5_000; "no stream")]
fn a_caller_gives_up_after(kind: RouteKind, gap_ms: Option<u64>, objective_ms: u64) -> u128 {
    let max_event_gap = gap_ms.map(Duration::from_millis);
    let objective = Duration::from_millis(objective_ms);

    let route = RouteRule { kind, max_event_gap, objective, ..route("/a/") };

    route.give_up_after().as_millis()
}
