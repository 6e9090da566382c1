//! Follows one table of the store: reads a snapshot, then watches for changes.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use cuminramp_fleet::HeartbeatSchedule;
use cuminramp_platform::{RowChange, StoreError, TableSnapshot, WatchResponse};
use tokio::time::Instant;

use crate::state::{GatewayState, lock};

/// Time that one watch waits for changes. A connection that fell silent is detected only when the wait
/// is over, and changes have to be in force within two seconds, or a few seconds more after an
/// outage.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Time that one watch waits after a failed call. While the store is unreachable, each attempt hangs for the
/// whole wait, and a long one would delay the recovery.
const OUTAGE_WATCH_WAIT: Duration = Duration::from_millis(200);
/// Initial and maximum delay before the next call after a failed one.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Applies the rows of one table.
#[async_trait]
pub(crate) trait TableFollower: Send + Sync {
    /// Returns the name of the table.
    fn table(&self) -> &'static str;

    /// Returns the pause between two watches. It bounds the number of calls for a table that changes all
    /// the time.
    fn pause(&self, schedule: &HeartbeatSchedule) -> Duration;

    /// Applies a full snapshot of the table.
    async fn apply_snapshot(&self, state: &Arc<GatewayState>, snapshot: TableSnapshot);

    /// Applies changes up to `version`.
    async fn apply_changes(&self, state: &Arc<GatewayState>, changes: Vec<RowChange>, version: u64);
}

/// Reads a table and follows its changes. Runs until its task is cancelled.
pub(crate) async fn follow_table(state: Arc<GatewayState>, follower: impl TableFollower) {
    let mut retry_delay = RETRY_DELAYS.0;
    let mut is_unreachable = false;
    let mut version = None;
    loop {
        let started_at = Instant::now();
        let outcome = match version {
            None => read_snapshot(&state, &follower).await.map(Some),
            Some(after) => {
                let wait = if is_unreachable { OUTAGE_WATCH_WAIT } else { WATCH_WAIT };
                watch_once(&state, &follower, after, wait).await
            }
        };
        match outcome {
            Ok(next) => {
                lock(&state.updates).record_store_success(Instant::now());
                if is_unreachable {
                    log::info!(table = follower.table(), version = next.unwrap_or(0); "store-regained");
                }
                is_unreachable = false;
                version = next;
                retry_delay = RETRY_DELAYS.0;
                let schedule = lock(&state.peers).schedule();
                tokio::time::sleep(follower.pause(&schedule)).await;
            }
            Err(error) => {
                state.metrics.count_store_failure("watch");
                lock(&state.updates).record_store_failure(started_at);
                if !is_unreachable {
                    let reason = error.to_string();
                    log::warn!(
                        table = follower.table(), version = version.unwrap_or(0),
                        reason = reason.as_str();
                        "store-lost"
                    );
                }
                is_unreachable = true;
                tokio::time::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(RETRY_DELAYS.1);
            }
        }
    }
}

/// Reads and applies a full snapshot and returns its version.
async fn read_snapshot(
    state: &Arc<GatewayState>,
    follower: &impl TableFollower,
) -> Result<u64, StoreError> {
    let started_at = Instant::now();
    let snapshot = state.store.snapshot(follower.table()).await?;
    let version = snapshot.version;
    log::info!(
        table = follower.table(), version = version, rows = snapshot.rows.len(),
        took_ms = started_at.elapsed().as_millis() as u64;
        "table-read"
    );
    follower.apply_snapshot(state, snapshot).await;
    Ok(version)
}

/// Waits for changes after version `after`, applies them and returns the new version.
///
/// Returns `None` if the store no longer has the history since `after`; the table has to be read in full
/// again.
async fn watch_once(
    state: &Arc<GatewayState>,
    follower: &impl TableFollower,
    after: u64,
    wait: Duration,
) -> Result<Option<u64>, StoreError> {
    match state.store.watch(follower.table(), after, wait).await? {
        WatchResponse::HistoryLost => {
            log::warn!(table = follower.table(), version = after; "history-lost");
            Ok(None)
        }
        WatchResponse::Changes { changes, version } => {
            if !changes.is_empty() {
                follower.apply_changes(state, changes, version).await;
            }
            Ok(Some(version.max(after)))
        }
    }
}
