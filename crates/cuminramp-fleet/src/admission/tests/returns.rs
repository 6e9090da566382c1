use cuminramp_core::SeededRandom;
use test_case::test_case;
use tokio::time::Instant;

use super::group::{GroupLoad, GroupRun, SlotOrder};
use super::millis;
use crate::admission::ReturnSchedule;

/// Guards against retries that are late or rejected again: peaks are 1.3 times the ceiling, and the mean load
/// is 0.7 times, so that there is capacity for all that return.
#[test_case(4, 64, 9, 8)]
#[test_case(4, 64, 77, 8)]
#[test_case(34, 568, 77, 2)]
#[test_case(89, 480, 87, 2)]
#[test_case(360, 1_200, 77, 1)]
fn rejected_callers_are_in_time_when_they_return(
    hosts: usize,
    slots: u32,
    teams: usize,
    periods: u32,
) {
    let mut load = GroupLoad { hosts, slots, rate: 0.0, teams, flood: 1.0, periods, seed: 1 };
    let ceiling = load.capacity().freed_per_s;
    load.rate = 0.7 * ceiling;

    let fair = GroupRun::new(load, SlotOrder::fair());
    let arrival = GroupRun::new(load, SlotOrder::arrival());

    let all = |run: &GroupRun| run.callers_in_time(|_| true);
    let figures = format!(
        "in time: {:.3} of returns, {:.3} of callers; {:.3} and {:.3} in order of arrival; ceiling {ceiling:.0}/s",
        fair.returns_in_time(),
        all(&fair),
        arrival.returns_in_time(),
        all(&arrival),
    );
    println!("{figures}");
    assert!(fair.returns_in_time() >= 0.9, "{figures}");
    assert!(all(&fair) > all(&arrival) + 0.02, "the load doesn't show the failure: {figures}");
}

/// Guards against retries that return together: 400 requests are rejected at once in a group that frees 800
/// slots per second, of which 10 in each 50 ms may go to retries.
#[test]
fn retries_are_spread_over_the_buckets() {
    let mut schedule = ReturnSchedule::default();
    let mut random = SeededRandom::new(1);
    let now = Instant::now();
    let (wait, max_delay) = (millis(300), millis(5_000));

    let delays: Vec<_> =
        (0..400).map(|_| schedule.book(wait, 800.0, max_delay, &mut random, now)).collect();

    let in_bucket = |bucket: u32| {
        let start = millis(50) * bucket;
        delays.iter().filter(|delay| **delay >= start && **delay < start + millis(50)).count()
    };
    assert!(delays[..10].iter().all(|delay| *delay >= wait && *delay < millis(350)));
    // There are 26 buckets up to 1.6 s. The bookings beyond their limits are spread evenly.
    assert!((6..32).all(|bucket| (15..=16).contains(&in_bucket(bucket))));
    assert!(delays.iter().all(|delay| *delay <= millis(1_600)));
}

/// Guards against delays longer than the caller waits: the limit goes before the minimum delay and the wait.
#[test_case(0, 0)]
#[test_case(30, 10_000)]
#[test_case(120, 10_000)]
#[test_case(900, 60_000_000)]
fn delays_keep_to_the_limit_of_the_caller(max_delay: u64, wait: u64) {
    let mut schedule = ReturnSchedule::default();
    let mut random = SeededRandom::new(1);
    let start = Instant::now();

    for step in 0..200 {
        let now = start + millis(7) * step;
        let delay = schedule.book(millis(wait), f64::NAN, millis(max_delay), &mut random, now);

        assert!(delay <= millis(max_delay));
    }
}

/// Guards against bookings of the past that keep later retries away.
#[test]
fn past_bookings_are_dropped() {
    let mut schedule = ReturnSchedule::default();
    let mut random = SeededRandom::new(1);
    let start = Instant::now();
    let mut book = |now| schedule.book(millis(0), 20.0, millis(5_000), &mut random, now);
    (0..200).for_each(|_| {
        book(start);
    });

    let delay = book(start + millis(100_000));

    assert!(delay >= millis(250) && delay <= millis(350));
}
