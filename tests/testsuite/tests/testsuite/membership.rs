//! Hosts that join, leave and fail.

use http::Method;

use crate::support::Fleet;

/// Returns the caller addresses to which a host steers callers of zone 1, in order of preference.
fn steered_to(fleet: &Fleet, host: usize) -> Vec<String> {
    let answer = fleet.call(host, Method::GET, "/cuminramp/hosts?zone=zone-1", "").json();
    let hosts = answer["hosts"].as_array().unwrap().iter();
    hosts.map(|host| host["address"].as_str().unwrap().to_owned()).collect()
}

// Owners of the team's shards are listed before other hosts. Hosts that have just started together may
// still be moving shards: until each zone has an owner, the first host may be in another zone.
#[test]
fn callers_are_sent_to_a_host_of_their_zone_first() {
    let fleet = Fleet::start(6);
    let in_zone = [1, 4].map(|host: usize| fleet.hosts[host].addresses.caller.to_string());

    fleet.wait("every host lists a host of the zone first", |fleet| {
        (0..6).all(|host| in_zone.contains(&steered_to(fleet, host)[0]))
    });
    let first_hosts: Vec<String> = (0..6).map(|host| steered_to(&fleet, host)[0].clone()).collect();

    assert!(first_hosts.iter().all(|first| in_zone.contains(first)), "{first_hosts:?}");
}

// A host is killed. Callers that were still steered to it would wait until they give up.
#[test]
fn a_killed_host_is_no_longer_listed_and_its_shards_get_another_owner() {
    let mut fleet = Fleet::start(4);
    let killed = fleet.hosts[3].addresses;

    fleet.hosts[3].kill();

    fleet.wait("the killed host is no longer listed", |fleet| {
        (0..3).all(|host| !steered_to(fleet, host).contains(&killed.caller.to_string()))
    });
    fleet.wait("its shards have other owners", |fleet| {
        (0..3).all(|host| {
            let teams = fleet.operator(host, Method::GET, "/operator/teams", "").text();
            !teams.contains(&killed.peer.to_string()) && !teams.contains("null")
        })
    });
}

#[test]
fn a_leaving_host_hands_over_its_shards_first() {
    let mut fleet = Fleet::start(3);
    let leaving = fleet.hosts[2].addresses;

    fleet.hosts[2].leave();

    fleet.wait("its shards have other owners", |fleet| {
        (0..2).all(|host| {
            let teams = fleet.operator(host, Method::GET, "/operator/teams", "").text();
            !teams.contains(&leaving.peer.to_string())
        })
    });
    assert!(!steered_to(&fleet, 0).contains(&leaving.caller.to_string()));
}
