//! Keys that are granted and withdrawn while requests run.

use std::time::Duration;

use cuminramp_standin::{EngineSettings, PlatformFaults};
use http::{Method, StatusCode};

use crate::support::{Fleet, FleetPlan};

#[test]
fn a_withdrawn_key_is_refused_by_every_host() {
    let fleet = Fleet::start(3);
    let key = fleet.grant(1, "boat-desk");
    fleet.wait("it is accepted", |fleet| {
        (0..3).all(|host| fleet.models(host, &key).status == StatusCode::OK)
    });

    fleet.operator(2, Method::DELETE, &format!("/operator/keys/{key}"), "");

    fleet.wait("it is refused", |fleet| (0..3).all(|host| fleet.models(host, &key).code() == 1101));
}

// A key has leaked while the platform is down. If its withdrawal waited for the table, the key could stay in
// force for hours.
#[test]
fn a_key_is_withdrawn_while_the_table_is_down_and_stays_withdrawn() {
    let fleet = Fleet::start(3);
    let key = fleet.grant(0, "boat-desk");
    fleet.wait("it is accepted", |fleet| {
        (0..3).all(|host| fleet.models(host, &key).status == StatusCode::OK)
    });
    fleet.set_platform(PlatformFaults { down: true, ..PlatformFaults::default() });

    fleet.operator(0, Method::DELETE, &format!("/operator/keys/{key}"), "");
    fleet.wait("it is refused", |fleet| (0..3).all(|host| fleet.models(host, &key).code() == 1101));
    fleet.set_platform(PlatformFaults::default());

    fleet.wait("the withdrawal is written to the table", |fleet| {
        let keys = fleet.operator(1, Method::GET, "/operator/keys", "").json();
        keys["keys"].as_array().unwrap().iter().all(|row| row["team"] != "boat-desk")
    });
    assert_eq!(fleet.models(2, &key).code(), 1101);
}

// A key is withdrawn while its caller reads a long stream. The stream must end, or a leaked key would stay
// usable through it.
#[test]
fn a_stream_ends_with_an_error_when_its_key_is_withdrawn() {
    let fleet = Fleet::start_plan(FleetPlan {
        engine: EngineSettings { step_base_us: 50_000, ..FleetPlan::default().engine },
        ..FleetPlan::default()
    });

    let answer = std::thread::scope(|scope| {
        let running = scope.spawn(|| fleet.chat(0, "long", 400, true));
        std::thread::sleep(Duration::from_millis(500));
        fleet.operator(1, Method::DELETE, &format!("/operator/keys/{}", fleet.key), "");
        running.join().unwrap()
    });

    let (_, is_complete) = answer.streamed();
    assert!(!is_complete);
    assert!(answer.text().contains("\"cuminramp_code\":1101"), "{}", answer.text());
}
