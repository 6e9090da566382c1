//! Applies declarations and targets that come from the store, or from other hosts while it is unreachable.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminramp_core::{Name, SortedMap};
use cuminramp_fleet::{
    FleetTarget, HeartbeatSchedule, HostHeartbeat, KnownRow, RowAction, RowCache, TableSource,
    name_hash,
};
use cuminramp_platform::{Row, RowChange, TableSnapshot};
use cuminramp_wire::fleet::{NewsReply, NewsRequest, NewsRow};
use tokio::time::Instant;

use super::drains::{apply_drain_changes, apply_drain_snapshot};
use super::follow::TableFollower;
use super::mirrors::{into_changed, into_known};
use crate::slots::stop_borrowing;
use crate::state::{GatewayState, lock};

/// Delay before updates are requested from another host. Within it, they usually arrive from the store.
const UPDATE_REQUEST_DELAY: Duration = Duration::from_millis(150);
/// The same delay in a large fleet, where updates come through up to four other hosts.
const FOLLOWED_UPDATE_REQUEST_DELAY: Duration = Duration::from_millis(1_000);

/// Pause between two watches of the declarations table.
const DECLARATIONS_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two watches of the targets table in a small fleet.
const TARGETS_PAUSE: Duration = Duration::from_millis(50);
/// Maximum pause between two watches of the targets table in a large fleet. A target that leaves must
/// stop receiving new work within two seconds.
const MAX_TARGETS_PAUSE: Duration = Duration::from_millis(250);

/// Minimum length of an outage after which entries of live targets may have expired. Targets renew their
/// entry about every 1.2 s and lose it after three missed renewals.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_millis(1_500);
/// Time after the end of an outage within which targets have renewed their expired entries.
const RENEWAL_WINDOW: Duration = Duration::from_millis(2_000);

/// Latest known rows of declarations and targets, kept to be applied here and sent to other hosts.
#[derive(Debug, Default)]
pub(crate) struct UpdateRows {
    declarations: SortedMap<String, Row>,
    targets: RowCache,
    /// Start of the first failed call of the current outage; `None` while calls succeed.
    outage_started: Option<Instant>,
    /// End of the last outage that was at least [`MIN_EXPIRY_OUTAGE`] long.
    outage_ended: Option<Instant>,
}

impl UpdateRows {
    /// Returns the version up to which targets are known.
    pub(crate) fn targets_version(&self) -> u64 {
        self.targets.version()
    }

    /// Records that a store call that started at `started_at` failed.
    pub(crate) fn record_store_failure(&mut self, started_at: Instant) {
        self.outage_started.get_or_insert(started_at);
    }

    /// Records that a call to a table's source succeeded, which ends an outage if the source is the store. Another
    /// host answers from its copy during an outage too.
    pub(crate) fn record_success(&mut self, source: &TableSource, now: Instant) {
        if *source != TableSource::Store {
            return;
        }
        let Some(since) = self.outage_started.take() else { return };
        if now.duration_since(since) >= MIN_EXPIRY_OUTAGE {
            self.outage_ended = Some(now);
        }
    }

    /// Returns whether entries may have expired although their targets are alive: during a long outage and
    /// for [`RENEWAL_WINDOW`] after it.
    fn may_have_expired_entries(&self, now: Instant) -> bool {
        let ended_recently =
            self.outage_ended.is_some_and(|at| now.duration_since(at) < RENEWAL_WINDOW);
        ended_recently
            || self
                .outage_started
                .is_some_and(|since| now.duration_since(since) >= MIN_EXPIRY_OUTAGE)
    }
}

/// Applies declarations and drains from the declarations table.
pub(crate) struct DeclarationsFollower {
    pub(crate) table: &'static str,
}

/// Applies targets from the targets table.
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

    /// Applies drains before declarations: once declarations are in force, requests are sent to targets.
    async fn apply_snapshot(&self, state: &Arc<GatewayState>, snapshot: TableSnapshot) {
        apply_drain_snapshot(state, &snapshot);
        for row in snapshot.rows {
            apply_declarations(state, row, "store");
        }
    }

    async fn apply_changes(
        &self,
        state: &Arc<GatewayState>,
        changes: Vec<RowChange>,
        _version: u64,
    ) {
        apply_drain_changes(state, &changes);
        for change in changes.into_iter().filter(|change| !change.is_deleted) {
            apply_declarations(state, change.row, "store");
        }
    }
}

