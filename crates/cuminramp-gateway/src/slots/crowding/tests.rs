use std::time::Duration;

use tokio::time::{Instant, advance};

use super::{CrowdChange, CrowdDetector};

const GROUP: u32 = 7;

/// Updates the detector every 25 ms, and returns the changes with the number of the update.
async fn changes(detector: &mut CrowdDetector, waiting: &[usize]) -> Vec<(usize, CrowdChange)> {
    let mut changes = Vec::new();
    for (number, requests) in waiting.iter().enumerate() {
        let updated = detector.update(&[(GROUP, *requests)], Instant::now());
        changes.extend(updated.into_iter().map(|(_, change)| (number, change)));
        advance(Duration::from_millis(25)).await;
    }
    changes
}

/// Guards against a log line for each short queue of a group that serves its requests in time.
#[tokio::test(start_paused = true)]
async fn a_short_queue_is_not_logged() {
    let mut detector = CrowdDetector::default();

    let logged = changes(&mut detector, &[1, 2, 3, 0, 1, 2, 1, 0]).await;

    assert_eq!(logged, []);
}

/// Guards against a crowded group that operators don't see, or see as crowded for good.
#[tokio::test(start_paused = true)]
async fn a_crowded_group_is_logged_once_until_it_is_relieved() {
    let mut detector = CrowdDetector::default();

    let logged = changes(&mut detector, &[3, 3, 3, 3, 3, 3, 3, 3, 0, 0]).await;

    assert_eq!(logged, [(5, CrowdChange::Crowded), (8, CrowdChange::Relieved)]);
}

/// Guards against a flood of log lines from a group whose queue fills and empties several times a second.
#[tokio::test(start_paused = true)]
async fn equal_changes_are_logged_at_most_once_in_a_second() {
    let mut detector = CrowdDetector::default();
    let bursts: Vec<usize> = [1, 1, 1, 1, 1, 1, 0, 0].repeat(20);

    let logged = changes(&mut detector, &bursts).await;

    for change in [CrowdChange::Crowded, CrowdChange::Relieved] {
        let of_kind: Vec<usize> =
            logged.iter().filter(|(_, logged)| *logged == change).map(|(at, _)| *at).collect();
        assert!(of_kind.len() >= 2, "{logged:?}");
        assert!(of_kind.windows(2).all(|pair| pair[1] - pair[0] >= 40), "{logged:?}");
    }
}

/// Guards against a group that stays crowded in the logs after this host has lost its ownership.
#[tokio::test(start_paused = true)]
async fn a_group_that_is_no_longer_owned_is_relieved() {
    let mut detector = CrowdDetector::default();
    changes(&mut detector, &[1; 8]).await;

    let logged = detector.update(&[], Instant::now());

    assert_eq!(logged, [(GROUP, CrowdChange::Relieved)]);
}
