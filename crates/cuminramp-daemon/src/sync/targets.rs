//! Targets of the generation in force, and the load that engines report.

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

/// The largest load report that is read.
const MOST_REPORT_BYTES: usize = 64 << 10;
/// A report takes no longer; an engine that is slower to say how it is counts as silent.
const REPORT_LIMIT: Duration = Duration::from_secs(1);
/// Reports in a row that may be missing.
const MOST_MISSING: u32 = 2;

/// What an engine says of its load.
#[derive(Deserialize)]
struct LoadBody {
    running: u32,
    waiting: u32,
    #[serde(default)]
    age_ms: u64,
}

/// Tells the choice of targets which there are, whenever that changes.
pub(crate) async fn follow_targets(state: Arc<DaemonState>) {
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

/// Asks engines for their load, again and again.
pub(crate) async fn poll_loads(state: Arc<DaemonState>) {
    let pause = state.settings.targets.load_poll();
    if pause.is_zero() {
        return;
    }
    let mut missing: cuminramp_core::SortedMap<Name, u32> = cuminramp_core::SortedMap::new();
    loop {
        let mut asked = tokio::task::JoinSet::new();
        for target in engines(&state) {
            let state = state.clone();
            asked.spawn(async move {
                let heard = poll_load(&state, &target).await;
                (target, heard)
            });
        }
        while let Some(Ok((target, heard))) = asked.join_next().await {
            note_report(&state, &mut missing, &target, heard);
        }
        tokio::time::sleep(pause).await;
    }
}

fn engines(state: &DaemonState) -> Vec<Target> {
    let in_force = state.configuration.in_force();
    let pools = in_force.configuration.pools.values();
    let engines = pools.filter(|pool| pool.kind == PoolKind::Engines);
    engines.flat_map(|pool| pool.targets.iter().cloned()).collect()
}

/// An engine that answers nobody holds requests until they time out; that it does not even say how
/// it is shows it sooner.
fn note_report(
    state: &DaemonState,
    missing: &mut cuminramp_core::SortedMap<Name, u32>,
    target: &Target,
    heard: bool,
) {
    let count = missing.get_or_insert_with(target.name.clone(), || 0);
    *count = if heard { 0 } else { *count + 1 };
    if *count < MOST_MISSING {
        return;
    }
    *count = 0;
    let ejected = lock(&state.targets).on_outcome(&target.name, AttemptEnd::Silent, Instant::now());
    state.caller.drop_connections(&target.address);
    state.silence.note_silent(&target.name);
    if ejected {
        log::info!(target_name = &*target.name, reason = "no load report", decision = "set-aside"; "target");
    }
}

/// Asks one engine; says whether it answered. An engine that answers without a report, since it has
/// none at this path, lives all the same: taken for silent, every engine of its kind would be set aside.
async fn poll_load(state: &DaemonState, target: &Target) -> bool {
    let asked_at = Instant::now();
    let asked = tokio::time::timeout(REPORT_LIMIT, read_answer(state, target)).await;
    let Ok(Some(answer)) = asked else { return false };
    if let Ok(body) = serde_json::from_slice::<LoadBody>(&answer) {
        let age = Duration::from_millis(body.age_ms);
        let at = asked_at.checked_sub(age).unwrap_or(asked_at);
        let report = LoadSnapshot { requests: body.running + body.waiting, at };
        lock(&state.targets).on_report(&target.name, report);
    }
    true
}

/// The body of an engine's answer, empty where it says that it has no report; `None` where no answer
/// came.
async fn read_answer(state: &DaemonState, target: &Target) -> Option<Bytes> {
    let request = TargetRequest {
        method: Method::GET,
        path: state.settings.targets.load_path.clone(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let mut answer = state.caller.call(&target.address, request, REPORT_LIMIT).await.ok()?;
    if !answer.status.is_success() {
        return Some(Bytes::new());
    }
    let mut whole = BytesMut::new();
    while let Some(part) = answer.body.next().await {
        whole.extend_from_slice(&part.ok()?);
        if whole.len() > MOST_REPORT_BYTES {
            return Some(Bytes::new());
        }
    }
    Some(whole.freeze())
}
