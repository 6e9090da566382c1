//! Drains a host before it exits.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{Instant, sleep_until, timeout_at};

use crate::jobs::hand_over_jobs;
use crate::peers::broadcast_heartbeat;
use crate::state::GatewayState;
use crate::sync::withdraw_host;

/// Share of the grace period after which callers' connections are closed as soon as they are idle, and a host without
/// open calls exits. By then few callers choose this host: most keep steering responses for two seconds. Those that
/// come later can't connect, and choose another host.
const CLOSE_IDLE_GRACE_SHARE: f64 = 0.55;
/// Part of the grace period reserved for the last responses and heartbeats.
const DRAIN_MARGIN: Duration = Duration::from_millis(700);

/// Hands over what this host holds, waits until the calls in progress have ended and their responses are written, and
/// stops the host.
pub(crate) async fn shut_down(state: &Arc<GatewayState>) {
    let started_at = Instant::now();
    let grace = state.settings.grace();
    log::info!(host = state.settings.name.as_str(), grace_ms = grace.as_millis() as u64; "leaving");
    let exit_at = started_at + grace.saturating_sub(DRAIN_MARGIN);
    let exit_at = *state.exit_at.get_or_init(|| exit_at);
    state.drain.cancel();
    broadcast_heartbeat(state).await;
    hand_over_jobs(state).await;
    withdraw_host(state).await;
    let close_idle_at = started_at + grace.mul_f64(CLOSE_IDLE_GRACE_SHARE);
    sleep_until(close_idle_at).await;
    state.drain_idle.cancel();
    state.tasks.close();
    let is_answered = timeout_at(exit_at, state.tasks.wait()).await.is_ok();
    let open_calls = state.tasks.len();
    state.closing.cancel();
    state.connection_tasks.close();
    let writing = state.connection_tasks.wait();
    let is_written = timeout_at(exit_at, writing).await.is_ok();
    state.has_left.store(true, Ordering::Relaxed);
    broadcast_heartbeat(state).await;
    log::info!(
        host = state.settings.name.as_str(), whole = is_answered && is_written,
        open_calls = open_calls, open_connections = state.connection_tasks.len(),
        took_ms = started_at.elapsed().as_millis() as u64;
        "left"
    );
    state.stop.cancel();
}
