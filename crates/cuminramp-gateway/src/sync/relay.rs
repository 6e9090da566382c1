//! Calls the store directly, or through another host.
//!
//! The store may reject a single host, or be unreachable from it, while it serves the others. Without
//! the relay, jobs that the host holds could not be listed, ended or read during that time, and their
//! results would come late although every item was done. A host that reaches the store makes the call
//! instead.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminramp_platform::{
    CommitOutcome, Condition, ObjectStore, Row, RowChange, StoreError, TableSnapshot, TableStore,
    Transaction, Version, WatchResponse, WatchedTable,
};
use cuminramp_wire::fleet::store_call::Call;
use cuminramp_wire::fleet::{
    CommitCall, GetCall, NewsRow, PutCall, ReadCall, RowCondition, ScanCall, SnapshotCall,
    StoreCall, StoreReply, StoreRow, WatchCall,
};
use tokio::time::Instant;

use super::hosts::key_of;
use crate::interfaces::FleetStore;
use crate::state::{GatewayState, lock};

/// Timeout of a call through another host: that host's own limit for an object call, plus the network
/// round trip.
const RELAY_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time that a relayed watch may take beyond its own wait.
const WATCH_MARGIN: Duration = Duration::from_millis(1_000);
/// Interval between two attempts to reach the store again.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Calls the store directly, or through another host while the store does not answer this one.
pub(crate) struct RelayedStore {
    direct: Arc<dyn FleetStore>,
    state: OnceLock<Weak<GatewayState>>,
    /// Whether a direct call has failed; [`probe`] clears it when the store answers again.
    is_unreachable: AtomicBool,
}

impl RelayedStore {
    /// Creates a store that calls `direct` and cannot relay until [`attach`](Self::attach) is called.
    pub(crate) fn new(direct: Arc<dyn FleetStore>) -> Self {
        RelayedStore { direct, state: OnceLock::new(), is_unreachable: AtomicBool::new(false) }
    }

    /// Sets the gateway state, which holds the other hosts and the connections to them.
    pub(crate) fn attach(&self, state: &Arc<GatewayState>) {
        // Called once, right after the state is created, so it is never set already.
        let _ = self.state.set(Arc::downgrade(state));
    }

    /// Returns whether the store answers this host, as of the last direct call.
    pub(crate) fn is_reachable(&self) -> bool {
        !self.is_unreachable.load(Ordering::Relaxed)
    }

    /// Makes a small read and returns whether the store answers this host within `timeout`.
    pub(crate) async fn check_within(&self, timeout: Duration) -> bool {
        let Some(state) = self.state() else { return false };
        let key = host_key(&state);
        let reading = self.direct.read(std::slice::from_ref(&key));
        match tokio::time::timeout(timeout, reading).await {
            Ok(Ok(_)) => true,
            Ok(Err(error)) => {
                self.record_failure(&error);
                false
            }
            Err(_) => {
                let reason = format!("no answer within {} ms", timeout.as_millis());
                self.record_failure(&StoreError::Unknown(reason));
                false
            }
        }
    }

    fn state(&self) -> Option<Arc<GatewayState>> {
        self.state.get()?.upgrade()
    }

    /// Records a failed direct call and starts probing the store, unless it is already being probed.
    fn record_failure(&self, error: &StoreError) {
        if self.is_unreachable.swap(true, Ordering::Relaxed) {
            return;
        }
        let Some(state) = self.state() else { return };
        log::warn!(reason = error.to_string().as_str(); "store-out-of-reach");
        state.request_heartbeat();
        tokio::spawn(probe(state));
    }

    /// Makes a call through another host. Returns `None` if no live host reaches the store.
    async fn relay(&self, call: Call, timeout: Duration) -> Option<Result<StoreReply, StoreError>> {
        let state = self.state()?;
        let spread = state.random_below(usize::MAX >> 1);
        let peer = lock(&state.peers).store_relay(spread, Instant::now())?;
        let call = StoreCall { call: Some(call) };
        let reply = match state.peer_clients.call_store(&peer, call, timeout).await {
            Some(reply) => reply,
            None => return Some(Err(StoreError::Unknown(format!("{peer} did not reply")))),
        };
        Some(check_reply(reply))
    }

    /// Commits through another host. Returns `None` if no live host reaches the store.
    pub(crate) async fn commit_elsewhere(
        &self,
        transaction: Transaction,
    ) -> Option<Result<CommitOutcome, StoreError>> {
        let outcome = self.relay(commit_call(&transaction), RELAY_TIMEOUT).await?;
        Some(outcome.map(|reply| match reply.conflicts.is_empty() {
            true => CommitOutcome::Committed(reply.version),
            false => CommitOutcome::Conflict(reply.conflicts),
        }))
    }

