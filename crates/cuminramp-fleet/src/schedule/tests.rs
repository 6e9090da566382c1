use std::time::Duration;

use test_case::test_case;
use tokio::time::{Instant, advance};

use super::{HeartbeatSchedule, HeartbeatTimer};

/// In a large fleet, heartbeats to other zones are rare. With a fixed timeout, every host would treat
/// hosts of other zones as silent between two heartbeats, reserve a share of each rate for them, and
/// refuse callers within the rate.
#[test_case(11, 4)]
#[test_case(85, 29)]
#[test_case(91, 23)]
#[test_case(195, 39)]
#[test_case(300, 60)]
#[test_case(360, 16)]
#[tokio::test(start_paused = true)]
async fn a_host_that_heartbeats_in_time_is_never_silent(hosts: usize, near: usize) {
    let schedule = HeartbeatSchedule::new(hosts, near);
    let mut timer = HeartbeatTimer::new(Instant::now());
    let mut received = [Instant::now(); 2];

    for _ in 0..200 {
        advance(timer.next_due().saturating_duration_since(Instant::now())).await;
        let due = timer.take_due(&schedule, Instant::now());
        for (index, is_due) in [due.0, due.1].into_iter().enumerate() {
            let timeout = schedule.timeout(index == 0);
            assert!(received[index].elapsed() * 3 < timeout, "{:?}", received[index].elapsed());
            if is_due {
                received[index] = Instant::now();
            }
        }
    }
}

/// A zone has many hosts, and nothing changes. With a fixed interval, each host would still spend much
/// time on heartbeats to all others.
#[test_case(11, 4, 100)]
#[test_case(195, 39, 200)]
#[test_case(300, 60, 200)]
#[tokio::test(start_paused = true)]
async fn an_idle_host_sends_a_bounded_number_of_heartbeats_to_its_zone(
    hosts: usize,
    near: usize,
    max_per_second: usize,
) {
    let schedule = HeartbeatSchedule::new(hosts, near);
    let mut timer = HeartbeatTimer::new(Instant::now());
    timer.take_due(&schedule, Instant::now());
    let (end, mut sent) = (Instant::now() + Duration::from_secs(4), 0);

    while timer.next_due() < end {
        advance(timer.next_due().saturating_duration_since(Instant::now())).await;
        let (is_near_due, _) = timer.take_due(&schedule, Instant::now());
        sent += usize::from(is_near_due) * (near - 1);
    }

    assert!(sent / 4 <= max_per_second, "{}", sent / 4);
}

/// Under full load, something changes all the time. A heartbeat for each change would overload the host.
#[test_case(11, 4, 2_500)]
#[test_case(85, 29, 1_300)]
#[test_case(360, 16, 1_300)]
#[tokio::test(start_paused = true)]
async fn constant_changes_cause_a_bounded_number_of_heartbeats(
    hosts: usize,
    near: usize,
    max_per_second: usize,
) {
    let schedule = HeartbeatSchedule::new(hosts, near);
    let mut timer = HeartbeatTimer::new(Instant::now());
    let mut sent = 0;

    for _ in 0..20_000 {
        advance(Duration::from_micros(100)).await;
        timer.bring_forward(&schedule, Instant::now());
        if timer.next_due() <= Instant::now() {
            let due = timer.take_due(&schedule, Instant::now());
            sent += usize::from(due.0) * (near - 1) + usize::from(due.1) * (hosts - near);
        }
    }

    assert!(sent / 2 <= max_per_second, "{}", sent / 2);
}
