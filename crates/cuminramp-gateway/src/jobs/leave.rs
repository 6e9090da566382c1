//! Gives jobs back when the host leaves.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::Name;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::writer::WriterCommand;
use crate::state::{GatewayState, lock};

/// Running items notice that they are stopped within a turn of the runtime.
const STOP_LIMIT: Duration = Duration::from_millis(300);
/// Time for the writes; what is not written is found by others when this host is gone.
const WRITE_LIMIT: Duration = Duration::from_millis(2_000);

/// Stops all items and writes each job back with how far it came.
pub(crate) async fn hand_jobs_over(state: &Arc<GatewayState>) {
    state.running.stop_all();
    let began = Instant::now();
    while !state.running.is_empty() && began.elapsed() < STOP_LIMIT {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let jobs: Vec<Name> = lock(&state.jobs).jobs().map(|job| job.spec().id.clone()).collect();
    let mut waits = Vec::with_capacity(jobs.len());
    for job in jobs {
        let (done, wait) = oneshot::channel();
        state.writers.send(&job, WriterCommand::HandOver(done));
        waits.push(wait);
    }
    let all = futures_util::future::join_all(waits);
    if tokio::time::timeout(WRITE_LIMIT, all).await.is_err() {
        log::warn!(limit_ms = WRITE_LIMIT.as_millis() as u64; "jobs-not-handed-over");
    }
}
