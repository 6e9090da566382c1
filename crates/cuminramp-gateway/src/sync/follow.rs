//! Follows one table: reads a snapshot, then watches for changes.
//!
//! The source is the store, or in a large fleet mostly another host (see [`TableSource`]).

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use cuminramp_core::Name;
use cuminramp_fleet::{HeartbeatSchedule, StartView, TableSource};
use cuminramp_platform::{RowChange, StoreError, TableSnapshot, WatchResponse};
use cuminramp_wire::fleet::store_call::Call;
use cuminramp_wire::fleet::{SnapshotCall, StoreCall, StoreReply, WatchCall};
use tokio::time::Instant;

use super::relay::{check_reply, read_snapshot_reply, read_watch_reply};
use crate::state::{GatewayState, lock};

/// Time that one watch waits for changes. A connection that fell silent is detected only when the wait
/// is over, and changes have to be in force within two seconds, or a few seconds more after an
/// outage.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Time that one watch waits after a failed call. While the store is unreachable, each attempt hangs for the
/// whole wait, and a long one would delay the recovery.
const OUTAGE_WATCH_WAIT: Duration = Duration::from_millis(200);
/// Timeout of a full table from another host, which may still be reading it itself.
const HOST_SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(8);
/// Time that a watch at another host may take beyond its own wait.
const HOST_WATCH_MARGIN: Duration = Duration::from_millis(700);
/// Maximum pause between two watches at another host, whose changes add up to those of all hosts before it.
const MAX_HOST_PAUSE: Duration = Duration::from_millis(250);
/// Time for which a host that failed as a source is not used as one.
const SKIPPED_SOURCE_TTL: Duration = Duration::from_secs(5);
/// Number of hosts that failed in a row as sources after which the store is read.
const MAX_FAILED_SOURCES: u32 = 2;
/// Time after the first start of a fleet by which the hosts have found each other.
const FIRST_TABLE_DELAY: Duration = Duration::from_millis(1_000);
/// Interval between two checks of whether enough hosts are known.
const FLEET_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two checks of whether a table is needed.
const NEED_CHECK_INTERVAL: Duration = Duration::from_millis(50);

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

    /// Returns whether this host needs the table now.
    fn is_needed(&self, _: &GatewayState) -> bool {
        true
    }

    /// Returns whether each host that needs the table reads it from the store.
    fn is_read_from_store(&self) -> bool {
        false
    }

    /// Applies a full snapshot of the table.
    async fn apply_snapshot(&self, state: &Arc<GatewayState>, snapshot: TableSnapshot);

    /// Applies changes up to `version`.
    async fn apply_changes(&self, state: &Arc<GatewayState>, changes: Vec<RowChange>, version: u64);
}

/// Sources of a table that failed recently.
#[derive(Debug, Default)]
struct FailedSources {
    skipped: Vec<(Name, Instant)>,
    in_a_row: u32,
}

impl FailedSources {
    /// Returns the source to use now.
    fn select(&mut self, state: &GatewayState, table: &str) -> TableSource {
        let now = Instant::now();
        self.skipped.retain(|(_, until)| *until > now);
        if self.in_a_row >= MAX_FAILED_SOURCES {
            return TableSource::Store;
        }
        let skipped: Vec<Name> = self.skipped.iter().map(|(address, _)| address.clone()).collect();
        lock(&state.peers).table_source(table, &skipped, now)
    }

    fn record_failure(&mut self, source: &TableSource) {
        if let TableSource::Host(address) = source {
            self.skipped.push((address.clone(), Instant::now() + SKIPPED_SOURCE_TTL));
            self.in_a_row += 1;
        } else {
            self.in_a_row = 0;
        }
    }

    fn record_success(&mut self) {
        self.in_a_row = 0;
    }
}