/// Puts declarations into force if they are newer than the current ones.
fn apply_declarations(state: &Arc<GatewayState>, row: Row, source: &str) {
    let declared = match state.fleet_format.read_declarations(&row) {
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
    let is_applied = lock(&state.declarations).update(declared.clone());
    if !is_applied {
        return;
    }
    lock(&state.quota).set_limits(&declared, Instant::now());
    lock(&state.placement).set_cold_rules(declared.cold_rules());
    log::info!(
        version = declared.version(), row_version = row.version, source = source;
        "declarations-in-force"
    );
    lock(&state.updates).declarations.insert(row.key.clone(), row);
    state.has_declarations.send_replace(true);
    state.request_heartbeat();
    state.item_slots_requested.notify_one();
}

#[async_trait]
impl TableFollower for TargetsFollower {
    fn table(&self) -> &'static str {
        self.table
    }

    fn pause(&self, schedule: &HeartbeatSchedule) -> Duration {
        schedule.scale(TARGETS_PAUSE, MAX_TARGETS_PAUSE)
    }

    /// In a large fleet only hosts that may own groups need the targets. The others get those that they use from
    /// the owners.
    fn is_needed(&self, state: &GatewayState) -> bool {
        if !state.borrows_targets() {
            return true;
        }
        let Some(declared) = state.current_declarations() else { return false };
        let peers = lock(&state.peers);
        declared.pools().any(|pool| peers.is_owner_candidate(pool, Instant::now()))
    }

    /// The few hosts that need the targets are not those that other tables are followed through.
    fn is_read_from_store(&self) -> bool {
        true
    }

    async fn apply_snapshot(&self, state: &Arc<GatewayState>, snapshot: TableSnapshot) {
        let ids = snapshot.rows.iter().filter_map(|row| state.fleet_format.target_id(&row.key));
        let listed: Vec<Name> = ids.collect();
        let rows = snapshot.rows.into_iter().map(into_known).collect();
        let mut updates = lock(&state.updates);
        let actions = updates.targets.apply_snapshot(rows, snapshot.version, Instant::now());
        drop(updates);
        apply_actions(state, actions, "store");
        stop_borrowing(state, listed);
    }

    async fn apply_changes(
        &self,
        state: &Arc<GatewayState>,
        changes: Vec<RowChange>,
        version: u64,
    ) {
        let now = Instant::now();
        let changes = changes.into_iter().map(into_changed).collect();
        let mut updates = lock(&state.updates);
        let may_have_expired = updates.may_have_expired_entries(now);
        let actions = updates.targets.apply_changes(changes, version, may_have_expired, now);
        drop(updates);
        apply_actions(state, actions, "store");
        state.item_slots_requested.notify_one();
    }
}

/// Applies the actions that the cache of target rows returned: adds, updates and removes targets.
fn apply_actions(state: &Arc<GatewayState>, actions: Vec<RowAction>, source: &str) {
    let (mut known, mut gone) = (0, 0);
    for action in actions {
        match action {
            RowAction::Put(row) => {
                known += 1;
                put_target(state, row, source);
            }
            RowAction::Remove { key, version } => {
                gone += 1;
                remove_target(state, &key, version, source);
            }
        }
    }
    if known + gone > 0 {
        log::info!(known = known, gone = gone, source = source; "targets-changed");
    }
}

/// Returns the level of the lines about single targets. In a large fleet they would be most of the log: each
/// host would write one for each of thousands of targets.
fn target_log_level(state: &GatewayState) -> log::Level {
    if lock(&state.peers).uses_probes() { log::Level::Debug } else { log::Level::Info }
}

/// Adds or updates a target. A row that can't be read removes its target, which would otherwise stay in use
/// with outdated data.
fn put_target(state: &Arc<GatewayState>, row: KnownRow, source: &str) {
    let row = Row { key: row.key, value: row.value, version: row.version };
    match state.fleet_format.read_target(&row) {
        Ok(target) => {
            let phase = format!("{:?}", target.phase);
            log::log!(
                target_log_level(state),
                target_id = &*target.id, phase = phase.as_str(), address = &*target.address,
                zone = &*target.zone, cold_ms = target.cold_remaining.as_millis() as u64,
                row_version = row.version, source = source;
                "target-known"
            );
            put_known_target(state, target);
        }
        Err(error) => {
            let reason = error.to_string();
            log::warn!(
                key = row.key.as_str(), row_version = row.version, reason = reason.as_str();
                "target-unreadable"
            );
            if let Some(id) = state.fleet_format.target_id(&row.key) {
                lock(&state.placement).remove(&id);
            }
        }
    }
}

