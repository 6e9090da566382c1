//! Declarations: what is in force, and how it changes.

use std::sync::Arc;

use axum::Json;
use axum::extract::{Query, State};
use axum::response::{IntoResponse, Response};
use cuminramp_routes::{DeclarationError, Declarations, parse_declarations, plan_changes};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::operator::publish_failure;
use crate::state::{DaemonState, lock};
use crate::sync::{PublishError, publish_changes, pull_request};

/// Which generation an operator's file was made for.
#[derive(Deserialize)]
pub(crate) struct ApplyQuery {
    /// The generation that the operator looked at; without it, the one in force.
    expect: Option<u64>,
    /// Only say what would change.
    #[serde(default)]
    dry_run: bool,
}

/// Shows what is in force here.
pub(crate) async fn show(State(state): State<Arc<DaemonState>>) -> Json<Value> {
    let in_force = state.configuration.in_force();
    Json(json!({
        "generation": in_force.configuration.generation,
        "declarations": in_force.configuration.to_declarations(),
    }))
}

/// Accepts a whole file of declarations as the next generation, or refuses it whole.
pub(crate) async fn apply(
    State(state): State<Arc<DaemonState>>,
    Query(query): Query<ApplyQuery>,
    body: String,
) -> Response {
    let desired = match parse_declarations(&body) {
        Ok(desired) => desired,
        Err(faults) => return publish_failure(&state, PublishError::Invalid(faults)),
    };
    let in_force = state.configuration.in_force();
    let generation = in_force.configuration.generation;
    let expected = query.expect.unwrap_or(generation);
    if expected != generation {
        return conflict_answer(&state, &desired);
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
        Err(PublishError::Conflict { .. }) => conflict_answer(&state, &desired),
        Err(error) => publish_failure(&state, error),
    }
}

/// Tells an operator who came second what the file would change of what is in force now: both what the
/// file is for and what it would undo.
fn conflict_answer(state: &DaemonState, desired: &Declarations) -> Response {
    let in_force = state.configuration.in_force();
    let changes = plan_changes(&in_force.configuration, desired);
    let difference: Vec<Value> = changes.iter().map(describe_change).collect();
    let generation = in_force.configuration.generation;
    publish_failure(state, PublishError::Conflict { generation, difference })
}

fn describe_change(change: &cuminramp_wire::rows::Change) -> Value {
    use cuminramp_wire::rows::change::Entry;
    let (what, table, name) = match &change.entry {
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
    json!({"change": what, "table": table, "name": name})
}

/// Shows which hosts have which generation in force, each asked just now.
pub(crate) async fn show_generations(State(state): State<Arc<DaemonState>>) -> Json<Value> {
    let peers = lock(&state.members).usable_peers();
    let mut asked = tokio::task::JoinSet::new();
    for address in peers {
        let state = state.clone();
        asked.spawn(async move {
            let reply = state.peers.pull(&address, pull_request(&state, false)).await;
            json!({"host": &*address, "generation": reply.map(|reply| reply.generation)})
        });
    }
    let mut hosts = asked.join_all().await;
    hosts.push(
        json!({"host": &*state.me.id.address, "generation": state.configuration.generation()}),
    );
    hosts.sort_by_key(|host| host["host"].as_str().unwrap_or_default().to_owned());
    Json(json!({"generation": state.configuration.generation(), "hosts": hosts}))
}

/// A fault that concerns one field of a request.
pub(super) fn field_fault(place: &str, reason: impl Into<String>) -> PublishError {
    PublishError::Invalid(vec![DeclarationError { place: place.into(), reason: reason.into() }])
}
