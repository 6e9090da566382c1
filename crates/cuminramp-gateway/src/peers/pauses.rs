//! Detects that this host was paused.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

use crate::state::{GatewayState, lock};

/// Minimum delay of a clock check that counts as a pause of the host. Heartbeats are sent every 100 ms, so a
/// shorter delay is ordinary.
const MIN_PAUSE: Duration = Duration::from_millis(400);

/// Returns the time since boot, including time in which the host was suspended.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Detects pauses of this host.
///
/// A host that was suspended resumes with the token buckets and liveness records from before the pause,
/// while the others went on for seconds. Without a reset, its teams' callers would get their burst twice.
/// The monotonic clock may stop during the pause, so the check uses the boot clock, which does not.
#[derive(Debug)]
pub(crate) struct PauseDetector {
    checked_at: Duration,
    interval: Duration,
}

impl PauseDetector {
    /// Creates a detector whose [`check`](Self::check) is called at this interval.
    pub(crate) fn new(interval: Duration) -> Self {
        PauseDetector { checked_at: boot_time(), interval }
    }

    /// Resets outdated state if this host was paused since the last check.
    pub(crate) fn check(&mut self, state: &GatewayState) {
        let now_since_boot = boot_time();
        let elapsed = now_since_boot.saturating_sub(self.checked_at);
        self.checked_at = now_since_boot;
        if elapsed < self.interval + MIN_PAUSE {
            return;
        }
        log::warn!(away_ms = elapsed.as_millis() as u64; "paused");
        let now = Instant::now();
        let mut peers = lock(&state.peers);
        peers.reset_liveness();
        let (alive, all) = peers.count_rate_shares(now);
        drop(peers);
        let mut quota = lock(&state.quota);
        quota.reset(now);
        quota.set_alive_share(alive, all);
        drop(quota);
        state.slots.reset(state);
        state.request_heartbeat();
    }
}
