//! Operator API for keys: lists, grants and withdraws them.

use std::sync::Arc;

use axum::Json;
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use cuminramp_core::{KeyDigest, Name};
use cuminramp_routes::KeyGrant;
use cuminramp_wire::rows::Change;
use cuminramp_wire::rows::change::Entry;
use rand::RngExt;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::operator::declarations::field_error;
use crate::operator::publish_error_response;
use crate::peer::spread_updates;
use crate::state::DaemonState;
use crate::sync::{PublishError, publish_changes};

/// Prefix of generated keys.
const KEY_PREFIX: &str = "sk-cr-";
/// Number of random bytes in a generated key.
const KEY_BYTES: usize = 32;
/// Minimum number of leading hex digits of a digest that identify a key.
const MIN_DIGEST_DIGITS: usize = 12;
/// Maximum number of attempts to publish a change of keys that conflicts with other changes.
const MAX_PUBLISH_ATTEMPTS: u32 = 10;

/// Body of a request that grants a key.
#[derive(Deserialize)]
pub(crate) struct GrantRequest {
    /// Team that the key belongs to.
    team: String,
    /// Label that identifies the key for operators; the start of its digest if empty.
    #[serde(default)]
    label: String,
    /// The key itself, if it exists already; otherwise one is generated.
    #[serde(default)]
    key: Option<String>,
}

/// Lists keys by digest; the keys themselves are not stored.
pub(crate) async fn list(State(state): State<Arc<DaemonState>>) -> Json<Value> {
    let in_force = state.configuration.in_force();
    let withdrawals = state.configuration.withdrawals();
    let keys = in_force.configuration.keys.iter().map(|(digest, grant)| {
        json!({
            "digest": digest.to_string(),
            "team": &*grant.team,
            "label": &*grant.label,
            "withdrawn": withdrawals.contains(digest),
        })
    });
    Json(json!({"keys": keys.collect::<Vec<_>>()}))
}

/// Grants a key and returns it; it can't be retrieved later.
pub(crate) async fn grant(
    State(state): State<Arc<DaemonState>>,
    Json(body): Json<GrantRequest>,
) -> Response {
    let key = body.key.unwrap_or_else(generate_key);
    let digest = KeyDigest::of_key(&key);
    let label = if body.label.is_empty() {
        digest.to_string()[..MIN_DIGEST_DIGITS].to_owned()
    } else {
        body.label
    };
    let grant =
        KeyGrant { team: Name::from(body.team.as_str()), label: Name::from(label.as_str()) };
    if !state.configuration.in_force().configuration.teams.contains_key(body.team.as_str()) {
        let reason = format!("team {:?} does not exist", body.team);
        return publish_error_response(&state, field_error("team", reason));
    }
    let change = Change { entry: Some(Entry::Key(grant.to_entry(&digest))) };
    match publish_retrying(&state, change).await {
        Ok(generation) => {
            log::info!(team = &*grant.team, label = &*grant.label, decision = "granted"; "key");
            Json(json!({
                "key": key, "digest": digest.to_string(), "label": &*grant.label,
                "team": &*grant.team, "generation": generation,
            }))
            .into_response()
        }
        Err(error) => publish_error_response(&state, error),
    }
}

fn generate_key() -> String {
    let mut bytes = [0u8; KEY_BYTES];
    rand::rng().fill(&mut bytes);
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{KEY_PREFIX}{hex}")
}

/// Publishes one change of keys, and retries it on conflicts. A change of keys does not depend on the rest
/// of the configuration, so it is valid after any other change.
async fn publish_retrying(state: &Arc<DaemonState>, change: Change) -> Result<u64, PublishError> {
    let mut last = PublishError::Unknown("not tried".into());
    for _ in 0..MAX_PUBLISH_ATTEMPTS {
        let expected = state.configuration.generation();
        match publish_changes(state, expected, vec![change.clone()]).await {
            Err(error @ PublishError::Conflict { .. }) => last = error,
            outcome => return outcome,
        }
    }
    Err(last)
}

/// Withdraws a key, identified by the key itself, its label or the first digits of its digest.
///
/// The withdrawal is in force here at once and spreads from host to host even while the table is down; it
/// is written as soon as the table is reachable.
pub(crate) async fn withdraw(
    State(state): State<Arc<DaemonState>>,
    Path(name): Path<String>,
) -> Response {
    let found = find_keys(&state, &name);
    let digest = match found.as_slice() {
        [digest] => *digest,
        [] => {
            return publish_error_response(
                &state,
                field_error("key", format!("no key matches {name:?}")),
            );
        }
        matches => {
            let reason = format!("{} keys match {name:?}; use the digest", matches.len());
            return publish_error_response(&state, field_error("key", reason));
        }
    };
    state.configuration.withdraw([digest]);
    spread_updates(&state).await;
    let change = Change { entry: Some(Entry::WithdrawnKey(digest.as_bytes().to_vec())) };
    let written = publish_retrying(&state, change).await;
    log::info!(digest = digest.to_string().as_str(), written = written.is_ok(), decision = "withdrawn"; "key");
    Json(json!({
        "digest": digest.to_string(),
        "written": written.is_ok(),
        "generation": state.configuration.generation(),
    }))
    .into_response()
}

fn find_keys(state: &DaemonState, name: &str) -> Vec<KeyDigest> {
    let in_force = state.configuration.in_force();
    let by_key = KeyDigest::of_key(name);
    let keys = in_force.configuration.keys.iter();
    let matching = keys.filter(|(digest, grant)| {
        let by_digest = name.len() >= MIN_DIGEST_DIGITS && digest.to_string().starts_with(name);
        digest.matches(&by_key) || by_digest || *grant.label == *name
    });
    matching.map(|(digest, _)| *digest).collect()
}
