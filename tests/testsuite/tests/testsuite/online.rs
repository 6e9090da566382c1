//! Online requests.

use std::time::Duration;

use cuminramp_standin::{EngineSettings, expected_answer};
use http::StatusCode;

use crate::support::{Fleet, FleetPlan, test_settings};

#[test]
fn every_host_returns_complete_answers_streamed_or_not() {
    let fleet = Fleet::start(3);

    for host in 0..3 {
        let prompt = format!("seats in hall {host}");
        let streamed = fleet.chat(host, &prompt, 12, true).streamed();
        let complete = fleet.chat(host, &prompt, 12, false).json();

        assert_eq!(streamed, (expected_answer(&prompt, 12), true));
        assert_eq!(complete["choices"][0]["message"]["content"], expected_answer(&prompt, 12));
    }
}

// An engine crashes while it streams answers. Callers would receive an incomplete answer or, if the stream
// were restarted, its beginning twice.
#[test]
fn streams_resume_at_the_same_token_after_their_engine_crashes() {
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

// An engine accepts requests and never answers. Without retries at other engines, each caller would wait
// until its deadline.
#[test]
fn a_silent_engine_fails_no_request() {
    let fleet = Fleet::start(1);
    fleet.engines[1].set_unresponsive(true);

    for number in 0..12 {
        let prompt = format!("hall {number}");
        let answer = fleet.chat(0, &prompt, 4, number % 2 == 0);

        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    }
}

#[test]
fn a_leaving_host_completes_its_streams() {
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

/// Guards against a request that a leaving host accepts although its route allows it more time than the host has left: its
/// response would be broken off.
#[test]
fn a_leaving_host_refuses_a_request_that_may_outlast_it() {
    let mut settings = test_settings(0);
    settings.limits.drain_timeout_ms = 500;
    let engine = EngineSettings { step_base_us: 50_000, ..FleetPlan::default().engine };
    let plan = FleetPlan { engine, ..FleetPlan::default() };
    let mut fleet = Fleet::start_one_with(plan, settings, |_| {});
    fleet.wait("all shards are owned", Fleet::all_shards_owned);
    let mut host = fleet.hosts.remove(0);
    let caller = host.addresses.caller;
    let fleet = &fleet;

    let answer = std::thread::scope(|scope| {
        let late = scope.spawn(move || {
            std::thread::sleep(Duration::from_millis(400));
            fleet.stream_from(caller, "evening", 60)
        });
        host.leave();
        late.join().unwrap()
    });

    assert_eq!((answer.status.as_u16(), answer.code()), (503, 1401));
    assert_eq!(answer.execution(), "not run");
}

// Some engines have no load report at the usual path. If they were treated as silent, all of them would be
// ejected and the requests in flight on them cancelled.
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
