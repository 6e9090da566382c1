//! Declarations and targets, from the store or from hosts that reach it.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminramp_core::{Name, SortedMap};
use cuminramp_fleet::{ChangedRow, HeartbeatSchedule, KnownRow, RowAction, RowCache};
use cuminramp_platform::{Row, RowChange, TableSnapshot};
use cuminramp_wire::fleet::{NewsReply, NewsRequest, NewsRow};
use tokio::time::Instant;

use super::drains::{take_drain_changes, take_drain_rows};
use super::follow::TableFollower;
use crate::state::{GatewayState, lock};

/// How long the store has the first word before other hosts are asked for what it should have said.
const STORE_FIRST: Duration = Duration::from_millis(150);

/// Pause between two watches of declarations.
const DECLARATIONS_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two watches of targets, and the longest one: a target that leaves gets nothing new
/// within two seconds.
const TARGETS_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_TARGETS_PAUSE: Duration = Duration::from_millis(250);

/// An outage of this length may make entries run out: targets renew theirs about every 1.2 s and
/// lose them after three missed renewals.
const LONG_OUTAGE: Duration = Duration::from_millis(1_500);
/// Entries that ran out are back so long after the outage.
const RETURN_LIMIT: Duration = Duration::from_millis(2_000);

/// Rows of declarations and targets as this host knows them, to apply and to pass on.
#[derive(Debug, Default)]
pub(crate) struct UpdateRows {
    declarations: SortedMap<String, Row>,
    targets: RowCache,
    /// Since when calls of the store have failed.
    lost_since: Option<Instant>,
    /// When the last long outage ended.
    outage_ended: Option<Instant>,
}

impl UpdateRows {
    /// Version up to which targets are known.
    pub(crate) fn targets_version(&self) -> u64 {
        self.targets.version()
    }

    /// A call that was begun at `asked` failed.
    pub(crate) fn note_store_failure(&mut self, asked: Instant) {
        self.lost_since.get_or_insert(asked);
    }

    /// A call succeeded.
    pub(crate) fn note_store_success(&mut self, now: Instant) {
        let Some(since) = self.lost_since.take() else { return };
        if now.duration_since(since) >= LONG_OUTAGE {
            self.outage_ended = Some(now);
        }
    }

    /// Whether entries may have run out although their targets live.
    fn is_store_shaky(&self, now: Instant) -> bool {
        let ended_lately =
            self.outage_ended.is_some_and(|at| now.duration_since(at) < RETURN_LIMIT);
        ended_lately
            || self.lost_since.is_some_and(|since| now.duration_since(since) >= LONG_OUTAGE)
    }
}

/// Applies declarations.
pub(crate) struct DeclarationsFollower {
    pub(crate) table: &'static str,
}

/// Applies targets.
pub(crate) struct TargetsFollower {
    pub(crate) table: &'static str,
}

#[async_trait]
impl TableFollower for DeclarationsFollower {
    fn table(&self) -> &'static str {
        self.table
    }

    fn pause(&self, _: &HeartbeatSchedule) -> Duration {
        DECLARATIONS_PAUSE
    }

    /// Drains come first: once declarations are in force, requests are sent.
    async fn reset(&self, state: &Arc<GatewayState>, snapshot: TableSnapshot) {
        take_drain_rows(state, &snapshot);
        for row in snapshot.rows {
            apply_declarations(state, row, "store");
        }
    }

    async fn change(&self, state: &Arc<GatewayState>, changes: Vec<RowChange>, _version: u64) {
        take_drain_changes(state, &changes);
        for change in changes.into_iter().filter(|change| !change.is_deleted) {
            apply_declarations(state, change.row, "store");
        }
    }
}

/// Puts declarations in force if they are later than those that are.
fn apply_declarations(state: &Arc<GatewayState>, row: Row, source: &str) {
    let declared = match state.fleet.read_declarations(&row) {
        Ok(Some(declared)) => declared,
        Ok(None) => return,
        Err(error) => {
            let reason = error.to_string();
            log::warn!(
                key = row.key.as_str(), version = row.version, reason = reason.as_str();
                "declarations-unreadable"
            );
            return;
        }
    };
    let is_taken = lock(&state.declarations).offer(declared.clone());
    if !is_taken {
        return;
    }
    lock(&state.quota).set_limits(&declared, Instant::now());
    lock(&state.placement).set_cold_rules(declared.cold_rules());
    log::info!(
        version = declared.version(), row_version = row.version, source = source;
        "declarations-in-force"
    );
    lock(&state.updates).declarations.insert(row.key.clone(), row);
    state.request_heartbeat();
    state.items_wanted.notify_one();
}

