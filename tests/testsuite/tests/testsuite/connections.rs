//! Connections that fall silent (no more bytes arrive), and links that are cut.

use std::time::Duration;

use cuminramp_standin::{LinkMode, expected_answer};
use http::StatusCode;
use serde_json::json;

use crate::support::Fleet;

// A middlebox between a host and an engine loses the state of open connections: these stay silent for good,
// while new ones work. Requests would time out one after another, one for each pooled connection.
#[test]
fn silent_pooled_connections_to_an_engine_fail_no_request() {
    let fleet = Fleet::start(1);
    let link = fleet.open_link();
    link.set_server(fleet.engines[0].address());
    let mut declarations = fleet.declarations(10_000.0, 10_000.0);
    let target = json!({"name": "behind", "address": link.address().to_string()});
    declarations["pools"][0]["targets"] = json!([target]);
    fleet.declare(&declarations);
    for number in 0..4 {
        assert_eq!(fleet.chat(0, &format!("before {number}"), 2, true).status, StatusCode::OK);
    }

    link.freeze_open_connections();

    for number in 0..4 {
        let prompt = format!("after {number}");
        let answer = fleet.chat(0, &prompt, 4, true);
        assert_eq!(answer.streamed(), (expected_answer(&prompt, 4), true));
    }
}

// A middlebox between two hosts loses the state of open connections. Each host would consider the other
// dead although both serve.
#[test]
fn silent_connections_between_hosts_are_replaced() {
    let mut fleet = Fleet::start(2);
    let link = fleet.open_link();
    let host = fleet.add_host_behind(&link);
    fleet.wait("all list three alive", |fleet| (0..3).all(|host| fleet.live_hosts(host) == 3));

    link.freeze_open_connections();
    std::thread::sleep(Duration::from_millis(500));

    fleet.wait("every host lists three alive again", |fleet| {
        (0..3).all(|host| fleet.live_hosts(host) == 3)
    });
    assert!(fleet.chat(host, "hall", 4, true).streamed().1);
}

// A host reaches the others, but they don't reach it: no bytes arrive on connections to it. It must no longer
// be listed for callers, and be listed again without a restart once the link works.
#[test]
fn a_host_that_no_other_reaches_is_not_listed_until_the_link_works() {
    let mut fleet = Fleet::start(2);
    let link = fleet.open_link();
    fleet.add_host_behind(&link);
    fleet.wait("all list three alive", |fleet| (0..3).all(|host| fleet.live_hosts(host) == 3));

    link.set_mode(LinkMode::BlockToServer);
    fleet.wait("others list two as alive", |fleet| (0..2).all(|host| fleet.live_hosts(host) == 2));
    link.set_mode(LinkMode::Open);

    fleet.wait("all list three alive", |fleet| (0..3).all(|host| fleet.live_hosts(host) == 3));
}
