//! Connections that go silent, and links that are cut.

use std::time::Duration;

use cuminramp_standin::{LinkMode, expected_answer};
use http::StatusCode;
use serde_json::json;

use crate::support::Fleet;

// Something between a host and an engine forgets the connections that are open: they stay silent for
// good while new ones work. Requests would time out one after another, one for each pooled connection.
#[test]
fn pooled_connections_to_an_engine_that_went_silent_cost_no_request() {
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

// The same happens between two hosts. Each would hold the other for dead although both serve.
#[test]
fn silent_connections_between_hosts_are_replaced() {
    let mut fleet = Fleet::start(2);
    let link = fleet.open_link();
    let host = fleet.add_host_behind(&link);
    fleet.wait("all know each other", |fleet| (0..3).all(|host| fleet.live_hosts(host) == 3));

    link.freeze_open_connections();
    std::thread::sleep(Duration::from_millis(500));

    fleet.wait("all hold each other for alive", |fleet| {
        (0..3).all(|host| fleet.live_hosts(host) == 3)
    });
    assert!(fleet.chat(host, "hall", 4, true).streamed().1);
}

// A host hears others and nobody hears it. It must vanish from what callers learn, and come back
// once the link is mended, without a restart.
#[test]
fn a_host_that_nobody_reaches_leaves_the_answers_until_the_link_is_mended() {
    let mut fleet = Fleet::start(2);
    let link = fleet.open_link();
    fleet.add_host_behind(&link);
    fleet.wait("all know each other", |fleet| (0..3).all(|host| fleet.live_hosts(host) == 3));

    link.set_mode(LinkMode::SilentForward);
    fleet.wait("it is named no more", |fleet| (0..2).all(|host| fleet.live_hosts(host) == 2));
    link.set_mode(LinkMode::Open);

    fleet.wait("it is back", |fleet| (0..3).all(|host| fleet.live_hosts(host) == 3));
}
