use std::time::Duration;

use tokio::time::Instant;

use super::{JobDirectory, MAX_REPORTED_ENDS};

const REPORT_WINDOW: Duration = Duration::from_secs(3);

/// Guards against heartbeats that outgrow what receivers read, which makes the host appear silent to all
/// others. This happens when a caller ends the same job repeatedly, or callers end thousands of jobs.
#[tokio::test(start_paused = true)]
async fn ends_in_a_heartbeat_are_reported_once_and_are_bounded() {
    let directory = JobDirectory::default();
    let now = Instant::now();
    for _ in 0..1_000 {
        directory.record_end("j", 1, now);
    }
    let repeated = directory.recently_ended(REPORT_WINDOW, now).len();

    for number in 0..1_000 {
        directory.record_end(&format!("j{number}"), 1, now);
    }
    let many = directory.recently_ended(REPORT_WINDOW, now);

    assert_eq!((repeated, many.len()), (1, MAX_REPORTED_ENDS));
    assert_eq!(&*many[0].job, "j999");
}