/// Reads a table and follows its changes. Runs until its task is cancelled.
pub(crate) async fn follow_table(state: Arc<GatewayState>, follower: impl TableFollower) {
    wait_for_fleet(&state).await;
    let mut retry_delay = RETRY_DELAYS.0;
    let mut is_unreachable = false;
    let mut version = None;
    let mut failed_sources = FailedSources::default();
    loop {
        while !follower.is_needed(&state) {
            tokio::time::sleep(NEED_CHECK_INTERVAL).await;
        }
        let started_at = Instant::now();
        let source = match follower.is_read_from_store() {
            true => TableSource::Store,
            false => failed_sources.select(&state, follower.table()),
        };
        let outcome = match version {
            None => read_snapshot(&state, &follower, &source).await.map(Some),
            Some(after) => {
                let wait = if is_unreachable { OUTAGE_WATCH_WAIT } else { WATCH_WAIT };
                watch_once(&state, &follower, &source, after, wait).await
            }
        };
        match outcome {
            Ok(next) => {
                failed_sources.record_success();
                lock(&state.updates).record_success(&source, Instant::now());
                if is_unreachable {
                    log::info!(table = follower.table(), version = next.unwrap_or(0); "store-regained");
                }
                is_unreachable = false;
                version = next;
                retry_delay = RETRY_DELAYS.0;
                let schedule = lock(&state.peers).schedule();
                let pause = follower.pause(&schedule);
                let is_direct = source == TableSource::Store;
                let pause = if is_direct { pause } else { pause.min(MAX_HOST_PAUSE) };
                tokio::time::sleep(pause).await;
            }
            Err(error) if matches!(source, TableSource::Host(_)) => {
                failed_sources.record_failure(&source);
                log_failed_source(follower.table(), &source, &error);
            }
            Err(error) => {
                failed_sources.record_failure(&source);
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

fn log_failed_source(table: &str, source: &TableSource, error: &StoreError) {
    let TableSource::Host(address) = source else { return };
    let reason = error.to_string();
    log::warn!(table = table, peer = &**address, reason = reason.as_str(); "table-source-failed");
}

/// Waits until this host may read tables.
async fn wait_for_fleet(state: &GatewayState) {
    if state.settings.first_start {
        tokio::time::sleep(FIRST_TABLE_DELAY).await;
    }
    let mut fleet_size = state.is_small_fleet.subscribe();
    while !start_view(state).may_read_tables() {
        let _ = tokio::time::timeout(FLEET_CHECK_INTERVAL, fleet_size.changed()).await;
    }
}

fn start_view(state: &GatewayState) -> StartView {
    StartView {
        uptime: state.started_at.elapsed(),
        is_small_fleet: *state.is_small_fleet.borrow(),
        has_read_hosts: state.has_read_host_table.load(Ordering::Relaxed),
        knows_zone: lock(&state.peers).knows_zone(Instant::now()),
    }
}

/// Makes a call to another host that this one follows.
async fn call_source(
    state: &GatewayState,
    address: &Name,
    call: Call,
    timeout: Duration,
) -> Result<StoreReply, StoreError> {
    let call = StoreCall { call: Some(call) };
    match state.peer_clients.follow_table(address, call, timeout).await {
        Some(reply) => check_reply(reply),
        None => Err(StoreError::Unavailable(format!("{address} did not reply"))),
    }
}

/// Reads and applies a full snapshot and returns its version.
async fn read_snapshot(
    state: &Arc<GatewayState>,
    follower: &impl TableFollower,
    source: &TableSource,
) -> Result<u64, StoreError> {
    let started_at = Instant::now();
    let table = follower.table();
    let snapshot = match source {
        TableSource::Store => state.store.snapshot(table).await?,
        TableSource::Host(address) => {
            let call = Call::Snapshot(SnapshotCall { table: table.into() });
            let reply = call_source(state, address, call, HOST_SNAPSHOT_TIMEOUT).await?;
            read_snapshot_reply(reply)
        }
    };
    let version = snapshot.version;
    log::info!(
        table = table, version = version, rows = snapshot.rows.len(), source = name_of(source),
        took_ms = started_at.elapsed().as_millis() as u64;
        "table-read"
    );
    state.mirrors.record_snapshot(table, &snapshot);
    follower.apply_snapshot(state, snapshot).await;
    Ok(version)
}

/// Returns the source as it appears in the log.
fn name_of(source: &TableSource) -> &str {
    match source {
        TableSource::Store => "store",
        TableSource::Host(address) => address,
    }
}

/// Waits for changes after version `after`, applies them and returns the new version.
///
/// Returns `None` if the source no longer has the history since `after`; the table has to be read in full
/// again.
async fn watch_once(
    state: &Arc<GatewayState>,
    follower: &impl TableFollower,
    source: &TableSource,
    after: u64,
    wait: Duration,
) -> Result<Option<u64>, StoreError> {
    let table = follower.table();
    let response = match source {
        TableSource::Store => state.store.watch(table, after, wait).await?,
        TableSource::Host(address) => {
            let wait_ms = wait.as_millis() as u64;
            let call = Call::Watch(WatchCall { table: table.into(), after, wait_ms });
            let reply = call_source(state, address, call, wait + HOST_WATCH_MARGIN).await?;
            read_watch_reply(reply)
        }
    };
    match response {
        WatchResponse::HistoryLost => {
            log::warn!(table = table, version = after, source = name_of(source); "history-lost");
            Ok(None)
        }
        WatchResponse::Changes { changes, version } => {
            let version = version.max(after);
            state.mirrors.record_changes(table, &changes, version);
            if !changes.is_empty() {
                follower.apply_changes(state, changes, version).await;
            }
            Ok(Some(version))
        }
    }
}
