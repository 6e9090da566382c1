//! Which hosts a caller should use.

use std::sync::Arc;

use axum::Json;
use axum::extract::{Query, State};
use cuminramp_core::HostId;
use cuminramp_quota::{TeamLimits, slice_count, slice_shards};
use cuminramp_routes::Team;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::entry::auth::KnownCaller;
use crate::state::{DaemonState, lock};

/// What a caller may say of itself.
#[derive(Deserialize)]
pub(crate) struct SteeringQuery {
    /// The availability zone it is in; without it, that of the host it asks.
    zone: Option<String>,
}

/// Answers `GET /cuminramp/hosts`.
pub(crate) async fn show_hosts(
    State(state): State<Arc<DaemonState>>,
    caller: KnownCaller,
    Query(query): Query<SteeringQuery>,
) -> Json<Value> {
    Json(steer(&state, query.zone.as_deref(), &caller))
}

fn steer(state: &DaemonState, zone: Option<&str>, caller: &KnownCaller) -> Value {
    let zone = zone.unwrap_or(&state.me.zone);
    let owners = owners_of(state, &caller.team);
    let usable = lock(&state.members).usable_hosts();
    let answer = state.steering.plan(&caller.team.name, zone, &usable, &owners);
    let hosts: Vec<Value> = answer
        .hosts
        .iter()
        .map(|host| json!({"address": &*host.caller_address, "availability-zone": &*host.zone}))
        .collect();
    let addresses: Vec<&str> = answer.hosts.iter().map(|host| &*host.caller_address).collect();
    log::info!(team = &*caller.team.name, zone = zone, hosts = addresses.join(",").as_str(); "steering");
    json!({"hosts": hosts, "keep-ms": answer.keep.as_millis() as u64})
}

/// The runs that own the shards of a team's rate.
fn owners_of(state: &DaemonState, team: &Team) -> Vec<HostId> {
    let ledger = lock(&state.ledger);
    let limits = TeamLimits::from_tokens(team.rate, team.burst);
    let count = slice_count(limits, ledger.policy());
    let shards = slice_shards(&team.name, count, ledger.policy().shards);
    shards.filter_map(|shard| ledger.shards().owner(shard).cloned()).collect()
}
