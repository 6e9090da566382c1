//! Notices that this host stood still.

use std::sync::Arc;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

use crate::state::{GatewayState, lock};

/// Between two looks at the clocks.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// A host that was away for longer doubts what it believes. Heartbeats come every 100 ms, so less is
/// ordinary lateness.
const PAUSE_LIMIT: Duration = Duration::from_millis(400);

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Looks at the clocks until the gateway stops.
///
/// A host that is suspended wakes with buckets and beliefs from before, while others went on for
/// seconds; its team's callers would get their burst twice. The steady clock may not count the time,
/// so the clock that counts it is compared.
pub(crate) async fn watch_pauses(state: Arc<GatewayState>) {
    let mut last = boot_time();
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let present = boot_time();
        let away = present.saturating_sub(last);
        last = present;
        if away < LOOK_EVERY + PAUSE_LIMIT {
            continue;
        }
        log::warn!(away_ms = away.as_millis() as u64; "paused");
        let now = Instant::now();
        let mut peers = lock(&state.peers);
        peers.reset_liveness();
        let (heard, all) = peers.count_alive(now);
        drop(peers);
        let mut quota = lock(&state.quota);
        quota.reset(now);
        quota.set_alive_share(heard, all);
        drop(quota);
        state.slots.reset(&state);
        state.request_heartbeat();
    }
}
