use std::time::Duration;

use tokio::time::Instant;

use super::OnlinePacking;
use crate::TargetSpec;

fn specs() -> Vec<TargetSpec> {
    let spec =
        |index| TargetSpec { name: format!("e{index}").into(), slots: 16, is_leaving: false };
    (0..8).map(spec).collect()
}

// A few callers spread over all targets would keep every batch window closed, and jobs would wait while
// targets are nearly idle.
#[test]
fn light_online_work_leaves_most_targets_to_batch() {
    let mut now = Instant::now();
    let mut packing = OnlinePacking::new(now);

    for _ in 0..20 {
        now += Duration::from_secs(1);
        packing.choose(&specs(), 6.0, now);
    }

    assert_eq!(packing.choose(&specs(), 6.0, now).len(), 3);
}

// Online requests arrive in a burst. Limited to the few targets of the light load before it, they would
// queue there.
#[test]
fn a_burst_gets_more_targets_at_once() {
    let mut now = Instant::now();
    let mut packing = OnlinePacking::new(now);
    for _ in 0..20 {
        now += Duration::from_secs(1);
        packing.choose(&specs(), 1.0, now);
    }

    let before = packing.choose(&specs(), 1.0, now).len();
    let burst = packing.choose(&specs(), 60.0, now).len();

    assert_eq!((before, burst), (2, 8));
}
