use cuminramp_core::{Name, RandomSource, SeededRandom};

use super::{SteeringArea, SteeringBounds};
use crate::fixtures::known_host;
use crate::heartbeat::KnownHost;

const BOUNDS: SteeringBounds = SteeringBounds { min_near_hosts: 2, max_hosts: 64 };
/// Number of hosts that a caller tries: a second one if the first doesn't answer.
const TRIES: usize = 2;
const CALLERS: usize = 2_000;

/// Returns the given number of hosts for each zone, with addresses of the form `zone-index`.
fn hosts(zones: &[(&str, usize)]) -> Vec<KnownHost> {
    let of_zone = |(zone, count): &(&str, usize)| {
        let zone = (*zone).to_owned();
        (0..*count).map(move |index| known_host(&format!("{zone}-{index:03}"), 1, &zone))
    };
    zones.iter().flat_map(of_zone).collect()
}

fn area(home_zones: &[&str]) -> SteeringArea {
    SteeringArea {
        zone: "a1".into(),
        region_zones: vec!["a1".into(), "a2".into(), "a3".into()],
        home_zones: home_zones.iter().map(|zone| Name::from(*zone)).collect(),
    }
}

fn choose(area: &SteeringArea, hosts: &[KnownHost], random: &mut SeededRandom) -> Vec<Name> {
    let live: Vec<&KnownHost> = hosts.iter().collect();
    area.choose(&live, BOUNDS, random)
}

/// Guards against callers that can't reach any host when a zone fails, because they know only hosts of
/// that zone.
#[test]
fn most_callers_reach_a_host_when_their_zone_fails() {
    let hosts = hosts(&[("a1", 27), ("a2", 27), ("a3", 27)]);
    let mut random = SeededRandom::new(1);

    let mut failed = 0;
    for _ in 0..CALLERS {
        let mut known = choose(&area(&[]), &hosts, &mut random);
        let has_failed = (0..TRIES).all(|_| {
            let host = known.swap_remove(random.below(known.len()));
            host.starts_with("a1-")
        });
        failed += usize::from(has_failed);
    }

    assert!(failed * 3 < CALLERS, "{failed} of {CALLERS}");
}

/// Guards against hosts that never receive callers because a response always lists the first hosts by
/// name.
#[test]
fn every_host_is_chosen_when_there_are_more_than_a_response_holds() {
    let hosts = hosts(&[("a1", 100), ("a2", 100)]);
    let mut random = SeededRandom::new(1);

    let mut chosen: Vec<Name> =
        (0..100).flat_map(|_| choose(&area(&[]), &hosts, &mut random)).collect();
    chosen.sort();
    chosen.dedup();

    assert_eq!(chosen.len(), hosts.len());
    assert_eq!(choose(&area(&[]), &hosts, &mut random).len(), BOUNDS.max_hosts);
}

/// Guards against request bodies that are sent to a region which is neither the caller's nor a home region.
#[test]
fn a_third_region_is_chosen_only_if_there_is_no_other() {
    let mut random = SeededRandom::new(1);
    let area = area(&["b1"]);
    let zones_of = |hosts: Vec<KnownHost>, random: &mut SeededRandom| {
        let chosen = choose(&area, &hosts, random);
        let mut zones: Vec<String> = chosen.iter().map(|host| host[..2].to_owned()).collect();
        zones.dedup();
        zones
    };

    let near = zones_of(hosts(&[("a1", 2), ("b1", 2), ("c1", 2)]), &mut random);
    let region = zones_of(hosts(&[("a2", 1), ("b1", 2), ("c1", 2)]), &mut random);
    let home = zones_of(hosts(&[("b1", 1), ("c1", 2)]), &mut random);
    let third = zones_of(hosts(&[("c1", 2)]), &mut random);

    assert_eq!((near, region), (vec!["a1".to_owned()], vec!["a2".to_owned()]));
    assert_eq!((home, third), (vec!["b1".to_owned()], vec!["c1".to_owned()]));
}
