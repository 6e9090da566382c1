use std::time::Duration;

use tokio::time::Instant;

use super::{BatchWindow, WindowPolicy};
use crate::LoadSnapshot;

const STEP: Duration = Duration::from_millis(50);

fn opened(now: Instant) -> BatchWindow {
    let mut window = BatchWindow::new(WindowPolicy::default(), 16, now);
    let report = Some(LoadSnapshot { requests: 0, at: now });
    for step in 0..6 {
        window.update(0, report, 0, now + STEP * step);
    }
    window
}

// Online requests arrive while targets are full of batch work. If the window stayed open, they would
// wait for batch items to end.
#[test]
fn the_window_closes_at_once_when_online_arrives_and_opens_slowly_after() {
    let now = Instant::now();
    let mut window = opened(now);
    let at = now + Duration::from_millis(300);
    let report = |at| Some(LoadSnapshot { requests: 0, at });

    window.on_online(at);
    let closed = window.update(0, report(at), 16, at + STEP);
    let reopened = at + Duration::from_millis(300);
    let sizes: Vec<u32> =
        (0..5).map(|step| window.update(0, report(reopened), 0, reopened + STEP * step)).collect();

    assert_eq!(closed, 0);
    assert_eq!(sizes, [1, 2, 4, 8, 16]);
}

// A target's load reports stop. The last one shows an idle target, which may be full by now.
#[test]
fn an_old_report_closes_the_window() {
    let now = Instant::now();
    let mut window = opened(now);
    let report = Some(LoadSnapshot { requests: 0, at: now });

    let fresh = window.update(0, report, 0, now + Duration::from_secs(1));
    let late = window.update(0, report, 0, now + Duration::from_secs(3));
    let gone = window.update(0, report, 0, now + Duration::from_secs(5));

    assert!(fresh > late && late > gone);
    assert_eq!(gone, 0);
}

#[test]
fn slots_used_by_other_hosts_are_not_used_for_batch() {
    let now = Instant::now();
    let mut window = opened(now);
    let at = now + Duration::from_secs(1);

    let size = window.update(0, Some(LoadSnapshot { requests: 30, at }), 16, at);

    assert_eq!(size, 2);
}
