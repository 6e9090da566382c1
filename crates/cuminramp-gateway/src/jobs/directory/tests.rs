use std::time::Duration;

use tokio::time::Instant;

use super::{JobDirectory, MAX_REPORTED_ENDS};

const LATELY: Duration = Duration::from_secs(3);

/// A caller ends the same job over and over, and others end thousands. Did heartbeats carry each, heartbeats would
/// grow over what receivers read, and the host would seem silent to all others.
#[tokio::test(start_paused = true)]
async fn ends_in_a_heartbeat_are_told_once_and_are_bounded() {
    let directory = JobDirectory::default();
    let now = Instant::now();
    for _ in 0..1_000 {
        directory.record_end("j", 1, now);
    }
    let repeated = directory.ended_lately(LATELY, now).len();

    for number in 0..1_000 {
        directory.record_end(&format!("j{number}"), 1, now);
    }
    let many = directory.ended_lately(LATELY, now);

    assert_eq!((repeated, many.len()), (1, MAX_REPORTED_ENDS));
    assert_eq!(&*many[0].job, "j999");
}
