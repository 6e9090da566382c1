//! Declarations and targets, from the store or from hosts that reach it.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminramp_core::{Name, SortedMap};
use cuminramp_platform::{Row, RowChange, TableSnapshot};
use cuminramp_wire::fleet::{NewsReply, NewsRequest, NewsRow};
use tokio::time::Instant;

use super::follow::TableFollower;
use crate::peers::ask_news;
use crate::state::{GatewayState, lock};

/// A target whose entry is missing right after an outage of the store is kept for so long: its
/// entry is back within two seconds if it lives.
const MISSING_TARGET_LIMIT: Duration = Duration::from_millis(2_200);
/// How long the store has the first word before other hosts are asked for what it should have said.
const STORE_FIRST: Duration = Duration::from_millis(150);

/// Rows of declarations and targets as this host knows them, to apply and to pass on.
#[derive(Debug, Default)]
pub(crate) struct NewsRows {
    declarations: SortedMap<String, Row>,
    targets: SortedMap<String, Row>,
    /// Version up to which the targets are complete.
    targets_version: u64,
    /// Targets that a snapshot lacked, with the moment from which they count as gone.
    missing: SortedMap<String, Instant>,
}

impl NewsRows {
    /// Version up to which targets are known.
    pub(crate) fn targets_version(&self) -> u64 {
        self.targets_version
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

    fn pause(&self) -> Duration {
        Duration::from_millis(20)
    }

    async fn reset(&self, state: &Arc<GatewayState>, snapshot: TableSnapshot) {
        for row in snapshot.rows {
            apply_declarations(state, row, "store");
        }
    }

    async fn change(&self, state: &Arc<GatewayState>, changes: Vec<RowChange>, _version: u64) {
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
        Err(fault) => {
            let reason = fault.to_string();
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
    log::info!(
        version = declared.version(), row_version = row.version, source = source;
        "declarations-in-force"
    );
    lock(&state.news).declarations.insert(row.key.clone(), row);
    state.want_beat();
    state.items_wanted.notify_one();
}

#[async_trait]
impl TableFollower for TargetsFollower {
    fn table(&self) -> &'static str {
        self.table
    }

    fn pause(&self) -> Duration {
        Duration::from_millis(50)
    }

    async fn reset(&self, state: &Arc<GatewayState>, snapshot: TableSnapshot) {
        let now = Instant::now();
        let mut present: Vec<String> = Vec::with_capacity(snapshot.rows.len());
        for row in snapshot.rows {
            present.push(row.key.clone());
            apply_target(state, row, "store");
        }
        let mut news = lock(&state.news);
        news.targets_version = news.targets_version.max(snapshot.version);
        let lacking: Vec<String> =
            news.targets.keys().filter(|key| !present.contains(key)).cloned().collect();
        for key in lacking {
            news.missing.get_or_insert_with(key, || now + MISSING_TARGET_LIMIT);
        }
    }

    async fn change(&self, state: &Arc<GatewayState>, changes: Vec<RowChange>, version: u64) {
        for change in changes {
            if change.is_deleted {
                remove_target(state, &change.row.key, change.row.version, "store");
            } else {
                apply_target(state, change.row, "store");
            }
        }
        let mut news = lock(&state.news);
        news.targets_version = news.targets_version.max(version);
        drop(news);
        state.items_wanted.notify_one();
    }
}

fn apply_target(state: &Arc<GatewayState>, row: Row, source: &str) {
    let mut news = lock(&state.news);
    news.missing.remove(&row.key);
    if news.targets.get(&row.key).is_some_and(|held| held.version >= row.version) {
        return;
    }
    news.targets.insert(row.key.clone(), row.clone());
    drop(news);
    match state.fleet.read_target(&row) {
        Ok(target) => {
            let phase = format!("{:?}", target.phase);
            log::info!(
                target_id = &*target.id, phase = phase.as_str(), address = &*target.address,
                row_version = row.version, source = source;
                "target-known"
            );
            lock(&state.board).put(target);
        }
        Err(fault) => {
            let reason = fault.to_string();
            log::warn!(
                key = row.key.as_str(), row_version = row.version, reason = reason.as_str();
                "target-unreadable"
            );
            if let Some(id) = state.fleet.target_id(&row.key) {
                lock(&state.board).remove(&id);
            }
        }
    }
}

fn remove_target(state: &Arc<GatewayState>, key: &str, version: u64, source: &str) {
    let mut news = lock(&state.news);
    if news.targets.get(key).is_some_and(|held| held.version > version) {
        return;
    }
    news.targets.remove(key);
    news.missing.remove(key);
    drop(news);
    if let Some(id) = state.fleet.target_id(key) {
        log::info!(target_id = &*id, row_version = version, source = source; "target-gone");
        lock(&state.board).remove(&id);
    }
}

/// Takes targets out that a snapshot lacked and that did not come back in time.
pub(crate) fn drop_missing_targets(state: &Arc<GatewayState>, now: Instant) {
    let news = lock(&state.news);
    let due = news.missing.iter().filter(|(_, until)| **until <= now);
    let gone: Vec<String> = due.map(|(key, _)| key.clone()).collect();
    drop(news);
    for key in gone {
        remove_target(state, &key, u64::MAX, "missing-from-store");
    }
}

/// What another host lacks.
pub(crate) fn answer_news(state: &GatewayState, request: &NewsRequest) -> NewsReply {
    let declared = lock(&state.declarations).current().map_or(0, |held| held.version());
    let news = lock(&state.news);
    let rows = |rows: &SortedMap<String, Row>| {
        let packed = rows.values().map(|row| NewsRow {
            key: row.key.clone(),
            value: row.value.to_vec(),
            version: row.version,
        });
        packed.collect::<Vec<_>>()
    };
    let has_declarations = declared > request.declarations;
    let has_targets = news.targets_version > request.targets;
    NewsReply {
        declarations: declared,
        declaration_rows: if has_declarations { rows(&news.declarations) } else { vec![] },
        targets: news.targets_version,
        target_rows: if has_targets { rows(&news.targets) } else { vec![] },
        age_ms: 0,
    }
}

fn into_row(row: NewsRow) -> Row {
    Row { key: row.key, value: Bytes::from(row.value), version: row.version }
}

/// Asks another host whose beats show a later version, when the store did not bring it first.
///
/// A host that can't reach the store would go on with keys that were taken away and send work to
/// targets that leave; one would see it in answers that other hosts no longer give.
pub(crate) async fn ask_for_news(state: Arc<GatewayState>, address: Name) {
    tokio::time::sleep(STORE_FIRST).await;
    let declarations = lock(&state.declarations).current().map_or(0, |held| held.version());
    let targets = lock(&state.news).targets_version;
    let is_behind = lock(&state.peers)
        .get(&address)
        .and_then(|peer| peer.beat.as_ref())
        .is_some_and(|beat| beat.declarations > declarations || beat.targets > targets);
    if !is_behind {
        return;
    }
    let request = NewsRequest { declarations, targets };
    let Some(reply) = ask_news(&address, request).await else {
        log::warn!(peer = &*address; "news-unanswered");
        return;
    };
    for row in reply.declaration_rows {
        apply_declarations(&state, into_row(row), &address);
    }
    if reply.targets > targets {
        apply_target_news(&state, reply.target_rows, reply.targets, &address);
    }
}

fn apply_target_news(state: &Arc<GatewayState>, rows: Vec<NewsRow>, version: u64, source: &str) {
    let present: Vec<String> = rows.iter().map(|row| row.key.clone()).collect();
    for row in rows {
        apply_target(state, into_row(row), source);
    }
    let mut news = lock(&state.news);
    let gone: Vec<String> = news
        .targets
        .iter()
        .filter(|(key, row)| row.version <= version && !present.contains(key))
        .map(|(key, _)| key.clone())
        .collect();
    news.targets_version = news.targets_version.max(version);
    drop(news);
    for key in gone {
        remove_target(state, &key, version, source);
    }
}
