//! Keeps the target table in line with the configuration in force, and polls the load of engines.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cuminramp_core::Name;
use cuminramp_routes::{PoolKind, Target};
use cuminramp_targets::{AttemptEnd, LoadSnapshot, TargetSpec};
use futures_util::StreamExt;
use http::{HeaderMap, Method};
use serde::Deserialize;
use tokio::time::Instant;

use crate::dispatch::target_specs;
use crate::interfaces::TargetRequest;
use crate::state::{DaemonState, lock};

/// Maximum size of a load report in bytes; a larger one is ignored.
const MAX_REPORT_BYTES: usize = 64 << 10;
/// Timeout of a load report, after which it counts as missed.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of consecutive missed load reports after which an engine is ejected as silent.
const MISSED_REPORT_LIMIT: u32 = 2;

/// Body of an engine's load report.
#[derive(Deserialize)]
struct LoadBody {
    running: u32,
    waiting: u32,
    #[serde(default)]
    age_ms: u64,
}

/// Sets the targets of the target table, now and whenever the configuration changes.
pub(crate) async fn sync_targets(state: Arc<DaemonState>) {
    let mut changes = state.configuration.watch();
    loop {
        let in_force = state.configuration.in_force();
        let pools = in_force.configuration.pools.values();
        let specs: Vec<TargetSpec> = pools.flat_map(target_specs).collect();
        lock(&state.targets).set_targets(&specs, Instant::now());
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Polls the load of all engines. Returns at once if the poll interval is 0, which disables polling.
pub(crate) async fn poll_loads(state: Arc<DaemonState>) {
    let interval = state.settings.targets.load_poll_interval();
    if interval.is_zero() {
        return;
    }
    let mut missed: cuminramp_core::SortedMap<Name, u32> = cuminramp_core::SortedMap::new();
    loop {
        let mut polls = tokio::task::JoinSet::new();
        for target in engines(&state) {
            let state = state.clone();
            polls.spawn(async move {
                let answered = poll_load(&state, &target).await;
                (target, answered)
            });
        }
        while let Some(Ok((target, answered))) = polls.join_next().await {
            record_poll(&state, &mut missed, &target, answered);
        }
        tokio::time::sleep(interval).await;
    }
}

fn engines(state: &DaemonState) -> Vec<Target> {
    let in_force = state.configuration.in_force();
    let pools = in_force.configuration.pools.values();
    let engines = pools.filter(|pool| pool.kind == PoolKind::Engines);
    engines.flat_map(|pool| pool.targets.iter().cloned()).collect()
}

/// Records whether an engine answered a poll, and reports the engine as silent after
/// `MISSED_REPORT_LIMIT` misses in a row. Without this, an engine that stopped answering would be
/// detected only when its requests time out.
fn record_poll(
    state: &DaemonState,
    missed: &mut cuminramp_core::SortedMap<Name, u32>,
    target: &Target,
    answered: bool,
) {
    let count = missed.get_or_insert_with(target.name.clone(), || 0);
    *count = if answered { 0 } else { *count + 1 };
    if *count < MISSED_REPORT_LIMIT {
        return;
    }
    *count = 0;
    let ejected = lock(&state.targets).on_outcome(&target.name, AttemptEnd::Silent, Instant::now());
    state.target_caller.drop_connections(&target.address);
    state.silence_signals.report_silence(&target.name);
    if ejected {
        log::info!(target_name = &*target.name, reason = "no load report", decision = "set-aside"; "target");
    }
}

/// Polls one engine; returns whether it answered. An engine that answers without a report, as one without
/// load reports at this path does, counts as alive: otherwise all engines of its kind would be ejected.
async fn poll_load(state: &DaemonState, target: &Target) -> bool {
    let requested_at = Instant::now();
    let outcome = tokio::time::timeout(REPORT_TIMEOUT, fetch_report(state, target)).await;
    let Ok(Some(response)) = outcome else { return false };
    if let Ok(body) = serde_json::from_slice::<LoadBody>(&response) {
        let age = Duration::from_millis(body.age_ms);
        let at = requested_at.checked_sub(age).unwrap_or(requested_at);
        let report = LoadSnapshot { requests: body.running + body.waiting, at };
        lock(&state.targets).on_report(&target.name, report);
    }
    true
}

/// Returns the body of an engine's answer, empty if the answer holds no usable report, or `None` if no
/// answer arrived.
async fn fetch_report(state: &DaemonState, target: &Target) -> Option<Bytes> {
    let request = TargetRequest {
        method: Method::GET,
        path: state.settings.targets.load_path.clone(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let mut response =
        state.target_caller.call(&target.address, request, REPORT_TIMEOUT).await.ok()?;
    if !response.status.is_success() {
        return Some(Bytes::new());
    }
    let mut body = BytesMut::new();
    while let Some(part) = response.body.next().await {
        body.extend_from_slice(&part.ok()?);
        if body.len() > MAX_REPORT_BYTES {
            return Some(Bytes::new());
        }
    }
    Some(body.freeze())
}