    /// Makes a call that is safe to repeat: directly, then through another host if that fails.
    ///
    /// While the store is unreachable, the order is reversed: the direct call is made only if no other host
    /// reaches the store.
    async fn call<T>(
        &self,
        direct: impl Future<Output = Result<T, StoreError>>,
        call: Call,
        timeout: Duration,
        read: impl FnOnce(StoreReply) -> T,
    ) -> Result<T, StoreError> {
        if self.is_reachable() {
            match direct.await {
                Ok(value) => return Ok(value),
                Err(error) => {
                    self.record_failure(&error);
                    return match self.relay(call, timeout).await {
                        Some(outcome) => outcome.map(read),
                        None => Err(error),
                    };
                }
            }
        }
        match self.relay(call, timeout).await {
            Some(outcome) => outcome.map(read),
            None => direct.await,
        }
    }
}

/// Returns the relayed call for a commit.
fn commit_call(transaction: &Transaction) -> Call {
    let conditions = transaction.conditions.iter();
    Call::Commit(CommitCall {
        conditions: conditions
            .map(|condition| RowCondition {
                key: condition.key.clone(),
                version: condition.version,
            })
            .collect(),
        puts: transaction
            .puts
            .iter()
            .map(|(key, value)| NewsRow { key: key.clone(), value: value.to_vec(), version: 0 })
            .collect(),
        deletes: transaction.deletes.clone(),
    })
}

/// Returns the key of this host's own row, which is small and thus a cheap read to probe the store with.
fn host_key(state: &GatewayState) -> String {
    key_of(&state.known_host())
}

/// Retries a small read until the store answers or the gateway stops.
async fn probe(state: Arc<GatewayState>) {
    let key = host_key(&state);
    let started_at = Instant::now();
    while state.direct_store.read(std::slice::from_ref(&key)).await.is_err() {
        tokio::select! {
            () = tokio::time::sleep(PROBE_INTERVAL) => {}
            () = state.stop.cancelled() => return,
        }
    }
    state.relayed_store.is_unreachable.store(false, Ordering::Relaxed);
    log::info!(after_ms = started_at.elapsed().as_millis() as u64; "store-in-reach");
    state.request_heartbeat();
}

/// Converts a row of the store to a wire row.
pub(super) fn pack(row: &Row) -> StoreRow {
    let row = NewsRow { key: row.key.clone(), value: row.value.to_vec(), version: row.version };
    StoreRow { row: Some(row), is_absent: false }
}

/// Converts a wire row to a row of the store.
fn unpack(row: NewsRow) -> Row {
    Row { key: row.key, value: Bytes::from(row.value), version: row.version }
}

/// Returns the rows of a reply, without the absent ones.
fn present_rows(reply: StoreReply) -> Vec<Row> {
    reply.rows.into_iter().filter_map(|row| row.row).map(unpack).collect()
}

#[async_trait]
impl TableStore for RelayedStore {
    async fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, StoreError> {
        let call = Call::Read(ReadCall { keys: keys.to_vec() });
        let count = keys.len();
        let rows = self.call(self.direct.read(keys), call, RELAY_TIMEOUT, |reply| {
            let rows = reply.rows.into_iter();
            rows.map(|row| row.row.filter(|_| !row.is_absent).map(unpack)).collect::<Vec<_>>()
        });
        let rows = rows.await?;
        match rows.len() == count {
            true => Ok(rows),
            false => Err(StoreError::Unknown("the reply has a wrong number of rows".into())),
        }
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        let call = Call::Scan(ScanCall {
            prefix: prefix.into(),
            after: after.into(),
            limit: limit as u64,
        });
        self.call(self.direct.scan(prefix, after, limit), call, RELAY_TIMEOUT, present_rows).await
    }

    /// Commits directly, and through another host only if the direct commit certainly had no effect. If its
    /// outcome is unknown, the caller has to read the rows back first.
    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, StoreError> {
        if self.is_reachable() {
            match self.direct.commit(transaction.clone()).await {
                Ok(outcome) => return Ok(outcome),
                Err(error @ StoreError::Unknown(_)) => {
                    self.record_failure(&error);
                    return Err(error);
                }
                Err(error) => self.record_failure(&error),
            }
        }
        match self.commit_elsewhere(transaction.clone()).await {
            Some(outcome) => outcome,
            None => self.direct.commit(transaction).await,
        }
    }
}

#[async_trait]
impl WatchedTable for RelayedStore {
    async fn snapshot(&self, table: &str) -> Result<TableSnapshot, StoreError> {
        let call = Call::Snapshot(SnapshotCall { table: table.into() });
        self.call(self.direct.snapshot(table), call, RELAY_TIMEOUT, read_snapshot_reply).await
    }

