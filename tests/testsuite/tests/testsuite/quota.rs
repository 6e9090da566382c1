//! Rate and burst over all hosts.

use std::time::{Duration, Instant};

use cuminramp_standin::PlatformFaults;
use http::StatusCode;

use crate::support::{Fleet, FleetPlan};

const RATE: f64 = 20.0;
const BURST: f64 = 30.0;
/// A healthy run takes a small part of it.
const FLOOD_LIMIT: Duration = Duration::from_secs(60);

fn fleet(hosts: usize) -> Fleet {
    Fleet::start_plan(FleetPlan { hosts, rate: RATE, burst: BURST, ..FleetPlan::default() })
}

/// Calls all hosts in turn as fast as they answer; returns how many requests were admitted.
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

/// What the team may have over a time, with one request for the rounding of the clock.
fn most(started: Instant) -> usize {
    (BURST + RATE * started.elapsed().as_secs_f64()) as usize + 1
}

// One team sends many times its rate through all hosts at once. If each host counted for itself, it
// would get its rate as often as there are hosts.
#[test]
fn a_team_gets_its_rate_and_burst_once_over_all_hosts() {
    let fleet = fleet(5);
    let started = Instant::now();

    let mut admitted = 0;
    while admitted < 2 * BURST as usize {
        admitted += flood(&fleet, 0..5, Duration::from_millis(500));
        assert!(admitted <= most(started), "{admitted} admitted");
        assert!(started.elapsed() < FLOOD_LIMIT, "only {admitted} admitted");
    }
}

// All of a team's callers connect to one host, which holds only a third of its rate. That it can
// spend all of it is proved on the paused clock beside the ledger; here real hosts lend to it.
#[test]
fn a_team_whose_callers_use_one_host_gets_more_than_that_hosts_part() {
    let fleet = fleet(5);

    let tries = 0..BURST as usize;
    let admitted =
        tries.filter(|_| fleet.chat(0, "hall", 1, false).status == StatusCode::OK).count();

    assert!(admitted as f64 > BURST / 3.0, "{admitted} admitted");
}

// A host is killed and starts again, and the platform's store is down all the while. If a new run
// began with a full bucket, each restart would give the team its burst again.
#[test]
fn restarts_and_outages_mint_no_tokens() {
    let mut fleet = fleet(4);
    let started = Instant::now();
    let mut admitted = flood(&fleet, 0..4, Duration::from_millis(500));
    fleet.set_platform(PlatformFaults { down: true, ..PlatformFaults::default() });

    fleet.hosts[3].kill();
    admitted += flood(&fleet, 0..3, Duration::from_millis(700));
    fleet.set_platform(PlatformFaults::default());
    let host = fleet.add_host();
    admitted += flood(&fleet, 0..3, Duration::from_millis(1_500));
    fleet.wait("it serves", |fleet| fleet.models(host, &fleet.key).status == StatusCode::OK);
    admitted += flood(&fleet, host..host + 1, Duration::from_millis(500));

    assert!(admitted <= most(started), "{admitted} admitted");
}

// All hosts start at once, as after a power cut, and callers are back before the hosts have shared out
// the rate. Informed that they are above their rate, they would look for a fault of their own.
#[test]
fn callers_who_come_before_the_rate_is_shared_out_are_told_so() {
    let fleet = Fleet::start_unready();

    let answer = fleet.chat(0, "hall", 1, false);

    assert_eq!((answer.code(), answer.execution().as_str()), (1402, "not run"));
    assert_eq!(fleet.operator(0, http::Method::GET, "/readyz", "").status, 503);
}
