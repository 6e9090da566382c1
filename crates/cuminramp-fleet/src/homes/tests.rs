use cuminramp_core::Name;
use test_case::test_case;

use super::RegionMap;

fn region_map() -> RegionMap {
    RegionMap::new([
        ("a1".into(), "a".into()),
        ("a2".into(), "a".into()),
        ("b1".into(), "b".into()),
        ("c1".into(), "c".into()),
    ])
}

fn names(words: &[&str]) -> Vec<Name> {
    words.iter().map(|word| Name::from(*word)).collect()
}

/// Guards against work that runs outside the regions that both the route and the team allow.
#[test_case(&[], &[], &["a1", "a2", "b1", "c1", "unset"]; "no homes")]
#[test_case(&["a"], &[], &["a1", "a2"]; "the route's")]
#[test_case(&[], &["b", "c"], &["b1", "c1"]; "the team's")]
#[test_case(&["a", "b"], &["b", "c"], &["b1"]; "both bind")]
#[test_case(&["a"], &["b"], &[]; "none in common")]
fn work_runs_only_where_route_and_team_allow_it(route: &[&str], team: &[&str], allowed: &[&str]) {
    let limit = region_map().limit(&names(route), &names(team));

    let zones = ["a1", "a2", "b1", "c1", "unset"];
    let found: Vec<&str> = zones.into_iter().filter(|zone| limit.allows(zone)).collect();
    assert_eq!(found, allowed);
}
