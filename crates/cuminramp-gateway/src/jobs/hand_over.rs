//! Hands over the jobs that this host holds when it drains.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::Name;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::writer::WriterCommand;
use crate::state::{GatewayState, lock};

/// Timeout after which the host no longer waits for cancelled items to stop. They usually stop at their next
/// poll by the runtime.
const STOP_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for writing the hand-overs. Other hosts take over the remaining jobs once this host counts as
/// lost.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Cancels all items and writes each held job back without a holder, with the progress of its items.
pub(crate) async fn hand_over_jobs(state: &Arc<GatewayState>) {
    state.running_items.cancel_all();
    let started_at = Instant::now();
    while !state.running_items.is_empty() && started_at.elapsed() < STOP_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let jobs: Vec<Name> = lock(&state.jobs).jobs().map(|job| job.spec().id.clone()).collect();
    let mut hand_overs = Vec::with_capacity(jobs.len());
    for job in jobs {
        let (done, hand_over) = oneshot::channel();
        state.writers.send(&job, WriterCommand::HandOver(done));
        hand_overs.push(hand_over);
    }
    let all = futures_util::future::join_all(hand_overs);
    if tokio::time::timeout(HAND_OVER_TIMEOUT, all).await.is_err() {
        log::warn!(limit_ms = HAND_OVER_TIMEOUT.as_millis() as u64; "jobs-not-handed-over");
    }
}