#[async_trait]
impl TableFollower for TargetsFollower {
    fn table(&self) -> &'static str {
        self.table
    }

    fn pause(&self, schedule: &HeartbeatSchedule) -> Duration {
        schedule.scale(TARGETS_PAUSE, LONGEST_TARGETS_PAUSE)
    }

    async fn reset(&self, state: &Arc<GatewayState>, snapshot: TableSnapshot) {
        let rows = snapshot.rows.into_iter().map(into_known).collect();
        let mut updates = lock(&state.updates);
        let actions = updates.targets.apply_snapshot(rows, snapshot.version, Instant::now());
        drop(updates);
        apply_actions(state, actions, "store");
    }

    async fn change(&self, state: &Arc<GatewayState>, changes: Vec<RowChange>, version: u64) {
        let now = Instant::now();
        let changes = changes.into_iter().map(|change| ChangedRow {
            row: into_known(change.row),
            is_deleted: change.is_deleted,
        });
        let changes = changes.collect();
        let mut updates = lock(&state.updates);
        let is_shaky = updates.is_store_shaky(now);
        let actions = updates.targets.apply_changes(changes, version, is_shaky, now);
        drop(updates);
        apply_actions(state, actions, "store");
        state.items_wanted.notify_one();
    }
}

fn into_known(row: Row) -> KnownRow {
    KnownRow { key: row.key, value: row.value, version: row.version }
}

fn apply_actions(state: &Arc<GatewayState>, actions: Vec<RowAction>, source: &str) {
    for action in actions {
        match action {
            RowAction::Put(row) => put_target(state, row, source),
            RowAction::Remove { key, version } => remove_target(state, &key, version, source),
        }
    }
}

fn put_target(state: &Arc<GatewayState>, row: KnownRow, source: &str) {
    let row = Row { key: row.key, value: row.value, version: row.version };
    match state.fleet.read_target(&row) {
        Ok(target) => {
            let phase = format!("{:?}", target.phase);
            log::info!(
                target_id = &*target.id, phase = phase.as_str(), address = &*target.address,
                zone = &*target.zone, cold_ms = target.cold_for.as_millis() as u64,
                row_version = row.version, source = source;
                "target-known"
            );
            lock(&state.placement).put(target);
        }
        Err(error) => {
            let reason = error.to_string();
            log::warn!(
                key = row.key.as_str(), row_version = row.version, reason = reason.as_str();
                "target-unreadable"
            );
            if let Some(id) = state.fleet.target_id(&row.key) {
                lock(&state.placement).remove(&id);
            }
        }
    }
}

fn remove_target(state: &Arc<GatewayState>, key: &str, version: u64, source: &str) {
    let Some(id) = state.fleet.target_id(key) else { return };
    log::info!(target_id = &*id, row_version = version, source = source; "target-gone");
    lock(&state.placement).remove(&id);
}

/// Takes targets out that seemed gone and did not come back in time.
pub(crate) fn drop_missing_targets(state: &Arc<GatewayState>, now: Instant) {
    let actions = lock(&state.updates).targets.take_due(now);
    apply_actions(state, actions, "missing-from-store");
}

/// What another host lacks.
pub(crate) fn answer_updates(state: &GatewayState, request: &NewsRequest) -> NewsReply {
    let declared = lock(&state.declarations).current().map_or(0, |held| held.version());
    let updates = lock(&state.updates);
    let version = updates.targets_version();
    let pack = |key: &str, value: &Bytes, version| NewsRow {
        key: key.to_owned(),
        value: value.to_vec(),
        version,
    };
    let declarations =
        updates.declarations.values().map(|row| pack(&row.key, &row.value, row.version));
    let targets = updates.targets.rows().map(|row| pack(&row.key, &row.value, row.version));
    NewsReply {
        declarations: declared,
        declaration_rows: declarations.filter(|_| declared > request.declarations).collect(),
        targets: version,
        target_rows: targets.filter(|_| version > request.targets).collect(),
        age_ms: 0,
    }
}

/// Asks another host whose heartbeats show a later version, when the store did not bring it first.
///
/// A host that can't reach the store would go on with keys that were taken away and send work to
/// targets that leave; one would see it in answers that other hosts no longer give.
pub(crate) async fn request_updates(state: Arc<GatewayState>, address: Name) {
    tokio::time::sleep(STORE_FIRST).await;
    let declarations = lock(&state.declarations).current().map_or(0, |held| held.version());
    let targets = lock(&state.updates).targets_version();
    let is_behind =
        lock(&state.peers).get(&address).and_then(|peer| peer.heartbeat.as_ref()).is_some_and(
            |heartbeat| heartbeat.declarations > declarations || heartbeat.targets > targets,
        );
    if !is_behind {
        return;
    }
    let request = NewsRequest { declarations, targets };
    let Some(reply) = state.clients.ask_news(&address, request).await else {
        log::warn!(peer = &*address; "news-unanswered");
        return;
    };
    for row in reply.declaration_rows {
        let row = Row { key: row.key, value: Bytes::from(row.value), version: row.version };
        apply_declarations(&state, row, &address);
    }
    if reply.targets > targets {
        let rows = reply.target_rows.into_iter().map(|row| KnownRow {
            key: row.key,
            value: Bytes::from(row.value),
            version: row.version,
        });
        let actions = lock(&state.updates).targets.apply_updates(rows.collect(), reply.targets);
        apply_actions(&state, actions, &address);
    }
}
