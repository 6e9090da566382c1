//! Online requests.

use std::time::Duration;

use cuminramp_standin::{EngineSettings, expected_answer};
use http::StatusCode;

use crate::support::{Fleet, FleetPlan};

#[test]
fn every_host_streams_whole_answers_of_their_own() {
    let fleet = Fleet::start(3);

    for host in 0..3 {
        let prompt = format!("seats in hall {host}");
        let streamed = fleet.chat(host, &prompt, 12, true).streamed();
        let whole = fleet.chat(host, &prompt, 12, false).json();

        assert_eq!(streamed, (expected_answer(&prompt, 12), true));
        assert_eq!(whole["choices"][0]["message"]["content"], expected_answer(&prompt, 12));
    }
}

// An engine dies in the middle of many streams. Callers would read half an answer, or its start
// twice, if the stream were begun again.
#[test]
fn streams_go_on_at_the_same_token_when_their_engine_dies() {
    let fleet = Fleet::start_plan(FleetPlan {
        engine: EngineSettings { step_base_us: 10_000, ..FleetPlan::default().engine },
        ..FleetPlan::default()
    });
    let tokens = 60;

    let answers: Vec<_> = std::thread::scope(|scope| {
        let running: Vec<_> = (0..3)
            .map(|number| {
                let fleet = &fleet;
                scope.spawn(move || fleet.chat(number, &format!("long {number}"), tokens, true))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        fleet.engines[0].crash();
        running.into_iter().map(|caller| caller.join().unwrap()).collect()
    });

    for (number, answer) in answers.iter().enumerate() {
        let expected = expected_answer(&format!("long {number}"), tokens);
        assert_eq!(answer.streamed(), (expected, true));
    }
}

// An engine takes requests and never answers. Callers would wait until their deadline, each anew.
#[test]
fn a_silent_engine_costs_no_request() {
    let fleet = Fleet::start(1);
    fleet.engines[1].set_silent(true);

    for number in 0..12 {
        let prompt = format!("hall {number}");
        let answer = fleet.chat(0, &prompt, 4, number % 2 == 0);

        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    }
}

#[test]
fn a_leaving_host_cuts_off_no_stream() {
    let mut fleet = Fleet::start_plan(FleetPlan {
        engine: EngineSettings { step_base_us: 20_000, ..FleetPlan::default().engine },
        ..FleetPlan::default()
    });
    let mut host = fleet.hosts.remove(2);
    let caller = host.addresses.caller;
    let fleet = &fleet;

    let answer = std::thread::scope(|scope| {
        let running = scope.spawn(move || fleet.stream_from(caller, "evening", 60));
        std::thread::sleep(Duration::from_millis(300));
        host.leave();
        running.join().unwrap()
    });

    assert_eq!(answer.streamed(), (expected_answer("evening", 60), true));
}

// Engines of another make have no load report at the usual path. Taken for silent, all of them would be
// set aside, and requests in flight on them broken off.
#[test]
fn engines_without_load_reports_are_used() {
    let fleet = Fleet::start_plan(FleetPlan {
        hosts: 1,
        engine: EngineSettings { reports_load: false, ..FleetPlan::default().engine },
        ..FleetPlan::default()
    });

    std::thread::sleep(Duration::from_millis(600));

    let targets = fleet.operator(0, http::Method::GET, "/operator/targets", "").json();
    let rows = targets["targets"].as_array().unwrap();
    assert!(rows.iter().all(|row| row["set-aside"] == false), "{targets}");
}
