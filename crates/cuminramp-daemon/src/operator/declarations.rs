//! Operator API for declarations: shows them, applies a new file, and lists each host's generation.

use std::sync::Arc;

use axum::Json;
use axum::extract::{Query, State};
use axum::response::{IntoResponse, Response};
use cuminramp_routes::{DeclarationError, Declarations, parse_declarations, plan_changes};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::operator::publish_error_response;
use crate::state::{DaemonState, lock};
use crate::sync::{PublishError, publish_changes, pull_request};

/// Query parameters of a request that applies declarations.
#[derive(Deserialize)]
pub(crate) struct ApplyQuery {
    /// Generation that the file is based on; the one in force if absent.
    expect: Option<u64>,
    /// Only return the changes, without applying them.
    #[serde(default)]
    dry_run: bool,
}

/// Returns the declarations in force on this host.
pub(crate) async fn show(State(state): State<Arc<DaemonState>>) -> Json<Value> {
    let in_force = state.configuration.in_force();
    Json(json!({
        "generation": in_force.configuration.generation,
        "declarations": in_force.configuration.to_declarations(),
    }))
}

/// Applies a file of declarations as the next generation; one error rejects the whole file.
pub(crate) async fn apply(
    State(state): State<Arc<DaemonState>>,
    Query(query): Query<ApplyQuery>,
    body: String,
) -> Response {
    let desired = match parse_declarations(&body) {
        Ok(desired) => desired,
        Err(errors) => return publish_error_response(&state, PublishError::Invalid(errors)),
    };
    let in_force = state.configuration.in_force();
    let generation = in_force.configuration.generation;
    let expected = query.expect.unwrap_or(generation);
    if expected != generation {
        return conflict_response(&state, &desired);
    }
    let changes = plan_changes(&in_force.configuration, &desired);
    let names: Vec<Value> = changes.iter().map(describe_change).collect();
    if query.dry_run || changes.is_empty() {
        return Json(json!({"generation": generation, "changes": names, "applied": false}))
            .into_response();
    }
    match publish_changes(&state, expected, changes).await {
        Ok(generation) => {
            Json(json!({"generation": generation, "changes": names, "applied": true}))
                .into_response()
        }
        Err(PublishError::Conflict { .. }) => conflict_response(&state, &desired),
        Err(error) => publish_error_response(&state, error),
    }
}

/// Returns a conflict with the changes that the file would make to the configuration in force now: both
/// the operator's own changes and those of other operators that the file would undo.
fn conflict_response(state: &DaemonState, desired: &Declarations) -> Response {
    let in_force = state.configuration.in_force();
    let changes = plan_changes(&in_force.configuration, desired);
    let difference: Vec<Value> = changes.iter().map(describe_change).collect();
    let generation = in_force.configuration.generation;
    publish_error_response(state, PublishError::Conflict { generation, difference })
}

fn describe_change(change: &cuminramp_wire::rows::Change) -> Value {
    use cuminramp_wire::rows::change::Entry;
    let (action, table, name) = match &change.entry {
        Some(Entry::Route(row)) => ("set", "route", row.name.clone()),
        Some(Entry::Pool(row)) => ("set", "pool", row.name.clone()),
        Some(Entry::Team(row)) => ("set", "team", row.name.clone()),
        Some(Entry::Key(row)) => ("set", "key", row.label.clone()),
        Some(Entry::RemovedRoute(name)) => ("remove", "route", name.clone()),
        Some(Entry::RemovedPool(name)) => ("remove", "pool", name.clone()),
        Some(Entry::RemovedTeam(name)) => ("remove", "team", name.clone()),
        Some(Entry::WithdrawnKey(_)) => ("remove", "key", String::new()),
        None => ("none", "none", String::new()),
    };
    json!({"change": action, "table": table, "name": name})
}

/// Queries all alive and leaving hosts for their generation and returns the results; `null` for a host that
/// does not answer.
pub(crate) async fn show_generations(State(state): State<Arc<DaemonState>>) -> Json<Value> {
    let peers = lock(&state.members).answering_peers();
    let mut pulls = tokio::task::JoinSet::new();
    for address in peers {
        let state = state.clone();
        pulls.spawn(async move {
            let reply = state.peers.pull(&address, pull_request(&state, false)).await;
            json!({"host": &*address, "generation": reply.map(|reply| reply.generation)})
        });
    }
    let mut hosts = pulls.join_all().await;
    hosts.push(
        json!({"host": &*state.me.id.address, "generation": state.configuration.generation()}),
    );
    hosts.sort_by_key(|host| host["host"].as_str().unwrap_or_default().to_owned());
    Json(json!({"generation": state.configuration.generation(), "hosts": hosts}))
}

/// Returns an error about one field of a request.
pub(super) fn field_error(place: &str, reason: impl Into<String>) -> PublishError {
    PublishError::Invalid(vec![DeclarationError { place: place.into(), reason: reason.into() }])
}