/// Adds a target or updates its state. If it is new or has other software than before, streams recorded at
/// it with another version may have begun after it had started again.
fn put_known_target(state: &GatewayState, target: FleetTarget) {
    let hash = name_hash(&target.id);
    let mut placement = lock(&state.placement);
    let earlier = placement.target_by_hash(hash).map(FleetTarget::software);
    placement.put(target);
    let current = placement.target_by_hash(hash).map(FleetTarget::software);
    drop(placement);
    if let Some(software) = current.filter(|_| current != earlier) {
        state.streams.forget_target(hash, software);
    }
}

fn remove_target(state: &Arc<GatewayState>, key: &str, version: u64, source: &str) {
    let Some(id) = state.fleet_format.target_id(key) else { return };
    log::log!(
        target_log_level(state),
        target_id = &*id, row_version = version, source = source;
        "target-gone"
    );
    lock(&state.placement).remove(&id);
}

/// Removes targets whose rows vanished from the store, as after an outage, and did not reappear in time.
pub(crate) fn drop_missing_targets(state: &Arc<GatewayState>, now: Instant) {
    let actions = lock(&state.updates).targets.remove_due(now);
    apply_actions(state, actions, "missing-from-store");
}

/// Returns the rows of declarations and targets if they are newer than the requesting host's.
pub(crate) fn answer_updates(state: &GatewayState, request: &NewsRequest) -> NewsReply {
    let declarations_version =
        lock(&state.declarations).current().map_or(0, |current| current.version());
    let updates = lock(&state.updates);
    let targets_version = updates.targets_version();
    let pack = |key: &str, value: &Bytes, version| NewsRow {
        key: key.to_owned(),
        value: value.to_vec(),
        version,
    };
    let declarations =
        updates.declarations.values().map(|row| pack(&row.key, &row.value, row.version));
    let targets = updates.targets.rows().map(|row| pack(&row.key, &row.value, row.version));
    NewsReply {
        declarations: declarations_version,
        declaration_rows: declarations
            .filter(|_| declarations_version > request.declarations)
            .collect(),
        targets: targets_version,
        target_rows: targets.filter(|_| targets_version > request.targets).collect(),
        age_ms: 0,
    }
}

/// Returns the versions of declarations and of targets that this host has. A host that knows targets by grants only
/// needs no newer ones.
fn known_versions(state: &GatewayState) -> (u64, u64) {
    let declarations = lock(&state.declarations).current().map_or(0, |current| current.version());
    let targets = match state.borrows_targets() {
        true => u64::MAX,
        false => lock(&state.updates).targets_version(),
    };
    (declarations, targets)
}

/// Returns whether the sender of a heartbeat has newer declarations or targets than this host.
pub(crate) fn is_behind(state: &GatewayState, heartbeat: &HostHeartbeat) -> bool {
    let (declarations, targets) = known_versions(state);
    heartbeat.declarations_version > declarations || heartbeat.targets_version > targets
}

/// Requests updates from a host whose heartbeats advertise a newer version, unless the updates arrive from
/// the store first.
///
/// Without this request, a host that can't reach the store would still accept revoked keys and send work to
/// targets that leave, and answer requests that other hosts already refuse.
pub(crate) async fn request_updates(state: Arc<GatewayState>, address: Name) {
    let delay = match lock(&state.peers).uses_probes() {
        true => FOLLOWED_UPDATE_REQUEST_DELAY,
        false => UPDATE_REQUEST_DELAY,
    };
    tokio::time::sleep(delay).await;
    let heartbeat = lock(&state.peers).get(&address).and_then(|peer| peer.heartbeat.clone());
    if !heartbeat.is_some_and(|heartbeat| is_behind(&state, &heartbeat)) {
        return;
    }
    let (declarations, targets) = known_versions(&state);
    let request = NewsRequest { declarations, targets };
    let Some(reply) = state.peer_clients.fetch_updates(&address, request).await else {
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

#[cfg(test)]
mod tests;
