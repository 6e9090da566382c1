//! Follows one table of the store.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use cuminramp_fleet::HeartbeatSchedule;
use cuminramp_platform::{RowChange, StoreError, TableSnapshot, WatchAnswer};
use tokio::time::Instant;

use crate::state::{GatewayState, lock};

/// How long one watch waits. A watch whose connection fell silent is found out only when this is
/// over, and changes have to be in force within two seconds or a few more after an outage.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// How long it waits while the store is lost: as long as it stays away, each try hangs.
const LOST_WAIT: Duration = Duration::from_millis(200);
/// First and longest pause after a call that failed.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// What is done with a table's rows.
#[async_trait]
pub(crate) trait TableFollower: Send + Sync {
    /// The table.
    fn table(&self) -> &'static str;

    /// Pause between two watches, so that a table that changes all the time costs few calls.
    fn pause(&self, schedule: &HeartbeatSchedule) -> Duration;

    /// Takes the whole table.
    async fn reset(&self, state: &Arc<GatewayState>, snapshot: TableSnapshot);

    /// Takes changes.
    async fn change(&self, state: &Arc<GatewayState>, changes: Vec<RowChange>, version: u64);
}

/// Reads a table and follows its changes until the gateway stops.
pub(crate) async fn follow_table(state: Arc<GatewayState>, follower: impl TableFollower) {
    let mut pause = PAUSES.0;
    let mut is_lost = false;
    let mut version = None;
    loop {
        let asked = Instant::now();
        let outcome = match version {
            None => read_whole(&state, &follower).await.map(Some),
            Some(after) => {
                let wait = if is_lost { LOST_WAIT } else { WATCH_WAIT };
                watch_once(&state, &follower, after, wait).await
            }
        };
        match outcome {
            Ok(next) => {
                lock(&state.updates).note_store_success(Instant::now());
                if is_lost {
                    log::info!(table = follower.table(), version = next.unwrap_or(0); "store-regained");
                }
                is_lost = false;
                version = next;
                pause = PAUSES.0;
                let schedule = lock(&state.peers).schedule();
                tokio::time::sleep(follower.pause(&schedule)).await;
            }
            Err(error) => {
                state.metrics.count_store_failure("watch");
                lock(&state.updates).note_store_failure(asked);
                if !is_lost {
                    let reason = error.to_string();
                    log::warn!(
                        table = follower.table(), version = version.unwrap_or(0),
                        reason = reason.as_str();
                        "store-lost"
                    );
                }
                is_lost = true;
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(PAUSES.1);
            }
        }
    }
}

async fn read_whole(
    state: &Arc<GatewayState>,
    follower: &impl TableFollower,
) -> Result<u64, StoreError> {
    let asked = Instant::now();
    let snapshot = state.store.snapshot(follower.table()).await?;
    let version = snapshot.version;
    log::info!(
        table = follower.table(), version = version, rows = snapshot.rows.len(),
        took_ms = asked.elapsed().as_millis() as u64;
        "table-read"
    );
    follower.reset(state, snapshot).await;
    Ok(version)
}

/// `None` where the history is lost and the table has to be read anew.
async fn watch_once(
    state: &Arc<GatewayState>,
    follower: &impl TableFollower,
    after: u64,
    wait: Duration,
) -> Result<Option<u64>, StoreError> {
    match state.store.watch(follower.table(), after, wait).await? {
        WatchAnswer::HistoryLost => {
            log::warn!(table = follower.table(), version = after; "history-lost");
            Ok(None)
        }
        WatchAnswer::Changes { changes, version } => {
            if !changes.is_empty() {
                follower.change(state, changes, version).await;
            }
            Ok(Some(version.max(after)))
        }
    }
}
