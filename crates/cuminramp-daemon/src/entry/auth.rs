//! Who calls.

use std::sync::Arc;

use axum::extract::FromRequestParts;
use axum::http::HeaderMap;
use axum::http::request::Parts;
use axum::response::Response;
use cuminramp_core::{KeyDigest, Refusal, ResultCode};
use cuminramp_routes::Team;
use http::header::AUTHORIZATION;
use tokio::time::Instant;

use crate::entry::answers::refusal_response;
use crate::state::DaemonState;

/// What stands before the key.
const BEARER: &str = "Bearer ";

/// A caller whose key is in force.
pub(crate) struct KnownCaller {
    pub(crate) team: Team,
    pub(crate) key: KeyDigest,
}

impl FromRequestParts<Arc<DaemonState>> for KnownCaller {
    type Rejection = Response;

    async fn from_request_parts(
        parts: &mut Parts,
        state: &Arc<DaemonState>,
    ) -> Result<Self, Self::Rejection> {
        authenticate(state, &parts.headers).map_err(|refusal| refusal_response(state, &refusal))
    }
}

/// Finds the team of the key that came with a request.
///
/// A host that can't know which keys are in force says so, and does not run the request: the key may
/// have been withdrawn where this host does not hear of it.
pub(crate) fn authenticate(
    state: &DaemonState,
    headers: &HeaderMap,
) -> Result<KnownCaller, Refusal> {
    // With two keys nobody can tell whose request it is; the first might be another's.
    if headers.get_all(AUTHORIZATION).iter().count() > 1 {
        let message = "more than one key came";
        return Err(Refusal::not_run(ResultCode::FieldInvalid, message));
    }
    let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let Some(key) = value.and_then(|value| value.strip_prefix(BEARER)) else {
        let message = "send the key as Authorization: Bearer";
        return Err(Refusal::not_run(ResultCode::KeyMissing, message));
    };
    let in_force = state.configuration.in_force();
    if in_force.configuration.generation == 0 {
        let message = "this host has no configuration in force yet";
        let refusal = Refusal::not_run(ResultCode::ConfigurationUnknown, message);
        return Err(refusal.with_retry_after(std::time::Duration::from_secs(1)));
    }
    if !state.is_confirmed(Instant::now()) {
        let message = "this host can't tell which keys are in force; use another one";
        let refusal = Refusal::not_run(ResultCode::KeysUnconfirmed, message);
        return Err(refusal.with_retry_after(std::time::Duration::from_secs(1)));
    }
    let digest = KeyDigest::of_key(key.trim());
    let unknown =
        || Refusal::not_run(ResultCode::KeyUnknown, "the key is unknown or was withdrawn");
    let grant = state.configuration.find_key(&digest).ok_or_else(unknown)?;
    let team = in_force.configuration.teams.get(&*grant.team).ok_or_else(unknown)?;
    Ok(KnownCaller { team: team.clone(), key: digest })
}

/// Refuses where this host takes no new work. Steering names other hosts at once, but callers keep
/// answers for a while, so new requests go on being served until the host closes its listener.
pub(crate) fn check_ready(state: &DaemonState) -> Result<(), Refusal> {
    if state.stop.is_cancelled() {
        let refusal = Refusal::not_run(ResultCode::HostDraining, "this host stops");
        return Err(refusal.with_retry_after(std::time::Duration::from_secs(1)));
    }
    Ok(())
}
