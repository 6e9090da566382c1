//! Read-only views and job control for operators, health checks and metrics.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::Json;
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use cuminramp_core::Refusal;
use cuminramp_quota::{TeamLimits, slice_count, slice_shards};
use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::batch;
use crate::entry::refusal_response;
use crate::state::{DaemonState, lock};

/// Liveness check: answers while the daemon runs.
pub(crate) async fn show_health() -> &'static str {
    "ok"
}

/// Readiness check: the daemon has a confirmed configuration, every shard of teams' rates has an owner,
/// and the daemon is not leaving.
pub(crate) async fn show_readiness(State(state): State<Arc<DaemonState>>) -> Response {
    let now = Instant::now();
    let owned = lock(&state.ledger).shards().is_complete();
    let body = json!({
        "generation": state.configuration.generation(),
        "shards-owned": owned,
        "confirmed": state.is_confirmed(now),
        "leaving": state.drain.is_cancelled(),
        "table-age-ms": state.contact.age(now).as_millis() as u64,
    });
    let ready = state.ready.load(Ordering::Relaxed)
        && owned
        && state.configuration.generation() > 0
        && state.is_confirmed(now)
        && !state.drain.is_cancelled();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    (status, Json(body)).into_response()
}

/// Returns the metrics in the Prometheus text format.
pub(crate) async fn show_metrics(State(state): State<Arc<DaemonState>>) -> String {
    state.metrics.render()
}

/// Lists hosts, as recorded in this host's member table.
pub(crate) async fn show_hosts(State(state): State<Arc<DaemonState>>) -> Json<Value> {
    let members = lock(&state.members);
    let mine = json!({
        "address": &*state.me.id.address,
        "caller-address": &*state.me.caller_address,
        "availability-zone": &*state.me.zone,
        "incarnation": state.me.id.incarnation,
        "status": if members.is_leaving() { "leaving" } else { "alive" },
        "listed": true,
    });
    let others = members.members().map(|member| {
        json!({
            "address": &*member.host.id.address,
            "caller-address": &*member.host.caller_address,
            "availability-zone": &*member.host.zone,
            "incarnation": member.host.id.incarnation,
            "status": format!("{:?}", member.status).to_lowercase(),
            "listed": member.unlisted_since.is_none(),
        })
    });
    let hosts: Vec<Value> = std::iter::once(mine).chain(others).collect();
    Json(json!({"hosts": hosts}))
}

/// Lists targets with their load, as recorded on this host.
pub(crate) async fn show_targets(State(state): State<Arc<DaemonState>>) -> Json<Value> {
    let in_force = state.configuration.in_force();
    let now = Instant::now();
    let targets = lock(&state.targets);
    let mut rows = Vec::new();
    for pool in in_force.configuration.pools.values() {
        for target in &pool.targets {
            let (online, batch) = targets.in_flight(&target.name);
            let report = targets.report(&target.name);
            rows.push(json!({
                "pool": &*pool.name,
                "target": &*target.name,
                "address": &*target.address,
                "availability-zone": &*target.zone,
                "leaving": target.leaving,
                "set-aside": targets.is_ejected(&target.name, now),
                "online-here": online,
                "batch-here": batch,
                "reported": report.map(|report| report.requests),
                "report-age-ms": report.map(|report| now.saturating_duration_since(report.at).as_millis() as u64),
            }));
        }
    }
    Json(json!({"targets": rows}))
}

/// Lists teams and the hosts that own the shards of their rates.
pub(crate) async fn show_teams(State(state): State<Arc<DaemonState>>) -> Json<Value> {
    let in_force = state.configuration.in_force();
    let ledger = lock(&state.ledger);
    let teams = in_force.configuration.teams.values().map(|team| {
        let limits = TeamLimits::from_tokens(team.rate, team.burst);
        let count = slice_count(limits, ledger.policy());
        let shards = slice_shards(&team.name, count, ledger.policy().shards);
        let owners: Vec<Value> = shards
            .map(|shard| {
                let owner = ledger.shards().owner(shard).map(|owner| owner.address.to_string());
                json!({"shard": shard, "host": owner})
            })
            .collect();
        json!({
            "team": &*team.name, "rate": team.rate, "burst": team.burst, "weight": team.weight,
            "owners": owners,
        })
    });
    Json(json!({"teams": teams.collect::<Vec<_>>()}))
}

fn job_response(state: &DaemonState, outcome: Result<Value, Refusal>) -> Response {
    match outcome {
        Ok(body) => Json(body).into_response(),
        Err(refusal) => refusal_response(state, &refusal),
    }
}

/// Lists open jobs.
pub(crate) async fn list_jobs(State(state): State<Arc<DaemonState>>) -> Response {
    let jobs = batch::list_open_jobs(&state).await;
    job_response(&state, jobs.map(|jobs| json!({"jobs": jobs})))
}

/// Shows a job.
pub(crate) async fn show_job(
    State(state): State<Arc<DaemonState>>,
    Path((team, id)): Path<(String, String)>,
) -> Response {
    let job = batch::describe_job(&state, &team, &id).await;
    job_response(&state, job)
}

/// Cancels a job.
pub(crate) async fn cancel_job(
    State(state): State<Arc<DaemonState>>,
    Path((team, id)): Path<(String, String)>,
) -> Response {
    let job = batch::cancel_job(&state, &team, &id).await;
    job_response(&state, job)
}
