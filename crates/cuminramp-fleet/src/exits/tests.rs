use std::time::Duration;

use test_case::test_case;
use tokio::time::Instant;

use super::{ExitCheck, MIN_REQUESTS, PERIOD, RouteDurations};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn check(time_left_ms: u64, until_deadline_ms: u64, expected_ms: Option<u64>) -> ExitCheck {
    ExitCheck {
        time_left: millis(time_left_ms),
        until_deadline: millis(until_deadline_ms),
        expected: expected_ms.map(millis),
    }
}

/// Returns durations of a route with the given number of requests, each of which took `duration_ms`.
fn durations(requests: u32, duration_ms: u64, now: Instant) -> RouteDurations {
    let mut durations = RouteDurations::default();
    (0..requests).for_each(|_| durations.record(&"talk".into(), millis(duration_ms), now));
    durations
}

#[test_case(check(3_000, 2_999, None) => true; "ends at its deadline")]
#[test_case(check(3_000, 3_001, None) => false; "nothing is known of its route")]
#[test_case(check(3_000, 5_000, Some(700)) => true; "its route is fast")]
#[test_case(check(600, 5_000, Some(700)) => false; "its route is too slow")]
#[test_case(check(600, 500, Some(700)) => true; "its deadline comes before")]
#[test_case(check(0, 5_000, Some(0)) => true; "takes no time")]
fn a_request_is_sent_if_it_ends_before_the_exit(check: ExitCheck) -> bool {
    check.fits()
}

/// Guards against a request that waits for a slot until it can no longer end, or that is refused before.
#[test_case(check(3_000, 5_000, Some(700)) => millis(2_300); "a known route")]
#[test_case(check(3_000, 2_000, None) => millis(2_000); "ends at its deadline")]
#[test_case(check(3_000, 5_000, None) => Duration::ZERO; "does not fit now")]
fn a_request_may_wait_until_it_no_longer_fits(check: ExitCheck) -> Duration {
    check.remaining_wait()
}

/// Guards against a route of which a few short requests were seen, while others take seconds.
#[test]
fn few_requests_say_nothing_about_the_next_one() {
    let now = Instant::now();

    assert_eq!(durations(MIN_REQUESTS - 1, 100, now).expect("talk", now), None);
    assert_eq!(durations(MIN_REQUESTS, 100, now).expect("talk", now), Some(millis(200)));
    assert_eq!(durations(MIN_REQUESTS, 100, now).expect("book", now), None);
}

/// Guards against a change of load or of targets after which requests take longer than they once did.
#[test]
fn durations_of_earlier_periods_are_forgotten() {
    let now = Instant::now();
    let mut durations = durations(MIN_REQUESTS, 900, now);

    durations.record(&"talk".into(), millis(100), now + PERIOD);
    assert_eq!(durations.expect("talk", now + PERIOD), Some(millis(1_800)));
    assert_eq!(durations.expect("talk", now + 3 * PERIOD), None);
    durations.record(&"talk".into(), millis(100), now + 2 * PERIOD);
    assert_eq!(durations.expect("talk", now + 2 * PERIOD), None);
}
