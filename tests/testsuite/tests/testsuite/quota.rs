//! Rate and burst of a team over all hosts.

use std::time::{Duration, Instant};

use cuminramp_standin::PlatformFaults;
use http::StatusCode;

use crate::support::{Fleet, FleetPlan};

const RATE: f64 = 20.0;
const BURST: f64 = 30.0;
/// Timeout of the flood of requests; a run that succeeds needs a small part of it.
const FLOOD_TIMEOUT: Duration = Duration::from_secs(60);

fn fleet(hosts: usize) -> Fleet {
    Fleet::start_plan(FleetPlan { hosts, rate: RATE, burst: BURST, ..FleetPlan::default() })
}

/// Calls the hosts in turn as fast as they answer; returns the number of admitted requests.
fn flood(fleet: &Fleet, hosts: std::ops::Range<usize>, time: Duration) -> usize {
    let started = Instant::now();
    let mut admitted = 0;
    let mut number = 0;
    while started.elapsed() < time {
        number += 1;
        let host = hosts.start + number % hosts.len();
        let Some(answer) = fleet.try_call(
            host,
            &fleet.key,
            http::Method::POST,
            "/v1/chat/completions",
            &crate::support::chat_body("hall", 1, false),
            &[],
        ) else {
            continue;
        };
        match answer.status {
            StatusCode::OK => admitted += 1,
            _ => assert_eq!(answer.code(), 1200, "{}", answer.text()),
        }
    }
    admitted
}

/// Returns the number of requests that may have been admitted since `started`, plus one for the rounding of
/// the clock.
fn max_admitted(started: Instant) -> usize {
    (BURST + RATE * started.elapsed().as_secs_f64()) as usize + 1
}

// A team sends many times its rate through all hosts at once. If each host applied the rate by itself, the
// team would get it once per host.
#[test]
fn a_team_gets_its_rate_and_burst_once_over_all_hosts() {
    let fleet = fleet(5);
    let started = Instant::now();

    let mut admitted = 0;
    while admitted < 2 * BURST as usize {
        admitted += flood(&fleet, 0..5, Duration::from_millis(500));
        assert!(admitted <= max_admitted(started), "{admitted} admitted");
        assert!(started.elapsed() < FLOOD_TIMEOUT, "only {admitted} admitted");
    }
}

// All callers of a team connect to one host, which owns only a third of the team's rate. Tests of the ledger
// with a paused clock cover that one host can use the full rate; here real hosts lend tokens to it.
#[test]
fn a_team_whose_callers_use_one_host_gets_more_than_the_share_of_that_host() {
    let fleet = fleet(5);

    let tries = 0..BURST as usize;
    let admitted =
        tries.filter(|_| fleet.chat(0, "hall", 1, false).status == StatusCode::OK).count();

    assert!(admitted as f64 > BURST / 3.0, "{admitted} admitted");
}

// A host is killed during an outage of the platform's stores, and a host starts after it. If a host started
// with a full bucket, each restart would grant the team its burst again.
#[test]
fn restarts_and_outages_add_no_tokens() {
    let mut fleet = fleet(4);
    let started = Instant::now();
    let mut admitted = flood(&fleet, 0..4, Duration::from_millis(500));
    fleet.set_platform(PlatformFaults { down: true, ..PlatformFaults::default() });

    fleet.hosts[3].kill();
    admitted += flood(&fleet, 0..3, Duration::from_millis(700));
    fleet.set_platform(PlatformFaults::default());
    let host = fleet.add_host();
    admitted += flood(&fleet, 0..3, Duration::from_millis(1_500));
    fleet.wait("the host serves", |fleet| fleet.models(host, &fleet.key).status == StatusCode::OK);
    admitted += flood(&fleet, host..host + 1, Duration::from_millis(500));

    assert!(admitted <= max_admitted(started), "{admitted} admitted");
}

// All hosts start at once, as after a power loss, and callers send requests before the shards of the rate are
// claimed. If these were refused for exceeding the rate, callers would look for an error on their side.
#[test]
fn requests_before_shards_are_claimed_get_a_distinct_error() {
    let fleet = Fleet::start_unready();

    let answer = fleet.chat(0, "hall", 1, false);

    assert_eq!((answer.code(), answer.execution().as_str()), (1402, "not run"));
    assert_eq!(fleet.operator(0, http::Method::GET, "/readyz", "").status, 503);
}
