//! Authentication of callers.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::FromRequestParts;
use axum::http::HeaderMap;
use axum::http::request::Parts;
use axum::response::Response;
use cuminramp_core::{KeyDigest, Refusal, ResultCode};
use cuminramp_routes::Team;
use http::header::AUTHORIZATION;
use tokio::time::Instant;

use crate::entry::responses::refusal_response;
use crate::state::DaemonState;

/// Retry-After of requests that another host can serve now.
const OTHER_HOST_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Prefix of the key in the `Authorization` header.
const BEARER_PREFIX: &str = "Bearer ";

/// Caller whose key is in force, with the key's team.
pub(crate) struct AuthenticatedCaller {
    pub(crate) team: Team,
    pub(crate) key: KeyDigest,
}

impl FromRequestParts<Arc<DaemonState>> for AuthenticatedCaller {
    type Rejection = Response;

    async fn from_request_parts(
        parts: &mut Parts,
        state: &Arc<DaemonState>,
    ) -> Result<Self, Self::Rejection> {
        authenticate(state, &parts.headers).map_err(|refusal| refusal_response(state, &refusal))
    }
}

/// Authenticates a request by its key.
///
/// A host that can't confirm which keys are in force refuses the request: the key may have been withdrawn
/// without this host having received the withdrawal.
pub(crate) fn authenticate(
    state: &DaemonState,
    headers: &HeaderMap,
) -> Result<AuthenticatedCaller, Refusal> {
    // With two keys it is ambiguous which team sent the request; the first key may belong to another team.
    if headers.get_all(AUTHORIZATION).iter().count() > 1 {
        let message = "the request has more than one Authorization header";
        return Err(Refusal::not_run(ResultCode::FieldInvalid, message));
    }
    let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let Some(key) = value.and_then(|value| value.strip_prefix(BEARER_PREFIX)) else {
        let message = "send the key as Authorization: Bearer";
        return Err(Refusal::not_run(ResultCode::KeyMissing, message));
    };
    let in_force = state.configuration.in_force();
    if in_force.configuration.generation == 0 {
        let message = "this host has no configuration in force yet";
        let refusal = Refusal::not_run(ResultCode::ConfigurationUnknown, message);
        return Err(refusal.with_retry_after(Duration::from_secs(1)));
    }
    if !state.is_confirmed(Instant::now()) {
        let message = "this host can't confirm which keys are in force; use another host";
        let refusal = Refusal::not_run(ResultCode::KeysUnconfirmed, message);
        return Err(refusal.with_retry_after(Duration::from_secs(1)));
    }
    let digest = KeyDigest::of_key(key.trim());
    let unknown =
        || Refusal::not_run(ResultCode::KeyUnknown, "the key is unknown or was withdrawn");
    let grant = state.configuration.find_key(&digest).ok_or_else(unknown)?;
    let team = in_force.configuration.teams.get(&*grant.team).ok_or_else(unknown)?;
    Ok(AuthenticatedCaller { team: team.clone(), key: digest })
}

/// Refuses a request at a draining host if its deadline, which is `timeout` from now, comes after the host exits: its
/// response could be broken off.
pub(crate) fn check_exit(state: &DaemonState, timeout: Duration) -> Result<(), Refusal> {
    let exit_at = state.exit_at.get().copied();
    let until_exit = exit_at.map(|exit_at| exit_at.saturating_duration_since(Instant::now()));
    match until_exit {
        Some(until_exit) if timeout > until_exit => {
            let (left, needed) = (until_exit.as_millis(), timeout.as_millis());
            let reason = format!("the host exits in {left} ms, the request may need {needed} ms");
            let refusal = Refusal::not_run(ResultCode::HostDraining, reason);
            Err(refusal.with_retry_after(OTHER_HOST_RETRY_AFTER))
        }
        _ => Ok(()),
    }
}

/// Refuses requests once the host is stopping.
///
/// A draining host still accepts requests: steering names other hosts at once, but callers cache its
/// answers for a while, so new requests are served until the host closes its listener.
pub(crate) fn check_not_stopping(state: &DaemonState) -> Result<(), Refusal> {
    if state.stop.is_cancelled() {
        let refusal = Refusal::not_run(ResultCode::HostDraining, "this host is stopping");
        return Err(refusal.with_retry_after(Duration::from_secs(1)));
    }
    Ok(())
}
