//! Copies of the followed tables, from which other hosts follow them in turn.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cuminramp_core::SortedMap;
use cuminramp_fleet::{ChangedRow, KnownRow, TableMirror};
use cuminramp_platform::{Row, RowChange, StoreError, TableSnapshot};
use cuminramp_wire::fleet::store_call::Call;
use cuminramp_wire::fleet::{SnapshotCall, StoreCall, StoreReply, StoreRow, WatchCall};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, timeout_at};

use super::relay::pack;
use crate::state::{GatewayState, lock};

/// Maximum number of full tables that are sent at the same time. A table of a large fleet has megabytes, and
/// more at once would all arrive late.
const MAX_SNAPSHOTS: usize = 2;

/// Copy of one table, with a notification of its changes.
#[derive(Debug)]
struct FollowedTable {
    mirror: Mutex<TableMirror>,
    changed: watch::Sender<u64>,
}

/// Copies of all followed tables, by name.
#[derive(Debug)]
pub(crate) struct TableMirrors {
    tables: Mutex<SortedMap<String, Arc<FollowedTable>>>,
    snapshot_permits: Semaphore,
}

impl Default for TableMirrors {
    fn default() -> Self {
        TableMirrors { tables: Mutex::default(), snapshot_permits: Semaphore::new(MAX_SNAPSHOTS) }
    }
}

impl TableMirrors {
    fn table(&self, name: &str) -> Arc<FollowedTable> {
        let mut tables = lock(&self.tables);
        let table = tables.get_or_insert_with(name.to_owned(), || {
            let changed = watch::Sender::new(0);
            Arc::new(FollowedTable { mirror: Mutex::default(), changed })
        });
        table.clone()
    }

    /// Records a full snapshot of a table.
    pub(super) fn record_snapshot(&self, name: &str, snapshot: &TableSnapshot) {
        let table = self.table(name);
        let rows = snapshot.rows.iter().cloned().map(into_known).collect();
        lock(&table.mirror).apply_snapshot(rows, snapshot.version);
        table.changed.send_replace(snapshot.version);
    }

    /// Records changes of a table up to `version`.
    pub(super) fn record_changes(&self, name: &str, changes: &[RowChange], version: u64) {
        let table = self.table(name);
        let changes = changes.iter().cloned().map(into_changed).collect();
        lock(&table.mirror).apply_changes(changes, version);
        table.changed.send_replace(version);
    }
}

/// Converts a row of the store to a row of a cache.
pub(super) fn into_known(row: Row) -> KnownRow {
    KnownRow { key: row.key, value: row.value, version: row.version }
}

/// Converts a change in the store to a change of a cache.
pub(super) fn into_changed(change: RowChange) -> ChangedRow {
    ChangedRow { row: into_known(change.row), is_deleted: change.is_deleted }
}

fn pack_change(change: &ChangedRow) -> StoreRow {
    let row = Row {
        key: change.row.key.clone(),
        value: change.row.value.clone(),
        version: change.row.version,
    };
    StoreRow { is_absent: change.is_deleted, ..pack(&row) }
}

/// Answers a snapshot or a watch of another host from the copies of this one.
pub(crate) async fn answer_follow(state: &GatewayState, call: StoreCall) -> StoreReply {
    let answered = match call.call {
        Some(Call::Snapshot(call)) => answer_snapshot(&state.mirrors, &call).await,
        Some(Call::Watch(call)) => answer_watch(&state.mirrors, &call).await,
        _ => Err(StoreError::Unavailable("the call follows no table".into())),
    };
    answered.unwrap_or_else(|error| super::relay::failed_reply(&error))
}

async fn answer_snapshot(
    mirrors: &TableMirrors,
    call: &SnapshotCall,
) -> Result<StoreReply, StoreError> {
    let table = mirrors.table(&call.table);
    let mut changes = table.changed.subscribe();
    // A host that is itself still reading the table answers when it has done so.
    while lock(&table.mirror).version() == 0 {
        let changed = changes.changed().await;
        changed.map_err(|error| StoreError::Unavailable(error.to_string()))?;
    }
    let permit = mirrors.snapshot_permits.acquire().await;
    let _permit = permit.map_err(|error| StoreError::Unavailable(error.to_string()))?;
    let mirror = lock(&table.mirror);
    let rows = mirror.rows().map(|row| ChangedRow { row: row.clone(), is_deleted: false });
    Ok(StoreReply {
        rows: rows.map(|row| pack_change(&row)).collect(),
        version: mirror.version(),
        ..StoreReply::default()
    })
}

async fn answer_watch(mirrors: &TableMirrors, call: &WatchCall) -> Result<StoreReply, StoreError> {
    let table = mirrors.table(&call.table);
    let until = Instant::now() + Duration::from_millis(call.wait_ms);
    let mut changed = table.changed.subscribe();
    loop {
        let reply = {
            let mirror = lock(&table.mirror);
            match mirror.changes_after(call.after) {
                Some(changes) => StoreReply {
                    rows: changes.iter().map(pack_change).collect(),
                    version: mirror.version(),
                    ..StoreReply::default()
                },
                None if mirror.version() == 0 => StoreReply::default(),
                None => StoreReply { is_history_lost: true, ..StoreReply::default() },
            }
        };
        let has_content = reply.is_history_lost || !reply.rows.is_empty();
        if has_content || !matches!(timeout_at(until, changed.changed()).await, Ok(Ok(()))) {
            return Ok(reply);
        }
    }
}
