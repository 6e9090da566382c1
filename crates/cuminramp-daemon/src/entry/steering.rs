//! Steering: lists the hosts that a caller should use.

use std::sync::Arc;

use axum::Json;
use axum::extract::{Query, State};
use cuminramp_core::HostId;
use cuminramp_quota::{TeamLimits, slice_count, slice_shards};
use cuminramp_routes::Team;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::entry::auth::AuthenticatedCaller;
use crate::state::{DaemonState, lock};

/// Query parameters of a steering request.
#[derive(Deserialize)]
pub(crate) struct SteeringQuery {
    /// Availability zone of the caller; by default that of the host that receives the request.
    zone: Option<String>,
}

/// Answers `GET /cuminramp/hosts`.
pub(crate) async fn show_hosts(
    State(state): State<Arc<DaemonState>>,
    caller: AuthenticatedCaller,
    Query(query): Query<SteeringQuery>,
) -> Json<Value> {
    Json(steer(&state, query.zone.as_deref(), &caller))
}

/// Returns the hosts that a caller should use, and how long it may cache the list.
fn steer(state: &DaemonState, zone: Option<&str>, caller: &AuthenticatedCaller) -> Value {
    let zone = zone.unwrap_or(&state.me.zone);
    let owners = shard_owners(state, &caller.team);
    let usable = lock(&state.members).usable_hosts();
    let response = state.steering.plan(&caller.team.name, zone, &usable, &owners);
    let hosts: Vec<Value> = response
        .hosts
        .iter()
        .map(|host| json!({"address": &*host.caller_address, "availability-zone": &*host.zone}))
        .collect();
    let addresses: Vec<&str> = response.hosts.iter().map(|host| &*host.caller_address).collect();
    log::info!(team = &*caller.team.name, zone = zone, hosts = addresses.join(",").as_str(); "steering");
    json!({"hosts": hosts, "keep-ms": response.ttl.as_millis() as u64})
}

/// Returns the owners of the shards of a team's rate, each as one incarnation of a host.
fn shard_owners(state: &DaemonState, team: &Team) -> Vec<HostId> {
    let ledger = lock(&state.ledger);
    let limits = TeamLimits::from_tokens(team.rate, team.burst);
    let count = slice_count(limits, ledger.policy());
    let shards = slice_shards(&team.name, count, ledger.policy().shards);
    shards.filter_map(|shard| ledger.shards().owner(shard).cloned()).collect()
}
