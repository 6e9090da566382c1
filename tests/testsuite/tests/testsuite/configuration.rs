//! Changes of declarations and their generations.

use cuminramp_standin::PlatformFaults;
use http::{Method, StatusCode};
use serde_json::json;

use crate::support::{Fleet, TEAM};

fn generation(fleet: &Fleet, host: usize) -> u64 {
    fleet.operator(host, Method::GET, "/operator/declarations", "").json()["generation"]
        .as_u64()
        .unwrap()
}

#[test]
fn a_route_to_another_pool_is_in_force_on_every_host() {
    let fleet = Fleet::start(3);
    let mut declarations = fleet.declarations(1.0, 1.0);
    declarations["pools"].as_array_mut().unwrap().push(json!({
        "name": "other", "targets": [{"name": "other-0", "address": fleet.engines[2].address().to_string()}],
    }));
    declarations["routes"][0]["pool"] = json!("other");

    fleet.declare(&declarations);
    let accepted = generation(&fleet, 0);

    fleet.wait("the change is in force on all hosts", |fleet| {
        (0..3).all(|host| generation(fleet, host) == accepted)
    });
}

// Two operators read the same generation, and each applies a file. Without the check of the generation,
// the second would unknowingly undo the change of the first.
#[test]
fn of_two_operators_one_gets_a_conflict() {
    let fleet = Fleet::start(2);
    let current = generation(&fleet, 0);
    fleet.wait("both hosts have the same generation", |fleet| generation(fleet, 1) == current);
    let path = format!("/operator/declarations?expect={current}");

    let first = fleet.operator(0, Method::PUT, &path, &fleet.declarations(5.0, 5.0).to_string());
    let second = fleet.operator(1, Method::PUT, &path, &fleet.declarations(6.0, 6.0).to_string());

    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(second.status, StatusCode::CONFLICT);
    assert_eq!(second.code(), 1500);
    let details = &second.json()["details"];
    assert_eq!(details["generation"], current + 1);
    assert_eq!(details["difference"], json!([{"change": "set", "table": "team", "name": TEAM}]));
}

#[test]
fn invalid_declarations_are_refused_as_a_whole_with_each_reason() {
    let fleet = Fleet::start(1);
    let current = generation(&fleet, 0);
    let mut declarations = fleet.declarations(-1.0, 5.0);
    declarations["routes"][0]["pool"] = json!("nowhere");

    let answer =
        fleet.operator(0, Method::PUT, "/operator/declarations", &declarations.to_string());

    assert_eq!(answer.code(), 1501);
    assert_eq!(answer.json()["details"]["faults"].as_array().unwrap().len(), 2);
    assert_eq!(generation(&fleet, 0), current);
}

// A team is removed while one of its keys is granted: the key would have no team.
#[test]
fn a_team_with_a_key_is_not_removed() {
    let fleet = Fleet::start(1);
    let mut declarations = fleet.declarations(1.0, 1.0);
    declarations["teams"].as_array_mut().unwrap().retain(|team| team["name"] != TEAM);

    let answer =
        fleet.operator(0, Method::PUT, "/operator/declarations", &declarations.to_string());

    assert_eq!(answer.code(), 1501);
}

// The table commits a change, and its answer is lost. If the change were reported as failed, the operator
// would apply it again or assume that the old declarations are in force.
#[test]
fn a_change_whose_answer_was_lost_is_accepted_once() {
    let fleet = Fleet::start(2);
    let current = generation(&fleet, 0);
    fleet
        .set_platform(PlatformFaults { lost_answers_permille: 1_000, ..PlatformFaults::default() });

    fleet.declare(&fleet.declarations(5.0, 5.0));

    assert_eq!(generation(&fleet, 0), current + 1);
    fleet.wait("the change is in force on all hosts", |fleet| generation(fleet, 1) == current + 1);
}

// A host starts while the platform's stores are down. It must neither serve without declarations nor fall
// back to an older generation; it gets the current one from the other hosts.
#[test]
fn a_host_that_starts_during_an_outage_gets_declarations_from_other_hosts() {
    let mut fleet = Fleet::start(2);
    let current = generation(&fleet, 0);
    fleet.set_platform(PlatformFaults { down: true, ..PlatformFaults::default() });

    let host = fleet.add_host();

    fleet.wait("the new host has the generation", |fleet| generation(fleet, host) == current);
    fleet.wait("the new host serves", |fleet| fleet.chat(host, "hall", 4, true).streamed().1);
}
