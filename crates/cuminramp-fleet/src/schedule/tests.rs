use std::time::Duration;

use test_case::test_case;
use tokio::time::{Instant, advance};

use super::{HeartbeatSchedule, HeartbeatTimer};

/// In a large fleet heartbeats to other zones come seldom. With a fixed limit every host would take the
/// hosts of other zones for silent between two heartbeats, keep their share of each rate for them, and
/// refuse callers who are within it.
#[test_case(11, 4)]
#[test_case(85, 29)]
#[test_case(91, 23)]
#[test_case(195, 39)]
#[test_case(300, 60)]
#[test_case(360, 16)]
#[tokio::test(start_paused = true)]
async fn a_host_that_heartbeats_in_time_is_never_silent(hosts: usize, near: usize) {
    let schedule = HeartbeatSchedule::new(hosts, near);
    let mut times = HeartbeatTimer::new(Instant::now());
    let mut heard = [Instant::now(); 2];

    for _ in 0..200 {
        advance(times.next().saturating_duration_since(Instant::now())).await;
        let due = times.take_due(&schedule, Instant::now());
        for (index, is_due) in [due.0, due.1].into_iter().enumerate() {
            let silence = schedule.timeout(index == 0);
            assert!(heard[index].elapsed() * 3 < silence, "{:?}", heard[index].elapsed());
            if is_due {
                heard[index] = Instant::now();
            }
        }
    }
}

/// A zone has many hosts, and nothing happens. Each would still be busy with telling all others so.
#[test_case(11, 4, 100)]
#[test_case(195, 39, 200)]
#[test_case(300, 60, 200)]
#[tokio::test(start_paused = true)]
async fn an_idle_host_tells_its_zone_a_bounded_number_of_times(
    hosts: usize,
    near: usize,
    most_a_second: usize,
) {
    let schedule = HeartbeatSchedule::new(hosts, near);
    let mut times = HeartbeatTimer::new(Instant::now());
    times.take_due(&schedule, Instant::now());
    let (until, mut sent) = (Instant::now() + Duration::from_secs(4), 0);

    while times.next() < until {
        advance(times.next().saturating_duration_since(Instant::now())).await;
        let (is_near_due, _) = times.take_due(&schedule, Instant::now());
        sent += usize::from(is_near_due) * (near - 1);
    }

    assert!(sent / 4 <= most_a_second, "{}", sent / 4);
}

/// Under full load something changes all the time. Heartbeats for each change would take up the host.
#[test_case(11, 4, 2_500)]
#[test_case(85, 29, 1_300)]
#[test_case(360, 16, 1_300)]
#[tokio::test(start_paused = true)]
async fn changes_all_the_time_cost_a_bounded_number_of_heartbeats(
    hosts: usize,
    near: usize,
    most_a_second: usize,
) {
    let schedule = HeartbeatSchedule::new(hosts, near);
    let mut times = HeartbeatTimer::new(Instant::now());
    let mut sent = 0;

    for _ in 0..20_000 {
        advance(Duration::from_micros(100)).await;
        times.bring_forward(&schedule, Instant::now());
        if times.next() <= Instant::now() {
            let due = times.take_due(&schedule, Instant::now());
            sent += usize::from(due.0) * (near - 1) + usize::from(due.1) * (hosts - near);
        }
    }

    assert!(sent / 2 <= most_a_second, "{}", sent / 2);
}
