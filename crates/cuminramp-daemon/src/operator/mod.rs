//! HTTP API for operators and metrics scrapers.

mod declarations;
mod keys;
mod views;

use std::sync::Arc;

use axum::Router;
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use cuminramp_core::{KeyDigest, Refusal, ResultCode};
use http::StatusCode;
use http::header::AUTHORIZATION;
use serde_json::json;

use crate::entry::refusal_response;
use crate::state::DaemonState;
use crate::sync::PublishError;

/// Maximum size of a request body in bytes, which bounds a file of declarations.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Builds the router of the operator API, health checks and metrics.
pub(crate) fn build_router(state: Arc<DaemonState>) -> Router {
    let guarded = Router::new()
        .route("/operator/declarations", get(declarations::show).put(declarations::apply))
        .route("/operator/generations", get(declarations::show_generations))
        .route("/operator/keys", get(keys::list).post(keys::grant))
        .route("/operator/keys/{name}", delete(keys::withdraw))
        .route("/operator/hosts", get(views::show_hosts))
        .route("/operator/targets", get(views::show_targets))
        .route("/operator/teams", get(views::show_teams))
        .route("/operator/jobs", get(views::list_jobs))
        .route("/operator/jobs/{team}/{id}", get(views::show_job))
        .route("/operator/jobs/{team}/{id}/cancel", post(views::cancel_job))
        .layer(from_fn_with_state(state.clone(), check_operator));
    let guarded = guarded.layer(DefaultBodyLimit::max(MAX_BODY_BYTES));
    Router::new()
        .route("/healthz", get(views::show_health))
        .route("/readyz", get(views::show_readiness))
        .route("/metrics", get(views::show_metrics))
        .merge(guarded)
        .with_state(state)
}

/// Rejects requests without the operators' token, if the settings set one.
async fn check_operator(
    State(state): State<Arc<DaemonState>>,
    request: Request,
    next: Next,
) -> Response {
    let expected = &state.settings.operator_token;
    let value = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let sent = value.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    if expected.is_empty() || KeyDigest::of_key(expected).matches(&KeyDigest::of_key(sent)) {
        return next.run(request).await;
    }
    let message = "send the operators' token as Authorization: Bearer";
    refusal_response(&state, &Refusal::not_run(ResultCode::OperatorUnknown, message))
}

/// Returns the response for a change that was not published; its details list the changes behind a
/// conflict or the errors in invalid declarations.
fn publish_error_response(state: &DaemonState, error: PublishError) -> Response {
    let (code, message, details) = match error {
        PublishError::Conflict { generation, difference } => {
            let message =
                format!("generation {generation} is in force now; review it and try again");
            let details = json!({"generation": generation, "difference": difference});
            (ResultCode::GenerationConflict, message, details)
        }
        PublishError::Invalid(errors) => {
            let message = format!("all changes rejected: {} errors", errors.len());
            (ResultCode::DeclarationsInvalid, message, json!({"faults": errors}))
        }
        PublishError::Unavailable(reason) => (ResultCode::StoreUnavailable, reason, json!({})),
        PublishError::Unknown(reason) => {
            (ResultCode::StoreUnavailable, reason, json!({"unknown": true}))
        }
    };
    state.metrics.count_refusal(code.number());
    let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_REQUEST);
    let body = json!({
        "error": {"code": code.name(), "cuminramp_code": code.number(), "message": message},
        "details": details,
    });
    (status, axum::Json(body)).into_response()
}