    async fn watch(
        &self,
        table: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchResponse, StoreError> {
        let call =
            Call::Watch(WatchCall { table: table.into(), after, wait_ms: wait.as_millis() as u64 });
        let timeout = wait + WATCH_MARGIN;
        self.call(self.direct.watch(table, after, wait), call, timeout, read_watch_reply).await
    }
}

#[async_trait]
impl ObjectStore for RelayedStore {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), StoreError> {
        let call = Call::Put(PutCall { name: name.into(), body: body.to_vec() });
        self.call(self.direct.put(name, body), call, RELAY_TIMEOUT, |_| ()).await
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        let call = Call::Get(GetCall { name: name.into() });
        let read = |reply: StoreReply| reply.has_object.then(|| Bytes::from(reply.object));
        self.call(self.direct.get(name), call, RELAY_TIMEOUT, read).await
    }

    /// Reads directly only: there is no relayed call for parts of an object.
    async fn get_range(
        &self,
        name: &str,
        start: u64,
        end: u64,
    ) -> Result<Option<Bytes>, StoreError> {
        self.direct.get_range(name, start, end).await
    }

    /// Deletes directly only: there is no relayed call for it.
    async fn delete(&self, name: &str) -> Result<(), StoreError> {
        self.direct.delete(name).await
    }
}

/// Makes a direct store call on behalf of another host.
pub(crate) async fn answer_store_call(state: &GatewayState, call: StoreCall) -> StoreReply {
    let outcome = match call.call {
        Some(call) => execute_call(&*state.direct_store, call).await,
        None => Err(StoreError::Unavailable("the call has no known type".into())),
    };
    outcome.unwrap_or_else(|error| failed_reply(&error))
}

/// Returns the reply for a call that failed.
pub(super) fn failed_reply(error: &StoreError) -> StoreReply {
    StoreReply {
        is_failed: true,
        is_not_done: matches!(error, StoreError::Unavailable(_)),
        reason: error.to_string(),
        ..StoreReply::default()
    }
}

/// Returns the outcome of a call that another host answered.
pub(super) fn check_reply(reply: StoreReply) -> Result<StoreReply, StoreError> {
    match (reply.is_failed, reply.is_not_done) {
        (false, _) => Ok(reply),
        (true, true) => Err(StoreError::Unavailable(reply.reason)),
        (true, false) => Err(StoreError::Unknown(reply.reason)),
    }
}

/// Reads the reply to a snapshot.
pub(super) fn read_snapshot_reply(reply: StoreReply) -> TableSnapshot {
    let version = reply.version;
    TableSnapshot { rows: present_rows(reply), version }
}

/// Reads the reply to a watch.
pub(super) fn read_watch_reply(reply: StoreReply) -> WatchResponse {
    if reply.is_history_lost {
        return WatchResponse::HistoryLost;
    }
    let version = reply.version;
    // A deleted row is sent with its key and marked as absent.
    let changes = reply
        .rows
        .into_iter()
        .filter_map(|row| Some(RowChange { row: unpack(row.row?), is_deleted: row.is_absent }));
    WatchResponse::Changes { changes: changes.collect(), version }
}

async fn execute_call(store: &dyn FleetStore, call: Call) -> Result<StoreReply, StoreError> {
    let mut reply = StoreReply::default();
    match call {
        Call::Read(call) => {
            let rows = store.read(&call.keys).await?;
            let absent = || StoreRow { row: None, is_absent: true };
            reply.rows = rows.iter().map(|row| row.as_ref().map_or_else(absent, pack)).collect();
        }
        Call::Scan(call) => {
            let rows = store.scan(&call.prefix, &call.after, call.limit as usize).await?;
            reply.rows = rows.iter().map(pack).collect();
        }
        Call::Commit(call) => match store.commit(into_transaction(call)).await? {
            CommitOutcome::Committed(version) => reply.version = version,
            CommitOutcome::Conflict(keys) => reply.conflicts = keys,
        },
        Call::Watch(call) => {
            let wait = Duration::from_millis(call.wait_ms);
            match store.watch(&call.table, call.after, wait).await? {
                WatchResponse::HistoryLost => reply.is_history_lost = true,
                WatchResponse::Changes { changes, version } => {
                    reply.version = version;
                    let rows = changes.iter().map(|change| StoreRow {
                        is_absent: change.is_deleted,
                        ..pack(&change.row)
                    });
                    reply.rows = rows.collect();
                }
            }
        }
        Call::Snapshot(call) => {
            let snapshot = store.snapshot(&call.table).await?;
            reply.version = snapshot.version;
            reply.rows = snapshot.rows.iter().map(pack).collect();
        }
        Call::Put(call) => store.put(&call.name, Bytes::from(call.body)).await?,
        Call::Get(call) => {
            let object = ObjectStore::get(store, &call.name).await?;
            reply.has_object = object.is_some();
            reply.object = object.unwrap_or_default().to_vec();
        }
    }
    Ok(reply)
}

fn into_transaction(call: CommitCall) -> Transaction {
    let conditions = call.conditions.into_iter();
    Transaction {
        conditions: conditions
            .map(|condition| Condition { key: condition.key, version: condition.version })
            .collect(),
        puts: call.puts.into_iter().map(|row| (row.key, Bytes::from(row.value))).collect(),
        deletes: call.deletes,
    }
}
