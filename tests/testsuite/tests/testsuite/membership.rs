//! Hosts that come, go and fail.

use http::Method;

use crate::support::Fleet;

fn steered_to(fleet: &Fleet, host: usize) -> Vec<String> {
    let answer = fleet.call(host, Method::GET, "/cuminramp/hosts?zone=zone-1", "").json();
    let hosts = answer["hosts"].as_array().unwrap().iter();
    hosts.map(|host| host["address"].as_str().unwrap().to_owned()).collect()
}

// Owners of the team's rate come before other hosts, and hosts that start together may share its parts
// out for a moment yet: until each zone has an owner, the first one named may stand in another zone.
#[test]
fn callers_are_sent_to_a_host_of_their_zone_first() {
    let fleet = Fleet::start(6);
    let in_zone = [1, 4].map(|host: usize| fleet.hosts[host].addresses.caller.to_string());

    fleet.wait("each host names one of the zone first", |fleet| {
        (0..6).all(|asked| in_zone.contains(&steered_to(fleet, asked)[0]))
    });
    let named: Vec<String> = (0..6).map(|asked| steered_to(&fleet, asked)[0].clone()).collect();

    assert!(named.iter().all(|first| in_zone.contains(first)), "{named:?}");
}

// A host is killed. Callers who are sent to it would hang until they give up.
#[test]
fn a_dead_host_leaves_the_answers_and_its_shards_find_an_owner() {
    let mut fleet = Fleet::start(4);
    let lost = fleet.hosts[3].addresses;

    fleet.hosts[3].kill();

    fleet.wait("it is named no more", |fleet| {
        (0..3).all(|host| !steered_to(fleet, host).contains(&lost.caller.to_string()))
    });
    fleet.wait("its shards have other owners", |fleet| {
        (0..3).all(|host| {
            let teams = fleet.operator(host, Method::GET, "/operator/teams", "").text();
            !teams.contains(&lost.peer.to_string()) && !teams.contains("null")
        })
    });
}

#[test]
fn a_leaving_host_gives_its_shards_away_before_it_goes() {
    let mut fleet = Fleet::start(3);
    let gone = fleet.hosts[2].addresses;

    fleet.hosts[2].leave();

    fleet.wait("its shards have other owners", |fleet| {
        (0..2).all(|host| {
            let teams = fleet.operator(host, Method::GET, "/operator/teams", "").text();
            !teams.contains(&gone.peer.to_string())
        })
    });
    assert!(!steered_to(&fleet, 0).contains(&gone.caller.to_string()));
}
