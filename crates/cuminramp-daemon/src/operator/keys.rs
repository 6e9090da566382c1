//! Keys: granted, listed and withdrawn.

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

use crate::operator::declarations::field_fault;
use crate::operator::publish_failure;
use crate::peer::spread_updates;
use crate::state::DaemonState;
use crate::sync::{PublishError, publish_changes};

/// What keys start with.
const KEY_PREFIX: &str = "sk-cr-";
/// Random bytes of a key.
const KEY_BYTES: usize = 32;
/// Digits of a digest that are enough to name a key.
const SHORT_DIGITS: usize = 12;
/// How often a change of keys is tried while other changes come first.
const PUBLISH_TRIES: u32 = 10;

/// An operator's wish for a key.
#[derive(Deserialize)]
pub(crate) struct GrantBody {
    /// The team it is for.
    team: String,
    /// What operators call it.
    #[serde(default)]
    label: String,
    /// The key itself, where it exists already; otherwise one is made.
    #[serde(default)]
    key: Option<String>,
}

/// Lists keys by digest; keys themselves are kept nowhere.
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

/// Grants a key and shows it, this once.
pub(crate) async fn grant(
    State(state): State<Arc<DaemonState>>,
    Json(body): Json<GrantBody>,
) -> Response {
    let key = body.key.unwrap_or_else(make_key);
    let digest = KeyDigest::of_key(&key);
    let label = if body.label.is_empty() {
        digest.to_string()[..SHORT_DIGITS].to_owned()
    } else {
        body.label
    };
    let grant =
        KeyGrant { team: Name::from(body.team.as_str()), label: Name::from(label.as_str()) };
    if !state.configuration.in_force().configuration.teams.contains_key(body.team.as_str()) {
        let reason = format!("no team is named {:?}", body.team);
        return publish_failure(&state, field_fault("team", reason));
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
        Err(error) => publish_failure(&state, error),
    }
}

fn make_key() -> String {
    let mut bytes = [0u8; KEY_BYTES];
    rand::rng().fill(&mut bytes);
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{KEY_PREFIX}{hex}")
}

/// Publishes one change of keys; it does not depend on what else a generation holds, so it follows
/// whatever came first.
async fn publish_retrying(state: &Arc<DaemonState>, change: Change) -> Result<u64, PublishError> {
    let mut last = PublishError::Unknown("not tried".into());
    for _ in 0..PUBLISH_TRIES {
        let expected = state.configuration.generation();
        match publish_changes(state, expected, vec![change.clone()]).await {
            Err(error @ PublishError::Conflict { .. }) => last = error,
            outcome => return outcome,
        }
    }
    Err(last)
}

/// Withdraws a key, named by the key itself, its label or the first digits of its digest.
///
/// The withdrawal is in force here at once and spreads from host to host also while the table is
/// down; it is written as soon as the table takes it.
pub(crate) async fn withdraw(
    State(state): State<Arc<DaemonState>>,
    Path(name): Path<String>,
) -> Response {
    let found = find_keys(&state, &name);
    let digest = match found.as_slice() {
        [digest] => *digest,
        [] => {
            return publish_failure(
                &state,
                field_fault("key", format!("no key is named {name:?}")),
            );
        }
        several => {
            let reason = format!("{} keys are named {name:?}; use the digest", several.len());
            return publish_failure(&state, field_fault("key", reason));
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
    let named = keys.filter(|(digest, grant)| {
        let by_digest = name.len() >= SHORT_DIGITS && digest.to_string().starts_with(name);
        digest.matches(&by_key) || by_digest || *grant.label == *name
    });
    named.map(|(digest, _)| *digest).collect()
}
